#include "banyanloft/mesh/settings_change.h"

#include <CppUTest/TestHarness.h>

#include "banyanloft/mesh/retry_budget.h"

using namespace banyanloft;

TEST_GROUP(settings_change){
    static int TakeRetries(RetryBudget * budget, TimeMs now){int taken = 0;
while (taken < 1000 && budget->Take(now, "s", 1000)) ++taken;
return taken;
}
}
;

TEST(settings_change, sameSettings_noChange) {
  SidecarSettings settings;
  SidecarSettings next;
  // Generated at each start.
  next.node.seed = settings.node.seed + 1;
  CHECK(CompareSettings(settings, next).Empty());
}

TEST(settings_change, retryBudgetAndDrainLimit_areAppliedImmediately) {
  SidecarSettings settings;
  SidecarSettings next;
  next.node.forwarder.budget.slack = 56;
  next.node.SetDrainLimit(2640);
  SettingsChange change = CompareSettings(settings, next);
  LONGS_EQUAL(2, change.applied.size());
  STRCMP_EQUAL("retry_budget_slack 50 to 56", change.applied[0].c_str());
  CHECK(change.at_restart.empty());
}

TEST(settings_change, portsAndNames_needRestart) {
  SidecarSettings settings;
  SidecarSettings next;
  next.clients = Endpoint{"10.1.0.8", 8304};
  next.node.zone = "z2";
  SettingsChange change = CompareSettings(settings, next);
  CHECK(change.applied.empty());
  LONGS_EQUAL(2, change.at_restart.size());
}

TEST(settings_change, newBudgetApplied_limitsImmediately) {
  RetryBudgetSettings wide;
  wide.slack = 100;
  wide.used_permille = 1000;
  RetryBudgetSettings narrow = wide;
  narrow.slack = 40;
  RetryBudget budget(wide);
  LONGS_EQUAL(100, TakeRetries(&budget, TimeMs(0)));
  budget.Apply(narrow);
  // Retries used within the window still count.
  LONGS_EQUAL(0, TakeRetries(&budget, TimeMs(100)));
  LONGS_EQUAL(40, TakeRetries(&budget, TimeMs(20000)));
}
