// A backend server leaves, daemons are killed at the moment of the
// acknowledgement and start again, and reports that the server sent before
// arrive late. Daemons run as processes on loopback.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "platform/wire_names.h"
#include "standins/mesh_configuration.h"
#include "tests/client_connection.h"
#include "tests/process_fleet.h"

using namespace banyanloft;

namespace {

namespace wire = banyanloft::platform;

constexpr int kLeaving = 0;  ///< Instance whose backend server leaves.
constexpr int64_t kFirstPort = 26200;
constexpr int64_t kStartupMs = 4500;
constexpr int64_t kReportDelayMs = 3000;
constexpr int64_t kReportsUnderWayMs = 1200;
constexpr int64_t kRestartMs = 500;
constexpr int64_t kServesOnMs = 8000;
constexpr int64_t kRequestPeriodMs = 25;
/// Time within which a server that starts again must be used, as users measured
/// it.
constexpr int64_t kUsedAgainMs = 1000;

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

}  // namespace

TEST_GROUP(leaving_server_processes) {
  class RunCounter final : public BackendObserver {
   public:
    void OnRequestStarted(const MeshBackend& backend, const std::string&,
                          const HttpRequest&) override {
      if (backend.Settings().id == fmt::format("i-{}", kLeaving)) ++runs;
    }
    std::atomic<int> runs{0};
  };

  ProcessFleetSettings settings_;
  RunCounter counter_;
  bool deregisters_ = true;
  bool all_daemons_restart_ = false;
  bool store_goes_down_ = false;

  void setup() override {
    settings_.first_port = kFirstPort;
    settings_.backend.names_leaving = false;
  }

  /// Looks something up at the daemon of another service, until told to stop.
  static void RunClient(uint16_t port, const std::atomic<bool>* stop) {
    ClientConnection connection;
    for (int number = 0; !*stop; ++number) {
      bool reuse = connection.IsOpen() && !connection.IsStale();
      if (!reuse && !connection.Open(port, false)) {
        SleepMs(kRequestPeriodMs);
        continue;
      }
      std::string id = fmt::format("r-{}-{}", port, number);
      bool sent = connection.Write(fmt::format(
          "GET /lookup/{0} HTTP/1.1\r\nHost: {1}\r\n{2}: {0}\r\n{3}: 2000\r\n"
          "\r\n",
          id, kMeshHost, wire::header::kRequestId, wire::header::kDeadlineMs));
      int status = 0;
      if (!sent || !connection.ReadResponse(0, &status) || connection.Closes())
        connection.Close();
      SleepMs(kRequestPeriodMs);
    }
  }

  void Leave(ProcessFleet * fleet) {
    fleet->Call(
        [&] { fleet->Backend(kLeaving).DelayHeartbeats(kReportDelayMs); });
    SleepMs(kReportsUnderWayMs);
    fleet->Call([&] {
      if (store_goes_down_) fleet->Store().SetFault(StoreFault::kUnavailable);
      MeshBackend& backend = fleet->Backend(kLeaving);
      deregisters_ ? backend.Deregister() : backend.ReportDrainingOnce();
    });
    bool acknowledged = false;
    while (!acknowledged) {
      SleepMs(2);
      fleet->Call(
          [&] { acknowledged = fleet->Backend(kLeaving).DrainAcknowledged(); });
    }
  }

  void CheckIsNotUsedUntilItStartsAgain() {
    ProcessFleet fleet(settings_, &counter_);
    CHECK(fleet.Start());
    SleepMs(kStartupMs);
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int i = 1; i < settings_.instances; ++i)
      clients.emplace_back(RunClient, fleet.Clients(i).port, &stop);
    SleepMs(1000);
    int before = counter_.runs;
    Leave(&fleet);
    int restarted = all_daemons_restart_ ? settings_.instances : 1;
    for (int i = 0; i < restarted; ++i) fleet.KillDaemon(i);
    SleepMs(kRestartMs);
    bool started = true;
    for (int i = 0; i < restarted; ++i)
      started = fleet.StartDaemon(i) && started;
    SleepMs(kServesOnMs);
    int late = 0;
    fleet.Call([&] { late = fleet.Backend(kLeaving).LateRequests(); });
    counter_.runs = 0;
    bool again = fleet.RestartBackend(kLeaving);
    SleepMs(kUsedAgainMs);
    int used_again = counter_.runs;
    stop = true;
    for (std::thread& client : clients) client.join();
    CHECK(before > 0);
    CHECK(started && again);
    LONGS_EQUAL(0, late);
    CHECK(used_again > 0);
  }
};

TEST(leaving_server_processes, deregisters_itsDaemonRestarts_isNotUsed) {
  CheckIsNotUsedUntilItStartsAgain();
}

TEST(leaving_server_processes, deregisters_allDaemonsRestart_isNotUsed) {
  all_daemons_restart_ = true;
  CheckIsNotUsedUntilItStartsAgain();
}

TEST(leaving_server_processes, deregisters_storeIsDown_isNotUsed) {
  store_goes_down_ = true;
  CheckIsNotUsedUntilItStartsAgain();
}

TEST(leaving_server_processes,
     reportsDrainingOnce_itsDaemonRestarts_isNotUsed) {
  deregisters_ = false;
  CheckIsNotUsedUntilItStartsAgain();
}
