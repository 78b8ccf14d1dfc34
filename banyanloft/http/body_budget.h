#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of BodyBudget.
struct BodyBudgetSettings {
  /// Memory of bodies longer than `small_body_bytes`, in bytes.
  size_t max_bytes = 256 * 1024 * 1024;
  /// Memory of all other bodies, in bytes. Apart, so that long bodies never
  /// cause the refusal of ordinary requests.
  size_t max_small_bytes = 64 * 1024 * 1024;
  size_t small_body_bytes = 16 * 1024;
};

/// Bounds the memory of request bodies over all connections of a server: those
/// that are being received and those of requests in progress. Only requests
/// that are still being received can be given up. Deterministic; not thread
/// safe; performs no I/O.
class BodyBudget {
 public:
  explicit BodyBudget(const BodyBudgetSettings& settings)
      : settings_(settings) {}

  /// Replaces the settings.
  void Apply(const BodyBudgetSettings& settings) { settings_ = settings; }
  /// The body that a connection receives takes `bytes` of memory by now.
  void Receive(TimeMs now, uint64_t connection, size_t bytes);
  /// The body of a connection is complete: its request is in progress until
  /// its memory is released. Returns this memory, in bytes.
  size_t Complete(uint64_t connection);
  /// The body of a connection is discarded; no effect if there is none.
  void Discard(uint64_t connection);
  /// A request whose body takes `bytes` of memory is no longer in progress.
  void Release(size_t bytes);
  /// The connection whose incomplete body must be given up because a limit is
  /// exceeded; empty if none is exceeded, or only by requests in progress. Of
  /// long bodies, the one that arrives most slowly; of small ones, the oldest.
  std::optional<uint64_t> Excess(TimeMs now) const;

  /// Memory of all bodies, in bytes.
  size_t HeldBytes() const { return long_bytes_ + small_bytes_; }

 private:
  struct Body {
    size_t bytes = 0;
    TimeMs began;
  };

  bool IsSmall(size_t bytes) const {
    return bytes <= settings_.small_body_bytes;
  }
  void Count(size_t bytes);

  BodyBudgetSettings settings_;
  std::unordered_map<uint64_t, Body> receiving_;  ///< By connection.
  size_t long_bytes_ = 0;
  size_t small_bytes_ = 0;
};

}  // namespace banyanloft
