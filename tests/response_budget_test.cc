#include "banyanloft/http/response_budget.h"

#include <CppUTest/TestHarness.h>

using namespace banyanloft;

TEST_GROUP(response_budget) {
  ResponseBudgetSettings settings_;

  void setup() override {
    settings_.max_bytes = 10000;
    settings_.max_small_bytes = 300;
    settings_.small_bytes = 100;
  }
};

TEST(response_budget, responsesFit_noConnectionIsClosed) {
  ResponseBudget budget(settings_);
  budget.Hold(1, 6000);
  budget.Hold(2, 4000);
  budget.Hold(3, 100);
  CHECK(!budget.Excess());
  LONGS_EQUAL(10100, budget.HeldBytes());
}

/// Guards against a client that reads nothing and keeps memory that the
/// responses of others need.
TEST(response_budget, limitIsExceeded_connectionOfTheOldestIsClosed) {
  ResponseBudget budget(settings_);
  uint64_t first = budget.Hold(7, 1000);
  uint64_t second = budget.Hold(5, 6000);
  uint64_t third = budget.Hold(6, 4000);
  CHECK(budget.Excess() == uint64_t{7});
  budget.Release(first);
  CHECK(!budget.Excess());
  budget.Hold(8, 1000);
  CHECK(budget.Excess() == uint64_t{5});
  budget.Release(second);
  budget.Release(third);
  LONGS_EQUAL(1000, budget.HeldBytes());
}

/// Guards against ordinary responses that are lost because of long ones.
TEST(response_budget, longResponsesExceedTheLimit_smallOnesAreKept) {
  ResponseBudget budget(settings_);
  budget.Hold(1, 100);
  budget.Hold(2, 9000);
  uint64_t last = budget.Hold(3, 9000);
  CHECK(budget.Excess() == uint64_t{2});
  budget.Release(last);
  CHECK(!budget.Excess());
}

TEST(response_budget, smallResponsesExceedTheirLimit_theOldestIsClosed) {
  ResponseBudget budget(settings_);
  for (uint64_t connection = 1; connection <= 4; ++connection)
    budget.Hold(connection, 100);
  CHECK(budget.Excess() == uint64_t{1});
}

/// Guards against a limit that makes a single long response impossible.
TEST(response_budget, oneResponseExceedsTheLimit_isKept) {
  ResponseBudget budget(settings_);
  uint64_t number = budget.Hold(1, 20000);
  CHECK(!budget.Excess());
  budget.Release(number);
  budget.Release(0);
  LONGS_EQUAL(0, budget.HeldBytes());
}
