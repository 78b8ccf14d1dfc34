#include "banyanloft/mesh/rollout_table.h"

#include <algorithm>
#include <array>
#include <tuple>

#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

constexpr uint64_t kPermille = 1000;
/// Progress of an order: running, stopped, ended.
int RankOf(RolloutPhase phase) {
  if (phase == RolloutPhase::kRunning) return 0;
  return phase == RolloutPhase::kStopped ? 1 : 2;
}

bool IsNewer(const RolloutState& a, const RolloutState& b) {
  return std::tie(a.generation, a.revision) >
         std::tie(b.generation, b.revision);
}

void KeepVersion(const std::string& version,
                 const RolloutTable::VersionOf& version_of,
                 std::vector<TargetCandidate>* candidates) {
  auto other = [&](const TargetCandidate& candidate) {
    return version_of(candidate.id) != version;
  };
  candidates->erase(
      std::remove_if(candidates->begin(), candidates->end(), other),
      candidates->end());
}

}  // namespace

const char* NameOf(RolloutPhase phase) {
  constexpr std::array<const char*, 5> kNames = {
      "running", "stopped", "succeeded", "rolled_back", "removed"};
  return kNames[static_cast<size_t>(phase)];
}

bool IsFinal(RolloutPhase phase) {
  return phase == RolloutPhase::kSucceeded ||
         phase == RolloutPhase::kRolledBack;
}

RolloutTable::Entry* RolloutTable::Find(const std::string& service) {
  auto it = entries_.find(service);
  return it == entries_.end() ? nullptr : &it->second;
}

const RolloutTable::Entry* RolloutTable::Find(
    const std::string& service) const {
  auto it = entries_.find(service);
  return it == entries_.end() ? nullptr : &it->second;
}

RolloutTable::Change RolloutTable::Merge(TimeMs now,
                                         const RolloutState& update) {
  auto [it, added] = entries_.try_emplace(update.service);
  if (added) return Replace(now, update, &it->second);
  return MergeOrder(now, update, &it->second);
}

RolloutTable::Change RolloutTable::Replace(TimeMs now,
                                           const RolloutState& update,
                                           Entry* entry) {
  RolloutState before = std::move(entry->state);
  entry->state = update;
  entry->started = now - update.age_ms;
  entry->heard_at = now;
  if (!update.from_version.empty()) return Change::kOrder;
  if (before.phase == RolloutPhase::kRemoved) return Change::kOrder;
  bool succeeded = before.phase == RolloutPhase::kSucceeded;
  std::string from = succeeded ? before.to_version : before.from_version;
  if (from != update.to_version) entry->state.from_version = std::move(from);
  return Change::kOrder;
}

RolloutTable::Change RolloutTable::MergeOrder(TimeMs now,
                                              const RolloutState& update,
                                              Entry* entry) {
  RolloutState& known = entry->state;
  bool newer = IsNewer(update, known);
  bool restored = update.generation != known.generation;
  bool removal = update.phase == RolloutPhase::kRemoved ||
                 known.phase == RolloutPhase::kRemoved;
  bool other_order = update.to_version != known.to_version || removal;
  // In one generation of the store, a status that goes back belongs to a new
  // order of the same version.
  bool ordered_again =
      newer && !restored && RankOf(update.phase) < 2 && IsFinal(known.phase);
  if (other_order || ordered_again) {
    if (!newer) return Change::kNone;
    // The old servers have stopped: a store that comes back from an older copy
    // cannot undo that.
    bool undoes = restored && known.phase == RolloutPhase::kSucceeded &&
                  IsFinal(update.phase);
    return undoes ? Change::kNone : Replace(now, update, entry);
  }
  Change change = Change::kNone;
  bool further = RankOf(update.phase) > RankOf(known.phase);
  // A final state of an earlier order of the same version is older.
  bool outdated = IsFinal(update.phase) && !restored && IsNewer(known, update);
  if (further && !outdated) {
    known.phase = update.phase;
    change = Change::kPhase;
  }
  if (newer) {
    known.generation = update.generation;
    known.revision = update.revision;
    known.duration_ms = update.duration_ms;
  }
  bool later = std::tie(update.sequence, update.decider) >
               std::tie(known.sequence, known.decider);
  if (later) {
    if (update.sequence > known.sequence) entry->heard_at = now;
    bool other_share = known.share_permille != update.share_permille ||
                       known.trial_servers != update.trial_servers;
    if (other_share && change == Change::kNone) change = Change::kShare;
    known.sequence = update.sequence;
    known.decider = update.decider;
    known.share_permille = update.share_permille;
    known.trial_servers = update.trial_servers;
    if (!update.from_version.empty()) known.from_version = update.from_version;
  }
  if (known.from_version.empty()) known.from_version = update.from_version;
  entry->started = std::min(entry->started, now - update.age_ms);
  return change;
}

std::vector<RolloutState> RolloutTable::States(TimeMs now) const {
  std::vector<RolloutState> states;
  for (const auto& [service, entry] : entries_) {
    states.push_back(entry.state);
    states.back().age_ms = now - entry.started;
  }
  return states;
}

std::string RolloutTable::MostFrequent(const std::vector<std::string>& versions,
                                       const std::string& excluded) {
  std::map<std::string, size_t> counts;
  for (const std::string& version : versions) {
    if (version != excluded) ++counts[version];
  }
  std::string best;
  size_t most = 0;
  for (const auto& [version, count] : counts) {
    if (count > most) best = version;
    most = std::max(most, count);
  }
  return best;
}

std::vector<MemberId> RolloutTable::TrialServers(const RolloutState& state,
                                                 std::vector<MemberId> ready) {
  // Also servers that became ready after the decision.
  if (state.share_permille >= static_cast<int>(kPermille)) return ready;
  size_t count = static_cast<size_t>(std::max(0, state.trial_servers));
  if (state.share_permille == 0) count = 0;
  if (count >= ready.size()) return ready;
  auto rank = [&](MemberId id) { return FastHash(state.service, id); };
  std::sort(ready.begin(), ready.end(), [&](MemberId a, MemberId b) {
    return std::make_pair(rank(a), a) < std::make_pair(rank(b), b);
  });
  ready.resize(count);
  return ready;
}

void RolloutTable::Restrict(const std::string& service,
                            std::optional<uint64_t> draw,
                            const VersionOf& version_of,
                            std::vector<TargetCandidate>* candidates) const {
  const Entry* entry = Find(service);
  bool removed = entry && entry->state.phase == RolloutPhase::kRemoved;
  bool unrestricted = known_ && (entry == nullptr || removed);
  if (unrestricted || candidates->empty()) return;
  std::vector<std::string> versions;
  auto most_frequent = [&](const std::string& excluded) {
    versions.clear();
    for (const TargetCandidate& candidate : *candidates)
      versions.push_back(version_of(candidate.id));
    return MostFrequent(versions, excluded);
  };
  if (entry == nullptr || removed) {
    // Servers whose version is not reported yet are kept: at the start of a
    // fleet they are most of them.
    std::string frequent = most_frequent("");
    auto other = [&](const TargetCandidate& candidate) {
      const std::string& version = version_of(candidate.id);
      return !version.empty() && version != frequent;
    };
    candidates->erase(
        std::remove_if(candidates->begin(), candidates->end(), other),
        candidates->end());
    return;
  }
  const RolloutState& state = entry->state;
  if (state.phase == RolloutPhase::kSucceeded)
    return KeepVersion(state.to_version, version_of, candidates);
  uint64_t share = static_cast<uint64_t>(std::max(0, state.share_permille));
  // Before a success all attempts go to the new version.
  bool tries_new = state.phase == RolloutPhase::kRunning &&
                   (share >= kPermille || (draw && *draw % kPermille < share));
  if (tries_new) {
    std::vector<MemberId> ready;
    for (const TargetCandidate& candidate : *candidates) {
      if (version_of(candidate.id) == state.to_version)
        ready.push_back(candidate.id);
    }
    std::vector<MemberId> trial = TrialServers(state, std::move(ready));
    std::vector<TargetCandidate> kept;
    for (const TargetCandidate& candidate : *candidates) {
      bool in_trial =
          std::find(trial.begin(), trial.end(), candidate.id) != trial.end();
      if (in_trial) kept.push_back(candidate);
    }
    if (!kept.empty()) {
      *candidates = std::move(kept);
      return;
    }
  }
  // MostFrequent excludes the new version; if there is no other, none is left.
  std::string from = state.from_version.empty()
                         ? most_frequent(state.to_version)
                         : state.from_version;
  KeepVersion(from, version_of, candidates);
}

bool RolloutTable::Refuses(const std::string& service,
                           const std::string& version, bool in_trial) const {
  const Entry* entry = Find(service);
  if (entry == nullptr) return false;
  const RolloutState& state = entry->state;
  bool is_new = version == state.to_version;
  bool is_other =
      !is_new && !state.from_version.empty() && version != state.from_version;
  switch (state.phase) {
    case RolloutPhase::kRunning:
      // A sender that does not know the order, or an older decision.
      return is_other || (is_new && !in_trial);
    case RolloutPhase::kStopped:
    case RolloutPhase::kRolledBack:
      return is_new || is_other;
    case RolloutPhase::kSucceeded:
      return !is_new;
    case RolloutPhase::kRemoved:
      break;
  }
  return false;
}

}  // namespace banyanloft
