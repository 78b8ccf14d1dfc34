#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "banyanloft/core/error.h"
#include "banyanloft/core/time.h"
#include "banyanloft/mesh/mesh_message.h"
#include "banyanloft/mesh/run_time.h"

namespace banyanloft {

/// Settings of a slot gate.
struct AdmissionSettings {
  int slots = 16;  ///< Until the backend server has told its own, a guess low
                   ///< enough for most.
  /// Assumed run time of a route without samples, as a part of its aim, in
  /// 1/1000: operators set aims at some four times the usual run time.
  int64_t default_run_permille = 250;
  size_t max_waiting = 2000;  ///< Most work that waits, a bound on memory.
  /// Slot time that a class is owed while it waits, as a part of the slot time
  /// that more urgent ones take, in 1/1000: no class may be starved below a
  /// quarter of the rest.
  int64_t floor_permille = 150;
  /// Run time that must fit behind the wait within the aim, in 1/1000 of the
  /// mean. In a flood all admitted work has the longest wait allowed: with the
  /// mean alone, half of it would miss its aim.
  int64_t run_margin_permille = 1600;
  /// Part of what then is left that the expected wait may take, in 1/1000. The
  /// rest is for more urgent work that arrives later.
  int64_t wait_share_permille = 850;
  /// Shortest wait that is always tolerated, in ms: below it, refusing costs
  /// the client more than waiting.
  int64_t min_wait_limit_ms = 40;
  /// Slots kept free of long work for more urgent classes, in 1/1000 of those
  /// that they lately needed: random arrivals need that much more at their
  /// peaks.
  int64_t reserve_permille = 1300;
  /// Most slots kept free so, in 1/1000 of all: no class may be starved below a
  /// quarter of the rest.
  int64_t max_reserve_permille = 750;
  /// Weight of one tick in the mean of needed slots, 1 / 50: with a tick each
  /// 20 ms it covers the last second.
  int64_t demand_window_ticks = 50;
  /// Work that cannot meet its aim any more may wait this part of its time
  /// left, in 1/1000, behind the work that can.
  int64_t late_wait_permille = 250;
};

/// One piece of work offered to the gate.
struct AdmissionRequest {
  uint64_t id = 0;
  int urgency = 0;          ///< Class, 0 the most urgent.
  std::string route;        ///< Unit of run time estimates.
  int64_t aim_left_ms = 0;  ///< When offered: time left for full credit, in ms.
  TimeMs offered;
  TimeMs deadline;         ///< Time of the final answer.
  bool exclusive = false;  ///< Must not run beside other exclusive work.
  /// Place within its class, set by the gate: the end of its aim, or its
  /// deadline if it can no longer meet the aim.
  TimeMs due;
};

/// What the gate decided about one piece of work.
struct AdmissionDecision {
  enum class Type : uint8_t { kStart, kRefuse };
  Type type = Type::kStart;
  uint64_t id = 0;
  ErrorKind error = ErrorKind::kOverloaded;  ///< With kRefuse.
  int64_t retry_after_ms = 0;  ///< With kRefuse: when room is expected, in ms.
  int64_t expected_wait_ms = 0;  ///< The estimate that decided.
};

/// Admission in front of one backend server, for loads beyond its slots: floods
/// of long, patient work and bursts of short, urgent work. Work is refused as
/// soon as its expected finish misses what it can wait for, so that what is
/// admitted is answered in time. Deterministic; not thread safe; free of I/O.
class AdmissionController {
 public:
  explicit AdmissionController(const AdmissionSettings& settings)
      : settings_(settings) {}

  using Decisions = std::vector<AdmissionDecision>;

  /// Offers work: it is started, refused or left waiting.
  void Offer(TimeMs now, AdmissionRequest work, Decisions* decisions);
  /// Started work gave its slot back after `run_ms` (negative: not measured).
  void Finish(TimeMs now, uint64_t id, int64_t run_ms, Decisions* decisions);
  /// Withdraws waiting work; true if it was waiting and will never start.
  bool Withdraw(uint64_t id);
  /// Refuses all work that waits.
  void RefuseAll(ErrorKind reason, Decisions* decisions);
  /// Refuses work whose time has run out and fills free slots.
  void Tick(TimeMs now, Decisions* decisions);
  /// Slots as the backend server tells them.
  void SetSlots(int slots);

  int Running() const { return static_cast<int>(running_.size()); }
  int Waiting() const;
  TargetLoad Load() const;
  /// Measured mean run time of a route, in ms; negative if there is none.
  int64_t MeanRunMs(TimeMs now, const std::string& route) const {
    return run_times_.MeanMs(now, route);
  }
  /// Expected wait of new work, in ms.
  int64_t ExpectedWaitMs(TimeMs now, const AdmissionRequest& offer) const;

 private:
  struct RunningWork {
    int urgency;
    int64_t aim_ms;
    std::string route;
    bool exclusive;
    TimeMs started;
  };
  int64_t RunningAgeMs(TimeMs now, const std::string& route) const;
  int64_t ExpectedRunMs(TimeMs now, const std::string& route,
                        int64_t aim_ms) const;
  int64_t ExpectedRunMs(TimeMs now, const AdmissionRequest& work) const {
    return ExpectedRunMs(now, work.route, work.aim_left_ms);
  }
  bool MissesAim(TimeMs now, const AdmissionRequest& work) const;
  int64_t WaitLimitMs(TimeMs now, const AdmissionRequest& work) const;
  bool MissesDeadline(TimeMs now, const AdmissionRequest& work,
                      int64_t wait_ms) const;
  void Queue(AdmissionRequest work);
  void MeasureDemand();
  void RecordAim(const AdmissionRequest& work);
  bool DelaysUrgent(TimeMs now, const AdmissionRequest& work) const;
  int SlotsForUrgent(TimeMs now, const AdmissionRequest& work) const;
  bool Reserved(TimeMs now, const AdmissionRequest& work) const;
  bool FindNext(TimeMs now, size_t* urgency) const;
  bool Startable(const AdmissionRequest& work) const;
  void Start(TimeMs now, const AdmissionRequest& work, Decisions* decisions);
  void Refuse(const AdmissionRequest& work, ErrorKind error, int64_t wait_ms,
              Decisions* decisions);
  void StartWaiting(TimeMs now, Decisions* decisions);

  AdmissionSettings settings_;
  std::array<std::deque<AdmissionRequest>, kUrgencyClasses> waiting_;
  /// Slot time owed to each class, in ms.
  std::array<int64_t, kUrgencyClasses> credit_ms_{};
  std::unordered_map<uint64_t, RunningWork> running_;
  std::array<int, kUrgencyClasses> running_by_class_{};
  /// Mean of the slots that each class and the more urgent ones needed lately,
  /// in 1/1000.
  std::array<int64_t, kUrgencyClasses> demand_permille_{};
  std::array<int64_t, kUrgencyClasses> aim_ms_{};  ///< Mean aim of each class.
  int exclusive_running_ = 0;
  uint64_t refusals_ = 0;
  RunTimes run_times_;
};

}  // namespace banyanloft
