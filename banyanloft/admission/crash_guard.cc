#include "banyanloft/admission/crash_guard.h"

#include <algorithm>

#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

/// Interval at which expired suspicions are removed, in ms.
constexpr int64_t kExpiryPeriodMs = 1000;

/// The order of a hash table differs between platforms.
void SortByFingerprint(std::vector<CrashSuspicion>* suspicions) {
  std::sort(suspicions->begin(), suspicions->end(),
            [](const CrashSuspicion& a, const CrashSuspicion& b) {
              return a.fingerprint != b.fingerprint
                         ? a.fingerprint < b.fingerprint
                         : a.crash_id < b.crash_id;
            });
}

}  // namespace

CrashGuard::Verdict CrashGuard::Check(TimeMs now, uint64_t fingerprint) const {
  int crashes = Crashes(now, fingerprint);
  if (crashes == 0) return Verdict::kClear;
  return crashes >= settings_.crashes_to_refuse ? Verdict::kRefuse
                                                : Verdict::kExclusive;
}

int CrashGuard::Crashes(TimeMs now, uint64_t fingerprint) const {
  auto it = requests_.find(fingerprint);
  if (it == requests_.end()) return 0;
  int active = 0;
  for (const auto& [crash, suspicion] : it->second) {
    bool counts = !suspicion.cleared &&
                  now - suspicion.raised_at < settings_.suspicion_ttl_ms;
    active += counts ? 1 : 0;
  }
  return active;
}

std::vector<CrashSuspicion> CrashGuard::OnCrash(
    TimeMs now, uint64_t crash_id, const std::vector<uint64_t>& fingerprints) {
  std::vector<CrashSuspicion> suspicions;
  for (uint64_t fingerprint : fingerprints)
    suspicions.push_back({fingerprint, crash_id, false, 0});
  return Merge(now, suspicions);
}

std::vector<CrashSuspicion> CrashGuard::OnSuccess(TimeMs now,
                                                  uint64_t fingerprint) {
  auto it = requests_.find(fingerprint);
  if (it == requests_.end()) return {};
  std::vector<CrashSuspicion> cleared;
  for (const auto& [crash, suspicion] : it->second) {
    if (!suspicion.cleared)
      cleared.push_back({fingerprint, crash, true, now - suspicion.raised_at});
  }
  return Merge(now, cleared);
}

std::vector<CrashSuspicion> CrashGuard::Merge(
    TimeMs now, const std::vector<CrashSuspicion>& suspicions) {
  std::vector<CrashSuspicion> added;
  for (const CrashSuspicion& suspicion : suspicions) {
    if (Apply(now, suspicion)) added.push_back(suspicion);
  }
  return added;
}

bool CrashGuard::Apply(TimeMs now, const CrashSuspicion& suspicion) {
  if (suspicion.age_ms >= settings_.suspicion_ttl_ms) return false;
  auto request = requests_.find(suspicion.fingerprint);
  if (request == requests_.end()) {
    if (requests_.size() >= settings_.max_fingerprints) return false;
    request =
        requests_.emplace(suspicion.fingerprint, SuspicionsByCrash()).first;
  }
  TimeMs raised_at = now - std::max<int64_t>(0, suspicion.age_ms);
  auto [it, inserted] = request->second.emplace(
      suspicion.crash_id, Suspicion{suspicion.cleared, raised_at});
  if (!inserted && (!suspicion.cleared || it->second.cleared)) return false;
  if (!inserted)
    ToggleInDigest(suspicion.fingerprint, suspicion.crash_id, false);
  it->second.cleared = suspicion.cleared;
  ToggleInDigest(suspicion.fingerprint, suspicion.crash_id, suspicion.cleared);
  return true;
}

void CrashGuard::ToggleInDigest(uint64_t fingerprint, uint64_t crash_id,
                                bool cleared) {
  std::string_view bytes(reinterpret_cast<const char*>(&crash_id),
                         sizeof(crash_id));
  uint64_t seed = cleared ? ~fingerprint : fingerprint;
  digest_[BucketOf(fingerprint)] ^= FastHash(bytes, seed);
}

std::vector<CrashSuspicion> CrashGuard::DifferingFrom(
    TimeMs now, const SuspicionDigest& other) const {
  std::vector<CrashSuspicion> out;
  if (other == digest_) return out;
  for (const auto& [fingerprint, suspicions] : requests_) {
    size_t bucket = BucketOf(fingerprint);
    if (digest_[bucket] == other[bucket]) continue;
    for (const auto& [crash, suspicion] : suspicions)
      out.push_back(
          {fingerprint, crash, suspicion.cleared, now - suspicion.raised_at});
  }
  SortByFingerprint(&out);
  return out;
}

std::vector<CrashSuspicion> CrashGuard::Uncleared(TimeMs now) const {
  std::vector<CrashSuspicion> out;
  for (const auto& [fingerprint, suspicions] : requests_) {
    for (const auto& [crash, suspicion] : suspicions) {
      int64_t age_ms = now - suspicion.raised_at;
      bool counts = !suspicion.cleared && age_ms < settings_.suspicion_ttl_ms;
      if (counts) out.push_back({fingerprint, crash, false, age_ms});
    }
  }
  SortByFingerprint(&out);
  return out;
}

void CrashGuard::Tick(TimeMs now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryPeriodMs;
  for (auto request = requests_.begin(); request != requests_.end();) {
    SuspicionsByCrash& suspicions = request->second;
    for (auto it = suspicions.begin(); it != suspicions.end();) {
      bool expired = now - it->second.raised_at >= settings_.suspicion_ttl_ms;
      if (!expired) {
        ++it;
        continue;
      }
      ToggleInDigest(request->first, it->first, it->second.cleared);
      it = suspicions.erase(it);
    }
    request =
        suspicions.empty() ? requests_.erase(request) : std::next(request);
  }
}

}  // namespace banyanloft
