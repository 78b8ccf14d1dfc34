#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "banyanloft/core/error.h"
#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of retries.
struct RetrySettings {
  int max_attempts = 3;  ///< Attempts of one call, the first included.
  int64_t budget_permille =
      80;  ///< Retries earned by each first attempt, in 1/1000.
  int64_t budget_cap = 20;   ///< Most retries saved up per service.
  int64_t budget_start = 5;  ///< Retries that a service starts with.
  int64_t backoff_base_ms =
      4;  ///< Bound of the first pause, in ms; doubles per attempt.
  int64_t backoff_cap_ms = 100;  ///< Highest bound of a pause, in ms.
};

/// Why a failed attempt is or is not tried again; each has a counter.
enum class RetryDecision : uint8_t {
  kRetry,              ///< Try again after the pause.
  kNotSafe,            ///< It may have run, and the route is not idempotent.
  kNotRetryable,       ///< Trying again would give the same answer.
  kTooManyAttempts,    ///< All attempts are used.
  kNoBudget,           ///< The service's retry budget is spent.
  kNoTime,             ///< The deadline leaves no room.
  kRetriedDownstream,  ///< A layer further down has already retried.
};

/// Name of a decision as it stands in metrics.
const char* NameOf(RetryDecision decision);

/// What is known of a failed attempt.
struct FailedAttempt {
  ErrorKind error = ErrorKind::kOverloaded;
  RunState run_state = RunState::kUnknown;
  bool idempotent = false;          ///< The route may be run again.
  bool keyed = false;               ///< The call runs under a key.
  bool retried_downstream = false;  ///< A layer further down has retried.
  int attempts = 1;                 ///< Attempts made so far.
  TimeMs deadline;                  ///< Deadline of the call.
};

/// Decides about retries: only what is safe, within a budget that is a share
/// of first attempts, with jittered pauses, inside the call's one deadline and
/// in one layer of a chain of calls. Deterministic; not thread safe.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RetrySettings& settings) : settings_(settings) {}

  /// Counts a first attempt of a service, which earns budget.
  void OnFirstAttempt(const std::string& service);
  /// Judges a failed attempt; kRetry takes from the budget.
  RetryDecision Decide(TimeMs now, const std::string& service,
                       const FailedAttempt& failed);
  /// Pause before attempt number `attempt` (2 is the first retry), in ms.
  int64_t BackoffMs(int attempt, Random* random) const;

 private:
  int64_t& BudgetOf(const std::string& service);

  RetrySettings settings_;
  std::unordered_map<std::string, int64_t> budget_permille_;
};

}  // namespace banyanloft
