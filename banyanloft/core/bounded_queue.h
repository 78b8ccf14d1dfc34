#pragma once

#include <cassert>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace banyanloft {

/// Bounded FIFO queue between the threads of a daemon. Any thread may push or
/// pop. A push to a full queue fails: it neither blocks nor drops an item
/// silently. Memory is allocated only for queued items.
template <typename T>
class BoundedQueue {
 public:
  /// `capacity` is the maximum number of items, at least one.
  explicit BoundedQueue(size_t capacity) : capacity_(capacity) {
    assert(capacity > 0);
  }

  /// Result of a push.
  enum class Push {
    kFirst,  ///< Accepted into an empty queue: the consumer must be woken.
    kMore,   ///< Accepted behind other items.
    kFull,   ///< Rejected; `item` is unchanged.
  };

  /// Appends `item`, moving from it only if accepted.
  Push TryPush(T& item) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (items_.size() == capacity_) return Push::kFull;
    items_.push_back(std::move(item));
    return items_.size() == 1 ? Push::kFirst : Push::kMore;
  }

  /// Removes the oldest item.
  std::optional<T> TryPop() {
    std::lock_guard<std::mutex> lock(mutex_);
    if (items_.empty()) return std::nullopt;
    std::optional<T> item(std::move(items_.front()));
    items_.pop_front();
    return item;
  }

  /// Number of queued items.
  size_t Size() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return items_.size();
  }

 private:
  mutable std::mutex mutex_;
  std::deque<T> items_;
  size_t capacity_;
};

}  // namespace banyanloft
