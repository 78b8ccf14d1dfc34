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
/// Time after which a named limit binds, and the window in which requests are
/// counted, in ms, and the number allowed there. Bounds set by the
/// specification of the platform.
constexpr int64_t kLimitDelayMs = 3000;
constexpr int64_t kLimitWindowMs = 4000;
double AllowedInWindow(double limit_per_s) {
  return 1.5 * limit_per_s * kLimitWindowMs / 1000 + 5;
}

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
  if (ErrorOf(started) == nullptr) SendHeartbeats();
  return started;
}

void MeshBackend::LeaveUnreported() {
  unreported_ = true;
  Drain();
}

void MeshBackend::SetLimit(std::optional<double> per_s) {
  limit_per_s_ = per_s;
  limit_binds_at_ = SteadyClock().Now() + kLimitDelayMs;
  arrivals_.clear();
}

/// Adds what the server says of itself to a response and sends it.
void MeshBackend::Reply(uint64_t id, HttpResponse response) {
  if (limit_per_s_)
    response.headers.emplace_back(wire::header::kRateLimit,
                                  std::to_string(*limit_per_s_));
  if (draining_ && settings_.names_leaving) {
    response.headers.emplace_back(wire::header::kLeaving, "1");
    if (!leaving_said_at_) leaving_said_at_ = SteadyClock().Now();
  }
  server_.Reply(id, std::move(response));
}

void MeshBackend::CountArrival() {
  TimeMs now = SteadyClock().Now();
  bool late =
      drain_acknowledged_ && now - drain_acknowledged_at_ > kDrainGraceMs;
  bool late_unreported = unreported_ && leaving_said_at_ &&
                         now - *leaving_said_at_ > kDrainGraceMs;
  if (late || late_unreported) ++late_requests_;
  if (!limit_per_s_ || now < limit_binds_at_) return;
  arrivals_.push_back(now);
  while (now - arrivals_.front() >= kLimitWindowMs) arrivals_.pop_front();
  if (static_cast<double>(arrivals_.size()) > AllowedInWindow(*limit_per_s_))
    ++over_limit_;
}

void MeshBackend::OnRequest(uint64_t id, HttpRequest request) {
  if (PathOf(request.target) == wire::path::kHealth) {
    HttpResponse health = EmptyResponse(draining_ ? 503 : 200);
    health.headers.emplace_back(wire::header::kInstance, settings_.id);
    return Reply(id, std::move(health));
  }
  std::string expected(
      HeaderOf(request.headers, wire::header::kExpectedInstance));
  if (expected == settings_.id) return Run(id, request);
  HttpResponse wrong_instance = EmptyResponse(421);
  wrong_instance.headers.emplace_back(wire::header::kInstance, settings_.id);
  Reply(id, std::move(wrong_instance));
}

void MeshBackend::Run(uint64_t id, const HttpRequest& request) {
  std::string request_id(HeaderOf(request.headers, wire::header::kRequestId));
  observer_->OnRequestStarted(*this, request_id, request);
  CountArrival();
  bool invalid = random_.ChancePermille(
      static_cast<int>(settings_.invalid_response_permille));
  HttpResponse answer;
  answer.headers.emplace_back(wire::header::kInstance, settings_.id);
  answer.headers.emplace_back(wire::header::kRequestId, request_id);
  answer.headers.emplace_back(wire::header::kSignature, "s-" + request_id);
  answer.body = ExpectedResponseBody(request_id, request.target, request.body);
  if (answer.body.size() < settings_.response_bytes)
    answer.body.resize(settings_.response_bytes, '.');
  // Without request id and signature the response counts as lost.
  if (invalid) answer = EmptyResponse(200);
  int64_t run_ms = settings_.run_ms / 2 +
                   static_cast<int64_t>(
                       random_.Below(static_cast<uint64_t>(settings_.run_ms)));
  RunAfter(run_ms, [this, id, answer] { Reply(id, answer); });
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

HttpRequest MeshBackend::NextHeartbeat() {
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
  if (!settings_.version.empty())
    body[wire::field::kVersion] = settings_.version;
  heartbeat.body = body.dump();
  return heartbeat;
}

/// Sends a heartbeat or a deregistration; `leaves`: it says that the server
/// leaves.
void MeshBackend::SendToDaemon(HttpRequest message, bool leaves) {
  control_.Send(++last_message_, std::move(message), kHeartbeatTimeoutMs,
                [this, leaves](HttpOutcome outcome) {
                  bool ok = !outcome.failure && outcome.response.status == 200;
                  if (!ok || !leaves || drain_acknowledged_) return;
                  drain_acknowledged_ = true;
                  drain_acknowledged_at_ = SteadyClock().Now();
                });
}

void MeshBackend::SendHeartbeats() {
  if (unreported_) return;
  HttpRequest heartbeat = NextHeartbeat();
  bool leaves = draining_;
  if (heartbeat_delay_ms_ == 0) {
    SendToDaemon(std::move(heartbeat), leaves);
  } else {
    RunAfter(heartbeat_delay_ms_,
             [this, heartbeat, leaves] { SendToDaemon(heartbeat, leaves); });
  }
  RunAfter(kHeartbeatIntervalMs, [this] { SendHeartbeats(); });
}

void MeshBackend::Deregister() {
  LeaveUnreported();
  HttpRequest message;
  message.method = "DELETE";
  message.target = wire::path::kInstances + settings_.id;
  SendToDaemon(std::move(message), true);
}

void MeshBackend::ReportDrainingOnce() {
  LeaveUnreported();
  SendToDaemon(NextHeartbeat(), true);
}

}  // namespace banyanloft
