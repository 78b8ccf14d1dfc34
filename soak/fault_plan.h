#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace banyanloft::soak {

/// Faults that a soak injects from outside the programs under test.
enum class FaultKind : uint8_t {
  kKillDaemon,    ///< SIGKILL; restarted after `duration_ms`.
  kStopDaemon,    ///< SIGTERM; restarted once it has exited.
  kPauseDaemon,   ///< SIGSTOP; SIGCONT after `duration_ms`.
  kReloadDaemon,  ///< SIGHUP.
  // Faults of the connections of one ConnectionType; see ProxyFault.
  kDelayConnection,
  kResetConnection,
  kStallConnection,
  kStallConnectionUpstream,
  kStallConnectionDownstream,
  // Faults of the platform's store; see StoreFault.
  kStoreDown,
  kStoreDropsResponses,
  kStoreSlow,
  kStoreThrottles,
  kStoreCompacts,  ///< Discards its history of revisions.
  kCrashBackend,   ///< Its sockets close; restarted after `duration_ms`.
  kDrainBackend,   ///< It drains and stops; another takes its address.
  kChangeConfig,   ///< Writes a new version of the configuration.
  kLimitBackend,   ///< It names a limit of its request rate.
  kRestoreStore,   ///< It is down and returns from an older copy.
  /// A request crashes each backend server that runs it, and is sent again at
  /// any daemon for `duration_ms`.
  kCrashingRequest,
  kKillAllDaemons,  ///< SIGKILL to all; restarted after `duration_ms`.
};
inline constexpr size_t kFaultKinds =
    static_cast<size_t>(FaultKind::kKillAllDaemons) + 1;

/// Name of a kind in reports.
const char* NameOf(FaultKind kind);
/// Whether operators or backend servers do this during normal operation.
bool IsPlanned(FaultKind kind);

/// Connections of a daemon that are routed through a proxy.
enum class ConnectionType : uint8_t {
  kClients,  ///< From clients to the daemon.
  kBackend,  ///< From the daemon to its backend server.
  kLinks,    ///< From other daemons to this one.
  kStore,    ///< From the daemon to the platform's store.
  kReports   ///< Heartbeats of the backend server to the daemon.
};
inline constexpr size_t kConnectionTypes =
    static_cast<size_t>(ConnectionType::kReports) + 1;

/// One fault.
struct Fault {
  int64_t start_ms = 0;  ///< Relative to the start of the load.
  int64_t duration_ms = 0;
  FaultKind kind = FaultKind::kReloadDaemon;
  int daemon = 0;  ///< Index of the affected daemon, if any.
  ConnectionType connection = ConnectionType::kClients;
};

/// Settings of a plan.
struct FaultPlanSettings {
  uint64_t seed = 1;
  int daemons = 8;
  int64_t span_ms = 8000;  ///< Time in which faults start, in ms.
  int64_t max_duration_ms = 3000;
  /// Duration of kLimitBackend, in ms: its limit binds after 3 s and is checked
  /// over 4 s.
  int64_t limit_duration_ms = 9000;
  /// Duration of kCrashingRequest, in ms, and interval of the times at which
  /// all daemons are killed meanwhile.
  int64_t crashing_duration_ms = 18000;
  int64_t kill_all_interval_ms = 6000;
};

/// The faults of one seed.
struct FaultPlan {
  bool planned_only = false;  ///< Only faults for which IsPlanned is true.
  std::vector<Fault> faults;  ///< In order of `start_ms`.
  std::string Summary() const;
};

/// Generates the plan of a seed: single faults, series of one kind and pairs
/// that overlap. The same seed always gives the same plan.
FaultPlan MakePlan(const FaultPlanSettings& settings);

}  // namespace banyanloft::soak
