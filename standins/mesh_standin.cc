// Stand-in for the users' platform around forwarding daemons: its store,
// backend servers that report by heartbeat, and clients that check what they
// get. Writes one settings file per daemon, plays a load with faults of backend
// servers, then tells which promises held, one line each.

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

constexpr int64_t kClientWaitMs = 2000;
/// Time after an accepted change in which daemons may still act by what was
/// before, in ms: the bound of the users' pages.
constexpr int64_t kConfigMs = 2000;
constexpr int64_t kStartMs = 4000;  ///< Time for the daemons to start, in ms.
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

/// Addresses of one daemon and the backend server beside it.
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

/// What became of one client's request.
struct Record {
  bool idempotent = false;
  bool burst = false;  ///< Of a burst beyond what can be served.
  int runs = 0;
  int status = 0;  ///< Of the answer; 0: none.
};

TimeMs Now() { return SteadyClock().Now(); }

std::vector<Json> NewRoute() {
  return {MeshRoute("new", "safe", "/new/", "pledges")};
}

/// Plays the load and judges it.
class Play final : public BackendObserver {
 public:
  Play(asio::io_context& io, const Options& options)
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
    began_ = Now() + kStartMs;
    Tick();
    return ok;
  }

  /// Prints a line per promise; the number of those that were broken.
  int Judge() {
    int failed = 0;
    auto check = [&](const char* promise, bool held, int count) {
      fmt::print("{} {} ({})\n", held ? "ok  " : "FAIL", promise, count);
      failed += held ? 0 : 1;
    };
    int twice = 0;
    int false_refusals = 0;
    int served = 0;
    int asked = 0;
    for (const auto& [id, record] : records_) {
      if (!record.burst) ++asked;
      if (!record.burst && record.status == 200) ++served;
      if (!record.idempotent && record.runs > 1) ++twice;
      bool promised = record.status == 503 || record.status == 408;
      if (!record.idempotent && promised && record.runs > 0) ++false_refusals;
    }
    int late = 0;
    for (const auto& backend : backends_) late += backend->LateRequests();
    bool acknowledged = backends_[kDrained]->DrainAcknowledged();
    check("what must run once runs once at most", twice == 0, twice);
    check("a refusal as not run is true", false_refusals == 0, false_refusals);
    check("each answer is whole and belongs to its request",
          foreign_answers_ == 0, foreign_answers_);
    check("a drain is acknowledged", acknowledged, 1);
    check("a drained backend server gets nothing later", late == 0, late);
    check("backend servers get only whole requests", wrong_requests_ == 0,
          wrong_requests_);
    check("a change is in force everywhere in time", stale_ == 0, stale_);
    check("nine in ten requests are served", served * 10 >= asked * 9, served);
    fmt::print("asked {} served {}\n", asked, served);
    return failed;
  }

 private:
  static constexpr size_t kDrained = 1;

  void OnRequestStarted(const MeshBackend&, const std::string& id,
                        const HttpRequest& request) override {
    // Requests of the script around this stand-in are its own business.
    if (id.rfind("probe-", 0) == 0) return;
    auto record = records_.find(id);
    bool sound = record != records_.end() &&
                 !HeaderOf(request.headers, wire::header::kCaller).empty() &&
                 !HeaderOf(request.headers, wire::header::kDeadlineMs).empty();
    if (!sound) ++wrong_requests_;
    if (sound) ++record->second.runs;
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

  void OnTick() {
    int64_t at_ms = Now() - began_;
    if (at_ms > options_.seconds * 1000) {
      // The last answers may still come.
      tick_.expires_after(std::chrono::milliseconds(kClientWaitMs));
      tick_.async_wait([this](boost::system::error_code) { io_.stop(); });
      return;
    }
    if (at_ms >= 0) Ask(at_ms, false);
    if (at_ms >= options_.seconds * 500 && !burst_) {
      burst_ = true;
      for (int64_t i = 0; i < options_.burst; ++i) Ask(at_ms, true);
    }
    if (at_ms >= options_.seconds * 300 && !drained_) {
      drained_ = true;
      backends_[kDrained]->Drain();
    }
    if (at_ms >= options_.seconds * 400 && changed_at_ < 0) {
      changed_at_ = at_ms;
      store_.Put("config", "main", MeshConfiguration(2, NewRoute()));
    }
    Tick();
  }

  void Ask(int64_t at_ms, bool burst) {
    bool new_route = changed_at_ >= 0 && at_ms - changed_at_ > kConfigMs &&
                     random_.Below(10) == 0;
    bool idempotent = burst || new_route || random_.Below(2) == 0;
    std::string id = fmt::format("r-{:x}", next_++);
    records_[id].idempotent = idempotent;
    records_[id].burst = burst;
    HttpRequest request;
    request.method = idempotent ? "GET" : "POST";
    request.target = (new_route    ? "/new/"
                      : idempotent ? "/lookup/"
                                   : "/register/") +
                     id;
    request.body = idempotent ? "" : "pledge";
    request.headers = {
        {"Host", kMeshHost},
        {wire::header::kRequestId, id},
        {wire::header::kDeadlineMs, std::to_string(kClientWaitMs)}};
    std::string expected =
        ExpectedResponseBody(id, request.target, request.body);
    HttpClient& client = *clients_[random_.Below(clients_.size())];
    client.Send(next_, std::move(request), kClientWaitMs,
                [this, id, expected, new_route](HttpOutcome outcome) {
                  Record& record = records_[id];
                  if (outcome.failure) return;
                  record.status = outcome.response.status;
                  bool whole = outcome.response.body == expected;
                  if (record.status == 200 && !whole) ++foreign_answers_;
                  if (new_route && record.status == 404) ++stale_;
                });
  }

  asio::io_context& io_;
  Options options_;
  Random random_;
  MeshStore store_;
  std::vector<std::unique_ptr<MeshBackend>> backends_;
  std::vector<std::unique_ptr<HttpClient>> clients_;
  std::map<std::string, Record> records_;
  asio::steady_timer tick_;
  TimeMs began_;
  uint64_t next_ = 1;
  bool drained_ = false;
  bool burst_ = false;
  int64_t changed_at_ = -1;
  int wrong_requests_ = 0;
  int foreign_answers_ = 0;
  int stale_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  Options options;
  OptionTable table;
  table.Text("dir", &options.dir, "Folder for the settings files", true);
  table.Number("daemons", &options.daemons, 4, 200, "Daemons to play with");
  table.Number("base-port", &options.base_port, 1024, 60000, "First port used");
  table.Number("seconds", &options.seconds, 3, 3600,
               "Length of the load, in s");
  table.Number("seed", &options.seed, 0, INT64_MAX, "Seed of the play");
  table.Number("lost-permille", &options.invalid_response_permille, 0, 1000,
               "Answers that backend servers spoil, in 1/1000");
  table.Number("run-ms", &options.run_ms, 1, 10000, "Mean run time, in ms");
  table.Number("burst", &options.burst, 0, 5000,
               "Requests that come at once in the middle");
  OptionTable::Parsed parsed = table.Parse(argc, argv);
  if (parsed.help || !parsed.errors.empty()) {
    for (const std::string& error : parsed.errors)
      fmt::print(stderr, "mesh_standin: {}\n", error);
    fmt::print("mesh_standin: the users' platform on one machine\n\n{}",
               table.Help());
    return parsed.errors.empty() ? 0 : 2;
  }
  asio::io_context io;
  Play play(io, options);
  if (!play.Start()) {
    fmt::print(stderr, "mesh_standin: an address cannot be bound\n");
    return 3;
  }
  std::ofstream(options.dir + "/ready") << "ready\n";
  io.run();
  return play.Judge() == 0 ? 0 : 1;
}
