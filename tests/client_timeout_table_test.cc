#include "banyanloft/mesh/client_timeout_table.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "banyanloft/core/random.h"

using namespace banyanloft;

TEST_GROUP(client_timeout_table) {
  ClientTimeoutTable table_{ClientTimeoutTableSettings()};
};

TEST(client_timeout_table, newClients_haveNoPriorWait) {
  for (int i = 0; i < 100; ++i) LONGS_EQUAL(0, table_.PriorWaitMs("r", 8000));
}

TEST(client_timeout_table, retryingClient_priorWaitIsTheDifference) {
  for (int i = 0; i < 20; ++i) table_.PriorWaitMs("r", 8000);
  LONGS_EQUAL(1700, table_.PriorWaitMs("r", 6300));
  LONGS_EQUAL(0, table_.PriorWaitMs("other", 6300));
}

/// After an outage most clients retry, each with a different part of its
/// timeout left. New clients must still be recognised.
TEST(client_timeout_table, mostClientsRetry_newOnesAreStillRecognised) {
  Random random(5);
  int recognised = 0;
  for (int i = 0; i < 1000; ++i) {
    if (random.ChancePermille(200)) {
      LONGS_EQUAL(0, table_.PriorWaitMs("r", 8000));
      continue;
    }
    int64_t left_ms = 3000 + static_cast<int64_t>(random.Below(4900));
    if (table_.PriorWaitMs("r", left_ms) == 8000 - left_ms) ++recognised;
  }
  CHECK(recognised > 600);
}

/// Some clients are configured with a short timeout. They have not waited
/// before and must not be taken for retrying clients.
TEST(client_timeout_table, someClientsHaveShortTimeouts_theyHaveNoPriorWait) {
  int wrong = 0;
  for (int i = 0; i < 300; ++i) {
    table_.PriorWaitMs("r", 8000);
    table_.PriorWaitMs("r", 8000);
    wrong += table_.PriorWaitMs("r", 1500) > 0 ? 1 : 0;
  }
  CHECK(wrong <= 3);
  LONGS_EQUAL(300, table_.PriorWaitMs("r", 1200));
}

/// Configuration versions that rename their routes must not grow the table.
TEST(client_timeout_table, removedRoutes_areForgotten) {
  for (int i = 0; i < 500; ++i) {
    std::string route = "r-" + std::to_string(i);
    table_.PriorWaitMs(route, 8000);
    table_.Retain([&](const std::string& id) { return id == route; });
    LONGS_EQUAL(1, table_.Routes());
  }
}

TEST(client_timeout_table, changedTimeout_isLearnt) {
  for (int i = 0; i < 1000; ++i) table_.PriorWaitMs("r", 8000);
  for (int i = 0; i < 2000; ++i) table_.PriorWaitMs("r", 4000);
  LONGS_EQUAL(1000, table_.PriorWaitMs("r", 3000));
  LONGS_EQUAL(0, table_.PriorWaitMs("r", 5000));
}
