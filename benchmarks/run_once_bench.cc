#include <fmt/format.h>

#include <algorithm>

#include "benchmarks/bench.h"
#include "standins/node_fleet.h"

namespace banyanloft {
namespace {

constexpr size_t kInstances = 24;
constexpr size_t kKeys = 3000;
constexpr int kCallsPerKey = 3;
constexpr int64_t kFaultPeriodMs = 700;

/// Run states that the callers of one key were told.
struct KeyRecord {
  std::string key;
  std::string body;
  bool reported_ran = false;
  bool reported_not_run = false;
  uint64_t answers = 0;
  uint64_t unknown = 0;
};

class RunOnceSimulation {
 public:
  explicit RunOnceSimulation(uint64_t seed)
      : random_(seed), fleet_(Settings(seed)) {
    fleet_.ApplyConfiguration(SampleConfiguration());
    for (size_t i = 0; i < kInstances; ++i) fleet_.Start("shop");
    fleet_.Run(15000);
    fleet_.on_call_completed = [this](uint64_t call, const CallAnswer& answer) {
      OnCallCompleted(call, answer);
    };
  }

  Json Run() {
    while (keys_.size() < kKeys) {
      SendKeyedCalls();
      if (fleet_.Now() >= next_fault_) InjectFault();
      fleet_.Run(5);
    }
    ClearFaults();
    fleet_.Run(10000);
    return Evaluate();
  }

 private:
  static NodeFleetSettings Settings(uint64_t seed) {
    NodeFleetSettings settings;
    settings.seed = seed;
    settings.run_ms = 30;
    settings.run_jitter_permille = 800;
    settings.loss_permille = 20;
    return settings;
  }

  size_t RandomAlive() {
    while (true) {
      size_t index = random_.Below(kInstances);
      if (fleet_.Alive(index)) return index;
    }
  }

  /// Requests a key and sends a call with it several times through random
  /// daemons.
  void SendKeyedCalls() {
    std::string key = fleet_.RequestKey(RandomAlive(), "pay");
    if (key.empty()) return;
    size_t index = keys_.size();
    keys_.push_back({key, fmt::format("deposit-{}", index)});
    for (int i = 0; i < kCallsPerKey; ++i) {
      if (i > 0) fleet_.Run(static_cast<int64_t>(random_.Below(20)));
      CallRequest request;
      request.name = "pay";
      request.key = key;
      request.body = keys_[index].body;
      starting_key_ = index;
      uint64_t call = fleet_.Call(RandomAlive(), std::move(request));
      if (!completed_synchronously_) key_of_call_[call] = index;
      completed_synchronously_ = false;
      starting_key_ = SIZE_MAX;
    }
  }

  void OnCallCompleted(uint64_t call, const CallAnswer& answer) {
    size_t index = starting_key_;
    auto it = key_of_call_.find(call);
    if (it != key_of_call_.end()) {
      index = it->second;
      key_of_call_.erase(it);
    } else {
      completed_synchronously_ = starting_key_ != SIZE_MAX;
    }
    if (index == SIZE_MAX) return;
    KeyRecord& record = keys_[index];
    ++record.answers;
    record.unknown += answer.outcome.run_state == RunState::kUnknown ? 1 : 0;
    record.reported_ran =
        record.reported_ran || answer.outcome.run_state == RunState::kRan;
    record.reported_not_run = record.reported_not_run ||
                              answer.outcome.run_state == RunState::kNotRun;
  }

  /// Ends the current fault and injects a random one: a killed, frozen or
  /// restarted daemon, a crashed backend server, a platform outage or a
  /// partition.
  void InjectFault() {
    next_fault_ = fleet_.Now() + kFaultPeriodMs;
    ClearFaults();
    size_t index = RandomAlive();
    switch (random_.Below(6)) {
      case 0:
        fleet_.Kill(index);
        killed_ = index;
        break;
      case 1:
        fleet_.Freeze(index);
        frozen_ = index;
        break;
      case 2:
        fleet_.CrashBackend(index, 300);
        break;
      case 3:
        fleet_.SetPlatformUnavailable(true);
        break;
      case 4:
        fleet_.Partition({fmt::format("zone-{}", random_.Below(4))}, true);
        break;
      default:
        fleet_.Kill(index);
        fleet_.Restart(index);
    }
    ++faults_;
  }

  void ClearFaults() {
    if (killed_ != SIZE_MAX) fleet_.Restart(killed_);
    if (frozen_ != SIZE_MAX) fleet_.Thaw(frozen_);
    killed_ = frozen_ = SIZE_MAX;
    fleet_.SetPlatformUnavailable(false);
    fleet_.Partition({}, false);
  }

  Json Evaluate() {
    int max_runs = 0;
    uint64_t false_not_run = 0;
    uint64_t false_ran = 0;
    uint64_t answers = 0;
    uint64_t unknown = 0;
    for (const KeyRecord& record : keys_) {
      auto runs = fleet_.RunsByBody().find(record.body);
      int count = runs == fleet_.RunsByBody().end() ? 0 : runs->second;
      max_runs = std::max(max_runs, count);
      if (record.reported_not_run && count > 0) ++false_not_run;
      if (record.reported_ran && count == 0) ++false_ran;
      answers += record.answers;
      unknown += record.unknown;
    }
    double share = static_cast<double>(unknown) /
                   static_cast<double>(std::max<uint64_t>(1, answers));
    fmt::print(
        "keys {}, answers {}, faults {}: most runs of one key {}, false \"not "
        "run\" {}, false \"ran\" {}, unknown {:.4f}\n",
        keys_.size(), answers, faults_, max_runs, false_not_run, false_ran,
        share);
    return Json{{"bench", "run_once"},
                {"keys", keys_.size()},
                {"max_runs_per_key", max_runs},
                {"false_not_run", false_not_run},
                {"unknown_share", share},
                {"answers", answers},
                {"faults", faults_},
                {"instances", kInstances}};
  }

  Random random_;
  NodeFleet fleet_;
  std::vector<KeyRecord> keys_;
  std::map<uint64_t, size_t> key_of_call_;
  size_t starting_key_ = SIZE_MAX;
  bool completed_synchronously_ = false;
  size_t killed_ = SIZE_MAX;
  size_t frozen_ = SIZE_MAX;
  TimeMs next_fault_;
  uint64_t faults_ = 0;
};

}  // namespace

Json RunOnceBench(uint64_t seed) { return RunOnceSimulation(seed).Run(); }

}  // namespace banyanloft
