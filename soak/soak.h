#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "banyanloft/core/random.h"
#include "soak/fault_plan.h"
#include "soak/instance.h"
#include "soak/request_book.h"
#include "standins/mesh_store.h"

namespace banyanloft::soak {

/// Settings of a soak of one seed.
struct SoakSettings {
  std::string program;  ///< Path of the daemon.
  std::string dir;      ///< Folder for settings files and logs.
  int64_t seed = 1;
  int64_t daemons = 8;
  int64_t base_port = 20000;  ///< 20 ports for each daemon, and 20 more.
  int64_t rate = 200;         ///< Requests a second.
  int64_t span_ms = 8000;     ///< Faults begin within this time, in ms.
};

/// Plays one seed: daemons as processes, stand-ins for the platform around
/// them, a proxy in front of every connection, faults from outside, and the
/// promises judged by what clients and backend servers see.
class Soak final : public BackendWitness {
 public:
  Soak(boost::asio::io_context& io, const SoakSettings& settings);

  /// False if an address cannot be bound or the program cannot be started.
  bool Start();
  /// True once nothing is left to play; the loop has been stopped.
  bool Over() const { return over_; }
  /// Prints the line of this seed; true if every promise held.
  bool Report() const;

  void OnArrival(const MeshBackend& backend, const std::string& id,
                 const HttpRequest& request) override;

 private:
  void At(int64_t ms, std::function<void()> then);
  void Tick();
  void OnTick();
  void ReapDaemons();
  void Ask();
  void Inject(const Fault& fault);
  void InjectAtDaemon(const Fault& fault, Instance* instance);
  void InjectAtEdge(const Fault& fault, Instance* instance);
  void InjectAtStore(const Fault& fault);
  void InjectAtBackend(const Fault& fault, Instance* instance);
  void ChangeConfiguration();
  void Disturb(Instance* instance, int64_t for_ms);
  bool InTouch(const Instance& instance, TimeMs now) const;
  void WatchRecovery(TimeMs now);
  void EndDaemons();

  boost::asio::io_context& io_;
  SoakSettings settings_;
  FaultPlan plan_;
  Random random_;
  MeshStore store_;
  RequestBook book_;
  std::vector<std::unique_ptr<Instance>> instances_;
  boost::asio::steady_timer tick_;
  TimeMs began_;
  TimeMs calm_at_;  ///< When the last fault has ended.
  TimeMs store_disturbed_until_;
  uint64_t store_fault_ = 0;  ///< The last fault at the store.
  uint64_t next_fault_ = 1;
  uint64_t next_request_ = 1;
  int64_t due_permille_ = 0;
  int version_ = 1;
  TimeMs changed_at_;
  bool asking_ = true;
  bool ending_ = false;
  bool over_ = false;
  TimeMs end_at_;
  int64_t recovered_ms_ = -1;
};

}  // namespace banyanloft::soak
