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
#include "banyanloft/mesh/retry_budget.h"
#include "banyanloft/mesh/route_table.h"
#include "banyanloft/mesh/target_selector.h"
#include "banyanloft/mesh/weight_splitter.h"

namespace banyanloft {

/// Settings of the first daemon's part of a request.
struct ForwarderSettings {
  std::string caller;  ///< Service of the backend server beside this daemon.
  RetryBudgetSettings budget;
  TargetSelectorSettings selector;
  ClientTimeoutTableSettings client_timeouts;
  /// Targets that may refuse a request unrun before its client is told; a
  /// refusal costs a round trip and no work.
  int max_refusals = 3;
  /// Part of the time left after which an idempotent request that is still
  /// without an answer is offered to a second target as well, in 1/1000.
  int64_t hedge_delay_permille = 550;
  int64_t attempt_min_ms = 100;  ///< Shortest time for one attempt, in ms.
  /// Part of the retry budget open to requests that a backend server ran and
  /// failed, in 1/1000. Failures often come from its own nested calls: running
  /// it again repeats those too.
  int64_t failure_retry_share_permille = 250;
  /// Time kept back from a client's deadline for the way of the answer, in ms.
  int64_t answer_margin_ms = 10;
  /// Pause asked of clients while no target is known, in ms: the time in which
  /// membership spreads a new target. On average; between a half and one and a
  /// half of it is told.
  int64_t no_target_retry_ms = 400;
  int64_t not_ready_retry_ms = 500;  ///< The same while no version is known.
  size_t max_requests = 20000;       ///< Most requests in hand.
};

/// What the forwarder needs to know of other daemons.
class CandidateDirectory {
 public:
  virtual ~CandidateDirectory() = default;
  /// Members whose backend server runs the service and takes new work.
  virtual std::vector<TargetCandidate> CandidatesOf(
      const std::string& service) const = 0;
};

/// Answers a client.
struct AnswerClient {
  uint64_t request = 0;
  MeshAnswer answer;
};
/// Sends an attempt to a target's daemon.
struct SendForward {
  MemberId target = 0;
  ForwardRequest request;
};
/// Withdraws an attempt.
struct SendCancelForward {
  MemberId target = 0;
  CancelForward cancel;
};
using ForwarderAction =
    std::variant<AnswerClient, SendForward, SendCancelForward, LogRecord>;

/// The first daemon's part of a request: finds its route, splits traffic,
/// chooses targets, repeats what is safe within the shared budget and answers
/// the client once. Deterministic; not thread safe; free of I/O.
class Forwarder {
 public:
  using Actions = std::vector<ForwarderAction>;

  Forwarder(const ForwarderSettings& settings, uint64_t seed,
            const CandidateDirectory* directory);

  /// The version in force; requests in hand keep theirs.
  void SetTable(RouteTablePtr table);
  /// The retry budget from now on.
  void ApplyBudget(const RetryBudgetSettings& settings) {
    budget_.Apply(settings);
  }
  /// Members among which the retry budget is shared.
  void SetMembers(size_t members) { budget_.SetMembers(members); }
  /// A client's request.
  void OnRequest(TimeMs now, uint64_t id, MeshRequest request,
                 Actions* actions);
  /// Refuses a client's request that does not come into hand.
  void Refuse(uint64_t id, ErrorKind error, int64_t retry_after_ms,
              const std::string& request_id, Actions* actions);
  /// Refuses a client's request since no version is known yet.
  void RefuseNotReady(uint64_t id, const std::string& request_id,
                      Actions* actions);
  /// The client went away.
  void OnAbandoned(TimeMs now, uint64_t id, Actions* actions);
  /// An attempt was answered by a member's daemon.
  void OnAnswer(TimeMs now, ForwardAnswer answer, Actions* actions);
  /// The message of an attempt never left this daemon.
  void OnNotSent(TimeMs now, uint64_t attempt, Actions* actions);
  /// The link to a member was lost with attempts under way.
  void OnTargetLost(TimeMs now, MemberId target, Actions* actions);
  /// A planned stop that ends at `end`: from now on nothing is sent that would
  /// wait beyond.
  void BeginStop(TimeMs end) { stop_at_ = end; }
  /// Asks for every attempt that waits at a target to be given back. Requests
  /// that come back so are refused: this process ends before another could
  /// serve them.
  void CancelWaiting(Actions* actions);
  /// A member shows no sign; nothing more is sent to it for now.
  void OnTargetUnresponsive(TimeMs now, MemberId target) {
    selector_.Avoid(now, target);
  }
  /// Deadlines; to be called every 20 ms or so.
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
  };
  struct Pending {
    RouteTablePtr table;
    const HttpRoute* route = nullptr;
    MeshRequest request;
    std::string service;
    TimeMs arrived;
    int64_t prior_wait_ms = 0;  ///< Time that the client waited before, in ms.
    TimeMs deadline;
    int arrivals = 0;  ///< Attempts that a backend server may have got.
    int refusals = 0;  ///< Attempts refused unrun.
    bool maybe_ran = false;
    std::vector<MemberId> excluded;
    std::vector<Attempt> open;  ///< Attempts under way, the oldest first.
    MemberId target = 0;        ///< Of the last attempt.
    TimeMs hedge_at;            ///< When another target is asked as well.
    /// A backend server's failure, for the client if nothing better comes.
    std::optional<HttpResponse> failure;
    ErrorKind last_error = ErrorKind::kNoTarget;
    int64_t retry_after_ms = 0;  ///< Shortest that a target asked for.
  };

  void RecordLinkLatency(TimeMs now, const HttpRoute& route,
                         const Attempt& attempt, const ForwardAnswer& answer);
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
  WeightSplitter splitter_;
  TargetSelector selector_;
  RetryBudget budget_;
  ClientTimeoutTable client_timeouts_;
  std::map<uint64_t, Pending> requests_;
  std::unordered_map<uint64_t, uint64_t> request_by_attempt_;
  uint64_t next_attempt_;
  std::optional<TimeMs> stop_at_;  ///< End of a planned stop.
  bool cancelling_waiting_ = false;
  Counters counters_;
  Histograms histograms_;
};

}  // namespace banyanloft
