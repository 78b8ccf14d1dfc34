#include "banyanloft/membership/membership.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>

#include "standins/node_fleet.h"

using namespace banyanloft;

/// Membership in a simulated fleet of nodes.
TEST_GROUP(membership) {
  NodeFleetSettings settings_;
  std::unique_ptr<NodeFleet> fleet_;

  void StartFleet(size_t count) {
    fleet_ = std::make_unique<NodeFleet>(settings_);
    fleet_->ApplyConfiguration(SampleConfiguration());
    for (size_t i = 0; i < count; ++i) fleet_->Start("shop");
    CHECK(fleet_->RunUntil([&] { return AllCountAlive(count); }, 30000));
  }
  bool AllCountAlive(size_t count) {
    for (size_t i = 0; i < fleet_->Size(); ++i) {
      if (fleet_->Alive(i) && fleet_->NodeAt(i).Members().AliveCount() != count)
        return false;
    }
    return true;
  }
  /// Whether every other live node that knows `subject` records this state and
  /// health.
  bool AllSee(MemberId subject, MemberState state, MemberHealth health) {
    for (size_t i = 0; i < fleet_->Size(); ++i) {
      if (!fleet_->Alive(i) || fleet_->Exited(i)) continue;
      const MemberRecord* record = fleet_->NodeAt(i).Members().Find(subject);
      if (record == nullptr ||
          record->id == fleet_->NodeAt(i).Members().Self().id)
        continue;
      if (record->state != state || record->health != health) return false;
    }
    return true;
  }
  MemberId IdOf(size_t index) {
    return fleet_->NodeAt(index).Members().Self().id;
  }
};

TEST(membership, startWithoutPeerList_allMembersDiscoverEachOther) {
  StartFleet(40);
}

TEST(membership, killedMember_isUnreachableEverywhereWithinSeconds) {
  StartFleet(40);
  MemberId id = IdOf(7);
  fleet_->Kill(7);
  CHECK(fleet_->RunUntil(
      [&] {
        return AllSee(id, MemberState::kReady, MemberHealth::kUnreachable);
      },
      8000));
}

TEST(membership, drainingMember_isKnownEverywhereWithinTwoSeconds) {
  StartFleet(40);
  MemberId id = IdOf(7);
  settings_.run_ms = 10000;
  fleet_->Call(7, [] {
    CallRequest request;
    request.name = "read";
    return request;
  }());
  fleet_->Drain(7);
  CHECK(fleet_->RunUntil(
      [&] {
        for (size_t i = 0; i < fleet_->Size(); ++i) {
          if (i == 7) continue;
          MemberState state = fleet_->NodeAt(i).Members().Find(id)->state;
          if (state != MemberState::kDraining && state != MemberState::kGone)
            return false;
        }
        return true;
      },
      2000));
}

TEST(membership, thirdOfFleetPaused_runningMembersAreNeverUnreachable) {
  StartFleet(45);
  std::set<MemberId> running;
  for (size_t i = 0; i < 45; ++i) {
    if (i % 3 == 0) {
      fleet_->Freeze(i);
    } else {
      running.insert(IdOf(i));
    }
  }
  bool false_positive = false;
  auto check = [&] {
    for (size_t i = 0; i < 45; ++i) {
      if (!fleet_->Alive(i)) continue;
      for (const auto& [id, record] : fleet_->NodeAt(i).Members().Others()) {
        if (running.count(id) != 0 &&
            record.health == MemberHealth::kUnreachable)
          false_positive = true;
      }
    }
    return false;
  };
  fleet_->RunUntil(check, 5000);
  for (size_t i = 0; i < 45; i += 3) fleet_->Thaw(i);
  fleet_->RunUntil(check, 15000);
  CHECK_FALSE(false_positive);
  CHECK(fleet_->RunUntil([&] { return AllCountAlive(45); }, 15000));
}

TEST(membership, zonePartitioned_bothSidesContinueAndMergeAgain) {
  StartFleet(40);
  fleet_->Partition({"zone-1"}, true);
  fleet_->Run(20000);
  for (size_t i = 0; i < 40; ++i) {
    size_t expected =
        fleet_->NodeAt(i).Members().Self().zone == "zone-1" ? 10 : 30;
    CHECK_EQUAL(expected, fleet_->NodeAt(i).Members().AliveCount());
    CHECK_EQUAL(39U, fleet_->NodeAt(i).Members().Others().size());
  }
  fleet_->Partition({}, false);
  CHECK(fleet_->RunUntil([&] { return AllCountAlive(40); }, 30000));
}

TEST(membership, memberThatLeftDuringPartition_isNotRevivedByMerge) {
  StartFleet(40);
  MemberId id = IdOf(2);
  fleet_->Partition({"zone-1"}, true);
  fleet_->Run(10000);
  fleet_->Drain(2);
  CHECK(fleet_->RunUntil([&] { return fleet_->Exited(2); }, 10000));
  fleet_->Partition({}, false);
  fleet_->Run(30000);
  for (size_t i = 0; i < 40; ++i) {
    if (i == 2) continue;
    const MemberRecord* record = fleet_->NodeAt(i).Members().Find(id);
    CHECK(record == nullptr || record->state == MemberState::kGone ||
          record->health == MemberHealth::kUnreachable);
  }
}

TEST(membership, newProcessAtSameAddress_marksPredecessorGone) {
  StartFleet(20);
  MemberId old = IdOf(4);
  fleet_->Kill(4);
  fleet_->Restart(4);
  CHECK(fleet_->RunUntil([&] { return AllCountAlive(20); }, 10000));
  for (size_t i = 0; i < 20; ++i) {
    const MemberRecord* record = fleet_->NodeAt(i).Members().Find(old);
    bool dead = record == nullptr || record->state == MemberState::kGone ||
                record->health == MemberHealth::kUnreachable;
    CHECK(dead);
  }
}

TEST(membership, tenPercentDatagramLoss_noMemberIsUnreachable) {
  settings_.loss_permille = 100;
  StartFleet(40);
  bool false_positive = false;
  fleet_->RunUntil(
      [&] {
        for (size_t i = 0; i < 40; ++i) {
          if (fleet_->NodeAt(i).Members().AliveCount() != 40)
            false_positive = true;
        }
        return false;
      },
      60000);
  CHECK_FALSE(false_positive);
}

TEST(membership, wholeFleetRestarts_allMembersDiscoverEachOther) {
  StartFleet(40);
  for (size_t i = 0; i < 40; ++i) fleet_->Kill(i);
  for (size_t i = 0; i < 40; ++i) fleet_->Restart(i);
  CHECK(fleet_->RunUntil([&] { return AllCountAlive(40); }, 30000));
}

/// Merging records is commutative and idempotent.
TEST(membership, recordsInAnyOrder_giveSameTable) {
  bool holds = rc::check([] {
    auto numbers = *rc::gen::container<std::vector<int>>(
        rc::gen::inRange(0, 3 * 4 * 4 * 3));
    std::vector<MemberRecord> records;
    for (int n : numbers) {
      MemberRecord record;
      record.id = 100 + static_cast<MemberId>(n % 3);
      record.gossip = "10.0.0.1:" + std::to_string(n % 3);
      record.link = record.gossip;
      record.incarnation = static_cast<uint32_t>(n / 3 % 4);
      record.state = static_cast<MemberState>(n / 12 % 4);
      record.health = static_cast<MemberHealth>(n / 48 % 3);
      records.push_back(record);
    }
    // A member announces one state per incarnation.
    for (MemberRecord& record : records) {
      record.state = static_cast<MemberState>(record.incarnation);
    }
    auto table_of = [](const std::vector<MemberRecord>& list) {
      std::map<MemberId, MemberRecord> table;
      for (const MemberRecord& record : list) {
        auto [it, fresh] = table.emplace(record.id, record);
        if (!fresh && Supersedes(record, it->second)) it->second = record;
      }
      std::vector<std::tuple<MemberId, uint32_t, MemberState, MemberHealth>>
          flat;
      for (const auto& [id, r] : table) {
        // Other fields of a member that left are not compared.
        bool gone = r.state == MemberState::kGone;
        flat.emplace_back(id, gone ? 0 : r.incarnation, r.state,
                          gone ? MemberHealth::kAlive : r.health);
      }
      return flat;
    };
    std::vector<MemberRecord> reversed(records.rbegin(), records.rend());
    std::vector<MemberRecord> twice = records;
    twice.insert(twice.end(), reversed.begin(), reversed.end());
    RC_ASSERT(table_of(records) == table_of(reversed));
    RC_ASSERT(table_of(records) == table_of(twice));
  });
  CHECK(holds);
}

/// Traffic between zones is dear: an update must be repeated often enough to
/// reach the fleet, but only a few times across zones by each member.
TEST(membership, update_isMostlySentWithinTheZone) {
  constexpr size_t kMembers = 60;
  constexpr size_t kZones = 3;
  auto record_of = [](size_t i) {
    return NewMember(i + 1, "z" + std::to_string(i % kZones),
                     "10.0.0." + std::to_string(i) + ":1",
                     "10.0.0." + std::to_string(i) + ":2");
  };
  Membership membership(MembershipSettings(), record_of(0), 3, TimeMs(0),
                        nullptr);
  std::map<std::string, std::string> zones;
  Datagram known;
  known.from = 2;
  known.type = DatagramType::kUpdates;
  for (size_t i = 1; i < kMembers; ++i) {
    known.members.push_back(record_of(i));
    zones[record_of(i).gossip] = record_of(i).zone;
  }
  std::vector<DatagramOut> out;
  membership.OnDatagram(TimeMs(0), known, &out);
  TimeMs now(0);
  for (; now < TimeMs(20000); now = now + 50) membership.Tick(now, &out);
  out.clear();
  membership.Announce(now, MemberState::kDraining, "s", 4);
  size_t same_zone = 0;
  size_t other_zone = 0;
  for (TimeMs end = now + 5000; now < end; now = now + 50) {
    out.clear();
    membership.Tick(now, &out);
    for (const DatagramOut& sent : out) {
      if (sent.datagram.type != DatagramType::kUpdates) continue;
      for (const MemberRecord& record : sent.datagram.members) {
        if (record.id != 1) continue;
        ++(zones[sent.to] == "z0" ? same_zone : other_zone);
      }
    }
  }
  CHECK(same_zone + other_zone >= 6);  // log2 of the members.
  CHECK(other_zone <= 6);
}
