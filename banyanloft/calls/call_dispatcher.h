#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "banyanloft/calls/call_types.h"
#include "banyanloft/config/snapshot.h"
#include "banyanloft/core/counters.h"
#include "banyanloft/core/random.h"
#include "banyanloft/routing/retry_policy.h"

namespace banyanloft {

/// Settings of the first daemon's part of a call.
struct DispatcherSettings {
  RetrySettings retries;
  PickerSettings picker;
  int64_t refresh_ms = 200;  ///< Candidates are refreshed this often, in ms.
  int64_t attempt_share_permille =
      600;  ///< Share of the time left that one idempotent attempt gets.
  int64_t attempt_min_ms = 50;  ///< Shortest time for one attempt, in ms.
  int64_t key_resend_ms =
      100;  ///< Pause before a key is sent to its home again, in ms.
  size_t max_calls = 20000;  ///< Most calls in hand.
};

/// What the dispatcher needs to know of other daemons.
class TargetDirectory {
 public:
  /// Standing of the daemon that a key names.
  enum class Reachability : uint8_t { kReachable, kUnreachable, kGone };

  virtual ~TargetDirectory() = default;
  /// Members whose backend server runs the service and takes new work.
  virtual std::vector<TargetInfo> TargetsOf(const Service& service) const = 0;
  /// Standing of a member.
  virtual Reachability ReachabilityOf(MemberId id) const = 0;
};

/// Answers a call.
struct ReplyCall {
  uint64_t call = 0;
  CallAnswer answer;
};
/// Answers a request for a key.
struct ReplyKey {
  uint64_t call = 0;
  std::string key;
  std::optional<ErrorKind> error;
};
/// Sends an attempt to a target. `rank_index` orders it on the link.
struct SendRun {
  MemberId target = 0;
  int rank_index = 0;
  RunRequest request;
};
/// Withdraws an attempt.
struct SendCancel {
  MemberId target = 0;
  CancelRun cancel;
};
/// Asks a target for a key.
struct SendKeyRequest {
  MemberId target = 0;
  KeyRequest request;
};
using DispatcherAction =
    std::variant<ReplyCall, ReplyKey, SendRun, SendCancel, SendKeyRequest>;

/// The first daemon's part of a call: resolves the name, picks a target, sends
/// attempts, retries what is safe and answers the caller once. Deterministic;
/// not thread safe; free of I/O.
class CallDispatcher {
 public:
  using Actions = std::vector<DispatcherAction>;

  CallDispatcher(const DispatcherSettings& settings, std::string own_zone,
                 std::string secret, uint64_t seed,
                 const TargetDirectory* directory);

  /// The configuration in force; calls in hand keep theirs.
  void SetSnapshot(SnapshotPtr snapshot);
  /// A caller's call.
  void OnCall(TimeMs now, uint64_t call, CallRequest request, Actions* actions);
  /// A caller asks for a key for a route.
  void OnKeyCall(TimeMs now, uint64_t call, const std::string& name,
                 Actions* actions);
  /// The caller went away.
  void OnAbandoned(TimeMs now, uint64_t call, Actions* actions);
  /// An attempt was answered.
  void OnRunAnswer(TimeMs now, const RunAnswer& answer, Actions* actions);
  /// A request for a key was answered.
  void OnKeyAnswer(TimeMs now, const KeyAnswer& answer, Actions* actions);
  /// The message of an attempt never left this daemon.
  void OnNotSent(TimeMs now, uint64_t attempt, Actions* actions);
  /// The link to a target was lost with messages under way.
  void OnTargetLost(TimeMs now, MemberId target, Actions* actions);
  /// Deadlines, pauses and the refresh of candidates.
  void Tick(TimeMs now, Actions* actions);

  /// Calls in hand.
  size_t InFlight() const { return calls_.size(); }
  const Counters& Counts() const { return counters_; }
  /// Why a name routes where it does, in words.
  std::string Explain(TimeMs now, const std::string& name);

 private:
  struct Call {
    SnapshotPtr snapshot;
    const Route* route = nullptr;
    int rank_index = 0;
    std::string rank;
    CallRequest request;
    std::optional<RunKey> key;
    TimeMs arrived;
    TimeMs deadline;
    int attempts = 0;
    std::vector<MemberId> tried;
    uint64_t attempt = 0;  ///< The attempt under way; 0 if none.
    MemberId target = 0;   ///< Its target.
    TimeMs attempt_deadline;
    bool backing_off = false;
    TimeMs retry_at;
    RunOutcome last_failure;  ///< Outcome of the last failed attempt.
    bool retried = false;
    bool maybe_ran =
        false;  ///< An earlier attempt ended without a true "not run".
  };
  struct PendingKeyRequest {
    uint64_t call;
    std::string service;
    MemberId target;
    TimeMs deadline;
  };

  std::optional<ErrorKind> Admit(TimeMs now, Call* call);
  std::optional<ErrorKind> ResolveRank(Call* call) const;
  std::optional<ErrorKind> CheckKey(Call* call) const;
  TargetPicker& PickerOf(TimeMs now, const Service& service);
  void StartAttempt(TimeMs now, uint64_t id, Call* call, Actions* actions);
  void StartHomeAttempt(TimeMs now, uint64_t id, Call* call, Actions* actions);
  void Send(TimeMs now, uint64_t id, Call* call, MemberId target,
            Actions* actions);
  void EndAttempt(TimeMs now, Call* call, bool failed);
  void OnFailure(TimeMs now, uint64_t id, RunOutcome outcome,
                 bool retried_downstream, Actions* actions);
  void Finish(TimeMs now, uint64_t id, RunOutcome outcome, Actions* actions);
  void OnDeadline(TimeMs now, uint64_t id, Actions* actions);
  void OnAttemptTimeout(TimeMs now, uint64_t id, Actions* actions);
  void CountRefusal(const Call* call, ErrorKind kind);

  DispatcherSettings settings_;
  std::string own_zone_;
  std::string secret_;
  Random random_;
  const TargetDirectory* directory_;
  SnapshotPtr snapshot_;
  RetryPolicy retries_;
  struct PickerEntry {
    std::unique_ptr<TargetPicker> picker;
    TimeMs refreshed{-1000000};
  };
  std::map<std::string, PickerEntry> pickers_;
  std::map<uint64_t, Call> calls_;
  std::unordered_map<uint64_t, uint64_t> call_by_attempt_;
  std::map<uint64_t, PendingKeyRequest> pending_key_requests_;
  uint64_t next_attempt_ = 1;
  Counters counters_;
};

}  // namespace banyanloft
