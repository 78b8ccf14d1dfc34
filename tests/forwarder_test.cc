#include "banyanloft/mesh/forwarder.h"

#include <CppUTest/TestHarness.h>

using namespace banyanloft;

namespace {

/// A directory with candidates set by the test.
class FixedDirectory final : public CandidateDirectory {
 public:
  std::vector<TargetCandidate> candidates = {
      {11, true, false}, {12, false, false}, {13, false, false}};
  std::vector<TargetCandidate> CandidatesOf(const std::string&) const override {
    return candidates;
  }
  bool IsContained(TimeMs, const MeshRequest&) const override {
    return contained;
  }
  bool contained = false;
};

RouteTablePtr Table() {
  RouteConfiguration out;
  out.version = 1;
  out.services["s"] = {"s", 100};
  out.routes.push_back(HttpRouteBuilder("safe", "a.example", "/safe/")
                           .To("s")
                           .Idempotent()
                           .Timeout(1000)
                           .Aim(400)
                           .Attempts(2)
                           .Build());
  out.routes.push_back(HttpRouteBuilder("once", "a.example", "/once/")
                           .To("s")
                           .Timeout(1000)
                           .Aim(400)
                           .Attempts(2)
                           .Build());
  return *ValueOf(RouteTable::Create(out));
}

}  // namespace

TEST_GROUP(forwarder) {
  FixedDirectory directory_;
  std::unique_ptr<Forwarder> forwarder_;
  Forwarder::Actions actions_;

  void setup() override {
    ForwarderSettings settings;
    settings.caller = "caller";
    forwarder_ = std::make_unique<Forwarder>(settings, 9, &directory_);
    forwarder_->SetTable(Table());
  }
  void Request(TimeMs now, const std::string& path, int64_t wait_ms = 800) {
    MeshRequest request;
    request.request_id = "id-1";
    request.method = "GET";
    request.host = "a.example";
    request.target = path;
    request.wait_ms = wait_ms;
    forwarder_->OnRequest(now, 1, request, &actions_);
  }
  /// The n-th attempt sent so far; null if there is none.
  const SendForward* Sent(size_t n) {
    for (const ForwarderAction& action : actions_) {
      const auto* sent = std::get_if<SendForward>(&action);
      if (sent != nullptr && n-- == 0) return sent;
    }
    return nullptr;
  }
  const MeshAnswer* Answered() {
    for (const ForwarderAction& action : actions_) {
      const auto* answer = std::get_if<AnswerClient>(&action);
      if (answer != nullptr) return &answer->answer;
    }
    return nullptr;
  }
  size_t Cancels() {
    size_t count = 0;
    for (const ForwarderAction& action : actions_)
      count += std::holds_alternative<SendCancelForward>(action) ? 1 : 0;
    return count;
  }
  ForwardAnswer AnswerTo(size_t n) {
    ForwardAnswer answer;
    answer.attempt = Sent(n)->request.attempt;
    answer.run_state = RunState::kRan;
    answer.arrived = true;
    answer.response.status = 200;
    return answer;
  }
  ForwardAnswer RefusalTo(size_t n, ErrorKind error, bool arrived = false) {
    ForwardAnswer answer = AnswerTo(n);
    answer.run_state = RunState::kNotRun;
    answer.error = error;
    answer.arrived = arrived;
    return answer;
  }
};

TEST(forwarder, request_answered_reachesTheClientOnce) {
  Request(TimeMs(0), "/once/1");
  forwarder_->OnAnswer(TimeMs(50), AnswerTo(0), &actions_);
  CHECK(Answered() != nullptr);
  CHECK(!Answered()->error);
  LONGS_EQUAL(0, forwarder_->InFlight());
  size_t before = actions_.size();
  forwarder_->OnAnswer(TimeMs(60), AnswerTo(0), &actions_);
  LONGS_EQUAL(before, actions_.size());
}

TEST(forwarder, requestIsContained_isRefusedWithoutAnAttempt) {
  directory_.contained = true;
  Request(TimeMs(0), "/once/1");
  CHECK(Sent(0) == nullptr);
  CHECK(Answered()->error == ErrorKind::kCrashSuspect);
  CHECK(Answered()->run_state == RunState::kNotRun);
}

TEST(forwarder, targetCannotSendRequest_noOtherTargetIsTried) {
  Request(TimeMs(0), "/safe/1");
  MemberId target = Sent(0)->target;
  forwarder_->OnAnswer(TimeMs(10), RefusalTo(0, ErrorKind::kMalformedRequest),
                       &actions_);
  CHECK(Sent(1) == nullptr);
  CHECK(Answered()->error == ErrorKind::kMalformedRequest);
  CHECK(Answered()->run_state == RunState::kNotRun);
  Request(TimeMs(20), "/safe/2");
  LONGS_EQUAL(target, Sent(1)->target);
}

TEST(forwarder, requestIsContainedAfterItBroke_isNotRetriedNorCalledNotRun) {
  Request(TimeMs(0), "/safe/1");
  directory_.contained = true;
  ForwardAnswer broken = RefusalTo(0, ErrorKind::kBackendBroken);
  broken.run_state = RunState::kUnknown;
  forwarder_->OnAnswer(TimeMs(10), broken, &actions_);
  CHECK(Sent(1) == nullptr);
  CHECK(Answered()->run_state == RunState::kUnknown);
}

/// On a planned stop, attempts queued at a target are cancelled and their
/// requests refused; running attempts are awaited.
TEST(forwarder, plannedStop_queuedRequest_isRefusedAsNotRun) {
  Request(TimeMs(0), "/once/1");
  forwarder_->CancelQueued(&actions_);
  LONGS_EQUAL(1, Cancels());
  CHECK(Answered() == nullptr);
  forwarder_->OnAnswer(TimeMs(5), RefusalTo(0, ErrorKind::kDraining),
                       &actions_);
  CHECK(Sent(1) == nullptr);
  CHECK(Answered() != nullptr);
  CHECK(Answered()->run_state == RunState::kNotRun);
}

TEST(forwarder, plannedStop_runningRequest_isAnswered) {
  Request(TimeMs(0), "/once/1");
  forwarder_->CancelQueued(&actions_);
  forwarder_->OnAnswer(TimeMs(50), AnswerTo(0), &actions_);
  CHECK(Answered() != nullptr);
  CHECK(!Answered()->error);
}

TEST(forwarder, plannedStop_newAttempt_aimEndsWithTheStop) {
  forwarder_->BeginStop(TimeMs(150));
  Request(TimeMs(0), "/once/1");
  CHECK(Sent(0)->request.aim_left_ms <= 150);
}

TEST(forwarder, request_attempt_carriesCallerAndRemainingTime) {
  Request(TimeMs(0), "/once/1", 500);
  STRCMP_EQUAL("caller", Sent(0)->request.caller.c_str());
  CHECK(Sent(0)->request.remaining_ms <= 500);
  LONGS_EQUAL(11, Sent(0)->target);
}

/// Guards against a deadline that does not count the time that a request waited
/// behind others of its connection.
TEST(forwarder, requestWaitedBeforeItsDelivery_deadlineCountsFromItsArrival) {
  MeshRequest request;
  request.method = "GET";
  request.host = "a.example";
  request.target = "/once/1";
  request.wait_ms = 800;
  request.buffered_ms = 300;
  forwarder_->OnRequest(TimeMs(1000), 1, request, &actions_);
  CHECK(Sent(0)->request.remaining_ms <= 500);
}

TEST(forwarder, unsafeRequest_refusedAsNotRun_isSentToAnotherTarget) {
  Request(TimeMs(0), "/once/1");
  forwarder_->OnAnswer(TimeMs(5), RefusalTo(0, ErrorKind::kDraining),
                       &actions_);
  CHECK(Sent(1) != nullptr);
  CHECK(Sent(1)->target != 11);
  CHECK(Answered() == nullptr);
}

TEST(forwarder, unsafeRequest_linkLost_isNotRetriedAndRunStateIsUnknown) {
  Request(TimeMs(0), "/once/1");
  forwarder_->OnTargetLost(TimeMs(5), 11, &actions_);
  CHECK(Sent(1) == nullptr);
  CHECK(Answered() != nullptr);
  CHECK(Answered()->run_state == RunState::kUnknown);
}

TEST(forwarder, unsafeRequest_linkLostAfterRefusal_runStateIsUnknown) {
  Request(TimeMs(0), "/once/1");
  forwarder_->OnAnswer(TimeMs(5), RefusalTo(0, ErrorKind::kOverloaded),
                       &actions_);
  forwarder_->OnTargetLost(TimeMs(9), Sent(1)->target, &actions_);
  CHECK(Answered()->run_state == RunState::kUnknown);
}

TEST(forwarder, unsafeRequest_notSent_isSentToAnotherTarget) {
  Request(TimeMs(0), "/once/1");
  forwarder_->OnNotSent(TimeMs(5), Sent(0)->request.attempt, &actions_);
  CHECK(Sent(1) != nullptr);
}

TEST(forwarder, request_allTargetsRefuse_clientGetsShortestRetryDelay) {
  Request(TimeMs(0), "/safe/1");
  for (size_t n = 0; Sent(n) != nullptr; ++n) {
    ForwardAnswer refusal = RefusalTo(n, ErrorKind::kOverloaded);
    refusal.retry_after_ms = 300 + static_cast<int64_t>(n);
    forwarder_->OnAnswer(TimeMs(5), refusal, &actions_);
  }
  CHECK(Answered() != nullptr);
  CHECK(Answered()->run_state == RunState::kNotRun);
  LONGS_EQUAL(300, Answered()->retry_after_ms);
}

TEST(forwarder, safeRequest_linkLost_isRetriedOnAnotherTarget) {
  Request(TimeMs(0), "/safe/1");
  forwarder_->OnTargetLost(TimeMs(5), 11, &actions_);
  CHECK(Sent(1) != nullptr);
  CHECK(Sent(1)->target != 11);
}

/// The first target is slow and the others are overloaded. After the hedge
/// attempt is refused, the first attempt must still answer the client.
TEST(forwarder, safeRequest_hedgeRefused_firstAttemptStillAnswers) {
  Request(TimeMs(0), "/safe/1");
  forwarder_->Tick(TimeMs(600), &actions_);
  CHECK(Sent(1) != nullptr);
  LONGS_EQUAL(0, Cancels());
  forwarder_->OnAnswer(TimeMs(605), RefusalTo(1, ErrorKind::kOverloaded),
                       &actions_);
  CHECK(Answered() == nullptr);
  forwarder_->OnAnswer(TimeMs(700), AnswerTo(0), &actions_);
  CHECK(Answered() != nullptr);
  CHECK(!Answered()->error);
}

TEST(forwarder, safeRequest_hedgeAnswers_firstAttemptIsCancelled) {
  Request(TimeMs(0), "/safe/1");
  forwarder_->Tick(TimeMs(600), &actions_);
  forwarder_->OnAnswer(TimeMs(650), AnswerTo(1), &actions_);
  CHECK(!Answered()->error);
  LONGS_EQUAL(1, Cancels());
}

TEST(forwarder, unsafeRequest_slow_isNeverHedged) {
  Request(TimeMs(0), "/once/1");
  forwarder_->Tick(TimeMs(700), &actions_);
  CHECK(Sent(1) == nullptr);
}

TEST(forwarder, safeRequest_failedThenRefused_clientGetsTheFailedResponse) {
  Request(TimeMs(0), "/safe/1");
  ForwardAnswer failed = AnswerTo(0);
  failed.response.status = 500;
  forwarder_->OnAnswer(TimeMs(5), failed, &actions_);
  CHECK(Sent(1) != nullptr);
  for (size_t n = 1; Sent(n) != nullptr; ++n)
    forwarder_->OnAnswer(TimeMs(6), RefusalTo(n, ErrorKind::kOverloaded),
                         &actions_);
  CHECK(!Answered()->error);
  LONGS_EQUAL(500, Answered()->response.status);
}

TEST(forwarder, deadline_passes_attemptIsCancelledAndClientAnswered) {
  Request(TimeMs(0), "/once/1", 500);
  forwarder_->Tick(TimeMs(500), &actions_);
  CHECK(Answered()->error == ErrorKind::kTimeout);
  CHECK(Answered()->run_state == RunState::kUnknown);
  LONGS_EQUAL(1, Cancels());
}

TEST(forwarder, clientDisconnects_attemptsAreCancelled) {
  Request(TimeMs(0), "/safe/1");
  forwarder_->OnAbandoned(TimeMs(20), 1, &actions_);
  LONGS_EQUAL(1, Cancels());
  CHECK(Answered() == nullptr);
  LONGS_EQUAL(0, forwarder_->InFlight());
}

TEST(forwarder, noTable_refusedAsNotReady) {
  Forwarder fresh(ForwarderSettings(), 1, &directory_);
  MeshRequest request;
  request.host = "a.example";
  request.target = "/safe/1";
  fresh.OnRequest(TimeMs(0), 1, request, &actions_);
  CHECK(Answered()->error == ErrorKind::kNotReady);
  CHECK(Answered()->run_state == RunState::kNotRun);
}

TEST(forwarder, unknownRoute_refused) {
  Request(TimeMs(0), "/none/1");
  CHECK(Answered()->error == ErrorKind::kUnknownRoute);
}

// A target may let an attempt move on because of its wait. That is no refusal
// for lack of capacity: the request gets as many attempts as before.
TEST(forwarder, targetLetsAttemptMoveOn_isSentAgainOnceWithoutLimit) {
  directory_.candidates = {{11, true, false}, {12, true, false}};
  Request(TimeMs(0), "/once/1");
  CHECK(Sent(0)->request.max_wait_ms >= 0);
  ForwardAnswer moves = RefusalTo(0, ErrorKind::kOverloaded);
  moves.load.slots = 1;
  moves.load.ahead.fill(50);
  moves.load.mean_run_ms = 100;
  forwarder_->OnAnswer(TimeMs(1), moves, &actions_);
  CHECK(Sent(1)->target != Sent(0)->target);
  CHECK(Sent(1)->request.max_wait_ms < 0);
  LONGS_EQUAL(1, forwarder_->Counts().Get("forward_moved_total"));
  LONGS_EQUAL(0,
              forwarder_->Counts().Get("forward_refused_total", "overloaded"));
  forwarder_->OnAnswer(TimeMs(50), AnswerTo(1), &actions_);
  CHECK(!Answered()->error);
}

// A large body is not sent twice to save a wait.
TEST(forwarder, largeBody_attemptDoesNotMoveOn) {
  directory_.candidates = {{11, true, false}, {12, true, false}};
  MeshRequest request;
  request.method = "POST";
  request.host = "a.example";
  request.target = "/once/1";
  request.body = std::string(100000, 'x');
  forwarder_->OnRequest(TimeMs(0), 1, request, &actions_);
  CHECK(Sent(0)->request.max_wait_ms < 0);
}
