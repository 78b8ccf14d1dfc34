#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "banyanloft/config/model.h"
#include "banyanloft/core/error.h"

namespace banyanloft {

/// Settings of framing.
struct FrameSettings {
  size_t chunk_bytes = 16 * 1024;  ///< Most message bytes in one frame.
  size_t max_message_bytes = 4 * 1024 * 1024;  ///< Longest message.
  size_t max_queued_bytes =
      32 * 1024 * 1024;  ///< Most bytes that wait to be sent on a link.
  size_t max_partial_messages =
      256;  ///< Messages that arrive at once on a link.
};

/// Cuts messages into frames and orders them: a more urgent rank first, and
/// messages of one rank in turn, so that a long message holds up none that is
/// more urgent and none of its own rank. Not thread safe.
class FrameScheduler {
 public:
  explicit FrameScheduler(const FrameSettings& settings)
      : settings_(settings) {}

  /// Queues a message; `tag` identifies it to the caller. False if the queue
  /// is full or the message too long.
  bool Push(int rank, uint64_t tag, std::string message);
  /// The next frame to send; empty if none waits. `started_tag` is set to the
  /// tag of a message whose first frame this is.
  std::optional<std::string> Pop(std::optional<uint64_t>* started_tag);

  bool Empty() const { return queued_bytes_ == 0; }
  size_t QueuedBytes() const { return queued_bytes_; }

 private:
  struct Stream {
    uint32_t id;
    uint64_t tag;
    std::string message;
    size_t sent;
  };
  FrameSettings settings_;
  std::array<std::deque<Stream>, kMaxRanks> ranks_;
  uint32_t next_id_ = 1;
  size_t queued_bytes_ = 0;
};

/// Puts the frames of one link together again. A message that is too long is
/// dropped alone; the link's other messages go on. Not thread safe.
class FrameAssembler {
 public:
  explicit FrameAssembler(const FrameSettings& settings)
      : settings_(settings) {}

  /// Takes a frame. Returns the message that it completes, nothing if there is
  /// none, or the reason why it, or its message, was dropped.
  Result<std::optional<std::string>> Push(const std::string& frame);
  /// Bytes of messages that are still incomplete.
  size_t PartialBytes() const { return partial_bytes_; }

 private:
  FrameSettings settings_;
  std::unordered_map<uint32_t, std::string> partial_;
  std::unordered_set<uint32_t> dropped_;
  size_t partial_bytes_ = 0;
};

}  // namespace banyanloft
