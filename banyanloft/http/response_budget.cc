#include "banyanloft/http/response_budget.h"

#include <cassert>

namespace banyanloft {

bool ResponseBudget::Responses::Release(uint64_t number) {
  auto it = by_number.find(number);
  if (it == by_number.end()) return false;
  assert(bytes >= it->second.bytes);
  bytes -= it->second.bytes;
  by_number.erase(it);
  return true;
}

uint64_t ResponseBudget::Hold(uint64_t connection, size_t bytes) {
  Responses& responses = bytes <= settings_.small_bytes ? small_ : long_;
  responses.bytes += bytes;
  responses.by_number[++last_number_] = {connection, bytes};
  return last_number_;
}

void ResponseBudget::Release(uint64_t number) {
  if (number == 0) return;
  bool released = long_.Release(number) || small_.Release(number);
  assert(released);
  (void)released;
}

std::optional<uint64_t> ResponseBudget::Excess() const {
  if (long_.Exceed(settings_.max_bytes))
    return long_.by_number.begin()->second.connection;
  if (small_.Exceed(settings_.max_small_bytes))
    return small_.by_number.begin()->second.connection;
  return std::nullopt;
}

}  // namespace banyanloft
