#include "standins/node_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

#include "banyanloft/config/builder.h"
#include "banyanloft/operator/operator_session.h"

namespace banyanloft {
namespace {

constexpr int64_t kAnnouncePeriodMs = 1000;
constexpr int64_t kConnectFailureMs = 1;
constexpr char kFleetSecret[] = "secret of the simulated fleet";

}  // namespace

NodeFleet::NodeFleet(const NodeFleetSettings& settings)
    : settings_(settings), random_(settings.seed) {}

size_t NodeFleet::Start(const std::string& service, const std::string& zone) {
  size_t index = nodes_.size();
  Instance instance;
  instance.service = service;
  instance.zone =
      zone.empty()
          ? fmt::format("zone-{}", static_cast<int>(index) % settings_.zones)
          : zone;
  instance.link = fmt::format("10.0.{}.{}:1", index / 250, index % 250);
  instance.gossip = fmt::format("10.0.{}.{}:2", index / 250, index % 250);
  index_by_address_[instance.link] = index;
  index_by_address_[instance.gossip] = index;
  nodes_.push_back(std::move(instance));
  StartNode(index);
  return index;
}

void NodeFleet::StartNode(size_t index) {
  Instance& instance = nodes_[index];
  ++instance.generation;
  instance.exited = false;
  instance.frozen = false;
  instance.deferred.clear();
  instance.running.clear();
  instance.last_version = 0;
  NodeSettings node = settings_.node;
  node.zone = instance.zone;
  node.link_address = instance.link;
  node.gossip_address = instance.gossip;
  node.secret = kFleetSecret;
  node.seed = random_.Bits();
  instance.node = std::make_unique<Node>(node, random_.Bits() | 1, Now());
  Tick(index, instance.generation);
  Announce(index);
}

void NodeFleet::Kill(size_t index) {
  Instance& instance = nodes_[index];
  instance.node.reset();
  ++instance.generation;
  // All connected peers see their link break.
  for (size_t peer = 0; peer < nodes_.size(); ++peer) {
    if (peer == index || !nodes_[peer].node || !Connected(peer, index))
      continue;
    uint64_t generation = nodes_[peer].generation;
    std::string link = instance.link;
    events_.Schedule(settings_.message_delay_ms,
                     [this, peer, generation, link] {
                       RunOnNode(peer, generation, [this, peer, link] {
                         InvokeNode(peer, [&](Node::Actions* actions) {
                           nodes_[peer].node->OnPeerLost(Now(), link, actions);
                         });
                       });
                     });
  }
}

void NodeFleet::Restart(size_t index) { StartNode(index); }

void NodeFleet::Freeze(size_t index) { nodes_[index].frozen = true; }

void NodeFleet::Thaw(size_t index) {
  nodes_[index].frozen = false;
  std::vector<std::function<void()>> deferred =
      std::move(nodes_[index].deferred);
  nodes_[index].deferred.clear();
  for (const auto& callback : deferred) callback();
}

void NodeFleet::CrashBackend(size_t index, int64_t down_ms) {
  Instance& instance = nodes_[index];
  instance.backend_up = false;
  std::map<uint64_t, uint64_t> running = std::move(instance.running);
  instance.running.clear();
  for (const auto& [work, unused] : running)
    ReportResult(index, work, BackendResult::Type::kBroken);
  events_.Schedule(down_ms, [this, index] {
    nodes_[index].backend_up = true;
    ++nodes_[index].boot;
    Announce(index);
  });
}

void NodeFleet::Drain(size_t index) {
  InvokeNode(index, [&](Node::Actions* actions) {
    nodes_[index].node->BeginDrain(Now(), actions);
  });
}

void NodeFleet::Partition(std::set<std::string> zones, bool from_platform) {
  partitioned_zones_ = std::move(zones);
  platform_partitioned_ = from_platform;
  if (!platform_partitioned_) return;
  // Watches from the partitioned zones are never answered.
  watches_.erase(std::remove_if(watches_.begin(), watches_.end(),
                                [&](const Watch& watch) {
                                  return partitioned_zones_.count(
                                             nodes_[watch.index].zone) != 0;
                                }),
                 watches_.end());
}

bool NodeFleet::RunUntil(const std::function<bool()>& done, int64_t limit_ms) {
  for (int64_t passed = 0; passed < limit_ms; passed += 10) {
    if (done()) return true;
    Run(10);
  }
  return done();
}

uint64_t NodeFleet::Call(size_t index, CallRequest request) {
  uint64_t number = next_call_++;
  InvokeNode(index, [&](Node::Actions* actions) {
    nodes_[index].node->OnCall(Now(), number, std::move(request), actions);
  });
  return number;
}

std::string NodeFleet::RequestKey(size_t index, const std::string& route) {
  uint64_t number = next_call_++;
  InvokeNode(index, [&](Node::Actions* actions) {
    nodes_[index].node->OnCallerKeyRequest(Now(), number, route, actions);
  });
  RunUntil([&] { return keys_.count(number) != 0; }, 1000);
  return keys_[number];
}

uint64_t NodeFleet::ApplyConfiguration(const Configuration& configuration) {
  OperatorSettings settings;
  settings.seed = random_.Bits();
  OperatorSession session(settings, &platform_, [](int64_t) {});
  Result<ChangePlan> plan = session.Plan(configuration, "");
  assert(ValueOf(plan) != nullptr);
  Result<HeadEntry> entry = session.Apply(*ValueOf(plan));
  assert(ValueOf(entry) != nullptr);
  CompleteWatches();
  return ValueOf(entry)->version;
}

uint64_t NodeFleet::LowestVersion() const {
  uint64_t lowest = UINT64_MAX;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (Alive(i) && !nodes_[i].exited)
      lowest = std::min(lowest, NodeAt(i).Configuration().Version());
  }
  return lowest;
}

void NodeFleet::RunOnNode(size_t index, uint64_t generation,
                          std::function<void()> callback) {
  Instance& instance = nodes_[index];
  if (instance.generation != generation || !instance.node || instance.exited)
    return;
  if (instance.frozen) {
    instance.deferred.push_back(
        [this, index, generation, callback = std::move(callback)] {
          RunOnNode(index, generation, callback);
        });
    return;
  }
  callback();
}

void NodeFleet::Tick(size_t index, uint64_t generation) {
  if (nodes_[index].generation != generation || nodes_[index].exited) return;
  if (!nodes_[index].frozen) {
    InvokeNode(index, [&](Node::Actions* actions) {
      nodes_[index].node->Tick(Now(), actions);
    });
  }
  events_.Schedule(settings_.tick_ms,
                   [this, index, generation] { Tick(index, generation); });
}

void NodeFleet::Announce(size_t index) {
  Instance& instance = nodes_[index];
  uint64_t generation = instance.generation;
  if (!instance.backend_up || !instance.node) return;
  Announcement announcement;
  announcement.service = instance.service;
  announcement.slots = settings_.slots;
  announcement.boot_id = std::to_string(instance.boot);
  RunOnNode(index, generation, [this, index, announcement] {
    InvokeNode(index, [&](Node::Actions* actions) {
      nodes_[index].node->OnAnnounce(Now(), announcement, actions);
    });
  });
  events_.Schedule(kAnnouncePeriodMs, [this, index, generation] {
    if (nodes_[index].generation == generation) Announce(index);
  });
}

void NodeFleet::InvokeNode(size_t index,
                           const std::function<void(Node::Actions*)>& invoke) {
  if (!nodes_[index].node || nodes_[index].exited) return;
  Node::Actions actions;
  invoke(&actions);
  TrackVersion(index);
  for (NodeAction& action : actions) Execute(index, std::move(action));
}

void NodeFleet::TrackVersion(size_t index) {
  Instance& instance = nodes_[index];
  uint64_t version = instance.node->Configuration().Version();
  version_regressed_ = version_regressed_ || version < instance.last_version;
  instance.last_version = version;
}

void NodeFleet::Execute(size_t index, NodeAction action) {
  if (auto* reply = std::get_if<ReplyCall>(&action)) {
    if (on_call_completed) {
      on_call_completed(reply->call, reply->answer);
    } else {
      completed_calls_[reply->call] =
          CompletedCall{std::move(reply->answer), Now()};
    }
  } else if (auto* key = std::get_if<ReplyKey>(&action)) {
    keys_[key->call] = key->key;
  } else if (auto* peer = std::get_if<SendPeer>(&action)) {
    SendTo(index, peer->link, std::move(peer->message));
  } else if (auto* datagram = std::get_if<SendDatagram>(&action)) {
    ++datagrams_;
    if (on_datagram) on_datagram(index, datagram->datagram);
    auto to = index_by_address_.find(datagram->to);
    bool lost = to == index_by_address_.end() ||
                random_.ChancePermille(settings_.loss_permille) ||
                !Connected(index, to->second);
    if (lost) return;
    size_t target = to->second;
    events_.Schedule(
        settings_.message_delay_ms,
        [this, target, d = std::move(datagram->datagram)] {
          RunOnNode(target, nodes_[target].generation, [this, target, d] {
            InvokeNode(target, [&](Node::Actions* actions) {
              nodes_[target].node->OnDatagram(Now(), d, actions);
            });
          });
        });
  } else if (auto* call = std::get_if<PlatformCall>(&action)) {
    CallPlatform(index, *call);
  } else if (auto* start = std::get_if<StartBackend>(&action)) {
    StartRun(index, *start);
  } else if (auto* cancel = std::get_if<CancelBackend>(&action)) {
    if (nodes_[index].running.erase(cancel->work) != 0) {
      ReportResult(index, cancel->work, BackendResult::Type::kCancelled);
    }
  } else if (std::holds_alternative<ProbeBackend>(action)) {
    uint64_t generation = nodes_[index].generation;
    events_.Schedule(1, [this, index, generation] {
      RunOnNode(index, generation, [this, index] {
        bool up = nodes_[index].backend_up;
        InvokeNode(index, [&](Node::Actions* actions) {
          nodes_[index].node->OnBackendProbed(Now(), up, actions);
        });
      });
    });
  } else if (std::holds_alternative<ReadyToExit>(action)) {
    nodes_[index].exited = true;
  }
}

void NodeFleet::SendTo(size_t from, const std::string& link,
                       PeerMessage message) {
  if (on_message) on_message(from, message);
  int to = IndexOfLink(link);
  uint64_t generation = nodes_[from].generation;
  // A partition drops messages silently, whereas a missing process refuses the
  // connection.
  if (to >= 0 && !Connected(from, static_cast<size_t>(to))) return;
  bool reachable = to >= 0 && nodes_[static_cast<size_t>(to)].node &&
                   !nodes_[static_cast<size_t>(to)].exited;
  if (!reachable) {
    events_.Schedule(kConnectFailureMs, [this, from, generation, link,
                                         m = std::move(message)] {
      RunOnNode(from, generation, [this, from, link, m] {
        InvokeNode(from, [&](Node::Actions* actions) {
          nodes_[from].node->OnPeerNotSent(Now(), link, m, actions);
        });
      });
    });
    return;
  }
  size_t target = static_cast<size_t>(to);
  uint64_t target_generation = nodes_[target].generation;
  events_.Schedule(
      settings_.message_delay_ms,
      [this, from, target, target_generation, m = std::move(message)] {
        RunOnNode(target, target_generation, [this, from, target, m] {
          InvokeNode(target, [&](Node::Actions* actions) {
            nodes_[target].node->OnPeerMessage(Now(), nodes_[from].link, m,
                                               actions);
          });
        });
      });
}

void NodeFleet::CallPlatform(size_t index, const PlatformCall& call) {
  uint64_t generation = nodes_[index].generation;
  ++platform_calls_;
  bool cut = platform_partitioned_ &&
             partitioned_zones_.count(nodes_[index].zone) != 0;
  if (platform_unavailable_ || cut) {
    PlatformReply reply;
    reply.id = call.id;
    reply.error = Error{ErrorKind::kPlatformUnavailable, "out"};
    return ReplyPlatform(index, generation, std::move(reply));
  }
  PlatformReply reply = platform_.Do(call);
  reply.id = call.id;
  bool waits = call.watch_after && reply.revision <= *call.watch_after &&
               call.wait_ms > 0;
  if (!waits) return ReplyPlatform(index, generation, std::move(reply));
  watches_.push_back(Watch{index, generation, call});
  events_.Schedule(call.wait_ms, [this, index, generation, call, reply] {
    auto it =
        std::find_if(watches_.begin(), watches_.end(), [&](const Watch& watch) {
          return watch.index == index && watch.generation == generation &&
                 watch.call.id == call.id;
        });
    if (it == watches_.end()) return;
    watches_.erase(it);
    ReplyPlatform(index, generation, reply);
  });
}

void NodeFleet::ReplyPlatform(size_t index, uint64_t generation,
                              PlatformReply reply) {
  events_.Schedule(settings_.platform_delay_ms,
                   [this, index, generation, reply = std::move(reply)] {
                     RunOnNode(index, generation, [this, index, reply] {
                       InvokeNode(index, [&](Node::Actions* actions) {
                         nodes_[index].node->OnPlatform(Now(), reply, actions);
                       });
                     });
                   });
}

void NodeFleet::CompleteWatches() {
  std::vector<Watch> watches = std::move(watches_);
  watches_.clear();
  for (Watch& watch : watches) {
    PlatformCall read = watch.call;
    read.watch_after.reset();
    PlatformReply reply = platform_.Do(read);
    reply.id = watch.call.id;
    if (reply.revision <= *watch.call.watch_after) {
      watches_.push_back(std::move(watch));
    } else {
      ReplyPlatform(watch.index, watch.generation, std::move(reply));
    }
  }
}

void NodeFleet::StartRun(size_t index, const StartBackend& start) {
  Instance& instance = nodes_[index];
  if (!instance.backend_up)
    return ReportResult(index, start.work, BackendResult::Type::kNotSent);
  ++instance.runs;
  ++runs_by_body_[start.body];
  instance.running[start.work] = instance.generation;
  if (instance.failing) {
    instance.running.erase(start.work);
    return ReportResult(index, start.work, BackendResult::Type::kBroken);
  }
  if (should_crash && should_crash(start.body)) return CrashBackend(index, 200);
  uint64_t generation = instance.generation;
  uint64_t work = start.work;
  events_.Schedule(DrawRunTimeMs(), [this, index, generation, work] {
    Instance& at = nodes_[index];
    if (at.generation != generation || at.running.erase(work) == 0) return;
    ReportResult(index, work, BackendResult::Type::kAnswered);
  });
}

int64_t NodeFleet::DrawRunTimeMs() {
  int64_t spread_ms = settings_.run_ms * settings_.run_jitter_permille / 1000;
  if (spread_ms == 0) return settings_.run_ms;
  return settings_.run_ms - spread_ms +
         static_cast<int64_t>(
             random_.Below(2 * static_cast<uint64_t>(spread_ms) + 1));
}

void NodeFleet::ReportResult(size_t index, uint64_t work,
                             BackendResult::Type type) {
  uint64_t generation = nodes_[index].generation;
  BackendResult result;
  result.work = work;
  result.type = type;
  result.http_status = 200;
  result.body = "done";
  events_.Schedule(0, [this, index, generation, result] {
    RunOnNode(index, generation, [this, index, result] {
      InvokeNode(index, [&](Node::Actions* actions) {
        nodes_[index].node->OnBackend(Now(), result, actions);
      });
    });
  });
}

bool NodeFleet::Connected(size_t a, size_t b) const {
  bool a_cut = partitioned_zones_.count(nodes_[a].zone) != 0;
  bool b_cut = partitioned_zones_.count(nodes_[b].zone) != 0;
  return a_cut == b_cut;
}

int NodeFleet::IndexOfLink(const std::string& link) const {
  auto it = index_by_address_.find(link);
  return it == index_by_address_.end() ? -1 : static_cast<int>(it->second);
}

Configuration SampleConfiguration(int variant) {
  std::vector<ConfigurationError> errors;
  Configuration built =
      ConfigurationBuilder("north", "south", "coast")
          .Add(RankBuilder("urgent").Floor(300).Worth(10).Target(200).Build())
          .Add(RankBuilder("normal").Floor(300).Worth(5).Target(1000).Build())
          .Add(RankBuilder("batch").Floor(100).Worth(1).Target(4000).Build())
          .Add(ServiceBuilder("shop")
                   .Name(0, "n.shop")
                   .Name(1, "s.shop")
                   .Name(2, "c.shop")
                   .Drain(5000)
                   .Build())
          .Add(ServiceBuilder("other")
                   .Name(0, "n.other")
                   .Drain(5000 + variant)
                   .Build())
          .Add(RouteBuilder("read", "n.shop")
                   .Name(0, "n.shop/read")
                   .Name(1, "s.shop/read")
                   .Name(2, "c.shop/read")
                   .InRank("urgent")
                   .OfKind("lookup")
                   .Idempotent()
                   .Timeout(1000)
                   .Build())
          .Add(RouteBuilder("pay", "shop")
                   .Name(0, "n.shop/pay")
                   .InRank("normal")
                   .OfKind("payment")
                   .KeyRequired()
                   .Timeout(3000)
                   .Build())
          .Add(RouteBuilder("post", "shop")
                   .Name(1, "s.shop/post")
                   .InRank("normal")
                   .OfKind("post")
                   .Timeout(2000)
                   .Build())
          .Flows("other", "shop")
          .Build(&errors);
  assert(errors.empty());
  return built;
}

}  // namespace banyanloft
