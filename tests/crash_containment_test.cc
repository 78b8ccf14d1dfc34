#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <set>

#include "standins/mesh_fleet.h"

using namespace banyanloft;

namespace {

constexpr int64_t kStepMs = 20;
constexpr int64_t kRepeatMs = 1200;
/// Time after the last crash that counts from which on arrivals are late, in
/// ms, the crashes that count, and the late arrivals allowed. Bounds set by the
/// specification of the platform.
constexpr int64_t kContainmentMs = 3000;
constexpr size_t kCrashesToContain = 3;
constexpr size_t kLateArrivalsAllowed = 3;

/// What happened to the requests that crash backend servers, and to others.
struct Outcome {
  size_t most_crashes = 0;        ///< By one request.
  size_t most_late_arrivals = 0;  ///< Of one request.
  size_t others = 0;
  size_t others_failed = 0;
  size_t others_suspected = 0;  ///< Refused as suspected of crashing servers.
};

/// Requests that crash every backend server that runs them, each sent again
/// regularly at a random instance, beside requests that are harmless.
class CrashLoad {
 public:
  CrashLoad(const MeshFleetSettings& settings, size_t instances, int crashing)
      : crashing_(crashing), random_(settings.seed + 1), fleet_(settings) {
    fleet_.crashes_server = [](const std::string& target) {
      return target.find("crash") != std::string::npos;
    };
    for (size_t i = 0; i < instances; ++i)
      fleet_.Start(i % 2 == 0 ? "catalogue" : "pledges");
    fleet_.Advance(5000);
    start_ = fleet_.Now();
  }

  MeshFleet& Fleet() { return fleet_; }
  void SetRequestsPerSecond(int64_t per_s) { per_s_ = per_s; }
  /// Harmless requests have only this many different targets.
  void SetTargets(uint64_t targets) { targets_ = targets; }
  /// Sends the requests that crash servers at instances of any service.
  void SendCrashingAnywhere() { crashing_from_.clear(); }
  void Run(int64_t ms) {
    for (int64_t passed = 0; passed < ms; passed += kStepMs) {
      for (int64_t i = 0; i < per_s_ * kStepMs / 1000; ++i)
        SendHarmless(fmt::format("/{}/{}/ok-{}", RandomService(),
                                 random_.Below(2) == 0 ? "read" : "write",
                                 next_target_++ % targets_));
      for (int i = 0; i < crashing_; ++i) {
        int64_t elapsed_ms = fleet_.Now() - start_;
        if ((elapsed_ms + i * kRepeatMs / crashing_) % kRepeatMs != 0) continue;
        const char* route = i % 2 == 0 ? "read" : "write";
        fleet_.Request(RandomAlive(crashing_from_),
                       fmt::format("/catalogue/{}/crash-{}", route, i), 2000);
      }
      fleet_.Advance(kStepMs);
    }
  }
  void KillShare(int permille, int64_t restart_after_ms) {
    std::vector<size_t> killed;
    for (size_t i = 0; i < fleet_.Size(); ++i) {
      if (random_.ChancePermille(permille)) killed.push_back(i);
    }
    for (size_t i : killed) fleet_.Kill(i);
    Run(restart_after_ms);
    for (size_t i : killed) fleet_.Restart(i);
  }

  Outcome Evaluate() {
    Outcome outcome;
    std::map<std::string, std::vector<TimeMs>> arrivals;
    for (const MeshFleet::Run& run : fleet_.Runs()) {
      if (run.crashed) arrivals[run.target].push_back(run.at);
    }
    for (const auto& [target, times] : arrivals) {
      outcome.most_crashes = std::max(outcome.most_crashes, times.size());
      if (times.size() < kCrashesToContain) continue;
      TimeMs late_from = times[kCrashesToContain - 1] + kContainmentMs;
      size_t late = 0;
      for (TimeMs at : times) late += at > late_from ? 1 : 0;
      outcome.most_late_arrivals = std::max(outcome.most_late_arrivals, late);
    }
    for (uint64_t number : harmless_) {
      auto it = fleet_.Answers().find(number);
      if (it == fleet_.Answers().end()) continue;
      ++outcome.others;
      const std::optional<ErrorKind>& error = it->second.answer.error;
      outcome.others_failed += error ? 1 : 0;
      outcome.others_suspected += error == ErrorKind::kCrashSuspect ? 1 : 0;
    }
    return outcome;
  }

 private:
  std::string RandomService() {
    return random_.Below(2) == 0 ? "catalogue" : "pledges";
  }
  /// An instance with a live daemon, of one service if given.
  size_t RandomAlive(const std::string& service = "") {
    std::vector<size_t> alive;
    for (size_t i = 0; i < fleet_.Size(); ++i) {
      bool fits = service.empty() || fleet_.ServiceOf(i) == service;
      if (fits && fleet_.Alive(i)) alive.push_back(i);
    }
    return alive.empty() ? 0 : alive[random_.Below(alive.size())];
  }
  void SendHarmless(const std::string& target) {
    harmless_.push_back(fleet_.Request(RandomAlive(), target, 2000));
  }

  int crashing_;
  Random random_;
  MeshFleet fleet_;
  TimeMs start_;
  int64_t per_s_ = 100;
  std::string crashing_from_ = "pledges";
  uint64_t next_target_ = 0;
  uint64_t targets_ = UINT64_MAX;
  std::vector<uint64_t> harmless_;
};

void PrintOutcome(const char* play, uint64_t seed, const Outcome& outcome) {
  if (std::getenv("BANYANLOFT_PRINT_PLAYS") == nullptr) return;
  fmt::print(
      "{} seed {}: crashes {} late {} others {} failed {} suspected {}\n", play,
      seed, outcome.most_crashes, outcome.most_late_arrivals, outcome.others,
      outcome.others_failed, outcome.others_suspected);
}

}  // namespace

TEST_GROUP(crash_containment) {
  static constexpr size_t kInstances = 12;
  static constexpr int kCrashing = 3;
  static constexpr uint64_t kSeeds = 6;
  MeshFleetSettings settings_;

  /// Plays `disruption` once the requests have crashed servers for a while.
  Outcome Play(const char* name, uint64_t seed, size_t instances,
               const std::function<void(CrashLoad*)>& disruption) {
    settings_.seed = seed;
    CrashLoad load(settings_, instances, kCrashing);
    load.Run(10000);
    disruption(&load);
    load.Run(20000);
    Outcome outcome = load.Evaluate();
    PrintOutcome(name, seed, outcome);
    return outcome;
  }
  void CheckContained(const char* name,
                      const std::function<void(CrashLoad*)>& disruption,
                      size_t instances = kInstances) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Outcome outcome = Play(name, seed, instances, disruption);
      CHECK(outcome.most_late_arrivals <= kLateArrivalsAllowed);
    }
  }
};

TEST(crash_containment, undisturbed_requestIsContained) {
  CheckContained("undisturbed", [](CrashLoad*) {});
}

TEST(crash_containment, requestComesFromTwoServices_requestIsContained) {
  CheckContained("two callers", [](CrashLoad* load) {
    load->SendCrashingAnywhere();
    load->Run(10000);
  });
}

TEST(crash_containment, allDaemonsRestart_requestStaysContained) {
  CheckContained("all restart",
                 [](CrashLoad* load) { load->KillShare(1000, 300); });
}

TEST(crash_containment, allDaemonsRestartTwice_requestStaysContained) {
  CheckContained("all restart twice", [](CrashLoad* load) {
    load->KillShare(1000, 300);
    load->Run(6000);
    load->KillShare(1000, 300);
  });
}

TEST(crash_containment, halfOfTheDaemonsRestart_requestStaysContained) {
  CheckContained("half restart",
                 [](CrashLoad* load) { load->KillShare(500, 300); });
}

TEST(crash_containment, daemonsRestartInTurn_requestStaysContained) {
  CheckContained("in turn", [](CrashLoad* load) {
    for (size_t i = 0; i < load->Fleet().Size(); ++i) {
      load->Fleet().Kill(i);
      load->Run(600);
      load->Fleet().Restart(i);
    }
  });
}

TEST(crash_containment, zoneIsCutOffWhileItCrashesServers_requestIsContained) {
  CheckContained("zone cut", [](CrashLoad* load) {
    load->Fleet().Partition({"z1"}, true);
    load->KillShare(1000, 300);
    load->Run(8000);
    load->Fleet().Partition({}, false);
  });
}

TEST(crash_containment, instancesJoin_requestStaysContained) {
  CheckContained("join", [](CrashLoad* load) {
    for (int i = 0; i < 8; ++i) {
      load->Fleet().Start("catalogue");
      load->Run(700);
    }
  });
}

TEST(crash_containment, serversFallSilent_requestIsContained) {
  settings_.silent_crashes = true;
  CheckContained("silent", [](CrashLoad* load) { load->Run(10000); });
}

TEST(crash_containment, serversFallSilentAndDaemonsRestart_requestIsContained) {
  settings_.silent_crashes = true;
  CheckContained("silent, restart",
                 [](CrashLoad* load) { load->KillShare(1000, 300); });
}

TEST(crash_containment, heavyLoad_requestIsContained) {
  CheckContained("heavy load", [](CrashLoad* load) {
    load->SetRequestsPerSecond(1000);
    load->Run(10000);
    load->KillShare(1000, 300);
  });
}

/// The same harmless requests are in flight at every crash, in full slots.
TEST(crash_containment, popularRequestsAreInFlight_areNotRefusedAsSuspects) {
  settings_.run_ms = 150;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    settings_.seed = seed;
    CrashLoad load(settings_, kInstances, kCrashing);
    load.SetTargets(20);
    load.SetRequestsPerSecond(800);
    load.Run(10000);
    load.KillShare(1000, 300);
    load.Run(20000);
    Outcome outcome = load.Evaluate();
    PrintOutcome("popular", seed, outcome);
    CHECK(outcome.most_late_arrivals <= kLateArrivalsAllowed);
    LONGS_EQUAL(0, outcome.others_suspected);
  }
}

TEST(crash_containment, datagramsAreLost_requestStaysContained) {
  settings_.loss_permille = 200;
  CheckContained("loss", [](CrashLoad* load) { load->KillShare(500, 300); });
}

TEST(crash_containment, largeFleet_requestStaysContained) {
  constexpr size_t kLargeFleet = 120;
  Outcome outcome = Play("large", 1, kLargeFleet,
                         [](CrashLoad* load) { load->KillShare(1000, 300); });
  CHECK(outcome.most_late_arrivals <= kLateArrivalsAllowed);
}
