#include "soak/request_book.h"

#include <utility>

namespace banyanloft::soak {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
/// A connection that ends without an answer this long after the request was
/// sent has lost it, in ms: the slack of the users' pages.
constexpr int64_t kLossSlackMs = 200;
/// Requests that may be lost or unanswered before it counts: the rules of the
/// users' pages allow three.
constexpr int kFew = 3;
constexpr int kMaxAttempts = 2;  ///< Of every route.

bool SaysNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

class Findings {
 public:
  void Add(const std::string& name, const std::string& example) {
    Promise& promise = promises_[name];
    promise.name = name;
    if (promise.broken++ == 0) promise.example = example;
  }
  void Merge(const Promise& promise) { promises_[promise.name] = promise; }
  /// Forgets a finding that is allowed a few times.
  void AllowFew(const std::string& name) {
    auto it = promises_.find(name);
    if (it != promises_.end() && it->second.broken <= kFew) promises_.erase(it);
  }
  std::vector<Promise> List() const {
    std::vector<Promise> out;
    for (const auto& [name, promise] : promises_) out.push_back(promise);
    return out;
  }

 private:
  std::map<std::string, Promise> promises_;
};

}  // namespace

void RequestBook::OnAsked(const std::string& id, Asked asked) {
  entries_[id].asked = std::move(asked);
}

void RequestBook::OnArrival(const std::string& id, const Arrival& arrival) {
  auto it = entries_.find(id);
  if (it == entries_.end()) return Note("unasked_request", id);
  Entry& entry = it->second;
  ++entry.runs;
  const Asked& asked = entry.asked;
  if (arrival.target != asked.target || arrival.body != asked.body)
    Note("changed_request", id);
  if (arrival.service != asked.service) Note("wrong_service", id);
  if (arrival.caller.empty()) Note("no_caller", id);
  if (!arrival.has_deadline) Note("no_deadline", id);
}

void RequestBook::OnEnded(const std::string& id, const Ended& ended) {
  Entry& entry = entries_.at(id);
  entry.ended = ended;
  served_ += ended.status == kOk ? 1 : 0;
}

void RequestBook::Note(const std::string& promise, const std::string& example) {
  Promise& noted = noted_[promise];
  noted.name = promise;
  if (noted.broken++ == 0) noted.example = example;
}

int RequestBook::ServedPermille(TimeMs from, TimeMs to) const {
  constexpr int kPermille = 1000;
  int asked = 0;
  int served = 0;
  for (const auto& [id, entry] : entries_) {
    if (entry.asked.at < from || entry.asked.at >= to || entry.ended.gave_up)
      continue;
    ++asked;
    served += entry.ended.status == kOk ? 1 : 0;
  }
  return asked == 0 ? -1 : served * kPermille / asked;
}

std::vector<Promise> RequestBook::Judge(bool planned_only) const {
  Findings found;
  for (const auto& [name, promise] : noted_) found.Merge(promise);
  for (const auto& [id, entry] : entries_) {
    const Asked& asked = entry.asked;
    const Ended& ended = entry.ended;
    int64_t took_ms = ended.at - asked.at;
    if (!asked.idempotent && entry.runs > 1) found.Add("ran_twice", id);
    if (!asked.idempotent && SaysNotRun(ended.status) && entry.runs > 0)
      found.Add("refused_though_run", id);
    bool success = ended.status >= 200 && ended.status < 300;
    if (success && !(ended.signed_by_backend && ended.whole))
      found.Add("foreign_or_partial_answer", id);
    if (asked.must_exist && ended.status == kNotFound)
      found.Add("old_configuration", id);
    if (entry.runs > kMaxAttempts && planned_only)
      found.Add("too_many_attempts", id);
    bool lost = ended.broken && (entry.runs > 0 || took_ms > kLossSlackMs);
    if (lost && planned_only) found.Add("lost_in_planned_work", id);
    if (lost && ended.in_touch) found.Add("lost_in_touch", id);
    bool silent = ended.status == 0 && !ended.broken && !ended.gave_up;
    if (silent && ended.in_touch) found.Add("unanswered_in_touch", id);
  }
  found.AllowFew("lost_in_touch");
  found.AllowFew("unanswered_in_touch");
  found.AllowFew("too_many_attempts");
  return found.List();
}

}  // namespace banyanloft::soak
