#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Events of a discrete-event simulation in the order of their times; events of
/// the same time keep the order in which they were scheduled. Not thread safe.
class EventQueue {
 public:
  explicit EventQueue(TimeMs start) : now_(start) {}

  TimeMs Now() const { return now_; }
  void Schedule(int64_t delay_ms, std::function<void()> callback) {
    events_.push(Event{now_ + delay_ms, next_order_++, std::move(callback)});
  }
  /// Advances the simulated time by `ms` and runs the events until then.
  void Run(int64_t ms) {
    TimeMs end = now_ + ms;
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.callback();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimeMs at;
    uint64_t order;
    std::function<void()> callback;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  TimeMs now_;
  uint64_t next_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace banyanloft
