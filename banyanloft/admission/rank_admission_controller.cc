#include "banyanloft/admission/rank_admission_controller.h"

#include <algorithm>
#include <cassert>

namespace banyanloft {
namespace {

constexpr int kFullLevel = 1000;
constexpr int kLowestLevel = 20;
constexpr int kLevelStepUp = 50;
/// No slot is reserved for a rank without arrivals for this long, in ms.
constexpr int64_t kDemandWindowMs = 10000;
/// Limit on the kinds whose run time is tracked.
constexpr size_t kMaxKinds = 10000;

}  // namespace

void RankAdmissionController::Estimate::Add(int64_t value_ms) {
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

RankAdmissionController::RankAdmissionController(
    const RankAdmissionSettings& settings, std::vector<RankShare> shares,
    std::unique_ptr<WorkQueue> queue)
    : settings_(settings),
      shares_(std::move(shares)),
      queue_(std::move(queue)) {
  assert(!shares_.empty() && shares_.size() <= kMaxRanks);
  levels_.fill(kFullLevel);
}

void RankAdmissionController::Offer(TimeMs now, WorkItem work,
                                    std::vector<RankAdmissionAction>* actions) {
  work.rank = std::clamp(work.rank, 0, static_cast<int>(shares_.size()) - 1);
  work.offered = now;
  RankWindow& window = windows_[static_cast<size_t>(work.rank)];
  ++window.offered;
  window.last_offered = now;

  // Fail fast if the deadline cannot be met: running the work would only waste
  // a slot.
  int64_t wait_ms = EstimatedWaitMs(work);
  if (now + wait_ms + HighEstimateMs(work.kind) > work.deadline) {
    return Refuse(work, ErrorKind::kDeadlineUnmeetable, actions);
  }
  bool full = Waiting() >= static_cast<int64_t>(settings_.max_waiting);
  if (full || wait_ms > MaxWaitMs(work))
    return Refuse(work, ErrorKind::kOverloaded, actions);

  if (work.exclusive) {
    exclusive_waiting_.push_back(work);
  } else {
    queue_->Push(work);
  }
  FillSlots(now, actions);
}

void RankAdmissionController::Finish(
    TimeMs now, uint64_t id, int64_t run_ms,
    std::vector<RankAdmissionAction>* actions) {
  auto it = running_.find(id);
  if (it == running_.end()) return;
  const RunningWork& work = it->second;
  if (run_ms >= 0) {
    run_time_.Add(run_ms);
    if (run_time_by_kind_.size() < kMaxKinds ||
        run_time_by_kind_.count(work.kind) != 0) {
      run_time_by_kind_[work.kind].Add(run_ms);
    }
  }
  queue_->OnFinish(now, work.rank);
  --running_by_rank_[static_cast<size_t>(work.rank)];
  exclusive_running_ -= work.exclusive ? 1 : 0;
  running_.erase(it);
  FillSlots(now, actions);
}

bool RankAdmissionController::Withdraw(uint64_t id) {
  if (queue_->Remove(id)) return true;
  auto it = std::find_if(exclusive_waiting_.begin(), exclusive_waiting_.end(),
                         [&](const WorkItem& w) { return w.id == id; });
  if (it == exclusive_waiting_.end()) return false;
  exclusive_waiting_.erase(it);
  return true;
}

void RankAdmissionController::RefuseAll(
    ErrorKind reason, std::vector<RankAdmissionAction>* actions) {
  for (const WorkItem& work :
       queue_->RemoveExpired([](const WorkItem&) { return true; })) {
    actions->push_back({RankAdmissionAction::Type::kRefuse, work.id, reason});
  }
  for (const WorkItem& work : exclusive_waiting_) {
    actions->push_back({RankAdmissionAction::Type::kRefuse, work.id, reason});
  }
  exclusive_waiting_.clear();
}

void RankAdmissionController::Tick(TimeMs now,
                                   std::vector<RankAdmissionAction>* actions) {
  auto expired = [&](const WorkItem& work) { return IsTooLate(now, work); };
  std::vector<WorkItem> late = queue_->RemoveExpired(expired);
  while (!exclusive_waiting_.empty() && expired(exclusive_waiting_.front())) {
    late.push_back(exclusive_waiting_.front());
    exclusive_waiting_.pop_front();
  }
  for (const WorkItem& work : late) {
    bool waited = now - work.offered > MaxWaitMs(work);
    Refuse(work,
           waited ? ErrorKind::kOverloaded : ErrorKind::kDeadlineUnmeetable,
           actions);
  }
  FillSlots(now, actions);

  for (size_t i = 0; i < shares_.size(); ++i) {
    RankWindow& window = windows_[i];
    window.min_waiting =
        std::min(window.min_waiting, queue_->Waiting(static_cast<int>(i)));
    window.running_sum += running_by_rank_[i];
    ++window.samples;
  }
  if (now >= window_end_) {
    UpdateLevels();
    window_end_ = now + settings_.window_ms;
  }
}

void RankAdmissionController::Reconfigure(
    TimeMs now, std::vector<RankShare> shares, std::unique_ptr<WorkQueue> queue,
    std::vector<RankAdmissionAction>* actions) {
  std::vector<WorkItem> waiting =
      queue_->RemoveExpired([](const WorkItem&) { return true; });
  shares_ = std::move(shares);
  queue_ = std::move(queue);
  int last = static_cast<int>(shares_.size()) - 1;
  running_by_rank_.fill(0);
  for (auto& [id, work] : running_) {
    work.rank = std::min(work.rank, last);
    queue_->OnStart(now, work.rank, work.kind, ExpectedRunMs(work.kind));
    ++running_by_rank_[static_cast<size_t>(work.rank)];
  }
  for (WorkItem& work : waiting) {
    work.rank = std::min(work.rank, last);
    queue_->Push(work);
  }
  FillSlots(now, actions);
}

int64_t RankAdmissionController::MeanRunMs() const {
  return run_time_.mean < 0 ? settings_.initial_run_ms : run_time_.MeanMs();
}

int64_t RankAdmissionController::ExpectedRunMs(const std::string& kind) const {
  auto it = run_time_by_kind_.find(kind);
  return it == run_time_by_kind_.end() ? MeanRunMs() : it->second.MeanMs();
}

int64_t RankAdmissionController::HighEstimateMs(const std::string& kind) const {
  auto it = run_time_by_kind_.find(kind);
  return it == run_time_by_kind_.end() ? MeanRunMs()
                                       : it->second.HighEstimateMs();
}

/// Bounded by half of the rank's target latency and by a share of the timeout,
/// so that work refused after waiting can still be retried on another target.
int64_t RankAdmissionController::MaxWaitMs(const WorkItem& work) const {
  int64_t half_target_ms =
      shares_[static_cast<size_t>(work.rank)].target_ms / 2;
  int64_t max_share_ms =
      (work.deadline - work.offered) * settings_.max_wait_permille / 1000;
  return std::clamp<int64_t>(std::min(half_target_ms, max_share_ms), 1,
                             settings_.max_wait_ms);
}

int64_t RankAdmissionController::EstimatedWaitMs(const WorkItem& work) const {
  if (work.exclusive)
    return static_cast<int64_t>(exclusive_waiting_.size()) *
           ExpectedRunMs(work.kind);
  int64_t ahead = queue_->QueuedAhead(work.rank, work.kind);
  if (ahead == 0 && Running() < settings_.slots) return 0;
  return ahead * std::max<int64_t>(1, MeanRunMs()) /
         std::max(1, settings_.slots);
}

/// Slots kept free for more urgent ranks. Needed only if the mean interval
/// between freed slots exceeds a tenth of the urgent rank's target latency.
int RankAdmissionController::ReservedForUrgent(TimeMs now, int rank) const {
  int reserved = 0;
  int64_t slot_interval_ms = MeanRunMs() / std::max(1, settings_.slots);
  for (int urgent = 0; urgent < rank; ++urgent) {
    size_t index = static_cast<size_t>(urgent);
    if (now - windows_[index].last_offered > kDemandWindowMs) continue;
    if (slot_interval_ms * 10 <= shares_[index].target_ms) continue;
    reserved += 1 + running_by_rank_[index] / 4;
  }
  return std::min(reserved, settings_.slots / 4);
}

bool RankAdmissionController::HasSlotFor(TimeMs now, int rank) const {
  return Running() + ReservedForUrgent(now, rank) < settings_.slots;
}

int RankAdmissionController::MaxStartableRank(TimeMs now) const {
  for (int rank = static_cast<int>(shares_.size()) - 1; rank >= 0; --rank) {
    if (HasSlotFor(now, rank)) return rank;
  }
  return -1;
}

void RankAdmissionController::Start(TimeMs now, const WorkItem& work,
                                    std::vector<RankAdmissionAction>* actions) {
  assert(running_.count(work.id) == 0);
  running_[work.id] = RunningWork{work.rank, work.kind, work.exclusive};
  ++running_by_rank_[static_cast<size_t>(work.rank)];
  exclusive_running_ += work.exclusive ? 1 : 0;
  queue_->OnStart(now, work.rank, work.kind, ExpectedRunMs(work.kind));
  actions->push_back(
      {RankAdmissionAction::Type::kStart, work.id, ErrorKind::kOverloaded});
}

void RankAdmissionController::Refuse(
    const WorkItem& work, ErrorKind reason,
    std::vector<RankAdmissionAction>* actions) {
  ++windows_[static_cast<size_t>(work.rank)].refused;
  actions->push_back({RankAdmissionAction::Type::kRefuse, work.id, reason});
}

bool RankAdmissionController::IsTooLate(TimeMs now,
                                        const WorkItem& work) const {
  bool waited = now - work.offered > MaxWaitMs(work);
  return waited || now + HighEstimateMs(work.kind) > work.deadline;
}

void RankAdmissionController::FillSlots(
    TimeMs now, std::vector<RankAdmissionAction>* actions) {
  while (StartExclusive(now, actions)) {
  }
  while (true) {
    int rank = MaxStartableRank(now);
    if (rank < 0) return;
    std::optional<WorkItem> work = queue_->Pop(now, rank);
    if (!work) return;
    if (IsTooLate(now, *work)) {
      Refuse(*work, ErrorKind::kDeadlineUnmeetable, actions);
    } else {
      Start(now, *work, actions);
    }
  }
}

bool RankAdmissionController::StartExclusive(
    TimeMs now, std::vector<RankAdmissionAction>* actions) {
  if (exclusive_running_ > 0 || exclusive_waiting_.empty()) return false;
  if (Running() >= settings_.slots) return false;
  WorkItem work = exclusive_waiting_.front();
  exclusive_waiting_.pop_front();
  if (IsTooLate(now, work)) {
    Refuse(work, ErrorKind::kDeadlineUnmeetable, actions);
  } else {
    Start(now, work, actions);
  }
  return true;
}

/// Lowers the admission level of a rank while a large share of it is refused
/// here, so that the calling daemons shed the excess; raises it in steps
/// afterwards (additive increase, multiplicative decrease).
void RankAdmissionController::UpdateLevels() {
  // A few refusals cost little here and do not lower the level: if the calling
  // daemons shed that work, the queue could run empty and the rank could fall
  // below its floor.
  int64_t tolerated = settings_.slots / 4;
  for (size_t i = 0; i < kMaxRanks; ++i) {
    RankWindow& window = windows_[i];
    int level = levels_[i];
    int64_t floor =
        i < shares_.size() ? shares_[i].floor_permille * settings_.slots : 0;
    bool below_floor = window.running_sum * kFullLevel < floor * window.samples;
    bool queue_emptied = window.min_waiting == 0 ||
                         (below_floor && window.min_waiting <= tolerated);
    bool many_refused =
        window.refused > tolerated && window.refused * 5 > window.offered * 2;
    bool few_refused = window.refused * 5 <= window.offered;
    // An empty queue may leave slots unused: daemons shed too much.
    if (queue_emptied || (few_refused && !many_refused)) {
      level += kLevelStepUp;
    } else if (many_refused) {
      level = level * 4 / 5;
    }
    levels_[i] =
        static_cast<int16_t>(std::clamp(level, kLowestLevel, kFullLevel));
    window.offered = 0;
    window.refused = 0;
    window.min_waiting = INT64_MAX;
    window.running_sum = 0;
    window.samples = 0;
  }
}

}  // namespace banyanloft
