#include "banyanloft/mesh/backend_client.h"

#include <CppUTest/TestHarness.h>

#include "banyanloft/http/http_server.h"
#include "platform/platform_protocol.h"
#include "platform/wire_names.h"

using namespace banyanloft;

namespace {

/// A backend server that answers each request immediately and counts them.
class CountingServer final : public HttpHandler {
 public:
  explicit CountingServer(boost::asio::io_context& io)
      : server_(io, SettingsOf(), this) {}
  Endpoint Start() {
    Result<Endpoint> started = server_.Start();
    return *ValueOf(started);
  }
  void OnRequest(uint64_t id, HttpRequest request) override {
    ++requests;
    HttpResponse answer;
    answer.status = 200;
    for (const char* name :
         {platform::header::kRequestId, platform::header::kInstance})
      answer.headers.emplace_back(name, HeaderOf(request.headers, name));
    answer.headers.emplace_back(platform::header::kSignature, "s");
    server_.Reply(id, std::move(answer));
  }
  void OnAbandoned(uint64_t) override {}
  HttpResponse OnRefused(ErrorKind) override { return {}; }

  int requests = 0;

 private:
  static HttpServerSettings SettingsOf() {
    HttpServerSettings settings;
    settings.listen = {"127.0.0.1", 0};
    return settings;
  }
  HttpServer server_;
};

class Results final : public BackendClientListener {
 public:
  void OnRunEnded(RunResult result) override { types.push_back(result.type); }
  void OnProbed(ProbeResult) override {}
  std::vector<RunResult::Type> types;
};

}  // namespace

TEST_GROUP(backend_client) {
  boost::asio::io_context io_;
  CountingServer server_{io_};
  platform::PlatformProtocol protocol_;
  Results results_;
  std::unique_ptr<BackendClient> client_;

  void setup() override {
    HttpClientSettings settings;
    settings.server = server_.Start();
    client_ = std::make_unique<BackendClient>(io_, settings, 1000, &protocol_,
                                              &results_);
  }
  StartRun Run() {
    StartRun start;
    start.run = 7;
    start.instance = "i-1";
    start.remaining_ms = 1000;
    start.request.request_id = "r-1";
    start.request.headers = {{platform::header::kRequestId, "r-1"}};
    start.request.method = "POST";
    start.request.target = "/x/";
    return start;
  }
  void Loop() { io_.run_for(std::chrono::milliseconds(100)); }
};

TEST(backend_client, start_isAnswered) {
  client_->Start(Run(), false);
  Loop();
  LONGS_EQUAL(1, results_.types.size());
  CHECK(results_.types[0] == RunResult::Type::kAnswered);
}

TEST(backend_client, startAfterInput_isAnswered) {
  client_->Start(Run(), true);
  Loop();
  LONGS_EQUAL(1, results_.types.size());
  CHECK(results_.types[0] == RunResult::Type::kAnswered);
}

/// Guards against running a request whose cancellation is already readable: a
/// process that was not scheduled for a while reads both at the same time.
TEST(backend_client, startAfterInput_cancelledBefore_neverReachesServer) {
  client_->Start(Run(), true);
  client_->Cancel(CancelRunOnBackend{7, true});
  Loop();
  LONGS_EQUAL(0, server_.requests);
  LONGS_EQUAL(1, results_.types.size());
  CHECK(results_.types[0] == RunResult::Type::kCancelled);
}

TEST(backend_client, cancelOnlyIfUnsent_afterStart_runContinues) {
  client_->Start(Run(), false);
  client_->Cancel(CancelRunOnBackend{7, true});
  Loop();
  LONGS_EQUAL(1, server_.requests);
  CHECK(results_.types[0] == RunResult::Type::kAnswered);
}

TEST(backend_client, requestCannotBeWritten_isInvalidAndNeverReachesServer) {
  StartRun start = Run();
  start.request.method = "TRACE";
  start.request.body = "x";
  client_->Start(start, false);
  Loop();
  LONGS_EQUAL(1, results_.types.size());
  CHECK(results_.types[0] == RunResult::Type::kInvalid);
  LONGS_EQUAL(0, server_.requests);
}
