#include <CppUTest/TestHarness.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>

#include "banyanloft/daemon/caller_api.h"
#include "banyanloft/http/http_client.h"
#include "banyanloft/http/http_server.h"

using namespace banyanloft;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// Echoes bodies; a body `hold` is never answered, and `unwritable` gets a
/// response that HTTP does not allow.
class EchoHandler final : public HttpHandler {
 public:
  void OnRequest(uint64_t id, HttpRequest request) override {
    ++requests;
    if (request.body == "hold") return;
    HttpResponse response;
    response.body = request.body;
    if (request.body == "unwritable") response.status = 204;
    server->Reply(id, std::move(response));
  }
  void OnAbandoned(uint64_t) override { ++abandoned; }
  HttpResponse OnRefused(ErrorKind kind) override {
    return caller_api::RefusalResponse(kind, "", false);
  }

  HttpServer* server = nullptr;
  std::atomic<int> abandoned{0};
  std::atomic<int> requests{0};
};

/// Server that accepts one connection and sends a fixed response.
class ScriptedServer {
 public:
  /// With `read_first`, reads the start of a request first; then writes
  /// `answer` and closes, which resets the connection if input is unread.
  ScriptedServer(std::string answer, bool read_first)
      : acceptor_(io_, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    thread_ = std::thread([this, answer = std::move(answer), read_first] {
      Tcp::socket socket(io_);
      boost::system::error_code error;
      acceptor_.accept(socket, error);
      if (error) return;
      std::array<char, 4096> buffer{};
      if (read_first) socket.read_some(asio::buffer(buffer), error);
      asio::write(socket, asio::buffer(answer), error);
    });
  }
  ~ScriptedServer() { thread_.join(); }
  uint16_t Port() const { return acceptor_.local_endpoint().port(); }

 private:
  asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace

/// HTTP server and client over loopback, including malformed, oversized, slow
/// and incomplete messages.
TEST_GROUP(http) {
  asio::io_context io_;
  HttpServerSettings settings_;
  EchoHandler handler_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
  Endpoint endpoint_;

  void setup() override {
    settings_.max_body_bytes = 1000;
    settings_.max_header_bytes = 1000;
    settings_.read_timeout_ms = 200;
    server_ = std::make_unique<HttpServer>(io_, settings_, &handler_);
    handler_.server = server_.get();
    endpoint_ = *ValueOf(server_->Start());
    thread_ = std::thread([this] { io_.run(); });
  }
  void teardown() override {
    io_.stop();
    thread_.join();
    server_.reset();
  }

  /// Sends raw bytes and reads until the server closes.
  std::string Raw(const std::string& bytes) {
    asio::io_context io;
    Tcp::socket socket(io);
    socket.connect(
        Tcp::endpoint(asio::ip::address_v4::loopback(), endpoint_.port));
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }
  /// Whether the server counts no response as being written any more, within a
  /// second; asked on the server's thread.
  bool EveryResponseIsFinished() {
    for (int i = 0; i < 100; ++i) {
      std::promise<size_t> unfinished;
      asio::post(io_,
                 [&] { unfinished.set_value(server_->UnfinishedResponses()); });
      if (unfinished.get_future().get() == 0) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }
  static bool Contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  }

  static HttpOutcome Send(uint16_t port, const std::string& body,
                          int64_t timeout_ms = 1000, size_t max_body = 1000) {
    asio::io_context io;
    HttpClientSettings settings;
    settings.server.port = port;
    settings.max_body_bytes = max_body;
    HttpClient client(io, settings);
    HttpRequest request;
    request.method = "POST";
    request.body = body;
    HttpOutcome outcome;
    client.Send(1, request, timeout_ms, [&](HttpOutcome got) {
      outcome = std::move(got);
      io.stop();
    });
    io.run();
    return outcome;
  }
};

TEST(http, validRequest_getsCompleteResponse) {
  HttpOutcome outcome = Send(endpoint_.port, "a body");
  CHECK_FALSE(outcome.failure.has_value());
  CHECK(outcome.response.body == "a body");
}

TEST(http, clientDisconnectsBeforeItsRequestIsRead_requestIsDropped) {
  asio::io_context own;
  EchoHandler handler;
  HttpServer late(own, settings_, &handler);
  handler.server = &late;
  Endpoint at = *ValueOf(late.Start());
  {
    asio::io_context io;
    Tcp::socket socket(io);
    socket.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), at.port));
    asio::write(socket,
                asio::buffer(std::string("POST / HTTP/1.1\r\nHost: a\r\n"
                                         "Content-Length: 4\r\n\r\nhold")));
  }
  // The server's loop runs only after the client has disconnected.
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  own.run_for(std::chrono::milliseconds(200));
  LONGS_EQUAL(0, handler.requests);
}

TEST(http, malformedRequests_get400) {
  for (const char* bytes :
       {"nonsense\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "GET  HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n",
        "\x01\x02\x03\r\n\r\n"}) {
    CHECK(Contains(Raw(bytes), "400 Bad Request"));
  }
}

/// Guards against a request that the HTTP library refuses to write again, and
/// whose exception ends the process.
TEST(http, traceWithBody_gets400) {
  for (const char* bytes :
       {"TRACE / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        "Content-Length: 1\r\n\r\nx",
        "TRACE / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        "1\r\nx\r\n0\r\n\r\n"})
    CHECK(Contains(Raw(bytes), "400 Bad Request"));
  LONGS_EQUAL(0, handler_.requests);
}

/// Guards against a body of unknown length whose bytes are read as the next
/// request, which smuggles requests.
TEST(http, transferCodingIsUnknown_gets400AndItsBodyIsNotRead) {
  for (const char* coding :
       {"gzip", "identity", "chunked, chunked", "gzip, chunked", "xchunked",
        "chunked\r\nTransfer-Encoding: chunked"}) {
    std::string answer =
        Raw(std::string("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: ") +
            coding + "\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n" +
            "Host: a\r\nConnection: close\r\n\r\n");
    CHECK(Contains(answer, "400 Bad Request"));
    CHECK(!Contains(answer, "200 OK"));
  }
  LONGS_EQUAL(0, handler_.requests);
}

/// Guards against a request that is routed by one host and run for another.
TEST(http, twoHosts_get400) {
  CHECK(Contains(Raw("GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n"
                     "Connection: close\r\n\r\n"),
                 "400 Bad Request"));
  LONGS_EQUAL(0, handler_.requests);
}

TEST(http, chunkedBody_isRead) {
  std::string answer =
      Raw("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n"
          "Connection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  CHECK(Contains(answer, "200 OK"));
  CHECK(Contains(answer, "\r\n\r\nok"));
}

TEST(http, clientRequestCannotBeWritten_onlyThatRequestFails) {
  asio::io_context io;
  HttpClientSettings settings;
  settings.server = endpoint_;
  HttpClient client(io, settings);
  HttpRequest request;
  request.body = "x";
  std::vector<HttpOutcome> outcomes;
  uint64_t id = 0;
  for (const char* method : {"POST", "TRACE", "POST"}) {
    request.method = method;
    client.Send(++id, request, 1000, [&](HttpOutcome outcome) {
      outcomes.push_back(std::move(outcome));
      io.stop();
    });
    io.restart();
    io.run();
  }
  LONGS_EQUAL(3, outcomes.size());
  CHECK(!outcomes[0].failure);
  CHECK(outcomes[1].failure == HttpFailure::kInvalidRequest);
  CHECK(!outcomes[2].failure);
}

TEST(http, responseCannotBeWritten_onlyItsConnectionIsClosed) {
  HttpOutcome outcome = Send(endpoint_.port, "unwritable");
  CHECK(outcome.failure == HttpFailure::kBroken);
  CHECK(!Send(endpoint_.port, "a body").failure);
  CHECK(EveryResponseIsFinished());
}

TEST(http, oversizedRequests_get413WithoutBeingRead) {
  CHECK(Contains(Raw("POST / HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n"),
                 "413"));
  CHECK(Contains(
      Raw("GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n"),
      "413"));
}

TEST(http, incompleteRequest_gets408) {
  CHECK(
      Contains(Raw("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"), "408"));
}

TEST(http, chunkedBodyOverTheLimit_gets413) {
  std::string chunk = "400\r\n" + std::string(0x400, 'x') + "\r\n";
  CHECK(Contains(Raw("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     chunk + chunk),
                 "413"));
}

TEST(http, clientDisconnects_handlerIsNotified) {
  {
    asio::io_context io;
    Tcp::socket socket(io);
    socket.connect(
        Tcp::endpoint(asio::ip::address_v4::loopback(), endpoint_.port));
    std::string bytes = "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nhold";
    asio::write(socket, asio::buffer(bytes));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  for (int i = 0; i < 500 && handler_.abandoned == 0; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  CHECK_EQUAL(1, handler_.abandoned.load());
}

TEST(http, clientConnectionRefused_isNotSent) {
  uint16_t port = 0;
  {
    asio::io_context io;
    Tcp::acceptor acceptor(io,
                           Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    port = acceptor.local_endpoint().port();
  }
  CHECK(Send(port, "x").failure == HttpFailure::kNotSent);
}

TEST(http, clientFaultyResponses_areReportedByKind) {
  struct Case {
    const char* answer;
    HttpFailure failure;
  };
  const std::vector<Case> cases = {
      {"", HttpFailure::kBroken},
      {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\ncut",
       HttpFailure::kBroken},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
       HttpFailure::kBroken},
      {"not http at all\r\n\r\n", HttpFailure::kBroken},
      {"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n",
       HttpFailure::kTooLarge},
  };
  for (const Case& c : cases) {
    ScriptedServer server(c.answer, true);
    HttpOutcome outcome = Send(server.Port(), "x");
    CHECK(outcome.failure == c.failure);
  }
}

TEST(http, clientMissingResponse_isATimeout) {
  CHECK(Send(endpoint_.port, "hold", 100).failure == HttpFailure::kTimeout);
}

TEST(http, rejectionWithKey_isNeverReportedAsNotRun) {
  HttpResponse keyed =
      caller_api::RefusalResponse(ErrorKind::kQueueFull, "", true);
  HttpResponse plain =
      caller_api::RefusalResponse(ErrorKind::kQueueFull, "", false);
  CHECK(HeaderOf(keyed.headers, caller_api::kRunHeader) == "unknown");
  CHECK(HeaderOf(plain.headers, caller_api::kRunHeader) == "not_run");
}

TEST(http, everyErrorKind_hasItsInfoAndName) {
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    ErrorKind kind = static_cast<ErrorKind>(i);
    const ErrorInfo& info = ErrorInfoOf(kind);
    CHECK(info.kind == kind);
    CHECK(ErrorKindFromName(info.name) == kind);
    CHECK(info.http_status >= 400 && info.http_status < 600);
  }
}
