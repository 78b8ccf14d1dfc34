#include "banyanloft/links/gossip_socket.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include "banyanloft/links/peer_message.h"

namespace banyanloft {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;

constexpr size_t kMaxDatagramBytes = 8 * 1024;
constexpr int kReceiveBufferBytes = 1024 * 1024;

}  // namespace

class GossipSocket::Impl
    : public std::enable_shared_from_this<GossipSocket::Impl> {
 public:
  Impl(asio::io_context& io, std::string secret,
       std::function<void(Datagram)> receive)
      : socket_(io), secret_(std::move(secret)), receive_(std::move(receive)) {}

  Result<Endpoint> Start(const Endpoint& listen) {
    ErrorCode error;
    asio::ip::address address = asio::ip::make_address(listen.ip, error);
    Udp::endpoint endpoint(address, listen.port);
    if (!error) socket_.open(endpoint.protocol(), error);
    if (!error)
      socket_.set_option(
          asio::socket_base::receive_buffer_size(kReceiveBufferBytes), error);
    if (!error) socket_.bind(endpoint, error);
    if (!error) socket_.non_blocking(true, error);
    if (error) {
      return Error{ErrorKind::kProtocolError,
                   "cannot bind " + listen.Text() + ": " + error.message()};
    }
    Receive();
    return Endpoint{listen.ip, socket_.local_endpoint().port()};
  }

  void Send(const std::string& to, const Datagram& datagram) {
    Endpoint target;
    if (!ParseEndpoint(to, &target))
      return counters_.Add("datagram_refusals_total", "address");
    std::string bytes = EncodeDatagram(datagram, secret_);
    if (bytes.size() > kMaxDatagramBytes)
      return counters_.Add("datagram_refusals_total", "too_long");
    ErrorCode error;
    Udp::endpoint endpoint(asio::ip::make_address(target.ip, error),
                           target.port);
    socket_.send_to(asio::buffer(bytes), endpoint, 0, error);
    if (error) return counters_.Add("datagram_refusals_total", "send_failed");
    counters_.Add("datagrams_total", "sent");
    counters_.Add("datagram_bytes_total", "sent", bytes.size());
  }

  void Close() {
    ErrorCode ignored;
    socket_.close(ignored);
  }
  const Counters& Counts() const { return counters_; }

 private:
  void Receive() {
    socket_.async_receive_from(
        asio::buffer(buffer_), from_,
        [self = shared_from_this()](ErrorCode error, size_t size) {
          if (error == asio::error::operation_aborted) return;
          if (!error) self->OnBytes(size);
          self->Receive();
        });
  }

  void OnBytes(size_t size) {
    counters_.Add("datagrams_total", "received");
    counters_.Add("datagram_bytes_total", "received", size);
    Result<Datagram> datagram =
        DecodeDatagram(std::string_view(buffer_.data(), size), secret_);
    if (const Error* error = ErrorOf(datagram)) {
      return counters_.Add("datagram_refusals_total", error->detail);
    }
    receive_(std::move(*ValueOf(datagram)));
  }

  Udp::socket socket_;
  std::string secret_;
  std::function<void(Datagram)> receive_;
  std::array<char, kMaxDatagramBytes> buffer_{};
  Udp::endpoint from_;
  Counters counters_;
};

GossipSocket::GossipSocket(asio::io_context& io, std::string secret,
                           std::function<void(Datagram)> receive)
    : impl_(std::make_shared<Impl>(io, std::move(secret), std::move(receive))) {
}
GossipSocket::~GossipSocket() { impl_->Close(); }

Result<Endpoint> GossipSocket::Start(const Endpoint& listen) {
  return impl_->Start(listen);
}
void GossipSocket::Send(const std::string& to, const Datagram& datagram) {
  impl_->Send(to, datagram);
}
const Counters& GossipSocket::Counts() const { return impl_->Counts(); }

}  // namespace banyanloft
