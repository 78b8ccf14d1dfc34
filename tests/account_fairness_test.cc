#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyanloft/core/random.h"
#include "banyanloft/links/peer_message.h"
#include "banyanloft/mesh/admission_controller.h"
#include "banyanloft/mesh/route_table.h"

using namespace banyanloft;

namespace {

constexpr int kSlots = 4;
constexpr int64_t kRunMs = 100;

AdmissionSettings SettingsOf(size_t max_waiting) {
  AdmissionSettings settings;
  settings.slots = kSlots;
  settings.max_waiting = max_waiting;
  return settings;
}

AdmissionRequest WorkOf(uint64_t id, const std::string& account, int urgency,
                        TimeMs now, int64_t aim_ms = 2000) {
  AdmissionRequest work;
  work.id = id;
  work.account = account;
  work.urgency = urgency;
  work.route = "r";
  work.aim_left_ms = aim_ms;
  work.deadline = now + 2 * aim_ms;
  return work;
}

}  // namespace

TEST_GROUP(account_fairness) {
  TimeMs now_{1000};
  uint64_t next_ = 1000;
  AdmissionController::Decisions decisions_;

  /// Usual use: accounts "a" and "b" run one request after the other.
  void RunUsual(AdmissionController * controller) {
    for (int i = 0; i < 600; ++i) {
      now_ = now_ + kRunMs;
      for (const char* account : {"a", "b"}) {
        uint64_t id = next_++;
        controller->Offer(now_, WorkOf(id, account, 1, now_), &decisions_);
        controller->Finish(now_ + kRunMs, id, kRunMs, &decisions_);
      }
    }
    decisions_.clear();
  }
  /// Occupies all slots with work of an account for some time.
  void Occupy(AdmissionController * controller, const std::string& account) {
    constexpr int kRounds = 60;
    for (int round = 0; round <= kRounds; ++round) {
      std::vector<uint64_t> ids;
      for (int slot = 0; slot < kSlots; ++slot) {
        ids.push_back(next_++);
        controller->Offer(now_, WorkOf(ids.back(), account, 1, now_),
                          &decisions_);
      }
      if (round == kRounds) break;
      now_ = now_ + kRunMs;
      for (uint64_t id : ids) controller->Finish(now_, id, kRunMs, &decisions_);
    }
    last_running_ = next_ - 1;
    LONGS_EQUAL(kSlots, controller->Running());
    decisions_.clear();
  }
  const AdmissionDecision* DecisionOf(uint64_t id) {
    for (const AdmissionDecision& decision : decisions_) {
      if (decision.id == id) return &decision;
    }
    return nullptr;
  }
  bool Started(uint64_t id) {
    const AdmissionDecision* decision = DecisionOf(id);
    return decision != nullptr &&
           decision->type == AdmissionDecision::Type::kStart;
  }
  uint64_t last_running_ = 0;
};

// Queued work of an account far above its share must not delay that of others.
TEST(account_fairness, accountAboveItsShare_queuesBehindOthersOfItsClass) {
  AdmissionController controller(SettingsOf(100));
  RunUsual(&controller);
  Occupy(&controller, "a");
  controller.Offer(now_, WorkOf(1, "a", 1, now_), &decisions_);
  controller.Offer(now_, WorkOf(2, "b", 1, now_ + 500), &decisions_);
  controller.Offer(now_, WorkOf(3, "", 1, now_ + 500), &decisions_);
  controller.Offer(now_, WorkOf(4, "a", 0, now_), &decisions_);
  for (uint64_t i = 0; i < 3; ++i)
    controller.Finish(now_ + 10, last_running_ - i, kRunMs, &decisions_);
  CHECK(Started(4));
  CHECK(Started(2));
  CHECK(Started(3));
  CHECK(!Started(1));
  controller.Finish(now_ + 10, last_running_ - 3, kRunMs, &decisions_);
  CHECK(Started(1));
}

// A newcomer of another account must not be refused because one account has
// filled the queue.
TEST(account_fairness, queueFull_accountFurthestAboveItsShareMakesRoom) {
  constexpr size_t kMaxWaiting = 3;
  AdmissionController controller(SettingsOf(kMaxWaiting));
  RunUsual(&controller);
  Occupy(&controller, "a");
  for (uint64_t id = 1; id <= kMaxWaiting; ++id)
    controller.Offer(now_, WorkOf(id, "a", 2, now_), &decisions_);
  controller.Offer(now_, WorkOf(10, "b", 2, now_), &decisions_);
  CHECK(DecisionOf(10) == nullptr);
  LONGS_EQUAL(kMaxWaiting, controller.Waiting());
  LONGS_EQUAL(1, decisions_.size());
  const AdmissionDecision& refusal = decisions_.front();
  LONGS_EQUAL(kMaxWaiting, refusal.id);
  CHECK(refusal.type == AdmissionDecision::Type::kRefuse);
  CHECK(refusal.displaced);
  CHECK(refusal.error == ErrorKind::kOverloaded);
  CHECK(refusal.retry_after_ms > 0);
}

// Work queued before its account exceeded its share must make room as well.
TEST(account_fairness, waitTooLong_workOfAccountNowAboveItsShareMakesRoom) {
  AdmissionController controller(SettingsOf(100));
  RunUsual(&controller);
  constexpr uint64_t kHeavy = 500;
  AdmissionRequest heavy = WorkOf(kHeavy, "a", 1, now_);
  heavy.route = "heavy";
  controller.Offer(now_, heavy, &decisions_);
  constexpr int64_t kAimMs = 500;
  constexpr uint64_t kQueued = 6;
  for (uint64_t id = 1; id < kSlots + kQueued; ++id)
    controller.Offer(now_, WorkOf(id, "a", 1, now_, kAimMs), &decisions_);
  LONGS_EQUAL(kQueued, controller.Waiting());
  constexpr int64_t kHeavyMs = 20000;
  controller.Finish(now_, kHeavy, kHeavyMs, &decisions_);
  LONGS_EQUAL(kQueued - 1, controller.Waiting());
  decisions_.clear();
  constexpr uint64_t kFirst = 100;
  for (uint64_t id = kFirst; id < kFirst + 30; ++id)
    controller.Offer(now_, WorkOf(id, "b", 1, now_ + 1, kAimMs), &decisions_);
  uint64_t displaced = 0;
  bool newcomer_refused = false;
  for (const AdmissionDecision& decision : decisions_) {
    if (decision.id >= kFirst) {
      newcomer_refused = true;
      continue;
    }
    // Newcomers are refused only when nothing is left to displace.
    CHECK(!newcomer_refused);
    CHECK(decision.displaced);
    ++displaced;
  }
  CHECK_EQUAL(kQueued - 1, displaced);
  CHECK(newcomer_refused);
}

// More urgent work is never refused in favour of less urgent work.
TEST(account_fairness, queueFullOfMoreUrgentWork_newcomerIsRefused) {
  constexpr size_t kMaxWaiting = 3;
  AdmissionController controller(SettingsOf(kMaxWaiting));
  RunUsual(&controller);
  Occupy(&controller, "a");
  for (uint64_t id = 1; id <= kMaxWaiting; ++id)
    controller.Offer(now_, WorkOf(id, "a", 1, now_), &decisions_);
  controller.Offer(now_, WorkOf(10, "b", 2, now_), &decisions_);
  CHECK(DecisionOf(10) != nullptr);
  LONGS_EQUAL(1, decisions_.size());
}

// The account's own further work must not displace others.
TEST(account_fairness, queueFull_accountAboveItsShareDisplacesNobody) {
  constexpr size_t kMaxWaiting = 3;
  AdmissionController controller(SettingsOf(kMaxWaiting));
  RunUsual(&controller);
  Occupy(&controller, "a");
  for (uint64_t id = 1; id <= kMaxWaiting; ++id)
    controller.Offer(now_, WorkOf(id, "b", 1, now_), &decisions_);
  controller.Offer(now_, WorkOf(10, "a", 1, now_), &decisions_);
  CHECK(DecisionOf(10) != nullptr);
  LONGS_EQUAL(1, decisions_.size());
}

// Work that was overtaken until it cannot be served in time must be told so,
// rather than wait until it is late.
TEST(account_fairness, overtakenWork_isRefusedAtTheNextTick) {
  AdmissionController controller(SettingsOf(100));
  RunUsual(&controller);
  Occupy(&controller, "a");
  controller.Offer(now_, WorkOf(1, "a", 1, now_, 400), &decisions_);
  CHECK(DecisionOf(1) == nullptr);
  constexpr uint64_t kOvertaking = 12;
  for (uint64_t id = 2; id < 2 + kOvertaking; ++id)
    controller.Offer(now_, WorkOf(id, "", 1, now_), &decisions_);
  controller.Tick(now_ + 20, &decisions_);
  CHECK(DecisionOf(1) != nullptr);
  CHECK(DecisionOf(1)->type == AdmissionDecision::Type::kRefuse);
  CHECK(DecisionOf(1)->displaced);
  LONGS_EQUAL(kOvertaking, controller.Waiting());
}

// Deployments without accounts, or with one, must be served as before.
TEST(account_fairness, noAccountOrOne_decisionsAreTheSame) {
  AdmissionController without(SettingsOf(20));
  AdmissionController with_one(SettingsOf(20));
  Random random(5);
  std::vector<uint64_t> running;
  for (uint64_t id = 1; id < 20000; ++id) {
    now_ = now_ + static_cast<int64_t>(random.Below(30));
    AdmissionController::Decisions first;
    AdmissionController::Decisions second;
    AdmissionRequest work =
        WorkOf(id, "", static_cast<int>(random.Below(4)), now_,
               300 + static_cast<int64_t>(random.Below(500)));
    without.Offer(now_, work, &first);
    work.account = "a";
    with_one.Offer(now_, work, &second);
    if (!running.empty() && random.Below(2) == 0) {
      size_t index = random.Below(running.size());
      auto run_ms = static_cast<int64_t>(50 + random.Below(200));
      without.Finish(now_, running[index], run_ms, &first);
      with_one.Finish(now_, running[index], run_ms, &second);
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
    }
    without.Tick(now_, &first);
    with_one.Tick(now_, &second);
    LONGS_EQUAL(first.size(), second.size());
    for (size_t i = 0; i < first.size(); ++i) {
      CHECK_EQUAL(first[i].id, second[i].id);
      CHECK(first[i].type == second[i].type);
      if (first[i].type == AdmissionDecision::Type::kStart)
        running.push_back(first[i].id);
    }
  }
}

// With four classes, the second account priority shared the last class with all
// lower ones, and its urgent routes came behind the first account's long ones.
TEST(account_fairness, accountPriority_precedesRoutePriority) {
  RouteConfiguration configuration;
  configuration.version = 1;
  configuration.services["s"] = {"s", 100};
  constexpr int kRoutes = 4;
  for (int priority = 0; priority < kRoutes; ++priority) {
    std::string id = "r" + std::to_string(priority);
    configuration.routes.push_back(
        HttpRouteBuilder(id, "a.example", "/" + id + "/")
            .To("s")
            .Timeout(1000)
            .Aim(400)
            .Priority(priority)
            .Build());
  }
  constexpr int kAccounts = 3;
  for (int i = 0; i < kAccounts; ++i) {
    ClientAccount account;
    account.name = "account-" + std::to_string(i);
    account.api_keys = {"key-" + std::to_string(i)};
    account.priority = 10 * i;
    configuration.accounts.push_back(account);
  }
  Result<RouteTablePtr> table = RouteTable::Create(configuration);
  int previous = -1;
  for (int account = 0; account < kAccounts; ++account) {
    for (const HttpRoute& route : configuration.routes) {
      const ClientAccount* holder =
          (*ValueOf(table))->AccountOf("key-" + std::to_string(account));
      int urgency = UrgencyOf((*ValueOf(table))->PriorityOf(route, holder));
      LONGS_EQUAL(previous + 1, urgency);
      previous = urgency;
    }
  }
  // Without accounts the classes are those of the earlier version.
  HttpRoute route = configuration.routes[0];
  route.priority = 99;
  LONGS_EQUAL(kRouteClasses - 1, (*ValueOf(table))->PriorityOf(route, nullptr));
}

// Many waiting classes together must not take more from urgent work than three
// did: the credit of each would else add up to all slots.
TEST(account_fairness, manyClassesWait_urgentWorkKeepsItsSlots) {
  AdmissionController controller(SettingsOf(2000));
  constexpr int kLastClass = 15;
  int urgent = 0;
  int others = 0;
  uint64_t id = 1;
  controller.Offer(now_, WorkOf(next_, "", 0, now_), &decisions_);
  controller.Finish(now_, next_, kRunMs, &decisions_);
  decisions_.clear();
  for (int urgency = 0; urgency <= kLastClass; ++urgency) {
    for (int i = 0; i < 100; ++i)
      controller.Offer(now_, WorkOf(id++, "", urgency, now_, 100000),
                       &decisions_);
  }
  constexpr int kRuns = 120;
  for (size_t next = 0; urgent + others < kRuns; ++next) {
    CHECK(next < decisions_.size());
    const AdmissionDecision decision = decisions_[next];
    if (decision.type == AdmissionDecision::Type::kRefuse) continue;
    ++(decision.id <= 100 ? urgent : others);
    now_ = now_ + kRunMs / kSlots;
    controller.Finish(now_, decision.id, kRunMs, &decisions_);
  }
  CHECK(urgent * 100 >= 65 * (urgent + others));
  CHECK(others > 0);
}

TEST_GROUP(load_message){};

// Daemons of the earlier version reject a load with more than four classes.
TEST(load_message, noFurtherClasses_earlierVersionUnderstands) {
  ForwardAnswer answer;
  answer.load.slots = 12;
  answer.load.ahead.fill(9);
  answer.load.ahead[0] = 2;
  answer.load.ahead[1] = 4;
  const std::string bytes = EncodePeerMessage(answer);
  nlohmann::json decoded = nlohmann::json::from_cbor(bytes);
  const nlohmann::json kAhead = {2, 4, 9, 9};
  CHECK(decoded[1][8] == kAhead);
  Result<PeerMessage> back = DecodePeerMessage(bytes);
  CHECK(std::get<ForwardAnswer>(*ValueOf(back)).load.ahead ==
        answer.load.ahead);
}

TEST(load_message, furtherClasses_areUnchanged) {
  ForwardAnswer answer;
  for (size_t cls = 0; cls < answer.load.ahead.size(); ++cls)
    answer.load.ahead[cls] = static_cast<int>(cls);
  Result<PeerMessage> back = DecodePeerMessage(EncodePeerMessage(answer));
  CHECK(std::get<ForwardAnswer>(*ValueOf(back)).load.ahead ==
        answer.load.ahead);
}
