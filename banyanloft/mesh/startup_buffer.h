#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "banyanloft/core/time.h"
#include "banyanloft/mesh/mesh_message.h"

namespace banyanloft {

/// Settings of the startup buffer.
struct StartupBufferSettings {
  /// Time after the start during which requests are buffered, in ms. The
  /// configuration normally arrives in well under a second. A daemon without
  /// one after this time can reach neither the store nor a peer, and refuses
  /// requests at once.
  int64_t window_ms = 1500;
  /// Maximum time in the buffer, in ms; shorter than the retry delay of a
  /// refusal.
  int64_t max_buffered_ms = 300;
  /// Maximum time in the buffer as a fraction of the client's timeout, in
  /// 1/1000.
  int64_t wait_share_permille = 250;
  size_t max_requests = 200;  ///< Capacity; further requests are refused.
};

/// Buffers requests that reach a daemon between its start and the arrival of
/// its first configuration, for example when many daemons restart at once and
/// their clients reconnect. If they were refused, all of them would retry
/// together, and later than the configuration arrives. Deterministic; not
/// thread safe; performs no I/O.
class StartupBuffer {
 public:
  struct BufferedRequest {
    uint64_t id = 0;
    MeshRequest request;
  };

  StartupBuffer(const StartupBufferSettings& settings, TimeMs start)
      : settings_(settings), start_(start) {}

  /// Moves the request into the buffer. Returns false and leaves the request
  /// unchanged if it cannot be buffered.
  bool Add(TimeMs now, uint64_t id, MeshRequest* request);
  /// Removes and returns the requests whose time in the buffer has ended,
  /// oldest first.
  std::vector<BufferedRequest> TakeExpired(TimeMs now);
  /// Removes and returns all requests, oldest first. Their time in the buffer
  /// is added to `buffered_ms`.
  std::vector<BufferedRequest> TakeAll(TimeMs now);
  /// Removes and returns the request of a client that has disconnected, if it
  /// was buffered.
  std::optional<MeshRequest> Remove(uint64_t id);

  size_t Count() const { return entries_.size(); }

 private:
  struct Entry {
    MeshRequest request;
    TimeMs arrived_at;
    TimeMs expires_at;
  };

  StartupBufferSettings settings_;
  TimeMs start_;
  std::map<uint64_t, Entry> entries_;  ///< By id; ids increase over time.
};

}  // namespace banyanloft
