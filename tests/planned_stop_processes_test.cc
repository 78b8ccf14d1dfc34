// Planned stops of daemons that run as processes on loopback: clients go on
// until the process is gone, on kept and on new connections, with short and
// long requests, slow bodies and slow readers.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <set>
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

constexpr int64_t kStartupMs = 4500;
constexpr int64_t kClientTimeoutMs = 4000;

TimeMs Now() { return SteadyClock().Now(); }

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// One load and one way to stop.
struct StopPlan {
  ProcessFleetSettings fleet;
  std::vector<int> stopped = {0};  ///< Indexes of the daemons that are stopped.
  int64_t grace_ms = 6000;
  int clients = 6;         ///< For each daemon.
  int64_t period_ms = 50;  ///< Pause of a client between requests, in ms.
  bool keep_connections = true;
  int64_t body_ms = 0;        ///< Time that a client takes to send a body.
  int pipelined = 1;          ///< Safe requests sent at once, if several.
  int64_t read_pause_ms = 0;  ///< Pause of a client between reads, in ms.
  int64_t traffic_before_ms = 1500;
  int64_t stop_after_start_ms = -1;  ///< Stops then, without a start-up phase.
  /// Further signals and their time after SIGTERM, in ms.
  std::vector<std::pair<int64_t, int>> signals;
};

/// What a client has seen of a request.
struct Seen {
  bool idempotent = true;
  TimeMs sent;  ///< Time of its last byte.
  bool sent_all = false;
  int status = 0;  ///< 0: no response.
  bool complete = false;
  bool to_stopped = false;
};

/// Violations of the promises of a planned stop, with the ids of the requests.
struct Verdict {
  std::vector<std::string> cut;         ///< Passed on, no whole response.
  std::vector<std::string> broken_off;  ///< Run, but answered with 502, 504.
  std::vector<std::string> false_refusals;
  std::vector<std::string> run_twice;
  int asked = 0;        ///< Requests to stopped daemons after SIGTERM.
  int served = 0;       ///< Of these, with a success.
  int64_t exit_ms = 0;  ///< Time from SIGTERM to the last exit, in ms.
  bool killed = false;  ///< A daemon had to be killed after its grace.
};

/// Runs a StopPlan and checks what its clients and backend servers see.
class PlannedStopRun final : public BackendObserver {
 public:
  explicit PlannedStopRun(const StopPlan& plan)
      : plan_(plan), fleet_(plan.fleet, this) {}

  Verdict Run() {
    Verdict verdict;
    if (!fleet_.Start()) {
      FAIL("the stand-ins or daemons cannot be started");
      return verdict;
    }
    bool at_start = plan_.stop_after_start_ms >= 0;
    if (!at_start) SleepMs(kStartupMs);
    std::vector<std::thread> clients;
    for (int i = 0; i < plan_.fleet.instances; ++i) {
      for (int c = 0; c < plan_.clients; ++c)
        clients.emplace_back([this, i, c] { RunClient(i, c); });
    }
    SleepMs(at_start ? plan_.stop_after_start_ms : plan_.traffic_before_ms);
    StopDaemons(&verdict);
    done_ = true;
    for (std::thread& client : clients) client.join();
    fleet_.Stop();
    Check(&verdict);
    return verdict;
  }

 private:
  void OnRequestStarted(const MeshBackend&, const std::string& id,
                        const HttpRequest&) override {
    std::lock_guard<std::mutex> lock(mutex_);
    ++runs_[id];
  }

  /// Sends one request after the other until the run is over.
  void RunClient(int instance, int client) {
    ClientConnection connection;
    uint16_t port = fleet_.Clients(instance).port;
    bool stopped =
        std::count(plan_.stopped.begin(), plan_.stopped.end(), instance) > 0;
    for (int number = 0; !done_; ++number) {
      bool reuse = plan_.keep_connections && connection.IsOpen() &&
                   !connection.IsStale();
      if (!reuse && !connection.Open(port, plan_.read_pause_ms > 0)) {
        SleepMs(5);
        continue;
      }
      if (plan_.pipelined > 1) {
        AskSeveral(&connection,
                   fmt::format("r-{}-{}-{}", instance, client, number),
                   stopped);
        SleepMs(plan_.period_ms);
        continue;
      }
      Seen seen;
      seen.idempotent = number % 2 == 0;
      seen.to_stopped = stopped;
      std::string id = fmt::format("r-{}-{}-{}", instance, client, number);
      Ask(&connection, id, &seen);
      {
        std::lock_guard<std::mutex> lock(mutex_);
        seen_[id] = seen;
      }
      if (!seen.complete || connection.Closes()) connection.Close();
      SleepMs(plan_.period_ms);
    }
  }

  /// Sends several safe requests at once, and reads their responses.
  void AskSeveral(ClientConnection* connection, const std::string& prefix,
                  bool stopped) {
    std::string bytes;
    for (int i = 0; i < plan_.pipelined; ++i) {
      std::string id = fmt::format("{}-{}", prefix, i);
      bytes += fmt::format(
          "GET /lookup/{} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: {}\r\n\r\n", id,
          kMeshHost, wire::header::kRequestId, id, wire::header::kDeadlineMs,
          kClientTimeoutMs);
    }
    Seen seen;
    seen.to_stopped = stopped;
    seen.sent_all = connection->Write(bytes);
    seen.sent = Now();
    bool open = seen.sent_all;
    for (int i = 0; i < plan_.pipelined; ++i) {
      seen.status = 0;
      seen.complete = open && connection->ReadResponse(0, &seen.status);
      open = seen.complete && !connection->Closes();
      std::lock_guard<std::mutex> lock(mutex_);
      seen_[fmt::format("{}-{}", prefix, i)] = seen;
    }
    if (!open) connection->Close();
  }

  void Ask(ClientConnection* connection, const std::string& id, Seen* seen) {
    std::string body = seen->idempotent ? "" : "pledge";
    std::string head = fmt::format(
        "{} {}{} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: {}\r\n"
        "Content-Length: {}\r\n\r\n",
        seen->idempotent ? "GET" : "POST",
        seen->idempotent ? "/lookup/" : "/register/", id, kMeshHost,
        wire::header::kRequestId, id, wire::header::kDeadlineMs,
        kClientTimeoutMs, body.size());
    bool sent = connection->Write(plan_.body_ms > 0 ? head : head + body);
    if (sent && plan_.body_ms > 0) {
      SleepMs(plan_.body_ms);
      sent = connection->Write(body);
    }
    seen->sent = Now();
    seen->sent_all = sent;
    if (sent)
      seen->complete =
          connection->ReadResponse(plan_.read_pause_ms, &seen->status);
  }

  /// Sends the signals of the plan and waits for the exits.
  void StopDaemons(Verdict* verdict) {
    stop_at_ = Now();
    for (int i : plan_.stopped) fleet_.Daemon(i).Signal(SIGTERM);
    auto signals = plan_.signals;
    std::set<int> running(plan_.stopped.begin(), plan_.stopped.end());
    while (!running.empty()) {
      SleepMs(2);
      int64_t elapsed_ms = Now() - stop_at_;
      for (int i : std::vector<int>(running.begin(), running.end())) {
        if (!signals.empty() && elapsed_ms >= signals.front().first)
          fleet_.Daemon(i).Signal(signals.front().second);
        if (elapsed_ms >= plan_.grace_ms) {
          verdict->killed = true;
          fleet_.Daemon(i).Signal(SIGKILL);
        }
        if (!fleet_.Daemon(i).Reap()) continue;
        running.erase(i);
        verdict->exit_ms = elapsed_ms;
      }
      if (!signals.empty() && elapsed_ms >= signals.front().first)
        signals.erase(signals.begin());
    }
  }

  void Check(Verdict* verdict) {
    for (const auto& [id, seen] : seen_) {
      auto found = runs_.find(id);
      int runs = found == runs_.end() ? 0 : found->second;
      bool refused = seen.status == 503 || seen.status == 429 ||
                     seen.status == 408 || seen.status == 421;
      bool failed = seen.status == 502 || seen.status == 504;
      std::string text =
          fmt::format("{} sent {} ms after SIGTERM, status {}, {}, runs {}", id,
                      seen.sent - stop_at_, seen.status,
                      seen.complete ? "complete" : "not complete", runs);
      if (seen.sent_all && !seen.complete && runs > 0)
        verdict->cut.push_back(text);
      if (failed && runs > 0) verdict->broken_off.push_back(text);
      if (!seen.idempotent && refused && runs > 0)
        verdict->false_refusals.push_back(text);
      if (!seen.idempotent && runs > 1) verdict->run_twice.push_back(text);
      if (!seen.to_stopped || seen.sent < stop_at_) continue;
      ++verdict->asked;
      if (seen.status == 200 && seen.complete) ++verdict->served;
    }
  }

  StopPlan plan_;
  ProcessFleet fleet_;
  std::atomic<bool> done_{false};
  std::mutex mutex_;  ///< Guards the two maps below.
  std::map<std::string, int> runs_;
  std::map<std::string, Seen> seen_;
  TimeMs stop_at_;
};

void Print(const char* name, const std::vector<std::string>& requests) {
  for (const std::string& request : requests)
    fmt::print("  {}: {}\n", name, request);
}

}  // namespace

TEST_GROUP(planned_stop_processes) {
  StopPlan plan_;

  void CheckPromises() {
    Verdict verdict = PlannedStopRun(plan_).Run();
    fmt::print("  asked {} served {} exit {} ms\n", verdict.asked,
               verdict.served, verdict.exit_ms);
    Print("cut", verdict.cut);
    Print("broken off", verdict.broken_off);
    Print("false refusal", verdict.false_refusals);
    Print("run twice", verdict.run_twice);
    LONGS_EQUAL(0, verdict.cut.size());
    LONGS_EQUAL(0, verdict.broken_off.size());
    LONGS_EQUAL(0, verdict.false_refusals.size());
    LONGS_EQUAL(0, verdict.run_twice.size());
    CHECK(!verdict.killed);
  }
};

/// Guards against a daemon that decides to exit while it still accepts
/// requests: short requests leave it idle for moments all the time.
TEST(planned_stop_processes, shortRequestsUntilTheEnd_noneIsCut) {
  CheckPromises();
}

TEST(planned_stop_processes, longRequestsOnNewConnections_noneIsCut) {
  plan_.fleet.backend.run_ms = 900;
  plan_.keep_connections = false;
  CheckPromises();
}

/// Guards against a daemon that exits while it still writes responses, to its
/// clients or to the daemons of clients elsewhere.
TEST(planned_stop_processes, largeResponsesToSlowReaders_noneIsCut) {
  plan_.fleet.backend.run_ms = 900;
  plan_.fleet.backend.response_bytes = 1000 * 1000;
  plan_.read_pause_ms = 10;
  CheckPromises();
}

TEST(planned_stop_processes, largeResponsesToPeers_noneIsCut) {
  plan_.fleet.backend.run_ms = 300;
  plan_.fleet.backend.response_bytes = 1000 * 1000;
  CheckPromises();
}

TEST(planned_stop_processes, bodiesThatTakeLong_noneIsCut) {
  plan_.body_ms = 700;
  plan_.fleet.backend.run_ms = 300;
  CheckPromises();
}

/// Guards against requests behind others of their connection that run, although
/// the connection closes before their response.
TEST(planned_stop_processes, severalRequestsOnOneConnection_noneIsCut) {
  plan_.pipelined = 6;
  plan_.clients = 3;
  plan_.fleet.backend.run_ms = 200;
  CheckPromises();
}

TEST(planned_stop_processes, wholeZoneStops_noneIsCut) {
  plan_.fleet.instances = 6;
  plan_.stopped = {0, 1};
  plan_.fleet.backend.run_ms = 300;
  CheckPromises();
}

/// The zone has no other daemon, so its clients cannot go elsewhere.
TEST(planned_stop_processes, zoneHasNoOtherDaemon_noneIsCut) {
  plan_.fleet.instances_per_zone = 1;
  plan_.fleet.backend.run_ms = 600;
  plan_.keep_connections = false;
  CheckPromises();
}

TEST(planned_stop_processes, signalsRepeat_noneIsCut) {
  plan_.fleet.backend.run_ms = 600;
  plan_.signals = {{500, SIGTERM}, {900, SIGHUP}, {2400, SIGTERM}};
  CheckPromises();
}

TEST(planned_stop_processes, stopSoonAfterTheStart_noneIsCut) {
  plan_.stop_after_start_ms = 600;
  CheckPromises();
}

TEST(planned_stop_processes, noConfigurationYet_noneIsCut) {
  plan_.stop_after_start_ms = 400;
  plan_.fleet.store_down = true;
  CheckPromises();
}

TEST(planned_stop_processes, shortGrace_noneIsCut) {
  plan_.fleet.bounds = "\"grace_s=3\"";
  plan_.grace_ms = 3000;
  plan_.fleet.backend.run_ms = 200;
  CheckPromises();
}

TEST(planned_stop_processes, longGrace_noneIsCut) {
  plan_.fleet.bounds = "\"grace_s=10\"";
  plan_.grace_ms = 10000;
  plan_.fleet.backend.run_ms = 600;
  CheckPromises();
}
