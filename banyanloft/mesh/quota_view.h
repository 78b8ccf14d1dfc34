#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "banyanloft/core/time.h"
#include "banyanloft/run_once/key.h"

namespace banyanloft {

/// A member as seen by this daemon's failure detection.
struct QuotaMember {
  MemberId id = 0;
  bool reachable = true;  ///< Neither gone nor unreachable; suspects are.
  bool suspect = false;
  bool draining = false;
  bool gone = false;  ///< It left, or another process replaced it.
};

/// Times of QuotaView, in ms.
struct QuotaViewSettings {
  /// A member may be home this long after it was first seen here. Gossip of a
  /// new member reaches all others in about a second, so that the former home
  /// hands over before most daemons ask the new one.
  int64_t join_ms = 2000;
  /// The same for this daemon itself, after its start: later than in the view
  /// of any other member.
  int64_t own_join_ms = 3500;
  /// Time after which the successor of an unreachable home may grant. Failure
  /// detection takes at least 2.5 s; both together exceed the time of a lease.
  /// The news of a return take about 2 s and must come before.
  int64_t unreachable_wait_ms = 3000;
  /// The same for a home that a restart replaced, which takes no time to
  /// detect: the time of a lease.
  int64_t replaced_wait_ms = 5000;
  /// A member that was unreachable counts as live again after this time: homes
  /// of both sides of a healed partition may still grant, and the partition may
  /// return before the other side has noticed its end.
  int64_t return_ms = 5000;
  /// The same for a member that was suspected for longer than this; a false
  /// suspicion is refuted within about a second.
  int64_t long_suspicion_ms = 1500;
};

/// Decides which member is the home of an account, and which share of the rate
/// it may grant. Deterministic; not thread safe.
class QuotaView {
 public:
  QuotaView(const QuotaViewSettings& settings, MemberId self, TimeMs now)
      : settings_(settings), self_(self), start_(now) {}

  /// Takes in all other members. `known_at_least`: least size of the fleet.
  void Update(TimeMs now, const std::vector<QuotaMember>& members,
              size_t known_at_least);
  /// Begins to take in members, possibly long after the start: this daemon must
  /// not be the home before the other members are eligible too.
  void Begin(TimeMs now);
  /// Stops being the home of any account, as after a start.
  void Restart(TimeMs now);
  /// Whether this daemon drains and can't be the home of any account.
  void SetDraining(TimeMs now, bool draining);

  /// The home of an account; 0 if no member is eligible.
  MemberId HomeOf(uint64_t account) const;
  /// Changes whenever the home of some account may have changed.
  uint64_t Generation() const { return generation_; }
  /// The member to ask if HomeOf gives none or `excluded`; may not be the home.
  MemberId AnyOther(uint64_t account, MemberId excluded) const;
  /// Time from which on this daemon, as home of an account, may grant tokens.
  TimeMs HomeSince(uint64_t account) const;
  /// Whether a member may receive messages.
  bool IsReachable(MemberId id) const;
  /// Members that have not left, this one included.
  size_t Known() const { return known_; }
  /// Fraction of the rate that a home on this side of a partition may grant.
  double LiveShare() const { return live_share_; }
  MemberId Self() const { return self_; }
  /// Whether this daemon has run for too short a time to be a home.
  bool IsYoung(TimeMs now) const {
    return now - start_ < settings_.own_join_ms;
  }

 private:
  struct Seen {
    TimeMs since;        ///< First seen, or seen to accept work again.
    TimeMs counts_from;  ///< Counts as live from then on.
    bool reachable = false;
    bool suspect = false;
    TimeMs suspect_since;
    bool draining = false;
    bool listed = false;  ///< Was in the last update.
    bool eligible = false;
  };
  struct Loss {
    MemberId id = 0;
    TimeMs grant_from;  ///< When its successor may grant.
  };

  static uint64_t RankOf(MemberId id, uint64_t account);
  void FindEligible(TimeMs now);
  void OnLost(TimeMs now, MemberId id, const Seen& seen, bool gone);
  void OnReturned(TimeMs now, MemberId id, Seen* seen);
  void UpdateMember(TimeMs now, const QuotaMember& member, Seen* seen);

  QuotaViewSettings settings_;
  MemberId self_;
  TimeMs start_;
  bool draining_ = false;
  std::map<MemberId, Seen> members_;  ///< Those that have not left.
  std::vector<Loss> losses_;          ///< Recent ones.
  std::vector<MemberId> eligible_;    ///< Sorted by id.
  mutable std::unordered_map<uint64_t, MemberId> homes_;  ///< By account.
  uint64_t generation_ = 1;
  size_t known_ = 1;
  double live_share_ = 1;
};

}  // namespace banyanloft
