#include "banyanloft/http/http_server.h"

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <unordered_map>

#include "banyanloft/core/log.h"
#include "banyanloft/http/request_check.h"

namespace banyanloft {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(asio::io_context& io, const HttpServerSettings& settings,
       HttpHandler* handler)
      : io_(io), settings_(settings), handler_(handler), acceptor_(io) {}

  Result<Endpoint> Start();
  void Reply(uint64_t id, HttpResponse response);
  void StopAccepting();
  void DisableKeepAlive() { keep_alive_disabled_ = true; }
  size_t UnfinishedResponses() const { return unfinished_responses_; }
  void SetLimits(const HttpServerSettings& settings);
  void Close();

 private:
  class Session;

  void Accept();

  asio::io_context& io_;
  HttpServerSettings settings_;
  HttpHandler* handler_;
  Tcp::acceptor acceptor_;
  uint64_t next_request_ = 1;
  size_t unfinished_responses_ = 0;
  bool stopping_ = false;
  bool keep_alive_disabled_ =
      false;  ///< Connections close after their next response.
  std::unordered_map<uint64_t, std::shared_ptr<Session>> waiting_;
  std::unordered_map<Session*, std::weak_ptr<Session>> sessions_;
};

/// One connection: reads a request, waits for its response, writes it, repeats.
class HttpServer::Impl::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<Impl> server, Tcp::socket socket)
      : server_(std::move(server)),
        stream_(std::move(socket)),
        timer_(server_->io_) {}
  ~Session() {
    SetUnfinished(false);
    server_->sessions_.erase(this);
  }

  void Read() {
    parser_.emplace();
    parser_->header_limit(
        static_cast<uint32_t>(server_->settings_.max_header_bytes));
    parser_->body_limit(server_->settings_.max_body_bytes);

    // The idle timeout applies until the first byte arrives, the shorter read
    // timeout to the rest of the request.
    if (buffer_.size() > 0) return ReadRequest();
    stream_.expires_after(
        std::chrono::milliseconds(server_->settings_.idle_timeout_ms));
    stream_.async_read_some(
        buffer_.prepare(kFirstReadBytes),
        [self = shared_from_this()](beast::error_code error, size_t bytes) {
          if (error) return;
          self->buffer_.commit(bytes);
          self->ReadRequest();
        });
  }

  void Start() {
    if (server_->settings_.first_read_delay_ms == 0) return Read();
    timer_.expires_after(
        std::chrono::milliseconds(server_->settings_.first_read_delay_ms));
    timer_.async_wait([self = shared_from_this()](beast::error_code error) {
      if (!error) self->Read();
    });
  }

  void Reply(HttpResponse response, bool keep_alive) {
    if (finished_) return;
    SetUnfinished(true);
    request_id_ = 0;
    timer_.cancel();
    beast::error_code ignored;
    stream_.socket().cancel(ignored);
    if (!PrepareResponse(std::move(response), keep_alive)) return Close();
    stream_.expires_after(
        std::chrono::milliseconds(server_->settings_.write_timeout_ms));
    bhttp::async_write(
        stream_, *response_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          self->OnWritten(error);
        });
  }

  void Close() {
    SetUnfinished(false);
    beast::error_code ignored;
    stream_.socket().close(ignored);
    timer_.cancel();
  }

 private:
  static constexpr size_t kFirstReadBytes = 4096;
  static constexpr int64_t kDisconnectPollMs = 100;
  static constexpr int64_t kLingerMs = 1000;

  void SetUnfinished(bool unfinished) {
    if (unfinished == unfinished_) return;
    unfinished_ = unfinished;
    unfinished ? ++server_->unfinished_responses_
               : --server_->unfinished_responses_;
  }

  /// False if the response cannot be written as HTTP: Beast then throws.
  bool PrepareResponse(HttpResponse response, bool keep_alive) {
    int status = response.status;
    try {
      response_.emplace();
      response_->version(11);
      response_->result(static_cast<unsigned>(status));
      if (!response.content_type.empty())
        response_->set(bhttp::field::content_type, response.content_type);
      for (const auto& [name, value] : response.headers)
        response_->insert(name, value);
      response_->keep_alive(keep_alive && keep_alive_ && !server_->stopping_ &&
                            !server_->keep_alive_disabled_);
      response_->body() = std::move(response.body);
      response_->prepare_payload();
      return true;
    } catch (const std::exception& error) {
      Log(LogLevel::kError, "http_response_invalid",
          {{"status", std::to_string(status)}, {"detail", error.what()}});
      return false;
    }
  }

  void ReadRequest() {
    stream_.expires_never();
    reading_ = true;
    SetReadTimeout(std::min(server_->settings_.header_timeout_ms,
                            server_->settings_.read_timeout_ms));
    read_pending_ = true;
    bhttp::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          self->read_pending_ = false;
          bool complete = self->parser_->is_done();
          if (error || complete || !self->reading_) return self->OnRead(error);
          self->ReadBody();
        });
  }

  void ReadBody() {
    SetReadTimeout(server_->settings_.read_timeout_ms);
    read_pending_ = true;
    bhttp::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          self->read_pending_ = false;
          self->OnRead(error);
        });
  }

  void SetReadTimeout(int64_t timeout_ms) {
    timer_.expires_after(std::chrono::milliseconds(timeout_ms));
    timer_.async_wait([self = shared_from_this()](beast::error_code error) {
      if (!error && self->reading_) self->Refuse(ErrorKind::kSlowRequest);
    });
  }

  void OnRead(beast::error_code error) {
    if (!reading_) return;
    reading_ = false;
    timer_.cancel();
    if (!error) return Deliver();
    bool oversized = error == bhttp::error::body_limit ||
                     error == bhttp::error::header_limit;
    if (oversized) return Refuse(ErrorKind::kOversizedRequest);
    bool disconnected = error == bhttp::error::end_of_stream ||
                        error == bhttp::error::partial_message;
    bool malformed =
        error.category() ==
        bhttp::make_error_code(bhttp::error::bad_method).category();
    if (malformed && !disconnected) Refuse(ErrorKind::kMalformedRequest);
  }

  /// Responds to an invalid request, then closes the connection.
  void Refuse(ErrorKind kind) {
    reading_ = false;
    Reply(server_->handler_->OnRefused(kind), false);
  }

  void Deliver() {
    bhttp::request<bhttp::string_body> message = parser_->release();
    keep_alive_ = message.keep_alive();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers.emplace_back(std::string(field.name_string()),
                                   std::string(field.value()));
    }
    request.body = std::move(message.body());
    if (const char* reason = InvalidRequestReason(request)) {
      Log(LogLevel::kWarning, "http_request_refused",
          {{"method", request.method}, {"detail", reason}});
      return Refuse(ErrorKind::kMalformedRequest);
    }

    stream_.expires_never();
    // If this process was delayed, the client may have disconnected already.
    if (ClientDisconnected()) return;
    request_id_ = server_->next_request_++;
    server_->waiting_[request_id_] = shared_from_this();
    WatchClient();
    server_->handler_->OnRequest(request_id_, std::move(request));
  }

  /// Detects a client that disconnects while its response is pending.
  void WatchClient() {
    uint64_t watched = request_id_;
    stream_.socket().async_wait(
        Tcp::socket::wait_read,
        [self = shared_from_this(), watched](beast::error_code error) {
          bool current = watched != 0 && self->request_id_ == watched;
          if (!error && current) self->PollClient();
        });
  }

  bool ClientDisconnected() {
    char byte = 0;
    ssize_t got = recv(stream_.socket().native_handle(), &byte, 1,
                       MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /// The socket may be readable because bytes of a next request have arrived:
  /// then only polling shows whether the client has disconnected.
  void PollClient() {
    if (ClientDisconnected()) return OnClientDisconnected();
    timer_.expires_after(std::chrono::milliseconds(kDisconnectPollMs));
    timer_.async_wait([self = shared_from_this()](beast::error_code error) {
      if (!error && self->request_id_ != 0) self->PollClient();
    });
  }

  void OnClientDisconnected() {
    uint64_t id = request_id_;
    request_id_ = 0;
    finished_ = true;
    server_->waiting_.erase(id);
    server_->handler_->OnAbandoned(id);
  }

  void OnWritten(beast::error_code error) {
    SetUnfinished(false);
    if (error) return;
    if (!response_->need_eof()) return Read();
    beast::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    Linger();
    if (!read_pending_) Discard();
  }

  /// Closes the connection after a short delay.
  void Linger() {
    timer_.expires_after(std::chrono::milliseconds(kLingerMs));
    timer_.async_wait([self = shared_from_this()](beast::error_code error) {
      if (!error) self->Close();
    });
  }

  /// Reads and discards input until the connection is closed: closing it with
  /// unread input would cause a reset, which could lose the response.
  void Discard() {
    discard_.resize(kFirstReadBytes);
    stream_.async_read_some(
        asio::buffer(discard_),
        [self = shared_from_this()](beast::error_code error, size_t) {
          if (!error) self->Discard();
        });
  }

  std::shared_ptr<Impl> server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<bhttp::request_parser<bhttp::string_body>> parser_;
  std::optional<bhttp::response<bhttp::string_body>> response_;
  asio::steady_timer timer_;
  std::string discard_;
  uint64_t request_id_ = 0;
  bool reading_ = false;       ///< A request is being read; its timeout runs.
  bool read_pending_ = false;  ///< Beast is reading; no other read may start.
  bool keep_alive_ = true;
  bool finished_ = false;
  bool unfinished_ = false;  ///< Counted in UnfinishedResponses().
};

Result<Endpoint> HttpServer::Impl::Start() {
  beast::error_code error;
  asio::ip::address address =
      asio::ip::make_address(settings_.listen.ip, error);
  Tcp::endpoint endpoint(address, settings_.listen.port);
  if (!error) acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Error{
        ErrorKind::kProtocolError,
        "cannot listen on " + settings_.listen.Text() + ": " + error.message()};
  }
  Accept();
  return Endpoint{settings_.listen.ip, acceptor_.local_endpoint().port()};
}

void HttpServer::Impl::Accept() {
  acceptor_.async_accept([self = shared_from_this()](beast::error_code error,
                                                     Tcp::socket socket) {
    if (error == asio::error::operation_aborted || self->stopping_) return;
    if (!error && self->sessions_.size() < self->settings_.max_connections) {
      beast::error_code ignored;
      socket.set_option(Tcp::no_delay(true), ignored);
      auto session = std::make_shared<Session>(self, std::move(socket));
      self->sessions_[session.get()] = session;
      session->Start();
    }
    self->Accept();
  });
}

void HttpServer::Impl::Reply(uint64_t id, HttpResponse response) {
  auto it = waiting_.find(id);
  if (it == waiting_.end()) return;
  std::shared_ptr<Session> session = std::move(it->second);
  waiting_.erase(it);
  session->Reply(std::move(response), true);
}

void HttpServer::Impl::StopAccepting() {
  stopping_ = true;
  beast::error_code ignored;
  acceptor_.close(ignored);
}

void HttpServer::Impl::SetLimits(const HttpServerSettings& settings) {
  HttpServerSettings next = settings;
  next.listen = settings_.listen;
  next.max_connections = settings_.max_connections;
  next.first_read_delay_ms = settings_.first_read_delay_ms;
  settings_ = next;
}

void HttpServer::Impl::Close() {
  StopAccepting();
  waiting_.clear();
  std::vector<std::shared_ptr<Session>> open;
  for (auto& [raw, weak] : sessions_) {
    if (std::shared_ptr<Session> session = weak.lock())
      open.push_back(std::move(session));
  }
  for (const std::shared_ptr<Session>& session : open) session->Close();
}

HttpServer::HttpServer(asio::io_context& io, const HttpServerSettings& settings,
                       HttpHandler* handler)
    : impl_(std::make_shared<Impl>(io, settings, handler)) {}

HttpServer::~HttpServer() { impl_->Close(); }

Result<Endpoint> HttpServer::Start() { return impl_->Start(); }
void HttpServer::Reply(uint64_t id, HttpResponse response) {
  impl_->Reply(id, std::move(response));
}
void HttpServer::StopAccepting() { impl_->StopAccepting(); }
void HttpServer::DisableKeepAlive() { impl_->DisableKeepAlive(); }
size_t HttpServer::UnfinishedResponses() const {
  return impl_->UnfinishedResponses();
}
void HttpServer::SetLimits(const HttpServerSettings& settings) {
  impl_->SetLimits(settings);
}

}  // namespace banyanloft
