#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "banyanloft/config/model.h"
#include "banyanloft/core/error.h"
#include "banyanloft/links/encoded_message.h"

namespace banyanloft {

/// Messages of this rank and the following ones are large: they are paced over
/// all links (see SendPacer). Urgency classes take the ranks below.
inline constexpr int kFirstPacedRank = 4;

/// Settings of framing.
struct FrameSettings {
  size_t chunk_bytes = 16 * 1024;              ///< Largest payload of a frame.
  size_t max_message_bytes = 4 * 1024 * 1024;  ///< Largest message.
  size_t max_queued_bytes =
      32 * 1024 * 1024;  ///< Maximum of bytes queued for sending on a link.
  size_t max_partial_messages =
      256;  ///< Maximum number of incomplete received messages of a link.
};

/// Splits messages into frames and schedules them: strict priority between
/// ranks, round robin among the messages of a rank, so that a long message
/// delays neither more urgent ones nor others of its own rank. Not thread safe.
class FrameScheduler {
 public:
  explicit FrameScheduler(const FrameSettings& settings)
      : settings_(settings) {}

  /// Queues a message; `tag` identifies it to the caller. False if the queue
  /// is full or the message too long. An empty queue takes any message that is
  /// not too long.
  bool Push(int rank, uint64_t tag, std::string message) {
    return Push(rank, tag, EncodedMessage{std::move(message), {}, {}});
  }
  bool Push(int rank, uint64_t tag, EncodedMessage message);
  /// The next frame to send; empty if none is queued. If it is the first frame
  /// of its message, `started_tag` is set to the tag of the message.
  std::optional<std::string> Pop(std::optional<uint64_t>* started_tag);

  /// Rank of the next frame; kMaxRanks if none is queued.
  int NextRank() const;
  bool Empty() const { return queued_bytes_ == 0; }
  size_t QueuedBytes() const { return queued_bytes_; }

 private:
  struct Stream {
    uint32_t id;
    uint64_t tag;
    EncodedMessage message;
    size_t sent;
  };
  FrameSettings settings_;
  std::array<std::deque<Stream>, kMaxRanks> ranks_;
  uint32_t next_id_ = 1;
  size_t queued_bytes_ = 0;
};

/// Reassembles messages from the frames of one link. A message that is too long
/// is dropped; other messages on the link are not affected. Not thread safe.
class FrameAssembler {
 public:
  explicit FrameAssembler(const FrameSettings& settings)
      : settings_(settings) {}

  /// Processes a frame. Returns the message that it completes, nothing if it
  /// completes none, or an error if the frame or its message was dropped.
  Result<std::optional<std::string>> Push(const std::string& frame);
  /// What a frame holds of its message if it is the first of several frames;
  /// empty otherwise.
  std::optional<std::string_view> BeginningIn(const std::string& frame) const;
  /// Drops the message whose first frame this is: further frames of it are
  /// ignored.
  void Drop(const std::string& frame);
  /// Bytes of messages that are still incomplete.
  size_t PartialBytes() const { return partial_bytes_; }

 private:
  FrameSettings settings_;
  std::unordered_map<uint32_t, std::string> partial_;
  std::unordered_set<uint32_t> dropped_;
  size_t partial_bytes_ = 0;
};

}  // namespace banyanloft
