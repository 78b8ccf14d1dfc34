#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "banyanloft/core/error.h"
#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of the RetryPolicy.
struct RetrySettings {
  int max_attempts = 3;  ///< Attempts per call, including the first.
  int64_t budget_permille =
      80;  ///< Retry budget added per first attempt, in 1/1000 retries.
  int64_t budget_cap = 20;   ///< Limit of the budget per service, in retries.
  int64_t budget_start = 5;  ///< Initial budget of a service, in retries.
  int64_t backoff_base_ms =
      4;  ///< Upper bound of the first backoff, in ms; doubles per attempt.
  int64_t backoff_cap_ms = 100;  ///< Limit of that bound, in ms.
};

/// Whether a failed attempt is retried, and if not, why. Each value is counted
/// in metrics.
enum class RetryDecision : uint8_t {
  kRetry,              ///< Retry after the backoff.
  kNotSafe,            ///< It may have run, and the route is not idempotent.
  kNotRetryable,       ///< A retry would give the same answer.
  kTooManyAttempts,    ///< The limit on attempts is reached.
  kNoBudget,           ///< The service's retry budget is spent.
  kNoTime,             ///< The deadline is too close.
  kRetriedDownstream,  ///< A downstream layer has already retried.
};

/// Name of a decision in metrics.
const char* NameOf(RetryDecision decision);

/// Description of a failed attempt.
struct FailedAttempt {
  ErrorKind error = ErrorKind::kOverloaded;
  RunState run_state = RunState::kUnknown;
  bool idempotent = false;          ///< The route may be run again.
  bool keyed = false;               ///< The call has a key.
  bool retried_downstream = false;  ///< A downstream layer has retried.
  int attempts = 1;                 ///< Attempts made so far.
  TimeMs deadline;                  ///< Deadline of the call.
};

/// Decides whether to retry: only if that is safe, within a budget proportional
/// to the first attempts, with jittered backoff, within the deadline of the
/// call and in only one layer of a chain of nested calls. Deterministic; not
/// thread safe.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetrySettings& settings) : settings_(settings) {}

  /// Counts a first attempt to a service, which adds to its budget.
  void OnFirstAttempt(const std::string& service);
  /// Decides on a failed attempt; kRetry consumes budget.
  RetryDecision Decide(TimeMs now, const std::string& service,
                       const FailedAttempt& failed);
  /// Backoff before attempt number `attempt` (2 is the first retry), in ms.
  int64_t BackoffMs(int attempt, Random* random) const;

 private:
  int64_t& BudgetOf(const std::string& service);

  RetrySettings settings_;
  std::unordered_map<std::string, int64_t> budget_permille_;
};

}  // namespace banyanloft
