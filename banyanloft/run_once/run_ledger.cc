#include "banyanloft/run_once/run_ledger.h"

#include <cassert>

namespace banyanloft {
namespace {

RunOutcome Refusal(ErrorKind kind) {
  RunOutcome outcome;
  outcome.error = kind;
  outcome.run_state = ErrorInfoOf(kind).run_state;
  return outcome;
}

}  // namespace

RunLedger::RunLedger(const RunLedgerSettings& settings, MemberId home,
                     std::string secret, uint64_t seed, TimeMs start)
    : settings_(settings),
      home_(home),
      secret_(std::move(secret)),
      next_nonce_(seed),
      start_(start) {}

std::string RunLedger::Issue(TimeMs now, const std::string& route) {
  RunKey key{home_, EpochOf(now), next_nonce_++, route};
  return FormatKey(key, secret_);
}

RunLedger::BeginResult RunLedger::Begin(TimeMs now, const RunKey& key,
                                        uint64_t waiter) {
  // A key of another process may have run there; this process cannot know.
  if (key.home != home_) return Refusal(ErrorKind::kHomeLost);
  if (key.epoch < OldestValidEpoch(now)) return Refusal(ErrorKind::kKeyExpired);
  if (key.epoch > EpochOf(now)) return Refusal(ErrorKind::kKeyInvalid);

  Epoch& epoch = epochs_[key.epoch];
  auto it = epoch.find(key.nonce);
  if (it != epoch.end()) {
    if (it->second.completed) return it->second.outcome;
    it->second.waiters.push_back(waiter);
    return Joined{};
  }

  // Without space to store its outcome the key must not run. The refusal is not
  // stored either, so it must not state that the key will never run.
  if (size_ >= settings_.max_keys) {
    return Refusal(ErrorKind::kOutcomesFull);
  }
  Entry& entry = epoch[key.nonce];
  entry.waiters.push_back(waiter);
  ++size_;
  return MustRun{};
}

std::vector<uint64_t> RunLedger::Complete(const RunKey& key,
                                          const RunOutcome& outcome) {
  auto epoch = epochs_.find(key.epoch);
  if (epoch == epochs_.end()) return {};
  auto it = epoch->second.find(key.nonce);
  if (it == epoch->second.end()) return {};
  assert(!it->second.completed);
  it->second.completed = true;
  it->second.outcome = RetainWithinLimits(outcome);
  return std::move(it->second.waiters);
}

/// Replaces an outcome whose body exceeds the limits by kAnswerForgotten.
RunOutcome RunLedger::RetainWithinLimits(RunOutcome outcome) {
  bool fits = outcome.body.size() <= settings_.max_answer_bytes &&
              answer_bytes_ + outcome.body.size() <= settings_.max_total_bytes;
  if (fits) {
    answer_bytes_ += outcome.body.size();
    return outcome;
  }
  return Refusal(ErrorKind::kAnswerForgotten);
}

void RunLedger::Tick(TimeMs now) {
  uint64_t oldest = OldestValidEpoch(now);
  for (auto epoch = epochs_.begin();
       epoch != epochs_.end() && epoch->first < oldest;) {
    // A running key is kept until it completes.
    for (auto it = epoch->second.begin(); it != epoch->second.end();) {
      if (!it->second.completed) {
        ++it;
        continue;
      }
      answer_bytes_ -= it->second.outcome.body.size();
      --size_;
      it = epoch->second.erase(it);
    }
    epoch = epoch->second.empty() ? epochs_.erase(epoch) : std::next(epoch);
  }
}

uint64_t RunLedger::EpochOf(TimeMs now) const {
  return static_cast<uint64_t>((now - start_) / settings_.epoch_ms);
}

uint64_t RunLedger::OldestValidEpoch(TimeMs now) const {
  uint64_t current = EpochOf(now);
  return current < settings_.retained_epochs
             ? 0
             : current - settings_.retained_epochs;
}

}  // namespace banyanloft
