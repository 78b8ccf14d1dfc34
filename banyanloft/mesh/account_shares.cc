#include "banyanloft/mesh/account_shares.h"

#include <algorithm>
#include <cmath>

namespace banyanloft {
namespace {

constexpr double kPermille = 1000.0;
/// Time between two counts of the active accounts, in ms.
constexpr int64_t kCountPeriodMs = 250;
/// Recent use below which an account is not active, in ms: what remains of a
/// short run after the decay time.
constexpr double kMinActiveMs = 10.0;

double DecayOf(int64_t elapsed_ms, int64_t decay_ms) {
  return std::exp(-static_cast<double>(std::max<int64_t>(0, elapsed_ms)) /
                  static_cast<double>(decay_ms));
}

}  // namespace

double AccountShares::RecentMs(TimeMs now, const Usage& usage) const {
  return usage.recent_ms * DecayOf(now - usage.updated, settings_.recent_ms);
}

/// Usual use within the decay time of the recent use. While less than the decay
/// time of the usual use has been observed, it is the mean of the time
/// observed, or of the learning time if that is longer.
double AccountShares::UsualMs(TimeMs now, const Usage& usage) const {
  int64_t observed_ms = std::max(settings_.learning_ms, now - first_charge_);
  double weight = static_cast<double>(settings_.usual_ms) *
                  (1.0 - DecayOf(observed_ms, settings_.usual_ms));
  double sum_ms =
      usage.usual_ms * DecayOf(now - usage.updated, settings_.usual_ms);
  return sum_ms * static_cast<double>(settings_.recent_ms) / weight;
}

AccountShares::Usage& AccountShares::UsageOf(TimeMs now,
                                             const std::string& account) {
  auto found = accounts_.find(account);
  if (found != accounts_.end()) return found->second;
  if (accounts_.empty()) first_charge_ = now;
  if (accounts_.size() >= settings_.max_accounts) {
    auto least = std::min_element(
        accounts_.begin(), accounts_.end(), [&](const auto& a, const auto& b) {
          return RecentMs(now, a.second) < RecentMs(now, b.second);
        });
    accounts_.erase(least);
  }
  Usage& usage = accounts_[account];
  usage.updated = now;
  return usage;
}

void AccountShares::CountActive(TimeMs now) {
  if (now < next_count_) return;
  next_count_ = now + kCountPeriodMs;
  active_ = static_cast<size_t>(
      std::count_if(accounts_.begin(), accounts_.end(), [&](const auto& entry) {
        return RecentMs(now, entry.second) >= kMinActiveMs;
      }));
}

void AccountShares::Charge(TimeMs now, const std::string& account,
                           int64_t slot_ms) {
  Usage& usage = UsageOf(now, account);
  double used_ms = static_cast<double>(slot_ms);
  double recent_ms = RecentMs(now, usage);
  double usual_ms = UsualMs(now, usage);
  // Not while the usual use is being learned, and is underestimated.
  bool known =
      usual_ms > kMinActiveMs && now - first_charge_ >= settings_.learning_ms;
  double limit_ms =
      usual_ms * static_cast<double>(settings_.learned_permille) / kPermille;
  double learned = known && recent_ms > limit_ms ? limit_ms / recent_ms : 1.0;
  usage.recent_ms = std::max(0.0, recent_ms + used_ms);
  usage.usual_ms = std::max(
      0.0, usage.usual_ms * DecayOf(now - usage.updated, settings_.usual_ms) +
               used_ms * learned);
  usage.updated = now;
  CountActive(now);
}

int64_t AccountShares::LevelPermille(TimeMs now, const std::string& account,
                                     int64_t pending_ms, int slots) const {
  auto found = accounts_.find(account);
  bool active =
      found != accounts_.end() && RecentMs(now, found->second) >= kMinActiveMs;
  size_t others = active_ > 0 && active ? active_ - 1 : active_;
  if (others == 0) return 0;
  double equal_ms = static_cast<double>(slots * settings_.recent_ms) /
                    static_cast<double>(others + 1);
  double usual_ms = found == accounts_.end() ? 0 : UsualMs(now, found->second);
  double recent_ms =
      found == accounts_.end() ? 0 : RecentMs(now, found->second);
  double tolerance =
      static_cast<double>(settings_.tolerance_permille) / kPermille;
  double share_ms = std::max(equal_ms, usual_ms * tolerance);
  double demand_ms = recent_ms + static_cast<double>(pending_ms);
  return static_cast<int64_t>(demand_ms / share_ms * kPermille);
}

int AccountShares::TierOf(int64_t level_permille) {
  int tier = 0;
  for (int64_t limit = static_cast<int64_t>(kPermille);
       level_permille > limit && tier < kMaxTier; limit *= 2)
    ++tier;
  return tier;
}

}  // namespace banyanloft
