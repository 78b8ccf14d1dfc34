#include <CppUTest/TestHarness.h>

#include "banyanloft/calls/call_dispatcher.h"
#include "banyanloft/core/digest.h"
#include "standins/node_fleet.h"

using namespace banyanloft;

namespace {

constexpr char kSecret[] = "secret of the tests";

class FakeDirectory final : public TargetDirectory {
 public:
  std::vector<TargetInfo> TargetsOf(const Service&) const override {
    return targets;
  }
  Reachability ReachabilityOf(MemberId) const override { return reachability; }

  std::vector<TargetInfo> targets;
  Reachability reachability = Reachability::kReachable;
};

}  // namespace

/// CallDispatcher in isolation, with a fake directory.
TEST_GROUP(dispatcher) {
  FakeDirectory directory_;
  CallDispatcher dispatcher_{DispatcherSettings(), "zone-a", kSecret, 1,
                             &directory_};
  CallDispatcher::Actions actions_;

  void setup() override {
    Pieces pieces = SplitIntoPieces(SampleConfiguration());
    std::string hash = ContentHash(ManifestToJson(ManifestOf(pieces)));
    Result<SnapshotPtr> snapshot = Snapshot::Create(1, hash, "c", pieces);
    dispatcher_.SetSnapshot(*ValueOf(snapshot));
    for (MemberId id = 1; id <= 3; ++id) {
      TargetInfo target;
      target.id = id;
      target.zone = "zone-a";
      directory_.targets.push_back(target);
    }
  }

  void Call(int64_t now, const std::string& name, const std::string& key = "") {
    CallRequest request;
    request.name = name;
    request.key = key;
    dispatcher_.OnCall(TimeMs(now), 1, std::move(request), &actions_);
  }
  /// Ticks until there is an action of type T; removes and returns it.
  template <typename T>
  std::optional<T> Next(int64_t from, int64_t until) {
    for (int64_t now = from; now <= until; ++now) {
      for (size_t i = 0; i < actions_.size(); ++i) {
        if (auto* found = std::get_if<T>(&actions_[i])) {
          T taken = std::move(*found);
          actions_.erase(actions_.begin() + static_cast<int64_t>(i));
          return taken;
        }
      }
      dispatcher_.Tick(TimeMs(now), &actions_);
    }
    return std::nullopt;
  }
  void Answer(int64_t now, uint64_t attempt, ErrorKind error) {
    RunAnswer answer;
    answer.attempt = attempt;
    answer.outcome = RefusalOf(error);
    answer.load.levels.fill(1000);
    dispatcher_.OnRunAnswer(TimeMs(now), answer, &actions_);
  }
};

TEST(dispatcher, attemptLostThenOthersRefuse_isNotReportedAsNotRun) {
  Call(0, "read");
  std::optional<SendRun> first = Next<SendRun>(0, 0);
  dispatcher_.OnTargetLost(TimeMs(1), first->target, &actions_);
  std::optional<SendRun> second = Next<SendRun>(1, 200);
  CHECK(second.has_value());
  CHECK(second->target != first->target);
  Answer(200, second->request.attempt, ErrorKind::kCrashSuspect);
  std::optional<ReplyCall> reply = Next<ReplyCall>(200, 200);
  CHECK(reply->answer.outcome.run_state == RunState::kUnknown);
}

TEST(dispatcher, allAttemptsRefusedWithoutRunning_isReportedAsNotRun) {
  Call(0, "read");
  std::optional<SendRun> first = Next<SendRun>(0, 0);
  Answer(1, first->request.attempt, ErrorKind::kOverloaded);
  std::optional<SendRun> second = Next<SendRun>(1, 200);
  Answer(200, second->request.attempt, ErrorKind::kCrashSuspect);
  std::optional<ReplyCall> reply = Next<ReplyCall>(200, 200);
  CHECK(reply->answer.outcome.run_state == RunState::kNotRun);
}

TEST(dispatcher, answerOfAnEarlierAttempt_isDroppedAndCounted) {
  Call(0, "read");
  std::optional<SendRun> first = Next<SendRun>(0, 0);
  std::optional<SendRun> second = Next<SendRun>(1, 900);
  CHECK(second.has_value());
  RunAnswer late;
  late.attempt = first->request.attempt;
  late.outcome.http_status = 200;
  dispatcher_.OnRunAnswer(TimeMs(700), late, &actions_);
  CHECK_EQUAL(1U, dispatcher_.Counts().Get("late_answers_total"));
  CHECK_FALSE(Next<ReplyCall>(700, 700).has_value());
}

TEST(dispatcher, duplicateAnswer_repliesOnce) {
  Call(0, "post");
  std::optional<SendRun> run = Next<SendRun>(0, 0);
  RunAnswer answer;
  answer.attempt = run->request.attempt;
  answer.outcome.run_state = RunState::kRan;
  dispatcher_.OnRunAnswer(TimeMs(1), answer, &actions_);
  dispatcher_.OnRunAnswer(TimeMs(2), answer, &actions_);
  CHECK(Next<ReplyCall>(2, 2).has_value());
  CHECK_FALSE(Next<ReplyCall>(2, 3000).has_value());
}

TEST(dispatcher, deadline_isSharedByAllAttempts) {
  Call(0, "read");
  std::optional<ReplyCall> reply;
  int attempts = 0;
  for (int64_t now = 0; now <= 1000 && !reply; ++now) {
    while (Next<SendRun>(now, now - 1)) ++attempts;
    dispatcher_.Tick(TimeMs(now), &actions_);
    reply = Next<ReplyCall>(now, now);
  }
  CHECK(reply->answer.outcome.error == ErrorKind::kTimeout);
}

TEST(dispatcher, keyedCall_isSentAndResentOnlyToItsHome) {
  std::string key = FormatKey(RunKey{2, 0, 9, "pay"}, kSecret);
  Call(0, "pay", key);
  std::optional<SendRun> first = Next<SendRun>(0, 0);
  CHECK_EQUAL(2U, first->target);
  dispatcher_.OnTargetLost(TimeMs(1), 2, &actions_);
  std::optional<SendRun> second = Next<SendRun>(1, 500);
  CHECK_EQUAL(2U, second->target);
}

TEST(dispatcher, downstreamLayerHasRetried_isNotRetriedAgain) {
  Call(0, "read");
  std::optional<SendRun> first = Next<SendRun>(0, 0);
  RunAnswer answer;
  answer.attempt = first->request.attempt;
  answer.outcome = RefusalOf(ErrorKind::kBackendShed);
  answer.retried_downstream = true;
  dispatcher_.OnRunAnswer(TimeMs(1), answer, &actions_);
  std::optional<ReplyCall> reply = Next<ReplyCall>(1, 1);
  CHECK(reply->answer.retried);
  CHECK(reply->answer.outcome.error == ErrorKind::kBackendShed);
}
