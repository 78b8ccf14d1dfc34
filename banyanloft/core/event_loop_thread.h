#pragma once

#include <pthread.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "banyanloft/core/bounded_queue.h"

namespace banyanloft {

/// An event loop and the thread that runs it.
class EventLoopThread {
 public:
  /// `name` is the name of the thread, at most 15 bytes.
  explicit EventLoopThread(std::string name)
      : name_(std::move(name)), work_(io_.get_executor()) {}
  ~EventLoopThread() { Stop(); }
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  /// The event loop that the thread runs.
  boost::asio::io_context& Io() { return io_; }
  /// Starts the thread. Call once.
  void Start() {
    thread_ = std::thread([this] {
      pthread_setname_np(pthread_self(), name_.c_str());
      io_.run();
    });
  }
  /// Stops the loop and joins the thread. Must not be called on that thread.
  void Stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

 private:
  std::string name_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

/// Bounded queue into an event-loop thread: other threads push, that thread
/// consumes.
template <typename T>
class Inbox {
 public:
  /// `consume` is called on `thread` for each item, in order.
  Inbox(EventLoopThread& thread, size_t capacity,
        std::function<void(T)> consume)
      : thread_(thread), queue_(capacity), consume_(std::move(consume)) {}

  /// Enqueues `item`. Returns false if the queue is full; `item` is then
  /// unchanged.
  bool TryPush(T& item) {
    typename BoundedQueue<T>::Push pushed = queue_.TryPush(item);
    if (pushed == BoundedQueue<T>::Push::kFull) return false;
    if (pushed == BoundedQueue<T>::Push::kFirst)
      boost::asio::post(thread_.Io(), [this] { Drain(); });
    return true;
  }

 private:
  void Drain() {
    while (std::optional<T> item = queue_.TryPop()) consume_(std::move(*item));
  }

  EventLoopThread& thread_;
  BoundedQueue<T> queue_;
  std::function<void(T)> consume_;
};

}  // namespace banyanloft
