#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyanloft/admission/crash_guard.h"
#include "banyanloft/core/counters.h"
#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// Settings of SuspicionStore.
struct SuspicionStoreSettings {
  /// The first read is within this time, in ms.
  int64_t start_window_ms = 100;
  int64_t timeout_ms = 1500;  ///< Time-out of a call, in ms.
  int64_t retry_ms = 300;     ///< Mean delay after a failed call, in ms.
  /// Interval of a watcher's reads during a partition, in ms.
  int64_t partition_refresh_ms = 2000;
  /// Mean interval of a watcher's reads while there are suspicions, in ms. They
  /// remove expired and cleared ones from the store.
  int64_t cleanup_ms = 60000;
  size_t max_stored = 2000;  ///< Suspicions in the store; about 20 bytes each.
};

/// Keeps the fleet's crash suspicions in the store, so that they outlast a
/// restart of all daemons. A daemon whose backend server crashes adds the
/// suspicions at once; each daemon reads them when it starts; zone watchers
/// read them during a partition and remove those that no longer count.
/// Deterministic; not thread safe; free of I/O.
class SuspicionStore {
 public:
  SuspicionStore(const SuspicionStoreSettings& settings, uint64_t seed,
                 TimeMs now);

  /// This daemon raised this many suspicions, which are to be stored.
  void OnRaised(size_t suspicions);
  /// The call that is due, if any. The caller sends it and reports its id with
  /// OnSent. `watching`: this member is one of its zone's watchers;
  /// `partitioned`: no gossip reaches some members, which may use the store.
  std::optional<PlatformCall> Tick(TimeMs now, const CrashGuard& guard,
                                   bool watching, bool partitioned);
  void OnSent(uint64_t call);
  /// Whether `reply` belongs to the pending call.
  bool IsPending(const PlatformReply& reply) const {
    return call_ != 0 && reply.id == call_;
  }
  /// Handles the reply to the pending call; returns the suspicions read.
  std::vector<CrashSuspicion> OnReply(TimeMs now, const PlatformReply& reply);
  const Counters& Counts() const { return counters_; }

 private:
  enum class Call : uint8_t { kNone, kRead, kWrite };

  bool ReadDue(TimeMs now, const CrashGuard& guard, bool watching,
               bool partitioned);
  std::vector<CrashSuspicion> Wanted(TimeMs now, const CrashGuard& guard) const;
  bool IsOutdated(const std::vector<CrashSuspicion>& wanted) const;
  std::vector<CrashSuspicion> OnRead(TimeMs now, const PlatformReply& reply);
  void OnFailed(TimeMs now, bool may_retry_at_once);
  int64_t JitteredMs(int64_t mean_ms);

  SuspicionStoreSettings settings_;
  Random random_;
  Call call_type_ = Call::kNone;
  uint64_t call_ = 0;  ///< Id of the pending call; 0: not sent.
  TimeMs called_at_;
  TimeMs next_call_;  ///< No call before this time.
  TimeMs last_read_;
  TimeMs next_read_;     ///< Of a watcher, in any case.
  bool loaded_ = false;  ///< Read once since the start.
  /// The contents are known, and changed by nobody since as far as known.
  bool contents_known_ = false;
  bool check_contents_ = false;  ///< Just read by a watcher.
  int conflicts_ = 0;            ///< Conflicts since the last write.
  uint64_t revision_ = 0;        ///< Of the object; 0: it does not exist.
  std::vector<CrashSuspicion> stored_;   ///< Contents when read or written.
  std::vector<CrashSuspicion> writing_;  ///< Contents of the pending write.
  size_t unsaved_ = 0;   ///< Suspicions raised here that are not stored yet.
  size_t in_write_ = 0;  ///< Those that the pending write contains.
  Counters counters_;
};

}  // namespace banyanloft
