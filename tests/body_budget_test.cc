#include "banyanloft/http/body_budget.h"

#include <CppUTest/TestHarness.h>

using namespace banyanloft;

TEST_GROUP(body_budget) {
  BodyBudgetSettings settings_;
  TimeMs now_{1000};

  void setup() override {
    settings_.max_bytes = 10000;
    settings_.max_small_bytes = 300;
    settings_.small_body_bytes = 100;
  }
};

TEST(body_budget, bodiesFit_noneIsGivenUp) {
  BodyBudget budget(settings_);
  budget.Receive(now_, 1, 4000);
  budget.Receive(now_, 1, 6000);
  budget.Receive(now_, 2, 4000);
  CHECK(!budget.Excess(now_));
  LONGS_EQUAL(10000, budget.HeldBytes());
}

/// Guards against a client that stopped sending and keeps its memory while
/// others need it.
TEST(body_budget, limitIsExceeded_slowestBodyIsGivenUp) {
  BodyBudget budget(settings_);
  budget.Receive(now_, 1, 5000);
  budget.Receive(now_ + 5000, 2, 4000);
  budget.Receive(now_ + 5000, 3, 3000);
  CHECK(budget.Excess(now_ + 5000) == uint64_t{1});
  budget.Discard(1);
  CHECK(!budget.Excess(now_ + 5000));
  LONGS_EQUAL(7000, budget.HeldBytes());
}

/// Guards against a body that was given up although its request is running.
TEST(body_budget, requestsInProgressExceedLimit_newBodyIsGivenUp) {
  BodyBudget budget(settings_);
  budget.Receive(now_, 1, 9000);
  LONGS_EQUAL(9000, budget.Complete(1));
  budget.Receive(now_, 2, 2000);
  CHECK(budget.Excess(now_ + 9000) == uint64_t{2});
  budget.Discard(2);
  CHECK(!budget.Excess(now_));
  budget.Release(9000);
  LONGS_EQUAL(0, budget.HeldBytes());
}

/// Guards against ordinary requests that are refused because of long ones.
TEST(body_budget, longBodiesFillTheLimit_smallOnesAreKept) {
  BodyBudget budget(settings_);
  budget.Receive(now_, 1, 10000);
  budget.Complete(1);
  budget.Receive(now_, 2, 100);
  CHECK(!budget.Excess(now_));
}

TEST(body_budget, smallBodiesExceedTheirLimit_oldestIsGivenUp) {
  BodyBudget budget(settings_);
  for (uint64_t i = 1; i <= 4; ++i)
    budget.Receive(now_ + static_cast<int64_t>(i), i, i == 1 ? 10 : 100);
  CHECK(budget.Excess(now_ + 10) == uint64_t{1});
}

TEST(body_budget, bodyGrowsOutOfSmall_countsAsLong) {
  BodyBudget budget(settings_);
  for (uint64_t i = 1; i <= 3; ++i) budget.Receive(now_, i, 100);
  budget.Receive(now_, 3, 9000);
  CHECK(!budget.Excess(now_));
  for (uint64_t i = 1; i <= 3; ++i) budget.Discard(i);
  LONGS_EQUAL(0, budget.HeldBytes());
}
