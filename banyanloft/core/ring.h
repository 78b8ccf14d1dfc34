#pragma once

#include <cassert>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace banyanloft {

/// Bounded first-in first-out queue that joins the threads of a daemon. Any
/// thread may push or pop. A full ring refuses the item: it never blocks and
/// never drops silently.
template <typename T>
class Ring {
 public:
  /// Room for `capacity` items, at least one.
  explicit Ring(size_t capacity) : slots_(capacity) { assert(capacity > 0); }

  /// Outcome of a push.
  enum class Push {
    kFirst,  ///< Accepted into an empty ring: the consumer must be woken.
    kMore,   ///< Accepted behind other items.
    kFull,   ///< Refused; `item` is untouched.
  };

  /// Appends `item`, moving from it only if accepted.
  Push TryPush(T& item) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (size_ == slots_.size()) return Push::kFull;
    slots_[(head_ + size_) % slots_.size()] = std::move(item);
    ++size_;
    return size_ == 1 ? Push::kFirst : Push::kMore;
  }

  /// Removes the oldest item.
  std::optional<T> TryPop() {
    std::lock_guard<std::mutex> lock(mutex_);
    if (size_ == 0) return std::nullopt;
    std::optional<T> item(std::move(slots_[head_]));
    head_ = (head_ + 1) % slots_.size();
    --size_;
    return item;
  }

  /// Items waiting now.
  size_t Size() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return size_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<T> slots_;
  size_t head_ = 0;
  size_t size_ = 0;
};

}  // namespace banyanloft
