#include "banyanloft/mesh/rollout_agent.h"

#include <algorithm>
#include <set>
#include <utility>

namespace banyanloft {
namespace {

/// Smaller changes of the share are not worth a message to every daemon.
constexpr int kMinShareChangePermille = 3;
constexpr int kMinShareChangeDivisor = 8;
/// Exceeds the numbers that the earlier deciding member may have reached since
/// this member last heard of it.
constexpr uint64_t kTakeoverStep = 20;
/// Time in which all daemons learn of another deciding member and report to it,
/// in ms.
constexpr int64_t kCollectMs = 1500;

bool IsReady(const MemberRecord& member) {
  return member.state == MemberState::kReady &&
         member.health != MemberHealth::kUnreachable;
}

}  // namespace

RolloutAgent::RolloutAgent(const RolloutSettings& settings, MemberId id,
                           uint64_t seed, TimeMs now,
                           const ConfigurationReader* reader)
    : settings_(settings), id_(id), store_(settings.store, seed, now, reader) {}

void RolloutAgent::OnRun(TimeMs now, const std::string& route,
                         RolloutRecorder::Outcome outcome, int64_t run_ms,
                         bool warm) {
  if (settings_.enabled) recorder_.OnRun(now, route, outcome, run_ms, warm);
}

void RolloutAgent::OnStates(TimeMs now, const std::vector<RolloutState>& states,
                            Actions* actions) {
  if (!settings_.enabled) return;
  table_.SetKnown();
  for (const RolloutState& state : states) Apply(now, state, "gossip", actions);
}

void RolloutAgent::OnEvidence(TimeMs now, const RolloutEvidence& evidence) {
  auto it = decided_.find(evidence.service);
  if (it == decided_.end()) {
    counters_.Add("rollout_evidence_ignored_total");
    return;
  }
  counters_.Add("rollout_evidence_received_total");
  it->second.controller.OnEvidence(now, evidence.reporter, evidence);
}

void RolloutAgent::OnSent(const PlatformCall& call, uint64_t id) {
  if (call.type == PlatformCall::Type::kWrite) {
    store_.OnWriteSent(id);
  } else {
    store_.OnReadSent(id);
  }
}

void RolloutAgent::OnStore(TimeMs now, const PlatformReply& reply,
                           Actions* actions) {
  std::vector<std::string> known;
  for (const auto& [service, entry] : table_.Entries()) {
    if (entry.state.phase != RolloutPhase::kRemoved) known.push_back(service);
  }
  if (reply.error)
    actions->push_back(
        LogRecord{LogLevel::kInfo,
                  "rollout_call_failed",
                  {{"error", std::string(NameOf(reply.error->kind))},
                   {"detail", reply.error->detail}}});
  std::vector<RolloutState> states = store_.OnReply(now, reply, known);
  if (store_.Loaded()) table_.SetKnown();
  for (const RolloutState& state : states) Apply(now, state, "store", actions);
}

/// Merges a state and tells peers and operators what has changed.
void RolloutAgent::Apply(TimeMs now, const RolloutState& update,
                         const char* source, Actions* actions) {
  RolloutTable::Change change = table_.Merge(now, update);
  if (change == RolloutTable::Change::kNone) return;
  actions->push_back(SpreadRollouts{{}});
  if (change == RolloutTable::Change::kShare) return;
  const RolloutTable::Entry& entry = *table_.Find(update.service);
  const RolloutState& state = entry.state;
  // Decisions on an earlier order do not count.
  bool other_order = change == RolloutTable::Change::kOrder;
  if (other_order) decided_.erase(update.service);
  counters_.Add("rollout_phases_total", NameOf(state.phase));
  actions->push_back(
      LogRecord{LogLevel::kInfo,
                other_order ? "rollout_ordered" : "rollout_phase",
                {{"service", state.service},
                 {"to_version", state.to_version},
                 {"from_version", state.from_version},
                 {"phase", NameOf(state.phase)},
                 {"source", source},
                 {"revision", std::to_string(state.revision)},
                 {"age_ms", std::to_string(now - entry.started)},
                 {"duration_ms", std::to_string(state.duration_ms)}}});
}

void RolloutAgent::Tick(TimeMs now, const Membership& membership, bool watching,
                        Actions* actions) {
  if (!settings_.enabled) return;
  TickOrders(now, membership, watching, actions);
  TickStore(now, watching, actions);
  FollowOwn(now, membership, actions);
}

/// Decides whether the backend server here may run requests, and reports on it.
void RolloutAgent::FollowOwn(TimeMs now, const Membership& membership,
                             Actions* actions) {
  const MemberRecord& self = membership.Self();
  const RolloutTable::Entry* entry = table_.Find(self.service);
  if (entry == nullptr) {
    refuses_own_ = false;
    return recorder_.Stop();
  }
  const RolloutState& state = entry->state;
  bool running = state.phase == RolloutPhase::kRunning;
  bool in_trial = false;
  if (running && self.version == state.to_version) {
    std::vector<MemberId> trial = RolloutTable::TrialServers(
        state, ServersOf(membership, state).new_ready);
    in_trial = std::find(trial.begin(), trial.end(), id_) != trial.end();
  }
  refuses_own_ = table_.Refuses(self.service, self.version, in_trial);
  if (!running) return recorder_.Stop();
  recorder_.Follow(self.service, state.to_version, self.version);
  bool is_new = self.version == state.to_version;
  if (state.decider == 0) return;
  std::optional<RolloutEvidence> evidence = recorder_.TakeDue(
      now, is_new ? settings_.new_report_ms : settings_.old_report_ms,
      state.decider);
  if (!evidence) return;
  evidence->reporter = id_;
  if (state.decider == id_) return OnEvidence(now, *evidence);
  counters_.Add("rollout_evidence_sent_total");
  actions->push_back(SendRolloutEvidence{state.decider, std::move(*evidence)});
}

RolloutAgent::Servers RolloutAgent::ServersOf(const Membership& membership,
                                              const RolloutState& state) {
  Servers servers;
  auto add = [&](const MemberRecord& member) {
    if (!IsReady(member) || member.service != state.service) return;
    servers.versions.push_back(member.version);
    if (member.version == state.to_version)
      servers.new_ready.push_back(member.id);
  };
  add(membership.Self());
  for (const auto& [id, member] : membership.Others()) add(member);
  return servers;
}

/// The watchers of all zones, in the order in which they decide.
std::vector<MemberId> RolloutAgent::Watchers(
    const Membership& membership) const {
  std::set<std::string> zones = {membership.Self().zone};
  for (const auto& [id, member] : membership.Others()) {
    bool lost = member.state == MemberState::kGone ||
                member.health == MemberHealth::kUnreachable;
    if (!lost) zones.insert(member.zone);
  }
  std::vector<MemberId> watchers;
  for (const std::string& zone : zones) {
    for (MemberId id :
         membership.FirstOfZone(zone, settings_.watchers_per_zone))
      watchers.push_back(id);
  }
  return watchers;
}

void RolloutAgent::TickOrders(TimeMs now, const Membership& membership,
                              bool watching, Actions* actions) {
  std::vector<std::string> services;
  for (const auto& [service, entry] : table_.Entries())
    services.push_back(service);
  for (const std::string& service : services) {
    RolloutTable::Entry* entry = table_.Find(service);
    const RolloutState& state = entry->state;
    bool in_progress = state.phase == RolloutPhase::kRunning ||
                       state.phase == RolloutPhase::kStopped;
    if (!in_progress || (state.decider != id_ && decided_.count(service) > 0)) {
      // The order has ended, or another member has taken over.
      decided_.erase(service);
    }
    if (!in_progress) continue;
    if (MayDecide(now, membership, watching, *entry))
      TakeOver(now, entry, actions);
    auto it = decided_.find(service);
    if (it == decided_.end() || now < it->second.next_decision) continue;
    it->second.next_decision = now + settings_.decide_ms;
    Decide(now, membership, entry, actions);
  }
}

bool RolloutAgent::MayDecide(TimeMs now, const Membership& membership,
                             bool watching,
                             const RolloutTable::Entry& entry) const {
  const RolloutState& state = entry.state;
  if (decided_.count(state.service) > 0 || !watching || !store_.InTouch(now))
    return false;
  // This member's own decisions, of which it no longer knows the evidence.
  if (state.decider == id_) return true;
  std::vector<MemberId> watchers = Watchers(membership);
  auto rank = std::find(watchers.begin(), watchers.end(), id_);
  if (rank == watchers.end()) return false;
  int64_t wait_ms = (rank - watchers.begin()) * settings_.takeover_step_ms;
  if (state.decider != 0) wait_ms += settings_.takeover_ms;
  return now - entry.heard_at >= wait_ms;
}

void RolloutAgent::TakeOver(TimeMs now, RolloutTable::Entry* entry,
                            Actions* actions) {
  RolloutState& state = entry->state;
  counters_.Add("rollout_takeovers_total");
  actions->push_back(
      LogRecord{LogLevel::kInfo,
                "rollout_decider",
                {{"service", state.service},
                 {"to_version", state.to_version},
                 {"before", MemberName(state.decider)},
                 {"share_permille", std::to_string(state.share_permille)},
                 {"silent_ms", std::to_string(now - entry->heard_at)}}});
  // By then the daemons have sent it what they counted.
  int64_t collect_ms = state.decider == 0 ? 0 : kCollectMs;
  state.sequence += kTakeoverStep;
  state.decider = id_;
  entry->heard_at = now;
  decided_.insert_or_assign(
      state.service,
      Decided{RolloutController(settings_.controller, state.to_version,
                                entry->started, state.duration_ms),
              now + settings_.decide_ms + collect_ms});
  actions->push_back(SpreadRollouts{{}});
}

void RolloutAgent::Decide(TimeMs now, const Membership& membership,
                          RolloutTable::Entry* entry, Actions* actions) {
  using Verdict = RolloutDecision::Verdict;
  RolloutState& state = entry->state;
  Decided& decided = decided_.at(state.service);
  Servers servers = ServersOf(membership, state);
  bool in_touch = store_.InTouch(now);
  if (state.from_version.empty())
    state.from_version =
        RolloutTable::MostFrequent(servers.versions, state.to_version);
  // Another member takes over if this one does not reach the store.
  if (in_touch && now - entry->heard_at >= settings_.heartbeat_ms) {
    ++state.sequence;
    entry->heard_at = now;
    // Gossip would bring it to them only with the next updates or probes.
    actions->push_back(SpreadRollouts{Watchers(membership)});
  }
  if (state.phase == RolloutPhase::kStopped) return;
  size_t old_ready = static_cast<size_t>(std::count(
      servers.versions.begin(), servers.versions.end(), state.from_version));
  RolloutDecision decision = decided.controller.Decide(
      now, old_ready, servers.new_ready.size(), state.share_permille);
  bool changed = false;
  if (decision.verdict == Verdict::kRollBack) {
    decided.succeeds = false;
    state.phase = RolloutPhase::kStopped;
    state.share_permille = 0;
    state.trial_servers = 0;
    changed = true;
    counters_.Add("rollout_phases_total", NameOf(state.phase));
  } else if (decision.verdict == Verdict::kSucceed) {
    changed = !decided.succeeds;
    decided.succeeds = true;
  } else {
    if (SetShare(decision, in_touch, &state, actions))
      actions->push_back(SpreadRollouts{{}});
    return;
  }
  if (!changed) return;
  ++state.sequence;
  actions->push_back(LogRecord{
      decided.succeeds ? LogLevel::kInfo : LogLevel::kWarning,
      "rollout_decided",
      {{"service", state.service},
       {"to_version", state.to_version},
       {"verdict", decided.succeeds ? "succeed" : "roll_back"},
       {"evidence", decision.reason},
       {"old_answers", std::to_string(decided.controller.OldAnswers())},
       {"new_answers", std::to_string(decided.controller.NewAnswers())},
       {"bad_answers", std::to_string(decided.controller.BadAnswers())},
       {"age_ms", std::to_string(now - entry->started)}}});
  actions->push_back(SpreadRollouts{{}});
}

/// Changes the share to the decided one if that differs enough. A member that
/// the store is cut off from does not raise it.
bool RolloutAgent::SetShare(const RolloutDecision& decision, bool may_raise,
                            RolloutState* state, Actions* actions) {
  int before = state->share_permille;
  int share = decision.share_permille;
  if (!may_raise) share = std::min(share, before);
  int least =
      std::max(kMinShareChangePermille, before / kMinShareChangeDivisor);
  bool servers_changed = share > 0 && before > 0 &&
                         (state->trial_servers == 0 ||
                          state->trial_servers > 2 * decision.trial_servers ||
                          decision.trial_servers > state->trial_servers);
  bool changed = std::abs(share - before) >= least ||
                 (share == 0) != (before == 0) || servers_changed;
  if (!changed) return false;
  state->share_permille = share;
  state->trial_servers = share > 0 ? decision.trial_servers : 0;
  ++state->sequence;
  counters_.Add("rollout_share_changes_total");
  actions->push_back(
      LogRecord{LogLevel::kInfo,
                "rollout_share",
                {{"service", state->service},
                 {"to_version", state->to_version},
                 {"share_permille", std::to_string(share)},
                 {"before", std::to_string(before)},
                 {"trial_servers", std::to_string(state->trial_servers)},
                 {"evidence", decision.reason}}});
  return true;
}

/// The statuses that this member wants the store to hold.
std::vector<RolloutStatus> RolloutAgent::Wanted() const {
  std::vector<RolloutStatus> wanted;
  for (const auto& [service, entry] : table_.Entries()) {
    const RolloutState& state = entry.state;
    RolloutStatus status{service, state.to_version, state.phase,
                         state.generation, state.revision};
    auto it = decided_.find(service);
    if (it != decided_.end()) {
      if (it->second.succeeds) status.phase = RolloutPhase::kSucceeded;
      if (state.phase == RolloutPhase::kStopped)
        status.phase = RolloutPhase::kRolledBack;
      wanted.push_back(std::move(status));
    } else if (IsFinal(state.phase)) {
      // The store may have come back from a copy that is older than the end.
      wanted.push_back(std::move(status));
    }
  }
  return wanted;
}

void RolloutAgent::TickStore(TimeMs now, bool watching, Actions* actions) {
  bool in_progress = std::any_of(table_.Entries().begin(),
                                 table_.Entries().end(), [](const auto& item) {
                                   RolloutPhase phase = item.second.state.phase;
                                   return phase == RolloutPhase::kRunning ||
                                          phase == RolloutPhase::kStopped;
                                 });
  if (auto write = store_.TickWrite(now, Wanted()))
    actions->push_back(RolloutStoreCall{std::move(*write)});
  if (auto read = store_.TickRead(now, watching, in_progress))
    actions->push_back(RolloutStoreCall{std::move(*read)});
}

}  // namespace banyanloft
