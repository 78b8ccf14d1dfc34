#include "banyanloft/mesh/patience_table.h"

#include <algorithm>
#include <iterator>

namespace banyanloft {
namespace {

constexpr int64_t kPermille = 1000;

}  // namespace

/// Keeps the frequent values (Misra and Gries): one that is not kept lowers the
/// counts of all.
void PatienceTable::Note(Route* route, int64_t wait_ms) {
  ++route->requests;
  auto kept = std::find_if(route->values.begin(), route->values.end(),
                           [&](const Value& value) {
                             return value.count > 0 && value.wait_ms == wait_ms;
                           });
  if (kept == route->values.end()) {
    kept = std::find_if(route->values.begin(), route->values.end(),
                        [](const Value& value) { return value.count == 0; });
  }
  if (kept != route->values.end()) {
    *kept = {wait_ms, kept->count + 1};
  } else {
    for (Value& value : route->values) --value.count;
  }
  if (route->requests < settings_.halve_at) return;
  route->requests /= 2;
  for (Value& value : route->values) value.count /= 2;
}

void PatienceTable::Retain(
    const std::function<bool(const std::string& route)>& keep) {
  for (auto it = routes_.begin(); it != routes_.end();)
    it = keep(it->first) ? std::next(it) : routes_.erase(it);
}

int64_t PatienceTable::SpentMs(const std::string& id, int64_t wait_ms) {
  Route& route = routes_[id];
  Note(&route, wait_ms);
  int64_t least =
      std::max(settings_.least_count,
               route.requests * settings_.whole_permille / kPermille);
  int64_t whole_ms = 0;
  for (const Value& value : route.values) {
    bool whole = value.count >= least && value.wait_ms >= wait_ms;
    if (whole && (whole_ms == 0 || value.wait_ms < whole_ms))
      whole_ms = value.wait_ms;
  }
  return whole_ms == 0 ? 0 : whole_ms - wait_ms;
}

}  // namespace banyanloft
