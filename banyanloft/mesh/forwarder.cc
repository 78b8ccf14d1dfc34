#include "banyanloft/mesh/forwarder.h"

#include <algorithm>
#include <cassert>
#include <unordered_set>

#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

constexpr int64_t kPermille = 1000;
constexpr int kServerError = 500;

/// Whether another target may accept a request refused with this error.
bool OthersMayAccept(ErrorKind error) {
  return error != ErrorKind::kCrashSuspect &&
         error != ErrorKind::kMalformedRequest;
}

}  // namespace

Forwarder::Forwarder(const ForwarderSettings& settings, uint64_t seed,
                     const CandidateDirectory* directory)
    : settings_(settings),
      directory_(directory),
      random_(seed),
      splitter_(random_.Bits()),
      selector_(settings.selector, random_.Bits()),
      budget_(settings.budget),
      client_timeouts_(settings.client_timeouts),
      // Random, because a peer may still answer attempts sent by an earlier
      // process at this address.
      next_attempt_(random_.Bits() >> 1) {}

void Forwarder::SetTable(RouteTablePtr table) {
  table_ = std::move(table);
  std::unordered_set<std::string> routes;
  for (const HttpRoute& route : table_->Config().routes)
    routes.insert(route.id);
  client_timeouts_.Retain(
      [&](const std::string& route) { return routes.count(route) > 0; });
}

void Forwarder::OnRequest(TimeMs now, uint64_t id, MeshRequest request,
                          Actions* actions) {
  if (!table_) {
    return RefuseNotReady(id, request.request_id, actions);
  }
  const HttpRoute* route = table_->Match(request.host, request.target);
  if (route == nullptr) {
    return Refuse(id, ErrorKind::kUnknownRoute, 0, request.request_id, actions);
  }
  const ClientAccount* account = table_->AccountOf(request.api_key);
  if (account == nullptr && table_->NeedsApiKey(*route)) {
    return Refuse(id, ErrorKind::kUnknownApiKey, 0, request.request_id,
                  actions);
  }
  if (requests_.size() >= settings_.max_requests) {
    return Refuse(id, ErrorKind::kQueueFull,
                  JitteredPauseMs(settings_.no_target_retry_ms),
                  request.request_id, actions);
  }
  Pending& pending = requests_[id];
  pending.table = table_;
  pending.route = route;
  pending.account = account;
  pending.priority = table_->PriorityOf(*route, account);
  pending.arrived = now - request.buffered_ms;
  pending.deadline = pending.arrived + route->timeout_ms;
  if (request.wait_ms > 0) {
    pending.prior_wait_ms =
        client_timeouts_.PriorWaitMs(route->id, request.wait_ms);
    TimeMs client =
        pending.arrived + request.wait_ms - settings_.answer_margin_ms;
    pending.deadline = std::min(pending.deadline, client);
  }
  pending.service = splitter_.Next(*route);
  pending.request = std::move(request);
  pending.cost = CostModel::KeyOf(
      {route->id, pending.request.method,
       SegmentBelow(pending.request.target, route->path_prefix.size()),
       account != nullptr ? std::string_view(account->name)
                          : std::string_view(),
       pending.request.body.size()});
  if (pending.prior_wait_ms > 0)
    counters_.Add("forward_returned_total", pending.service);
  counters_.Add("forward_requests_total", pending.service);
  if (quota_gate_ == nullptr || account == nullptr)
    return OnQuotaDecision(now, id, QuotaDecision{}, actions);
  QuotaDecision decision = quota_gate_->Take(now, id, account->name);
  if (decision.verdict != QuotaDecision::Verdict::kAsk)
    return OnQuotaDecision(now, id, decision, actions);
  pending.waits_for_token = true;
  pending.hedge_at = pending.deadline;
}

void Forwarder::OnQuotaDecision(TimeMs now, uint64_t id,
                                const QuotaDecision& decision,
                                Actions* actions) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Pending& pending = it->second;
  pending.waits_for_token = false;
  if (decision.verdict == QuotaDecision::Verdict::kRefused) {
    std::string request_id = std::move(pending.request.request_id);
    requests_.erase(it);
    return Refuse(id, ErrorKind::kQuotaExceeded, decision.retry_after_ms,
                  request_id, actions);
  }
  pending.token_expires = decision.expires;
  budget_.OnRequest(now, pending.service);
  StartAttempt(now, id, actions);
}

/// A request that has certainly not run leaves its token to another one.
void Forwarder::ReleaseToken(TimeMs now, uint64_t id, const Pending& pending,
                             const MeshAnswer& answer) {
  if (quota_gate_ == nullptr || pending.account == nullptr) return;
  const std::string& account = pending.account->name;
  if (pending.waits_for_token) {
    quota_gate_->Remove(account, id);
  } else if (answer.error && answer.run_state == RunState::kNotRun &&
             pending.token_expires) {
    quota_gate_->GiveBack(now, account, *pending.token_expires);
  }
}

void Forwarder::StartAttempt(TimeMs now, uint64_t id, Actions* actions) {
  Pending& pending = requests_.at(id);
  const HttpRoute& route = *pending.route;
  int64_t left_ms = pending.deadline - now;
  if (left_ms <= 0) return Fail(now, id, ErrorKind::kTimeout, actions);

  if (directory_->IsContained(now, pending.request)) {
    if (!pending.open.empty()) return;
    pending.retry_after_ms = settings_.contained_retry_ms;
    return Fail(now, id, ErrorKind::kCrashSuspect, actions);
  }
  std::vector<TargetCandidate> candidates =
      directory_->CandidatesOf(pending.service);
  // Only first attempts try the new version of a roll-out.
  std::optional<uint64_t> draw;
  if (pending.arrivals + pending.refusals == 0 && pending.open.empty())
    draw = FastHash(pending.request.request_id, next_attempt_);
  directory_->RestrictByRollout(pending.service, draw, &candidates);
  TargetQuery query;
  query.cost = pending.cost;
  query.urgency = UrgencyOf(pending.priority);
  query.aim_left_ms =
      pending.arrived + route.aim_ms - pending.prior_wait_ms - now;
  if (stop_at_)
    query.aim_left_ms = std::min(query.aim_left_ms, *stop_at_ - now);
  std::optional<TargetChoice> choice;
  if (!candidates.empty())
    choice = selector_.Choose(now, candidates, query, pending.excluded);
  if (!choice && !pending.open.empty()) return;
  if (!choice) {
    ErrorKind error = pending.arrivals + pending.refusals > 0
                          ? pending.last_error
                          : ErrorKind::kNoTarget;
    return Fail(now, id, error, actions);
  }

  uint64_t attempt = next_attempt_++;
  // The last report is up to a second old: the target may know better. An
  // attempt moves on once, and only within the zone.
  bool may_move = choice->max_wait_ms >= 0 && !pending.moved &&
                  pending.open.empty() &&
                  pending.request.body.size() <= settings_.max_moved_bytes;
  pending.open.push_back({attempt, choice->id, now, may_move});
  pending.target = choice->id;
  request_by_attempt_[attempt] = id;
  int64_t share_ms =
      std::max(settings_.attempt_min_ms,
               left_ms * settings_.hedge_delay_permille / kPermille);
  bool may_hedge = route.idempotent && route.max_attempts > 1 &&
                   candidates.size() > 1 && pending.arrivals == 0 &&
                   pending.open.size() == 1;
  pending.hedge_at =
      may_hedge ? now + std::min(share_ms, left_ms) : pending.deadline;
  selector_.OnSent(choice->id, choice->cost_ms);
  histograms_.Add("expected_ms", route.id, query.urgency, choice->expected_ms);

  ForwardRequest forward;
  forward.attempt = attempt;
  forward.request_id = pending.request.request_id;
  forward.caller = settings_.caller;
  forward.service = pending.service;
  forward.route = route.id;
  forward.idempotent = route.idempotent;
  forward.priority = pending.priority;
  if (pending.account != nullptr) forward.account = pending.account->name;
  forward.aim_left_ms = query.aim_left_ms;
  forward.remaining_ms = left_ms;
  forward.method = pending.request.method;
  forward.target = pending.request.target;
  forward.headers = pending.request.headers;
  forward.body = pending.request.body;
  if (may_move) forward.max_wait_ms = choice->max_wait_ms;
  forward.response_bytes = selector_.ResponseBytes(now, pending.cost);
  forward.expected_run_ms = selector_.AverageRunMs(now, pending.cost);
  counters_.Add("forward_attempts_total", choice->same_zone ? "near" : "far");
  actions->push_back(SendForward{choice->id, std::move(forward)});
}

/// Removes an open attempt from all indexes and returns it.
Forwarder::Attempt Forwarder::EndAttempt(Pending* pending, uint64_t id) {
  auto it = std::find_if(pending->open.begin(), pending->open.end(),
                         [&](const Attempt& a) { return a.id == id; });
  assert(it != pending->open.end());
  Attempt attempt = *it;
  pending->open.erase(it);
  request_by_attempt_.erase(id);
  selector_.OnEnded(attempt.target);
  return attempt;
}

/// Cancels all open attempts.
void Forwarder::CancelAttempts(Pending* pending, Actions* actions) {
  while (!pending->open.empty()) {
    Attempt attempt = pending->open.back();
    actions->push_back(
        SendCancelForward{attempt.target, CancelForward{attempt.id}});
    EndAttempt(pending, attempt.id);
  }
}

/// Records an attempt's latency without its queueing and run time: the round
/// trip between the daemons and their processing.
void Forwarder::RecordLinkLatency(TimeMs now, const Pending& pending,
                                  const Attempt& attempt,
                                  const ForwardAnswer& answer) {
  if (answer.run_ms < 0) return;
  int64_t link_ms = (now - attempt.sent) - answer.run_ms - answer.waited_ms;
  histograms_.Add("link_ms", pending.route->id, UrgencyOf(pending.priority),
                  std::max<int64_t>(0, link_ms));
}

void Forwarder::OnAnswer(TimeMs now, ForwardAnswer answer, Actions* actions) {
  auto found = request_by_attempt_.find(answer.attempt);
  if (found == request_by_attempt_.end()) {
    counters_.Add("forward_late_answers_total");
    return;
  }
  uint64_t id = found->second;
  Pending& pending = requests_.at(id);
  Attempt attempt = EndAttempt(&pending, answer.attempt);
  MemberId target = attempt.target;
  RecordLinkLatency(now, pending, attempt, answer);
  bool moves = attempt.may_move && answer.error == ErrorKind::kOverloaded &&
               answer.run_state == RunState::kNotRun && !answer.arrived &&
               pending.open.empty() && !queued_cancelled_;
  if (moves) {
    pending.moved = true;
    counters_.Add("forward_moved_total");
    selector_.OnReport(now, target, answer.load, pending.cost, answer.run_ms);
    return StartAttempt(now, id, actions);
  }
  pending.excluded.push_back(target);
  selector_.OnReport(now, target, answer.load, pending.cost, answer.run_ms);

  if (answer.error && answer.run_state == RunState::kNotRun) {
    if (answer.arrived) selector_.OnOutcome(now, target, true);
    if (!answer.arrived && answer.error != ErrorKind::kOverloaded &&
        answer.error != ErrorKind::kDeadlineUnmeetable &&
        OthersMayAccept(*answer.error))
      selector_.Avoid(now, target);
    return OnRefused(now, id, *answer.error, answer.retry_after_ms,
                     answer.arrived, actions);
  }
  ++pending.arrivals;
  if (answer.error) {
    selector_.OnOutcome(now, target, true);
    return OnOutcomeUnknown(now, id, *answer.error, actions);
  }
  selector_.OnResponse(now, pending.cost, answer.response.body.size());
  bool failed = answer.response.status >= kServerError;
  selector_.OnOutcome(now, target, failed);
  // A failed idempotent request may succeed on another target.
  if (failed && (!pending.open.empty() ||
                 MayRetry(now, pending, "backend_failed",
                          settings_.failure_retry_share_permille))) {
    pending.last_error = ErrorKind::kBackendBroken;
    pending.maybe_ran = true;
    pending.failure = std::move(answer.response);
    if (!pending.open.empty()) return;
    return StartAttempt(now, id, actions);
  }
  MeshAnswer out;
  out.run_state = RunState::kRan;
  out.response = std::move(answer.response);
  Finish(now, id, std::move(out), actions);
}

/// A target refused the attempt: it did not run.
void Forwarder::OnRefused(TimeMs now, uint64_t id, ErrorKind error,
                          int64_t retry_after_ms, bool arrived,
                          Actions* actions) {
  Pending& pending = requests_.at(id);
  pending.last_error = error;
  ++pending.refusals;
  if (arrived) ++pending.arrivals;
  if (retry_after_ms > 0) {
    pending.retry_after_ms =
        pending.retry_after_ms == 0
            ? retry_after_ms
            : std::min(pending.retry_after_ms, retry_after_ms);
  }
  counters_.Add("forward_refused_total", std::string(NameOf(error)));
  if (!pending.open.empty()) return;
  bool again = !queued_cancelled_ && OthersMayAccept(error) &&
               pending.refusals < settings_.max_refusals &&
               now < pending.deadline;
  // An attempt that reached a backend server counts towards max_attempts.
  if (again && arrived) {
    again = pending.arrivals < pending.route->max_attempts &&
            budget_.Take(now, pending.service, kPermille);
  }
  if (!again) return Fail(now, id, error, actions);
  StartAttempt(now, id, actions);
}

/// An attempt ended without the information whether it ran.
void Forwarder::OnOutcomeUnknown(TimeMs now, uint64_t id, ErrorKind error,
                                 Actions* actions) {
  Pending& pending = requests_.at(id);
  pending.maybe_ran = true;
  pending.last_error = error;
  if (!pending.open.empty()) return;
  if (!MayRetry(now, pending, NameOf(error).data(), kPermille))
    return Fail(now, id, error, actions);
  StartAttempt(now, id, actions);
}

/// Whether a request that may have run can be sent to another target. Takes one
/// retry from the budget, of which at most `share_permille` may be used.
bool Forwarder::MayRetry(TimeMs now, const Pending& pending, const char* reason,
                         int64_t share_permille) {
  bool may = !queued_cancelled_ && pending.route->idempotent &&
             pending.arrivals < pending.route->max_attempts &&
             now + settings_.attempt_min_ms < pending.deadline;
  if (!may) return false;
  if (!budget_.Take(now, pending.service, share_permille)) {
    counters_.Add("forward_repeats_denied_total", reason);
    return false;
  }
  counters_.Add("forward_repeats_total", reason);
  if (quota_gate_ != nullptr && pending.account != nullptr)
    quota_gate_->Charge(now, pending.account->name);
  return true;
}

/// Ends a request with an error generated by this daemon, or with a backend
/// server's failed response if there is one. Reports "not run" only if no
/// attempt can have run.
void Forwarder::Fail(TimeMs now, uint64_t id, ErrorKind error,
                     Actions* actions) {
  Pending& pending = requests_.at(id);
  if (pending.failure) {
    MeshAnswer failed;
    failed.run_state = RunState::kRan;
    failed.response = std::move(*pending.failure);
    return Finish(now, id, std::move(failed), actions);
  }
  MeshAnswer answer;
  answer.error = error;
  bool not_run = !pending.maybe_ran;
  answer.run_state = not_run ? RunState::kNotRun : RunState::kUnknown;
  if (not_run) {
    answer.retry_after_ms = pending.retry_after_ms > 0
                                ? pending.retry_after_ms
                                : JitteredPauseMs(settings_.no_target_retry_ms);
  }
  counters_.Add("forward_failures_total", std::string(NameOf(error)));
  LogRecord record{LogLevel::kWarning,
                   "request_failed",
                   {{"request", pending.request.request_id},
                    {"error", std::string(NameOf(error))},
                    {"run_state", std::string(NameOf(answer.run_state))},
                    {"route", pending.route->id},
                    {"service", pending.service},
                    {"version", std::to_string(pending.table->Version())},
                    {"target", MemberName(pending.target)},
                    {"arrivals", std::to_string(pending.arrivals)},
                    {"refusals", std::to_string(pending.refusals)},
                    {"elapsed_ms", std::to_string(now - pending.arrived)},
                    {"retry_after_ms", std::to_string(answer.retry_after_ms)}}};
  actions->push_back(std::move(record));
  Finish(now, id, std::move(answer), actions);
}

void Forwarder::Finish(TimeMs now, uint64_t id, MeshAnswer answer,
                       Actions* actions) {
  auto it = requests_.find(id);
  Pending& pending = it->second;
  CancelAttempts(&pending, actions);
  ReleaseToken(now, id, pending, answer);
  histograms_.Add(answer.error ? "failed_ms" : "answered_ms", pending.route->id,
                  UrgencyOf(pending.priority), now - pending.arrived);
  if (!answer.error) {
    counters_.Add("forward_answered_total", pending.service);
    actions->push_back(
        LogRecord{LogLevel::kDebug,
                  "request_answered",
                  {{"request", pending.request.request_id},
                   {"route", pending.route->id},
                   {"service", pending.service},
                   {"version", std::to_string(pending.table->Version())},
                   {"target", MemberName(pending.target)},
                   {"status", std::to_string(answer.response.status)},
                   {"arrivals", std::to_string(pending.arrivals)},
                   {"refusals", std::to_string(pending.refusals)},
                   {"elapsed_ms", std::to_string(now - pending.arrived)}}});
  }
  actions->push_back(AnswerClient{id, std::move(answer)});
  requests_.erase(it);
}

void Forwarder::RefuseNotReady(uint64_t id, const std::string& request_id,
                               Actions* actions) {
  Refuse(id, ErrorKind::kNotReady,
         JitteredPauseMs(settings_.not_ready_retry_ms), request_id, actions);
}

/// Uniform between 0.5 and 1.5 times the mean, so that clients refused at the
/// same time do not retry at the same time.
int64_t Forwarder::JitteredPauseMs(int64_t mean_ms) {
  return mean_ms / 2 +
         static_cast<int64_t>(random_.Below(static_cast<uint64_t>(mean_ms)));
}

void Forwarder::Refuse(uint64_t id, ErrorKind error, int64_t retry_after_ms,
                       const std::string& request_id, Actions* actions) {
  counters_.Add("forward_failures_total", std::string(NameOf(error)));
  std::string version = table_ ? std::to_string(table_->Version()) : "none";
  actions->push_back(LogRecord{LogLevel::kWarning,
                               "request_refused",
                               {{"request", request_id},
                                {"error", std::string(NameOf(error))},
                                {"version", version}}});
  MeshAnswer answer;
  answer.error = error;
  answer.run_state = RunState::kNotRun;
  answer.retry_after_ms = retry_after_ms;
  actions->push_back(AnswerClient{id, std::move(answer)});
}

void Forwarder::CancelQueued(Actions* actions) {
  queued_cancelled_ = true;
  for (const auto& [id, pending] : requests_) {
    for (const Attempt& attempt : pending.open)
      actions->push_back(
          SendCancelForward{attempt.target, CancelForward{attempt.id, true}});
  }
}

void Forwarder::GiveUpAll(TimeMs now, Actions* actions) {
  while (!requests_.empty()) {
    auto& [id, pending] = *requests_.begin();
    pending.maybe_ran = pending.maybe_ran || !pending.open.empty();
    Fail(now, id, ErrorKind::kDraining, actions);
  }
}

void Forwarder::OnAbandoned(TimeMs now, uint64_t id, Actions* actions) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Pending& pending = it->second;
  counters_.Add("forward_abandoned_total");
  actions->push_back(
      LogRecord{LogLevel::kInfo,
                "request_abandoned",
                {{"request", pending.request.request_id},
                 {"route", pending.route->id},
                 {"target", MemberName(pending.target)},
                 {"elapsed_ms", std::to_string(now - pending.arrived)}}});
  if (pending.waits_for_token) ReleaseToken(now, id, pending, MeshAnswer{});
  CancelAttempts(&pending, actions);
  requests_.erase(it);
}

void Forwarder::OnNotSent(TimeMs now, uint64_t attempt, Actions* actions) {
  auto found = request_by_attempt_.find(attempt);
  if (found == request_by_attempt_.end()) return;
  uint64_t id = found->second;
  Pending& pending = requests_.at(id);
  MemberId target = EndAttempt(&pending, attempt).target;
  pending.excluded.push_back(target);
  selector_.Avoid(now, target);
  OnRefused(now, id, ErrorKind::kTargetUnreachable, 0, false, actions);
}

void Forwarder::OnTargetLost(TimeMs now, MemberId target, Actions* actions) {
  std::vector<std::pair<uint64_t, uint64_t>> lost;
  for (const auto& [id, pending] : requests_) {
    for (const Attempt& attempt : pending.open) {
      if (attempt.target == target) lost.emplace_back(id, attempt.id);
    }
  }
  for (const auto& [id, attempt] : lost) {
    Pending& pending = requests_.at(id);
    EndAttempt(&pending, attempt);
    pending.excluded.push_back(target);
    ++pending.arrivals;
    OnOutcomeUnknown(now, id, ErrorKind::kTargetLost, actions);
  }
  selector_.Avoid(now, target);
}

void Forwarder::Tick(TimeMs now, Actions* actions) {
  std::vector<uint64_t> due;
  for (const auto& [id, pending] : requests_) {
    bool late = now >= pending.deadline || now >= pending.hedge_at;
    if (late) due.push_back(id);
  }
  for (uint64_t id : due) {
    Pending& pending = requests_.at(id);
    if (now >= pending.deadline) {
      pending.maybe_ran = pending.maybe_ran || !pending.open.empty();
      Fail(now, id, ErrorKind::kTimeout, actions);
      continue;
    }
    SendHedge(now, id, actions);
  }
}

/// Hedges a slow request: sends it to a second target and keeps the first
/// attempt open. The first answer wins.
void Forwarder::SendHedge(TimeMs now, uint64_t id, Actions* actions) {
  Pending& pending = requests_.at(id);
  pending.hedge_at = pending.deadline;
  if (pending.open.empty()) return;
  MemberId first = pending.open.front().target;
  ++pending.arrivals;  // The first attempt may have run.
  bool may = MayRetry(now, pending, "slow", kPermille);
  --pending.arrivals;
  if (!may) return;
  selector_.OnOutcome(now, first, true);
  pending.excluded.push_back(first);
  StartAttempt(now, id, actions);
}

}  // namespace banyanloft
