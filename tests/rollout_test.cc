#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "banyanloft/links/peer_message.h"
#include "banyanloft/mesh/rollout_store.h"
#include "banyanloft/mesh/rollout_table.h"
#include "banyanloft/store/memory_platform.h"
#include "standins/mesh_fleet.h"

using namespace banyanloft;

namespace {

RolloutState StateOf(RolloutPhase phase, uint64_t revision,
                     const std::string& to = "v2") {
  RolloutState state;
  state.service = "s";
  state.to_version = to;
  state.from_version = to == "v2" ? "v1" : "";
  state.revision = revision;
  state.phase = phase;
  state.duration_ms = 60000;
  return state;
}

RolloutState Decision(uint64_t sequence, int share_permille,
                      int trial_servers = 1) {
  RolloutState state = StateOf(RolloutPhase::kRunning, 5);
  state.sequence = sequence;
  state.decider = 77;
  state.share_permille = share_permille;
  state.trial_servers = trial_servers;
  return state;
}

}  // namespace

TEST_GROUP(rollout_table) {
  RolloutTable table_;
  TimeMs now_{100000};
  /// Members 1 to 4 run v1, 5 to 8 v2 and 9 runs v3.
  static const std::string& VersionOf(MemberId id) {
    static const std::string kVersions[] = {"v1", "v2", "v3"};
    return kVersions[(id - 1) / 4];
  }
  std::set<MemberId> Allowed(std::optional<uint64_t> draw) {
    std::vector<TargetCandidate> candidates;
    for (MemberId id = 1; id <= 9; ++id)
      candidates.push_back({id, true, false});
    table_.Restrict("s", draw, VersionOf, &candidates);
    std::set<MemberId> ids;
    for (const TargetCandidate& candidate : candidates)
      ids.insert(candidate.id);
    return ids;
  }
  const std::set<MemberId> old_{1, 2, 3, 4};
  const std::set<MemberId> new_{5, 6, 7, 8};

  RolloutPhase Phase() { return table_.Find("s")->state.phase; }
};

TEST(rollout_table, noOrder_versionsHaveNoEffect) {
  table_.SetKnown();
  LONGS_EQUAL(9, Allowed(0).size());
  CHECK(!table_.Refuses("s", "v3", false));
}

/// Guards against requests to a version that was rolled back, by a daemon that
/// has just started and knows no orders yet.
TEST(rollout_table, ordersNotKnownYet_mostFrequentVersionOnly) {
  CHECK(Allowed(0) == old_);
}

TEST(rollout_table, running_onlyDrawsBelowTheShareTryTrialServers) {
  table_.Merge(now_, Decision(1, 100, 2));
  std::set<MemberId> trial = Allowed(99);
  LONGS_EQUAL(2, trial.size());
  CHECK(std::includes(new_.begin(), new_.end(), trial.begin(), trial.end()));
  CHECK(Allowed(100) == old_);
  CHECK(Allowed(std::nullopt) == old_);
  CHECK(!table_.Refuses("s", "v1", false));
  CHECK(!table_.Refuses("s", "v2", true));
  CHECK(table_.Refuses("s", "v2", false));
  CHECK(table_.Refuses("s", "v3", false));
}

TEST(rollout_table, ended_onlyTheVersionThatStaysGetsRequests) {
  table_.Merge(now_, Decision(1, 100));
  table_.Merge(now_, StateOf(RolloutPhase::kStopped, 5));
  CHECK(Allowed(0) == old_);
  CHECK(table_.Refuses("s", "v2", true));
  table_.Merge(now_, StateOf(RolloutPhase::kRolledBack, 6));
  CHECK(Allowed(0) == old_);
  CHECK(table_.Refuses("s", "v2", true));

  table_.Merge(now_, StateOf(RolloutPhase::kRunning, 7, "v3"));
  STRCMP_EQUAL("v1", table_.Find("s")->state.from_version.c_str());
  table_.Merge(now_, StateOf(RolloutPhase::kSucceeded, 8, "v3"));
  CHECK(Allowed(0) == std::set<MemberId>{9});
  CHECK(table_.Refuses("s", "v1", true));
  CHECK(!table_.Refuses("s", "v3", false));
}

TEST(rollout_table, entryRemoved_versionsHaveNoEffectAgain) {
  table_.SetKnown();
  table_.Merge(now_, StateOf(RolloutPhase::kRolledBack, 6));
  RolloutState removed;
  removed.service = "s";
  removed.revision = 9;
  removed.phase = RolloutPhase::kRemoved;
  CHECK(table_.Merge(now_, removed) == RolloutTable::Change::kOrder);
  LONGS_EQUAL(9, Allowed(0).size());
  // A late message does not bring the order back; a new order does.
  table_.Merge(now_, StateOf(RolloutPhase::kRolledBack, 6));
  LONGS_EQUAL(9, Allowed(0).size());
  table_.Merge(now_, StateOf(RolloutPhase::kRunning, 12));
  CHECK(Allowed(0) == old_);
}

/// Whatever the order of messages, all daemons end with the same state.
TEST(rollout_table, messagesInAnyOrder_phaseOnlyGoesForward) {
  std::vector<RolloutState> updates = {Decision(3, 10), Decision(9, 80),
                                       StateOf(RolloutPhase::kStopped, 5),
                                       StateOf(RolloutPhase::kRolledBack, 8)};
  std::vector<size_t> order = {0, 1, 2, 3};
  do {
    RolloutTable table;
    int rank = 0;
    for (size_t i : order) {
      table.Merge(now_, updates[i]);
      RolloutPhase phase = table.Find("s")->state.phase;
      int next = phase == RolloutPhase::kRunning   ? 0
                 : phase == RolloutPhase::kStopped ? 1
                                                   : 2;
      CHECK(next >= rank);
      rank = next;
    }
    const RolloutState& state = table.Find("s")->state;
    CHECK(state.phase == RolloutPhase::kRolledBack);
    LONGS_EQUAL(9, state.sequence);
    LONGS_EQUAL(8, state.revision);
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST(rollout_table, olderDecision_isIgnored) {
  table_.Merge(now_, Decision(9, 80));
  CHECK(table_.Merge(now_, Decision(8, 200)) == RolloutTable::Change::kNone);
  LONGS_EQUAL(80, table_.Find("s")->state.share_permille);
}

/// A store that comes back from an older copy tells of an order as running that
/// has ended.
TEST(rollout_table, storeRestored_endOfTheOrderIsKept) {
  table_.Merge(now_, StateOf(RolloutPhase::kRolledBack, 8));
  RolloutState restored = StateOf(RolloutPhase::kRunning, 6);
  restored.generation = 2;
  table_.Merge(now_, restored);
  CHECK(Phase() == RolloutPhase::kRolledBack);
  LONGS_EQUAL(6, table_.Find("s")->state.revision);
}

TEST(rollout_table, ageTravelsWithTheState) {
  table_.Merge(now_, Decision(1, 10));
  RolloutTable other;
  std::vector<RolloutState> states = table_.States(now_ + 7000);
  LONGS_EQUAL(7000, states[0].age_ms);
  other.Merge(TimeMs(500), states[0]);
  LONGS_EQUAL(500 - 7000, other.Find("s")->started.Value());
}

TEST_GROUP(rollout_codec){};

TEST(rollout_codec, evidenceAndStates_areReadAsWritten) {
  RolloutEvidence evidence;
  evidence.reporter = 5;
  evidence.service = "s";
  evidence.to_version = "v2";
  evidence.version = "v1";
  RouteEvidence& route = evidence.routes["read"];
  route.answers = 12;
  route.failures = 3;
  route.run_times[0] = 1;
  route.run_times[kRunTimeBuckets - 1] = 8;
  Result<PeerMessage> read = DecodePeerMessage(EncodePeerMessage(evidence));
  CHECK(ErrorOf(read) == nullptr);
  const auto& got = std::get<RolloutEvidence>(*ValueOf(read));
  LONGS_EQUAL(5, got.reporter);
  STRCMP_EQUAL("v1", got.version.c_str());
  LONGS_EQUAL(12, got.routes.at("read").answers);
  LONGS_EQUAL(8, got.routes.at("read").run_times[kRunTimeBuckets - 1]);

  Datagram datagram;
  datagram.from = 1;
  datagram.rollouts = std::vector<RolloutState>{Decision(4, 80, 3)};
  datagram.rollouts->front().age_ms = 1234;
  Result<Datagram> decoded =
      DecodeDatagram(EncodeDatagram(datagram, "secret"), "secret");
  CHECK(ErrorOf(decoded) == nullptr);
  const RolloutState& state = ValueOf(decoded)->rollouts->front();
  LONGS_EQUAL(80, state.share_permille);
  LONGS_EQUAL(3, state.trial_servers);
  LONGS_EQUAL(1234, state.age_ms);
  STRCMP_EQUAL("v1", state.from_version.c_str());
}

/// Daemons of the earlier release reject a record or datagram with a field that
/// they don't know.
TEST(rollout_codec, withoutRollouts_messagesAreThoseOfTheEarlierRelease) {
  Datagram datagram;
  datagram.from = 1;
  datagram.members.push_back(NewMember(7, "z1", "10.0.0.1:1", "10.0.0.1:1"));
  size_t plain = EncodeDatagram(datagram, "secret").size();
  datagram.members.front().version = "v1";
  std::string with_version = EncodeDatagram(datagram, "secret");
  CHECK(with_version.size() > plain);
  Result<Datagram> decoded = DecodeDatagram(with_version, "secret");
  STRCMP_EQUAL("v1", ValueOf(decoded)->members.front().version.c_str());
  CHECK(!ValueOf(decoded)->rollouts.has_value());
  datagram.members.front().version.clear();
  LONGS_EQUAL(plain, EncodeDatagram(datagram, "secret").size());
}

TEST_GROUP(rollout_store) {
  /// Values are `SERVICE VERSION`, statuses `PHASE VERSION`.
  class Reader final : public ConfigurationReader {
   public:
    Result<RouteConfiguration> ReadConfiguration(
        const std::string&) const override {
      return Error{ErrorKind::kInvalidConfiguration, "not used"};
    }
    Result<RolloutOrder> ReadRollout(
        const PlatformObject& object) const override {
      if (object.value == "malformed")
        return Error{ErrorKind::kInvalidConfiguration, "malformed"};
      RolloutOrder order;
      order.service = "s";
      order.to_version = object.value;
      order.duration_ms = 60000;
      if (object.status.empty()) return order;
      size_t space = object.status.find(' ');
      order.status_version = object.status.substr(space + 1);
      std::string phase = object.status.substr(0, space);
      if (phase == "succeeded") order.status = RolloutPhase::kSucceeded;
      if (phase == "rolled_back") order.status = RolloutPhase::kRolledBack;
      return order;
    }
    std::string WriteRolloutStatus(RolloutPhase phase,
                                   const std::string& version) const override {
      return std::string(NameOf(phase)) + " " + version;
    }
  };
  /// A member with its own view of the store.
  struct Member {
    explicit Member(uint64_t seed, const Reader* reader)
        : store(RolloutStoreSettings(), seed, TimeMs(0), reader) {}
    RolloutStore store;
    uint64_t next_id = 1;
    std::vector<RolloutState> states;
    std::vector<RolloutStatus> wanted;
    uint64_t reads = 0;
    uint64_t writes = 0;
    bool loses_answers = false;
    bool unreachable = false;

    void Reply(MemoryPlatform* platform, TimeMs now, PlatformCall call,
               bool lost) {
      PlatformReply reply;
      call.watch_after.reset();
      reply = platform->Do(call);
      if (call.type == PlatformCall::Type::kList)
        reply.revision = platform->LastRevision();
      reply.id = call.id;
      if (lost) return;
      for (RolloutState& state : store.OnReply(now, reply, {}))
        states.push_back(std::move(state));
    }
    /// Watches end at once, without waiting for a change.
    void Step(MemoryPlatform* platform, TimeMs now) {
      if (auto write = store.TickWrite(now, wanted)) {
        ++writes;
        write->id = next_id++;
        store.OnWriteSent(write->id);
        if (!unreachable) Reply(platform, now, *write, loses_answers);
      }
      if (auto read = store.TickRead(now, true, true)) {
        ++reads;
        read->id = next_id++;
        store.OnReadSent(read->id);
        if (!unreachable) Reply(platform, now, *read, false);
      }
    }
  };

  Reader reader_;
  MemoryPlatform platform_;
  Member a_{1, &reader_};
  Member b_{2, &reader_};
  TimeMs now_;

  void Order(const std::string& version) {
    PlatformCall write;
    write.type = PlatformCall::Type::kWrite;
    write.key = "rollouts/s";
    write.value = version;
    platform_.Do(write);
  }
  std::string Status() {
    PlatformCall read;
    read.key = "rollouts/s";
    return platform_.Do(read).objects.front().status;
  }
  void Run(int64_t ms, std::vector<Member*> members) {
    for (int64_t passed = 0; passed < ms; passed += 50) {
      now_ = now_ + 50;
      for (Member* member : members) member->Step(&platform_, now_);
    }
  }
  static RolloutStatus Wants(RolloutPhase phase, const char* version = "v2") {
    return RolloutStatus{"s", version, phase, 0, 0};
  }
};

/// Both members have read the same revision and want different ends.
TEST(rollout_store, twoDecidersWriteAtTheSameTime_oneWinsAndTheOtherFollows) {
  Order("v2");
  Run(200, {&a_, &b_});
  a_.wanted = {Wants(RolloutPhase::kSucceeded)};
  b_.wanted = {Wants(RolloutPhase::kRolledBack)};
  auto write_a = a_.store.TickWrite(now_, a_.wanted);
  auto write_b = b_.store.TickWrite(now_, b_.wanted);
  CHECK(write_a && write_b);
  write_a->id = 100;
  write_b->id = 100;
  a_.store.OnWriteSent(100);
  b_.store.OnWriteSent(100);
  a_.Reply(&platform_, now_, *write_a, false);
  b_.Reply(&platform_, now_, *write_b, false);
  Run(5000, {&a_, &b_});
  STRCMP_EQUAL("succeeded v2", Status().c_str());
  CHECK(a_.states.back().phase == RolloutPhase::kSucceeded);
  CHECK(b_.states.back().phase == RolloutPhase::kSucceeded);
  LONGS_EQUAL(0, b_.writes);
}

TEST(rollout_store, answerOfTheWriteLost_isReadBackAndNotWrittenAgain) {
  Order("v2");
  Run(200, {&a_});
  a_.loses_answers = true;
  a_.wanted = {Wants(RolloutPhase::kRolledBack)};
  Run(5000, {&a_});
  STRCMP_EQUAL("rolled_back v2", Status().c_str());
  CHECK(a_.states.back().phase == RolloutPhase::kRolledBack);
  LONGS_EQUAL(1, a_.writes);
}

TEST(rollout_store, endIsNeverReplaced) {
  Order("v2");
  Run(200, {&a_});
  a_.wanted = {Wants(RolloutPhase::kRolledBack)};
  Run(500, {&a_});
  a_.wanted = {Wants(RolloutPhase::kSucceeded)};
  Run(2000, {&a_});
  a_.wanted = {Wants(RolloutPhase::kRunning)};
  Run(2000, {&a_});
  STRCMP_EQUAL("rolled_back v2", Status().c_str());
}

TEST(rollout_store, statusOfAnEarlierOrder_doesNotCountForTheNextOne) {
  Order("v2");
  Run(200, {&a_});
  a_.wanted = {Wants(RolloutPhase::kSucceeded)};
  Run(500, {&a_});
  Order("v3");
  a_.wanted = {Wants(RolloutPhase::kRunning, "v3")};
  Run(500, {&a_});
  CHECK(a_.states.back().phase == RolloutPhase::kRunning);
  STRCMP_EQUAL("running v3", Status().c_str());
}

TEST(rollout_store, storeCut_callsBackOffAndMemberIsOutOfTouch) {
  Order("v2");
  Run(200, {&a_});
  CHECK(a_.store.InTouch(now_));
  a_.unreachable = true;
  a_.reads = 0;
  a_.wanted = {Wants(RolloutPhase::kSucceeded)};
  Run(60000, {&a_});
  CHECK(!a_.store.InTouch(now_));
  CHECK(a_.reads < 60);
  a_.unreachable = false;
  Run(5000, {&a_});
  STRCMP_EQUAL("succeeded v2", Status().c_str());
}

TEST(rollout_store, historyLost_isListedAnew) {
  Order("v2");
  std::optional<PlatformCall> read = a_.store.TickRead(now_, true, true);
  a_.store.OnReadSent(1);
  read->id = 1;
  a_.Reply(&platform_, now_, *read, false);
  read = a_.store.TickRead(now_, true, true);
  CHECK(read && read->watch_after && read->wait_ms > 0);
  a_.store.OnReadSent(2);
  PlatformReply gone;
  gone.id = 2;
  gone.error = Error{ErrorKind::kHistoryLost, "history dropped"};
  a_.store.OnReply(now_, gone, {});
  read = a_.store.TickRead(now_, true, true);
  CHECK(read && !read->watch_after);
}

TEST(rollout_store, malformedOrder_isSkipped) {
  Order("malformed");
  Run(500, {&a_});
  CHECK(a_.states.empty());
  CHECK(a_.store.Counts().Get("rollout_orders_malformed_total") > 0);
}

/// Daemons, backend servers and a store, without a network. The new servers
/// start beside the old ones shortly after the order.
TEST_GROUP(rollout_fleet) {
  static constexpr const char* kService = "catalogue";
  static constexpr int64_t kDurationMs = 40000;

  MeshFleetSettings settings_ = [] {
    MeshFleetSettings settings;
    settings.zones = 3;
    settings.node.rollouts.enabled = true;
    return settings;
  }();
  MeshFleet fleet_{settings_};
  size_t old_servers_ = 9;
  uint64_t sent_ = 0;
  std::vector<std::string> logs_;

  void StartOld() {
    fleet_.on_log = [this](TimeMs now, size_t index, const LogRecord& record) {
      if (record.event.rfind("rollout", 0) != 0) return;
      std::string line = std::to_string(now.Value()) + " " +
                         std::to_string(index) + " " + record.event;
      for (const auto& [name, value] : record.fields)
        line += " " + name + "=" + value;
      logs_.push_back(std::move(line));
    };
    for (size_t i = 0; i < old_servers_; ++i) fleet_.Start(kService, "v1");
    fleet_.Advance(5000);
  }
  void StartNew() {
    for (size_t i = 0; i < old_servers_; ++i) fleet_.Start(kService, "v2");
  }
  /// Sends 100 requests a second to the daemons that run.
  void Load(int64_t ms) {
    for (int64_t passed = 0; passed < ms; passed += 10) {
      size_t index = sent_ % fleet_.Size();
      if (fleet_.Alive(index))
        fleet_.Request(index, "/catalogue/read/" + std::to_string(sent_), 2500);
      ++sent_;
      fleet_.Advance(10);
    }
  }
  uint64_t RunsAt(const std::string& version, TimeMs from) {
    uint64_t count = 0;
    for (const MeshFleet::Run& run : fleet_.Runs())
      count += run.at >= from && fleet_.VersionOf(run.index) == version ? 1 : 0;
    return count;
  }
  std::string Logs() {
    std::string text;
    for (const std::string& line : logs_) text += line + "\n";
    return text;
  }
  /// Time of the first log line of this event that contains `field`.
  std::optional<TimeMs> LoggedAt(const std::string& event,
                                 const std::string& field) {
    for (const std::string& line : logs_) {
      bool found = line.find(" " + event + " ") != std::string::npos &&
                   line.find(field) != std::string::npos;
      if (found) return TimeMs(std::stoll(line));
    }
    return std::nullopt;
  }
  void CheckStatus(const char* status) {
    std::string text = fleet_.RolloutStatusOf(kService) + "\n" + Logs();
    CHECK_TEXT(fleet_.RolloutStatusOf(kService) == status, text.c_str());
  }
  /// The instance whose daemon decides; none before the first decision.
  std::optional<size_t> Decider() {
    for (size_t i = 0; i < fleet_.Size(); ++i) {
      if (!fleet_.Alive(i)) continue;
      const auto* entry = fleet_.NodeAt(i).Rollouts().Table().Find(kService);
      if (entry != nullptr &&
          entry->state.decider == fleet_.NodeAt(i).Members().Self().id)
        return i;
    }
    return std::nullopt;
  }
};

TEST(rollout_fleet, goodVersion_succeedsAndOldServersGetNothingMore) {
  StartOld();
  TimeMs ordered = fleet_.Now();
  fleet_.OrderRollout(kService, "v2", kDurationMs);
  StartNew();
  Load(kDurationMs);
  CheckStatus("succeeded v2");
  uint64_t tried = RunsAt("v2", ordered);
  CHECK(tried > 20);
  // The old servers stop without draining: their requests must have ended.
  std::optional<TimeMs> ended = LoggedAt("rollout_phase", "phase=succeeded");
  CHECK(ended.has_value());
  CHECK_TEXT(RunsAt("v1", *ended + -300) == 0, Logs().c_str());
  Load(1000);
  TimeMs after = fleet_.Now();
  Load(3000);
  LONGS_EQUAL(0, RunsAt("v1", after));
  CHECK(RunsAt("v2", after) > 250);
  for (const auto& [request, answered] : fleet_.Answers())
    CHECK_TEXT(!answered.answer.error, Logs().c_str());
}

TEST(rollout_fleet, badVersion_isRolledBackWithinItsExposure) {
  fleet_.fails = [this](size_t index, const std::string&) {
    return fleet_.VersionOf(index) == "v2";
  };
  StartOld();
  TimeMs ordered = fleet_.Now();
  fleet_.OrderRollout(kService, "v2", kDurationMs);
  StartNew();
  Load(kDurationMs);
  CheckStatus("rolled_back v2");
  CHECK_TEXT(RunsAt("v2", ordered) <= 50, Logs().c_str());
  CHECK(RunsAt("v2", ordered) > 0);
  LONGS_EQUAL(0, RunsAt("v2", ordered + kDurationMs / 2));
}

TEST(rollout_fleet, deciderKilled_anotherOneFinishes) {
  StartOld();
  fleet_.OrderRollout(kService, "v2", kDurationMs);
  StartNew();
  Load(10000);
  std::optional<size_t> decider = Decider();
  CHECK(decider.has_value());
  fleet_.Kill(*decider);
  Load(kDurationMs - 10000);
  CheckStatus("succeeded v2");
}

TEST(rollout_fleet, deciderKilledAndVersionTurnsBad_isRolledBack) {
  TimeMs bad_from(1000000);
  fleet_.fails = [&](size_t index, const std::string&) {
    return fleet_.VersionOf(index) == "v2" && fleet_.Now() > bad_from;
  };
  StartOld();
  fleet_.OrderRollout(kService, "v2", kDurationMs);
  StartNew();
  Load(10000);
  std::optional<size_t> decider = Decider();
  CHECK(decider.has_value());
  fleet_.Kill(*decider);
  bad_from = fleet_.Now();
  Load(kDurationMs - 10000);
  CheckStatus("rolled_back v2");
  CHECK_TEXT(RunsAt("v2", bad_from) < 150, Logs().c_str());
}

/// The deciding member loses the store but not its peers: another one decides.
TEST(rollout_fleet, deciderCutFromStore_anotherOneFinishes) {
  StartOld();
  fleet_.OrderRollout(kService, "v2", kDurationMs);
  StartNew();
  Load(8000);
  std::optional<size_t> decider = Decider();
  CHECK(decider.has_value());
  fleet_.CutFromStore(*decider);
  Load(kDurationMs - 8000);
  CheckStatus("succeeded v2");
}

/// A bad version is stopped without the store, and the status written when it
/// is back.
TEST(rollout_fleet, storeAway_badVersionIsStoppedAndGoodOneNotFavored) {
  TimeMs bad_from(1000000);
  fleet_.fails = [&](size_t index, const std::string&) {
    return fleet_.VersionOf(index) == "v2" && fleet_.Now() > bad_from;
  };
  StartOld();
  fleet_.OrderRollout(kService, "v2", kDurationMs);
  StartNew();
  Load(8000);
  fleet_.SetStoreUnavailable(true);
  Load(5000);
  int share =
      fleet_.NodeAt(0).Rollouts().Table().Find(kService)->state.share_permille;
  Load(3000);
  CHECK(fleet_.NodeAt(0)
            .Rollouts()
            .Table()
            .Find(kService)
            ->state.share_permille <= share);
  bad_from = fleet_.Now();
  Load(8000);
  TimeMs stopped = fleet_.Now();
  Load(3000);
  LONGS_EQUAL(0, RunsAt("v2", stopped));
  STRCMP_EQUAL("running v2", fleet_.RolloutStatusOf(kService).c_str());
  fleet_.SetStoreUnavailable(false);
  Load(8000);
  CheckStatus("rolled_back v2");
}

TEST(rollout_fleet, answersOfStatusWritesLost_endsOnce) {
  StartOld();
  fleet_.LoseStatusAnswers(3);
  fleet_.OrderRollout(kService, "v2", kDurationMs);
  StartNew();
  Load(kDurationMs);
  CheckStatus("succeeded v2");
}

/// A zone without links to the others keeps its own deciding member; the status
/// in the store is one for all.
TEST(rollout_fleet, partitionedZone_twoDecidersAndOneStatus) {
  StartOld();
  fleet_.OrderRollout(kService, "v2", kDurationMs);
  StartNew();
  Load(5000);
  fleet_.Partition({"z0"}, false);
  Load(kDurationMs - 5000);
  std::string status = fleet_.RolloutStatusOf(kService);
  CHECK_TEXT(status == "succeeded v2" || status == "rolled_back v2",
             (status + "\n" + Logs()).c_str());
  fleet_.Partition({}, false);
  Load(10000);
  STRCMP_EQUAL(status.c_str(), fleet_.RolloutStatusOf(kService).c_str());
  const char* gone = status == "succeeded v2" ? "v1" : "v2";
  TimeMs after = fleet_.Now();
  Load(3000);
  CHECK_TEXT(RunsAt(gone, after) == 0, Logs().c_str());
}

TEST(rollout_fleet, daemonRestarts_learnsTheEndBeforeItSends) {
  fleet_.fails = [this](size_t index, const std::string&) {
    return fleet_.VersionOf(index) == "v2";
  };
  StartOld();
  fleet_.OrderRollout(kService, "v2", kDurationMs);
  StartNew();
  Load(kDurationMs);
  CheckStatus("rolled_back v2");
  TimeMs after = fleet_.Now();
  fleet_.Kill(2);
  fleet_.Restart(2);
  Load(5000);
  CHECK_TEXT(RunsAt("v2", after) == 0, Logs().c_str());
}

TEST(rollout_fleet, versionOfNoOrder_getsNothingWhileThereIsAnEntry) {
  StartOld();
  fleet_.OrderRollout(kService, "v2", kDurationMs);
  StartNew();
  for (int i = 0; i < 3; ++i) fleet_.Start(kService, "v3");
  Load(3000);
  TimeMs after = fleet_.Now();
  Load(3000);
  LONGS_EQUAL(0, RunsAt("v3", after));
}

TEST(rollout_fleet, noOrder_versionsPlayNoPart) {
  StartOld();
  StartNew();
  Load(2000);
  TimeMs after = fleet_.Now();
  Load(5000);
  CHECK(RunsAt("v2", after) > 100);
  CHECK(RunsAt("v1", after) > 100);
}

/// Without the contract nothing is read or sent, also if there is an entry.
TEST(rollout_fleet, notEnabled_entryHasNoEffect) {
  MeshFleetSettings settings;
  MeshFleet fleet(settings);
  for (int i = 0; i < 6; ++i) fleet.Start(kService, "v1");
  fleet.Advance(3000);
  fleet.OrderRollout(kService, "v2", kDurationMs);
  fleet.Advance(20000);
  STRCMP_EQUAL("", fleet.RolloutStatusOf(kService).c_str());
  CHECK(fleet.NodeAt(0).Members().Self().version.empty());
  CHECK(fleet.NodeAt(0).Rollouts().StoreCounts().All().empty());
  CHECK(!fleet.NodeAt(0).Rollouts().Spreads());
}
