#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "banyanloft/core/counters.h"
#include "banyanloft/core/error.h"
#include "banyanloft/http/http_message.h"
#include "banyanloft/membership/member.h"

namespace banyanloft {

/// UDP socket for gossip datagrams, which are authenticated with the fleet's
/// secret. Must be called on the event loop's thread.
class GossipSocket {
 public:
  /// `receive` is called for each valid datagram.
  GossipSocket(boost::asio::io_context& io, std::string secret,
               std::function<void(Datagram)> receive);
  ~GossipSocket();
  GossipSocket(const GossipSocket&) = delete;
  GossipSocket& operator=(const GossipSocket&) = delete;

  /// Binds (port 0: any free port) and returns the bound address. Call before
  /// the loop runs.
  Result<Endpoint> Start(const Endpoint& listen);
  /// Sends a datagram; one that cannot be sent is dropped and counted.
  void Send(const std::string& to, const Datagram& datagram);
  const Counters& Counts() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace banyanloft
