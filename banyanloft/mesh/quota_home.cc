#include "banyanloft/mesh/quota_home.h"

#include <algorithm>
#include <cmath>

namespace banyanloft {
namespace {

constexpr double kMsPerSecond = 1000.0;
constexpr double kPermille = 1000.0;
constexpr double kMillion = 1e6;
/// Time constant of the estimated use of a daemon, in ms.
constexpr double kUseAverageMs = 1000.0;
/// Least use of a daemon that gives it a lease, in tokens per second: below, a
/// lease would reserve more than it gives, since few requests come in its time.
constexpr double kMinLeasePerS = 2.0;
/// Time beyond the lifetime of tokens after which a daemon counts as silent, in
/// ms: the home then sets tokens aside for the use of its lease.
constexpr int64_t kSilenceMs = 400;
/// Part of a silence whose unused tokens are granted again, in ms. Daemons with
/// little use are silent for about this time.
constexpr int64_t kMaxCreditMs = 800;
/// Time after which a daemon that asks no more is forgotten, in ms. It may
/// still report requests sent under a lease.
constexpr int64_t kDaemonRetentionMs = 30000;
/// Time for which a daemon that was handed an account is its home although its
/// own view names another one, in ms: gossip takes about a second.
constexpr int64_t kHandoverAuthorityMs = 3000;
constexpr int64_t kMaxRetryAfterMs = 3000;
/// Denied daemons ask again after this time each, in ms, so that a home gets
/// about 125 asks per second for an account, however many daemons there are.
constexpr int64_t kPausePerDaemonMs = 8;
constexpr int64_t kMinPauseMs = 20;
constexpr int64_t kMaxPauseMs = 1000;
constexpr int64_t kActiveMs = 2 * kMaxPauseMs;
/// Prefetched tokens are granted only while the bucket is fuller than this.
constexpr double kPrefetchShare = .5;
/// Lifetime of tokens where this daemon's version sets no limit, in ms.
constexpr int64_t kUnlimitedLifeMs = 100;

double Seconds(int64_t ms) { return static_cast<double>(ms) / kMsPerSecond; }

int64_t Permille(double value) {
  return static_cast<int64_t>(std::floor(value * kPermille));
}

}  // namespace

/// The tokens gained so far belong to the former limit.
void QuotaHome::SetLimits(TimeMs now, const QuotaLimits* limits) {
  for (auto& [account, bucket] : buckets_) {
    const QuotaLimits::Limit* before =
        limits_ == nullptr ? nullptr : limits_->Find(account);
    if (before != nullptr) Refill(now, before->terms, &bucket);
  }
  limits_ = limits;
  generation_ = 0;
}

void QuotaHome::Clear() {
  buckets_.clear();
  own_accounts_.clear();
}

/// Creates the buckets of accounts that get another home, so that also those
/// that were not kept are handed over.
void QuotaHome::FindOwnAccounts(TimeMs now) {
  if (generation_ == view_->Generation()) return;
  generation_ = view_->Generation();
  std::unordered_set<uint64_t> own;
  for (const auto& [account, limit] : limits_->All()) {
    if (view_->HomeOf(account) == view_->Self()) {
      own.insert(account);
    } else if (own_accounts_.count(account) > 0) {
      FindOrCreate(now, account, limit.terms);
    }
  }
  own_accounts_ = std::move(own);
}

bool QuotaHome::IsHome(TimeMs now, uint64_t account) const {
  if (view_->HomeOf(account) == view_->Self()) return true;
  auto it = buckets_.find(account);
  return it != buckets_.end() && it->second.was_handed_over &&
         now - it->second.handed_over_at < kHandoverAuthorityMs;
}

/// The bucket of an account; null if this home has to wait. A bucket that is
/// not kept holds what it has gained since this daemon became the home.
QuotaHome::Bucket* QuotaHome::FindOrCreate(TimeMs now, uint64_t account,
                                           const QuotaTerms& terms) {
  auto found = buckets_.find(account);
  if (found != buckets_.end()) return &found->second;
  TimeMs since = view_->HomeSince(account);
  if (now < since) return nullptr;
  Bucket& bucket = buckets_[account];
  bucket.filled_at = since;
  bucket.queue_until = now;
  Refill(now, terms, &bucket);
  return &bucket;
}

/// Members that are not live and daemons that are silent may use tokens that
/// this home does not learn of. They are mostly the same.
double QuotaHome::RateOf(TimeMs now, const Bucket& bucket,
                         const QuotaTerms& terms) const {
  double reserved_per_s = bucket.reserved_per_s;
  if (now < bucket.handed_reserved_until)
    reserved_per_s += bucket.handed_reserved_per_s;
  return std::max(0.0, std::min(terms.rate_per_s * view_->LiveShare(),
                                terms.rate_per_s - reserved_per_s));
}

void QuotaHome::Refill(TimeMs now, const QuotaTerms& terms,
                       Bucket* bucket) const {
  double gained =
      RateOf(now, *bucket, terms) * Seconds(now - bucket->filled_at);
  bucket->tokens = std::min(terms.capacity, bucket->tokens + gained);
  bucket->filled_at = now;
}

QuotaGrant QuotaHome::OnAsk(TimeMs now, uint64_t from, const QuotaAsk& ask) {
  QuotaGrant grant;
  grant.sequence = ask.sequence;
  for (const QuotaAsk::Item& item : ask.items)
    grant.items.push_back(Answer(now, from, item));
  return grant;
}

QuotaGrant::Item QuotaHome::Answer(TimeMs now, uint64_t from,
                                   const QuotaAsk::Item& item) {
  QuotaGrant::Item out;
  out.account = item.account;
  if (limits_ == nullptr || !IsHome(now, item.account)) {
    bool young = limits_ == nullptr || view_->IsYoung(now);
    out.status = young ? QuotaStatus::kYoung : QuotaStatus::kNotHome;
    MemberId home = view_->HomeOf(item.account);
    if (home != view_->Self()) out.home = home;
    counters_.Add("quota_asks_total", young ? "young" : "not_home");
    return out;
  }
  const QuotaLimits::Limit* limit = limits_->Find(item.account);
  if (limit == nullptr) {
    out.tokens = item.wanted;
    out.life_ms = kUnlimitedLifeMs;
    counters_.Add("quota_asks_total", "unlimited");
    return out;
  }
  Bucket* bucket = FindOrCreate(now, item.account, limit->terms);
  if (bucket == nullptr) {
    out.status = QuotaStatus::kWait;
    out.retry_after_ms = std::clamp<int64_t>(
        view_->HomeSince(item.account) - now, 1, kMaxRetryAfterMs);
    counters_.Add("quota_asks_total", "wait");
    return out;
  }
  Refill(now, limit->terms, bucket);
  bucket->asked_at = now;
  Daemon& daemon = bucket->daemons[from];
  Grant(now, limit->terms, item, bucket, &daemon, &out);
  counters_.Add("quota_asks_total",
                out.retry_after_ms > 0 ? "denied" : "granted");
  counters_.Add("quota_tokens_granted_total", "",
                static_cast<uint64_t>(out.tokens));
  return out;
}

void QuotaHome::Grant(TimeMs now, const QuotaTerms& terms,
                      const QuotaAsk::Item& item, Bucket* bucket,
                      Daemon* daemon, QuotaGrant::Item* out) {
  // What the daemon used of the tokens set aside for it is known now. Only few
  // of the others come back: the whole of a long silence, granted at once,
  // would exceed the bound. After the lease none do, because the daemon may
  // have told another home what it used.
  double most_credit = 0;
  if (daemon->silent) {
    daemon->reserved = daemon->lease_per_s * Seconds(now - daemon->heard);
    bucket->reserved_per_s -= daemon->lease_per_s;
    most_credit = daemon->lease_per_s * Seconds(kMaxCreditMs);
  }
  double credit = std::min(daemon->reserved - item.spent, most_credit);
  bucket->tokens =
      std::min(terms.capacity, bucket->tokens + credit + item.returned);
  daemon->reserved = 0;
  daemon->silent = false;

  int available = std::max(0, static_cast<int>(std::floor(bucket->tokens)));
  int tokens = std::min(item.needed, available);
  int spare = static_cast<int>(
      std::floor(bucket->tokens - terms.capacity * kPrefetchShare));
  if (tokens == item.needed) {
    tokens += std::clamp(item.wanted - tokens, 0, std::max(0, spare - tokens));
  } else {
    double rate_per_s = std::max(RateOf(now, *bucket, terms), 1 / kPermille);
    double wait_ms = (item.needed - tokens) / rate_per_s * kMsPerSecond;
    TimeMs from = std::max(bucket->queue_until, now);
    int64_t added_ms = static_cast<int64_t>(
        std::min(wait_ms, static_cast<double>(kMaxRetryAfterMs)));
    bucket->queue_until = std::min(from + added_ms, now + kMaxRetryAfterMs);
    out->retry_after_ms = std::max<int64_t>(1, bucket->queue_until - now);
    out->pause_ms = std::clamp(
        static_cast<int64_t>(bucket->active_daemons) * kPausePerDaemonMs,
        kMinPauseMs, kMaxPauseMs);
  }
  bucket->tokens -= tokens;

  double faded =
      std::exp(-static_cast<double>(now - daemon->heard) / kUseAverageMs);
  daemon->granted_per_s = daemon->granted_per_s * faded +
                          (tokens + item.spent) * kMsPerSecond / kUseAverageMs;
  daemon->heard = now;
  bucket->lease_sum_per_s -= daemon->lease_per_s;
  double lease_per_s =
      std::min(daemon->granted_per_s,
               terms.rate_per_s * view_->LiveShare() - bucket->lease_sum_per_s);
  bool leased = lease_per_s >= kMinLeasePerS && !item.ends_lease;
  daemon->lease_per_s = leased ? lease_per_s : 0;
  daemon->lease_until = now + kQuotaLeaseMs;
  bucket->lease_sum_per_s += daemon->lease_per_s;
  out->tokens = tokens;
  out->life_ms = terms.life_ms;
  out->lease_ppm = static_cast<int64_t>(
      std::floor(daemon->lease_per_s / terms.rate_per_s * kMillion));
}

/// Sets tokens aside for daemons that may be using their leases, from the time
/// they were last heard.
void QuotaHome::CheckLeases(TimeMs now, const QuotaTerms& terms,
                            Bucket* bucket) {
  Refill(now, terms, bucket);
  bucket->lease_sum_per_s = 0;
  bucket->reserved_per_s = 0;
  bucket->active_daemons = 0;
  for (auto it = bucket->daemons.begin(); it != bucket->daemons.end();) {
    Daemon& daemon = it->second;
    int64_t silent_ms = now - daemon.heard;
    if (silent_ms < kActiveMs) ++bucket->active_daemons;
    if (silent_ms > kDaemonRetentionMs) {
      it = bucket->daemons.erase(it);
      continue;
    }
    ++it;
    if (daemon.lease_per_s == 0) continue;
    if (!daemon.silent && silent_ms > terms.life_ms + kSilenceMs) {
      daemon.silent = true;
      bucket->tokens -= daemon.lease_per_s * Seconds(silent_ms);
      counters_.Add("quota_leases_reserved_total");
    }
    if (now >= daemon.lease_until) {
      daemon.reserved = daemon.lease_per_s * Seconds(kQuotaLeaseMs);
      daemon.lease_per_s = 0;
      daemon.silent = false;
    }
    bucket->lease_sum_per_s += daemon.lease_per_s;
    if (daemon.silent) bucket->reserved_per_s += daemon.lease_per_s;
  }
}

QuotaHandover::Item QuotaHome::HandoverOf(TimeMs now, uint64_t account,
                                          const Bucket& bucket) {
  QuotaHandover::Item item;
  item.account = account;
  item.tokens_permille = Permille(bucket.tokens);
  double reserved_per_s = 0;
  TimeMs until = now;
  for (const auto& [from, daemon] : bucket.daemons) {
    if (!daemon.silent) continue;
    reserved_per_s += daemon.lease_per_s;
    until = std::max(until, daemon.lease_until);
  }
  if (now < bucket.handed_reserved_until) {
    reserved_per_s += bucket.handed_reserved_per_s;
    until = std::max(until, bucket.handed_reserved_until);
  }
  item.reserved_permille = Permille(reserved_per_s);
  item.reserved_ms = until - now;
  return item;
}

void QuotaHome::OnHandover(TimeMs now, const QuotaHandover& handover) {
  for (const QuotaHandover::Item& item : handover.items) {
    // A home that grants already keeps its own bucket: after a partition both
    // sides have one, and the sum would exceed the limit.
    if (buckets_.count(item.account) > 0) continue;
    Bucket& bucket = buckets_[item.account];
    bucket.tokens = static_cast<double>(item.tokens_permille) / kPermille;
    bucket.filled_at = now;
    bucket.handed_reserved_per_s =
        static_cast<double>(item.reserved_permille) / kPermille;
    bucket.handed_reserved_until =
        now + std::min(item.reserved_ms, kQuotaLeaseMs);
    bucket.handed_over_at = now;
    bucket.was_handed_over = true;
    bucket.queue_until = now;
    bucket.asked_at = now;
    counters_.Add("quota_handovers_total", "received");
  }
}

std::vector<QuotaHome::SendHandover> QuotaHome::Tick(TimeMs now) {
  std::map<MemberId, QuotaHandover> by_home;
  if (limits_ != nullptr) FindOwnAccounts(now);
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    auto& [account, bucket] = *it;
    const QuotaLimits::Limit* limit =
        limits_ == nullptr ? nullptr : limits_->Find(account);
    if (limit == nullptr) {
      it = buckets_.erase(it);
      continue;
    }
    CheckLeases(now, limit->terms, &bucket);
    if (!IsHome(now, account)) {
      MemberId home = view_->HomeOf(account);
      if (home != 0) {
        by_home[home].items.push_back(HandoverOf(now, account, bucket));
        counters_.Add("quota_handovers_total", "sent");
      }
      it = buckets_.erase(it);
      continue;
    }
    // A full bucket that this daemon's view gives it can be computed again.
    bool idle = bucket.tokens >= limit->terms.capacity &&
                bucket.lease_sum_per_s == 0 && bucket.daemons.empty();
    bool by_view = view_->HomeOf(account) == view_->Self();
    it = idle && by_view ? buckets_.erase(it) : std::next(it);
  }
  std::vector<SendHandover> out;
  for (auto& [home, handover] : by_home)
    out.push_back({home, std::move(handover)});
  return out;
}

}  // namespace banyanloft
