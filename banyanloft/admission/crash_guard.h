#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of crash containment.
struct CrashGuardSettings {
  int strikes_to_refuse = 3;     ///< Crashes after which a request is refused.
  int64_t lifetime_ms = 600000;  ///< Time for which a strike counts, in ms.
  size_t max_fingerprints = 10000;  ///< Most requests remembered.
};

/// A request was in flight when a backend server crashed. `cleared` says that
/// the same request later ran to its end, which ends the suspicion for good.
struct CrashStrike {
  uint64_t fingerprint = 0;  ///< Hash of route and body.
  uint64_t crash_id = 0;     ///< Identity of the crash.
  bool cleared = false;
};

/// Keeps requests that crash backend servers from doing so again and again,
/// without refusing requests that were merely in flight beside them. Strikes
/// are merged between daemons; merging is commutative and idempotent.
/// Deterministic; not thread safe.
class CrashGuard {
 public:
  enum class Verdict : uint8_t {
    kClear,   ///< Run as usual.
    kSolo,    ///< Suspect: run, but not beside another suspect.
    kRefuse,  ///< Refuse, not run.
  };

  explicit CrashGuard(const CrashGuardSettings& settings)
      : settings_(settings) {}

  /// What to do with a request.
  Verdict Check(TimeMs now, uint64_t fingerprint) const;
  /// A backend server crashed with these requests in flight. Returns the new
  /// strikes, to be spread.
  std::vector<CrashStrike> OnCrash(TimeMs now, uint64_t crash_id,
                                   const std::vector<uint64_t>& fingerprints);
  /// A request ran to its end. Returns the strikes that this clears, to be
  /// spread.
  std::vector<CrashStrike> OnSuccess(TimeMs now, uint64_t fingerprint);
  /// Takes over strikes of other daemons. Returns those that were news.
  std::vector<CrashStrike> Merge(TimeMs now,
                                 const std::vector<CrashStrike>& strikes);
  /// Forgets strikes whose lifetime is over.
  void Tick(TimeMs now);
  /// Requests under suspicion now.
  size_t Size() const { return requests_.size(); }

 private:
  struct Strike {
    bool cleared = false;
    TimeMs since;
  };
  using Strikes = std::map<uint64_t, Strike>;

  bool Apply(TimeMs now, const CrashStrike& strike);

  CrashGuardSettings settings_;
  std::unordered_map<uint64_t, Strikes> requests_;
};

}  // namespace banyanloft
