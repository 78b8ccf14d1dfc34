#include "banyanloft/mesh/startup_buffer.h"

#include <algorithm>

namespace banyanloft {
namespace {

constexpr int64_t kPermille = 1000;

}  // namespace

bool StartupBuffer::Add(TimeMs now, uint64_t id, MeshRequest* request) {
  bool starting = now - start_ < settings_.window_ms;
  if (!starting || entries_.size() >= settings_.max_requests) return false;
  int64_t max_buffered_ms = settings_.max_buffered_ms;
  if (request->wait_ms > 0) {
    int64_t part_ms =
        request->wait_ms * settings_.wait_share_permille / kPermille;
    max_buffered_ms = std::min(max_buffered_ms, part_ms);
  }
  entries_[id] = Entry{std::move(*request), now, now + max_buffered_ms};
  return true;
}

std::optional<MeshRequest> StartupBuffer::Remove(uint64_t id) {
  auto it = entries_.find(id);
  if (it == entries_.end()) return std::nullopt;
  MeshRequest request = std::move(it->second.request);
  entries_.erase(it);
  return request;
}

std::vector<StartupBuffer::BufferedRequest> StartupBuffer::TakeExpired(
    TimeMs now) {
  std::vector<BufferedRequest> out;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (now < it->second.expires_at) {
      ++it;
      continue;
    }
    out.push_back({it->first, std::move(it->second.request)});
    it = entries_.erase(it);
  }
  return out;
}

std::vector<StartupBuffer::BufferedRequest> StartupBuffer::TakeAll(TimeMs now) {
  std::vector<BufferedRequest> out;
  for (auto& [id, entry] : entries_) {
    entry.request.buffered_ms += now - entry.arrived_at;
    out.push_back({id, std::move(entry.request)});
  }
  entries_.clear();
  return out;
}

}  // namespace banyanloft
