#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "banyanloft/admission/crash_guard.h"
#include "banyanloft/core/counters.h"
#include "banyanloft/core/histograms.h"
#include "banyanloft/core/log.h"
#include "banyanloft/core/random.h"
#include "banyanloft/mesh/admission_controller.h"
#include "banyanloft/mesh/instance_registry.h"
#include "banyanloft/mesh/mesh_message.h"

namespace banyanloft {

/// Settings of the target's part of a request.
struct BackendRunnerSettings {
  std::string service;  ///< Service named by the process's settings.
  std::string address;  ///< `ip:port` of the backend server.
  AdmissionSettings gate;
  CrashGuardSettings crash_guard;
  /// A crash is blamed on runs broken this long before it, in ms: a crash
  /// breaks all its connections at once, a new start follows within seconds.
  int64_t crash_window_ms = 6000;
  int64_t heartbeat_ms = 1500;  ///< Period of the backend server's reports.
  /// Reports missed in a row after which the backend server is asked whether
  /// it is there: one may be lost, and one late.
  int64_t max_missed_reports = 3;
  int64_t probe_interval_ms = 400;  ///< Between two probes, in ms.
  /// A target that is suspected to crash on a request gets it alone; refused
  /// ones may come back after this, in ms.
  int64_t crash_retry_after_ms = 5000;
};

/// Where an answer goes: a peer's link address, empty for this daemon itself.
struct ForwardOrigin {
  std::string link;
  uint64_t attempt = 0;
  bool operator<(const ForwardOrigin& other) const {
    return link != other.link ? link < other.link : attempt < other.attempt;
  }
};

/// Runs a request on the backend server.
struct StartRun {
  uint64_t run = 0;
  std::string instance;  ///< Id that the backend server must have.
  int64_t remaining_ms = 0;
  ForwardRequest request;
};
/// Cuts off a run.
struct CancelRunOnBackend {
  uint64_t run = 0;
  /// Only if nothing of it has been sent: what has begun goes on.
  bool only_if_unsent = false;
};
/// Asks the backend server whether it is there and who it is.
struct ProbeInstance {};
/// Sends the answer of an attempt.
struct SendForwardAnswer {
  ForwardOrigin to;
  int priority = 0;
  ForwardAnswer answer;
};
/// Crash strikes to be spread to the fleet.
struct SpreadCrashStrikes {
  std::vector<CrashSuspicion> strikes;
};
using BackendRunnerAction =
    std::variant<StartRun, CancelRunOnBackend, ProbeInstance, SendForwardAnswer,
                 SpreadCrashStrikes, LogRecord>;

/// How a run on the backend server ended.
struct RunResult {
  enum class Type : uint8_t {
    kAnswered,   ///< A whole answer that belongs to the request.
    kRejected,   ///< The backend server says that it did not run it.
    kMisplaced,  ///< Another instance has the address; it did not run it.
    kNotSent,    ///< Nothing of the request was written: it never ran.
    kBroken,     ///< The connection ended before a whole answer.
    kGarbled,    ///< What came is not an answer to the request.
    kTimeout,    ///< No whole answer in time.
    kCancelled,  ///< Cut off on request.
  };
  uint64_t run = 0;
  Type type = Type::kAnswered;
  HttpResponse response;
};

/// Name of a result as it stands in logs and metrics.
const char* NameOf(RunResult::Type type);

/// The target's part of a request: which instance runs beside this daemon,
/// admission, crash containment, the run and its answer. Everything that keeps
/// a request from running is decided here, before the backend server gets it,
/// so that "not run" is true. Deterministic; not thread safe; free of I/O.
class BackendRunner {
 public:
  using Actions = std::vector<BackendRunnerAction>;

  BackendRunner(const BackendRunnerSettings& settings, uint64_t seed,
                TimeMs now);

  /// An attempt arrived.
  void OnForward(TimeMs now, const std::string& from_link,
                 ForwardRequest request, Actions* actions);
  /// An attempt is withdrawn.
  void OnCancel(TimeMs now, const std::string& from_link,
                const CancelForward& cancel, Actions* actions);
  /// This process ends soon: refuses all work that waits.
  void RefuseQueued(TimeMs now, Actions* actions);
  /// The link to a peer was lost: nobody waits for its answers any more.
  void OnPeerLost(TimeMs now, const std::string& link, Actions* actions);
  /// The backend server reported. True if the report was understood.
  void OnReport(TimeMs now, const InstanceReport& report, Actions* actions);
  /// The backend server leaves. From now on nothing new is started.
  void OnDeregistered(TimeMs now, const std::string& instance,
                      Actions* actions);
  /// A run ended.
  void OnResult(TimeMs now, RunResult result, Actions* actions);
  /// Answer to ProbeInstance: whether it takes connections, and its id if it
  /// says that it is well.
  void OnProbed(TimeMs now, bool up, const std::string& instance,
                Actions* actions);
  /// Strikes from other daemons; returns those that were news.
  std::vector<CrashSuspicion> OnStrikes(
      TimeMs now, const std::vector<CrashSuspicion>& strikes) {
    return crash_guard_.Merge(now, strikes);
  }
  /// This process did not run for a while: what waits is out of date.
  void OnProcessSuspended(TimeMs now, Actions* actions);
  /// Deadlines, probes; to be called every 20 ms or so.
  void Tick(TimeMs now, Actions* actions);

  InstanceState State() const { return registry_.State(); }
  const InstanceReport& Instance() const { return registry_.Last(); }
  /// Service that the backend server runs.
  const std::string& Service() const;
  size_t InFlight() const { return works_.size(); }
  /// Period of the backend server's reports from now on, in ms.
  void SetHeartbeat(int64_t heartbeat_ms) {
    settings_.heartbeat_ms = heartbeat_ms;
  }
  const AdmissionController& Gate() const { return gate_; }
  const Counters& Counts() const { return counters_; }
  const Histograms& Latencies() const { return histograms_; }

 private:
  struct Work {
    ForwardRequest request;
    ForwardOrigin from;
    uint64_t fingerprint = 0;
    TimeMs arrived;
    TimeMs deadline;
    bool running = false;
    bool orphan = false;  ///< Nobody waits for its answer.
    TimeMs started;
  };

  std::optional<ErrorKind> CheckNew(TimeMs now, const Work& work) const;
  void Carry(TimeMs now, const AdmissionController::Decisions& verdicts,
             Actions* actions);
  void Refuse(TimeMs now, uint64_t id, ErrorKind error, int64_t retry_after_ms,
              int64_t expected_wait_ms, Actions* actions);
  void Answer(const Work& work, ForwardAnswer answer, Actions* actions);
  void Drop(TimeMs now, uint64_t id, Actions* actions);
  void OnChange(TimeMs now, InstanceRegistry::Change change, Actions* actions);
  void LoseInstance(TimeMs now, Actions* actions);
  void NoteBroken(TimeMs now, uint64_t fingerprint, Actions* actions);
  void OnCrash(TimeMs now, Actions* actions);
  void Probe(TimeMs now, Actions* actions);
  void LogInstance(const char* event, Actions* actions);

  BackendRunnerSettings settings_;
  Random random_;
  InstanceRegistry registry_;
  AdmissionController gate_;
  CrashGuard crash_guard_;
  uint64_t next_work_ = 1;
  std::map<uint64_t, Work> works_;
  std::map<ForwardOrigin, uint64_t> work_by_origin_;
  std::set<uint64_t> broken_;  ///< Requests broken by what may be a crash.
  TimeMs broken_since_{-1000000};
  bool probing_ = false;
  TimeMs next_probe_;
  Counters counters_;
  Histograms histograms_;
};

}  // namespace banyanloft
