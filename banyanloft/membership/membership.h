#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "banyanloft/core/counters.h"
#include "banyanloft/core/random.h"
#include "banyanloft/membership/member.h"

namespace banyanloft {

struct MembershipSettings {
  int64_t probe_period_ms = 1000;   ///< One member is probed per period, in ms.
  int64_t probe_timeout_ms = 300;   ///< Time-out of a direct ack, in ms.
  int indirect_probes = 3;          ///< Members asked to probe indirectly.
  int64_t suspicion_min_ms = 1500;  ///< Shortest suspicion time-out, in ms.
  int64_t suspicion_max_ms =
      5000;                   ///< Suspicion time-out with one reporter, in ms.
  int reporters_for_min = 3;  ///< Reporters that give the shortest time-out.
  int64_t gossip_period_ms = 200;  ///< Interval of gossip rounds, in ms.
  /// Random members of the own zone that a gossip round is sent to.
  int gossip_fanout_same_zone = 1;
  int gossip_fanout_any_zone = 1;    ///< The same, of all zones.
  size_t updates_per_datagram = 8;   ///< Maximum records per datagram.
  int64_t digest_period_ms = 10000;  ///< Interval of digest exchanges, in ms.
  int64_t join_period_ms = 250;      ///< Interval until digests match, in ms.
  size_t digest_reply_datagrams =
      40;  ///< Maximum datagrams sent in reply to one digest.
  int64_t reconnect_period_ms =
      2000;  ///< Interval of pings to unreachable members, in ms.
  int64_t unreachable_retention_ms =
      7200000;  ///< Retention of unreachable members, in ms.
  int64_t gone_retention_ms =
      14400000;  ///< Retention of members that have left, in ms.
  int64_t pause_threshold_ms = 1000;  ///< Gap between ticks treated as a pause
                                      ///< of this process, in ms.
  int64_t quiet_period_ms = 1500;     ///< Time without a new member after which
                                      ///< the view is stable, in ms.
  /// Time after the start at which the view counts as stable in any case, in
  /// ms; needed where members join all the time. It is quiet_period_ms plus
  /// one second, within which a fleet that starts together discovers itself.
  int64_t settle_timeout_ms = 2500;
  int max_awareness = 8;  ///< Highest local health factor.
};

/// Observer of the member table. Called on the thread that calls Membership.
class MembershipListener {
 public:
  virtual ~MembershipListener() = default;
  /// A member was added or its record changed.
  virtual void OnMemberChanged(TimeMs now, const MemberRecord& member) = 0;
};

/// Group membership and failure detection: SWIM with suspicion, a local health
/// factor (as in Lifeguard) and anti-entropy by digests. Unreachable members
/// are retained and pinged, so that partitions merge again. Deterministic; not
/// thread-safe; performs no I/O.
class Membership {
 public:
  /// Number of hash buckets in a digest of the member table.
  static constexpr size_t kDigestBuckets = 64;

  /// `self` is the record of this process; `listener` may be null.
  Membership(const MembershipSettings& settings, MemberRecord self,
             uint64_t seed, TimeMs now, MembershipListener* listener);

  /// Compares the crash suspicions with those of other members whenever member
  /// tables are compared, and sends the differing ones. `guard` must outlive
  /// this object.
  void ReplicateSuspicions(const CrashGuard* guard) { crash_guard_ = guard; }
  /// Adds gossip addresses of members to join through.
  void AddSeeds(const std::vector<std::string>& gossip_addresses);
  /// Sends a digest to each address that belongs to no known live member, so
  /// that separate partitions discover each other.
  void ContactUnknown(const std::vector<std::string>& gossip_addresses);
  /// Changes the record of this process and disseminates it.
  void Announce(TimeMs now, MemberState state, const std::string& service,
                int slots, const std::string& version = "");
  /// Handles a datagram; appends replies to `out`.
  void OnDatagram(TimeMs now, const Datagram& datagram,
                  std::vector<DatagramOut>* out);
  /// The link to a member broke: the member is probed at the next tick.
  void OnLinkLost(TimeMs now, const std::string& link_address);
  /// Runs periodic work; to be called about every 50 ms.
  void Tick(TimeMs now, std::vector<DatagramOut>* out);

  const MemberRecord& Self() const { return self_; }
  /// The record of a member, this process included; nullptr if unknown.
  const MemberRecord* Find(MemberId id) const;
  /// The live member at a link address; nullptr if there is none.
  const MemberRecord* FindByLink(const std::string& link_address) const;
  /// All known members except this process.
  const std::map<MemberId, MemberRecord>& Others() const { return others_; }
  /// Time at which a member entered its present state.
  TimeMs StateSince(MemberId id) const;
  /// Number of members, this process included, that are neither gone nor
  /// unreachable.
  size_t AliveCount() const { return alive_.size() + 1; }
  /// Up to `count` distinct random live members, of one zone if given.
  std::vector<const MemberRecord*> RandomAlive(
      size_t count, const std::string& only_zone = "");
  /// Ids of the first `count` live members of a zone in the order of rendezvous
  /// hashing.
  std::vector<MemberId> FirstOfZone(const std::string& zone,
                                    size_t count) const;
  /// Queues crash suspicions to be piggybacked on the next datagrams.
  void QueueCrashSuspicions(const std::vector<CrashSuspicion>& suspicions);
  /// True if no new member was added for quiet_period_ms or this process has
  /// run for settle_timeout_ms: the view is complete enough to select members.
  bool IsStable(TimeMs now) const {
    return now - newest_member_ >= settings_.quiet_period_ms ||
           now - start_ >= settings_.settle_timeout_ms;
  }
  /// Local health factor; 0 is healthy.
  int Awareness() const { return awareness_; }
  const Counters& Counts() const { return counters_; }
  /// Hash of the member table, for tests of determinism.
  uint64_t StateHash() const;

 private:
  struct Probe {
    MemberId target = 0;
    TimeMs sent;
    bool indirect_sent = false;
    bool acked = false;
    int nacks = 0;
  };
  struct Suspicion {
    TimeMs since;
    std::set<MemberId> reporters;
  };
  struct PendingUpdate {
    MemberRecord record;
    int sent = 0;
  };
  struct Relay {
    std::string reply_to;
    uint64_t sequence;
    TimeMs since;
  };

  bool DetectOwnPause(TimeMs now);
  void Apply(TimeMs now, const MemberRecord& update);
  void AddReporter(const MemberRecord& update);
  void JoinThrough(const Datagram& ping);
  void Store(TimeMs now, const MemberRecord& record);
  void Refute(TimeMs now, const MemberRecord& claim);
  void RetirePredecessor(TimeMs now, MemberRecord predecessor);
  void QueueUpdate(const MemberRecord& record);
  void Suspect(TimeMs now, MemberId target, MemberId suspected_by);
  void CheckSuspicions(TimeMs now);
  int64_t SuspicionMs(const Suspicion& suspicion) const;
  std::vector<const MemberRecord*> SelectHelpers(MemberId target);
  void FinishProbe(TimeMs now);
  void StartProbe(TimeMs now, std::vector<DatagramOut>* out);
  void SendIndirect(TimeMs now, std::vector<DatagramOut>* out);
  MemberId NextProbeTarget();
  std::vector<const MemberRecord*> GossipPeers();
  void SendUpdates(TimeMs now, std::vector<DatagramOut>* out);
  void SendDigest(TimeMs now, std::vector<DatagramOut>* out);
  void SendDigestTo(const std::string& to, std::vector<DatagramOut>* out);
  Datagram MakeDigest();
  void AnswerDigest(TimeMs now, const Datagram& datagram,
                    std::vector<DatagramOut>* out);
  bool SendDifferingMembers(const Datagram& digest,
                            std::vector<DatagramOut>* out);
  bool SendDifferingSuspicions(TimeMs now, const Datagram& digest,
                               std::vector<DatagramOut>* out);
  std::pair<size_t, size_t> SelectReplies(size_t datagrams);
  void PingUnreachable(std::vector<DatagramOut>* out);
  void ForgetOld(TimeMs now);
  const std::vector<MemberId>& AliveInZone(const std::string& zone) const;
  void InvalidateLists();
  std::vector<MemberId> RankZone(const std::string& zone) const;
  Datagram Make(DatagramType type);
  void AttachUpdates(Datagram* datagram);
  int MaxTransmissions() const;
  void SetAwareness(int value);
  std::vector<uint64_t> Digest() const;
  static uint64_t RecordHash(const MemberRecord& record);
  static size_t BucketOf(MemberId id) { return (id >> 7) % kDigestBuckets; }

  MembershipSettings settings_;
  MemberRecord self_;
  Random random_;
  MembershipListener* listener_;
  std::map<MemberId, MemberRecord> others_;
  std::unordered_map<MemberId, TimeMs> state_since_;
  std::set<MemberId> alive_;
  /// Cache of live members by zone (empty: all); cleared on every change.
  mutable std::unordered_map<std::string, std::vector<MemberId>> alive_lists_;
  mutable std::unordered_map<std::string, std::vector<MemberId>> first_of_zone_;
  std::unordered_map<std::string, MemberId> by_link_;
  std::unordered_map<MemberId, Suspicion> suspicions_;
  std::vector<MemberId> probe_order_;
  std::deque<MemberId> urgent_probes_;
  std::optional<Probe> probe_;
  uint64_t sequence_ = 0;
  std::unordered_map<uint64_t, Relay> relays_;
  std::map<MemberId, PendingUpdate> pending_updates_;
  std::deque<std::pair<CrashSuspicion, int>> pending_crash_suspicions_;
  const CrashGuard* crash_guard_ = nullptr;
  std::vector<std::string> seeds_;
  std::vector<std::string> unknown_addresses_;
  bool joined_ = false;               ///< A digest has matched since the start.
  bool last_digest_matched_ = false;  ///< The most recent digest matched.
  int awareness_ = 0;
  TimeMs start_;
  TimeMs newest_member_;
  TimeMs last_tick_;
  TimeMs next_probe_;
  TimeMs next_gossip_;
  TimeMs next_digest_;
  TimeMs next_reconnect_;
  TimeMs next_forget_;
  Counters counters_;
};

}  // namespace banyanloft
