#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "banyanloft/core/time.h"
#include "banyanloft/run_once/key.h"

namespace banyanloft {

/// Buckets of the histogram of run times; each is sqrt(2) times as wide as the
/// one before. The last one holds all runs of more than 46 s.
inline constexpr size_t kRunTimeBuckets = 32;
using RunTimeHistogram = std::array<uint64_t, kRunTimeBuckets>;

/// Bucket of a run time.
size_t RunTimeBucket(int64_t run_ms);
uint64_t TotalOf(const RunTimeHistogram& histogram);
/// Bucket of a quantile, such as 25 for the lower quartile; 0 if the histogram
/// is empty.
size_t PercentileBucket(const RunTimeHistogram& histogram, uint64_t percent);

/// What a backend server answered on a route.
struct RouteEvidence {
  uint64_t answers = 0;  ///< Including failures.
  uint64_t failures = 0;
  RunTimeHistogram run_times{};  ///< Successful runs of a server that is warm.
};

/// Sums of a daemon over the answers of its backend server since the order
/// began.
struct RolloutEvidence {
  MemberId reporter = 0;
  std::string service;
  std::string to_version;  ///< Of the order.
  std::string version;     ///< Of the backend server.
  std::map<std::string, RouteEvidence> routes;
};

/// Counts the answers of the backend server beside a daemon. Deterministic; not
/// thread safe.
class RolloutRecorder {
 public:
  /// Result of a run that the backend server received.
  enum class Outcome : uint8_t { kSuccess, kFailure, kBroken };

  /// Starts anew if the order, or the backend server's version, is another one.
  void Follow(const std::string& service, const std::string& to_version,
              const std::string& version);
  void Stop() { following_ = false; }
  bool Following() const { return following_; }
  /// `warm`: the server does not say that it runs slowly after its start.
  void OnRun(TimeMs now, const std::string& route, Outcome outcome,
             int64_t run_ms, bool warm);
  /// The sums, if `decider` has not got them and the interval has passed since
  /// the last.
  std::optional<RolloutEvidence> TakeDue(TimeMs now, int64_t interval_ms,
                                         MemberId decider);

 private:
  /// Most routes that are told apart; further ones are counted together.
  static constexpr size_t kMaxRoutes = 64;

  bool following_ = false;
  bool changed_ = false;
  MemberId sent_to_ = 0;
  TimeMs sent_at_{-1000000};
  TimeMs broken_at_{-1000000};
  RolloutEvidence sums_;
};

}  // namespace banyanloft
