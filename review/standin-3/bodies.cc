// Clients send legal request bodies of about 60 MB from several machines at
// once. Returns 1 if processes end by their memory as the rule Fault counts it,
// 0 if they do not, and 2 if the case could not run.
//
//   bodies CASE COMMAND DIRECTORY RECORD TROUBLE
//
// CASE: `long-head`, bodies at the same time behind heads of the largest size;
// `short-head`, the same with ordinary heads; `late`, one body after the other,
// whose requests time out before they have crossed the link.

#include <fmt/format.h>

#include <atomic>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "review/standin-3/fleet.h"

namespace {

constexpr size_t kOrdinaryBytes = 1200;
constexpr int64_t kOrdinaryDeadlineMs = 2000;
constexpr int64_t kSettleMs = 3000;
/// The rule: processes end three times on a tenth of the machines, two at
/// least.
constexpr int kEndsOfRule = 3;
constexpr int kMachinesOfRule = 2;

struct Case {
  int machines_per_zone = 6;
  size_t body_bytes = 60 * 1000 * 1000;
  int64_t deadline_ms = 2000;
  int64_t pause_ms = 0;  ///< Between the bodies of a zone.
  bool long_head = false;
  int rounds = 4;
  int64_t round_ms = 9000;
};

bool FindCase(const std::string& name, Case* found) {
  if (name == "long-head") {
    found->long_head = true;
    return true;
  }
  if (name == "late") {
    found->machines_per_zone = 10;
    found->body_bytes = 66 * 1000 * 1000;
    found->deadline_ms = 90;
    found->pause_ms = 100;
    found->rounds = 5;
    found->round_ms = 12000;
    return true;
  }
  return name == "short-head";
}

/// Sends the requests of one play.
class Clients {
 public:
  Clients(const Case& play, bool trouble, const review::Fleet* fleet,
          review::Record* record)
      : play_(play), trouble_(trouble), fleet_(fleet), record_(record) {}

  /// One long body through each machine that does not run the service; without
  /// trouble, an ordinary one.
  void SendBodies() {
    std::vector<std::thread> clients;
    for (const char* zone : {"zone-0", "zone-1"}) {
      int64_t delay_ms = 0;
      for (size_t machine : fleet_->MachinesOf(zone, "catalogue")) {
        clients.emplace_back([this, machine, delay_ms] {
          review::SleepMs(delay_ms);
          Send(machine, trouble_);
        });
        delay_ms += play_.pause_ms;
      }
    }
    for (std::thread& client : clients) client.join();
  }
  /// One ordinary request through each machine.
  void SendOrdinary() {
    for (size_t i = 0; i < fleet_->Size(); ++i) Send(i, false);
  }

 private:
  void Send(size_t machine, bool long_body) {
    int number = ++last_id_;
    review::ClientRequest request;
    request.port = fleet_->OutboundPort(machine);
    request.method = "POST";
    request.id = fmt::format("7c3a10f2-4f1c-4a6e-9d53-{:012x}", number);
    request.target = fmt::format("/register/{}", number);
    request.deadline_ms = long_body ? play_.deadline_ms : kOrdinaryDeadlineMs;
    request.body_bytes = long_body ? play_.body_bytes : kOrdinaryBytes;
    request.fill_head = long_body && play_.long_head;
    int64_t began_ms = review::NowMs();
    int status = review::SendRequest(request);
    record_->Line(fmt::format(
        "{} sent {}, body {}: status {} after {} ms", fleet_->At(machine).name,
        request.id, request.body_bytes, status, review::NowMs() - began_ms));
  }

  Case play_;
  bool trouble_;
  const review::Fleet* fleet_;
  review::Record* record_;
  std::atomic<int> last_id_{0};
};

}  // namespace

int main(int argc, char** argv) {
  constexpr int kArguments = 6;
  constexpr uint16_t kPorts = 500;
  Case play;
  if (argc != kArguments || !FindCase(argv[1], &play)) return 2;
  bool trouble = std::string(argv[5]) != "0";
  review::FleetSettings settings;
  settings.command = argv[2];
  settings.directory = argv[3];
  settings.machines_per_zone = play.machines_per_zone;
  settings.base_port = review::FreePorts(kPorts);
  if (settings.base_port == 0) return 2;
  review::Record record(argv[4]);
  review::Fleet fleet(settings, &record);
  if (!fleet.Start()) {
    record.Line("the fleet did not start");
    return 2;
  }
  review::SleepMs(kSettleMs);
  Clients clients(play, trouble, &fleet, &record);
  for (int round = 1; round <= play.rounds; ++round) {
    int64_t end_ms = review::NowMs() + play.round_ms;
    record.Line(fmt::format("round {}", round));
    clients.SendBodies();
    clients.SendOrdinary();
    int64_t left_ms = end_ms - review::NowMs();
    if (left_ms > 0) review::SleepMs(left_ms);
  }
  fleet.ReportMemory();
  int machines = fleet.MachinesEnded(kEndsOfRule);
  bool broken = machines >= kMachinesOfRule;
  std::string verdict = fmt::format(
      "{}: processes ended {} times or more on {} of {} machines",
      broken ? "BROKEN" : "held", kEndsOfRule, machines, fleet.Size());
  record.Line(verdict);
  fmt::print("{}\n", verdict);
  return broken ? 1 : 0;
}
