#include "banyanloft/mesh/cost_model.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <string>

#include "banyanloft/core/random.h"

using namespace banyanloft;

namespace {

CostKey KeyOf(const std::string& segment, const std::string& method = "GET",
              size_t body_bytes = 0, const std::string& account = "a") {
  return CostModel::KeyOf({"r", method, segment, account, body_bytes});
}

}  // namespace

TEST_GROUP(cost_model) {
  CostModel model_{CostModelSettings()};
  Random random_{3};
  TimeMs now_{0};

  /// A run time of 50 to 150 % of the mean; 3 % take seven times as long.
  int64_t HeavyTailed(int64_t mean_ms) {
    int64_t run_ms =
        mean_ms / 2 +
        static_cast<int64_t>(random_.Below(static_cast<uint64_t>(mean_ms)));
    return random_.ChancePermille(30) ? 7 * run_ms : run_ms;
  }
  void Add(const CostKey& key, int64_t run_ms, double slowness = 1) {
    now_ = now_ + 10;
    model_.Add(now_, key, run_ms, slowness);
  }
  double Expected(const CostKey& key) { return model_.ExpectedMs(now_, key); }
};

TEST(cost_model, segmentBelow_targets_areCutAtSlashAndQuery) {
  STRCMP_EQUAL("b", std::string(SegmentBelow("/a/b/c?x=/", 3)).c_str());
  STRCMP_EQUAL("b", std::string(SegmentBelow("/a/b?x=1", 3)).c_str());
  STRCMP_EQUAL("", std::string(SegmentBelow("/a/?x=1", 3)).c_str());
  STRCMP_EQUAL("", std::string(SegmentBelow("/a", 3)).c_str());
}

TEST(cost_model, expected_noSample_isUnknown) {
  CHECK(Expected(KeyOf("s")) < 0);
  CHECK(model_.RouteMs(now_, KeyOf("s").route) < 0);
}

// Noise must not be taken as a difference between requests: without one, all
// are expected to cost the same.
TEST(cost_model, expected_uniformCosts_isTheMeanOfTheRoute) {
  for (int i = 0; i < 2000; ++i) {
    Add(KeyOf(std::to_string(i % 5), i % 2 == 0 ? "GET" : "PUT",
              static_cast<size_t>(i % 3) * 5000, std::to_string(i % 7)),
        HeavyTailed(100));
  }
  for (int i = 0; i < 5; ++i) {
    double expected = Expected(KeyOf(std::to_string(i)));
    double route = model_.RouteMs(now_, KeyOf("").route);
    CHECK(std::abs(expected / route - 1) < 0.3);
  }
}

TEST(cost_model, expected_segmentIsInformative_isLearned) {
  for (int i = 0; i < 400; ++i) {
    bool is_report = i % 4 == 0;
    Add(KeyOf(is_report ? "report" : "item"),
        HeavyTailed(is_report ? 400 : 50));
  }
  CHECK(Expected(KeyOf("report")) > 250);
  CHECK(Expected(KeyOf("item")) < 80);
}

// Two traits that always occur together must not count twice.
TEST(cost_model, expected_correlatedTraits_countOnce) {
  for (int i = 0; i < 400; ++i) {
    bool is_bulk = i % 2 == 0;
    Add(is_bulk ? KeyOf("bulk", "POST", 50000, "large") : KeyOf("item"),
        is_bulk ? 300 : 100);
  }
  CHECK(Expected(KeyOf("bulk", "POST", 50000, "large")) > 240);
  CHECK(Expected(KeyOf("bulk", "POST", 50000, "large")) < 380);
}

TEST(cost_model, expected_fewSamples_stayNearTheRoute) {
  for (int i = 0; i < 100; ++i) Add(KeyOf("usual"), 100);
  Add(KeyOf("rare"), 400);
  CHECK(Expected(KeyOf("rare")) < 150);
}

TEST(cost_model, expected_targetIsSlow_requestsAreNotTakenAsExpensive) {
  for (int i = 0; i < 400; ++i) {
    bool slow = i % 2 == 0;
    Add(KeyOf(slow ? "at_slow_target" : "at_fast_target"), slow ? 150 : 50,
        slow ? 1.5 : 0.5);
  }
  double ratio =
      Expected(KeyOf("at_slow_target")) / Expected(KeyOf("at_fast_target"));
  CHECK(ratio > 0.8 && ratio < 1.25);
}

TEST(cost_model, add_outlier_changesTheMeanLittle) {
  for (int i = 0; i < 100; ++i) Add(KeyOf("s"), 100);
  Add(KeyOf("s"), 60000);
  CHECK(Expected(KeyOf("s")) < 125);
}

TEST(cost_model, add_levelChanges_isFollowed) {
  for (int i = 0; i < 100; ++i) Add(KeyOf("s"), 20);
  for (int i = 0; i < 100; ++i) Add(KeyOf("s"), 1000);
  CHECK(Expected(KeyOf("s")) > 800);
}

// The slow period of a server must not keep away the samples that would show
// its end.
TEST(cost_model, routeMs_oldSample_isUnknownAndRestarts) {
  for (int i = 0; i < 100; ++i) Add(KeyOf("s"), 1000);
  now_ = now_ + 10000;
  CHECK(model_.RouteMs(now_, KeyOf("s").route) < 0);
  Add(KeyOf("s"), 100);
  CHECK(std::abs(model_.RouteMs(now_, KeyOf("s").route) - 100) < 1);
}

// Clients choose paths: segments that occur once must neither exhaust memory
// nor displace those that are informative.
TEST(cost_model, add_manySegments_areBoundedAndFrequentOnesKept) {
  for (int i = 0; i < 20000; ++i) {
    bool is_report = i % 10 == 0;
    Add(KeyOf(is_report ? "report" : std::to_string(i)), is_report ? 400 : 50);
  }
  CHECK(model_.Cells() <= CostModelSettings().max_cells);
  CHECK(Expected(KeyOf("report")) > 200);
}
