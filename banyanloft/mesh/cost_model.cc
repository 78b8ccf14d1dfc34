#include "banyanloft/mesh/cost_model.h"

#include <algorithm>
#include <cmath>

#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

/// Seeds that keep the hashes of different traits apart.
enum TraitSeed : uint64_t {
  kSegmentSeed = 1,
  kMethodSeed,
  kSizeSeed,
  kAccountSeed
};

/// Assumed variance of the ratio of samples to the estimate, and the number of
/// samples that this assumption counts for: a few equal samples show nothing.
constexpr double kPriorVariance = 0.25;
constexpr double kPriorSamples = 4;
constexpr double kMinFactor = 0.1;
constexpr double kMaxFactor = 20;
constexpr int64_t kPermille = 1000;
/// Runs over which the speed of a target is averaged: about two seconds of a
/// busy one. Over 16 runs, heavy-tailed run times gave more late requests than
/// they avoided (tests/placing_load_test.cc).
constexpr double kSpeedWindow = 64;
/// Age from which a speed is ignored, in ms: a slow period may have ended.
constexpr int64_t kMaxSpeedAgeMs = 3000;
/// Ratios are cut at this multiple of the mean (see max_sample_ratio).
constexpr double kMaxSpeedRatio = 4;

/// Size class of a body: one for each factor of four above 1 KiB.
uint64_t SizeClass(size_t bytes) {
  uint64_t size_class = 0;
  for (size_t limit = 1024; bytes > limit && size_class < 10; limit *= 4)
    ++size_class;
  return size_class;
}

uint64_t HashOf(uint64_t route, uint64_t seed, std::string_view value) {
  return value.empty() ? 0 : FastHash(value, route + seed);
}

}  // namespace

std::string_view SegmentBelow(std::string_view target, size_t prefix_bytes) {
  target = target.substr(0, target.find('?'));
  if (target.size() <= prefix_bytes) return {};
  target.remove_prefix(prefix_bytes);
  return target.substr(0, target.find('/'));
}

CostKey CostModel::KeyOf(const RequestTraits& traits) {
  CostKey key;
  key.route = FastHash(traits.route);
  char size_class = static_cast<char>('a' + SizeClass(traits.body_bytes));
  key.traits = {HashOf(key.route, kSegmentSeed, traits.path_segment),
                HashOf(key.route, kMethodSeed, traits.method),
                HashOf(key.route, kSizeSeed, std::string_view(&size_class, 1)),
                HashOf(key.route, kAccountSeed, traits.account)};
  return key;
}

double CostModel::WeightOf(TimeMs now, const Cell& cell) const {
  double half_lives = static_cast<double>(now - cell.updated) /
                      static_cast<double>(settings_.factor_half_life_ms);
  return half_lives < 1 ? cell.weight : cell.weight * std::exp2(-half_lives);
}

/// Factor of a trait: its mean ratio, reduced by the uncertainty and shrunk
/// towards 1.
double CostModel::FactorOf(TimeMs now, uint64_t key) const {
  if (key == 0) return 1;
  auto it = cells_.find(key);
  if (it == cells_.end()) return 1;
  const Cell& cell = it->second;
  double weight = WeightOf(now, cell);
  double variance = (cell.variance * weight + kPriorVariance * kPriorSamples) /
                    (weight + kPriorSamples);
  double error =
      settings_.standard_errors * std::sqrt(variance / std::max(weight, 1.0));
  double deviation = cell.mean - 1;
  double certain = std::max(0.0, std::abs(deviation) - error);
  double shrunk = certain * weight / (weight + settings_.shrink_samples);
  return std::clamp(deviation < 0 ? 1 - shrunk : 1 + shrunk, kMinFactor,
                    kMaxFactor);
}

void CostModel::Add(TimeMs now, const CostKey& key, int64_t run_ms,
                    double slowness) {
  double sample = static_cast<double>(run_ms);
  auto route = cells_.find(key.route);
  if (route != cells_.end()) {
    double estimate = std::max(1.0, route->second.mean * slowness);
    for (uint64_t trait : key.traits) {
      double factor = FactorOf(now, trait);
      AddRatio(now, trait, sample / estimate);
      estimate *= factor;
    }
  }
  AddToRoute(now, key.route, sample);
}

void CostModel::AddRatio(TimeMs now, uint64_t key, double ratio) {
  if (key == 0) return;
  auto it = cells_.find(key);
  Cell* cell = it == cells_.end() ? Allocate(key) : &it->second;
  if (cell == nullptr) return;
  double expected = cell->weight > 0 ? std::max(1.0, cell->mean) : 1;
  double value = std::min(ratio, expected * settings_.max_sample_ratio);
  cell->weight = std::min(WeightOf(now, *cell) + 1, settings_.factor_window);
  double delta = value - cell->mean;
  cell->mean += delta / cell->weight;
  cell->variance =
      (1 - 1 / cell->weight) * (cell->variance + delta * delta / cell->weight);
  cell->updated = now;
}

void CostModel::AddToRoute(TimeMs now, uint64_t key, double run_ms) {
  auto it = cells_.find(key);
  Cell* cell = it == cells_.end() ? Allocate(key) : &it->second;
  if (cell == nullptr) return;
  bool fresh =
      cell->weight > 0 && now - cell->updated <= settings_.route_age_ms;
  if (!fresh) *cell = Cell();
  double value = fresh ? std::min(run_ms, std::max(1.0, cell->mean) *
                                              settings_.max_sample_ratio)
                       : run_ms;
  cell->weight = std::min(cell->weight + 1, settings_.route_window);
  cell->mean += (value - cell->mean) / cell->weight;
  cell->updated = now;
}

/// Adds a cell. Null if the table is full of cells that are in use.
CostModel::Cell* CostModel::Allocate(uint64_t key) {
  if (cells_.size() >= settings_.max_cells) DropLightCells();
  if (cells_.size() >= settings_.max_cells) return nullptr;
  return &cells_[key];
}

/// Halves all weights and drops the cells with less than one sample left, so
/// that traits that occur once do not displace frequent ones.
void CostModel::DropLightCells() {
  for (auto it = cells_.begin(); it != cells_.end();) {
    it->second.weight /= 2;
    it = it->second.weight < 1 ? cells_.erase(it) : std::next(it);
  }
}

double CostModel::ExpectedMs(TimeMs now, const CostKey& key) const {
  auto route = cells_.find(key.route);
  if (route == cells_.end() || route->second.weight <= 0) return -1;
  double expected = route->second.mean;
  for (uint64_t trait : key.traits) expected *= FactorOf(now, trait);
  return expected;
}

double CostModel::RouteMs(TimeMs now, uint64_t route) const {
  auto it = cells_.find(route);
  bool fresh = it != cells_.end() && it->second.weight > 0 &&
               now - it->second.updated <= settings_.route_age_ms;
  return fresh ? it->second.mean : -1;
}

void RelativeSpeed::Add(TimeMs now, int64_t run_ms, int64_t expected_ms) {
  if (expected_ms < 0) return;
  bool fresh = weight_ > 0 && now - updated_ <= kMaxSpeedAgeMs;
  if (!fresh) weight_ = 0;
  double ratio = static_cast<double>(run_ms) /
                 static_cast<double>(std::max<int64_t>(1, expected_ms));
  double highest = kMaxSpeedRatio * (fresh ? std::max(1.0, mean_) : 1);
  weight_ = std::min(weight_ + 1, kSpeedWindow);
  mean_ += (std::min(ratio, highest) - mean_) / weight_;
  updated_ = now;
}

int RelativeSpeed::SlownessPermille(TimeMs now) const {
  bool fresh = weight_ > 0 && now - updated_ <= kMaxSpeedAgeMs;
  return fresh ? static_cast<int>(std::lround(mean_ * kPermille)) : -1;
}

int64_t RelativeSpeed::ExpectedMs(TimeMs now, int64_t average_ms) const {
  int slowness_permille = SlownessPermille(now);
  if (average_ms < 0 || slowness_permille < 0) return average_ms;
  return average_ms * slowness_permille / kPermille;
}

}  // namespace banyanloft
