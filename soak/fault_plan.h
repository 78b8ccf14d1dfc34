#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace banyanloft::soak {

/// Faults that a soak injects from outside the programs under test.
enum class FaultKind : uint8_t {
  kKillDaemon,       ///< SIGKILL, started again after `for_ms`.
  kStopDaemon,       ///< SIGTERM, started again when it has ended.
  kPauseDaemon,      ///< SIGSTOP, SIGCONT after `for_ms`.
  kReloadDaemon,     ///< SIGHUP.
  kDelayConnection,  ///< One edge of a daemon, see Edge.
  kResetConnection,
  kStallConnection,
  kStallConnectionUpstream,
  kStallConnectionDownstream,
  kStoreDown,
  kStoreLosesAnswers,
  kStoreLate,
  kStoreRefusesSome,
  kStoreCompacts,
  kCrashBackend,  ///< Its sockets close; it is back after `for_ms`.
  kDrainBackend,  ///< It leaves; another takes its address.
  kChangeConfig,  ///< A new version of the configuration.
};
inline constexpr size_t kFaultKinds =
    static_cast<size_t>(FaultKind::kChangeConfig) + 1;

/// Name of a kind, as it stands in reports.
const char* NameOf(FaultKind kind);
/// Whether an operator does this in the course of work.
bool IsPlanned(FaultKind kind);

/// Connections of a daemon that pass a proxy.
enum class ConnectionType : uint8_t {
  kClients,
  kBackend,
  kLinks,
  kStore,
  kReports
};
inline constexpr size_t kConnectionTypes =
    static_cast<size_t>(ConnectionType::kReports) + 1;

/// One fault.
struct Fault {
  int64_t start_ms = 0;     ///< From the start of the load.
  int64_t duration_ms = 0;  ///< Until it ends.
  FaultKind kind = FaultKind::kReloadDaemon;
  int daemon = 0;  ///< Which one, where it concerns one.
  ConnectionType connection = ConnectionType::kClients;
};

/// Settings of a plan.
struct FaultPlanSettings {
  uint64_t seed = 1;
  int daemons = 8;
  int64_t span_ms = 8000;          ///< Faults begin within this time, in ms.
  int64_t max_duration_ms = 3000;  ///< Longest fault, in ms.
};

/// What a seed plays.
struct FaultPlan {
  bool planned_only = false;  ///< Only what operators do in the course of work.
  std::vector<Fault> faults;  ///< By time.
  std::string Summary() const;
};

/// The plan of a seed: single faults, series of one kind and pairs that
/// overlap. The same seed gives the same plan.
FaultPlan MakePlan(const FaultPlanSettings& settings);

}  // namespace banyanloft::soak
