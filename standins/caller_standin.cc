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

/// Stand-in for callers: an open-loop load on any daemons. Each part of the
/// mix is NAME:RATE or NAME:RATE:key, in calls a second.
namespace banyanloft {
namespace {

namespace asio = boost::asio;
using SteadyClockTime = std::chrono::steady_clock::time_point;

/// One kind of call in the mix and what became of it.
struct MixPart {
  std::string name;
  double rate = 0;
  bool keyed = false;
  std::string body;
  SteadyClockTime next;
  uint64_t sent = 0;
  uint64_t served = 0;
  uint64_t whole = 0;
  uint64_t retried = 0;
  std::map<std::string, uint64_t> refused;
  std::map<std::string, uint64_t> run_states;
  LatencySummary latency;
};

class CallerLoad {
 public:
  CallerLoad(asio::io_context& io, std::vector<MixPart> mix,
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
    end_ = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    for (MixPart& part : mix_) part.next = std::chrono::steady_clock::now();
    Tick();
  }

  bool Done() const { return stopped_ && in_flight_ == 0; }
  const std::vector<MixPart>& Mix() const { return mix_; }

 private:
  void Tick() {
    auto now = std::chrono::steady_clock::now();
    for (MixPart& part : mix_) {
      while (part.next <= now && now < end_) {
        SendOne(&part);
        // Poisson arrivals.
        double uniform =
            (static_cast<double>(random_.Below(1000000)) + 1) / 1000001.0;
        part.next += std::chrono::microseconds(
            static_cast<int64_t>(-std::log(uniform) / part.rate * 1e6));
      }
    }
    stopped_ = now >= end_;
    if (Done()) return io_.stop();
    timer_.expires_after(std::chrono::milliseconds(1));
    timer_.async_wait([this](boost::system::error_code) { Tick(); });
  }

  void SendOne(MixPart* part) {
    ++part->sent;
    ++in_flight_;
    uint64_t number = ++calls_;
    HttpClient* client = clients_[random_.Below(clients_.size())].get();
    auto started = std::chrono::steady_clock::now();
    if (!part->keyed) return Call(part, client, number, started, "");
    HttpRequest take;
    take.method = "POST";
    take.target = "/keys/" + part->name;
    client->Send(++requests_, take, 5000,
                 [this, part, client, number, started](HttpOutcome outcome) {
                   std::string key(HeaderOf(outcome.response.headers,
                                            caller_api::kKeyHeader));
                   if (outcome.failure || key.empty())
                     return End(part, started, "", outcome);
                   Call(part, client, number, started, key);
                 });
  }

  void Call(MixPart* part, HttpClient* client, uint64_t number,
            SteadyClockTime started, const std::string& key) {
    HttpRequest request;
    request.method = "POST";
    request.target = prefix_ + part->name;
    request.body = fmt::format("call {} {}", number, part->body);
    if (!key.empty()) request.headers.emplace_back(caller_api::kKeyHeader, key);
    std::string expected = fmt::format(": call {} ", number);
    client->Send(++requests_, request, 15000,
                 [this, part, started, expected](HttpOutcome outcome) {
                   End(part, started, expected, outcome);
                 });
  }

  void End(MixPart* part, SteadyClockTime started, const std::string& expected,
           const HttpOutcome& outcome) {
    --in_flight_;
    if (outcome.failure) {
      ++part->refused["no_answer"];
      ++part->run_states["unknown"];
      return;
    }
    const HttpResponse& response = outcome.response;
    ++part->run_states[std::string(
        HeaderOf(response.headers, caller_api::kRunHeader))];
    if (!HeaderOf(response.headers, caller_api::kRetriedHeader).empty())
      ++part->retried;
    if (response.status == 200) {
      ++part->served;
      part->latency.Add(std::chrono::steady_clock::now() - started);
      if (response.body.find(expected) != std::string::npos) ++part->whole;
      return;
    }
    std::string error(HeaderOf(response.headers, caller_api::kErrorHeader));
    ++part->refused[error.empty() ? fmt::format("status_{}", response.status)
                                  : error];
  }

  asio::io_context& io_;
  std::vector<MixPart> mix_;
  Random random_;
  std::string prefix_;
  asio::steady_timer timer_;
  std::vector<std::unique_ptr<HttpClient>> clients_;
  SteadyClockTime end_;
  bool stopped_ = false;
  uint64_t in_flight_ = 0;
  uint64_t calls_ = 0;
  uint64_t requests_ = 0;
};

bool ParseMix(const std::string& text, std::vector<MixPart>* mix) {
  std::istringstream parts(text);
  for (std::string item; std::getline(parts, item, ',');) {
    std::istringstream fields(item);
    MixPart part;
    std::string rate;
    std::string key;
    std::getline(fields, part.name, ':');
    std::getline(fields, rate, ':');
    std::getline(fields, key, ':');
    std::getline(fields, part.body, ':');
    part.rate = std::strtod(rate.c_str(), nullptr);
    part.keyed = key == "key";
    if (part.name.empty() || part.rate <= 0) return false;
    mix->push_back(std::move(part));
  }
  return !mix->empty();
}

void PrintTable(const std::vector<MixPart>& mix) {
  fmt::print("{:<28} {:>7} {:>7} {:>7} {:>8} {:>8}  refused by reason\n",
             "name", "sent", "served", "retried", "p50 ms", "p99 ms");
  for (const MixPart& part : mix) {
    std::string refused;
    for (const auto& [reason, count] : part.refused)
      refused += fmt::format(" {}={}", reason, count);
    fmt::print("{:<28} {:>7} {:>7} {:>7} {:>8.2f} {:>8.2f} {}\n", part.name,
               part.sent, part.served, part.retried, part.latency.Quantile(0.5),
               part.latency.Quantile(0.99), refused.empty() ? " -" : refused);
  }
}

std::string MixJson(const std::vector<MixPart>& mix) {
  Json list = Json::array();
  for (const MixPart& part : mix) {
    list.push_back({{"name", part.name},
                    {"sent", part.sent},
                    {"served", part.served},
                    {"whole", part.whole},
                    {"retried", part.retried},
                    {"refused", part.refused},
                    {"run_states", part.run_states},
                    {"p50_ms", part.latency.Quantile(0.5)},
                    {"p99_ms", part.latency.Quantile(0.99)},
                    {"p999_ms", part.latency.Quantile(0.999)}});
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
  options.Text("mix", &mix_text, "NAME:RATE[:key[:BODY]],... in calls a second",
               true);
  options.Text("prefix", &prefix,
               "path before the name; /run/ calls a backend server directly");
  options.Number("seconds", &seconds, 1, 600, "length of the load, in s");
  options.Number("seed", &seed, 1, INT64_MAX, "seed of arrivals and choices");
  options.Choice("output", &output, {"text", "json"}, "form of the output");
  OptionTable::Parsed parsed = options.Parse(argc, argv);
  std::vector<MixPart> mix;
  if (parsed.errors.empty() && !ParseMix(mix_text, &mix))
    parsed.errors.push_back("--mix: is malformed");
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
    PrintTable(load.Mix());
  }
  // Every served call must have got the whole answer to its own request.
  for (const MixPart& part : load.Mix()) {
    if (part.whole != part.served) return 1;
  }
  return 0;
}

}  // namespace
}  // namespace banyanloft

int main(int argc, char** argv) { return banyanloft::Main(argc, argv); }
