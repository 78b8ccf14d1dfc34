#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "banyanloft/admission/work_queue.h"
#include "banyanloft/core/counters.h"
#include "banyanloft/core/error.h"

namespace banyanloft {

/// Settings of a RankAdmissionController.
struct RankAdmissionSettings {
  QueuePolicy policy = QueuePolicy::kFloors;  ///< Order of waiting work.
  int slots = 20;             ///< Concurrency limit of the backend server.
  int64_t max_wait_ms = 500;  ///< Longest queueing time of any rank, in ms.
  size_t max_waiting = 4000;  ///< Queue capacity.
  int64_t window_ms = 100;    ///< Update period of the admission levels, in ms.
  int64_t max_wait_permille =
      330;  ///< Share of its timeout that work may wait, in 1/1000.
  int64_t initial_run_ms =
      5;  ///< Assumed run time until one is measured, in ms.
};

/// Share of each rank's work that daemons should still send, in 1/1000.
using AdmissionLevels = std::array<int16_t, kMaxRanks>;

/// Admission decision on one work item.
struct RankAdmissionAction {
  enum class Type : uint8_t { kStart, kRefuse };
  Type type = Type::kStart;
  uint64_t id = 0;
  ErrorKind error = ErrorKind::kOverloaded;  ///< With kRefuse: the reason.
};

/// Admission control for one backend server: decides which work gets one of
/// the slots, which is queued and which is refused without running.
/// Deterministic; not thread safe; performs no I/O.
class RankAdmissionController {
 public:
  /// `queue` orders the waiting work; `shares` are the ranks, most urgent
  /// first.
  RankAdmissionController(const RankAdmissionSettings& settings,
                          std::vector<RankShare> shares,
                          std::unique_ptr<WorkQueue> queue);

  /// Submits work, which is started, refused (see `actions`) or queued.
  void Offer(TimeMs now, WorkItem work,
             std::vector<RankAdmissionAction>* actions);
  /// Releases the slot of started work; `run_ms` is its run time, negative if
  /// unknown.
  void Finish(TimeMs now, uint64_t id, int64_t run_ms,
              std::vector<RankAdmissionAction>* actions);
  /// Removes waiting work from the queue; false if it was not waiting.
  bool Withdraw(uint64_t id);
  /// Refuses all waiting work with `reason`.
  void RefuseAll(ErrorKind reason, std::vector<RankAdmissionAction>* actions);
  /// Refuses work that waited too long and updates the admission levels.
  void Tick(TimeMs now, std::vector<RankAdmissionAction>* actions);
  void SetSlots(int slots) { settings_.slots = slots; }
  /// Replaces the rank shares and the queue; waiting work is transferred.
  void Reconfigure(TimeMs now, std::vector<RankShare> shares,
                   std::unique_ptr<WorkQueue> queue,
                   std::vector<RankAdmissionAction>* actions);

  int Running() const { return static_cast<int>(running_.size()); }
  int64_t Waiting() const {
    return queue_->Size() + static_cast<int64_t>(exclusive_waiting_.size());
  }
  int Slots() const { return settings_.slots; }
  /// Mean run time over all kinds, in ms.
  int64_t MeanRunMs() const;
  const AdmissionLevels& Levels() const { return levels_; }

 private:
  struct RunningWork {
    int rank;
    std::string kind;
    bool exclusive;
  };
  /// Exponentially weighted mean and mean deviation, in 1/16 ms.
  struct Estimate {
    int64_t mean = -1;
    int64_t deviation = 0;
    void Add(int64_t value_ms);
    int64_t MeanMs() const { return mean / 16; }
    /// Mean plus two deviations, which few runs exceed.
    int64_t HighEstimateMs() const { return (mean + 2 * deviation) / 16; }
  };
  struct RankWindow {
    int64_t offered = 0;
    int64_t refused = 0;
    int64_t min_waiting = INT64_MAX;
    int64_t running_sum = 0;  ///< Sum over `samples` of the running work.
    int64_t samples = 0;
    TimeMs last_offered{-1000000};
  };

  int64_t ExpectedRunMs(const std::string& kind) const;
  int64_t HighEstimateMs(const std::string& kind) const;
  int64_t MaxWaitMs(const WorkItem& work) const;
  int64_t EstimatedWaitMs(const WorkItem& work) const;
  int ReservedForUrgent(TimeMs now, int rank) const;
  bool HasSlotFor(TimeMs now, int rank) const;
  int MaxStartableRank(TimeMs now) const;
  void Start(TimeMs now, const WorkItem& work,
             std::vector<RankAdmissionAction>* actions);
  void Refuse(const WorkItem& work, ErrorKind reason,
              std::vector<RankAdmissionAction>* actions);
  bool IsTooLate(TimeMs now, const WorkItem& work) const;
  void FillSlots(TimeMs now, std::vector<RankAdmissionAction>* actions);
  bool StartExclusive(TimeMs now, std::vector<RankAdmissionAction>* actions);
  void UpdateLevels();

  RankAdmissionSettings settings_;
  std::vector<RankShare> shares_;
  std::unique_ptr<WorkQueue> queue_;
  std::deque<WorkItem> exclusive_waiting_;
  std::unordered_map<uint64_t, RunningWork> running_;
  std::array<int, kMaxRanks> running_by_rank_{};
  int exclusive_running_ = 0;
  std::unordered_map<std::string, Estimate> run_time_by_kind_;
  Estimate run_time_;
  std::array<RankWindow, kMaxRanks> windows_{};
  AdmissionLevels levels_{};
  TimeMs window_end_;
};

}  // namespace banyanloft
