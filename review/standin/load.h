#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/client.h"

namespace review {

/// A steady load of lookups on kept connections, and what the rule LOST counts:
/// requests from a kept connection that a target ran and whose connection was
/// closed without an answer.
class Load {
 public:
  Load(Fleet* fleet, Record* record) : fleet_(fleet), record_(record) {}
  ~Load() { Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  /// To be called whenever a target begins to run a request.
  void OnRun(const std::string& id);
  /// Starts so many clients at each machine of a service.
  void Start(const std::string& service, int clients_per_machine);
  void Stop();
  int Answered() const { return answered_; }
  /// Most lost requests of one machine.
  int MostLost();

 private:
  void RunClient(const Machine& machine, int number);

  Fleet* fleet_;
  Record* record_;
  std::mutex mutex_;
  std::set<std::string> ran_;
  std::map<std::string, int> lost_;  ///< By machine.
  std::atomic<bool> stop_{false};
  std::atomic<int> answered_{0};
  std::vector<std::thread> clients_;
};

/// Restarts daemons that have ended, as the platform does, half a second later.
/// To be called by the main thread. Returns the number of ends seen.
int RestartEnded(Fleet* fleet, Record* record);

}  // namespace review
