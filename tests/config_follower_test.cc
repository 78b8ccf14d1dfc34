#include "banyanloft/mesh/config_follower.h"

#include <CppUTest/TestHarness.h>

#include "banyanloft/core/compress.h"
#include "banyanloft/core/digest.h"

using namespace banyanloft;

namespace {

/// Reads a document as the number of its version; rejects any other text.
class NumberReader final : public ConfigurationReader {
 public:
  Result<RouteConfiguration> ReadConfiguration(
      const std::string& text) const override {
    RouteConfiguration out;
    out.version = std::strtoull(text.c_str(), nullptr, 10);
    if (out.version == 0)
      return Error{ErrorKind::kInvalidConfiguration, "no number"};
    return out;
  }
};

/// The first read does not wait for the startup load.
ConfigFollowerSettings RunningFleetSettings() {
  ConfigFollowerSettings settings;
  settings.startup_load_wait_ms = 0;
  return settings;
}

}  // namespace

TEST_GROUP(config_follower) {
  NumberReader reader_;
  ConfigFollower follower_{RunningFleetSettings(), 4, TimeMs(0), &reader_};
  ConfigFollower::Actions actions_;

  const PlatformCall* LastCall() {
    const PlatformCall* last = nullptr;
    for (const ConfigFollowerAction& action : actions_) {
      if (const auto* call = std::get_if<PlatformCall>(&action)) last = call;
    }
    return last;
  }
  template <typename T>
  size_t Count() {
    size_t count = 0;
    for (const ConfigFollowerAction& action : actions_)
      count += std::holds_alternative<T>(action) ? 1 : 0;
    return count;
  }
  void Store(TimeMs now, const std::string& value, uint64_t revision) {
    PlatformReply reply;
    reply.revision = revision;
    if (!value.empty())
      reply.objects.push_back({ConfigFollowerSettings().key, revision, value});
    follower_.OnStore(now, reply, &actions_);
  }
  /// A reply of a store that was restored `generation` - 1 times.
  void StoreOf(uint64_t generation, TimeMs now, const std::string& value,
               uint64_t revision) {
    PlatformReply reply;
    reply.revision = revision;
    reply.generation = generation;
    if (!value.empty())
      reply.objects.push_back({ConfigFollowerSettings().key, revision, value});
    follower_.OnStore(now, reply, &actions_);
  }
  /// A peer announces the version that `text` begins with, read from a store of
  /// this generation 10 ms ago.
  void Announce(TimeMs now, uint64_t generation, const std::string& text) {
    uint64_t version = std::strtoull(text.c_str(), nullptr, 10);
    follower_.OnVersionAnnounced(
        now, {"peer:1", true, version, 10, generation, FastHash(text)},
        &actions_);
  }
  void Failure(TimeMs now, ErrorKind kind) {
    PlatformReply reply;
    reply.error = Error{kind, "test"};
    follower_.OnStore(now, reply, &actions_);
  }
};

TEST(config_follower, start_readsFreshAndAdopts) {
  follower_.Tick(TimeMs(0), false, &actions_);
  CHECK(!LastCall()->allow_stale);
  Store(TimeMs(5), "3", 100);
  LONGS_EQUAL(3, follower_.Version());
}

/// Guards against a busy poll, and a late first version, when a fleet starts
/// before its operators have written any document.
TEST(config_follower, noDocumentYet_isReadOncePerSecondOnAverage) {
  constexpr int64_t kSpanMs = 20000;
  for (TimeMs now(0); now < TimeMs(kSpanMs); now = now + 10) {
    size_t before = Count<PlatformCall>();
    follower_.Tick(now, false, &actions_);
    if (Count<PlatformCall>() > before) Store(now + 4, "", 100);
  }
  size_t reads = Count<PlatformCall>();
  CHECK(reads >= 14);
  CHECK(reads <= 26);
}

TEST(config_follower, watcher_watchesFromLastRevision) {
  follower_.Tick(TimeMs(0), true, &actions_);
  Store(TimeMs(5), "3", 100);
  follower_.Tick(TimeMs(10), true, &actions_);
  CHECK(LastCall()->watch_after == uint64_t{100});
  Store(TimeMs(50), "4", 120);
  LONGS_EQUAL(4, follower_.Version());
}

TEST(config_follower, olderOrUnreadableDocument_isNeverAdopted) {
  follower_.Tick(TimeMs(0), true, &actions_);
  Store(TimeMs(5), "7", 100);
  for (const char* text : {"6", "rubbish", "7"}) {
    follower_.Tick(TimeMs(10), true, &actions_);
    Store(TimeMs(15), text, 130);
    LONGS_EQUAL(7, follower_.Version());
  }
  LONGS_EQUAL(1, Count<TableAdopted>());
}

TEST(config_follower, historyLost_readsCurrentStateImmediately) {
  follower_.Tick(TimeMs(0), true, &actions_);
  Store(TimeMs(5), "3", 100);
  follower_.Tick(TimeMs(10), true, &actions_);
  Failure(TimeMs(20), ErrorKind::kHistoryLost);
  follower_.Tick(TimeMs(25), true, &actions_);
  CHECK(!LastCall()->watch_after);
  CHECK(!LastCall()->allow_stale);
}

TEST(config_follower, failures_callsAreBounded) {
  TimeMs now(0);
  while (now < TimeMs(20000)) {
    size_t before = Count<PlatformCall>();
    follower_.Tick(now, true, &actions_);
    if (Count<PlatformCall>() > before)
      Failure(now + 1, ErrorKind::kPlatformUnavailable);
    now = now + 50;
  }
  CHECK(Count<PlatformCall>() < 30);
  CHECK(!follower_.StoreReachable());
}

TEST(config_follower, silentStore_isDetectedWithinWatchAndTimeout) {
  ConfigFollowerSettings settings;
  follower_.Tick(TimeMs(0), true, &actions_);
  Store(TimeMs(5), "3", 100);
  follower_.Tick(TimeMs(10), true, &actions_);
  size_t before = Count<PlatformCall>();
  TimeMs now(10);
  while (Count<PlatformCall>() == before && now < TimeMs(60000)) {
    now = now + 50;
    follower_.Tick(now, true, &actions_);
  }
  CHECK(now - TimeMs(10) <=
        settings.watch_wait_ms + settings.timeout_ms + 2 * settings.backoff_ms);
}

TEST(config_follower, versionConfirmedByPeers_isNotPolled) {
  follower_.Tick(TimeMs(0), false, &actions_);
  Store(TimeMs(5), "3", 100);
  for (int64_t ms = 1000; ms <= 60000; ms += 1000) {
    follower_.OnVersionAnnounced(TimeMs(ms), {"peer:1", true, 3, 2500, 0, 0},
                                 &actions_);
    follower_.Tick(TimeMs(ms), false, &actions_);
  }
  LONGS_EQUAL(1, Count<PlatformCall>());
  LONGS_EQUAL(2500, follower_.VersionAgeMs(TimeMs(60000)));
}

TEST(config_follower, versionNoLongerConfirmed_isPolledAtPollPeriod) {
  int64_t poll_ms = ConfigFollowerSettings().poll_ms;
  follower_.Tick(TimeMs(0), false, &actions_);
  Store(TimeMs(0), "3", 100);
  // Peers are alive, but none has reached the store since: their confirmation
  // ages.
  for (int64_t ms = 500; ms < poll_ms; ms += 500) {
    follower_.OnVersionAnnounced(TimeMs(ms), {"peer:1", true, 3, ms, 0, 0},
                                 &actions_);
    follower_.Tick(TimeMs(ms), false, &actions_);
  }
  LONGS_EQUAL(1, Count<PlatformCall>());
  follower_.OnVersionAnnounced(TimeMs(poll_ms),
                               {"peer:1", true, 3, poll_ms, 0, 0}, &actions_);
  follower_.Tick(TimeMs(poll_ms), false, &actions_);
  LONGS_EQUAL(2, Count<PlatformCall>());
  CHECK(LastCall()->allow_stale);
  Store(TimeMs(poll_ms), "3", 100);
  follower_.Tick(TimeMs(2 * poll_ms - 50), false, &actions_);
  LONGS_EQUAL(2, Count<PlatformCall>());
  follower_.Tick(TimeMs(2 * poll_ms), false, &actions_);
  LONGS_EQUAL(3, Count<PlatformCall>());
}

TEST(config_follower, staleRead_doesNotConfirmVersion) {
  int64_t poll_ms = ConfigFollowerSettings().poll_ms;
  follower_.Tick(TimeMs(0), false, &actions_);
  Store(TimeMs(0), "3", 100);
  follower_.Tick(TimeMs(poll_ms), false, &actions_);
  CHECK(LastCall()->allow_stale);
  Store(TimeMs(poll_ms), "3", 100);
  LONGS_EQUAL(poll_ms, follower_.VersionAgeMs(TimeMs(poll_ms)));
}

TEST(config_follower, confirmationOfOlderVersion_isIgnored) {
  follower_.Tick(TimeMs(0), false, &actions_);
  Store(TimeMs(0), "3", 100);
  follower_.OnVersionAnnounced(TimeMs(4000), {"peer:1", true, 2, 0, 0, 0},
                               &actions_);
  LONGS_EQUAL(4000, follower_.VersionAgeMs(TimeMs(4000)));
}

TEST(config_follower, newerVersionAnnounced_isPulledOnce) {
  follower_.OnVersionAnnounced(TimeMs(0), {"peer:1", true, 9, -1, 0, 0},
                               &actions_);
  follower_.OnVersionAnnounced(TimeMs(1), {"peer:2", true, 9, -1, 0, 0},
                               &actions_);
  LONGS_EQUAL(1, Count<PullDocument>());
  follower_.OnDocument(DocumentReply{9, Compress("9")}, &actions_);
  LONGS_EQUAL(9, follower_.Version());
  follower_.OnVersionAnnounced(TimeMs(10), {"peer:1", true, 9, -1, 0, 0},
                               &actions_);
  LONGS_EQUAL(1, Count<PullDocument>());
}

TEST(config_follower, pullTimedOut_isRetriedAtAnotherPeer) {
  follower_.OnVersionAnnounced(TimeMs(0), {"peer:1", true, 9, -1, 0, 0},
                               &actions_);
  follower_.Tick(TimeMs(1000), false, &actions_);
  follower_.OnVersionAnnounced(TimeMs(1001), {"peer:2", true, 9, -1, 0, 0},
                               &actions_);
  LONGS_EQUAL(2, Count<PullDocument>());
}

TEST(config_follower, documentRequest_olderPeer_getsTheDocument) {
  follower_.OnDocument(DocumentReply{9, Compress("9")}, &actions_);
  CHECK(Decompress(follower_.OnDocumentRequest({8}).packed, 100) == "9");
  LONGS_EQUAL(0, follower_.OnDocumentRequest({9}).version);
}

/// Guards against every member of a zone pulling a document across zones: with
/// long documents, short intervals and slow links, one pull per zone must do.
TEST(config_follower, announcementFromOtherZone_ownZoneIsPreferred) {
  follower_.OnDocument(DocumentReply{3, Compress("3")}, &actions_);
  follower_.OnVersionAnnounced(TimeMs(0), {"remote:1", false, 9, -1, 0, 0},
                               &actions_);
  LONGS_EQUAL(0, Count<PullDocument>());
  follower_.OnVersionAnnounced(TimeMs(100), {"peer:1", true, 9, -1, 0, 0},
                               &actions_);
  LONGS_EQUAL(1, Count<PullDocument>());
  follower_.OnDocument(DocumentReply{9, Compress("9")}, &actions_);
  follower_.Tick(TimeMs(5000), false, &actions_);
  LONGS_EQUAL(1, Count<PullDocument>());
}

TEST(config_follower, announcementFromOtherZoneOnly_isPulledAfterDelay) {
  follower_.OnDocument(DocumentReply{3, Compress("3")}, &actions_);
  ConfigFollowerSettings settings;
  follower_.OnVersionAnnounced(TimeMs(0), {"remote:1", false, 8, -1, 0, 0},
                               &actions_);
  follower_.OnVersionAnnounced(TimeMs(50), {"remote:2", false, 9, -1, 0, 0},
                               &actions_);
  follower_.Tick(TimeMs(settings.cross_zone_pull_delay_ms - 1), false,
                 &actions_);
  LONGS_EQUAL(0, Count<PullDocument>());
  follower_.Tick(TimeMs(2 * settings.cross_zone_pull_delay_ms), false,
                 &actions_);
  LONGS_EQUAL(1, Count<PullDocument>());
}

TEST(config_follower, damagedDocument_isRejectedAndLogged) {
  follower_.OnDocument(DocumentReply{9, "not packed"}, &actions_);
  LONGS_EQUAL(0, follower_.Version());
  LONGS_EQUAL(1, Count<LogRecord>());
}

// The revisions of a restored store go back and are given out again.
TEST(config_follower, storeRestored_watchContinuesFromItsRevision) {
  follower_.Tick(TimeMs(0), true, &actions_);
  StoreOf(1, TimeMs(5), "7", 100);
  follower_.Tick(TimeMs(10), true, &actions_);
  Failure(TimeMs(20), ErrorKind::kPlatformUnavailable);
  follower_.Tick(TimeMs(1000), true, &actions_);
  StoreOf(2, TimeMs(1005), "5", 90);
  LONGS_EQUAL(7, follower_.Version());
  follower_.Tick(TimeMs(1010), true, &actions_);
  CHECK(LastCall()->watch_after == uint64_t{90});
}

// The outage falls between two watches, so that no call fails, and the store
// has given out the watched revision again.
TEST(config_follower, storeRestoredBetweenWatches_changeIsNotMissed) {
  follower_.Tick(TimeMs(0), true, &actions_);
  StoreOf(1, TimeMs(5), "7", 100);
  follower_.Tick(TimeMs(10), true, &actions_);
  StoreOf(2, TimeMs(2010), "", 101);
  follower_.Tick(TimeMs(2020), true, &actions_);
  CHECK(!LastCall()->watch_after);
  CHECK(!LastCall()->allow_stale);
  StoreOf(2, TimeMs(2025), "8", 101);
  LONGS_EQUAL(8, follower_.Version());
}

TEST(config_follower, storeRestored_watchIsRefusedAtMostOnce) {
  follower_.Tick(TimeMs(0), true, &actions_);
  StoreOf(1, TimeMs(5), "7", 100);
  size_t calls = 0;
  for (int64_t ms = 10; ms < 4000; ms += 50) {
    size_t before = Count<PlatformCall>();
    follower_.Tick(TimeMs(ms), true, &actions_);
    if (Count<PlatformCall>() == before) continue;
    ++calls;
    const PlatformCall& call = *LastCall();
    if (call.watch_after && *call.watch_after > 90) {
      PlatformReply gone;
      gone.error = Error{ErrorKind::kHistoryLost, "test"};
      gone.generation = 2;
      follower_.OnStore(TimeMs(ms + 4), gone, &actions_);
    } else if (!call.watch_after) {
      StoreOf(2, TimeMs(ms + 4), "7", 90);
    }
  }
  CHECK(calls <= 5);
}

TEST(config_follower, generationChangesAgain_isReadAnew) {
  follower_.Tick(TimeMs(0), true, &actions_);
  StoreOf(2, TimeMs(5), "7", 90);
  follower_.Tick(TimeMs(10), true, &actions_);
  StoreOf(1, TimeMs(20), "", 100);
  follower_.Tick(TimeMs(1000), true, &actions_);
  StoreOf(2, TimeMs(1005), "7", 91);
  follower_.Tick(TimeMs(1010), true, &actions_);
  CHECK(LastCall()->watch_after == uint64_t{91});
}

// The operator's last version was lost with the restore and was written again
// under the same number with another text.
TEST(config_follower, storeRestored_sameNumberWithOtherText_isAdopted) {
  follower_.Tick(TimeMs(0), true, &actions_);
  StoreOf(1, TimeMs(5), "7 first", 100);
  follower_.Tick(TimeMs(10), true, &actions_);
  Failure(TimeMs(20), ErrorKind::kPlatformUnavailable);
  follower_.Tick(TimeMs(1000), true, &actions_);
  StoreOf(2, TimeMs(1005), "7 second", 91);
  LONGS_EQUAL(2, Count<TableAdopted>());
  LONGS_EQUAL(7, follower_.Version());
}

// The copy may still hold the older text when it is read first.
TEST(config_follower, storeRestored_textIsReplacedLater_isAdopted) {
  follower_.Tick(TimeMs(0), true, &actions_);
  StoreOf(1, TimeMs(5), "7 first", 100);
  follower_.Tick(TimeMs(10), true, &actions_);
  Failure(TimeMs(20), ErrorKind::kPlatformUnavailable);
  follower_.Tick(TimeMs(1000), true, &actions_);
  StoreOf(2, TimeMs(1005), "5 old", 90);
  follower_.Tick(TimeMs(1010), true, &actions_);
  StoreOf(2, TimeMs(1200), "7 second", 92);
  LONGS_EQUAL(2, Count<TableAdopted>());
}

TEST(config_follower, storeNotRestored_sameNumberWithOtherText_isIgnored) {
  follower_.Tick(TimeMs(0), true, &actions_);
  StoreOf(2, TimeMs(5), "7 first", 100);
  follower_.Tick(TimeMs(10), true, &actions_);
  StoreOf(2, TimeMs(20), "7 second", 101);
  LONGS_EQUAL(1, Count<TableAdopted>());
}

TEST(config_follower, storeRestored_olderVersion_isNeverAdopted) {
  follower_.Tick(TimeMs(0), true, &actions_);
  StoreOf(1, TimeMs(5), "7", 100);
  follower_.Tick(TimeMs(10), true, &actions_);
  StoreOf(2, TimeMs(1005), "6", 91);
  follower_.Tick(TimeMs(1010), true, &actions_);
  StoreOf(2, TimeMs(1015), "6", 91);
  LONGS_EQUAL(7, follower_.Version());
}

// A member that does not watch learns of the other text from its peers.
TEST(config_follower, peerReadAnotherTextAfterARestore_itIsPulled) {
  follower_.Tick(TimeMs(0), false, &actions_);
  StoreOf(1, TimeMs(5), "7 first", 100);
  Announce(TimeMs(1000), 2, "7 second");
  LONGS_EQUAL(1, Count<PullDocument>());
  follower_.OnDocument(DocumentReply{7, Compress("7 second")}, &actions_);
  LONGS_EQUAL(2, Count<TableAdopted>());
  // A peer that has not heard of it yet must not bring the first text back.
  Announce(TimeMs(1100), 1, "7 first");
  LONGS_EQUAL(1, Count<PullDocument>());
  LONGS_EQUAL(2, follower_.DocumentGeneration());
}

TEST(config_follower, peerReadTheSameTextAfterARestore_nothingIsPulled) {
  follower_.Tick(TimeMs(0), false, &actions_);
  StoreOf(1, TimeMs(5), "7 first", 100);
  LONGS_EQUAL(0, follower_.DocumentGeneration());
  Announce(TimeMs(1000), 2, "7 first");
  LONGS_EQUAL(0, Count<PullDocument>());
  LONGS_EQUAL(2, follower_.DocumentGeneration());
}

// Started after the restore, it reads the old copy and then gets the first text
// from a peer; the operator writes the second one.
TEST(config_follower, restartedDaemon_firstTextFromAPeer_isReplacedByTheStore) {
  follower_.Tick(TimeMs(0), true, &actions_);
  StoreOf(2, TimeMs(5), "5 old", 90);
  Announce(TimeMs(10), 1, "7 first");
  follower_.OnDocument(DocumentReply{7, Compress("7 first")}, &actions_);
  LONGS_EQUAL(7, follower_.Version());
  follower_.Tick(TimeMs(20), true, &actions_);
  StoreOf(2, TimeMs(500), "7 second", 92);
  LONGS_EQUAL(3, Count<TableAdopted>());
  LONGS_EQUAL(2, follower_.DocumentGeneration());
}

TEST(config_follower, peerConfirmsAnotherText_confirmationDoesNotCount) {
  follower_.Tick(TimeMs(0), true, &actions_);
  StoreOf(2, TimeMs(5), "7 second", 91);
  Announce(TimeMs(3000), 1, "7 first");
  LONGS_EQUAL(2995, follower_.VersionAgeMs(TimeMs(3000)));
}

// A watch that began at the revision of a stale read would miss what that read
// did not hold yet.
TEST(config_follower, staleRead_doesNotMoveTheStartOfTheWatch) {
  int64_t poll_ms = ConfigFollowerSettings().poll_ms;
  follower_.Tick(TimeMs(0), false, &actions_);
  Store(TimeMs(0), "3", 100);
  follower_.Tick(TimeMs(poll_ms), false, &actions_);
  CHECK(LastCall()->allow_stale);
  Store(TimeMs(poll_ms), "3", 120);
  follower_.Tick(TimeMs(poll_ms + 50), true, &actions_);
  CHECK(LastCall()->watch_after == uint64_t{100});
}
