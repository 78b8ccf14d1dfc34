#include "banyanloft/mesh/suspicion_store.h"

#include <CppUTest/TestHarness.h>

#include "banyanloft/store/memory_platform.h"

using namespace banyanloft;

namespace {

constexpr int64_t kTickMs = 50;

/// A daemon's crash guard and its copy in the store.
struct Daemon {
  Daemon(uint64_t seed, TimeMs now)
      : store(SuspicionStoreSettings(), seed, now) {}

  void Crash(TimeMs now, uint64_t crash, std::vector<uint64_t> requests) {
    store.OnRaised(guard.OnCrash(now, crash, requests).size());
  }
  /// Runs for `ms`; while `available` is false, calls fail.
  void Run(MemoryPlatform* platform, TimeMs* now, int64_t ms,
           bool available = true, bool watching = false,
           bool partitioned = false) {
    for (int64_t passed = 0; passed < ms; passed += kTickMs) {
      *now = *now + kTickMs;
      std::optional<PlatformCall> call =
          store.Tick(*now, guard, watching, partitioned);
      if (!call) continue;
      call->id = ++calls;
      store.OnSent(call->id);
      PlatformReply reply;
      reply.id = call->id;
      reply.error = Error{ErrorKind::kPlatformUnavailable, "unavailable"};
      if (available) reply = platform->Do(*call);
      if (hides_objects) reply.objects.clear();
      guard.Merge(*now, store.OnReply(*now, reply));
    }
  }

  CrashGuard guard{CrashGuardSettings()};
  SuspicionStore store;
  uint64_t calls = 0;
  bool hides_objects = false;  ///< What is read cannot be parsed.
};

}  // namespace

TEST_GROUP(suspicion_store) {
  MemoryPlatform platform_;
  TimeMs now_{1000};
  Daemon daemon_{1, now_};

  int CrashesKnownToNewDaemon(uint64_t request) {
    Daemon later(9, now_);
    later.Run(&platform_, &now_, 500);
    return later.guard.Crashes(now_, request);
  }
};

TEST(suspicion_store, noCrash_oneReadAndNoWrite) {
  daemon_.Run(&platform_, &now_, 600000, true, true);
  LONGS_EQUAL(1, daemon_.calls);
}

TEST(suspicion_store, crash_isKnownToDaemonsThatStartLater) {
  daemon_.Run(&platform_, &now_, 500);
  daemon_.Crash(now_, 100, {1, 2});
  daemon_.Run(&platform_, &now_, 100);
  daemon_.Crash(now_, 101, {1});
  daemon_.Run(&platform_, &now_, 100);
  LONGS_EQUAL(3, daemon_.calls);
  LONGS_EQUAL(2, CrashesKnownToNewDaemon(1));
  LONGS_EQUAL(1, CrashesKnownToNewDaemon(2));
}

TEST(suspicion_store, twoDaemonsWrite_neitherOverwritesTheOther) {
  Daemon other(2, now_);
  daemon_.Run(&platform_, &now_, 500);
  other.Run(&platform_, &now_, 500);
  daemon_.Crash(now_, 100, {1});
  other.Crash(now_, 101, {1});
  daemon_.Run(&platform_, &now_, 500);
  other.Run(&platform_, &now_, 500);
  LONGS_EQUAL(2, CrashesKnownToNewDaemon(1));
}

TEST(suspicion_store, storeIsAwayAtTheCrash_isStoredAfterwards) {
  daemon_.Run(&platform_, &now_, 500);
  daemon_.Crash(now_, 100, {1});
  daemon_.Run(&platform_, &now_, 20000, false);
  CHECK(daemon_.calls < 20000 / SuspicionStoreSettings().retry_ms * 2);
  daemon_.Run(&platform_, &now_, 1000);
  LONGS_EQUAL(1, CrashesKnownToNewDaemon(1));
}

TEST(suspicion_store, suspicionCleared_watcherRemovesIt) {
  daemon_.Run(&platform_, &now_, 500);
  daemon_.Crash(now_, 100, {1, 2});
  daemon_.Run(&platform_, &now_, 500);
  daemon_.guard.OnSuccess(now_, 2);
  daemon_.Run(&platform_, &now_, 2 * SuspicionStoreSettings().cleanup_ms, true,
              true);
  LONGS_EQUAL(1, CrashesKnownToNewDaemon(1));
  LONGS_EQUAL(0, CrashesKnownToNewDaemon(2));
}

TEST(suspicion_store, fleetRestartsAgainAndAgain_suspicionExpires) {
  daemon_.Run(&platform_, &now_, 500);
  daemon_.Crash(now_, 100, {1});
  daemon_.Run(&platform_, &now_, 500);
  int64_t ttl_ms = CrashGuardSettings().suspicion_ttl_ms;
  for (uint64_t start = 0; start < 8; ++start) {
    Daemon next(start, now_);
    next.Run(&platform_, &now_, ttl_ms / 2, true, true);
  }
  LONGS_EQUAL(0, CrashesKnownToNewDaemon(1));
}

TEST(suspicion_store, partition_watcherReadsWhatTheOtherSideWrote) {
  Daemon other(2, now_);
  daemon_.Run(&platform_, &now_, 500);
  other.Run(&platform_, &now_, 500);
  other.Crash(now_, 101, {1});
  other.Run(&platform_, &now_, 500);
  daemon_.Run(&platform_, &now_, 5000, true, true, true);
  LONGS_EQUAL(1, daemon_.guard.Crashes(now_, 1));
}

TEST(suspicion_store, manySuspicions_thoseOfTheMostCrashesAreKept) {
  daemon_.Run(&platform_, &now_, 500);
  std::vector<uint64_t> harmless;
  for (uint64_t i = 10; i < 10 + 2 * SuspicionStoreSettings().max_stored; ++i)
    harmless.push_back(i);
  daemon_.Crash(now_, 100, {1});
  daemon_.Crash(now_, 101, harmless);
  daemon_.Crash(now_, 102, {1});
  daemon_.Run(&platform_, &now_, 500);
  LONGS_EQUAL(2, CrashesKnownToNewDaemon(1));
}

TEST(suspicion_store, entriesOfAnotherWriter_areSkipped) {
  const std::vector<std::string> values = {
      "no json",
      "[]",
      R"({"crashes":7})",
      R"({"crashes":[7,{"crash":"zz"},{"crash":"1","age_ms":"x"}]})",
      R"({"crashes":[{"crash":"1","age_ms":1e999,"requests":["1"]}]})",
      R"({"crashes":[{"crash":"1","age_ms":-5,"requests":["1"]}]})",
      R"({"crashes":[{"crash":"1","age_ms":99999999999,"requests":["1"]}]})",
      R"({"crashes":[{"crash":"1","age_ms":0,"requests":[1,null,"g"]}]})"};
  for (const std::string& value : values) {
    PlatformCall write;
    write.type = PlatformCall::Type::kWrite;
    write.key = "suspicions/fleet";
    write.value = value;
    platform_.Do(write);
    LONGS_EQUAL(0, CrashesKnownToNewDaemon(1));
  }
  daemon_.Run(&platform_, &now_, 500);
  daemon_.Crash(now_, 100, {1});
  daemon_.Run(&platform_, &now_, 500);
  LONGS_EQUAL(1, CrashesKnownToNewDaemon(1));
}

/// An object that cannot be read conflicts with each write of a new one.
TEST(suspicion_store, objectIsUnreadable_isOverwrittenAfterFewCalls) {
  PlatformCall write;
  write.type = PlatformCall::Type::kWrite;
  write.key = "suspicions/fleet";
  write.value = "unreadable";
  platform_.Do(write);
  daemon_.hides_objects = true;
  daemon_.Run(&platform_, &now_, 500);
  daemon_.Crash(now_, 100, {1});
  daemon_.Run(&platform_, &now_, 5000);
  CHECK(daemon_.calls <= 8);
  LONGS_EQUAL(1, CrashesKnownToNewDaemon(1));
}
