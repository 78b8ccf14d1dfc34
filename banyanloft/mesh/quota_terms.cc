#include "banyanloft/mesh/quota_terms.h"

#include <algorithm>

#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

constexpr double kMsPerSecond = 1000.0;
/// Shares of what the bound allows beyond the rate.
constexpr double kCapacityOfBurst = .5;
constexpr double kCapacityOfSlack = .4;
constexpr double kCapacityOfOverage = .1;
constexpr double kLifeOfOverage = .4;
constexpr double kLifeOfSlack = .2;
constexpr double kLifeOfBurst = .3;
/// A round trip between two daemons on a tenth of a core takes up to 100 ms.
constexpr double kMinLifeMs = 100;
/// Longer lifetimes save few messages, and unused tokens are lost to others.
constexpr double kMaxLifeMs = 1000;

}  // namespace

QuotaTerms TermsOf(const QuotaSettings& settings, double rate_per_s,
                   double burst) {
  QuotaTerms terms;
  terms.rate_per_s = rate_per_s;
  double overage_ms =
      settings.overage * static_cast<double>(settings.window_ms);
  double capacity = kCapacityOfBurst * burst +
                    kCapacityOfSlack * settings.slack +
                    kCapacityOfOverage * rate_per_s * overage_ms / kMsPerSecond;
  terms.capacity = std::max(1.0, capacity);
  double spare_tokens = kLifeOfSlack * settings.slack + kLifeOfBurst * burst;
  double life_ms =
      kLifeOfOverage * overage_ms + spare_tokens / rate_per_s * kMsPerSecond;
  terms.life_ms =
      static_cast<int64_t>(std::clamp(life_ms, kMinLifeMs, kMaxLifeMs));
  return terms;
}

uint64_t QuotaAccountId(const std::string& name) { return FastHash(name); }

QuotaLimits::QuotaLimits(const QuotaSettings& settings,
                         const RouteConfiguration& configuration) {
  for (const ClientAccount& account : configuration.accounts) {
    if (account.rate_per_s <= 0) continue;
    limits_[QuotaAccountId(account.name)] = {
        account.name, TermsOf(settings, account.rate_per_s, account.burst)};
  }
}

const QuotaLimits::Limit* QuotaLimits::Find(uint64_t account) const {
  auto it = limits_.find(account);
  return it == limits_.end() ? nullptr : &it->second;
}

}  // namespace banyanloft
