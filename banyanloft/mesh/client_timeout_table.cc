#include "banyanloft/mesh/client_timeout_table.h"

#include <algorithm>
#include <iterator>

namespace banyanloft {
namespace {

constexpr int64_t kPermille = 1000;

}  // namespace

/// Counts frequent values by the Misra-Gries algorithm: a value for which there
/// is no free entry decrements all counts.
void ClientTimeoutTable::Record(Route* route, int64_t wait_ms) {
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
  if (route->requests < settings_.decay_after_requests) return;
  route->requests /= 2;
  for (Value& value : route->values) value.count /= 2;
}

void ClientTimeoutTable::Retain(
    const std::function<bool(const std::string& route)>& keep) {
  for (auto it = routes_.begin(); it != routes_.end();)
    it = keep(it->first) ? std::next(it) : routes_.erase(it);
}

int64_t ClientTimeoutTable::PriorWaitMs(const std::string& id,
                                        int64_t wait_ms) {
  Route& route = routes_[id];
  Record(&route, wait_ms);
  int64_t min_count =
      std::max(settings_.min_count,
               route.requests * settings_.min_share_permille / kPermille);
  int64_t timeout_ms = 0;
  for (const Value& value : route.values) {
    bool common = value.count >= min_count && value.wait_ms >= wait_ms;
    if (common && (timeout_ms == 0 || value.wait_ms < timeout_ms))
      timeout_ms = value.wait_ms;
  }
  return timeout_ms == 0 ? 0 : timeout_ms - wait_ms;
}

}  // namespace banyanloft
