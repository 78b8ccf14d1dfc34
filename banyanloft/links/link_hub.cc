#include "banyanloft/links/link_hub.h"

#include <fmt/format.h>

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <unordered_map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "banyanloft/core/random.h"

namespace banyanloft {
namespace {

namespace asio = boost::asio;
using Handle = websocketpp::connection_hdl;
using ErrorCode = websocketpp::lib::error_code;

constexpr int64_t kHousekeepingMs = 100;
constexpr int64_t kPumpRetryMs = 1;
constexpr size_t kFrameOverheadBytes = 64;

/// websocketpp's logging costs time and says nothing that the counters do not.
template <typename Base>
struct Quiet : public Base {
  static const websocketpp::log::level elog_level =
      websocketpp::log::elevel::none;
  static const websocketpp::log::level alog_level =
      websocketpp::log::alevel::none;
};
using ServerConfig = Quiet<websocketpp::config::asio>;
using ClientConfig = Quiet<websocketpp::config::asio_client>;
using WsServer = websocketpp::server<ServerConfig>;
using WsClient = websocketpp::client<ClientConfig>;

}  // namespace

class LinkHub::Impl : public std::enable_shared_from_this<LinkHub::Impl> {
 public:
  Impl(asio::io_context& io, const LinkSettings& settings,
       LinkListener* listener)
      : io_(io),
        settings_(settings),
        listener_(listener),
        random_(settings.seed),
        housekeeping_(io) {}

  Result<Endpoint> Start();
  void Send(const std::string& link, int rank_index, PeerMessage message);
  void DropAll();
  void Stop();
  const Counters& Counts() const { return counters_; }
  size_t OpenLinks() const { return by_handle_.size(); }

 private:
  /// One connection, whichever side opened it.
  struct Link {
    explicit Link(const FrameSettings& frames) : out(frames), in(frames) {}
    Handle handle;
    std::string peer;   ///< Link address of the peer; empty until it is proved.
    std::string nonce;  ///< Challenge sent to whoever connected.
    bool outbound = false;
    bool open = false;  ///< Messages may be sent.

    FrameScheduler out;
    FrameAssembler in;
    std::map<uint64_t, PeerMessage> unsent;
    std::function<ErrorCode(const std::string&)> write;
    std::function<size_t()> buffered;
    std::function<void()> close;
    std::function<void()> terminate;  ///< Closes without a farewell.
    std::function<void()> ping;
    std::unique_ptr<asio::steady_timer> pump_timer;
    std::chrono::steady_clock::time_point last_use;
    std::chrono::steady_clock::time_point last_heard;
    std::chrono::steady_clock::time_point pinged;
    bool ping_out = false;  ///< Nothing was heard since the last ping.
    bool silence_told = false;
    std::chrono::steady_clock::time_point opened;
  };
  using LinkPtr = std::shared_ptr<Link>;

  template <typename Endpoint>
  void Prepare(Endpoint* endpoint);
  template <typename Endpoint>
  void Bind(Endpoint* endpoint, Handle handle, const LinkPtr& link);
  LinkPtr Connect(const std::string& peer);
  LinkPtr FindLink(const std::string& peer);
  void OnAccepted(Handle handle);
  void OnFrame(Handle handle, const std::string& payload);
  void OnChallenge(const LinkPtr& link, const std::string& payload);
  void OnHello(const LinkPtr& link, const std::string& payload);
  void OnEnded(Handle handle);
  void OnHeard(Link* link);
  void CheckLiveness(const LinkPtr& link);
  void Drop(const LinkPtr& link, const char* reason);
  void Pump(const LinkPtr& link);
  void ReportUnsent(const LinkPtr& link);
  void Housekeep();

  asio::io_context& io_;
  LinkSettings settings_;
  LinkListener* listener_;
  Random random_;
  std::string own_link_;
  WsServer server_;
  WsClient client_;
  std::map<Handle, LinkPtr, std::owner_less<Handle>> by_handle_;
  std::unordered_map<std::string, LinkPtr> by_peer_;
  uint64_t next_tag_ = 1;
  bool stopped_ = false;
  asio::steady_timer housekeeping_;
  Counters counters_;
};

template <typename Endpoint>
void LinkHub::Impl::Prepare(Endpoint* endpoint) {
  endpoint->clear_access_channels(websocketpp::log::alevel::all);
  endpoint->clear_error_channels(websocketpp::log::elevel::all);
  endpoint->init_asio(&io_);
  endpoint->set_max_message_size(settings_.frames.chunk_bytes +
                                 kFrameOverheadBytes);
  endpoint->set_open_handshake_timeout(
      static_cast<long>(settings_.handshake_timeout_ms));
  endpoint->set_close_handshake_timeout(
      static_cast<long>(settings_.handshake_timeout_ms));
  endpoint->set_message_handler([this](Handle handle, const auto& message) {
    OnFrame(handle, message->get_payload());
  });
  endpoint->set_pong_handler([this](Handle handle, const std::string&) {
    auto found = by_handle_.find(handle);
    if (found != by_handle_.end()) OnHeard(found->second.get());
  });
  endpoint->set_close_handler([this](Handle handle) { OnEnded(handle); });
  endpoint->set_fail_handler([this](Handle handle) { OnEnded(handle); });
  // Small messages must not wait for the acknowledgement of earlier ones. The
  // socket takes the option only once it is connected.
  endpoint->set_tcp_post_init_handler([endpoint](Handle handle) {
    ErrorCode error;
    auto connection = endpoint->get_con_from_hdl(handle, error);
    boost::system::error_code ignored;
    if (!error)
      connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                              ignored);
  });
}

/// Lets a link write through the endpoint that owns its connection.
template <typename Endpoint>
void LinkHub::Impl::Bind(Endpoint* endpoint, Handle handle,
                         const LinkPtr& link) {
  link->handle = handle;
  link->write = [endpoint, handle](const std::string& frame) {
    ErrorCode error;
    endpoint->send(handle, frame, websocketpp::frame::opcode::binary, error);
    return error;
  };
  link->buffered = [endpoint, handle]() -> size_t {
    ErrorCode error;
    auto connection = endpoint->get_con_from_hdl(handle, error);
    return error ? 0 : connection->get_buffered_amount();
  };
  link->close = [endpoint, handle] {
    ErrorCode error;
    endpoint->close(handle, websocketpp::close::status::normal, "", error);
  };
  link->terminate = [endpoint, handle] {
    ErrorCode error;
    auto connection = endpoint->get_con_from_hdl(handle, error);
    if (!error) connection->terminate(ErrorCode());
  };
  link->ping = [endpoint, handle] {
    ErrorCode error;
    endpoint->ping(handle, "", error);
  };
  link->pump_timer = std::make_unique<asio::steady_timer>(io_);
  link->opened = link->last_use = link->last_heard =
      std::chrono::steady_clock::now();
  by_handle_[handle] = link;
}

Result<Endpoint> LinkHub::Impl::Start() {
  Prepare(&server_);
  Prepare(&client_);
  server_.set_reuse_addr(true);
  server_.set_open_handler([this](Handle handle) { OnAccepted(handle); });

  boost::system::error_code error;
  asio::ip::address address =
      asio::ip::make_address(settings_.listen.ip, error);
  ErrorCode failed = error;
  if (!failed)
    server_.listen(asio::ip::tcp::endpoint(address, settings_.listen.port),
                   failed);
  if (!failed) server_.start_accept(failed);
  if (failed) {
    return Error{ErrorKind::kProtocolError, "cannot listen on " +
                                                settings_.listen.Text() + ": " +
                                                failed.message()};
  }
  boost::system::error_code endpoint_error;
  uint16_t port = server_.get_local_endpoint(endpoint_error).port();
  Endpoint listening{settings_.listen.ip, port};
  own_link_ =
      settings_.advertised.empty() ? listening.Text() : settings_.advertised;
  Housekeep();
  return listening;
}

void LinkHub::Impl::Send(const std::string& peer, int rank_index,
                         PeerMessage message) {
  LinkPtr link = stopped_ ? nullptr : FindLink(peer);
  if (link == nullptr) link = Connect(peer);
  std::string bytes = EncodePeerMessage(message);
  uint64_t tag = next_tag_++;
  if (link == nullptr || !link->out.Push(rank_index, tag, std::move(bytes))) {
    counters_.Add("link_refusals_total",
                  link == nullptr ? "no_link" : "queue_full");
    listener_->OnLinkNotSent(peer, std::move(message));
    return;
  }
  link->unsent.emplace(tag, std::move(message));
  Pump(link);
}

LinkHub::Impl::LinkPtr LinkHub::Impl::FindLink(const std::string& peer) {
  auto it = by_peer_.find(peer);
  return it == by_peer_.end() ? nullptr : it->second;
}

LinkHub::Impl::LinkPtr LinkHub::Impl::Connect(const std::string& peer) {
  Endpoint endpoint;
  if (stopped_ || !ParseEndpoint(peer, &endpoint)) return nullptr;
  if (by_handle_.size() >= settings_.max_links) return nullptr;
  ErrorCode error;
  auto connection = client_.get_connection("ws://" + peer + "/", error);
  if (error) return nullptr;
  auto link = std::make_shared<Link>(settings_.frames);
  link->peer = peer;
  link->outbound = true;
  Bind(&client_, connection->get_handle(), link);
  by_peer_[peer] = link;
  client_.connect(connection);
  counters_.Add("links_opened_total", "outbound");
  return link;
}

void LinkHub::Impl::OnAccepted(Handle handle) {
  auto link = std::make_shared<Link>(settings_.frames);
  Bind(&server_, handle, link);
  if (by_handle_.size() > settings_.max_links) return link->close();
  link->nonce = fmt::format("{:016x}{:016x}", random_.Bits(), random_.Bits());
  link->write(
      EncodeChallenge({kMinProtocolVersion, kMaxProtocolVersion, link->nonce}));
  counters_.Add("links_opened_total", "inbound");
}

void LinkHub::Impl::OnFrame(Handle handle, const std::string& payload) {
  auto found = by_handle_.find(handle);
  if (found == by_handle_.end()) return;
  LinkPtr link = found->second;
  link->last_use = std::chrono::steady_clock::now();
  OnHeard(link.get());
  counters_.Add("link_bytes_total", "received", payload.size());
  if (!link->open) {
    return link->outbound ? OnChallenge(link, payload) : OnHello(link, payload);
  }

  Result<std::optional<std::string>> assembled = link->in.Push(payload);
  if (const Error* error = ErrorOf(assembled)) {
    counters_.Add("link_refusals_total", error->detail);
    return;
  }
  std::optional<std::string>& whole = *ValueOf(assembled);
  if (!whole) return;
  Result<PeerMessage> message = DecodePeerMessage(*whole);
  if (const Error* error = ErrorOf(message)) {
    counters_.Add("link_refusals_total", error->detail);
    return;
  }
  counters_.Add("link_messages_total", "received");
  listener_->OnLinkMessage(link->peer, std::move(*ValueOf(message)));
}

/// The side that connected proves that it knows the secret, in the highest
/// protocol version that both speak.
void LinkHub::Impl::OnChallenge(const LinkPtr& link,
                                const std::string& payload) {
  Result<LinkChallenge> challenge = DecodeChallenge(payload);
  const LinkChallenge* offered = ValueOf(challenge);
  int version =
      offered != nullptr ? std::min(offered->newest, kMaxProtocolVersion) : 0;
  if (offered == nullptr ||
      version < std::max(offered->oldest, kMinProtocolVersion)) {
    counters_.Add("link_refusals_total", "no common protocol version");
    return link->close();
  }
  LinkHello hello{version, own_link_,
                  HelloProof(settings_.secret, offered->nonce, own_link_)};
  link->write(EncodeHello(hello));
  link->open = true;
  Pump(link);
}

void LinkHub::Impl::OnHello(const LinkPtr& link, const std::string& payload) {
  Result<LinkHello> decoded = DecodeHello(payload);
  const LinkHello* hello = ValueOf(decoded);
  bool proved = hello != nullptr && hello->version >= kMinProtocolVersion &&
                hello->version <= kMaxProtocolVersion &&
                hello->proof == HelloProof(settings_.secret, link->nonce,
                                           hello->link_address);
  if (!proved) {
    counters_.Add("link_refusals_total", "hello without proof");
    return link->close();
  }
  link->peer = hello->link_address;
  link->open = true;
  // A link that this side opened to the same peer stays in use for sending.
  by_peer_.emplace(link->peer, link);
}

void LinkHub::Impl::OnEnded(Handle handle) {
  auto found = by_handle_.find(handle);
  if (found == by_handle_.end()) return;
  LinkPtr link = found->second;
  by_handle_.erase(found);
  link->pump_timer->cancel();
  auto current = by_peer_.find(link->peer);
  if (current != by_peer_.end() && current->second == link)
    by_peer_.erase(current);
  link->open = false;
  ReportUnsent(link);
  if (stopped_ || link->peer.empty()) return;
  counters_.Add("links_lost_total");
  listener_->OnLinkLost(link->peer);
}

void LinkHub::Impl::OnHeard(Link* link) {
  link->last_heard = std::chrono::steady_clock::now();
  link->ping_out = false;
}

/// A link in use must show signs of its peer: a connection may be dead without
/// any reset.
void LinkHub::Impl::CheckLiveness(const LinkPtr& link) {
  using Ms = std::chrono::milliseconds;
  auto now = std::chrono::steady_clock::now();
  if (!link->open) {
    bool late = now - link->opened > Ms(settings_.handshake_timeout_ms);
    if (late && link->outbound) Drop(link, "handshake timed out");
    return;
  }
  if (link->ping_out) {
    if (now - link->pinged > Ms(settings_.ping_timeout_ms))
      return Drop(link, "peer is silent");
    bool silent = now - link->pinged > Ms(settings_.silent_after_ms);
    if (silent && !link->silence_told) listener_->OnLinkSilent(link->peer);
    link->silence_told = link->silence_told || silent;
    return;
  }
  bool in_use = now - link->last_use < Ms(settings_.liveness_window_ms);
  if (!in_use || now - link->last_heard < Ms(settings_.ping_after_ms)) return;
  link->ping_out = true;
  link->silence_told = false;
  link->pinged = now;
  link->ping();
}

/// Ends a link at once; the connection is cleared away later.
void LinkHub::Impl::Drop(const LinkPtr& link, const char* reason) {
  counters_.Add("link_refusals_total", reason);
  OnEnded(link->handle);
  link->terminate();
}

void LinkHub::Impl::DropAll() {
  auto links = by_handle_;
  for (auto& [handle, link] : links) Drop(link, "own pause");
}

/// Hands frames to the connection while its buffer is short, so that urgent
/// messages that come later are not queued behind long ones.
void LinkHub::Impl::Pump(const LinkPtr& link) {
  if (!link->open) return;
  while (!link->out.Empty() &&
         link->buffered() < settings_.write_window_bytes) {
    std::optional<uint64_t> started;
    std::optional<std::string> frame = link->out.Pop(&started);
    if (!frame) return;
    if (link->write(*frame)) return;
    if (started) {
      link->unsent.erase(*started);
      counters_.Add("link_messages_total", "sent");
    }

    link->last_use = std::chrono::steady_clock::now();
    counters_.Add("link_bytes_total", "sent", frame->size());
  }
  if (link->out.Empty()) return;
  link->pump_timer->expires_after(std::chrono::milliseconds(kPumpRetryMs));
  link->pump_timer->async_wait(
      [self = shared_from_this(), link](boost::system::error_code error) {
        if (!error) self->Pump(link);
      });
}

void LinkHub::Impl::ReportUnsent(const LinkPtr& link) {
  std::map<uint64_t, PeerMessage> unsent = std::move(link->unsent);
  link->unsent.clear();
  for (auto& [tag, message] : unsent)
    listener_->OnLinkNotSent(link->peer, std::move(message));
}

/// Closes links that are unused, and those that never proved themselves.
void LinkHub::Impl::Housekeep() {
  auto now = std::chrono::steady_clock::now();
  std::vector<LinkPtr> over;
  for (const auto& [handle, link] : by_handle_) {
    bool idle = now - link->last_use >
                std::chrono::milliseconds(settings_.idle_timeout_ms);
    bool stuck = !link->open &&
                 now - link->opened > 3 * std::chrono::milliseconds(
                                              settings_.handshake_timeout_ms);
    if (idle || stuck) over.push_back(link);
  }
  for (const LinkPtr& link : over) link->close();
  auto links = by_handle_;
  for (auto& [handle, link] : links) CheckLiveness(link);
  housekeeping_.expires_after(std::chrono::milliseconds(kHousekeepingMs));
  housekeeping_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->stopped_) self->Housekeep();
      });
}

void LinkHub::Impl::Stop() {
  stopped_ = true;
  housekeeping_.cancel();
  ErrorCode ignored;
  if (server_.is_listening()) server_.stop_listening(ignored);
  auto links = by_handle_;
  for (auto& [handle, link] : links) link->close();
}

LinkHub::LinkHub(asio::io_context& io, const LinkSettings& settings,
                 LinkListener* listener)
    : impl_(std::make_shared<Impl>(io, settings, listener)) {}
LinkHub::~LinkHub() { impl_->Stop(); }

Result<Endpoint> LinkHub::Start() { return impl_->Start(); }
void LinkHub::Send(const std::string& link, int rank_index,
                   PeerMessage message) {
  impl_->Send(link, rank_index, std::move(message));
}
void LinkHub::DropAll() { impl_->DropAll(); }
void LinkHub::Stop() { impl_->Stop(); }
const Counters& LinkHub::Counts() const { return impl_->Counts(); }
size_t LinkHub::OpenLinks() const { return impl_->OpenLinks(); }

}  // namespace banyanloft
