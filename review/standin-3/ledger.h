#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>

#include "review/standin-3/fleet.h"

namespace review {

/// Of the requests for `catalogue`, and of those for `pledges`, which may run
/// once.
inline constexpr char kLookupPrefix[] = "/lookup/";
inline constexpr char kRegisterPrefix[] = "/register/";

/// What clients sent, and what became of it. Thread safe.
class Ledger {
 public:
  void OnRun(const std::string& id);
  void OnAnswer(const std::string& id, int status);
  /// Number of requests that ran and got no success.
  int Lost();
  std::string Summary();

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::map<std::string, int> statuses_;
};

/// A client that sends one request after the other, for both services in turn,
/// each through the next machine.
void SendUntilStopped(const Fleet& fleet, int client, Ledger* ledger,
                      const std::atomic<bool>* stop);

}  // namespace review
