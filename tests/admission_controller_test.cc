#include "banyanloft/mesh/admission_controller.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

#include "banyanloft/core/random.h"

using namespace banyanloft;

namespace {

constexpr int kSlots = 4;

AdmissionSettings FourSlotSettings() {
  AdmissionSettings settings;
  settings.slots = kSlots;
  return settings;
}

AdmissionRequest WorkOf(uint64_t id, int urgency, const std::string& route,
                        int64_t aim_ms, TimeMs deadline) {
  AdmissionRequest work;
  work.id = id;
  work.urgency = urgency;
  work.route = route;
  work.aim_left_ms = aim_ms;
  work.deadline = deadline;
  return work;
}

constexpr int kUsualSlots = 18;
constexpr int64_t kLongMs = 480;
constexpr int64_t kUrgentMs = 80;

/// Simulates overload: long work with generous deadlines at twice the capacity
/// of a controller, and urgent work that needs a tenth of the capacity. Counts
/// the results from the callers' view.
class LongWorkOverload {
 public:
  explicit LongWorkOverload(const AdmissionSettings& settings)
      : controller_(settings), slots_(settings.slots) {}

  /// Runs only urgent work, which takes twelve times as long as usual.
  void RunSlowPeriod() {
    for (int i = 0; i < 40; ++i) {
      AdmissionController::Decisions decisions;
      uint64_t id = (next_++) * 2;
      controller_.Offer(now_, WorkOf(id, 1, "urgent", 250, now_ + 1500),
                        &decisions);
      now_ = now_ + 100;
      controller_.Finish(now_, id, 12 * kUrgentMs, &decisions);
    }
  }

  void Run(int64_t duration_ms) {
    constexpr int64_t kStepMs = 5;
    for (int64_t at = 0; at < duration_ms; at += kStepMs) {
      now_ = now_ + kStepMs;
      AdmissionController::Decisions decisions;
      EndRuns(&decisions);
      int64_t per_s = 2 * slots_ * 1000 / kLongMs;
      if (Due(per_s, kStepMs)) Offer(false, &decisions);
      int64_t urgent_per_s = slots_ * 1000 / (10 * kUrgentMs);
      if (Due(urgent_per_s, kStepMs)) Offer(true, &decisions);
      controller_.Tick(now_, &decisions);
      for (const AdmissionDecision& decision : decisions) {
        if (decision.type != AdmissionDecision::Type::kStart) continue;
        bool urgent = decision.id % 2 == 0;
        if (urgent) ++urgent_started;
        ends_.emplace(decision.id, now_ + RunMs(urgent));
      }
      busy_ms += kStepMs * controller_.Running();
    }
  }

  int urgent_offered = 0;
  int urgent_started = 0;
  int urgent_in_aim = 0;
  int long_ended = 0;
  int long_in_aim = 0;
  int64_t busy_ms = 0;

 private:
  bool Due(int64_t per_s, int64_t step_ms) {
    return random_.Below(1000) < static_cast<uint64_t>(per_s * step_ms);
  }
  /// Run times spread over half to one and a half of their mean.
  int64_t RunMs(bool urgent) {
    int64_t mean_ms = urgent ? kUrgentMs : kLongMs;
    return mean_ms / 2 +
           static_cast<int64_t>(random_.Below(static_cast<uint64_t>(mean_ms)));
  }
  void Offer(bool urgent, AdmissionController::Decisions* decisions) {
    uint64_t id = (next_++) * 2 + (urgent ? 0 : 1);
    offered_[id] = now_;
    urgent_offered += urgent ? 1 : 0;
    controller_.Offer(now_,
                      urgent ? WorkOf(id, 1, "urgent", 250, now_ + 800)
                             : WorkOf(id, 3, "long", 2500, now_ + 4000),
                      decisions);
  }
  void EndRuns(AdmissionController::Decisions* decisions) {
    for (auto it = ends_.begin(); it != ends_.end();) {
      if (now_ < it->second) {
        ++it;
        continue;
      }
      bool urgent = it->first % 2 == 0;
      int64_t took_ms = now_ - offered_[it->first];
      if (urgent && took_ms <= 250) ++urgent_in_aim;
      if (!urgent) ++long_ended;
      if (!urgent && took_ms <= 2500) ++long_in_aim;
      controller_.Finish(now_, it->first, urgent ? kUrgentMs : kLongMs,
                         decisions);
      it = ends_.erase(it);
    }
  }

  AdmissionController controller_;
  int slots_;
  Random random_{7};
  TimeMs now_;
  uint64_t next_ = 1;
  std::map<uint64_t, TimeMs> ends_;
  std::map<uint64_t, TimeMs> offered_;
};

/// Simulates one target of an under-provisioned service. Its load is payments
/// of the most urgent class, orders on other services that each make two short
/// nested calls to this one, and long reads that alone would fill the slots. An
/// order fails if one of its calls is refused or late.
class UnderProvisionedService {
 public:
  explicit UnderProvisionedService(const AdmissionSettings& settings)
      : controller_(settings) {}

  void Run(int64_t duration_ms) {
    for (int64_t at = 0; at < duration_ms; ++at) {
      now_ = now_ + 1;
      AdmissionController::Decisions decisions;
      EndRuns(&decisions);
      if (random_.Below(1000) < kPaymentsPerS) Offer(kPayment, &decisions);
      if (random_.Below(1000) < kOrdersPerS) {
        ++orders;
        Offer(kCall, &decisions);
        Offer(kCall, &decisions);
      }
      if (random_.Below(1000) < kReadsPerS) Offer(kRead, &decisions);
      if (at % 20 == 0) controller_.Tick(now_, &decisions);
      for (const AdmissionDecision& decision : decisions) {
        if (decision.type != AdmissionDecision::Type::kStart) continue;
        OfferedWork& work = works_[decision.id];
        work.run_ms = RunMs(work.kind);
        ends_.emplace(decision.id, now_ + work.run_ms);
      }
    }
  }

  /// Number of orders with both calls answered in time.
  int OrdersServed() const {
    int served = 0;
    for (const auto& [order, calls] : calls_in_time_) served += calls == 2;
    return served;
  }

  int payments = 0;
  int payments_in_aim = 0;
  int orders = 0;
  int reads_served = 0;

 private:
  enum Kind { kPayment, kCall, kRead };
  struct OfferedWork {
    Kind kind;
    TimeMs at;
    int order;
    int64_t run_ms;
  };
  static constexpr uint64_t kPaymentsPerS = 75;
  static constexpr uint64_t kOrdersPerS = 65;
  static constexpr uint64_t kReadsPerS = 45;
  static constexpr int64_t kCallDeadlineMs = 400;

  /// Run times spread over half to one and a half of their mean.
  int64_t RunMs(Kind kind) {
    int64_t mean_ms = kind == kPayment ? 84 : kind == kCall ? 30 : 480;
    return mean_ms / 2 + static_cast<int64_t>(
                             run_random_.Below(static_cast<uint64_t>(mean_ms)));
  }
  void Offer(Kind kind, AdmissionController::Decisions* decisions) {
    uint64_t id = next_++;
    works_[id] = {kind, now_, orders, 0};
    payments += kind == kPayment ? 1 : 0;
    if (kind == kPayment)
      controller_.Offer(now_, WorkOf(id, 0, "pay", 250, now_ + 800), decisions);
    if (kind == kCall)
      controller_.Offer(
          now_, WorkOf(id, 1, "call", 120, now_ + kCallDeadlineMs), decisions);
    if (kind == kRead)
      controller_.Offer(now_, WorkOf(id, 2, "read", 2500, now_ + 4000),
                        decisions);
  }
  void EndRuns(AdmissionController::Decisions* decisions) {
    for (auto it = ends_.begin(); it != ends_.end();) {
      if (now_ < it->second) {
        ++it;
        continue;
      }
      const OfferedWork& work = works_[it->first];
      int64_t took_ms = now_ - work.at;
      if (work.kind == kPayment && took_ms <= 250) ++payments_in_aim;
      if (work.kind == kCall && took_ms <= kCallDeadlineMs)
        ++calls_in_time_[work.order];
      if (work.kind == kRead) ++reads_served;
      controller_.Finish(now_, it->first, work.run_ms, decisions);
      it = ends_.erase(it);
    }
  }

  AdmissionController controller_;
  Random random_{5};      ///< Arrivals.
  Random run_random_{6};  ///< Run times.
  TimeMs now_;
  uint64_t next_ = 1;
  std::map<uint64_t, OfferedWork> works_;
  std::map<uint64_t, TimeMs> ends_;
  std::map<int, int> calls_in_time_;
};

}  // namespace

TEST_GROUP(admission_controller) {
  AdmissionController controller_{FourSlotSettings()};
  AdmissionController::Decisions decisions_;

  /// The decision on a piece of work; null while it is queued.
  const AdmissionDecision* DecisionOf(uint64_t id) {
    for (const AdmissionDecision& decision : decisions_) {
      if (decision.id == id) return &decision;
    }
    return nullptr;
  }
  bool Started(uint64_t id) {
    const AdmissionDecision* decision = DecisionOf(id);
    return decision != nullptr &&
           decision->type == AdmissionDecision::Type::kStart;
  }
  bool Refused(uint64_t id) {
    const AdmissionDecision* decision = DecisionOf(id);
    return decision != nullptr &&
           decision->type == AdmissionDecision::Type::kRefuse;
  }
  void FillSlots(TimeMs now) {
    for (uint64_t id = 1; id <= kSlots; ++id)
      controller_.Offer(now, WorkOf(id, 3, "long", 2000, now + 4000),
                        &decisions_);
  }
};

TEST(admission_controller, offer_freeSlot_startsAtOnce) {
  controller_.Offer(TimeMs(0), WorkOf(1, 1, "r", 200, TimeMs(800)),
                    &decisions_);
  CHECK(Started(1));
}

TEST(admission_controller, offer_slotsFull_waitsAndStartsOnFinish) {
  FillSlots(TimeMs(0));
  controller_.Offer(TimeMs(10), WorkOf(9, 1, "r", 400, TimeMs(800)),
                    &decisions_);
  CHECK(DecisionOf(9) == nullptr);
  controller_.Finish(TimeMs(50), 1, 50, &decisions_);
  CHECK(Started(9));
}

TEST(admission_controller, finish_twoClassesWait_moreUrgentStartsFirst) {
  FillSlots(TimeMs(0));
  controller_.Offer(TimeMs(1), WorkOf(9, 3, "long", 2000, TimeMs(4000)),
                    &decisions_);
  controller_.Offer(TimeMs(2), WorkOf(10, 0, "r", 300, TimeMs(800)),
                    &decisions_);
  controller_.Finish(TimeMs(50), 1, 50, &decisions_);
  CHECK(Started(10));
  CHECK(!Started(9));
}

TEST(admission_controller, finish_sameClass_earliestAimStartsFirst) {
  FillSlots(TimeMs(0));
  controller_.Offer(TimeMs(1), WorkOf(9, 0, "r", 250, TimeMs(800)),
                    &decisions_);
  controller_.Offer(TimeMs(2), WorkOf(10, 0, "call", 120, TimeMs(400)),
                    &decisions_);
  controller_.Finish(TimeMs(50), 1, 50, &decisions_);
  CHECK(Started(10));
  CHECK(!Started(9));
}

TEST(admission_controller, finish_workMissingItsAim_startsAfterWorkMeetingIt) {
  for (uint64_t id = 100; id < 110; ++id) {
    controller_.Offer(TimeMs(0), WorkOf(id, 1, "r", 400, TimeMs(1000)),
                      &decisions_);
    controller_.Finish(TimeMs(100), id, 100, &decisions_);
  }
  FillSlots(TimeMs(200));
  controller_.Offer(TimeMs(201), WorkOf(9, 1, "r", 50, TimeMs(1500)),
                    &decisions_);
  controller_.Offer(TimeMs(202), WorkOf(10, 1, "r", 400, TimeMs(1500)),
                    &decisions_);
  controller_.Finish(TimeMs(250), 1, 50, &decisions_);
  CHECK(Started(10));
  CHECK(!Started(9));
}

/// On a slow target the run time alone is nearly as long as the aim. The queue
/// must stay short, so that admitted work is still answered in time.
TEST(admission_controller, offer_runTimeCloseToAim_queueStaysShort) {
  TimeMs now(0);
  for (uint64_t id = 100; id < 110; ++id) {
    controller_.Offer(now, WorkOf(id, 1, "r", 400, now + 1200), &decisions_);
    now = now + 280;
    controller_.Finish(now, id, 280, &decisions_);
  }
  decisions_.clear();
  for (uint64_t id = 1; id <= 40; ++id)
    controller_.Offer(now, WorkOf(id, 1, "r", 400, now + 1200), &decisions_);
  CHECK(controller_.Waiting() <= 1);
}

TEST(admission_controller, urgencyOf_priority_isClampedToTheLastClass) {
  LONGS_EQUAL(0, UrgencyOf(0));
  LONGS_EQUAL(2, UrgencyOf(2));
  LONGS_EQUAL(kUrgencyClasses - 1, UrgencyOf(99));
}

TEST(admission_controller,
     offer_expectedWaitBeyondAim_isRefusedWithRetryDelay) {
  FillSlots(TimeMs(0));
  for (uint64_t id = 10; id < 40; ++id)
    controller_.Offer(TimeMs(1), WorkOf(id, 3, "long", 300, TimeMs(4000)),
                      &decisions_);
  CHECK(Refused(39));
  CHECK(DecisionOf(39)->retry_after_ms > 0);
  CHECK(controller_.Waiting() < 30);
}

TEST(admission_controller, refusals_atTheSameTime_haveDifferentRetryDelays) {
  FillSlots(TimeMs(0));
  for (uint64_t id = 10; id < 60; ++id)
    controller_.Offer(TimeMs(1), WorkOf(id, 3, "long", 300, TimeMs(4000)),
                      &decisions_);
  std::set<int64_t> times;
  size_t refusals = 0;
  for (const AdmissionDecision& decision : decisions_) {
    if (decision.type != AdmissionDecision::Type::kRefuse) continue;
    ++refusals;
    times.insert(decision.retry_after_ms);
  }
  CHECK(refusals > 20);
  CHECK(times.size() * 2 > refusals);
}

TEST(admission_controller, withdraw_waitingWork_neverStarts) {
  FillSlots(TimeMs(0));
  controller_.Offer(TimeMs(1), WorkOf(9, 1, "r", 400, TimeMs(800)),
                    &decisions_);
  CHECK(controller_.Withdraw(9));
  controller_.Finish(TimeMs(50), 1, 50, &decisions_);
  CHECK(!Started(9));
}

TEST(admission_controller, refuseAll_waitingWork_isRefusedWithTheGivenError) {
  FillSlots(TimeMs(0));
  controller_.Offer(TimeMs(1), WorkOf(9, 1, "r", 400, TimeMs(800)),
                    &decisions_);
  controller_.RefuseAll(ErrorKind::kDraining, &decisions_);
  CHECK(Refused(9));
  CHECK(DecisionOf(9)->error == ErrorKind::kDraining);
}

TEST(admission_controller, exclusive_twoRequests_runOneAfterTheOther) {
  AdmissionRequest first = WorkOf(1, 1, "r", 400, TimeMs(800));
  AdmissionRequest second = WorkOf(2, 1, "r", 400, TimeMs(800));
  first.exclusive = second.exclusive = true;
  controller_.Offer(TimeMs(0), first, &decisions_);
  controller_.Offer(TimeMs(0), second, &decisions_);
  CHECK(Started(1));
  CHECK(!Started(2));
  controller_.Finish(TimeMs(50), 1, 50, &decisions_);
  CHECK(Started(2));
}

/// A backend server was twelve times slower than usual for a while, then long
/// work fills its slots. Urgent work must not be refused because of run times
/// measured during the slow period.
TEST(admission_controller, urgentWork_afterSlowPeriod_isServedAgain) {
  AdmissionSettings settings;
  settings.slots = kUsualSlots;
  LongWorkOverload overload(settings);
  overload.RunSlowPeriod();
  overload.Run(10000);
  CHECK(overload.urgent_started * 100 >= overload.urgent_offered * 95);
}

/// Overload by long work at twice the capacity, together with urgent work.
/// Urgent work must meet its aim, the slots must stay busy, and the long work
/// that is admitted must meet its aim too.
TEST(admission_controller,
     overloadByLongWork_urgentWorkMeetsAim_capacityIsUsed) {
  AdmissionSettings settings;
  settings.slots = kUsualSlots;
  LongWorkOverload overload(settings);
  overload.Run(15000);
  CHECK(overload.urgent_in_aim * 100 >= overload.urgent_offered * 97);
  CHECK(overload.busy_ms * 100 >= int64_t{15000} * kUsualSlots * 95);
  CHECK(overload.long_in_aim * 100 >= overload.long_ended * 95);
}

/// Under-provisioned service: orders with short nested calls must nearly always
/// be served, payments must meet their aim, and long reads get the remaining
/// capacity.
TEST(admission_controller, underProvisionedWithNestedCalls_ordersAreServed) {
  AdmissionSettings settings;
  settings.slots = kUsualSlots;
  UnderProvisionedService service(settings);
  service.Run(20000);
  CHECK(service.OrdersServed() * 100 >= service.orders * 97);
  CHECK(service.payments_in_aim * 100 >= service.payments * 95);
  CHECK(service.reads_served > 0);
}

/// Urgent work was slow for a while and occupied all slots. Afterwards, short
/// work of the next class must start in the free slots at once. Long work may
/// use a quarter of the slots; the rest stays reserved for the recent demand of
/// urgent work until that has decayed.
TEST(admission_controller,
     afterUrgentOverload_shortWorkTakesFreeSlots_longWorkDoesNot) {
  TimeMs now(0);
  for (uint64_t id = 1; id <= kSlots; ++id)
    controller_.Offer(now, WorkOf(id, 0, "pay", 250, now + 9000), &decisions_);
  for (int tick = 0; tick < 100; ++tick) {
    now = now + 20;
    controller_.Tick(now, &decisions_);
  }
  for (uint64_t id = 1; id <= kSlots; ++id)
    controller_.Finish(now, id, 84, &decisions_);
  controller_.Offer(now, WorkOf(10, 1, "call", 120, now + 400), &decisions_);
  CHECK(Started(10));
  controller_.Offer(now, WorkOf(20, 2, "read", 2500, now + 8000), &decisions_);
  controller_.Offer(now, WorkOf(21, 2, "read", 2500, now + 8000), &decisions_);
  CHECK(Started(20));
  CHECK(DecisionOf(21) == nullptr);
  for (int tick = 0; tick < 100; ++tick) {
    now = now + 20;
    controller_.Tick(now, &decisions_);
  }
  CHECK(Started(21));
}

/// A backend server accepts requests but does not answer. Later work must be
/// refused at once, so that it can run on another target, instead of queueing
/// until its deadline.
TEST(admission_controller, hangingBackendServer_newWorkIsRefusedAtOnce) {
  for (uint64_t id = 1; id <= kSlots; ++id)
    controller_.Offer(TimeMs(0), WorkOf(id, 1, "r", 400, TimeMs(1200)),
                      &decisions_);
  controller_.Offer(TimeMs(10), WorkOf(9, 1, "r", 400, TimeMs(1200)),
                    &decisions_);
  CHECK(DecisionOf(9) == nullptr);
  controller_.Offer(TimeMs(700), WorkOf(10, 1, "r", 400, TimeMs(1900)),
                    &decisions_);
  CHECK(Refused(10));
}

TEST(admission_controller, randomSequences_slotLimitAndCountsHold) {
  Random random(11);
  for (int round = 0; round < 50; ++round) {
    AdmissionController controller(FourSlotSettings());
    std::set<uint64_t> running;
    std::set<uint64_t> pending;
    uint64_t next = 1;
    TimeMs now(0);
    for (int step = 0; step < 300; ++step) {
      now = now + static_cast<int64_t>(random.Below(30));
      AdmissionController::Decisions decisions;
      switch (random.Below(4)) {
        case 0:
        case 1: {
          uint64_t id = next++;
          pending.insert(id);
          controller.Offer(
              now,
              WorkOf(id, static_cast<int>(random.Below(4)), "r",
                     static_cast<int64_t>(random.Below(500)),
                     now + static_cast<int64_t>(random.Below(1000))),
              &decisions);
          break;
        }
        case 2:
          if (!running.empty()) {
            uint64_t id = *running.begin();
            running.erase(running.begin());
            controller.Finish(now, id, 20, &decisions);
          }
          break;
        default:
          controller.Tick(now, &decisions);
      }
      for (const AdmissionDecision& decision : decisions) {
        CHECK(pending.erase(decision.id) == 1);
        if (decision.type == AdmissionDecision::Type::kStart)
          running.insert(decision.id);
      }
      CHECK(controller.Running() <= kSlots);
      LONGS_EQUAL(running.size(), controller.Running());
      LONGS_EQUAL(pending.size(), controller.Waiting());
    }
  }
}
