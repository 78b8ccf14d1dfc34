#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "banyanloft/core/counters.h"
#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"
#include "banyanloft/mesh/config_follower.h"
#include "banyanloft/mesh/rollout_order.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// Settings of RolloutStore.
struct RolloutStoreSettings {
  std::string prefix = "rollouts/";  ///< Key prefix to list and watch.
  /// Longest duration of one watch request while an order is in progress, and
  /// otherwise, in ms. The shorter one bounds the time until a member that the
  /// store is cut off from notices that.
  int64_t watch_wait_ms = 2000;
  int64_t idle_watch_wait_ms = 5000;
  int64_t timeout_ms = 800;  ///< Time-out of a call, beyond a watch's wait.
  int64_t backoff_ms = 150;  ///< Delay after the first failure, in ms.
  int64_t backoff_cap_ms = 1500;  ///< Longest delay after failures, in ms.
};

/// A status to be written.
struct RolloutStatus {
  std::string service;
  std::string to_version;
  RolloutPhase phase = RolloutPhase::kRunning;
  /// Of the object, as far as this daemon knows. An object that was read
  /// earlier is out of date and not written.
  uint64_t generation = 0;
  uint64_t revision = 0;
};

/// Reads and watches the roll-out orders of the store, and writes their status
/// by conditional writes. A status is written only to an object whose present
/// revision is known, and a stored end of an order is never replaced.
/// Deterministic; not thread safe; free of I/O.
class RolloutStore {
 public:
  RolloutStore(const RolloutStoreSettings& settings, uint64_t seed, TimeMs now,
               const ConfigurationReader* reader);

  /// The read that is due, if any. The caller sends it and calls OnReadSent.
  /// `in_progress`: an order is running.
  std::optional<PlatformCall> TickRead(TimeMs now, bool watching,
                                       bool in_progress);
  void OnReadSent(uint64_t call) { read_id_ = call; }
  /// The write of the first of these that the store does not hold, if it is
  /// due. The caller sends it and calls OnWriteSent.
  std::optional<PlatformCall> TickWrite(
      TimeMs now, const std::vector<RolloutStatus>& wanted);
  void OnWriteSent(uint64_t call) { write_id_ = call; }
  bool IsPending(const PlatformReply& reply) const {
    return (read_ != Read::kNone && reply.id == read_id_) ||
           (write_ && reply.id == write_id_);
  }
  /// Handles the reply to a pending call; returns the states that it tells of.
  /// `known`: services whose orders this daemon knows; those that the store no
  /// longer holds are returned as removed.
  std::vector<RolloutState> OnReply(TimeMs now, const PlatformReply& reply,
                                    const std::vector<std::string>& known);

  /// The orders have been read since this member last became a watcher.
  bool Loaded() const { return revision_ != 0; }
  /// Whether the store has answered a read of this member recently enough for
  /// it to decide.
  bool InTouch(TimeMs now) const;
  /// Whether the store holds this status, or another end of the order.
  bool Holds(const RolloutStatus& status) const;
  const Counters& Counts() const { return counters_; }

 private:
  enum class Read : uint8_t { kNone, kList, kWatch };
  struct Stored {
    RolloutOrder order;
    uint64_t revision = 0;
  };

  void OnFailed(TimeMs now);
  void OnWritten(TimeMs now, const PlatformReply& reply,
                 std::vector<RolloutState>* states);
  RolloutState StateOf(const Stored& stored) const;
  void OnRead(Read read, const PlatformReply& reply,
              const std::vector<std::string>& known,
              std::vector<RolloutState>* states);
  void Remove(const std::string& service, std::vector<RolloutState>* states);
  std::string ServiceOf(const std::string& key) const;
  void Store(const PlatformObject& object, std::vector<RolloutState>* states);

  RolloutStoreSettings settings_;
  Random random_;
  const ConfigurationReader* reader_;
  Read read_ = Read::kNone;
  uint64_t read_id_ = 0;
  TimeMs read_at_;
  int64_t read_timeout_ms_ = 0;
  TimeMs next_read_;
  std::optional<RolloutStatus> write_;
  uint64_t write_id_ = 0;
  TimeMs written_at_;
  TimeMs next_write_;
  int failures_ = 0;
  uint64_t revision_ = 0;    ///< From which a watch starts; 0: list first.
  uint64_t generation_ = 0;  ///< Of the store; see PlatformReply.
  std::optional<TimeMs> answered_at_;
  std::map<std::string, Stored> stored_;  ///< By service.
  Counters counters_;
};

}  // namespace banyanloft
