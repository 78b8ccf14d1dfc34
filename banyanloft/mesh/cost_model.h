#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of CostModel.
struct CostModelSettings {
  /// Samples over which the mean of a route is averaged.
  double route_window = 32;
  /// Samples over which the factor of a trait is averaged.
  double factor_window = 64;
  /// Samples at which a factor is shrunk to half of its deviation.
  double shrink_samples = 8;
  /// Standard errors by which the deviation of a factor is reduced.
  double standard_errors = 1.5;
  /// Samples are cut at this multiple of the estimate. Heavy-tailed run times
  /// would otherwise dominate a mean over few samples.
  double max_sample_ratio = 4;
  /// Time without a sample after which the mean of a route starts again, in ms.
  /// An old mean may stem from a slow period that has ended.
  int64_t route_age_ms = 3000;
  /// Time without a sample in which the weight of a factor halves, in ms.
  int64_t factor_half_life_ms = 30000;
  size_t max_cells = 1000;  ///< Bounds memory; about 100 bytes each.
};

/// What is known of a request before it runs.
struct RequestTraits {
  std::string_view route;         ///< Id of the route.
  std::string_view method;        ///< HTTP method.
  std::string_view path_segment;  ///< First segment below the route's prefix.
  std::string_view account;       ///< Client account; empty if none.
  size_t body_bytes = 0;          ///< Size of the request's body.
};

/// First path segment of `target` after the first `prefix_bytes` bytes, without
/// the query.
std::string_view SegmentBelow(std::string_view target, size_t prefix_bytes);

/// Hashes of a request's traits, computed once per request.
struct CostKey {
  static constexpr size_t kTraits = 4;
  uint64_t route = 0;
  std::array<uint64_t, kTraits>
      traits{};  ///< 0: the request has no such trait.
};

/// Expected run times of requests, learned from samples: the mean of the route,
/// times a factor for each trait as far as samples show that it matters.
/// Bounded memory. Deterministic; not thread safe.
class CostModel {
 public:
  explicit CostModel(const CostModelSettings& settings) : settings_(settings) {}

  static CostKey KeyOf(const RequestTraits& traits);

  /// Adds the run time of a request, in ms. `slowness` is the relative run time
  /// of the target compared to others; factors are learned relative to it.
  void Add(TimeMs now, const CostKey& key, int64_t run_ms, double slowness);
  /// Expected run time, in ms; negative if the route has no sample. An old mean
  /// of the route is still used.
  double ExpectedMs(TimeMs now, const CostKey& key) const;
  /// Mean of the route, in ms; negative if its last sample is older than
  /// `route_age_ms`.
  double RouteMs(TimeMs now, uint64_t route) const;
  /// Number of means and factors that are kept.
  size_t Cells() const { return cells_.size(); }

 private:
  struct Cell {
    double mean = 0;
    double variance = 0;
    double weight = 0;  ///< Effective number of samples.
    TimeMs updated;
  };

  double FactorOf(TimeMs now, uint64_t key) const;
  double WeightOf(TimeMs now, const Cell& cell) const;
  void AddRatio(TimeMs now, uint64_t key, double ratio);
  void AddToRoute(TimeMs now, uint64_t key, double run_ms);
  Cell* Allocate(uint64_t key);
  void DropLightCells();

  CostModelSettings settings_;
  std::unordered_map<uint64_t, Cell> cells_;
};

/// Speed of a target relative to others: the mean ratio of run times to those
/// expected on a target of average speed. Covers the requests of all daemons,
/// whatever their cost. Deterministic; not thread safe.
class RelativeSpeed {
 public:
  /// Adds a run. Ignored if its expected run time is not known.
  void Add(TimeMs now, int64_t run_ms, int64_t expected_ms);
  /// Relative run time, in 1/1000; negative without a recent sample.
  int SlownessPermille(TimeMs now) const;
  /// Expected run time here of a request with this one on average, in ms;
  /// negative if that is not known.
  int64_t ExpectedMs(TimeMs now, int64_t average_ms) const;

 private:
  double mean_ = 1;
  double weight_ = 0;
  TimeMs updated_;
};

}  // namespace banyanloft
