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

/// Settings of membership.
struct MembershipSettings {
  int64_t probe_period_ms = 1000;   ///< One member is probed per period, in ms.
  int64_t probe_timeout_ms = 300;   ///< Wait for a direct ack, in ms.
  int indirect_probes = 3;          ///< Members asked to probe in one's stead.
  int64_t suspicion_min_ms = 1500;  ///< Suspicion with many reporters, in ms.
  int64_t suspicion_max_ms = 5000;  ///< Suspicion with one suspected_by, in ms.
  int reporters_for_min = 3;       ///< Accusers at which suspicion is shortest.
  int64_t gossip_period_ms = 200;  ///< Waiting news is sent this often, in ms.
  int gossip_fanout = 2;           ///< Members that each round of news goes to.
  size_t updates_per_datagram = 8;   ///< Most member records in one datagram.
  int64_t digest_period_ms = 10000;  ///< Tables are compared this often, in ms.
  int64_t join_period_ms = 250;      ///< The same while joining, in ms.
  size_t digest_reply_datagrams =
      40;  ///< Most datagrams that answer one digest.
  int64_t reconnect_period_ms =
      2000;  ///< An unreachable member is pinged this often, in ms.
  int64_t unreachable_retention_ms =
      7200000;  ///< Unreachable members are kept this long, in ms.
  int64_t gone_retention_ms =
      14400000;  ///< Members that left are remembered this long, in ms.
  int64_t pause_threshold_ms =
      1000;  ///< A gap between ticks that counts as own pause, in ms.
  int64_t quiet_period_ms =
      1500;  ///< Time without a new member that makes a view usable, in ms.
  /// This long after its start a daemon's view is usable in any case, in ms:
  /// the time without news, and one second in which a fleet that starts
  /// together has met. Where members join all the time it is never quiet.
  int64_t settle_timeout_ms = 2500;
  int max_awareness = 8;  ///< Highest local health factor.
};

/// Hears of changes in the table of members. Called on the machine's thread.
class MembershipListener {
 public:
  virtual ~MembershipListener() = default;
  /// A member appeared or its record changed.
  virtual void OnMemberChanged(TimeMs now, const MemberRecord& member) = 0;
};

/// Who is in the fleet: SWIM with suspicion, a local health factor, and
/// comparison of tables. Members announce themselves; unreachable ones are
/// kept apart and revisited. Deterministic; not thread safe; free of I/O.
class Membership {
 public:
  /// Number of buckets in a digest of the table.
  static constexpr size_t kDigestBuckets = 64;

  /// `self` describes this process; `listener` may be null.
  Membership(const MembershipSettings& settings, MemberRecord self,
             uint64_t seed, TimeMs now, MembershipListener* listener);

  /// Addresses to join through, from settings or the platform.
  void AddSeeds(const std::vector<std::string>& gossip_addresses);
  /// Addresses read from the platform: whoever is not yet known there is met
  /// at once, so that islands of members find each other.
  void ContactUnknown(const std::vector<std::string>& gossip_addresses);
  /// Changes what this process says of itself.
  void Announce(TimeMs now, MemberState state, const std::string& service,
                int slots);
  /// Handles a datagram; appends answers to `out`.
  void OnDatagram(TimeMs now, const Datagram& datagram,
                  std::vector<DatagramOut>* out);
  /// A link to the member broke: it is probed at once.
  void OnLinkLost(TimeMs now, const std::string& link_address);
  /// Periodic duties; to be called every 50 ms or so.
  void Tick(TimeMs now, std::vector<DatagramOut>* out);

  const MemberRecord& Self() const { return self_; }
  /// The member of an id, itself included; nullptr if unknown.
  const MemberRecord* Find(MemberId id) const;
  /// The usable member behind a link address; nullptr if there is none.
  const MemberRecord* FindByLink(const std::string& link_address) const;
  /// All members but itself.
  const std::map<MemberId, MemberRecord>& Others() const { return others_; }
  /// When a member was first seen in its present state.
  TimeMs StateSince(MemberId id) const;
  /// Members, itself included, that are neither gone nor unreachable.
  size_t AliveCount() const { return alive_.size() + 1; }
  /// Up to `count` distinct random members that are alive.
  std::vector<const MemberRecord*> RandomAlive(
      size_t count, const std::string& only_zone = "");
  /// Ids of the first `count` live members of a zone in rendezvous order.
  std::vector<MemberId> FirstOfZone(const std::string& zone,
                                    size_t count) const;
  /// Strikes to be spread with the next news.
  void QueueStrikes(const std::vector<CrashSuspicion>& strikes);
  /// True once no new member has been heard of for a while, or this daemon has
  /// run for long: the view is good enough to choose members by.
  bool IsStable(TimeMs now) const {
    return now - newest_member_ >= settings_.quiet_period_ms ||
           now - start_ >= settings_.settle_timeout_ms;
  }
  /// Local health factor: 0 is healthy.
  int Awareness() const { return awareness_; }
  const Counters& Counts() const { return counters_; }
  /// Hash over the whole table, for tests of determinism.
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
  void SendUpdates(TimeMs now, std::vector<DatagramOut>* out);
  void SendDigest(TimeMs now, std::vector<DatagramOut>* out);
  void SendDigestTo(const std::string& to, std::vector<DatagramOut>* out);
  void AnswerDigest(TimeMs now, const Datagram& datagram,
                    std::vector<DatagramOut>* out);
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
  /// Live members by zone (empty: all), made anew after a change.
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
  std::deque<std::pair<CrashSuspicion, int>> pending_strikes_;
  std::vector<std::string> seeds_;
  std::vector<std::string> unknown_addresses_;
  bool joined_ = false;  ///< Some comparison of tables found no difference.
  bool last_digest_matched_ = false;  ///< The last one did.
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
