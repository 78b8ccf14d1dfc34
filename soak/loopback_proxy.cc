#include "soak/loopback_proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

namespace banyanloft::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Longer than a round trip between distant availability zones.
constexpr int64_t kDelayMs = 120;
constexpr size_t kBufferBytes = 16384;

tcp::endpoint EndpointOf(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.ip), endpoint.port};
}

}  // namespace

/// A client connection and the matching server connection, with one pump for
/// each direction.
class LoopbackProxy::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::io_context& io, tcp::socket client, ProxyFault fault)
      : fault_(fault), client_(std::move(client)), server_(io) {
    pumps_[0] = std::make_unique<Pump>(io, &client_, &server_);
    pumps_[1] = std::make_unique<Pump>(io, &server_, &client_);
  }

  void Connect(const tcp::endpoint& target) {
    auto self = shared_from_this();
    server_.async_connect(target, [self](ErrorCode error) {
      if (error) return self->Reset();
      self->Read(0);
      self->Read(1);
    });
  }

  void SetFault(ProxyFault fault) {
    fault_ = fault;
    if (fault == ProxyFault::kReset) return Reset();
    for (size_t i = 0; i < pumps_.size(); ++i) {
      if (!pumps_[i]->stalled || Stalls(i)) continue;
      pumps_[i]->stalled = false;
      Write(i);
    }
  }

  void Reset() {
    for (tcp::socket* socket : {&client_, &server_}) {
      ErrorCode ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

 private:
  struct Pump {
    Pump(asio::io_context& io, tcp::socket* source, tcp::socket* sink)
        : from(source), to(sink), timer(io) {}
    tcp::socket* from;
    tcp::socket* to;
    asio::steady_timer timer;
    std::array<char, kBufferBytes> buffer;
    size_t size = 0;
    bool stalled = false;
  };

  bool Stalls(size_t i) const {
    return fault_ == ProxyFault::kStall ||
           fault_ == (i == 0 ? ProxyFault::kStallUpstream
                             : ProxyFault::kStallDownstream);
  }

  void Read(size_t i) {
    auto self = shared_from_this();
    Pump& pump = *pumps_[i];
    pump.from->async_read_some(asio::buffer(pump.buffer),
                               [self, i](ErrorCode error, size_t size) {
                                 if (error) return self->OnEndOfStream(i);
                                 self->pumps_[i]->size = size;
                                 self->Forward(i);
                               });
  }

  void Forward(size_t i) {
    Pump& pump = *pumps_[i];
    if (Stalls(i)) {
      pump.stalled = true;
      return;
    }
    if (fault_ != ProxyFault::kDelay) return Write(i);
    auto self = shared_from_this();
    pump.timer.expires_after(std::chrono::milliseconds(kDelayMs));
    pump.timer.async_wait([self, i](ErrorCode) { self->Write(i); });
  }

  void Write(size_t i) {
    auto self = shared_from_this();
    Pump& pump = *pumps_[i];
    asio::async_write(*pump.to, asio::buffer(pump.buffer, pump.size),
                      [self, i](ErrorCode error, size_t) {
                        if (error) return self->Reset();
                        self->Read(i);
                      });
  }

  /// Forwards the end of a stream; closes both sockets once both have ended.
  void OnEndOfStream(size_t i) {
    ErrorCode ignored;
    pumps_[i]->to->shutdown(tcp::socket::shutdown_send, ignored);
    if (++closed_directions_ == pumps_.size()) Reset();
  }

  ProxyFault fault_;
  tcp::socket client_;
  tcp::socket server_;
  std::array<std::unique_ptr<Pump>, 2> pumps_;
  size_t closed_directions_ = 0;
};

LoopbackProxy::LoopbackProxy(asio::io_context& io, const Endpoint& listen,
                             const Endpoint& target)
    : io_(io),
      listen_(EndpointOf(listen)),
      target_(EndpointOf(target)),
      acceptor_(io) {}

LoopbackProxy::~LoopbackProxy() { SetFault(ProxyFault::kReset); }

Result<Endpoint> LoopbackProxy::Start() {
  ErrorCode error;
  acceptor_.open(listen_.protocol(), error);
  acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor_.bind(listen_, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return Error{ErrorKind::kInvalidConfiguration, "proxy: " + error.message()};
  Accept();
  tcp::endpoint bound = acceptor_.local_endpoint();
  return Endpoint{bound.address().to_string(), bound.port()};
}

void LoopbackProxy::SetFault(ProxyFault fault) {
  fault_ = fault;
  for (const std::weak_ptr<Session>& weak : sessions_) {
    if (auto session = weak.lock()) session->SetFault(fault);
  }
}

void LoopbackProxy::Accept() {
  acceptor_.async_accept([this](ErrorCode error, tcp::socket socket) {
    if (error) return;
    auto session = std::make_shared<Session>(io_, std::move(socket), fault_);
    if (fault_ == ProxyFault::kReset) {
      session->Reset();
    } else {
      session->Connect(target_);
    }
    sessions_.erase(
        std::remove_if(sessions_.begin(), sessions_.end(),
                       [](const auto& weak) { return weak.expired(); }),
        sessions_.end());
    sessions_.push_back(session);
    Accept();
  });
}

}  // namespace banyanloft::soak
