#include "banyanloft/daemon/node.h"

#include <fmt/format.h>

#include <algorithm>
#include <type_traits>

#include "banyanloft/config/json.h"
#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

/// Tick period of membership and platform access, in ms.
constexpr int64_t kSlowTickMs = 50;
/// Period of version reports to the watchers of the zone, in ms.
constexpr int64_t kReportPeriodMs = 5000;
/// Independent random streams, one for each state machine.
enum class SeedStream : uint64_t {
  kMembership = 1,
  kDistributor,
  kRendezvous,
  kDispatcher,
  kRunner,
  kWatchDelay
};

uint64_t SeedOf(uint64_t seed, SeedStream stream) {
  return FastHash("stream", seed * 16 + static_cast<uint64_t>(stream));
}

DistributorSettings WithStartWindow(DistributorSettings settings,
                                    int64_t window_ms) {
  settings.start_window_ms = window_ms;
  return settings;
}

RendezvousSettings WithStartWindow(RendezvousSettings settings,
                                   int64_t window_ms) {
  settings.start_window_ms = window_ms;
  return settings;
}

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

Node::Node(const NodeSettings& settings, MemberId id, TimeMs now)
    : settings_(settings),
      id_(id),
      start_(now),
      watch_start_(
          now + WatchDelayMs(settings.start_window_ms,
                             SeedOf(settings.seed, SeedStream::kWatchDelay))),
      membership_(settings.membership,
                  NewMember(id, settings.zone, settings.link_address,
                            settings.gossip_address),
                  SeedOf(settings.seed, SeedStream::kMembership), now, this),
      distributor_(
          WithStartWindow(settings.distributor, settings.start_window_ms),
          settings.zone, SeedOf(settings.seed, SeedStream::kDistributor), now),
      rendezvous_client_(
          WithStartWindow(settings.rendezvous, settings.start_window_ms),
          settings.zone, settings.gossip_address,
          SeedOf(settings.seed, SeedStream::kRendezvous), now),
      zone_status_(settings.zone),
      dispatcher_(settings.dispatcher, settings.zone, settings.secret,
                  SeedOf(settings.seed, SeedStream::kDispatcher), this),
      runner_(settings.runner, id, settings.secret,
              SeedOf(settings.seed, SeedStream::kRunner), now) {
  membership_.AddSeeds(settings.peers);
  membership_.ReplicateSuspicions(&runner_.Suspects());
}

void Node::OnCall(TimeMs now, uint64_t call, CallRequest request,
                  Actions* actions) {
  CallDispatcher::Actions list;
  dispatcher_.OnCall(now, call, std::move(request), &list);
  ExecuteDispatcherActions(now, std::move(list), actions);
}

void Node::OnCallerKeyRequest(TimeMs now, uint64_t call,
                              const std::string& name, Actions* actions) {
  CallDispatcher::Actions list;
  dispatcher_.OnCallerKeyRequest(now, call, name, &list);
  ExecuteDispatcherActions(now, std::move(list), actions);
}

void Node::OnAbandoned(TimeMs now, uint64_t call, Actions* actions) {
  CallDispatcher::Actions list;
  dispatcher_.OnAbandoned(now, call, &list);
  ExecuteDispatcherActions(now, std::move(list), actions);
}

void Node::OnPeerMessage(TimeMs now, const std::string& link,
                         PeerMessage message, Actions* actions) {
  CallDispatcher::Actions calls;
  TargetRunner::Actions runs;
  Distributor::Actions changes;
  std::visit(
      Overloaded{
          [&](RunRequest& m) { runner_.OnRun(now, link, std::move(m), &runs); },
          [&](RunAnswer& m) { dispatcher_.OnRunAnswer(now, m, &calls); },
          [&](CancelRun& m) { runner_.OnCancel(link, m.attempt, &runs); },
          [&](KeyRequest& m) {
            actions->push_back(SendPeer{link, 0, runner_.OnKeyRequest(now, m)});
          },
          [&](KeyAnswer& m) { dispatcher_.OnKeyAnswer(now, m, &calls); },
          [&](PullRequest& m) {
            int last = static_cast<int>(kMaxRanks) - 1;
            actions->push_back(
                SendPeer{link, last, distributor_.OnPullRequest(m)});
          },
          [&](PullReply& m) {
            distributor_.OnPullReply(now, link, m, &changes);
          },
          // Messages of forwarding daemons, which form separate fleets.
          [&](auto&) { counters_.Add("peer_messages_dropped_total"); },
      },
      message);
  ExecuteDispatcherActions(now, std::move(calls), actions);
  ExecuteRunnerActions(now, std::move(runs), actions);
  ExecuteDistributorActions(now, std::move(changes), actions);
}

void Node::OnPeerNotSent(TimeMs now, const std::string& link,
                         const PeerMessage& message, Actions* actions) {
  CallDispatcher::Actions calls;
  Distributor::Actions changes;
  if (const auto* run = std::get_if<RunRequest>(&message)) {
    dispatcher_.OnNotSent(now, run->attempt, &calls);
  } else if (const auto* key = std::get_if<KeyRequest>(&message)) {
    dispatcher_.OnNotSent(now, key->attempt, &calls);
  } else if (std::holds_alternative<PullRequest>(message)) {
    distributor_.OnPullFailed(now, link, &changes);
  } else {
    counters_.Add("peer_messages_dropped_total");
  }
  ExecuteDispatcherActions(now, std::move(calls), actions);
  ExecuteDistributorActions(now, std::move(changes), actions);
}

void Node::OnPeerLost(TimeMs now, const std::string& link, Actions* actions) {
  membership_.OnLinkLost(now, link);
  CallDispatcher::Actions calls;
  for (const auto& [id, member] : membership_.Others()) {
    if (member.link == link) dispatcher_.OnTargetLost(now, id, &calls);
  }
  ExecuteDispatcherActions(now, std::move(calls), actions);
  Distributor::Actions changes;
  distributor_.OnPullFailed(now, link, &changes);
  ExecuteDistributorActions(now, std::move(changes), actions);
}

void Node::OnDatagram(TimeMs now, const Datagram& datagram, Actions* actions) {
  std::vector<DatagramOut> out;
  membership_.OnDatagram(now, datagram, &out);
  SendDatagrams(std::move(out), actions);

  std::vector<CrashSuspicion> new_suspicions =
      runner_.OnCrashSuspicions(now, datagram.crash_suspicions);
  if (!new_suspicions.empty()) membership_.QueueCrashSuspicions(new_suspicions);
  if (datagram.type == DatagramType::kVersionReport) {
    zone_status_.OnReport(datagram.from, datagram.version, datagram.detail);
  }
  if (datagram.version == 0) return;
  Distributor::Actions changes;
  distributor_.OnVersionAnnounced(now,
                                  Peer{datagram.from_link, "", datagram.zone},
                                  datagram.version, &changes);
  ExecuteDistributorActions(now, std::move(changes), actions);
}

void Node::OnPlatform(TimeMs now, const PlatformReply& reply,
                      Actions* actions) {
  if (rendezvous_client_.IsPending(reply)) {
    std::optional<PlatformCall> write =
        // Document size 0: daemons of this kind do not use the stored load.
        // At start-up, all but the watchers read only the head of the
        // configuration from the platform and pull the rest from peers, as
        // long as peers can provide it.
        rendezvous_client_.OnReply(reply, IsWatcher(now), 0, &membership_);
    if (write) CallPlatform(std::move(*write), actions);
    return;
  }
  auto read = distributor_reads_.find(reply.id);
  if (read == distributor_reads_.end()) return;
  PlatformReadResult result;
  result.id = read->second;
  distributor_reads_.erase(read);
  result.error = reply.error;
  result.found = !reply.objects.empty();
  if (result.found) {
    result.revision = reply.objects[0].revision;
    result.value = reply.objects[0].value;
  }
  Distributor::Actions changes;
  distributor_.OnPlatform(now, result, &changes);
  ExecuteDistributorActions(now, std::move(changes), actions);
}

void Node::OnAnnounce(TimeMs now, const Announcement& announcement,
                      Actions* actions) {
  bool restarted = announced_ && announced_->boot_id != announcement.boot_id;
  announced_ = announcement;
  announced_at_ = now;
  runner_.SetSlots(std::max(1, announcement.slots));
  if (restarted) {
    TargetRunner::Actions runs;
    runner_.OnBackendRestarted(now, &runs);
    ExecuteRunnerActions(now, std::move(runs), actions);
  }
  UpdateMemberState(now, actions);
}

void Node::OnBackend(TimeMs now, const BackendResult& result,
                     Actions* actions) {
  TargetRunner::Actions runs;
  runner_.OnBackendResult(now, result, &runs);
  ExecuteRunnerActions(now, std::move(runs), actions);
}

void Node::OnBackendProbed(TimeMs now, bool up, Actions* actions) {
  TargetRunner::Actions runs;
  runner_.OnBackendProbed(now, up, &runs);
  ExecuteRunnerActions(now, std::move(runs), actions);
  if (up) return;
  // The backend server announces itself again after it has restarted.
  announced_.reset();
  UpdateMemberState(now, actions);
}

void Node::BeginDrain(TimeMs now, Actions* actions) {
  if (draining_) return;
  draining_ = true;
  drain_began_ = now;
  idle_since_ = now;
  UpdateMemberState(now, actions);
}

/// Derives the announced member state, and whether new work is accepted, from
/// the configuration, the state of the backend server and a graceful shutdown.
void Node::UpdateMemberState(TimeMs now, Actions* actions) {
  const SnapshotPtr& snapshot = distributor_.Current();
  std::optional<ErrorKind> refusal;
  MemberState state = MemberState::kReady;
  bool leaving =
      draining_ || (announced_ && announced_->state == MemberState::kDraining);
  if (leaving) {
    refusal = ErrorKind::kDraining;
    state = MemberState::kDraining;
  } else if (!announced_) {
    refusal = ErrorKind::kBackendUnavailable;
    state = MemberState::kWarming;
  } else if (announced_->state != MemberState::kReady ||
             !distributor_.StartedUp() ||
             snapshot->FindService(announced_->service) == nullptr) {
    refusal = ErrorKind::kNotReady;
    state = MemberState::kWarming;
  }
  std::string service =
      announced_ ? announced_->service : membership_.Self().service;
  int slots = announced_ ? announced_->slots : membership_.Self().slots;
  membership_.Announce(now, state, service, slots);
  TargetRunner::Actions runs;
  runner_.SetAccepting(refusal, &runs);
  ExecuteRunnerActions(now, std::move(runs), actions);
}

void Node::Tick(TimeMs now, Actions* actions) {
  CallDispatcher::Actions calls;
  dispatcher_.Tick(now, &calls);
  for (MemberId target : lost_targets_)
    dispatcher_.OnTargetLost(now, target, &calls);
  lost_targets_.clear();
  ExecuteDispatcherActions(now, std::move(calls), actions);
  TargetRunner::Actions runs;
  runner_.Tick(now, &runs);
  ExecuteRunnerActions(now, std::move(runs), actions);

  if (now >= next_slow_tick_) {
    next_slow_tick_ = now + kSlowTickMs;
    std::vector<DatagramOut> datagrams;
    membership_.Tick(now, &datagrams);
    SendDatagrams(std::move(datagrams), actions);
    TickPlatform(now, IsWatcher(now), actions);
    if (announced_ && now - announced_at_ > settings_.announcement_ttl_ms)
      announced_.reset();
    UpdateMemberState(now, actions);
  }

  if (!draining_ || exit_emitted_) return;
  if (runner_.InFlight() + dispatcher_.InFlight() > 0) idle_since_ = now;
  // Linger, so that peers learn of the departure before the address closes.
  bool finished = now - idle_since_ >= settings_.departure_linger_ms;
  const SnapshotPtr& snapshot = distributor_.Current();
  const Service* service =
      snapshot ? snapshot->FindService(membership_.Self().service) : nullptr;
  int64_t limit_ms =
      service != nullptr ? service->drain_ms : Service().drain_ms;
  if (!finished && now - drain_began_ < limit_ms) return;
  exit_emitted_ = true;
  membership_.Announce(now, MemberState::kGone, membership_.Self().service,
                       membership_.Self().slots);
  std::vector<DatagramOut> datagrams;
  membership_.Tick(now, &datagrams);
  SendDatagrams(std::move(datagrams), actions);
  actions->push_back(ReadyToExit{});
}

void Node::TickPlatform(TimeMs now, bool watching, Actions* actions) {
  Distributor::Actions changes;
  distributor_.Tick(now, watching,
                    RandomPeers(&membership_, settings_.zone, 4, 4),
                    membership_.AliveCount(), &changes);
  ExecuteDistributorActions(now, std::move(changes), actions);

  std::optional<PlatformCall> read =
      rendezvous_client_.Tick(now, membership_, watching);
  if (read)
    rendezvous_client_.OnReadSent(now, CallPlatform(std::move(*read), actions));
  std::vector<MemberId> watchers =
      membership_.FirstOfZone(settings_.zone, settings_.watchers_per_zone);
  bool report_due = now >= next_report_ || watchers != reported_to_;
  if (report_due && distributor_.Version() > 0) {
    ReportVersion(actions);
    reported_to_ = std::move(watchers);
    next_report_ = now + kReportPeriodMs;
  }

  if (!watching ||
      membership_.FirstOfZone(settings_.zone, 1) != std::vector<MemberId>{id_})
    return;
  if (!zone_status_.MayWrite(now)) return;
  std::set<MemberId> zone_members;
  if (membership_.Self().state != MemberState::kGone) zone_members.insert(id_);
  for (const auto& [id, member] : membership_.Others()) {
    bool alive = member.state != MemberState::kGone &&
                 member.health != MemberHealth::kUnreachable;
    if (alive && member.zone == settings_.zone) zone_members.insert(id);
  }
  zone_status_.OnReport(id_, distributor_.Version(),
                        distributor_.LastRefusal());
  std::optional<std::string> value =
      zone_status_.WriteDue(now, distributor_.NewestKnown(), zone_members);
  if (!value) return;
  PlatformCall call;
  call.type = PlatformCall::Type::kWrite;
  call.key = ZoneStatusKey(settings_.zone);
  call.value = *value;
  CallPlatform(std::move(call), actions);
}

uint64_t Node::CallPlatform(PlatformCall call, Actions* actions) {
  call.id = next_platform_call_++;
  uint64_t id = call.id;
  actions->push_back(std::move(call));
  return id;
}

bool Node::IsWatcher(TimeMs now) const {
  // While the fleet starts, each member knows few others and would consider
  // itself a watcher of its zone.
  if (now < watch_start_ || !membership_.IsStable(now)) return false;
  return IsZoneWatcher(membership_, settings_.zone, id_,
                       settings_.watchers_per_zone);
}

void Node::ReportVersion(Actions* actions) {
  for (MemberId watcher :
       membership_.FirstOfZone(settings_.zone, settings_.watchers_per_zone)) {
    const MemberRecord* member = membership_.Find(watcher);
    if (watcher == id_ || member == nullptr) continue;
    Datagram report;
    report.type = DatagramType::kVersionReport;
    report.from = id_;
    report.from_link = settings_.link_address;
    report.zone = settings_.zone;
    report.version = distributor_.Version();
    report.detail = distributor_.LastRefusal();
    actions->push_back(SendDatagram{member->gossip, std::move(report)});
  }
}

void Node::ActivateSnapshot(TimeMs now, const SnapshotPtr& snapshot,
                            Actions* actions) {
  activated_at_ = now;
  dispatcher_.SetSnapshot(snapshot);
  TargetRunner::Actions runs;
  runner_.SetSnapshot(now, snapshot, &runs);
  ExecuteRunnerActions(now, std::move(runs), actions);
  ReportVersion(actions);
}

void Node::ExecuteDispatcherActions(TimeMs now, CallDispatcher::Actions list,
                                    Actions* actions) {
  for (DispatcherAction& action : list) {
    if (auto* reply = std::get_if<ReplyCall>(&action)) {
      actions->push_back(std::move(*reply));
    } else if (auto* key = std::get_if<ReplyKey>(&action)) {
      actions->push_back(std::move(*key));
    } else if (auto* run = std::get_if<SendRun>(&action)) {
      if (run->target != id_) {
        actions->push_back(SendPeer{LinkOf(run->target), run->rank_index,
                                    std::move(run->request)});
        continue;
      }
      TargetRunner::Actions runs;
      runner_.OnRun(now, "", std::move(run->request), &runs);
      ExecuteRunnerActions(now, std::move(runs), actions);
    } else if (auto* cancel = std::get_if<SendCancel>(&action)) {
      if (cancel->target != id_) {
        actions->push_back(SendPeer{LinkOf(cancel->target), 0, cancel->cancel});
        continue;
      }
      TargetRunner::Actions runs;
      runner_.OnCancel("", cancel->cancel.attempt, &runs);
      ExecuteRunnerActions(now, std::move(runs), actions);
    } else if (auto* request = std::get_if<SendKeyRequest>(&action)) {
      if (request->target != id_) {
        actions->push_back(
            SendPeer{LinkOf(request->target), 0, std::move(request->request)});
        continue;
      }
      CallDispatcher::Actions more;
      dispatcher_.OnKeyAnswer(now, runner_.OnKeyRequest(now, request->request),
                              &more);
      ExecuteDispatcherActions(now, std::move(more), actions);
    }
  }
}

void Node::ExecuteRunnerActions(TimeMs now, TargetRunner::Actions list,
                                Actions* actions) {
  for (RunnerAction& action : list) {
    if (auto* answer = std::get_if<SendRunAnswer>(&action)) {
      if (!answer->to.link.empty()) {
        actions->push_back(SendPeer{answer->to.link, answer->rank_index,
                                    std::move(answer->answer)});
        continue;
      }
      CallDispatcher::Actions calls;
      dispatcher_.OnRunAnswer(now, answer->answer, &calls);
      ExecuteDispatcherActions(now, std::move(calls), actions);
    } else if (auto* gossip = std::get_if<GossipCrashSuspicions>(&action)) {
      membership_.QueueCrashSuspicions(gossip->suspicions);
    } else if (auto* start = std::get_if<StartBackend>(&action)) {
      actions->push_back(std::move(*start));
    } else if (auto* cancel = std::get_if<CancelBackend>(&action)) {
      actions->push_back(*cancel);
    } else {
      actions->push_back(ProbeBackend{});
    }
  }
}

void Node::ExecuteDistributorActions(TimeMs now, Distributor::Actions list,
                                     Actions* actions) {
  for (DistributorAction& action : list) {
    if (auto* read = std::get_if<PlatformRead>(&action)) {
      PlatformCall call;
      call.key = read->key;
      call.watch_after = read->watch_after;
      call.wait_ms = read->wait_ms;
      uint64_t id = CallPlatform(std::move(call), actions);
      distributor_reads_[id] = read->id;
    } else if (auto* announcement = std::get_if<SendAnnouncement>(&action)) {
      Datagram datagram;
      datagram.from = id_;
      datagram.from_link = settings_.link_address;
      datagram.zone = settings_.zone;
      datagram.version = distributor_.Version();
      actions->push_back(
          SendDatagram{announcement->gossip, std::move(datagram)});
    } else if (auto* pull = std::get_if<SendPull>(&action)) {
      actions->push_back(SendPeer{pull->link, 0, std::move(pull->request)});
    } else if (auto* adopted = std::get_if<Adopted>(&action)) {
      ActivateSnapshot(now, adopted->snapshot, actions);
    }
  }
}

void Node::SendDatagrams(std::vector<DatagramOut> list, Actions* actions) {
  for (DatagramOut& out : list) {
    // An ack relayed for another member does not carry this member's version.
    if (out.datagram.from == id_) out.datagram.version = distributor_.Version();
    actions->push_back(
        SendDatagram{std::move(out.to), std::move(out.datagram)});
  }
}

std::vector<TargetInfo> Node::TargetsOf(const Service& service) const {
  std::vector<TargetInfo> targets;
  auto add_if_ready = [&](const MemberRecord& member) {
    bool takes_work = member.state == MemberState::kReady &&
                      member.health != MemberHealth::kUnreachable;
    if (!takes_work) return;
    bool serves = member.service == service.id ||
                  std::find(service.names.begin(), service.names.end(),
                            member.service) != service.names.end();
    if (!serves || member.service.empty()) return;
    TargetInfo info;
    info.id = member.id;
    info.zone = member.zone;
    info.slots = member.slots;
    info.suspect = member.health == MemberHealth::kSuspect;
    info.ready_since =
        member.id == id_ ? start_ : membership_.StateSince(member.id);
    targets.push_back(std::move(info));
  };
  add_if_ready(membership_.Self());
  for (const auto& [id, member] : membership_.Others()) add_if_ready(member);
  return targets;
}

TargetDirectory::Reachability Node::ReachabilityOf(MemberId id) const {
  if (id == id_) return Reachability::kReachable;
  const MemberRecord* member = membership_.Find(id);
  // Not kGone: the member may have joined so recently that it is not known
  // here yet.
  if (member == nullptr) return Reachability::kUnreachable;
  if (member->state == MemberState::kGone) return Reachability::kGone;
  bool unreachable = member->health == MemberHealth::kUnreachable;
  return unreachable ? Reachability::kUnreachable : Reachability::kReachable;
}

void Node::OnMemberChanged(TimeMs, const MemberRecord& member) {
  bool lost = member.id != id_ && (member.state == MemberState::kGone ||
                                   member.health == MemberHealth::kUnreachable);
  if (lost) lost_targets_.push_back(member.id);
}

std::string Node::LinkOf(MemberId id) const {
  const MemberRecord* member = membership_.Find(id);
  return member != nullptr ? member->link : "";
}

std::vector<const Counters*> Node::AllCounters() const {
  return {&membership_.Counts(), &distributor_.Counts(), &dispatcher_.Counts(),
          &runner_.Counts(), &counters_};
}

std::string Node::StatusJson(TimeMs now) const {
  Json members = Json::array();
  auto add = [&](const MemberRecord& member) {
    members.push_back({{"id", MemberName(member.id)},
                       {"zone", member.zone},
                       {"service", member.service},
                       {"link", member.link},
                       {"state", NameOf(member.state)},
                       {"health", NameOf(member.health)},
                       {"incarnation", member.incarnation}});
  };
  add(membership_.Self());
  for (const auto& [id, member] : membership_.Others()) add(member);
  Json levels = Json::array();
  for (int16_t level : runner_.Admission().Levels()) levels.push_back(level);
  Json status = {
      {"id", MemberName(id_)},
      {"zone", settings_.zone},
      {"ready", Ready()},
      {"draining", draining_},
      {"watching", IsWatcher(now)},
      {"version", distributor_.Version()},
      {"in_force_at_ms", activated_at_.Value()},
      {"newest_known", distributor_.NewestKnown()},
      {"version_source", distributor_.Source()},
      {"last_refusal", distributor_.LastRefusal()},
      {"platform_down", distributor_.PlatformDown()},
      {"alive", membership_.AliveCount()},
      {"awareness", membership_.Awareness()},
      {"calls_in_hand", dispatcher_.InFlight()},
      {"gate",
       {{"running", runner_.Admission().Running()},
        {"waiting", runner_.Admission().Waiting()},
        {"slots", runner_.Admission().Slots()},
        {"levels", levels}}},
      {"keys_remembered", runner_.Ledger().Size()},
      {"members", members},
  };
  return status.dump(2);
}

}  // namespace banyanloft
