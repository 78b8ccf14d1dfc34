#include <CppUTest/TestHarness.h>

#include <limits>

#include "banyanloft/core/compress.h"
#include "banyanloft/membership/rendezvous.h"
#include "banyanloft/mesh/config_follower.h"
#include "banyanloft/mesh/startup_buffer.h"

using namespace banyanloft;

namespace {

constexpr int64_t kTickMs = 10;

/// Reads documents that consist of their version number and padding.
class NumberReader final : public ConfigurationReader {
 public:
  Result<RouteConfiguration> ReadConfiguration(
      const std::string& text) const override {
    RouteConfiguration out;
    out.version = std::strtoull(text.c_str(), nullptr, 10);
    return out;
  }
};

MeshRequest RequestOf(const std::string& id, int64_t wait_ms) {
  MeshRequest request;
  request.request_id = id;
  request.wait_ms = wait_ms;
  return request;
}

}  // namespace

TEST_GROUP(thundering_herd) {
  NumberReader reader_;

  /// Time of the first read after the load was announced at 50 ms, in ms; -1 if
  /// there is none within ten seconds.
  int64_t FirstReadAt(const ConfigFollowerSettings& settings, uint64_t seed,
                      const StartupLoad& load) {
    ConfigFollower follower(settings, seed, TimeMs(0), &reader_);
    follower.OnStartupLoad(TimeMs(50), load);
    for (TimeMs now(50); now < TimeMs(10000); now = now + kTickMs) {
      ConfigFollower::Actions actions;
      follower.Tick(now, false, &actions);
      if (!actions.empty()) return now.Value();
    }
    return -1;
  }
};

/// 90 daemons restart together after a power failure and the document is large:
/// if all of them read it at once, the store is busy for a quarter of a second.
TEST(thundering_herd, largeDocument_readsAreSpreadOverTheStoresTransferTime) {
  StartupLoad load{90, 328000};
  ConfigFollowerSettings settings;
  int64_t all_ms = 90 * 328000 / settings.store_bytes_per_ms;
  int early = 0;
  int64_t last_ms = 0;
  for (uint64_t seed = 1; seed <= 90; ++seed) {
    int64_t at_ms = FirstReadAt(settings, seed, load);
    early += at_ms - 50 < all_ms / 4 ? 1 : 0;
    last_ms = std::max(last_ms, at_ms);
  }
  CHECK(early >= 10);
  CHECK(early <= 35);
  CHECK(last_ms <= 50 + all_ms + 2 * kTickMs);
}

TEST(thundering_herd, slowLink_readIsDelayed) {
  StartupLoad load{1, 328000};
  ConfigFollowerSettings slow;
  slow.link_bytes_per_ms = 875;  // 7 Mbit/s.
  CHECK(FirstReadAt(slow, 1, load) >= 50 + 328000 / 875);
  CHECK(FirstReadAt(ConfigFollowerSettings(), 1, load) <= 50 + kTickMs);
}

TEST(thundering_herd, smallDocumentOrFewMembers_isReadAtOnce) {
  for (StartupLoad load :
       {StartupLoad{90, 2000}, StartupLoad{1, 4000}, StartupLoad{}})
    CHECK(FirstReadAt(ConfigFollowerSettings(), 3, load) <= 50 + kTickMs);
}

TEST(thundering_herd, loadUnknown_isReadAfterTheWait) {
  ConfigFollowerSettings settings;
  ConfigFollower follower(settings, 1, TimeMs(0), &reader_);
  ConfigFollower::Actions actions;
  follower.Tick(TimeMs(settings.startup_load_wait_ms - 1), false, &actions);
  CHECK(actions.empty());
  follower.Tick(TimeMs(settings.startup_load_wait_ms), false, &actions);
  LONGS_EQUAL(1, actions.size());
}

TEST(thundering_herd, hugeLoad_delayIsBounded) {
  ConfigFollowerSettings settings;
  constexpr size_t kMaxSize = std::numeric_limits<size_t>::max();
  // The extreme values could have been written by a faulty or foreign program.
  for (StartupLoad load :
       {StartupLoad{2200, 10000000}, StartupLoad{3, kMaxSize / 4},
        StartupLoad{1, kMaxSize}, StartupLoad{kMaxSize, kMaxSize}}) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      int64_t at_ms = FirstReadAt(settings, seed, load);
      CHECK(at_ms >= 50);
      CHECK(at_ms <= 50 + settings.start_delay_max_ms + kTickMs);
    }
  }
}

TEST(thundering_herd, peerHasVersion_isPulledAtOnceFromAnyZone) {
  ConfigFollower follower(ConfigFollowerSettings(), 1, TimeMs(0), &reader_);
  ConfigFollower::Actions actions;
  follower.OnStartupLoad(TimeMs(50), StartupLoad{90, 328000});
  follower.OnVersionAnnounced(TimeMs(60), {"peer:1", false, 9, -1, 0, 0},
                              &actions);
  CHECK(std::holds_alternative<PullDocument>(actions.back()));
  // No read of the store during the pull, nor after it.
  actions.clear();
  follower.Tick(TimeMs(400), false, &actions);
  CHECK(actions.empty());
  follower.OnDocument(DocumentReply{9, Compress("9")}, &actions);
  LONGS_EQUAL(9, follower.Version());
}

/// A daemon restarts while its peers cannot reach the store.
TEST(thundering_herd, unconfirmedVersionOfPeer_isCheckedByAFreshRead) {
  ConfigFollowerSettings settings;
  ConfigFollower follower(settings, 1, TimeMs(0), &reader_);
  ConfigFollower::Actions actions;
  follower.OnVersionAnnounced(TimeMs(60), {"peer:1", true, 9, -1, 0, 0},
                              &actions);
  follower.OnDocument(DocumentReply{9, Compress("9")}, &actions);
  actions.clear();
  follower.Tick(TimeMs(settings.startup_load_wait_ms), false, &actions);
  LONGS_EQUAL(1, actions.size());
  CHECK(!std::get<PlatformCall>(actions.front()).allow_stale);
}

TEST(thundering_herd, peerDoesNotAnswer_documentIsReadFromTheStore) {
  ConfigFollowerSettings settings;
  ConfigFollower follower(settings, 1, TimeMs(0), &reader_);
  ConfigFollower::Actions actions;
  follower.OnVersionAnnounced(TimeMs(60), {"peer:1", true, 9, -1, 0, 0},
                              &actions);
  actions.clear();
  follower.Tick(TimeMs(60 + settings.pull_timeout_ms), false, &actions);
  LONGS_EQUAL(1, actions.size());
  CHECK(std::holds_alternative<PlatformCall>(actions.front()));
}

TEST(thundering_herd, rendezvous_publishesLoadAndRewritesItWhenItDoubles) {
  Rendezvous writer(RendezvousSettings(), "z1", "10.0.0.1:1", 1, TimeMs(0));
  writer.OnRead({});
  std::optional<Rendezvous::Write> write =
      writer.WriteDue(true, {}, {}, StartupLoad{40, 20000});
  CHECK(write.has_value());
  std::vector<Rendezvous::Entry> entries = {{"z1", 7, write->value}};

  writer.OnRead(entries);
  CHECK(!writer.WriteDue(true, {}, {}, StartupLoad{60, 30000}).has_value());
  writer.OnRead(entries);
  CHECK(writer.WriteDue(true, {}, {}, StartupLoad{60, 330000}).has_value());

  Rendezvous reader(RendezvousSettings(), "z2", "10.0.0.2:1", 2, TimeMs(0));
  reader.OnRead(entries);
  LONGS_EQUAL(40, reader.ObservedLoad().members);
  LONGS_EQUAL(20000, reader.ObservedLoad().document_bytes);
}

TEST(thundering_herd, olderOrInvalidObject_yieldsNoLoad) {
  Rendezvous reader(RendezvousSettings(), "z2", "10.0.0.2:1", 2, TimeMs(0));
  std::vector<std::string> addresses =
      reader.OnRead({{"z1", 7, R"({"gossip":["10.0.0.1:1"]})"},
                     {"z3", 8, "rubbish"},
                     {"z4", 9, R"({"members":-4,"document_bytes":"many"})"}});
  LONGS_EQUAL(1, addresses.size());
  LONGS_EQUAL(0, reader.ObservedLoad().members);
  LONGS_EQUAL(0, reader.ObservedLoad().document_bytes);
}

/// Clients reconnect to a daemon that has just started and has no configuration
/// yet.
TEST(thundering_herd, requestBeforeFirstVersion_isBufferedAndReleased) {
  StartupBuffer buffer(StartupBufferSettings(), TimeMs(0));
  MeshRequest first = RequestOf("a", 4000);
  MeshRequest second = RequestOf("b", 4000);
  // It also waited behind others of its connection.
  second.buffered_ms = 40;
  CHECK(buffer.Add(TimeMs(100), 1, &first));
  CHECK(buffer.Add(TimeMs(150), 2, &second));
  CHECK(buffer.TakeExpired(TimeMs(250)).empty());
  std::vector<StartupBuffer::BufferedRequest> all = buffer.TakeAll(TimeMs(250));
  LONGS_EQUAL(2, all.size());
  STRCMP_EQUAL("a", all[0].request.request_id.c_str());
  LONGS_EQUAL(150, all[0].request.buffered_ms);
  LONGS_EQUAL(140, all[1].request.buffered_ms);
}

TEST(thundering_herd, noVersionArrives_requestExpiresInTime) {
  StartupBufferSettings settings;
  StartupBuffer buffer(settings, TimeMs(0));
  MeshRequest no_timeout = RequestOf("a", 0);
  MeshRequest short_timeout = RequestOf("b", 400);
  CHECK(buffer.Add(TimeMs(0), 1, &no_timeout));
  CHECK(buffer.Add(TimeMs(0), 2, &short_timeout));
  LONGS_EQUAL(1, buffer.TakeExpired(TimeMs(100)).size());
  LONGS_EQUAL(1, buffer.TakeExpired(TimeMs(settings.max_buffered_ms)).size());
  LONGS_EQUAL(0, buffer.Count());
}

TEST(thundering_herd, startupWindowOverOrBufferFull_requestIsNotBuffered) {
  StartupBufferSettings settings;
  settings.max_requests = 1;
  StartupBuffer buffer(settings, TimeMs(0));
  MeshRequest first = RequestOf("a", 4000);
  MeshRequest second = RequestOf("b", 4000);
  CHECK(buffer.Add(TimeMs(0), 1, &first));
  CHECK(!buffer.Add(TimeMs(0), 2, &second));
  STRCMP_EQUAL("b", second.request_id.c_str());
  CHECK(buffer.Remove(1).has_value());
  CHECK(!buffer.Remove(1).has_value());
  CHECK(!buffer.Add(TimeMs(settings.window_ms), 3, &second));
}

TEST_GROUP(rendezvous_entries){};

/// An entry of another writer with thousands of addresses would make every
/// watcher send as many datagrams after each read.
TEST(rendezvous_entries, entryWithManyAddresses_fewAreContacted) {
  RendezvousSettings settings;
  Rendezvous rendezvous(settings, "z1", "10.0.0.1:1", 1, TimeMs(0));
  std::string addresses;
  for (int i = 0; i < 10000; ++i)
    addresses += "\"10.0.0.2:" + std::to_string(i) + "\",";
  std::string value = "{\"gossip\":[" + addresses + "7]}";
  CHECK(rendezvous.OnRead({{"z2", 3, value}}).size() <= settings.addresses);
}
