#include "banyanloft/routing/retry_policy.h"

#include <CppUTest/TestHarness.h>

using namespace banyanloft;

TEST_GROUP(retry_policy) {
  RetrySettings settings_;
  RetryPolicy policy_{settings_};
  FailedAttempt failed_;

  void setup() override {
    failed_.error = ErrorKind::kOverloaded;
    failed_.run_state = RunState::kNotRun;
    failed_.deadline = TimeMs(1000);
  }
  RetryDecision Decide() { return policy_.Decide(TimeMs(0), "shop", failed_); }
};

TEST(retry_policy, notRun_isRetried) {
  CHECK(Decide() == RetryDecision::kRetry);
}

TEST(retry_policy, unknownOnARouteThatIsNotIdempotent_isNotRetried) {
  failed_.run_state = RunState::kUnknown;
  failed_.error = ErrorKind::kTargetLost;
  CHECK(Decide() == RetryDecision::kNotSafe);
  failed_.idempotent = true;
  CHECK(Decide() == RetryDecision::kRetry);
}

TEST(retry_policy, keyedCall_isNeverRetriedElsewhere) {
  failed_.keyed = true;
  CHECK(Decide() == RetryDecision::kNotSafe);
}

TEST(retry_policy, downstreamLayerHasRetried_isNotRetriedAgain) {
  failed_.retried_downstream = true;
  CHECK(Decide() == RetryDecision::kRetriedDownstream);
}

TEST(retry_policy, deadlineTooClose_isNotRetried) {
  failed_.deadline = TimeMs(settings_.backoff_base_ms);
  CHECK(Decide() == RetryDecision::kNoTime);
}

TEST(retry_policy, errorThatWouldRepeat_isNotRetried) {
  failed_.error = ErrorKind::kCrashSuspect;
  CHECK(Decide() == RetryDecision::kNotRetryable);
}

TEST(retry_policy, allCallsFail_retriesStayWithinTheBudget) {
  int retries = 0;
  for (int call = 0; call < 10000; ++call) {
    policy_.OnFirstAttempt("shop");
    if (Decide() == RetryDecision::kRetry) ++retries;
  }
  CHECK(retries <=
        10000 * settings_.budget_permille / 1000 + settings_.budget_start);
  CHECK(retries >=
        10000 * settings_.budget_permille / 1000 - settings_.budget_cap);
}

TEST(retry_policy, budgets_areSeparatePerService) {
  while (Decide() == RetryDecision::kRetry) {
  }
  CHECK(Decide() == RetryDecision::kNoBudget);
  CHECK(policy_.Decide(TimeMs(0), "other", failed_) == RetryDecision::kRetry);
}

TEST(retry_policy, backoffs_areJitteredAndBounded) {
  Random random(1);
  int64_t longest = 0;
  for (int i = 0; i < 1000; ++i) {
    int64_t pause = policy_.BackoffMs(2 + i % 12, &random);
    CHECK(pause >= 0 && pause <= settings_.backoff_cap_ms);
    longest = std::max(longest, pause);
  }
  CHECK(longest > settings_.backoff_cap_ms / 2);
}
