#include "banyanloft/mesh/rollout_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyanloft {
namespace {

constexpr int64_t kPermille = 1000;
constexpr int64_t kSliceMs = 1000;
/// Longest shift as a part of the time allowed.
constexpr int64_t kShiftDivisor = 11;
/// Buckets above the one of the lower quartile from which a run counts as slow:
/// a factor of 2.8 to 4, because servers are at times slower by 2.5. With one
/// bucket less, ordinary runs on a route with a wide spread counted as slow.
constexpr size_t kSlowBuckets = 4;
/// Timed runs from which a server's own quartile is trusted, and the buckets by
/// which it may then differ from that of the old version: servers' speeds
/// differ by up to three. With fewer runs a low quartile is likely to be
/// chance.
constexpr uint64_t kMinOwnRuns = 16;
constexpr size_t kSpeedBuckets = 3;
constexpr size_t kSpeedBucketsWithFewRuns = 1;
constexpr uint64_t kQuartile = 25;
constexpr uint64_t kMedian = 50;
/// Runs from which medians are compared, and the buckets that make a version
/// slow: the speeds of a few servers may differ by 1.8 from the mean. Means
/// gave false alarms, because a few runs take seven times as long as others.
constexpr uint64_t kMinMedianRuns = 20;
constexpr size_t kSlowMedianBuckets = 3;

/// Whether `found` of `count` are more than the old version's rate explains.
/// For Poisson counts the chance of a false alarm is about 1e-5.
bool Exceeds(uint64_t found, uint64_t count, uint64_t old_found,
             uint64_t old_count) {
  constexpr double kRateMargin = 1.7;
  constexpr double kDeviations = 2.5;
  constexpr double kMinExcess = 2;
  // Without an observation the old rate is taken as 1 of 50.
  double rate = (static_cast<double>(old_found) + 0.4) /
                (static_cast<double>(old_count) + 20);
  double expected = static_cast<double>(count) * rate;
  return static_cast<double>(found) >
         kRateMargin * expected + kDeviations * std::sqrt(expected + 1) +
             kMinExcess;
}

}  // namespace

void RolloutController::Sums::Add(const Sums& other) {
  answers += other.answers;
  failures += other.failures;
  timed += other.timed;
  slow += other.slow;
  for (size_t i = 0; i < kRunTimeBuckets; ++i)
    run_times[i] += other.run_times[i];
}

RolloutController::RolloutController(const RolloutControllerSettings& settings,
                                     std::string to_version, TimeMs start,
                                     int64_t duration_ms)
    : settings_(settings),
      to_version_(std::move(to_version)),
      start_(start),
      duration_ms_(std::max<int64_t>(1, duration_ms)) {}

/// Bucket from which a server's runs on a route count as slow.
size_t RolloutController::SlowFrom(const std::string& route,
                                   const RunTimeHistogram& own) const {
  bool trusted = TotalOf(own) >= kMinOwnRuns;
  size_t quartile = PercentileBucket(own, kQuartile);
  auto old_version = old_run_times_.find(route);
  if (old_version == old_run_times_.end())
    return trusted ? quartile + kSlowBuckets : kRunTimeBuckets;
  size_t usual = PercentileBucket(old_version->second, kQuartile);
  size_t spread = trusted ? kSpeedBuckets : kSpeedBucketsWithFewRuns;
  size_t least = usual > spread ? usual - spread : 0;
  return std::clamp(quartile, least, usual + spread) + kSlowBuckets;
}

/// What a daemon has counted since its last report. A run is slow compared with
/// the same server's other runs, so that servers of any speed are alike.
RolloutController::Sums RolloutController::Difference(
    const std::string& route, const RouteEvidence& before,
    const RouteEvidence& after) const {
  auto grown = [](uint64_t old_value, uint64_t value) {
    return value > old_value ? value - old_value : 0;
  };
  Sums sums;
  sums.answers = grown(before.answers, after.answers);
  sums.failures = grown(before.failures, after.failures);
  size_t slow_from = SlowFrom(route, after.run_times);
  for (size_t i = 0; i < kRunTimeBuckets; ++i) {
    uint64_t runs = grown(before.run_times[i], after.run_times[i]);
    sums.timed += runs;
    sums.run_times[i] = runs;
    if (i >= slow_from) sums.slow += runs;
  }
  return sums;
}

void RolloutController::OnEvidence(TimeMs now, MemberId reporter,
                                   const RolloutEvidence& evidence) {
  if (evidence.to_version != to_version_) return;
  size_t version = evidence.version == to_version_ ? 1 : 0;
  RolloutEvidence& last = reports_[reporter];
  // The server beside this daemon was replaced by one of another version.
  if (last.version != evidence.version) last = RolloutEvidence();
  if (slices_.empty() || now - slices_.back().began >= kSliceMs) {
    slices_.emplace_back();
    slices_.back().began = now;
  }
  for (const auto& [route, after] : evidence.routes) {
    RouteEvidence& before = last.routes[route];
    if (version == 0) {
      RunTimeHistogram& merged = old_run_times_[route];
      for (size_t i = 0; i < kRunTimeBuckets; ++i) {
        if (after.run_times[i] > before.run_times[i])
          merged[i] += after.run_times[i] - before.run_times[i];
      }
    }
    Sums sums = Difference(route, before, after);
    for (VersionSums* target :
         {&total_[version], &slices_.back().sums[version]}) {
      target->all.Add(sums);
      target->routes[route].Add(sums);
    }
    before = after;
  }
  last.version = evidence.version;
}

std::string RolloutController::Compare(const char* span,
                                       const std::string& route,
                                       const Sums& old_sums,
                                       const Sums& new_sums) {
  auto text = [&](const char* kind, uint64_t found, uint64_t count,
                  uint64_t old_found, uint64_t old_count) {
    return fmt::format("{} {} of {}, old version {} of {}, route {}, {}", kind,
                       found, count, old_found, old_count, route, span);
  };
  if (Exceeds(new_sums.failures, new_sums.answers, old_sums.failures,
              old_sums.answers))
    return text("failures", new_sums.failures, new_sums.answers,
                old_sums.failures, old_sums.answers);
  if (Exceeds(new_sums.slow, new_sums.timed, old_sums.slow, old_sums.timed))
    return text("slow runs", new_sums.slow, new_sums.timed, old_sums.slow,
                old_sums.timed);
  // Medians over several routes would compare different work.
  bool comparable = route != "all" && new_sums.timed >= kMinMedianRuns &&
                    old_sums.timed >= kMinMedianRuns;
  if (!comparable) return "";
  size_t new_median = PercentileBucket(new_sums.run_times, kMedian);
  size_t old_median = PercentileBucket(old_sums.run_times, kMedian);
  if (new_median < old_median + kSlowMedianBuckets) return "";
  return fmt::format(
      "median run time over {:.0f} ms of {}, old version {:.0f} ms of {}, "
      "route {}, {}",
      std::exp2(static_cast<double>(new_median) / 2), new_sums.timed,
      std::exp2(static_cast<double>(old_median) / 2), old_sums.timed, route,
      span);
}

std::string RolloutController::CompareAll(const char* span,
                                          const BothVersions& sums) const {
  // The old version's rates over all time are the steadiest.
  std::string fault = Compare(span, "all", total_[0].all, sums[1].all);
  for (const auto& [route, new_sums] : sums[1].routes) {
    if (!fault.empty()) return fault;
    auto old_sums = total_[0].routes.find(route);
    fault =
        Compare(span, route,
                old_sums == total_[0].routes.end() ? Sums() : old_sums->second,
                new_sums);
  }
  return fault;
}

/// Evidence that the new version is bad; empty if there is none.
std::string RolloutController::FindFault(TimeMs now) const {
  std::string fault = CompareAll("since the order", total_);
  if (!fault.empty()) return fault;
  BothVersions recent;
  for (const Slice& slice : slices_) {
    if (now - slice.began > settings_.window_ms) continue;
    recent[1].all.Add(slice.sums[1].all);
    for (const auto& [route, sums] : slice.sums[1].routes)
      recent[1].routes[route].Add(sums);
  }
  return CompareAll("recently", recent);
}

/// Time for which all requests go to the new version before it succeeds. The
/// old servers stop at once then, so their requests have to end before.
int64_t RolloutController::ShiftMs() const {
  int64_t finish_ms = duration_ms_ * settings_.finish_permille / kPermille;
  int64_t shift_ms =
      settings_.spread_ms +
      std::clamp(finish_ms, settings_.finish_min_ms, settings_.finish_max_ms);
  // Short roll-outs have to end by their deadline, too.
  return std::min(shift_ms, duration_ms_ / kShiftDivisor);
}

/// Rate of answers of both versions over the last seconds.
double RolloutController::RecentPerMs(TimeMs now) const {
  uint64_t answers = 0;
  int64_t span_ms = kSliceMs;
  for (const Slice& slice : slices_) {
    span_ms = std::max(span_ms, now - slice.began);
    answers += slice.sums[0].all.answers + slice.sums[1].all.answers;
  }
  return static_cast<double>(answers) / static_cast<double>(span_ms);
}

/// Share that uses what is left of the exposure, in 1/1000.
double RolloutController::Share(TimeMs now) const {
  double elapsed_ms =
      static_cast<double>(std::max<int64_t>(kSliceMs, now - start_));
  // Daemons that don't report may have got a part of the share.
  constexpr double kGrantedPart = 0.8;
  double used =
      std::max(static_cast<double>(NewAnswers()), granted_ * kGrantedPart);
  double requests = static_cast<double>(OldAnswers() + NewAnswers());
  if (requests < 1) return static_cast<double>(settings_.first_permille);
  double per_ms = requests / elapsed_ms;
  double exposure =
      static_cast<double>(settings_.exposure_permille) / kPermille;
  double slack = static_cast<double>(settings_.exposure_slack) / 2;
  double trial_use =
      static_cast<double>(settings_.trial_use_permille) / kPermille;
  double left = requests * exposure * trial_use + slack - used;
  double over_ms = static_cast<double>(settings_.follow_ms);
  // Requests that already have the share but whose answers are not known yet.
  double recent_per_ms = std::max(per_ms, RecentPerMs(now));
  left -= share_limit_ / kPermille * recent_per_ms *
          static_cast<double>(settings_.evidence_lag_ms);
  double share = std::max(0.0, left) / (recent_per_ms * over_ms) * kPermille;
  return std::min(share, static_cast<double>(settings_.max_trial_permille));
}

RolloutDecision RolloutController::Decide(TimeMs now, size_t old_ready,
                                          size_t new_ready,
                                          int share_permille) {
  uint64_t requests = OldAnswers() + NewAnswers();
  granted_ += static_cast<double>(requests - granted_at_) *
              static_cast<double>(new_ready == 0 ? 0 : share_permille) /
              kPermille;
  granted_at_ = requests;
  if (!decided_) {
    decided_ = true;
    share_limit_ = share_permille;
    decided_at_ = now;
  }
  using Verdict = RolloutDecision::Verdict;
  while (!slices_.empty() && now - slices_.front().began > settings_.window_ms)
    slices_.pop_front();
  RolloutDecision decision;
  if (fault_.empty()) fault_ = FindFault(now);
  if (!fault_.empty()) {
    decision.verdict = Verdict::kRollBack;
    decision.reason = fault_;
    return decision;
  }
  auto reached = [&](int64_t permille) {
    return (now - start_) * kPermille >= duration_ms_ * permille;
  };
  uint64_t answers = NewAnswers();
  bool enough = answers >= settings_.min_answers;
  bool last = reached(settings_.decide_at_permille);
  if (last) {
    bool idle = OldAnswers() + answers < settings_.min_answers;
    enough = answers >= settings_.min_answers_late || idle;
  }
  decision.reason =
      fmt::format("{} answers of the new version, {} bad, {} of the old one",
                  answers, BadAnswers(), OldAnswers());
  if (share_permille < kPermille) {
    shift_began_.reset();
  } else if (!shift_began_) {
    shift_began_ = now;
  }
  if (enough && new_ready > 0 && reached(settings_.shift_at_permille)) {
    if (shift_began_ && now - *shift_began_ >= ShiftMs()) {
      decision.verdict = Verdict::kSucceed;
      return decision;
    }
    decision.share_permille = static_cast<int>(kPermille);
    decision.trial_servers = static_cast<int>(new_ready);
    return decision;
  }
  if (last) {
    decision.verdict = Verdict::kRollBack;
    decision.reason = "too little evidence: " + decision.reason;
    return decision;
  }
  if (new_ready == 0) return decision;
  // At most doubles within a second, because evidence is up to a second old.
  double base =
      std::max(share_limit_, static_cast<double>(settings_.first_permille));
  int64_t since_ms = std::min<int64_t>(kSliceMs, now - decided_at_);
  double limit = base * (1 + static_cast<double>(since_ms) / kSliceMs);
  double share = std::min(Share(now), limit);
  share_limit_ = share;
  decided_at_ = now;
  decision.share_permille = static_cast<int>(share);
  // Each trial server is to be about as busy as an old one.
  size_t servers = std::max<size_t>(1, old_ready);
  size_t busy =
      (servers * static_cast<size_t>(decision.share_permille) + kPermille - 1) /
      static_cast<size_t>(kPermille);
  decision.trial_servers =
      static_cast<int>(std::clamp<size_t>(busy, 1, new_ready));
  return decision;
}

}  // namespace banyanloft
