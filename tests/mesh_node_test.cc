#include "banyanloft/mesh/mesh_node.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <vector>

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

/// Reads every document as version 1, with a route to `payments`.
class FirstVersionReader final : public ConfigurationReader {
 public:
  Result<RouteConfiguration> ReadConfiguration(
      const std::string&) const override {
    RouteConfiguration out;
    out.version = 1;
    out.services["payments"] = {"payments", 100};
    out.routes.push_back(HttpRouteBuilder("pay", "a.example", "/pay/")
                             .To("payments")
                             .Timeout(8000)
                             .Build());
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

/// A daemon in service beside a ready backend server, during a planned stop.
TEST_GROUP(planned_stop) {
  MeshNodeSettings settings_ = SingleNodeSettings();
  FirstVersionReader reader_;
  MeshNode node_{settings_, 7, TimeMs(0), &reader_};
  TimeMs now_;
  std::vector<uint64_t> runs_;        ///< In progress at the backend server.
  std::vector<ForwardAnswer> peers_;  ///< Sent to peers.
  std::map<uint64_t, MeshAnswer> answers_;  ///< Sent to clients.
  std::optional<TimeMs> exit_;

  void setup() override {
    InstanceReport report;
    report.id = "i-1";
    report.sequence = 1;
    report.service = "payments";
    report.address = settings_.runner.address;
    report.slots = 18;
    Step([&](MeshNode::Actions* actions) {
      node_.OnReport(now_, report, actions);
      node_.OnProbed(now_, ProbeResult{true, "i-1", {}}, actions);
    });
    Advance(1000);
    CHECK(node_.Table() != nullptr);
  }
  template <typename Event>
  void Step(Event event) {
    MeshNode::Actions actions;
    event(&actions);
    for (size_t i = 0; i < actions.size(); ++i) {
      if (const auto* start = std::get_if<StartRun>(&actions[i])) {
        runs_.push_back(start->run);
      } else if (const auto* answer = std::get_if<AnswerClient>(&actions[i])) {
        answers_[answer->request] = answer->answer;
      } else if (const auto* peer = std::get_if<SendPeer>(&actions[i])) {
        const auto* sent = std::get_if<ForwardAnswer>(&peer->message);
        if (sent != nullptr) peers_.push_back(*sent);
      } else if (const auto* call = std::get_if<PlatformCall>(&actions[i])) {
        Reply(*call);
      } else if (std::holds_alternative<ReadyToExit>(actions[i])) {
        exit_ = now_;
      }
    }
  }
  void Reply(const PlatformCall& call) {
    PlatformReply reply;
    reply.id = call.id;
    reply.revision = 5;
    bool reads = call.type == PlatformCall::Type::kList && !call.watch_after &&
                 call.key == settings_.config.prefix;
    if (reads) reply.objects.push_back({settings_.config.key, 5, "document"});
    if (!call.watch_after)
      Step([&](MeshNode::Actions* actions) {
        node_.OnStore(now_, reply, actions);
      });
  }
  void Advance(int64_t ms) {
    for (TimeMs end = now_ + ms; now_ < end;) {
      now_ = now_ + kTickMs;
      Step([&](MeshNode::Actions* actions) { node_.Tick(now_, actions); });
    }
  }
  void BeginStop() {
    Step([&](MeshNode::Actions* actions) { node_.BeginDrain(now_, actions); });
  }
  void Ask(uint64_t id) {
    MeshRequest request;
    request.request_id = "r-" + std::to_string(id);
    request.wait_ms = 8000;
    request.method = "POST";
    request.host = "a.example";
    request.target = "/pay/" + std::to_string(id);
    Step([&](MeshNode::Actions* actions) {
      node_.OnRequest(now_, id, request, actions);
    });
  }
  void AskAsPeer(uint64_t attempt) {
    ForwardRequest request;
    request.attempt = attempt;
    request.service = "payments";
    request.route = "pay";
    request.target = "/pay/" + std::to_string(attempt);
    request.aim_left_ms = 1000;
    request.remaining_ms = 3000;
    Step([&](MeshNode::Actions* actions) {
      node_.OnPeerMessage(now_, "10.0.0.2:1", request, actions);
    });
  }
  void CheckWaitsFor(const PendingOutput& pending) {
    BeginStop();
    node_.SetPendingOutput(pending);
    Advance(settings_.drain_min_ms + 1000);
    CHECK(!exit_);
    node_.SetPendingOutput({});
    Advance(2 * kTickMs);
    CHECK(exit_.has_value());
  }
  void EndRuns() {
    for (uint64_t run : runs_) {
      RunResult result;
      result.run = run;
      result.notice = BackendNotice();
      Step([&](MeshNode::Actions* actions) {
        node_.OnResult(now_, result, actions);
      });
    }
    runs_.clear();
  }
};

/// Guards against a process that exits while it writes a response, of which its
/// client then gets a part.
TEST(planned_stop, responseIsBeingWritten_processStaysUntilItIsWritten) {
  CheckWaitsFor({1, 0});
}

/// Guards against a process that exits with responses to runs of peers that are
/// not written to the link yet: the peer cannot tell their outcome then.
TEST(planned_stop, linkHasUnsentBytes_processStaysUntilTheyAreWritten) {
  CheckWaitsFor({0, 1});
}

/// A client that reads too slowly for the grace must not keep the process until
/// it is killed: that would cut the others as well.
TEST(planned_stop, outputIsPendingUntilTheEnd_processExitsInTime) {
  TimeMs began = now_;
  BeginStop();
  node_.SetPendingOutput({1, 0});
  Advance(settings_.drain_max_ms + kTickMs);
  CHECK(!exit_);
  Advance(settings_.drain_write_max_ms - settings_.drain_max_ms);
  CHECK(exit_.has_value());
  CHECK(*exit_ - began <= settings_.drain_write_max_ms + kTickMs);
}

/// Guards against a request that is passed on after the process has decided to
/// exit, and is cut by that.
TEST(planned_stop, exitIsDecided_newRequestsAreRefusedUnrun) {
  BeginStop();
  while (!exit_) Advance(kTickMs);
  Ask(1);
  LONGS_EQUAL(0, runs_.size());
  CHECK(answers_.at(1).error == ErrorKind::kDraining);
  CHECK(answers_.at(1).run_state == RunState::kNotRun);
}

/// Guards against runs that a peer starts late in the grace, because it has
/// missed that this instance stops: they would be cut at its end.
TEST(planned_stop, peerAsksAfterNewRequestsAreRefused_isRefusedUnrun) {
  Ask(1);
  LONGS_EQUAL(1, runs_.size());  // Keeps the process in progress.
  BeginStop();
  Advance(settings_.drain_refuse_new_ms - 2 * kTickMs);
  AskAsPeer(2);
  LONGS_EQUAL(2, runs_.size());
  Advance(4 * kTickMs);
  AskAsPeer(3);
  LONGS_EQUAL(2, runs_.size());
  LONGS_EQUAL(1, peers_.size());
  CHECK(peers_.front().error == ErrorKind::kDraining);
  CHECK(peers_.front().run_state == RunState::kNotRun);
  EndRuns();
  Advance(2 * kTickMs);
  CHECK(exit_.has_value());
}

/// Guards against requests that are still at a backend server when the process
/// ends, and whose connections it closes without an answer and a log line.
TEST(planned_stop, requestIsInProgressAtTheEnd_isAnsweredAsUnknown) {
  BeginStop();
  Ask(1);
  LONGS_EQUAL(1, runs_.size());
  Advance(settings_.drain_max_ms - kTickMs);
  CHECK(answers_.empty());
  Advance(2 * kTickMs);
  CHECK(exit_.has_value());
  LONGS_EQUAL(1, answers_.size());
  CHECK(answers_.at(1).error == ErrorKind::kDraining);
  CHECK(answers_.at(1).run_state == RunState::kUnknown);
}

/// Requests that are held until the first configuration count as in progress.
TEST(planned_stop, requestIsHeld_isAnsweredBeforeTheExit) {
  MeshNodeSettings settings = settings_;
  settings.SetDrainLimit(400);
  RejectingReader reader;
  MeshNode node(settings, 7, now_, &reader);
  MeshNode::Actions actions;
  node.BeginDrain(now_, &actions);
  MeshRequest request;
  request.wait_ms = 3000;
  node.OnRequest(now_ + settings.drain_min_ms / 2, 1, request, &actions);
  bool answered = false;
  bool exit = false;
  for (int64_t ms = kTickMs; !exit; ms += kTickMs) {
    node.Tick(now_ + ms, &actions);
    for (const MeshNodeAction& action : actions) {
      answered = answered || std::holds_alternative<AnswerClient>(action);
      exit = exit || std::holds_alternative<ReadyToExit>(action);
    }
  }
  CHECK(answered);
}
