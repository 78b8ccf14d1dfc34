#include "banyanloft/mesh/sidecar.h"

#include <fmt/format.h>
#include <time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>

#include "banyanloft/core/loop_lag.h"
#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"
#include "banyanloft/daemon/metrics_page.h"
#include "banyanloft/http/http_client.h"
#include "banyanloft/http/http_server.h"
#include "banyanloft/links/gossip_socket.h"
#include "banyanloft/links/link_hub.h"
#include "banyanloft/mesh/backend_client.h"
#include "banyanloft/mesh/settings_change.h"

namespace banyanloft {
namespace {

namespace asio = boost::asio;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;
/// Shortest suspension of the machine that is handled, in ms: shorter ones are
/// within the links' own timeouts.
constexpr int64_t kMinSuspensionMs = 300;
/// Time to send the last messages before the process exits, in ms.
constexpr int64_t kShutdownFlushMs = 60;
/// Connections to the store: two for watches, of which each may be given up
/// while it waits, the others for reads and writes.
constexpr size_t kStoreConnections = 6;
constexpr size_t kControlConnections = 16;
/// Longest response body of the backend server, in bytes: with its head it must
/// fit into one message between daemons.
constexpr size_t kMaxResponseBytes = 3 * 1024 * 1024;
/// Response bodies that are being received at any time, in bytes: a tenth of
/// the memory of the smallest instances.
constexpr size_t kMaxBufferedResponseBytes = 16 * 1024 * 1024;

/// Longest request that is passed on to another daemon, in bytes: the largest
/// `max_body_bytes` of a configuration, and a head.
constexpr size_t kMaxLinkMessageBytes = 65 * 1024 * 1024;
constexpr size_t kBytesPerMb = 1000 * 1000;
/// Request bodies of readiness checks, reports and the like, in bytes.
constexpr size_t kMaxControlBodyBytes = 4 * 1024 * 1024;
/// Mean Retry-After of a request that is refused for lack of memory, in ms.
constexpr int64_t kMemoryRetryMs = 1000;

/// Memory of the request bodies of clients: a quarter of the instance's memory
/// for long ones. A body of the largest size has more room: alone, it would
/// otherwise be refused. In total at most two thirds are used, because daemons
/// also hold bodies of requests of other daemons.
BodyBudgetSettings ClientBodies(int64_t memory_mb, size_t max_body_bytes) {
  constexpr size_t kHeadroom = kBytesPerMb;
  size_t memory = static_cast<size_t>(memory_mb) * kBytesPerMb;
  BodyBudgetSettings bodies;
  size_t largest = std::min(max_body_bytes + kHeadroom, memory * 9 / 20);
  bodies.max_bytes = std::max(memory / 4, largest);
  bodies.max_small_bytes = memory / 16;
  return bodies;
}

/// Memory of responses that clients have not read yet: a fifth of the
/// instance's memory for long ones, so that the largest bodies fit beside them.
ResponseBudgetSettings ClientResponses(int64_t memory_mb) {
  size_t memory = static_cast<size_t>(memory_mb) * kBytesPerMb;
  ResponseBudgetSettings responses;
  responses.max_bytes = memory / 5;
  responses.max_small_bytes = memory / 16;
  return responses;
}

/// Total time that the machine has spent suspended, in ms.
int64_t SuspendedMs() {
  timespec boot{};
  timespec steady{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  clock_gettime(CLOCK_MONOTONIC, &steady);
  int64_t seconds = boot.tv_sec - steady.tv_sec;
  int64_t nanoseconds = boot.tv_nsec - steady.tv_nsec;
  return seconds * 1000 + nanoseconds / 1000000;
}

HttpResponse TextResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace

class Sidecar::Impl : private LinkListener, private BackendClientListener {
 public:
  Impl(SidecarSettings settings, const ProtocolAdapter* protocol,
       const SettingsSource* source)
      : settings_(std::move(settings)),
        protocol_(protocol),
        source_(source),
        settings_stamp_(source->ModificationStamp()),
        signals_(io_, SIGTERM, SIGINT, SIGHUP),
        tick_(io_),
        exit_timer_(io_),
        lag_(clock_.Now(), settings_.tick_ms) {}

  Result<bool> Start();
  void Run();

 private:
  /// Handles clients' requests.
  class ClientHandler final : public HttpHandler {
   public:
    explicit ClientHandler(Impl* daemon) : daemon_(daemon) {}
    void OnRequest(uint64_t id, HttpRequest request) override {
      daemon_->OnClientRequest(id, std::move(request));
    }
    void OnAbandoned(uint64_t id) override {
      daemon_->RunStep([&](TimeMs now, MeshNode::Actions* actions) {
        daemon_->node_->OnAbandoned(now, id, actions);
      });
    }
    HttpResponse OnRefused(ErrorKind kind) override {
      return daemon_->Refusal(kind);
    }

   private:
    Impl* daemon_;
  };
  /// Handles requests that are answered immediately: readiness, reports,
  /// metrics.
  class InternalHandler final : public HttpHandler {
   public:
    using Responder = HttpResponse (Impl::*)(const HttpRequest&);
    InternalHandler(Impl* daemon, Responder responder)
        : daemon_(daemon), responder_(responder) {}
    void Serve(std::unique_ptr<HttpServer> server) {
      server_ = std::move(server);
    }
    HttpServer* Server() { return server_.get(); }
    void OnRequest(uint64_t id, HttpRequest request) override {
      server_->Reply(id, (daemon_->*responder_)(request));
    }
    void OnAbandoned(uint64_t) override {}
    HttpResponse OnRefused(ErrorKind kind) override {
      return daemon_->Refusal(kind);
    }

   private:
    Impl* daemon_;
    Responder responder_;
    std::unique_ptr<HttpServer> server_;
  };

  void OnClientRequest(uint64_t id, HttpRequest request);
  HttpResponse Refusal(ErrorKind kind);
  HttpResponse HandleReadiness(const HttpRequest& request);
  HttpResponse HandleInstanceMessage(const HttpRequest& request);
  HttpResponse HandleMetrics(const HttpRequest& request);

  void OnLinkMessage(const std::string& link, PeerMessage message) override;
  bool OnLinkRequestBegins(const std::string& link,
                           BegunRequest begun) override;
  void OnLinkNotSent(const std::string& link, PeerMessage message) override;
  void OnLinkLost(const std::string& link) override;
  void OnLinkSilent(const std::string& link) override {
    node_->OnPeerSilent(clock_.Now(), link);
  }

  void RunStep(const std::function<void(TimeMs, MeshNode::Actions*)>& step);
  void Execute(MeshNodeAction action);
  void OnRunEnded(RunResult result) override;
  void OnProbed(ProbeResult result) override;
  void CallStore(PlatformCall call);
  void DetectSuspension(TimeMs now);
  void ApplyTable();
  void PollSettings(TimeMs now);
  void ReloadSettings(const char* cause);
  void ScheduleTick();
  void WaitForSignal();
  Result<bool> Listen();

  SidecarSettings settings_;
  const ProtocolAdapter* protocol_;
  const SettingsSource* source_;
  int64_t settings_stamp_;  ///< Modification stamp of the last settings read.
  TimeMs next_settings_poll_;
  SteadyClock clock_;
  asio::io_context io_;
  asio::signal_set signals_;
  asio::steady_timer tick_;
  asio::steady_timer exit_timer_;
  std::unique_ptr<MeshNode> node_;
  ClientHandler client_handler_{this};
  InternalHandler ready_handler_{this, &Impl::HandleReadiness};
  InternalHandler control_handler_{this, &Impl::HandleInstanceMessage};
  InternalHandler metrics_handler_{this, &Impl::HandleMetrics};
  std::unique_ptr<HttpServer> client_server_;
  std::unique_ptr<LinkHub> links_;
  std::unique_ptr<GossipSocket> gossip_;
  std::unique_ptr<BackendClient> backend_;
  std::unique_ptr<HttpClient> store_;
  RouteTablePtr applied_table_;
  LoopLag lag_;
  int64_t suspended_ms_ = 0;
  Random random_{SeedFromDevice()};
  uint64_t refused_inputs_ = 0;
};

Result<bool> Sidecar::Impl::Listen() {
  HttpServerSettings clients;
  clients.listen = settings_.clients;
  clients.max_connections = settings_.max_clients;
  clients.bodies = ClientBodies(settings_.memory_mb, clients.max_body_bytes);
  clients.responses = ClientResponses(settings_.memory_mb);
  client_server_ = std::make_unique<HttpServer>(io_, clients, &client_handler_);
  auto serve = [this](InternalHandler* handler, const Endpoint& listen) {
    HttpServerSettings server;
    server.listen = listen;
    server.max_connections = kControlConnections;
    server.bodies.max_bytes = kMaxControlBodyBytes;
    server.bodies.max_small_bytes = kMaxControlBodyBytes;
    handler->Serve(std::make_unique<HttpServer>(io_, server, handler));
    return handler->Server()->Start();
  };
  LinkSettings link;
  link.listen = settings_.link;
  link.advertised = settings_.advertised_link;
  link.secret = settings_.fleet;
  link.seed = settings_.node.seed;
  link.handshake_timeout_ms = 500;
  link.frames.max_message_bytes = kMaxLinkMessageBytes;
  link.bytes_per_ms = settings_.node.config.link_bytes_per_ms;
  LinkListener* listener = this;
  links_ = std::make_unique<LinkHub>(io_, link, listener);
  gossip_ = std::make_unique<GossipSocket>(
      io_, settings_.fleet, [this](Datagram datagram) {
        RunStep([&](TimeMs now, MeshNode::Actions* actions) {
          node_->OnDatagram(now, datagram, actions);
        });
      });
  std::vector<Result<Endpoint>> results;
  results.push_back(client_server_->Start());
  results.push_back(serve(&ready_handler_, settings_.ready));
  results.push_back(serve(&control_handler_, settings_.control));
  if (settings_.metrics.port != 0)
    results.push_back(serve(&metrics_handler_, settings_.metrics));
  results.push_back(links_->Start());
  results.push_back(gossip_->Start(settings_.gossip));
  for (const Result<Endpoint>& result : results) {
    if (const Error* error = ErrorOf(result)) return *error;
  }
  return true;
}

Result<bool> Sidecar::Impl::Start() {
  Result<bool> listening = Listen();
  if (ErrorOf(listening) != nullptr) return listening;

  HttpClientSettings backend;
  backend.server = settings_.backend;
  backend.server_role = "backend";
  backend.max_connections = settings_.max_backend_connections;
  backend.idle_timeout_ms = settings_.backend_idle_ms;
  backend.max_body_bytes = kMaxResponseBytes;
  backend.max_total_body_bytes = kMaxBufferedResponseBytes;
  BackendClientListener* results = this;
  backend_ = std::make_unique<BackendClient>(
      io_, backend, settings_.probe_timeout_ms, protocol_, results);
  HttpClientSettings store;
  store.server = settings_.store;
  store.server_role = "store";
  store.max_connections = kStoreConnections;
  store_ = std::make_unique<HttpClient>(io_, store);

  settings_.node.link_address = settings_.advertised_link.empty()
                                    ? settings_.link.Text()
                                    : settings_.advertised_link;
  settings_.node.gossip_address = settings_.gossip.Text();
  settings_.node.runner.max_body_bytes =
      static_cast<size_t>(settings_.memory_mb) * kBytesPerMb / 4;
  MemberId id = Random(settings_.node.seed).Bits() | 1;
  node_ =
      std::make_unique<MeshNode>(settings_.node, id, clock_.Now(), protocol_);
  suspended_ms_ = SuspendedMs();
  Log(LogLevel::kInfo, "daemon_started",
      {{"name", settings_.name},
       {"member", MemberName(id)},
       {"zone", settings_.node.zone},
       {"service", settings_.node.runner.service},
       {"clients", settings_.clients.Text()},
       {"backend", settings_.backend.Text()},
       {"link", settings_.link.Text()}});
  return true;
}

void Sidecar::Impl::Run() {
  WaitForSignal();
  ScheduleTick();
  io_.run();
  Log(LogLevel::kInfo, "daemon_stopped",
      {{"log_lines_dropped", std::to_string(DroppedLogLines())}});
}

void Sidecar::Impl::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      ReloadSettings("signal");
    } else {
      client_server_->DisableKeepAlive();
      RunStep([this](TimeMs now, MeshNode::Actions* actions) {
        node_->BeginDrain(now, actions);
      });
    }
    WaitForSignal();
  });
}

void Sidecar::Impl::ScheduleTick() {
  tick_.expires_after(std::chrono::milliseconds(settings_.tick_ms));
  tick_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    lag_.OnTick(clock_.Now());
    PollSettings(clock_.Now());
    if (node_->Draining())
      node_->SetPendingOutput(
          {client_server_->UnfinishedResponses(), links_->UnsentBytes()});
    RunStep([this](TimeMs now, MeshNode::Actions* actions) {
      node_->Tick(now, actions);
    });
    ScheduleTick();
  });
}

void Sidecar::Impl::PollSettings(TimeMs now) {
  if (now < next_settings_poll_) return;
  next_settings_poll_ = now + settings_.settings_poll_ms;
  if (source_->ModificationStamp() != settings_stamp_)
    ReloadSettings("changed");
}

/// Reads the settings again. Invalid settings change nothing; differences that
/// need a restart are logged and not applied. A process that is stopping keeps
/// its settings.
void Sidecar::Impl::ReloadSettings(const char* cause) {
  settings_stamp_ = source_->ModificationStamp();
  if (node_->Draining())
    return Log(LogLevel::kInfo, "settings_kept", {{"cause", cause}});
  Result<SidecarSettings> read = source_->Read();
  if (const Error* error = ErrorOf(read)) {
    return Log(LogLevel::kError, "settings_rejected",
               {{"cause", cause}, {"detail", error->detail}});
  }
  const SidecarSettings& next = *ValueOf(read);
  SettingsChange change = CompareSettings(settings_, next);
  node_->ApplySettings(clock_.Now(), next.node);
  settings_.node.CopyReloadable(next.node);
  Log(LogLevel::kInfo, "settings_reloaded",
      {{"cause", cause},
       {"applied", fmt::format("{}", fmt::join(change.applied, ", "))},
       {"at_restart", fmt::format("{}", fmt::join(change.at_restart, ", "))}});
}

/// After a suspension, this process's view of the fleet is out of date and
/// peers consider it lost: all links are dropped, so that they are opened anew.
void Sidecar::Impl::DetectSuspension(TimeMs now) {
  int64_t suspended_ms = SuspendedMs();
  int64_t paused_ms = suspended_ms - suspended_ms_;
  suspended_ms_ = suspended_ms;
  if (paused_ms < kMinSuspensionMs) return;
  MeshNode::Actions actions;
  node_->OnProcessSuspended(now, paused_ms, &actions);
  for (MeshNodeAction& action : actions) Execute(std::move(action));
  links_->DropAll();
}

void Sidecar::Impl::RunStep(
    const std::function<void(TimeMs, MeshNode::Actions*)>& step) {
  TimeMs now = clock_.Now();
  DetectSuspension(now);
  MeshNode::Actions actions;
  step(now, &actions);
  for (MeshNodeAction& action : actions) Execute(std::move(action));
  if (node_->Table() != applied_table_) ApplyTable();
}

/// Applies the limits of a new version.
void Sidecar::Impl::ApplyTable() {
  applied_table_ = node_->Table();
  const ClientLimits& limits = applied_table_->Limits();
  HttpServerSettings next;
  next.max_header_bytes = limits.max_header_bytes;
  next.max_body_bytes = limits.max_body_bytes;
  next.bodies = ClientBodies(settings_.memory_mb, limits.max_body_bytes);
  next.responses = ClientResponses(settings_.memory_mb);
  next.header_timeout_ms = limits.header_timeout_ms;
  next.read_timeout_ms = settings_.body_timeout_ms;
  next.idle_timeout_ms = limits.idle_timeout_ms;
  client_server_->SetLimits(next);
}

void Sidecar::Impl::Execute(MeshNodeAction action) {
  if (auto* answer = std::get_if<AnswerClient>(&action)) {
    links_->OnOtherBytes(answer->answer.response.body.size());
    client_server_->Reply(answer->request, protocol_->WriteClientResponse(
                                               std::move(answer->answer)));
  } else if (auto* peer = std::get_if<SendPeer>(&action)) {
    links_->Send(peer->link, peer->rank_index, std::move(peer->message));
  } else if (auto* datagram = std::get_if<SendDatagram>(&action)) {
    gossip_->Send(datagram->to, datagram->datagram);
  } else if (auto* call = std::get_if<PlatformCall>(&action)) {
    CallStore(std::move(*call));
  } else if (auto* start = std::get_if<StartRun>(&action)) {
    backend_->Start(std::move(*start), lag_.LagMs(clock_.Now()) > 0);
  } else if (auto* cancel = std::get_if<CancelRunOnBackend>(&action)) {
    backend_->Cancel(*cancel);
  } else if (std::holds_alternative<ProbeInstance>(action)) {
    backend_->Probe();
  } else if (auto* record = std::get_if<LogRecord>(&action)) {
    Log(*record);
  } else {
    // Its own timer: the next tick would cancel the wait.
    exit_timer_.expires_after(std::chrono::milliseconds(kShutdownFlushMs));
    exit_timer_.async_wait([this](boost::system::error_code) { io_.stop(); });
  }
}

void Sidecar::Impl::OnClientRequest(uint64_t id, HttpRequest request) {
  int64_t waited_ms = request.waited_ms;
  Result<MeshRequest> read = protocol_->ReadClientRequest(std::move(request));
  if (const Error* error = ErrorOf(read)) {
    Log(LogLevel::kWarning, "request_malformed", {{"detail", error->detail}});
    return client_server_->Reply(id, Refusal(error->kind));
  }
  MeshRequest& client = *ValueOf(read);
  client.buffered_ms = waited_ms;
  if (client.wait_ms > 0)
    client.wait_ms =
        std::max<int64_t>(1, client.wait_ms - lag_.LagMs(clock_.Now()));
  RunStep([&](TimeMs now, MeshNode::Actions* actions) {
    node_->OnRequest(now, id, std::move(client), actions);
  });
}

HttpResponse Sidecar::Impl::Refusal(ErrorKind kind) {
  MeshAnswer answer;
  answer.error = kind;
  answer.run_state = RunState::kNotRun;
  // Spread, so that the refused clients do not return together.
  if (kind == ErrorKind::kQueueFull)
    answer.retry_after_ms =
        kMemoryRetryMs / 2 +
        static_cast<int64_t>(random_.Below(uint64_t{kMemoryRetryMs}));
  return protocol_->WriteClientResponse(std::move(answer));
}

HttpResponse Sidecar::Impl::HandleReadiness(const HttpRequest& request) {
  if (PathOf(request.target) != protocol_->ReadinessPath())
    return TextResponse(kStatusNotFound, "unknown path\n");
  bool ready = node_->Ready(clock_.Now());
  return TextResponse(ready ? kStatusOk : kStatusUnavailable,
                      ready ? "ready\n" : "not ready\n");
}

HttpResponse Sidecar::Impl::HandleInstanceMessage(const HttpRequest& request) {
  Result<InstanceMessage> read = protocol_->ReadInstanceMessage(request);
  if (const Error* error = ErrorOf(read)) {
    ++refused_inputs_;
    Log(LogLevel::kWarning, "instance_report_unreadable",
        {{"detail", error->detail}});
    return Refusal(error->kind);
  }
  RunStep([&](TimeMs now, MeshNode::Actions* actions) {
    if (auto* report = std::get_if<InstanceReport>(ValueOf(read))) {
      node_->OnReport(now, *report, actions);
    } else {
      node_->OnDeregistered(
          now, std::get<InstanceDeregistration>(*ValueOf(read)).id, actions);
    }
  });
  HttpResponse response = TextResponse(kStatusOk, "{}");
  response.content_type = "application/json";
  return response;
}

HttpResponse Sidecar::Impl::HandleMetrics(const HttpRequest& request) {
  if (PathOf(request.target) != "/metrics")
    return TextResponse(kStatusNotFound, "unknown path\n");
  std::vector<Counters> counters;
  for (const Counters* group : node_->AllCounters()) counters.push_back(*group);
  counters.push_back(links_->Counts());
  counters.push_back(gossip_->Counts());
  counters.push_back(client_server_->Counts());
  counters.push_back(backend_->Counts());
  counters.push_back(store_->Counts());
  uint64_t version = applied_table_ ? applied_table_->Version() : 0;
  std::vector<Gauge> gauges = {
      {"version_in_force", "Version of the configuration in force",
       static_cast<double>(version)},
      {"members_alive", "Members believed to be alive, this one included",
       static_cast<double>(node_->Members().AliveCount())},
      {"requests_in_hand", "Requests of clients not yet answered",
       static_cast<double>(node_->RequestForwarder().InFlight())},
      {"runs_running", "Requests at the backend server now",
       static_cast<double>(node_->Runner().Admission().Running())},
      {"runs_waiting", "Requests that wait for a slot now",
       static_cast<double>(node_->Runner().Admission().Waiting())},
      {"backend_limit_per_s",
       "Requests per second that the backend server accepts; -1: no limit",
       node_->Runner().Admission().RateLimit().value_or(-1.0)},
      {"requests_suspected",
       "Requests that are suspected of crashing backend servers",
       static_cast<double>(node_->Runner().Suspects().Size())},
      {"request_body_bytes", "Memory of the request bodies of clients",
       static_cast<double>(client_server_->HeldBodyBytes())},
      {"link_delay_ms",
       "Expected delay of large messages on the outgoing link, in ms",
       static_cast<double>(node_->LinkDelayMs(clock_.Now()))},
      {"log_lines_dropped", "Log lines dropped since the start",
       static_cast<double>(DroppedLogLines())},
      {"ready", "1 if clients should send new work here",
       node_->Ready(clock_.Now()) ? 1.0 : 0.0},
      {"config_age_ms",
       "Time since the store is known to have held no newer version, in ms",
       static_cast<double>(node_->ConfigurationAgeMs(clock_.Now()))},
      {"member_view_age_ms", "Time since another member was heard of, in ms",
       static_cast<double>(node_->MemberViewAgeMs(clock_.Now()))}};
  return TextResponse(kStatusOk,
                      MetricsText(counters, gauges, node_->AllHistograms()));
}

void Sidecar::Impl::OnLinkMessage(const std::string& link,
                                  PeerMessage message) {
  // The times in the message do not include the lag of this event loop.
  if (auto* forward = std::get_if<ForwardRequest>(&message)) {
    int64_t lag_ms = lag_.LagMs(clock_.Now());
    forward->remaining_ms -= lag_ms;
    forward->aim_left_ms -= lag_ms;
  }
  RunStep([&](TimeMs now, MeshNode::Actions* actions) {
    node_->OnPeerMessage(now, link, std::move(message), actions);
  });
}

bool Sidecar::Impl::OnLinkRequestBegins(const std::string& link,
                                        BegunRequest begun) {
  bool accepted = true;
  RunStep([&](TimeMs now, MeshNode::Actions* actions) {
    accepted = node_->OnPeerRequestBegins(now, link, std::move(begun), actions);
  });
  return accepted;
}

void Sidecar::Impl::OnLinkNotSent(const std::string&, PeerMessage message) {
  // Called from within a call to the node, which is not reentrant.
  auto shared = std::make_shared<PeerMessage>(std::move(message));
  asio::post(io_, [this, shared] {
    RunStep([&](TimeMs now, MeshNode::Actions* actions) {
      node_->OnPeerNotSent(now, *shared, actions);
    });
  });
}

void Sidecar::Impl::OnLinkLost(const std::string& link) {
  asio::post(io_, [this, link] {
    RunStep([&](TimeMs now, MeshNode::Actions* actions) {
      node_->OnPeerLost(now, link, actions);
    });
  });
}

void Sidecar::Impl::OnRunEnded(RunResult result) {
  RunStep([&](TimeMs now, MeshNode::Actions* actions) {
    node_->OnResult(now, std::move(result), actions);
  });
}

void Sidecar::Impl::OnProbed(ProbeResult result) {
  RunStep([&](TimeMs now, MeshNode::Actions* actions) {
    node_->OnProbed(now, result, actions);
  });
}

void Sidecar::Impl::CallStore(PlatformCall call) {
  int64_t timeout_ms = settings_.store_timeout_ms + call.wait_ms;
  uint64_t id = call.id;
  HttpRequest request = protocol_->WriteStoreCall(call);
  store_->Send(id, std::move(request), timeout_ms,
               [this, call = std::move(call)](HttpOutcome outcome) {
                 auto reply = std::make_shared<PlatformReply>(
                     protocol_->ReadStoreReply(call, outcome));
                 asio::post(io_, [this, reply] {
                   RunStep([&](TimeMs now, MeshNode::Actions* actions) {
                     node_->OnStore(now, *reply, actions);
                   });
                 });
               });
}

Sidecar::Sidecar(SidecarSettings settings, const ProtocolAdapter* protocol,
                 const SettingsSource* source)
    : impl_(std::make_unique<Impl>(std::move(settings), protocol, source)) {}
Sidecar::~Sidecar() = default;
Result<bool> Sidecar::Start() { return impl_->Start(); }
void Sidecar::Run() { impl_->Run(); }

}  // namespace banyanloft
