#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <fstream>
#include <map>
#include <memory>

#include "banyanloft/config/json.h"
#include "banyanloft/core/option_table.h"
#include "banyanloft/core/random.h"
#include "banyanloft/daemon/caller_api.h"
#include "banyanloft/http/http_client.h"
#include "banyanloft/http/http_server.h"

/// Simulated backend server with slots, a connection limit, a cost per new
/// connection, cold start, load shedding, cancellation, deadlines, drain, and
/// health and load endpoints that can report false values. A request body that
/// begins with `crash` ends the process; `run_ms=N` in the body sets the run
/// time.
namespace banyanloft {
namespace {

namespace asio = boost::asio;

struct BackendOptions {
  std::string listen = "127.0.0.1:0";
  std::string address_file;
  std::string daemon_file;  ///< File with the addresses of its daemon.
  std::string service;
  /// File to which the route, key and body of each run are appended.
  std::string ledger;
  int64_t slots = 20;
  int64_t connections = 110;
  int64_t connection_ms = 1;
  int64_t run_ms = 10;
  int64_t cold_start_ms = 0;
  int64_t fail_permille = 0;
  int64_t report_healthy = 0;
  int64_t seed = 1;
};

class BackendStandin final : public HttpHandler {
 public:
  BackendStandin(asio::io_context& io, const BackendOptions& options,
                 const HttpServerSettings& settings)
      : io_(io),
        options_(options),
        server_(io, settings, this),
        random_(static_cast<uint64_t>(options.seed)),
        boot_id_(std::to_string(SeedFromDevice())),
        announce_timer_(io),
        started_(std::chrono::steady_clock::now()) {
    if (!options.ledger.empty()) {
      ledger_ = open(options.ledger.c_str(),
                     O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    }
  }
  ~BackendStandin() override {
    if (ledger_ >= 0) close(ledger_);
  }

  Result<Endpoint> Start() {
    Result<Endpoint> started = server_.Start();
    SendAnnouncement();
    return started;
  }

  /// Announces the drain and stops once no run is left.
  void Drain() {
    draining_ = true;
    SendAnnouncement();
    StopIfDrained();
  }

  void OnRequest(uint64_t id, HttpRequest request) override {
    std::string path = PathOf(request.target);
    const std::string run = "/run/";
    if (path.compare(0, run.size(), run) == 0)
      return HandleRun(id, path.substr(run.size()), std::move(request));
    if (path == "/health")
      return Reply(id, 200,
                   options_.report_healthy != 0 || !IsWarmingUp()
                       ? "ok\n"
                       : "starting\n");
    if (path == "/load")
      return Reply(
          id, 200,
          fmt::format("{}\n", options_.report_healthy != 0 ? 0 : runs_.size()));
    if (path == "/faults") {
      options_.fail_permille = std::strtoll(
          QueryOf(request.target, "fail_permille").c_str(), nullptr, 10);
      return Reply(id, 200, "ok\n");
    }
    if (path == "/stats") return Reply(id, 200, StatsJson());
    if (path == "/drain") {
      Reply(id, 200, "draining\n");
      return Drain();
    }
    Reply(id, 404, "unknown path\n");
  }

  /// The daemon closed the connection: cancels the run and frees its slot.
  void OnAbandoned(uint64_t id) override {
    auto it = runs_.find(id);
    if (it == runs_.end()) return;
    it->second->cancel();
    runs_.erase(it);
    ++cancelled_runs_;
    StopIfDrained();
  }

  HttpResponse OnRefused(ErrorKind kind) override {
    HttpResponse response;
    response.status = ErrorInfoOf(kind).http_status;
    return response;
  }

 private:
  bool IsWarmingUp() const {
    auto age = std::chrono::steady_clock::now() - started_;
    return age < std::chrono::milliseconds(options_.cold_start_ms);
  }

  void HandleRun(uint64_t id, const std::string& route, HttpRequest request) {
    if (runs_.size() >= static_cast<size_t>(options_.slots) || draining_ ||
        IsWarmingUp())
      return ReplyShed(id);
    if (request.body.compare(0, 5, "crash") == 0) _exit(1);
    AppendToLedger(route, request);
    ++started_runs_;
    int64_t run_ms = DrawRunTimeMs(request.body);
    int64_t timeout_ms = std::strtoll(
        std::string(HeaderOf(request.headers, caller_api::kTimeoutHeader))
            .c_str(),
        nullptr, 10);
    bool keyed = !HeaderOf(request.headers, caller_api::kKeyHeader).empty();
    bool exceeds_deadline = !keyed && timeout_ms > 0 && run_ms > timeout_ms;
    bool fails_randomly =
        random_.ChancePermille(static_cast<int>(options_.fail_permille));
    auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::milliseconds(exceeds_deadline ? timeout_ms : run_ms));
    runs_[id] = timer;
    std::string text =
        fmt::format("{} ran {}: {}\n", options_.service, route, request.body);
    timer->async_wait(
        [this, id, exceeds_deadline, fails_randomly,
         text = std::move(text)](boost::system::error_code error) {
          if (error || runs_.erase(id) == 0) return;
          int status = exceeds_deadline ? 504 : (fails_randomly ? 500 : 200);
          Reply(id, status, status == 200 ? text : "failed\n");
          StopIfDrained();
        });
  }

  void ReplyShed(uint64_t id) {
    ++shed_runs_;
    HttpResponse response;
    response.status = 503;
    response.headers.emplace_back(caller_api::kShedHeader, "1");
    response.body = "shed\n";
    server_.Reply(id, std::move(response));
  }

  int64_t DrawRunTimeMs(const std::string& body) {
    size_t position = body.find("run_ms=");
    if (position != std::string::npos)
      return std::strtoll(body.c_str() + position + 7, nullptr, 10);
    // Uniform between 0.5 and 1.5 times the mean.
    return options_.run_ms / 2 +
           static_cast<int64_t>(
               random_.Below(static_cast<uint64_t>(options_.run_ms) + 1));
  }

  /// Appends one line per run with a single write, before the run starts.
  void AppendToLedger(const std::string& route, const HttpRequest& request) {
    if (ledger_ < 0) return;
    std::string line = fmt::format(
        "{} {} {}\n", route, HeaderOf(request.headers, caller_api::kKeyHeader),
        request.body.substr(0, 64));
    if (write(ledger_, line.data(), line.size()) < 0)
      fmt::print(stderr, "backend_standin: cannot append to the ledger file\n");
  }

  void StopIfDrained() {
    if (!draining_ || !runs_.empty()) return;
    // Leaves time to send the responses that are still in transit.
    auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::milliseconds(200));
    timer->async_wait([this, timer](boost::system::error_code) {
      if (runs_.empty()) io_.stop();
    });
  }

  /// Announces the backend server to its daemon every second.
  void SendAnnouncement() {
    UpdateDaemonClient();
    if (daemon_) {
      HttpRequest request;
      request.method = "POST";
      request.target = "/announce";
      const char* state =
          draining_ ? "draining" : (IsWarmingUp() ? "warming" : "ready");
      request.body = Json{
          {"service", options_.service},
          {"slots", options_.slots},
          {"state", state},
          {"boot_id",
           boot_id_}}.dump();
      daemon_->Send(++announce_id_, request, 1000, [](HttpOutcome) {});
    }
    announce_timer_.expires_after(
        std::chrono::milliseconds(daemon_ && !IsWarmingUp() ? 1000 : 50));
    announce_timer_.async_wait([this](boost::system::error_code error) {
      if (!error) SendAnnouncement();
    });
  }

  /// Re-reads the address of the daemon, which may start later or restart with
  /// another address.
  void UpdateDaemonClient() {
    std::ifstream file(options_.daemon_file);
    std::string name;
    std::string address;
    std::string admin;
    while (file >> name >> address) {
      if (name == "admin") admin = address;
    }
    if (admin.empty() || admin == daemon_address_) return;
    HttpClientSettings settings;
    if (!ParseEndpoint(admin, &settings.server)) return;
    daemon_address_ = admin;
    daemon_ = std::make_unique<HttpClient>(io_, settings);
  }

  std::string StatsJson() const {
    return Json{{"ran", started_runs_},
                {"shed", shed_runs_},
                {"cancelled", cancelled_runs_},
                {"running", runs_.size()}}
               .dump() +
           "\n";
  }

  void Reply(uint64_t id, int status, std::string body) {
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    server_.Reply(id, std::move(response));
  }

  asio::io_context& io_;
  BackendOptions options_;
  HttpServer server_;
  Random random_;
  std::string boot_id_;
  asio::steady_timer announce_timer_;
  std::chrono::steady_clock::time_point started_;
  std::map<uint64_t, std::shared_ptr<asio::steady_timer>> runs_;
  std::unique_ptr<HttpClient> daemon_;
  std::string daemon_address_;
  uint64_t announce_id_ = 0;
  uint64_t started_runs_ = 0;
  uint64_t shed_runs_ = 0;
  uint64_t cancelled_runs_ = 0;
  bool draining_ = false;
  int ledger_ = -1;
};

int Main(int argc, char** argv) {
  BackendOptions options;
  OptionTable table;
  table.Address("listen", &options.listen, "address to listen on");
  table.Text("address-file", &options.address_file,
             "file to write the address to");
  table.Text("daemon-file", &options.daemon_file,
             "file with the addresses of its daemon");
  table.Text("service", &options.service, "name of the service, in any scheme",
             true);
  table.Text("ledger", &options.ledger,
             "file to which each run is appended; empty: none");
  table.Number("slots", &options.slots, 1, 1000,
               "maximum number of concurrent runs");
  table.Number("connections", &options.connections, 1, 10000,
               "maximum number of open connections");
  table.Number("connection-ms", &options.connection_ms, 0, 1000,
               "cost of a new connection, in ms");
  table.Number("run-ms", &options.run_ms, 0, 60000, "mean run time, in ms");
  table.Number("cold-start-ms", &options.cold_start_ms, 0, 60000,
               "time after the start before it can serve, in ms");
  table.Number("lie", &options.report_healthy, 0, 1,
               "1: health and load endpoints always report healthy and idle");
  table.Number("seed", &options.seed, 1, INT64_MAX, "seed of run times");
  OptionTable::Parsed parsed = table.Parse(argc, argv);
  for (const std::string& error : parsed.errors)
    fmt::print(stderr, "backend_standin: {}\n", error);
  if (!parsed.errors.empty()) return 2;

  asio::io_context io;
  HttpServerSettings settings;
  ParseEndpoint(options.listen, &settings.listen);
  settings.max_connections = static_cast<size_t>(options.connections);
  settings.first_read_delay_ms = options.connection_ms;
  settings.max_body_bytes = 8 * 1024 * 1024;
  BackendStandin standin(io, options, settings);
  Result<Endpoint> started = standin.Start();
  if (const Error* error = ErrorOf(started)) {
    fmt::print(stderr, "backend_standin: {}\n", error->detail);
    return 3;
  }
  if (!options.address_file.empty()) {
    std::ofstream(options.address_file + ".partial")
        << ValueOf(started)->Text() << "\n";
    std::rename((options.address_file + ".partial").c_str(),
                options.address_file.c_str());
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code error, int) {
    if (!error) standin.Drain();
  });
  io.run();
  return 0;
}

}  // namespace
}  // namespace banyanloft

int main(int argc, char** argv) { return banyanloft::Main(argc, argv); }
