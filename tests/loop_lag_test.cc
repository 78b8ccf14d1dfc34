#include "banyanloft/core/loop_lag.h"

#include <CppUTest/TestHarness.h>

using namespace banyanloft;

TEST_GROUP(loop_lag) { LoopLag lag_{TimeMs(1000), 20}; };

TEST(loop_lag, regularTicks_noLag) {
  for (int64_t at = 1020; at < 2000; at += 25) {
    lag_.OnTick(TimeMs(at));
    LONGS_EQUAL(0, lag_.LagMs(TimeMs(at + 5)));
  }
}

TEST(loop_lag, overdueTick_isTheLag) {
  LONGS_EQUAL(680, lag_.LagMs(TimeMs(1700)));
}

TEST(loop_lag, inputReadRightAfterALateTick_waitedAsLongAsTheTick) {
  lag_.OnTick(TimeMs(1700));
  LONGS_EQUAL(680, lag_.LagMs(TimeMs(1705)));
  LONGS_EQUAL(0, lag_.LagMs(TimeMs(1725)));
}
