#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "banyanloft/core/random.h"
#include "banyanloft/mesh/quota_gate.h"
#include "banyanloft/mesh/quota_home.h"
#include "banyanloft/mesh/quota_view.h"
#include "standins/event_queue.h"

using namespace banyanloft;

namespace {

constexpr int kDaemons = 81;
constexpr int kZones = 3;
constexpr int64_t kTickMs = 20;
constexpr int64_t kHomeTickMs = 100;
constexpr double kMsPerSecond = 1000;

/// Gates and homes of 81 daemons with a member view each, joined by messages
/// with delays. Member views change as those of Membership do: suspicion after
/// one to three seconds, unreachability after three to six, news of a member
/// within about a second, each at another time at each daemon.
class QuotaFleet {
 public:
  struct Decided {
    TimeMs at;
    int daemon = 0;
    bool taken = false;
    int64_t retry_after_ms = 0;
  };

  QuotaFleet(uint64_t seed, std::vector<ClientAccount> accounts)
      : random_(seed) {
    configuration_.accounts = std::move(accounts);
    nodes_.resize(kDaemons);
    gone_.resize(kDaemons);
    for (int i = 0; i < kDaemons; ++i) Start(i);
  }

  void Advance(int64_t ms) { events_.Run(ms); }
  TimeMs Now() const { return events_.Now(); }

  /// Runs for `ms` with Poisson arrivals at `per_s` for an account, each at a
  /// daemon that `choose` returns.
  void Drive(int64_t ms, const std::string& account, double per_s,
             const std::function<int()>& choose) {
    ScheduleArrival(static_cast<double>(Now().Value()), Now() + ms, account,
                    per_s, choose);
  }
  int RandomDaemon() { return static_cast<int>(random_.Below(kDaemons)); }
  int RandomOfZone(int zone) {
    return static_cast<int>(random_.Below(kDaemons / kZones)) * kZones + zone;
  }

  void Kill(int index) {
    nodes_[Index(index)].reset();
    for (int other = 0; other < kDaemons; ++other)
      LoseSight(other, index, IdOf(index));
  }
  /// A new process at the same address replaces the killed one.
  void Restart(int index) {
    gone_[Index(index)].push_back(IdOf(index));
    Start(index);
  }
  void Cut(int zone) {
    cut_zone_ = zone;
    for (int a = 0; a < kDaemons; ++a) {
      for (int b = 0; b < kDaemons; ++b) {
        if (!Connected(a, b)) LoseSight(a, b, IdOf(b));
      }
    }
  }
  void Heal() {
    int zone = cut_zone_;
    cut_zone_ = -1;
    for (int a = 0; a < kDaemons; ++a) {
      for (int b = 0; b < kDaemons; ++b) {
        if ((a % kZones == zone) == (b % kZones == zone)) continue;
        Learn(a, b, 100, 2000);
      }
    }
  }
  void SetRate(const std::string& name, double per_s) {
    for (ClientAccount& account : configuration_.accounts) {
      if (account.name == name) account.rate_per_s = per_s;
    }
    // Daemons adopt a version within 2.5 s.
    for (int i = 0; i < kDaemons; ++i) {
      events_.Schedule(Between(50, 2400), [this, i] {
        if (nodes_[Index(i)]) nodes_[Index(i)]->ApplyLimits(Now());
      });
    }
  }
  void SetLoss(int permille) { loss_permille_ = permille; }
  void SetDelay(int64_t min_ms, int64_t max_ms) {
    min_delay_ms_ = min_ms;
    max_delay_ms_ = max_ms;
  }

  /// Largest number of requests of an account that were let through in a
  /// sliding window, which ends at `from` or later.
  size_t WorstWindow(const std::string& account, TimeMs from = TimeMs(),
                     int64_t window_ms = 5000) const {
    std::vector<TimeMs> taken;
    auto it = decided_.find(account);
    if (it == decided_.end()) return 0;
    for (const Decided& d : it->second) {
      if (d.taken) taken.push_back(d.at);
    }
    size_t worst = 0;
    size_t first = 0;
    for (size_t last = 0; last < taken.size(); ++last) {
      while (taken[last] - taken[first] >= window_ms) ++first;
      if (taken[last] >= from && last - first + 1 > worst) {
        worst = last - first + 1;
        worst_end_ = taken[last];
      }
    }
    return worst;
  }
  size_t Count(const std::string& account, bool taken, TimeMs from,
               TimeMs to) const {
    auto it = decided_.find(account);
    if (it == decided_.end()) return 0;
    return static_cast<size_t>(std::count_if(
        it->second.begin(), it->second.end(), [&](const Decided& d) {
          return d.taken == taken && d.at >= from && d.at < to;
        }));
  }
  const std::vector<Decided>& DecidedOf(const std::string& account) {
    return decided_[account];
  }
  TimeMs WorstEnd() const { return worst_end_; }
  uint64_t Messages() const { return messages_; }
  int HomeOf(const std::string& account) const {
    for (int i = 0; i < kDaemons; ++i) {
      if (nodes_[Index(i)] &&
          nodes_[Index(i)]->view.HomeOf(QuotaAccountId(account)) == IdOf(i))
        return i;
    }
    return -1;
  }
  size_t BoundOf(const std::string& name) const {
    for (const ClientAccount& account : configuration_.accounts) {
      if (account.name == name)
        return static_cast<size_t>(
            (account.rate_per_s * 5 + account.burst) * 1.1 + 20);
    }
    return 0;
  }

 private:
  struct Node {
    Node(MemberId member, uint64_t seed, TimeMs now,
         const RouteConfiguration* configuration)
        : id(member),
          config(configuration),
          view(QuotaViewSettings(), member, now),
          home(&view),
          gate(&view, seed, now) {
      ApplyLimits(now);
    }
    void ApplyLimits(TimeMs now) {
      home.SetLimits(now, nullptr);
      limits = QuotaLimits(QuotaSettings(), *config);
      home.SetLimits(now, &limits);
      gate.SetLimits(&limits);
    }
    MemberId id;
    const RouteConfiguration* config;
    QuotaLimits limits;
    QuotaView view;
    QuotaHome home;
    QuotaGate gate;
    std::map<MemberId, QuotaMember> members;
    std::map<uint64_t, std::string> open;
  };

  static size_t Index(int index) { return static_cast<size_t>(index); }
  MemberId IdOf(int index) const { return ids_.at(index); }
  bool Connected(int a, int b) const {
    return cut_zone_ < 0 ||
           (a % kZones == cut_zone_) == (b % kZones == cut_zone_);
  }
  int64_t Between(int64_t min, int64_t max) {
    return min + static_cast<int64_t>(
                     random_.Below(static_cast<uint64_t>(max - min + 1)));
  }

  void Start(int index) {
    MemberId id = next_id_++;
    ids_[index] = id;
    index_of_[id] = index;
    nodes_[Index(index)] =
        std::make_unique<Node>(id, random_.Bits(), Now(), &configuration_);
    for (int other = 0; other < kDaemons; ++other) {
      if (other == index) continue;
      Learn(other, index, 50, 1200);
      if (ids_.count(other) > 0) Learn(index, other, 50, 1000);
    }
    events_.Schedule(Between(1, kTickMs),
                     [this, index, id] { Tick(index, id); });
  }
  /// Daemon `at` learns that `of` is alive and that its predecessors are gone.
  void Learn(int at, int of, int64_t min_ms, int64_t max_ms) {
    MemberId id = IdOf(of);
    events_.Schedule(Between(min_ms, max_ms), [this, at, of, id] {
      Node* node = nodes_[Index(at)].get();
      if (node == nullptr || !Connected(at, of) || IdOf(of) != id ||
          !nodes_[Index(of)])
        return;
      for (MemberId gone : gone_[Index(of)]) node->members.erase(gone);
      QuotaMember member;
      member.id = id;
      node->members[id] = member;
    });
  }
  void LoseSight(int at, int of, MemberId id) {
    if (at == of) return;
    auto change = [this, at, of, id](bool reachable) {
      Node* node = nodes_[Index(at)].get();
      bool restored = Connected(at, of) && nodes_[Index(of)] && IdOf(of) == id;
      if (node == nullptr || node->members.count(id) == 0 || restored) return;
      node->members[id].suspect = reachable;
      node->members[id].reachable = reachable;
    };
    events_.Schedule(Between(1000, 3000), [change] { change(true); });
    events_.Schedule(Between(3000, 6000), [change] { change(false); });
  }

  /// Schedules the next arrival after `last_ms`, which has fractions so that
  /// high rates are met.
  void ScheduleArrival(double last_ms, TimeMs end, const std::string& account,
                       double per_s, const std::function<int()>& choose) {
    double uniform =
        (static_cast<double>(random_.Below(1000000)) + 1) / 1000001.0;
    double next_ms = last_ms - std::log(uniform) / per_s * kMsPerSecond;
    TimeMs at(static_cast<int64_t>(next_ms));
    if (at >= end) return;
    events_.Schedule(at - Now(), [this, next_ms, end, account, per_s, choose] {
      Request(choose(), account);
      ScheduleArrival(next_ms, end, account, per_s, choose);
    });
  }

  void Request(int index, const std::string& account) {
    Node* node = nodes_[Index(index)].get();
    if (node == nullptr) return;
    uint64_t id = next_request_++;
    QuotaDecision decision = node->gate.Take(Now(), id, account);
    if (decision.verdict == QuotaDecision::Verdict::kAsk) {
      node->open[id] = account;
    } else {
      Record(index, account, decision);
    }
    Flush(index);
  }
  void Record(int index, const std::string& account,
              const QuotaDecision& decision) {
    decided_[account].push_back(
        {Now(), index, decision.verdict == QuotaDecision::Verdict::kTaken,
         decision.retry_after_ms});
  }
  void Apply(int index, const QuotaOutcome& outcome) {
    Node* node = nodes_[Index(index)].get();
    for (const QuotaOutcome::Request& request : outcome.requests) {
      Record(index, node->open.at(request.id), request.decision);
      node->open.erase(request.id);
    }
  }
  void Flush(int index) {
    for (int round = 0; round < 3; ++round) {
      Node* node = nodes_[Index(index)].get();
      QuotaOutcome outcome;
      std::vector<QuotaGate::SendAsk> asks = node->gate.Flush(Now(), &outcome);
      for (QuotaGate::SendAsk& send : asks) {
        if (send.home == node->id) {
          QuotaGrant grant = node->home.OnAsk(Now(), node->id, send.ask);
          node->gate.OnGrant(Now(), grant, &outcome);
        } else {
          SendAskTo(index, send);
        }
      }
      Apply(index, outcome);
      if (asks.empty()) return;
    }
  }
  void Deliver(int from, MemberId to, const std::function<void(int)>& handle) {
    ++messages_;
    auto it = index_of_.find(to);
    if (it == index_of_.end() || random_.ChancePermille(loss_permille_)) return;
    int index = it->second;
    events_.Schedule(Between(min_delay_ms_, max_delay_ms_), [this, from, to,
                                                             index, handle] {
      if (!Connected(from, index) || IdOf(index) != to || !nodes_[Index(index)])
        return;
      handle(index);
    });
  }
  void SendAskTo(int from, const QuotaGate::SendAsk& send) {
    MemberId sender = IdOf(from);
    Deliver(from, send.home, [this, sender, ask = send.ask](int home) {
      QuotaGrant grant = nodes_[Index(home)]->home.OnAsk(Now(), sender, ask);
      Deliver(home, sender, [this, grant](int back) {
        QuotaOutcome outcome;
        nodes_[Index(back)]->gate.OnGrant(Now(), grant, &outcome);
        Apply(back, outcome);
        Flush(back);
      });
    });
  }
  void Tick(int index, MemberId id) {
    Node* node = nodes_[Index(index)].get();
    if (node == nullptr || node->id != id) return;
    if (Now() >= next_home_tick_[index]) {
      next_home_tick_[index] = Now() + kHomeTickMs;
      std::vector<QuotaMember> members;
      for (const auto& [member_id, member] : node->members)
        members.push_back(member);
      node->view.Update(Now(), members, kDaemons);
      for (QuotaHome::SendHandover& send : node->home.Tick(Now())) {
        Deliver(index, send.to, [this, handover = send.handover](int to) {
          nodes_[Index(to)]->home.OnHandover(Now(), handover);
        });
      }
    }
    QuotaOutcome outcome;
    node->gate.Tick(Now(), &outcome);
    Apply(index, outcome);
    Flush(index);
    events_.Schedule(kTickMs, [this, index, id] { Tick(index, id); });
  }

  Random random_;
  EventQueue events_{TimeMs(100000)};
  RouteConfiguration configuration_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<int, MemberId> ids_;
  std::map<MemberId, int> index_of_;
  std::vector<std::vector<MemberId>> gone_;
  std::map<int, TimeMs> next_home_tick_;
  std::map<std::string, std::vector<Decided>> decided_;
  MemberId next_id_ = 1000;
  uint64_t next_request_ = 1;
  uint64_t messages_ = 0;
  mutable TimeMs worst_end_;
  int cut_zone_ = -1;
  int loss_permille_ = 0;
  int64_t min_delay_ms_ = 1;
  int64_t max_delay_ms_ = 5;
};

ClientAccount Account(const std::string& name, double rate_per_s,
                      double burst) {
  ClientAccount account;
  account.name = name;
  account.rate_per_s = rate_per_s;
  account.burst = burst;
  return account;
}

}  // namespace

TEST_GROUP(quota_fleet) {
  std::unique_ptr<QuotaFleet> fleet_;
  TimeMs start_;

  /// Starts the fleet and waits until every daemon knows the homes.
  void Begin(uint64_t seed, std::vector<ClientAccount> accounts) {
    fleet_ = std::make_unique<QuotaFleet>(seed, std::move(accounts));
    fleet_->Advance(8000);
    start_ = fleet_->Now();
  }
  std::function<int()> Anywhere() {
    return [this] { return fleet_->RandomDaemon(); };
  }
  std::function<int()> InZone(int zone) {
    return [this, zone] { return fleet_->RandomOfZone(zone); };
  }
  void CheckBound(const std::string& account) {
    size_t worst = fleet_->WorstWindow(account);
    std::string text = fmt::format(
        "{}: {} in a window that ends at {} ms, bound {}", account, worst,
        fleet_->WorstEnd() - start_, fleet_->BoundOf(account));
    CHECK_TEXT(worst <= fleet_->BoundOf(account), text.c_str());
  }
  size_t Taken(const std::string& account) {
    return fleet_->Count(account, true, start_, fleet_->Now());
  }
  size_t Refused(const std::string& account) {
    return fleet_->Count(account, false, start_, fleet_->Now());
  }
};

/// Guards against more than the quota for an account that asks six times its
/// limit, and against unused quota while it asks.
TEST(quota_fleet, accountAsksSixTimesItsLimit_getsItsQuotaAndNoMore) {
  for (double burst : {0.0, 200.0}) {
    Begin(1, {Account("hot", 200, burst)});
    fleet_->Drive(30000, "hot", 1200, Anywhere());
    fleet_->Advance(31000);
    CheckBound("hot");
    CHECK_TEXT(Taken("hot") >= 200 * 30 * 97 / 100,
               fmt::format("{} taken", Taken("hot")).c_str());
  }
}

/// The same at one daemon, which must not get less than its part by asking
/// too rarely.
TEST(quota_fleet, hotAccountAtOneDaemon_getsItsQuotaAndNoMore) {
  Begin(2, {Account("hot", 300, 0)});
  fleet_->Drive(20000, "hot", 1800, [] { return 5; });
  fleet_->Advance(21000);
  CheckBound("hot");
  CHECK_TEXT(Taken("hot") >= 300 * 20 * 95 / 100,
             fmt::format("{} taken", Taken("hot")).c_str());
}

/// Guards against refusals of a small account: each daemon's part of its limit
/// is far below one request.
TEST(quota_fleet, smallAccountOverAllDaemons_isNotRefused) {
  Begin(3, {Account("small", 3, 3), Account("other", 3, 0)});
  fleet_->Drive(120000, "small", 2, Anywhere());
  fleet_->Drive(120000, "other", 1.8, Anywhere());
  fleet_->Advance(121000);
  LONGS_EQUAL(0, Refused("small"));
  LONGS_EQUAL(0, Refused("other"));
  CHECK(Taken("small") > 200);
}

/// Guards against quota that stays at daemons which an account's clients have
/// left.
TEST(quota_fleet, demandMovesBetweenZones_isNotRefused) {
  Begin(4, {Account("a", 200, 200)});
  for (int i = 0; i < 12; ++i) {
    fleet_->Drive(3000, "a", 185, InZone(i % kZones));
    fleet_->Advance(3000);
  }
  fleet_->Advance(1000);
  CheckBound("a");
  LONGS_EQUAL(0, Refused("a"));
}

/// Guards against a quota granted twice, on both sides of a partition.
TEST(quota_fleet, hotAccountInPartition_boundHolds) {
  for (uint64_t seed = 10; seed < 12; ++seed) {
    std::vector<ClientAccount> accounts;
    for (int i = 0; i < 4; ++i)
      accounts.push_back(
          Account(fmt::format("hot{}", i), 150, i % 2 == 0 ? 0 : 150));
    Begin(seed, accounts);
    for (const ClientAccount& account : accounts)
      fleet_->Drive(40000, account.name, 600, Anywhere());
    fleet_->Advance(8000);
    fleet_->Cut(1);
    fleet_->Advance(6000);
    fleet_->Heal();
    fleet_->Advance(28000);
    for (const ClientAccount& account : accounts) {
      CheckBound(account.name);
      CHECK(Taken(account.name) >= 150 * 40 * 7 / 10);
    }
  }
}

/// The same for a partition that lasts, in which both sides choose new homes.
TEST(quota_fleet,
     hotAccountInLongPartition_boundHoldsAndBothSidesGetTheirPart) {
  for (uint64_t seed = 20; seed < 22; ++seed) {
    std::vector<ClientAccount> accounts;
    for (int i = 0; i < 4; ++i)
      accounts.push_back(Account(fmt::format("hot{}", i), 150, 0));
    Begin(seed, accounts);
    for (const ClientAccount& account : accounts)
      fleet_->Drive(70000, account.name, 600, Anywhere());
    fleet_->Advance(8000);
    fleet_->Cut(2);
    fleet_->Advance(30000);
    TimeMs healed = fleet_->Now();
    fleet_->Heal();
    fleet_->Advance(33000);
    for (const ClientAccount& account : accounts) {
      CheckBound(account.name);
      // All but the time of detection.
      size_t late = fleet_->Count(account.name, true, healed - 15000, healed);
      CHECK(late >= 150 * 15 * 85 / 100);
    }
  }
}

/// Guards against lost quota in a partition for accounts below their limit
/// whose daemons had been using it.
TEST(quota_fleet, accountBelowLimitInPartition_isMostlyServed) {
  Begin(30, {Account("a", 400, 200)});
  int home = fleet_->HomeOf("a");
  // The home is on the other side.
  int zone = (home + 1) % kZones;
  fleet_->Drive(20000, "a", 250, Anywhere());
  fleet_->Advance(8000);
  fleet_->Cut(zone);
  fleet_->Advance(6000);
  fleet_->Heal();
  fleet_->Advance(8000);
  CheckBound("a");
  size_t all = Taken("a") + Refused("a");
  CHECK_TEXT(Refused("a") * 100 <= all * 15,
             fmt::format("{} of {} refused", Refused("a"), all).c_str());
}

/// Guards against a quota granted again by the successor of a killed home, or
/// by all daemons that start at once.
TEST(quota_fleet, daemonsKilledAndRestarted_boundHolds) {
  for (uint64_t seed = 40; seed < 41; ++seed) {
    std::vector<ClientAccount> accounts;
    for (int i = 0; i < 4; ++i)
      accounts.push_back(
          Account(fmt::format("hot{}", i), 150, i % 2 == 0 ? 0 : 100));
    Begin(seed, accounts);
    for (const ClientAccount& account : accounts)
      fleet_->Drive(90000, account.name, 700, Anywhere());
    fleet_->Advance(6000);
    for (const ClientAccount& account : accounts) {
      int home = fleet_->HomeOf(account.name);
      if (home < 0) continue;
      fleet_->Kill(home);
      fleet_->Advance(1500);
      fleet_->Restart(home);
      fleet_->Advance(3000);
    }
    fleet_->Advance(8000);
    for (int i = 0; i < 20; ++i) fleet_->Kill(i * 4);
    fleet_->Advance(2000);
    for (int i = 0; i < 20; ++i) fleet_->Restart(i * 4);
    fleet_->Advance(15000);
    for (int i = 0; i < kDaemons; ++i) fleet_->Kill(i);
    fleet_->Advance(1500);
    for (int i = 0; i < kDaemons; ++i) fleet_->Restart(i);
    fleet_->Advance(45000);
    for (const ClientAccount& account : accounts) CheckBound(account.name);
  }
}

/// Guards against refusals while a daemon joins and takes over accounts.
TEST(quota_fleet, homeRestartsOrderlyAndJoins_accountBelowLimitIsServed) {
  Begin(50, {Account("a", 200, 200)});
  fleet_->Drive(60000, "a", 120, Anywhere());
  int home = fleet_->HomeOf("a");
  fleet_->Kill(home);
  fleet_->Advance(1000);
  fleet_->Restart(home);
  fleet_->Advance(15000);
  TimeMs settled = fleet_->Now();
  for (int i = 0; i < 10; ++i) {
    int other = (home + 7 + i * 8) % kDaemons;
    if (other == fleet_->HomeOf("a")) continue;
    fleet_->Kill(other);
    fleet_->Advance(1000);
    fleet_->Restart(other);
    fleet_->Advance(2500);
  }
  fleet_->Advance(10000);
  CheckBound("a");
  size_t refused = fleet_->Count("a", false, settled, fleet_->Now());
  size_t taken = fleet_->Count("a", true, settled, fleet_->Now());
  CHECK_TEXT(refused * 200 <= taken,
             fmt::format("{} refused, {} taken", refused, taken).c_str());
}

/// Guards against the use of a former, higher limit.
TEST(quota_fleet, lowerLimitByNewVersion_appliesWithinItsTime) {
  Begin(60, {Account("a", 400, 100)});
  fleet_->Drive(30000, "a", 900, Anywhere());
  fleet_->Advance(10000);
  CHECK(fleet_->WorstWindow("a") <= fleet_->BoundOf("a"));
  fleet_->SetRate("a", 100);
  TimeMs in_force = fleet_->Now() + 2500;
  fleet_->Advance(21000);
  size_t worst = fleet_->WorstWindow("a", in_force + 5000);
  CHECK_TEXT(worst <= fleet_->BoundOf("a"), fmt::format("{}", worst).c_str());
}

/// Guards against tokens counted twice or never when messages are lost or slow.
TEST(quota_fleet, messagesAreLostOrSlow_boundHoldsAndFewAreRefused) {
  Begin(70, {Account("hot", 150, 0), Account("calm", 150, 100)});
  fleet_->SetLoss(50);
  fleet_->Drive(30000, "hot", 900, Anywhere());
  fleet_->Drive(30000, "calm", 100, Anywhere());
  fleet_->Advance(30000);
  fleet_->SetLoss(0);
  fleet_->SetDelay(5, 60);
  fleet_->Drive(30000, "hot", 900, Anywhere());
  fleet_->Drive(30000, "calm", 100, Anywhere());
  fleet_->Advance(31000);
  CheckBound("hot");
  CheckBound("calm");
  CHECK_TEXT(
      Refused("calm") * 100 <= Taken("calm"),
      fmt::format("{} of {} refused", Refused("calm"), Taken("calm")).c_str());
}

/// Guards against a message for each request where an account's rate is high.
TEST(quota_fleet, highRateAtFewDaemons_fewMessagesPerRequest) {
  Begin(80, {Account("a", 400, 200)});
  uint64_t before = fleet_->Messages();
  fleet_->Drive(20000, "a", 300, [this] { return fleet_->RandomDaemon() % 9; });
  fleet_->Advance(21000);
  LONGS_EQUAL(0, Refused("a"));
  uint64_t messages = fleet_->Messages() - before;
  CHECK_TEXT(
      messages * 2 <= Taken("a"),
      fmt::format("{} messages, {} requests", messages, Taken("a")).c_str());
}
