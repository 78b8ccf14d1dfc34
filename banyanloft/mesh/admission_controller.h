#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "banyanloft/core/error.h"
#include "banyanloft/core/time.h"
#include "banyanloft/mesh/account_shares.h"
#include "banyanloft/mesh/mesh_message.h"
#include "banyanloft/mesh/rate_limiter.h"
#include "banyanloft/mesh/run_time.h"

namespace banyanloft {

/// Settings of admission control.
struct AdmissionSettings {
  /// Number of slots until the backend server reports its own; low enough for
  /// most backend servers.
  int slots = 16;
  /// Assumed run time of a route without samples, as a fraction of its aim, in
  /// 1/1000. Operators set aims to about four times the usual run time.
  int64_t default_run_permille = 250;
  size_t max_waiting = 2000;  ///< Maximum queue length; bounds memory.
  /// Slot time credited to a class with queued work, as a fraction of the slot
  /// time of the more urgent work started meanwhile, in 1/1000. No class may be
  /// starved below a quarter of the rest. The credit alone is less than that: a
  /// class also starts work without credit, in slots that are not reserved for
  /// more urgent classes (see max_reserve_permille).
  int64_t floor_permille = 150;
  /// Run time that must fit into the aim after the wait, in 1/1000 of the mean.
  /// Under overload all admitted work waits for the longest time allowed; with
  /// the mean alone, half of it would miss its aim.
  int64_t run_margin_permille = 1600;
  /// Fraction of the aim's remaining time, after that run time, that the
  /// expected wait may use, in 1/1000. The rest is a reserve for more urgent
  /// work that arrives later.
  int64_t wait_share_permille = 850;
  /// Lower bound of the wait limit, in ms: below it, a refusal costs the client
  /// more than the wait.
  int64_t min_wait_limit_ms = 40;
  /// Slots reserved for more urgent classes against long work, in 1/1000 of
  /// their recent demand. Random arrivals exceed their mean by about this much
  /// at peaks.
  int64_t reserve_permille = 1300;
  /// Upper bound of the reserved slots, in 1/1000 of all slots. No class may be
  /// starved below a quarter of the rest.
  int64_t max_reserve_permille = 750;
  /// Ticks over which the demand for slots is averaged: 50 ticks of 20 ms cover
  /// the last second.
  int64_t demand_window_ticks = 50;
  /// Wait limit of work that can no longer meet its aim, in 1/1000 of its
  /// remaining time. It queues behind work that still can.
  int64_t late_wait_permille = 250;
  /// Maximum of queued requests refused for one of an account within its share.
  /// Each frees about the slot time that the latter needs.
  int max_displaced = 4;
  AccountSharesSettings shares;
  RateLimiterSettings rate;  ///< Of the limit that the backend server names.
};

/// A request offered for admission.
struct AdmissionRequest {
  uint64_t id = 0;
  int urgency = 0;          ///< Urgency class; 0 is the most urgent.
  std::string route;        ///< Key of the run time estimates.
  int64_t aim_left_ms = 0;  ///< Time left until its aim when offered, in ms.
  TimeMs offered;
  TimeMs deadline;         ///< When the final answer is due.
  bool exclusive = false;  ///< Must not run together with other exclusive work.
  /// Expected run time as reported with the load, in ms; negative: that of the
  /// route.
  int64_t cost_ms = -1;
  std::string account;  ///< Client account; empty if none.
  /// How far the account was above its share when offered (see
  /// AccountShares::TierOf), set by the controller. Sorted by this first.
  int tier = 0;
  /// Sort key within its class and tier, set by the controller: the end of its
  /// aim, or its deadline if it can no longer meet the aim.
  TimeMs due;
};

/// The decision about one request.
struct AdmissionDecision {
  enum class Type : uint8_t { kStart, kRefuse };
  Type type = Type::kStart;
  uint64_t id = 0;
  ErrorKind error = ErrorKind::kOverloaded;  ///< With kRefuse.
  int64_t retry_after_ms = 0;    ///< With kRefuse: suggested delay, in ms.
  int64_t expected_wait_ms = 0;  ///< Estimate behind the decision, in ms.
  int tier = 0;                  ///< With kRefuse: AdmissionRequest::tier.
  bool displaced = false;        ///< Refused for an account within its share.
};

/// Admission control and queueing for one backend server with a limited number
/// of concurrent requests (slots), which may also limit its request rate.
/// Handles overload by long work with generous deadlines and by bursts of
/// short, urgent work: work is refused early if its expected wait exceeds its
/// limit, so that admitted work is answered in time. While work is queued,
/// client accounts that use more than their share come last in their class.
/// Deterministic; not thread safe; performs no I/O.
class AdmissionController {
 public:
  explicit AdmissionController(const AdmissionSettings& settings)
      : settings_(settings),
        limiter_(settings.rate),
        shares_(settings.shares) {}

  using Decisions = std::vector<AdmissionDecision>;

  /// Offers work, which is started, refused or queued.
  void Offer(TimeMs now, AdmissionRequest work, Decisions* decisions);
  /// Releases the slot of started work; `run_ms` is its run time, negative if
  /// not measured.
  void Finish(TimeMs now, uint64_t id, int64_t run_ms, Decisions* decisions);
  /// Removes queued work, so that it never starts. Returns false if it was not
  /// queued.
  bool Withdraw(uint64_t id);
  /// Marks queued work as exclusive (see AdmissionRequest).
  void MakeExclusive(uint64_t id);
  /// Refuses all queued work.
  void RefuseAll(ErrorKind reason, Decisions* decisions);
  /// Refuses expired work and starts queued work in free slots.
  void Tick(TimeMs now, Decisions* decisions);
  /// Sets the number of slots that the backend server reports.
  void SetSlots(int slots);
  /// Uses only this many of the slots; empty: all.
  void LimitSlots(std::optional<int> slots) { slot_limit_ = slots; }
  int Slots() const { return settings_.slots; }
  /// Until the first call of SetRateLimit, starts only this many requests at a
  /// time.
  void AwaitRateLimit(int requests) { limiter_.AwaitLimit(requests); }
  /// Sets the request rate that the backend server accepts; empty: any.
  void SetRateLimit(TimeMs now, std::optional<double> per_s,
                    Decisions* decisions);
  /// Started work ended without a response of the backend server.
  void OnNoResponse() { limiter_.OnNoResponse(); }

  int Running() const { return static_cast<int>(running_.size()); }
  int Waiting() const;
  std::optional<double> RateLimit() const { return limiter_.Limit(); }
  /// Load as seen by callers. Under a rate limit, slots and run time are those
  /// of a server that is as fast as the limit allows. `ended` is started work
  /// that ends now and does not count any more; 0: none.
  TargetLoad Load(TimeMs now, uint64_t ended = 0) const;
  /// Measured mean run time of a route, in ms; negative if there is no sample.
  int64_t MeanRunMs(TimeMs now, const std::string& route) const {
    return run_times_.MeanMs(now, route);
  }
  /// Estimated wait of new work, in ms.
  int64_t ExpectedWaitMs(TimeMs now, const AdmissionRequest& offer) const;

 private:
  struct RunningWork {
    int urgency;
    int64_t aim_ms;
    std::string route;
    bool exclusive;
    TimeMs started;
    int64_t cost_ms;
    std::string account;
    int64_t charged_ms;  ///< Slot time charged to the account at the start.
  };
  int64_t RunningAgeMs(TimeMs now, const std::string& route) const;
  int64_t ExpectedRunMs(TimeMs now, const std::string& route,
                        int64_t aim_ms) const;
  int64_t ExpectedRunMs(TimeMs now, const AdmissionRequest& work) const {
    return ExpectedRunMs(now, work.route, work.aim_left_ms);
  }
  int64_t RateWaitMs(TimeMs now, int urgency, int ahead) const;
  int64_t SlotWaitMs(TimeMs now, const AdmissionRequest& offer,
                     int64_t ahead_ms) const;
  void AddWork(TimeMs now, uint64_t ended, TargetLoad* load) const;
  void LimitLoad(TimeMs now, TargetLoad* load) const;
  bool MissesAim(TimeMs now, const AdmissionRequest& work) const;
  int64_t WaitLimitMs(TimeMs now, const AdmissionRequest& work) const;
  bool MissesDeadline(TimeMs now, const AdmissionRequest& work,
                      int64_t wait_ms) const;
  std::optional<ErrorKind> RefusalOf(TimeMs now, const AdmissionRequest& work,
                                     int64_t* wait_ms) const;
  int64_t QueuedMs(TimeMs now, const std::string& account) const;
  int64_t LevelOf(TimeMs now, const std::string& account,
                  int64_t pending_ms) const;
  bool FindDisplaceable(TimeMs now, const AdmissionRequest& work,
                        size_t* urgency, size_t* index) const;
  bool MakeRoom(TimeMs now, const AdmissionRequest& work, Decisions* decisions);
  void RefuseOvertaken(TimeMs now, Decisions* decisions);
  void Queue(AdmissionRequest work);
  void MeasureDemand();
  void RecordAim(const AdmissionRequest& work);
  bool DelaysUrgent(TimeMs now, const AdmissionRequest& work) const;
  int SlotsForUrgent(TimeMs now, const AdmissionRequest& work) const;
  bool Reserved(TimeMs now, const AdmissionRequest& work) const;
  bool FindNext(TimeMs now, size_t* urgency) const;
  bool Startable(const AdmissionRequest& work) const;
  void Start(TimeMs now, const AdmissionRequest& work, Decisions* decisions);
  int UsableSlots() const {
    return std::min(settings_.slots, slot_limit_.value_or(settings_.slots));
  }
  int64_t AvailableSlots(TimeMs now, const AdmissionRequest& work) const;
  int64_t ReturnDelayMs(TimeMs now, const AdmissionRequest& work,
                        int64_t wait_ms);
  void Refuse(const AdmissionRequest& work, ErrorKind error, int64_t wait_ms,
              int64_t delay_ms, Decisions* decisions);
  void RefuseNow(TimeMs now, const AdmissionRequest& work, ErrorKind error,
                 int64_t wait_ms, Decisions* decisions) {
    Refuse(work, error, wait_ms, ReturnDelayMs(now, work, wait_ms), decisions);
  }
  void StartWaiting(TimeMs now, Decisions* decisions);

  AdmissionSettings settings_;
  std::array<std::deque<AdmissionRequest>, kUrgencyClasses> waiting_;
  /// Credit of slot time of each class, in ms.
  std::array<int64_t, kUrgencyClasses> credit_ms_{};
  std::unordered_map<uint64_t, RunningWork> running_;
  std::array<int, kUrgencyClasses> running_by_class_{};
  /// Moving average of the slots needed by each class together with the more
  /// urgent ones, in 1/1000.
  std::array<int64_t, kUrgencyClasses> demand_permille_{};
  std::array<int64_t, kUrgencyClasses> aim_ms_{};  ///< Mean aim by class.
  /// Moving average of the share of started work that was more urgent than the
  /// class, in 1/1000.
  std::array<int64_t, kUrgencyClasses> urgent_share_permille_{};
  RateLimiter limiter_;
  AccountShares shares_;
  std::optional<int> slot_limit_;
  /// Time until which room is promised to refused work, by class.
  std::array<TimeMs, kUrgencyClasses> returns_until_{};
  int exclusive_running_ = 0;
  uint64_t refusals_ = 0;
  RunTimes run_times_;
};

}  // namespace banyanloft
