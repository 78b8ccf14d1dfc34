#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "standins/node_fleet.h"

using namespace banyanloft;

/// Calls through a simulated fleet of nodes without I/O: twelve instances of
/// `shop` in four zones.
TEST_GROUP(call) {
  NodeFleetSettings settings_;
  std::unique_ptr<NodeFleet> fleet_;

  void setup() override { StartFleet(12); }

  void StartFleet(size_t count) {
    fleet_ = std::make_unique<NodeFleet>(settings_);
    fleet_->ApplyConfiguration(SampleConfiguration());
    for (size_t i = 0; i < count; ++i)
      fleet_->Start(i % 2 == 0 ? "shop" : "s.shop");
    CHECK(fleet_->RunUntil([&] { return AllReady(); }, 20000));
  }

  bool AllReady() {
    for (size_t i = 0; i < fleet_->Size(); ++i) {
      if (!fleet_->NodeAt(i).Ready() ||
          fleet_->NodeAt(i).Members().Others().size() + 1 != fleet_->Size())
        return false;
      for (const auto& [id, member] : fleet_->NodeAt(i).Members().Others()) {
        if (member.state != MemberState::kReady) return false;
      }
    }
    return true;
  }

  static CallRequest Request(const std::string& name, const std::string& body,
                             const std::string& key = "") {
    CallRequest request;
    request.name = name;
    request.body = body;
    request.key = key;
    return request;
  }

  CallAnswer Call(size_t index, CallRequest request, int64_t limit_ms = 10000) {
    uint64_t number = fleet_->Call(index, std::move(request));
    CHECK(fleet_->RunUntil(
        [&] { return fleet_->CompletedCalls().count(number) != 0; }, limit_ms));
    return fleet_->CompletedCalls().at(number).answer;
  }

  /// Index of the node with this member id, in hexadecimal.
  size_t IndexOf(const std::string& member) {
    for (size_t i = 0; i < fleet_->Size(); ++i) {
      if (fmt::format("{:016x}", fleet_->NodeAt(i).Members().Self().id) ==
          member)
        return i;
    }
    FAIL("no such member");
    return 0;
  }
  size_t HomeOf(const std::string& key) {
    size_t start = key.find('.') + 1;
    std::string hex = key.substr(start, key.find('.', start) - start);
    return IndexOf(std::string(16 - hex.size(), '0') + hex);
  }
  size_t OtherThanHome(const std::string& key) {
    return (HomeOf(key) + 1) % fleet_->Size();
  }
};

TEST(call, namesOfAllSchemes_resolveToTheRoute) {
  for (const char* name :
       {"read", "n.shop/read", "s.shop/read", "c.shop/read"}) {
    CallAnswer answer = Call(0, Request(name, name));
    CHECK_FALSE(answer.outcome.error.has_value());
    CHECK_EQUAL(1, fleet_->RunsByBody().at(name));
  }
}

TEST(call, unknownName_isRefusedAsNotRun) {
  CallAnswer answer = Call(0, Request("nothing", "x"));
  CHECK(answer.outcome.error == ErrorKind::kUnknownRoute);
  CHECK(answer.outcome.run_state == RunState::kNotRun);
}

TEST(call, callerRequestsAMoreUrgentRank_getsTheRankOfTheRoute) {
  CallRequest request = Request("s.shop/post", "x");
  request.rank = "urgent";
  Call(0, request);
  uint64_t normal = 0;
  uint64_t urgent = 0;
  for (size_t i = 0; i < fleet_->Size(); ++i) {
    normal +=
        fleet_->NodeAt(i).Runner().Counts().Get("runs_started_total", "normal");
    urgent +=
        fleet_->NodeAt(i).Runner().Counts().Get("runs_started_total", "urgent");
  }
  CHECK_EQUAL(1U, normal);
  CHECK_EQUAL(0U, urgent);
}

TEST(call, callerRequestsALessUrgentRank_getsIt) {
  CallRequest request = Request("read", "x");
  request.rank = "batch";
  Call(0, request);
  uint64_t batch = 0;
  for (size_t i = 0; i < fleet_->Size(); ++i) {
    batch +=
        fleet_->NodeAt(i).Runner().Counts().Get("runs_started_total", "batch");
  }
  CHECK_EQUAL(1U, batch);
}

TEST(call, keyRequiredAndMissing_isRefusedAsNotRun) {
  CallAnswer answer = Call(0, Request("pay", "x"));
  CHECK(answer.outcome.error == ErrorKind::kKeyMissing);
  CHECK_EQUAL(0U, fleet_->RunsByBody().count("x"));
}

TEST(call, chainTooDeep_isRefused) {
  CallRequest request = Request("read", "x");
  request.depth = kMaxCallDepth;
  CHECK(Call(0, request).outcome.error == ErrorKind::kDepthExceeded);
  request.depth = kMaxCallDepth - 1;
  CHECK_FALSE(Call(0, request).outcome.error.has_value());
}

TEST(call, keySentThroughEveryDaemon_runsOnceAndGivesAllTheSameAnswer) {
  std::string key = fleet_->RequestKey(0, "pay");
  std::vector<uint64_t> calls;
  for (size_t i = 0; i < fleet_->Size(); ++i)
    calls.push_back(fleet_->Call(i, Request("pay", "deposit", key)));
  fleet_->Run(500);
  for (uint64_t call : calls)
    CHECK(fleet_->CompletedCalls().at(call).answer.outcome.body == "done");
  CHECK_EQUAL(1, fleet_->RunsByBody().at("deposit"));
}

TEST(call, keyResentAfterItsHomeWasKilled_isUnknownAndNeverRunsAgain) {
  std::string key = fleet_->RequestKey(0, "pay");
  size_t home = HomeOf(key);
  size_t other = OtherThanHome(key);
  Call(other, Request("pay", "deposit", key));
  fleet_->Kill(home);
  fleet_->Run(100);
  CallAnswer answer = Call(other, Request("pay", "deposit", key));
  CHECK(answer.outcome.run_state == RunState::kUnknown);
  fleet_->Restart(home);
  fleet_->Run(5000);
  answer = Call(other, Request("pay", "deposit", key));
  CHECK(answer.outcome.run_state == RunState::kUnknown);
  CHECK_EQUAL(1, fleet_->RunsByBody().at("deposit"));
}

TEST(call, homeFrozenBeyondTheDeadline_runsAtMostOnceAndIsNotReportedAsNotRun) {
  std::string key = fleet_->RequestKey(0, "pay");
  size_t home = HomeOf(key);
  size_t other = OtherThanHome(key);
  fleet_->Freeze(home);
  CallAnswer first = Call(other, Request("pay", "deposit", key));
  CHECK(first.outcome.run_state == RunState::kUnknown);
  CHECK(first.hint == RetryHint::kResendKey);
  fleet_->Run(20000);
  fleet_->Thaw(home);
  fleet_->Run(3000);
  CallAnswer again = Call(other, Request("pay", "deposit", key));
  CHECK(again.outcome.body == "done" ||
        again.outcome.run_state != RunState::kRan);
  int runs = fleet_->RunsByBody().count("deposit") != 0
                 ? fleet_->RunsByBody().at("deposit")
                 : 0;
  CHECK(runs <= 1);
  if (again.outcome.run_state == RunState::kNotRun) CHECK_EQUAL(0, runs);
}

TEST(call, callersDaemonPartitionedFromTheHome_neverReportsNotRun) {
  std::string key = fleet_->RequestKey(0, "pay");
  size_t home = HomeOf(key);
  size_t other = OtherThanHome(key);
  Call(other, Request("pay", "deposit", key));
  fleet_->Partition({fleet_->NodeAt(home).Members().Self().zone}, false);
  CallAnswer answer = Call(other, Request("pay", "deposit", key));
  CHECK(answer.outcome.run_state == RunState::kUnknown);
  fleet_->Partition({}, false);
  fleet_->Run(8000);
  answer = Call(other, Request("pay", "deposit", key));
  CHECK(answer.outcome.body == "done");
  CHECK_EQUAL(1, fleet_->RunsByBody().at("deposit"));
}

TEST(call, keyRefusedLocallyAfterItRan_isNotReportedAsNotRun) {
  // The route is deleted between the run and the resend.
  std::string key = fleet_->RequestKey(0, "pay");
  Call(1, Request("pay", "deposit", key));
  Configuration without = SampleConfiguration();
  without.routes.erase("pay");
  fleet_->ApplyConfiguration(without);
  fleet_->Run(3000);
  CallAnswer answer = Call(1, Request("pay", "deposit", key));
  CHECK(answer.outcome.error == ErrorKind::kUnknownRoute);
  CHECK(answer.outcome.run_state == RunState::kUnknown);
}

TEST(call, targetKilledWithAnIdempotentCallInFlight_isAnsweredByAnother) {
  uint64_t number = fleet_->Call(0, Request("read", "lookup"));
  fleet_->Run(3);
  size_t victim = fleet_->Size();
  for (size_t i = 0; i < fleet_->Size(); ++i) {
    if (fleet_->RunsAt(i) > 0) victim = i;
  }
  CHECK(victim < fleet_->Size());
  if (victim == 0) return;
  fleet_->Kill(victim);
  CHECK(fleet_->RunUntil(
      [&] { return fleet_->CompletedCalls().count(number) != 0; }, 2000));
  CHECK_FALSE(
      fleet_->CompletedCalls().at(number).answer.outcome.error.has_value());
}

TEST(call, targetKilledWithACallThatIsNotIdempotent_isUnknownAndNotRepeated) {
  settings_.run_ms = 200;
  StartFleet(12);
  std::map<uint64_t, std::string> calls;
  for (int i = 0; i < 24; ++i) {
    std::string body = fmt::format("post-{}", i);
    calls[fleet_->Call(static_cast<size_t>(i) % 6, Request("post", body))] =
        body;
  }
  fleet_->Run(50);
  for (size_t i = 6; i < 12; ++i) fleet_->Kill(i);
  fleet_->Run(5000);
  for (const auto& [number, body] : calls) {
    const RunOutcome& outcome =
        fleet_->CompletedCalls().at(number).answer.outcome;
    int runs = fleet_->RunsByBody().count(body) != 0
                   ? fleet_->RunsByBody().at(body)
                   : 0;
    CHECK(runs <= 1);
    if (outcome.run_state == RunState::kNotRun) CHECK_EQUAL(0, runs);
    if (outcome.run_state == RunState::kRan) CHECK_EQUAL(1, runs);
  }
}

TEST(call, allBackendServersDown_isRefusedAsNotRun) {
  StartFleet(2);
  for (size_t i = 0; i < 2; ++i) fleet_->CrashBackend(i, 1000000);
  fleet_->Run(4000);
  CallAnswer refused = Call(0, Request("read", "lookup"));
  CHECK(refused.outcome.run_state == RunState::kNotRun);
  CHECK(refused.outcome.error == ErrorKind::kNoTarget);
}

TEST(call, backendServerCrashes_answersAreUnknownAndOthersServe) {
  settings_.run_ms = 100;
  StartFleet(4);
  std::map<uint64_t, std::string> calls;
  for (int i = 0; i < 16; ++i) {
    std::string body = fmt::format("post-{}", i);
    calls[fleet_->Call(0, Request("post", body))] = body;
  }
  fleet_->Run(20);
  fleet_->CrashBackend(0, 500);
  fleet_->Run(3000);
  for (const auto& [number, body] : calls)
    CHECK(fleet_->RunsByBody().at(body) <= 1);
  CHECK_FALSE(Call(0, Request("read", "after")).outcome.error.has_value());
}

TEST(call, requestThatCrashesBackendServers_isContainedAndOthersAreServed) {
  settings_.run_ms = 50;
  StartFleet(12);
  int crashes = 0;
  fleet_->should_crash = [&](const std::string& body) {
    return body == "poison" && ++crashes > 0;
  };
  int other_failures = 0;
  CallAnswer poison;
  for (int round = 0; round < 40; ++round) {
    std::vector<uint64_t> other_calls;
    for (size_t i = 0; i < 12; ++i) {
      other_calls.push_back(
          fleet_->Call(i, Request("read", fmt::format("page-{}", i))));
    }
    uint64_t number = fleet_->Call(static_cast<size_t>(round) % 12,
                                   Request("read", "poison"));
    fleet_->Run(1500);
    poison = fleet_->CompletedCalls().at(number).answer;
    for (uint64_t call : other_calls) {
      if (fleet_->CompletedCalls().at(call).answer.outcome.error)
        ++other_failures;
    }
  }
  CHECK(poison.outcome.error == ErrorKind::kCrashSuspect);
  CHECK(poison.outcome.run_state == RunState::kNotRun);
  // Retries and calls already in flight may cause a few crashes more than the
  // limit of three.
  CHECK(crashes <= 6);
  CHECK(other_failures <= crashes);
  for (size_t i = 0; i < 12; ++i) {
    CHECK_FALSE(Call(i, Request("read", fmt::format("page-{}", i)))
                    .outcome.error.has_value());
  }
}

TEST(call, drain_abortsNoRequestAndAcceptsNoNewWork) {
  settings_.run_ms = 300;
  StartFleet(12);
  std::vector<uint64_t> calls;
  for (int i = 0; i < 60; ++i)
    calls.push_back(fleet_->Call(static_cast<size_t>(i) % 12,
                                 Request("post", fmt::format("p{}", i))));
  fleet_->Run(20);
  fleet_->Drain(3);
  fleet_->Run(400);
  uint64_t runs = fleet_->RunsAt(3);
  for (int i = 0; i < 60; ++i)
    calls.push_back(fleet_->Call(static_cast<size_t>(i) % 3,
                                 Request("post", fmt::format("q{}", i))));
  fleet_->Run(3000);
  for (uint64_t call : calls)
    CHECK_FALSE(
        fleet_->CompletedCalls().at(call).answer.outcome.error.has_value());
  CHECK_EQUAL(runs, fleet_->RunsAt(3));
  CHECK(fleet_->Exited(3));
}

TEST(call, drainingHomeOfAnUnusedKey_permanentlyReportsNotRun) {
  std::string key = fleet_->RequestKey(0, "pay");
  size_t home = HomeOf(key);
  size_t other = OtherThanHome(key);
  fleet_->Drain(home);
  CallAnswer answer = Call(other, Request("pay", "deposit", key));
  CHECK(answer.outcome.error == ErrorKind::kDraining);
  CHECK(answer.outcome.run_state == RunState::kNotRun);
  fleet_->Run(3000);
  CHECK_EQUAL(0U, fleet_->RunsByBody().count("deposit"));
}

TEST(call, callerDisconnects_runIsCancelledAtTheBackendServer) {
  settings_.run_ms = 10000;
  StartFleet(4);
  uint64_t number = fleet_->Call(0, Request("post", "x"));
  fleet_->Run(20);
  Node::Actions actions;
  fleet_->MutableNode(0).OnAbandoned(fleet_->Now(), number, &actions);
  bool cancelled = false;
  for (const NodeAction& action : actions) {
    if (std::holds_alternative<CancelBackend>(action)) cancelled = true;
    const auto* peer = std::get_if<SendPeer>(&action);
    if (peer != nullptr && std::holds_alternative<CancelRun>(peer->message))
      cancelled = true;
  }
  CHECK(cancelled);
  CHECK_EQUAL(0U, fleet_->CompletedCalls().count(number));
}

TEST(call, answerAfterTheDeadline_isReportedAsTimeout) {
  settings_.run_ms = 5000;
  StartFleet(4);
  CallRequest request = Request("post", "x");
  request.timeout_ms = 500;
  CallAnswer answer = Call(0, request);
  CHECK(answer.outcome.error == ErrorKind::kTimeout);
  CHECK(answer.outcome.run_state == RunState::kUnknown);
}

TEST(call, allTargetsOverloaded_retriesStayNearTheBudget) {
  settings_.run_ms = 100;
  settings_.slots = 2;
  StartFleet(4);
  uint64_t calls = 0;
  for (int ms = 0; ms < 4000; ms += 2) {
    for (int i = 0; i < 2; ++i) {
      fleet_->Call(static_cast<size_t>(i), Request("read", "flood"));
      ++calls;
    }
    fleet_->Run(2);
  }
  uint64_t retries = 0;
  for (size_t i = 0; i < 4; ++i)
    retries += fleet_->NodeAt(i).Dispatcher().Counts().Get(
        "call_attempts_total", "retry");
  CHECK(retries * 10 <= calls);
}

TEST(call, sameSeed_givesTheSameStateHash) {
  uint64_t hashes[2];
  for (uint64_t& hash : hashes) {
    StartFleet(6);
    for (int i = 0; i < 50; ++i)
      fleet_->Call(static_cast<size_t>(i) % 6,
                   Request("read", fmt::format("{}", i)));
    fleet_->Kill(2);
    fleet_->Run(3000);
    hash = 0;
    for (size_t i = 0; i < 6; ++i) {
      if (fleet_->Alive(i))
        hash = hash * 31 + fleet_->NodeAt(i).Members().StateHash();
    }
    for (const auto& [number, ended] : fleet_->CompletedCalls()) {
      hash = hash * 31 + static_cast<uint64_t>(ended.completed_at.Value()) +
             number;
    }
  }
  CHECK_EQUAL(hashes[0], hashes[1]);
}
