#include "banyanloft/mesh/start_hold.h"

#include <algorithm>

namespace banyanloft {
namespace {

constexpr int64_t kPermille = 1000;

}  // namespace

bool StartHold::Hold(TimeMs now, uint64_t id, MeshRequest* request) {
  bool starting = now - start_ < settings_.window_ms;
  if (!starting || held_.size() >= settings_.max_requests) return false;
  int64_t hold_ms = settings_.hold_ms;
  if (request->wait_ms > 0) {
    int64_t part_ms = request->wait_ms * settings_.wait_permille / kPermille;
    hold_ms = std::min(hold_ms, part_ms);
  }
  held_[id] = Entry{std::move(*request), now, now + hold_ms};
  return true;
}

std::optional<MeshRequest> StartHold::Abandon(uint64_t id) {
  auto it = held_.find(id);
  if (it == held_.end()) return std::nullopt;
  MeshRequest request = std::move(it->second.request);
  held_.erase(it);
  return request;
}

std::vector<StartHold::Held> StartHold::TakeExpired(TimeMs now) {
  std::vector<Held> out;
  for (auto it = held_.begin(); it != held_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    out.push_back({it->first, std::move(it->second.request)});
    it = held_.erase(it);
  }
  return out;
}

std::vector<StartHold::Held> StartHold::TakeAll(TimeMs now) {
  std::vector<Held> out;
  for (auto& [id, entry] : held_) {
    entry.request.held_ms = now - entry.arrived;
    out.push_back({id, std::move(entry.request)});
  }
  held_.clear();
  return out;
}

}  // namespace banyanloft
