#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "soak/fault_plan.h"
#include "soak/loopback_proxy.h"
#include "soak/request_history.h"

using namespace banyanloft;
using namespace banyanloft::soak;

namespace {

const Endpoint kAnyPort{"127.0.0.1", 0};

SentRequest RegisterRequest(TimeMs at) {
  SentRequest sent;
  sent.sent_at = at;
  sent.service = "pledges";
  sent.target = "/register/r-1";
  sent.body = "pledge";
  sent.route_in_force = true;
  return sent;
}

Arrival ValidArrival() {
  Arrival arrival;
  arrival.service = "pledges";
  arrival.caller = "catalogue";
  arrival.target = "/register/r-1";
  arrival.body = "pledge";
  arrival.has_deadline = true;
  return arrival;
}

RequestOutcome OutcomeWithStatus(TimeMs at, int status) {
  RequestOutcome outcome;
  outcome.ended_at = at;
  outcome.status = status;
  outcome.signed_by_backend = outcome.body_matches = status == 200;
  return outcome;
}

}  // namespace

TEST_GROUP(soak_request_history) {
  RequestHistory history_;

  void setup() override { history_.OnSent("r-1", RegisterRequest(TimeMs(0))); }
  bool HasViolation(const std::string& name, bool planned_only = false) {
    std::vector<Violation> violations = history_.Check(planned_only);
    return std::any_of(
        violations.begin(), violations.end(),
        [&](const Violation& violation) { return violation.name == name; });
  }
};

TEST(soak_request_history, oneRunAndOneResponse_noViolation) {
  history_.OnArrival("r-1", ValidArrival());
  history_.OnOutcome("r-1", OutcomeWithStatus(TimeMs(20), 200));
  LONGS_EQUAL(0, history_.Check(true).size());
  LONGS_EQUAL(1000, history_.ServedPermille(TimeMs(0), TimeMs(100)));
}

TEST(soak_request_history, secondRun_isReported) {
  history_.OnArrival("r-1", ValidArrival());
  history_.OnArrival("r-1", ValidArrival());
  CHECK(HasViolation("ran_twice"));
}

TEST(soak_request_history,
     refusalOfExecutedRequest_isReportedEvenIfItRunsLater) {
  history_.OnOutcome("r-1", OutcomeWithStatus(TimeMs(20), 503));
  CHECK(!HasViolation("refused_though_run"));
  history_.OnArrival("r-1", ValidArrival());
  CHECK(HasViolation("refused_though_run"));
}

TEST(soak_request_history, unexpectedBodyOfSuccess_isReported) {
  RequestOutcome outcome = OutcomeWithStatus(TimeMs(20), 200);
  outcome.body_matches = false;
  history_.OnOutcome("r-1", outcome);
  CHECK(HasViolation("foreign_or_partial_answer"));
}

TEST(soak_request_history, changedMisplacedOrUnknownRequest_isReported) {
  Arrival changed = ValidArrival();
  changed.body = "another";
  history_.OnArrival("r-1", changed);
  CHECK(HasViolation("changed_request"));
  Arrival misplaced = ValidArrival();
  misplaced.service = "catalogue";
  history_.OnArrival("r-1", misplaced);
  CHECK(HasViolation("wrong_service"));
  history_.OnArrival("r-9", ValidArrival());
  CHECK(HasViolation("unasked_request"));
}

TEST(soak_request_history, lostRequest_isReportedIfOnlyPlannedFaults) {
  history_.OnArrival("r-1", ValidArrival());
  RequestOutcome outcome;
  outcome.ended_at = TimeMs(10);
  outcome.connection_broken = true;
  history_.OnOutcome("r-1", outcome);
  CHECK(!HasViolation("lost_in_planned_work", false));
  CHECK(HasViolation("lost_in_planned_work", true));
}

TEST(soak_request_history, knownRouteNotFound_isReported) {
  history_.OnOutcome("r-1", OutcomeWithStatus(TimeMs(10), 404));
  CHECK(HasViolation("old_configuration"));
}

TEST_GROUP(soak_fault_plan){};

TEST(soak_fault_plan, sameSeed_samePlanWithFaultsWithinBounds) {
  for (uint64_t seed = 1; seed < 300; ++seed) {
    FaultPlanSettings settings;
    settings.seed = seed;
    FaultPlan plan = MakePlan(settings);
    STRCMP_EQUAL(plan.Summary().c_str(), MakePlan(settings).Summary().c_str());
    CHECK(!plan.faults.empty());
    for (const Fault& fault : plan.faults) {
      CHECK(fault.daemon >= 0 && fault.daemon < settings.daemons);
      int64_t max_ms = settings.max_duration_ms;
      if (fault.kind == FaultKind::kLimitBackend)
        max_ms = settings.limit_duration_ms;
      if (fault.kind == FaultKind::kCrashingRequest)
        max_ms = settings.crashing_duration_ms;
      CHECK(fault.duration_ms > 0 && fault.duration_ms <= max_ms);
      CHECK(!plan.planned_only || IsPlanned(fault.kind));
    }
  }
}

TEST(soak_fault_plan, manySeeds_everyKindOccurs) {
  std::string summaries;
  for (uint64_t seed = 1; seed < 300; ++seed) {
    FaultPlanSettings settings;
    settings.seed = seed;
    summaries += MakePlan(settings).Summary() + ",";
  }
  for (size_t kind = 0; kind < kFaultKinds; ++kind)
    CHECK(summaries.find(NameOf(static_cast<FaultKind>(kind))) !=
          std::string::npos);
}

/// A client and an echo server with a proxy in between.
TEST_GROUP(soak_loopback_proxy) {
  using Tcp = boost::asio::ip::tcp;
  boost::asio::io_context io_;
  Tcp::acceptor server_{io_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  Tcp::socket accepted_{io_};
  Tcp::socket client_{io_};
  char echo_[16];
  char received_[16];
  bool reply_received_ = false;
  bool connection_ended_ = false;

  void Echo() {
    accepted_.async_read_some(
        boost::asio::buffer(echo_),
        [this](boost::system::error_code error, size_t size) {
          if (error) return;
          boost::asio::write(accepted_, boost::asio::buffer(echo_, size));
          Echo();
        });
  }
  void Connect(uint16_t port) {
    server_.async_accept(accepted_, [this](boost::system::error_code error) {
      if (!error) Echo();
    });
    client_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  }
  void SendByte() {
    reply_received_ = false;
    boost::system::error_code ignored;
    boost::asio::write(client_, boost::asio::buffer("x", 1), ignored);
    client_.async_read_some(boost::asio::buffer(received_),
                            [this](boost::system::error_code error, size_t) {
                              reply_received_ = !error;
                              connection_ended_ = static_cast<bool>(error);
                            });
  }
  void Run(int64_t ms) {
    io_.restart();
    io_.run_for(std::chrono::milliseconds(ms));
  }
};

TEST(soak_loopback_proxy, faults_stallDelayAndReset) {
  Endpoint target{"127.0.0.1", server_.local_endpoint().port()};
  LoopbackProxy proxy(io_, kAnyPort, target);
  Result<Endpoint> started = proxy.Start();
  CHECK(ErrorOf(started) == nullptr);
  Connect(ValueOf(started)->port);
  SendByte();
  Run(100);
  CHECK(reply_received_);
  for (ProxyFault fault : {ProxyFault::kStall, ProxyFault::kStallUpstream,
                           ProxyFault::kStallDownstream, ProxyFault::kDelay}) {
    proxy.SetFault(fault);
    SendByte();
    Run(60);
    CHECK(!reply_received_);
    proxy.SetFault(ProxyFault::kNone);
    Run(400);
    CHECK(reply_received_);
  }
  SendByte();
  proxy.SetFault(ProxyFault::kReset);
  Run(100);
  CHECK(connection_ended_);
}
