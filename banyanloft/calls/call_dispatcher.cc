#include "banyanloft/calls/call_dispatcher.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyanloft {
namespace {

constexpr int64_t kKeyTimeoutMs = 1000;
constexpr size_t kMaxTried = 4;

bool CountsAsFailure(const RunOutcome& outcome) {
  return outcome.error.has_value() && outcome.run_state == RunState::kUnknown;
}

}  // namespace

CallDispatcher::CallDispatcher(const DispatcherSettings& settings,
                               std::string own_zone, std::string secret,
                               uint64_t seed, const TargetDirectory* directory)
    : settings_(settings),
      own_zone_(std::move(own_zone)),
      secret_(std::move(secret)),
      random_(seed),
      directory_(directory),
      retries_(settings.retries) {}

void CallDispatcher::SetSnapshot(SnapshotPtr snapshot) {
  snapshot_ = std::move(snapshot);
  for (auto it = pickers_.begin(); it != pickers_.end();) {
    bool still_exists = snapshot_->FindService(it->first) != nullptr;
    it = still_exists ? std::next(it) : pickers_.erase(it);
  }
}

void CallDispatcher::OnCall(TimeMs now, uint64_t id, CallRequest request,
                            Actions* actions) {
  counters_.Add("calls_total");
  Call call;
  call.request = std::move(request);
  call.arrived = now;
  std::optional<ErrorKind> refused = Admit(now, &call);
  auto [it, fresh] = calls_.emplace(id, std::move(call));
  if (refused) return Finish(now, id, RefusalOf(*refused), actions);

  retries_.OnFirstAttempt(it->second.route->service);
  StartAttempt(now, id, &it->second, actions);
}

/// Resolves route, rank, key and deadline; returns the error if the call cannot
/// be sent.
std::optional<ErrorKind> CallDispatcher::Admit(TimeMs now, Call* call) {
  if (!snapshot_) return ErrorKind::kNotReady;
  call->snapshot = snapshot_;
  call->route = snapshot_->FindRoute(call->request.name);
  if (call->route == nullptr) return ErrorKind::kUnknownRoute;
  if (std::optional<ErrorKind> error = ResolveRank(call)) return error;
  if (std::optional<ErrorKind> error = CheckKey(call)) return error;
  if (call->request.depth >= kMaxCallDepth) return ErrorKind::kDepthExceeded;
  if (calls_.size() >= settings_.max_calls) return ErrorKind::kQueueFull;

  int64_t timeout_ms = call->route->timeout_ms;
  if (call->request.timeout_ms > 0)
    timeout_ms = std::min(timeout_ms, call->request.timeout_ms);
  call->deadline = now + timeout_ms;
  return std::nullopt;
}

/// A caller may request a rank, but none more urgent than that of the route.
std::optional<ErrorKind> CallDispatcher::ResolveRank(Call* call) const {
  const Configuration& config = call->snapshot->Config();
  int allowed = config.RankIndex(call->route->rank);
  int requested = allowed;
  if (!call->request.rank.empty()) {
    requested = config.RankIndex(call->request.rank);
    if (requested < 0) return ErrorKind::kMalformedRequest;
  }
  call->rank_index = std::max(allowed, requested);
  call->rank = config.ranks[static_cast<size_t>(call->rank_index)].id;
  return std::nullopt;
}

std::optional<ErrorKind> CallDispatcher::CheckKey(Call* call) const {
  if (call->request.key.empty()) {
    if (call->route->key_required) return ErrorKind::kKeyMissing;
    return std::nullopt;
  }
  Result<RunKey> key = ParseKey(call->request.key, call->route->id, secret_);
  if (const Error* error = ErrorOf(key)) return error->kind;
  call->key = *ValueOf(key);
  return std::nullopt;
}

TargetPicker& CallDispatcher::PickerOf(TimeMs now, const Service& service) {
  PickerEntry& entry = pickers_[service.id];
  if (!entry.picker) {
    PickerSettings picker = settings_.picker;
    picker.slow_start_ms = service.slow_start_ms;
    entry.picker = MakeLeastLoadedPicker(picker, own_zone_, random_.Bits());
  }
  if (now - entry.refreshed >= settings_.refresh_ms) {
    entry.picker->SetTargets(now, directory_->TargetsOf(service));
    entry.refreshed = now;
  }
  return *entry.picker;
}

void CallDispatcher::StartAttempt(TimeMs now, uint64_t id, Call* call,
                                  Actions* actions) {
  if (call->key) return StartHomeAttempt(now, id, call, actions);
  const Service* service = call->snapshot->FindService(call->route->service);
  PickResult pick =
      PickerOf(now, *service).Pick(now, call->rank_index, call->tried);
  if (!pick.target) {
    bool early = pick.failure == PickFailure::kEarlyRefused;
    ErrorKind kind = early ? ErrorKind::kEarlyRefused : ErrorKind::kNoTarget;
    // If a retry finds no target, report the failure of the previous attempt.
    RunOutcome outcome =
        call->attempts > 0 ? call->last_failure : RefusalOf(kind, pick.reason);
    return Finish(now, id, std::move(outcome), actions);
  }
  Send(now, id, call, *pick.target, actions);
}

/// A keyed call may only be sent to the daemon that issued its key.
void CallDispatcher::StartHomeAttempt(TimeMs now, uint64_t id, Call* call,
                                      Actions* actions) {
  switch (directory_->ReachabilityOf(call->key->home)) {
    case TargetDirectory::Reachability::kGone:
      return Finish(now, id, RefusalOf(ErrorKind::kHomeLost), actions);
    case TargetDirectory::Reachability::kUnreachable:
      return Finish(now, id, RefusalOf(ErrorKind::kHomeUnreachable), actions);
    case TargetDirectory::Reachability::kReachable:
      return Send(now, id, call, call->key->home, actions);
  }
}

void CallDispatcher::Send(TimeMs now, uint64_t id, Call* call, MemberId target,
                          Actions* actions) {
  call->backing_off = false;
  call->attempt = next_attempt_++;
  call->target = target;
  ++call->attempts;
  call_by_attempt_[call->attempt] = id;
  if (call->tried.size() < kMaxTried) call->tried.push_back(target);
  counters_.Add("call_attempts_total", call->attempts == 1 ? "first" : "retry");

  // An idempotent attempt must leave time for a retry; others may use all the
  // remaining time.
  int64_t left_ms = call->deadline - now;
  int64_t share_ms =
      std::max(settings_.attempt_min_ms,
               left_ms * settings_.attempt_share_permille / 1000);
  call->attempt_deadline =
      call->route->idempotent ? now + share_ms : call->deadline;

  if (!call->key)
    PickerOf(now, *call->snapshot->FindService(call->route->service))
        .OnSent(target);
  RunRequest request;
  request.attempt = call->attempt;
  request.route = call->route->id;
  request.rank = call->rank;
  request.kind = call->route->kind;
  request.key = call->request.key;
  request.remaining_ms = left_ms;
  request.depth = call->request.depth + 1;
  request.content_type = call->request.content_type;
  request.body = call->request.body;
  actions->push_back(SendRun{target, call->rank_index, std::move(request)});
}

/// Removes the attempt in flight and reports its end to the picker.
void CallDispatcher::EndAttempt(TimeMs now, Call* call, bool failed) {
  if (call->attempt == 0) return;
  call_by_attempt_.erase(call->attempt);
  call->attempt = 0;
  const Service* service = call->snapshot->FindService(call->route->service);
  if (!call->key) PickerOf(now, *service).OnEnded(now, call->target, failed);
}

void CallDispatcher::OnRunAnswer(TimeMs now, const RunAnswer& answer,
                                 Actions* actions) {
  auto found = call_by_attempt_.find(answer.attempt);
  if (found == call_by_attempt_.end()) {
    counters_.Add("late_answers_total");
    return;
  }
  uint64_t id = found->second;
  Call& call = calls_.at(id);
  if (!call.key) {
    const Service* service = call.snapshot->FindService(call.route->service);
    PickerOf(now, *service).OnReport(now, call.target, answer.load);
  }
  EndAttempt(now, &call, CountsAsFailure(answer.outcome));
  if (!answer.outcome.error) {
    call.retried = call.retried || answer.retried_downstream;
    return Finish(now, id, answer.outcome, actions);
  }
  OnFailure(now, id, answer.outcome, answer.retried_downstream, actions);
}

void CallDispatcher::OnFailure(TimeMs now, uint64_t id, RunOutcome outcome,
                               bool retried_downstream, Actions* actions) {
  Call& call = calls_.at(id);
  call.retried = call.retried || retried_downstream;
  call.maybe_ran = call.maybe_ran || outcome.run_state != RunState::kNotRun;

  FailedAttempt failed;
  failed.error = *outcome.error;
  failed.run_state = outcome.run_state;
  failed.idempotent = call.route->idempotent;
  failed.keyed = call.key.has_value();
  failed.retried_downstream = retried_downstream;
  failed.attempts = call.attempts;
  failed.deadline = call.deadline;
  RetryDecision decision = retries_.Decide(now, call.route->service, failed);
  counters_.Add("retry_verdicts_total", NameOf(decision));
  if (decision != RetryDecision::kRetry)
    return Finish(now, id, std::move(outcome), actions);

  counters_.Add("retries_total", std::string(NameOf(failed.error)));
  call.last_failure = std::move(outcome);
  call.retried = true;
  call.backing_off = true;
  call.retry_at = now + retries_.BackoffMs(call.attempts + 1, &random_);
  if (call.retry_at <= now) StartAttempt(now, id, &call, actions);
}

void CallDispatcher::Finish(TimeMs now, uint64_t id, RunOutcome outcome,
                            Actions* actions) {
  auto it = calls_.find(id);
  Call& call = it->second;
  EndAttempt(now, &call, false);

  CallAnswer answer;
  if (outcome.error) {
    answer.hint = ErrorInfoOf(*outcome.error).retry_hint;
    // Only the home of a key can state that the key did not run. A refusal by
    // another daemon says nothing about copies of the call sent earlier.
    bool home_answered =
        call.attempts > 0 && outcome.run_state != RunState::kUnknown;
    bool has_key =
        !call.request.key.empty() && outcome.error != ErrorKind::kKeyInvalid;
    bool key_outcome_unknown = has_key && !home_answered;
    if (key_outcome_unknown) {
      outcome.run_state = RunState::kUnknown;
      bool lost = outcome.error == ErrorKind::kHomeLost ||
                  outcome.error == ErrorKind::kKeyExpired;
      answer.hint = lost ? RetryHint::kNo : RetryHint::kResendKey;
    }
    // That the last attempt did not run says nothing about earlier attempts.
    bool may_have_run_before =
        call.maybe_ran && outcome.run_state == RunState::kNotRun;
    if (may_have_run_before) outcome.run_state = RunState::kUnknown;
    CountRefusal(&call, *outcome.error);
  } else {
    counters_.Add("calls_served_total", call.rank);
  }
  answer.outcome = std::move(outcome);
  answer.retried = call.retried;
  answer.target = call.target != 0 ? MemberName(call.target) : "";
  answer.version = call.snapshot ? call.snapshot->Version() : 0;
  actions->push_back(ReplyCall{id, std::move(answer)});
  calls_.erase(it);
}

void CallDispatcher::CountRefusal(const Call* call, ErrorKind kind) {
  counters_.Add("refusals_total", std::string(NameOf(kind)));
  if (!call->rank.empty()) counters_.Add("refusals_by_rank_total", call->rank);
}

void CallDispatcher::OnCallerKeyRequest(TimeMs now, uint64_t id,
                                        const std::string& name,
                                        Actions* actions) {
  const Route* route = snapshot_ ? snapshot_->FindRoute(name) : nullptr;
  if (route == nullptr) {
    ErrorKind kind =
        snapshot_ ? ErrorKind::kUnknownRoute : ErrorKind::kNotReady;
    actions->push_back(ReplyKey{id, "", kind});
    return;
  }
  PickResult pick =
      PickerOf(now, *snapshot_->FindService(route->service)).Pick(now, 0, {});
  if (!pick.target) {
    actions->push_back(ReplyKey{id, "", ErrorKind::kNoTarget});
    return;
  }
  KeyRequest request{next_attempt_++, route->id};
  pending_key_requests_[request.attempt] =
      PendingKeyRequest{id, route->service, *pick.target, now + kKeyTimeoutMs};
  actions->push_back(SendKeyRequest{*pick.target, std::move(request)});
}

void CallDispatcher::OnKeyAnswer(TimeMs, const KeyAnswer& answer,
                                 Actions* actions) {
  auto it = pending_key_requests_.find(answer.attempt);
  if (it == pending_key_requests_.end()) return;
  counters_.Add("keys_taken_total",
                answer.error ? std::string(NameOf(*answer.error)) : "ok");
  actions->push_back(ReplyKey{it->second.call, answer.key, answer.error});
  pending_key_requests_.erase(it);
}

void CallDispatcher::OnAbandoned(TimeMs now, uint64_t id, Actions* actions) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call& call = it->second;
  counters_.Add("calls_abandoned_total");
  if (call.attempt != 0)
    actions->push_back(SendCancel{call.target, CancelRun{call.attempt}});
  EndAttempt(now, &call, false);
  calls_.erase(it);
}

void CallDispatcher::OnNotSent(TimeMs now, uint64_t attempt, Actions* actions) {
  auto pending = pending_key_requests_.find(attempt);
  if (pending != pending_key_requests_.end()) {
    actions->push_back(
        ReplyKey{pending->second.call, "", ErrorKind::kTargetUnreachable});
    pending_key_requests_.erase(pending);
    return;
  }
  auto found = call_by_attempt_.find(attempt);
  if (found == call_by_attempt_.end()) return;
  uint64_t id = found->second;
  Call& call = calls_.at(id);
  EndAttempt(now, &call, true);
  if (!call.key) {
    return OnFailure(now, id, RefusalOf(ErrorKind::kTargetUnreachable), false,
                     actions);
  }
  call.last_failure = RefusalOf(ErrorKind::kHomeUnreachable);
  call.backing_off = true;
  call.retry_at = now + settings_.key_resend_ms;
}

void CallDispatcher::OnTargetLost(TimeMs now, MemberId target,
                                  Actions* actions) {
  std::vector<uint64_t> lost;
  for (const auto& [id, call] : calls_) {
    if (call.attempt != 0 && call.target == target) lost.push_back(id);
  }
  for (uint64_t id : lost) {
    Call& call = calls_.at(id);
    EndAttempt(now, &call, true);
    if (!call.key) {
      OnFailure(now, id, RefusalOf(ErrorKind::kTargetLost), false, actions);
      continue;
    }
    // The home holds the outcome of the key: resend until the deadline.
    counters_.Add("key_resends_total");
    call.last_failure = RefusalOf(ErrorKind::kHomeUnreachable);
    call.backing_off = true;
    call.retry_at = now + settings_.key_resend_ms;
  }
  for (auto it = pending_key_requests_.begin();
       it != pending_key_requests_.end();) {
    if (it->second.target != target) {
      ++it;
      continue;
    }
    actions->push_back(
        ReplyKey{it->second.call, "", ErrorKind::kTargetUnreachable});
    it = pending_key_requests_.erase(it);
  }
}

void CallDispatcher::Tick(TimeMs now, Actions* actions) {
  std::vector<uint64_t> ids;
  ids.reserve(calls_.size());
  for (const auto& [id, call] : calls_) {
    bool due = now >= call.deadline ||
               (call.backing_off && now >= call.retry_at) ||
               (call.attempt != 0 && now >= call.attempt_deadline);
    if (due) ids.push_back(id);
  }
  for (uint64_t id : ids) {
    Call& call = calls_.at(id);
    if (now >= call.deadline) {
      OnDeadline(now, id, actions);
    } else if (call.backing_off) {
      StartAttempt(now, id, &call, actions);
    } else {
      OnAttemptTimeout(now, id, actions);
    }
  }
  for (auto it = pending_key_requests_.begin();
       it != pending_key_requests_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    actions->push_back(
        ReplyKey{it->second.call, "", ErrorKind::kTargetUnreachable});
    it = pending_key_requests_.erase(it);
  }
}

void CallDispatcher::OnDeadline(TimeMs now, uint64_t id, Actions* actions) {
  Call& call = calls_.at(id);
  if (call.attempt == 0) {
    return Finish(now, id,
                  call.last_failure.error ? call.last_failure
                                          : RefusalOf(ErrorKind::kTimeout),
                  actions);
  }
  actions->push_back(SendCancel{call.target, CancelRun{call.attempt}});
  EndAttempt(now, &call, true);
  Finish(now, id, RefusalOf(ErrorKind::kTimeout), actions);
}

/// An idempotent attempt used up its share of the time: try another target.
void CallDispatcher::OnAttemptTimeout(TimeMs now, uint64_t id,
                                      Actions* actions) {
  Call& call = calls_.at(id);
  MemberId target = call.target;
  uint64_t attempt = call.attempt;
  FailedAttempt failed;
  failed.error = ErrorKind::kTargetLost;
  failed.idempotent = true;
  failed.attempts = call.attempts;
  failed.deadline = call.deadline;
  RetryDecision decision = retries_.Decide(now, call.route->service, failed);
  counters_.Add("retry_verdicts_total", NameOf(decision));
  if (decision != RetryDecision::kRetry) {
    // No retry is allowed: let this attempt run until the deadline.
    call.attempt_deadline = call.deadline;
    return;
  }
  counters_.Add("retries_total", "attempt_timeout");
  actions->push_back(SendCancel{target, CancelRun{attempt}});
  EndAttempt(now, &call, true);
  call.last_failure = RefusalOf(ErrorKind::kTimeout);
  call.maybe_ran = true;
  call.retried = true;
  StartAttempt(now, id, &call, actions);
}

std::string CallDispatcher::Explain(TimeMs now, const std::string& name) {
  if (!snapshot_) return "this daemon holds no configuration";
  const Route* route = snapshot_->FindRoute(name);
  if (route == nullptr)
    return fmt::format("no route has the name '{}' in version {}", name,
                       snapshot_->Version());
  const Service* service = snapshot_->FindService(route->service);
  std::vector<TargetInfo> targets = directory_->TargetsOf(*service);
  TargetPicker& picker = PickerOf(now, *service);
  PickResult pick =
      picker.Pick(now, snapshot_->Config().RankIndex(route->rank), {});
  std::string chosen = pick.target ? MemberName(*pick.target) : "none";
  return fmt::format(
      "name '{}' is route '{}' of service '{}' in version {}; rank {}; {} "
      "targets, {} ejected; "
      "a call now would go to {}: {}",
      name, route->id, service->id, snapshot_->Version(), route->rank,
      targets.size(), picker.Ejected(now), chosen, pick.reason);
}

}  // namespace banyanloft
