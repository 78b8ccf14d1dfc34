#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "banyanloft/admission/crash_guard.h"
#include "banyanloft/admission/lost_runs.h"
#include "banyanloft/core/counters.h"
#include "banyanloft/core/histograms.h"
#include "banyanloft/core/log.h"
#include "banyanloft/core/random.h"
#include "banyanloft/mesh/admission_controller.h"
#include "banyanloft/mesh/backend_notice.h"
#include "banyanloft/mesh/cost_model.h"
#include "banyanloft/mesh/instance_registry.h"
#include "banyanloft/mesh/mesh_message.h"
#include "banyanloft/mesh/rollout_evidence.h"
#include "banyanloft/mesh/slot_ramp.h"

namespace banyanloft {

/// Settings of BackendRunner.
struct BackendRunnerSettings {
  std::string service;  ///< Service given in the daemon's settings.
  std::string address;  ///< `ip:port` of the backend server.
  AdmissionSettings admission;
  CrashGuardSettings crash_guard;
  LostRunsSettings lost_runs;
  SlotRampSettings slot_ramp;
  /// Consecutive health checks that are reset before a backend server which may
  /// be full counts as unreachable.
  int max_reset_probes = 3;
  /// Number of the last report of a backend server too young for runs of an
  /// earlier process.
  int64_t max_young_reports = 2;
  /// Retry delay sent when the backend server closes new connections, in ms:
  /// about a run.
  int64_t full_retry_after_ms = 200;
  int64_t heartbeat_ms = 1500;  ///< Period of the backend server's reports.
  /// Number of consecutive missed reports after which a health check is sent:
  /// one may be lost, and one late.
  int64_t max_missed_reports = 3;
  int64_t probe_interval_ms = 400;  ///< Minimum time between checks, in ms.
  /// Requests that may run until the first response of the backend server shows
  /// whether it limits its rate.
  int runs_before_first_response = 4;
  /// Time without a response after which a health check asks whether a rate
  /// limit still holds, in ms.
  int64_t limit_refresh_ms = 2000;
  /// Retry delay sent when a request is refused because it is suspected of
  /// crashing backend servers, in ms. After fewer crashes it is still run, but
  /// not concurrently with another suspected request.
  int64_t crash_retry_after_ms = 5000;
  /// Memory of the bodies of all requests here, also of those that are still
  /// arriving, in bytes; more are refused. A request is not refused if no other
  /// has a body.
  size_t max_body_bytes = 256 * 1024 * 1024;
};

/// Where an attempt came from, and where its answer is sent: the link address
/// of a peer, or empty for this daemon.
struct ForwardOrigin {
  std::string link;
  uint64_t attempt = 0;
  bool operator<(const ForwardOrigin& other) const {
    return link != other.link ? link < other.link : attempt < other.attempt;
  }
};

/// Action: run a request on the backend server.
struct StartRun {
  uint64_t run = 0;
  std::string instance;  ///< Required id of the backend server.
  int64_t remaining_ms = 0;
  ForwardRequest request;
};
/// Action: cancel a run.
struct CancelRunOnBackend {
  uint64_t run = 0;
  /// Cancel only if nothing of it has been sent; otherwise let it finish.
  bool only_if_unsent = false;
};
/// Action: send a health check, which also asks for the backend server's id.
struct ProbeInstance {};
/// Action: send the answer to an attempt.
struct SendForwardAnswer {
  ForwardOrigin to;
  int priority = 0;
  ForwardAnswer answer;
};
/// Event: a run ended on the backend server; only if ObserveRuns() was called.
struct RunObserved {
  std::string route;
  RolloutRecorder::Outcome outcome = RolloutRecorder::Outcome::kSuccess;
  int64_t run_ms = 0;
  bool warm = true;  ///< The server did not announce a slow start.
};
/// Action: gossip crash suspicions to the fleet.
struct SpreadCrashSuspicions {
  std::vector<CrashSuspicion> suspicions;
  bool raised_here = false;  ///< They are to be stored as well.
};
using BackendRunnerAction =
    std::variant<StartRun, CancelRunOnBackend, ProbeInstance, SendForwardAnswer,
                 SpreadCrashSuspicions, RunObserved, LogRecord>;

/// How a run on the backend server ended.
struct RunResult {
  enum class Type : uint8_t {
    kAnswered,   ///< A complete response that belongs to the request.
    kRejected,   ///< The backend server reports that it did not run it.
    kMisplaced,  ///< Another instance has the address; it did not run it.
    kNotSent,    ///< Nothing of the request was sent: it never ran.
    /// The same, because the backend server closed the new connection.
    kResetUnsent,
    kInvalid,    ///< The request cannot be sent to any server: it never ran.
    kBroken,     ///< The connection closed before the response was complete.
    kGarbled,    ///< The response does not belong to the request.
    kOversized,  ///< The response exceeds a limit, perhaps without end.
    kTimeout,    ///< No complete response in time.
    kCancelled,  ///< Cancelled by CancelRunOnBackend.
  };
  uint64_t run = 0;
  Type type = Type::kAnswered;
  HttpResponse response;
  /// Empty if no response of the expected instance arrived.
  std::optional<BackendNotice> notice;
};

/// Name of a result as used in logs and metrics.
const char* NameOf(RunResult::Type type);

/// Result of ProbeInstance.
struct ProbeResult {
  bool up = false;       ///< The backend server accepts connections.
  std::string instance;  ///< Its id if it reports itself healthy, else empty.
  std::optional<BackendNotice> notice;  ///< Empty if there was no response.
  int status = 0;  ///< HTTP status; 0: there was no response.
  /// With !up: it accepted the connection and closed it without a response.
  bool reset = false;
};

/// Target side of a request: tracks the backend server on this instance, admits
/// requests, contains crashes, and starts runs and answers them. All reasons
/// not to run a request are checked here, before any of it is sent to the
/// backend server, so that an answer of "not run" is reliable. Deterministic;
/// not thread safe; free of I/O.
class BackendRunner {
 public:
  using Actions = std::vector<BackendRunnerAction>;

  BackendRunner(const BackendRunnerSettings& settings, uint64_t seed,
                TimeMs now);

  /// An attempt with a body of `body_bytes` begins to arrive; `request` has no
  /// body. False if the attempt was refused because the bodies of all exceed
  /// the memory; otherwise OnForward() follows.
  bool OnForwardBegins(TimeMs now, const std::string& from_link,
                       ForwardRequest request, size_t body_bytes,
                       Actions* actions);
  /// An attempt arrived.
  void OnForward(TimeMs now, const std::string& from_link,
                 ForwardRequest request, Actions* actions);
  /// An attempt is cancelled.
  void OnCancel(TimeMs now, const std::string& from_link,
                const CancelForward& cancel, Actions* actions);
  /// A planned stop ends at `end`: from now on, requests that are not expected
  /// to finish by then are refused instead of started.
  void BeginStop(TimeMs end) { stop_at_ = end; }
  /// Refuses all requests from now on because this process stops soon.
  void StopAccepting() { accepting_ = false; }
  /// Refuses all queued requests because this process stops soon.
  void RefuseQueued(TimeMs now, Actions* actions);
  /// Emits RunObserved from now on.
  void ObserveRuns() { observes_runs_ = true; }
  /// While set, all requests are refused, also queued ones: the version of the
  /// backend server is not allowed to run them.
  void SetVersionRefused(bool refused, Actions* actions, TimeMs now);
  /// The link to a peer was lost: cancels all of its attempts.
  void OnPeerLost(TimeMs now, const std::string& link, Actions* actions);
  /// The backend server sent a report.
  void OnReport(TimeMs now, const InstanceReport& report, Actions* actions);
  /// The backend server deregistered. No new runs are started from now on.
  void OnDeregistered(TimeMs now, const std::string& instance,
                      Actions* actions);
  /// A run ended.
  void OnResult(TimeMs now, RunResult result, Actions* actions);
  /// A health check ended.
  void OnProbed(TimeMs now, const ProbeResult& result, Actions* actions);
  /// Merges suspicions from other daemons, received by `source`; those that
  /// were new are spread.
  void OnCrashSuspicions(TimeMs now, const char* source,
                         const std::vector<CrashSuspicion>& suspicions,
                         Actions* actions);
  /// This process was suspended: refuses all queued requests, whose timing is
  /// out of date.
  void OnProcessSuspended(TimeMs now, Actions* actions);
  /// Handles deadlines and health checks; call it about every 20 ms.
  void Tick(TimeMs now, Actions* actions);

  InstanceState State() const { return registry_.State(); }
  const InstanceReport& Instance() const { return registry_.Last(); }
  /// Service that the backend server runs.
  const std::string& Service() const;
  size_t InFlight() const { return works_.size(); }
  /// Requests suspected of crashing servers, as far as known here.
  const CrashGuard& Suspects() const { return crash_guard_; }
  /// Sets the expected period of the backend server's reports, in ms.
  void SetHeartbeat(int64_t heartbeat_ms) {
    settings_.heartbeat_ms = heartbeat_ms;
    registry_.SetHeartbeat(heartbeat_ms);
  }
  const AdmissionController& Admission() const { return admission_; }
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
    bool abandoned = false;  ///< The sender no longer waits for the answer.
    TimeMs started;
    uint64_t server_start = 0;  ///< InstanceRegistry::Starts() at the start.
  };

  /// Counted until its attempt has arrived, or can no longer be run.
  struct ArrivingBody {
    size_t bytes = 0;
    TimeMs deadline;
  };

  static bool IsLeaving(InstanceState state);
  bool MovesOn(TimeMs now, const ForwardRequest& request,
               AdmissionRequest offer) const;
  void AnswerRefusal(TimeMs now, uint64_t id, ErrorKind error,
                     int64_t retry_after_ms, Actions* actions);
  std::optional<ErrorKind> CheckNew(TimeMs now, const Work& work) const;
  bool ExceedsMemory(const ForwardRequest& request) const;
  size_t LongBodyBytes() const;
  size_t ArrivingBytes() const;
  uint64_t AddWork(TimeMs now, const std::string& from_link,
                   ForwardRequest request);
  bool FinishesBeforeStop(TimeMs now, const std::string& route) const;
  void RefuseUnfinishable(TimeMs now, Actions* actions);
  void ApplyDecisions(TimeMs now,
                      const AdmissionController::Decisions& decisions,
                      Actions* actions);
  void Refuse(TimeMs now, uint64_t id, ErrorKind error, int64_t retry_after_ms,
              int64_t expected_wait_ms, Actions* actions);
  void Answer(TimeMs now, uint64_t id, ForwardAnswer answer, Actions* actions);
  void Drop(TimeMs now, uint64_t id, Actions* actions);
  void Observe(TimeMs now, const Work& work, RunResult::Type type, int status,
               Actions* actions) const;
  void OnInstanceChange(TimeMs now, InstanceRegistry::Change change,
                        const char* source, Actions* actions);
  void MarkInstanceUnreachable(TimeMs now, Actions* actions);
  void RecordLostRun(TimeMs now, RunResult::Type type, uint64_t fingerprint,
                     Actions* actions);
  void ReviewQueue(TimeMs now, const std::vector<CrashSuspicion>& changed,
                   Actions* actions);
  void OnNotice(TimeMs now, const BackendNotice& notice, const char* source,
                Actions* actions);
  void ApplyLimit(TimeMs now, std::optional<double> per_s, const char* source,
                  Actions* actions);
  void ApplyLeaving(TimeMs now, const char* source, Actions* actions);
  void SetRateLimit(TimeMs now, std::optional<double> per_s, Actions* actions);
  bool MustProbe(TimeMs now) const;
  bool MayBeFull(TimeMs now) const;
  void UpdateSlotLimit(TimeMs now);
  void OnUnreachable(TimeMs now, Actions* actions);
  void OnRestart(TimeMs now, InstanceState before, Actions* actions);
  void RecordCrash(TimeMs now, std::vector<uint64_t> fingerprints,
                   Actions* actions);
  void Probe(TimeMs now, Actions* actions);
  void LogInstance(TimeMs now, const char* event, const char* source,
                   Actions* actions);
  void LogIgnoredReport(const InstanceReport& report, Actions* actions);
  void LogHealthCheck(const ProbeResult& result, Actions* actions);
  void LogSuspectStart(TimeMs now, const Work& work, Actions* actions);

  BackendRunnerSettings settings_;
  Random random_;
  TimeMs start_;  ///< Of this process.
  InstanceRegistry registry_;
  AdmissionController admission_;
  RelativeSpeed speed_;
  SlotRamp slot_ramp_;
  CrashGuard crash_guard_;
  bool accepting_ = true;
  bool observes_runs_ = false;
  bool version_refused_ = false;
  std::optional<TimeMs> stop_at_;  ///< End of the planned stop, if any.
  uint64_t next_work_ = 1;
  std::map<uint64_t, Work> works_;
  std::map<ForwardOrigin, uint64_t> work_by_origin_;
  /// Bodies of attempts that have begun to arrive.
  std::map<ForwardOrigin, ArrivingBody> arriving_;
  LostRuns lost_runs_;
  bool probing_ = false;
  TimeMs probed_at_;           ///< When the last health check was sent.
  int reset_probes_ = 0;       ///< Consecutive ones that were reset.
  uint64_t probed_start_ = 0;  ///< InstanceRegistry::Starts() at the check.
  std::string last_health_;    ///< Result of the last health check, as logged.
  TimeMs next_probe_;
  TimeMs noticed_at_;          ///< Time of the last response or health check.
  uint64_t runs_started_ = 0;  ///< Since the start of this process.
  Counters counters_;
  Histograms histograms_;
};

}  // namespace banyanloft
