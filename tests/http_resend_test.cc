#include <CppUTest/TestHarness.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "banyanloft/http/http_client.h"
#include "platform/platform_protocol.h"

using namespace banyanloft;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace {

using Message = bhttp::request<bhttp::string_body>;

/// Server on the test's event loop that keeps what it reads. It answers `ok`,
/// but holds the answers back until Release is called.
class RecordingServer {
 public:
  explicit RecordingServer(asio::io_context& io)
      : acceptor_(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Accept();
  }
  uint16_t Port() const { return acceptor_.local_endpoint().port(); }

  /// Answers the requests that were held back.
  void Release() {
    for (const ConnectionPtr& connection : held_) Write(connection);
    held_.clear();
  }
  size_t Held() const { return held_.size(); }
  /// Ports of the clients' ends of all connections, in the order of accepts.
  const std::vector<uint16_t>& ClientPorts() const { return client_ports_; }

  std::vector<Message> requests;

 private:
  struct Connection {
    explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
    Tcp::socket socket;
    beast::flat_buffer buffer;
    Message request;
    bhttp::response<bhttp::string_body> response;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept() {
    acceptor_.async_accept([this](beast::error_code error, Tcp::socket socket) {
      if (error) return;
      client_ports_.push_back(socket.remote_endpoint().port());
      Read(std::make_shared<Connection>(std::move(socket)));
      Accept();
    });
  }
  void Read(const ConnectionPtr& connection) {
    connection->request = {};
    bhttp::async_read(connection->socket, connection->buffer,
                      connection->request,
                      [this, connection](beast::error_code error, size_t) {
                        if (error) return ended_.push_back(connection);
                        requests.push_back(connection->request);
                        held_.push_back(connection);
                      });
  }
  void Write(const ConnectionPtr& connection) {
    connection->response = {};
    connection->response.body() = "ok";
    connection->response.prepare_payload();
    bhttp::async_write(connection->socket, connection->response,
                       [this, connection](beast::error_code error, size_t) {
                         if (!error) Read(connection);
                       });
  }

  Tcp::acceptor acceptor_;
  std::vector<ConnectionPtr> held_;
  /// Kept open, so that the client notices their end by its writes alone.
  std::vector<ConnectionPtr> ended_;
  std::vector<uint16_t> client_ports_;
};

/// Makes the next write on the socket of this process that is bound to `port`
/// fail, as if the server had reset the connection after the last check of it.
bool FailWritesOf(uint16_t port) {
  constexpr int kMaxDescriptor = 1024;
  for (int fd = 0; fd < kMaxDescriptor; ++fd) {
    sockaddr_in local{};
    socklen_t size = sizeof(local);
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size) != 0)
      continue;
    if (local.sin_family == AF_INET && ntohs(local.sin_port) == port)
      return shutdown(fd, SHUT_WR) == 0;
  }
  return false;
}

}  // namespace

/// A server closes an idle connection between the client's check of it and the
/// write of a request, which is then written on another connection.
TEST_GROUP(http_resend) {
  static constexpr size_t kShortBodyBytes = 2000;
  /// The client reads the response while it writes a body of this size.
  static constexpr size_t kLongBodyBytes = 200 * 1000;

  asio::io_context io_;
  RecordingServer server_{io_};
  std::unique_ptr<HttpClient> client_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, HttpOutcome> outcomes_;

  void setup() override { MakeClient(HttpClientSettings()); }
  void MakeClient(HttpClientSettings settings) {
    settings.server.port = server_.Port();
    settings.server_role = "backend";
    client_ = std::make_unique<HttpClient>(io_, settings);
  }
  uint64_t Send(HttpRequest request) {
    uint64_t id = next_id_++;
    client_->Send(id, std::move(request), 5000,
                  [this, id](HttpOutcome outcome) {
                    outcomes_[id] = std::move(outcome);
                  });
    return id;
  }
  void RunUntil(const std::function<bool()>& done) {
    auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done() && std::chrono::steady_clock::now() < limit) {
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(1));
    }
    CHECK(done());
  }
  /// Leaves `count` idle connections, on which the next write fails.
  void LeaveBrokenConnections(size_t count) {
    size_t first = server_.ClientPorts().size();
    outcomes_.clear();
    for (size_t i = 0; i < count; ++i) Send(HttpRequest());
    RunUntil([&] { return server_.Held() == count; });
    server_.Release();
    RunUntil([&] { return outcomes_.size() == count; });
    CHECK_EQUAL(first + count, server_.ClientPorts().size());
    for (size_t i = first; i < first + count; ++i)
      CHECK(FailWritesOf(server_.ClientPorts()[i]));
    server_.requests.clear();
    outcomes_.clear();
  }
  /// Runs until the server has answered the only request.
  void RunUntilAnswered(uint64_t id) {
    RunUntil([&] { return server_.Held() == 1; });
    server_.Release();
    RunUntil([&] { return outcomes_.count(id) == 1; });
    CHECK(!outcomes_[id].failure);
    CHECK_EQUAL(1U, server_.requests.size());
  }
  uint64_t Resent() const {
    return client_->Counts().Get("http_requests_resent_total", "backend");
  }
};

/// Guards against a request that loses its body when it is written again: the
/// server would run it without.
TEST(http_resend, idleConnectionFails_requestArrivesUnchanged) {
  for (size_t bytes : {kShortBodyBytes, kLongBodyBytes}) {
    for (bool shared : {false, true}) {
      MakeClient(HttpClientSettings());
      LeaveBrokenConnections(1);
      std::string body(bytes, 'p');
      HttpRequest request;
      request.method = "PUT";
      request.target = "/pay/1?query=2";
      request.headers = {{"X-First", "1"}, {"Host", "pay.example"}};
      if (shared) {
        request.shared_body = body;
      } else {
        request.body = body;
      }
      RunUntilAnswered(Send(std::move(request)));
      const Message& arrived = server_.requests.front();
      CHECK(arrived.method() == bhttp::verb::put);
      CHECK(arrived.target() == "/pay/1?query=2");
      CHECK(arrived["X-First"] == "1");
      CHECK(arrived[bhttp::field::host] == "pay.example");
      CHECK(arrived.body() == body);
      CHECK_EQUAL(1U, Resent());
    }
  }
}

/// The same if every idle connection in turn turns out to be closed.
TEST(http_resend, allIdleConnectionsFail_requestArrivesUnchanged) {
  constexpr size_t kConnections = 5;
  LeaveBrokenConnections(kConnections);
  HttpRequest request;
  request.method = "POST";
  request.body = std::string(kShortBodyBytes, 'p');
  RunUntilAnswered(Send(std::move(request)));
  CHECK(server_.requests.front().body() == std::string(kShortBodyBytes, 'p'));
  CHECK_EQUAL(kConnections, Resent());
}

/// The same for a write to the store, which may be conditional: without its
/// body it would be refused as malformed.
TEST(http_resend, storeWriteOnFailingConnection_arrivesUnchanged) {
  LeaveBrokenConnections(1);
  PlatformCall call;
  call.type = PlatformCall::Type::kWrite;
  call.key = "rendezvous/zone-a";
  call.value = R"({"addresses":["10.0.0.1:7620"]})";
  HttpRequest request = platform::PlatformProtocol().WriteStoreCall(call);
  std::string body = request.body;
  CHECK(!body.empty());
  RunUntilAnswered(Send(std::move(request)));
  CHECK(server_.requests.front().body() == body);
  CHECK_EQUAL(1U, Resent());
}

/// A request that is cancelled after its write failed is not written again.
TEST(http_resend, cancelledAfterTheWriteFailed_isNotSent) {
  LeaveBrokenConnections(1);
  HttpRequest request;
  request.method = "POST";
  request.body = std::string(kShortBodyBytes, 'p');
  uint64_t id = Send(std::move(request));
  client_->Cancel(id);
  RunUntil([&] { return outcomes_.count(id) == 1; });
  CHECK(outcomes_[id].failure == HttpFailure::kNotSent);
  CHECK(server_.requests.empty());
  CHECK_EQUAL(0U, Resent());
}
