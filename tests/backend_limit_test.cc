#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <memory>

#include "banyanloft/core/random.h"
#include "banyanloft/mesh/backend_runner.h"

using namespace banyanloft;

namespace {

constexpr char kAddress[] = "10.0.0.1:80";
constexpr int kSlots = 18;
constexpr int64_t kStepMs = 5;
constexpr int64_t kTickMs = 20;
constexpr int64_t kRunMs = 120;
// Stated by the platform: the limit binds this long after it was first named,
// and any window may hold at most this many requests.
constexpr int64_t kStabilityMs = 3000;
constexpr int64_t kWindowMs = 4000;
double AllowedInWindow(double limit_per_s) {
  return 1.5 * limit_per_s * kWindowMs / 1000 + 5;
}

struct Outcomes {
  int offered = 0;
  int in_aim = 0;
  int late = 0;
  int refused = 0;
  int refused_without_retry_after = 0;
  int refused_late = 0;  ///< After their aim had passed.
  int failed = 0;
};

/// Plays a backend server that names a limit, and the callers of its daemon.
/// Times are those of the simulation.
class LimitedServer {
 public:
  LimitedServer() { StartDaemon(); }

  void SetLimit(std::optional<double> per_s) { limit_per_s_ = per_s; }
  /// The process is replaced; nothing but the backend server's report remains.
  void StartDaemon() {
    BackendRunnerSettings settings;
    settings.service = "s";
    settings.address = kAddress;
    runner_ = std::make_unique<BackendRunner>(settings, ++daemons_, now_);
    runs_.clear();
    probe_due_.reset();
    Report();
  }
  void AnswerHealthChecks() { healthy_ = true; }
  /// Requests of a class, per second.
  void SetLoad(int urgency, int64_t per_s, int64_t aim_ms, int64_t timeout_ms) {
    loads_.push_back({urgency, per_s, aim_ms, timeout_ms, {}});
  }
  void ClearLoad() { loads_.clear(); }

  void Run(int64_t duration_ms) {
    for (TimeMs end = now_ + duration_ms; now_ < end; now_ = now_ + kStepMs) {
      BackendRunner::Actions actions;
      if (now_ >= next_report_) Report();
      EndRuns(&actions);
      for (Load& load : loads_) OfferTo(&load, &actions);
      if (now_.Value() % kTickMs == 0) runner_->Tick(now_, &actions);
      Handle(&actions);
    }
  }

  /// Most requests that reached the server in any window that begins at `from`
  /// or later.
  int MostInWindow(TimeMs from) const {
    int most = 0;
    for (size_t first = 0; first < arrivals_.size(); ++first) {
      if (arrivals_[first] < from) continue;
      auto end = std::lower_bound(arrivals_.begin(), arrivals_.end(),
                                  arrivals_[first] + kWindowMs);
      most = std::max(most, static_cast<int>(end - arrivals_.begin()) -
                                static_cast<int>(first));
    }
    return most;
  }
  int ArrivalsSince(TimeMs from) const {
    auto first = std::lower_bound(arrivals_.begin(), arrivals_.end(), from);
    return static_cast<int>(arrivals_.end() - first);
  }
  const Outcomes& OutcomesOf(int urgency) {
    return outcomes_[static_cast<size_t>(urgency)];
  }
  TimeMs Now() const { return now_; }

 private:
  struct Load {
    int urgency;
    int64_t per_s;
    int64_t aim_ms;
    int64_t timeout_ms;
    int64_t due_permille{};
  };
  struct Caller {
    int urgency;
    TimeMs sent;
    int64_t aim_ms;
  };

  BackendNotice Notice() const {
    BackendNotice notice;
    notice.limit_per_s = limit_per_s_;
    return notice;
  }
  void Report() {
    InstanceReport report;
    report.id = "i-1";
    report.start_time_ms = 1000;
    report.sequence = ++sequence_;
    report.service = "s";
    report.address = kAddress;
    report.slots = kSlots;
    BackendRunner::Actions actions;
    runner_->OnReport(now_, report, &actions);
    // Confirms the first report; a check without a notice tells no limit.
    runner_->OnProbed(now_, ProbeResult{true, "i-1", {}}, &actions);
    Handle(&actions);
    next_report_ = now_ + 1500;
  }
  void OfferTo(Load* load, BackendRunner::Actions* actions) {
    load->due_permille += static_cast<int64_t>(
        random_.Below(static_cast<uint64_t>(2 * load->per_s * kStepMs + 1)));
    for (; load->due_permille >= 1000; load->due_permille -= 1000) {
      ForwardRequest request;
      request.attempt = next_attempt_++;
      request.service = "s";
      request.route = "r" + std::to_string(load->urgency);
      request.priority = load->urgency;
      request.aim_left_ms = load->aim_ms;
      request.remaining_ms = load->timeout_ms;
      callers_[request.attempt] = {load->urgency, now_, load->aim_ms};
      ++outcomes_[static_cast<size_t>(load->urgency)].offered;
      runner_->OnForward(now_, "peer:1", std::move(request), actions);
    }
  }
  void EndRuns(BackendRunner::Actions* actions) {
    if (probe_due_ && now_ >= *probe_due_) {
      probe_due_.reset();
      runner_->OnProbed(now_, ProbeResult{true, "i-1", Notice()}, actions);
    }
    while (!runs_.empty() && runs_.front().second <= now_) {
      RunResult result;
      result.run = runs_.front().first;
      result.notice = Notice();
      runs_.pop_front();
      runner_->OnResult(now_, std::move(result), actions);
    }
  }
  void Handle(BackendRunner::Actions* actions) {
    for (const BackendRunnerAction& action : *actions) {
      if (const auto* start = std::get_if<StartRun>(&action)) {
        arrivals_.push_back(now_);
        runs_.emplace_back(start->run, now_ + kRunMs);
      } else if (const auto* sent = std::get_if<SendForwardAnswer>(&action)) {
        Record(sent->answer);
      } else if (std::holds_alternative<ProbeInstance>(action) && healthy_) {
        probe_due_ = now_ + kStepMs;
        arrivals_.push_back(now_);
      }
    }
    actions->clear();
  }
  void Record(const ForwardAnswer& answer) {
    const Caller& caller = callers_.at(answer.attempt);
    Outcomes& outcomes = outcomes_[static_cast<size_t>(caller.urgency)];
    int64_t waited_ms = now_ - caller.sent;
    if (!answer.error) {
      ++(waited_ms <= caller.aim_ms ? outcomes.in_aim : outcomes.late);
    } else if (answer.run_state == RunState::kNotRun) {
      ++outcomes.refused;
      if (answer.retry_after_ms <= 0) ++outcomes.refused_without_retry_after;
      if (waited_ms > caller.aim_ms) ++outcomes.refused_late;
    } else {
      ++outcomes.failed;
    }
  }

  TimeMs now_{0};
  Random random_{24};
  std::unique_ptr<BackendRunner> runner_;
  uint64_t daemons_ = 0;
  int64_t sequence_ = 0;
  TimeMs next_report_;
  bool healthy_ = false;
  std::optional<TimeMs> probe_due_;
  std::optional<double> limit_per_s_;
  std::vector<Load> loads_;
  uint64_t next_attempt_ = 1;
  std::map<uint64_t, Caller> callers_;
  std::deque<std::pair<uint64_t, TimeMs>> runs_;
  std::vector<TimeMs> arrivals_;
  std::array<Outcomes, kUrgencyClasses> outcomes_{};
};

}  // namespace

TEST_GROUP(backend_limit) {
  LimitedServer server_;

  void NameLimit(double per_s) {
    server_.SetLimit(per_s);
    named_at_ = server_.Now();
  }
  int MostInWindow() const {
    return server_.MostInWindow(named_at_ + kStabilityMs);
  }
  TimeMs named_at_;
};

TEST(backend_limit, serverNamesALimit_getsNoMoreRequestsThanThat) {
  for (double limit_per_s : {36.1, 7.2, 1.0, 0.3}) {
    server_ = LimitedServer();
    server_.SetLoad(1, 72, 400, 2500);
    server_.Run(6000);
    NameLimit(limit_per_s);
    server_.Run(19000);
    CHECK(MostInWindow() <= AllowedInWindow(limit_per_s));
  }
}

TEST(backend_limit, serverNamesALimit_whatItAllowsIsUsedAndTheRestRefused) {
  server_.SetLoad(1, 72, 400, 2500);
  server_.Run(6000);
  NameLimit(36);
  server_.Run(19000);
  server_.ClearLoad();
  server_.Run(3000);
  const Outcomes& outcomes = server_.OutcomesOf(1);
  CHECK(server_.ArrivalsSince(TimeMs(6000)) >= 36 * 19 * 9 / 10);
  CHECK(outcomes.in_aim >= (72 * 6 + 36 * 19) * 8 / 10);
  LONGS_EQUAL(0, outcomes.failed);
  LONGS_EQUAL(0, outcomes.refused_without_retry_after);
  LONGS_EQUAL(0, outcomes.refused_late);
}

TEST(backend_limit, serverNamesALimit_urgentRequestsAreServedFirst) {
  server_.SetLoad(1, 20, 250, 1500);
  server_.SetLoad(3, 60, 2500, 8000);
  server_.Run(6000);
  NameLimit(30);
  server_.Run(20000);
  const Outcomes& urgent = server_.OutcomesOf(1);
  CHECK(urgent.in_aim >= urgent.offered * 95 / 100);
  CHECK(MostInWindow() <= AllowedInWindow(30));
  LONGS_EQUAL(0, server_.OutcomesOf(3).refused_late);
}

TEST(backend_limit, serverNamesZero_getsNothingUntilAHealthCheckSaysMore) {
  server_.AnswerHealthChecks();
  server_.SetLoad(1, 72, 400, 2500);
  server_.Run(6000);
  NameLimit(0);
  server_.Run(10000);
  CHECK(MostInWindow() <= AllowedInWindow(0));
  server_.SetLimit(std::nullopt);
  server_.Run(4000);
  TimeMs lifted = server_.Now();
  server_.Run(5000);
  CHECK(server_.ArrivalsSince(lifted) >= 72 * 5 * 9 / 10);
}

TEST(backend_limit, limitIsLifted_allRequestsAreServedAgain) {
  server_.SetLoad(1, 72, 400, 2500);
  NameLimit(20);
  server_.Run(8000);
  server_.SetLimit(std::nullopt);
  server_.Run(1000);
  TimeMs lifted = server_.Now();
  server_.Run(5000);
  CHECK(MostInWindow() > AllowedInWindow(20));
  CHECK(server_.ArrivalsSince(lifted) >= 72 * 5 * 9 / 10);
}

// The new process learns the limit from its first response only.
TEST(backend_limit, daemonRestarts_serverStillGetsNoMoreThanItsLimit) {
  server_.SetLoad(1, 72, 400, 2500);
  NameLimit(1);
  server_.Run(8000);
  server_.StartDaemon();
  server_.Run(8000);
  CHECK(MostInWindow() <= AllowedInWindow(1));
}
