#include "banyanloft/http/http_server.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "banyanloft/core/log.h"
#include "banyanloft/core/time.h"
#include "banyanloft/http/request_check.h"

namespace banyanloft {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;

/// Body of a request. Memory is reserved as bytes arrive: an announced length
/// alone must not take any.
struct ReceivedBody {
  using value_type = std::string;

  static uint64_t size(const value_type& body) { return body.size(); }

  // Beast requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  class reader {
   public:
    template <bool isRequest, class Fields>
    reader(bhttp::header<isRequest, Fields>&, value_type& body) : body_(body) {}

    void init(const boost::optional<uint64_t>& length,
              beast::error_code& error) {
      if (length) announced_ = static_cast<size_t>(*length);
      error = {};
    }
    template <class Buffers>
    size_t put(const Buffers& buffers, beast::error_code& error) {
      error = {};
      size_t bytes = asio::buffer_size(buffers);
      size_t needed = body_.size() + bytes;
      if (needed > body_.capacity()) {
        // Once a quarter has arrived, the rest is reserved: a later growth
        // would hold a long body twice while it is copied.
        size_t more = std::max(needed, 2 * body_.capacity());
        if (announced_ >= needed && 4 * needed >= announced_) more = announced_;
        body_.reserve(more);
      }
      for (auto it = asio::buffer_sequence_begin(buffers);
           it != asio::buffer_sequence_end(buffers); ++it) {
        asio::const_buffer buffer = *it;
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return bytes;
    }
    void finish(beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
    size_t announced_ = 0;
  };
};

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(asio::io_context& io, const HttpServerSettings& settings,
       HttpHandler* handler)
      : io_(io),
        settings_(settings),
        handler_(handler),
        acceptor_(io),
        bodies_(settings.bodies),
        responses_(settings.responses) {}

  Result<Endpoint> Start();
  void Reply(uint64_t id, HttpResponse response);
  void StopAccepting();
  void DisableKeepAlive() { keep_alive_disabled_ = true; }
  size_t UnfinishedResponses() const { return unfinished_responses_; }
  size_t HeldBodyBytes() const { return bodies_.HeldBytes(); }
  const Counters& Counts() const { return counters_; }
  void SetLimits(const HttpServerSettings& settings);
  void Close();

 private:
  class Session;

  void Accept();
  void LimitBodies(TimeMs now);
  void LimitResponses();

  asio::io_context& io_;
  HttpServerSettings settings_;
  HttpHandler* handler_;
  Tcp::acceptor acceptor_;
  SteadyClock clock_;
  uint64_t next_request_ = 1;
  uint64_t next_session_ = 1;
  size_t unfinished_responses_ = 0;
  bool stopping_ = false;
  /// Connections close after the responses to the requests read so far.
  bool keep_alive_disabled_ = false;
  BodyBudget bodies_;
  ResponseBudget responses_;
  Counters counters_;
  std::string scratch_;  ///< Input of the connection that is being read.
  std::unordered_map<uint64_t, std::shared_ptr<Session>> waiting_;
  std::unordered_map<uint64_t, std::weak_ptr<Session>> sessions_;
};

/// One connection: reads requests, delivers them, and writes their responses in
/// the order of the requests.
class HttpServer::Impl::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<Impl> server, uint64_t id, Tcp::socket socket)
      : server_(std::move(server)),
        id_(id),
        socket_(std::move(socket)),
        read_timer_(server_->io_),
        write_timer_(server_->io_),
        watch_timer_(server_->io_) {}
  ~Session() {
    DiscardInput();
    for (const Request& request : requests_) ReleaseMemory(request);
    requests_.clear();
    CountUnfinished();
    server_->sessions_.erase(id_);
  }

  void Start() {
    beast::error_code ignored;
    socket_.non_blocking(true, ignored);
    if (server_->settings_.first_read_delay_ms == 0) return Read();
    SetReadTimer(server_->settings_.first_read_delay_ms, &Session::Read);
  }

  void Reply(uint64_t id, HttpResponse response) {
    for (Request& request : requests_) {
      if (request.id != id) continue;
      request.answered = true;
      request.response = std::move(response);
      server_->bodies_.Release(request.body_bytes);
      request.body_bytes = 0;
      request.response_number =
          server_->responses_.Hold(id_, request.response.body.size());
      CountUnfinished();
      return Write();
    }
  }

  /// Gives up the body that is being received, for lack of memory.
  void GiveUpBody() {
    if (!parser_) return;
    server_->counters_.Add("http_bodies_given_up_total");
    Log(LogLevel::kWarning, "http_body_given_up",
        {{"received", std::to_string(parser_->get().body().size())},
         {"held", std::to_string(server_->bodies_.HeldBytes())}});
    Refuse(ErrorKind::kQueueFull);
  }

  /// Closes the connection, for lack of memory for its responses.
  void GiveUpResponses() {
    server_->counters_.Add("http_connections_given_up_total");
    Log(LogLevel::kWarning, "http_connection_given_up",
        {{"requests", std::to_string(requests_.size())},
         {"held", std::to_string(server_->responses_.HeldBytes())}});
    Close(true);
  }

  /// Closes the connection. The requests in progress are abandoned; `notify`:
  /// the handler is told so.
  void Close(bool notify) {
    if (closed_) return;
    closed_ = true;
    DiscardInput();
    beast::error_code ignored;
    socket_.close(ignored);
    read_timer_.cancel();
    write_timer_.cancel();
    watch_timer_.cancel();
    Abandon(0, notify);
  }

 private:
  /// Unparsed bytes of further requests that are read while none may begin, and
  /// capacity that an idle connection keeps.
  static constexpr size_t kMaxReadAheadBytes = 4096;
  static constexpr size_t kReadBytes = 64 * 1024;
  /// Arrival times kept for unparsed bytes.
  static constexpr size_t kMaxArrivals = 16;
  static constexpr int64_t kDisconnectPollMs = 100;
  static constexpr int64_t kLingerMs = 1000;

  /// A request whose response has not been written yet.
  struct Request {
    uint64_t id = 0;  ///< 0: not delivered.
    HttpRequest message;
    TimeMs arrived;  ///< Time of its last byte.
    bool safe = false;
    bool keep_alive = false;
    size_t body_bytes = 0;  ///< Counted as in progress.
    bool answered = false;
    HttpResponse response;
    uint64_t response_number = 0;  ///< Of `response` in the budget.
  };

  TimeMs Now() const { return server_->clock_.Now(); }

  void ReleaseMemory(const Request& request) {
    server_->bodies_.Release(request.body_bytes);
    server_->responses_.Release(request.response_number);
  }

  /// Counts the requests that UnfinishedResponses() reports: all but those that
  /// the handler works on.
  void CountUnfinished() {
    size_t unfinished = 0;
    for (const Request& request : requests_)
      unfinished += request.id == 0 || request.answered ? 1 : 0;
    server_->unfinished_responses_ += unfinished - unfinished_;
    unfinished_ = unfinished;
  }

  void SetReadTimer(int64_t timeout_ms, void (Session::*on_timeout)()) {
    read_timer_.expires_after(std::chrono::milliseconds(timeout_ms));
    uint64_t timeout = ++read_timeout_;
    read_timer_.async_wait([self = shared_from_this(), timeout,
                            on_timeout](beast::error_code error) {
      bool current = timeout == self->read_timeout_ && !self->closed_;
      if (!error && current) (self.get()->*on_timeout)();
    });
  }
  void CancelReadTimer() {
    ++read_timeout_;
    read_timer_.cancel();
  }
  void OnIdleTimeout() { Close(true); }
  void OnRequestTimeout() { Refuse(ErrorKind::kSlowRequest); }

  /// Waits for input, unless enough of further requests has been read.
  void Read() {
    if (closed_ || input_ended_) return;
    bool idle = requests_.empty() && !parser_ && buffer_.size() == 0;
    if (idle && !closing_ && !idle_timer_set_) {
      idle_timer_set_ = true;
      SetReadTimer(server_->settings_.idle_timeout_ms, &Session::OnIdleTimeout);
    }
    if (read_pending_) return;
    bool full = !closing_ && !parser_ && buffer_.size() >= kMaxReadAheadBytes;
    if (full) return WatchClient();
    read_pending_ = true;
    socket_.async_wait(Tcp::socket::wait_read,
                       [self = shared_from_this()](beast::error_code error) {
                         self->read_pending_ = false;
                         if (!error && !self->closed_) self->OnReadable();
                       });
  }

  void OnReadable() {
    std::string& scratch = server_->scratch_;
    scratch.resize(kReadBytes);
    // What does not belong to a body may stay unparsed for long.
    size_t room = kMaxReadAheadBytes;
    if (closing_ || (parser_ && header_read_)) room = kReadBytes;
    if (!closing_ && !parser_) room -= buffer_.size();
    beast::error_code error;
    size_t bytes = socket_.read_some(asio::buffer(scratch.data(), room), error);
    if (error == asio::error::would_block) return Read();
    if (error) return OnClientDisconnected();
    if (closing_) return Read();
    if (idle_timer_set_) CancelReadTimer();
    idle_timer_set_ = false;
    asio::buffer_copy(buffer_.prepare(bytes), asio::buffer(scratch, bytes));
    buffer_.commit(bytes);
    read_bytes_ += bytes;
    if (arrivals_.size() < kMaxArrivals)
      arrivals_.push_back({read_bytes_, Now()});
    else
      arrivals_.back().end = read_bytes_;
    ProcessInput();
  }

  /// Parses what has been read and delivers the requests that are complete.
  void ProcessInput() {
    if (processing_) return;
    processing_ = true;
    while (!closed_ && ParseRequest()) {
    }
    processing_ = false;
    if (closed_) return;
    while (!arrivals_.empty() && arrivals_.front().end <= parsed_bytes_)
      arrivals_.pop_front();
    if (buffer_.size() == 0 && buffer_.capacity() > kMaxReadAheadBytes)
      buffer_.shrink_to_fit();
    Read();
  }

  /// Whether a further request may begin beside those in progress.
  bool MayBegin() const {
    if (requests_.empty()) return true;
    bool stopping = server_->stopping_ || server_->keep_alive_disabled_;
    return !stopping && requests_.back().safe &&
           requests_.size() < server_->settings_.max_pipelined_requests;
  }

  /// True if a request was complete and the next may be parsed.
  bool ParseRequest() {
    if (closing_ || buffer_.size() == 0) return false;
    if (!parser_) {
      if (!MayBegin()) return false;
      const HttpServerSettings& settings = server_->settings_;
      parser_.emplace();
      parser_->header_limit(static_cast<uint32_t>(settings.max_header_bytes));
      parser_->body_limit(settings.max_body_bytes);
      parser_->eager(true);
      header_read_ = false;
      SetReadTimer(
          std::min(settings.header_timeout_ms, settings.read_timeout_ms),
          &Session::OnRequestTimeout);
    }
    beast::error_code error;
    size_t parsed = 0;
    while (!error && buffer_.size() > 0 && !parser_->is_done()) {
      parsed = parser_->put(buffer_.cdata(), error);
      buffer_.consume(parsed);
      parsed_bytes_ += parsed;
      if (parsed == 0) break;
    }
    if (error && error != bhttp::error::need_more) {
      RefuseInput(error);
      return false;
    }
    if (!CountBody()) return false;
    if (parser_->is_done()) return OnRequestRead();
    // What is left belongs to a header, to trailers or to a line between
    // chunks. The parser limits only the first.
    if (buffer_.size() > server_->settings_.max_header_bytes) {
      Refuse(ErrorKind::kOversizedRequest);
      return false;
    }
    if (parser_->is_header_done() && !header_read_) {
      header_read_ = true;
      SetReadTimer(server_->settings_.read_timeout_ms,
                   &Session::OnRequestTimeout);
    }
    return false;
  }

  /// Counts the memory of the body that is being received. False if it was
  /// given up.
  bool CountBody() {
    size_t bytes = parser_->get().body().size();
    if (bytes == 0) return true;
    TimeMs now = Now();
    server_->bodies_.Receive(now, id_, bytes);
    server_->LimitBodies(now);
    return parser_.has_value();
  }

  void RefuseInput(beast::error_code error) {
    bool oversized = error == bhttp::error::body_limit ||
                     error == bhttp::error::header_limit;
    Refuse(oversized ? ErrorKind::kOversizedRequest
                     : ErrorKind::kMalformedRequest);
  }

  /// Answers an invalid request after all earlier ones, then closes the
  /// connection.
  void Refuse(ErrorKind kind) {
    DiscardInput();
    closing_ = true;
    server_->counters_.Add("http_requests_refused_total",
                           std::string(NameOf(kind)));
    Request refused;
    refused.answered = true;
    refused.response = server_->handler_->OnRefused(kind);
    requests_.push_back(std::move(refused));
    CountUnfinished();
    Write();
    // The rest of the input is discarded meanwhile.
    if (!processing_) Read();
  }

  /// Discards the request that is being read and all input behind it.
  void DiscardInput() {
    CancelReadTimer();
    idle_timer_set_ = false;
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
    server_->bodies_.Discard(id_);
  }

  /// True if the next request may be parsed.
  bool OnRequestRead() {
    CancelReadTimer();
    bhttp::request<ReceivedBody> message = parser_->release();
    Request request;
    request.keep_alive = message.keep_alive();
    HttpRequest& out = request.message;
    out.method = std::string(message.method_string());
    out.target = std::string(message.target());
    size_t header_bytes = 0;
    for (const auto& field : message) {
      header_bytes += field.name_string().size() + field.value().size();
      out.headers.emplace_back(std::string(field.name_string()),
                               std::string(field.value()));
    }
    out.body = std::move(message.body());
    if (header_bytes > server_->settings_.max_header_bytes) {
      // Header and trailers together; the parser limits only the header.
      Refuse(ErrorKind::kOversizedRequest);
      return false;
    }
    if (const char* reason = InvalidRequestReason(out)) {
      Log(LogLevel::kWarning, "http_request_refused",
          {{"method", out.method}, {"detail", reason}});
      Refuse(ErrorKind::kMalformedRequest);
      return false;
    }
    parser_.reset();
    request.body_bytes = server_->bodies_.Complete(id_);
    request.safe = out.method == "GET" || out.method == "HEAD";
    while (!arrivals_.empty() && arrivals_.front().end < parsed_bytes_)
      arrivals_.pop_front();
    request.arrived = arrivals_.empty() ? Now() : arrivals_.front().time;
    // Nothing behind a request that closes the connection is read.
    if (!request.keep_alive) closing_ = true;
    requests_.push_back(std::move(request));
    CountUnfinished();
    Deliver();
    return !closing_;
  }

  /// Delivers the requests that may start. One that is not safe starts only
  /// when it is alone: if it failed halfway, its client could not tell which of
  /// several have run.
  void Deliver() {
    for (size_t i = 0; !closed_ && i < requests_.size(); ++i) {
      Request& request = requests_[i];
      if (request.id != 0 || request.answered) continue;
      if (!request.safe && i > 0) return;
      // If this process was delayed, the client may have disconnected already.
      if (ClientDisconnected()) return OnClientDisconnected();
      request.id = server_->next_request_++;
      uint64_t id = request.id;
      HttpRequest message = std::move(request.message);
      message.waited_ms = Now() - request.arrived;
      server_->waiting_[id] = shared_from_this();
      CountUnfinished();
      server_->handler_->OnRequest(id, std::move(message));
    }
  }

  /// Whether the client has closed the connection, even if there is unread
  /// input.
  bool ClientDisconnected() {
    pollfd polled{socket_.native_handle(), POLLRDHUP, 0};
    return poll(&polled, 1, 0) > 0;
  }

  /// Detects a client that disconnects while its input is not read.
  void WatchClient() {
    if (watching_) return;
    watching_ = true;
    watch_timer_.expires_after(std::chrono::milliseconds(kDisconnectPollMs));
    watch_timer_.async_wait(
        [self = shared_from_this()](beast::error_code error) {
          self->watching_ = false;
          if (error || self->closed_) return;
          if (self->ClientDisconnected()) return self->OnClientDisconnected();
          self->Read();
        });
  }

  /// A client that closes its sending side no longer waits for responses, apart
  /// from those that are ready.
  void OnClientDisconnected() {
    if (closed_ || input_ended_) return;
    input_ended_ = true;
    DiscardInput();
    size_t ready = 0;
    while (ready < requests_.size() && requests_[ready].answered) ++ready;
    Abandon(ready, true);
    if (requests_.empty()) Close(true);
  }

  /// Abandons all requests but the first `kept`.
  void Abandon(size_t kept, bool notify) {
    std::vector<uint64_t> abandoned;
    while (requests_.size() > kept) {
      Request& last = requests_.back();
      ReleaseMemory(last);
      if (last.id != 0 && !last.answered) abandoned.push_back(last.id);
      requests_.pop_back();
    }
    CountUnfinished();
    for (uint64_t id : abandoned) {
      server_->waiting_.erase(id);
      if (notify) server_->handler_->OnAbandoned(id);
    }
  }

  /// Writes the next response if it is ready.
  void Write() {
    if (closed_ || writing_ || requests_.empty() || !requests_.front().answered)
      return;
    Request& request = requests_.front();
    bool stopping = server_->stopping_ || server_->keep_alive_disabled_;
    // Requests that have been read are answered before the connection closes.
    bool closes = !request.keep_alive || (stopping && requests_.size() == 1);
    if (!PrepareResponse(std::move(request.response), !closes))
      return Close(true);
    if (response_->need_eof()) {
      closing_ = true;
      DiscardInput();
    }
    writing_ = true;
    write_timer_.expires_after(
        std::chrono::milliseconds(server_->settings_.write_timeout_ms));
    write_timer_.async_wait(
        [self = shared_from_this()](beast::error_code error) {
          bool due =
              self->write_timer_.expiry() <= std::chrono::steady_clock::now();
          if (!error && due && self->writing_) self->Close(true);
        });
    bhttp::async_write(
        socket_, *response_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          self->OnWritten(error);
        });
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
      response_->keep_alive(keep_alive);
      response_->body() = std::move(response.body);
      response_->prepare_payload();
      return true;
    } catch (const std::exception& error) {
      Log(LogLevel::kError, "http_response_invalid",
          {{"status", std::to_string(status)}, {"detail", error.what()}});
      return false;
    }
  }

  void OnWritten(beast::error_code error) {
    writing_ = false;
    write_timer_.cancel();
    if (closed_) return;
    if (error) return Close(true);
    bool closes = response_->need_eof();
    response_.reset();
    ReleaseMemory(requests_.front());
    requests_.pop_front();
    CountUnfinished();
    if (closes) return Linger();
    if (input_ended_ && requests_.empty()) return Close(true);
    Write();
    Deliver();
    if (!closed_) ProcessInput();
  }

  /// Closes the connection after a short delay in which input is read and
  /// discarded: closing it with unread input would cause a reset, which could
  /// lose the response.
  void Linger() {
    Abandon(0, true);
    if (input_ended_) return Close(true);
    beast::error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    SetReadTimer(kLingerMs, &Session::OnIdleTimeout);
    Read();
  }

  /// The bytes up to the `end`-th of the connection arrived by `time`.
  struct Arrival {
    uint64_t end = 0;
    TimeMs time;
  };

  std::shared_ptr<Impl> server_;
  uint64_t id_;
  Tcp::socket socket_;
  beast::flat_buffer buffer_;     ///< Input that has not been parsed.
  std::deque<Arrival> arrivals_;  ///< Of the bytes in `buffer_`.
  uint64_t read_bytes_ = 0;
  uint64_t parsed_bytes_ = 0;
  std::optional<bhttp::request_parser<ReceivedBody>> parser_;
  std::deque<Request> requests_;  ///< In the order of their responses.
  std::optional<bhttp::response<bhttp::string_body>> response_;
  asio::steady_timer read_timer_;
  asio::steady_timer write_timer_;
  asio::steady_timer watch_timer_;
  uint64_t read_timeout_ = 0;  ///< Number of the timeout that is set.
  size_t unfinished_ = 0;      ///< Counted in UnfinishedResponses().
  bool idle_timer_set_ = false;
  bool read_pending_ = false;
  bool watching_ = false;
  bool header_read_ = false;  ///< Of the request that is being read.
  bool processing_ = false;
  bool writing_ = false;
  bool closing_ = false;      ///< No further request is read.
  bool input_ended_ = false;  ///< The client has closed its sending side.
  bool closed_ = false;
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
      uint64_t id = self->next_session_++;
      auto session = std::make_shared<Session>(self, id, std::move(socket));
      self->sessions_[id] = session;
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
  session->Reply(id, std::move(response));
  LimitResponses();
}

/// Gives up incomplete bodies while all bodies exceed their limits.
void HttpServer::Impl::LimitBodies(TimeMs now) {
  while (std::optional<uint64_t> excess = bodies_.Excess(now)) {
    auto it = sessions_.find(*excess);
    std::shared_ptr<Session> session =
        it != sessions_.end() ? it->second.lock() : nullptr;
    if (session) session->GiveUpBody();
    bodies_.Discard(*excess);
  }
}

/// Closes connections while the responses of all exceed their limits.
void HttpServer::Impl::LimitResponses() {
  while (std::optional<uint64_t> excess = responses_.Excess()) {
    auto it = sessions_.find(*excess);
    assert(it != sessions_.end());
    std::shared_ptr<Session> session = it->second.lock();
    assert(session);
    session->GiveUpResponses();
  }
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
  bodies_.Apply(settings_.bodies);
  responses_.Apply(settings_.responses);
}

void HttpServer::Impl::Close() {
  StopAccepting();
  waiting_.clear();
  std::vector<std::shared_ptr<Session>> open;
  for (auto& [id, weak] : sessions_) {
    if (std::shared_ptr<Session> session = weak.lock())
      open.push_back(std::move(session));
  }
  for (const std::shared_ptr<Session>& session : open) session->Close(false);
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
size_t HttpServer::HeldBodyBytes() const { return impl_->HeldBodyBytes(); }
const Counters& HttpServer::Counts() const { return impl_->Counts(); }
void HttpServer::SetLimits(const HttpServerSettings& settings) {
  impl_->SetLimits(settings);
}

}  // namespace banyanloft
