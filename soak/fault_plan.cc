#include "soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <map>

#include "banyanloft/core/random.h"

namespace banyanloft::soak {
namespace {

/// One seed in this many plays planned work alone, where no request may be
/// lost.
constexpr uint64_t kPlannedEvery = 4;
constexpr int64_t kShortestMs = 100;
/// Most steps of a plan; each is a single fault, a series or a pair.
constexpr uint64_t kMostSteps = 4;
constexpr uint64_t kLongestSeries = 4;
constexpr int64_t kSeriesGapMs = 700;

constexpr std::array<FaultKind, 5> kPlanned = {
    FaultKind::kStopDaemon, FaultKind::kReloadDaemon, FaultKind::kDrainBackend,
    FaultKind::kChangeConfig, FaultKind::kStopDaemon};

FaultKind DrawKind(Random* random, bool planned_only) {
  if (planned_only) return kPlanned[random->Below(kPlanned.size())];
  return static_cast<FaultKind>(random->Below(kFaultKinds));
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
      "change_config"};
  return kNames[static_cast<size_t>(kind)];
}

bool IsPlanned(FaultKind kind) {
  return std::find(kPlanned.begin(), kPlanned.end(), kind) != kPlanned.end();
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
  plan.planned_only = settings.seed % kPlannedEvery == 0;
  auto draw = [&](int64_t at_ms, FaultKind kind) {
    Fault fault;
    fault.at_ms = at_ms;
    fault.for_ms =
        kShortestMs + static_cast<int64_t>(random.Below(static_cast<uint64_t>(
                          settings.longest_ms - kShortestMs)));
    fault.kind = kind;
    fault.daemon =
        static_cast<int>(random.Below(static_cast<uint64_t>(settings.daemons)));
    fault.edge = static_cast<Edge>(random.Below(kEdges));
    plan.faults.push_back(fault);
  };
  uint64_t steps = 1 + random.Below(kMostSteps);
  for (uint64_t i = 0; i < steps; ++i) {
    int64_t at_ms = static_cast<int64_t>(
        random.Below(static_cast<uint64_t>(settings.span_ms)));
    FaultKind kind = DrawKind(&random, plan.planned_only);
    draw(at_ms, kind);
    uint64_t shape = random.Below(3);
    if (shape == 1) {  // A series.
      uint64_t more = 1 + random.Below(kLongestSeries - 1);
      for (uint64_t n = 1; n <= more; ++n)
        draw(at_ms + static_cast<int64_t>(n) * kSeriesGapMs, kind);
    } else if (shape == 2) {  // A pair that overlaps.
      draw(at_ms + plan.faults.back().for_ms / 2,
           DrawKind(&random, plan.planned_only));
    }
  }
  std::stable_sort(
      plan.faults.begin(), plan.faults.end(),
      [](const Fault& a, const Fault& b) { return a.at_ms < b.at_ms; });
  return plan;
}

}  // namespace banyanloft::soak
