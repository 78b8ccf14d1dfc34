#include "banyanloft/routing/retry_policy.h"

#include <algorithm>
#include <array>

namespace banyanloft {
namespace {

constexpr int64_t kRetryCost = 1000;

/// Errors that a later attempt, or one on another target, may not encounter.
bool IsTransient(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kOverloaded:
    case ErrorKind::kDraining:
    case ErrorKind::kTargetUnreachable:
    case ErrorKind::kTargetLost:
    case ErrorKind::kBackendUnavailable:
    case ErrorKind::kBackendBroken:
    case ErrorKind::kBackendShed:
    case ErrorKind::kQueueFull:
    case ErrorKind::kNoTarget:
      return true;
    default:
      return false;
  }
}

}  // namespace

const char* NameOf(RetryDecision decision) {
  constexpr std::array<const char*, 7> kNames = {
      "retry",     "not_safe", "final_kind", "too_many_attempts",
      "no_budget", "no_time",  "other_layer"};
  return kNames[static_cast<size_t>(decision)];
}

void RetryPolicy::OnFirstAttempt(const std::string& service) {
  int64_t& budget = BudgetOf(service);
  budget = std::min(budget + settings_.budget_permille,
                    settings_.budget_cap * kRetryCost);
}

RetryDecision RetryPolicy::Decide(TimeMs now, const std::string& service,
                                  const FailedAttempt& failed) {
  // A keyed call may only run at its home, and a refusal there is permanent.
  bool safe = failed.run_state == RunState::kNotRun || failed.idempotent;
  if (!safe || failed.keyed) return RetryDecision::kNotSafe;
  if (failed.retried_downstream) return RetryDecision::kRetriedDownstream;
  if (!IsTransient(failed.error)) return RetryDecision::kNotRetryable;
  if (failed.attempts >= settings_.max_attempts)
    return RetryDecision::kTooManyAttempts;
  if (now + settings_.backoff_base_ms >= failed.deadline)
    return RetryDecision::kNoTime;

  int64_t& budget = BudgetOf(service);
  if (budget < kRetryCost) return RetryDecision::kNoBudget;
  budget -= kRetryCost;
  return RetryDecision::kRetry;
}

int64_t RetryPolicy::BackoffMs(int attempt, Random* random) const {
  int doublings = std::clamp(attempt - 2, 0, 10);
  int64_t bound = std::min(settings_.backoff_base_ms << doublings,
                           settings_.backoff_cap_ms);
  return static_cast<int64_t>(random->Below(static_cast<uint64_t>(bound) + 1));
}

int64_t& RetryPolicy::BudgetOf(const std::string& service) {
  return budget_permille_.emplace(service, settings_.budget_start * kRetryCost)
      .first->second;
}

}  // namespace banyanloft
