#include <fmt/format.h>

#include <algorithm>

#include "banyanloft/routing/target_picker.h"

namespace banyanloft {
namespace {

constexpr int64_t kPermille = 1000;
constexpr int64_t kSuspectPenalty = 1000 * kPermille;
constexpr int kMaxEjectDoublings = 5;

class LeastLoadedPicker final : public TargetPicker {
 public:
  LeastLoadedPicker(const PickerSettings& settings, std::string own_zone,
                    uint64_t seed)
      : settings_(settings), own_zone_(std::move(own_zone)), random_(seed) {}

  void SetTargets(TimeMs, const std::vector<TargetInfo>& targets) override {
    std::map<MemberId, Target> next;
    for (const TargetInfo& info : targets) {
      auto known = targets_.find(info.id);
      Target target = known == targets_.end() ? Target() : known->second;
      target.info = info;
      next[info.id] = std::move(target);
    }
    targets_ = std::move(next);
  }

  PickResult Pick(TimeMs now, int rank,
                  const std::vector<MemberId>& tried) override {
    std::vector<const Target*> own_zone_targets;
    std::vector<const Target*> all;
    CollectUsable(now, tried, &own_zone_targets, &all);
    if (all.empty())
      return {std::nullopt, PickFailure::kNoTarget,
              "no target of the service is usable"};

    // Prefer the own zone; consider all zones when the better of two targets
    // there has reached the spillover load.
    Choice choice = BetterOfTwo(now, own_zone_targets);
    std::string reason = "least loaded of two in the own zone";
    if (choice.target == nullptr ||
        choice.load >= settings_.spillover_load_permille) {
      Choice any_zone = BetterOfTwo(now, all);
      if (choice.target == nullptr || any_zone.load < choice.load) {
        choice = any_zone;
        reason = own_zone_targets.empty() ? "no usable target in the own zone"
                                          : "own zone is full";
      }
    }
    if (!Admitted(now, *choice.target, rank))
      return PickFullyAdmittingTarget(now, rank, all);
    return {choice.target->info.id, PickFailure::kNoTarget,
            fmt::format("{}, load {} of 1000", reason, choice.load)};
  }

  void OnSent(MemberId id) override {
    auto it = targets_.find(id);
    if (it != targets_.end()) ++it->second.outstanding;
  }

  void OnEnded(TimeMs now, MemberId id, bool failed) override {
    auto it = targets_.find(id);
    if (it == targets_.end()) return;
    Target& target = it->second;
    target.outstanding = std::max(0, target.outstanding - 1);
    if (!failed) {
      target.failures = 0;
      target.ejections = std::max(0, target.ejections - 1);
      return;
    }
    ++target.failures;
    bool ejected = target.ejected_until > now;
    if (!ejected && target.failures >= settings_.failures_to_eject &&
        MayEject(now))
      Eject(now, &target);
  }

  void OnReport(TimeMs now, MemberId id, const LoadReport& report) override {
    auto it = targets_.find(id);
    if (it == targets_.end()) return;
    it->second.report = report;
    it->second.reported = now;
    it->second.has_report = true;
  }

  int Ejected(TimeMs now) const override {
    return static_cast<int>(std::count_if(
        targets_.begin(), targets_.end(),
        [&](const auto& entry) { return entry.second.ejected_until > now; }));
  }

 private:
  struct Target {
    TargetInfo info;
    int outstanding = 0;
    LoadReport report;
    TimeMs reported;
    bool has_report = false;
    int failures = 0;
    int ejections = 0;
    TimeMs ejected_until{-1};
  };
  struct Choice {
    const Target* target = nullptr;
    int64_t load = 0;
  };

  /// Collects the usable targets. Falls back to targets tried before, and then
  /// to ejected ones, only if there is no other.
  void CollectUsable(TimeMs now, const std::vector<MemberId>& tried,
                     std::vector<const Target*>* own_zone_targets,
                     std::vector<const Target*>* all) const {
    for (int pass = 0; pass < 3 && all->empty(); ++pass) {
      for (const auto& [id, target] : targets_) {
        bool was_tried =
            std::find(tried.begin(), tried.end(), id) != tried.end();
        if (was_tried && pass < 1) continue;
        if (target.ejected_until > now && pass < 2) continue;
        all->push_back(&target);
        if (target.info.zone == own_zone_ && !target.info.suspect)
          own_zone_targets->push_back(&target);
      }
    }
  }

  Choice BetterOfTwo(TimeMs now, const std::vector<const Target*>& from) {
    if (from.empty()) return {};
    const Target* a = from[random_.Below(from.size())];
    const Target* b = a;
    if (from.size() > 1) {
      while (b == a) b = from[random_.Below(from.size())];
    }
    int64_t load_a = Load(now, *a);
    int64_t load_b = Load(now, *b);
    return load_b < load_a ? Choice{b, load_b} : Choice{a, load_a};
  }

  /// Load in 1/1000 of the target's slots, with penalties.
  int64_t Load(TimeMs now, const Target& target) const {
    int64_t work = target.outstanding;
    if (target.has_report &&
        now - target.reported < settings_.report_max_age_ms) {
      work = std::max<int64_t>(work,
                               target.report.running + target.report.waiting);
    }
    int64_t slots = std::max(1, target.info.slots);
    int64_t load =
        (work + 1) * kPermille * kPermille / (slots * Weight(now, target));
    if (target.info.zone != own_zone_)
      load += settings_.cross_zone_penalty_permille;
    if (target.info.suspect) load += kSuspectPenalty;
    return load;
  }

  /// Usable share of the target's slots in 1/1000; grows during slow start.
  int64_t Weight(TimeMs now, const Target& target) const {
    int64_t age_ms = now - target.info.ready_since;
    if (age_ms >= settings_.slow_start_ms) return kPermille;
    return std::max<int64_t>(kPermille / 10,
                             age_ms * kPermille / settings_.slow_start_ms);
  }

  int LevelOf(TimeMs now, const Target& target, int rank) const {
    bool fresh = target.has_report &&
                 now - target.reported < settings_.report_max_age_ms;
    return fresh ? target.report.levels[static_cast<size_t>(rank)] : kPermille;
  }

  bool Admitted(TimeMs now, const Target& target, int rank) {
    int level = LevelOf(now, target, rank);
    return level >= kPermille || random_.ChancePermille(level);
  }

  /// The chosen target is shedding this rank: picks one that admits all of it,
  /// or refuses the work.
  PickResult PickFullyAdmittingTarget(
      TimeMs now, int rank, const std::vector<const Target*>& all) const {
    for (const Target* other : all) {
      if (LevelOf(now, *other, rank) < kPermille || other->info.suspect)
        continue;
      return {other->info.id, PickFailure::kNoTarget,
              "the only kind of target that admits this rank"};
    }
    return {std::nullopt, PickFailure::kEarlyRefused,
            "targets admit only a part of this rank"};
  }

  bool MayEject(TimeMs now) const {
    int64_t after = Ejected(now) + 1;
    int64_t count = static_cast<int64_t>(targets_.size());
    return after < count &&
           after * kPermille <= count * settings_.max_ejected_permille;
  }

  void Eject(TimeMs now, Target* target) {
    int doublings = std::min(target->ejections, kMaxEjectDoublings);
    int64_t time_ms =
        std::min(settings_.eject_base_ms << doublings, settings_.eject_cap_ms);
    int64_t jitter_ms = static_cast<int64_t>(
        random_.Below(static_cast<uint64_t>(time_ms) / 4 + 1));
    target->ejected_until = now + time_ms + jitter_ms;
    // After the ejection, one success resets the count and one failure ejects
    // the target again.
    target->failures = settings_.failures_to_eject - 1;
    ++target->ejections;
  }

  PickerSettings settings_;
  std::string own_zone_;
  Random random_;
  std::map<MemberId, Target> targets_;
};

class RoundRobinPicker final : public TargetPicker {
 public:
  void SetTargets(TimeMs, const std::vector<TargetInfo>& targets) override {
    targets_ = targets;
  }
  PickResult Pick(TimeMs, int, const std::vector<MemberId>&) override {
    if (targets_.empty())
      return {std::nullopt, PickFailure::kNoTarget, "no target"};
    next_ = (next_ + 1) % targets_.size();
    return {targets_[next_].id, PickFailure::kNoTarget, "next in turn"};
  }
  void OnSent(MemberId) override {}
  void OnEnded(TimeMs, MemberId, bool) override {}
  void OnReport(TimeMs, MemberId, const LoadReport&) override {}
  int Ejected(TimeMs) const override { return 0; }

 private:
  std::vector<TargetInfo> targets_;
  size_t next_ = 0;
};

}  // namespace

std::unique_ptr<TargetPicker> MakeLeastLoadedPicker(
    const PickerSettings& settings, std::string own_zone, uint64_t seed) {
  return std::make_unique<LeastLoadedPicker>(settings, std::move(own_zone),
                                             seed);
}

std::unique_ptr<TargetPicker> MakeRoundRobinPicker() {
  return std::make_unique<RoundRobinPicker>();
}

}  // namespace banyanloft
