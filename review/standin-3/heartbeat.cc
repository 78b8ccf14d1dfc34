// A heartbeat of another writer arrives at a daemon: fields are missing, and
// the service is another one. Later the backend server says that it drains, and
// leaves. Returns 1 if the server runs requests for the other service, as the
// rule ROUTE forbids, or gets requests as the rule DRAIN forbids, 0 if not, and
// 2 if the case could not run.
//
//   heartbeat COMMAND DIRECTORY RECORD TROUBLE

#include <fmt/format.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "review/standin-3/fleet.h"
#include "review/standin-3/ledger.h"

namespace {

using banyanloft::MeshBackend;

constexpr int64_t kDrainMs = 2000;  ///< `drain_s`.
/// Time for which the backend server serves after the acknowledgement: "a
/// little longer (at times many seconds)".
constexpr int64_t kServesMs = 6000;
constexpr int64_t kBeforeHeartbeatMs = 5000;
constexpr int64_t kBeforeDrainMs = 5000;
constexpr int64_t kAfterEndMs = 3000;
constexpr int kClients = 12;

/// The heartbeat of another writer: `zone`, `version` and `cold_remaining_s`
/// are missing.
int SendForeignHeartbeat(const review::Fleet& fleet, size_t machine) {
  review::ClientRequest beat;
  beat.port = fleet.ControlPort(machine);
  beat.method = "PUT";
  beat.target = "/-/instances/i-" + fleet.At(machine).name;
  beat.id = "another-writer";
  beat.body = fmt::format(
      R"({{"service":"catalogue","address":"127.0.0.1:{}","slots":18,)"
      R"("state":"ready","sequence":1,"born":{}}})",
      fleet.BackendPort(machine), review::UnixMs());
  return review::SendRequest(beat);
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kArguments = 5;
  constexpr uint16_t kPorts = 200;
  if (argc != kArguments) return 2;
  bool trouble = std::string(argv[4]) != "0";
  review::FleetSettings settings;
  settings.command = argv[1];
  settings.directory = argv[2];
  settings.machines_per_zone = 3;
  settings.base_port = review::FreePorts(kPorts);
  if (settings.base_port == 0) return 2;
  review::Record record(argv[3]);
  review::Fleet fleet(settings, &record);
  review::Ledger ledger;
  std::atomic<int64_t> acknowledged_ms{0};
  std::atomic<int> late{0};
  std::atomic<int> misrouted{0};
  fleet.on_run = [&](const MeshBackend& backend, const std::string& id,
                     const banyanloft::HttpRequest& request) {
    ledger.OnRun(id);
    bool lookup = request.target.rfind(review::kLookupPrefix, 0) == 0;
    const std::string& service = backend.Settings().service;
    if (service != (lookup ? "catalogue" : "pledges")) {
      ++misrouted;
      record.Line(fmt::format("{} of the service {} runs {} {}",
                              backend.Settings().id, service, request.method,
                              request.target));
    }
    if (acknowledged_ms == 0 || !backend.Draining()) return;
    int64_t after_ms = review::NowMs() - acknowledged_ms;
    if (after_ms <= kDrainMs) return;
    ++late;
    record.Line(fmt::format("{} runs {} {} ms after the acknowledgement",
                            backend.Settings().id, id, after_ms));
  };
  if (!fleet.Start()) {
    record.Line("the fleet did not start");
    return 2;
  }
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back(
        [&, i] { review::SendUntilStopped(fleet, i, &ledger, &stop); });
  review::SleepMs(kBeforeHeartbeatMs);
  size_t machine = fleet.MachinesOf("zone-0", "pledges").front();
  if (trouble) {
    int status = SendForeignHeartbeat(fleet, machine);
    record.Line(
        fmt::format("a heartbeat of another writer arrives at {}: "
                    "status {}",
                    fleet.At(machine).name, status));
  }
  review::SleepMs(kBeforeDrainMs);
  record.Line(fleet.At(machine).name + ": the server says that it drains");
  fleet.WithBackend(machine, [](MeshBackend* server) { server->Drain(); });
  bool acknowledged = false;
  for (int i = 0; i < 100 && !acknowledged; ++i) {
    review::SleepMs(20);
    fleet.WithBackend(machine, [&](MeshBackend* server) {
      acknowledged = server->DrainAcknowledged();
    });
  }
  record.Line(acknowledged ? "the drain is acknowledged"
                           : "the drain is not acknowledged");
  if (acknowledged) acknowledged_ms = review::NowMs();
  review::SleepMs(kServesMs);
  int lost_before = ledger.Lost();
  record.Line("the server deregisters and ends");
  fleet.WithBackend(machine, [](MeshBackend* server) { server->Deregister(); });
  review::SleepMs(100);
  fleet.EndBackend(machine);
  review::SleepMs(kAfterEndMs);
  stop = true;
  for (std::thread& client : clients) client.join();
  record.Line(ledger.Summary());
  record.Line(fmt::format("{} requests that ran were lost as the server ended",
                          ledger.Lost() - lost_before));
  if (!acknowledged) return 2;
  bool broken = misrouted + late > 0;
  std::string verdict = fmt::format(
      "{}: {} requests ran at a service that no configuration allows; {} "
      "requests ran over {} ms after the acknowledged drain",
      broken ? "BROKEN" : "held", misrouted.load(), late.load(), kDrainMs);
  record.Line(verdict);
  fmt::print("{}\n", verdict);
  return broken ? 1 : 0;
}
