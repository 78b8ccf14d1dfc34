#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "banyanloft/core/time.h"
#include "banyanloft/mesh/mesh_message.h"

namespace banyanloft {

/// Settings of holding requests at the start.
struct StartupBufferSettings {
  /// Time after the start in which requests are held, in ms. A version takes
  /// well under a second to arrive; a daemon without one after this has lost
  /// the store and its peers, and refuses at once.
  int64_t window_ms = 1500;
  /// Longest hold, in ms: less than the pause that a refusal asks for.
  int64_t hold_ms = 300;
  /// A hold takes at most this part of the time the client waits, in 1/1000.
  int64_t wait_share_permille = 250;
  size_t max_requests = 200;  ///< Most requests held; further are refused.
};

/// Holds requests that reach a daemon which has just started and waits for its
/// first version: refused, they would all come back together, later than the
/// version. The load that it answers: many daemons restart at once and their
/// clients return. Deterministic; not thread safe; free of I/O.
class StartupBuffer {
 public:
  struct BufferedRequest {
    uint64_t id = 0;
    MeshRequest request;
  };

  StartupBuffer(const StartupBufferSettings& settings, TimeMs start)
      : settings_(settings), start_(start) {}

  /// Takes the request, unless it cannot be held; it is then left unchanged.
  bool Add(TimeMs now, uint64_t id, MeshRequest* request);
  /// Those held long enough, the oldest first.
  std::vector<BufferedRequest> TakeExpired(TimeMs now);
  /// All of them, the oldest first, each with the time that it was held.
  std::vector<BufferedRequest> TakeAll(TimeMs now);
  /// The client went away. Returns its request if that was held.
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
  std::map<uint64_t, Entry> entries_;  ///< Ids of later requests are greater.
};

}  // namespace banyanloft
