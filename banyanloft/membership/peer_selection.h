#pragma once

#include <string>
#include <vector>

#include "banyanloft/membership/membership.h"

namespace banyanloft {

/// Addresses and zone of a live member.
struct Peer {
  std::string link;
  std::string gossip;
  std::string zone;
};

/// Up to `near` random live members of a zone plus up to `any` of all zones,
/// without duplicates.
std::vector<Peer> RandomPeers(Membership* membership, const std::string& zone,
                              size_t near, size_t any);
/// Whether `id` is one of the members that watch the platform for the zone. The
/// choice uses the local view without a lease: an inconsistent view causes an
/// extra watch or slower detection, never a wrong configuration.
bool IsZoneWatcher(const Membership& membership, const std::string& zone,
                   MemberId id, size_t watchers);
/// Delay before a new daemon may watch, in ms: the start window plus a random
/// part of up to twice that. In a cold start every daemon sees only itself; the
/// spread lets the others discover the first watchers.
int64_t WatchDelayMs(int64_t start_window_ms, uint64_t draw);
/// Gossip addresses of a zone's live and dead members.
struct ZoneAddresses {
  std::vector<std::string> live;
  std::vector<std::string> dead;
};
ZoneAddresses AddressesOfZone(const Membership& membership,
                              const std::string& zone);

}  // namespace banyanloft
