#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "soak/fault_plan.h"
#include "soak/loopback_proxy.h"
#include "soak/request_book.h"

using namespace banyanloft;
using namespace banyanloft::soak;

namespace {

Asked Register(TimeMs at) {
  Asked asked;
  asked.at = at;
  asked.service = "pledges";
  asked.target = "/register/r-1";
  asked.body = "pledge";
  asked.must_exist = true;
  return asked;
}

Arrival Sound() {
  Arrival arrival;
  arrival.service = "pledges";
  arrival.caller = "catalogue";
  arrival.target = "/register/r-1";
  arrival.body = "pledge";
  arrival.has_deadline = true;
  return arrival;
}

Ended Answered(TimeMs at, int status) {
  Ended ended;
  ended.at = at;
  ended.status = status;
  ended.signed_by_backend = ended.whole = status == 200;
  return ended;
}

}  // namespace

TEST_GROUP(soak_request_book) {
  RequestBook book_;

  void setup() override { book_.OnAsked("r-1", Register(TimeMs(0))); }
  bool Broken(const std::string& name, bool planned_only = false) {
    std::vector<Promise> promises = book_.Judge(planned_only);
    return std::any_of(promises.begin(), promises.end(),
                       [&](const Promise& p) { return p.name == name; });
  }
};

TEST(soak_request_book, oneRunOneAnswer_holdsEveryPromise) {
  book_.OnArrival("r-1", Sound());
  book_.OnEnded("r-1", Answered(TimeMs(20), 200));
  LONGS_EQUAL(0, book_.Judge(true).size());
  LONGS_EQUAL(1000, book_.ServedPermille(TimeMs(0), TimeMs(100)));
}

TEST(soak_request_book, secondRun_isFound) {
  book_.OnArrival("r-1", Sound());
  book_.OnArrival("r-1", Sound());
  CHECK(Broken("ran_twice"));
}

TEST(soak_request_book, refusalOfWhatRan_isFoundWheneverItRuns) {
  book_.OnEnded("r-1", Answered(TimeMs(20), 503));
  CHECK(!Broken("refused_though_run"));
  book_.OnArrival("r-1", Sound());
  CHECK(Broken("refused_though_run"));
}

TEST(soak_request_book, partialOrUnsignedSuccess_isFound) {
  Ended ended = Answered(TimeMs(20), 200);
  ended.whole = false;
  book_.OnEnded("r-1", ended);
  CHECK(Broken("foreign_or_partial_answer"));
}

TEST(soak_request_book, changedOrMisplacedRequest_isFound) {
  Arrival changed = Sound();
  changed.body = "another";
  book_.OnArrival("r-1", changed);
  CHECK(Broken("changed_request"));
  Arrival misplaced = Sound();
  misplaced.service = "catalogue";
  book_.OnArrival("r-1", misplaced);
  CHECK(Broken("wrong_service"));
  book_.OnArrival("r-9", Sound());
  CHECK(Broken("unasked_request"));
}

TEST(soak_request_book, lostRequest_countsInPlannedWork) {
  book_.OnArrival("r-1", Sound());
  Ended ended;
  ended.at = TimeMs(10);
  ended.broken = true;
  book_.OnEnded("r-1", ended);
  CHECK(!Broken("lost_in_planned_work", false));
  CHECK(Broken("lost_in_planned_work", true));
}

TEST(soak_request_book, routeInForceNotFound_isFound) {
  book_.OnEnded("r-1", Answered(TimeMs(10), 404));
  CHECK(Broken("old_configuration"));
}

TEST_GROUP(soak_fault_plan){};

TEST(soak_fault_plan, sameSeed_samePlan_andFaultsAreWithinBounds) {
  for (uint64_t seed = 1; seed < 300; ++seed) {
    FaultPlanSettings settings;
    settings.seed = seed;
    FaultPlan plan = MakePlan(settings);
    STRCMP_EQUAL(plan.Summary().c_str(), MakePlan(settings).Summary().c_str());
    CHECK(!plan.faults.empty());
    for (const Fault& fault : plan.faults) {
      CHECK(fault.daemon >= 0 && fault.daemon < settings.daemons);
      CHECK(fault.for_ms > 0 && fault.for_ms <= settings.longest_ms);
      CHECK(!plan.planned_only || IsPlanned(fault.kind));
    }
  }
}

TEST(soak_fault_plan, manySeeds_everyKindComes) {
  std::string all;
  for (uint64_t seed = 1; seed < 300; ++seed) {
    FaultPlanSettings settings;
    settings.seed = seed;
    all += MakePlan(settings).Summary() + ",";
  }
  for (size_t kind = 0; kind < kFaultKinds; ++kind)
    CHECK(all.find(NameOf(static_cast<FaultKind>(kind))) != std::string::npos);
}

/// A server that sends back what it gets, behind a proxy.
TEST_GROUP(soak_loopback_proxy) {
  using Tcp = boost::asio::ip::tcp;
  boost::asio::io_context io_;
  Tcp::acceptor server_{io_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  Tcp::socket accepted_{io_};
  Tcp::socket client_{io_};
  char echo_[16];
  char got_[16];
  bool back_ = false;
  bool ended_ = false;

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
  void Ask() {
    back_ = false;
    boost::system::error_code ignored;
    boost::asio::write(client_, boost::asio::buffer("x", 1), ignored);
    client_.async_read_some(boost::asio::buffer(got_),
                            [this](boost::system::error_code error, size_t) {
                              back_ = !error;
                              ended_ = static_cast<bool>(error);
                            });
  }
  void Run(int64_t ms) {
    io_.restart();
    io_.run_for(std::chrono::milliseconds(ms));
  }
};

TEST(soak_loopback_proxy, faults_holdDelayAndReset) {
  constexpr uint16_t kPort = 19873;
  Endpoint target{"127.0.0.1", server_.local_endpoint().port()};
  LoopbackProxy proxy(io_, {"127.0.0.1", kPort}, target);
  Result<bool> started = proxy.Start();
  CHECK(ErrorOf(started) == nullptr);
  Connect(kPort);
  Ask();
  Run(100);
  CHECK(back_);
  for (ProxyFault fault : {ProxyFault::kSilence, ProxyFault::kSilentThere,
                           ProxyFault::kSilentBack, ProxyFault::kDelay}) {
    proxy.SetFault(fault);
    Ask();
    Run(60);
    CHECK(!back_);
    proxy.SetFault(ProxyFault::kNone);
    Run(400);
    CHECK(back_);
  }
  Ask();
  proxy.SetFault(ProxyFault::kReset);
  Run(100);
  CHECK(ended_);
}
