#include "banyanloft/core/histograms.h"

#include <CppUTest/TestHarness.h>

#include "banyanloft/daemon/metrics_page.h"

using namespace banyanloft;

TEST_GROUP(histograms) { Histograms histograms_; };

TEST(histograms, page_showsCumulativeBucketsByRouteAndUrgency) {
  histograms_.Add("queue_ms", "r-1", 2, 0);
  histograms_.Add("queue_ms", "r-1", 2, 150);
  histograms_.Add("queue_ms", "r-1", 2, 99999);
  std::string page = MetricsText({}, {}, {&histograms_});
  auto has = [&](const char* text) {
    return page.find(text) != std::string::npos;
  };
  CHECK(has(
      "banyanloft_queue_ms_bucket{route=\"r-1\",urgency=\"2\",le=\"1\"} 1"));
  CHECK(has("urgency=\"2\",le=\"200\"} 2"));
  CHECK(has("urgency=\"2\",le=\"+Inf\"} 3"));
  CHECK(has("banyanloft_queue_ms_count{route=\"r-1\",urgency=\"2\"} 3"));
}

TEST(histograms, routesAboveTheLimit_areCountedTogether) {
  constexpr size_t kRoutes = 5000;
  for (size_t i = 0; i < kRoutes; ++i)
    histograms_.Add("queue_ms", "r-" + std::to_string(i), 0, 5);
  CHECK(histograms_.All().size() <= Histograms::kMaxSeriesPerName + 1);
  uint64_t total = 0;
  for (const auto& [key, series] : histograms_.All()) total += series.count;
  LONGS_EQUAL(kRoutes, total);
}
