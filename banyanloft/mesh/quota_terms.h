#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "banyanloft/mesh/route_table.h"

namespace banyanloft {

/// Settings of the bound on an account's requests in any sliding window:
/// (rate x window + burst) x (1 + overage) + slack.
struct QuotaSettings {
  int64_t window_ms = 5000;
  double overage = .1;
  double slack = 20;
};

/// How the bound of one account is spent.
struct QuotaTerms {
  double rate_per_s = 0;  ///< At which the home's bucket fills.
  double capacity = 0;    ///< Of the home's bucket, in tokens.
  int64_t life_ms = 0;    ///< Lifetime of a token, from the ask for it, in ms.
};

/// The terms of an account. The bucket and the lifetime together use about half
/// of what the bound allows beyond the rate; the rest covers requests that wait
/// for different times before they run, and disagreement of member views.
QuotaTerms TermsOf(const QuotaSettings& settings, double rate_per_s,
                   double burst);

/// Identifies an account between daemons, without its name.
uint64_t QuotaAccountId(const std::string& name);

/// The limited accounts of a configuration version.
class QuotaLimits {
 public:
  struct Limit {
    std::string name;
    QuotaTerms terms;
  };

  QuotaLimits() = default;
  QuotaLimits(const QuotaSettings& settings,
              const RouteConfiguration& configuration);

  /// Null if the account is unknown or has no limit.
  const Limit* Find(uint64_t account) const;
  const std::unordered_map<uint64_t, Limit>& All() const { return limits_; }
  bool Empty() const { return limits_.empty(); }

 private:
  std::unordered_map<uint64_t, Limit> limits_;
};

}  // namespace banyanloft
