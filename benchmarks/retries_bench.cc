#include <fmt/format.h>

#include <algorithm>

#include "benchmarks/bench.h"
#include "standins/node_fleet.h"

namespace banyanloft {
namespace {

constexpr size_t kTargets = 8;
constexpr int64_t kRunMs = 20;
constexpr int64_t kFailureMs = 10000;
constexpr int64_t kRecoveryMs = 15000;
constexpr int64_t kSampleIntervalMs = 250;
/// Load as a share of the total capacity, half of which fails.
constexpr double kLoad = 0.6;
constexpr double kFullGoodput = 0.99;

struct Results {
  double amplification = 0;
  double recovery_s = 0;
  double goodput_failing = 0;  ///< Share of calls served during the failure.
};

Results Measure(bool naive, uint64_t seed) {
  NodeFleetSettings settings;
  settings.seed = seed;
  settings.run_ms = kRunMs;
  settings.run_jitter_permille = 500;
  if (naive) {
    // Retries immediately, without budget or ejection.
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
  uint64_t completed = 0;
  fleet.on_call_completed = [&](uint64_t, const CallAnswer& answer) {
    ++completed;
    if (!answer.outcome.error) ++served;
  };
  double capacity_per_ms =
      static_cast<double>(kTargets) * settings.slots / kRunMs;
  double pending_calls = 0;
  uint64_t calls = 0;
  Random random(seed);
  auto generate_load = [&](int64_t length_ms) {
    for (int64_t ms = 0; ms < length_ms; ++ms) {
      pending_calls += kLoad * capacity_per_ms;
      for (; pending_calls >= 1; pending_calls -= 1) {
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

  generate_load(3000);
  for (size_t i = 0; i < kTargets / 2; ++i) fleet.SetFailing(i, true);
  uint64_t calls_before = calls;
  uint64_t attempts_before = attempts();
  uint64_t served_before = served;
  generate_load(kFailureMs);
  Results results;
  results.amplification = static_cast<double>(attempts() - attempts_before) /
                          static_cast<double>(calls - calls_before);
  results.goodput_failing = static_cast<double>(served - served_before) /
                            static_cast<double>(calls - calls_before);

  for (size_t i = 0; i < kTargets / 2; ++i) fleet.SetFailing(i, false);
  double recovered_at_s = 0;
  for (int64_t ms = 0; ms < kRecoveryMs; ms += kSampleIntervalMs) {
    uint64_t served_at_start = served;
    uint64_t completed_at_start = completed;
    generate_load(kSampleIntervalMs);
    // Relates to completed calls, because calls in flight at the ends of an
    // interval would distort the share.
    double goodput = static_cast<double>(served - served_at_start) /
                     static_cast<double>(
                         std::max<uint64_t>(1, completed - completed_at_start));
    if (goodput < kFullGoodput)
      recovered_at_s = static_cast<double>(ms + kSampleIntervalMs) / 1000;
  }
  results.recovery_s = recovered_at_s;
  return results;
}

}  // namespace

Json RetriesBench(uint64_t seed) {
  Results with_budget = Measure(false, seed);
  Results naive = Measure(true, seed);
  fmt::print("{:<8} {:>22} {:>16} {:>24}\n", "retries", "attempts per call",
             "recovery s", "served while half fails");
  fmt::print("{:<8} {:>22.3f} {:>16.2f} {:>24.3f}\n", "budget",
             with_budget.amplification, with_budget.recovery_s,
             with_budget.goodput_failing);
  fmt::print("{:<8} {:>22.3f} {:>16.2f} {:>24.3f}\n", "naive",
             naive.amplification, naive.recovery_s, naive.goodput_failing);
  return Json{{"bench", "retries"},
              {"attempt_amplification", with_budget.amplification},
              {"recovery_s", with_budget.recovery_s},
              {"served_share_failing", with_budget.goodput_failing},
              {"naive_attempt_amplification", naive.amplification},
              {"naive_recovery_s", naive.recovery_s},
              {"naive_served_share_failing", naive.goodput_failing},
              {"targets", kTargets},
              {"load_of_capacity", kLoad}};
}

}  // namespace banyanloft
