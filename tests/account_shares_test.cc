#include "banyanloft/mesh/account_shares.h"

#include <CppUTest/TestHarness.h>

using namespace banyanloft;

namespace {

constexpr int kSlots = 12;

}  // namespace

TEST_GROUP(account_shares) {
  AccountSharesSettings settings_;
  AccountShares shares_{settings_};
  TimeMs now_;

  /// Charges each account at a constant rate, in slots.
  void Use(int64_t duration_ms, double slots_a, double slots_b) {
    constexpr int64_t kStepMs = 100;
    for (int64_t at = 0; at < duration_ms; at += kStepMs) {
      now_ = now_ + kStepMs;
      shares_.Charge(now_, "a", static_cast<int64_t>(slots_a * kStepMs));
      shares_.Charge(now_, "b", static_cast<int64_t>(slots_b * kStepMs));
    }
  }
  int64_t Level(const std::string& account, int64_t pending_ms = 0) {
    return shares_.LevelPermille(now_, account, pending_ms, kSlots);
  }
};

// A deployment with a single account must be served as one without.
TEST(account_shares, singleAccount_isNeverAboveItsShare) {
  for (int i = 0; i < 1000; ++i) {
    now_ = now_ + 10;
    shares_.Charge(now_, "a", 1000);
  }
  LONGS_EQUAL(0, Level("a", 1000000));
}

TEST(account_shares, unknownAccount_isWithinItsShare) {
  Use(10000, 6, 6);
  CHECK(Level("new", 800) <= 1000);
}

// A large account at its usual rate must not count as greedy.
TEST(account_shares, largeAccountAtItsUsualUse_isWithinItsShare) {
  Use(60000, 11, 0.5);
  CHECK(Level("a") <= 1000);
  CHECK(Level("b") <= 1000);
}

TEST(account_shares, sixTimesTheUsualUse_isAboveTheShare) {
  Use(60000, 1.5, 8);
  CHECK(Level("a") <= 1000);
  Use(10000, 9, 3);
  CHECK(Level("a") > 1000);
  CHECK(Level("b") <= 1000);
}

// A surge of minutes must not become the account's usual use.
TEST(account_shares, surgeOfAMinute_isStillAboveTheShare) {
  Use(120000, 1, 5);
  Use(60000, 9, 3);
  for (const char* other : {"c", "d", "e", "f", "g", "h", "i", "j"})
    shares_.Charge(now_, other, 1000);
  Use(300, 9, 3);
  CHECK(Level("a") > 2000);
}

TEST(account_shares, useThatEnded_isForgottenAfterSeconds) {
  Use(60000, 1, 1);
  Use(10000, 10, 1);
  Use(20000, 0, 1);
  CHECK(Level("a") <= 100);
}

TEST(account_shares, estimateCorrected_countsTheActualTime) {
  Use(1000, 1, 1);
  int64_t before = Level("a");
  shares_.Charge(now_, "a", 5000);
  shares_.Charge(now_, "a", -5000);
  LONGS_EQUAL(before, Level("a"));
}

// Names of accounts must not use memory without bound.
TEST(account_shares, manyAccounts_areBounded) {
  for (int i = 0; i < 5000; ++i)
    shares_.Charge(now_ + i, "account-" + std::to_string(i), 10);
  LONGS_EQUAL(settings_.max_accounts, shares_.Size());
}

TEST(account_shares, tierOf_doublesFromTheShareOn) {
  LONGS_EQUAL(0, AccountShares::TierOf(1000));
  LONGS_EQUAL(1, AccountShares::TierOf(1001));
  LONGS_EQUAL(2, AccountShares::TierOf(2001));
  LONGS_EQUAL(AccountShares::kMaxTier, AccountShares::TierOf(1000000));
}
