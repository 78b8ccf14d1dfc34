#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "banyanloft/core/counters.h"
#include "banyanloft/core/histograms.h"
#include "banyanloft/core/log.h"
#include "banyanloft/core/random.h"
#include "banyanloft/mesh/client_timeout_table.h"
#include "banyanloft/mesh/mesh_message.h"
#include "banyanloft/mesh/quota_gate.h"
#include "banyanloft/mesh/retry_budget.h"
#include "banyanloft/mesh/route_table.h"
#include "banyanloft/mesh/target_selector.h"
#include "banyanloft/mesh/weight_splitter.h"

namespace banyanloft {

/// Settings of the ingress daemon: the one that accepts a client's request.
struct ForwarderSettings {
  std::string caller;  ///< Service of the backend server on this instance.
  RetryBudgetSettings budget;
  TargetSelectorSettings selector;
  ClientTimeoutTableSettings client_timeouts;
  /// Refusals by targets after which a request fails. A refused request has
  /// not run; each refusal costs one round trip.
  int max_refusals = 3;
  /// Fraction of the remaining time after which an unanswered idempotent
  /// request is hedged, that is sent to a second target as well, in 1/1000.
  int64_t hedge_delay_permille = 550;
  int64_t attempt_min_ms = 100;  ///< Minimum time for one attempt, in ms.
  /// Fraction of the retry budget available to requests that a backend server
  /// ran and failed, in 1/1000. Such failures often come from nested calls, and
  /// a retry repeats those calls too.
  int64_t failure_retry_share_permille = 250;
  /// Time subtracted from a client's deadline so that the answer can still
  /// reach it, in ms.
  int64_t answer_margin_ms = 10;
  /// Mean Retry-After while no target is known, in ms: about the time that
  /// membership needs to disseminate a new target. The value sent is uniform
  /// between 0.5 and 1.5 times the mean.
  int64_t no_target_retry_ms = 400;
  /// Mean Retry-After while no configuration is loaded, in ms; the value sent
  /// varies in the same way.
  int64_t not_ready_retry_ms = 500;
  /// Retry-After of a request that is refused because it crashes backend
  /// servers, in ms.
  int64_t contained_retry_ms = 5000;
  /// Longest body of a request whose attempt may move on to another target, in
  /// bytes: it is sent a second time.
  size_t max_moved_bytes = 8 * 1024;
  size_t max_requests = 20000;  ///< Maximum requests in flight.
};

/// Supplies the candidate targets of a service.
class CandidateDirectory {
 public:
  virtual ~CandidateDirectory() = default;
  /// Members whose backend server runs the service and accepts requests.
  virtual std::vector<TargetCandidate> CandidatesOf(
      const std::string& service) const = 0;
  /// Whether a request is refused by all targets, because it has crashed
  /// several.
  virtual bool IsContained(TimeMs now, const MeshRequest& request) const = 0;
  /// Removes the candidates whose version the service's roll-out does not
  /// allow. `draw`: a uniform number if the attempt may try the new version.
  virtual void RestrictByRollout(
      const std::string& service, std::optional<uint64_t> draw,
      std::vector<TargetCandidate>* candidates) const {
    (void)service, (void)draw, (void)candidates;
  }
};

/// Sends the final answer to a client.
struct AnswerClient {
  uint64_t request = 0;
  MeshAnswer answer;
};
/// Sends an attempt to the daemon of a target.
struct SendForward {
  MemberId target = 0;
  ForwardRequest request;
};
/// Cancels an attempt.
struct SendCancelForward {
  MemberId target = 0;
  CancelForward cancel;
};
using ForwarderAction =
    std::variant<AnswerClient, SendForward, SendCancelForward, LogRecord>;

/// Handles client requests on the ingress daemon: matches the route, splits
/// traffic, selects targets, retries and hedges where that is safe and within
/// the retry budget, and answers each client exactly once. Deterministic; not
/// thread safe; performs no I/O.
class Forwarder {
 public:
  using Actions = std::vector<ForwarderAction>;

  Forwarder(const ForwarderSettings& settings, uint64_t seed,
            const CandidateDirectory* directory);

  /// Sets the route table for new requests; requests in flight keep theirs.
  void SetTable(RouteTablePtr table);
  /// Replaces the settings of the retry budget.
  void ApplyBudget(const RetryBudgetSettings& settings) {
    budget_.Apply(settings);
  }
  /// Number of members that share the retry budget.
  void SetMembers(size_t members) { budget_.SetMembers(members); }
  /// Requests of limited accounts need a token of this gate, which must outlive
  /// the forwarder.
  void SetQuotaGate(QuotaGate* gate) { quota_gate_ = gate; }
  /// Accepts a client's request and sends its first attempt, at once or when
  /// its account's quota allows it.
  void OnRequest(TimeMs now, uint64_t id, MeshRequest request,
                 Actions* actions);
  /// Decision on a request that has waited for a token.
  void OnQuotaDecision(TimeMs now, uint64_t id, const QuotaDecision& decision,
                       Actions* actions);
  /// Refuses a client's request without accepting it.
  void Refuse(uint64_t id, ErrorKind error, int64_t retry_after_ms,
              const std::string& request_id, Actions* actions);
  /// Refuses a client's request because no configuration is loaded yet.
  void RefuseNotReady(uint64_t id, const std::string& request_id,
                      Actions* actions);
  /// The client closed its connection: cancels the open attempts.
  void OnAbandoned(TimeMs now, uint64_t id, Actions* actions);
  /// The daemon of a target answered an attempt.
  void OnAnswer(TimeMs now, ForwardAnswer answer, Actions* actions);
  /// The message of an attempt was not sent.
  void OnNotSent(TimeMs now, uint64_t attempt, Actions* actions);
  /// The link to a member was lost while attempts to it may be open.
  void OnTargetLost(TimeMs now, MemberId target, Actions* actions);
  /// Begins a planned stop that ends at `end`. Attempts sent from now on have
  /// their aim limited to that time.
  void BeginStop(TimeMs end) { stop_at_ = end; }
  /// Ends all requests, because this process exits.
  void GiveUpAll(TimeMs now, Actions* actions);
  /// Asks the targets to refuse every attempt that is still queued there. The
  /// refused requests fail without a retry, because this process exits before
  /// another target could serve them.
  void CancelQueued(Actions* actions);
  /// A member does not respond: avoids it as a target for a while.
  void OnTargetUnresponsive(TimeMs now, MemberId target) {
    selector_.Avoid(now, target);
  }
  /// Handles deadlines and hedging; call about every 20 ms.
  void Tick(TimeMs now, Actions* actions);

  size_t InFlight() const { return requests_.size(); }
  const Counters& Counts() const { return counters_; }
  const Histograms& Latencies() const { return histograms_; }
  const TargetSelector& Selector() const { return selector_; }

 private:
  struct Attempt {
    uint64_t id = 0;
    MemberId target = 0;
    TimeMs sent;
    bool may_move = false;  ///< Sent with a longest wait.
  };
  struct Pending {
    RouteTablePtr table;
    const HttpRoute* route = nullptr;
    const ClientAccount* account = nullptr;  ///< Of `table`; may be null.
    CostKey cost;                            ///< Key of the expected run time.
    int priority = 0;  ///< Rank by the account, then by the route.
    MeshRequest request;
    std::string service;
    TimeMs arrived;
    int64_t prior_wait_ms = 0;  ///< Client's wait before this request, in ms.
    TimeMs deadline;
    int arrivals = 0;    ///< Attempts that a backend server may have received.
    int refusals = 0;    ///< Attempts refused without having run.
    bool moved = false;  ///< An attempt has moved on because of its wait.
    bool maybe_ran = false;
    std::vector<MemberId> excluded;
    std::vector<Attempt> open;  ///< Open attempts, oldest first.
    MemberId target = 0;        ///< Of the last attempt.
    TimeMs hedge_at;            ///< When to send the hedge attempt.
    /// Failed response of a backend server, returned if no retry succeeds.
    std::optional<HttpResponse> failure;
    ErrorKind last_error = ErrorKind::kNoTarget;
    int64_t retry_after_ms = 0;  ///< Minimum over the targets' refusals.
    bool waits_for_token = false;
    std::optional<TimeMs> token_expires;  ///< Set if it took a token.
  };

  void RecordLinkLatency(TimeMs now, const Pending& pending,
                         const Attempt& attempt, const ForwardAnswer& answer);
  void ReleaseToken(TimeMs now, uint64_t id, const Pending& pending,
                    const MeshAnswer& answer);
  void StartAttempt(TimeMs now, uint64_t id, Actions* actions);
  Attempt EndAttempt(Pending* pending, uint64_t id);
  void CancelAttempts(Pending* pending, Actions* actions);
  void OnRefused(TimeMs now, uint64_t id, ErrorKind error,
                 int64_t retry_after_ms, bool arrived, Actions* actions);
  void OnOutcomeUnknown(TimeMs now, uint64_t id, ErrorKind error,
                        Actions* actions);
  bool MayRetry(TimeMs now, const Pending& pending, const char* reason,
                int64_t share_permille);
  int64_t JitteredPauseMs(int64_t mean_ms);
  void SendHedge(TimeMs now, uint64_t id, Actions* actions);
  void Fail(TimeMs now, uint64_t id, ErrorKind error, Actions* actions);
  void Finish(TimeMs now, uint64_t id, MeshAnswer answer, Actions* actions);

  ForwarderSettings settings_;
  const CandidateDirectory* directory_;
  Random random_;
  RouteTablePtr table_;
  QuotaGate* quota_gate_ = nullptr;
  WeightSplitter splitter_;
  TargetSelector selector_;
  RetryBudget budget_;
  ClientTimeoutTable client_timeouts_;
  std::map<uint64_t, Pending> requests_;
  std::unordered_map<uint64_t, uint64_t> request_by_attempt_;
  uint64_t next_attempt_;
  std::optional<TimeMs> stop_at_;  ///< End of the planned stop, if any.
  bool queued_cancelled_ = false;
  Counters counters_;
  Histograms histograms_;
};

}  // namespace banyanloft
