#include <CppUTest/TestHarness.h>

#include <map>

#include "banyanloft/mesh/retry_budget.h"
#include "banyanloft/mesh/route_table.h"
#include "banyanloft/mesh/target_selector.h"
#include "banyanloft/mesh/weight_splitter.h"

using namespace banyanloft;

namespace {

RouteConfiguration SampleRoutes() {
  RouteConfiguration out;
  out.version = 7;
  out.services["pledges"] = {"pledges", 100};
  out.services["dispatch"] = {"dispatch", 100};
  out.routes.push_back(HttpRouteBuilder("outer", "a.example", "/p/")
                           .To("pledges")
                           .Timeout(1000)
                           .Aim(400)
                           .Build());
  out.routes.push_back(HttpRouteBuilder("inner", "a.example", "/p/q/")
                           .To("dispatch")
                           .Timeout(1000)
                           .Aim(400)
                           .Build());
  return out;
}

RouteTablePtr TableOf(RouteConfiguration configuration) {
  Result<RouteTablePtr> made = RouteTable::Create(std::move(configuration));
  return ValueOf(made) != nullptr ? *ValueOf(made) : nullptr;
}

/// Load of a target whose 10 slots are busy.
TargetLoad WorkOf(int running_ms, int queued_ms) {
  TargetLoad load;
  load.slots = 10;
  load.ahead.fill(20);
  load.mean_run_ms = 100;
  load.running_work_ms = running_ms;
  load.queued_work_ms.fill(queued_ms);
  return load;
}

TargetLoad LoadOf(int ahead) {
  TargetLoad load;
  load.slots = 10;
  load.ahead.fill(ahead);
  load.mean_run_ms = 100;
  return load;
}

}  // namespace

TEST_GROUP(route_table){};

TEST(route_table, match_severalPrefixes_longestIsSelected) {
  RouteTablePtr table = TableOf(SampleRoutes());
  STRCMP_EQUAL("inner", table->Match("a.example", "/p/q/1?x=1")->id.c_str());
  STRCMP_EQUAL("outer", table->Match("A.Example:80", "/p/1")->id.c_str());
}

TEST(route_table, match_unknownHostOrPath_isNull) {
  RouteTablePtr table = TableOf(SampleRoutes());
  POINTERS_EQUAL(nullptr, table->Match("b.example", "/p/1"));
  POINTERS_EQUAL(nullptr, table->Match("a.example", "/x/1"));
  POINTERS_EQUAL(nullptr, table->Match("a.example", ""));
}

TEST(route_table, create_invalidConfiguration_fails) {
  RouteConfiguration bad = SampleRoutes();
  bad.routes[0].split[0].service = "missing";
  bad.routes[1].path_prefix = "p";
  LONGS_EQUAL(2, ValidateRouteConfiguration(bad).size());
  Result<RouteTablePtr> made = RouteTable::Create(bad);
  CHECK(ErrorOf(made) != nullptr);
}

TEST_GROUP(weight_splitter){};

TEST(weight_splitter, next_weights_areKeptOverShortPeriods) {
  HttpRoute route = HttpRouteBuilder("r", "a.example", "/")
                        .To("one", 90)
                        .To("two", 10)
                        .Build();
  WeightSplitter splitter(3);
  for (int span = 0; span < 20; ++span) {
    int two = 0;
    for (int i = 0; i < 20; ++i) two += splitter.Next(route) == "two" ? 1 : 0;
    CHECK(two >= 1 && two <= 3);
  }
}

TEST(weight_splitter, next_weightZero_isNeverSelected) {
  HttpRoute route =
      HttpRouteBuilder("r", "a.example", "/").To("one", 1).To("two", 0).Build();
  WeightSplitter splitter(3);
  for (int i = 0; i < 50; ++i)
    STRCMP_EQUAL("one", splitter.Next(route).c_str());
}

TEST_GROUP(retry_budget){};

TEST(retry_budget, take_manyDaemons_staysBelowTheSharedBudget) {
  RetryBudgetSettings settings;
  std::vector<RetryBudget> daemons(12, RetryBudget(settings));
  int64_t taken = 0;
  for (RetryBudget& daemon : daemons) {
    daemon.SetMembers(daemons.size());
    for (int i = 0; i < 100; ++i) daemon.OnRequest(TimeMs(i * 10), "s");
    for (int i = 0; i < 100; ++i)
      taken += daemon.Take(TimeMs(1000), "s", 1000) ? 1 : 0;
  }
  int64_t allowed = 1200 * settings.ratio_permille / 1000 + settings.slack;
  CHECK(taken > 0);
  CHECK(taken <= allowed);
}

TEST(retry_budget, take_afterTheWindow_budgetIsAvailableAgain) {
  RetryBudget budget((RetryBudgetSettings()));
  while (budget.Take(TimeMs(0), "s", 1000)) {
  }
  CHECK(!budget.Take(TimeMs(9000), "s", 1000));
  CHECK(budget.Take(TimeMs(20000), "s", 1000));
}

/// Each process on an instance would spend the instance's part of the slack
/// again.
TEST(retry_budget, daemonsRestartRepeatedly_slackIsNotSpentAgain) {
  RetryBudgetSettings settings;
  constexpr int kRestarts = 4;
  constexpr size_t kDaemons = 12;
  int64_t taken = 0;
  for (int start = 0; start <= kRestarts; ++start) {
    for (size_t i = 0; i < kDaemons; ++i) {
      RetryBudget daemon(settings);
      daemon.SetMembers(kDaemons);
      while (daemon.Take(TimeMs(start * settings.window_ms / 5), "s", 1000))
        ++taken;
    }
  }
  CHECK(taken <= settings.slack);
}

TEST_GROUP(target_selector) {
  TargetSelector selector_{TargetSelectorSettings(), 5};
  CostKey route_ = CostModel::KeyOf({"r", "GET", "", "", 0});
  TargetQuery query_{route_, 1, 400};
  std::vector<TargetCandidate> candidates_ = {
      {1, true, false}, {2, false, false}, {3, false, false}};

  MemberId Chosen(TimeMs now, const std::vector<MemberId>& excluded = {}) {
    std::optional<TargetChoice> choice =
        selector_.Choose(now, candidates_, query_, excluded);
    return choice ? choice->id : 0;
  }
};

TEST(target_selector, choose_localZoneMeetsAim_staysInZone) {
  selector_.OnReport(TimeMs(0), 1, LoadOf(10), route_, 100);
  LONGS_EQUAL(1, Chosen(TimeMs(10)));
}

TEST(target_selector, choose_localZoneMissesAim_selectsAnotherZone) {
  selector_.OnReport(TimeMs(0), 1, LoadOf(80), route_, 100);
  selector_.OnReport(TimeMs(0), 2, LoadOf(0), route_, 100);
  selector_.OnReport(TimeMs(0), 3, LoadOf(60), route_, 100);
  LONGS_EQUAL(2, Chosen(TimeMs(10)));
}

// A large response must not cross zones to save some hundred ms: its bytes cost
// as much as those of many small ones.
TEST(target_selector, choose_largeResponseLocalZoneMissesAim_staysInZone) {
  constexpr size_t kLargeBytes = 90000;
  for (int i = 0; i < 50; ++i)
    selector_.OnResponse(TimeMs(0), route_, kLargeBytes);
  selector_.OnReport(TimeMs(0), 1, LoadOf(80), route_, 100);
  selector_.OnReport(TimeMs(0), 2, LoadOf(0), route_, 100);
  selector_.OnReport(TimeMs(0), 3, LoadOf(0), route_, 100);
  LONGS_EQUAL(1, Chosen(TimeMs(10)));
  LONGS_EQUAL(2, Chosen(TimeMs(10), {1, 3}));
}

// A service that is overloaded everywhere: another zone answers too late as
// well, so the bytes between zones would buy nothing.
TEST(target_selector, choose_noTargetMeetsAim_staysInZone) {
  selector_.OnReport(TimeMs(0), 1, LoadOf(80), route_, 100);
  selector_.OnReport(TimeMs(0), 2, LoadOf(60), route_, 100);
  selector_.OnReport(TimeMs(0), 3, LoadOf(60), route_, 100);
  LONGS_EQUAL(1, Chosen(TimeMs(10)));
}

TEST(target_selector, choose_noTargetMeetsAimButOneIsMuchEarlier_leavesZone) {
  selector_.OnReport(TimeMs(0), 1, LoadOf(300), route_, 100);
  selector_.OnReport(TimeMs(0), 2, LoadOf(60), route_, 100);
  selector_.OnReport(TimeMs(0), 3, LoadOf(200), route_, 100);
  LONGS_EQUAL(2, Chosen(TimeMs(10)));
}

TEST(target_selector, choose_excludedOrAvoided_isNotSelected) {
  selector_.Avoid(TimeMs(0), 1);
  CHECK(Chosen(TimeMs(10)) != 1);
  LONGS_EQUAL(3, Chosen(TimeMs(10), {2}));
  LONGS_EQUAL(0, Chosen(TimeMs(10), {2, 3}));
}

TEST(target_selector, onOutcome_consecutiveFailures_ejectForALimitedTime) {
  for (int i = 0; i < 4; ++i) selector_.OnOutcome(TimeMs(0), 1, true);
  LONGS_EQUAL(1, selector_.Ejected(TimeMs(10)));
  CHECK(Chosen(TimeMs(10)) != 1);
  LONGS_EQUAL(0, selector_.Ejected(TimeMs(5000)));
  LONGS_EQUAL(1, Chosen(TimeMs(20000)));
}

TEST(target_selector, choose_targetThatWasSlow_isTriedAgainLater) {
  for (int i = 0; i < 20; ++i) {
    selector_.OnReport(TimeMs(i), 1, LoadOf(0), route_, 2000);
    selector_.OnReport(TimeMs(i), 2, LoadOf(0), route_, 100);
  }
  CHECK(Chosen(TimeMs(30)) != 1);
  selector_.OnReport(TimeMs(9000), 2, LoadOf(0), route_, 100);
  LONGS_EQUAL(1, Chosen(TimeMs(9001)));
}

// Twenty short calls ahead are less than ten long reads.
TEST(target_selector, choose_equalCounts_leastWorkLeftIsSelected) {
  candidates_ = {{1, true, false}, {2, true, false}};
  selector_.OnReport(TimeMs(0), 1, WorkOf(5000, 8000), route_, 100);
  selector_.OnReport(TimeMs(0), 2, WorkOf(150, 300), route_, 100);
  for (int i = 0; i < 20; ++i) LONGS_EQUAL(2, Chosen(TimeMs(10)));
}

// The queue of a less urgent class does not delay a more urgent request.
TEST(target_selector, choose_workOfLessUrgentClasses_doesNotCount) {
  candidates_ = {{1, true, false}, {2, true, false}};
  TargetLoad behind = WorkOf(500, 0);
  behind.queued_work_ms = {0, 0, 0, 9000};
  selector_.OnReport(TimeMs(0), 1, behind, route_, 100);
  selector_.OnReport(TimeMs(0), 2, WorkOf(500, 2000), route_, 100);
  for (int i = 0; i < 20; ++i) LONGS_EQUAL(1, Chosen(TimeMs(10)));
}

// One report must not attract all requests until the next one.
TEST(target_selector, choose_manyAfterOneReport_ownAttemptsCount) {
  candidates_ = {{1, true, false}, {2, true, false}};
  TargetLoad idle = WorkOf(0, 0);
  idle.ahead.fill(0);
  selector_.OnReport(TimeMs(0), 1, idle, route_, 100);
  selector_.OnReport(TimeMs(0), 2, WorkOf(500, 1000), route_, 100);
  int sent_to_second = 0;
  for (int i = 0; i < 60; ++i) {
    std::optional<TargetChoice> choice =
        selector_.Choose(TimeMs(10), candidates_, query_, {});
    selector_.OnSent(choice->id, choice->cost_ms);
    sent_to_second += choice->id == 2 ? 1 : 0;
  }
  CHECK(sent_to_second >= 15);
  CHECK(sent_to_second <= 30);
}

// Many daemons know the same reports: they must not all select the same target.
TEST(target_selector, choose_nearlyEqualTargets_areSelectedAtRandom) {
  candidates_ = {{1, true, false}, {2, true, false}, {3, true, false}};
  selector_.OnReport(TimeMs(0), 1, WorkOf(1000, 2000), route_, 100);
  selector_.OnReport(TimeMs(0), 2, WorkOf(1010, 2020), route_, 100);
  selector_.OnReport(TimeMs(0), 3, WorkOf(5000, 9000), route_, 100);
  std::map<MemberId, int> chosen;
  for (int i = 0; i < 300; ++i) ++chosen[Chosen(TimeMs(10))];
  CHECK(chosen[1] > 100 && chosen[2] > 100);
  LONGS_EQUAL(0, chosen[3]);
}

TEST(target_selector, choose_targetReportsThatItIsSlow_fasterOneIsSelected) {
  candidates_ = {{1, true, false}, {2, true, false}};
  TargetLoad load = LoadOf(0);
  for (int i = 0; i < 10; ++i) {
    load.slowness_permille = 1600;
    selector_.OnReport(TimeMs(i), 1, load, route_, 160);
    load.slowness_permille = 600;
    selector_.OnReport(TimeMs(i), 2, load, route_, 60);
  }
  for (int i = 0; i < 20; ++i) LONGS_EQUAL(2, Chosen(TimeMs(20)));
}

// The wait up to which an attempt stays is where another target is expected to
// finish earlier.
TEST(target_selector, choose_maxWait_isThatOfTheNextTarget) {
  candidates_ = {{1, true, false}, {2, true, false}};
  selector_.OnReport(TimeMs(0), 1, WorkOf(1000, 0), route_, 100);
  selector_.OnReport(TimeMs(0), 2, WorkOf(1000, 4000), route_, 100);
  std::optional<TargetChoice> choice =
      selector_.Choose(TimeMs(10), candidates_, query_, {});
  LONGS_EQUAL(1, choice->id);
  CHECK(choice->max_wait_ms >= 400 && choice->max_wait_ms <= 430);
  CHECK(selector_.Choose(TimeMs(10), candidates_, query_, {2})->max_wait_ms <
        0);
}

TEST_GROUP(target_selector_links) {
  static constexpr int kBytesPerMs = 1500;
  TargetSelector selector_{TargetSelectorSettings(), 5};
  CostKey route_ = CostModel::KeyOf({"r", "GET", "", "", 0});
  TargetQuery query_{route_, 1, 4000};
  std::vector<TargetCandidate> candidates_ = {{1, true, false},
                                              {2, true, false}};

  void Report(MemberId id, int delay_ms, int bytes_per_ms = kBytesPerMs) {
    TargetLoad load = LoadOf(0);
    load.link_delay_ms = delay_ms;
    load.link_bytes_per_ms = bytes_per_ms;
    selector_.OnReport(TimeMs(0), id, load, route_, 100);
  }
  void LearnSize(size_t bytes) {
    for (int i = 0; i < 20; ++i) selector_.OnResponse(TimeMs(0), route_, bytes);
  }
  TargetChoice Chosen() {
    return *selector_.Choose(TimeMs(10), candidates_, query_, {});
  }
};

TEST(target_selector_links, largeResponse_busyLinkIsAvoided) {
  LearnSize(90000);
  Report(1, 300);
  Report(2, 20);
  for (int i = 0; i < 20; ++i) LONGS_EQUAL(2, Chosen().id);
  LONGS_EQUAL(90000 / kBytesPerMs, Chosen().transmit_ms);
}

TEST(target_selector_links, largeResponse_targetOnThisInstanceNeedsNoLink) {
  LearnSize(90000);
  candidates_[0].same_instance = true;
  Report(1, 300);
  Report(2, 0);
  for (int i = 0; i < 20; ++i) LONGS_EQUAL(1, Chosen().id);
  LONGS_EQUAL(100, Chosen().expected_ms);
}

// Small responses do not wait behind large ones.
TEST(target_selector_links, smallResponse_busyLinkDoesNotCount) {
  LearnSize(2000);
  Report(1, 300);
  Report(2, 0);
  bool first = false;
  for (int i = 0; i < 40; ++i) first = first || Chosen().id == 1;
  CHECK(first);
}

// Earlier daemons report no link, and a rate that is not known is a high one:
// the selection is that without links.
TEST(target_selector_links, noRateKnown_linksDoNotCount) {
  LearnSize(90000);
  Report(1, 0, 0);
  Report(2, 0, 125000);
  for (MemberId id : {1, 2}) {
    std::optional<TargetChoice> choice = selector_.Choose(
        TimeMs(10), candidates_, query_, {id == 1 ? MemberId{2} : MemberId{1}});
    LONGS_EQUAL(100, choice->expected_ms);
  }
}

// A target of the own zone with a busy link is left only if it would miss the
// aim, and by more than the bytes between zones cost.
TEST(target_selector_links, largeResponse_ownZoneIsKeptWithinTheAim) {
  LearnSize(90000);
  candidates_[1].same_zone = false;
  Report(1, 1000);
  Report(2, 0);
  LONGS_EQUAL(1, Chosen().id);
  query_.aim_left_ms = 400;
  LONGS_EQUAL(2, Chosen().id);
  Report(1, 300);
  LONGS_EQUAL(1, Chosen().id);
}
