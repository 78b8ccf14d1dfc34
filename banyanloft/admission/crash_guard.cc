#include "banyanloft/admission/crash_guard.h"

namespace banyanloft {

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
    suspicions.push_back({fingerprint, crash_id, false});
  return Merge(now, suspicions);
}

std::vector<CrashSuspicion> CrashGuard::OnSuccess(TimeMs now,
                                                  uint64_t fingerprint) {
  auto it = requests_.find(fingerprint);
  if (it == requests_.end()) return {};
  std::vector<CrashSuspicion> cleared;
  for (const auto& [crash, suspicion] : it->second) {
    if (!suspicion.cleared) cleared.push_back({fingerprint, crash, true});
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
  auto request = requests_.find(suspicion.fingerprint);
  if (request == requests_.end()) {
    if (requests_.size() >= settings_.max_fingerprints) return false;
    request =
        requests_.emplace(suspicion.fingerprint, SuspicionsByCrash()).first;
  }
  auto [it, inserted] = request->second.emplace(
      suspicion.crash_id, Suspicion{suspicion.cleared, now});
  if (inserted) return true;
  if (!suspicion.cleared || it->second.cleared) return false;
  it->second.cleared = true;
  return true;
}

void CrashGuard::Tick(TimeMs now) {
  for (auto request = requests_.begin(); request != requests_.end();) {
    SuspicionsByCrash& suspicions = request->second;
    for (auto it = suspicions.begin(); it != suspicions.end();) {
      bool expired = now - it->second.raised_at >= settings_.suspicion_ttl_ms;
      it = expired ? suspicions.erase(it) : std::next(it);
    }
    request =
        suspicions.empty() ? requests_.erase(request) : std::next(request);
  }
}

}  // namespace banyanloft
