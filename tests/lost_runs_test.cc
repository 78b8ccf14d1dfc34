#include "banyanloft/admission/lost_runs.h"

#include <CppUTest/TestHarness.h>

using namespace banyanloft;

TEST_GROUP(lost_runs) {
  LostRunsSettings settings_;
  LostRuns lost_{settings_};
};

/// A harmless run that broke earlier must not end the window of the run that
/// crashed the server.
TEST(lost_runs, earlierBrokenRun_laterOneIsStillTaken) {
  lost_.OnBroken(TimeMs(0), 1);
  lost_.OnBroken(TimeMs(settings_.broken_window_ms - 10), 2);
  std::vector<uint64_t> taken =
      lost_.TakeBroken(TimeMs(settings_.broken_window_ms + 10));
  LONGS_EQUAL(1, taken.size());
  CHECK_EQUAL(2U, taken.front());
  CHECK(lost_.TakeBroken(TimeMs(settings_.broken_window_ms + 10)).empty());
}

TEST(lost_runs, unansweredRun_isTakenOnlyAfterARestart) {
  lost_.OnUnanswered(TimeMs(0), 1);
  CHECK(lost_.TakeBroken(TimeMs(10)).empty());
  LONGS_EQUAL(1, lost_.TakeAll(TimeMs(60000)).size());
  CHECK(lost_.TakeAll(TimeMs(60000)).empty());
}

TEST(lost_runs, responseToLaterRun_unansweredRunIsDropped) {
  lost_.OnUnanswered(TimeMs(100), 1);
  lost_.OnResponse(TimeMs(90));
  lost_.OnUnanswered(TimeMs(200), 2);
  lost_.OnResponse(TimeMs(110));
  std::vector<uint64_t> taken = lost_.TakeAll(TimeMs(300));
  LONGS_EQUAL(1, taken.size());
  CHECK_EQUAL(2U, taken.front());
}

/// A crash breaks all connections: a run that outlived a broken one shows that
/// the latter was reset by a full server.
TEST(lost_runs, runInProgressIsAnsweredLater_brokenOneIsDropped) {
  lost_.OnBroken(TimeMs(100), 1);
  lost_.OnAnswered(TimeMs(1000), TimeMs(50));
  CHECK(lost_.TakeBroken(TimeMs(1000)).empty());
}

TEST(lost_runs, laterRunIsAnswered_brokenOneIsKept) {
  lost_.OnBroken(TimeMs(100), 1);
  lost_.OnAnswered(TimeMs(1000), TimeMs(150));
  LONGS_EQUAL(1, lost_.TakeBroken(TimeMs(1000)).size());
}

/// The answer may have arrived before the crash.
TEST(lost_runs, runInProgressIsAnsweredAtOnce_brokenOneIsKept) {
  lost_.OnBroken(TimeMs(100), 1);
  lost_.OnAnswered(TimeMs(100 + settings_.late_read_ms - 1), TimeMs(50));
  LONGS_EQUAL(1, lost_.TakeBroken(TimeMs(1000)).size());
}

TEST(lost_runs, manyUnansweredRuns_theEarliestAreKept) {
  for (uint64_t i = 0; i < 2 * settings_.max_unanswered; ++i)
    lost_.OnUnanswered(TimeMs(static_cast<int64_t>(i)), i);
  std::vector<uint64_t> taken = lost_.TakeAll(TimeMs(1000));
  CHECK_EQUAL(settings_.max_unanswered, taken.size());
  CHECK_EQUAL(0U, taken.front());
}
