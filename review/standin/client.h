#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "review/standin/platform.h"

namespace review {

/// What a client saw of one request.
struct Outcome {
  bool written = false;   ///< The whole request was sent.
  bool kept = false;      ///< Its connection had carried an answer before.
  bool answered = false;  ///< A complete answer came.
  bool began = false;     ///< A byte of an answer came.
  bool closed = false;    ///< The connection ended without a complete answer.
  int64_t sent_at = 0;
  int64_t ended_at = 0;
  Message answer;
};

/// Settings of a client's link.
struct ClientLink {
  /// Receive window, in bytes; 0: that of the machine.
  int window_bytes = 0;
  /// Largest segment, in bytes; 0: that of the machine.
  int segment_bytes = 0;
  /// Time per window, in ms: a round trip of the link.
  int64_t round_trip_ms = 0;
};

/// A client that keeps its connection open for many requests, opens a new one
/// if it was closed, and respects `Connection: close`.
class Client {
 public:
  explicit Client(Address daemon, ClientLink link = ClientLink())
      : daemon_(std::move(daemon)), link_(link) {}
  Outcome Send(const Message& request, int64_t timeout_ms);

 private:
  bool Connect();

  Address daemon_;
  ClientLink link_;
  std::unique_ptr<Connection> connection_;
  bool kept_ = false;
};

}  // namespace review
