#include "standins/mesh_backend.h"

#include "banyanloft/config/json.h"
#include "platform/wire_names.h"

namespace banyanloft {
namespace {

namespace wire = banyanloft::platform;

constexpr int64_t kHeartbeatMs = 500;
constexpr int64_t kReportTimeoutMs = 1000;
/// Time after an acknowledged drain in which requests may still come, in ms:
/// the bound of the users' pages.
constexpr int64_t kDrainMs = 2000;

HttpServerSettings ServerOf(const MeshBackendSettings& settings) {
  HttpServerSettings server;
  server.listen = settings.listen;
  return server;
}

HttpClientSettings ControlOf(const MeshBackendSettings& settings) {
  HttpClientSettings client;
  client.server = settings.control;
  return client;
}

HttpResponse Bare(int status) {
  HttpResponse response;
  response.status = status;
  return response;
}

}  // namespace

std::string BodyOfAnswer(const std::string& id, const std::string& target,
                         const std::string& body) {
  return id + " " + target + " " + body;
}

MeshBackend::MeshBackend(boost::asio::io_context& io,
                         const MeshBackendSettings& settings,
                         BackendWitness* witness)
    : io_(io),
      settings_(settings),
      witness_(witness),
      random_(settings.seed),
      server_(io, ServerOf(settings), this),
      control_(io, ControlOf(settings)),
      born_ms_(SteadyClock().Now() - TimeMs(0) + 1) {}

Result<Endpoint> MeshBackend::Start() {
  Result<Endpoint> started = server_.Start();
  if (ErrorOf(started) == nullptr) Report();
  return started;
}

void MeshBackend::OnRequest(uint64_t id, HttpRequest request) {
  if (PathOf(request.target) == wire::path::kHealth) {
    HttpResponse health = Bare(draining_ ? 503 : 200);
    health.headers.emplace_back(wire::header::kInstance, settings_.id);
    return server_.Reply(id, std::move(health));
  }
  std::string expected(
      HeaderOf(request.headers, wire::header::kExpectedInstance));
  if (expected == settings_.id) return Run(id, request);
  HttpResponse misplaced = Bare(421);
  misplaced.headers.emplace_back(wire::header::kInstance, settings_.id);
  server_.Reply(id, std::move(misplaced));
}

void MeshBackend::Run(uint64_t id, const HttpRequest& request) {
  std::string request_id(HeaderOf(request.headers, wire::header::kRequestId));
  witness_->OnArrival(*this, request_id, request);
  if (drain_acknowledged_ && SteadyClock().Now() - drained_at_ > kDrainMs)
    ++late_arrivals_;
  bool lost = random_.Permille(static_cast<int>(settings_.lost_permille));
  HttpResponse answer;
  answer.headers.emplace_back(wire::header::kInstance, settings_.id);
  answer.headers.emplace_back(wire::header::kRequestId, request_id);
  answer.headers.emplace_back(wire::header::kSignature, "s-" + request_id);
  answer.body = BodyOfAnswer(request_id, request.target, request.body);
  // An answer without id and signature is as good as lost.
  if (lost) answer = Bare(200);
  int64_t run_ms = settings_.run_ms / 2 +
                   static_cast<int64_t>(
                       random_.Below(static_cast<uint64_t>(settings_.run_ms)));
  Later(run_ms, [this, id, answer] { server_.Reply(id, answer); });
}

HttpResponse MeshBackend::OnRefused(ErrorKind) { return Bare(400); }

void MeshBackend::Later(int64_t ms, std::function<void()> then) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_);
  timer->expires_after(std::chrono::milliseconds(ms));
  std::weak_ptr<bool> alive = alive_;
  timer->async_wait(
      [timer, alive, then = std::move(then)](boost::system::error_code) {
        if (!alive.expired()) then();
      });
}

void MeshBackend::Report() {
  HttpRequest beat;
  beat.method = "PUT";
  beat.target = wire::path::kInstances + settings_.id;
  Json body = {{"service", settings_.service},
               {"address", settings_.reported.Text()},
               {"zone", "z"},
               {"slots", settings_.slots},
               {"state", draining_ ? "draining" : "ready"},
               {"cold_remaining_s", 0},
               {"born", born_ms_},
               {"sequence", ++sequence_}};
  beat.body = body.dump();
  bool drains = draining_;
  control_.Send(static_cast<uint64_t>(sequence_), std::move(beat),
                kReportTimeoutMs, [this, drains](HttpOutcome outcome) {
                  bool ok = !outcome.failure && outcome.response.status == 200;
                  if (!ok || !drains || drain_acknowledged_) return;
                  drain_acknowledged_ = true;
                  drained_at_ = SteadyClock().Now();
                });
  Later(kHeartbeatMs, [this] { Report(); });
}

}  // namespace banyanloft
