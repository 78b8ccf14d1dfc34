#include <fmt/format.h>

#include <algorithm>

#include "benchmarks/bench.h"
#include "standins/node_fleet.h"

namespace banyanloft {
namespace {

constexpr size_t kInstances = 24;
constexpr size_t kKeys = 3000;
constexpr int kSends = 3;
constexpr int64_t kFaultPeriodMs = 700;

/// What callers of one key were told.
struct KeyStory {
  std::string key;
  std::string body;
  bool told_ran = false;
  bool told_not_run = false;
  uint64_t answers = 0;
  uint64_t unknown = 0;
};

class RunOnceRun {
 public:
  explicit RunOnceRun(uint64_t seed) : random_(seed), fleet_(Settings(seed)) {
    fleet_.ApplyConfiguration(SampleConfiguration());
    for (size_t i = 0; i < kInstances; ++i) fleet_.Start("shop");
    fleet_.Run(15000);
    fleet_.on_call_completed = [this](uint64_t call, const CallAnswer& answer) {
      OnEnded(call, answer);
    };
  }

  Json Run() {
    while (stories_.size() < kKeys) {
      NewKey();
      if (fleet_.Now() >= next_fault_) Fault();
      fleet_.Run(5);
    }
    Heal();
    fleet_.Run(10000);
    return Judge();
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

  /// Takes a key and sends it at once and again through other daemons.
  void NewKey() {
    std::string key = fleet_.RequestKey(RandomAlive(), "pay");
    if (key.empty()) return;
    size_t story = stories_.size();
    stories_.push_back({key, fmt::format("deposit-{}", story)});
    for (int i = 0; i < kSends; ++i) {
      if (i > 0) fleet_.Run(static_cast<int64_t>(random_.Below(20)));
      CallRequest request;
      request.name = "pay";
      request.key = key;
      request.body = stories_[story].body;
      begun_ = story;
      uint64_t call = fleet_.Call(RandomAlive(), std::move(request));
      if (!ended_early_) story_of_call_[call] = story;
      ended_early_ = false;
      begun_ = SIZE_MAX;
    }
  }

  void OnEnded(uint64_t call, const CallAnswer& answer) {
    size_t story = begun_;
    auto it = story_of_call_.find(call);
    if (it != story_of_call_.end()) {
      story = it->second;
      story_of_call_.erase(it);
    } else {
      ended_early_ = begun_ != SIZE_MAX;
    }
    if (story == SIZE_MAX) return;
    KeyStory& told = stories_[story];
    ++told.answers;
    told.unknown += answer.outcome.run_state == RunState::kUnknown ? 1 : 0;
    told.told_ran = told.told_ran || answer.outcome.run_state == RunState::kRan;
    told.told_not_run =
        told.told_not_run || answer.outcome.run_state == RunState::kNotRun;
  }

  /// One fault at a time of day: kill, freeze, crash, outage, cut or drain.
  void Fault() {
    next_fault_ = fleet_.Now() + kFaultPeriodMs;
    Heal();
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

  void Heal() {
    if (killed_ != SIZE_MAX) fleet_.Restart(killed_);
    if (frozen_ != SIZE_MAX) fleet_.Thaw(frozen_);
    killed_ = frozen_ = SIZE_MAX;
    fleet_.SetPlatformUnavailable(false);
    fleet_.Partition({}, false);
  }

  Json Judge() {
    int max_runs = 0;
    uint64_t false_not_run = 0;
    uint64_t lost_ran = 0;
    uint64_t answers = 0;
    uint64_t unknown = 0;
    for (const KeyStory& story : stories_) {
      auto runs = fleet_.RunsByBody().find(story.body);
      int count = runs == fleet_.RunsByBody().end() ? 0 : runs->second;
      max_runs = std::max(max_runs, count);
      if (story.told_not_run && count > 0) ++false_not_run;
      if (story.told_ran && count == 0) ++lost_ran;
      answers += story.answers;
      unknown += story.unknown;
    }
    double share = static_cast<double>(unknown) /
                   static_cast<double>(std::max<uint64_t>(1, answers));
    fmt::print(
        "keys {}, answers {}, faults {}: most runs of one key {}, false \"not "
        "run\" {}, false \"ran\" {}, unknown {:.4f}\n",
        stories_.size(), answers, faults_, max_runs, false_not_run, lost_ran,
        share);
    return Json{{"bench", "run_once"},
                {"keys", stories_.size()},
                {"max_runs_per_key", max_runs},
                {"false_not_run", false_not_run},
                {"unknown_share", share},
                {"answers", answers},
                {"faults", faults_},
                {"instances", kInstances}};
  }

  Random random_;
  NodeFleet fleet_;
  std::vector<KeyStory> stories_;
  std::map<uint64_t, size_t> story_of_call_;
  size_t begun_ = SIZE_MAX;
  bool ended_early_ = false;
  size_t killed_ = SIZE_MAX;
  size_t frozen_ = SIZE_MAX;
  TimeMs next_fault_;
  uint64_t faults_ = 0;
};

}  // namespace

Json RunOnceBench(uint64_t seed) { return RunOnceRun(seed).Run(); }

}  // namespace banyanloft
