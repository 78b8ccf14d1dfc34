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
      gate_(
          settings.gate, {RankShare{}},
          MakeQueue(settings.gate.policy, {RankShare{}}, settings.gate.slots)),
      ledger_(settings.ledger, self, std::move(secret), random_.Bits(), now),
      crash_guard_(settings.crash_guard) {}

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
  std::vector<GateAction> gate_actions;
  gate_.Reconfigure(now, shares,
                    MakeQueue(settings_.gate.policy, shares, gate_.Slots()),
                    &gate_actions);
  Carry(now, gate_actions, actions);
}

std::vector<RankShare> TargetRunner::SharesOf(const Configuration& config) {
  std::vector<RankShare> shares;
  for (const Rank& rank : config.ranks)
    shares.push_back({rank.floor_permille, rank.target_ms});
  return shares;
}

void TargetRunner::SetAccepting(std::optional<ErrorKind> refusal,
                                Actions* actions) {
  bool dies = refusal == ErrorKind::kBackendUnavailable && refusal_ != refusal;
  refusal_ = refusal;
  if (!dies) return;
  // Work that waits has not run; refused now, it finds another target in time.
  // A planned stop, in contrast, still finishes what was accepted.
  std::vector<GateAction> gate_actions;
  gate_.RefuseAll(*refusal, &gate_actions);
  Carry(TimeMs(), gate_actions, actions);
}

void TargetRunner::OnRun(TimeMs now, const std::string& from_link,
                         RunRequest request, Actions* actions) {
  counters_.Add("runs_offered_total");
  Work work;
  work.to = AnswerTo{from_link, request.attempt};
  work.deadline = now + request.remaining_ms;
  work.fingerprint = FingerprintOf(request);
  if (snapshot_)
    work.rank_index = std::max(0, snapshot_->Config().RankIndex(request.rank));
  uint64_t id = next_work_++;

  if (!request.key.empty()) {
    Result<RunKey> key = KeyFromText(request.key, request.route, secret_);
    if (const Error* error = ErrorOf(key)) {
      return Answer(work.to, work.rank_index, RefusalOf(error->kind), false,
                    actions);
    }
    uint64_t waiter = next_waiter_++;
    RunLedger::BeginResult begun = ledger_.Begin(now, *ValueOf(key), waiter);
    if (auto* outcome = std::get_if<RunOutcome>(&begun)) {
      counters_.Add("keys_answered_again_total");
      return Answer(work.to, work.rank_index, std::move(*outcome), false,
                    actions);
    }
    waiters_[waiter] = {work.to, work.rank_index};
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
  RunNew(now, id, actions);
}

/// Offers work that is not yet known here to the gate, or refuses it for good.
void TargetRunner::RunNew(TimeMs now, uint64_t id, Actions* actions) {
  const Work& work = works_.at(id);
  if (std::optional<ErrorKind> refusal = CheckNew(now, work)) {
    counters_.Add("run_refusals_total", std::string(NameOf(*refusal)));
    return EndWork(id, RefusalOf(*refusal), false, actions);
  }
  GateWork offer;
  offer.id = id;
  offer.rank = work.rank_index;
  offer.kind = work.request.kind;
  offer.deadline = work.deadline;
  offer.solo =
      crash_guard_.Check(now, work.fingerprint) == CrashGuard::Verdict::kSolo;
  std::vector<GateAction> gate_actions;
  gate_.Offer(now, std::move(offer), &gate_actions);
  Carry(now, gate_actions, actions);
}

std::optional<ErrorKind> TargetRunner::CheckNew(TimeMs now,
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

void TargetRunner::Carry(TimeMs now,
                         const std::vector<GateAction>& gate_actions,
                         Actions* actions) {
  for (const GateAction& action : gate_actions) {
    if (action.type == GateAction::Type::kStart) {
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

void TargetRunner::OnBackend(TimeMs now, const BackendResult& result,
                             Actions* actions) {
  auto it = works_.find(result.work);
  if (it == works_.end()) return;
  uint64_t fingerprint = it->second.fingerprint;
  bool answered = result.type == BackendResult::Type::kAnswered;
  int64_t run_ms = answered && !result.not_run ? now - it->second.started : -1;

  if (answered) {
    std::vector<CrashStrike> cleared = crash_guard_.OnSuccess(now, fingerprint);
    if (!cleared.empty())
      actions->push_back(SpreadStrikesAction{std::move(cleared)});
  }
  if (result.type == BackendResult::Type::kBroken)
    NoteBroken(now, fingerprint, actions);

  // Answer first, then give the slot to the next.
  EndWork(result.work, OutcomeOf(result), result.retried_below, actions);
  std::vector<GateAction> gate_actions;
  gate_.Finish(now, result.work, run_ms, &gate_actions);
  Carry(now, gate_actions, actions);
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

void TargetRunner::EndWork(uint64_t id, RunOutcome outcome, bool retried_below,
                           Actions* actions) {
  auto it = works_.find(id);
  if (it == works_.end()) return;
  Work work = std::move(it->second);
  works_.erase(it);
  if (!work.key) {
    work_by_attempt_.erase({work.to.link, work.to.attempt});
    return Answer(work.to, work.rank_index, std::move(outcome), retried_below,
                  actions);
  }
  for (uint64_t waiter : ledger_.Close(*work.key, outcome)) {
    auto found = waiters_.find(waiter);
    if (found == waiters_.end()) continue;
    Answer(found->second.first, found->second.second, outcome, retried_below,
           actions);
    waiters_.erase(found);
  }
}

void TargetRunner::Answer(const AnswerTo& to, int rank_index,
                          RunOutcome outcome, bool retried_below,
                          Actions* actions) {
  RunAnswer answer;
  answer.attempt = to.attempt;
  answer.outcome = std::move(outcome);
  answer.retried_below = retried_below;
  answer.load = LoadReport{gate_.Running(), static_cast<int>(gate_.Waiting()),
                           gate_.Levels()};
  actions->push_back(SendRunAnswer{to, rank_index, std::move(answer)});
}

void TargetRunner::OnCancel(const std::string& from_link, uint64_t attempt,
                            Actions* actions) {
  // Keyed work goes on: other copies may wait for it, and its outcome is kept.
  auto found = work_by_attempt_.find({from_link, attempt});
  if (found == work_by_attempt_.end()) return;
  uint64_t id = found->second;
  counters_.Add("runs_cancelled_total");
  if (works_.at(id).running) {
    actions->push_back(CancelBackend{id});
    return;
  }
  gate_.Withdraw(id);
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

/// Broken runs may mean a crash: find out before anything is suspected.
void TargetRunner::NoteBroken(TimeMs now, uint64_t fingerprint,
                              Actions* actions) {
  if (now - broken_since_ >= settings_.crash_window_ms) broken_.clear();
  if (broken_.empty()) broken_since_ = now;
  broken_.insert(fingerprint);
  if (probing_) return;
  probing_ = true;
  actions->push_back(ProbeBackend{});
}

void TargetRunner::OnBackendProbed(TimeMs now, bool up, Actions* actions) {
  probing_ = false;
  if (!up) OnCrash(now, actions);
}

void TargetRunner::OnBackendRestarted(TimeMs now, Actions* actions) {
  OnCrash(now, actions);
}

void TargetRunner::OnCrash(TimeMs now, Actions* actions) {
  if (broken_.empty() || now - broken_since_ >= settings_.crash_window_ms)
    return;
  counters_.Add("backend_crashes_total");
  std::vector<uint64_t> fingerprints(broken_.begin(), broken_.end());
  broken_.clear();
  std::vector<CrashStrike> strikes =
      crash_guard_.OnCrash(now, random_.Bits(), fingerprints);
  if (!strikes.empty())
    actions->push_back(SpreadStrikesAction{std::move(strikes)});
}

std::vector<CrashStrike> TargetRunner::OnStrikes(
    TimeMs now, const std::vector<CrashStrike>& strikes) {
  return crash_guard_.Merge(now, strikes);
}

void TargetRunner::Tick(TimeMs now, Actions* actions) {
  std::vector<GateAction> gate_actions;
  gate_.Tick(now, &gate_actions);
  Carry(now, gate_actions, actions);
  for (const auto& [id, work] : works_) {
    if (!work.running) continue;
    // The first daemon has given up by its deadline; a keyed run may be asked
    // for again.
    TimeMs limit =
        work.key ? work.started + settings_.run_limit_ms : work.deadline;
    if (now >= limit) actions->push_back(CancelBackend{id});
  }
  ledger_.Tick(now);
  crash_guard_.Tick(now);
}

}  // namespace banyanloft
