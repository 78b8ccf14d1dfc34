#include "banyanloft/admission/gate.h"

#include <algorithm>
#include <cassert>

namespace banyanloft {
namespace {

constexpr int kFullLevel = 1000;
constexpr int kLowestLevel = 20;
constexpr int kLevelStepUp = 50;
/// Ranks that offered nothing for this long need no reserved slot, in ms.
constexpr int64_t kDemandMemoryMs = 10000;
/// Most kinds whose run time is remembered.
constexpr size_t kMaxKinds = 10000;

}  // namespace

void Gate::Estimate::Add(int64_t value_ms) {
  int64_t value = value_ms * 16;
  if (mean < 0) {
    mean = value;
    deviation = value / 4;
    return;
  }
  int64_t error = value - mean;
  mean += error / 16;
  deviation += ((error < 0 ? -error : error) - deviation) / 16;
}

Gate::Gate(const GateSettings& settings, std::vector<RankShare> shares,
           std::unique_ptr<WorkQueue> queue)
    : settings_(settings),
      shares_(std::move(shares)),
      queue_(std::move(queue)) {
  assert(!shares_.empty() && shares_.size() <= kMaxRanks);
  levels_.fill(kFullLevel);
}

void Gate::Offer(TimeMs now, GateWork work, std::vector<GateAction>* actions) {
  work.rank = std::clamp(work.rank, 0, static_cast<int>(shares_.size()) - 1);
  work.offered = now;
  RankWindow& window = windows_[static_cast<size_t>(work.rank)];
  ++window.offered;
  window.last_offered = now;

  // Refuse at once what cannot be answered in time: waiting would only waste a
  // slot.
  int64_t wait_ms = EstimatedWaitMs(work);
  if (now + wait_ms + LikelyMostMs(work.kind) > work.deadline) {
    return Refuse(work, ErrorKind::kDeadlineUnmeetable, actions);
  }
  bool full = Waiting() >= static_cast<int64_t>(settings_.max_waiting);
  if (full || wait_ms > MaxWaitMs(work))
    return Refuse(work, ErrorKind::kOverloaded, actions);

  if (work.solo) {
    solo_waiting_.push_back(work);
  } else {
    queue_->Push(work);
  }
  FillSlots(now, actions);
}

void Gate::Finish(TimeMs now, uint64_t id, int64_t run_ms,
                  std::vector<GateAction>* actions) {
  auto it = running_.find(id);
  if (it == running_.end()) return;
  const RunningWork& work = it->second;
  if (run_ms >= 0) {
    cost_.Add(run_ms);
    if (cost_by_kind_.size() < kMaxKinds ||
        cost_by_kind_.count(work.kind) != 0) {
      cost_by_kind_[work.kind].Add(run_ms);
    }
  }
  queue_->OnFinish(now, work.rank);
  --running_by_rank_[static_cast<size_t>(work.rank)];
  solo_running_ -= work.solo ? 1 : 0;
  running_.erase(it);
  FillSlots(now, actions);
}

bool Gate::Withdraw(uint64_t id) {
  if (queue_->Remove(id)) return true;
  auto it = std::find_if(solo_waiting_.begin(), solo_waiting_.end(),
                         [&](const GateWork& w) { return w.id == id; });
  if (it == solo_waiting_.end()) return false;
  solo_waiting_.erase(it);
  return true;
}

void Gate::RefuseAll(ErrorKind reason, std::vector<GateAction>* actions) {
  for (const GateWork& work :
       queue_->TakeExpired([](const GateWork&) { return true; })) {
    actions->push_back({GateAction::Type::kRefuse, work.id, reason});
  }
  for (const GateWork& work : solo_waiting_) {
    actions->push_back({GateAction::Type::kRefuse, work.id, reason});
  }
  solo_waiting_.clear();
}

void Gate::Tick(TimeMs now, std::vector<GateAction>* actions) {
  auto expired = [&](const GateWork& work) { return TooLate(now, work); };
  std::vector<GateWork> late = queue_->TakeExpired(expired);
  while (!solo_waiting_.empty() && expired(solo_waiting_.front())) {
    late.push_back(solo_waiting_.front());
    solo_waiting_.pop_front();
  }
  for (const GateWork& work : late) {
    bool waited = now - work.offered > MaxWaitMs(work);
    Refuse(work,
           waited ? ErrorKind::kOverloaded : ErrorKind::kDeadlineUnmeetable,
           actions);
  }
  FillSlots(now, actions);

  for (size_t i = 0; i < shares_.size(); ++i) {
    RankWindow& window = windows_[i];
    window.least_waiting =
        std::min(window.least_waiting, queue_->Waiting(static_cast<int>(i)));
    window.running_sum += running_by_rank_[i];
    ++window.samples;
  }
  if (now >= window_end_) {
    UpdateLevels();
    window_end_ = now + settings_.window_ms;
  }
}

void Gate::Reconfigure(TimeMs now, std::vector<RankShare> shares,
                       std::unique_ptr<WorkQueue> queue,
                       std::vector<GateAction>* actions) {
  std::vector<GateWork> waiting =
      queue_->TakeExpired([](const GateWork&) { return true; });
  shares_ = std::move(shares);
  queue_ = std::move(queue);
  int last = static_cast<int>(shares_.size()) - 1;
  running_by_rank_.fill(0);
  for (auto& [id, work] : running_) {
    work.rank = std::min(work.rank, last);
    queue_->OnStart(now, work.rank, work.kind, CostMs(work.kind));
    ++running_by_rank_[static_cast<size_t>(work.rank)];
  }
  for (GateWork& work : waiting) {
    work.rank = std::min(work.rank, last);
    queue_->Push(work);
  }
  FillSlots(now, actions);
}

int64_t Gate::MeanRunMs() const {
  return cost_.mean < 0 ? settings_.first_cost_ms : cost_.MeanMs();
}

int64_t Gate::CostMs(const std::string& kind) const {
  auto it = cost_by_kind_.find(kind);
  return it == cost_by_kind_.end() ? MeanRunMs() : it->second.MeanMs();
}

int64_t Gate::LikelyMostMs(const std::string& kind) const {
  auto it = cost_by_kind_.find(kind);
  return it == cost_by_kind_.end() ? MeanRunMs() : it->second.LikelyMostMs();
}

/// Bounded by the rank's target and by the time that the work has left, so
/// that what waits in vain can still be tried elsewhere.
int64_t Gate::MaxWaitMs(const GateWork& work) const {
  int64_t half_target_ms =
      shares_[static_cast<size_t>(work.rank)].target_ms / 2;
  int64_t patience_ms =
      (work.deadline - work.offered) * settings_.patience_permille / 1000;
  return std::clamp<int64_t>(std::min(half_target_ms, patience_ms), 1,
                             settings_.max_wait_ms);
}

int64_t Gate::EstimatedWaitMs(const GateWork& work) const {
  if (work.solo)
    return static_cast<int64_t>(solo_waiting_.size()) * CostMs(work.kind);
  int64_t ahead = queue_->Ahead(work.rank, work.kind);
  if (ahead == 0 && Running() < settings_.slots) return 0;
  return ahead * std::max<int64_t>(1, MeanRunMs()) /
         std::max(1, settings_.slots);
}

/// Slots kept free for more urgent ranks. They are needed only while the next
/// slot to fall free may take long against what the urgent rank aims at.
int Gate::ReservedAbove(TimeMs now, int rank) const {
  int reserved = 0;
  int64_t slot_interval_ms = MeanRunMs() / std::max(1, settings_.slots);
  for (int urgent = 0; urgent < rank; ++urgent) {
    size_t index = static_cast<size_t>(urgent);
    if (now - windows_[index].last_offered > kDemandMemoryMs) continue;
    if (slot_interval_ms * 10 <= shares_[index].target_ms) continue;
    reserved += 1 + running_by_rank_[index] / 4;
  }
  return std::min(reserved, settings_.slots / 4);
}

bool Gate::HasSlotFor(TimeMs now, int rank) const {
  return Running() + ReservedAbove(now, rank) < settings_.slots;
}

int Gate::HighestStartableRank(TimeMs now) const {
  for (int rank = static_cast<int>(shares_.size()) - 1; rank >= 0; --rank) {
    if (HasSlotFor(now, rank)) return rank;
  }
  return -1;
}

void Gate::Start(TimeMs now, const GateWork& work,
                 std::vector<GateAction>* actions) {
  assert(running_.count(work.id) == 0);
  running_[work.id] = RunningWork{work.rank, work.kind, work.solo};
  ++running_by_rank_[static_cast<size_t>(work.rank)];
  solo_running_ += work.solo ? 1 : 0;
  queue_->OnStart(now, work.rank, work.kind, CostMs(work.kind));
  actions->push_back(
      {GateAction::Type::kStart, work.id, ErrorKind::kOverloaded});
}

void Gate::Refuse(const GateWork& work, ErrorKind reason,
                  std::vector<GateAction>* actions) {
  ++windows_[static_cast<size_t>(work.rank)].refused;
  actions->push_back({GateAction::Type::kRefuse, work.id, reason});
}

bool Gate::TooLate(TimeMs now, const GateWork& work) const {
  bool waited = now - work.offered > MaxWaitMs(work);
  return waited || now + LikelyMostMs(work.kind) > work.deadline;
}

void Gate::FillSlots(TimeMs now, std::vector<GateAction>* actions) {
  while (StartSolo(now, actions)) {
  }
  while (true) {
    int rank = HighestStartableRank(now);
    if (rank < 0) return;
    std::optional<GateWork> work = queue_->Pop(now, rank);
    if (!work) return;
    if (TooLate(now, *work)) {
      Refuse(*work, ErrorKind::kDeadlineUnmeetable, actions);
    } else {
      Start(now, *work, actions);
    }
  }
}

bool Gate::StartSolo(TimeMs now, std::vector<GateAction>* actions) {
  if (solo_running_ > 0 || solo_waiting_.empty()) return false;
  if (Running() >= settings_.slots) return false;
  GateWork work = solo_waiting_.front();
  solo_waiting_.pop_front();
  if (TooLate(now, work)) {
    Refuse(work, ErrorKind::kDeadlineUnmeetable, actions);
  } else {
    Start(now, work, actions);
  }
  return true;
}

/// Lowers the level of a rank while much of it is refused here, so that the
/// rest is refused at the first daemon; raises it again step by step.
void Gate::UpdateLevels() {
  // A few refusals cost nothing here; refused early they could leave a rank
  // without waiting work, and so below its floor.
  int64_t few = settings_.slots / 4;
  for (size_t i = 0; i < kMaxRanks; ++i) {
    RankWindow& window = windows_[i];
    int level = levels_[i];
    int64_t floor =
        i < shares_.size() ? shares_[i].floor_permille * settings_.slots : 0;
    bool below_floor = window.running_sum * kFullLevel < floor * window.samples;
    bool ran_dry = window.least_waiting == 0 ||
                   (below_floor && window.least_waiting <= few);
    bool flooded =
        window.refused > few && window.refused * 5 > window.offered * 2;
    bool calm = window.refused * 5 <= window.offered;
    // A rank that runs dry may leave slots unused: senders hold back too much.
    if (ran_dry || (calm && !flooded)) {
      level += kLevelStepUp;
    } else if (flooded) {
      level = level * 4 / 5;
    }
    levels_[i] =
        static_cast<int16_t>(std::clamp(level, kLowestLevel, kFullLevel));
    window.offered = 0;
    window.refused = 0;
    window.least_waiting = INT64_MAX;
    window.running_sum = 0;
    window.samples = 0;
  }
}

}  // namespace banyanloft
