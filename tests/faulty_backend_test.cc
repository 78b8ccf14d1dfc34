#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "banyanloft/mesh/backend_client.h"
#include "platform/platform_protocol.h"

using namespace banyanloft;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr char kRefusal[] =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";

/// A complete response to the request with this id.
std::string ResponseTo(const std::string& id) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Signature: s\r\n"
      "Content-Length: 5\r\n\r\nwhole",
      id);
}

/// What the server writes for one request.
struct Script {
  std::string bytes;
  bool close = false;
  bool reset = false;  ///< The connection is reset rather than closed.
};

/// Server on the test's event loop that answers with scripted bytes.
class ScriptedBackend {
 public:
  /// Called with the request's head, and its number on its connection.
  using Responder = std::function<Script(const std::string& head, int number)>;

  ScriptedBackend(asio::io_context& io, Responder responder)
      : responder_(std::move(responder)),
        acceptor_(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Accept();
  }
  uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  int Connections() const { return connections_; }

 private:
  struct Connection {
    explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
    Tcp::socket socket;
    std::string input;
    std::string output;
    int requests = 0;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code error, Tcp::socket socket) {
          if (error) return;
          ++connections_;
          Read(std::make_shared<Connection>(std::move(socket)));
          Accept();
        });
  }
  void Read(const ConnectionPtr& connection) {
    asio::async_read_until(
        connection->socket, asio::dynamic_buffer(connection->input), "\r\n\r\n",
        [this, connection](boost::system::error_code error, size_t size) {
          if (error) return;
          std::string head = connection->input.substr(0, size);
          connection->input.erase(0, size);
          Write(connection, responder_(head, ++connection->requests));
        });
  }
  void Write(const ConnectionPtr& connection, Script script) {
    connection->output = std::move(script.bytes);
    asio::async_write(
        connection->socket, asio::buffer(connection->output),
        [this, connection, close = script.close, reset = script.reset](
            boost::system::error_code error, size_t) {
          if (reset) Reset(&connection->socket);
          if (!error && !close) Read(connection);
        });
  }

  /// A socket that is closed without lingering is reset; its destructor would
  /// let it linger.
  static void Reset(Tcp::socket* socket) {
    socket->set_option(asio::socket_base::linger(true, 0));
    socket->close();
  }

  Responder responder_;
  Tcp::acceptor acceptor_;
  int connections_ = 0;
};

class Results final : public BackendClientListener {
 public:
  void OnRunEnded(RunResult result) override {
    runs.push_back(std::move(result));
  }
  void OnProbed(ProbeResult result) override {
    ++probes;
    last_probe = std::move(result);
  }
  std::vector<RunResult> runs;
  int probes = 0;
  ProbeResult last_probe;
};

std::string IdIn(const std::string& head) {
  const std::string name = "X-Attempt-Id: ";
  size_t begin = head.find(name);
  if (begin == std::string::npos) return "";
  begin += name.size();
  return head.substr(begin, head.find('\r', begin) - begin);
}

}  // namespace

TEST_GROUP(faulty_backend) {
  asio::io_context io_;
  platform::PlatformProtocol protocol_;
  Results results_;
  std::unique_ptr<ScriptedBackend> server_;
  std::unique_ptr<BackendClient> client_;

  void Serve(ScriptedBackend::Responder responder) {
    server_ = std::make_unique<ScriptedBackend>(io_, std::move(responder));
    HttpClientSettings settings;
    settings.server.port = server_->Port();
    client_ = std::make_unique<BackendClient>(io_, settings, 1000, &protocol_,
                                              &results_);
  }
  void RunUntil(const std::function<bool()>& done) {
    auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done() && std::chrono::steady_clock::now() < limit) {
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(1));
    }
    CHECK(done());
  }
  /// Sends a request and returns its result.
  RunResult Run(const std::string& id) {
    StartRun start;
    start.run = results_.runs.size() + 1;
    start.instance = "i-1";
    start.remaining_ms = 2000;
    start.request.request_id = id;
    start.request.headers = {{"X-Attempt-Id", id}};
    start.request.method = "POST";
    start.request.target = "/x/";
    size_t before = results_.runs.size();
    client_->Start(start, false);
    RunUntil([&] { return results_.runs.size() > before; });
    return results_.runs.back();
  }
  void Probe() {
    int before = results_.probes;
    client_->Probe();
    RunUntil([&] { return results_.probes > before; });
  }
};

/// A request that runs must not be called refused.
TEST(faulty_backend, earlierRefusalWrittenAgain_requestIsAnswered) {
  Serve([](const std::string& head, int number) {
    if (IdIn(head) == "r-1") return Script{kRefusal};
    std::string again = number > 1 ? kRefusal : "";
    return Script{again + ResponseTo(IdIn(head))};
  });
  CHECK(Run("r-1").type == RunResult::Type::kRejected);
  RunResult second = Run("r-2");
  CHECK(second.type == RunResult::Type::kAnswered);
  STRCMP_EQUAL("whole", second.response.body.c_str());
}

TEST(faulty_backend, refusedHealthCheckWrittenAgain_requestIsAnswered) {
  Serve([](const std::string& head, int number) {
    if (head.find("/healthz") != std::string::npos) return Script{kRefusal};
    std::string again = number > 1 ? kRefusal : "";
    return Script{again + ResponseTo(IdIn(head))};
  });
  Probe();
  CHECK(Run("r-1").type == RunResult::Type::kAnswered);
}

TEST(faulty_backend, earlierMisplacedWrittenAgain_requestIsAnswered) {
  const std::string misplaced =
      "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-2\r\n"
      "Content-Length: 0\r\n\r\n";
  Serve([&](const std::string& head, int number) {
    if (IdIn(head) == "r-1") return Script{misplaced};
    return Script{(number > 1 ? misplaced : "") + ResponseTo(IdIn(head))};
  });
  CHECK(Run("r-1").type == RunResult::Type::kMisplaced);
  CHECK(Run("r-2").type == RunResult::Type::kAnswered);
}

TEST(faulty_backend, responsesWithId_connectionIsKept) {
  Serve([](const std::string& head, int) {
    return Script{ResponseTo(IdIn(head))};
  });
  for (const char* id : {"r-1", "r-2", "r-3"}) Run(id);
  LONGS_EQUAL(1, server_->Connections());
}

/// A response that ends inside its head must not be delivered as an empty one.
TEST(faulty_backend, responseCutInsideItsHead_isBroken) {
  struct Head {
    const char* status_line;
    const char* framing;
  };
  const Head kHeads[] = {
      {"HTTP/1.1 200 OK\r\n", "Content-Length: 5\r\n"},
      {"HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n"},
      {"HTTP/1.1 200 OK\r\n", "Connection: close\r\n"},
      {"HTTP/1.0 200 OK\r\n", ""},
      {"HTTP/1.1 204 No Content\r\n", ""}};
  for (const Head& parts : kHeads) {
    const std::string head =
        fmt::format("{}X-Attempt-Id: r-1\r\nX-Response-Signature: s\r\n{}\r\n",
                    parts.status_line, parts.framing);
    for (size_t size = 0; size < head.size(); ++size) {
      Serve([&](const std::string&, int) {
        return Script{head.substr(0, size), true};
      });
      RunResult result = Run("r-1");
      bool broken = result.type == RunResult::Type::kBroken;
      CHECK_TEXT(broken, head.substr(0, size).c_str());
    }
  }
}

TEST(faulty_backend, responseCutInsideItsHeadOnKeptConnection_isBroken) {
  const std::string whole = ResponseTo("r-2");
  const size_t head_size = whole.find("\r\n\r\n") + 4;
  for (size_t size = 0; size < head_size; ++size) {
    Serve([&](const std::string& head, int) {
      if (IdIn(head) == "r-1") return Script{ResponseTo("r-1")};
      return Script{whole.substr(0, size), true};
    });
    CHECK(Run("r-1").type == RunResult::Type::kAnswered);
    CHECK(Run("r-2").type == RunResult::Type::kBroken);
  }
}

/// A server that resets connections when it is full may have begun to run the
/// request.
TEST(faulty_backend, connectionResetInsteadOfAResponse_isBroken) {
  for (const char* kept : {"", "r-1"}) {
    Serve([&](const std::string& head, int) {
      if (IdIn(head) == kept) return Script{ResponseTo(kept)};
      return Script{"", true, true};
    });
    if (*kept != '\0') CHECK(Run(kept).type == RunResult::Type::kAnswered);
    CHECK(Run("r-2").type == RunResult::Type::kBroken);
  }
}

/// The close of an idle connection concerns no request.
TEST(faulty_backend, idleConnectionClosedOrReset_nextRequestIsAnswered) {
  for (bool reset : {false, true}) {
    Serve([&](const std::string& head, int) {
      return Script{ResponseTo(IdIn(head)), true, reset};
    });
    CHECK(Run("r-1").type == RunResult::Type::kAnswered);
    CHECK(Run("r-2").type == RunResult::Type::kAnswered);
    LONGS_EQUAL(2, server_->Connections());
  }
}

/// A full server resets health checks too; a server that is gone refuses the
/// connection.
TEST(faulty_backend, healthCheck_resetIsToldApartFromARefusedConnection) {
  Serve([](const std::string&, int) { return Script{"", true, true}; });
  Probe();
  CHECK(results_.last_probe.reset);
  CHECK(!results_.last_probe.up);
  server_.reset();
  Probe();
  CHECK(!results_.last_probe.reset);
  CHECK(!results_.last_probe.up);
}

/// Without a length a response ends with its connection; one that is reset is
/// not complete.
TEST(faulty_backend, responseWithoutLength_isCompleteOnlyIfClosedInOrder) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: r-1\r\nX-Response-Signature: s\r\n\r\n";
  for (bool reset : {false, true}) {
    Serve([&](const std::string&, int) {
      return Script{head + "whole", true, reset};
    });
    RunResult result = Run("r-1");
    CHECK(result.type ==
          (reset ? RunResult::Type::kBroken : RunResult::Type::kAnswered));
    STRCMP_EQUAL(reset ? "" : "whole", result.response.body.c_str());
  }
}

/// A status that HTTP does not define is not an answer: not to be delivered,
/// and not to be skipped as an interim one, which would take until the
/// deadline.
TEST(faulty_backend, statusIsNotDefinedByHttp_isBrokenAtOnce) {
  for (const char* status : {"000", "099", "600", "999", "20", "2x0", "+200"}) {
    for (const char* framing : {"Content-Length: 5\r\n", ""}) {
      const std::string response = fmt::format(
          "HTTP/1.1 {} Odd\r\nX-Attempt-Id: r-1\r\n"
          "X-Response-Signature: s\r\n{}\r\nwhole",
          status, framing);
      Serve([&](const std::string&, int) { return Script{response}; });
      CHECK_TEXT(Run("r-1").type == RunResult::Type::kBroken, status);
    }
  }
}

/// A target in trouble must not be believed that it did not run the request if
/// its response is not one of HTTP.
TEST(faulty_backend, statusIsNotDefinedByHttp_notRunIsNotBelieved) {
  Serve([&](const std::string&, int) {
    return Script{
        "HTTP/1.1 600 Odd\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
  });
  CHECK(Run("r-1").type == RunResult::Type::kBroken);
}
