#include "banyanloft/run_once/run_ledger.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace banyanloft;

TEST_GROUP(run_ledger) {
  RunLedgerSettings settings_;
  std::string secret_ = "secret of the tests";
  std::unique_ptr<RunLedger> ledger_;

  void setup() override {
    ledger_ = std::make_unique<RunLedger>(settings_, 7, secret_, 1, TimeMs(0));
  }

  RunKey Key(int64_t now) {
    Result<RunKey> key =
        ParseKey(ledger_->Issue(TimeMs(now), "pay"), "pay", secret_);
    CHECK(ValueOf(key) != nullptr);
    return *ValueOf(key);
  }
  static RunOutcome Ran(const std::string& body) {
    RunOutcome outcome;
    outcome.run_state = RunState::kRan;
    outcome.http_status = 200;
    outcome.body = body;
    return outcome;
  }
  static RunOutcome NotRun() {
    RunOutcome outcome;
    outcome.run_state = RunState::kNotRun;
    outcome.error = ErrorKind::kOverloaded;
    return outcome;
  }
};

TEST(run_ledger, newKey_mustRun) {
  RunKey key = Key(0);
  CHECK(std::holds_alternative<RunLedger::MustRun>(
      ledger_->Begin(TimeMs(1), key, 1)));
}

TEST(run_ledger, copyOfARunningKey_joinsAndGetsTheOutcome) {
  RunKey key = Key(0);
  ledger_->Begin(TimeMs(1), key, 1);
  CHECK(std::holds_alternative<RunLedger::Joined>(
      ledger_->Begin(TimeMs(2), key, 2)));
  std::vector<uint64_t> notified = ledger_->Complete(key, Ran("result"));
  CHECK(notified == std::vector<uint64_t>({1, 2}));
}

TEST(run_ledger, copyOfACompletedKey_getsTheSameOutcome) {
  RunKey key = Key(0);
  ledger_->Begin(TimeMs(1), key, 1);
  ledger_->Complete(key, Ran("result"));
  RunLedger::BeginResult again = ledger_->Begin(TimeMs(2), key, 2);
  CHECK(std::get<RunOutcome>(again).body == "result");
}

TEST(run_ledger, keyRefusedAsNotRun_neverRunsLater) {
  RunKey key = Key(0);
  ledger_->Begin(TimeMs(1), key, 1);
  ledger_->Complete(key, NotRun());
  RunLedger::BeginResult again = ledger_->Begin(TimeMs(2), key, 2);
  CHECK(std::get<RunOutcome>(again).run_state == RunState::kNotRun);
}

TEST(run_ledger, keyOfAnotherProcess_isUnknown) {
  RunKey key = Key(0);
  RunLedger successor(settings_, 8, secret_, 2, TimeMs(0));
  RunLedger::BeginResult result = successor.Begin(TimeMs(1), key, 1);
  CHECK(std::get<RunOutcome>(result).run_state == RunState::kUnknown);
}

TEST(run_ledger, expiredKey_isUnknownAndDoesNotRun) {
  RunKey key = Key(0);
  ledger_->Begin(TimeMs(1), key, 1);
  ledger_->Complete(key, Ran("result"));
  int64_t late = settings_.epoch_ms *
                 (static_cast<int64_t>(settings_.retained_epochs) + 1);
  ledger_->Tick(TimeMs(late));
  CHECK_EQUAL(0U, ledger_->Size());
  RunLedger::BeginResult result = ledger_->Begin(TimeMs(late), key, 2);
  CHECK(std::get<RunOutcome>(result).error == ErrorKind::kKeyExpired);
  CHECK(std::get<RunOutcome>(result).run_state == RunState::kUnknown);
}

TEST(run_ledger, runningKeyOfAnExpiredEpoch_isKeptUntilItCompletes) {
  RunKey key = Key(0);
  ledger_->Begin(TimeMs(1), key, 1);
  ledger_->Tick(TimeMs(settings_.epoch_ms * 100));
  CHECK_EQUAL(1U, ledger_->Size());
  CHECK_EQUAL(1U, ledger_->Complete(key, Ran("x")).size());
}

TEST(run_ledger, fullLedger_refusesWithoutReportingNotRun) {
  settings_.max_keys = 1;
  setup();
  ledger_->Begin(TimeMs(1), Key(0), 1);
  RunLedger::BeginResult result = ledger_->Begin(TimeMs(1), Key(0), 2);
  CHECK(std::get<RunOutcome>(result).error == ErrorKind::kOutcomesFull);
  CHECK(std::get<RunOutcome>(result).run_state == RunState::kUnknown);
}

TEST(run_ledger, answerTooLongToStore_isReportedAsRanWithoutBody) {
  settings_.max_answer_bytes = 4;
  setup();
  RunKey key = Key(0);
  ledger_->Begin(TimeMs(1), key, 1);
  ledger_->Complete(key, Ran("a long answer"));
  RunOutcome outcome = std::get<RunOutcome>(ledger_->Begin(TimeMs(2), key, 2));
  CHECK(outcome.error == ErrorKind::kAnswerForgotten);
  CHECK(outcome.run_state == RunState::kRan);
  CHECK_EQUAL(0U, ledger_->AnswerBytes());
}

TEST(run_ledger, tamperedKeys_areInvalid) {
  std::string text = ledger_->Issue(TimeMs(0), "pay");
  CHECK(ErrorOf(ParseKey(text, "pay", secret_)) == nullptr);
  CHECK(ErrorOf(ParseKey(text, "post", secret_)) != nullptr);
  CHECK(ErrorOf(ParseKey(text, "pay", "another secret")) != nullptr);
  for (size_t i = 0; i < text.size(); ++i) {
    std::string bad = text;
    bad[i] = bad[i] == '0' ? '1' : '0';
    CHECK(ErrorOf(ParseKey(bad, "pay", secret_)) != nullptr);
    CHECK(ErrorOf(ParseKey(text.substr(0, i), "pay", secret_)) != nullptr);
  }
}

/// Random sequences of keys being issued, resent and completed while time
/// passes: the actions of spec/at_most_once.pml, run against the
/// implementation.
TEST(run_ledger, randomSequences_runEachKeyAtMostOnceAndNeverAfterNotRun) {
  bool holds = rc::check([this] {
    RunLedger ledger(settings_, 7, secret_, 1, TimeMs(0));
    std::vector<RunKey> keys;
    std::map<uint64_t, int> runs;
    std::set<uint64_t> open;
    std::set<uint64_t> reported_not_run;
    int64_t now = 0;
    auto ops = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (size_t step = 0; step < ops.size(); ++step) {
      size_t pick = keys.empty() ? 0 : step * 7 % keys.size();
      switch (ops[step]) {
        case 0:
          keys.push_back(*ValueOf(
              ParseKey(ledger.Issue(TimeMs(now), "pay"), "pay", secret_)));
          break;
        case 1:
        case 2: {
          if (keys.empty()) break;
          RunLedger::BeginResult result =
              ledger.Begin(TimeMs(now), keys[pick], step);
          if (std::holds_alternative<RunLedger::MustRun>(result)) {
            RC_ASSERT(++runs[keys[pick].nonce] == 1);
            RC_ASSERT(reported_not_run.count(keys[pick].nonce) == 0U);
            open.insert(keys[pick].nonce);
          }
          break;
        }
        case 3:
          if (keys.empty() || open.erase(keys[pick].nonce) == 0) break;
          ledger.Complete(keys[pick], Ran("x"));
          break;
        case 4:
          if (keys.empty() || open.erase(keys[pick].nonce) == 0) break;
          // Refused by admission control: begun, but never run.
          runs[keys[pick].nonce] = 0;
          reported_not_run.insert(keys[pick].nonce);
          ledger.Complete(keys[pick], NotRun());
          break;
        default:
          now += settings_.epoch_ms * 3;
          ledger.Tick(TimeMs(now));
      }
    }
  });
  CHECK(holds);
}
