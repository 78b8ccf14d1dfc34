#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace banyanloft {

/// Latency histograms of one state machine, by metric name, route and urgency.
/// Owned by the thread that runs the state machine. Bounded: once a metric has
/// `kMaxSeriesPerName` series, further ones are counted under the route
/// `other`.
class Histograms {
 public:
  /// Upper bounds of the buckets, in ms: a 1-2-5 series from the round-trip
  /// time of a link to the longest usual deadline.
  static constexpr std::array<int64_t, 13> kBoundsMs = {
      1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};
  /// Limit on the series of one metric; this many take some tens of KB.
  static constexpr size_t kMaxSeriesPerName = 100;

  /// Metric name, route and urgency.
  using Key = std::tuple<std::string, std::string, int>;
  /// Non-owning key, for lookups on the call path without copying strings.
  using KeyView = std::tuple<std::string_view, std::string_view, int>;
  struct Less {
    using is_transparent = void;
    template <typename A, typename B>
    bool operator()(const A& a, const B& b) const {
      return KeyView(a) < KeyView(b);
    }
  };
  struct Series {
    /// Samples per bucket; the last bucket holds those above all bounds.
    std::array<uint64_t, kBoundsMs.size() + 1> counts{};
    int64_t sum_ms = 0;
    uint64_t count = 0;
  };

  /// Adds a sample, in ms.
  void Add(std::string_view name, std::string_view route, int urgency,
           int64_t ms);
  /// All series, sorted.
  const std::map<Key, Series, Less>& All() const { return series_; }

 private:
  std::map<Key, Series, Less> series_;
  std::map<std::string, size_t, std::less<>> series_by_name_;
};

}  // namespace banyanloft
