// A backend server and the daemons that run beside it one after the other: what
// one daemon has acknowledged must bind the next.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "banyanloft/mesh/backend_runner.h"

using namespace banyanloft;

namespace {

constexpr int64_t kTickMs = 20;
constexpr int64_t kHeartbeatMs = 1500;
constexpr int64_t kRequestPeriodMs = 100;
constexpr int64_t kRunMs = 60;
constexpr int64_t kHealthCheckMs = 20;
/// Time within which a server must be used again, as users measured it.
constexpr int64_t kUsedAgainMs = 1000;

/// Simulates a backend server, which outlives its daemons, and requests that
/// arrive at the daemon all the time. Counts when they reach the server.
class ServerAndDaemons {
 public:
  ServerAndDaemons() { StartDaemon(); }

  void StartDaemon() {
    BackendRunnerSettings settings;
    settings.service = "s";
    settings.address = "10.0.0.1:80";
    settings.heartbeat_ms = kHeartbeatMs;
    daemon_ = std::make_unique<BackendRunner>(settings, ++seed_, now_);
  }
  /// Ends the daemon without notice; runs and health checks end with it.
  void KillDaemon() {
    daemon_.reset();
    health_due_.reset();
    runs_.clear();
  }
  void StartServer() {
    ++start_time_ms_;
    sequence_ = 0;
    healthy_ = true;
    reporting_ = true;
    draining_ = false;
    next_report_ = now_;
  }
  /// Further reports take this time to arrive.
  void DelayReports(int64_t delay_ms) { report_delay_ms_ = delay_ms; }
  void SetHealthy(bool healthy) { healthy_ = healthy; }
  /// The server deregisters and says nothing further.
  void Deregister() {
    healthy_ = false;
    reporting_ = false;
    BackendRunner::Actions actions;
    daemon_->OnDeregistered(now_, "i-1", &actions);
    Perform(std::move(actions));
  }
  /// The server reports once, on time, that it drains, and nothing further.
  void ReportDraining() {
    healthy_ = false;
    reporting_ = false;
    draining_ = true;
    Deliver(NextReport());
  }

  void Advance(int64_t ms) {
    for (TimeMs end = now_ + ms; now_ < end;) {
      now_ = now_ + kTickMs;
      Step();
    }
  }
  TimeMs Now() const { return now_; }
  InstanceState State() const { return daemon_->State(); }
  /// Requests that reached the server later than `time`.
  int64_t RunsAfter(TimeMs time) const {
    return std::count_if(run_times_.begin(), run_times_.end(),
                         [&](TimeMs run) { return run > time; });
  }

 private:
  struct DelayedReport {
    TimeMs due;
    InstanceReport report;
  };
  struct Run {
    TimeMs due;
    uint64_t id;
  };

  InstanceReport NextReport() {
    InstanceReport report;
    report.id = "i-1";
    report.start_time_ms = start_time_ms_;
    report.sequence = ++sequence_;
    report.service = "s";
    report.address = "10.0.0.1:80";
    report.slots = 4;
    report.draining = draining_;
    return report;
  }
  void Deliver(const InstanceReport& report) {
    if (!daemon_) return;
    BackendRunner::Actions actions;
    daemon_->OnReport(now_, report, &actions);
    Perform(std::move(actions));
  }
  void Step() {
    if (reporting_ && now_ >= next_report_) {
      next_report_ = next_report_ + kHeartbeatMs;
      delayed_.push_back({now_ + report_delay_ms_, NextReport()});
    }
    std::vector<DelayedReport> delayed = std::move(delayed_);
    delayed_.clear();
    for (DelayedReport& report : delayed) {
      if (report.due > now_) {
        delayed_.push_back(report);
      } else {
        Deliver(report.report);
      }
    }
    if (daemon_) StepDaemon();
  }
  void StepDaemon() {
    BackendRunner::Actions actions;
    if (health_due_ && now_ >= *health_due_) {
      health_due_.reset();
      ProbeResult health;
      health.up = true;
      health.status = healthy_ ? 200 : 503;
      if (healthy_) health.instance = "i-1";
      health.notice = BackendNotice();
      daemon_->OnProbed(now_, health, &actions);
    }
    while (!runs_.empty() && runs_.front().due <= now_) {
      RunResult result;
      result.run = runs_.front().id;
      result.notice = BackendNotice();
      runs_.erase(runs_.begin());
      daemon_->OnResult(now_, std::move(result), &actions);
    }
    daemon_->Tick(now_, &actions);
    if (now_.Value() % kRequestPeriodMs == 0) {
      ForwardRequest request;
      request.attempt = ++attempt_;
      request.service = "s";
      request.route = "r";
      request.target = "/" + std::to_string(attempt_);
      request.aim_left_ms = 400;
      request.remaining_ms = 1000;
      daemon_->OnForward(now_, "peer:1", std::move(request), &actions);
    }
    Perform(std::move(actions));
  }
  void Perform(BackendRunner::Actions actions) {
    for (const BackendRunnerAction& action : actions) {
      if (const auto* start = std::get_if<StartRun>(&action)) {
        run_times_.push_back(now_);
        runs_.push_back({now_ + kRunMs, start->run});
      } else if (std::holds_alternative<ProbeInstance>(action)) {
        health_due_ = now_ + kHealthCheckMs;
      }
    }
  }

  TimeMs now_{0};
  uint64_t seed_ = 0;
  std::unique_ptr<BackendRunner> daemon_;
  int64_t start_time_ms_ = 1000;
  int64_t sequence_ = 0;
  bool healthy_ = true;
  bool reporting_ = true;
  bool draining_ = false;
  TimeMs next_report_{0};
  int64_t report_delay_ms_ = 0;
  std::vector<DelayedReport> delayed_;
  std::optional<TimeMs> health_due_;
  std::vector<Run> runs_;
  uint64_t attempt_ = 0;
  std::vector<TimeMs> run_times_;
};

}  // namespace

TEST_GROUP(leaving_server) {
  ServerAndDaemons world_;

  /// The daemon ends at the moment of its acknowledgement and is replaced.
  TimeMs Replace(int64_t restart_ms) {
    TimeMs left = world_.Now();
    world_.KillDaemon();
    world_.Advance(restart_ms);
    world_.StartDaemon();
    return left;
  }
};

/// Guards against a restarted daemon that takes late reports, sent before the
/// server left, as proof that it is in service.
TEST(leaving_server,
     daemonRestartsAfterDeregistration_lateReportsDoNotReviveIt) {
  for (int64_t delay_ms : {1000, 3000, 5000, 9000}) {
    for (int64_t restart_ms : {0, 500, 1000}) {
      ServerAndDaemons world;
      world.Advance(6000);
      CHECK(world.RunsAfter(TimeMs(0)) > 0);
      world.DelayReports(delay_ms);
      world.Advance(2 * kHeartbeatMs + kTickMs);
      world.Deregister();
      TimeMs left = world.Now();
      world.KillDaemon();
      world.Advance(restart_ms);
      world.StartDaemon();
      world.Advance(15000);
      LONGS_EQUAL(0, world.RunsAfter(left));
    }
  }
}

/// As above, where the server reports once that it drains and then is silent.
TEST(leaving_server,
     daemonRestartsAfterDraining_lateReadyReportsDoNotReviveIt) {
  world_.Advance(6000);
  world_.DelayReports(3000);
  world_.Advance(2 * kHeartbeatMs + kTickMs);
  world_.ReportDraining();
  TimeMs left = Replace(500);
  world_.Advance(15000);
  LONGS_EQUAL(0, world_.RunsAfter(left));
}

/// A daemon that knows the server from a health check only acknowledges its
/// deregistration. The late reports of a server that had just started have the
/// sequence numbers that a new start would have.
TEST(leaving_server, youngServerOfUnknownStartLeaves_lateReportsDoNotReviveIt) {
  world_.Advance(kTickMs);
  world_.DelayReports(3000);
  world_.Advance(2 * kHeartbeatMs);
  world_.KillDaemon();
  world_.StartDaemon();
  world_.Advance(200);
  CHECK(world_.State() == InstanceState::kReady);
  world_.Deregister();
  TimeMs left = world_.Now();
  world_.Advance(15000);
  LONGS_EQUAL(0, world_.RunsAfter(left));
}

TEST(leaving_server, serverStartsAgainUnderItsId_isUsedWithinASecond) {
  for (bool deregisters : {true, false}) {
    ServerAndDaemons world;
    world.Advance(6000);
    world.DelayReports(3000);
    world.Advance(2 * kHeartbeatMs + kTickMs);
    if (deregisters) {
      world.Deregister();
    } else {
      world.ReportDraining();
    }
    world.KillDaemon();
    world.Advance(500);
    world.StartDaemon();
    world.Advance(2000);
    TimeMs started = world.Now();
    LONGS_EQUAL(0, world.RunsAfter(started));
    world.DelayReports(0);
    world.StartServer();
    world.Advance(kUsedAgainMs);
    CHECK(world.RunsAfter(started) > 0);
    CHECK(world.State() == InstanceState::kReady);
  }
}

TEST(leaving_server, daemonRestartsBesideServerInService_isUsedAtOnce) {
  world_.Advance(6000);
  world_.KillDaemon();
  world_.Advance(500);
  world_.StartDaemon();
  TimeMs restarted = world_.Now();
  world_.Advance(200);
  CHECK(world_.RunsAfter(restarted) > 0);
}

TEST(leaving_server, healthCheckFailsAroundARestart_isUsedWhenItPassesAgain) {
  world_.Advance(6000);
  world_.SetHealthy(false);
  world_.Advance(1500);
  Replace(500);
  world_.Advance(1000);
  TimeMs healthy = world_.Now();
  LONGS_EQUAL(0, world_.RunsAfter(TimeMs(8000)));
  world_.SetHealthy(true);
  world_.Advance(kUsedAgainMs / 2);
  CHECK(world_.RunsAfter(healthy) > 0);
}

/// A server in service may fail its health check. Its reports show that it is
/// in service once they are too many to have been sent before the restart.
TEST(leaving_server, healthCheckAlwaysFails_continuedReportsBringItBack) {
  world_.Advance(6000);
  world_.SetHealthy(false);
  world_.Advance(1500);
  CHECK(world_.State() == InstanceState::kReady);
  TimeMs left = Replace(500);
  InstanceRegistrySettings registry;
  world_.Advance(registry.max_report_delay_ms);
  LONGS_EQUAL(0, world_.RunsAfter(left));
  world_.Advance(2 * kHeartbeatMs);
  CHECK(world_.State() == InstanceState::kReady);
}
