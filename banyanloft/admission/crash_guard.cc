#include "banyanloft/admission/crash_guard.h"

namespace banyanloft {

CrashGuard::Verdict CrashGuard::Check(TimeMs now, uint64_t fingerprint) const {
  auto it = requests_.find(fingerprint);
  if (it == requests_.end()) return Verdict::kClear;
  int open = 0;
  for (const auto& [crash, strike] : it->second) {
    bool counts = !strike.cleared && now - strike.since < settings_.lifetime_ms;
    open += counts ? 1 : 0;
  }
  if (open == 0) return Verdict::kClear;
  return open >= settings_.strikes_to_refuse ? Verdict::kRefuse
                                             : Verdict::kSolo;
}

std::vector<CrashStrike> CrashGuard::OnCrash(
    TimeMs now, uint64_t crash_id, const std::vector<uint64_t>& fingerprints) {
  std::vector<CrashStrike> strikes;
  for (uint64_t fingerprint : fingerprints)
    strikes.push_back({fingerprint, crash_id, false});
  return Merge(now, strikes);
}

std::vector<CrashStrike> CrashGuard::OnSuccess(TimeMs now,
                                               uint64_t fingerprint) {
  auto it = requests_.find(fingerprint);
  if (it == requests_.end()) return {};
  std::vector<CrashStrike> cleared;
  for (const auto& [crash, strike] : it->second) {
    if (!strike.cleared) cleared.push_back({fingerprint, crash, true});
  }
  return Merge(now, cleared);
}

std::vector<CrashStrike> CrashGuard::Merge(
    TimeMs now, const std::vector<CrashStrike>& strikes) {
  std::vector<CrashStrike> news;
  for (const CrashStrike& strike : strikes) {
    if (Apply(now, strike)) news.push_back(strike);
  }
  return news;
}

bool CrashGuard::Apply(TimeMs now, const CrashStrike& strike) {
  auto request = requests_.find(strike.fingerprint);
  if (request == requests_.end()) {
    if (requests_.size() >= settings_.max_fingerprints) return false;
    request = requests_.emplace(strike.fingerprint, Strikes()).first;
  }
  auto [it, fresh] =
      request->second.emplace(strike.crash_id, Strike{strike.cleared, now});
  if (fresh) return true;
  if (!strike.cleared || it->second.cleared) return false;
  it->second.cleared = true;
  return true;
}

void CrashGuard::Tick(TimeMs now) {
  for (auto request = requests_.begin(); request != requests_.end();) {
    Strikes& strikes = request->second;
    for (auto it = strikes.begin(); it != strikes.end();) {
      bool over = now - it->second.since >= settings_.lifetime_ms;
      it = over ? strikes.erase(it) : std::next(it);
    }
    request = strikes.empty() ? requests_.erase(request) : std::next(request);
  }
}

}  // namespace banyanloft
