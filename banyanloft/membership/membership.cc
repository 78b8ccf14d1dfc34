#include "banyanloft/membership/membership.h"

#include <algorithm>
#include <cmath>

#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

constexpr int64_t kForgetPeriodMs = 60000;
constexpr int64_t kRelayLifeMs = 5000;
constexpr int64_t kAssumedAgeMs = 3600000;
/// Local health factor at which the suspicion time-out is doubled.
constexpr int kSuspicionAwareness = 4;
constexpr size_t kNearHelpers = 2;
/// Members per zone that are cached in the order of rendezvous hashing.
constexpr size_t kRankedPerZone = 4;
constexpr size_t kCrashSuspicionsPerDatagram = 8;
constexpr int kCrashSuspicionTransmissions = 12;
constexpr size_t kMaxPendingCrashSuspicions = 500;
/// Crash suspicions in a datagram that answers a digest: about 1 KB.
constexpr size_t kCrashSuspicionsPerReply = 32;

TimeMs EarlierOf(TimeMs a, TimeMs b) { return a < b ? a : b; }

bool IsAlive(const MemberRecord& record) {
  return record.state != MemberState::kGone &&
         record.health != MemberHealth::kUnreachable;
}

}  // namespace

Membership::Membership(const MembershipSettings& settings, MemberRecord self,
                       uint64_t seed, TimeMs now, MembershipListener* listener)
    : settings_(settings),
      self_(std::move(self)),
      random_(seed),
      listener_(listener),
      start_(now),
      newest_member_(now),
      last_tick_(now),
      next_probe_(now + static_cast<int64_t>(random_.Below(
                            static_cast<uint64_t>(settings.probe_period_ms)))),
      next_gossip_(now),
      next_digest_(now),
      next_reconnect_(now),
      next_forget_(now + kForgetPeriodMs) {}

void Membership::AddSeeds(const std::vector<std::string>& gossip_addresses) {
  for (const std::string& address : gossip_addresses) {
    bool known =
        std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end();
    if (!known && address != self_.gossip) seeds_.push_back(address);
  }
}

void Membership::ContactUnknown(
    const std::vector<std::string>& gossip_addresses) {
  std::set<std::string> known = {self_.gossip};
  for (MemberId id : alive_) known.insert(others_.at(id).gossip);
  for (const std::string& address : gossip_addresses) {
    bool listed =
        std::find(unknown_addresses_.begin(), unknown_addresses_.end(),
                  address) != unknown_addresses_.end();
    if (known.count(address) == 0 && !listed)
      unknown_addresses_.push_back(address);
  }
}

/// A member that started while the store was unavailable knows no others. Those
/// that knew its predecessor ping its address; each can tell it the rest.
void Membership::JoinThrough(const Datagram& ping) {
  if (Find(ping.from) != nullptr) return;
  bool listed = std::find(unknown_addresses_.begin(), unknown_addresses_.end(),
                          ping.reply_to) != unknown_addresses_.end();
  if (!listed) unknown_addresses_.push_back(ping.reply_to);
}

void Membership::Announce(TimeMs now, MemberState state,
                          const std::string& service, int slots,
                          const std::string& version) {
  bool same = self_.state == state && self_.service == service &&
              self_.slots == slots && self_.version == version;
  if (same || self_.state == MemberState::kGone) return;
  self_.state = state;
  self_.service = service;
  self_.slots = slots;
  self_.version = version;
  ++self_.incarnation;
  InvalidateLists();
  QueueUpdate(self_);
  next_gossip_ = now;
  if (listener_ != nullptr) listener_->OnMemberChanged(now, self_);
}

void Membership::OnDatagram(TimeMs now, const Datagram& datagram,
                            std::vector<DatagramOut>* out) {
  if (datagram.from == self_.id) return;
  for (const MemberRecord& record : datagram.members) Apply(now, record);

  switch (datagram.type) {
    case DatagramType::kPing: {
      Apply(now, datagram.subject);
      JoinThrough(datagram);
      Datagram ack = Make(DatagramType::kAck);
      ack.sequence = datagram.sequence;
      AttachUpdates(&ack);
      // If the sender is recorded as suspect or unreachable, the ack includes
      // that record, so that the sender can refute it.
      const MemberRecord* sender = Find(datagram.from);
      if (sender != nullptr && sender->health != MemberHealth::kAlive)
        ack.members.push_back(*sender);
      out->push_back({datagram.reply_to, std::move(ack)});
      break;
    }
    case DatagramType::kAck: {
      if (probe_ && datagram.sequence == sequence_ &&
          datagram.from == probe_->target) {
        probe_->acked = true;
      }
      auto relay = relays_.find(datagram.sequence);
      if (relay == relays_.end()) break;
      Datagram forwarded = Make(DatagramType::kAck);
      forwarded.from = datagram.from;
      forwarded.sequence = relay->second.sequence;
      out->push_back({relay->second.reply_to, std::move(forwarded)});
      relays_.erase(relay);
      break;
    }
    case DatagramType::kNack:
      if (probe_ && datagram.sequence == sequence_) ++probe_->nacks;
      break;
    case DatagramType::kPingRequest: {
      Datagram nack = Make(DatagramType::kNack);
      nack.sequence = datagram.sequence;
      out->push_back({datagram.reply_to, std::move(nack)});
      Datagram ping = Make(DatagramType::kPing);
      ping.sequence = (uint64_t{1} << 63) | random_.Bits();
      ping.subject = datagram.subject;
      ping.reply_to = self_.gossip;
      relays_[ping.sequence] = Relay{datagram.reply_to, datagram.sequence, now};
      out->push_back({datagram.subject.gossip, std::move(ping)});
      break;
    }
    case DatagramType::kDigest:
      AnswerDigest(now, datagram, out);
      break;
    case DatagramType::kUpdates:
    case DatagramType::kVersionReport:
      break;
  }
}

void Membership::OnLinkLost(TimeMs, const std::string& link_address) {
  const MemberRecord* member = FindByLink(link_address);
  if (member != nullptr && urgent_probes_.size() < alive_.size())
    urgent_probes_.push_back(member->id);
}

void Membership::Tick(TimeMs now, std::vector<DatagramOut>* out) {
  bool paused = DetectOwnPause(now);
  CheckSuspicions(now);

  // Indirect probes are sent after the time-out of the direct ack; the result
  // is evaluated at the end of the probe period.
  int64_t factor = 1 + awareness_;
  if (probe_ && !probe_->acked && !probe_->indirect_sent &&
      now - probe_->sent >= settings_.probe_timeout_ms * factor) {
    SendIndirect(now, out);
  }
  bool urgent = !urgent_probes_.empty() && (!probe_ || probe_->acked);
  if (now >= next_probe_ || (urgent && !paused)) {
    FinishProbe(now);
    StartProbe(now, out);
    next_probe_ = now + settings_.probe_period_ms * factor;
  }

  if (now >= next_gossip_) {
    SendUpdates(now, out);
    next_gossip_ = now + settings_.gossip_period_ms;
  }
  if (now >= next_digest_) SendDigest(now, out);
  for (const std::string& address : unknown_addresses_)
    SendDigestTo(address, out);
  unknown_addresses_.clear();
  if (now >= next_reconnect_) {
    PingUnreachable(out);
    next_reconnect_ = now + settings_.reconnect_period_ms;
  }
  if (now >= next_forget_) {
    ForgetOld(now);
    next_forget_ = now + kForgetPeriodMs;
  }
}

/// After a pause of this process, missing acks may be its own fault: drops the
/// current probe, restarts suspicion timers and raises the health factor.
bool Membership::DetectOwnPause(TimeMs now) {
  int64_t gap_ms = now - last_tick_;
  last_tick_ = now;
  if (gap_ms < settings_.pause_threshold_ms) return false;
  counters_.Add("membership_own_pauses_total");
  SetAwareness(awareness_ + 2);
  probe_.reset();
  next_probe_ = now + settings_.probe_period_ms;
  for (auto& [id, suspicion] : suspicions_) suspicion.since = now;
  return true;
}

const MemberRecord* Membership::Find(MemberId id) const {
  if (id == self_.id) return &self_;
  auto it = others_.find(id);
  return it == others_.end() ? nullptr : &it->second;
}

const MemberRecord* Membership::FindByLink(
    const std::string& link_address) const {
  auto it = by_link_.find(link_address);
  if (it == by_link_.end()) return nullptr;
  const MemberRecord* member = Find(it->second);
  return member != nullptr && IsAlive(*member) ? member : nullptr;
}

TimeMs Membership::StateSince(MemberId id) const {
  auto it = state_since_.find(id);
  return it == state_since_.end() ? TimeMs() : it->second;
}

const std::vector<MemberId>& Membership::AliveInZone(
    const std::string& zone) const {
  auto [it, fresh] = alive_lists_.emplace(zone, std::vector<MemberId>());
  if (!fresh) return it->second;
  for (MemberId id : alive_) {
    if (zone.empty() || others_.at(id).zone == zone) it->second.push_back(id);
  }
  return it->second;
}

void Membership::InvalidateLists() {
  alive_lists_.clear();
  first_of_zone_.clear();
}

std::vector<const MemberRecord*> Membership::RandomAlive(
    size_t count, const std::string& only_zone) {
  const std::vector<MemberId>& pool = AliveInZone(only_zone);
  std::vector<const MemberRecord*> out;
  if (pool.size() <= count) {
    for (MemberId id : pool) out.push_back(&others_.at(id));
    return out;
  }
  while (out.size() < count) {
    const MemberRecord* record = &others_.at(pool[random_.Below(pool.size())]);
    bool taken = std::find(out.begin(), out.end(), record) != out.end();
    if (!taken) out.push_back(record);
  }
  return out;
}

std::vector<MemberId> Membership::FirstOfZone(const std::string& zone,
                                              size_t count) const {
  auto [it, fresh] = first_of_zone_.emplace(zone, std::vector<MemberId>());
  if (fresh) it->second = RankZone(zone);
  size_t wanted = std::min(count, it->second.size());
  return std::vector<MemberId>(
      it->second.begin(), it->second.begin() + static_cast<int64_t>(wanted));
}

/// The first live members of a zone in the order of rendezvous hashing.
std::vector<MemberId> Membership::RankZone(const std::string& zone) const {
  std::vector<std::pair<uint64_t, MemberId>> order;
  auto add_if_eligible = [&](const MemberRecord& record) {
    bool eligible = record.zone == zone &&
                    record.health == MemberHealth::kAlive &&
                    record.state != MemberState::kGone &&
                    record.state != MemberState::kDraining;
    if (eligible) order.emplace_back(FastHash(zone, record.id), record.id);
  };
  add_if_eligible(self_);
  for (MemberId id : AliveInZone(zone)) add_if_eligible(others_.at(id));
  size_t wanted = std::min(kRankedPerZone, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<int64_t>(wanted),
                    order.end());
  std::vector<MemberId> out;
  for (size_t i = 0; i < wanted; ++i) out.push_back(order[i].second);
  return out;
}

void Membership::QueueCrashSuspicions(
    const std::vector<CrashSuspicion>& suspicions) {
  // The newest are sent first. If there are too many, digests bring the rest.
  for (const CrashSuspicion& suspicion : suspicions)
    pending_crash_suspicions_.emplace_front(suspicion, 0);
  if (pending_crash_suspicions_.size() > kMaxPendingCrashSuspicions)
    pending_crash_suspicions_.resize(kMaxPendingCrashSuspicions);
}

void Membership::Apply(TimeMs now, const MemberRecord& update) {
  if (update.id == self_.id) return Refute(now, update);
  if (update.id == 0) return;
  if (update.gossip == self_.gossip && update.state != MemberState::kGone)
    return RetirePredecessor(now, update);
  auto known = others_.find(update.id);
  if (known != others_.end() && !Supersedes(update, known->second)) {
    const MemberRecord& old = known->second;
    bool confirms = update.health == MemberHealth::kSuspect &&
                    old.health == MemberHealth::kSuspect &&
                    update.incarnation == old.incarnation;
    if (confirms) AddReporter(update);
    // The sender has an outdated record: disseminates the newer one again.
    if (Supersedes(old, update) && pending_updates_.count(update.id) == 0)
      pending_updates_[update.id] = PendingUpdate{old, MaxTransmissions() - 2};
    return;
  }
  // A member that left before it was known here is not recorded.
  bool never_known =
      known == others_.end() && update.state == MemberState::kGone;
  if (never_known) return;
  Store(now, update);
  if (update.health == MemberHealth::kSuspect) {
    suspicions_[update.id] = Suspicion{now, {update.suspected_by}};
  }
  QueueUpdate(update);
}

/// Stores a record that supersedes the known one.
void Membership::Store(TimeMs now, const MemberRecord& record) {
  auto known = others_.find(record.id);
  bool state_changed = known == others_.end() ||
                       known->second.state != record.state ||
                       (known->second.health == MemberHealth::kUnreachable) !=
                           (record.health == MemberHealth::kUnreachable);
  if (known == others_.end()) newest_member_ = now;
  InvalidateLists();
  others_[record.id] = record;
  // States learned while joining are assumed to be old.
  if (state_changed)
    state_since_[record.id] = joined_ ? now : now - kAssumedAgeMs;
  if (record.health != MemberHealth::kSuspect) suspicions_.erase(record.id);
  if (IsAlive(record)) {
    alive_.insert(record.id);
    by_link_[record.link] = record.id;
  } else {
    alive_.erase(record.id);
    auto link = by_link_.find(record.link);
    if (link != by_link_.end() && link->second == record.id)
      by_link_.erase(link);
  }
  if (record.health == MemberHealth::kUnreachable)
    counters_.Add("membership_unreachable_total");
  if (listener_ != nullptr) listener_->OnMemberChanged(now, record);
}

/// Refutes a false record of this process with a higher incarnation.
void Membership::Refute(TimeMs now, const MemberRecord& claim) {
  bool wrong =
      claim.health != MemberHealth::kAlive ||
      claim.incarnation > self_.incarnation ||
      (claim.state == MemberState::kGone && self_.state != MemberState::kGone);
  if (!wrong || claim.incarnation < self_.incarnation) return;
  self_.incarnation = claim.incarnation + 1;
  counters_.Add("membership_refutations_total");
  SetAwareness(awareness_ + 1);
  QueueUpdate(self_);
  next_gossip_ = now;
}

/// Marks an earlier process at this process's gossip address as gone.
void Membership::RetirePredecessor(TimeMs now, MemberRecord predecessor) {
  predecessor.state = MemberState::kGone;
  auto known = others_.find(predecessor.id);
  if (known == others_.end() || known->second.state != MemberState::kGone)
    Store(now, predecessor);
  QueueUpdate(predecessor);
}

void Membership::QueueUpdate(const MemberRecord& record) {
  pending_updates_[record.id] = PendingUpdate{record, 0};
}

/// Adds an independent reporter to a suspicion and disseminates the report, up
/// to the number that shortens the time-out.
void Membership::AddReporter(const MemberRecord& update) {
  std::set<MemberId>& reporters = suspicions_[update.id].reporters;
  bool enough =
      reporters.size() >= static_cast<size_t>(settings_.reporters_for_min);
  if (!enough && reporters.insert(update.suspected_by).second)
    QueueUpdate(update);
}

void Membership::Suspect(TimeMs now, MemberId target, MemberId suspected_by) {
  auto it = others_.find(target);
  if (it == others_.end() || it->second.health == MemberHealth::kUnreachable)
    return;
  MemberRecord record = it->second;
  record.suspected_by = suspected_by;
  if (record.health == MemberHealth::kSuspect) return AddReporter(record);
  record.health = MemberHealth::kSuspect;
  Store(now, record);
  suspicions_[target] = Suspicion{now, {suspected_by}};
  counters_.Add("membership_suspicions_total");
  QueueUpdate(record);
}

void Membership::CheckSuspicions(TimeMs now) {
  std::vector<MemberId> expired;
  for (const auto& [id, suspicion] : suspicions_) {
    if (now - suspicion.since >= SuspicionMs(suspicion)) expired.push_back(id);
  }
  std::sort(expired.begin(), expired.end());
  for (MemberId id : expired) {
    MemberRecord record = others_.at(id);
    record.health = MemberHealth::kUnreachable;
    Store(now, record);
    QueueUpdate(record);
  }
}

/// Suspicion time-out: decreases with the number of reporters and increases
/// with the local health factor.
int64_t Membership::SuspicionMs(const Suspicion& suspicion) const {
  int extra = static_cast<int>(suspicion.reporters.size()) - 1;
  int steps = std::clamp(extra, 0, settings_.reporters_for_min - 1);
  int64_t range = settings_.suspicion_max_ms - settings_.suspicion_min_ms;
  int64_t base = settings_.suspicion_max_ms -
                 range * steps / (settings_.reporters_for_min - 1);
  return base +
         base * std::min(awareness_, kSuspicionAwareness) / kSuspicionAwareness;
}

void Membership::FinishProbe(TimeMs now) {
  if (!probe_) return;
  if (probe_->acked) {
    SetAwareness(awareness_ - 1);
  } else {
    // A nack from a helper shows that this process itself is not cut off.
    if (probe_->nacks == 0) SetAwareness(awareness_ + 1);
    Suspect(now, probe_->target, self_.id);
  }
  probe_.reset();
}

void Membership::StartProbe(TimeMs now, std::vector<DatagramOut>* out) {
  MemberId target = NextProbeTarget();
  if (target == 0) return;
  probe_ = Probe{target, now, false, false};
  sequence_ = random_.Bits() >> 1;
  const MemberRecord& record = others_.at(target);
  Datagram ping = Make(DatagramType::kPing);
  ping.sequence = sequence_;
  ping.subject = record;
  ping.reply_to = self_.gossip;
  AttachUpdates(&ping);
  out->push_back({record.gossip, std::move(ping)});
}

void Membership::SendIndirect(TimeMs, std::vector<DatagramOut>* out) {
  probe_->indirect_sent = true;
  const MemberRecord& target = others_.at(probe_->target);
  for (const MemberRecord* helper : SelectHelpers(target.id)) {
    Datagram request = Make(DatagramType::kPingRequest);
    request.sequence = sequence_;
    request.subject = target;
    request.reply_to = self_.gossip;
    out->push_back({helper->gossip, std::move(request)});
  }
}

/// Members asked to probe the target: some of the own zone, which are more
/// likely to be reachable, the rest from all zones.
std::vector<const MemberRecord*> Membership::SelectHelpers(MemberId target) {
  size_t wanted = static_cast<size_t>(settings_.indirect_probes);
  std::vector<const MemberRecord*> helpers =
      RandomAlive(std::min(kNearHelpers, wanted), self_.zone);
  for (const MemberRecord* more : RandomAlive(wanted)) {
    bool known =
        std::find(helpers.begin(), helpers.end(), more) != helpers.end();
    if (!known && helpers.size() < wanted) helpers.push_back(more);
  }
  helpers.erase(std::remove_if(helpers.begin(), helpers.end(),
                               [&](const MemberRecord* helper) {
                                 return helper->id == target;
                               }),
                helpers.end());
  return helpers;
}

/// Urgent probes first; otherwise every live member once per round, in an order
/// shuffled for each round.
MemberId Membership::NextProbeTarget() {
  while (!urgent_probes_.empty()) {
    MemberId id = urgent_probes_.front();
    urgent_probes_.pop_front();
    if (alive_.count(id) != 0) return id;
  }
  while (true) {
    if (probe_order_.empty()) {
      probe_order_.assign(alive_.begin(), alive_.end());
      for (size_t i = probe_order_.size(); i > 1; --i) {
        std::swap(probe_order_[i - 1], probe_order_[random_.Below(i)]);
      }
    }
    if (probe_order_.empty()) return 0;
    MemberId id = probe_order_.back();
    probe_order_.pop_back();
    if (alive_.count(id) != 0) return id;
  }
}

void Membership::SendUpdates(TimeMs, std::vector<DatagramOut>* out) {
  if (pending_updates_.empty() && pending_crash_suspicions_.empty()) return;
  for (const MemberRecord* peer : GossipPeers()) {
    Datagram datagram = Make(DatagramType::kUpdates);
    AttachUpdates(&datagram);
    const char* zone = peer->zone == self_.zone ? "same" : "other";
    counters_.Add("membership_records_sent_total", zone,
                  datagram.members.size());
    out->push_back({peer->gossip, std::move(datagram)});
  }
}

/// Most gossip stays in the zone: an update has to cross to another zone only a
/// few times, and spreads there by itself.
std::vector<const MemberRecord*> Membership::GossipPeers() {
  std::vector<const MemberRecord*> peers = RandomAlive(
      static_cast<size_t>(settings_.gossip_fanout_same_zone), self_.zone);
  for (const MemberRecord* peer :
       RandomAlive(static_cast<size_t>(settings_.gossip_fanout_any_zone))) {
    bool selected = std::find(peers.begin(), peers.end(), peer) != peers.end();
    if (!selected) peers.push_back(peer);
  }
  return peers;
}

/// Sends a digest to one member: often until digests match, rarely afterwards.
void Membership::SendDigest(TimeMs now, std::vector<DatagramOut>* out) {
  int64_t period_ms = last_digest_matched_ ? settings_.digest_period_ms
                                           : settings_.join_period_ms;
  uint64_t jitter = random_.Below(static_cast<uint64_t>(period_ms) / 2 + 1);
  next_digest_ = now + period_ms * 3 / 4 + static_cast<int64_t>(jitter);

  std::string to;
  std::vector<const MemberRecord*> peers = RandomAlive(1);
  if (!peers.empty()) to = peers[0]->gossip;
  bool use_seed = !seeds_.empty() && (to.empty() || random_.Below(8) == 0);
  if (use_seed) to = seeds_[random_.Below(seeds_.size())];
  if (!to.empty()) SendDigestTo(to, out);
}

void Membership::SendDigestTo(const std::string& to,
                              std::vector<DatagramOut>* out) {
  Datagram datagram = MakeDigest();
  datagram.wants_reply = true;
  datagram.members.push_back(self_);
  out->push_back({to, std::move(datagram)});
}

Datagram Membership::MakeDigest() {
  Datagram datagram = Make(DatagramType::kDigest);
  datagram.digest = Digest();
  datagram.reply_to = self_.gossip;
  if (crash_guard_ != nullptr)
    datagram.suspicion_digest = crash_guard_->Digest();
  return datagram;
}

/// Replies with what differs: a member that started, or was cut off, after
/// updates had been gossiped learns of them only in this way.
void Membership::AnswerDigest(TimeMs now, const Datagram& datagram,
                              std::vector<DatagramOut>* out) {
  if (datagram.digest.size() != kDigestBuckets) return;
  bool members_match = SendDifferingMembers(datagram, out);
  bool suspicions_match = SendDifferingSuspicions(now, datagram, out);
  joined_ = joined_ || members_match;
  last_digest_matched_ = members_match && suspicions_match;
  if (last_digest_matched_) return;
  next_digest_ = EarlierOf(next_digest_, now + settings_.join_period_ms);
  if (datagram.wants_reply) out->push_back({datagram.reply_to, MakeDigest()});
}

/// First datagram and number of datagrams of a reply: if the reply exceeds the
/// limit, a random contiguous part is sent.
std::pair<size_t, size_t> Membership::SelectReplies(size_t datagrams) {
  if (datagrams <= settings_.digest_reply_datagrams) return {0, datagrams};
  return {random_.Below(datagrams), settings_.digest_reply_datagrams};
}

/// Sends the records of the buckets that differ; true if none do.
bool Membership::SendDifferingMembers(const Datagram& digest,
                                      std::vector<DatagramOut>* out) {
  std::vector<uint64_t> own = Digest();
  std::set<size_t> differing;
  for (size_t i = 0; i < kDigestBuckets; ++i) {
    if (own[i] != digest.digest[i]) differing.insert(i);
  }
  if (differing.empty()) return true;

  std::vector<const MemberRecord*> records;
  records.push_back(&self_);
  for (const auto& [id, record] : others_) {
    if (differing.count(BucketOf(id)) != 0) records.push_back(&record);
  }
  size_t datagrams = (records.size() + settings_.updates_per_datagram - 1) /
                     settings_.updates_per_datagram;
  auto [start, count] = SelectReplies(datagrams);
  for (size_t i = 0; i < count; ++i) {
    size_t first = ((start + i) % datagrams) * settings_.updates_per_datagram;
    size_t end =
        std::min(first + settings_.updates_per_datagram, records.size());
    Datagram update = Make(DatagramType::kUpdates);
    for (size_t k = first; k < end; ++k) update.members.push_back(*records[k]);
    out->push_back({digest.reply_to, std::move(update)});
  }
  return false;
}

/// Sends the crash suspicions of the buckets that differ; true if none do.
bool Membership::SendDifferingSuspicions(TimeMs now, const Datagram& digest,
                                         std::vector<DatagramOut>* out) {
  if (crash_guard_ == nullptr ||
      digest.suspicion_digest == crash_guard_->Digest())
    return true;
  std::vector<CrashSuspicion> differing =
      crash_guard_->DifferingFrom(now, digest.suspicion_digest);
  size_t datagrams = (differing.size() + kCrashSuspicionsPerReply - 1) /
                     kCrashSuspicionsPerReply;
  auto [start, count] = SelectReplies(datagrams);
  for (size_t i = 0; i < count; ++i) {
    size_t first = ((start + i) % datagrams) * kCrashSuspicionsPerReply;
    size_t end = std::min(first + kCrashSuspicionsPerReply, differing.size());
    Datagram update = Make(DatagramType::kUpdates);
    for (size_t k = first; k < end; ++k)
      update.crash_suspicions.push_back(differing[k]);
    out->push_back({digest.reply_to, std::move(update)});
  }
  return false;
}

/// Pings a random unreachable member and includes its record, so that the
/// member can refute the record and a healed partition merges with its answer.
void Membership::PingUnreachable(std::vector<DatagramOut>* out) {
  std::vector<const MemberRecord*> unreachable_records;
  for (const auto& [id, record] : others_) {
    bool unreachable = record.health == MemberHealth::kUnreachable;
    if (unreachable && record.state != MemberState::kGone)
      unreachable_records.push_back(&record);
  }
  if (unreachable_records.empty()) return;
  const MemberRecord& record =
      *unreachable_records[random_.Below(unreachable_records.size())];
  Datagram ping = Make(DatagramType::kPing);
  ping.sequence = random_.Bits() >> 1;
  ping.subject = record;
  ping.reply_to = self_.gossip;
  out->push_back({record.gossip, std::move(ping)});
}

void Membership::ForgetOld(TimeMs now) {
  for (auto it = others_.begin(); it != others_.end();) {
    const MemberRecord& record = it->second;
    int64_t age_ms = now - StateSince(record.id);
    bool gone = record.state == MemberState::kGone &&
                age_ms > settings_.gone_retention_ms;
    bool lost = record.health == MemberHealth::kUnreachable &&
                age_ms > settings_.unreachable_retention_ms;
    if (!gone && !lost) {
      ++it;
      continue;
    }
    state_since_.erase(record.id);
    it = others_.erase(it);
  }
  for (auto it = relays_.begin(); it != relays_.end();) {
    it = now - it->second.since > kRelayLifeMs ? relays_.erase(it)
                                               : std::next(it);
  }
}

Datagram Membership::Make(DatagramType type) {
  Datagram datagram;
  datagram.type = type;
  datagram.from = self_.id;
  datagram.from_link = self_.link;
  datagram.zone = self_.zone;
  return datagram;
}

/// Piggybacks the updates that were sent the fewest times.
void Membership::AttachUpdates(Datagram* datagram) {
  std::vector<std::pair<int, MemberId>> order;
  for (const auto& [id, update] : pending_updates_)
    order.emplace_back(update.sent, id);
  size_t count = std::min(order.size(), settings_.updates_per_datagram);
  std::partial_sort(order.begin(), order.begin() + static_cast<int64_t>(count),
                    order.end());
  for (size_t i = 0; i < count; ++i) {
    auto it = pending_updates_.find(order[i].second);
    datagram->members.push_back(it->second.record);
    if (++it->second.sent >= MaxTransmissions()) pending_updates_.erase(it);
  }
  size_t suspicion_count =
      std::min(pending_crash_suspicions_.size(), kCrashSuspicionsPerDatagram);
  for (size_t i = 0; i < suspicion_count; ++i) {
    auto [suspicion, sent] = pending_crash_suspicions_.front();
    pending_crash_suspicions_.pop_front();
    datagram->crash_suspicions.push_back(suspicion);
    if (sent + 1 < kCrashSuspicionTransmissions)
      pending_crash_suspicions_.emplace_back(suspicion, sent + 1);
  }
}

/// Enough for an update to reach nearly every member by random gossip; digests
/// bring it to the others.
int Membership::MaxTransmissions() const {
  constexpr int kExtraTransmissions = 3;
  return kExtraTransmissions + static_cast<int>(std::ceil(std::log2(
                                   static_cast<double>(AliveCount() + 1))));
}

void Membership::SetAwareness(int value) {
  awareness_ = std::clamp(value, 0, settings_.max_awareness);
}

uint64_t Membership::RecordHash(const MemberRecord& record) {
  bool unreachable = record.health == MemberHealth::kUnreachable;
  uint64_t fields = (static_cast<uint64_t>(record.incarnation) << 8) |
                    (static_cast<uint64_t>(record.state) << 1) |
                    (unreachable ? 1 : 0);
  std::string_view bytes(reinterpret_cast<const char*>(&fields),
                         sizeof(fields));
  return FastHash(bytes, record.id);
}

/// One hash per bucket over all members that have not left.
std::vector<uint64_t> Membership::Digest() const {
  std::vector<uint64_t> buckets(kDigestBuckets, 0);
  buckets[BucketOf(self_.id)] ^= RecordHash(self_);
  for (const auto& [id, record] : others_) {
    if (record.state == MemberState::kGone) continue;
    buckets[BucketOf(id)] ^= RecordHash(record);
  }
  return buckets;
}

uint64_t Membership::StateHash() const {
  std::vector<uint64_t> digest = Digest();
  std::string_view bytes(reinterpret_cast<const char*>(digest.data()),
                         digest.size() * sizeof(uint64_t));
  return FastHash(bytes, pending_updates_.size());
}

}  // namespace banyanloft
