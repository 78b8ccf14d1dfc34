#include "soak/request_history.h"

#include <utility>

namespace banyanloft::soak {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
/// A request that reached no backend server counts as lost if its connection
/// breaks later than this after it was sent, in ms. The bound is part of the
/// requirements.
constexpr int64_t kLossSlackMs = 200;
/// Number of lost or unanswered requests that the requirements tolerate. The
/// same number is applied to requests with too many attempts.
constexpr int kToleratedViolations = 3;
/// Attempts that every route in the configuration of the soak allows.
constexpr int kMaxAttempts = 2;

bool ReportsNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

class ViolationSet {
 public:
  void Add(const std::string& name, const std::string& example) {
    Violation& violation = violations_[name];
    violation.name = name;
    if (violation.count++ == 0) violation.example = example;
  }
  void Merge(const Violation& violation) {
    violations_[violation.name] = violation;
  }
  /// Removes a violation that occurred at most `kToleratedViolations` times.
  void DropIfTolerated(const std::string& name) {
    auto it = violations_.find(name);
    if (it != violations_.end() && it->second.count <= kToleratedViolations)
      violations_.erase(it);
  }
  std::vector<Violation> List() const {
    std::vector<Violation> out;
    for (const auto& [name, violation] : violations_) out.push_back(violation);
    return out;
  }

 private:
  std::map<std::string, Violation> violations_;
};

}  // namespace

void RequestHistory::OnSent(const std::string& id, SentRequest sent) {
  entries_[id].sent = std::move(sent);
}

void RequestHistory::OnArrival(const std::string& id, const Arrival& arrival) {
  auto it = entries_.find(id);
  if (it == entries_.end()) return AddViolation("unasked_request", id);
  Entry& entry = it->second;
  ++entry.runs;
  const SentRequest& sent = entry.sent;
  if (arrival.target != sent.target || arrival.body != sent.body)
    AddViolation("changed_request", id);
  if (arrival.service != sent.service) AddViolation("wrong_service", id);
  if (arrival.caller.empty()) AddViolation("no_caller", id);
  if (!arrival.has_deadline) AddViolation("no_deadline", id);
}

void RequestHistory::OnOutcome(const std::string& id,
                               const RequestOutcome& outcome) {
  Entry& entry = entries_.at(id);
  entry.outcome = outcome;
  served_ += outcome.status == kOk ? 1 : 0;
}

void RequestHistory::AddViolation(const std::string& invariant,
                                  const std::string& example) {
  Violation& violation = violations_[invariant];
  violation.name = invariant;
  if (violation.count++ == 0) violation.example = example;
}

int RequestHistory::ServedPermille(TimeMs from, TimeMs to) const {
  constexpr int kPermille = 1000;
  int sent = 0;
  int served = 0;
  for (const auto& [id, entry] : entries_) {
    if (entry.sent.sent_at < from || entry.sent.sent_at >= to ||
        entry.outcome.client_aborted)
      continue;
    ++sent;
    served += entry.outcome.status == kOk ? 1 : 0;
  }
  return sent == 0 ? -1 : served * kPermille / sent;
}

std::vector<Violation> RequestHistory::Check(bool planned_only) const {
  ViolationSet violations;
  for (const auto& [name, violation] : violations_) violations.Merge(violation);
  for (const auto& [id, entry] : entries_) {
    const SentRequest& sent = entry.sent;
    const RequestOutcome& outcome = entry.outcome;
    int64_t duration_ms = outcome.ended_at - sent.sent_at;
    if (!sent.idempotent && entry.runs > 1) violations.Add("ran_twice", id);
    if (!sent.idempotent && ReportsNotRun(outcome.status) && entry.runs > 0)
      violations.Add("refused_though_run", id);
    bool success = outcome.status >= 200 && outcome.status < 300;
    if (success && !(outcome.signed_by_backend && outcome.body_matches))
      violations.Add("foreign_or_partial_answer", id);
    if (sent.route_in_force && outcome.status == kNotFound)
      violations.Add("old_configuration", id);
    if (entry.runs > kMaxAttempts && planned_only)
      violations.Add("too_many_attempts", id);
    bool lost = outcome.connection_broken &&
                (entry.runs > 0 || duration_ms > kLossSlackMs);
    if (lost && planned_only) violations.Add("lost_in_planned_work", id);
    if (lost && outcome.daemon_stable) violations.Add("lost_in_touch", id);
    bool unanswered = outcome.status == 0 && !outcome.connection_broken &&
                      !outcome.client_aborted;
    if (unanswered && outcome.daemon_stable)
      violations.Add("unanswered_in_touch", id);
  }
  violations.DropIfTolerated("lost_in_touch");
  violations.DropIfTolerated("unanswered_in_touch");
  violations.DropIfTolerated("too_many_attempts");
  return violations.List();
}

}  // namespace banyanloft::soak
