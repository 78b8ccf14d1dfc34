#include "banyanloft/http/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cassert>
#include <charconv>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "banyanloft/core/log.h"

namespace banyanloft {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;
/// Request bodies up to this size fit into the socket buffers: they are written
/// before the response is read.
constexpr size_t kMaxSequentialBodyBytes = 16 * 1024;

/// Unparsed input of a connection: at least a head, or a line between the
/// chunks of a body.
constexpr size_t kMaxUnparsedBytes = 64 * 1024;
/// Lower statuses are interim responses.
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;

using SteadyTime = std::chrono::steady_clock::time_point;

}  // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
 public:
  Impl(asio::io_context& io, const HttpClientSettings& settings)
      : io_(io), settings_(settings) {
    beast::error_code error;
    endpoint_ =
        Tcp::endpoint(asio::ip::make_address(settings_.server.ip, error),
                      settings_.server.port);
  }

  void Send(uint64_t id, HttpRequest request, int64_t timeout_ms, Callback done,
            ResponseMatcher matcher);
  void Cancel(uint64_t id);
  void Probe(std::function<void(bool)> done);
  void Close();
  size_t BufferedBodyBytes() const { return buffered_body_bytes_; }
  const Counters& Counts() const { return counters_; }

 private:
  class Connection;
  struct Job {
    uint64_t id = 0;
    HttpRequest request;  ///< Its body is in `shared_body`.
    SteadyTime deadline;
    Callback done;
    ResponseMatcher matcher;
  };

  void Assign(Job job);
  std::shared_ptr<Connection> TakeIdle();
  void OnIdle(const std::shared_ptr<Connection>& connection);
  void OnIdleInput(const std::shared_ptr<Connection>& connection);
  void OnClosed();
  void StartNext();
  void LimitBufferedBodies();
  static void Fail(Job job, HttpFailure failure) {
    HttpOutcome outcome;
    outcome.failure = failure;
    job.done(std::move(outcome));
  }

  asio::io_context& io_;
  HttpClientSettings settings_;
  Tcp::endpoint endpoint_;
  size_t open_connections_ = 0;
  size_t buffered_body_bytes_ = 0;  ///< Sum over the busy connections.
  bool closed_ = false;
  std::vector<std::shared_ptr<Connection>> idle_;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> busy_;
  std::deque<Job> waiting_;
  Counters counters_;
};

/// One connection and the request it carries.
class HttpClient::Impl::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(std::shared_ptr<Impl> client)
      : client_(std::move(client)),
        stream_(client_->io_),
        buffer_(kMaxUnparsedBytes) {}

  void Connect(Job job) {
    job_ = std::move(job);

    auto limit =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(client_->settings_.connect_timeout_ms);
    stream_.expires_at(std::min(limit, job_->deadline));
    stream_.async_connect(client_->endpoint_, [self = shared_from_this()](
                                                  beast::error_code error) {
      if (error) return self->Finish(HttpFailure::kNotSent);
      beast::error_code ignored;
      self->stream_.socket().set_option(Tcp::no_delay(true), ignored);
      self->Write();
    });
  }

  void Start(Job job) {
    job_ = std::move(job);
    reused_ = true;
    Write();
  }

  /// False once the server has closed the idle connection, or sent something.
  bool IsOpen() {
    char byte = 0;
    ssize_t got = recv(stream_.socket().native_handle(), &byte, 1,
                       MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void Cancel() {
    cancelled_ = true;
    CloseSocket();
  }
  void CloseSocket() {
    beast::error_code ignored;
    stream_.socket().close(ignored);
  }
  /// Notices that the server closes the idle connection, or sends what belongs
  /// to no request.
  void WatchIdle() {
    // An earlier wait may not have ended yet. It also ends by a response, which
    // concerns only the reads.
    if (watching_) return;
    watching_ = true;
    stream_.socket().async_wait(
        Tcp::socket::wait_read,
        [self = shared_from_this()](beast::error_code error) {
          self->watching_ = false;
          if (!error && !self->job_) self->client_->OnIdleInput(self);
        });
  }
  /// Bytes of the response body received so far.
  size_t BufferedBytes() const { return buffered_bytes_; }
  /// Closes the connection because its response takes too much memory.
  void CutOff() { Finish(HttpFailure::kTooLarge); }
  /// Whether the connection has been idle for longer than allowed.
  bool IdleExpired() const {
    return std::chrono::steady_clock::now() - idle_since_ >=
           std::chrono::milliseconds(idle_limit_ms_);
  }

 private:
  void Write() {
    if (cancelled_) return Finish(HttpFailure::kNotSent);
    // Stays whole: if nothing of it is written, it is sent again.
    const HttpRequest& request = job_->request;
    body_ = request.shared_body;
    if (!PrepareMessage(request)) return Finish(HttpFailure::kInvalidRequest);
    PrepareParser();
    stream_.expires_at(job_->deadline);
    written_ = false;
    skipped_ = 0;
    bool long_body = body_.size() > kMaxSequentialBodyBytes;
    bhttp::async_write(stream_, *message_,
                       [self = shared_from_this(), long_body](
                           beast::error_code error, size_t bytes) {
                         if (!self->job_) return;
                         if (error && bytes == 0)
                           return self->FinishUnsent(error);
                         if (error) return self->Finish(self->FailureOf(error));
                         self->written_ = true;
                         if (!long_body) self->ReadResponse();
                       });
    // A server may respond before it has read a long body, and then stop
    // reading.
    if (long_body) ReadResponse();
  }

  /// No byte was written: a request for which the server closed an idle
  /// connection is sent on another one.
  void FinishUnsent(beast::error_code error) {
    if (cancelled_ || error == beast::error::timeout)
      return Finish(HttpFailure::kNotSent);
    if (!reused_) return Finish(HttpFailure::kResetUnsent);
    CloseSocket();
    SetBufferedBytes(0);
    Job job = std::move(*job_);
    job_.reset();
    client_->busy_.erase(job.id);
    --client_->open_connections_;
    if (client_->closed_) return;
    const std::string& role = client_->settings_.server_role;
    client_->counters_.Add("http_requests_resent_total", role);
    Log(LogLevel::kInfo, "http_request_resent",
        {{"server", role},
         {"method", job.request.method},
         {"target", job.request.target},
         {"detail", error.message()}});
    client_->Assign(std::move(job));
  }

  /// False if the request cannot be written as HTTP: Beast then throws.
  bool PrepareMessage(const HttpRequest& request) {
    try {
      message_.emplace();
      message_->version(11);
      message_->method_string(request.method);
      message_->target(request.target);
      message_->set(bhttp::field::host, client_->settings_.server.Text());
      for (const auto& [name, value] : request.headers) {
        if (bhttp::string_to_field(name) == bhttp::field::host) {
          message_->set(bhttp::field::host, value);
        } else {
          message_->insert(name, value);
        }
      }
      message_->body() = {body_.Get().data(), body_.size()};
      message_->prepare_payload();
      return true;
    } catch (const std::exception& error) {
      Log(LogLevel::kError, "http_request_invalid",
          {{"method", request.method}, {"detail", error.what()}});
      return false;
    }
  }

  void PrepareParser() {
    SetBufferedBytes(0);
    parser_.emplace();
    parser_->header_limit(
        static_cast<uint32_t>(client_->settings_.max_head_bytes));
    parser_->body_limit(client_->settings_.max_body_bytes);
  }

  /// Reads piece by piece, so that the memory of all connections together stays
  /// bounded while the responses arrive.
  void ReadResponse() {
    bhttp::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          if (!self->job_) return;
          if (error) return self->Finish(self->FailureOf(error));
          if (self->HasInvalidStatus())
            return self->Finish(HttpFailure::kBroken);
          if (self->parser_->is_done()) return self->Deliver();
          self->SetBufferedBytes(self->parser_->get().body().size());
          self->client_->LimitBufferedBodies();
          if (self->job_) self->ReadResponse();
        });
  }

  /// Whether the response has a status that HTTP does not define (RFC 9110,
  /// section 15). Beast accepts any three digits.
  bool HasInvalidStatus() const {
    if (!parser_->is_header_done()) return false;
    unsigned status = parser_->get().result_int();
    return status < kFirstStatus || status > kLastStatus;
  }

  void SetBufferedBytes(size_t bytes) {
    client_->buffered_body_bytes_ += bytes - buffered_bytes_;
    buffered_bytes_ = bytes;
  }

  /// Drops a response that is not the awaited one and reads the next.
  void SkipResponse() {
    if (++skipped_ > client_->settings_.max_skipped_responses)
      return Finish(HttpFailure::kBroken);
    PrepareParser();
    ReadResponse();
  }

  HttpFailure FailureOf(beast::error_code error) const {
    if (cancelled_) return HttpFailure::kCancelled;
    if (error == beast::error::timeout) return HttpFailure::kTimeout;
    if (error == bhttp::error::body_limit) return HttpFailure::kTooLarge;
    return HttpFailure::kBroken;
  }

  void Deliver() {
    if (parser_->get().result_int() < kFirstFinalStatus) return SkipResponse();
    SetBufferedBytes(0);
    bool delimited_by_close = parser_->need_eof();
    bhttp::response<bhttp::string_body> message = parser_->release();
    HttpOutcome outcome;
    outcome.response.status = static_cast<int>(message.result_int());
    outcome.response.content_type =
        std::string(message[bhttp::field::content_type]);
    for (const auto& field : message) {
      outcome.response.headers.emplace_back(std::string(field.name_string()),
                                            std::string(field.value()));
    }
    outcome.response.body = std::move(message.body());
    ResponseMatch match = job_->matcher ? job_->matcher(outcome.response)
                                        : ResponseMatch::kMatches;
    if (match != ResponseMatch::kMatches) desynchronized_ = true;
    if (match == ResponseMatch::kOther) {
      if (delimited_by_close) return Finish(HttpFailure::kBroken);
      return SkipResponse();
    }

    Job job = std::move(*job_);
    job_.reset();
    client_->busy_.erase(job.id);
    // If bytes follow the response, they belong to no request.
    bool reusable = message.keep_alive() && !delimited_by_close &&
                    !cancelled_ && !desynchronized_ && written_ &&
                    buffer_.size() == 0;
    if (reusable) {
      message_.reset();
      body_ = SharedBytes();
      idle_limit_ms_ = IdleLimitMs(message[bhttp::field::keep_alive]);
      idle_since_ = std::chrono::steady_clock::now();
      stream_.expires_never();
      client_->OnIdle(shared_from_this());
    } else {
      CloseSocket();
      client_->OnClosed();
    }
    job.done(std::move(outcome));
  }

  /// Idle timeout of the connection: the configured one or, if shorter, the one
  /// stated by the server (`Keep-Alive: timeout=SECONDS`) minus a second of
  /// margin.
  int64_t IdleLimitMs(beast::string_view keep_alive) const {
    int64_t limit_ms = client_->settings_.idle_timeout_ms;
    constexpr std::string_view kName = "timeout=";
    std::string_view text(keep_alive.data(), keep_alive.size());
    size_t at = text.find(kName);
    if (at == std::string_view::npos) return limit_ms;
    int64_t stated_s = 0;
    const char* first = text.data() + at + kName.size();
    auto [end, error] =
        std::from_chars(first, text.data() + text.size(), stated_s);
    if (error != std::errc()) return limit_ms;
    return std::min(limit_ms, std::max<int64_t>(0, (stated_s - 1) * 1000));
  }

  void Finish(HttpFailure failure) {
    if (!job_) return;
    CloseSocket();
    SetBufferedBytes(0);
    Job job = std::move(*job_);
    job_.reset();
    client_->busy_.erase(job.id);
    client_->OnClosed();
    if (client_->closed_) return;
    Fail(std::move(job), failure);
  }

  std::shared_ptr<Impl> client_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  /// Refers to `body_`.
  std::optional<bhttp::request<bhttp::span_body<const char>>> message_;
  SharedBytes body_;  ///< Of the request that is being written.
  std::optional<bhttp::response_parser<bhttp::string_body>> parser_;
  std::optional<Job> job_;
  SteadyTime idle_since_;
  int64_t idle_limit_ms_ = 0;
  size_t buffered_bytes_ = 0;
  int skipped_ = 0;       ///< Responses skipped before the awaited one.
  bool written_ = false;  ///< The whole request was written to the socket.
  /// Carried a response that belongs to no request, or may be sent again
  /// unnoticed.
  bool desynchronized_ = false;
  bool cancelled_ = false;
  bool watching_ = false;  ///< Waits for input.
  bool reused_ = false;    ///< Has carried a request before.
};

void HttpClient::Impl::Send(uint64_t id, HttpRequest request,
                            int64_t timeout_ms, Callback done,
                            ResponseMatcher matcher) {
  Job job;
  job.id = id;
  job.request = std::move(request);
  if (job.request.shared_body.empty())
    job.request.shared_body = std::move(job.request.body);
  job.deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  job.done = std::move(done);
  job.matcher = std::move(matcher);
  Assign(std::move(job));
}

void HttpClient::Impl::Assign(Job job) {
  uint64_t id = job.id;
  if (std::shared_ptr<Connection> connection = TakeIdle()) {
    busy_[id] = connection;
    return connection->Start(std::move(job));
  }
  if (open_connections_ < settings_.max_connections) {
    ++open_connections_;
    auto connection = std::make_shared<Connection>(shared_from_this());
    busy_[id] = connection;
    return connection->Connect(std::move(job));
  }
  if (waiting_.size() >= settings_.max_waiting)
    return Fail(std::move(job), HttpFailure::kNotSent);
  waiting_.push_back(std::move(job));
}

/// Takes the most recently used connection that can still be used.
std::shared_ptr<HttpClient::Impl::Connection> HttpClient::Impl::TakeIdle() {
  while (!idle_.empty()) {
    std::shared_ptr<Connection> connection = std::move(idle_.back());
    idle_.pop_back();
    if (!connection->IdleExpired() && connection->IsOpen()) return connection;
    connection->CloseSocket();
    --open_connections_;
  }
  return nullptr;
}

void HttpClient::Impl::OnIdle(const std::shared_ptr<Connection>& connection) {
  idle_.push_back(connection);
  connection->WatchIdle();
  StartNext();
}

/// Closes an idle connection that cannot be used any more. Otherwise a server
/// could send on it without end, until the socket's buffer is full.
void HttpClient::Impl::OnIdleInput(
    const std::shared_ptr<Connection>& connection) {
  auto found = std::find(idle_.begin(), idle_.end(), connection);
  if (found == idle_.end()) return;
  if (connection->IsOpen()) return connection->WatchIdle();
  idle_.erase(found);
  counters_.Add("http_idle_connections_lost_total", settings_.server_role);
  connection->CloseSocket();
  OnClosed();
}

void HttpClient::Impl::OnClosed() {
  --open_connections_;
  StartNext();
}

void HttpClient::Impl::StartNext() {
  if (waiting_.empty() || closed_) return;
  Job job = std::move(waiting_.front());
  waiting_.pop_front();
  asio::post(io_, [self = shared_from_this(),
                   job = std::make_shared<Job>(std::move(job))] {
    if (std::chrono::steady_clock::now() >= job->deadline) {
      return Fail(std::move(*job), HttpFailure::kNotSent);
    }
    self->Assign(std::move(*job));
  });
}

/// Fails the request whose response body is the longest while all of them
/// together exceed the limit.
void HttpClient::Impl::LimitBufferedBodies() {
  while (buffered_body_bytes_ > settings_.max_total_body_bytes) {
    assert(!busy_.empty());
    auto longest = std::max_element(
        busy_.begin(), busy_.end(), [](const auto& a, const auto& b) {
          return a.second->BufferedBytes() < b.second->BufferedBytes();
        });
    std::shared_ptr<Connection> connection = longest->second;
    connection->CutOff();
  }
}

void HttpClient::Impl::Cancel(uint64_t id) {
  auto it = busy_.find(id);
  if (it != busy_.end()) return it->second->Cancel();
  for (auto job = waiting_.begin(); job != waiting_.end(); ++job) {
    if (job->id != id) continue;
    Job cancelled = std::move(*job);
    waiting_.erase(job);
    return Fail(std::move(cancelled), HttpFailure::kNotSent);
  }
}

void HttpClient::Impl::Probe(std::function<void(bool)> done) {
  auto stream = std::make_shared<beast::tcp_stream>(io_);
  stream->expires_after(
      std::chrono::milliseconds(settings_.connect_timeout_ms));
  stream->async_connect(
      endpoint_, [stream, done = std::move(done)](beast::error_code error) {
        done(!error);
      });
}

void HttpClient::Impl::Close() {
  closed_ = true;
  for (auto& [id, connection] : busy_) connection->CloseSocket();
  for (const std::shared_ptr<Connection>& connection : idle_)
    connection->CloseSocket();
  idle_.clear();
  waiting_.clear();
}

HttpClient::HttpClient(asio::io_context& io, const HttpClientSettings& settings)
    : impl_(std::make_shared<Impl>(io, settings)) {}
HttpClient::~HttpClient() { impl_->Close(); }

void HttpClient::Send(uint64_t id, HttpRequest request, int64_t timeout_ms,
                      Callback done, ResponseMatcher matcher) {
  impl_->Send(id, std::move(request), timeout_ms, std::move(done),
              std::move(matcher));
}
void HttpClient::Cancel(uint64_t id) { impl_->Cancel(id); }
size_t HttpClient::BufferedBodyBytes() const {
  return impl_->BufferedBodyBytes();
}
const Counters& HttpClient::Counts() const { return impl_->Counts(); }
void HttpClient::Probe(std::function<void(bool)> done) {
  impl_->Probe(std::move(done));
}

}  // namespace banyanloft
