#include <algorithm>
#include <array>

#include "banyanloft/admission/work_queue.h"

namespace banyanloft {
namespace {

/// One FIFO list per rank; subclasses choose the list that is served next.
class ListQueue : public WorkQueue {
 public:
  void Push(const WorkItem& work) override {
    lists_[static_cast<size_t>(work.rank)].push_back(work);
    ++size_;
  }

  bool Remove(uint64_t id) override {
    for (auto& list : lists_) {
      auto it = std::find_if(list.begin(), list.end(),
                             [&](const WorkItem& w) { return w.id == id; });
      if (it == list.end()) continue;
      list.erase(it);
      --size_;
      return true;
    }
    return false;
  }

  std::vector<WorkItem> RemoveExpired(
      const std::function<bool(const WorkItem&)>& expired) override {
    std::vector<WorkItem> out;
    for (auto& list : lists_) {
      while (!list.empty() && expired(list.front())) {
        out.push_back(list.front());
        list.pop_front();
        --size_;
      }
    }
    return out;
  }

  void OnStart(TimeMs, int, const std::string&, int64_t) override {}
  void OnFinish(TimeMs, int) override {}
  int64_t Waiting(int rank) const override {
    return static_cast<int64_t>(lists_[static_cast<size_t>(rank)].size());
  }
  int64_t Size() const override { return size_; }

 protected:
  std::optional<WorkItem> PopList(size_t index) {
    std::optional<WorkItem> work = lists_[index].front();
    lists_[index].pop_front();
    --size_;
    return work;
  }

  std::array<std::deque<WorkItem>, kMaxRanks> lists_;
  int64_t size_ = 0;
};

class FifoQueue final : public ListQueue {
 public:
  std::optional<WorkItem> Pop(TimeMs, int max_rank) override {
    int best = -1;
    for (int i = 0; i <= max_rank; ++i) {
      const auto& list = lists_[static_cast<size_t>(i)];
      if (list.empty()) continue;
      if (best < 0 ||
          list.front().id < lists_[static_cast<size_t>(best)].front().id)
        best = i;
    }
    if (best < 0) return std::nullopt;
    return PopList(static_cast<size_t>(best));
  }
  int64_t QueuedAhead(int, const std::string&) const override { return size_; }
};

class StrictPriorityQueue final : public ListQueue {
 public:
  std::optional<WorkItem> Pop(TimeMs, int max_rank) override {
    for (int i = 0; i <= max_rank; ++i) {
      if (!lists_[static_cast<size_t>(i)].empty())
        return PopList(static_cast<size_t>(i));
    }
    return std::nullopt;
  }
  int64_t QueuedAhead(int rank, const std::string&) const override {
    int64_t ahead = 0;
    for (int i = 0; i <= rank; ++i) ahead += Waiting(i);
    return ahead;
  }
};

}  // namespace

std::unique_ptr<WorkQueue> MakeFifoQueue() {
  return std::make_unique<FifoQueue>();
}
std::unique_ptr<WorkQueue> MakeStrictPriorityQueue() {
  return std::make_unique<StrictPriorityQueue>();
}

}  // namespace banyanloft
