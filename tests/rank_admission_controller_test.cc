#include "banyanloft/admission/rank_admission_controller.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace banyanloft;

/// A controller with 10 slots and the ranks urgent, normal and batch.
TEST_GROUP(rank_admission_controller) {
  std::vector<RankShare> shares_ = {{300, 200}, {300, 1000}, {100, 4000}};
  RankAdmissionSettings settings_;
  std::unique_ptr<RankAdmissionController> controller_;
  std::vector<RankAdmissionAction> actions_;
  std::map<uint64_t, int64_t> running_until_;
  std::map<uint64_t, int> rank_of_;
  std::map<int, int> finished_by_rank_;
  uint64_t next_id_ = 1;
  int64_t run_ms_ = 20;
  int64_t load_time_ = 0;

  void setup() override {
    settings_.slots = 10;
    controller_ = std::make_unique<RankAdmissionController>(
        settings_, shares_, MakeFloorQueue(shares_, settings_.slots));
  }

  uint64_t Offer(int64_t now, int rank,
                 const std::string& kind = "default kind",
                 int64_t timeout_ms = 2000, bool exclusive = false) {
    WorkItem work;
    work.id = next_id_++;
    work.rank = rank;
    work.kind = kind;
    work.deadline = TimeMs(now + timeout_ms);
    work.exclusive = exclusive;
    rank_of_[work.id] = rank;
    uint64_t id = work.id;
    controller_->Offer(TimeMs(now), std::move(work), &actions_);
    return id;
  }

  /// Records started work as running; returns the refused work.
  std::map<uint64_t, ErrorKind> ApplyActions(int64_t now) {
    std::map<uint64_t, ErrorKind> refused;
    for (const RankAdmissionAction& action : actions_) {
      if (action.type == RankAdmissionAction::Type::kStart) {
        running_until_[action.id] = now + run_ms_;
      } else {
        refused[action.id] = action.error;
      }
    }
    actions_.clear();
    return refused;
  }

  void FinishDue(int64_t now) {
    std::vector<uint64_t> due;
    for (const auto& [id, until] : running_until_) {
      if (until <= now) due.push_back(id);
    }
    for (uint64_t id : due) {
      running_until_.erase(id);
      ++finished_by_rank_[rank_of_[id]];
      controller_->Finish(TimeMs(now), id, run_ms_, &actions_);
      ApplyActions(now);
    }
  }

  /// Offers `per_ms[rank]` work each ms for `length_ms`.
  void GenerateLoad(int64_t length_ms, const std::map<int, int>& per_ms) {
    int64_t end = load_time_ + length_ms;
    for (; load_time_ < end; ++load_time_) {
      int64_t now = load_time_;
      FinishDue(now);
      controller_->Tick(TimeMs(now), &actions_);
      ApplyActions(now);
      for (const auto& [rank, count] : per_ms) {
        for (int i = 0; i < count; ++i) Offer(now, rank);
      }
      ApplyActions(now);
    }
  }
};

TEST(rank_admission_controller, work_withFreeSlots_startsAtOnce) {
  uint64_t id = Offer(0, 2);
  CHECK_EQUAL(0U, ApplyActions(0).size());
  CHECK_EQUAL(1U, running_until_.count(id));
}

TEST(rank_admission_controller, moreWorkThanSlots_neverExceedsTheSlots) {
  for (int i = 0; i < 50; ++i) Offer(0, 1);
  ApplyActions(0);
  CHECK_EQUAL(10U, running_until_.size());
  CHECK_EQUAL(10, controller_->Running());
}

TEST(rank_admission_controller,
     overloadOfLeastUrgentRank_urgentWorkIsServedInFull) {
  // Capacity is 10 slots / 20 ms: one item every 2 ms. Batch offers ten times
  // that.
  int urgent_offered = 0;
  for (int64_t now = 0; now < 4000; ++now) {
    FinishDue(now);
    controller_->Tick(TimeMs(now), &actions_);
    ApplyActions(now);
    for (int i = 0; i < 5; ++i) Offer(now, 2);
    if (now % 10 == 0) {
      Offer(now, 0);
      ++urgent_offered;
    }
    for (const auto& [id, error] : ApplyActions(now)) CHECK(rank_of_[id] != 0);
  }
  for (int64_t now = 4000; now < 4400; ++now) FinishDue(now);
  CHECK_EQUAL(urgent_offered, finished_by_rank_[0]);
}

TEST(rank_admission_controller,
     overloadOfMostUrgentRank_otherRanksKeepTheirFloors) {
  GenerateLoad(6000, {{0, 5}, {1, 5}, {2, 5}});
  double total =
      finished_by_rank_[0] + finished_by_rank_[1] + finished_by_rank_[2];
  CHECK(finished_by_rank_[1] >= 0.3 * total * 0.97);
  CHECK(finished_by_rank_[2] >= 0.1 * total * 0.97);
  CHECK(finished_by_rank_[0] > finished_by_rank_[1]);
}

TEST(rank_admission_controller,
     overloadOfMostUrgentRank_strictPriorityStarvesOthers) {
  // The baseline shows that the floors in the test above come from FloorQueue.
  controller_ = std::make_unique<RankAdmissionController>(
      settings_, shares_, MakeStrictPriorityQueue());
  GenerateLoad(6000, {{0, 5}, {1, 5}, {2, 5}});
  CHECK(finished_by_rank_[2] < finished_by_rank_[0] / 50);
}

TEST(rank_admission_controller, overloadByOneKind_otherKindKeepsItsShare) {
  for (int64_t now = 0; now < 3000; ++now) {
    FinishDue(now);
    controller_->Tick(TimeMs(now), &actions_);
    for (int i = 0; i < 5; ++i) Offer(now, 1, "flooding kind");
    if (now % 8 == 0) rank_of_[Offer(now, 1, "small kind")] = 7;
    ApplyActions(now);
  }
  // The small kind offers a quarter of the capacity and must get nearly all of
  // it.
  CHECK(finished_by_rank_[7] >= 3000 / 8 * 95 / 100);
}

TEST(rank_admission_controller, deadlineThatCannotBeMet_isRefusedAtOnce) {
  for (int i = 0; i < 60; ++i) Offer(0, 1);
  ApplyActions(0);
  uint64_t id = Offer(1, 1, "default kind", 5);
  std::map<uint64_t, ErrorKind> refused = ApplyActions(1);
  CHECK_EQUAL(1U, refused.count(id));
  CHECK(refused[id] == ErrorKind::kDeadlineUnmeetable);
}

TEST(rank_admission_controller, waitingWork_isRefusedAfterMaxWait) {
  run_ms_ = 100000;
  for (int i = 0; i < 10; ++i) Offer(0, 1, "default kind", 1000000);
  uint64_t waiting = Offer(0, 1, "default kind", 1000000);
  ApplyActions(0);
  controller_->Tick(TimeMs(500), &actions_);
  CHECK_EQUAL(0U, ApplyActions(500).size());
  controller_->Tick(TimeMs(501), &actions_);
  std::map<uint64_t, ErrorKind> refused = ApplyActions(501);
  CHECK(refused[waiting] == ErrorKind::kOverloaded);
}

TEST(rank_admission_controller,
     exclusiveWork_neverRunsConcurrentlyWithOtherExclusiveWork) {
  uint64_t first = Offer(0, 1, "default kind", 2000, true);
  uint64_t second = Offer(0, 1, "default kind", 2000, true);
  uint64_t plain = Offer(0, 1);
  ApplyActions(0);
  CHECK_EQUAL(1U, running_until_.count(first));
  CHECK_EQUAL(0U, running_until_.count(second));
  CHECK_EQUAL(1U, running_until_.count(plain));
  controller_->Finish(TimeMs(20), first, 20, &actions_);
  ApplyActions(20);
  CHECK_EQUAL(1U, running_until_.count(second));
}

TEST(rank_admission_controller, withdrawnWork_neverStarts) {
  for (int i = 0; i < 10; ++i) Offer(0, 1);
  uint64_t id = Offer(0, 1);
  ApplyActions(0);
  CHECK(controller_->Withdraw(id));
  CHECK_FALSE(controller_->Withdraw(id));
  FinishDue(20);
  CHECK_EQUAL(0U, running_until_.count(id));
}

TEST(rank_admission_controller,
     refusals_lowerTheAdmissionLevelOfTheirRankOnly) {
  GenerateLoad(2000, {{2, 5}});
  CHECK(controller_->Levels()[2] < 500);
  CHECK_EQUAL(1000, controller_->Levels()[0]);
  GenerateLoad(4000, {});
  CHECK_EQUAL(1000, controller_->Levels()[2]);
}

TEST(rank_admission_controller,
     longRunningLeastUrgentWork_leavesASlotForUrgentWork) {
  run_ms_ = 2000;
  Offer(0, 0, "lookup", 5000);
  ApplyActions(0);
  FinishDue(2000);
  for (int i = 0; i < 30; ++i) Offer(2001, 2, "report", 100000);
  ApplyActions(2001);
  uint64_t urgent = Offer(2002, 0, "lookup", 5000);
  ApplyActions(2002);
  CHECK_EQUAL(1U, running_until_.count(urgent));
}

TEST(rank_admission_controller, sameInput_givesTheSameActions) {
  GenerateLoad(1000, {{0, 1}, {1, 2}, {2, 3}});
  std::map<int, int> first = finished_by_rank_;
  controller_ = std::make_unique<RankAdmissionController>(
      settings_, shares_, MakeFloorQueue(shares_, settings_.slots));
  finished_by_rank_.clear();
  running_until_.clear();
  load_time_ = 0;
  GenerateLoad(1000, {{0, 1}, {1, 2}, {2, 3}});
  CHECK(first == finished_by_rank_);
}
