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
#include "banyanloft/http/http_server.h"
#include "platform/wire_names.h"

namespace {

using namespace banyanloft;
namespace asio = boost::asio;
namespace wire = banyanloft::platform;

constexpr int64_t kHeartbeatMs = 500;
constexpr int64_t kClientWaitMs = 2000;
/// Time after an acknowledged drain or an accepted change in which daemons may
/// still act by what was before, in ms: the bounds of the users' pages.
constexpr int64_t kDrainMs = 2000;
constexpr int64_t kConfigMs = 2000;
constexpr int64_t kStartMs = 4000;  ///< Time for the daemons to start, in ms.
constexpr int kSlots = 8;

struct Options {
  std::string dir;
  int64_t daemons = 6;
  int64_t base_port = 21000;
  int64_t seconds = 10;
  int64_t seed = 1;
  int64_t lost_permille = 20;
  int64_t run_ms = 20;
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
  int runs = 0;
  int status = 0;  ///< Of the answer; 0: none.
};

TimeMs Now() { return SteadyClock().Now(); }

/// An answer without headers or body.
HttpResponse Bare(int status) {
  HttpResponse response;
  response.status = status;
  return response;
}

/// The store: objects by kind and name with one revision, and watches.
class Store final : public HttpHandler {
 public:
  Store(asio::io_context& io, const Endpoint& listen)
      : io_(io), server_(io, SettingsOf(listen), this) {}
  Result<Endpoint> Start() { return server_.Start(); }

  /// Puts an object as the operator does.
  void Put(const std::string& kind, const std::string& name, Json spec) {
    Json& object = objects_[kind][name];
    object = {{"metadata", {{"name", name}, {"revision", ++revision_}}},
              {"spec", std::move(spec)}};
    std::vector<Watch> waiting;
    waiting.swap(watches_);
    for (Watch& watch : waiting) {
      if (watch.kind != kind) {
        watches_.push_back(watch);
        continue;
      }
      Answer(watch.request, 200,
             {{"events", {{{"deleted", false}, {"object", object}}}},
              {"current_rev", revision_}});
    }
  }

  void OnRequest(uint64_t id, HttpRequest request) override {
    std::string path =
        PathOf(request.target).substr(std::string(wire::path::kObjects).size());
    std::string kind = path.substr(0, path.find('/'));
    std::string watch = QueryOf(request.target, "watch");
    if (request.method != "GET") return Write(id, kind, request);
    if (!watch.empty()) return StartWatch(id, kind, request);
    Json items = Json::array();
    for (const auto& [name, object] : objects_[kind]) items.push_back(object);
    Answer(id, 200,
           {{"items", items}, {"more", false}, {"current_rev", revision_}});
  }
  void OnAbandoned(uint64_t id) override {
    watches_.erase(
        std::remove_if(watches_.begin(), watches_.end(),
                       [&](const Watch& w) { return w.request == id; }),
        watches_.end());
  }
  HttpResponse OnRefused(ErrorKind) override { return Bare(400); }

 private:
  struct Watch {
    uint64_t request;
    std::string kind;
  };

  static HttpServerSettings SettingsOf(const Endpoint& listen) {
    HttpServerSettings settings;
    settings.listen = listen;
    return settings;
  }

  void Write(uint64_t id, const std::string& kind, const HttpRequest& request) {
    Json body = ParseJson(request.body);
    std::string name = body["metadata"].value("name", "");
    uint64_t expected = body["metadata"].value("revision", uint64_t{0});
    auto found = objects_[kind].find(name);
    bool exists = found != objects_[kind].end();
    bool create = request.method == "POST";
    uint64_t present =
        exists ? found->second["metadata"]["revision"].get<uint64_t>() : 0;
    if (create == exists || (!create && expected != present))
      return Answer(id, 409, Json::object());
    Put(kind, name, body["spec"]);
    Answer(id, 200, objects_[kind][name]);
  }

  void StartWatch(uint64_t id, const std::string& kind,
                  const HttpRequest& request) {
    uint64_t after = std::stoull(QueryOf(request.target, "watch"));
    Json events = Json::array();
    for (const auto& [name, object] : objects_[kind]) {
      if (object["metadata"]["revision"].get<uint64_t>() > after)
        events.push_back({{"deleted", false}, {"object", object}});
    }
    if (!events.empty())
      return Answer(id, 200, {{"events", events}, {"current_rev", revision_}});
    watches_.push_back({id, kind});
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(std::chrono::milliseconds(
        std::stoll(QueryOf(request.target, "wait_ms"))));
    timer->async_wait([this, id, timer](boost::system::error_code) {
      size_t before = watches_.size();
      OnAbandoned(id);
      if (watches_.size() == before) return;
      Answer(id, 200, {{"events", Json::array()}, {"current_rev", revision_}});
    });
  }

  void Answer(uint64_t id, int status, const Json& body) {
    HttpResponse response;
    response.status = status;
    response.content_type = "application/json";
    response.body = body.dump();
    server_.Reply(id, std::move(response));
  }

  asio::io_context& io_;
  HttpServer server_;
  uint64_t revision_ = 0;
  std::map<std::string, std::map<std::string, Json>> objects_;
  std::vector<Watch> watches_;
};

/// A backend server: runs requests, reports by heartbeat, drains.
class Backend final : public HttpHandler {
 public:
  Backend(asio::io_context& io, const Ports& ports, std::string service,
          std::string id, const Options& options,
          std::map<std::string, Record>* records)
      : io_(io),
        ports_(ports),
        service_(std::move(service)),
        id_(std::move(id)),
        options_(options),
        records_(records),
        random_(static_cast<uint64_t>(options.seed) + ports.Internal()),
        server_(io, SettingsOf(ports), this),
        control_(io, ControlOf(ports)),
        timer_(io) {}

  Result<Endpoint> Start() {
    Result<Endpoint> started = server_.Start();
    Report();
    return started;
  }
  void Drain() { draining_ = true; }
  const std::string& Service() const { return service_; }
  int Arrivals() const { return arrivals_; }
  int LateArrivals() const { return late_arrivals_; }
  int WrongRequests() const { return wrong_requests_; }
  bool DrainAcknowledged() const { return drain_acknowledged_; }

  void OnRequest(uint64_t id, HttpRequest request) override {
    HttpResponse answer;
    answer.headers.emplace_back(wire::header::kInstance, id_);
    if (PathOf(request.target) == wire::path::kHealth) {
      answer.status = draining_ ? 503 : 200;
      return server_.Reply(id, std::move(answer));
    }
    std::string request_id(HeaderOf(request.headers, wire::header::kRequestId));
    answer.headers.emplace_back(wire::header::kRequestId, request_id);
    if (HeaderOf(request.headers, wire::header::kExpectedInstance) != id_) {
      answer.status = 421;
      return server_.Reply(id, std::move(answer));
    }
    ++arrivals_;
    auto record = records_->find(request_id);
    bool sound = record != records_->end() &&
                 !HeaderOf(request.headers, wire::header::kCaller).empty() &&
                 !HeaderOf(request.headers, wire::header::kWaitMs).empty();
    if (!sound) ++wrong_requests_;
    if (sound) ++record->second.runs;
    if (drain_acknowledged_ && Now() - drained_at_ > kDrainMs) ++late_arrivals_;
    bool lost = random_.Permille(static_cast<int>(options_.lost_permille));
    answer.headers.emplace_back(wire::header::kSignature, "s-" + request_id);
    answer.body = request_id + " " + request.target + " " + request.body;
    Later(options_.run_ms / 2 + static_cast<int64_t>(random_.Below(
                                    static_cast<uint64_t>(options_.run_ms))),
          [this, id, lost, answer] {
            // An answer without id and signature is as good as lost.
            server_.Reply(id, lost ? Bare(200) : answer);
          });
  }
  void OnAbandoned(uint64_t) override {}
  HttpResponse OnRefused(ErrorKind) override { return Bare(400); }

 private:
  static HttpServerSettings SettingsOf(const Ports& ports) {
    HttpServerSettings settings;
    settings.listen = ports.Backend();
    return settings;
  }
  static HttpClientSettings ControlOf(const Ports& ports) {
    HttpClientSettings settings;
    settings.server = ports.Control();
    return settings;
  }
  void Later(int64_t ms, std::function<void()> then) {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(std::chrono::milliseconds(ms));
    timer->async_wait(
        [timer, then = std::move(then)](boost::system::error_code) { then(); });
  }
  void Report() {
    HttpRequest beat;
    beat.method = "PUT";
    beat.target = wire::path::kInstances + id_;
    Json body = {{"service", service_},
                 {"address", ports_.Backend().Text()},
                 {"zone", "z"},
                 {"slots", kSlots},
                 {"state", draining_ ? "draining" : "ready"},
                 {"cold_remaining_s", 0},
                 {"born", 1000},
                 {"sequence", ++sequence_}};
    beat.body = body.dump();
    bool drains = draining_;
    control_.Send(static_cast<uint64_t>(sequence_), std::move(beat), 1000,
                  [this, drains](HttpOutcome outcome) {
                    bool ok =
                        !outcome.failure && outcome.response.status == 200;
                    if (!ok || !drains || drain_acknowledged_) return;
                    drain_acknowledged_ = true;
                    drained_at_ = Now();
                  });
    Later(kHeartbeatMs, [this] { Report(); });
  }

  asio::io_context& io_;
  Ports ports_;
  std::string service_;
  std::string id_;
  Options options_;
  std::map<std::string, Record>* records_;
  Random random_;
  HttpServer server_;
  HttpClient control_;
  asio::steady_timer timer_;
  int64_t sequence_ = 0;
  bool draining_ = false;
  bool drain_acknowledged_ = false;
  TimeMs drained_at_;
  int arrivals_ = 0;
  int late_arrivals_ = 0;
  int wrong_requests_ = 0;
};

Json Rule(const std::string& name, const std::string& kind,
          const std::string& prefix, const std::string& service) {
  return {{"name", name},
          {"kind", kind},
          {"aim_s", 0.4},
          {"priority", kind == "unsafe" ? 0 : 1},
          {"match", {{"path_prefix", prefix}}},
          {"action",
           {{"service", service}, {"timeout_s", 1.5}, {"max_attempts", 2}}}};
}

Json ConfigurationOf(int version, bool with_new_route) {
  Json rules = {Rule("lookup", "safe", "/lookup/", "catalogue"),
                Rule("register", "unsafe", "/register/", "pledges")};
  if (with_new_route) rules.push_back(Rule("new", "safe", "/new/", "pledges"));
  Json clusters = Json::array();
  for (const char* service : {"catalogue", "pledges"})
    clusters.push_back({{"name", service}, {"max_connections", 100}});
  return {{"version", fmt::format("{:08x}", version)},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 1000000},
            {"header_timeout_s", 3},
            {"idle_timeout_s", 15}}},
          {"listeners", {{{"host", "mesh.example"}, {"rule_set", rules}}}},
          {"clusters", clusters}};
}

/// Plays the load and judges it.
class Play {
 public:
  Play(asio::io_context& io, const Options& options)
      : io_(io),
        options_(options),
        random_(static_cast<uint64_t>(options.seed)),
        store_(io, {"127.0.0.1", static_cast<uint16_t>(options.base_port)}),
        tick_(io) {}

  bool Start() {
    Result<Endpoint> store = store_.Start();
    bool ok = ErrorOf(store) == nullptr;
    store_.Put("config", "main", ConfigurationOf(1, false));
    for (int64_t i = 0; i < options_.daemons; ++i) {
      Ports ports(options_.base_port + 10 * (i + 1));
      std::string service = i % 2 == 0 ? "catalogue" : "pledges";
      WriteSettings(i, ports, service);
      backends_.push_back(std::make_unique<Backend>(
          io_, ports, service, fmt::format("i-{}", i), options_, &records_));
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
      ++asked;
      served += record.status == 200 ? 1 : 0;
      if (!record.idempotent && record.runs > 1) ++twice;
      bool promised = record.status == 503 || record.status == 408;
      if (!record.idempotent && promised && record.runs > 0) ++false_refusals;
    }
    int late = 0;
    int wrong = 0;
    bool acknowledged = true;
    for (const auto& backend : backends_) {
      late += backend->LateArrivals();
      wrong += backend->WrongRequests();
    }
    acknowledged = backends_[kDrained]->DrainAcknowledged();
    check("what must run once runs once at most", twice == 0, twice);
    check("a refusal as not run is true", false_refusals == 0, false_refusals);
    check("each answer is whole and belongs to its request",
          foreign_answers_ == 0, foreign_answers_);
    check("a drain is acknowledged", acknowledged, 1);
    check("a drained backend server gets nothing later", late == 0, late);
    check("backend servers get only whole requests", wrong == 0, wrong);
    check("a change is in force everywhere in time", stale_ == 0, stale_);
    check("nine in ten requests are served", served * 10 >= asked * 9, served);
    fmt::print("asked {} served {}\n", asked, served);
    return failed;
  }

 private:
  static constexpr size_t kDrained = 1;

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
    if (at_ms >= 0) Ask(at_ms);
    if (at_ms >= options_.seconds * 300 && !drained_) {
      drained_ = true;
      backends_[kDrained]->Drain();
    }
    if (at_ms >= options_.seconds * 400 && changed_at_ < 0) {
      changed_at_ = at_ms;
      store_.Put("config", "main", ConfigurationOf(2, true));
    }
    Tick();
  }

  void Ask(int64_t at_ms) {
    bool new_route = changed_at_ >= 0 && at_ms - changed_at_ > kConfigMs &&
                     random_.Below(10) == 0;
    bool idempotent = new_route || random_.Below(2) == 0;
    std::string id = fmt::format("r-{:x}", next_++);
    records_[id].idempotent = idempotent;
    HttpRequest request;
    request.method = idempotent ? "GET" : "POST";
    request.target = (new_route    ? "/new/"
                      : idempotent ? "/lookup/"
                                   : "/register/") +
                     id;
    request.body = idempotent ? "" : "pledge";
    request.headers = {{"Host", "mesh.example"},
                       {wire::header::kRequestId, id},
                       {wire::header::kWaitMs, std::to_string(kClientWaitMs)}};
    std::string expected = id + " " + request.target + " " + request.body;
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
  Store store_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<std::unique_ptr<HttpClient>> clients_;
  std::map<std::string, Record> records_;
  asio::steady_timer tick_;
  TimeMs began_;
  uint64_t next_ = 1;
  bool drained_ = false;
  int64_t changed_at_ = -1;
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
  table.Number("lost-permille", &options.lost_permille, 0, 1000,
               "Answers that backend servers spoil, in 1/1000");
  table.Number("run-ms", &options.run_ms, 1, 10000, "Mean run time, in ms");
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
