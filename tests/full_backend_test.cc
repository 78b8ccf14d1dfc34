#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "banyanloft/core/random.h"
#include "banyanloft/mesh/backend_runner.h"
#include "banyanloft/mesh/slot_ramp.h"
#include "banyanloft/mesh/target_selector.h"

using namespace banyanloft;

namespace {

constexpr char kAddress[] = "10.0.0.1:80";
constexpr int kSlots = 12;

BackendRunnerSettings RunnerSettings() {
  BackendRunnerSettings settings;
  settings.service = "s";
  settings.address = kAddress;
  return settings;
}

InstanceReport ReportOf(int64_t sequence, int64_t start_time_ms = 1000) {
  InstanceReport report;
  report.id = "i-1";
  report.start_time_ms = start_time_ms;
  report.sequence = sequence;
  report.service = "s";
  report.address = kAddress;
  report.slots = kSlots;
  return report;
}

ForwardRequest RequestOf(uint64_t attempt, int64_t remaining_ms = 2000) {
  ForwardRequest request;
  request.attempt = attempt;
  request.service = "s";
  request.route = "r";
  request.target = "/x";
  request.body = "body " + std::to_string(attempt);
  request.aim_left_ms = remaining_ms / 2;
  request.remaining_ms = remaining_ms;
  return request;
}

/// Result of a health check that the server resets.
ProbeResult ResetProbe() {
  ProbeResult result;
  result.reset = true;
  return result;
}

/// A daemon beside a backend server that resets connections beyond its slots
/// and its queue, and health checks meanwhile. An earlier daemon has filled the
/// slots and was killed.
class RestartBesideFullServer {
 public:
  explicit RestartBesideFullServer(const BackendRunnerSettings& settings)
      : runner_(settings, 3, now_) {
    for (int i = 0; i < kSlots; ++i)
      earlier_ends_.push_back(now_ + 1 + Below(kMeanRunMs));
  }

  void Run(int64_t duration_ms) {
    constexpr uint64_t kPerS = 70;
    constexpr int64_t kTickMs = 20;
    constexpr int64_t kReportMs = 1500;
    for (int64_t at = 0; at < duration_ms; ++at) {
      now_ = now_ + 1;
      earlier_ends_.erase(
          std::remove_if(earlier_ends_.begin(), earlier_ends_.end(),
                         [&](TimeMs end) { return end <= now_; }),
          earlier_ends_.end());
      BackendRunner::Actions actions;
      EndRuns(&actions);
      if (random_.Below(1000) < kPerS)
        runner_.OnForward(now_, "peer:1", RequestOf(next_++), &actions);
      if (at % kReportMs == 10)
        runner_.OnReport(now_, ReportOf(20 + at / kReportMs), &actions);
      if (at % kTickMs == 0) runner_.Tick(now_, &actions);
      Apply(std::move(actions));
    }
  }

  const BackendRunner& Runner() const { return runner_; }
  int answered = 0;
  int resets = 0;

 private:
  static constexpr int64_t kMeanRunMs = 210;
  static constexpr size_t kQueue = 3;

  int64_t Below(int64_t bound) {
    return static_cast<int64_t>(random_.Below(static_cast<uint64_t>(bound)));
  }
  bool Full() const {
    return ends_.size() + earlier_ends_.size() >= kSlots + kQueue;
  }
  void EndRuns(BackendRunner::Actions* actions) {
    std::vector<uint64_t> ended;
    for (const auto& [run, end] : ends_) {
      if (end <= now_) ended.push_back(run);
    }
    for (uint64_t run : ended) {
      ends_.erase(run);
      ++answered;
      End(run, RunResult::Type::kAnswered, actions);
    }
  }
  void End(uint64_t run, RunResult::Type type,
           BackendRunner::Actions* actions) {
    RunResult result;
    result.run = run;
    result.type = type;
    if (type == RunResult::Type::kAnswered) result.notice = BackendNotice();
    runner_.OnResult(now_, result, actions);
  }
  void Apply(BackendRunner::Actions actions) {
    while (!actions.empty()) {
      BackendRunner::Actions next;
      for (const BackendRunnerAction& action : actions) {
        if (const auto* start = std::get_if<StartRun>(&action)) {
          if (Full()) {
            ++resets;
            End(start->run, RunResult::Type::kBroken, &next);
          } else {
            ends_[start->run] = now_ + kMeanRunMs / 2 + Below(kMeanRunMs);
          }
        } else if (std::holds_alternative<ProbeInstance>(action)) {
          ProbeResult healthy{true, "i-1", BackendNotice()};
          runner_.OnProbed(now_, Full() ? ResetProbe() : healthy, &next);
        }
      }
      actions = std::move(next);
    }
  }

  TimeMs now_{5000};
  Random random_{9};
  BackendRunner runner_;
  uint64_t next_ = 1;
  std::map<uint64_t, TimeMs> ends_;
  std::vector<TimeMs> earlier_ends_;
};

}  // namespace

TEST_GROUP(slot_ramp) {
  SlotRampSettings settings_;
  SlotRamp ramp_{settings_, TimeMs(0)};
};

TEST(slot_ramp, answers_allowOneMoreEach) {
  LONGS_EQUAL(3, ramp_.Limit(TimeMs(10), kSlots));
  ramp_.OnAnswered();
  ramp_.OnAnswered();
  LONGS_EQUAL(5, ramp_.Limit(TimeMs(10), kSlots));
  for (int i = 0; i < 7; ++i) ramp_.OnAnswered();
  LONGS_EQUAL(kSlots, ramp_.Limit(TimeMs(10), kSlots));
  CHECK(!ramp_.Active(TimeMs(10)));
}

TEST(slot_ramp, brokenConnections_halveDownToOne) {
  for (int i = 0; i < 5; ++i) ramp_.OnAnswered();
  ramp_.OnBroken(kSlots);
  LONGS_EQUAL(4, ramp_.Limit(TimeMs(10), kSlots));
  for (int i = 0; i < 5; ++i) ramp_.OnBroken(kSlots);
  LONGS_EQUAL(1, ramp_.Limit(TimeMs(10), kSlots));
}

// A server without traffic yields no answers.
TEST(slot_ramp, earlierRunsCannotRemain_allSlotsAreUsed) {
  LONGS_EQUAL(kSlots, ramp_.Limit(TimeMs(settings_.max_ms), kSlots));
  SlotRamp ended(settings_, TimeMs(0));
  ended.End();
  LONGS_EQUAL(kSlots, ended.Limit(TimeMs(0), kSlots));
}

TEST_GROUP(full_backend) {
  BackendRunner::Actions actions_;

  static void Answer(BackendRunner * runner, uint64_t run, TimeMs now,
                     BackendRunner::Actions * actions) {
    End(runner, run, RunResult::Type::kAnswered, now, actions);
  }
  static void End(BackendRunner * runner, uint64_t run, RunResult::Type type,
                  TimeMs now, BackendRunner::Actions * actions) {
    RunResult result;
    result.run = run;
    result.type = type;
    if (type == RunResult::Type::kAnswered) result.notice = BackendNotice();
    runner->OnResult(now, result, actions);
  }
  /// A runner whose server has just started and has answered a request.
  std::unique_ptr<BackendRunner> Ready() {
    auto runner =
        std::make_unique<BackendRunner>(RunnerSettings(), 3, TimeMs(0));
    runner->OnReport(TimeMs(0), ReportOf(1), &actions_);
    runner->OnProbed(TimeMs(0), ProbeResult{true, "i-1", BackendNotice()},
                     &actions_);
    actions_.clear();
    return runner;
  }
  std::vector<uint64_t> Runs() {
    std::vector<uint64_t> runs;
    for (const BackendRunnerAction& action : actions_) {
      const auto* start = std::get_if<StartRun>(&action);
      if (start != nullptr) runs.push_back(start->run);
    }
    return runs;
  }
  const ForwardAnswer* AnswerOf(uint64_t attempt) {
    for (const BackendRunnerAction& action : actions_) {
      const auto* sent = std::get_if<SendForwardAnswer>(&action);
      if (sent != nullptr && sent->answer.attempt == attempt)
        return &sent->answer;
    }
    return nullptr;
  }
  size_t Probes() {
    size_t count = 0;
    for (const BackendRunnerAction& action : actions_)
      count += std::holds_alternative<ProbeInstance>(action) ? 1 : 0;
    return count;
  }
};

// A full server resets health checks too. Taken for a crash, that made its
// requests suspects and refused all that waited.
TEST(full_backend, healthCheckResetWhileRunsAreInProgress_isNoCrash) {
  auto runner = Ready();
  for (uint64_t i = 1; i <= kSlots + 1; ++i)
    runner->OnForward(TimeMs(0), "peer:1", RequestOf(i), &actions_);
  std::vector<uint64_t> runs = Runs();
  LONGS_EQUAL(kSlots, runs.size());
  End(runner.get(), runs[0], RunResult::Type::kBroken, TimeMs(450), &actions_);
  CHECK(AnswerOf(1)->run_state == RunState::kUnknown);
  CHECK(AnswerOf(1)->error == ErrorKind::kBackendBroken);
  LONGS_EQUAL(1, Probes());
  runner->OnProbed(TimeMs(460), ResetProbe(), &actions_);
  CHECK(runner->State() == InstanceState::kReady);
  LONGS_EQUAL(0, runner->Suspects().Size());
  CHECK(AnswerOf(kSlots + 1) == nullptr);
  // The next check is sent soon, in case that it was a crash after all.
  runner->Tick(TimeMs(900), &actions_);
  LONGS_EQUAL(2, Probes());
}

// A crash breaks all connections at once; only then does a reset health check
// confirm it.
TEST(full_backend, healthCheckResetAndNoRunInProgress_isACrash) {
  auto runner = Ready();
  for (uint64_t i = 1; i <= 2; ++i)
    runner->OnForward(TimeMs(0), "peer:1", RequestOf(i), &actions_);
  for (uint64_t run : Runs())
    End(runner.get(), run, RunResult::Type::kBroken, TimeMs(50), &actions_);
  runner->OnProbed(TimeMs(60), ResetProbe(), &actions_);
  LONGS_EQUAL(2, runner->Suspects().Size());
  CHECK(runner->State() == InstanceState::kUnknown);
}

TEST(full_backend, healthCheckRefused_isACrashAtOnce) {
  auto runner = Ready();
  for (uint64_t i = 1; i <= 2; ++i)
    runner->OnForward(TimeMs(0), "peer:1", RequestOf(i), &actions_);
  End(runner.get(), Runs()[0], RunResult::Type::kBroken, TimeMs(50), &actions_);
  runner->OnProbed(TimeMs(60), ProbeResult{false, "", {}}, &actions_);
  LONGS_EQUAL(1, runner->Suspects().Size());
}

// Requests reset by a full server must not be blamed for a crash seconds later.
TEST(full_backend, crashAfterResets_blamesOnlyRunsThatItBroke) {
  auto runner = Ready();
  for (uint64_t i = 1; i <= 3; ++i)
    runner->OnForward(TimeMs(0), "peer:1", RequestOf(i), &actions_);
  std::vector<uint64_t> runs = Runs();
  End(runner.get(), runs[0], RunResult::Type::kBroken, TimeMs(50), &actions_);
  Answer(runner.get(), runs[1], TimeMs(900), &actions_);
  End(runner.get(), runs[2], RunResult::Type::kBroken, TimeMs(1500), &actions_);
  runner->OnProbed(TimeMs(1510), ProbeResult{false, "", {}}, &actions_);
  uint64_t reset = RequestFingerprint("/x", "body 1");
  uint64_t poison = RequestFingerprint("/x", "body 3");
  LONGS_EQUAL(0, runner->Suspects().Crashes(TimeMs(1600), reset));
  LONGS_EQUAL(1, runner->Suspects().Crashes(TimeMs(1600), poison));
}

// Nothing of the request was sent: it is refused unrun, and the server that
// accepts connections is not taken out of use.
TEST(full_backend, newConnectionClosedUnsent_isRefusedAndServerStaysInUse) {
  auto runner = Ready();
  for (uint64_t i = 1; i <= kSlots + 1; ++i)
    runner->OnForward(TimeMs(0), "peer:1", RequestOf(i), &actions_);
  End(runner.get(), Runs()[0], RunResult::Type::kResetUnsent, TimeMs(5),
      &actions_);
  CHECK(AnswerOf(1)->run_state == RunState::kNotRun);
  CHECK(AnswerOf(1)->error == ErrorKind::kOverloaded);
  CHECK(AnswerOf(1)->retry_after_ms > 0);
  CHECK(!AnswerOf(1)->arrived);
  CHECK(runner->State() == InstanceState::kReady);
  CHECK(AnswerOf(kSlots + 1) == nullptr);
}

// Runs of a killed daemon go on at the server.
TEST(full_backend, daemonRestarted_usesFewSlotsUntilRunsAreAnswered) {
  BackendRunner runner(RunnerSettings(), 3, TimeMs(0));
  runner.OnReport(TimeMs(0), ReportOf(20), &actions_);
  runner.OnProbed(TimeMs(5), ProbeResult{true, "i-1", BackendNotice()},
                  &actions_);
  for (uint64_t i = 1; i <= kSlots; ++i)
    runner.OnForward(TimeMs(10), "peer:1", RequestOf(i), &actions_);
  LONGS_EQUAL(kSlots / 4, Runs().size());
  Answer(&runner, Runs()[0], TimeMs(200), &actions_);
  LONGS_EQUAL(kSlots / 4 + 2, Runs().size());
  // The server restarted: no run of the earlier daemon remains.
  runner.OnReport(TimeMs(250), ReportOf(1, 9000), &actions_);
  runner.OnForward(TimeMs(260), "peer:1", RequestOf(50), &actions_);
  LONGS_EQUAL(kSlots + 1, Runs().size());
}

TEST(full_backend, serverStartedWithItsDaemon_usesAllSlotsAtOnce) {
  auto runner = Ready();
  for (uint64_t i = 1; i <= kSlots; ++i)
    runner->OnForward(TimeMs(10), "peer:1", RequestOf(i), &actions_);
  LONGS_EQUAL(kSlots, Runs().size());
}

// All of a restarted daemon's runs may be reset beside those of the earlier
// one.
TEST(full_backend, daemonRestarted_allRunsAndHealthChecksReset_isNoCrash) {
  BackendRunner runner(RunnerSettings(), 3, TimeMs(0));
  runner.OnReport(TimeMs(0), ReportOf(20), &actions_);
  runner.OnProbed(TimeMs(5), ProbeResult{true, "i-1", BackendNotice()},
                  &actions_);
  runner.OnForward(TimeMs(10), "peer:1", RequestOf(1), &actions_);
  End(&runner, Runs()[0], RunResult::Type::kBroken, TimeMs(420), &actions_);
  runner.OnProbed(TimeMs(430), ResetProbe(), &actions_);
  runner.Tick(TimeMs(840), &actions_);
  runner.OnProbed(TimeMs(850), ResetProbe(), &actions_);
  LONGS_EQUAL(0, runner.Suspects().Size());
  CHECK(runner.State() == InstanceState::kReady);
  // Nothing but resets: it is a crash after all.
  runner.Tick(TimeMs(1260), &actions_);
  runner.OnProbed(TimeMs(1270), ResetProbe(), &actions_);
  LONGS_EQUAL(1, runner.Suspects().Size());
  CHECK(runner.State() == InstanceState::kUnknown);
}

/// Under load: the restarted daemon must not send more than the server has
/// room for beside the runs of its predecessor, and soon use all slots.
TEST(full_backend, daemonRestartsBesideFullServer_nothingIsReset) {
  RestartBesideFullServer fleet(RunnerSettings());
  constexpr int64_t kRunMs = 3000;
  fleet.Run(kRunMs);
  LONGS_EQUAL(0, fleet.resets);
  LONGS_EQUAL(0, fleet.Runner().Suspects().Size());
  constexpr int64_t kMeanRunMs = 210;
  CHECK(fleet.answered * kMeanRunMs >= kSlots * kRunMs * 75 / 100);

  // Guards the test itself: with all slots at once the server resets.
  BackendRunnerSettings at_once = RunnerSettings();
  at_once.slot_ramp.first_permille = 1000;
  at_once.runs_before_first_response = kSlots;
  RestartBesideFullServer without(at_once);
  without.Run(kRunMs);
  CHECK(without.resets > 0);
  LONGS_EQUAL(0, without.Runner().Suspects().Size());
}

// A few resets of a server that also answers must not eject it.
TEST(full_backend, fewResetsAmongAnswers_targetIsNotEjected) {
  TargetSelector selector(TargetSelectorSettings(), 1);
  for (int round = 0; round < 100; ++round) {
    TimeMs now(round * 20);
    selector.OnOutcome(now, 1, round % 4 != 0);
    LONGS_EQUAL(0, selector.Ejected(now));
  }
}
