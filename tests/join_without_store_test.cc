#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <memory>

#include "standins/mesh_fleet.h"

using namespace banyanloft;

namespace {

constexpr int64_t kStartupMs = 5000;
constexpr int64_t kRestartMs = 500;
/// Time within which a daemon that restarts must know the fleet, in ms. Bound
/// set by the specification of the platform.
constexpr int64_t kJoinMs = 3000;
/// Time within which a server that starts again must be used, in ms, as users
/// measured it.
constexpr int64_t kUsedAgainMs = 1000;
constexpr int64_t kRequestTimeoutMs = 1000;
constexpr int64_t kStepMs = 10;
constexpr const char* kCrashingTarget = "/catalogue/read/crash";

}  // namespace

/// Daemons restart while the store, which lists the members, is unavailable.
TEST_GROUP(join_without_store) {
  MeshFleetSettings settings_;
  std::unique_ptr<MeshFleet> fleet_;

  /// Starts instances of two services that alternate within each zone.
  void StartFleet(size_t instances) {
    fleet_ = std::make_unique<MeshFleet>(settings_);
    auto zones = static_cast<size_t>(settings_.zones);
    for (size_t i = 0; i < instances; ++i)
      fleet_->Start(i / zones % 2 == 0 ? "catalogue" : "pledges");
    fleet_->Advance(kStartupMs);
    fleet_->SetStoreUnavailable(true);
  }
  void Restart(const std::vector<size_t>& indices) {
    for (size_t i : indices) fleet_->Kill(i);
    fleet_->Advance(kRestartMs);
    for (size_t i : indices) fleet_->Restart(i);
    fleet_->Advance(kJoinMs);
  }
  bool Serves(size_t index, const std::string& service) {
    uint64_t request = fleet_->Request(
        index, fmt::format("/{}/read/{}", service, index), kRequestTimeoutMs);
    fleet_->Advance(kRequestTimeoutMs);
    auto found = fleet_->Answers().find(request);
    return found != fleet_->Answers().end() && !found->second.answer.error;
  }
  size_t MembersKnownTo(size_t index) {
    return fleet_->NodeAt(index).Members().AliveCount();
  }
};

/// Guards against a restarted daemon that knows no other daemon and refuses
/// all requests to other services.
TEST(join_without_store, daemonRestarts_itsClientsReachOtherServices) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    settings_.seed = seed;
    StartFleet(16);
    Restart({0});
    CHECK(Serves(0, "pledges"));
    LONGS_EQUAL(16, MembersKnownTo(0));
  }
}

TEST(join_without_store, zoneRestarts_itsClientsReachOtherServices) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    settings_.seed = seed;
    StartFleet(16);
    Restart({0, 4, 8, 12});
    for (size_t i : {0, 4, 8, 12}) {
      CHECK(Serves(i, "pledges"));
      LONGS_EQUAL(16, MembersKnownTo(i));
    }
  }
}

/// Guards against a daemon whose changes of state reach its peers only when
/// they happen to probe it.
TEST(join_without_store, serverRestartsLater_peersLearnOfItWithinASecond) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    settings_.seed = seed;
    StartFleet(8);
    fleet_->crashes_server = [](const std::string& target) {
      return target == kCrashingTarget;
    };
    Restart({0});
    fleet_->Request(0, kCrashingTarget, kRequestTimeoutMs);
    fleet_->Advance(settings_.crash_after_ms + settings_.down_ms / 2);
    const MemberRecord& self = fleet_->NodeAt(0).Members().Self();
    CHECK(self.state == MemberState::kWarming);
    for (int64_t ms = 0; ms < settings_.down_ms; ms += kStepMs) {
      if (self.state != MemberState::kReady) fleet_->Advance(kStepMs);
    }
    CHECK(self.state == MemberState::kReady);
    fleet_->Advance(kUsedAgainMs);
    for (size_t i = 1; i < fleet_->Size(); ++i) {
      const MemberRecord* member = fleet_->NodeAt(i).Members().Find(self.id);
      CHECK(member != nullptr);
      CHECK(member->state == MemberState::kReady);
    }
  }
}
