#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "banyanloft/core/counters.h"
#include "banyanloft/mesh/mesh_message.h"
#include "banyanloft/mesh/quota_terms.h"
#include "banyanloft/mesh/quota_view.h"

namespace banyanloft {

/// Time for which a daemon may use its lease without an answer, in ms, from its
/// last answered ask.
inline constexpr int64_t kQuotaLeaseMs = 5000;

/// Keeps the token buckets of the accounts whose home is this daemon and grants
/// tokens to the daemons that accept their requests. Deterministic; not thread
/// safe; performs no I/O.
class QuotaHome {
 public:
  struct SendHandover {
    MemberId to = 0;
    QuotaHandover handover;
  };

  /// `view` must outlive this object.
  explicit QuotaHome(const QuotaView* view) : view_(view) {}

  /// Sets the limits of a new version. They must outlive their use here.
  void SetLimits(TimeMs now, const QuotaLimits* limits);
  /// Answers a daemon's ask. `from` identifies the daemon.
  QuotaGrant OnAsk(TimeMs now, uint64_t from, const QuotaAsk& ask);
  /// The former home of accounts passes them to this daemon.
  void OnHandover(TimeMs now, const QuotaHandover& handover);
  /// Reserves the leases of silent daemons, hands accounts over whose home is
  /// another daemon now and forgets idle ones; call it about every 100 ms.
  std::vector<SendHandover> Tick(TimeMs now);
  /// Forgets all buckets, because time has passed that others may not have
  /// waited for.
  void Clear();

  size_t Accounts() const { return buckets_.size(); }
  const Counters& Counts() const { return counters_; }

 private:
  /// A daemon that asks for tokens of an account.
  struct Daemon {
    TimeMs heard;
    double granted_per_s = 0;  ///< Over about the last second.
    double lease_per_s = 0;
    TimeMs lease_until;
    bool silent = false;
    double reserved = 0;  ///< Tokens set aside for a lease that has ended.
  };
  struct Bucket {
    double tokens = 0;
    TimeMs filled_at;
    double lease_sum_per_s = 0;        ///< Of all daemons.
    double reserved_per_s = 0;         ///< Leases of silent daemons.
    double handed_reserved_per_s = 0;  ///< Leases of the former home.
    TimeMs handed_reserved_until;
    TimeMs handed_over_at;
    bool was_handed_over = false;
    size_t active_daemons = 1;  ///< Those that asked lately.
    TimeMs queue_until;         ///< Until all denied requests could be served.
    TimeMs asked_at;
    std::map<uint64_t, Daemon> daemons;
  };

  bool IsHome(TimeMs now, uint64_t account) const;
  Bucket* FindOrCreate(TimeMs now, uint64_t account, const QuotaTerms& terms);
  double RateOf(TimeMs now, const Bucket& bucket,
                const QuotaTerms& terms) const;
  void Refill(TimeMs now, const QuotaTerms& terms, Bucket* bucket) const;
  QuotaGrant::Item Answer(TimeMs now, uint64_t from,
                          const QuotaAsk::Item& item);
  void Grant(TimeMs now, const QuotaTerms& terms, const QuotaAsk::Item& item,
             Bucket* bucket, Daemon* daemon, QuotaGrant::Item* out);
  void CheckLeases(TimeMs now, const QuotaTerms& terms, Bucket* bucket);
  void FindOwnAccounts(TimeMs now);
  static QuotaHandover::Item HandoverOf(TimeMs now, uint64_t account,
                                        const Bucket& bucket);

  const QuotaView* view_;
  const QuotaLimits* limits_ = nullptr;
  std::unordered_map<uint64_t, Bucket> buckets_;
  /// Limited accounts whose home this daemon is by `generation_` of the view.
  std::unordered_set<uint64_t> own_accounts_;
  uint64_t generation_ = 0;
  Counters counters_;
};

}  // namespace banyanloft
