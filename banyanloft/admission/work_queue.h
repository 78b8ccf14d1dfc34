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

/// A unit of work submitted to a RankAdmissionController.
struct WorkItem {
  uint64_t id = 0;   ///< Unique within the controller.
  int rank = 0;      ///< Index of the rank, 0 the most urgent.
  std::string kind;  ///< Class for fair sharing within the rank.
  TimeMs deadline;   ///< Time by which the answer is needed.
  TimeMs offered;    ///< Time of submission.
  bool exclusive =
      false;  ///< Must not run concurrently with other exclusive work.
};

/// Admission parameters of one rank.
struct RankShare {
  int floor_permille = 0;    ///< Guaranteed share of the slots, in 1/1000.
  int64_t target_ms = 1000;  ///< Target latency, in ms.
};

/// Scheduling order of waiting work. Deterministic; not thread safe.
class WorkQueue {
 public:
  virtual ~WorkQueue() = default;
  virtual void Push(const WorkItem& work) = 0;
  /// Removes and returns the work that gets the next slot, among the ranks with
  /// an index of at most `max_rank`. Empty if none of them waits.
  virtual std::optional<WorkItem> Pop(TimeMs now, int max_rank) = 0;
  /// Removes waiting work by id; false if it was not found.
  virtual bool Remove(uint64_t id) = 0;
  /// Removes and returns expired work from the head of every sub-queue, up to
  /// the first item for which `expired` is false.
  virtual std::vector<WorkItem> RemoveExpired(
      const std::function<bool(const WorkItem&)>& expired) = 0;
  /// Called when work of `rank` and `kind` got a slot; `cost_ms` is its
  /// expected run time.
  virtual void OnStart(TimeMs now, int rank, const std::string& kind,
                       int64_t cost_ms) = 0;
  /// Called when work of `rank` released its slot.
  virtual void OnFinish(TimeMs now, int rank) = 0;
  /// Number of items that are served before a new arrival.
  virtual int64_t QueuedAhead(int rank, const std::string& kind) const = 0;
  /// Number of waiting items of one rank.
  virtual int64_t Waiting(int rank) const = 0;
  /// Number of waiting items.
  virtual int64_t Size() const = 0;
};

/// Scheduling policies for waiting work.
enum class QueuePolicy : uint8_t { kFloors, kStrict, kFifo };

/// First come, first served, regardless of rank. A baseline for benchmarks.
std::unique_ptr<WorkQueue> MakeFifoQueue();
/// Strict priority by rank; first come, first served within a rank. A baseline
/// for benchmarks.
std::unique_ptr<WorkQueue> MakeStrictPriorityQueue();
/// Priority by rank, but each rank with waiting work gets at least its floor (a
/// guaranteed share) of the slot time. Within a rank, kinds share slot time
/// fairly.
std::unique_ptr<WorkQueue> MakeFloorQueue(std::vector<RankShare> shares,
                                          int slots);
/// Creates the queue for a policy.
std::unique_ptr<WorkQueue> MakeQueue(QueuePolicy policy,
                                     std::vector<RankShare> shares, int slots);

}  // namespace banyanloft
