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

/// Settings of a gate.
struct RankAdmissionSettings {
  QueuePolicy policy = QueuePolicy::kFloors;  ///< Order of waiting work.
  int slots = 20;             ///< Work that the backend server runs at once.
  int64_t max_wait_ms = 500;  ///< Longest wait of any rank, in ms.
  size_t max_waiting = 4000;  ///< Most work that waits.
  int64_t window_ms = 100;    ///< Period of the admission levels, in ms.
  int64_t max_wait_permille =
      330;  ///< Share of its time that work may wait, in 1/1000.
  int64_t initial_run_ms =
      5;  ///< Assumed run time of a kind never seen, in ms.
};

/// Share of each rank that senders should still send, in 1/1000.
using AdmissionLevels = std::array<int16_t, kMaxRanks>;

/// What the gate decided about one piece of work.
struct RankAdmissionAction {
  enum class Type : uint8_t { kStart, kRefuse };
  Type type = Type::kStart;
  uint64_t id = 0;
  ErrorKind error = ErrorKind::kOverloaded;  ///< With kRefuse: the reason.
};

/// Admission in front of one backend server: decides which work gets one of
/// the slots, which waits and which is refused unrun. Deterministic; not
/// thread safe; free of I/O.
class RankAdmissionController {
 public:
  /// `queue` orders the waiting work; `shares` are the ranks, most urgent
  /// first.
  RankAdmissionController(const RankAdmissionSettings& settings,
                          std::vector<RankShare> shares,
                          std::unique_ptr<WorkQueue> queue);

  /// Offers work. It is started, refused or left waiting; see `actions`.
  void Offer(TimeMs now, WorkItem work,
             std::vector<RankAdmissionAction>* actions);
  /// Started work gave its slot back after `run_ms` (negative: unknown).
  void Finish(TimeMs now, uint64_t id, int64_t run_ms,
              std::vector<RankAdmissionAction>* actions);
  /// Withdraws waiting work; true if it was waiting and will now never start.
  bool Withdraw(uint64_t id);
  /// Refuses all work that waits, for the given reason.
  void RefuseAll(ErrorKind reason, std::vector<RankAdmissionAction>* actions);
  /// Refuses work that waited too long and updates the levels.
  void Tick(TimeMs now, std::vector<RankAdmissionAction>* actions);
  /// Changes the number of slots.
  void SetSlots(int slots) { settings_.slots = slots; }
  /// Takes over new rank shares with a queue made for them; waiting work moves.
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
    /// Time that few runs exceed.
    int64_t HighEstimateMs() const { return (mean + 2 * deviation) / 16; }
  };
  struct RankWindow {
    int64_t offered = 0;
    int64_t refused = 0;
    int64_t min_waiting = INT64_MAX;
    int64_t running_sum = 0;  ///< Running work, added up over `samples`.
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
