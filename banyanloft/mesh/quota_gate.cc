#include "banyanloft/mesh/quota_gate.h"

#include <algorithm>
#include <cmath>

#include "banyanloft/mesh/quota_home.h"

namespace banyanloft {
namespace {

constexpr double kMsPerSecond = 1000.0;
constexpr double kMillion = 1e6;
/// Longest time that a request waits for a token, in ms.
constexpr int64_t kMaxWaitMs = 150;
/// Time after which the home counts as silent and leases are used, in ms.
constexpr int64_t kSilenceMs = 100;
constexpr int64_t kFirstRepeatMs = 60;
constexpr int64_t kMaxRepeatMs = 500;
/// Asks older than this are forgotten: their tokens have ended.
constexpr int64_t kAskRetentionMs = 2000;
/// Time for which a denied account counts as scarce, in ms.
constexpr int64_t kScarceMs = 2000;
/// Time constant of the estimated request rate, in ms.
constexpr double kRateAverageMs = 1000.0;
/// Fraction of the tokens' lifetime for which tokens are fetched ahead: a
/// part of it passes until they arrive.
constexpr double kPrefetchShare = .8;
/// Least rate at which tokens are fetched before the last one is used.
constexpr double kEarlyAskPerS = 10;
constexpr double kEarlyAskSeconds = .05;
/// Unused tokens older than this are not returned, in ms: they would add to
/// another window than the one they were granted in.
constexpr int64_t kUnusedRetentionMs = 1000;
/// Time without a request after which a lease is released, in ms.
constexpr int64_t kLeaseIdleMs = 500;
constexpr double kLeaseBurstSeconds = .25;
/// Time after the last full grant in which one request may be sent ahead of
/// its token, in ms.
constexpr int64_t kAheadMs = 30000;
constexpr int64_t kRedirectMs = 1500;
constexpr int kMaxHops = 3;
constexpr int64_t kHopPauseMs = 50;
/// Time for which the own bucket is used before a home is looked for again.
constexpr int64_t kAloneMs = 500;
constexpr int64_t kWaitPauseMs = 200;
/// Mean Retry-After if the home does not answer, in ms.
constexpr int64_t kSilentRetryMs = 800;
constexpr int64_t kMinRetryMs = 50;
/// An account is forgotten after this time without a request, in ms.
constexpr int64_t kIdleMs = kAheadMs;
constexpr int64_t kLogPeriodMs = 10000;

}  // namespace

void QuotaGate::LocalBucket::Fill(TimeMs now, double rate_per_s,
                                  double capacity) {
  double gained =
      rate_per_s * static_cast<double>(now - filled_at) / kMsPerSecond;
  tokens = std::min(capacity, tokens + gained);
  filled_at = now;
}

bool QuotaGate::LocalBucket::Take() {
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

QuotaGate::Account* QuotaGate::FindOrCreate(TimeMs now, uint64_t id) {
  auto [it, fresh] = accounts_.try_emplace(id);
  if (!fresh) return &it->second;
  Account& account = it->second;
  account.used_at = now;
  account.own.filled_at = start_;
  account.repeat_ms = kFirstRepeatMs;
  return &account;
}

void QuotaGate::CountUse(TimeMs now, Account* account) {
  double idle_ms = static_cast<double>(now - account->used_at);
  account->rate_per_s =
      account->rate_per_s * std::exp(-idle_ms / kRateAverageMs) +
      kMsPerSecond / kRateAverageMs;
  account->used_at = now;
}

int QuotaGate::Held(const Account& account) const {
  int tokens = 0;
  for (const Batch& batch : account.held) tokens += batch.tokens;
  return tokens;
}

void QuotaGate::DropExpired(TimeMs now, Account* account) {
  std::deque<Batch>& held = account->held;
  while (!held.empty() &&
         (held.front().tokens == 0 || now >= held.front().expires)) {
    if (held.front().tokens > 0) {
      counters_.Add("quota_tokens_expired_total", "",
                    static_cast<uint64_t>(held.front().tokens));
      account->unused += held.front().tokens;
      account->unused_at = now;
    }
    held.pop_front();
  }
}

bool QuotaGate::TakeHeld(TimeMs now, Account* account, TimeMs* expires) {
  DropExpired(now, account);
  std::deque<Batch>& held = account->held;
  if (held.empty()) return false;
  --held.front().tokens;
  *expires = held.front().expires;
  return true;
}

bool QuotaGate::TakeLease(TimeMs now, const QuotaTerms& terms,
                          Account* account) {
  if (!account->home_silent || account->lease_share <= 0 ||
      now >= account->lease_until)
    return false;
  double rate_per_s = account->lease_share * terms.rate_per_s;
  account->lease.Fill(now, rate_per_s, 1 + rate_per_s * kLeaseBurstSeconds);
  if (!account->lease.Take()) return false;
  ++account->spent;
  counters_.Add("quota_taken_total", "lease");
  return true;
}

/// This daemon's part of the rate. It is used only while no daemon is the home.
bool QuotaGate::TakeOwn(TimeMs now, const QuotaTerms& terms, Account* account) {
  if (now >= account->alone_until) return false;
  double members = static_cast<double>(view_->Known());
  account->own.Fill(now, terms.rate_per_s / members,
                    std::max(1.0, terms.capacity / members));
  if (!account->own.Take()) return false;
  counters_.Add("quota_taken_total", "own");
  return true;
}

/// One request may go ahead of its token if the account was below its limit
/// when the home last answered.
bool QuotaGate::TakeAhead(TimeMs now, Account* account) {
  bool may = account->granted_in_full && account->spent == 0 &&
             now - account->answered_at < kAheadMs;
  if (!may) return false;
  ++account->spent;
  counters_.Add("quota_taken_total", "ahead");
  return true;
}

bool QuotaGate::TakeLocal(TimeMs now, const QuotaTerms& terms,
                          Account* account) {
  return TakeLease(now, terms, account) || TakeOwn(now, terms, account);
}

QuotaDecision QuotaGate::Take(TimeMs now, uint64_t id,
                              const std::string& name) {
  uint64_t key = QuotaAccountId(name);
  const QuotaLimits::Limit* limit =
      limits_ == nullptr ? nullptr : limits_->Find(key);
  QuotaDecision decision;
  decision.expires = now;
  if (limit == nullptr) return decision;
  Account* account = FindOrCreate(now, key);
  CountUse(now, account);
  if (account->waiting.empty()) {
    if (TakeHeld(now, account, &decision.expires)) {
      counters_.Add("quota_taken_total", "held");
      if (account->rate_per_s >= kEarlyAskPerS && !account->open &&
          Held(*account) < account->rate_per_s * kEarlyAskSeconds)
        account->due = any_due_ = true;
      return decision;
    }
    if (TakeLocal(now, limit->terms, account)) return decision;
    if (now < std::max(account->denied_until, account->alone_until)) {
      LogRefusal(now, key, account, "denied");
      counters_.Add("quota_refused_total", "denied");
      return Refusal(account);
    }
  }
  account->waiting.push_back({id, now + kMaxWaitMs});
  if (!account->open) account->due = any_due_ = true;
  decision.verdict = QuotaDecision::Verdict::kAsk;
  return decision;
}

/// Clients refused at the same time retry at different times. The mean is the
/// time after which the home can serve all that were denied.
QuotaDecision QuotaGate::Refusal(Account* account) {
  QuotaDecision decision;
  decision.verdict = QuotaDecision::Verdict::kRefused;
  int64_t mean_ms = std::max(kMinRetryMs, account->retry_after_ms);
  decision.retry_after_ms =
      mean_ms / 2 +
      static_cast<int64_t>(random_.Below(static_cast<uint64_t>(mean_ms))) + 1;
  return decision;
}

void QuotaGate::GiveBack(TimeMs now, const std::string& name, TimeMs expires) {
  if (now >= expires) return;
  auto it = accounts_.find(QuotaAccountId(name));
  if (it == accounts_.end()) return;
  counters_.Add("quota_tokens_returned_total");
  std::deque<Batch>& held = it->second.held;
  auto place = std::find_if(held.begin(), held.end(), [&](const Batch& batch) {
    return expires <= batch.expires;
  });
  if (place != held.end() && place->expires == expires) {
    ++place->tokens;
  } else {
    held.insert(place, Batch{expires, 1});
  }
}

void QuotaGate::Charge(TimeMs now, const std::string& name) {
  uint64_t key = QuotaAccountId(name);
  if (limits_ == nullptr || limits_->Find(key) == nullptr) return;
  Account* account = FindOrCreate(now, key);
  TimeMs expires;
  if (TakeHeld(now, account, &expires)) return;
  ++account->spent;
}

void QuotaGate::Remove(const std::string& name, uint64_t id) {
  auto it = accounts_.find(QuotaAccountId(name));
  if (it == accounts_.end()) return;
  std::deque<Waiter>& waiting = it->second.waiting;
  waiting.erase(
      std::remove_if(waiting.begin(), waiting.end(),
                     [&](const Waiter& waiter) { return waiter.id == id; }),
      waiting.end());
}

void QuotaGate::ServeWaiting(TimeMs now, const QuotaTerms& terms,
                             Account* account, QuotaOutcome* out) {
  while (!account->waiting.empty()) {
    QuotaDecision decision;
    decision.expires = now;
    if (TakeHeld(now, account, &decision.expires)) {
      counters_.Add("quota_taken_total", "asked");
    } else if (!TakeLocal(now, terms, account)) {
      return;
    }
    out->requests.push_back({account->waiting.front().id, decision});
    account->waiting.pop_front();
  }
}

void QuotaGate::RefuseWaiting(TimeMs now, uint64_t id, Account* account,
                              const char* reason, QuotaOutcome* out) {
  if (account->waiting.empty()) return;
  LogRefusal(now, id, account, reason);
  while (!account->waiting.empty()) {
    out->requests.push_back({account->waiting.front().id, Refusal(account)});
    account->waiting.pop_front();
    counters_.Add("quota_refused_total", reason);
  }
}

/// At most one line per account and period: each request has its own line.
void QuotaGate::LogRefusal(TimeMs now, uint64_t id, Account* account,
                           const char* reason) {
  if (account->refusal_logged &&
      now - account->refusal_logged_at < kLogPeriodMs)
    return;
  account->refusal_logged = true;
  account->refusal_logged_at = now;
  const QuotaLimits::Limit* limit = limits_->Find(id);
  logs_.push_back(LogRecord{
      LogLevel::kInfo,
      "quota_refusing",
      {{"account", limit == nullptr ? "" : limit->name},
       {"reason", reason},
       {"home", MemberName(HomeFor(now, id, *account))},
       {"rate_here", std::to_string(static_cast<int64_t>(account->rate_per_s))},
       {"retry_after_ms", std::to_string(account->retry_after_ms)}}});
}

MemberId QuotaGate::HomeFor(TimeMs now, uint64_t id,
                            const Account& account) const {
  if (account.redirect != 0 && now < account.redirect_until &&
      view_->IsReachable(account.redirect))
    return account.redirect;
  MemberId home = view_->HomeOf(id);
  return home != 0 ? home : view_->AnyOther(id, 0);
}

QuotaAsk::Item QuotaGate::ItemFor(TimeMs now, uint64_t id,
                                  const QuotaTerms& terms, Account* account) {
  QuotaAsk::Item item;
  item.account = id;
  item.needed = static_cast<int>(account->waiting.size());
  double ahead_s =
      static_cast<double>(terms.life_ms) * kPrefetchShare / kMsPerSecond;
  if (now < account->scarce_until) {
    double pause_s = static_cast<double>(account->pause_ms) / kMsPerSecond;
    item.needed +=
        static_cast<int>(account->rate_per_s * std::min(pause_s, ahead_s));
  }
  int predicted = static_cast<int>(account->rate_per_s * ahead_s);
  item.wanted =
      item.needed + std::max(0, predicted - Held(*account) - item.needed +
                                    static_cast<int>(account->waiting.size()));
  item.spent = account->spent;
  // Reported once, because a home must not credit them twice.
  if (account->granted_by == account->asked_home &&
      now - account->unused_at < kUnusedRetentionMs)
    item.returned = account->unused;
  account->unused = 0;
  item.ends_lease = account->ends_lease;
  account->ends_lease = false;
  return item;
}

std::vector<QuotaGate::SendAsk> QuotaGate::Flush(TimeMs now,
                                                 QuotaOutcome* out) {
  std::vector<SendAsk> asks;
  if (!any_due_) return asks;
  any_due_ = false;
  for (auto& [id, account] : accounts_) {
    if (!account.due || account.open) continue;
    if (now < account.ask_from) {
      any_due_ = true;
      continue;
    }
    account.due = false;
    const QuotaLimits::Limit* limit = limits_->Find(id);
    if (limit == nullptr) continue;
    MemberId home = HomeFor(now, id, account);
    if (home == 0) {
      account.alone_until = now + kAloneMs;
      account.retry_after_ms = kSilentRetryMs;
      ServeWaiting(now, limit->terms, &account, out);
      RefuseWaiting(now, id, &account, "alone", out);
      continue;
    }
    auto ask = std::find_if(asks.begin(), asks.end(),
                            [&](const SendAsk& a) { return a.home == home; });
    if (ask == asks.end()) {
      asks.push_back({home, {}});
      ask = std::prev(asks.end());
      ask->ask.sequence = next_sequence_++;
      asks_[ask->ask.sequence] = now;
    }
    account.open = true;
    account.sequence = ask->ask.sequence;
    account.asked_at = now;
    account.asked_home = home;
    QuotaAsk::Item item = ItemFor(now, id, limit->terms, &account);
    account.spent_in_ask = item.spent;
    ask->ask.items.push_back(item);
  }
  for (const SendAsk& ask : asks) {
    counters_.Add("quota_ask_messages_total",
                  ask.home == view_->Self() ? "local" : "sent");
  }
  return asks;
}

void QuotaGate::OnGrant(TimeMs now, const QuotaGrant& grant,
                        QuotaOutcome* out) {
  auto asked = asks_.find(grant.sequence);
  if (asked == asks_.end()) return;
  TimeMs asked_at = asked->second;
  asks_.erase(asked);
  for (const QuotaGrant::Item& item : grant.items) {
    auto it = accounts_.find(item.account);
    if (it == accounts_.end()) continue;
    Account& account = it->second;
    bool current = account.open && account.sequence == grant.sequence;
    if (current) {
      account.open = false;
      account.home_silent = false;
      account.repeat_ms = kFirstRepeatMs;
    }
    Apply(now, item, asked_at, current, &account, out);
  }
}

void QuotaGate::Apply(TimeMs now, const QuotaGrant::Item& item, TimeMs asked_at,
                      bool current, Account* account, QuotaOutcome* out) {
  if (item.status == QuotaStatus::kGranted)
    return ApplyTokens(now, item, asked_at, current, account, out);
  if (!current) return;
  const QuotaLimits::Limit* limit = limits_->Find(item.account);
  if (limit == nullptr) return;
  bool other = item.home != 0 && view_->IsReachable(item.home);
  if (item.status != QuotaStatus::kWait && other &&
      ++account->hops < kMaxHops) {
    account->redirect = item.home;
    account->redirect_until = now + kRedirectMs;
    account->due = any_due_ = true;
    return;
  }
  account->hops = 0;
  account->redirect = 0;
  switch (item.status) {
    case QuotaStatus::kYoung:
      account->alone_until = now + kAloneMs;
      account->retry_after_ms = kSilentRetryMs;
      ServeWaiting(now, limit->terms, account, out);
      return RefuseWaiting(now, item.account, account, "alone", out);
    case QuotaStatus::kWait:
      // The lease of the former home may be used until it ends.
      account->home_silent = true;
      account->retry_after_ms = item.retry_after_ms;
      account->denied_until = now + kWaitPauseMs;
      ServeWaiting(now, limit->terms, account, out);
      return RefuseWaiting(now, item.account, account, "home_lost", out);
    case QuotaStatus::kNotHome:
    case QuotaStatus::kGranted:
      account->ask_from = now + kHopPauseMs;
      account->due = any_due_ = !account->waiting.empty() || any_due_;
      return;
  }
}

void QuotaGate::ApplyTokens(TimeMs now, const QuotaGrant::Item& item,
                            TimeMs asked_at, bool current, Account* account,
                            QuotaOutcome* out) {
  TimeMs expires = asked_at + item.life_ms;
  if (item.tokens > 0 && now < expires) {
    auto place = std::find_if(
        account->held.begin(), account->held.end(),
        [&](const Batch& batch) { return expires < batch.expires; });
    account->held.insert(place, Batch{expires, item.tokens});
  } else if (item.tokens > 0) {
    counters_.Add("quota_tokens_expired_total", "",
                  static_cast<uint64_t>(item.tokens));
    if (current) {
      account->unused += item.tokens;
      account->unused_at = now;
    }
  }
  const QuotaLimits::Limit* limit = limits_->Find(item.account);
  if (limit == nullptr) return;
  if (current) {
    account->spent -= account->spent_in_ask;
    account->spent_in_ask = 0;
  }
  account->hops = 0;
  account->home_silent = false;
  if (account->granted_by != account->asked_home) account->unused = 0;
  account->granted_by = account->asked_home;
  account->answered_at = now;
  account->granted_in_full = item.retry_after_ms == 0;
  account->lease_share = static_cast<double>(item.lease_ppm) / kMillion;
  account->lease_until = asked_at + kQuotaLeaseMs;
  account->lease = LocalBucket{0, now};
  ServeWaiting(now, limit->terms, account, out);
  if (item.retry_after_ms > 0) {
    account->retry_after_ms = item.retry_after_ms;
    account->pause_ms = item.pause_ms;
    account->denied_until = now + std::min(item.pause_ms, item.retry_after_ms);
    account->scarce_until = now + kScarceMs;
    return RefuseWaiting(now, item.account, account, "denied", out);
  }
  // Requests that came after the ask.
  if (!account->waiting.empty() && !account->open)
    account->due = any_due_ = true;
}

void QuotaGate::Tick(TimeMs now, QuotaOutcome* out) {
  for (LogRecord& record : logs_) out->logs.push_back(std::move(record));
  logs_.clear();
  while (!asks_.empty() && now - asks_.begin()->second > kAskRetentionMs)
    asks_.erase(asks_.begin());
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    auto& [id, account] = *it;
    const QuotaLimits::Limit* limit =
        limits_ == nullptr ? nullptr : limits_->Find(id);
    if (limit == nullptr) {
      // The account is no longer limited.
      for (const Waiter& waiter : account.waiting)
        out->requests.push_back({waiter.id, QuotaDecision{}});
      it = accounts_.erase(it);
      continue;
    }
    TickAccount(now, id, limit->terms, &account, out);
    bool idle = account.waiting.empty() && account.held.empty() &&
                !account.open && !account.due && account.spent == 0 &&
                account.lease_share == 0 && now - account.used_at > kIdleMs;
    it = idle ? accounts_.erase(it) : std::next(it);
  }
}

void QuotaGate::TickAccount(TimeMs now, uint64_t id, const QuotaTerms& terms,
                            Account* account, QuotaOutcome* out) {
  if (account->open && now - account->asked_at >= kSilenceMs)
    account->home_silent = true;
  if (account->home_silent && !account->waiting.empty())
    ServeWaiting(now, terms, account, out);
  while (!account->waiting.empty() &&
         now >= account->waiting.front().give_up_at) {
    uint64_t request = account->waiting.front().id;
    account->waiting.pop_front();
    if (TakeAhead(now, account)) {
      QuotaDecision decision;
      decision.expires = now;
      out->requests.push_back({request, decision});
      continue;
    }
    account->retry_after_ms = std::max(account->retry_after_ms, kSilentRetryMs);
    LogRefusal(now, id, account, "home_silent");
    counters_.Add("quota_refused_total", "home_silent");
    out->requests.push_back({request, Refusal(account)});
  }
  if (account->open && now - account->asked_at >= account->repeat_ms) {
    account->open = false;
    account->repeat_ms = std::min(account->repeat_ms * 2, kMaxRepeatMs);
    counters_.Add("quota_asks_unanswered_total");
    if (!account->waiting.empty()) account->due = true;
  }
  bool idle = now - account->used_at > kLeaseIdleMs;
  if (account->lease_share > 0 && idle && !account->home_silent) {
    account->lease_share = 0;
    account->ends_lease = true;
    account->due = true;
  }
  if (account->lease_share > 0 && now >= account->lease_until)
    account->lease_share = 0;
  if (account->spent > 0) account->due = true;
  DropExpired(now, account);
  any_due_ = any_due_ || account->due;
}

void QuotaGate::DropTokens(TimeMs now) {
  asks_.clear();
  start_ = now;
  for (auto& [id, account] : accounts_) {
    account.held.clear();
    account.open = false;
    account.lease_share = 0;
    account.own = LocalBucket{0, now};
    if (!account.waiting.empty()) account.due = any_due_ = true;
  }
}

}  // namespace banyanloft
