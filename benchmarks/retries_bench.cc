#include <fmt/format.h>

#include <algorithm>

#include "benchmarks/bench.h"
#include "standins/node_fleet.h"

namespace banyanloft {
namespace {

constexpr size_t kTargets = 8;
constexpr int64_t kRunMs = 20;
constexpr int64_t kFailMs = 10000;
constexpr int64_t kHealMs = 15000;
constexpr int64_t kBinMs = 250;
/// Load as a share of the whole fleet's capacity; half of it is failing.
constexpr double kLoad = 0.6;
constexpr double kFullGoodput = 0.99;

struct Figures {
  double amplification = 0;
  double recovery_s = 0;
  double goodput_failing = 0;  ///< Share of calls served while half fails.
};

Figures RunOne(bool naive, uint64_t seed) {
  NodeFleetSettings settings;
  settings.seed = seed;
  settings.run_ms = kRunMs;
  settings.run_jitter_permille = 500;
  if (naive) {
    // Retries at once, without budget or ejection.
    RetrySettings& retries = settings.node.dispatcher.retries;
    retries.budget_permille = 1000000;
    retries.budget_start = 1000000;
    retries.budget_cap = 1000000;
    retries.backoff_base_ms = 0;
    retries.backoff_cap_ms = 0;
    settings.node.dispatcher.picker.failures_to_eject = 1000000000;
  }
  NodeFleet fleet(settings);
  fleet.ApplyConfiguration(SampleConfiguration());
  for (size_t i = 0; i < kTargets; ++i) fleet.Start("shop");
  fleet.Run(15000);

  uint64_t served = 0;
  uint64_t ended = 0;
  fleet.on_call_completed = [&](uint64_t, const CallAnswer& answer) {
    ++ended;
    if (!answer.outcome.error) ++served;
  };
  double capacity_per_ms =
      static_cast<double>(kTargets) * settings.slots / kRunMs;
  double due = 0;
  uint64_t calls = 0;
  Random random(seed);
  auto load = [&](int64_t length_ms) {
    for (int64_t ms = 0; ms < length_ms; ++ms) {
      due += kLoad * capacity_per_ms;
      for (; due >= 1; due -= 1) {
        CallRequest request;
        request.name = "read";
        fleet.Call(random.Below(kTargets), std::move(request));
        ++calls;
      }
      fleet.Run(1);
    }
  };
  auto attempts = [&] {
    uint64_t sum = 0;
    for (size_t i = 0; i < kTargets; ++i) {
      const Counters& counts = fleet.NodeAt(i).Dispatcher().Counts();
      sum += counts.Get("call_attempts_total", "first") +
             counts.Get("call_attempts_total", "retry");
    }
    return sum;
  };

  load(3000);
  for (size_t i = 0; i < kTargets / 2; ++i) fleet.SetFailing(i, true);
  uint64_t calls_before = calls;
  uint64_t attempts_before = attempts();
  uint64_t served_before = served;
  load(kFailMs);
  Figures figures;
  figures.amplification = static_cast<double>(attempts() - attempts_before) /
                          static_cast<double>(calls - calls_before);
  figures.goodput_failing = static_cast<double>(served - served_before) /
                            static_cast<double>(calls - calls_before);

  for (size_t i = 0; i < kTargets / 2; ++i) fleet.SetFailing(i, false);
  double full_since_s = 0;
  for (int64_t ms = 0; ms < kHealMs; ms += kBinMs) {
    uint64_t served_then = served;
    uint64_t ended_then = ended;
    load(kBinMs);
    // Of the calls that ended: those under way at the ends of a bin are noise.
    double goodput =
        static_cast<double>(served - served_then) /
        static_cast<double>(std::max<uint64_t>(1, ended - ended_then));
    if (goodput < kFullGoodput)
      full_since_s = static_cast<double>(ms + kBinMs) / 1000;
  }
  figures.recovery_s = full_since_s;
  return figures;
}

}  // namespace

Json RetriesBench(uint64_t seed) {
  Figures ours = RunOne(false, seed);
  Figures naive = RunOne(true, seed);
  fmt::print("{:<8} {:>22} {:>16} {:>24}\n", "retries", "attempts per call",
             "recovery s", "served while half fails");
  fmt::print("{:<8} {:>22.3f} {:>16.2f} {:>24.3f}\n", "budget",
             ours.amplification, ours.recovery_s, ours.goodput_failing);
  fmt::print("{:<8} {:>22.3f} {:>16.2f} {:>24.3f}\n", "naive",
             naive.amplification, naive.recovery_s, naive.goodput_failing);
  return Json{{"bench", "retries"},
              {"attempt_amplification", ours.amplification},
              {"recovery_s", ours.recovery_s},
              {"served_share_failing", ours.goodput_failing},
              {"naive_attempt_amplification", naive.amplification},
              {"naive_recovery_s", naive.recovery_s},
              {"naive_served_share_failing", naive.goodput_failing},
              {"targets", kTargets},
              {"load_of_capacity", kLoad}};
}

}  // namespace banyanloft
