#include <CppUTest/TestHarness.h>

#include "banyanloft/links/peer_message.h"
#include "banyanloft/mesh/forwarder.h"
#include "banyanloft/mesh/quota_gate.h"
#include "banyanloft/mesh/quota_home.h"
#include "banyanloft/mesh/quota_terms.h"
#include "banyanloft/mesh/quota_view.h"
#include "standins/mesh_fleet.h"

using namespace banyanloft;

namespace {

using Verdict = QuotaDecision::Verdict;

constexpr MemberId kSelf = 7;
constexpr char kName[] = "acme";
const uint64_t kAccount = QuotaAccountId(kName);

RouteConfiguration WithAccount(double rate_per_s, double burst) {
  RouteConfiguration configuration;
  ClientAccount account;
  account.name = kName;
  account.api_keys = {"key-1"};
  account.rate_per_s = rate_per_s;
  account.burst = burst;
  configuration.accounts.push_back(account);
  return configuration;
}

QuotaMember Member(MemberId id) {
  QuotaMember member;
  member.id = id;
  return member;
}

QuotaAsk AskFor(int needed, int wanted = 0, int spent = 0) {
  QuotaAsk ask;
  ask.sequence = 1;
  QuotaAsk::Item item;
  item.account = kAccount;
  item.needed = needed;
  item.wanted = wanted > needed ? wanted : needed;
  item.spent = spent;
  ask.items.push_back(item);
  return ask;
}

}  // namespace

TEST_GROUP(quota_terms){};

/// Guards against terms that use more than the bound, for any account.
TEST(quota_terms, bucketAndLifetimeTogether_stayBelowTheBound) {
  QuotaSettings settings;
  for (double rate : {0.5, 3.0, 20.0, 200.0, 2000.0}) {
    for (double burst : {0.0, 1.0, 50.0, 1000.0}) {
      QuotaTerms terms = TermsOf(settings, rate, burst);
      double bound = (rate * 5 + burst) * 1.1 + 20;
      double worst = terms.capacity +
                     rate * (5 + static_cast<double>(terms.life_ms) / 1000.0);
      CHECK(worst <= bound);
      CHECK(terms.capacity >= 1);
    }
  }
}

TEST(quota_terms, accountWithoutRate_isNotLimited) {
  CHECK(QuotaLimits(QuotaSettings(), WithAccount(0, 10)).Empty());
  CHECK(QuotaLimits(QuotaSettings(), WithAccount(1, 0)).Find(kAccount) !=
        nullptr);
}

TEST_GROUP(quota_view) {
  QuotaView view_{QuotaViewSettings(), kSelf, TimeMs(0)};
  /// An account whose home, of two members, is the other one.
  uint64_t OthersAccount(MemberId other) {
    view_.Update(TimeMs(10000), {Member(other)}, 0);
    view_.Update(TimeMs(20000), {Member(other)}, 0);
    uint64_t account = 1;
    while (view_.HomeOf(account) != other) ++account;
    return account;
  }
};

/// Guards against two homes: one that just started and one that runs.
TEST(quota_view, daemonHasJustStarted_isNotTheHome) {
  view_.Update(TimeMs(100), {}, 0);
  LONGS_EQUAL(0, view_.HomeOf(kAccount));
  view_.Update(TimeMs(4000), {}, 0);
  LONGS_EQUAL(kSelf, view_.HomeOf(kAccount));
}

TEST(quota_view, membersAreUnreachable_shareOfTheRateFalls) {
  QuotaMember lost = Member(12);
  lost.reachable = false;
  QuotaMember suspect = Member(13);
  suspect.suspect = true;
  view_.Update(TimeMs(100), {Member(11), Member(12), Member(13)}, 0);
  DOUBLES_EQUAL(1.0, view_.LiveShare(), 1e-9);
  view_.Update(TimeMs(200), {Member(11), lost, suspect}, 0);
  DOUBLES_EQUAL(0.5, view_.LiveShare(), 1e-9);
  view_.Update(TimeMs(300), {Member(11), Member(12), Member(13)}, 0);
  DOUBLES_EQUAL(0.75, view_.LiveShare(), 1e-9);
  view_.Update(TimeMs(6000), {Member(11), Member(12), Member(13)}, 0);
  DOUBLES_EQUAL(1.0, view_.LiveShare(), 1e-9);
}

TEST(quota_view, viewIsIncomplete_shareCountsTheRecordedFleet) {
  view_.Update(TimeMs(100), {Member(11)}, 8);
  DOUBLES_EQUAL(0.25, view_.LiveShare(), 1e-9);
}

TEST(quota_view, homeIsLost_successorWaitsUntilItsLeasesEnd) {
  uint64_t account = OthersAccount(11);
  QuotaMember lost = Member(11);
  lost.reachable = false;
  view_.Update(TimeMs(30000), {lost}, 0);
  LONGS_EQUAL(kSelf, view_.HomeOf(account));
  LONGS_EQUAL(33000, view_.HomeSince(account).Value());
}

TEST(quota_view, homeIsReplaced_successorWaitsForAWholeLease) {
  uint64_t account = OthersAccount(11);
  view_.Update(TimeMs(30000), {}, 0);
  LONGS_EQUAL(30000 + kQuotaLeaseMs, view_.HomeSince(account).Value());
}

TEST(quota_view, homeReturnsBeforeItsSuccessorGrants_nothingChanges) {
  uint64_t account = OthersAccount(11);
  QuotaMember lost = Member(11);
  lost.reachable = false;
  view_.Update(TimeMs(30000), {lost}, 0);
  view_.Update(TimeMs(31000), {Member(11)}, 0);
  LONGS_EQUAL(11, view_.HomeOf(account));
  LONGS_EQUAL(3500, view_.HomeSince(account).Value());
}

TEST_GROUP(quota_home) {
  QuotaView view_{QuotaViewSettings(), kSelf, TimeMs(0)};
  QuotaHome home_{&view_};
  QuotaLimits limits_;

  void setup() override { Limit(10, 0); }
  void Limit(double rate_per_s, double burst, int64_t now = 0) {
    home_.SetLimits(TimeMs(now), nullptr);
    limits_ = QuotaLimits(QuotaSettings(), WithAccount(rate_per_s, burst));
    home_.SetLimits(TimeMs(now), &limits_);
  }
  QuotaGrant::Item Ask(int64_t now, uint64_t from, const QuotaAsk& ask) {
    view_.Update(TimeMs(now), {}, 0);
    return home_.OnAsk(TimeMs(now), from, ask).items.at(0);
  }
};

/// Guards against a full bucket at a daemon that has just become the home,
/// while tokens of the former home are in use.
TEST(quota_home, daemonHasJustBecomeHome_bucketIsEmpty) {
  QuotaGrant::Item item = Ask(3500, 1, AskFor(1));
  CHECK(item.status == QuotaStatus::kGranted);
  LONGS_EQUAL(0, item.tokens);
  CHECK(item.retry_after_ms > 0);
  LONGS_EQUAL(1, Ask(3700, 1, AskFor(1)).tokens);
}

TEST(quota_home, asks_neverGetMoreThanBucketAndRate) {
  int tokens = 0;
  for (int64_t now = 10000; now < 20000; now += 10)
    tokens += Ask(now, static_cast<uint64_t>(now % 70), AskFor(3)).tokens;
  double most = TermsOf(QuotaSettings(), 10, 0).capacity + 100;
  CHECK(tokens <= most);
  CHECK(tokens >= most - 2);
}

/// Guards against prefetched tokens that are missing elsewhere.
TEST(quota_home, bucketIsBelowHalf_predictedTokensAreNotGranted) {
  LONGS_EQUAL(4, Ask(60000, 1, AskFor(1, 6)).tokens);
  LONGS_EQUAL(1, Ask(60000, 1, AskFor(1, 6)).tokens);
}

TEST(quota_home, daemonIsNotTheHome_saysSoAndGrantsNothing) {
  view_.Update(TimeMs(10000), {Member(11)}, 0);
  view_.Update(TimeMs(20000), {Member(11)}, 0);
  RouteConfiguration other = WithAccount(10, 0);
  int number = 0;
  while (view_.HomeOf(QuotaAccountId(other.accounts[0].name)) != 11)
    other.accounts[0].name = "a" + std::to_string(++number);
  limits_ = QuotaLimits(QuotaSettings(), other);
  QuotaAsk ask = AskFor(1);
  ask.items[0].account = QuotaAccountId(other.accounts[0].name);
  QuotaGrant::Item item = home_.OnAsk(TimeMs(20000), 1, ask).items.at(0);
  CHECK(item.status == QuotaStatus::kNotHome);
  LONGS_EQUAL(0, item.tokens);
  LONGS_EQUAL(11, item.home);
}

/// Guards against tokens for others that a silent daemon uses under its lease.
TEST(quota_home, daemonWithLeaseIsSilent_itsRateIsReserved) {
  Limit(100, 0);
  for (int64_t now = 60000; now < 63000; now += 100) Ask(now, 1, AskFor(10));
  int64_t lease_ppm = Ask(63000, 1, AskFor(10)).lease_ppm;
  CHECK(lease_ppm > 900000);
  int tokens = 0;
  for (int64_t now = 63100; now < 67500; now += 100) {
    view_.Update(TimeMs(now), {}, 0);
    home_.Tick(TimeMs(now));
    if (now > 64000) tokens += Ask(now, 2, AskFor(20)).tokens;
  }
  CHECK(tokens < 100);
}

/// Guards against a lease that stays reserved although it was not used.
TEST(quota_home, silentDaemonReturns_unusedReserveIsGrantedAgain) {
  Limit(100, 0);
  for (int64_t now = 60000; now <= 63000; now += 100) Ask(now, 1, AskFor(10));
  for (int64_t now = 63100; now <= 65000; now += 100) home_.Tick(TimeMs(now));
  QuotaGrant::Item item = Ask(65000, 1, AskFor(15, 15, 0));
  CHECK(item.tokens >= 12);
}

/// Guards against tokens of many leases that are granted all at once after a
/// partition: 54 daemons got the rate of three seconds within one.
TEST(quota_home, manyDaemonsReturnAfterTheirLeases_noReserveIsGrantedAgain) {
  Limit(200, 0);
  for (int64_t now = 60000; now < 64000; now += 10)
    Ask(now, static_cast<uint64_t>(now / 10 % 20), AskFor(3));
  for (int64_t now = 64000; now <= 72000; now += 100) home_.Tick(TimeMs(now));
  int tokens = 0;
  for (uint64_t from = 0; from < 20; ++from)
    tokens += Ask(72000, from, AskFor(100)).tokens;
  CHECK(tokens <= TermsOf(QuotaSettings(), 200, 0).capacity);
}

TEST(quota_home, requestsSentWithoutToken_areCharged) {
  LONGS_EQUAL(0, Ask(60000, 1, AskFor(1, 1, 50)).tokens);
}

TEST(quota_home, accountIsHandedOver_successorGoesOnWithItsTokens) {
  QuotaHandover handover;
  handover.items.push_back({kAccount, 5000, 0, 0});
  home_.OnHandover(TimeMs(500), handover);
  LONGS_EQUAL(5, Ask(500, 1, AskFor(9)).tokens);
}

/// Guards against state that grows with every account ever used.
TEST(quota_home, accountIsIdle_isForgottenAndItsBucketIsFullLater) {
  Ask(60000, 1, AskFor(5));
  LONGS_EQUAL(1, home_.Accounts());
  for (int64_t now = 60000; now <= 100000; now += 1000) {
    view_.Update(TimeMs(now), {}, 0);
    home_.Tick(TimeMs(now));
  }
  LONGS_EQUAL(0, home_.Accounts());
  LONGS_EQUAL(8, Ask(100001, 1, AskFor(50)).tokens);
}

TEST(quota_home, lowerLimit_appliesAtOnce) {
  Limit(1000, 0);
  Ask(60000, 1, AskFor(1));
  Limit(1, 0, 60000);
  int tokens = 0;
  for (int64_t now = 60010; now < 62010; now += 10)
    tokens += Ask(now, 1, AskFor(5)).tokens;
  CHECK(tokens <= 11);
  CHECK(tokens >= 9);
}

TEST_GROUP(quota_gate) {
  QuotaView view_{QuotaViewSettings(), kSelf, TimeMs(0)};
  QuotaLimits limits_{QuotaSettings(), WithAccount(10, 0)};
  QuotaGate gate_{&view_, 1, TimeMs(0)};
  QuotaOutcome outcome_;

  void setup() override {
    gate_.SetLimits(&limits_);
    view_.Update(TimeMs(0), {Member(11)}, 0);
    view_.Update(TimeMs(2500), {Member(11)}, 0);
  }
  QuotaAsk Flush(int64_t now) {
    std::vector<QuotaGate::SendAsk> asks = gate_.Flush(TimeMs(now), &outcome_);
    return asks.empty() ? QuotaAsk() : asks[0].ask;
  }
  void Grant(int64_t now, const QuotaAsk& ask, int tokens,
             int64_t retry_after_ms = 0) {
    QuotaGrant grant;
    grant.sequence = ask.sequence;
    QuotaGrant::Item item;
    item.account = kAccount;
    item.tokens = tokens;
    item.life_ms = 250;
    item.lease_ppm = ask.items.at(0).ends_lease ? 0 : 400000;
    item.retry_after_ms = retry_after_ms;
    item.pause_ms = retry_after_ms > 0 ? 100 : 0;
    grant.items.push_back(item);
    gate_.OnGrant(TimeMs(now), grant, &outcome_);
  }
  Verdict Take(int64_t now, uint64_t id) {
    return gate_.Take(TimeMs(now), id, kName).verdict;
  }
};

TEST(quota_gate, requestsWaitForOneAsk_areServedInOrder) {
  CHECK(Take(3000, 1) == Verdict::kAsk);
  QuotaAsk ask = Flush(3000);
  LONGS_EQUAL(1, ask.items.at(0).needed);
  CHECK(Take(3001, 2) == Verdict::kAsk);
  LONGS_EQUAL(0, Flush(3001).items.size());
  Grant(3005, ask, 1);
  LONGS_EQUAL(1, outcome_.requests.size());
  LONGS_EQUAL(1, outcome_.requests[0].id);
  CHECK(outcome_.requests[0].decision.verdict == Verdict::kTaken);
  LONGS_EQUAL(1, Flush(3005).items.at(0).needed);
}

TEST(quota_gate, accountWithoutLimit_isNotAskedFor) {
  CHECK(gate_.Take(TimeMs(3000), 1, "other").verdict == Verdict::kTaken);
  LONGS_EQUAL(0, Flush(3000).items.size());
}

TEST(quota_gate, tokensEndWithTheirLifetime) {
  Take(3000, 1);
  QuotaAsk ask = Flush(3000);
  Grant(3010, ask, 3);
  CHECK(Take(3249, 2) == Verdict::kTaken);
  CHECK(Take(3250, 3) == Verdict::kAsk);
}

TEST(quota_gate, grantArrivesLate_itsTokensAreNotUsed) {
  Take(3000, 1);
  QuotaAsk ask = Flush(3000);
  Grant(3250, ask, 1);
  LONGS_EQUAL(0, outcome_.requests.size());
}

TEST(quota_gate, accountIsDenied_isRefusedWithoutAskingForAWhile) {
  Take(3000, 1);
  Grant(3005, Flush(3000), 0, 400);
  LONGS_EQUAL(1, outcome_.requests.size());
  const QuotaDecision& refused = outcome_.requests[0].decision;
  CHECK(refused.verdict == Verdict::kRefused);
  CHECK(refused.retry_after_ms >= 200);
  CHECK(refused.retry_after_ms <= 601);
  CHECK(Take(3010, 2) == Verdict::kRefused);
  LONGS_EQUAL(0, Flush(3010).items.size());
  CHECK(Take(3110, 3) == Verdict::kAsk);
}

/// Guards against clients that were refused together and retry together.
TEST(quota_gate, refusals_haveDifferentRetryAfter) {
  Take(3000, 1);
  Grant(3005, Flush(3000), 0, 1000);
  int64_t least = 10000;
  int64_t most = 0;
  for (uint64_t id = 10; id < 40; ++id) {
    int64_t ms = gate_.Take(TimeMs(3010), id, kName).retry_after_ms;
    least = std::min(least, ms);
    most = std::max(most, ms);
  }
  CHECK(most - least > 700);
}

TEST(quota_gate, homeDoesNotAnswer_requestIsRefusedAfterItsWait) {
  Take(3000, 1);
  Flush(3000);
  gate_.Tick(TimeMs(3149), &outcome_);
  LONGS_EQUAL(0, outcome_.requests.size());
  gate_.Tick(TimeMs(3150), &outcome_);
  LONGS_EQUAL(1, outcome_.requests.size());
  CHECK(outcome_.requests[0].decision.verdict == Verdict::kRefused);
}

/// Guards against requests refused in a partition by daemons that were using
/// the quota, and against a lease that outlasts its time.
TEST(quota_gate, homeFallsSilent_leaseIsUsedUntilItEnds) {
  Take(3000, 1);
  Grant(3005, Flush(3000), 1);
  uint64_t id = 2;
  int taken = 0;
  for (int64_t now = 3300; now < 14000; now += 20) {
    if (Take(now, id++) == Verdict::kTaken) ++taken;
    Flush(now);
    QuotaOutcome outcome;
    gate_.Tick(TimeMs(now), &outcome);
    for (const QuotaOutcome::Request& request : outcome.requests)
      taken += request.decision.verdict == Verdict::kTaken ? 1 : 0;
  }
  // 4 per second for 5 s, and none ahead while these are not charged.
  CHECK(taken <= 20);
  CHECK(taken >= 16);
}

/// Guards against refusals of a small account by a home that is slow once.
TEST(quota_gate, homeIsSlowAfterAFullGrant_oneRequestGoesAheadAndIsCharged) {
  Take(3000, 1);
  QuotaGrant grant;
  grant.sequence = Flush(3000).sequence;
  QuotaGrant::Item item;
  item.account = kAccount;
  item.tokens = 1;
  item.life_ms = 250;
  grant.items.push_back(item);
  gate_.OnGrant(TimeMs(3005), grant, &outcome_);
  outcome_.requests.clear();
  for (uint64_t id = 2; id < 4; ++id) Take(5000, id);
  Flush(5000);
  gate_.Tick(TimeMs(5150), &outcome_);
  LONGS_EQUAL(2, outcome_.requests.size());
  CHECK(outcome_.requests[0].decision.verdict == Verdict::kTaken);
  CHECK(outcome_.requests[1].decision.verdict == Verdict::kRefused);
  LONGS_EQUAL(1, Flush(5150).items.at(0).spent);
}

TEST(quota_gate, requestWasRefusedUnrun_anotherUsesItsToken) {
  Take(3000, 1);
  Grant(3005, Flush(3000), 1);
  TimeMs expires = outcome_.requests.at(0).decision.expires;
  gate_.GiveBack(TimeMs(3100), kName, expires);
  CHECK(Take(3110, 2) == Verdict::kTaken);
  gate_.GiveBack(TimeMs(3300), kName, expires);
  CHECK(Take(3301, 3) == Verdict::kAsk);
}

TEST(quota_gate, waitingRequestEnds_takesNoToken) {
  Take(3000, 1);
  QuotaAsk ask = Flush(3000);
  gate_.Remove(kName, 1);
  Grant(3005, ask, 1);
  LONGS_EQUAL(0, outcome_.requests.size());
  CHECK(Take(3010, 2) == Verdict::kTaken);
}

/// Guards against requests that wait until their deadline, because a new
/// version has no limit for their account.
TEST(quota_gate, limitIsRemoved_waitingRequestsAreLetThrough) {
  Take(3000, 1);
  QuotaLimits none;
  gate_.SetLimits(&none);
  gate_.Tick(TimeMs(3020), &outcome_);
  LONGS_EQUAL(1, outcome_.requests.size());
  CHECK(outcome_.requests[0].decision.verdict == Verdict::kTaken);
  LONGS_EQUAL(0, gate_.Accounts());
}

/// Guards against the use of tokens that the home has granted again since.
TEST(quota_gate, processWasSuspended_tokensAreDropped) {
  Take(3000, 1);
  Grant(3005, Flush(3000), 5);
  gate_.DropTokens(TimeMs(3010));
  CHECK(Take(3011, 2) == Verdict::kAsk);
}

TEST(quota_gate, askedDaemonNamesAnotherHome_thatOneIsAsked) {
  view_.Update(TimeMs(2600), {Member(11), Member(12)}, 0);
  view_.Update(TimeMs(2600), {Member(11), Member(12)}, 0);
  Take(3000, 1);
  std::vector<QuotaGate::SendAsk> asks = gate_.Flush(TimeMs(3000), &outcome_);
  MemberId other = asks.at(0).home == 11 ? 12 : 11;
  QuotaGrant grant;
  grant.sequence = asks[0].ask.sequence;
  QuotaGrant::Item item;
  item.account = kAccount;
  item.status = QuotaStatus::kNotHome;
  item.home = other;
  grant.items.push_back(item);
  gate_.OnGrant(TimeMs(3004), grant, &outcome_);
  asks = gate_.Flush(TimeMs(3004), &outcome_);
  LONGS_EQUAL(other, asks.at(0).home);
}

TEST(quota_gate, accountIsIdle_isForgotten) {
  Take(3000, 1);
  Grant(3005, Flush(3000), 1, 0);
  for (int64_t now = 3020; now < 40000; now += 20) {
    gate_.Tick(TimeMs(now), &outcome_);
    QuotaAsk ask = Flush(now);
    if (!ask.items.empty()) Grant(now, ask, 0);
    if (now == 4000) Take(now, 2);
  }
  LONGS_EQUAL(0, gate_.Accounts());
}

TEST_GROUP(quota_messages){};

TEST(quota_messages, areDecodedAsEncoded) {
  QuotaAsk ask = AskFor(2, 5, 1);
  ask.items[0].returned = 3;
  ask.items[0].ends_lease = true;
  Result<PeerMessage> asked = DecodePeerMessage(EncodePeerMessage(ask));
  const auto& back = std::get<QuotaAsk>(*ValueOf(asked));
  LONGS_EQUAL(1, back.sequence);
  LONGS_EQUAL(5, back.items.at(0).wanted);
  LONGS_EQUAL(1, back.items[0].spent);
  LONGS_EQUAL(3, back.items[0].returned);
  CHECK(back.items[0].ends_lease);
  QuotaGrant grant;
  grant.sequence = 9;
  QuotaGrant::Item item;
  item.account = kAccount;
  item.status = QuotaStatus::kYoung;
  item.tokens = 4;
  item.life_ms = 250;
  item.lease_ppm = 1500;
  item.retry_after_ms = 30;
  item.pause_ms = 20;
  item.home = 77;
  grant.items.push_back(item);
  Result<PeerMessage> granted = DecodePeerMessage(EncodePeerMessage(grant));
  const QuotaGrant::Item& read =
      std::get<QuotaGrant>(*ValueOf(granted)).items.at(0);
  CHECK(read.status == QuotaStatus::kYoung);
  LONGS_EQUAL(4, read.tokens);
  LONGS_EQUAL(1500, read.lease_ppm);
  LONGS_EQUAL(20, read.pause_ms);
  LONGS_EQUAL(77, read.home);
  QuotaHandover handover;
  handover.items.push_back({kAccount, -1500, 20, 30});
  Result<PeerMessage> handed = DecodePeerMessage(EncodePeerMessage(handover));
  LONGS_EQUAL(
      -1500,
      std::get<QuotaHandover>(*ValueOf(handed)).items.at(0).tokens_permille);
  std::string bytes = EncodePeerMessage(grant);
  for (size_t i = 0; i < bytes.size(); ++i)
    CHECK(ErrorOf(DecodePeerMessage(bytes.substr(0, i))) != nullptr);
}

/// Guards against negative numbers of tokens, which would fill a home's bucket.
TEST(quota_messages, negativeNumber_isRefused) {
  QuotaAsk ask = AskFor(1);
  ask.items[0].spent = -5;
  CHECK(ErrorOf(DecodePeerMessage(EncodePeerMessage(ask))) != nullptr);
  ask = AskFor(1);
  ask.items[0].returned = -5;
  CHECK(ErrorOf(DecodePeerMessage(EncodePeerMessage(ask))) != nullptr);
}

namespace {

class OneTarget final : public CandidateDirectory {
 public:
  std::vector<TargetCandidate> CandidatesOf(const std::string&) const override {
    return {{11, true, false}};
  }
  bool IsContained(TimeMs, const MeshRequest&) const override { return false; }
};

}  // namespace

TEST_GROUP(quota_forwarder) {
  OneTarget directory_;
  QuotaView view_{QuotaViewSettings(), kSelf, TimeMs(0)};
  QuotaLimits limits_{QuotaSettings(), WithAccount(10, 0)};
  QuotaGate gate_{&view_, 1, TimeMs(0)};
  Forwarder forwarder_{ForwarderSettings(), 9, &directory_};
  Forwarder::Actions actions_;
  QuotaOutcome outcome_;

  void setup() override {
    RouteConfiguration configuration = WithAccount(10, 0);
    configuration.version = 1;
    configuration.services["s"] = {"s", 100};
    configuration.routes.push_back(HttpRouteBuilder("once", "a.example", "/")
                                       .To("s")
                                       .Timeout(1000)
                                       .Build());
    forwarder_.SetTable(*ValueOf(RouteTable::Create(configuration)));
    forwarder_.SetQuotaGate(&gate_);
    gate_.SetLimits(&limits_);
    view_.Update(TimeMs(0), {Member(11)}, 0);
    view_.Update(TimeMs(2500), {Member(11)}, 0);
  }
  void Request(int64_t now, uint64_t id) {
    MeshRequest request;
    request.request_id = "r-" + std::to_string(id);
    request.host = "a.example";
    request.target = "/x";
    request.api_key = "key-1";
    forwarder_.OnRequest(TimeMs(now), id, request, &actions_);
  }
  /// Answers the ask that is due and passes the decisions on.
  void Grant(int64_t now, int tokens) {
    QuotaGrant grant;
    grant.sequence = gate_.Flush(TimeMs(now), &outcome_).at(0).ask.sequence;
    QuotaGrant::Item item;
    item.account = kAccount;
    item.tokens = tokens;
    item.life_ms = 250;
    item.retry_after_ms = tokens == 0 ? 500 : 0;
    grant.items.push_back(item);
    gate_.OnGrant(TimeMs(now), grant, &outcome_);
    for (const QuotaOutcome::Request& request : outcome_.requests)
      forwarder_.OnQuotaDecision(TimeMs(now), request.id, request.decision,
                                 &actions_);
    outcome_.requests.clear();
  }
  std::vector<const SendForward*> Sent() const {
    std::vector<const SendForward*> sent;
    for (const ForwarderAction& action : actions_) {
      if (const auto* send = std::get_if<SendForward>(&action))
        sent.push_back(send);
    }
    return sent;
  }
  const MeshAnswer* AnswerOf(uint64_t id) const {
    for (const ForwarderAction& action : actions_) {
      const auto* answer = std::get_if<AnswerClient>(&action);
      if (answer != nullptr && answer->request == id) return &answer->answer;
    }
    return nullptr;
  }
  void Answer(int64_t now, const SendForward& sent, RunState state,
              std::optional<ErrorKind> error) {
    ForwardAnswer answer;
    answer.attempt = sent.request.attempt;
    answer.run_state = state;
    answer.error = error;
    answer.response.status = 200;
    forwarder_.OnAnswer(TimeMs(now), answer, &actions_);
  }
};

/// Guards against a request that is sent before it has a token.
TEST(quota_forwarder, requestWaitsForAToken_isSentWithTheTimeThatIsLeft) {
  Request(3000, 1);
  LONGS_EQUAL(0, Sent().size());
  Grant(3040, 1);
  LONGS_EQUAL(1, Sent().size());
  LONGS_EQUAL(960, Sent()[0]->request.remaining_ms);
}

TEST(quota_forwarder, accountIsDenied_clientGetsTheErrorNotRun) {
  Request(3000, 1);
  Grant(3005, 0);
  LONGS_EQUAL(0, Sent().size());
  CHECK(AnswerOf(1)->error == ErrorKind::kQuotaExceeded);
  CHECK(AnswerOf(1)->run_state == RunState::kNotRun);
  CHECK(AnswerOf(1)->retry_after_ms > 0);
  LONGS_EQUAL(0, forwarder_.InFlight());
}

/// Guards against quota lost by requests that were refused for lack of
/// capacity.
TEST(quota_forwarder, requestIsRefusedUnrun_nextOneUsesItsToken) {
  Request(3000, 1);
  Grant(3005, 1);
  Answer(3010, *Sent().at(0), RunState::kNotRun, ErrorKind::kOverloaded);
  CHECK(AnswerOf(1) != nullptr);
  Request(3020, 2);
  LONGS_EQUAL(2, Sent().size());
}

/// Guards against a quota exceeded by requests of unknown outcome, which may
/// have run.
TEST(quota_forwarder, requestMayHaveRun_itsTokenIsSpent) {
  Request(3000, 1);
  Grant(3005, 1);
  Answer(3010, *Sent().at(0), RunState::kUnknown, ErrorKind::kBackendBroken);
  CHECK(AnswerOf(1) != nullptr);
  Request(3020, 2);
  LONGS_EQUAL(1, Sent().size());
}

TEST(quota_forwarder, clientDisconnectsWhileItsRequestWaits_isNeverSent) {
  Request(3000, 1);
  forwarder_.OnAbandoned(TimeMs(3002), 1, &actions_);
  Grant(3005, 1);
  LONGS_EQUAL(0, Sent().size());
  LONGS_EQUAL(0, forwarder_.InFlight());
  Request(3010, 2);
  LONGS_EQUAL(1, Sent().size());
}

TEST_GROUP(quota_nodes) {
  std::unique_ptr<MeshFleet> fleet_;

  void Begin(double rate_per_s, double burst) {
    MeshFleetSettings settings;
    settings.zones = 3;
    settings.run_ms = 20;
    settings.slots = 40;
    settings.accounts = WithAccount(rate_per_s, burst).accounts;
    fleet_ = std::make_unique<MeshFleet>(settings);
    for (int i = 0; i < 12; ++i) fleet_->Start("catalogue");
    fleet_->Advance(10000);
  }
  /// Sends 300 requests per second over the daemons that run.
  void Drive(int64_t ms) {
    for (int64_t end = fleet_->Now().Value() + ms;
         fleet_->Now().Value() < end;) {
      for (int i = 0; i < 3; ++i) {
        size_t index = next_++ % fleet_->Size();
        if (fleet_->Alive(index))
          fleet_->Request(index, "/catalogue/read/x", 2000, "key-1");
      }
      fleet_->Advance(10);
    }
  }
  /// Largest number of runs in a sliding window of 5 s.
  size_t WorstWindow() const {
    const std::vector<MeshFleet::Run>& runs = fleet_->Runs();
    size_t worst = 0;
    size_t first = 0;
    for (size_t last = 0; last < runs.size(); ++last) {
      while (runs[last].at - runs[first].at >= 5000) ++first;
      worst = std::max(worst, last - first + 1);
    }
    return worst;
  }
  size_t next_ = 0;
};

/// Guards against a quota granted twice with the real failure detection: by
/// both sides of a partition, by a killed home's successor, by a whole fleet
/// that starts again.
TEST(quota_nodes, hotAccountInPartitionAndRestarts_boundHolds) {
  Begin(60, 0);
  Drive(6000);
  for (int64_t cut_ms : {2500, 6000, 12000}) {
    fleet_->Partition({"z1"}, true);
    Drive(cut_ms);
    fleet_->Partition({}, false);
    Drive(10000);
  }
  for (size_t i = 0; i < 12; i += 5) {
    fleet_->Kill(i);
    Drive(1500);
    fleet_->Restart(i);
    Drive(8000);
  }
  size_t before = fleet_->Runs().size();
  Drive(10000);
  CHECK(fleet_->Runs().size() - before >= 60 * 10 * 8 / 10);
  for (size_t i = 0; i < 12; ++i) fleet_->Kill(i);
  fleet_->Advance(1000);
  for (size_t i = 0; i < 12; ++i) fleet_->Restart(i);
  Drive(20000);
  size_t bound = static_cast<size_t>(60 * 5 * 1.1 + 20);
  std::string text = "runs in a window: " + std::to_string(WorstWindow());
  CHECK_TEXT(WorstWindow() <= bound, text.c_str());
}

/// Guards against a wiring that lets requests through without a token, or that
/// holds them for ever.
TEST(quota_nodes, accountAsksSixTimesItsLimit_runsAreBoundedAndRestIsRefused) {
  Begin(50, 0);
  std::vector<uint64_t> sent;
  for (int ms = 0; ms < 10000; ms += 10) {
    for (int i = 0; i < 3; ++i)
      sent.push_back(
          fleet_->Request(static_cast<size_t>((ms / 10 * 3 + i) % 12),
                          "/catalogue/read/x", 2000, "key-1"));
    fleet_->Advance(10);
  }
  fleet_->Advance(3000);
  size_t refused = 0;
  for (uint64_t request : sent) {
    const MeshAnswer& answer = fleet_->Answers().at(request).answer;
    if (answer.error != ErrorKind::kQuotaExceeded) continue;
    ++refused;
    CHECK(answer.run_state == RunState::kNotRun);
    CHECK(answer.retry_after_ms > 0);
  }
  size_t runs = fleet_->Runs().size();
  LONGS_EQUAL(sent.size(), runs + refused);
  CHECK(runs <= 50 * 10 * 11 / 10 + 20);
  CHECK(runs >= 50 * 10 * 9 / 10);
}

TEST(quota_nodes, accountIsBelowItsLimit_isNotRefused) {
  Begin(40, 40);
  std::vector<uint64_t> sent;
  for (int ms = 0; ms < 10000; ms += 30) {
    sent.push_back(fleet_->Request(static_cast<size_t>(ms / 30 % 12),
                                   "/catalogue/read/x", 2000, "key-1"));
    fleet_->Advance(30);
  }
  fleet_->Advance(3000);
  for (uint64_t request : sent)
    CHECK(!fleet_->Answers().at(request).answer.error);
}

/// Guards against messages and state in deployments without accounts, and for
/// accounts without a limit.
TEST(quota_nodes, noAccountIsLimited_noMessageIsSent) {
  Begin(0, 0);
  for (size_t i = 0; i < 12; ++i)
    fleet_->Request(i, "/catalogue/read/x", 2000, "key-1");
  fleet_->Advance(3000);
  LONGS_EQUAL(12, fleet_->Runs().size());
  LONGS_EQUAL(0, fleet_->QuotaMessages());
  for (size_t i = 0; i < 12; ++i)
    LONGS_EQUAL(0, fleet_->NodeAt(i).Quotas().Accounts());
}

TEST(quota_nodes, clientDisconnectsWhileItWaits_requestIsRemoved) {
  Begin(10, 0);
  for (size_t i = 0; i < 12; ++i)
    fleet_->Request(i, "/catalogue/write/x", 2000, "key-1");
  fleet_->Advance(3000);
  for (size_t i = 0; i < 12; ++i)
    LONGS_EQUAL(0, fleet_->NodeAt(i).RequestForwarder().InFlight());
}
