#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "banyanloft/config/model.h"
#include "banyanloft/core/time.h"

namespace banyanloft {

/// One piece of work offered to a gate.
struct WorkItem {
  uint64_t id = 0;         ///< Unique within the gate.
  int rank = 0;            ///< Index of the rank, 0 the most urgent.
  std::string kind;        ///< Unit of fair sharing within the rank.
  TimeMs deadline;         ///< Time by which the answer is needed.
  TimeMs offered;          ///< Time at which the gate was offered the work.
  bool exclusive = false;  ///< Must not run beside other solo work.
};

/// What a gate needs to know of one rank.
struct RankShare {
  int floor_permille = 0;    ///< Share of the slots kept for the rank.
  int64_t target_ms = 1000;  ///< Answer time aimed at, in ms.
};

/// Order in which waiting work gets free slots. Not thread safe; deterministic.
class WorkQueue {
 public:
  virtual ~WorkQueue() = default;
  /// Appends work.
  virtual void Push(const WorkItem& work) = 0;
  /// Removes and returns the work that gets the next slot; at most
  /// `max_rank` in rank index. Empty if none waits.
  virtual std::optional<WorkItem> Pop(TimeMs now, int max_rank) = 0;
  /// Removes waiting work by id.
  virtual bool Remove(uint64_t id) = 0;
  /// Removes and returns the work that waits at the head of any sub-queue and
  /// whose patience, as judged by `expired`, is over.
  virtual std::vector<WorkItem> RemoveExpired(
      const std::function<bool(const WorkItem&)>& expired) = 0;
  /// Tells that work of `rank` and `kind` was given a slot for about `cost_ms`.
  virtual void OnStart(TimeMs now, int rank, const std::string& kind,
                       int64_t cost_ms) = 0;
  /// Tells that work of `rank` gave its slot back.
  virtual void OnFinish(TimeMs now, int rank) = 0;
  /// Work that waits in front of a new arrival, in units of work.
  virtual int64_t QueuedAhead(int rank, const std::string& kind) const = 0;
  /// Work of one rank that waits.
  virtual int64_t Waiting(int rank) const = 0;
  /// All work that waits.
  virtual int64_t Size() const = 0;
};

/// The ways to order waiting work.
enum class QueuePolicy : uint8_t { kFloors, kStrict, kFifo };

/// First come, first served, whatever the rank. A baseline for measurements.
std::unique_ptr<WorkQueue> MakeFifoQueue();
/// Most urgent rank first, always; first come, first served within it. A
/// baseline for measurements.
std::unique_ptr<WorkQueue> MakeStrictPriorityQueue();
/// Most urgent first, but each rank that waits is given at least its floor of
/// the slots' time, and within a rank the kinds share by time used.
std::unique_ptr<WorkQueue> MakeFloorQueue(std::vector<RankShare> shares,
                                          int slots);
/// The queue of a policy.
std::unique_ptr<WorkQueue> MakeQueue(QueuePolicy policy,
                                     std::vector<RankShare> shares, int slots);

}  // namespace banyanloft
