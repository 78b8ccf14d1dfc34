#include "banyanloft/http/body_budget.h"

#include <cassert>

namespace banyanloft {
namespace {

/// Added to the age of a body before its rate is compared, in ms. It keeps the
/// first bytes of a body from counting as an infinite rate.
constexpr int64_t kMinAgeMs = 50;

}  // namespace

void BodyBudget::Count(size_t bytes) {
  (IsSmall(bytes) ? small_bytes_ : long_bytes_) += bytes;
}

void BodyBudget::Release(size_t bytes) {
  size_t& sum = IsSmall(bytes) ? small_bytes_ : long_bytes_;
  assert(sum >= bytes);
  sum -= bytes;
}

void BodyBudget::Receive(TimeMs now, uint64_t connection, size_t bytes) {
  auto [it, added] = receiving_.try_emplace(connection);
  Body& body = it->second;
  if (added) body.began = now;
  Release(body.bytes);
  body.bytes = bytes;
  Count(bytes);
}

size_t BodyBudget::Complete(uint64_t connection) {
  auto it = receiving_.find(connection);
  if (it == receiving_.end()) return 0;
  size_t bytes = it->second.bytes;
  receiving_.erase(it);
  return bytes;
}

void BodyBudget::Discard(uint64_t connection) { Release(Complete(connection)); }

std::optional<uint64_t> BodyBudget::Excess(TimeMs now) const {
  bool exceeds_long = long_bytes_ > settings_.max_bytes;
  bool exceeds_small = small_bytes_ > settings_.max_small_bytes;
  if (!exceeds_long && !exceeds_small) return std::nullopt;
  std::optional<uint64_t> worst;
  double worst_rate = 0;
  for (const auto& [connection, body] : receiving_) {
    if (body.bytes == 0 || IsSmall(body.bytes) == exceeds_long) continue;
    double age_ms = static_cast<double>(now - body.began + kMinAgeMs);
    double rate =
        (exceeds_long ? static_cast<double>(body.bytes) : 1.0) / age_ms;
    if (worst && rate >= worst_rate) continue;
    worst = connection;
    worst_rate = rate;
  }
  return worst;
}

}  // namespace banyanloft
