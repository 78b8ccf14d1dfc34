#include "banyanloft/mesh/rollout_controller.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "banyanloft/core/random.h"
#include "banyanloft/mesh/rollout_table.h"

using namespace banyanloft;

namespace {

constexpr int64_t kStepMs = 10;
constexpr int64_t kDecideMs = 250;
constexpr int64_t kReportMs[] = {1000, 250};  // Old and new version.
constexpr int64_t kPermille = 1000;
/// Time for a decision to reach all daemons, in ms.
constexpr int64_t kSpreadMs = 1000;

struct Route {
  std::string name;
  int64_t permille = 0;  ///< Of the service's requests.
  int64_t run_ms = 0;    ///< Mean at a server of speed 1.
};

/// How the new version behaves at a time, on a route, at a server that gets
/// this many requests a second.
struct Behavior {
  int64_t failed_permille = 0;
  int64_t slow_permille = 0;
  int64_t slow_factor = 4;
};
using BehaviorAt = std::function<Behavior(
    int64_t age_ms, const std::string& route, double server_per_s)>;

/// A service with servers of both versions, without daemons or messages: the
/// controller gets the reports of the servers' recorders, and its decisions
/// come into force after kSpreadMs.
struct Service {
  std::vector<Route> routes = {{"read", 700, 150}, {"write", 300, 210}};
  double per_s = 300;
  std::function<double(int64_t age_ms)> wave = [](int64_t) { return 1.0; };
  size_t servers = 10;  ///< Of each version.
  int64_t duration_ms = 60000;
  int64_t old_failed_permille = 2;
  BehaviorAt behavior = [](int64_t, const std::string&, double) {
    return Behavior();
  };
  uint64_t seed = 1;

  // Results.
  uint64_t requests = 0;  ///< From the order to the deadline.
  uint64_t exposed = 0;   ///< Of these, at the new version.
  uint64_t bad = 0;
  int64_t fiftieth_bad_ms = -1;
  int64_t last_exposed_ms = -1;
  int64_t ended_ms = -1;  ///< Age at the verdict.
  RolloutDecision decision;

  void Run() {
    Random random(seed);
    RolloutControllerSettings settings;
    TimeMs start(5000);
    RolloutController controller(settings, "v2", start, duration_ms);
    std::vector<RolloutRecorder> recorders[2];
    std::vector<double> speeds[2];
    for (size_t version : {0, 1}) {
      recorders[version].resize(servers);
      for (size_t i = 0; i < servers; ++i) {
        speeds[version].push_back(0.6 +
                                  0.1 * static_cast<double>(random.Below(11)));
        recorders[version][i].Follow("s", "v2", version == 0 ? "v1" : "v2");
      }
    }
    std::vector<MemberId> ready;
    for (size_t i = 0; i < servers; ++i) ready.push_back(i);
    struct InForce {
      int64_t from_ms;
      int share_permille;
      int trial_servers;
      bool stopped;
    };
    std::vector<InForce> shares = {{0, 0, 0, false}};
    double due = 0;
    std::vector<std::pair<int64_t, std::function<void()>>> running;
    for (int64_t age = 0; age < duration_ms; age += kStepMs) {
      TimeMs now = start + age;
      size_t current = 0;
      while (current + 1 < shares.size() && shares[current + 1].from_ms <= age)
        ++current;
      const InForce force = shares[current];
      RolloutState state;
      state.service = "s";
      state.share_permille = force.share_permille;
      state.trial_servers = force.trial_servers;
      std::vector<MemberId> trial = RolloutTable::TrialServers(state, ready);
      due += per_s * wave(age) * kStepMs / 1000;
      for (; due >= 1; due -= 1) {
        ++requests;
        bool is_new = !force.stopped && !trial.empty() &&
                      random.ChancePermille(force.share_permille);
        size_t version = is_new ? 1 : 0;
        size_t index =
            is_new ? trial[random.Below(trial.size())] : random.Below(servers);
        uint64_t pick = random.Below(kPermille);
        size_t r = 0;
        while (pick >= static_cast<uint64_t>(routes[r].permille)) {
          pick -= static_cast<uint64_t>(routes[r].permille);
          ++r;
        }
        Behavior how;
        how.failed_permille = old_failed_permille;
        if (is_new) {
          double server_per_s = per_s * wave(age) * force.share_permille /
                                kPermille / static_cast<double>(trial.size());
          how = behavior(age, routes[r].name, server_per_s);
          how.failed_permille += old_failed_permille;
          ++exposed;
          last_exposed_ms = age;
        }
        double run_ms =
            static_cast<double>(routes[r].run_ms) / speeds[version][index] *
            (0.5 + 0.001 * static_cast<double>(random.Below(kPermille)));
        if (random.ChancePermille(30)) run_ms *= 7;
        bool failed = random.ChancePermille(how.failed_permille);
        bool slow = random.ChancePermille(how.slow_permille);
        if (slow) run_ms *= static_cast<double>(how.slow_factor);
        if (is_new && (failed || slow)) {
          if (++bad == 50) fiftieth_bad_ms = age;
        }
        int64_t took_ms = static_cast<int64_t>(run_ms);
        running.emplace_back(age + took_ms,
                             [&, version, index, r, failed, took_ms, now] {
                               recorders[version][index].OnRun(
                                   now + took_ms, routes[r].name,
                                   failed ? RolloutRecorder::Outcome::kFailure
                                          : RolloutRecorder::Outcome::kSuccess,
                                   took_ms, true);
                             });
      }
      auto ended =
          std::partition(running.begin(), running.end(),
                         [&](const auto& run) { return run.first > age; });
      for (auto it = ended; it != running.end(); ++it) it->second();
      running.erase(ended, running.end());
      for (size_t version : {0, 1}) {
        for (size_t i = 0; i < servers; ++i) {
          auto report =
              recorders[version][i].TakeDue(now, kReportMs[version], 1);
          if (report)
            controller.OnEvidence(now, 1 + i + version * servers, *report);
        }
      }
      if (age % kDecideMs != 0 || ended_ms >= 0) continue;
      // The deciding member knows its last decision at once.
      decision = controller.Decide(now, servers, servers,
                                   shares.back().share_permille);
      bool ends = decision.verdict != RolloutDecision::Verdict::kContinue;
      if (ends) ended_ms = age;
      bool stops = decision.verdict == RolloutDecision::Verdict::kRollBack;
      if (Succeeded()) {
        requests += static_cast<uint64_t>(
            per_s * static_cast<double>(duration_ms - age) / 1000);
        return;
      }
      shares.push_back({age + kSpreadMs, decision.share_permille,
                        decision.trial_servers, stops});
    }
  }

  bool Succeeded() const {
    return decision.verdict == RolloutDecision::Verdict::kSucceed;
  }
  bool RolledBack() const {
    return decision.verdict == RolloutDecision::Verdict::kRollBack;
  }
  uint64_t ExposureBound() const {
    RolloutControllerSettings settings;
    return requests * static_cast<uint64_t>(settings.exposure_permille) /
               kPermille +
           static_cast<uint64_t>(settings.exposure_slack);
  }
};

/// A load and its name in failures.
struct Load {
  const char* name;
  double per_s;
  size_t servers;
};
constexpr Load kLoads[] = {
    {"light", 5, 4}, {"medium", 120, 6}, {"heavy", 1000, 20}};

}  // namespace

TEST_GROUP(rollout_controller){
    /// Runs a version that must be rolled back, with several seeds.
    static void CheckRolledBack(const BehaviorAt& behavior, const Load& load,
                                int64_t duration_ms = 60000){
        for (uint64_t seed = 1; seed <= 6; ++seed){Service service;
service.per_s = load.per_s;
service.servers = load.servers;
service.duration_ms = duration_ms;
service.behavior = behavior;
service.seed = seed;
service.Run();
std::string text =
    std::string(load.name) + ", seed " + std::to_string(seed) + ", exposed " +
    std::to_string(service.exposed) + " of " +
    std::to_string(service.requests) + ", bad " + std::to_string(service.bad) +
    ", 50th at " + std::to_string(service.fiftieth_bad_ms) + ", last at " +
    std::to_string(service.last_exposed_ms) + ": " + service.decision.reason;
CHECK_TEXT(service.RolledBack(), text.c_str());
CHECK_TEXT(service.exposed <= service.ExposureBound(), text.c_str());
bool in_time = service.fiftieth_bad_ms < 0 ||
               service.last_exposed_ms <= service.fiftieth_bad_ms + 5000;
CHECK_TEXT(in_time, text.c_str());
}
}
}
;

/// Guards against a good version that is taken for a bad one, or judged after
/// its deadline.
TEST(rollout_controller, goodVersion_succeedsBeforeItsDeadline) {
  for (const Load& load : kLoads) {
    for (int64_t duration_ms : {30000, 60000, 120000}) {
      for (uint64_t seed = 1; seed <= 8; ++seed) {
        Service service;
        service.per_s = load.per_s;
        service.servers = load.servers;
        service.duration_ms = duration_ms;
        service.seed = seed;
        service.Run();
        std::string text = std::string(load.name) + ", " +
                           std::to_string(duration_ms) + " ms, seed " +
                           std::to_string(seed) + ": " +
                           service.decision.reason;
        CHECK_TEXT(service.Succeeded(), text.c_str());
        CHECK_TEXT(service.ended_ms < duration_ms, text.c_str());
        CHECK_TEXT(service.exposed <= service.ExposureBound(), text.c_str());
      }
    }
  }
}

TEST(rollout_controller, goodVersionInWavesOfLoad_keepsTheExposureBound) {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    Service service;
    service.per_s = 400;
    service.wave = [](int64_t age_ms) {
      return age_ms / 5000 % 2 == 0 ? 1.55 : 0.45;
    };
    service.seed = seed;
    service.Run();
    CHECK_TEXT(service.Succeeded(), service.decision.reason.c_str());
    CHECK(service.exposed <= service.ExposureBound());
  }
}

TEST(rollout_controller, failingVersion_isRolledBack) {
  for (const Load& load : kLoads) {
    for (int64_t failed_permille : {300, 1000}) {
      CheckRolledBack(
          [=](int64_t, const std::string&, double) {
            return Behavior{failed_permille, 0, 0};
          },
          load);
    }
  }
}

TEST(rollout_controller, slowVersion_isRolledBack) {
  for (const Load& load : kLoads) {
    for (int64_t slow_permille : {400, 1000}) {
      CheckRolledBack(
          [=](int64_t, const std::string&, double) {
            return Behavior{0, slow_permille, 4};
          },
          load);
    }
  }
}

TEST(rollout_controller, versionTurnsBadLate_isRolledBackWithinItsExposure) {
  for (const Load& load : {kLoads[1], kLoads[2]}) {
    for (int64_t from_ms : {15000, 35000, 47000, 53500}) {
      CheckRolledBack(
          [=](int64_t age_ms, const std::string&, double) {
            return Behavior{age_ms < from_ms ? 0 : 300, 0, 0};
          },
          load);
      CheckRolledBack(
          [=](int64_t age_ms, const std::string&, double) {
            return Behavior{0, age_ms < from_ms ? 0 : 500, 4};
          },
          load);
    }
  }
}

TEST(rollout_controller, badOnOneRoute_isRolledBack) {
  for (const Load& load : {kLoads[1], kLoads[2]}) {
    CheckRolledBack(
        [](int64_t, const std::string& route, double) {
          return Behavior{route == "write" ? 300 : 0, 0, 0};
        },
        load);
    CheckRolledBack(
        [](int64_t, const std::string& route, double) {
          return Behavior{0, route == "write" ? 400 : 0, 4};
        },
        load);
  }
}

/// The share alone would leave each new server nearly idle.
TEST(rollout_controller, badUnderLoad_isFoundWithTheTrialShare) {
  const Load& load = kLoads[2];
  double full_per_s = load.per_s / static_cast<double>(load.servers);
  CheckRolledBack(
      [=](int64_t, const std::string&, double server_per_s) {
        return Behavior{server_per_s > full_per_s * 0.6 ? 300 : 0, 0, 0};
      },
      load);
}

TEST(rollout_controller, noEvidence_shareStaysSmallAndIsNotRaised) {
  RolloutController controller(RolloutControllerSettings(), "v2", TimeMs(0),
                               60000);
  int share = 0;
  for (int64_t at = 0; at < 50000; at += kDecideMs) {
    share = controller.Decide(TimeMs(at), 10, 10, share).share_permille;
    CHECK(share <= RolloutControllerSettings().first_permille);
  }
}

/// Guards against a share that grows because the daemons beside the new servers
/// do not reach the deciding member.
TEST(rollout_controller, newServersDoNotReport_exposureIsBoundedAndNotJudged) {
  RolloutController controller(RolloutControllerSettings(), "v2", TimeMs(0),
                               60000);
  double exposed = 0;
  int share = 0;
  RolloutDecision decision;
  RolloutRecorder old_server;
  old_server.Follow("s", "v2", "v1");
  for (int64_t at = 0; at < 60000; at += 10) {
    TimeMs now(at);
    // 500 requests a second.
    for (int i = 0; i < 5; ++i) {
      bool tries_new = i == 0;
      exposed += 5.0 * share / kPermille * (tries_new ? 1 : 0);
      old_server.OnRun(now, "read", RolloutRecorder::Outcome::kSuccess, 50,
                       true);
    }
    if (auto report = old_server.TakeDue(now, 1000, 1))
      controller.OnEvidence(now, 2, *report);
    if (at % kDecideMs != 0) continue;
    decision = controller.Decide(now, 10, 10, share);
    if (decision.verdict != RolloutDecision::Verdict::kContinue) break;
    share = decision.share_permille;
  }
  CHECK(decision.verdict == RolloutDecision::Verdict::kRollBack);
  CHECK(exposed <= 3050);  // A tenth of 500 a second, and 50.
}

/// A crash breaks all runs in progress at one server; a good version may have
/// one.
TEST(rollout_controller, oneCrash_isNotTakenForABadVersion) {
  RolloutController controller(RolloutControllerSettings(), "v2", TimeMs(0),
                               60000);
  RolloutRecorder old_server;
  RolloutRecorder new_server;
  old_server.Follow("s", "v2", "v1");
  new_server.Follow("s", "v2", "v2");
  for (int64_t at = 0; at < 5000; at += 10) {
    TimeMs now(at);
    old_server.OnRun(now, "read", RolloutRecorder::Outcome::kSuccess, 50, true);
    if (at % 100 == 0)
      new_server.OnRun(now, "read", RolloutRecorder::Outcome::kSuccess, 50,
                       true);
    if (at == 3000) {
      for (int i = 0; i < 12; ++i)
        new_server.OnRun(now + i, "read", RolloutRecorder::Outcome::kBroken, 20,
                         true);
    }
  }
  controller.OnEvidence(TimeMs(5000), 2,
                        *old_server.TakeDue(TimeMs(5000), 1, 1));
  controller.OnEvidence(TimeMs(5000), 3,
                        *new_server.TakeDue(TimeMs(5000), 1, 1));
  RolloutDecision decision = controller.Decide(TimeMs(5000), 1, 1, 10);
  CHECK_TEXT(decision.verdict == RolloutDecision::Verdict::kContinue,
             decision.reason.c_str());
}

/// Another deciding member begins with the sums that the daemons send it.
TEST(rollout_controller, decidingMemberIsReplaced_fullSumsAreSentAgain) {
  RolloutRecorder server;
  server.Follow("s", "v2", "v2");
  for (int i = 0; i < 100; ++i)
    server.OnRun(TimeMs(i), "read", RolloutRecorder::Outcome::kFailure, 5,
                 true);
  CHECK(server.TakeDue(TimeMs(200), 250, 1).has_value());
  CHECK(!server.TakeDue(TimeMs(1000), 250, 1).has_value());
  RolloutController next(RolloutControllerSettings(), "v2", TimeMs(0), 60000);
  next.OnEvidence(TimeMs(1001), 9, *server.TakeDue(TimeMs(1001), 250, 2));
  LONGS_EQUAL(100, next.NewAnswers());
  CHECK(next.Decide(TimeMs(1250), 1, 1, 10).verdict ==
        RolloutDecision::Verdict::kRollBack);
}

TEST(rollout_controller, evidenceOfAnotherOrder_isIgnored) {
  RolloutController controller(RolloutControllerSettings(), "v3", TimeMs(0),
                               60000);
  RolloutRecorder server;
  server.Follow("s", "v2", "v2");
  server.OnRun(TimeMs(1), "read", RolloutRecorder::Outcome::kFailure, 5, true);
  controller.OnEvidence(TimeMs(2), 9, *server.TakeDue(TimeMs(2), 1, 1));
  LONGS_EQUAL(0, controller.NewAnswers());
}
