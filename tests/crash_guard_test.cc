#include "banyanloft/admission/crash_guard.h"

#include <CppUTest/TestHarness.h>

using namespace banyanloft;
using Verdict = CrashGuard::Verdict;

TEST_GROUP(crash_guard) {
  CrashGuardSettings settings_;
  CrashGuard guard_{settings_};
};

TEST(crash_guard, unknownRequest_isClear) {
  CHECK(guard_.Check(TimeMs(0), 1) == Verdict::kClear);
}

TEST(crash_guard, requestInFlightAtThreeCrashes_isRefused) {
  guard_.OnCrash(TimeMs(0), 100, {1});
  CHECK(guard_.Check(TimeMs(0), 1) == Verdict::kExclusive);
  guard_.OnCrash(TimeMs(1), 101, {1});
  CHECK(guard_.Check(TimeMs(1), 1) == Verdict::kExclusive);
  guard_.OnCrash(TimeMs(2), 102, {1});
  CHECK(guard_.Check(TimeMs(2), 1) == Verdict::kRefuse);
}

TEST(crash_guard, sameCrashReportedRepeatedly_countsOnce) {
  std::vector<CrashSuspicion> suspicions = guard_.OnCrash(TimeMs(0), 100, {1});
  for (int i = 0; i < 5; ++i)
    CHECK_EQUAL(0U, guard_.Merge(TimeMs(0), suspicions).size());
  CHECK(guard_.Check(TimeMs(0), 1) == Verdict::kExclusive);
}

TEST(crash_guard, suspectThatCompletes_isClearedOnAllDaemons) {
  std::vector<CrashSuspicion> suspicions =
      guard_.OnCrash(TimeMs(0), 100, {1, 2});
  CrashGuard other(settings_);
  other.Merge(TimeMs(0), suspicions);
  std::vector<CrashSuspicion> cleared = guard_.OnSuccess(TimeMs(1), 2);
  other.Merge(TimeMs(1), cleared);
  CHECK(guard_.Check(TimeMs(1), 2) == Verdict::kClear);
  CHECK(other.Check(TimeMs(1), 2) == Verdict::kClear);
  CHECK(other.Check(TimeMs(1), 1) == Verdict::kExclusive);
}

TEST(crash_guard, clearingReceivedBeforeItsSuspicion_stillClears) {
  guard_.Merge(TimeMs(0), {{1, 100, true, 0}});
  guard_.Merge(TimeMs(1), {{1, 100, false, 0}});
  CHECK(guard_.Check(TimeMs(1), 1) == Verdict::kClear);
}

TEST(crash_guard, suspicions_expire) {
  for (uint64_t crash = 0; crash < 3; ++crash)
    guard_.OnCrash(TimeMs(0), crash, {1});
  guard_.Tick(TimeMs(settings_.suspicion_ttl_ms));
  CHECK(guard_.Check(TimeMs(settings_.suspicion_ttl_ms), 1) == Verdict::kClear);
  CHECK_EQUAL(0U, guard_.Size());
}

TEST(crash_guard, manyRequests_useBoundedMemory) {
  for (uint64_t i = 0; i < 2 * settings_.max_fingerprints; ++i)
    guard_.OnCrash(TimeMs(0), 1, {i});
  CHECK(guard_.Size() <= settings_.max_fingerprints);
}

TEST(crash_guard, daemonThatStartsLater_learnsAllFromTheDigest) {
  for (uint64_t crash = 0; crash < 3; ++crash)
    guard_.OnCrash(TimeMs(0), crash, {1, 2, 3});
  guard_.OnSuccess(TimeMs(1), 2);
  CrashGuard later(settings_);
  later.Merge(TimeMs(5000), guard_.DifferingFrom(TimeMs(5000), later.Digest()));
  CHECK(later.Digest() == guard_.Digest());
  CHECK(later.Check(TimeMs(5000), 1) == Verdict::kRefuse);
  CHECK(later.Check(TimeMs(5000), 2) == Verdict::kClear);
  CHECK(guard_.DifferingFrom(TimeMs(5000), later.Digest()).empty());
}

TEST(crash_guard, suspicionLearnedLater_expiresAtTheSameTime) {
  guard_.OnCrash(TimeMs(0), 100, {1});
  TimeMs learned(settings_.suspicion_ttl_ms - 1000);
  CrashGuard later(settings_);
  later.Merge(learned, guard_.DifferingFrom(learned, later.Digest()));
  CHECK(later.Check(learned, 1) == Verdict::kExclusive);
  CHECK(later.Check(TimeMs(settings_.suspicion_ttl_ms), 1) == Verdict::kClear);
}

TEST(crash_guard, allSuspicionsExpired_digestIsEmpty) {
  guard_.OnCrash(TimeMs(0), 100, {1, 2});
  guard_.OnSuccess(TimeMs(1), 2);
  guard_.Tick(TimeMs(settings_.suspicion_ttl_ms));
  CHECK(guard_.Digest() == CrashGuard::SuspicionDigest{});
}
