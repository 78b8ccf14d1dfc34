#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "banyanloft/core/error.h"
#include "banyanloft/http/http_message.h"

namespace banyanloft::soak {

/// Fault that a proxy applies to its connections.
enum class ProxyFault : uint8_t {
  kNone,
  kDelay,            ///< Delays bytes in both directions by 120 ms.
  kReset,            ///< Resets existing and new connections.
  kStall,            ///< Holds back bytes in both directions.
  kStallUpstream,    ///< Holds back bytes from the connecting side.
  kStallDownstream,  ///< Holds back bytes to the connecting side.
};

/// TCP proxy on loopback in front of one address. Bytes held back are delivered
/// once the fault ends, as after a network partition. Not thread-safe; runs on
/// one event loop.
class LoopbackProxy {
 public:
  LoopbackProxy(boost::asio::io_context& io, const Endpoint& listen,
                const Endpoint& target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  /// Returns the address that it listens on; port 0 is replaced by a free one.
  Result<Endpoint> Start();
  void SetFault(ProxyFault fault);

 private:
  class Session;
  void Accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint listen_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  ProxyFault fault_ = ProxyFault::kNone;
  std::vector<std::weak_ptr<Session>> sessions_;
};

}  // namespace banyanloft::soak
