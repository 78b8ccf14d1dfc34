#include "banyanloft/mesh/mesh_node.h"

#include <CppUTest/TestHarness.h>

using namespace banyanloft;

namespace {

constexpr int64_t kTickMs = 20;

/// Rejects every document.
class RejectingReader final : public ConfigurationReader {
 public:
  Result<RouteConfiguration> ReadConfiguration(
      const std::string&) const override {
    return Error{ErrorKind::kInvalidConfiguration, "not used"};
  }
};

/// Reads every document as version 1.
class FirstVersionReader final : public ConfigurationReader {
 public:
  Result<RouteConfiguration> ReadConfiguration(
      const std::string&) const override {
    RouteConfiguration out;
    out.version = 1;
    return out;
  }
};

MeshNodeSettings SingleNodeSettings() {
  MeshNodeSettings settings;
  settings.zone = "z1";
  settings.link_address = "10.0.0.1:1";
  settings.gossip_address = "10.0.0.1:1";
  settings.runner.service = "payments";
  settings.runner.address = "10.0.0.1:9";
  return settings;
}

}  // namespace

TEST_GROUP(mesh_node) {
  MeshNodeSettings settings_ = SingleNodeSettings();
  RejectingReader reader_;
  MeshNode node_{settings_, 7, TimeMs(0), &reader_};
  TimeMs now_;

  void Report() {
    InstanceReport report;
    report.id = "i-1";
    report.sequence = 1;
    report.service = "payments";
    report.address = settings_.runner.address;
    report.slots = 18;
    MeshNode::Actions actions;
    node_.OnReport(now_, report, &actions);
    node_.OnProbed(now_, ProbeResult{true, "i-1", {}}, &actions);
  }
  bool RunUntil(TimeMs end) {
    bool exit = false;
    while (now_ < end) {
      now_ = now_ + kTickMs;
      MeshNode::Actions actions;
      node_.Tick(now_, &actions);
      for (const MeshNodeAction& action : actions)
        exit = exit || std::holds_alternative<ReadyToExit>(action);
    }
    return exit;
  }
  MemberState Announced() { return node_.Members().Self().state; }
};

/// Guards against a rolling restart of a service's daemons that takes healthy
/// backend servers out of use as soon as each planned stop begins.
TEST(mesh_node, plannedStop_backendServerKeepsServingPeers) {
  Report();
  CHECK(Announced() == MemberState::kReady);
  RunUntil(TimeMs(1000));
  MeshNode::Actions actions;
  node_.BeginDrain(now_, &actions);
  CHECK(!node_.Ready(now_));
  RunUntil(TimeMs(1000 + settings_.drain_serve_ms - 2 * kTickMs));
  CHECK(Announced() == MemberState::kReady);
  bool exit = RunUntil(TimeMs(1000 + settings_.drain_min_ms - 2 * kTickMs));
  CHECK(!exit);
  CHECK(Announced() == MemberState::kDraining);
  CHECK(RunUntil(TimeMs(1000 + settings_.drain_min_ms + 2 * kTickMs)));
  CHECK(Announced() == MemberState::kGone);
}

TEST(mesh_node, plannedStop_backendServerDeregisters_isAnnouncedImmediately) {
  Report();
  MeshNode::Actions actions;
  node_.BeginDrain(now_, &actions);
  node_.OnDeregistered(now_, "i-1", &actions);
  CHECK(Announced() == MemberState::kDraining);
}

TEST(mesh_node, shortDrainLimit_stepsOfPlannedStopFitIntoIt) {
  for (int64_t max_ms : {500, 1000, 2640, 5200, 20000}) {
    MeshNodeSettings settings;
    settings.SetDrainLimit(max_ms);
    CHECK(settings.drain_serve_ms < settings.drain_min_ms);
    CHECK(settings.drain_min_ms <= settings.drain_refuse_new_ms);
    CHECK(settings.drain_refuse_new_ms <= settings.drain_refuse_queued_ms);
    CHECK(settings.drain_refuse_queued_ms * 100 <= max_ms * 90);
  }
}

/// Guards against a zone without a store watch while a rollout starts a daemon
/// every second, so that the membership never becomes stable: its members would
/// then learn of a new version only by polling.
TEST(mesh_node, membersJoinContinuously_storeWatchContinues) {
  constexpr int64_t kJoinPeriodMs = 1000;
  constexpr int64_t kSpanMs = 20000;
  FirstVersionReader reader;
  MeshNode node(settings_, 7, TimeMs(0), &reader);
  int64_t watches = 0;
  for (TimeMs now(0); now < TimeMs(kSpanMs); now = now + kTickMs) {
    MeshNode::Actions actions;
    if (now.Value() % kJoinPeriodMs == 0) {
      MemberId id = 1000 + static_cast<MemberId>(now.Value());
      std::string address = "10.0.1.1:" + std::to_string(id);
      Datagram announcement;
      announcement.from = id;
      announcement.members.push_back(
          NewMember(id, settings_.zone, address, address));
      node.OnDatagram(now, announcement, &actions);
    }
    node.Tick(now, &actions);
    for (size_t i = 0; i < actions.size(); ++i) {
      const auto* call = std::get_if<PlatformCall>(&actions[i]);
      if (call == nullptr || call->type != PlatformCall::Type::kList) continue;
      watches += call->watch_after ? 1 : 0;
      PlatformReply reply;
      reply.id = call->id;
      reply.revision = 5;
      if (call->key == settings_.config.prefix)
        reply.objects.push_back({settings_.config.key, 5, "document"});
      node.OnStore(now, reply, &actions);
    }
  }
  CHECK(watches * 3 > kSpanMs / settings_.config.watch_wait_ms);
}
