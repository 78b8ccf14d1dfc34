#include "banyanloft/membership/peer_selection.h"

#include <algorithm>

namespace banyanloft {

std::vector<Peer> RandomPeers(Membership* membership, const std::string& zone,
                              size_t near, size_t any) {
  std::vector<Peer> peers;
  auto add = [&](const std::vector<const MemberRecord*>& members) {
    for (const MemberRecord* member : members) {
      bool known = std::any_of(
          peers.begin(), peers.end(),
          [&](const Peer& peer) { return peer.link == member->link; });
      if (!known) peers.push_back({member->link, member->gossip, member->zone});
    }
  };
  add(membership->RandomAlive(near, zone));
  add(membership->RandomAlive(any));
  return peers;
}

bool IsZoneWatcher(const Membership& membership, const std::string& zone,
                   MemberId id, size_t watchers) {
  std::vector<MemberId> first = membership.FirstOfZone(zone, watchers);
  return std::find(first.begin(), first.end(), id) != first.end();
}

int64_t WatchDelayMs(int64_t start_window_ms, uint64_t draw) {
  uint64_t spread = 2 * static_cast<uint64_t>(start_window_ms) + 1;
  return start_window_ms + static_cast<int64_t>(draw % spread);
}

ZoneAddresses AddressesOfZone(const Membership& membership,
                              const std::string& zone) {
  ZoneAddresses out;
  for (const auto& [id, member] : membership.Others()) {
    if (member.zone != zone) continue;
    bool gone = member.state == MemberState::kGone ||
                member.health == MemberHealth::kUnreachable;
    (gone ? out.dead : out.live).push_back(member.gossip);
  }
  return out;
}

}  // namespace banyanloft
