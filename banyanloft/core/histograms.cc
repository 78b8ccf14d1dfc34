#include "banyanloft/core/histograms.h"

#include <algorithm>

namespace banyanloft {

void Histograms::Add(std::string_view name, std::string_view route, int urgency,
                     int64_t ms) {
  auto it = series_.find(KeyView(name, route, urgency));
  if (it == series_.end()) {
    size_t& series_count = series_by_name_[std::string(name)];
    bool below_limit = series_count < kMaxSeriesPerName;
    series_count += below_limit ? 1 : 0;
    Key key(name, below_limit ? route : "other", urgency);
    it = series_.try_emplace(std::move(key)).first;
  }
  Series& series = it->second;
  size_t bucket = static_cast<size_t>(
      std::lower_bound(kBoundsMs.begin(), kBoundsMs.end(), ms) -
      kBoundsMs.begin());
  ++series.counts[bucket];
  ++series.count;
  series.sum_ms += std::max<int64_t>(0, ms);
}

}  // namespace banyanloft
