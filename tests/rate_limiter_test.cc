#include "banyanloft/mesh/rate_limiter.h"

#include <CppUTest/TestHarness.h>

#include "banyanloft/mesh/admission_controller.h"
#include "banyanloft/mesh/target_selector.h"

using namespace banyanloft;

TEST_GROUP(rate_limiter) {
  RateLimiter limiter_{RateLimiterSettings()};

  /// Requests sent in this time if as many as allowed are sent.
  int SendAll(TimeMs from, TimeMs to) {
    int sent = 0;
    for (TimeMs now = from; now < to; now = now + 1) {
      for (; limiter_.Allows(now) && sent < 100000; ++sent)
        limiter_.OnSent(now);
    }
    return sent;
  }
};

TEST(rate_limiter, limit_notNamed_allowsEverything) {
  for (int i = 0; i < 1000; ++i) {
    CHECK(limiter_.Allows(TimeMs(5)));
    limiter_.OnSent(TimeMs(5));
  }
  LONGS_EQUAL(0, limiter_.WaitMs(TimeMs(5), 100, 1000));
}

TEST(rate_limiter, limit_named_rateIsKept) {
  limiter_.SetLimit(TimeMs(0), 36.5);
  int sent = SendAll(TimeMs(0), TimeMs(10000));
  CHECK(sent >= 364 && sent <= 365);
}

TEST(rate_limiter, limit_idle_accumulatesForABurstOnly) {
  limiter_.SetLimit(TimeMs(0), 40);
  LONGS_EQUAL(10, SendAll(TimeMs(60000), TimeMs(60001)));
}

// Responses alternate between two values; repeated names must not refill.
TEST(rate_limiter, limit_namedInEachResponse_earnsNothingExtra) {
  int sent = 0;
  for (int64_t at = 0; at < 10000; ++at) {
    limiter_.SetLimit(TimeMs(at), at % 2 == 0 ? 20.0 : 20.5);
    sent += SendAll(TimeMs(at), TimeMs(at + 1));
  }
  CHECK(sent <= 205);
}

TEST(rate_limiter, limit_zero_allowsNothing) {
  limiter_.SetLimit(TimeMs(0), 0);
  LONGS_EQUAL(0, SendAll(TimeMs(0), TimeMs(100000)));
  LONGS_EQUAL(RateLimiter::kMaxWaitMs, limiter_.WaitMs(TimeMs(0), 1, 1000));
}

TEST(rate_limiter, limit_awaited_allowsFewUntilAResponse) {
  limiter_.AwaitLimit(4);
  LONGS_EQUAL(4, SendAll(TimeMs(0), TimeMs(5000)));
  limiter_.OnNoResponse();
  LONGS_EQUAL(1, SendAll(TimeMs(5000), TimeMs(9000)));
  limiter_.SetLimit(TimeMs(9000), std::nullopt);
  CHECK(SendAll(TimeMs(9000), TimeMs(9001)) > 1000);
}

TEST(rate_limiter, wait_countsEarnedTokensAndTheShare) {
  limiter_.SetLimit(TimeMs(0), 10);
  LONGS_EQUAL(500, limiter_.WaitMs(TimeMs(0), 5, 1000));
  LONGS_EQUAL(400, limiter_.WaitMs(TimeMs(100), 5, 1000));
  LONGS_EQUAL(1000, limiter_.WaitMs(TimeMs(0), 5, 500));
}

TEST_GROUP(limited_target){static TargetLoad LoadUnder(double limit_per_s){
    constexpr int64_t kRunMs = 120;
AdmissionController admission{AdmissionSettings()};
AdmissionController::Decisions decisions;
AdmissionRequest work;
work.id = 1;
work.route = "r";
work.aim_left_ms = 400;
work.deadline = TimeMs(2500);
admission.Offer(TimeMs(0), work, &decisions);
admission.Finish(TimeMs(kRunMs), 1, kRunMs, &decisions);
admission.SetRateLimit(TimeMs(kRunMs), limit_per_s, &decisions);
return admission.Load(TimeMs(kRunMs));
}
}
;

// The load that callers see must show the limit, or they keep sending.
TEST(limited_target, load_showsTheRateThatIsLeft) {
  for (double limit_per_s : {0.5, 1.0, 7.2, 36.1, 100.0}) {
    TargetLoad load = LoadUnder(limit_per_s);
    double per_s = 1000.0 * load.slots / load.mean_run_ms;
    CHECK(per_s > limit_per_s * 0.9 && per_s < limit_per_s * 1.1);
  }
  LONGS_EQUAL(AdmissionSettings().slots, LoadUnder(100000).slots);
  LONGS_EQUAL(RateLimiter::kMaxWaitMs, LoadUnder(0).mean_run_ms);
}

TEST(limited_target, workOfItsZone_goesToATargetWithoutALimit) {
  constexpr MemberId kLimited = 1;
  constexpr MemberId kFree = 2;
  TargetSelector selector{TargetSelectorSettings(), 5};
  TargetQuery query;
  query.cost = CostModel::KeyOf({"r", "GET", "", "", 0});
  selector.OnReport(TimeMs(120), kLimited, LoadUnder(1), query.cost, 120);
  query.aim_left_ms = 400;
  std::vector<TargetCandidate> candidates = {{kLimited, true, false},
                                             {kFree, false, false}};
  CHECK(selector.Choose(TimeMs(121), candidates, query, {})->id == kFree);
}
