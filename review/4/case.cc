// A target deregisters; its daemon is killed right after the acknowledgement
// and started again; two heartbeats that the target sent before it left arrive
// late. Counts the requests that the target gets after `drain_s`.

#include <atomic>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/platform.h"

namespace {

using namespace review;

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNoRun = 2;

constexpr int64_t kTrafficAfterMs = 8000;  ///< Start of traffic.
constexpr int64_t kCalmMs = 6000;          ///< Traffic before the disruption.
constexpr int64_t kHeartbeatLateMs = 3000;
constexpr int64_t kRestartMs = 500;  ///< Delay of a killed process's restart.
/// The target serves on for this time after its leaving was acknowledged.
constexpr int64_t kServesOnMs = 14000;
constexpr int64_t kDrainMs = 2000;            ///< `drain_s`
constexpr int64_t kStabilityWindowMs = 3000;  ///< `stability_window_s`
constexpr int64_t kRequestPeriodMs = 100;     ///< Of each client.

struct State {
  std::atomic<int64_t> left_at{0};       ///< Acknowledgement of the leaving.
  std::atomic<int64_t> restarted_at{0};  ///< Start of the killed daemon.
  std::atomic<int> late{0};              ///< After `drain_s`.
  std::atomic<int> late_in_touch{0};     ///< By a machine in touch.
  std::atomic<bool> stop{false};
};

/// A client of one machine: a lookup each period on a kept connection.
void RunClient(const Machine& machine, Record* record, State* state) {
  std::unique_ptr<Connection> connection;
  int64_t next = NowMs();
  for (int number = 1; !state->stop; ++number) {
    SleepMs(next - NowMs());
    next += kRequestPeriodMs;
    if (!connection || connection->Closed())
      connection = Connection::Open(machine.outbound);
    if (!connection) continue;
    connection->SetTimeout(3000);
    std::string id = machine.settings.name + "-" + std::to_string(number);
    Message answer;
    record->Line("client sends " + id);
    bool answered = connection->Write(RequestText(
                        ClientRequest("GET", "/lookup/" + id, id, 2500, ""))) &&
                    connection->ReadResponse(&answer);
    record->Line("client gets " + std::to_string(answered ? answer.status : 0) +
                 " for " + id);
    if (!answered || answer.Header("Connection") == "close") connection.reset();
  }
}

int Run(const std::string& program, const std::string& dir,
        const std::string& record_path, bool trouble) {
  Record record(record_path);
  State state;
  FleetSettings settings;
  settings.program = program;
  settings.dir = dir;
  std::string leaving = "i-sidecar-arusha-a-1-1";
  auto on_run = [&](const Target& target, const Message& request) {
    std::string line =
        target.Settings().id + " runs " + request.Header("X-Attempt-Id");
    int64_t now = NowMs();
    int64_t left_at = state.left_at;
    bool late = target.Settings().id == leaving && left_at != 0 &&
                now - left_at > kDrainMs;
    // The daemon beside the target passes the request on. It is in touch once
    // its start lies `stability_window_s` back; the others always are.
    bool in_touch = state.restarted_at == 0 ||
                    now - state.restarted_at > kStabilityWindowMs + 100;
    if (late) {
      ++state.late;
      if (in_touch) ++state.late_in_touch;
      line += " " + std::to_string(now - left_at) +
              " ms after its leaving was acknowledged";
    }
    record.Line(line);
  };
  Fleet fleet(settings, &record, on_run);
  if (!fleet.Start() || !fleet.AwaitReady(kTrafficAfterMs)) {
    record.Line("the deployment does not start");
    return kExitNoRun;
  }
  SleepMs(kTrafficAfterMs - record.Ms());
  std::vector<std::thread> clients;
  for (auto& machine : fleet.Machines())
    clients.emplace_back(RunClient, std::cref(*machine), &record, &state);
  SleepMs(kCalmMs);

  Machine& machine = *fleet.Machines()[0];
  if (trouble) {
    // The last two heartbeats are under way for three seconds.
    machine.target->AwaitHeartbeat();
    machine.target->DelayHeartbeats(kHeartbeatLateMs);
    machine.target->AwaitHeartbeat();
    machine.target->AwaitHeartbeat();
    constexpr int64_t kAfterHeartbeatMs = 100;
    SleepMs(kAfterHeartbeatMs);
  }
  bool left = machine.target->Deregister();
  state.left_at = machine.target->LeftAt();
  record.Line(leaving + " deregisters, " +
              (left ? "acknowledged" : "not acknowledged"));
  if (trouble && left) {
    machine.daemon->Kill();
    record.Line("daemon of " + machine.settings.name + " killed");
    SleepMs(kRestartMs);
    machine.daemon->Start();
    state.restarted_at = NowMs();
    record.Line("daemon of " + machine.settings.name + " started");
  }
  SleepMs(state.left_at + kServesOnMs - NowMs());
  machine.target->End();
  record.Line(leaving + " ends");
  SleepMs(500);
  state.stop = true;
  for (std::thread& client : clients) client.join();
  fleet.Stop();
  record.Line(
      "requests that reached " + leaving +
      " over 2 s after the acknowledgement: " + std::to_string(state.late) +
      ", passed on by a machine in touch: " +
      std::to_string(state.late_in_touch));
  if (!left) return kExitNoRun;
  return state.late_in_touch > 0 ? kExitBroken : kExitHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return kExitNoRun;
  return Run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
}
