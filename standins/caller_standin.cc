#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <sstream>

#include "banyanloft/config/json.h"
#include "banyanloft/core/option_table.h"
#include "banyanloft/core/random.h"
#include "banyanloft/daemon/caller_api.h"
#include "banyanloft/http/http_client.h"
#include "standins/latency_summary.h"

/// Load generator that simulates callers: open-loop load on one or more
/// daemons. Each entry of the mix is NAME:RATE[:key[:BODY]], with the rate in
/// calls per second.
namespace banyanloft {
namespace {

namespace asio = boost::asio;
using SteadyClockTime = std::chrono::steady_clock::time_point;

/// One type of call in the mix, and its results.
struct MixEntry {
  std::string name;
  double rate = 0;
  bool keyed = false;
  std::string body;
  SteadyClockTime next_send;
  uint64_t sent = 0;
  uint64_t served = 0;
  uint64_t matched = 0;
  uint64_t retried = 0;
  std::map<std::string, uint64_t> refused;
  std::map<std::string, uint64_t> run_states;
  LatencySummary latency;
};

class CallerLoad {
 public:
  CallerLoad(asio::io_context& io, std::vector<MixEntry> mix,
             const std::vector<Endpoint>& daemons, int64_t seconds,
             uint64_t seed, std::string prefix)
      : io_(io),
        mix_(std::move(mix)),
        random_(seed),
        prefix_(std::move(prefix)),
        timer_(io) {
    for (const Endpoint& daemon : daemons) {
      HttpClientSettings settings;
      settings.server = daemon;
      settings.max_connections = 400;
      settings.max_waiting = 20000;
      clients_.push_back(std::make_unique<HttpClient>(io, settings));
    }
    end_time_ =
        std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    for (MixEntry& entry : mix_)
      entry.next_send = std::chrono::steady_clock::now();
    SendDueCalls();
  }

  bool Done() const { return stopped_ && in_flight_ == 0; }
  const std::vector<MixEntry>& Mix() const { return mix_; }

 private:
  void SendDueCalls() {
    auto now = std::chrono::steady_clock::now();
    for (MixEntry& entry : mix_) {
      while (entry.next_send <= now && now < end_time_) {
        StartCall(&entry);
        // Exponential intervals between calls give Poisson arrivals.
        double uniform =
            (static_cast<double>(random_.Below(1000000)) + 1) / 1000001.0;
        entry.next_send += std::chrono::microseconds(
            static_cast<int64_t>(-std::log(uniform) / entry.rate * 1e6));
      }
    }
    stopped_ = now >= end_time_;
    if (Done()) return io_.stop();
    timer_.expires_after(std::chrono::milliseconds(1));
    timer_.async_wait([this](boost::system::error_code) { SendDueCalls(); });
  }

  void StartCall(MixEntry* entry) {
    ++entry->sent;
    ++in_flight_;
    uint64_t call_id = ++last_call_;
    HttpClient* client = clients_[random_.Below(clients_.size())].get();
    auto started = std::chrono::steady_clock::now();
    if (!entry->keyed) return SendCall(entry, client, call_id, started, "");
    HttpRequest key_request;
    key_request.method = "POST";
    key_request.target = "/keys/" + entry->name;
    client->Send(++last_request_id_, key_request, 5000,
                 [this, entry, client, call_id, started](HttpOutcome outcome) {
                   std::string key(HeaderOf(outcome.response.headers,
                                            caller_api::kKeyHeader));
                   if (outcome.failure || key.empty())
                     return OnCallCompleted(entry, started, "", outcome);
                   SendCall(entry, client, call_id, started, key);
                 });
  }

  void SendCall(MixEntry* entry, HttpClient* client, uint64_t call_id,
                SteadyClockTime started, const std::string& key) {
    HttpRequest request;
    request.method = "POST";
    request.target = prefix_ + entry->name;
    request.body = fmt::format("call {} {}", call_id, entry->body);
    if (!key.empty()) request.headers.emplace_back(caller_api::kKeyHeader, key);
    std::string expected = fmt::format(": call {} ", call_id);
    client->Send(++last_request_id_, request, 15000,
                 [this, entry, started, expected](HttpOutcome outcome) {
                   OnCallCompleted(entry, started, expected, outcome);
                 });
  }

  void OnCallCompleted(MixEntry* entry, SteadyClockTime started,
                       const std::string& expected,
                       const HttpOutcome& outcome) {
    --in_flight_;
    if (outcome.failure) {
      ++entry->refused["no_answer"];
      ++entry->run_states["unknown"];
      return;
    }
    const HttpResponse& response = outcome.response;
    ++entry->run_states[std::string(
        HeaderOf(response.headers, caller_api::kRunHeader))];
    if (!HeaderOf(response.headers, caller_api::kRetriedHeader).empty())
      ++entry->retried;
    if (response.status == 200) {
      ++entry->served;
      entry->latency.Add(std::chrono::steady_clock::now() - started);
      if (response.body.find(expected) != std::string::npos) ++entry->matched;
      return;
    }
    std::string error(HeaderOf(response.headers, caller_api::kErrorHeader));
    ++entry->refused[error.empty() ? fmt::format("status_{}", response.status)
                                   : error];
  }

  asio::io_context& io_;
  std::vector<MixEntry> mix_;
  Random random_;
  std::string prefix_;
  asio::steady_timer timer_;
  std::vector<std::unique_ptr<HttpClient>> clients_;
  SteadyClockTime end_time_;
  bool stopped_ = false;
  uint64_t in_flight_ = 0;
  uint64_t last_call_ = 0;
  uint64_t last_request_id_ = 0;
};

bool ParseMix(const std::string& text, std::vector<MixEntry>* mix) {
  std::istringstream parts(text);
  for (std::string item; std::getline(parts, item, ',');) {
    std::istringstream fields(item);
    MixEntry entry;
    std::string rate;
    std::string key;
    std::getline(fields, entry.name, ':');
    std::getline(fields, rate, ':');
    std::getline(fields, key, ':');
    std::getline(fields, entry.body, ':');
    entry.rate = std::strtod(rate.c_str(), nullptr);
    entry.keyed = key == "key";
    if (entry.name.empty() || entry.rate <= 0) return false;
    mix->push_back(std::move(entry));
  }
  return !mix->empty();
}

void PrintSummary(const std::vector<MixEntry>& mix) {
  fmt::print("{:<28} {:>7} {:>7} {:>7} {:>8} {:>8}  refused by reason\n",
             "name", "sent", "served", "retried", "p50 ms", "p99 ms");
  for (const MixEntry& entry : mix) {
    std::string refused;
    for (const auto& [reason, count] : entry.refused)
      refused += fmt::format(" {}={}", reason, count);
    fmt::print("{:<28} {:>7} {:>7} {:>7} {:>8.2f} {:>8.2f} {}\n", entry.name,
               entry.sent, entry.served, entry.retried,
               entry.latency.Quantile(0.5), entry.latency.Quantile(0.99),
               refused.empty() ? " -" : refused);
  }
}

std::string MixJson(const std::vector<MixEntry>& mix) {
  Json list = Json::array();
  for (const MixEntry& entry : mix) {
    list.push_back({{"name", entry.name},
                    {"sent", entry.sent},
                    {"served", entry.served},
                    {"whole", entry.matched},
                    {"retried", entry.retried},
                    {"refused", entry.refused},
                    {"run_states", entry.run_states},
                    {"p50_ms", entry.latency.Quantile(0.5)},
                    {"p99_ms", entry.latency.Quantile(0.99)},
                    {"p999_ms", entry.latency.Quantile(0.999)}});
  }
  return list.dump();
}

int Main(int argc, char** argv) {
  std::vector<std::string> daemons;
  std::string mix_text;
  std::string output = "text";
  std::string prefix = "/call/";
  int64_t seconds = 5;
  int64_t seed = 1;
  OptionTable options;
  options.Addresses(
      "daemons", &daemons,
      "caller addresses of the daemons to call, chosen at random per call");
  options.Text("mix", &mix_text,
               "NAME:RATE[:key[:BODY]],... with rates in calls per second",
               true);
  options.Text(
      "prefix", &prefix,
      "path prefix of the name; /run/ calls a backend server directly");
  options.Number("seconds", &seconds, 1, 600, "duration of the load, in s");
  options.Number("seed", &seed, 1, INT64_MAX,
                 "seed of arrivals and of random choices");
  options.Choice("output", &output, {"text", "json"}, "output format");
  OptionTable::Parsed parsed = options.Parse(argc, argv);
  std::vector<MixEntry> mix;
  if (parsed.errors.empty() && !ParseMix(mix_text, &mix))
    parsed.errors.push_back(
        "--mix: malformed entry, expected NAME:RATE[:key[:BODY]]");
  if (parsed.errors.empty() && daemons.empty())
    parsed.errors.push_back("--daemons is missing");
  for (const std::string& error : parsed.errors)
    fmt::print(stderr, "caller_standin: {}\n", error);
  if (!parsed.errors.empty()) return 2;

  std::vector<Endpoint> endpoints(daemons.size());
  for (size_t i = 0; i < daemons.size(); ++i)
    ParseEndpoint(daemons[i], &endpoints[i]);
  asio::io_context io;
  CallerLoad load(io, std::move(mix), endpoints, seconds,
                  static_cast<uint64_t>(seed), prefix);
  io.run();
  if (output == "json") {
    fmt::print("{}\n", MixJson(load.Mix()));
  } else {
    PrintSummary(load.Mix());
  }
  // Every served call must have received the response to its own request.
  for (const MixEntry& entry : load.Mix()) {
    if (entry.matched != entry.served) return 1;
  }
  return 0;
}

}  // namespace
}  // namespace banyanloft

int main(int argc, char** argv) { return banyanloft::Main(argc, argv); }
