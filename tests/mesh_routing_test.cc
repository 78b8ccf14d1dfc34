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
  TargetQuery query_{"r", 1, 400};
  std::vector<TargetCandidate> candidates_ = {
      {1, true, false}, {2, false, false}, {3, false, false}};

  MemberId Chosen(TimeMs now, const std::vector<MemberId>& excluded = {}) {
    std::optional<TargetChoice> choice =
        selector_.Choose(now, candidates_, query_, excluded);
    return choice ? choice->id : 0;
  }
};

TEST(target_selector, choose_localZoneMeetsAim_staysInZone) {
  selector_.OnReport(TimeMs(0), 1, LoadOf(10), "r", 100);
  LONGS_EQUAL(1, Chosen(TimeMs(10)));
}

TEST(target_selector, choose_localZoneMissesAim_selectsAnotherZone) {
  selector_.OnReport(TimeMs(0), 1, LoadOf(80), "r", 100);
  selector_.OnReport(TimeMs(0), 2, LoadOf(0), "r", 100);
  selector_.OnReport(TimeMs(0), 3, LoadOf(60), "r", 100);
  LONGS_EQUAL(2, Chosen(TimeMs(10)));
}

// A service that is overloaded everywhere: another zone answers too late as
// well, so the bytes between zones would buy nothing.
TEST(target_selector, choose_noTargetMeetsAim_staysInZone) {
  selector_.OnReport(TimeMs(0), 1, LoadOf(80), "r", 100);
  selector_.OnReport(TimeMs(0), 2, LoadOf(60), "r", 100);
  selector_.OnReport(TimeMs(0), 3, LoadOf(60), "r", 100);
  LONGS_EQUAL(1, Chosen(TimeMs(10)));
}

TEST(target_selector, choose_noTargetMeetsAimButOneIsMuchEarlier_leavesZone) {
  selector_.OnReport(TimeMs(0), 1, LoadOf(300), "r", 100);
  selector_.OnReport(TimeMs(0), 2, LoadOf(60), "r", 100);
  selector_.OnReport(TimeMs(0), 3, LoadOf(200), "r", 100);
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
    selector_.OnReport(TimeMs(i), 1, LoadOf(0), "r", 2000);
    selector_.OnReport(TimeMs(i), 2, LoadOf(0), "r", 100);
  }
  CHECK(Chosen(TimeMs(30)) != 1);
  selector_.OnReport(TimeMs(9000), 2, LoadOf(0), "r", 100);
  LONGS_EQUAL(1, Chosen(TimeMs(9001)));
}
