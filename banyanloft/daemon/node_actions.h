#pragma once

#include <string>

#include "banyanloft/links/peer_message.h"
#include "banyanloft/membership/member.h"

namespace banyanloft {

/// Sends a message over the TCP link to a peer.
struct SendPeer {
  std::string link;
  int rank_index = 0;  ///< Priority on the link; 0 is sent first.
  PeerMessage message;
};
/// Sends a gossip datagram.
struct SendDatagram {
  std::string to;
  Datagram datagram;
};
/// All work in progress has completed; the process may exit.
struct ReadyToExit {};

}  // namespace banyanloft
