#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "banyanloft/core/counters.h"
#include "banyanloft/core/log.h"
#include "banyanloft/core/random.h"
#include "banyanloft/mesh/mesh_message.h"
#include "banyanloft/mesh/quota_terms.h"
#include "banyanloft/mesh/quota_view.h"

namespace banyanloft {

/// Decision on a request of a limited account.
struct QuotaDecision {
  enum class Verdict : uint8_t {
    kTaken,    ///< It took a token and may be sent.
    kAsk,      ///< It waits for tokens from the account's home.
    kRefused,  ///< The account is over its quota.
  };
  Verdict verdict = Verdict::kTaken;
  TimeMs expires;              ///< With kTaken: when the token ends.
  int64_t retry_after_ms = 0;  ///< With kRefused.
};

/// Decisions on requests that waited, in the order in which they are due.
struct QuotaOutcome {
  struct Request {
    uint64_t id = 0;
    QuotaDecision decision;
  };
  std::vector<Request> requests;
  std::vector<LogRecord> logs;  ///< Bounded in rate for each account.
};

/// Holds tokens for the requests that enter at this daemon, and asks the homes
/// of their accounts for more. Deterministic; not thread safe; performs no I/O.
class QuotaGate {
 public:
  struct SendAsk {
    MemberId home = 0;  ///< May be this daemon.
    QuotaAsk ask;
  };

  /// `view` must outlive this object.
  QuotaGate(const QuotaView* view, uint64_t seed, TimeMs now)
      : view_(view), random_(seed), start_(now) {}

  /// Sets the limits of a new version. They must outlive their use here.
  void SetLimits(const QuotaLimits* limits) { limits_ = limits; }
  /// Decides on request `id` of an account.
  QuotaDecision Take(TimeMs now, uint64_t id, const std::string& account);
  /// A request that had taken a token was refused without having run.
  void GiveBack(TimeMs now, const std::string& account, TimeMs expires);
  /// A request is sent once more, although it may have run before.
  void Charge(TimeMs now, const std::string& account);
  /// A waiting request has ended.
  void Remove(const std::string& account, uint64_t id);
  /// A home answered.
  void OnGrant(TimeMs now, const QuotaGrant& grant, QuotaOutcome* out);
  /// Ends the wait of requests and plans asks; call it about every 20 ms.
  void Tick(TimeMs now, QuotaOutcome* out);
  /// The asks that are due, one for each home.
  std::vector<SendAsk> Flush(TimeMs now, QuotaOutcome* out);
  /// Drops all tokens and leases, because this process was suspended.
  void DropTokens(TimeMs now);

  size_t Accounts() const { return accounts_.size(); }
  const Counters& Counts() const { return counters_; }

 private:
  struct Batch {
    TimeMs expires;
    int tokens = 0;
  };
  struct Waiter {
    uint64_t id = 0;
    TimeMs give_up_at;
  };
  /// Tokens that become available at a rate without messages.
  struct LocalBucket {
    double tokens = 0;
    TimeMs filled_at;
    void Fill(TimeMs now, double rate_per_s, double capacity);
    bool Take();
  };
  struct Account {
    double rate_per_s = 0;  ///< Of requests that entered here, estimated.
    TimeMs used_at;
    std::deque<Batch> held;  ///< Soonest to end first.
    std::deque<Waiter> waiting;
    // The ask for this account, at most one at a time.
    bool due = false;
    bool open = false;
    uint64_t sequence = 0;
    TimeMs asked_at;
    TimeMs ask_from;  ///< No ask before.
    int64_t repeat_ms = 0;
    int spent_in_ask = 0;
    bool ends_lease = false;
    int hops = 0;  ///< Daemons asked in turn that were not the home.
    MemberId redirect = 0;
    TimeMs redirect_until;
    // The last answers.
    TimeMs denied_until;  ///< No use asking before.
    TimeMs scarce_until;  ///< Asks include predicted requests as needed.
    int64_t pause_ms = 0;
    int64_t retry_after_ms = 0;
    bool granted_in_full = false;  ///< The last answer.
    TimeMs answered_at;
    MemberId asked_home = 0;
    MemberId granted_by = 0;
    int unused = 0;  ///< Tokens of that home that have ended, not yet reported.
    TimeMs unused_at;
    // Use without an answer.
    int spent = 0;           ///< Requests without a token, not yet reported.
    double lease_share = 0;  ///< Of the account's rate.
    TimeMs lease_until;
    LocalBucket lease;
    bool home_silent = false;
    TimeMs alone_until;  ///< No daemon is the home.
    LocalBucket own;
    TimeMs refusal_logged_at;
    bool refusal_logged = false;
  };

  Account* FindOrCreate(TimeMs now, uint64_t id);
  void CountUse(TimeMs now, Account* account);
  void DropExpired(TimeMs now, Account* account);
  bool TakeHeld(TimeMs now, Account* account, TimeMs* expires);
  bool TakeLease(TimeMs now, const QuotaTerms& terms, Account* account);
  bool TakeOwn(TimeMs now, const QuotaTerms& terms, Account* account);
  bool TakeAhead(TimeMs now, Account* account);
  bool TakeLocal(TimeMs now, const QuotaTerms& terms, Account* account);
  void ServeWaiting(TimeMs now, const QuotaTerms& terms, Account* account,
                    QuotaOutcome* out);
  void RefuseWaiting(TimeMs now, uint64_t id, Account* account,
                     const char* reason, QuotaOutcome* out);
  QuotaDecision Refusal(Account* account);
  void LogRefusal(TimeMs now, uint64_t id, Account* account,
                  const char* reason);
  MemberId HomeFor(TimeMs now, uint64_t id, const Account& account) const;
  QuotaAsk::Item ItemFor(TimeMs now, uint64_t id, const QuotaTerms& terms,
                         Account* account);
  void Apply(TimeMs now, const QuotaGrant::Item& item, TimeMs asked_at,
             bool current, Account* account, QuotaOutcome* out);
  void ApplyTokens(TimeMs now, const QuotaGrant::Item& item, TimeMs asked_at,
                   bool current, Account* account, QuotaOutcome* out);
  void TickAccount(TimeMs now, uint64_t id, const QuotaTerms& terms,
                   Account* account, QuotaOutcome* out);
  int Held(const Account& account) const;

  const QuotaView* view_;
  Random random_;
  TimeMs start_;
  const QuotaLimits* limits_ = nullptr;
  std::map<uint64_t, Account> accounts_;
  std::map<uint64_t, TimeMs> asks_;  ///< Unanswered ones, by sequence.
  uint64_t next_sequence_ = 1;
  bool any_due_ = false;
  std::vector<LogRecord> logs_;  ///< Not handed out yet.
  Counters counters_;
};

}  // namespace banyanloft
