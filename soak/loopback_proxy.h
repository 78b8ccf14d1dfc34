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

/// What a proxy does to the connections that pass it.
enum class ProxyFault : uint8_t {
  kNone,
  kDelay,            ///< Bytes of both ways come 120 ms later.
  kReset,            ///< Connections are reset, new ones too.
  kStall,            ///< Bytes of both ways are held back.
  kStallUpstream,    ///< Bytes from the dialling side are held back.
  kStallDownstream,  ///< Bytes to the dialling side are held back.
};

/// TCP proxy on loopback in front of one address. Held bytes go on their way
/// when the fault ends, as after a cut of the network. One event loop.
class LoopbackProxy {
 public:
  LoopbackProxy(boost::asio::io_context& io, const Endpoint& listen,
                const Endpoint& target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  Result<bool> Start();
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
