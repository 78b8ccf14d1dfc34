#pragma once

#include <string>

#include "banyanloft/links/peer_message.h"
#include "banyanloft/membership/member.h"

namespace banyanloft {

/// Sends a message over the link to a peer.
struct SendPeer {
  std::string link;
  int rank_index = 0;  ///< Orders messages on the link; 0 is sent first.
  PeerMessage message;
};
/// Sends a datagram.
struct SendDatagram {
  std::string to;
  Datagram datagram;
};
/// Everything that was in hand is finished: the process may end.
struct ReadyToExit {};

}  // namespace banyanloft
