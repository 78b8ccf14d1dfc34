#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

#include "banyanloft/config/json.h"
#include "banyanloft/core/option_table.h"
#include "banyanloft/http/http_client.h"
#include "banyanloft/operator/operator_session.h"
#include "banyanloft/store/http_platform.h"

/// Measures a fleet of daemon processes: control traffic, CPU time and memory
/// per daemon while idle and while configuration changes are applied, and the
/// time from the acceptance of a change until it is in force on all daemons.
namespace banyanloft {
namespace {

constexpr int64_t kTimeoutMs = 5000;
constexpr int kChanges = 10;

struct ProbeSettings {
  std::string platform;
  std::vector<std::string> daemons;
  std::string file;
  int64_t idle_s = 30;
  int64_t seed = 1;
};

/// Metrics of one daemon.
struct Sample {
  double bytes = 0;
  double messages = 0;
  double cpu_s = 0;
  double resident_bytes = 0;
  double members = 0;
};

class FleetProbe {
 public:
  explicit FleetProbe(const ProbeSettings& settings) : settings_(settings) {
    for (const std::string& daemon : settings.daemons) {
      HttpClientSettings client;
      ParseEndpoint(daemon, &client.server);
      client.max_connections = 1;
      clients_.push_back(std::make_unique<HttpClient>(io_, client));
    }
  }

  int Run() {
    std::vector<Sample> before = CollectSamples();
    Json platform_before = PlatformStats();
    std::this_thread::sleep_for(std::chrono::seconds(settings_.idle_s));
    std::vector<Sample> after = CollectSamples();
    Json platform_after = PlatformStats();
    Json idle = Cost(before, after, static_cast<double>(settings_.idle_s));

    std::vector<int64_t> adoption_times_ms;
    std::vector<int64_t> last_adoption_times_ms;
    auto start = std::chrono::steady_clock::now();
    for (int change = 1; change <= kChanges; ++change) {
      if (!MeasureChange(change, &adoption_times_ms, &last_adoption_times_ms))
        return 1;
      std::this_thread::sleep_for(std::chrono::seconds(2));
    }
    double changing_s =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
            .count();
    Json changing = Cost(after, CollectSamples(), changing_s);
    std::sort(adoption_times_ms.begin(), adoption_times_ms.end());
    std::sort(last_adoption_times_ms.begin(), last_adoption_times_ms.end());
    int64_t p99_ms = adoption_times_ms[adoption_times_ms.size() * 99 / 100];
    double calls = TotalCalls(platform_after) - TotalCalls(platform_before);
    double calls_per_s = calls / static_cast<double>(settings_.idle_s);
    fmt::print("{} daemons, idle: {}\n{} daemons, a change every 2 s: {}\n",
               clients_.size(), idle.dump(), clients_.size(), changing.dump());
    fmt::print(
        "in force after acceptance: p50 {} ms, p99 {} ms, last daemon {} ms "
        "(worst of {} changes)\n",
        adoption_times_ms[adoption_times_ms.size() / 2], p99_ms,
        last_adoption_times_ms.back(), kChanges);
    Json figures = {{"bench", "fleet"},
                    {"daemons", clients_.size()},
                    {"seed", settings_.seed},
                    {"in_force_p99_ms", p99_ms},
                    {"in_force_all_ms", last_adoption_times_ms.back()},
                    {"idle", idle},
                    {"changing", changing},
                    {"bytes_per_s", idle["bytes_per_s"]},
                    {"core_share", idle["core_share"]},
                    {"rss_mb", changing["rss_mb"]},
                    {"platform_calls_per_s", calls_per_s},
                    {"platform_calls_worst_s", platform_after["worst_second"]}};
    fmt::print("{}\n", figures.dump());
    return 0;
  }

 private:
  static double TotalCalls(const Json& stats) {
    return stats["reads"].get<double>() + stats["writes"].get<double>() +
           stats["watches"].get<double>();
  }

  std::vector<std::string> FetchFromAll(const std::string& target) {
    std::vector<std::string> bodies(clients_.size());
    size_t open = clients_.size();
    for (size_t i = 0; i < clients_.size(); ++i) {
      HttpRequest request;
      request.target = target;
      clients_[i]->Send(++last_request_id_, request, kTimeoutMs,
                        [&, i](HttpOutcome outcome) {
                          bodies[i] = std::move(outcome.response.body);
                          --open;
                        });
    }
    io_.restart();
    while (open > 0 && io_.run_one() > 0) {
    }
    return bodies;
  }

  std::vector<Sample> CollectSamples() {
    std::vector<Sample> samples;
    for (const std::string& body : FetchFromAll("/metrics")) {
      Sample sample;
      std::istringstream lines(body);
      std::string name;
      std::string value;
      for (std::string line; std::getline(lines, line);) {
        std::istringstream fields(line);
        if (!(fields >> name >> value)) continue;
        double number = std::strtod(value.c_str(), nullptr);
        if (name == "banyanloft_datagram_bytes_total{direction=\"sent\"}")
          sample.bytes += number;
        if (name == "banyanloft_link_bytes_total{direction=\"sent\"}")
          sample.bytes += number;
        if (name == "banyanloft_datagrams_total{direction=\"sent\"}")
          sample.messages += number;
        if (name == "banyanloft_link_messages_total{direction=\"sent\"}")
          sample.messages += number;
        if (name == "banyanloft_process_cpu_seconds") sample.cpu_s = number;
        if (name == "banyanloft_process_resident_bytes")
          sample.resident_bytes = number;
        if (name == "banyanloft_members_alive") sample.members = number;
      }
      samples.push_back(sample);
    }
    return samples;
  }

  Json Cost(const std::vector<Sample>& before, const std::vector<Sample>& after,
            double seconds) const {
    double bytes = 0;
    double messages = 0;
    double cpu_s = 0;
    double resident = 0;
    double min_members = 1e9;
    for (size_t i = 0; i < after.size(); ++i) {
      bytes += after[i].bytes - before[i].bytes;
      messages += after[i].messages - before[i].messages;
      cpu_s += after[i].cpu_s - before[i].cpu_s;
      resident = std::max(resident, after[i].resident_bytes);
      min_members = std::min(min_members, after[i].members);
    }
    double scale = static_cast<double>(after.size()) * seconds;
    return Json{{"bytes_per_s", bytes / scale},
                {"messages_per_s", messages / scale},
                {"core_share", cpu_s / scale},
                {"rss_mb", resident / 1e6},
                {"least_members", min_members}};
  }

  Json PlatformStats() {
    boost::asio::io_context io;
    HttpClientSettings client_settings;
    ParseEndpoint(settings_.platform, &client_settings.server);
    HttpClient client(io, client_settings);
    HttpRequest request;
    request.target = "/stats";
    Json stats;
    client.Send(1, request, kTimeoutMs, [&](HttpOutcome outcome) {
      stats = ParseJson(outcome.response.body);
      io.stop();
    });
    io.run();
    return stats;
  }

  /// Applies a change; appends the time until it was in force, of each daemon
  /// to `adoption_times_ms` and of the last one to `last_adoption_times_ms`.
  bool MeasureChange(int variant, std::vector<int64_t>* adoption_times_ms,
                     std::vector<int64_t>* last_adoption_times_ms) {
    std::ifstream stream(settings_.file);
    std::stringstream text;
    text << stream.rdbuf();
    Result<Configuration> configuration = ConfigurationFromJson(text.str());
    if (ErrorOf(configuration) != nullptr) return false;
    ValueOf(configuration)->services.begin()->second.drain_ms += variant;
    Endpoint endpoint;
    ParseEndpoint(settings_.platform, &endpoint);
    HttpPlatform platform(endpoint, kTimeoutMs);
    OperatorSettings session_settings;
    session_settings.seed =
        static_cast<uint64_t>(settings_.seed * 1000 + variant);
    OperatorSession session(session_settings, &platform, [](int64_t) {});
    Result<ChangePlan> plan = session.Plan(*ValueOf(configuration), "probe");
    if (ErrorOf(plan) != nullptr) return false;
    // The daemons run on the same machine, so that the adoption time that they
    // report is on the same monotonic clock.
    int64_t accepted_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now().time_since_epoch())
            .count();
    Result<HeadEntry> entry = session.Apply(*ValueOf(plan));
    if (ErrorOf(entry) != nullptr) return false;
    std::this_thread::sleep_for(std::chrono::seconds(3));
    int64_t last_ms = 0;
    for (const std::string& body : FetchFromAll("/status")) {
      Json status = ParseJson(body);
      if (!status.is_object() || status["version"] != ValueOf(entry)->version) {
        fmt::print(
            stderr,
            "fleet_probe: a daemon has not adopted version {} after 3 s\n",
            ValueOf(entry)->version);
        return false;
      }
      int64_t adoption_ms =
          status["in_force_at_ms"].get<int64_t>() - accepted_ms;
      adoption_times_ms->push_back(adoption_ms);
      last_ms = std::max(last_ms, adoption_ms);
    }
    last_adoption_times_ms->push_back(last_ms);
    return true;
  }

  ProbeSettings settings_;
  boost::asio::io_context io_;
  std::vector<std::unique_ptr<HttpClient>> clients_;
  uint64_t last_request_id_ = 0;
};

}  // namespace
}  // namespace banyanloft

int main(int argc, char** argv) {
  banyanloft::ProbeSettings settings;
  banyanloft::OptionTable options;
  options.Address("platform", &settings.platform, "address of the platform",
                  true);
  options.Addresses("daemons", &settings.daemons,
                    "admin addresses of the daemons");
  options.Text("file", &settings.file, "configuration to vary", true);
  options.Number("quiet-s", &settings.idle_s, 1, 3600,
                 "length of the idle measurement, in s");
  options.Number("seed", &settings.seed, 1, INT64_MAX,
                 "seed of the change ids");
  banyanloft::OptionTable::Parsed parsed = options.Parse(argc, argv);
  for (const std::string& error : parsed.errors)
    fmt::print(stderr, "fleet_probe: {}\n", error);
  if (!parsed.errors.empty()) return 2;
  return banyanloft::FleetProbe(settings).Run();
}
