#include "banyanloft/daemon/daemon.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <condition_variable>
#include <fstream>
#include <mutex>
#include <type_traits>

#include "banyanloft/config/json.h"
#include "banyanloft/core/event_loop_thread.h"
#include "banyanloft/core/log.h"
#include "banyanloft/daemon/caller_api.h"
#include "banyanloft/daemon/metrics_page.h"
#include "banyanloft/http/http_client.h"
#include "banyanloft/http/http_server.h"
#include "banyanloft/links/gossip_socket.h"
#include "banyanloft/links/link_hub.h"
#include "banyanloft/store/http_codec.h"

namespace banyanloft {
namespace {

constexpr int64_t kTickMs = 5;
constexpr int64_t kCounterPeriodMs = 1000;
constexpr int64_t kPlatformTimeoutMs = 2500;
constexpr int64_t kBackendMinTimeoutMs = 10;
/// Capacities of the ring buffers between threads, in messages. Those for
/// replies to callers and for run results never fill up: fewer calls and runs
/// are in progress than they can hold.
constexpr size_t kCallRing = 65536;
constexpr size_t kPeerRing = 65536;
constexpr size_t kBackendRing = 16384;
constexpr size_t kPlatformRing = 4096;
constexpr size_t kAdminRing = 1024;

// Messages from the other threads to the node thread.
struct CallArrived {
  uint64_t id;
  CallRequest request;
};
struct KeyRequestArrived {
  uint64_t id;
  std::string name;
};
struct CallAbandoned {
  uint64_t id;
};
using CallInput = std::variant<CallArrived, KeyRequestArrived, CallAbandoned>;

struct PeerMessageArrived {
  std::string link;
  PeerMessage message;
};
struct PeerMessageNotSent {
  std::string link;
  PeerMessage message;
};
struct PeerLinkLost {
  std::string link;
};
struct LinkCounters {
  Counters links;
  Counters datagrams;
  size_t open_links;
};
using PeerInput = std::variant<PeerMessageArrived, PeerMessageNotSent,
                               PeerLinkLost, Datagram, LinkCounters>;

struct BackendProbed {
  bool up;
};
using BackendInput = std::variant<BackendResult, BackendProbed>;

struct AdminRequestArrived {
  uint64_t id;
  HttpRequest request;
};
using AdminInput = std::variant<AdminRequestArrived>;

// Messages from the node thread to the other threads.
using CallOutput = std::variant<ReplyCall, ReplyKey>;
using PeerOutput = std::variant<SendPeer, SendDatagram>;
using BackendOutput = std::variant<StartBackend, CancelBackend, ProbeBackend>;
struct AdminOutput {
  uint64_t id;
  HttpResponse response;
};

/// CPU time used by this process, in seconds.
double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Resident memory of this process, in bytes.
double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace

class Daemon::Impl : private LinkListener {
 public:
  explicit Impl(DaemonSettings settings);
  ~Impl() override;

  Result<DaemonAddresses> Start();
  void BeginDrain();
  void WaitUntilDrained();

 private:
  /// Handles HTTP requests of callers, on the caller thread.
  class CallerHandler final : public HttpHandler {
   public:
    explicit CallerHandler(Impl* daemon) : daemon_(daemon) {}
    void OnRequest(uint64_t id, HttpRequest request) override;
    void OnAbandoned(uint64_t id) override;
    HttpResponse OnRefused(ErrorKind kind) override {
      return caller_api::RefusalResponse(kind, "", false);
    }

   private:
    Impl* daemon_;
  };
  /// Handles HTTP requests of operators and the backend server, on the admin
  /// thread.
  class AdminHandler final : public HttpHandler {
   public:
    explicit AdminHandler(Impl* daemon) : daemon_(daemon) {}
    void OnRequest(uint64_t id, HttpRequest request) override;
    void OnAbandoned(uint64_t) override {}
    HttpResponse OnRefused(ErrorKind kind) override {
      return caller_api::RefusalResponse(kind, "", false);
    }

   private:
    Impl* daemon_;
  };

  // On the node thread.
  void RunNode(const std::function<void(TimeMs, Node::Actions*)>& step);
  void Execute(NodeAction action);
  void SendToPeer(PeerOutput output);
  void SendToBackend(BackendOutput output);
  void SendToPlatform(PlatformCall call);
  void OnAdmin(AdminRequestArrived arrived);
  HttpResponse Announce(const HttpRequest& request);
  HttpResponse Metrics();
  void ScheduleTick();

  // On the peer thread.
  void OnLinkMessage(const std::string& link, PeerMessage message) override;
  void OnLinkNotSent(const std::string& link, PeerMessage message) override;
  void OnLinkLost(const std::string& link) override;
  void ScheduleCounterReport();

  // On the backend thread.
  void RunOnBackend(StartBackend start);
  void PushBackendInput(BackendInput input);

  template <typename T>
  void Push(Inbox<T>& inbox, T item, const char* name) {
    if (!inbox.TryPush(item)) CountQueueFull(name);
  }
  void CountQueueFull(const char* name);

  DaemonSettings settings_;
  SteadyClock clock_;
  EventLoopThread node_thread_{"decisions"};
  EventLoopThread caller_thread_{"callers"};
  EventLoopThread peer_thread_{"peers"};
  EventLoopThread backend_thread_{"backend"};
  EventLoopThread platform_thread_{"platform"};
  EventLoopThread admin_thread_{"admin"};

  std::unique_ptr<Node> node_;
  CallerHandler caller_handler_{this};
  AdminHandler admin_handler_{this};
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> admin_server_;
  std::unique_ptr<LinkHub> links_;
  std::unique_ptr<GossipSocket> gossip_;
  std::unique_ptr<HttpClient> backend_client_;
  std::unique_ptr<HttpClient> platform_client_;
  std::unique_ptr<boost::asio::steady_timer> tick_timer_;
  std::unique_ptr<boost::asio::steady_timer> counter_timer_;

  Inbox<CallInput> calls_in_;
  Inbox<PeerInput> peers_in_;
  Inbox<BackendInput> backend_in_;
  Inbox<PlatformReply> platform_in_;
  Inbox<AdminInput> admin_in_;
  Inbox<CallOutput> calls_out_;
  Inbox<PeerOutput> peers_out_;
  Inbox<BackendOutput> backend_out_;
  Inbox<PlatformCall> platform_out_;
  Inbox<AdminOutput> admin_out_;

  LinkCounters link_counters_;
  std::mutex mutex_;
  std::condition_variable drained_condition_;
  bool drained_ = false;
  Counters queue_counters_;
};

Daemon::Impl::Impl(DaemonSettings settings)
    : settings_(std::move(settings)),
      calls_in_(
          node_thread_, kCallRing,
          [this](CallInput input) {
            RunNode([&](TimeMs now, Node::Actions* actions) {
              if (auto* call = std::get_if<CallArrived>(&input)) {
                node_->OnCall(now, call->id, std::move(call->request), actions);
              } else if (auto* key = std::get_if<KeyRequestArrived>(&input)) {
                node_->OnCallerKeyRequest(now, key->id, key->name, actions);
              } else {
                node_->OnAbandoned(now, std::get<CallAbandoned>(input).id,
                                   actions);
              }
            });
          }),
      peers_in_(
          node_thread_, kPeerRing,
          [this](PeerInput input) {
            RunNode([&](TimeMs now, Node::Actions* actions) {
              if (auto* arrived = std::get_if<PeerMessageArrived>(&input)) {
                node_->OnPeerMessage(now, arrived->link,
                                     std::move(arrived->message), actions);
              } else if (auto* not_sent =
                             std::get_if<PeerMessageNotSent>(&input)) {
                node_->OnPeerNotSent(now, not_sent->link, not_sent->message,
                                     actions);
              } else if (auto* lost = std::get_if<PeerLinkLost>(&input)) {
                node_->OnPeerLost(now, lost->link, actions);
              } else if (auto* datagram = std::get_if<Datagram>(&input)) {
                node_->OnDatagram(now, *datagram, actions);
              } else {
                link_counters_ = std::move(std::get<LinkCounters>(input));
              }
            });
          }),
      backend_in_(node_thread_, kBackendRing,
                  [this](BackendInput input) {
                    RunNode([&](TimeMs now, Node::Actions* actions) {
                      if (auto* result = std::get_if<BackendResult>(&input)) {
                        node_->OnBackend(now, *result, actions);
                      } else {
                        node_->OnBackendProbed(
                            now, std::get<BackendProbed>(input).up, actions);
                      }
                    });
                  }),
      platform_in_(node_thread_, kPlatformRing,
                   [this](PlatformReply reply) {
                     RunNode([&](TimeMs now, Node::Actions* actions) {
                       node_->OnPlatform(now, reply, actions);
                     });
                   }),
      admin_in_(node_thread_, kAdminRing,
                [this](AdminInput input) {
                  OnAdmin(std::move(std::get<AdminRequestArrived>(input)));
                }),
      calls_out_(caller_thread_, kCallRing,
                 [this](CallOutput output) {
                   if (auto* reply = std::get_if<ReplyCall>(&output)) {
                     caller_server_->Reply(
                         reply->call,
                         caller_api::ResponseOf(std::move(reply->answer)));
                   } else {
                     auto& key = std::get<ReplyKey>(output);
                     caller_server_->Reply(key.call, caller_api::KeyResponseOf(
                                                         key.key, key.error));
                   }
                 }),
      peers_out_(peer_thread_, kPeerRing,
                 [this](PeerOutput output) {
                   if (auto* peer = std::get_if<SendPeer>(&output)) {
                     links_->Send(peer->link, peer->rank_index,
                                  std::move(peer->message));
                   } else {
                     auto& datagram = std::get<SendDatagram>(output);
                     gossip_->Send(datagram.to, datagram.datagram);
                   }
                 }),
      backend_out_(
          backend_thread_, kBackendRing,
          [this](BackendOutput output) {
            if (auto* start = std::get_if<StartBackend>(&output)) {
              RunOnBackend(std::move(*start));
            } else if (auto* cancel = std::get_if<CancelBackend>(&output)) {
              backend_client_->Cancel(cancel->work);
            } else {
              backend_client_->Probe(
                  [this](bool up) { PushBackendInput(BackendProbed{up}); });
            }
          }),
      platform_out_(platform_thread_, kPlatformRing,
                    [this](PlatformCall call) {
                      HttpRequest request = PlatformRequestOf(call);
                      int64_t timeout_ms =
                          PlatformTimeoutMs(call, kPlatformTimeoutMs);
                      platform_client_->Send(
                          call.id, std::move(request), timeout_ms,
                          [this, call](HttpOutcome outcome) {
                            Push(platform_in_, PlatformReplyOf(call, outcome),
                                 "platform_in");
                          });
                    }),
      admin_out_(admin_thread_, kAdminRing, [this](AdminOutput output) {
        admin_server_->Reply(output.id, std::move(output.response));
      }) {}

Daemon::Impl::~Impl() {
  // Stop the threads first: they use the servers, which are destroyed after.
  for (EventLoopThread* thread :
       {&node_thread_, &caller_thread_, &peer_thread_, &backend_thread_,
        &platform_thread_, &admin_thread_})
    thread->Stop();
}

Result<DaemonAddresses> Daemon::Impl::Start() {
  HttpServerSettings caller;
  caller.listen = settings_.caller_listen;
  caller.max_body_bytes = settings_.max_body_bytes;
  caller.read_timeout_ms = settings_.request_timeout_ms;
  caller_server_ = std::make_unique<HttpServer>(caller_thread_.Io(), caller,
                                                &caller_handler_);
  HttpServerSettings admin;
  admin.listen = settings_.admin_listen;
  admin_server_ =
      std::make_unique<HttpServer>(admin_thread_.Io(), admin, &admin_handler_);

  LinkSettings link;
  link.listen = settings_.link_listen;
  link.secret = settings_.node.secret;
  link.seed = settings_.node.seed;
  LinkListener* listener = this;
  links_ = std::make_unique<LinkHub>(peer_thread_.Io(), link, listener);
  gossip_ = std::make_unique<GossipSocket>(
      peer_thread_.Io(), settings_.node.secret, [this](Datagram datagram) {
        Push(peers_in_, PeerInput(std::move(datagram)), "peers_in");
      });

  DaemonAddresses addresses;
  Result<Endpoint> caller_at = caller_server_->Start();
  Result<Endpoint> admin_at = admin_server_->Start();
  Result<Endpoint> link_at = links_->Start();
  Result<Endpoint> gossip_at = gossip_->Start(settings_.gossip_listen);
  for (const Result<Endpoint>* result :
       {&caller_at, &admin_at, &link_at, &gossip_at}) {
    if (const Error* error = ErrorOf(*result)) return *error;
  }
  addresses.caller = *ValueOf(caller_at);
  addresses.admin = *ValueOf(admin_at);
  addresses.link = *ValueOf(link_at);
  addresses.gossip = *ValueOf(gossip_at);

  HttpClientSettings backend;
  backend.server = settings_.backend;
  backend.server_role = "backend";
  backend.max_connections = settings_.backend_connections;
  backend.max_body_bytes = settings_.max_body_bytes;
  backend_client_ = std::make_unique<HttpClient>(backend_thread_.Io(), backend);
  if (settings_.platform) {
    HttpClientSettings platform;
    platform.server = *settings_.platform;
    platform.server_role = "store";
    platform.max_connections = 8;
    platform_client_ =
        std::make_unique<HttpClient>(platform_thread_.Io(), platform);
  }

  settings_.node.link_address = addresses.link.Text();
  settings_.node.gossip_address = addresses.gossip.Text();
  MemberId id = Random(settings_.node.seed).Bits() | 1;
  node_ = std::make_unique<Node>(settings_.node, id, clock_.Now());
  tick_timer_ = std::make_unique<boost::asio::steady_timer>(node_thread_.Io());
  counter_timer_ =
      std::make_unique<boost::asio::steady_timer>(peer_thread_.Io());
  ScheduleTick();
  ScheduleCounterReport();
  for (EventLoopThread* thread :
       {&node_thread_, &caller_thread_, &peer_thread_, &backend_thread_,
        &platform_thread_, &admin_thread_})
    thread->Start();
  Log(LogLevel::kInfo, "daemon_started",
      {{"member", MemberName(id)},
       {"zone", settings_.node.zone},
       {"caller", addresses.caller.Text()},
       {"link", addresses.link.Text()},
       {"gossip", addresses.gossip.Text()},
       {"admin", addresses.admin.Text()}});
  return addresses;
}

void Daemon::Impl::BeginDrain() {
  boost::asio::post(node_thread_.Io(), [this] {
    Log(LogLevel::kInfo, "drain_began", {});
    RunNode([&](TimeMs now, Node::Actions* actions) {
      node_->BeginDrain(now, actions);
    });
  });
}

void Daemon::Impl::WaitUntilDrained() {
  std::unique_lock<std::mutex> lock(mutex_);
  drained_condition_.wait(lock, [this] { return drained_; });
}

void Daemon::Impl::RunNode(
    const std::function<void(TimeMs, Node::Actions*)>& step) {
  uint64_t version = node_->Configuration().Version();
  Node::Actions actions;
  step(clock_.Now(), &actions);
  for (NodeAction& action : actions) Execute(std::move(action));
  if (node_->Configuration().Version() == version) return;
  Log(LogLevel::kInfo, "version_in_force",
      {{"version", std::to_string(node_->Configuration().Version())},
       {"source", node_->Configuration().Source()}});
}

void Daemon::Impl::Execute(NodeAction action) {
  std::visit(
      [this](auto& item) {
        using T = std::decay_t<decltype(item)>;
        if constexpr (std::is_same_v<T, ReplyCall> ||
                      std::is_same_v<T, ReplyKey>) {
          Push(calls_out_, CallOutput(std::move(item)), "calls_out");
        } else if constexpr (std::is_same_v<T, SendPeer> ||
                             std::is_same_v<T, SendDatagram>) {
          SendToPeer(std::move(item));
        } else if constexpr (std::is_same_v<T, PlatformCall>) {
          SendToPlatform(std::move(item));
        } else if constexpr (std::is_same_v<T, ReadyToExit>) {
          std::lock_guard<std::mutex> lock(mutex_);
          drained_ = true;
          drained_condition_.notify_all();
        } else {
          SendToBackend(std::move(item));
        }
      },
      action);
}

/// If the ring buffer is full, the message was not sent, and the node is
/// notified at once.
void Daemon::Impl::SendToPeer(PeerOutput output) {
  if (peers_out_.TryPush(output)) return;
  CountQueueFull("peers_out");
  auto* peer = std::get_if<SendPeer>(&output);
  if (peer == nullptr) return;
  RunNode([&](TimeMs now, Node::Actions* actions) {
    node_->OnPeerNotSent(now, peer->link, peer->message, actions);
  });
}

void Daemon::Impl::SendToBackend(BackendOutput output) {
  if (backend_out_.TryPush(output)) return;
  CountQueueFull("backend_out");
  auto* start = std::get_if<StartBackend>(&output);
  if (start == nullptr) return;
  BackendResult result;
  result.work = start->work;
  result.type = BackendResult::Type::kNotSent;
  RunNode([&](TimeMs now, Node::Actions* actions) {
    node_->OnBackend(now, result, actions);
  });
}

void Daemon::Impl::SendToPlatform(PlatformCall call) {
  uint64_t id = call.id;
  if (platform_client_ && platform_out_.TryPush(call)) return;
  PlatformReply reply;
  reply.id = id;
  reply.error = Error{ErrorKind::kPlatformUnavailable,
                      "no platform is configured, or the queue to it is full"};
  Push(platform_in_, std::move(reply), "platform_in");
}

void Daemon::Impl::ScheduleTick() {
  tick_timer_->expires_after(std::chrono::milliseconds(kTickMs));
  tick_timer_->async_wait([this](boost::system::error_code error) {
    if (error) return;
    RunNode(
        [&](TimeMs now, Node::Actions* actions) { node_->Tick(now, actions); });
    ScheduleTick();
  });
}

void Daemon::Impl::CountQueueFull(const char* name) {
  std::lock_guard<std::mutex> lock(mutex_);
  queue_counters_.Add("queue_refusals_total", name);
}

void Daemon::Impl::CallerHandler::OnRequest(uint64_t id, HttpRequest request) {
  bool has_key = !HeaderOf(request.headers, caller_api::kKeyHeader).empty();
  Result<caller_api::CallerRequest> parsed =
      caller_api::ParseCallerRequest(std::move(request));
  if (const Error* error = ErrorOf(parsed)) {
    return daemon_->caller_server_->Reply(
        id, caller_api::RefusalResponse(error->kind, error->detail, has_key));
  }
  CallInput input;
  if (auto* call = std::get_if<CallRequest>(ValueOf(parsed))) {
    input = CallArrived{id, std::move(*call)};
  } else {
    input = KeyRequestArrived{
        id, std::move(
                std::get<caller_api::IssueKeyRequest>(*ValueOf(parsed)).name)};
  }
  if (daemon_->calls_in_.TryPush(input)) return;
  daemon_->CountQueueFull("calls_in");
  daemon_->caller_server_->Reply(
      id, caller_api::RefusalResponse(ErrorKind::kQueueFull, "", has_key));
}

void Daemon::Impl::CallerHandler::OnAbandoned(uint64_t id) {
  daemon_->Push(daemon_->calls_in_, CallInput(CallAbandoned{id}), "calls_in");
}

void Daemon::Impl::AdminHandler::OnRequest(uint64_t id, HttpRequest request) {
  AdminInput input = AdminRequestArrived{id, std::move(request)};
  if (daemon_->admin_in_.TryPush(input)) return;
  daemon_->CountQueueFull("admin_in");
  daemon_->admin_server_->Reply(
      id, caller_api::RefusalResponse(ErrorKind::kQueueFull, "", false));
}

void Daemon::Impl::OnAdmin(AdminRequestArrived arrived) {
  std::string path = PathOf(arrived.request.target);
  HttpResponse response;
  response.body = "ok\n";
  if (path == "/metrics") {
    response = Metrics();
  } else if (path == "/readyz") {
    response.status = node_->Ready() ? 200 : 503;
    response.body = node_->Ready() ? "ready\n" : "not ready\n";
  } else if (path == "/status") {
    response.content_type = "application/json";
    response.body = node_->StatusJson(clock_.Now()) + "\n";
  } else if (path == "/explain") {
    response.body =
        node_->Explain(clock_.Now(), QueryOf(arrived.request.target, "name")) +
        "\n";
  } else if (path == "/announce" && arrived.request.method == "POST") {
    response = Announce(arrived.request);
  } else if (path == "/drain" && arrived.request.method == "POST") {
    RunNode([&](TimeMs now, Node::Actions* actions) {
      node_->BeginDrain(now, actions);
    });
  } else if (path != "/healthz") {
    response.status = 404;
    response.body =
        "paths: /healthz /readyz /metrics /status /explain?name=NAME, POST "
        "/announce, POST /drain\n";
  }
  Push(admin_out_, AdminOutput{arrived.id, std::move(response)}, "admin_out");
}

HttpResponse Daemon::Impl::Announce(const HttpRequest& request) {
  Json json = ParseJson(request.body);
  JsonReader fields(json);
  Announcement announcement;
  announcement.service = fields.String("service");
  announcement.slots = static_cast<int>(fields.Int("slots"));
  announcement.boot_id = fields.String("boot_id");
  std::string state = fields.String("state");
  if (state == "warming") announcement.state = MemberState::kWarming;
  if (state == "draining") announcement.state = MemberState::kDraining;
  bool known = state == "warming" || state == "ready" || state == "draining";
  HttpResponse response;
  if (!fields.FirstError().empty() || !known || announcement.slots < 1 ||
      announcement.slots > 10000) {
    response.status = 400;
    response.body =
        "an announcement has service, slots (1 to 10000), state (warming, "
        "ready or draining), boot_id\n";
    return response;
  }
  RunNode([&](TimeMs now, Node::Actions* actions) {
    node_->OnAnnounce(now, announcement, actions);
  });
  return response;
}

HttpResponse Daemon::Impl::Metrics() {
  std::vector<Counters> counters;
  for (const Counters* group : node_->AllCounters()) counters.push_back(*group);
  counters.push_back(link_counters_.links);
  counters.push_back(link_counters_.datagrams);
  {
    std::lock_guard<std::mutex> lock(mutex_);
    counters.push_back(queue_counters_);
  }
  const RankAdmissionController& admission = node_->Runner().Admission();
  std::vector<Gauge> gauges = {
      {"version_in_force", "Configuration version in force",
       static_cast<double>(node_->Configuration().Version())},
      {"ready", "1 if calls are served", node_->Ready() ? 1.0 : 0.0},
      {"members_alive", "Live members known, itself included",
       static_cast<double>(node_->Members().AliveCount())},
      {"gate_running", "Work that the backend server runs",
       static_cast<double>(admission.Running())},
      {"gate_waiting", "Work that waits for a slot",
       static_cast<double>(admission.Waiting())},
      {"keys_remembered", "Keys whose outcome is kept",
       static_cast<double>(node_->Runner().Ledger().Size())},
      {"open_links", "Links to peers",
       static_cast<double>(link_counters_.open_links)},
      {"process_cpu_seconds", "Processor time of this process",
       ProcessorSeconds()},
      {"process_resident_bytes", "Resident memory of this process",
       ResidentBytes()},
  };
  HttpResponse response;
  response.body = MetricsText(counters, gauges);
  return response;
}

void Daemon::Impl::OnLinkMessage(const std::string& link, PeerMessage message) {
  Push(peers_in_, PeerInput(PeerMessageArrived{link, std::move(message)}),
       "peers_in");
}

void Daemon::Impl::OnLinkNotSent(const std::string& link, PeerMessage message) {
  Push(peers_in_, PeerInput(PeerMessageNotSent{link, std::move(message)}),
       "peers_in");
}

void Daemon::Impl::OnLinkLost(const std::string& link) {
  Push(peers_in_, PeerInput(PeerLinkLost{link}), "peers_in");
}

void Daemon::Impl::ScheduleCounterReport() {
  counter_timer_->expires_after(std::chrono::milliseconds(kCounterPeriodMs));
  counter_timer_->async_wait([this](boost::system::error_code error) {
    if (error) return;
    LinkCounters counters{links_->Counts(), gossip_->Counts(),
                          links_->OpenLinks()};
    Push(peers_in_, PeerInput(std::move(counters)), "peers_in");
    ScheduleCounterReport();
  });
}

void Daemon::Impl::RunOnBackend(StartBackend start) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/run/" + start.route;
  request.headers = {
      {caller_api::kRankHeader, start.rank},
      {caller_api::kTimeoutHeader, std::to_string(start.remaining_ms)},
      {caller_api::kDepthHeader, std::to_string(start.depth)}};
  if (!start.key.empty())
    request.headers.emplace_back(caller_api::kKeyHeader, start.key);
  if (!start.content_type.empty())
    request.headers.emplace_back("Content-Type", start.content_type);
  request.body = std::move(start.body);
  // The node cancels a run at its limit; this timeout is only a fallback.
  int64_t limit_ms =
      std::max(settings_.node.runner.run_limit_ms, start.remaining_ms);
  int64_t timeout_ms = std::max(kBackendMinTimeoutMs, limit_ms);
  uint64_t work = start.work;
  backend_client_->Send(
      work, std::move(request), timeout_ms, [this, work](HttpOutcome outcome) {
        BackendResult result;
        result.work = work;
        if (outcome.failure) {
          switch (*outcome.failure) {
            case HttpFailure::kNotSent:
            case HttpFailure::kResetUnsent:
            case HttpFailure::kInvalidRequest:
              result.type = BackendResult::Type::kNotSent;
              break;
            case HttpFailure::kTooLarge:
              result.type = BackendResult::Type::kTooLarge;
              break;
            case HttpFailure::kBroken:
              result.type = BackendResult::Type::kBroken;
              break;
            case HttpFailure::kTimeout:
            case HttpFailure::kCancelled:
              result.type = BackendResult::Type::kCancelled;
              break;
          }
        } else {
          const HttpResponse& response = outcome.response;
          result.http_status = response.status;
          result.not_run =
              !HeaderOf(response.headers, caller_api::kShedHeader).empty();
          result.retried_downstream =
              !HeaderOf(response.headers, caller_api::kRetriedHeader).empty();
          result.content_type = response.content_type;
          result.body = std::move(outcome.response.body);
        }
        PushBackendInput(std::move(result));
      });
}

void Daemon::Impl::PushBackendInput(BackendInput input) {
  Push(backend_in_, std::move(input), "backend_in");
}

Daemon::Daemon(DaemonSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}
Daemon::~Daemon() = default;

Result<DaemonAddresses> Daemon::Start() { return impl_->Start(); }
void Daemon::BeginDrain() { impl_->BeginDrain(); }
void Daemon::WaitUntilDrained() { impl_->WaitUntilDrained(); }

}  // namespace banyanloft
