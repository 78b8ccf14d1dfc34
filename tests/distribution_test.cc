#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "banyanloft/core/digest.h"
#include "banyanloft/distribution/distributor.h"
#include "standins/node_fleet.h"

using namespace banyanloft;

/// Distribution in a simulated fleet of nodes, and a Distributor in isolation.
TEST_GROUP(distribution) {
  NodeFleetSettings settings_;
  std::unique_ptr<NodeFleet> fleet_;

  void StartFleet(size_t count) {
    fleet_ = std::make_unique<NodeFleet>(settings_);
    fleet_->ApplyConfiguration(SampleConfiguration());
    for (size_t i = 0; i < count; ++i) fleet_->Start("shop");
    CHECK(AllActiveWithin(1, 20000));
    CHECK(fleet_->RunUntil([&] { return AllJoined(count); }, 30000));
  }
  bool AllJoined(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      if (fleet_->NodeAt(i).Members().AliveCount() != count) return false;
    }
    return true;
  }
  bool AllActiveWithin(uint64_t version, int64_t limit_ms) {
    return fleet_->RunUntil([&] { return fleet_->LowestVersion() >= version; },
                            limit_ms);
  }

  /// A Distributor that has adopted the sample as version `version`.
  static std::unique_ptr<Distributor> MakeDistributor(
      uint64_t version, int mark, Distributor::Actions* actions) {
    auto distributor = std::make_unique<Distributor>(DistributorSettings(),
                                                     "zone-0", 1, TimeMs(0));
    if (version > 0)
      distributor->OnPullReply(TimeMs(0), "peer", CompleteReply(version, mark),
                               actions);
    return distributor;
  }
  static PullReply CompleteReply(uint64_t version, int mark) {
    PullReply reply;
    reply.pieces = SplitIntoPieces(SampleConfiguration(mark));
    reply.entry.version = version;
    reply.entry.manifest_hash =
        ContentHash(ManifestToJson(ManifestOf(reply.pieces)));
    return reply;
  }
};

TEST(distribution, acceptedChange_isActiveEverywhereWithinFourSeconds) {
  StartFleet(60);
  uint64_t version = fleet_->ApplyConfiguration(SampleConfiguration(1));
  CHECK(AllActiveWithin(version, 4000));
  CHECK_FALSE(fleet_->VersionRegressed());
}

TEST(distribution, watchersKilled_otherDaemonsAdoptWithinFourSeconds) {
  StartFleet(60);
  for (size_t i = 0; i < 60; ++i) {
    for (MemberId id : fleet_->NodeAt(i).Members().FirstOfZone("zone-0", 2)) {
      for (size_t k = 0; k < 60; ++k) {
        if (fleet_->Alive(k) && fleet_->NodeAt(k).Members().Self().id == id &&
            k != i)
          fleet_->Kill(k);
      }
    }
    break;
  }
  uint64_t version = fleet_->ApplyConfiguration(SampleConfiguration(1));
  CHECK(AllActiveWithin(version, 4000));
}

TEST(distribution, platformDown_fleetKeepsVersionAndCatchesUpAfterwards) {
  StartFleet(30);
  fleet_->SetPlatformUnavailable(true);
  fleet_->Run(60000);
  CHECK_EQUAL(1U, fleet_->LowestVersion());
  uint64_t version = fleet_->ApplyConfiguration(SampleConfiguration(1));
  fleet_->SetPlatformUnavailable(false);
  CHECK(AllActiveWithin(version, 15000));
  CHECK_FALSE(fleet_->VersionRegressed());
}

TEST(distribution, platformDown_restartedDaemonPullsFromPeers) {
  settings_.node.peers = {"10.0.0.0:2", "10.0.0.1:2", "10.0.0.2:2"};
  StartFleet(30);
  fleet_->SetPlatformUnavailable(true);
  for (size_t i = 5; i < 20; ++i) {
    fleet_->Kill(i);
    fleet_->Restart(i);
  }
  CHECK(fleet_->RunUntil(
      [&] {
        for (size_t i = 0; i < 30; ++i) {
          if (!fleet_->NodeAt(i).Ready()) return false;
        }
        return true;
      },
      10000));
}

TEST(distribution, startingDaemon_isNotReadyBeforeItHasTheVersionOfItsZone) {
  StartFleet(20);
  fleet_->ApplyConfiguration(SampleConfiguration(1));
  CHECK(AllActiveWithin(2, 5000));
  fleet_->Kill(3);
  fleet_->Restart(3);
  for (int ms = 0; ms < 5000; ms += 10) {
    fleet_->Run(10);
    if (fleet_->NodeAt(3).Ready())
      CHECK_EQUAL(2U, fleet_->NodeAt(3).Configuration().Version());
  }
  CHECK(fleet_->NodeAt(3).Ready());
}

TEST(distribution,
     halfOfFleetRestartsDuringChanges_versionNeverDecreasesAndConverges) {
  StartFleet(40);
  uint64_t version = 1;
  for (int round = 1; round <= 5; ++round) {
    version = fleet_->ApplyConfiguration(SampleConfiguration(round));
    for (size_t i = 0; i < 40; i += 2) {
      fleet_->Kill(i);
      fleet_->Restart(i);
    }
    fleet_->Run(300);
  }
  CHECK(AllActiveWithin(version, 15000));
  CHECK_FALSE(fleet_->VersionRegressed());
}

TEST(distribution, zonePartitioned_keepsItsVersionAndCatchesUp) {
  StartFleet(40);
  fleet_->Partition({"zone-2"}, true);
  uint64_t version = fleet_->ApplyConfiguration(SampleConfiguration(1));
  fleet_->Run(8000);
  for (size_t i = 0; i < 40; ++i) {
    bool cut = fleet_->NodeAt(i).Members().Self().zone == "zone-2";
    CHECK_EQUAL(cut ? 1U : version,
                fleet_->NodeAt(i).Configuration().Version());
  }
  fleet_->Partition({}, false);
  CHECK(AllActiveWithin(version, 15000));
}

TEST(distribution, daemonPausedDuringChanges_catchesUpWhenResumed) {
  StartFleet(30);
  fleet_->Freeze(9);
  uint64_t version = 1;
  for (int round = 1; round <= 3; ++round) {
    version = fleet_->ApplyConfiguration(SampleConfiguration(round));
    fleet_->Run(20000);
  }
  fleet_->Thaw(9);
  CHECK(fleet_->RunUntil(
      [&] { return fleet_->NodeAt(9).Configuration().Version() == version; },
      6000));
  CHECK_FALSE(fleet_->VersionRegressed());
}

TEST(distribution, changeOfOneService_sendsOnlyItsPiece) {
  StartFleet(30);
  // Wait until start-up polls are over.
  fleet_->Run(20000);
  size_t replies = 0;
  size_t pieces = 0;
  fleet_->on_message = [&](size_t, const PeerMessage& message) {
    const auto* reply = std::get_if<PullReply>(&message);
    if (reply == nullptr || reply->entry.version == 0) return;
    ++replies;
    pieces += reply->pieces.size();
  };
  uint64_t version = fleet_->ApplyConfiguration(SampleConfiguration(1));
  CHECK(AllActiveWithin(version, 4000));
  CHECK(replies > 10);
  CHECK_EQUAL(replies, pieces);
}

TEST(distribution, platformCalls_atMostDoubleInAFourTimesLargerFleet) {
  uint64_t calls[2];
  size_t sizes[2] = {20, 80};
  for (int k = 0; k < 2; ++k) {
    StartFleet(sizes[k]);
    fleet_->Run(30000);
    uint64_t before = fleet_->PlatformCalls();
    fleet_->Run(60000);
    calls[k] = fleet_->PlatformCalls() - before;
  }
  CHECK(calls[1] <= calls[0] * 2);
}

TEST(distribution, olderVersion_isNeverAdopted) {
  Distributor::Actions actions;
  auto distributor = MakeDistributor(5, 5, &actions);
  actions.clear();
  distributor->OnPullReply(TimeMs(1), "peer", CompleteReply(4, 4), &actions);
  distributor->OnPullReply(TimeMs(1), "peer", CompleteReply(5, 4), &actions);
  CHECK_EQUAL(5U, distributor->Version());
  CHECK_EQUAL(0U, actions.size());
}

TEST(distribution, missingOrTamperedPiece_rejectsWholeVersion) {
  Distributor::Actions actions;
  auto distributor = MakeDistributor(1, 0, &actions);
  PullReply incomplete = CompleteReply(2, 1);
  incomplete.pieces.erase("service/shop");
  distributor->OnPullReply(TimeMs(1), "peer", incomplete, &actions);
  CHECK_EQUAL(1U, distributor->Version());
  PullReply tampered = CompleteReply(2, 1);
  tampered.pieces["service/shop"] += " ";
  distributor->OnPullReply(TimeMs(1), "peer", tampered, &actions);
  CHECK_EQUAL(1U, distributor->Version());
  CHECK_FALSE(distributor->LastRefusal().empty());
  distributor->OnPullReply(TimeMs(2), "other", CompleteReply(2, 1), &actions);
  CHECK_EQUAL(2U, distributor->Version());
  CHECK(distributor->LastRefusal().empty());
}

TEST(distribution, danglingRouteWithValidHashes_rejectsWholeVersion) {
  Configuration dangling = SampleConfiguration();
  dangling.ranks.pop_back();
  dangling.routes.at("read").rank = "batch";
  PullReply reply;
  reply.pieces = SplitIntoPieces(dangling);
  reply.entry.version = 2;
  reply.entry.manifest_hash =
      ContentHash(ManifestToJson(ManifestOf(reply.pieces)));
  Distributor::Actions actions;
  auto distributor = MakeDistributor(1, 0, &actions);
  distributor->OnPullReply(TimeMs(1), "peer", reply, &actions);
  CHECK_EQUAL(1U, distributor->Version());
}

TEST(distribution, differenceFromAnotherBase_isNotApplied) {
  Distributor::Actions actions;
  auto distributor = MakeDistributor(3, 3, &actions);
  PullReply reply = CompleteReply(5, 5);
  reply.base_version = 2;
  distributor->OnPullReply(TimeMs(1), "peer", reply, &actions);
  CHECK_EQUAL(3U, distributor->Version());
}

/// Random sequences of reordered, repeated, incomplete and tampered replies:
/// the actions of spec/adoption.pml, applied to the code.
TEST(distribution, randomReplies_versionNeverDecreasesNorIsPartial) {
  bool holds = rc::check([] {
    Distributor::Actions actions;
    auto distributor = MakeDistributor(0, 0, &actions);
    auto ops = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 24));
    uint64_t last = 0;
    for (int op : ops) {
      uint64_t version = 1 + static_cast<uint64_t>(op % 6);
      PullReply reply = CompleteReply(version, static_cast<int>(version));
      int flaw = op / 6;
      if (flaw == 1) reply.pieces.erase(reply.pieces.begin());
      if (flaw == 2) reply.pieces.begin()->second += "x";
      if (flaw == 3) reply.base_version = version - 1;
      distributor->OnPullReply(TimeMs(1), "peer", reply, &actions);
      RC_ASSERT(distributor->Version() >= last);
      last = distributor->Version();
      if (last == 0) continue;
      Pieces expected =
          SplitIntoPieces(SampleConfiguration(static_cast<int>(last)));
      RC_ASSERT(distributor->Current()->AllPieces() == expected);
    }
  });
  CHECK(holds);
}
