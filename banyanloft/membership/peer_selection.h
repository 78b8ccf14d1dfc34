#pragma once

#include <string>
#include <vector>

#include "banyanloft/membership/membership.h"

namespace banyanloft {

/// A live peer, as membership knows it.
struct Peer {
  std::string link;
  std::string gossip;
  std::string zone;
};

/// Up to `near` random live members of a zone and `any` of any zone, each once.
std::vector<Peer> RandomPeers(Membership* membership, const std::string& zone,
                              size_t near, size_t any);
/// Whether `id` is among the members that watch the platform for the zone.
/// Chosen from the local view without a lease: a wrong view costs one watch
/// too many or a slower notice, never a wrong configuration.
bool IsZoneWatcher(const Membership& membership, const std::string& zone,
                   MemberId id, size_t watchers);
/// Time before a new daemon may watch, in ms. Spread over twice the start
/// window, so that in a cold start, where all are isolated, the first to watch
/// are met by the rest.
int64_t WatchDelayMs(int64_t start_window_ms, uint64_t draw);
/// Gossip addresses of a zone's members, by whether they are alive.
struct ZoneAddresses {
  std::vector<std::string> live;
  std::vector<std::string> dead;
};
ZoneAddresses AddressesOfZone(const Membership& membership,
                              const std::string& zone);

}  // namespace banyanloft
