#include "banyanloft/links/link_hub.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"
#include "banyanloft/links/send_pacer.h"

namespace banyanloft {
namespace {

namespace asio = boost::asio;
using Handle = websocketpp::connection_hdl;
using ErrorCode = websocketpp::lib::error_code;

constexpr int64_t kHousekeepingMs = 100;
constexpr int64_t kSendRetryMs = 1;
constexpr size_t kFrameOverheadBytes = 64;

/// By how much a message changes the number of requests on its link that await
/// a reply, whichever side sent them.
int OpenExchangesChange(const PeerMessage& message) {
  if (std::holds_alternative<RunRequest>(message) ||
      std::holds_alternative<KeyRequest>(message) ||
      std::holds_alternative<PullRequest>(message) ||
      std::holds_alternative<ForwardRequest>(message) ||
      std::holds_alternative<DocumentRequest>(message) ||
      std::holds_alternative<QuotaAsk>(message))
    return 1;
  if (std::holds_alternative<QuotaHandover>(message)) return 0;
  const auto* cancel = std::get_if<CancelForward>(&message);
  return cancel != nullptr && cancel->only_if_queued ? 0 : -1;
}

/// Turns off websocketpp's logging, which costs time and adds nothing to the
/// counters.
template <typename Base>
struct WithoutLogging : public Base {
  static const websocketpp::log::level elog_level =
      websocketpp::log::elevel::none;
  static const websocketpp::log::level alog_level =
      websocketpp::log::alevel::none;
};
using ServerConfig = WithoutLogging<websocketpp::config::asio>;
using ClientConfig = WithoutLogging<websocketpp::config::asio_client>;
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
        pacer_(settings.bytes_per_ms),
        pace_timer_(io),
        housekeeping_(io) {}

  Result<Endpoint> Start();
  void Send(const std::string& link, int rank_index, PeerMessage message);
  void OnOtherBytes(size_t bytes) { pacer_.OnSent(clock_.Now(), bytes); }
  void DropAll();
  void Stop();
  const Counters& Counts() const { return counters_; }
  size_t OpenLinks() const { return by_handle_.size(); }
  size_t UnsentBytes() const;

 private:
  /// One connection, whichever side opened it.
  struct Link {
    explicit Link(const FrameSettings& frames) : out(frames), in(frames) {}
    Handle handle;
    /// Link address of the peer; on an inbound link empty until the peer has
    /// authenticated.
    std::string peer;
    std::string nonce;  ///< Challenge sent on an inbound connection.
    bool outbound = false;
    bool open = false;      ///< Messages may be sent.
    uint32_t features = 0;  ///< Of the peer; none until it has announced them.

    FrameScheduler out;
    FrameAssembler in;
    std::map<uint64_t, PeerMessage> unsent;
    std::function<ErrorCode(const std::string&)> write;
    std::function<size_t()> buffered;
    std::function<void()> close;
    std::function<void()> terminate;  ///< Closes without a closing handshake.
    std::function<void()> ping;
    std::unique_ptr<asio::steady_timer> send_timer;
    std::chrono::steady_clock::time_point last_use;
    std::chrono::steady_clock::time_point last_received;
    std::chrono::steady_clock::time_point pinged_at;
    bool ping_pending = false;  ///< Nothing was received since the last ping.
    /// Frames wait until the last ping has been answered.
    bool verifying = false;
    bool paced = false;      ///< In `paced_`.
    int open_exchanges = 0;  ///< Requests that await a reply.
    bool silence_reported = false;
    std::chrono::steady_clock::time_point opened_at;
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
  bool DropRefused(const LinkPtr& link, const std::string& frame);
  void OnChallenge(const LinkPtr& link, const std::string& payload);
  void OnHello(const LinkPtr& link, const std::string& payload);
  void OnClosed(Handle handle);
  void OnReceived(const LinkPtr& link);
  static void CountExchange(Link* link, const PeerMessage& message);
  void Ping(Link* link);
  void VerifyIfIdle(Link* link);
  void CheckLiveness(const LinkPtr& link);
  void CheckPing(const LinkPtr& link);
  void PingAll();
  void Drop(const LinkPtr& link, const char* reason);
  void SendQueued(const LinkPtr& link);
  bool SendFrame(const LinkPtr& link);
  void Pace(const LinkPtr& link);
  void SendPaced();
  void ReportUnsent(const LinkPtr& link);
  void Housekeep();

  asio::io_context& io_;
  LinkSettings settings_;
  LinkListener* listener_;
  Random random_;
  SteadyClock clock_;
  SendPacer pacer_;
  /// Links whose next frame belongs to a large message, in the order of their
  /// turns.
  std::deque<LinkPtr> paced_;
  asio::steady_timer pace_timer_;
  bool pace_timer_set_ = false;
  std::string own_address_;
  WsServer server_;
  WsClient client_;
  std::map<Handle, LinkPtr, std::owner_less<Handle>> by_handle_;
  std::unordered_map<std::string, LinkPtr> by_peer_;
  uint64_t next_tag_ = 1;
  bool stopped_ = false;
  asio::steady_timer housekeeping_;
  std::chrono::steady_clock::time_point next_ping_all_;
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
    if (found == by_handle_.end()) return;
    LinkPtr link = found->second;
    OnReceived(link);
  });
  endpoint->set_close_handler([this](Handle handle) { OnClosed(handle); });
  endpoint->set_fail_handler([this](Handle handle) { OnClosed(handle); });
  // Disables Nagle's algorithm: small messages must not wait for the
  // acknowledgement of earlier ones. The option can only be set once the socket
  // is connected.
  endpoint->set_tcp_post_init_handler([endpoint](Handle handle) {
    ErrorCode error;
    auto connection = endpoint->get_con_from_hdl(handle, error);
    boost::system::error_code ignored;
    if (!error)
      connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                              ignored);
  });
}

/// Binds a link to the endpoint that owns its connection.
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
  link->send_timer = std::make_unique<asio::steady_timer>(io_);
  link->opened_at = link->last_use = link->last_received =
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
  ErrorCode listen_error = error;
  if (!listen_error)
    server_.listen(asio::ip::tcp::endpoint(address, settings_.listen.port),
                   listen_error);
  if (!listen_error) server_.start_accept(listen_error);
  if (listen_error) {
    return Error{ErrorKind::kProtocolError, "cannot listen on " +
                                                settings_.listen.Text() + ": " +
                                                listen_error.message()};
  }
  boost::system::error_code endpoint_error;
  uint16_t port = server_.get_local_endpoint(endpoint_error).port();
  Endpoint listening{settings_.listen.ip, port};
  own_address_ =
      settings_.advertised.empty() ? listening.Text() : settings_.advertised;
  Housekeep();
  return listening;
}

void LinkHub::Impl::Send(const std::string& peer, int rank_index,
                         PeerMessage message) {
  LinkPtr link = stopped_ ? nullptr : FindLink(peer);
  if (link == nullptr) link = Connect(peer);
  EncodedMessage bytes =
      EncodePeerMessageInParts(message, link == nullptr ? 0 : link->features);
  uint64_t tag = next_tag_++;
  size_t unsent_bytes = UnsentBytes();
  bool full = bytes.size() > settings_.frames.chunk_bytes &&
              unsent_bytes > settings_.write_window_bytes &&
              unsent_bytes + bytes.size() > settings_.max_queued_bytes;
  if (link == nullptr || full ||
      !link->out.Push(rank_index, tag, std::move(bytes))) {
    counters_.Add("link_refusals_total",
                  link == nullptr ? "no_link" : "queue_full");
    listener_->OnLinkNotSent(peer, std::move(message));
    return;
  }
  CountExchange(link.get(), message);
  link->unsent.emplace(tag, std::move(message));
  VerifyIfIdle(link.get());
  SendQueued(link);
}

void LinkHub::Impl::CountExchange(Link* link, const PeerMessage& message) {
  link->open_exchanges =
      std::max(0, link->open_exchanges + OpenExchangesChange(message));
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
  OnReceived(link);
  counters_.Add("link_bytes_total", "received", payload.size());
  if (!link->open) {
    return link->outbound ? OnChallenge(link, payload) : OnHello(link, payload);
  }

  if (DropRefused(link, payload)) return;
  Result<std::optional<std::string>> assembled = link->in.Push(payload);
  if (const Error* error = ErrorOf(assembled)) {
    counters_.Add("link_refusals_total", error->detail);
    return;
  }
  std::optional<std::string>& complete = *ValueOf(assembled);
  if (!complete) return;
  Result<PeerMessage> message = DecodePeerMessageInPlace(std::move(*complete));
  if (const Error* error = ErrorOf(message)) {
    counters_.Add("link_refusals_total", error->detail);
    return;
  }
  counters_.Add("link_messages_total", "received");
  CountExchange(link.get(), *ValueOf(message));
  listener_->OnLinkMessage(link->peer, std::move(*ValueOf(message)));
}

/// Drops a request that begins with `frame` if the listener refuses it. False
/// if it is to be received.
bool LinkHub::Impl::DropRefused(const LinkPtr& link, const std::string& frame) {
  std::optional<std::string_view> beginning = link->in.BeginningIn(frame);
  if (!beginning) return false;
  std::optional<BegunRequest> begun = DecodeBegunRequest(*beginning);
  if (!begun || listener_->OnLinkRequestBegins(link->peer, std::move(*begun)))
    return false;
  counters_.Add("link_refusals_total", "request refused at its beginning");
  link->in.Drop(frame);
  return true;
}

/// The connecting side proves that it knows the secret and chooses the highest
/// protocol version that both sides support.
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
  LinkHello hello{version, own_address_,
                  HelloProof(settings_.secret, offered->nonce, own_address_)};
  link->write(EncodeHello(hello));
  link->features = offered->features;
  link->open = true;
  SendQueued(link);
}

void LinkHub::Impl::OnHello(const LinkPtr& link, const std::string& payload) {
  Result<LinkHello> decoded = DecodeHello(payload);
  const LinkHello* hello = ValueOf(decoded);
  bool authenticated = hello != nullptr &&
                       hello->version >= kMinProtocolVersion &&
                       hello->version <= kMaxProtocolVersion &&
                       hello->proof == HelloProof(settings_.secret, link->nonce,
                                                  hello->link_address);
  if (!authenticated) {
    counters_.Add("link_refusals_total", "hello without proof");
    return link->close();
  }
  link->peer = hello->link_address;
  link->features = hello->features;
  link->open = true;
  // If there is already a link to the same peer, that one remains in use for
  // sending.
  by_peer_.emplace(link->peer, link);
}

void LinkHub::Impl::OnClosed(Handle handle) {
  auto found = by_handle_.find(handle);
  if (found == by_handle_.end()) return;
  LinkPtr link = found->second;
  by_handle_.erase(found);
  link->send_timer->cancel();
  auto current = by_peer_.find(link->peer);
  if (current != by_peer_.end() && current->second == link)
    by_peer_.erase(current);
  link->open = false;
  ReportUnsent(link);
  if (stopped_ || link->peer.empty()) return;
  counters_.Add("links_lost_total");
  listener_->OnLinkLost(link->peer);
}

void LinkHub::Impl::OnReceived(const LinkPtr& link) {
  link->last_received = std::chrono::steady_clock::now();
  link->ping_pending = false;
  if (!link->verifying) return;
  link->verifying = false;
  SendQueued(link);
}

void LinkHub::Impl::Ping(Link* link) {
  link->ping_pending = true;
  link->silence_reported = false;
  link->pinged_at = std::chrono::steady_clock::now();
  counters_.Add("link_pings_total");
  link->ping();
}

/// A connection can be dead without a reset, and whatever is written to it is
/// lost: after a pause, messages wait until the peer has answered a ping.
void LinkHub::Impl::VerifyIfIdle(Link* link) {
  auto silent = std::chrono::steady_clock::now() - link->last_received;
  bool idle = silent >= std::chrono::milliseconds(settings_.verify_after_ms);
  if (!link->open || link->ping_pending || !idle) return;
  link->verifying = true;
  Ping(link);
}

/// Pings the peers of links with open exchanges and closes links whose peer
/// does not respond.
void LinkHub::Impl::CheckLiveness(const LinkPtr& link) {
  using Ms = std::chrono::milliseconds;
  auto now = std::chrono::steady_clock::now();
  if (!link->open) {
    bool timed_out = now - link->opened_at > Ms(settings_.handshake_timeout_ms);
    if (timed_out && link->outbound) Drop(link, "handshake timed out");
    return;
  }
  if (link->ping_pending) return CheckPing(link);
  if (link->open_exchanges == 0 ||
      now - link->last_received < Ms(settings_.ping_after_ms))
    return;
  Ping(link.get());
}

/// Reports and finally closes a link whose peer has not answered the last ping.
void LinkHub::Impl::CheckPing(const LinkPtr& link) {
  int64_t waited_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::steady_clock::now() - link->pinged_at)
                          .count();
  int64_t timeout_ms =
      link->verifying ? settings_.verify_timeout_ms : settings_.ping_timeout_ms;
  if (waited_ms > timeout_ms)
    return Drop(link, link->verifying ? "idle link is dead" : "peer is silent");
  bool silent = waited_ms > settings_.silent_after_ms;
  if (!silent || link->silence_reported) return;
  link->silence_reported = true;
  listener_->OnLinkSilent(link->peer);
  PingAll();
}

/// A silent peer may mean that many are cut off: idle links are pinged too, so
/// that the others are found before requests are sent to them.
void LinkHub::Impl::PingAll() {
  auto now = std::chrono::steady_clock::now();
  if (now < next_ping_all_) return;
  next_ping_all_ =
      now + std::chrono::milliseconds(settings_.ping_all_period_ms);
  for (auto& [handle, link] : by_handle_) {
    bool quiet = now - link->last_received >=
                 std::chrono::milliseconds(settings_.ping_after_ms);
    if (link->open && !link->ping_pending && quiet) Ping(link.get());
  }
}

/// Removes a link at once; its connection is torn down afterwards.
void LinkHub::Impl::Drop(const LinkPtr& link, const char* reason) {
  counters_.Add("link_refusals_total", reason);
  OnClosed(link->handle);
  link->terminate();
}

void LinkHub::Impl::DropAll() {
  auto links = by_handle_;
  for (auto& [handle, link] : links) Drop(link, "own pause");
}

/// Writes frames while little is buffered in the connection, so that later
/// urgent messages are not queued behind long ones. Frames of large messages
/// are left to SendPaced().
void LinkHub::Impl::SendQueued(const LinkPtr& link) {
  if (!link->open || link->verifying) return;
  while (!link->out.Empty() &&
         link->buffered() < settings_.write_window_bytes) {
    if (link->out.NextRank() >= kFirstPacedRank &&
        (!paced_.empty() || !pacer_.Allows(clock_.Now())))
      return Pace(link);
    if (!SendFrame(link)) return;
  }
  if (link->out.Empty()) return;
  link->send_timer->expires_after(std::chrono::milliseconds(kSendRetryMs));
  link->send_timer->async_wait(
      [self = shared_from_this(), link](boost::system::error_code error) {
        if (!error) self->SendQueued(link);
      });
}

/// Writes the next frame of a link. False if the connection does not take it.
bool LinkHub::Impl::SendFrame(const LinkPtr& link) {
  std::optional<uint64_t> started;
  std::optional<std::string> frame = link->out.Pop(&started);
  if (!frame || link->write(*frame)) return false;
  if (started) {
    link->unsent.erase(*started);
    counters_.Add("link_messages_total", "sent");
  }
  link->last_use = std::chrono::steady_clock::now();
  counters_.Add("link_bytes_total", "sent", frame->size());
  pacer_.OnSent(clock_.Now(), frame->size());
  return true;
}

/// Lets a link wait for its turn to send a frame of a large message.
void LinkHub::Impl::Pace(const LinkPtr& link) {
  if (!link->paced) {
    link->paced = true;
    paced_.push_back(link);
  }
  if (pace_timer_set_) return;
  pace_timer_set_ = true;
  counters_.Add("link_paced_total");
  int64_t wait_ms = std::max(kSendRetryMs, pacer_.WaitMs(clock_.Now()));
  pace_timer_.expires_after(std::chrono::milliseconds(wait_ms));
  pace_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error) self->SendPaced();
      });
}

/// Sends frames of large messages while the pacer allows it: the most urgent
/// rank first, one frame per turn of a link.
void LinkHub::Impl::SendPaced() {
  pace_timer_set_ = false;
  std::deque<LinkPtr> full;  // Links whose connection takes no more now.
  while (!paced_.empty() && pacer_.Allows(clock_.Now())) {
    auto next = std::min_element(paced_.begin(), paced_.end(),
                                 [](const LinkPtr& a, const LinkPtr& b) {
                                   return a->out.NextRank() < b->out.NextRank();
                                 });
    LinkPtr link = *next;
    paced_.erase(next);
    link->paced = false;
    if (!link->open || link->out.Empty()) continue;
    if (link->verifying || link->buffered() >= settings_.write_window_bytes) {
      full.push_back(link);
      continue;
    }
    if (!SendFrame(link) || link->out.Empty()) continue;
    link->paced = true;
    paced_.push_back(link);
  }
  for (const LinkPtr& link : full) SendQueued(link);
  if (!paced_.empty()) Pace(paced_.front());
}

void LinkHub::Impl::ReportUnsent(const LinkPtr& link) {
  std::map<uint64_t, PeerMessage> unsent = std::move(link->unsent);
  link->unsent.clear();
  for (auto& [tag, message] : unsent)
    listener_->OnLinkNotSent(link->peer, std::move(message));
}

/// Closes idle links and those that were not authenticated in time, and checks
/// the liveness of the others.
void LinkHub::Impl::Housekeep() {
  auto now = std::chrono::steady_clock::now();
  std::vector<LinkPtr> expired;
  for (const auto& [handle, link] : by_handle_) {
    bool idle = now - link->last_use >
                std::chrono::milliseconds(settings_.idle_timeout_ms);
    bool not_authenticated =
        !link->open &&
        now - link->opened_at >
            3 * std::chrono::milliseconds(settings_.handshake_timeout_ms);
    if (idle || not_authenticated) expired.push_back(link);
  }
  for (const LinkPtr& link : expired) link->close();
  auto links = by_handle_;
  for (auto& [handle, link] : links) CheckLiveness(link);
  housekeeping_.expires_after(std::chrono::milliseconds(kHousekeepingMs));
  housekeeping_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->stopped_) self->Housekeep();
      });
}

size_t LinkHub::Impl::UnsentBytes() const {
  size_t bytes = 0;
  for (const auto& [handle, link] : by_handle_)
    bytes += link->out.QueuedBytes() + link->buffered();
  return bytes;
}

void LinkHub::Impl::Stop() {
  stopped_ = true;
  housekeeping_.cancel();
  pace_timer_.cancel();
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
void LinkHub::OnOtherBytes(size_t bytes) { impl_->OnOtherBytes(bytes); }
void LinkHub::DropAll() { impl_->DropAll(); }
void LinkHub::Stop() { impl_->Stop(); }
const Counters& LinkHub::Counts() const { return impl_->Counts(); }
size_t LinkHub::OpenLinks() const { return impl_->OpenLinks(); }
size_t LinkHub::UnsentBytes() const { return impl_->UnsentBytes(); }

}  // namespace banyanloft
