#include "banyanloft/mesh/backend_runner.h"

#include <CppUTest/TestHarness.h>

using namespace banyanloft;

namespace {

constexpr char kAddress[] = "10.0.0.1:80";

InstanceReport ReportOf(int64_t sequence, bool draining = false,
                        int64_t start_time_ms = 1000) {
  InstanceReport report;
  report.id = "i-1";
  report.start_time_ms = start_time_ms;
  report.sequence = sequence;
  report.service = "s";
  report.address = kAddress;
  report.slots = 2;
  report.draining = draining;
  return report;
}

}  // namespace

constexpr int64_t kHeartbeatMs = 1500;

TEST_GROUP(instance_registry) {
  InstanceRegistrySettings settings_ = RegistrySettings();
  InstanceRegistry registry_{settings_, TimeMs(0)};

  static InstanceRegistrySettings RegistrySettings() {
    InstanceRegistrySettings settings;
    settings.address = kAddress;
    settings.heartbeat_ms = kHeartbeatMs;
    return settings;
  }
};

TEST(instance_registry, report_late_isIgnored) {
  registry_.OnReport(TimeMs(0), ReportOf(2, true));
  CHECK(registry_.OnReport(TimeMs(1), ReportOf(1)) ==
        InstanceRegistry::Change::kIgnored);
  CHECK(registry_.State() == InstanceState::kDraining);
}

TEST(instance_registry, report_afterDraining_staysDraining) {
  registry_.OnReport(TimeMs(0), ReportOf(1, true));
  registry_.OnReport(TimeMs(1), ReportOf(2));
  CHECK(registry_.State() == InstanceState::kDraining);
}

TEST(instance_registry, report_ofRestartWithSameId_isReady) {
  registry_.OnHealthy(TimeMs(0), "i-1", "s");
  registry_.OnReport(TimeMs(0), ReportOf(9, true));
  CHECK(registry_.OnReport(TimeMs(1), ReportOf(1, false, 2000)) ==
        InstanceRegistry::Change::kStarted);
  CHECK(registry_.State() == InstanceState::kReady);
}

// Both starts may have left before this process started.
TEST(instance_registry, report_ofRestartAtNewProcess_needsAHealthCheck) {
  registry_.OnReport(TimeMs(0), ReportOf(9, true));
  CHECK(registry_.OnReport(TimeMs(1), ReportOf(1, false, 2000)) ==
        InstanceRegistry::Change::kStarted);
  CHECK(registry_.State() == InstanceState::kUnknown);
  CHECK(registry_.NeedsHealthCheck());
  registry_.OnHealthy(TimeMs(2), "i-1", "s");
  CHECK(registry_.State() == InstanceState::kReady);
}

TEST(instance_registry, report_ofEarlierStart_isIgnored) {
  registry_.OnHealthy(TimeMs(0), "i-1", "s");
  registry_.OnReport(TimeMs(0), ReportOf(1, false, 2000));
  CHECK(registry_.OnReport(TimeMs(1), ReportOf(50, true, 1000)) ==
        InstanceRegistry::Change::kIgnored);
  CHECK(registry_.State() == InstanceState::kReady);
}

TEST(instance_registry, report_ofOtherAddress_isIgnored) {
  InstanceReport foreign = ReportOf(1);
  foreign.address = "10.0.0.2:80";
  registry_.OnReport(TimeMs(0), foreign);
  CHECK(registry_.State() == InstanceState::kUnknown);
}

TEST(instance_registry, deregistered_reportOfSameStart_isIgnored) {
  registry_.OnReport(TimeMs(0), ReportOf(1));
  registry_.OnDeregistered(TimeMs(1), "i-1");
  registry_.OnReport(TimeMs(2), ReportOf(2));
  CHECK(registry_.State() == InstanceState::kGone);
}

// The process restarts after the last report, learns the id from a health
// check, and acknowledges the deregistration. A report sent before that arrives
// late.
TEST(instance_registry, deregistered_startUnknown_lateReportIsIgnored) {
  registry_.OnHealthy(TimeMs(0), "i-1", "s");
  registry_.OnDeregistered(TimeMs(500), "i-1");
  CHECK(registry_.OnReport(TimeMs(2600), ReportOf(21)) ==
        InstanceRegistry::Change::kIgnored);
  CHECK(registry_.State() == InstanceState::kGone);
  registry_.OnReport(TimeMs(90000), ReportOf(22));
  CHECK(registry_.State() == InstanceState::kGone);
}

// The address was released by a server of another service and belongs to this
// one, which the daemon knows from a health check. A late report of the earlier
// server must not put it back in its place.
TEST(instance_registry, lateReportOfTheAddressesEarlierServer_isNotUsed) {
  registry_.OnHealthy(TimeMs(0), "i-2", "s");
  registry_.OnReport(TimeMs(900), ReportOf(21));
  CHECK(registry_.State() == InstanceState::kUnknown);
  CHECK(registry_.NeedsHealthCheck());
  registry_.OnHealthy(TimeMs(910), "i-2", "s");
  CHECK(registry_.State() == InstanceState::kReady);
  STRCMP_EQUAL("i-2", registry_.Last().id.c_str());
}

// The daemon restarts beside a running server. Taken for a restart of the
// server, its first report would blame the runs that broke with the old daemon
// for a crash.
TEST(instance_registry, firstReport_afterHealthCheck_isNoRestart) {
  registry_.OnHealthy(TimeMs(0), "i-1", "s");
  CHECK(registry_.OnReport(TimeMs(400), ReportOf(21)) ==
        InstanceRegistry::Change::kUpdated);
  CHECK(registry_.State() == InstanceState::kReady);
  CHECK(registry_.OnReport(TimeMs(900), ReportOf(1, false, 2000)) ==
        InstanceRegistry::Change::kStarted);
}

// An earlier process acknowledged that the server leaves. Its successor knows
// nothing of that, and the reports that it sees may have been sent before.
TEST(instance_registry,
     reports_withoutAHealthCheck_areNotUsedWhileTheyMayBeLate) {
  registry_.OnReport(TimeMs(100), ReportOf(20));
  CHECK(registry_.State() == InstanceState::kUnknown);
  registry_.OnReport(TimeMs(1600), ReportOf(21));
  CHECK(registry_.State() == InstanceState::kUnknown);
  TimeMs latest(settings_.max_report_delay_ms);
  registry_.OnReport(latest, ReportOf(27));
  CHECK(registry_.State() == InstanceState::kUnknown);
  registry_.OnReport(latest + 1, ReportOf(28));
  CHECK(registry_.State() == InstanceState::kReady);
}

TEST(instance_registry, firstReport_healthCheckSucceeds_isUsed) {
  registry_.OnReport(TimeMs(100), ReportOf(20));
  CHECK(registry_.NeedsHealthCheck());
  registry_.OnHealthy(TimeMs(110), "i-1", "s");
  CHECK(registry_.State() == InstanceState::kReady);
  LONGS_EQUAL(20, registry_.Last().sequence);
}

TEST(instance_registry, deregistered_startUnknown_restartWithSameIdIsReady) {
  registry_.OnHealthy(TimeMs(0), "i-1", "s");
  registry_.OnDeregistered(TimeMs(500), "i-1");
  registry_.OnReport(TimeMs(2600), ReportOf(21));
  CHECK(registry_.OnReport(TimeMs(9000), ReportOf(1, false, 2000)) ==
        InstanceRegistry::Change::kStarted);
  CHECK(registry_.State() == InstanceState::kReady);
}

TEST_GROUP(backend_runner) {
  std::unique_ptr<BackendRunner> runner_;
  BackendRunner::Actions actions_;

  void setup() override {
    BackendRunnerSettings settings;
    settings.service = "s";
    settings.address = kAddress;
    runner_ = std::make_unique<BackendRunner>(settings, 3, TimeMs(0));
  }
  /// A report, confirmed by a health check if it is the first one.
  void Report(int64_t sequence, bool draining = false) {
    runner_->OnReport(TimeMs(0), ReportOf(sequence, draining), &actions_);
    runner_->OnProbed(TimeMs(0), ProbeResult{true, "i-1", {}}, &actions_);
  }
  /// Replaces the runner by one with this limit.
  void SetMaxBodyBytes(size_t bytes) {
    BackendRunnerSettings settings;
    settings.service = "s";
    settings.address = kAddress;
    settings.max_body_bytes = bytes;
    runner_ = std::make_unique<BackendRunner>(settings, 1, TimeMs(0));
  }
  /// Whether an attempt with a body of this length may arrive.
  bool Begins(uint64_t attempt, size_t body_bytes) {
    ForwardRequest request;
    request.attempt = attempt;
    request.service = "s";
    request.remaining_ms = 1000;
    return runner_->OnForwardBegins(TimeMs(0), "peer:1", request, body_bytes,
                                    &actions_);
  }
  void Forward(TimeMs now, uint64_t attempt, bool idempotent,
               const std::string& body = "", int64_t remaining_ms = 1000) {
    ForwardRequest request;
    request.attempt = attempt;
    request.service = "s";
    request.route = "r";
    request.caller = "c";
    request.target = "/x";
    request.body = body;
    request.idempotent = idempotent;
    request.aim_left_ms = remaining_ms * 2 / 5;
    request.remaining_ms = remaining_ms;
    runner_->OnForward(now, "peer:1", request, &actions_);
  }
  const StartRun* Run(size_t n) {
    for (const BackendRunnerAction& action : actions_) {
      const auto* run = std::get_if<StartRun>(&action);
      if (run != nullptr && n-- == 0) return run;
    }
    return nullptr;
  }
  const ForwardAnswer* AnswerOf(uint64_t attempt) {
    for (const BackendRunnerAction& action : actions_) {
      const auto* sent = std::get_if<SendForwardAnswer>(&action);
      if (sent != nullptr && sent->answer.attempt == attempt)
        return &sent->answer;
    }
    return nullptr;
  }
  template <typename T>
  size_t Count() {
    size_t count = 0;
    for (const BackendRunnerAction& action : actions_)
      count += std::holds_alternative<T>(action) ? 1 : 0;
    return count;
  }
  void End(size_t n, RunResult::Type type, TimeMs now = TimeMs(50)) {
    RunResult result;
    result.run = Run(n)->run;
    result.type = type;
    runner_->OnResult(now, result, &actions_);
  }
  void EndSayingItLeaves(size_t n) {
    RunResult result;
    result.run = Run(n)->run;
    result.notice = BackendNotice();
    result.notice->leaving = true;
    runner_->OnResult(TimeMs(50), result, &actions_);
  }
};

TEST(backend_runner, forward_instanceUnknown_refusedAsNotRun) {
  Forward(TimeMs(0), 1, false);
  CHECK(AnswerOf(1)->error == ErrorKind::kBackendUnavailable);
  CHECK(AnswerOf(1)->run_state == RunState::kNotRun);
  LONGS_EQUAL(0, Count<StartRun>());
}

TEST(backend_runner, forward_instanceReady_runsWithInstanceId) {
  Report(1);
  Forward(TimeMs(0), 1, false);
  STRCMP_EQUAL("i-1", Run(0)->instance.c_str());
  End(0, RunResult::Type::kAnswered);
  CHECK(!AnswerOf(1)->error);
}

// Daemons of the earlier version, which send no accounts, reject a load of more
// than four classes.
TEST(backend_runner, answerToRequestWithoutAccount_loadHasTheEarlierClasses) {
  Report(1);
  for (uint64_t attempt = 1; attempt <= 3; ++attempt) {
    ForwardRequest request;
    request.attempt = attempt;
    request.service = "s";
    request.route = "r";
    request.account = attempt == 1 ? "" : "a";
    request.priority = attempt == 3 ? 6 : 0;
    request.aim_left_ms = 1000;
    request.remaining_ms = 2000;
    runner_->OnForward(TimeMs(0), "peer:1", request, &actions_);
  }
  Forward(TimeMs(0), 4, false);
  End(0, RunResult::Type::kAnswered);
  End(1, RunResult::Type::kAnswered);
  const TargetLoad& merged = AnswerOf(1)->load;
  LONGS_EQUAL(merged.ahead.back(), merged.ahead[kRouteClasses - 1]);
  const TargetLoad& full = AnswerOf(2)->load;
  CHECK(full.ahead.back() > full.ahead[kRouteClasses - 1]);
}

TEST(backend_runner, drain_acknowledged_noNewRunStartsAndQueuedAreRefused) {
  Report(1);
  for (uint64_t attempt = 1; attempt <= 3; ++attempt)
    Forward(TimeMs(0), attempt, false);
  LONGS_EQUAL(2, Count<StartRun>());
  Report(2, true);
  CHECK(AnswerOf(3)->error == ErrorKind::kDraining);
  CHECK(AnswerOf(3)->run_state == RunState::kNotRun);
  End(0, RunResult::Type::kAnswered);
  Forward(TimeMs(60), 4, false);
  LONGS_EQUAL(2, Count<StartRun>());
  CHECK(!AnswerOf(1)->error);
}

/// Guards against bodies of other daemons that together exceed the memory.
TEST(backend_runner, bodiesExceedTheMemory_newOnesAreRefusedAsNotRun) {
  SetMaxBodyBytes(100000);
  Report(1);
  Forward(TimeMs(0), 1, false, std::string(150000, 'x'));
  Forward(TimeMs(0), 2, false, std::string(20000, 'x'));
  Forward(TimeMs(0), 3, false, "small");
  CHECK(AnswerOf(1) == nullptr);
  CHECK(AnswerOf(2)->error == ErrorKind::kOverloaded);
  CHECK(AnswerOf(2)->run_state == RunState::kNotRun);
  CHECK(AnswerOf(3) == nullptr);
}

/// Guards against bodies that exceed the memory while they arrive.
TEST(backend_runner, arrivingBodiesExceedTheMemory_newOnesAreRefusedAtOnce) {
  SetMaxBodyBytes(100000);
  Report(1);
  Forward(TimeMs(0), 1, false, "small");
  CHECK(Begins(2, 150000));
  CHECK(!Begins(3, 20000));
  CHECK(AnswerOf(3)->error == ErrorKind::kOverloaded);
  CHECK(AnswerOf(3)->run_state == RunState::kNotRun);
  // The one that has arrived whole is not refused after all.
  Forward(TimeMs(0), 2, false, std::string(150000, 'x'));
  CHECK(AnswerOf(2) == nullptr);
  CHECK(!Begins(4, 20000));
}

/// Guards against memory that stays reserved for what no longer arrives.
TEST(backend_runner, linkIsLostWhileABodyArrives_itsMemoryIsFree) {
  SetMaxBodyBytes(100000);
  CHECK(Begins(1, 90000));
  CHECK(!Begins(2, 20000));
  runner_->OnPeerLost(TimeMs(0), "peer:1", &actions_);
  CHECK(Begins(3, 20000));
}

/// The same for a request whose rest never comes on a link that stays open.
TEST(backend_runner, deadlineOfArrivingBodyPasses_itsMemoryIsFree) {
  SetMaxBodyBytes(100000);
  CHECK(Begins(1, 90000));
  runner_->Tick(TimeMs(999), &actions_);
  CHECK(!Begins(2, 20000));
  runner_->Tick(TimeMs(1000), &actions_);
  CHECK(Begins(3, 20000));
}

TEST(backend_runner, forward_otherService_refusedAsNotRun) {
  Report(1);
  ForwardRequest request;
  request.attempt = 5;
  request.service = "other";
  request.remaining_ms = 1000;
  runner_->OnForward(TimeMs(0), "peer:1", request, &actions_);
  CHECK(AnswerOf(5)->run_state == RunState::kNotRun);
  LONGS_EQUAL(0, Count<StartRun>());
}

TEST(backend_runner, daemonRestarted_firstReport_isNotUsedBeforeAHealthCheck) {
  runner_->OnReport(TimeMs(0), ReportOf(20), &actions_);
  Forward(TimeMs(1), 1, false);
  CHECK(Run(0) == nullptr);
  CHECK(AnswerOf(1)->run_state == RunState::kNotRun);
}

// The server starts after its daemon: an earlier check found nothing.
TEST(backend_runner, firstReport_asksForAHealthCheckAtOnce) {
  runner_->Tick(TimeMs(20), &actions_);
  runner_->OnProbed(TimeMs(21), ProbeResult{false, "", {}}, &actions_);
  runner_->OnReport(TimeMs(30), ReportOf(1), &actions_);
  LONGS_EQUAL(2, Count<ProbeInstance>());
  runner_->OnReport(TimeMs(1530), ReportOf(2), &actions_);
  LONGS_EQUAL(2, Count<ProbeInstance>());
}

// Health checks of a server in service may fail.
TEST(backend_runner, serverInService_unhealthyAnswer_changesNothing) {
  Report(20);
  runner_->OnReport(TimeMs(1500), ReportOf(21), &actions_);
  runner_->OnProbed(TimeMs(1600), ProbeResult{true, "", {}}, &actions_);
  CHECK(runner_->State() == InstanceState::kReady);
}

TEST(backend_runner, daemonRestarted_unhealthyAnswer_reportsDoNotRevive) {
  runner_->OnReport(TimeMs(0), ReportOf(20), &actions_);
  runner_->OnProbed(TimeMs(10), ProbeResult{true, "", {}}, &actions_);
  runner_->OnReport(TimeMs(1500), ReportOf(21), &actions_);
  runner_->OnProbed(TimeMs(1510), ProbeResult{true, "", {}}, &actions_);
  Forward(TimeMs(1520), 1, false);
  CHECK(Run(0) == nullptr);
  CHECK(AnswerOf(1)->run_state == RunState::kNotRun);
}

TEST(backend_runner, daemonRestarted_lateReportOfALeavingServer_isNotRun) {
  runner_->OnReport(TimeMs(0), ReportOf(20), &actions_);
  runner_->OnProbed(TimeMs(5), ProbeResult{true, "", {}}, &actions_);
  Forward(TimeMs(10), 1, false);
  CHECK(Run(0) == nullptr);
  CHECK(AnswerOf(1)->run_state == RunState::kNotRun);
}

// The platform states that a server which leaves says so in every response.
TEST(backend_runner, serverSaysThatItLeaves_getsNoFurtherRequests) {
  Report(1);
  for (uint64_t attempt = 1; attempt <= 3; ++attempt)
    Forward(TimeMs(0), attempt, false);
  EndSayingItLeaves(0);
  CHECK(runner_->State() == InstanceState::kDraining);
  CHECK(!AnswerOf(1)->error);
  CHECK(AnswerOf(3)->error == ErrorKind::kDraining);
  CHECK(AnswerOf(3)->run_state == RunState::kNotRun);
  Forward(TimeMs(60), 4, false);
  LONGS_EQUAL(2, Count<StartRun>());
}

TEST(backend_runner, serverSaysThatItLeaves_readyReportDoesNotReviveIt) {
  Report(1);
  Forward(TimeMs(0), 1, false);
  EndSayingItLeaves(0);
  Report(2);
  Forward(TimeMs(60), 2, false);
  LONGS_EQUAL(1, Count<StartRun>());
}

TEST(backend_runner, serverKnownByHealthCheckLeaves_lateReportDoesNotReviveIt) {
  runner_->OnProbed(TimeMs(0), ProbeResult{true, "i-1", BackendNotice()},
                    &actions_);
  Forward(TimeMs(0), 1, false);
  EndSayingItLeaves(0);
  runner_->OnReport(TimeMs(70), ReportOf(20), &actions_);
  runner_->OnReport(TimeMs(80), ReportOf(21), &actions_);
  Forward(TimeMs(90), 2, false);
  LONGS_EQUAL(1, Count<StartRun>());
}

// The server answered a predecessor of this process that it leaves.
TEST(backend_runner, daemonRestarts_healthCheckSaysLeaving_reportsDoNotRevive) {
  BackendNotice leaving;
  leaving.leaving = true;
  runner_->OnProbed(TimeMs(5), ProbeResult{true, "", leaving}, &actions_);
  runner_->OnReport(TimeMs(70), ReportOf(20), &actions_);
  runner_->OnReport(TimeMs(80), ReportOf(21), &actions_);
  Forward(TimeMs(90), 1, false);
  LONGS_EQUAL(0, Count<StartRun>());
}

TEST(backend_runner, limitIsNoNumber_earlierLimitHoldsAndItIsLogged) {
  Report(1);
  Forward(TimeMs(0), 1, false);
  Forward(TimeMs(0), 2, false);
  RunResult result;
  result.run = Run(0)->run;
  result.notice = BackendNotice();
  result.notice->limit_per_s = 7.5;
  runner_->OnResult(TimeMs(50), result, &actions_);
  size_t logged = Count<LogRecord>();
  result.run = Run(1)->run;
  result.notice->limit_per_s.reset();
  result.notice->malformed_limit = "many";
  runner_->OnResult(TimeMs(60), result, &actions_);
  CHECK(runner_->Admission().RateLimit() == 7.5);
  LONGS_EQUAL(logged + 1, Count<LogRecord>());
}

TEST(backend_runner, serverRestartsAfterLeaving_isUsedAgain) {
  Report(1);
  Forward(TimeMs(0), 1, false);
  EndSayingItLeaves(0);
  runner_->OnReport(TimeMs(5000), ReportOf(1, false, 6000), &actions_);
  Forward(TimeMs(5100), 2, false);
  LONGS_EQUAL(2, Count<StartRun>());
}

TEST(backend_runner, serverRestarted_lateResponseOfTheOldOne_isNoLeaving) {
  Report(1);
  Forward(TimeMs(0), 1, false);
  runner_->OnReport(TimeMs(40), ReportOf(1, false, 6000), &actions_);
  EndSayingItLeaves(0);
  CHECK(runner_->State() == InstanceState::kReady);
}

TEST(backend_runner, results_reportWhetherRequestRan) {
  struct Row {
    RunResult::Type type;
    RunState state;
  };
  const Row kRows[] = {{RunResult::Type::kRejected, RunState::kNotRun},
                       {RunResult::Type::kMisplaced, RunState::kNotRun},
                       {RunResult::Type::kNotSent, RunState::kNotRun},
                       {RunResult::Type::kBroken, RunState::kUnknown},
                       {RunResult::Type::kGarbled, RunState::kUnknown},
                       {RunResult::Type::kOversized, RunState::kUnknown},
                       {RunResult::Type::kTimeout, RunState::kUnknown}};
  for (const Row& row : kRows) {
    setup();
    actions_.clear();
    Report(1);
    Forward(TimeMs(0), 1, false);
    End(0, row.type);
    CHECK(AnswerOf(1)->run_state == row.state);
  }
}

TEST(backend_runner, cancel_runningIdempotent_isCancelled) {
  Report(1);
  Forward(TimeMs(0), 1, true);
  runner_->OnCancel(TimeMs(5), "peer:1", CancelForward{1}, &actions_);
  LONGS_EQUAL(1, Count<CancelRunOnBackend>());
}

TEST(backend_runner, cancel_runningNotIdempotent_finishes) {
  Report(1);
  Forward(TimeMs(0), 1, false);
  runner_->OnCancel(TimeMs(5), "peer:1", CancelForward{1}, &actions_);
  const CancelRunOnBackend* cancel = nullptr;
  for (const BackendRunnerAction& action : actions_) {
    const auto* found = std::get_if<CancelRunOnBackend>(&action);
    if (found != nullptr) cancel = found;
  }
  CHECK(cancel != nullptr && cancel->only_if_unsent);
  End(0, RunResult::Type::kAnswered);
  CHECK(AnswerOf(1) == nullptr);
  LONGS_EQUAL(0, runner_->InFlight());
}

TEST(backend_runner, cancel_onlyIfQueued_queuedIsRefusedAndRunningContinues) {
  Report(1);
  for (uint64_t attempt = 1; attempt <= 3; ++attempt)
    Forward(TimeMs(0), attempt, true);
  for (uint64_t attempt = 1; attempt <= 3; ++attempt)
    runner_->OnCancel(TimeMs(5), "peer:1", CancelForward{attempt, true},
                      &actions_);
  CHECK(AnswerOf(1) == nullptr);
  CHECK(AnswerOf(3) != nullptr);
  CHECK(AnswerOf(3)->run_state == RunState::kNotRun);
  End(0, RunResult::Type::kAnswered);
  CHECK(AnswerOf(1)->run_state == RunState::kRan);
  LONGS_EQUAL(2, Count<StartRun>());
}

TEST(backend_runner, refuseQueued_queuedIsRefusedAsNotRun) {
  Report(1);
  for (uint64_t attempt = 1; attempt <= 3; ++attempt)
    Forward(TimeMs(0), attempt, true);
  runner_->RefuseQueued(TimeMs(5), &actions_);
  CHECK(AnswerOf(1) == nullptr);
  CHECK(AnswerOf(3)->run_state == RunState::kNotRun);
}

/// Guards against runs that start late in a planned stop, when a slot becomes
/// free, and are cut at its end.
TEST(backend_runner, plannedStop_queuedRequestThatCannotFinish_isRefusedUnrun) {
  constexpr int64_t kRunMs = 900;
  int64_t margin_ms =
      kRunMs * BackendRunnerSettings().admission.run_margin_permille / 1000;
  TimeMs latest(2000);  // Time of the last start that is allowed.
  Report(1);
  Forward(TimeMs(0), 1, false, "", 6000);
  End(0, RunResult::Type::kAnswered, TimeMs(kRunMs));
  for (uint64_t attempt = 2; attempt <= 4; ++attempt)
    Forward(TimeMs(kRunMs), attempt, false, "", 9000);
  LONGS_EQUAL(3, Count<StartRun>());
  runner_->BeginStop(latest + margin_ms);
  runner_->Tick(latest - 10, &actions_);
  CHECK(AnswerOf(4) == nullptr);
  runner_->Tick(latest + 10, &actions_);
  CHECK(AnswerOf(4) != nullptr);
  CHECK(AnswerOf(4)->error == ErrorKind::kDraining);
  CHECK(AnswerOf(4)->run_state == RunState::kNotRun);
  End(1, RunResult::Type::kAnswered, latest + 20);
  LONGS_EQUAL(3, Count<StartRun>());
}

TEST(backend_runner, plannedStop_newRequestThatCannotFinish_isRefusedUnrun) {
  Report(1);
  Forward(TimeMs(0), 1, false);
  End(0, RunResult::Type::kAnswered, TimeMs(900));
  runner_->BeginStop(TimeMs(2000));
  Forward(TimeMs(1500), 2, false);
  LONGS_EQUAL(1, Count<StartRun>());
  CHECK(AnswerOf(2)->error == ErrorKind::kDraining);
  CHECK(AnswerOf(2)->run_state == RunState::kNotRun);
}

TEST(backend_runner, peerLost_queuedRequestsNeverStart) {
  Report(1);
  for (uint64_t attempt = 1; attempt <= 3; ++attempt)
    Forward(TimeMs(0), attempt, false);
  runner_->OnPeerLost(TimeMs(5), "peer:1", &actions_);
  End(0, RunResult::Type::kAnswered);
  End(1, RunResult::Type::kAnswered);
  LONGS_EQUAL(2, Count<StartRun>());
  LONGS_EQUAL(0, runner_->InFlight());
}

TEST(backend_runner, notSent_queuedAreRefusedAndInstanceIsProbed) {
  Report(1);
  for (uint64_t attempt = 1; attempt <= 3; ++attempt)
    Forward(TimeMs(0), attempt, false);
  End(0, RunResult::Type::kNotSent);
  CHECK(AnswerOf(3)->error == ErrorKind::kBackendUnavailable);
  LONGS_EQUAL(1, Count<ProbeInstance>());
  CHECK(runner_->State() == InstanceState::kUnknown);
  runner_->OnProbed(TimeMs(60), ProbeResult{true, "i-1", {}}, &actions_);
  CHECK(runner_->State() == InstanceState::kReady);
}

/// Guards against a request that no connection can carry taking healthy servers
/// out of use.
TEST(backend_runner, invalidRequest_onlyThatRequestIsRefused) {
  Report(1);
  for (uint64_t attempt = 1; attempt <= 3; ++attempt)
    Forward(TimeMs(0), attempt, false);
  End(0, RunResult::Type::kInvalid);
  CHECK(AnswerOf(1)->error == ErrorKind::kMalformedRequest);
  CHECK(AnswerOf(1)->run_state == RunState::kNotRun);
  CHECK(!AnswerOf(1)->arrived);
  CHECK(runner_->State() == InstanceState::kReady);
  LONGS_EQUAL(3, Count<StartRun>());
}

TEST(backend_runner, crashes_sameRequestThreeTimes_isRefusedAsNotRun) {
  Report(1);
  TimeMs now(0);
  for (int crash = 0; crash < 3; ++crash) {
    size_t n = Count<StartRun>();
    Forward(now, static_cast<uint64_t>(crash) + 1, false, "poison");
    End(n, RunResult::Type::kBroken, now + 10);
    runner_->OnProbed(now + 20, ProbeResult{false, "", {}}, &actions_);
    now = now + 3000;
    runner_->OnReport(now, ReportOf(1, false, 5000 + crash), &actions_);
  }
  size_t runs = Count<StartRun>();
  Forward(now, 9, false, "poison");
  LONGS_EQUAL(runs, Count<StartRun>());
  CHECK(AnswerOf(9)->error == ErrorKind::kCrashSuspect);
  Forward(now, 10, false, "harmless");
  LONGS_EQUAL(runs + 1, Count<StartRun>());
}

TEST(backend_runner, crashesBecomeKnownWhileRequestWaits_isRefusedAtOnce) {
  Report(1);
  Forward(TimeMs(0), 1, false, "harmless 1");
  Forward(TimeMs(0), 2, false, "harmless 2");
  Forward(TimeMs(0), 3, false, "poison");
  CHECK(AnswerOf(3) == nullptr);
  uint64_t fingerprint = RequestFingerprint("/x", "poison");
  for (uint64_t crash = 1; crash <= 3; ++crash)
    runner_->OnCrashSuspicions(TimeMs(10), "gossip",
                               {{fingerprint, crash, false, 0}}, &actions_);
  CHECK(AnswerOf(3) != nullptr);
  CHECK(AnswerOf(3)->error == ErrorKind::kCrashSuspect);
  CHECK(AnswerOf(3)->run_state == RunState::kNotRun);
  End(0, RunResult::Type::kAnswered);
  LONGS_EQUAL(2, Count<StartRun>());
}

TEST(backend_runner, requestsBecomeSuspectsWhileTheyWait_runOneAfterTheOther) {
  Report(1);
  for (uint64_t i = 1; i <= 4; ++i)
    Forward(TimeMs(0), i, false, "request " + std::to_string(i));
  LONGS_EQUAL(2, Count<StartRun>());
  for (const char* body : {"request 3", "request 4"})
    runner_->OnCrashSuspicions(TimeMs(10), "gossip",
                               {{RequestFingerprint("/x", body), 1, false, 0}},
                               &actions_);
  End(0, RunResult::Type::kAnswered);
  End(1, RunResult::Type::kAnswered);
  LONGS_EQUAL(3, Count<StartRun>());
  End(2, RunResult::Type::kAnswered);
  LONGS_EQUAL(4, Count<StartRun>());
}

TEST(backend_runner, serverFallsSilentAndRestarts_unansweredRunsAreSuspects) {
  Report(1);
  Forward(TimeMs(0), 1, false, "timed out");
  Forward(TimeMs(0), 2, false, "running");
  End(0, RunResult::Type::kTimeout, TimeMs(900));
  runner_->OnReport(TimeMs(3000), ReportOf(1, false, 5000), &actions_);
  LONGS_EQUAL(1, Count<SpreadCrashSuspicions>());
  LONGS_EQUAL(2, runner_->Suspects().Size());
}

TEST(backend_runner, serverLeavesAndIsReplaced_itsRunsAreNoSuspects) {
  Report(1);
  Forward(TimeMs(0), 1, false, "cut by the exit");
  Report(2, true);
  End(0, RunResult::Type::kBroken, TimeMs(100));
  runner_->OnProbed(TimeMs(110), ProbeResult{false, "", {}}, &actions_);
  runner_->OnReport(TimeMs(3000), ReportOf(1, false, 5000), &actions_);
  LONGS_EQUAL(0, runner_->Suspects().Size());
}

TEST(backend_runner, daemonRestarted_probesInstanceBeforeAnyRun) {
  runner_->Tick(TimeMs(20), &actions_);
  LONGS_EQUAL(1, Count<ProbeInstance>());
  Forward(TimeMs(25), 1, false);
  CHECK(AnswerOf(1)->run_state == RunState::kNotRun);
  runner_->OnProbed(TimeMs(30), ProbeResult{true, "i-1", {}}, &actions_);
  Forward(TimeMs(35), 2, false);
  STRCMP_EQUAL("i-1", Run(0)->instance.c_str());
}

// The sender chose this target by a report that is out of date.
TEST(backend_runner, forward_waitIsLongerThanElsewhere_isRefusedUnrun) {
  Report(1);
  auto forward = [&](uint64_t attempt, int64_t max_wait_ms) {
    ForwardRequest request;
    request.attempt = attempt;
    request.service = "s";
    request.route = "r";
    request.target = "/x";
    request.aim_left_ms = 400;
    request.remaining_ms = 1000;
    request.max_wait_ms = max_wait_ms;
    runner_->OnForward(TimeMs(0), "peer:1", request, &actions_);
  };
  forward(1, 0);
  forward(2, 0);
  LONGS_EQUAL(2, Count<StartRun>());
  forward(3, 10);
  CHECK(AnswerOf(3)->error == ErrorKind::kOverloaded);
  CHECK(AnswerOf(3)->run_state == RunState::kNotRun);
  CHECK(!AnswerOf(3)->arrived);
  LONGS_EQUAL(1, runner_->Counts().Get("runs_moved_on_total"));
  forward(4, -1);
  CHECK(AnswerOf(4) == nullptr);
  End(0, RunResult::Type::kAnswered);
  LONGS_EQUAL(3, Count<StartRun>());
}

// Peers estimate waits by the work left, and the speed of this target.
TEST(backend_runner, answer_load_carriesWorkAndSpeed) {
  Report(1);
  auto forward = [&](TimeMs now, uint64_t attempt) {
    ForwardRequest request;
    request.attempt = attempt;
    request.service = "s";
    request.route = "r";
    request.target = "/x";
    request.aim_left_ms = 4000;
    request.remaining_ms = 9000;
    request.expected_run_ms = 100;
    runner_->OnForward(now, "peer:1", request, &actions_);
  };
  forward(TimeMs(0), 1);
  End(0, RunResult::Type::kAnswered, TimeMs(200));
  LONGS_EQUAL(2000, AnswerOf(1)->load.slowness_permille);
  for (uint64_t attempt = 2; attempt <= 5; ++attempt)
    forward(TimeMs(200), attempt);
  End(1, RunResult::Type::kAnswered, TimeMs(300));
  const TargetLoad& load = AnswerOf(2)->load;
  // The ended run does not count. 100 ms of the other one have passed.
  LONGS_EQUAL(100, load.running_work_ms);
  LONGS_EQUAL(400, load.queued_work_ms[0]);
}
