#include <algorithm>
#include <cassert>

#include "banyanloft/admission/work_queue.h"

namespace banyanloft {
namespace {

constexpr int64_t kPermille = 1000;
/// Limit on the credit or debt of a rank: the slot time that its floor amounts
/// to in this period, in ms.
constexpr int64_t kCreditWindowMs = 1000;

/// Waiting work of one rank: one queue per kind, served in order of the least
/// slot time used (similar to start-time fair queueing).
class FairKindQueue {
 public:
  void Push(const WorkItem& work) {
    Kind& kind = kinds_[work.kind];
    if (kind.waiting.empty())
      kind.used_ms = std::max(kind.used_ms, virtual_time_ms_);
    kind.waiting.push_back(work);
    ++size_;
  }

  std::optional<WorkItem> Pop() {
    auto best = kinds_.end();
    for (auto it = kinds_.begin(); it != kinds_.end(); ++it) {
      if (it->second.waiting.empty()) continue;
      if (best == kinds_.end() || it->second.used_ms < best->second.used_ms)
        best = it;
    }
    if (best == kinds_.end()) return std::nullopt;
    virtual_time_ms_ = best->second.used_ms;
    WorkItem work = best->second.waiting.front();
    best->second.waiting.pop_front();
    --size_;
    return work;
  }

  bool Remove(uint64_t id) {
    for (auto& [name, kind] : kinds_) {
      auto it = std::find_if(kind.waiting.begin(), kind.waiting.end(),
                             [&](const WorkItem& w) { return w.id == id; });
      if (it == kind.waiting.end()) continue;
      kind.waiting.erase(it);
      --size_;
      return true;
    }
    return false;
  }

  void RemoveExpired(const std::function<bool(const WorkItem&)>& expired,
                     std::vector<WorkItem>* out) {
    for (auto it = kinds_.begin(); it != kinds_.end();) {
      std::deque<WorkItem>& waiting = it->second.waiting;
      while (!waiting.empty() && expired(waiting.front())) {
        out->push_back(waiting.front());
        waiting.pop_front();
        --size_;
      }
      // To bound memory, remove idle kinds that are not ahead of the virtual
      // time: Push would raise their used time to it in any case.
      bool idle = waiting.empty() && it->second.used_ms <= virtual_time_ms_;
      it = idle ? kinds_.erase(it) : std::next(it);
    }
  }

  void OnStart(const std::string& kind, int64_t cost_ms) {
    Kind& state = kinds_[kind];
    state.used_ms = std::max(state.used_ms, virtual_time_ms_) +
                    std::max<int64_t>(1, cost_ms);
  }

  /// Number of items that are served before a new arrival of `kind`.
  int64_t QueuedAhead(const std::string& kind) const {
    auto own = kinds_.find(kind);
    int64_t own_waiting =
        own == kinds_.end() ? 0
                            : static_cast<int64_t>(own->second.waiting.size());
    int64_t ahead = own_waiting;
    for (const auto& [name, state] : kinds_) {
      if (name == kind) continue;
      ahead += std::min<int64_t>(static_cast<int64_t>(state.waiting.size()),
                                 own_waiting + 1);
    }
    return ahead;
  }

  int64_t Size() const { return size_; }

 private:
  struct Kind {
    std::deque<WorkItem> waiting;
    int64_t used_ms = 0;
  };
  std::map<std::string, Kind> kinds_;
  int64_t virtual_time_ms_ = 0;
  int64_t size_ = 0;
};

class FloorQueue final : public WorkQueue {
 public:
  FloorQueue(std::vector<RankShare> shares, int slots) : slots_(slots) {
    assert(!shares.empty() && shares.size() <= kMaxRanks);
    for (const RankShare& share : shares)
      ranks_.push_back(RankState{share, {}, 0, 0});
  }

  void Push(const WorkItem& work) override {
    RankState& rank = At(work.rank);
    if (rank.waiting.Size() == 0 && rank.running == 0) rank.credit = 0;
    rank.waiting.Push(work);
    ++size_;
  }

  std::optional<WorkItem> Pop(TimeMs now, int max_rank) override {
    AccrueCredit(now);
    int chosen = RankBelowFloor(max_rank);
    if (chosen < 0) chosen = MostUrgentWaiting(max_rank);
    if (chosen < 0) return std::nullopt;
    --size_;
    return At(chosen).waiting.Pop();
  }

  bool Remove(uint64_t id) override {
    for (RankState& rank : ranks_) {
      if (!rank.waiting.Remove(id)) continue;
      --size_;
      return true;
    }
    return false;
  }

  std::vector<WorkItem> RemoveExpired(
      const std::function<bool(const WorkItem&)>& expired) override {
    std::vector<WorkItem> out;
    for (RankState& rank : ranks_) rank.waiting.RemoveExpired(expired, &out);
    size_ -= static_cast<int64_t>(out.size());
    return out;
  }

  void OnStart(TimeMs now, int rank, const std::string& kind,
               int64_t cost_ms) override {
    AccrueCredit(now);
    At(rank).waiting.OnStart(kind, cost_ms);
    ++At(rank).running;
  }

  void OnFinish(TimeMs now, int rank) override {
    AccrueCredit(now);
    --At(rank).running;
    assert(At(rank).running >= 0);
  }

  int64_t QueuedAhead(int rank, const std::string& kind) const override {
    int64_t own = At(rank).waiting.QueuedAhead(kind);
    int64_t urgent = 0;
    for (int i = 0; i < rank; ++i) urgent += At(i).waiting.Size();
    if (urgent == 0) return own;

    // While more urgent ranks are overloaded, only the floor's share of the
    // slots is guaranteed.
    int64_t floor = std::max<int64_t>(1, At(rank).share.floor_permille);
    return std::min(own + urgent, (own + 1) * kPermille / floor);
  }

  int64_t Waiting(int rank) const override { return At(rank).waiting.Size(); }
  int64_t Size() const override { return size_; }

 private:
  struct RankState {
    RankShare share;
    FairKindQueue waiting;
    int64_t running;
    /// Slot time owed to the rank, in 1/1000 slot-ms; negative if overused.
    int64_t credit;
  };

  RankState& At(int rank) { return ranks_[static_cast<size_t>(rank)]; }
  const RankState& At(int rank) const {
    return ranks_[static_cast<size_t>(rank)];
  }

  /// Credits each busy rank with its floor's share of the elapsed slot time and
  /// debits the slot time that it used.
  void AccrueCredit(TimeMs now) {
    int64_t passed_ms = now - last_accrual_;
    if (passed_ms <= 0) return;
    last_accrual_ = now;
    for (RankState& rank : ranks_) {
      if (rank.waiting.Size() == 0 && rank.running == 0) continue;
      int64_t floor = rank.share.floor_permille * slots_;
      int64_t cap = floor * kCreditWindowMs;
      rank.credit += passed_ms * (floor - rank.running * kPermille);
      rank.credit = std::clamp(rank.credit, -cap, cap);
    }
  }

  /// The rank with waiting work and the most credit; -1 if none has credit.
  int RankBelowFloor(int max_rank) const {
    int best = -1;
    for (int i = 0; i <= max_rank && i < static_cast<int>(ranks_.size()); ++i) {
      const RankState& rank = At(i);
      if (rank.waiting.Size() == 0 || rank.credit <= 0) continue;
      // A rank that catches up may exceed its floor by half of it plus one
      // slot.
      int64_t floor = rank.share.floor_permille * slots_;
      if (rank.running * kPermille >= floor + floor / 2 + kPermille) continue;
      if (best < 0 || rank.credit > At(best).credit) best = i;
    }
    return best;
  }

  int MostUrgentWaiting(int max_rank) const {
    for (int i = 0; i <= max_rank && i < static_cast<int>(ranks_.size()); ++i) {
      if (At(i).waiting.Size() > 0) return i;
    }
    return -1;
  }

  std::vector<RankState> ranks_;
  int64_t slots_;
  int64_t size_ = 0;
  TimeMs last_accrual_;
};

}  // namespace

std::unique_ptr<WorkQueue> MakeFloorQueue(std::vector<RankShare> shares,
                                          int slots) {
  return std::make_unique<FloorQueue>(std::move(shares), slots);
}

std::unique_ptr<WorkQueue> MakeQueue(QueuePolicy policy,
                                     std::vector<RankShare> shares, int slots) {
  switch (policy) {
    case QueuePolicy::kStrict:
      return MakeStrictPriorityQueue();
    case QueuePolicy::kFifo:
      return MakeFifoQueue();
    case QueuePolicy::kFloors:
      break;
  }
  return MakeFloorQueue(std::move(shares), slots);
}

}  // namespace banyanloft
