#include "banyanloft/mesh/mesh_node.h"

#include <algorithm>
#include <cassert>
#include <set>

#include "banyanloft/core/digest.h"
#include "banyanloft/links/frame.h"
#include "banyanloft/membership/peer_selection.h"

namespace banyanloft {
namespace {

constexpr int64_t kMembershipTickMs = 50;
constexpr int64_t kQuotaHomeTickMs = 100;
/// Rounds of asks in one step: to this daemon as the home, which answers at
/// once, and to the one that it names.
constexpr int kQuotaAskRounds = 3;
/// Numbers of members that a new version is announced to: enough in the same
/// zone to spread it there, and some in any zone.
constexpr size_t kAnnounceSameZone = 3;
constexpr size_t kAnnounceAnyZone = 3;
/// Retry-after for clients that a planned stop refuses, in ms: they retry on a
/// new connection, at another daemon.
constexpr int64_t kMinRetryAfterMs = 50;
/// Most urgent send rank on a link, used for all messages except requests and
/// large ones. They overtake less urgent requests and hold up nothing of their
/// own rank, whose messages are sent in turns, frame by frame.
constexpr int kHighestRank = 0;

/// Rank of a message on a link: large ones follow all others.
int RankOf(int urgency, size_t bytes) {
  bool large = bytes > static_cast<size_t>(kLargeMessageBytes);
  return large ? kFirstPacedRank + urgency : urgency;
}

enum class SeedStream : uint64_t {
  kMembership = 1,
  kRendezvous,
  kConfig,
  kForwarder,
  kRunner,
  kWatchDelay,
  kSuspicionStore,
  kQuota,
  kRollouts
};

uint64_t SeedOf(uint64_t seed, SeedStream stream) {
  return FastHash("mesh", seed * 16 + static_cast<uint64_t>(stream));
}

/// Latest time of each step as a share of drain_max_ms, in 1/1000.
constexpr int64_t kDrainServePermille = 350;
constexpr int64_t kDrainMinPermille = 480;
constexpr int64_t kDrainRefuseNewPermille = 520;
constexpr int64_t kDrainRefuseQueuedPermille = 820;
constexpr int64_t kDrainWriteMaxPermille = 1060;

}  // namespace

void MeshNodeSettings::SetDrainLimit(int64_t max_ms) {
  constexpr int64_t kPermille = 1000;
  drain_max_ms = max_ms;
  drain_write_max_ms = max_ms * kDrainWriteMaxPermille / kPermille;
  drain_serve_ms =
      std::min(drain_serve_ms, max_ms * kDrainServePermille / kPermille);
  drain_min_ms = std::min(drain_min_ms, max_ms * kDrainMinPermille / kPermille);
  drain_refuse_new_ms = std::min(drain_refuse_new_ms,
                                 max_ms * kDrainRefuseNewPermille / kPermille);
  drain_refuse_queued_ms = std::min(
      drain_refuse_queued_ms, max_ms * kDrainRefuseQueuedPermille / kPermille);
}

void MeshNodeSettings::CopyReloadable(const MeshNodeSettings& next) {
  forwarder.budget = next.forwarder.budget;
  quota = next.quota;
  runner.heartbeat_ms = next.runner.heartbeat_ms;
  drain_serve_ms = next.drain_serve_ms;
  drain_min_ms = next.drain_min_ms;
  drain_refuse_new_ms = next.drain_refuse_new_ms;
  drain_refuse_queued_ms = next.drain_refuse_queued_ms;
  drain_max_ms = next.drain_max_ms;
  drain_write_max_ms = next.drain_write_max_ms;
}

MeshNode::MeshNode(const MeshNodeSettings& settings, MemberId id, TimeMs now,
                   const ConfigurationReader* reader)
    : settings_(settings),
      id_(id),
      start_(now),
      watch_from_(now +
                  WatchDelayMs(settings.start_window_ms,
                               SeedOf(settings.seed, SeedStream::kWatchDelay))),
      startup_buffer_(settings.startup_buffer, now),
      membership_(settings.membership,
                  NewMember(id, settings.zone, settings.link_address,
                            settings.gossip_address),
                  SeedOf(settings.seed, SeedStream::kMembership), now, nullptr),
      rendezvous_client_(settings.rendezvous, settings.zone,
                         settings.gossip_address,
                         SeedOf(settings.seed, SeedStream::kRendezvous), now),
      config_(settings.config, SeedOf(settings.seed, SeedStream::kConfig), now,
              reader),
      forwarder_(settings.forwarder,
                 SeedOf(settings.seed, SeedStream::kForwarder), this),
      runner_(settings.runner, SeedOf(settings.seed, SeedStream::kRunner), now),
      suspicion_store_(settings.suspicion_store,
                       SeedOf(settings.seed, SeedStream::kSuspicionStore), now),
      quota_view_(settings.quota_view, id, now),
      quota_home_(&quota_view_),
      quota_gate_(&quota_view_, SeedOf(settings.seed, SeedStream::kQuota), now),
      link_(settings.config.link_bytes_per_ms),
      rollouts_(settings.rollouts, id,
                SeedOf(settings.seed, SeedStream::kRollouts), now, reader),
      last_datagram_at_(now) {
  membership_.ReplicateSuspicions(&runner_.Suspects());
  forwarder_.SetQuotaGate(&quota_gate_);
  if (rollouts_.Enabled()) runner_.ObserveRuns();
}

void MeshNode::ApplySettings(TimeMs now, const MeshNodeSettings& next) {
  assert(!draining_);
  settings_.CopyReloadable(next);
  forwarder_.ApplyBudget(settings_.forwarder.budget);
  runner_.SetHeartbeat(settings_.runner.heartbeat_ms);
  if (config_.Table()) ApplyQuotaLimits(now);
}

void MeshNode::OnRequest(TimeMs now, uint64_t request, MeshRequest message,
                         Actions* actions) {
  Forwarder::Actions list;
  if (RefusesNew(now)) {
    forwarder_.Refuse(request, ErrorKind::kDraining, kMinRetryAfterMs,
                      message.request_id, &list);
  } else if (config_.Table() ||
             !BufferRequest(now, request, &message, actions)) {
    forwarder_.OnRequest(now, request, std::move(message), &list);
  }
  DispatchForwarder(now, std::move(list), actions);
  SendQuotaAsks(now, actions);
}

bool MeshNode::RefusesNew(TimeMs now) const {
  return exit_sent_ ||
         (draining_ && now - drain_began_ >= settings_.drain_refuse_new_ms);
}

bool MeshNode::BufferRequest(TimeMs now, uint64_t request, MeshRequest* message,
                             Actions* actions) {
  std::string id = message->request_id;
  if (!startup_buffer_.Add(now, request, message)) return false;
  actions->push_back(
      LogRecord{LogLevel::kInfo,
                "request_held",
                {{"request", std::move(id)},
                 {"version", "none"},
                 {"since_start_ms", std::to_string(now - start_)}}});
  return true;
}

/// The first version arrived: processes the requests buffered until then.
void MeshNode::ReleaseBuffered(TimeMs now, Actions* actions) {
  for (StartupBuffer::BufferedRequest& buffered :
       startup_buffer_.TakeAll(now)) {
    counters_.Add("held_requests_total", "released");
    OnRequest(now, buffered.id, std::move(buffered.request), actions);
  }
}

void MeshNode::RefuseExpired(TimeMs now, Actions* actions) {
  Forwarder::Actions list;
  for (const StartupBuffer::BufferedRequest& buffered :
       startup_buffer_.TakeExpired(now)) {
    counters_.Add("held_requests_total", "refused");
    forwarder_.RefuseNotReady(buffered.id, buffered.request.request_id, &list);
  }
  DispatchForwarder(now, std::move(list), actions);
}

void MeshNode::OnAbandoned(TimeMs now, uint64_t request, Actions* actions) {
  if (std::optional<MeshRequest> buffered = startup_buffer_.Remove(request)) {
    counters_.Add("held_requests_total", "abandoned");
    actions->push_back(LogRecord{LogLevel::kInfo,
                                 "request_abandoned",
                                 {{"request", buffered->request_id},
                                  {"route", "none"},
                                  {"version", "none"}}});
    return;
  }
  Forwarder::Actions list;
  forwarder_.OnAbandoned(now, request, &list);
  DispatchForwarder(now, std::move(list), actions);
}

void MeshNode::OnPeerMessage(TimeMs now, const std::string& link,
                             PeerMessage message, Actions* actions) {
  Forwarder::Actions requests;
  BackendRunner::Actions runs;
  ConfigFollower::Actions changes;
  if (auto* forward = std::get_if<ForwardRequest>(&message)) {
    // The response waits for the link as well.
    if (forward->max_wait_ms >= 0 &&
        forward->response_bytes > kLargeMessageBytes)
      forward->max_wait_ms =
          std::max<int64_t>(0, forward->max_wait_ms - link_.DelayMs(now));
    if (RefusesNew(now)) ++late_peer_requests_;
    runner_.OnForward(now, link, std::move(*forward), &runs);
  } else if (auto* answer = std::get_if<ForwardAnswer>(&message)) {
    forwarder_.OnAnswer(now, std::move(*answer), &requests);
  } else if (auto* cancel = std::get_if<CancelForward>(&message)) {
    runner_.OnCancel(now, link, *cancel, &runs);
  } else if (auto* ask = std::get_if<DocumentRequest>(&message)) {
    actions->push_back(
        SendPeer{link, kHighestRank, config_.OnDocumentRequest(*ask)});
  } else if (auto* document = std::get_if<DocumentReply>(&message)) {
    config_.OnDocument(*document, &changes);
  } else if (auto* evidence = std::get_if<RolloutEvidence>(&message)) {
    rollouts_.OnEvidence(now, *evidence);
  } else if (!OnQuotaMessage(now, link, message, actions)) {
    counters_.Add("peer_messages_unexpected_total");
  }
  DispatchForwarder(now, std::move(requests), actions);
  DispatchRunner(now, std::move(runs), actions);
  DispatchConfig(now, std::move(changes), actions);
}

bool MeshNode::OnPeerRequestBegins(TimeMs now, const std::string& link,
                                   BegunRequest begun, Actions* actions) {
  BackendRunner::Actions runs;
  bool accepted = runner_.OnForwardBegins(now, link, std::move(begun.request),
                                          begun.body_bytes, &runs);
  DispatchRunner(now, std::move(runs), actions);
  return accepted;
}

void MeshNode::OnPeerNotSent(TimeMs now, const PeerMessage& message,
                             Actions* actions) {
  const auto* forward = std::get_if<ForwardRequest>(&message);
  if (forward == nullptr) {
    counters_.Add("peer_messages_dropped_total");
    return;
  }
  Forwarder::Actions list;
  forwarder_.OnNotSent(now, forward->attempt, &list);
  DispatchForwarder(now, std::move(list), actions);
}

void MeshNode::OnPeerLost(TimeMs now, const std::string& link,
                          Actions* actions) {
  actions->push_back(LogRecord{LogLevel::kInfo, "link_lost", {{"link", link}}});
  membership_.OnLinkLost(now, link);
  BackendRunner::Actions runs;
  runner_.OnPeerLost(now, link, &runs);
  DispatchRunner(now, std::move(runs), actions);
  Forwarder::Actions requests;
  for (const auto& [id, member] : membership_.Others()) {
    if (member.link == link) forwarder_.OnTargetLost(now, id, &requests);
  }
  DispatchForwarder(now, std::move(requests), actions);
}

void MeshNode::OnPeerSilent(TimeMs now, const std::string& link) {
  counters_.Add("peers_silent_total");
  const MemberRecord* member = membership_.FindByLink(link);
  if (member != nullptr) forwarder_.OnTargetUnresponsive(now, member->id);
}

void MeshNode::OnDatagram(TimeMs now, const Datagram& datagram,
                          Actions* actions) {
  last_datagram_at_ = now;
  // Before the members that the datagram tells of: their versions may not be
  // allowed.
  if (datagram.rollouts) {
    RolloutAgent::Actions learned;
    rollouts_.OnStates(now, *datagram.rollouts, &learned);
    DispatchRollouts(now, std::move(learned), actions);
  }
  std::vector<DatagramOut> out;
  membership_.OnDatagram(now, datagram, &out);
  SendDatagrams(now, std::move(out), actions);
  BackendRunner::Actions runs;
  runner_.OnCrashSuspicions(now, "gossip", datagram.crash_suspicions, &runs);
  DispatchRunner(now, std::move(runs), actions);
  ConfigFollower::Actions changes;
  bool same_zone = datagram.zone == settings_.zone;
  VersionAnnouncement announcement{datagram.from_link,
                                   same_zone,
                                   datagram.version,
                                   datagram.version_age_ms,
                                   datagram.document_generation,
                                   datagram.document_hash};
  config_.OnVersionAnnounced(now, announcement, &changes);
  DispatchConfig(now, std::move(changes), actions);
}

void MeshNode::OnStore(TimeMs now, const PlatformReply& reply,
                       Actions* actions) {
  if (reply.malformed_objects > 0) {
    counters_.Add("store_objects_malformed_total", "", reply.malformed_objects);
    actions->push_back(
        LogRecord{LogLevel::kWarning,
                  "store_objects_malformed",
                  {{"skipped", std::to_string(reply.malformed_objects)},
                   {"read", std::to_string(reply.objects.size())}}});
  }
  if (rendezvous_client_.IsPending(reply)) {
    if (reply.error) counters_.Add("rendezvous_failures_total");
    std::optional<PlatformCall> write = rendezvous_client_.OnReply(
        reply, IsWatcher(now), config_.DocumentBytes(), &membership_);
    if (!reply.error)
      config_.OnStartupLoad(now, rendezvous_client_.ObservedLoad());
    if (write) CallStore(std::move(*write), actions);
    return;
  }
  if (suspicion_store_.IsPending(reply)) {
    if (reply.error)
      actions->push_back(
          LogRecord{LogLevel::kInfo,
                    "suspicions_call_failed",
                    {{"error", std::string(NameOf(reply.error->kind))},
                     {"detail", reply.error->detail}}});
    BackendRunner::Actions runs;
    runner_.OnCrashSuspicions(now, "store",
                              suspicion_store_.OnReply(now, reply), &runs);
    return DispatchRunner(now, std::move(runs), actions);
  }
  if (rollouts_.IsPending(reply)) {
    RolloutAgent::Actions list;
    rollouts_.OnStore(now, reply, &list);
    return DispatchRollouts(now, std::move(list), actions);
  }
  if (reply.id != config_call_) return;
  config_call_ = 0;
  ConfigFollower::Actions changes;
  config_.OnStore(now, reply, &changes);
  DispatchConfig(now, std::move(changes), actions);
}

void MeshNode::OnReport(TimeMs now, const InstanceReport& report,
                        Actions* actions) {
  BackendRunner::Actions list;
  runner_.OnReport(now, report, &list);
  DispatchRunner(now, std::move(list), actions);
}

void MeshNode::OnDeregistered(TimeMs now, const std::string& instance,
                              Actions* actions) {
  BackendRunner::Actions list;
  runner_.OnDeregistered(now, instance, &list);
  DispatchRunner(now, std::move(list), actions);
}

void MeshNode::OnResult(TimeMs now, RunResult result, Actions* actions) {
  BackendRunner::Actions list;
  runner_.OnResult(now, std::move(result), &list);
  DispatchRunner(now, std::move(list), actions);
}

void MeshNode::OnProbed(TimeMs now, const ProbeResult& result,
                        Actions* actions) {
  BackendRunner::Actions list;
  runner_.OnProbed(now, result, &list);
  DispatchRunner(now, std::move(list), actions);
}

void MeshNode::OnProcessSuspended(TimeMs now, int64_t paused_ms,
                                  Actions* actions) {
  actions->push_back(LogRecord{LogLevel::kWarning,
                               "own_pause",
                               {{"paused_ms", std::to_string(paused_ms)}}});
  counters_.Add("own_pauses_total");
  BackendRunner::Actions list;
  runner_.OnProcessSuspended(now, &list);
  DispatchRunner(now, std::move(list), actions);
  // Other daemons may have used these quotas meanwhile.
  quota_gate_.DropTokens(now);
  quota_home_.Clear();
  quota_view_.Restart(now);
}

void MeshNode::BeginDrain(TimeMs now, Actions* actions) {
  if (draining_) return;
  draining_ = true;
  drain_began_ = now;
  forwarder_.BeginStop(now + settings_.drain_max_ms);
  runner_.BeginStop(now + settings_.drain_max_ms);
  actions->push_back(
      LogRecord{LogLevel::kInfo,
                "drain_began",
                {{"requests", std::to_string(forwarder_.InFlight())},
                 {"runs", std::to_string(runner_.InFlight())}}});
  UpdateAnnouncedState(now);
}

bool MeshNode::Ready(TimeMs now) const {
  bool met_others = membership_.AliveCount() > 1 ||
                    now - start_ >= settings_.ready_without_peers_ms;
  return config_.Table() != nullptr && met_others && !draining_;
}

/// Updates the announced member state from the backend server's state.
void MeshNode::UpdateAnnouncedState(TimeMs now) {
  MemberState state = MemberState::kWarming;
  switch (runner_.State()) {
    case InstanceState::kReady:
      state = MemberState::kReady;
      break;
    case InstanceState::kDraining:
    case InstanceState::kGone:
      state = MemberState::kDraining;
      break;
    case InstanceState::kUnknown:
      break;
  }
  bool stopping = draining_ && now - drain_began_ >= settings_.drain_serve_ms;
  if (stopping) state = MemberState::kDraining;
  membership_.Announce(now, state, runner_.Service(), runner_.Instance().slots,
                       rollouts_.Enabled() ? runner_.Instance().version : "");
}

void MeshNode::Tick(TimeMs now, Actions* actions) {
  Forwarder::Actions requests;
  if (startup_buffer_.Count() > 0) RefuseExpired(now, actions);
  forwarder_.SetMembers(membership_.AliveCount());
  forwarder_.Tick(now, &requests);
  DispatchForwarder(now, std::move(requests), actions);
  BackendRunner::Actions runs;
  runner_.Tick(now, &runs);
  DispatchRunner(now, std::move(runs), actions);
  // A version without limits releases the requests that wait.
  if (HasQuotas() || quota_gate_.Accounts() > 0) TickQuotas(now, actions);
  if (now >= next_membership_tick_) {
    next_membership_tick_ = now + kMembershipTickMs;
    std::vector<DatagramOut> datagrams;
    membership_.Tick(now, &datagrams);
    SendDatagrams(now, std::move(datagrams), actions);
    LogMembership(now, actions);
    bool watching = IsWatcher(now);
    ConfigFollower::Actions changes;
    config_.Tick(now, watching, &changes);
    DispatchConfig(now, std::move(changes), actions);
    TickStoreClients(now, watching, actions);
  }
  if (announcement_due_ && now >= announce_at_) {
    announcement_due_ = false;
    AnnounceVersion(now, actions);
  }
  if (draining_ && !exit_sent_) TickDrain(now, actions);
}

void MeshNode::TickStoreClients(TimeMs now, bool watching, Actions* actions) {
  std::optional<PlatformCall> read =
      rendezvous_client_.Tick(now, membership_, watching);
  if (read)
    rendezvous_client_.OnReadSent(now, CallStore(std::move(*read), actions));
  std::optional<PlatformCall> call = suspicion_store_.Tick(
      now, runner_.Suspects(), watching, watching && IsPartitioned());
  if (call) suspicion_store_.OnSent(CallStore(std::move(*call), actions));
  if (!rollouts_.Enabled()) return;
  RolloutAgent::Actions list;
  rollouts_.Tick(now, membership_, watching, &list);
  DispatchRollouts(now, std::move(list), actions);
}

void MeshNode::DispatchRollouts(TimeMs now, RolloutAgent::Actions list,
                                Actions* actions) {
  bool spread = false;
  for (RolloutAction& action : list) {
    if (auto* call = std::get_if<RolloutStoreCall>(&action)) {
      PlatformCall sent = call->call;
      rollouts_.OnSent(sent, CallStore(std::move(call->call), actions));
    } else if (auto* report = std::get_if<SendRolloutEvidence>(&action)) {
      actions->push_back(SendPeer{LinkOf(report->to), kHighestRank,
                                  std::move(report->evidence)});
    } else if (auto* record = std::get_if<LogRecord>(&action)) {
      actions->push_back(std::move(*record));
    } else {
      const std::vector<MemberId>& to = std::get<SpreadRollouts>(action).to;
      spread = spread || to.empty();
      for (MemberId id : to) {
        const MemberRecord* member = membership_.Find(id);
        if (member != nullptr && id != id_)
          SendAnnouncement(now, member->gossip, actions);
      }
    }
  }
  BackendRunner::Actions runs;
  runner_.SetVersionRefused(rollouts_.RefusesOwn(), &runs, now);
  if (!runs.empty()) DispatchRunner(now, std::move(runs), actions);
  if (!spread) return;
  AnnounceVersion(now, actions);
  announcement_due_ = true;
  announce_at_ = now + settings_.announcement_repeat_ms;
}

/// Whether no member of some zone is reachable.
bool MeshNode::IsPartitioned() const {
  std::set<std::string> reachable = {settings_.zone};
  std::set<std::string> unreachable;
  for (const auto& [id, member] : membership_.Others()) {
    if (member.state == MemberState::kGone) continue;
    bool lost = member.health == MemberHealth::kUnreachable;
    (lost ? unreachable : reachable).insert(member.zone);
  }
  return !std::includes(reachable.begin(), reachable.end(), unreachable.begin(),
                        unreachable.end());
}

void MeshNode::RefuseQueued(TimeMs now, Actions* actions) {
  BackendRunner::Actions runs;
  runner_.RefuseQueued(now, &runs);
  DispatchRunner(now, std::move(runs), actions);
  Forwarder::Actions requests;
  forwarder_.CancelQueued(&requests);
  DispatchForwarder(now, std::move(requests), actions);
}

void MeshNode::TickDrain(TimeMs now, Actions* actions) {
  UpdateAnnouncedState(now);
  int64_t drained_ms = now - drain_began_;
  if (!queued_refused_ && drained_ms >= settings_.drain_refuse_queued_ms) {
    queued_refused_ = true;
    RefuseQueued(now, actions);
  }
  exit_sent_ = MayExit(drained_ms);
  if (RefusesNew(now)) runner_.StopAccepting();
  if (!exit_sent_) return;
  LogDrainFinished(now, actions);
  Forwarder::Actions requests;
  forwarder_.GiveUpAll(now, &requests);
  DispatchForwarder(now, std::move(requests), actions);
  membership_.Announce(now, MemberState::kGone, runner_.Service(), 0);
  std::vector<DatagramOut> datagrams;
  membership_.Tick(now, &datagrams);
  SendDatagrams(now, std::move(datagrams), actions);
  actions->push_back(ReadyToExit{});
}

/// Whether a planned stop that has taken `drained_ms` ends the process.
bool MeshNode::MayExit(int64_t drained_ms) const {
  if (drained_ms >= settings_.drain_write_max_ms) return true;
  bool writing = pending_output_.responses + pending_output_.link_bytes > 0;
  if (writing) return false;
  bool idle =
      forwarder_.InFlight() + runner_.InFlight() + startup_buffer_.Count() == 0;
  return drained_ms >= (idle ? settings_.drain_min_ms : settings_.drain_max_ms);
}

void MeshNode::LogDrainFinished(TimeMs now, Actions* actions) {
  actions->push_back(LogRecord{
      LogLevel::kInfo,
      "drain_finished",
      {{"drained_ms", std::to_string(now - drain_began_)},
       {"requests", std::to_string(forwarder_.InFlight())},
       {"runs", std::to_string(runner_.InFlight())},
       {"held", std::to_string(startup_buffer_.Count())},
       {"responses_unfinished", std::to_string(pending_output_.responses)},
       {"link_bytes_unsent", std::to_string(pending_output_.link_bytes)},
       {"late_peer_requests", std::to_string(late_peer_requests_)}}});
}

/// Logs when this process learns of the first other live member or loses the
/// last one: without any, it reaches its own backend server only.
void MeshNode::LogMembership(TimeMs now, Actions* actions) {
  bool knows_members = membership_.AliveCount() > 1;
  if (knows_members == knows_members_) return;
  knows_members_ = knows_members;
  actions->push_back(
      LogRecord{knows_members ? LogLevel::kInfo : LogLevel::kWarning,
                knows_members ? "members_found" : "members_lost",
                {{"alive", std::to_string(membership_.AliveCount())},
                 {"known", std::to_string(membership_.Others().size() + 1)},
                 {"state", NameOf(membership_.Self().state)},
                 {"since_start_ms", std::to_string(now - start_)}}});
}

bool MeshNode::IsWatcher(TimeMs now) const {
  // While the fleet starts, each member knows no others yet and would consider
  // itself the first of its zone.
  if (now < watch_from_ || !membership_.IsStable(now)) return false;
  return IsZoneWatcher(membership_, settings_.zone, id_,
                       settings_.watchers_per_zone);
}

uint64_t MeshNode::CallStore(PlatformCall call, Actions* actions) {
  call.id = next_store_call_++;
  uint64_t id = call.id;
  counters_.Add("store_calls_total");
  actions->push_back(std::move(call));
  return id;
}

void MeshNode::DispatchForwarder(TimeMs now, Forwarder::Actions list,
                                 Actions* actions) {
  for (ForwarderAction& action : list) {
    if (auto* send = std::get_if<SendForward>(&action)) {
      if (send->target != id_) {
        size_t bytes = send->request.body.size();
        int rank = RankOf(UrgencyOf(send->request.priority), bytes);
        link_.OnSent(now, bytes);
        actions->push_back(
            SendPeer{LinkOf(send->target), rank, std::move(send->request)});
        continue;
      }
      BackendRunner::Actions runs;
      runner_.OnForward(now, "", std::move(send->request), &runs);
      DispatchRunner(now, std::move(runs), actions);
    } else if (auto* cancel = std::get_if<SendCancelForward>(&action)) {
      if (cancel->target != id_) {
        actions->push_back(
            SendPeer{LinkOf(cancel->target), kHighestRank, cancel->cancel});
        continue;
      }
      BackendRunner::Actions runs;
      runner_.OnCancel(now, "", cancel->cancel, &runs);
      DispatchRunner(now, std::move(runs), actions);
    } else if (auto* answer = std::get_if<AnswerClient>(&action)) {
      link_.OnSent(now, answer->answer.response.body.size());
      actions->push_back(std::move(*answer));
    } else {
      actions->push_back(std::move(std::get<LogRecord>(action)));
    }
  }
}

void MeshNode::DispatchRunner(TimeMs now, BackendRunner::Actions list,
                              Actions* actions) {
  for (BackendRunnerAction& action : list) {
    if (auto* answer = std::get_if<SendForwardAnswer>(&action)) {
      if (!answer->to.link.empty()) {
        size_t bytes = answer->answer.response.body.size();
        link_.OnSent(now, bytes);
        answer->answer.load.link_delay_ms =
            static_cast<int>(link_.DelayMs(now));
        answer->answer.load.link_bytes_per_ms =
            static_cast<int>(link_.BytesPerMs());
        int urgency = bytes > static_cast<size_t>(kLargeMessageBytes)
                          ? UrgencyOf(answer->priority)
                          : kHighestRank;
        actions->push_back(SendPeer{answer->to.link, RankOf(urgency, bytes),
                                    std::move(answer->answer)});
        continue;
      }
      Forwarder::Actions requests;
      forwarder_.OnAnswer(now, std::move(answer->answer), &requests);
      DispatchForwarder(now, std::move(requests), actions);
    } else if (auto* spread = std::get_if<SpreadCrashSuspicions>(&action)) {
      membership_.QueueCrashSuspicions(spread->suspicions);
      if (spread->raised_here)
        suspicion_store_.OnRaised(spread->suspicions.size());
    } else if (auto* start = std::get_if<StartRun>(&action)) {
      actions->push_back(std::move(*start));
    } else if (auto* cancel = std::get_if<CancelRunOnBackend>(&action)) {
      actions->push_back(*cancel);
    } else if (auto* run = std::get_if<RunObserved>(&action)) {
      rollouts_.OnRun(now, run->route, run->outcome, run->run_ms, run->warm);
    } else if (auto* record = std::get_if<LogRecord>(&action)) {
      actions->push_back(std::move(*record));
    } else {
      actions->push_back(ProbeInstance{});
    }
  }
  UpdateAnnouncedState(now);
}

void MeshNode::DispatchConfig(TimeMs now, ConfigFollower::Actions list,
                              Actions* actions) {
  for (ConfigFollowerAction& action : list) {
    if (auto* call = std::get_if<PlatformCall>(&action)) {
      config_call_ = CallStore(std::move(*call), actions);
    } else if (auto* pull = std::get_if<PullDocument>(&action)) {
      actions->push_back(SendPeer{pull->link, kHighestRank, pull->request});
    } else if (auto* adopted = std::get_if<TableAdopted>(&action)) {
      forwarder_.SetTable(std::move(adopted->table));
      ApplyQuotaLimits(now);
      ReleaseBuffered(now, actions);
      AnnounceVersion(now, actions);
      announcement_due_ = true;
      announce_at_ = now + settings_.announcement_repeat_ms;
    } else {
      actions->push_back(std::move(std::get<LogRecord>(action)));
    }
  }
}

void MeshNode::ApplyQuotaLimits(TimeMs now) {
  QuotaLimits next(settings_.quota, config_.Table()->Config());
  if (!HasQuotas() && !next.Empty()) quota_view_.Begin(now);
  quota_home_.SetLimits(now, nullptr);
  quota_limits_ = std::move(next);
  quota_home_.SetLimits(now, &quota_limits_);
  quota_gate_.SetLimits(&quota_limits_);
  if (HasQuotas()) UpdateQuotaView(now);
}

void MeshNode::UpdateQuotaView(TimeMs now) {
  std::vector<QuotaMember> members;
  for (const auto& [id, record] : membership_.Others()) {
    QuotaMember member;
    member.id = id;
    member.gone = record.state == MemberState::kGone;
    member.reachable =
        !member.gone && record.health != MemberHealth::kUnreachable;
    member.suspect = record.health == MemberHealth::kSuspect;
    member.draining = record.state == MemberState::kDraining;
    members.push_back(member);
  }
  bool complete = membership_.IsStable(now) && membership_.AliveCount() > 1;
  size_t known_at_least =
      complete ? 0 : rendezvous_client_.ObservedLoad().members;
  quota_view_.SetDraining(now,
                          membership_.Self().state == MemberState::kDraining);
  quota_view_.Update(now, members, known_at_least);
}

void MeshNode::TickQuotas(TimeMs now, Actions* actions) {
  if (now >= next_quota_tick_) {
    next_quota_tick_ = now + kQuotaHomeTickMs;
    UpdateQuotaView(now);
    for (QuotaHome::SendHandover& send : quota_home_.Tick(now)) {
      actions->push_back(
          SendPeer{LinkOf(send.to), kHighestRank, std::move(send.handover)});
    }
  }
  QuotaOutcome outcome;
  quota_gate_.Tick(now, &outcome);
  DispatchQuota(now, std::move(outcome), actions);
  SendQuotaAsks(now, actions);
}

/// Sends the asks that are due. Those to this daemon itself are answered at
/// once.
void MeshNode::SendQuotaAsks(TimeMs now, Actions* actions) {
  for (int round = 0; round < kQuotaAskRounds; ++round) {
    QuotaOutcome outcome;
    std::vector<QuotaGate::SendAsk> asks = quota_gate_.Flush(now, &outcome);
    bool done = asks.empty();
    for (QuotaGate::SendAsk& send : asks) {
      if (send.home == id_) {
        QuotaGrant grant = quota_home_.OnAsk(now, id_, send.ask);
        quota_gate_.OnGrant(now, grant, &outcome);
      } else {
        actions->push_back(
            SendPeer{LinkOf(send.home), kHighestRank, std::move(send.ask)});
      }
    }
    DispatchQuota(now, std::move(outcome), actions);
    if (done) return;
  }
}

void MeshNode::DispatchQuota(TimeMs now, QuotaOutcome outcome,
                             Actions* actions) {
  Forwarder::Actions list;
  for (const QuotaOutcome::Request& request : outcome.requests)
    forwarder_.OnQuotaDecision(now, request.id, request.decision, &list);
  for (LogRecord& record : outcome.logs) list.push_back(std::move(record));
  DispatchForwarder(now, std::move(list), actions);
}

/// Returns whether the message concerns quotas.
bool MeshNode::OnQuotaMessage(TimeMs now, const std::string& link,
                              const PeerMessage& message, Actions* actions) {
  if (const auto* ask = std::get_if<QuotaAsk>(&message)) {
    QuotaGrant grant = quota_home_.OnAsk(now, FastHash(link), *ask);
    actions->push_back(SendPeer{link, kHighestRank, std::move(grant)});
  } else if (const auto* grant = std::get_if<QuotaGrant>(&message)) {
    QuotaOutcome outcome;
    quota_gate_.OnGrant(now, *grant, &outcome);
    DispatchQuota(now, std::move(outcome), actions);
    SendQuotaAsks(now, actions);
  } else if (const auto* handover = std::get_if<QuotaHandover>(&message)) {
    quota_home_.OnHandover(now, *handover);
  } else {
    return false;
  }
  return true;
}

void MeshNode::AnnounceVersion(TimeMs now, Actions* actions) {
  for (const Peer& peer : RandomPeers(&membership_, settings_.zone,
                                      kAnnounceSameZone, kAnnounceAnyZone))
    SendAnnouncement(now, peer.gossip, actions);
}

void MeshNode::SendAnnouncement(TimeMs now, const std::string& gossip,
                                Actions* actions) const {
  Datagram datagram;
  datagram.from = id_;
  datagram.from_link = settings_.link_address;
  datagram.zone = settings_.zone;
  FillVersion(now, &datagram);
  actions->push_back(SendDatagram{gossip, std::move(datagram)});
}

void MeshNode::FillVersion(TimeMs now, Datagram* datagram) const {
  datagram->version = config_.Version();
  datagram->version_age_ms = config_.VersionAgeMs(now);
  datagram->document_generation = config_.DocumentGeneration();
  datagram->document_hash = config_.DocumentHash();
  if (rollouts_.Spreads()) datagram->rollouts = rollouts_.Table().States(now);
}

void MeshNode::SendDatagrams(TimeMs now, std::vector<DatagramOut> list,
                             Actions* actions) {
  for (DatagramOut& out : list) {
    // A relayed ack carries no information on this member's version.
    if (out.datagram.from == id_) FillVersion(now, &out.datagram);
    actions->push_back(
        SendDatagram{std::move(out.to), std::move(out.datagram)});
  }
}

std::vector<TargetCandidate> MeshNode::CandidatesOf(
    const std::string& service) const {
  std::vector<TargetCandidate> candidates;
  auto consider = [&](const MemberRecord& member) {
    bool takes_work = member.state == MemberState::kReady &&
                      member.health != MemberHealth::kUnreachable;
    if (!takes_work || member.service != service) return;
    candidates.push_back({member.id, member.zone == settings_.zone,
                          member.health == MemberHealth::kSuspect,
                          member.id == id_});
  };
  consider(membership_.Self());
  for (const auto& [id, member] : membership_.Others()) consider(member);
  return candidates;
}

bool MeshNode::IsContained(TimeMs now, const MeshRequest& request) const {
  const CrashGuard& suspects = runner_.Suspects();
  if (suspects.Size() == 0) return false;
  uint64_t fingerprint = RequestFingerprint(request.target, request.body);
  return suspects.Check(now, fingerprint) == CrashGuard::Verdict::kRefuse;
}

void MeshNode::RestrictByRollout(
    const std::string& service, std::optional<uint64_t> draw,
    std::vector<TargetCandidate>* candidates) const {
  if (!rollouts_.Enabled()) return;
  static const std::string kUnknown;
  auto version_of = [&](MemberId id) -> const std::string& {
    const MemberRecord* member = membership_.Find(id);
    return member != nullptr ? member->version : kUnknown;
  };
  rollouts_.Table().Restrict(service, draw, version_of, candidates);
}

std::string MeshNode::LinkOf(MemberId id) const {
  const MemberRecord* member = membership_.Find(id);
  return member != nullptr ? member->link : "";
}

std::vector<const Counters*> MeshNode::AllCounters() const {
  return {&membership_.Counts(),      &config_.Counts(),
          &forwarder_.Counts(),       &runner_.Counts(),
          &suspicion_store_.Counts(), &quota_gate_.Counts(),
          &quota_home_.Counts(),      &rollouts_.Counts(),
          &rollouts_.StoreCounts(),   &counters_};
}

std::vector<const Histograms*> MeshNode::AllHistograms() const {
  return {&forwarder_.Latencies(), &runner_.Latencies()};
}

}  // namespace banyanloft
