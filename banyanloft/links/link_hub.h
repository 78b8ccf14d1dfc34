#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "banyanloft/core/counters.h"
#include "banyanloft/http/http_message.h"
#include "banyanloft/links/frame.h"
#include "banyanloft/links/peer_message.h"

namespace banyanloft {

/// Settings of the links to peers.
struct LinkSettings {
  Endpoint listen;  ///< Port 0: any free one.
  /// `ip:port` at which peers reach `listen`; empty: there itself.
  std::string advertised;
  std::string secret;  ///< The fleet's shared secret.
  uint64_t seed = 1;   ///< Seed of the challenges.
  int64_t handshake_timeout_ms =
      1000;  ///< Longest time for a link to open, in ms.
  int64_t idle_timeout_ms =
      120000;  ///< Unused links are closed after this time, in ms.
  /// A link in use from which nothing came for this long is pinged, in ms.
  int64_t ping_after_ms = 150;
  /// A ping without any sign of the peer for this long is told as silence, in
  /// ms: many times the way between availability zones and back.
  int64_t silent_after_ms = 150;
  /// A ping without any sign of the peer for this long ends the link, in ms:
  /// several times the way to the farthest availability zone and back.
  int64_t ping_timeout_ms = 600;
  /// Links without messages for this long are not pinged, in ms.
  int64_t liveness_window_ms = 10000;
  size_t max_links = 4000;  ///< Links held at once.
  size_t write_window_bytes =
      64 * 1024;  ///< Bytes handed to a connection ahead of time.
  FrameSettings frames;
};

/// Hears of links on the hub's thread.
class LinkListener {
 public:
  virtual ~LinkListener() = default;
  /// A whole message arrived from the peer at a link address.
  virtual void OnLinkMessage(const std::string& link, PeerMessage message) = 0;
  /// No byte of the message left for the peer.
  virtual void OnLinkNotSent(const std::string& link, PeerMessage message) = 0;
  /// A link with messages under way was lost.
  virtual void OnLinkLost(const std::string& link) = 0;
  /// A peer shows no sign; its link is not yet given up.
  virtual void OnLinkSilent(const std::string& link) { (void)link; }
};

/// The links to peers: websockets that carry CBOR messages in bounded frames,
/// opened when first needed. Peers prove that they know the fleet's secret.
/// All calls belong on the event loop's thread.
class LinkHub {
 public:
  /// `listener` must outlive the hub.
  LinkHub(boost::asio::io_context& io, const LinkSettings& settings,
          LinkListener* listener);
  ~LinkHub();
  LinkHub(const LinkHub&) = delete;
  LinkHub& operator=(const LinkHub&) = delete;

  /// Binds and listens; returns where. Call before the loop runs.
  Result<Endpoint> Start();
  /// Sends a message; what becomes of it is told to the listener.
  void Send(const std::string& link, int rank_index, PeerMessage message);
  /// Ends all links, as if each had been lost.
  void DropAll();
  /// Closes all links.
  void Stop();
  /// Bytes sent and received, messages, refusals by reason.
  const Counters& Counts() const;
  /// Links open now.
  size_t OpenLinks() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace banyanloft
