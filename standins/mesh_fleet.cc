#include "standins/mesh_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace banyanloft {
namespace {

constexpr int64_t kTickMs = 20;
constexpr int64_t kLocalDelayMs = 1;
constexpr int64_t kConnectTimeoutMs = 1000;
constexpr uint64_t kConfigurationRevision = 1;
constexpr int64_t kWatchPollMs = 20;
constexpr int kServerError = 500;
constexpr int kInstancesPerSubnet = 250;
constexpr char kHost[] = "mesh.example";
constexpr const char* kServices[] = {"catalogue", "pledges"};

/// Routes to both services, whatever the document's text.
class FixedReader final : public ConfigurationReader {
 public:
  explicit FixedReader(std::vector<ClientAccount> accounts)
      : accounts_(std::move(accounts)) {}
  Result<RouteConfiguration> ReadConfiguration(
      const std::string&) const override {
    RouteConfiguration out;
    out.version = 1;
    out.accounts = accounts_;
    for (const char* service : kServices) {
      std::string prefix = fmt::format("/{}/", service);
      out.services[service] = {service, 100};
      out.routes.push_back(HttpRouteBuilder(fmt::format("{}-read", service),
                                            kHost, prefix + "read/")
                               .To(service)
                               .Idempotent()
                               .Timeout(2500)
                               .Aim(400)
                               .Attempts(2)
                               .Build());
      out.routes.push_back(HttpRouteBuilder(fmt::format("{}-write", service),
                                            kHost, prefix + "write/")
                               .To(service)
                               .Timeout(2500)
                               .Aim(400)
                               .Build());
    }
    return out;
  }
  /// Orders are of the form `SERVICE VERSION DURATION_MS`, statuses of the form
  /// `STATE VERSION`.
  Result<RolloutOrder> ReadRollout(
      const PlatformObject& object) const override {
    RolloutOrder order;
    std::istringstream spec(object.value);
    spec >> order.service >> order.to_version >> order.duration_ms;
    std::istringstream status(object.status);
    std::string state;
    status >> state >> order.status_version;
    if (state == NameOf(RolloutPhase::kSucceeded))
      order.status = RolloutPhase::kSucceeded;
    if (state == NameOf(RolloutPhase::kRolledBack))
      order.status = RolloutPhase::kRolledBack;
    return order;
  }
  std::string WriteRolloutStatus(RolloutPhase phase,
                                 const std::string& version) const override {
    return fmt::format("{} {}", NameOf(phase), version);
  }

 private:
  std::vector<ClientAccount> accounts_;
};

}  // namespace

MeshFleet::MeshFleet(const MeshFleetSettings& settings)
    : settings_(settings),
      random_(settings.seed),
      reader_(std::make_unique<FixedReader>(settings.accounts)) {
  PlatformCall write;
  write.type = PlatformCall::Type::kWrite;
  write.key = settings_.node.config.key;
  write.value = "{}";
  store_.Do(write);
}

size_t MeshFleet::Start(const std::string& service,
                        const std::string& version) {
  size_t index = instances_.size();
  Instance instance;
  instance.service = service;
  instance.version = version;
  instance.zone =
      fmt::format("z{}", index % static_cast<size_t>(settings_.zones));
  instance.link = fmt::format("10.0.{}.{}:1", index / kInstancesPerSubnet,
                              index % kInstancesPerSubnet);
  instance.gossip = fmt::format("10.0.{}.{}:2", index / kInstancesPerSubnet,
                                index % kInstancesPerSubnet);
  index_by_address_[instance.link] = index;
  index_by_address_[instance.gossip] = index;
  instances_.push_back(std::move(instance));
  StartDaemon(index);
  StartServer(index);
  return index;
}

void MeshFleet::StartDaemon(size_t index) {
  Instance& instance = instances_[index];
  ++instance.daemon_start;
  MeshNodeSettings node = settings_.node;
  node.zone = instance.zone;
  node.link_address = instance.link;
  node.gossip_address = instance.gossip;
  node.seed = random_.Bits();
  node.forwarder.caller = instance.service;
  node.runner.service = instance.service;
  node.runner.address = instance.link;
  node.runner.heartbeat_ms = settings_.heartbeat_ms;
  instance.node = std::make_unique<MeshNode>(node, random_.Bits() | 1, Now(),
                                             reader_.get());
  Tick(index, instance.daemon_start);
}

/// The daemon's links break and its runs are abandoned; a request that is being
/// sent to it is not sent.
void MeshFleet::Kill(size_t index) {
  Instance& instance = instances_[index];
  instance.node.reset();
  ++instance.daemon_start;
  instance.running.clear();
  for (size_t peer = 0; peer < instances_.size(); ++peer) {
    if (peer == index || !Connected(peer, index)) continue;
    InvokeLater(settings_.message_delay_ms, peer,
                [this, link = instance.link](MeshNode* node,
                                             MeshNode::Actions* actions) {
                  node->OnPeerLost(Now(), link, actions);
                });
  }
}

void MeshFleet::Restart(size_t index) {
  if (!Alive(index)) StartDaemon(index);
}

void MeshFleet::StartServer(size_t index) {
  Instance& instance = instances_[index];
  ++instance.server_start;
  instance.born_ms = Now().Value();
  instance.reports = 0;
  instance.server_up = true;
  SendReports(index, instance.server_start);
}

std::string MeshFleet::InstanceId(size_t index) const {
  return fmt::format("i-{}-{}", index, instances_[index].server_start);
}

void MeshFleet::SendReports(size_t index, int64_t server_start) {
  Instance& instance = instances_[index];
  if (instance.server_start != server_start || !instance.server_up) return;
  InstanceReport report;
  report.id = InstanceId(index);
  report.start_time_ms = instance.born_ms;
  report.sequence = ++instance.reports;
  report.service = instance.service;
  report.version = instance.version;
  report.address = instance.link;
  report.slots = settings_.slots;
  InvokeLater(kLocalDelayMs, index,
              [this, report](MeshNode* node, MeshNode::Actions* actions) {
                node->OnReport(Now(), report, actions);
              });
  events_.Schedule(settings_.heartbeat_ms, [this, index, server_start] {
    SendReports(index, server_start);
  });
}

void MeshFleet::Tick(size_t index, uint64_t daemon_start) {
  if (instances_[index].daemon_start != daemon_start) return;
  Invoke(index, daemon_start,
         [this](MeshNode* node, MeshNode::Actions* actions) {
           node->Tick(Now(), actions);
         });
  events_.Schedule(kTickMs,
                   [this, index, daemon_start] { Tick(index, daemon_start); });
}

void MeshFleet::Invoke(
    size_t index, uint64_t daemon_start,
    const std::function<void(MeshNode*, MeshNode::Actions*)>& call) {
  Instance& instance = instances_[index];
  if (instance.daemon_start != daemon_start || !instance.node) return;
  MeshNode::Actions actions;
  call(instance.node.get(), &actions);
  for (MeshNodeAction& action : actions) Execute(index, std::move(action));
}

/// Addressed to the daemon that runs now: one that replaces it meanwhile does
/// not get the message.
void MeshFleet::InvokeLater(
    int64_t delay_ms, size_t index,
    std::function<void(MeshNode*, MeshNode::Actions*)> call) {
  uint64_t daemon_start = instances_[index].daemon_start;
  events_.Schedule(delay_ms,
                   [this, index, daemon_start, call = std::move(call)] {
                     Invoke(index, daemon_start, call);
                   });
}

uint64_t MeshFleet::Request(size_t index, const std::string& target,
                            int64_t timeout_ms, const std::string& api_key) {
  uint64_t number = next_request_++;
  MeshRequest request;
  request.request_id = fmt::format("r-{}", number);
  request.wait_ms = timeout_ms;
  request.method = "GET";
  request.host = kHost;
  request.target = target;
  request.api_key = api_key;
  Invoke(index, instances_[index].daemon_start,
         [&](MeshNode* node, MeshNode::Actions* actions) {
           node->OnRequest(Now(), number, std::move(request), actions);
         });
  return number;
}

void MeshFleet::Partition(std::set<std::string> zones, bool from_store) {
  partitioned_zones_ = std::move(zones);
  partitioned_from_store_ = from_store;
}

bool MeshFleet::Connected(size_t a, size_t b) const {
  return partitioned_zones_.count(instances_[a].zone) ==
         partitioned_zones_.count(instances_[b].zone);
}

std::optional<size_t> MeshFleet::IndexOf(const std::string& address) const {
  auto it = index_by_address_.find(address);
  if (it == index_by_address_.end()) return std::nullopt;
  return it->second;
}

void MeshFleet::Execute(size_t index, MeshNodeAction action) {
  if (auto* answer = std::get_if<AnswerClient>(&action)) {
    answers_[answer->request] = Answered{Now(), std::move(answer->answer)};
  } else if (auto* send = std::get_if<SendPeer>(&action)) {
    SendTo(index, *send);
  } else if (auto* datagram = std::get_if<SendDatagram>(&action)) {
    SendGossip(index, *datagram);
  } else if (auto* call = std::get_if<PlatformCall>(&action)) {
    CallStore(index, *call);
  } else if (auto* start = std::get_if<StartRun>(&action)) {
    StartRequest(index, *start);
  } else if (auto* cancel = std::get_if<CancelRunOnBackend>(&action)) {
    if (!cancel->only_if_unsent)
      EndRun(index, cancel->run, RunResult::Type::kCancelled, kLocalDelayMs);
  } else if (std::holds_alternative<ProbeInstance>(action)) {
    Probe(index);
  } else if (auto* record = std::get_if<LogRecord>(&action)) {
    if (on_log) on_log(Now(), index, *record);
  }
}

void MeshFleet::SendTo(size_t from, const SendPeer& send) {
  bool quota = std::holds_alternative<QuotaAsk>(send.message) ||
               std::holds_alternative<QuotaGrant>(send.message) ||
               std::holds_alternative<QuotaHandover>(send.message);
  if (quota) ++quota_messages_;
  std::optional<size_t> to = IndexOf(send.link);
  bool reached = to && Alive(*to) && Connected(from, *to);
  if (!reached) {
    InvokeLater(kLocalDelayMs, from,
                [this, message = send.message](MeshNode* node,
                                               MeshNode::Actions* actions) {
                  node->OnPeerNotSent(Now(), message, actions);
                });
    return;
  }
  InvokeLater(settings_.message_delay_ms, *to,
              [this, link = instances_[from].link, message = send.message](
                  MeshNode* node, MeshNode::Actions* actions) {
                node->OnPeerMessage(Now(), link, message, actions);
              });
}

void MeshFleet::SendGossip(size_t from, const SendDatagram& send) {
  ++datagrams_;
  std::optional<size_t> to = IndexOf(send.to);
  bool lost = random_.ChancePermille(settings_.loss_permille);
  if (lost || !to || !Alive(*to) || !Connected(from, *to)) return;
  InvokeLater(settings_.message_delay_ms, *to,
              [this, datagram = send.datagram](MeshNode* node,
                                               MeshNode::Actions* actions) {
                node->OnDatagram(Now(), datagram, actions);
              });
}

void MeshFleet::OrderRollout(const std::string& service,
                             const std::string& to_version,
                             int64_t duration_ms) {
  PlatformCall write;
  write.type = PlatformCall::Type::kWrite;
  write.key = settings_.node.rollouts.store.prefix + service;
  write.value = fmt::format("{} {} {}", service, to_version, duration_ms);
  store_.Do(write);
}

void MeshFleet::RemoveRollout(const std::string& service) {
  store_.Erase(settings_.node.rollouts.store.prefix + service);
}

std::string MeshFleet::RolloutStatusOf(const std::string& service) {
  PlatformCall read;
  read.key = settings_.node.rollouts.store.prefix + service;
  PlatformReply reply = store_.Do(read);
  return reply.objects.empty() ? "" : reply.objects.front().status;
}

/// Answers a watch of the roll-outs once an object has changed, or at `end`.
void MeshFleet::AnswerWatch(size_t index, const PlatformCall& call,
                            TimeMs end) {
  PlatformCall list = call;
  list.watch_after.reset();
  PlatformReply reply = store_.Do(list);
  reply.revision = store_.LastRevision();
  auto known = [&](const PlatformObject& object) {
    return object.revision <= *call.watch_after;
  };
  reply.objects.erase(
      std::remove_if(reply.objects.begin(), reply.objects.end(), known),
      reply.objects.end());
  if (reply.objects.empty() && Now() < end) {
    events_.Schedule(kWatchPollMs, [this, index, call, end] {
      AnswerWatch(index, call, end);
    });
    return;
  }
  InvokeLater(settings_.store_delay_ms, index,
              [this, reply](MeshNode* node, MeshNode::Actions* actions) {
                node->OnStore(Now(), reply, actions);
              });
}

/// A watch of the configuration ends after its wait without a change: nothing
/// changes it.
void MeshFleet::CallStore(size_t index, const PlatformCall& call) {
  ++store_calls_;
  bool cut = partitioned_from_store_ &&
             partitioned_zones_.count(instances_[index].zone) > 0;
  if (cut || cut_from_store_.count(index) > 0) return;
  bool rollouts = call.key.rfind(settings_.node.rollouts.store.prefix, 0) == 0;
  if (rollouts && call.watch_after && !store_unavailable_)
    return AnswerWatch(index, call, Now() + call.wait_ms);
  int64_t delay_ms = settings_.store_delay_ms;
  PlatformReply reply;
  if (store_unavailable_) {
    reply.id = call.id;
    reply.error = Error{ErrorKind::kPlatformUnavailable, "unavailable"};
  } else if (call.watch_after) {
    reply.id = call.id;
    delay_ms = call.wait_ms;
  } else {
    reply = store_.Do(call);
  }
  if (call.is_status && !store_unavailable_ && lost_status_answers_ > 0) {
    --lost_status_answers_;
    return;
  }
  bool list = call.type == PlatformCall::Type::kList;
  if (list && !reply.error)
    reply.revision = rollouts ? store_.LastRevision() : kConfigurationRevision;
  InvokeLater(delay_ms, index,
              [this, reply](MeshNode* node, MeshNode::Actions* actions) {
                node->OnStore(Now(), reply, actions);
              });
}

void MeshFleet::StartRequest(size_t index, const StartRun& start) {
  Instance& instance = instances_[index];
  uint64_t run = start.run;
  instance.running.insert(run);
  if (!instance.server_up) {
    int64_t delay_ms =
        settings_.silent_crashes ? kConnectTimeoutMs : kLocalDelayMs;
    return EndRun(index, run, RunResult::Type::kNotSent, delay_ms);
  }
  if (start.instance != InstanceId(index))
    return EndRun(index, run, RunResult::Type::kMisplaced, kLocalDelayMs);
  bool crashes = crashes_server && crashes_server(start.request.target);
  runs_.push_back(Run{Now(), index, start.request.target, crashes});
  // Ends the run if the backend server falls silent while it runs.
  EndRun(index, run, RunResult::Type::kTimeout, start.remaining_ms);
  if (crashes) {
    events_.Schedule(settings_.crash_after_ms,
                     [this, index, server_start = instance.server_start] {
                       if (instances_[index].server_start == server_start)
                         Crash(index);
                     });
    return;
  }
  int64_t run_ms = settings_.run_ms / 2 +
                   static_cast<int64_t>(
                       random_.Below(static_cast<uint64_t>(settings_.run_ms)));
  int status = fails && fails(index, start.request.target) ? kServerError : 200;
  events_.Schedule(
      run_ms, [this, index, run, status, server_start = instance.server_start] {
        const Instance& now = instances_[index];
        bool same = now.server_up && now.server_start == server_start;
        if (same) EndRun(index, run, RunResult::Type::kAnswered, 0, status);
      });
}

void MeshFleet::Crash(size_t index) {
  Instance& instance = instances_[index];
  if (!instance.server_up) return;
  instance.server_up = false;
  if (!settings_.silent_crashes) {
    for (uint64_t run : instance.running)
      EndRun(index, run, RunResult::Type::kBroken, kLocalDelayMs);
  }
  events_.Schedule(settings_.down_ms, [this, index] { StartServer(index); });
}

/// Delivers the result of a run unless it has ended by then.
void MeshFleet::EndRun(size_t index, uint64_t run, RunResult::Type type,
                       int64_t delay_ms, int status) {
  InvokeLater(delay_ms, index,
              [this, index, run, type, status](MeshNode* node,
                                               MeshNode::Actions* actions) {
                if (instances_[index].running.erase(run) == 0) return;
                RunResult result;
                result.run = run;
                result.type = type;
                result.response.status =
                    type == RunResult::Type::kAnswered ? status : 0;
                if (type == RunResult::Type::kAnswered)
                  result.notice = BackendNotice();
                node->OnResult(Now(), std::move(result), actions);
              });
}

void MeshFleet::Probe(size_t index) {
  bool up = instances_[index].server_up;
  ProbeResult result;
  result.up = up;
  if (up) result.instance = InstanceId(index);
  int64_t delay_ms =
      up || !settings_.silent_crashes ? kLocalDelayMs : kConnectTimeoutMs;
  InvokeLater(delay_ms, index,
              [this, result](MeshNode* node, MeshNode::Actions* actions) {
                node->OnProbed(Now(), result, actions);
              });
}

}  // namespace banyanloft
