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

/// Settings of the CallDispatcher.
struct DispatcherSettings {
  RetrySettings retries;
  PickerSettings picker;
  int64_t refresh_ms =
      200;  ///< Refresh interval of the candidate targets, in ms.
  int64_t attempt_share_permille = 600;  ///< Share of the remaining time for
                                         ///< one idempotent attempt, in 1/1000.
  int64_t attempt_min_ms = 50;           ///< Lower bound of that share, in ms.
  int64_t key_resend_ms =
      100;  ///< Delay before a keyed call is resent to its home, in ms.
  size_t max_calls = 20000;  ///< Limit on calls in flight.
};

/// The dispatcher's view of the other daemons.
class TargetDirectory {
 public:
  /// Reachability of the home of a key.
  enum class Reachability : uint8_t { kReachable, kUnreachable, kGone };

  virtual ~TargetDirectory() = default;
  /// Members whose backend server runs the service and accepts new work.
  virtual std::vector<TargetInfo> TargetsOf(const Service& service) const = 0;
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
/// Sends an attempt to a target. `rank_index` is its priority on the link.
struct SendRun {
  MemberId target = 0;
  int rank_index = 0;
  RunRequest request;
};
/// Cancels an attempt.
struct SendCancel {
  MemberId target = 0;
  CancelRun cancel;
};
/// Requests a key from a target.
struct SendKeyRequest {
  MemberId target = 0;
  KeyRequest request;
};
using DispatcherAction =
    std::variant<ReplyCall, ReplyKey, SendRun, SendCancel, SendKeyRequest>;

/// The caller's side of a call: resolves the name, picks a target, sends
/// attempts, retries where that is safe and answers the caller exactly once.
/// Deterministic; not thread safe; performs no I/O.
class CallDispatcher {
 public:
  using Actions = std::vector<DispatcherAction>;

  CallDispatcher(const DispatcherSettings& settings, std::string own_zone,
                 std::string secret, uint64_t seed,
                 const TargetDirectory* directory);

  /// Sets the current configuration; calls in flight keep the previous one.
  void SetSnapshot(SnapshotPtr snapshot);
  /// Called when a caller sent a call.
  void OnCall(TimeMs now, uint64_t call, CallRequest request, Actions* actions);
  /// Called when a caller requests a key for a route.
  void OnCallerKeyRequest(TimeMs now, uint64_t call, const std::string& name,
                          Actions* actions);
  /// Called when the caller disconnected.
  void OnAbandoned(TimeMs now, uint64_t call, Actions* actions);
  /// Called when a target answered an attempt.
  void OnRunAnswer(TimeMs now, const RunAnswer& answer, Actions* actions);
  /// Called when a target answered a key request.
  void OnKeyAnswer(TimeMs now, const KeyAnswer& answer, Actions* actions);
  /// Called when the message of an attempt was not sent.
  void OnNotSent(TimeMs now, uint64_t attempt, Actions* actions);
  /// Called when the link to a target was lost with attempts in flight.
  void OnTargetLost(TimeMs now, MemberId target, Actions* actions);
  /// Handles deadlines, attempt timeouts and due retries.
  void Tick(TimeMs now, Actions* actions);

  /// Number of calls in flight.
  size_t InFlight() const { return calls_.size(); }
  const Counters& Counts() const { return counters_; }
  /// Describes how a name is routed and why.
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
    uint64_t attempt = 0;  ///< The attempt in flight; 0 if none.
    MemberId target = 0;   ///< Its target.
    TimeMs attempt_deadline;
    bool backing_off = false;
    TimeMs retry_at;
    RunOutcome last_failure;  ///< Outcome of the last failed attempt.
    bool retried = false;
    bool maybe_ran =
        false;  ///< An earlier attempt ended without a confirmed "not run".
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
