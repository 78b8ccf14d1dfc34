#include "banyanloft/routing/target_picker.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace banyanloft;

TEST_GROUP(target_picker) {
  PickerSettings settings_;
  std::unique_ptr<TargetPicker> picker_;
  TimeMs now_{100000};

  void setup() override {
    picker_ = MakeLeastLoadedPicker(settings_, "zone-a", 1);
  }

  static TargetInfo Target(MemberId id, const std::string& zone,
                           TimeMs since = TimeMs(0)) {
    TargetInfo info;
    info.id = id;
    info.zone = zone;
    info.slots = 10;
    info.ready_since = since;
    return info;
  }
  std::map<MemberId, int> PickMany(int count, bool keep_outstanding = false) {
    std::map<MemberId, int> picks;
    for (int i = 0; i < count; ++i) {
      PickResult result = picker_->Pick(now_, 0, {});
      if (!result.target) continue;
      ++picks[*result.target];
      if (keep_outstanding) picker_->OnSent(*result.target);
    }
    return picks;
  }
  void FailUntilEjected(MemberId id) {
    for (int i = 0; i < settings_.failures_to_eject; ++i)
      picker_->OnEnded(now_, id, true);
  }
};

TEST(target_picker, noTargets_failsWithNoTarget) {
  PickResult result = picker_->Pick(now_, 0, {});
  CHECK_FALSE(result.target.has_value());
  CHECK(result.failure == PickFailure::kNoTarget);
}

TEST(target_picker, ownZoneHasCapacity_otherZonesGetNothing) {
  picker_->SetTargets(
      now_, {Target(1, "zone-a"), Target(2, "zone-a"), Target(3, "zone-b")});
  CHECK_EQUAL(0, PickMany(200)[3]);
}

TEST(target_picker, ownZoneIsAtCapacity_spillsOver) {
  picker_->SetTargets(now_, {Target(1, "zone-a"), Target(2, "zone-b")});
  std::map<MemberId, int> picks = PickMany(30, true);
  CHECK(picks[2] > 5);
  CHECK(picks[1] >= picks[2]);
}

TEST(target_picker, outstandingWork_isBalanced) {
  picker_->SetTargets(
      now_, {Target(1, "zone-a"), Target(2, "zone-a"), Target(3, "zone-a")});
  for (const auto& [id, count] : PickMany(27, true))
    CHECK(count >= 6 && count <= 12);
}

TEST(target_picker, reportedLoad_divertsWorkUntilItExpires) {
  picker_->SetTargets(now_, {Target(1, "zone-a"), Target(2, "zone-a")});
  LoadReport busy;
  busy.running = 9;
  busy.levels.fill(1000);
  picker_->OnReport(now_, 1, busy);
  CHECK_EQUAL(0, PickMany(50)[1]);
  now_ = now_ + settings_.report_max_age_ms;
  CHECK(PickMany(50)[1] > 10);
}

TEST(target_picker, consecutiveFailures_ejectTemporarily) {
  picker_->SetTargets(now_, {Target(1, "zone-a"), Target(2, "zone-a")});
  FailUntilEjected(1);
  CHECK_EQUAL(1, picker_->Ejected(now_));
  CHECK_EQUAL(0, PickMany(50)[1]);
  now_ = now_ + 2 * settings_.eject_base_ms;
  CHECK_EQUAL(0, picker_->Ejected(now_));
  CHECK(PickMany(50)[1] > 0);
}

TEST(target_picker, allTargetsFail_neverMoreThanHalfAreEjected) {
  std::vector<TargetInfo> targets;
  for (MemberId id = 1; id <= 6; ++id) targets.push_back(Target(id, "zone-a"));
  picker_->SetTargets(now_, targets);
  for (MemberId id = 1; id <= 6; ++id) FailUntilEjected(id);
  CHECK_EQUAL(3, picker_->Ejected(now_));
}

TEST(target_picker, singleTarget_isNeverEjected) {
  picker_->SetTargets(now_, {Target(1, "zone-a")});
  FailUntilEjected(1);
  CHECK_EQUAL(20, PickMany(20)[1]);
}

TEST(target_picker, newTarget_getsLittleWorkDuringSlowStart) {
  picker_->SetTargets(now_, {Target(1, "zone-a"), Target(2, "zone-a", now_)});
  std::map<MemberId, int> picks = PickMany(11, true);
  CHECK(picks[2] <= 2);
}

TEST(target_picker, suspectTarget_getsWorkOnlyIfThereIsNoOther) {
  TargetInfo suspect = Target(1, "zone-a");
  suspect.suspect = true;
  picker_->SetTargets(now_, {suspect, Target(2, "zone-b")});
  CHECK_EQUAL(0, PickMany(50)[1]);
  picker_->SetTargets(now_, {suspect});
  CHECK_EQUAL(10, PickMany(10)[1]);
}

TEST(target_picker, triedTarget_isAvoidedIfPossible) {
  picker_->SetTargets(now_, {Target(1, "zone-a"), Target(2, "zone-b")});
  for (int i = 0; i < 20; ++i)
    CHECK(picker_->Pick(now_, 0, {1}).target == MemberId{2});
  picker_->SetTargets(now_, {Target(1, "zone-a")});
  CHECK(picker_->Pick(now_, 0, {1}).target == MemberId{1});
}

TEST(target_picker, targetsAdmitPartOfARank_restIsRefusedEarly) {
  picker_->SetTargets(now_, {Target(1, "zone-a")});
  LoadReport report;
  report.levels.fill(1000);
  report.levels[2] = 200;
  picker_->OnReport(now_, 1, report);
  int refused = 0;
  for (int i = 0; i < 1000; ++i) {
    PickResult result = picker_->Pick(now_, 2, {});
    if (!result.target && result.failure == PickFailure::kEarlyRefused)
      ++refused;
  }
  CHECK(refused > 700 && refused < 900);
  CHECK(picker_->Pick(now_, 0, {}).target.has_value());
}
