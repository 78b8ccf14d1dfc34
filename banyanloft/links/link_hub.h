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
  Endpoint listen;  ///< Port 0: any free port.
  /// Link address (`ip:port`) advertised to peers; empty: that of `listen`.
  std::string advertised;
  std::string secret;                   ///< The fleet's shared secret.
  uint64_t seed = 1;                    ///< Seed of the random challenges.
  int64_t handshake_timeout_ms = 1000;  ///< Timeout for opening a link, in ms.
  int64_t idle_timeout_ms =
      120000;  ///< Idle links are closed after this time, in ms.
  /// Time without input after which a link with open exchanges is pinged, in
  /// ms.
  int64_t ping_after_ms = 150;
  /// Time without input after which a link is verified by a ping before a
  /// message is sent on it, in ms. A dead link then takes no message with it.
  int64_t verify_after_ms = 500;
  /// Time that a message waits for this ping to be answered until it is
  /// reported as not sent and the link is closed, in ms.
  int64_t verify_timeout_ms = 200;
  /// Time without input after a ping until the peer is reported as silent, in
  /// ms: many times the round-trip time between availability zones.
  int64_t silent_after_ms = 150;
  /// Time without input after a ping until the link is closed, in ms: several
  /// times the round-trip time to the farthest availability zone.
  int64_t ping_timeout_ms = 600;
  /// Minimum time between pings to all peers, which follow when one is found to
  /// be silent, in ms.
  int64_t ping_all_period_ms = 500;
  size_t max_links = 4000;  ///< Maximum number of open links.
  size_t write_window_bytes =
      64 * 1024;  ///< Bytes buffered in a connection above which frames wait.
  /// Rate of this instance's outgoing link, in bytes per ms; 0: unknown. Large
  /// messages are paced to it if it is low.
  int64_t bytes_per_ms = 0;
  /// Bytes queued on all links above which no further message is queued: a
  /// fifth of the memory of the smallest instances. One message may be longer
  /// while hardly anything else is queued.
  size_t max_queued_bytes = 32 * 1024 * 1024;
  FrameSettings frames;
};

/// Receives the events of links, on the hub's thread.
class LinkListener {
 public:
  virtual ~LinkListener() = default;
  /// A message arrived from the peer with the link address `link`.
  virtual void OnLinkMessage(const std::string& link, PeerMessage message) = 0;
  /// A request with a long body begins to arrive. False: the listener has
  /// answered it, and the rest of it is dropped; otherwise OnLinkMessage()
  /// follows.
  virtual bool OnLinkRequestBegins(const std::string& link,
                                   BegunRequest begun) {
    (void)link;
    (void)begun;
    return true;
  }
  /// No byte of the message was sent to the peer.
  virtual void OnLinkNotSent(const std::string& link, PeerMessage message) = 0;
  /// A link was closed; messages under way may be lost.
  virtual void OnLinkLost(const std::string& link) = 0;
  /// A peer does not respond to a ping; its link is still open.
  virtual void OnLinkSilent(const std::string& link) { (void)link; }
};

/// The links to peers: websockets that carry CBOR messages in bounded frames,
/// opened on first use. Peers authenticate with the fleet's secret. A link is
/// pinged only while a request on it awaits its reply, before it is used again
/// after a pause, and when another peer turns out to be silent: a daemon has
/// links to much of the fleet, and most of them are idle. Must be called on the
/// event loop's thread.
class LinkHub {
 public:
  /// `listener` must outlive the hub.
  LinkHub(boost::asio::io_context& io, const LinkSettings& settings,
          LinkListener* listener);
  ~LinkHub();
  LinkHub(const LinkHub&) = delete;
  LinkHub& operator=(const LinkHub&) = delete;

  /// Binds and listens; returns the bound address. Call before the loop runs.
  Result<Endpoint> Start();
  /// Sends a message. The listener is notified if it could not be sent or if
  /// the link is lost.
  void Send(const std::string& link, int rank_index, PeerMessage message);
  /// Bytes were sent over the instance's link by others than this hub.
  void OnOtherBytes(size_t bytes);
  /// Closes all links as if each had been lost.
  void DropAll();
  /// Closes all links.
  void Stop();
  /// Bytes sent and received, messages, rejections by reason.
  const Counters& Counts() const;
  /// Number of links, including those being opened.
  size_t OpenLinks() const;
  /// Bytes of messages that are not written to their connections yet.
  size_t UnsentBytes() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace banyanloft
