#include "soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <map>

#include "banyanloft/core/random.h"

namespace banyanloft::soak {
namespace {

/// One seed in this many contains only planned faults, during which no request
/// may be lost.
constexpr uint64_t kPlannedSeedInterval = 4;
constexpr int64_t kMinDurationMs = 100;
/// Maximum number of steps; each is a single fault, a series or a pair.
constexpr uint64_t kMaxSteps = 4;
constexpr uint64_t kMaxSeriesLength = 4;
constexpr int64_t kSeriesGapMs = 700;
/// The last four kinds are drawn apart from the others, so that the plans of
/// earlier seeds stay as they are except for them.
constexpr uint64_t kDrawnKinds = kFaultKinds - 4;
constexpr int kRestorePermille = 300;
constexpr int kLimitPermille = 400;
constexpr int kCrashingPermille = 200;
constexpr int kKillAllPermille = 600;

constexpr std::array<FaultKind, 5> kPlannedKinds = {
    FaultKind::kStopDaemon, FaultKind::kReloadDaemon, FaultKind::kDrainBackend,
    FaultKind::kChangeConfig, FaultKind::kStopDaemon};

FaultKind DrawKind(Random* random, bool planned_only) {
  if (planned_only) return kPlannedKinds[random->Below(kPlannedKinds.size())];
  return static_cast<FaultKind>(random->Below(kDrawnKinds));
}

}  // namespace

const char* NameOf(FaultKind kind) {
  constexpr std::array<const char*, kFaultKinds> kNames = {
      "kill_daemon",
      "stop_daemon",
      "pause_daemon",
      "reload_daemon",
      "delay",
      "reset",
      "silence",
      "silence_there",
      "silence_back",
      "store_down",
      "store_loses_answers",
      "store_late",
      "store_refuses_some",
      "store_compacts",
      "crash_backend",
      "drain_backend",
      "change_config",
      "limit_backend",
      "store_restored",
      "crashing_request",
      "kill_all_daemons"};
  return kNames[static_cast<size_t>(kind)];
}

bool IsPlanned(FaultKind kind) {
  return kind == FaultKind::kLimitBackend ||
         std::find(kPlannedKinds.begin(), kPlannedKinds.end(), kind) !=
             kPlannedKinds.end();
}

std::string FaultPlan::Summary() const {
  std::map<std::string, int> counts;
  for (const Fault& fault : faults) ++counts[NameOf(fault.kind)];
  std::string out;
  for (const auto& [name, count] : counts) {
    out += (out.empty() ? "" : ",") + name;
    if (count > 1) out += "*" + std::to_string(count);
  }
  return out;
}

FaultPlan MakePlan(const FaultPlanSettings& settings) {
  Random random(settings.seed);
  FaultPlan plan;
  plan.planned_only = settings.seed % kPlannedSeedInterval == 0;
  auto add_fault = [&](int64_t start_ms, FaultKind kind) {
    Fault fault;
    fault.start_ms = start_ms;
    fault.duration_ms = kMinDurationMs +
                        static_cast<int64_t>(random.Below(static_cast<uint64_t>(
                            settings.max_duration_ms - kMinDurationMs)));
    fault.kind = kind;
    fault.daemon =
        static_cast<int>(random.Below(static_cast<uint64_t>(settings.daemons)));
    fault.connection =
        static_cast<ConnectionType>(random.Below(kConnectionTypes));
    plan.faults.push_back(fault);
  };
  uint64_t steps = 1 + random.Below(kMaxSteps);
  for (uint64_t i = 0; i < steps; ++i) {
    int64_t start_ms = static_cast<int64_t>(
        random.Below(static_cast<uint64_t>(settings.span_ms)));
    FaultKind kind = DrawKind(&random, plan.planned_only);
    add_fault(start_ms, kind);
    uint64_t shape = random.Below(3);
    if (shape == 1) {  // Series of one kind.
      uint64_t repeats = 1 + random.Below(kMaxSeriesLength - 1);
      for (uint64_t n = 1; n <= repeats; ++n)
        add_fault(start_ms + static_cast<int64_t>(n) * kSeriesGapMs, kind);
    } else if (shape == 2) {  // Overlapping pair.
      add_fault(start_ms + plan.faults.back().duration_ms / 2,
                DrawKind(&random, plan.planned_only));
    }
  }
  if (random.ChancePermille(kLimitPermille)) {
    add_fault(static_cast<int64_t>(
                  random.Below(static_cast<uint64_t>(settings.span_ms))),
              FaultKind::kLimitBackend);
    plan.faults.back().duration_ms = settings.limit_duration_ms;
  }
  if (!plan.planned_only && random.ChancePermille(kRestorePermille)) {
    add_fault(static_cast<int64_t>(
                  random.Below(static_cast<uint64_t>(settings.span_ms))),
              FaultKind::kRestoreStore);
  }
  if (!plan.planned_only && random.ChancePermille(kCrashingPermille)) {
    add_fault(static_cast<int64_t>(random.Below(kSeriesGapMs)),
              FaultKind::kCrashingRequest);
    plan.faults.back().duration_ms = settings.crashing_duration_ms;
    for (int64_t at_ms = settings.kill_all_interval_ms;
         at_ms < settings.crashing_duration_ms;
         at_ms += settings.kill_all_interval_ms) {
      if (random.ChancePermille(kKillAllPermille))
        add_fault(at_ms, FaultKind::kKillAllDaemons);
    }
  }
  std::stable_sort(
      plan.faults.begin(), plan.faults.end(),
      [](const Fault& a, const Fault& b) { return a.start_ms < b.start_ms; });
  return plan;
}

}  // namespace banyanloft::soak
