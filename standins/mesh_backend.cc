#include "standins/mesh_backend.h"

#include "banyanloft/config/json.h"
#include "platform/wire_names.h"

namespace banyanloft {
namespace {

namespace wire = banyanloft::platform;

constexpr int64_t kHeartbeatIntervalMs = 500;
constexpr int64_t kHeartbeatTimeoutMs = 1000;
/// Time after an acknowledged drain in which requests may still arrive, in ms.
/// Bound set by the specification of the platform.
constexpr int64_t kDrainGraceMs = 2000;

HttpServerSettings ServerSettings(const MeshBackendSettings& settings) {
  HttpServerSettings server;
  server.listen = settings.listen;
  return server;
}

HttpClientSettings ControlClientSettings(const MeshBackendSettings& settings) {
  HttpClientSettings client;
  client.server = settings.control;
  return client;
}

HttpResponse EmptyResponse(int status) {
  HttpResponse response;
  response.status = status;
  return response;
}

}  // namespace

std::string ExpectedResponseBody(const std::string& id,
                                 const std::string& target,
                                 const std::string& body) {
  return id + " " + target + " " + body;
}

MeshBackend::MeshBackend(boost::asio::io_context& io,
                         const MeshBackendSettings& settings,
                         BackendObserver* observer)
    : io_(io),
      settings_(settings),
      observer_(observer),
      random_(settings.seed),
      server_(io, ServerSettings(settings), this),
      control_(io, ControlClientSettings(settings)),
      start_time_ms_(SteadyClock().Now() - TimeMs(0) + 1) {}

Result<Endpoint> MeshBackend::Start() {
  Result<Endpoint> started = server_.Start();
  if (ErrorOf(started) == nullptr) SendHeartbeat();
  return started;
}

void MeshBackend::OnRequest(uint64_t id, HttpRequest request) {
  if (PathOf(request.target) == wire::path::kHealth) {
    HttpResponse health = EmptyResponse(draining_ ? 503 : 200);
    health.headers.emplace_back(wire::header::kInstance, settings_.id);
    return server_.Reply(id, std::move(health));
  }
  std::string expected(
      HeaderOf(request.headers, wire::header::kExpectedInstance));
  if (expected == settings_.id) return Run(id, request);
  HttpResponse wrong_instance = EmptyResponse(421);
  wrong_instance.headers.emplace_back(wire::header::kInstance, settings_.id);
  server_.Reply(id, std::move(wrong_instance));
}

void MeshBackend::Run(uint64_t id, const HttpRequest& request) {
  std::string request_id(HeaderOf(request.headers, wire::header::kRequestId));
  observer_->OnRequestStarted(*this, request_id, request);
  if (drain_acknowledged_ &&
      SteadyClock().Now() - drain_acknowledged_at_ > kDrainGraceMs)
    ++late_requests_;
  bool invalid = random_.ChancePermille(
      static_cast<int>(settings_.invalid_response_permille));
  HttpResponse answer;
  answer.headers.emplace_back(wire::header::kInstance, settings_.id);
  answer.headers.emplace_back(wire::header::kRequestId, request_id);
  answer.headers.emplace_back(wire::header::kSignature, "s-" + request_id);
  answer.body = ExpectedResponseBody(request_id, request.target, request.body);
  // Without request id and signature the response counts as lost.
  if (invalid) answer = EmptyResponse(200);
  int64_t run_ms = settings_.run_ms / 2 +
                   static_cast<int64_t>(
                       random_.Below(static_cast<uint64_t>(settings_.run_ms)));
  RunAfter(run_ms, [this, id, answer] { server_.Reply(id, answer); });
}

HttpResponse MeshBackend::OnRefused(ErrorKind) { return EmptyResponse(400); }

void MeshBackend::RunAfter(int64_t ms, std::function<void()> callback) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_);
  timer->expires_after(std::chrono::milliseconds(ms));
  std::weak_ptr<bool> alive = alive_;
  timer->async_wait([timer, alive, callback = std::move(callback)](
                        boost::system::error_code) {
    if (!alive.expired()) callback();
  });
}

void MeshBackend::SendHeartbeat() {
  HttpRequest heartbeat;
  heartbeat.method = "PUT";
  heartbeat.target = wire::path::kInstances + settings_.id;
  Json body = {{"service", settings_.service},
               {"address", settings_.advertised.Text()},
               {"zone", "z"},
               {"slots", settings_.slots},
               {"state", draining_ ? "draining" : "ready"},
               {"cold_remaining_s", 0},
               {"born", start_time_ms_},
               {"sequence", ++sequence_}};
  heartbeat.body = body.dump();
  bool reports_drain = draining_;
  control_.Send(static_cast<uint64_t>(sequence_), std::move(heartbeat),
                kHeartbeatTimeoutMs,
                [this, reports_drain](HttpOutcome outcome) {
                  bool ok = !outcome.failure && outcome.response.status == 200;
                  if (!ok || !reports_drain || drain_acknowledged_) return;
                  drain_acknowledged_ = true;
                  drain_acknowledged_at_ = SteadyClock().Now();
                });
  RunAfter(kHeartbeatIntervalMs, [this] { SendHeartbeat(); });
}

}  // namespace banyanloft
