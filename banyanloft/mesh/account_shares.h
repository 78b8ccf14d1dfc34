#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of AccountShares.
struct AccountSharesSettings {
  size_t max_accounts = 512;  ///< Accounts tracked; bounds memory.
  int64_t recent_ms = 4000;   ///< Decay time of the recent use, in ms.
  int64_t usual_ms = 120000;  ///< Decay time of the usual use, in ms.
  /// Time observed from which the usual use is known in full, in ms. A daemon
  /// that starts during a surge must not take it for usual.
  int64_t learning_ms = 60000;
  /// Use that is within an account's share, in 1/1000 of its usual use. Random
  /// arrivals exceed their mean by about this much at peaks.
  int64_t tolerance_permille = 1500;
  /// Recent use that the usual use learns from, in 1/1000 of the latter: a
  /// surge must not become usual while it lasts.
  int64_t learned_permille = 2000;
};

/// Slot time used by each client account on one backend server, compared with
/// its share: its usual use or an equal part of the slots, whichever is more.
/// Deterministic; not thread safe.
class AccountShares {
 public:
  explicit AccountShares(const AccountSharesSettings& settings)
      : settings_(settings) {}

  /// Adds slot time used by an account, in ms. A negative value corrects an
  /// earlier estimate.
  void Charge(TimeMs now, const std::string& account, int64_t slot_ms);
  /// Recent use plus `pending_ms` of queued work relative to the account's
  /// share, in 1/1000; 0 while fewer than two accounts are active.
  int64_t LevelPermille(TimeMs now, const std::string& account,
                        int64_t pending_ms, int slots) const;
  /// Rank of a level in the order of queued work: 0 within the share, then one
  /// more for each doubling, up to kMaxTier.
  static int TierOf(int64_t level_permille);
  size_t Size() const { return accounts_.size(); }

  static constexpr int kMaxTier = 3;

 private:
  struct Usage {
    double recent_ms = 0;  ///< Decaying sum at `updated`.
    double usual_ms = 0;   ///< Decaying sum at `updated`.
    TimeMs updated;
  };

  double RecentMs(TimeMs now, const Usage& usage) const;
  double UsualMs(TimeMs now, const Usage& usage) const;
  Usage& UsageOf(TimeMs now, const std::string& account);
  void CountActive(TimeMs now);

  AccountSharesSettings settings_;
  std::unordered_map<std::string, Usage> accounts_;
  TimeMs first_charge_;
  TimeMs next_count_;
  size_t active_ = 0;  ///< Accounts with recent use at the last count.
};

}  // namespace banyanloft
