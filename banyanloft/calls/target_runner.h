#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "banyanloft/admission/crash_guard.h"
#include "banyanloft/admission/lost_runs.h"
#include "banyanloft/admission/rank_admission_controller.h"
#include "banyanloft/calls/call_types.h"
#include "banyanloft/config/snapshot.h"
#include "banyanloft/core/counters.h"
#include "banyanloft/core/random.h"
#include "banyanloft/run_once/run_ledger.h"

namespace banyanloft {

/// Settings of the TargetRunner.
struct RunnerSettings {
  RankAdmissionSettings admission;
  RunLedgerSettings ledger;
  CrashGuardSettings crash_guard;
  int64_t run_limit_ms =
      30000;  ///< Time limit of keyed work, which callers may resend, in ms.
  LostRunsSettings lost_runs;
};

/// Destination of an answer: a peer's link address, or empty for this daemon.
struct ReplyAddress {
  std::string link;
  uint64_t attempt = 0;
};

/// Starts work on the backend server.
struct StartBackend {
  uint64_t work = 0;
  std::string route;
  std::string rank;
  std::string key;
  int64_t remaining_ms = 0;
  int depth = 0;
  std::string content_type;
  std::string body;
};
/// Aborts a run on the backend server.
struct CancelBackend {
  uint64_t work = 0;
};
/// Checks whether the backend server accepts connections.
struct ProbeBackend {};
/// Sends the answer of an attempt.
struct SendRunAnswer {
  ReplyAddress to;
  int rank_index = 0;
  RunAnswer answer;
};
/// Gossips crash suspicions to the fleet.
struct GossipCrashSuspicions {
  std::vector<CrashSuspicion> suspicions;
};
using RunnerAction = std::variant<StartBackend, CancelBackend, ProbeBackend,
                                  SendRunAnswer, GossipCrashSuspicions>;

/// Result of a run on the backend server.
struct BackendResult {
  enum class Type : uint8_t {
    kAnswered,   ///< A complete answer was received.
    kNotSent,    ///< No byte of the request was written: it did not run.
    kBroken,     ///< The connection closed before a complete answer.
    kTooLarge,   ///< The answer exceeds the size limit.
    kCancelled,  ///< Aborted by CancelBackend.
  };
  uint64_t work = 0;
  Type type = Type::kAnswered;
  int http_status = 0;
  bool not_run =
      false;  ///< The backend server states that it did not run the work.
  bool retried_downstream = false;  ///< A layer further down has retried.
  std::string content_type;
  std::string body;
};

/// The target's side of a call: keys, crash containment, admission, the run on
/// the backend server and the answer. Deterministic; not thread safe; performs
/// no I/O.
class TargetRunner {
 public:
  using Actions = std::vector<RunnerAction>;

  TargetRunner(const RunnerSettings& settings, MemberId self,
               std::string secret, uint64_t seed, TimeMs now);

  /// Sets the current configuration.
  void SetSnapshot(TimeMs now, SnapshotPtr snapshot, Actions* actions);
  /// Sets the reason why new work is refused; empty: new work is accepted.
  void SetAccepting(std::optional<ErrorKind> refusal, Actions* actions);
  /// Sets the concurrency limit of the backend server.
  void SetSlots(int slots) { admission_.SetSlots(slots); }
  /// Called when an attempt arrived.
  void OnRun(TimeMs now, const std::string& from_link, RunRequest request,
             Actions* actions);
  /// Called when an attempt is cancelled.
  void OnCancel(const std::string& from_link, uint64_t attempt,
                Actions* actions);
  /// Issues a key.
  KeyAnswer OnKeyRequest(TimeMs now, const KeyRequest& request);
  /// Called when a run on the backend server ended.
  void OnBackendResult(TimeMs now, const BackendResult& result,
                       Actions* actions);
  /// Result of ProbeBackend.
  void OnBackendProbed(TimeMs now, bool up, Actions* actions);
  /// Called when the backend server registered again after a restart.
  void OnBackendRestarted(TimeMs now, Actions* actions);
  /// Merges suspicions from other daemons; returns those that changed the local
  /// state.
  std::vector<CrashSuspicion> OnCrashSuspicions(
      TimeMs now, const std::vector<CrashSuspicion>& suspicions);
  /// Handles deadlines, time limits and expiry.
  void Tick(TimeMs now, Actions* actions);

  /// Requests suspected of crashing servers, as far as known here.
  const CrashGuard& Suspects() const { return crash_guard_; }
  /// Number of work items waiting or running.
  size_t InFlight() const { return works_.size(); }
  const RankAdmissionController& Admission() const { return admission_; }
  const RunLedger& Ledger() const { return ledger_; }
  const Counters& Counts() const { return counters_; }

 private:
  struct Work {
    RunRequest request;
    std::optional<RunKey> key;
    ReplyAddress reply_to;  ///< For work without a key.
    uint64_t fingerprint = 0;
    int rank_index = 0;
    TimeMs deadline;
    bool running = false;
    TimeMs started;
  };

  void AdmitWork(TimeMs now, uint64_t id, Actions* actions);
  std::optional<ErrorKind> FindRefusal(TimeMs now, const Work& work) const;
  void ApplyAdmission(TimeMs now,
                      const std::vector<RankAdmissionAction>& admission_actions,
                      Actions* actions);
  void StartWork(TimeMs now, uint64_t id, Actions* actions);
  void EndWork(uint64_t id, RunOutcome outcome, bool retried_downstream,
               Actions* actions);
  void Answer(const ReplyAddress& to, int rank_index, RunOutcome outcome,
              bool retried_downstream, Actions* actions);
  RunOutcome OutcomeOf(const BackendResult& result) const;
  void RecordLostRun(TimeMs now, BackendResult::Type type, uint64_t fingerprint,
                     Actions* actions);
  void RecordCrash(TimeMs now, const std::vector<uint64_t>& fingerprints,
                   Actions* actions);
  static std::vector<RankShare> SharesOf(const Configuration& config);

  RunnerSettings settings_;
  Random random_;
  std::string secret_;
  SnapshotPtr snapshot_;
  RankAdmissionController admission_;
  RunLedger ledger_;
  CrashGuard crash_guard_;
  std::optional<ErrorKind> refusal_ = ErrorKind::kNotReady;
  uint64_t next_work_ = 1;
  std::map<uint64_t, Work> works_;
  std::map<std::pair<std::string, uint64_t>, uint64_t> work_by_attempt_;
  std::map<uint64_t, std::pair<ReplyAddress, int>> waiters_;
  uint64_t next_waiter_ = 1;
  LostRuns lost_runs_;
  bool probe_in_flight_ = false;
  Counters counters_;
};

}  // namespace banyanloft
