#include "banyanloft/calls/target_runner.h"

#include <algorithm>
#include <cassert>

#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

uint64_t FingerprintOf(const RunRequest& request) {
  return FastHash(request.body, FastHash(request.route));
}

}  // namespace

TargetRunner::TargetRunner(const RunnerSettings& settings, MemberId self,
                           std::string secret, uint64_t seed, TimeMs now)
    : settings_(settings),
      random_(seed),
      secret_(secret),
      admission_(settings.admission, {RankShare{}},
                 MakeQueue(settings.admission.policy, {RankShare{}},
                           settings.admission.slots)),
      ledger_(settings.ledger, self, std::move(secret), random_.Bits(), now),
      crash_guard_(settings.crash_guard),
      lost_runs_(settings.lost_runs) {}

void TargetRunner::SetSnapshot(TimeMs now, SnapshotPtr snapshot,
                               Actions* actions) {
  std::vector<RankShare> shares = SharesOf(snapshot->Config());
  bool same = snapshot_ != nullptr;
  if (same) {
    std::vector<RankShare> old = SharesOf(snapshot_->Config());
    same = std::equal(old.begin(), old.end(), shares.begin(), shares.end(),
                      [](const RankShare& a, const RankShare& b) {
                        return a.floor_permille == b.floor_permille &&
                               a.target_ms == b.target_ms;
                      });
  }
  snapshot_ = std::move(snapshot);
  if (same) return;
  std::vector<RankAdmissionAction> admission_actions;
  admission_.Reconfigure(
      now, shares,
      MakeQueue(settings_.admission.policy, shares, admission_.Slots()),
      &admission_actions);
  ApplyAdmission(now, admission_actions, actions);
}

std::vector<RankShare> TargetRunner::SharesOf(const Configuration& config) {
  std::vector<RankShare> shares;
  for (const Rank& rank : config.ranks)
    shares.push_back({rank.floor_permille, rank.target_ms});
  return shares;
}

void TargetRunner::SetAccepting(std::optional<ErrorKind> refusal,
                                Actions* actions) {
  bool became_unavailable =
      refusal == ErrorKind::kBackendUnavailable && refusal_ != refusal;
  refusal_ = refusal;
  if (!became_unavailable) return;
  // Waiting work has not run; refusing it now lets the caller retry on another
  // target in time. A drain, in contrast, still completes accepted work.
  std::vector<RankAdmissionAction> admission_actions;
  admission_.RefuseAll(*refusal, &admission_actions);
  ApplyAdmission(TimeMs(), admission_actions, actions);
}

void TargetRunner::OnRun(TimeMs now, const std::string& from_link,
                         RunRequest request, Actions* actions) {
  counters_.Add("runs_offered_total");
  Work work;
  work.reply_to = ReplyAddress{from_link, request.attempt};
  work.deadline = now + request.remaining_ms;
  work.fingerprint = FingerprintOf(request);
  if (snapshot_)
    work.rank_index = std::max(0, snapshot_->Config().RankIndex(request.rank));
  uint64_t id = next_work_++;

  if (!request.key.empty()) {
    Result<RunKey> key = ParseKey(request.key, request.route, secret_);
    if (const Error* error = ErrorOf(key)) {
      return Answer(work.reply_to, work.rank_index, RefusalOf(error->kind),
                    false, actions);
    }
    uint64_t waiter = next_waiter_++;
    RunLedger::BeginResult begun = ledger_.Begin(now, *ValueOf(key), waiter);
    if (auto* outcome = std::get_if<RunOutcome>(&begun)) {
      counters_.Add("keys_answered_again_total");
      return Answer(work.reply_to, work.rank_index, std::move(*outcome), false,
                    actions);
    }
    waiters_[waiter] = {work.reply_to, work.rank_index};
    if (std::holds_alternative<RunLedger::Joined>(begun)) {
      counters_.Add("keys_joined_total");
      return;
    }
    work.key = *ValueOf(key);
  } else {
    work_by_attempt_[{from_link, request.attempt}] = id;
  }
  work.request = std::move(request);
  works_[id] = std::move(work);
  AdmitWork(now, id, actions);
}

/// Submits new work for admission, or refuses it permanently.
void TargetRunner::AdmitWork(TimeMs now, uint64_t id, Actions* actions) {
  const Work& work = works_.at(id);
  if (std::optional<ErrorKind> refusal = FindRefusal(now, work)) {
    counters_.Add("run_refusals_total", std::string(NameOf(*refusal)));
    return EndWork(id, RefusalOf(*refusal), false, actions);
  }
  WorkItem offer;
  offer.id = id;
  offer.rank = work.rank_index;
  offer.kind = work.request.kind;
  offer.deadline = work.deadline;
  offer.exclusive = crash_guard_.Check(now, work.fingerprint) ==
                    CrashGuard::Verdict::kExclusive;
  std::vector<RankAdmissionAction> admission_actions;
  admission_.Offer(now, std::move(offer), &admission_actions);
  ApplyAdmission(now, admission_actions, actions);
}

std::optional<ErrorKind> TargetRunner::FindRefusal(TimeMs now,
                                                   const Work& work) const {
  if (!snapshot_) return ErrorKind::kNotReady;
  if (refusal_) return refusal_;
  if (work.request.depth > kMaxCallDepth) return ErrorKind::kDepthExceeded;
  if (crash_guard_.Check(now, work.fingerprint) ==
      CrashGuard::Verdict::kRefuse) {
    return ErrorKind::kCrashSuspect;
  }
  return std::nullopt;
}

void TargetRunner::ApplyAdmission(
    TimeMs now, const std::vector<RankAdmissionAction>& admission_actions,
    Actions* actions) {
  for (const RankAdmissionAction& action : admission_actions) {
    if (action.type == RankAdmissionAction::Type::kStart) {
      StartWork(now, action.id, actions);
    } else {
      counters_.Add("run_refusals_total", std::string(NameOf(action.error)));
      EndWork(action.id, RefusalOf(action.error), false, actions);
    }
  }
}

void TargetRunner::StartWork(TimeMs now, uint64_t id, Actions* actions) {
  Work& work = works_.at(id);
  work.running = true;
  work.started = now;
  counters_.Add("runs_started_total", work.request.rank);
  StartBackend start;
  start.work = id;
  start.route = work.request.route;
  start.rank = work.request.rank;
  start.key = work.request.key;
  start.remaining_ms = std::max<int64_t>(1, work.deadline - now);
  start.depth = work.request.depth;
  start.content_type = work.request.content_type;
  start.body = std::move(work.request.body);
  actions->push_back(std::move(start));
}

void TargetRunner::OnBackendResult(TimeMs now, const BackendResult& result,
                                   Actions* actions) {
  auto it = works_.find(result.work);
  if (it == works_.end()) return;
  uint64_t fingerprint = it->second.fingerprint;
  bool answered = result.type == BackendResult::Type::kAnswered;
  int64_t run_ms = answered && !result.not_run ? now - it->second.started : -1;

  if (answered) {
    std::vector<CrashSuspicion> cleared =
        crash_guard_.OnSuccess(now, fingerprint);
    if (!cleared.empty())
      actions->push_back(GossipCrashSuspicions{std::move(cleared)});
  }
  if (answered) lost_runs_.OnResponse(it->second.started);
  RecordLostRun(now, result.type, fingerprint, actions);

  // Answer before the released slot is filled.
  EndWork(result.work, OutcomeOf(result), result.retried_downstream, actions);
  std::vector<RankAdmissionAction> admission_actions;
  admission_.Finish(now, result.work, run_ms, &admission_actions);
  ApplyAdmission(now, admission_actions, actions);
}

RunOutcome TargetRunner::OutcomeOf(const BackendResult& result) const {
  switch (result.type) {
    case BackendResult::Type::kNotSent:
      return RefusalOf(ErrorKind::kBackendUnavailable);
    case BackendResult::Type::kBroken:
      return RefusalOf(ErrorKind::kBackendBroken);
    case BackendResult::Type::kTooLarge:
      return RefusalOf(ErrorKind::kAnswerTooLarge);
    case BackendResult::Type::kCancelled:
      return RefusalOf(ErrorKind::kCancelled);
    case BackendResult::Type::kAnswered:
      break;
  }
  if (result.not_run) return RefusalOf(ErrorKind::kBackendShed);
  RunOutcome outcome;
  outcome.run_state = RunState::kRan;
  outcome.http_status = result.http_status;
  outcome.content_type = result.content_type;
  outcome.body = result.body;
  return outcome;
}

void TargetRunner::EndWork(uint64_t id, RunOutcome outcome,
                           bool retried_downstream, Actions* actions) {
  auto it = works_.find(id);
  if (it == works_.end()) return;
  Work work = std::move(it->second);
  works_.erase(it);
  if (!work.key) {
    work_by_attempt_.erase({work.reply_to.link, work.reply_to.attempt});
    return Answer(work.reply_to, work.rank_index, std::move(outcome),
                  retried_downstream, actions);
  }
  for (uint64_t waiter : ledger_.Complete(*work.key, outcome)) {
    auto found = waiters_.find(waiter);
    if (found == waiters_.end()) continue;
    Answer(found->second.first, found->second.second, outcome,
           retried_downstream, actions);
    waiters_.erase(found);
  }
}

void TargetRunner::Answer(const ReplyAddress& to, int rank_index,
                          RunOutcome outcome, bool retried_downstream,
                          Actions* actions) {
  RunAnswer answer;
  answer.attempt = to.attempt;
  answer.outcome = std::move(outcome);
  answer.retried_downstream = retried_downstream;
  answer.load =
      LoadReport{admission_.Running(), static_cast<int>(admission_.Waiting()),
                 admission_.Levels()};
  actions->push_back(SendRunAnswer{to, rank_index, std::move(answer)});
}

void TargetRunner::OnCancel(const std::string& from_link, uint64_t attempt,
                            Actions* actions) {
  // Keyed work is not cancelled: other copies may wait for its outcome, which
  // is kept.
  auto found = work_by_attempt_.find({from_link, attempt});
  if (found == work_by_attempt_.end()) return;
  uint64_t id = found->second;
  counters_.Add("runs_cancelled_total");
  if (works_.at(id).running) {
    actions->push_back(CancelBackend{id});
    return;
  }
  admission_.Withdraw(id);
  work_by_attempt_.erase(found);
  works_.erase(id);
}

KeyAnswer TargetRunner::OnKeyRequest(TimeMs now, const KeyRequest& request) {
  KeyAnswer answer;
  answer.attempt = request.attempt;
  if (refusal_) {
    answer.error = refusal_;
  } else {
    answer.key = ledger_.Issue(now, request.route);
    counters_.Add("keys_issued_total");
  }
  return answer;
}

/// A broken run may indicate a crash: probes the backend server before raising
/// a suspicion. A cancelled one indicates a crash only if the server restarts.
void TargetRunner::RecordLostRun(TimeMs now, BackendResult::Type type,
                                 uint64_t fingerprint, Actions* actions) {
  if (type == BackendResult::Type::kCancelled)
    return lost_runs_.OnUnanswered(now, fingerprint);
  if (type != BackendResult::Type::kBroken) return;
  lost_runs_.OnBroken(now, fingerprint);
  if (probe_in_flight_) return;
  probe_in_flight_ = true;
  actions->push_back(ProbeBackend{});
}

void TargetRunner::OnBackendProbed(TimeMs now, bool up, Actions* actions) {
  probe_in_flight_ = false;
  if (!up) RecordCrash(now, lost_runs_.TakeBroken(now), actions);
}

void TargetRunner::OnBackendRestarted(TimeMs now, Actions* actions) {
  RecordCrash(now, lost_runs_.TakeAll(now), actions);
}

void TargetRunner::RecordCrash(TimeMs now,
                               const std::vector<uint64_t>& fingerprints,
                               Actions* actions) {
  if (fingerprints.empty()) return;
  counters_.Add("backend_crashes_total");
  std::vector<CrashSuspicion> suspicions =
      crash_guard_.OnCrash(now, random_.Bits(), fingerprints);
  if (!suspicions.empty())
    actions->push_back(GossipCrashSuspicions{std::move(suspicions)});
}

std::vector<CrashSuspicion> TargetRunner::OnCrashSuspicions(
    TimeMs now, const std::vector<CrashSuspicion>& suspicions) {
  return crash_guard_.Merge(now, suspicions);
}

void TargetRunner::Tick(TimeMs now, Actions* actions) {
  std::vector<RankAdmissionAction> admission_actions;
  admission_.Tick(now, &admission_actions);
  ApplyAdmission(now, admission_actions, actions);
  for (const auto& [id, work] : works_) {
    if (!work.running) continue;
    // Nobody waits for the answer after the deadline, except for that of keyed
    // work, which the caller may resend.
    TimeMs limit =
        work.key ? work.started + settings_.run_limit_ms : work.deadline;
    if (now >= limit) actions->push_back(CancelBackend{id});
  }
  ledger_.Tick(now);
  crash_guard_.Tick(now);
}

}  // namespace banyanloft
