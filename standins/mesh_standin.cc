// Load test of forwarding daemons against a simulated platform: its object
// store, backend servers that send heartbeats, and clients that check their
// responses. Writes one settings file per daemon, generates a load with faults
// of backend servers, then prints one line per checked invariant.

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <map>
#include <set>

#include "banyanloft/config/json.h"
#include "banyanloft/core/option_table.h"
#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"
#include "banyanloft/http/http_client.h"
#include "platform/wire_names.h"
#include "standins/mesh_backend.h"
#include "standins/mesh_configuration.h"
#include "standins/mesh_store.h"

namespace {

using namespace banyanloft;
namespace asio = boost::asio;
namespace wire = banyanloft::platform;

constexpr int64_t kClientTimeoutMs = 2000;
/// Time after a configuration change in which daemons may still use the
/// previous version, in ms. Bound set by the specification of the platform.
constexpr int64_t kConfigPropagationMs = 2000;
constexpr int64_t kStartupMs = 4000;  ///< Time for the daemons to start, in ms.
constexpr int kSlots = 8;

struct Options {
  std::string dir;
  int64_t daemons = 6;
  int64_t base_port = 21000;
  int64_t seconds = 10;
  int64_t seed = 1;
  int64_t invalid_response_permille = 20;
  int64_t run_ms = 20;
  int64_t burst = 0;
};

/// Addresses of one daemon and its backend server.
struct Ports {
  explicit Ports(int64_t first) : first_(first) {}
  Endpoint Outbound() const { return At(1); }
  Endpoint Ready() const { return At(2); }
  Endpoint Control() const { return At(3); }
  Endpoint Backend() const { return At(4); }
  int64_t Internal() const { return first_ + 5; }

 private:
  Endpoint At(int64_t offset) const {
    return {"127.0.0.1", static_cast<uint16_t>(first_ + offset)};
  }
  int64_t first_;
};

/// Outcome of one client request.
struct RequestRecord {
  bool idempotent = false;
  bool burst = false;  ///< Part of the burst that exceeds the capacity.
  /// Sent after the store went away, when a daemon has been stopped for good.
  bool after_outage = false;
  int runs = 0;
  int status = 0;  ///< HTTP status; 0: no response.
};

TimeMs Now() { return SteadyClock().Now(); }

/// Generates the load and checks the invariants.
class MeshLoadTest final : public BackendObserver {
 public:
  MeshLoadTest(asio::io_context& io, const Options& options)
      : io_(io),
        options_(options),
        random_(static_cast<uint64_t>(options.seed)),
        store_(io, {"127.0.0.1", static_cast<uint16_t>(options.base_port)},
               static_cast<uint64_t>(options.seed)),
        tick_(io) {}

  bool Start() {
    Result<Endpoint> store = store_.Start();
    bool ok = ErrorOf(store) == nullptr;
    store_.Put("config", "main", MeshConfiguration(1, {}));
    for (int64_t i = 0; i < options_.daemons; ++i) {
      Ports ports(options_.base_port + 10 * (i + 1));
      std::string service = i % 2 == 0 ? "catalogue" : "pledges";
      WriteSettings(i, ports, service);
      MeshBackendSettings backend;
      backend.id = fmt::format("i-{}", i);
      backend.service = service;
      backend.listen = backend.advertised = ports.Backend();
      backend.control = ports.Control();
      backend.seed = static_cast<uint64_t>(options_.seed + i);
      backend.slots = kSlots;
      backend.run_ms = options_.run_ms;
      backend.invalid_response_permille = options_.invalid_response_permille;
      backends_.push_back(std::make_unique<MeshBackend>(io_, backend, this));
      Result<Endpoint> started = backends_.back()->Start();
      ok = ok && ErrorOf(started) == nullptr;
      HttpClientSettings client;
      client.server = ports.Outbound();
      clients_.push_back(std::make_unique<HttpClient>(io_, client));
    }
    load_start_ = Now() + kStartupMs;
    Tick();
    return ok;
  }

  /// Prints a line per invariant; returns the number of violated ones.
  int CheckInvariants() {
    int failed = 0;
    auto check = [&](const char* invariant, bool held, int count) {
      fmt::print("{} {} ({})\n", held ? "ok  " : "FAIL", invariant, count);
      failed += held ? 0 : 1;
    };
    int repeated = 0;
    int false_not_run = 0;
    int served = 0;
    int sent = 0;
    for (const auto& [id, record] : records_) {
      bool counts = !record.burst && !record.after_outage;
      if (counts) ++sent;
      if (counts && record.status == 200) ++served;
      if (!record.idempotent && record.runs > 1) ++repeated;
      bool reported_not_run = record.status == 503 || record.status == 408;
      if (!record.idempotent && reported_not_run && record.runs > 0)
        ++false_not_run;
    }
    int late = 0;
    for (const auto& backend : backends_) late += backend->LateRequests();
    bool acknowledged = backends_[kDrainedBackend]->DrainAcknowledged();
    check("requests that are not idempotent run at most once", repeated == 0,
          repeated);
    check("a request reported as not run did not run", false_not_run == 0,
          false_not_run);
    check("each response is complete and belongs to its request",
          mismatched_responses_ == 0, mismatched_responses_);
    check("a drain is acknowledged", acknowledged, 1);
    check("a drained backend server gets no late requests", late == 0, late);
    int over = backends_[kLimitedBackend]->RequestsOverLimit();
    check("a backend server gets no more than the limit that it names",
          over == 0, over);
    check("backend servers get only valid requests", invalid_requests_ == 0,
          invalid_requests_);
    check("a configuration change is in force everywhere in time",
          stale_responses_ == 0, stale_responses_);
    check("at least 90% of the requests are served", served * 10 >= sent * 9,
          served);
    fmt::print("asked {} served {}\n", sent, served);
    return failed;
  }

 private:
  static constexpr size_t kDrainedBackend = 1;
  /// Its daemon is killed and restarted by mesh_processes.sh.
  static constexpr size_t kUnreportedBackend = 2;
  static constexpr size_t kLimitedBackend = 3;
  static constexpr double kLimitPerSecond = 6;
  static constexpr int64_t kStoreOutageMs = 300;
  /// Time for which the load goes on after the store has gone away.
  static constexpr int64_t kRestoreCheckMs = 6000;

  void OnRequestStarted(const MeshBackend&, const std::string& id,
                        const HttpRequest& request) override {
    // Requests sent by mesh_processes.sh are not recorded here.
    if (id.rfind("probe-", 0) == 0) return;
    auto record = records_.find(id);
    bool valid = record != records_.end() &&
                 !HeaderOf(request.headers, wire::header::kCaller).empty() &&
                 !HeaderOf(request.headers, wire::header::kDeadlineMs).empty();
    if (!valid) ++invalid_requests_;
    if (valid) ++record->second.runs;
  }

  void WriteSettings(int64_t i, const Ports& ports,
                     const std::string& service) {
    std::ofstream file(fmt::format("{}/sidecar-{}.toml", options_.dir, i));
    file << fmt::format(
        "node_name = \"sidecar-{0}\"\nip = \"127.0.0.1\"\nzone = \"z{1}\"\n"
        "internal_ports = [{2},{3}]\nheartbeat_interval_s = 0.5\n"
        "bounds = [\"grace_s=6\",\"retry_budget_ratio=0.2\","
        "\"retry_budget_slack=50\",\"budget_window_s=10\"]\n"
        "app_addr = \"{4}\"\nservice = \"{5}\"\n[listen]\n"
        "outbound = \"{6}\"\nready = \"{7}\"\ncontrol = \"{8}\"\n"
        "[platform]\naddress = \"127.0.0.1:{9}\"\n",
        i, i / 4, ports.Internal(), ports.Internal() + 1,
        ports.Backend().Text(), service, ports.Outbound().Text(),
        ports.Ready().Text(), ports.Control().Text(), options_.base_port);
  }

  void Tick() {
    tick_.expires_after(std::chrono::milliseconds(4));
    tick_.async_wait([this](boost::system::error_code) { OnTick(); });
  }

  std::vector<Json> NewRoute() const {
    return {MeshRoute("new", "safe", new_prefix_, "pledges")};
  }

  void OnTick() {
    int64_t elapsed_ms = Now() - load_start_;
    if (elapsed_ms > options_.seconds * 1000 + kRestoreCheckMs) {
      // Waits for outstanding responses.
      tick_.expires_after(std::chrono::milliseconds(kClientTimeoutMs));
      tick_.async_wait([this](boost::system::error_code) { io_.stop(); });
      return;
    }
    if (elapsed_ms >= 0) SendRequest(elapsed_ms, false);
    if (elapsed_ms >= options_.seconds * 500 && !burst_sent_) {
      burst_sent_ = true;
      for (int64_t i = 0; i < options_.burst; ++i)
        SendRequest(elapsed_ms, true);
    }
    if (elapsed_ms >= options_.seconds * 300 && !drain_started_) {
      drain_started_ = true;
      backends_[kDrainedBackend]->Drain();
      backends_[kUnreportedBackend]->LeaveUnreported();
      backends_[kLimitedBackend]->SetLimit(kLimitPerSecond);
    }
    if (elapsed_ms >= options_.seconds * 400 && config_changed_at_ms_ < 0) {
      config_changed_at_ms_ = elapsed_ms;
      store_.SaveCopy();
      store_.Put("config", "main", MeshConfiguration(2, NewRoute()));
    }
    if (elapsed_ms >= options_.seconds * 1000 && !store_down_) {
      store_down_ = true;
      store_.SetFault(StoreFault::kUnavailable);
    }
    bool back = elapsed_ms >= options_.seconds * 1000 + kStoreOutageMs;
    if (back && !store_restored_) RestoreStore(elapsed_ms);
    Tick();
  }

  /// The store returns from the copy of before the last version, which the
  /// operator writes again under the same number with another route.
  void RestoreStore(int64_t elapsed_ms) {
    store_restored_ = true;
    store_.Restore();
    store_.SetFault(StoreFault::kNone);
    new_prefix_ = "/again/";
    config_changed_at_ms_ = elapsed_ms;
    store_.Put("config", "main", MeshConfiguration(2, NewRoute()));
  }

  void SendRequest(int64_t elapsed_ms, bool burst) {
    bool new_route =
        config_changed_at_ms_ >= 0 &&
        elapsed_ms - config_changed_at_ms_ > kConfigPropagationMs &&
        random_.Below(10) == 0;
    bool idempotent = burst || new_route || random_.Below(2) == 0;
    std::string id = fmt::format("r-{:x}", next_request_++);
    records_[id].idempotent = idempotent;
    records_[id].burst = burst;
    records_[id].after_outage = store_down_;
    HttpRequest request;
    request.method = idempotent ? "GET" : "POST";
    request.target = (new_route    ? new_prefix_
                      : idempotent ? "/lookup/"
                                   : "/register/") +
                     id;
    request.body = idempotent ? "" : "pledge";
    request.headers = {
        {"Host", kMeshHost},
        {wire::header::kRequestId, id},
        {wire::header::kDeadlineMs, std::to_string(kClientTimeoutMs)}};
    std::string expected =
        ExpectedResponseBody(id, request.target, request.body);
    HttpClient& client = *clients_[random_.Below(clients_.size())];
    client.Send(next_request_, std::move(request), kClientTimeoutMs,
                [this, id, expected, new_route](HttpOutcome outcome) {
                  RequestRecord& record = records_[id];
                  if (outcome.failure) return;
                  record.status = outcome.response.status;
                  bool matches = outcome.response.body == expected;
                  if (record.status == 200 && !matches) ++mismatched_responses_;
                  if (new_route && record.status == 404) ++stale_responses_;
                });
  }

  asio::io_context& io_;
  Options options_;
  Random random_;
  MeshStore store_;
  std::vector<std::unique_ptr<MeshBackend>> backends_;
  std::vector<std::unique_ptr<HttpClient>> clients_;
  std::map<std::string, RequestRecord> records_;
  asio::steady_timer tick_;
  TimeMs load_start_;
  uint64_t next_request_ = 1;
  bool drain_started_ = false;
  bool burst_sent_ = false;
  bool store_down_ = false;
  bool store_restored_ = false;
  std::string new_prefix_ = "/new/";  ///< Of the route added by version 2.
  int64_t config_changed_at_ms_ = -1;
  int invalid_requests_ = 0;
  int mismatched_responses_ = 0;
  int stale_responses_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  Options options;
  OptionTable table;
  table.Text("dir", &options.dir, "Folder for the settings files", true);
  table.Number("daemons", &options.daemons, 4, 200, "Number of daemons");
  table.Number("base-port", &options.base_port, 1024, 60000, "First port used");
  table.Number("seconds", &options.seconds, 3, 3600,
               "Duration of the load, in s");
  table.Number("seed", &options.seed, 0, INT64_MAX,
               "Seed of the random choices");
  table.Number("lost-permille", &options.invalid_response_permille, 0, 1000,
               "Share of responses sent without id and signature, in 1/1000");
  table.Number("run-ms", &options.run_ms, 1, 10000, "Mean run time, in ms");
  table.Number("burst", &options.burst, 0, 5000,
               "Number of requests sent at once halfway through the load");
  OptionTable::Parsed parsed = table.Parse(argc, argv);
  if (parsed.help || !parsed.errors.empty()) {
    for (const std::string& error : parsed.errors)
      fmt::print(stderr, "mesh_standin: {}\n", error);
    fmt::print(
        "mesh_standin: load test of daemons on a simulated platform\n\n{}",
        table.Help());
    return parsed.errors.empty() ? 0 : 2;
  }
  asio::io_context io;
  MeshLoadTest load_test(io, options);
  if (!load_test.Start()) {
    fmt::print(stderr, "mesh_standin: cannot bind an address\n");
    return 3;
  }
  std::ofstream(options.dir + "/ready") << "ready\n";
  io.run();
  return load_test.CheckInvariants() == 0 ? 0 : 1;
}
