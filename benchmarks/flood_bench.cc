#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "banyanloft/config/codec.h"
#include "benchmarks/bench.h"
#include "standins/node_fleet.h"

namespace banyanloft {
namespace {

constexpr int64_t kRunMs = 40;
constexpr int kSlots = 20;
constexpr int64_t kWarmUpMs = 2000;
constexpr int64_t kMeasureMs = 5000;
constexpr double kFloodFactor = 10;
/// Demand of each rank above its floor in a flood of the most urgent rank, as a
/// share of capacity. The calls of the flood come on top.
constexpr double kDemandAboveFloor = 0.05;

/// A sample deployment and the service that is flooded.
struct Deployment {
  std::string name;
  std::string service;
  std::string route;  ///< Most urgent route; calls may specify a lower rank.
};

enum class Flood : uint8_t { kNone, kLeastUrgent, kMostUrgent };

/// Results of the calls of one rank.
struct RankResults {
  uint64_t offered = 0;
  uint64_t served = 0;
  uint64_t refused = 0;
  std::map<std::string, uint64_t> reasons;
  std::vector<int64_t> latencies_ms;
  double GoodputPerS() const {
    return static_cast<double>(served) * 1000 / kMeasureMs;
  }
  int64_t P99Ms() {
    if (latencies_ms.empty()) return 0;
    size_t index = latencies_ms.size() * 99 / 100;
    std::nth_element(latencies_ms.begin(),
                     latencies_ms.begin() + static_cast<int64_t>(index),
                     latencies_ms.end());
    return latencies_ms[index];
  }
};

struct Outcome {
  std::vector<RankResults> ranks;
  double capacity_per_s = 0;
  double total_per_s = 0;
};

Configuration LoadConfiguration(const std::string& file) {
  std::ifstream stream(file);
  std::stringstream text;
  text << stream.rdbuf();
  Result<Configuration> configuration = ConfigurationFromJson(text.str());
  if (const Error* error = ErrorOf(configuration)) {
    fmt::print(stderr, "{}: {}\n", file, error->detail);
    std::exit(1);
  }
  return *ValueOf(configuration);
}

/// Constant load of one rank. Fractions of calls accumulate in `pending_calls`.
struct LoadSource {
  int rank;
  double per_ms;
  double pending_calls = 0;
};

class FloodRun {
 public:
  FloodRun(const Deployment& deployment, QueuePolicy policy, Flood flood,
           uint64_t seed)
      : configuration_(
            LoadConfiguration("samples/" + deployment.name + ".json")),
        deployment_(deployment),
        random_(seed),
        fleet_(Settings(policy, seed)) {
    fleet_.ApplyConfiguration(configuration_);
    StartInstances();
    fleet_.Run(15000);
    outcome_.ranks.resize(configuration_.ranks.size());
    outcome_.capacity_per_s =
        static_cast<double>(targets_) * kSlots * 1000 / kRunMs;
    fleet_.on_call_completed = [this](uint64_t call, const CallAnswer& answer) {
      OnCallCompleted(call, answer);
    };
    GenerateLoad(flood);
  }

  Outcome TakeOutcome() {
    for (const RankResults& rank : outcome_.ranks)
      outcome_.total_per_s += rank.GoodputPerS();
    return std::move(outcome_);
  }

 private:
  static NodeFleetSettings Settings(QueuePolicy policy, uint64_t seed) {
    NodeFleetSettings settings;
    settings.seed = seed;
    settings.run_ms = kRunMs;
    settings.run_jitter_permille = 500;
    settings.slots = kSlots;
    settings.node.runner.admission.policy = policy;
    return settings;
  }

  void StartInstances() {
    std::ifstream stream("samples/" + deployment_.name + ".fleet");
    for (std::string line; std::getline(stream, line);) {
      if (line.empty() || line[0] == '#') continue;
      std::istringstream fields(line);
      std::string zone;
      std::string service;
      fields >> zone >> service;
      fleet_.Start(service, zone);
      for (const auto& [id, known] : configuration_.services) {
        bool serves =
            id == service ||
            std::count(known.names.begin(), known.names.end(), service) > 0;
        if (serves && id == deployment_.service) ++targets_;
      }
    }
  }

  void GenerateLoad(Flood flood) {
    std::vector<LoadSource> sources;
    double capacity_per_ms = outcome_.capacity_per_s / 1000;
    int last = static_cast<int>(configuration_.ranks.size()) - 1;
    for (int rank = 0; rank <= last; ++rank) {
      double floor =
          configuration_.ranks[static_cast<size_t>(rank)].floor_permille /
          1000.0;
      // Without a flood of the most urgent rank, the regular demand stays below
      // the floors; with it, every rank demands more than its floor.
      double share =
          flood == Flood::kMostUrgent ? floor + kDemandAboveFloor : 0.8 * floor;
      sources.push_back({rank, share * capacity_per_ms});
    }
    if (flood == Flood::kLeastUrgent)
      sources.push_back({last, kFloodFactor * capacity_per_ms});
    if (flood == Flood::kMostUrgent)
      sources.push_back({0, kFloodFactor * capacity_per_ms});

    TimeMs begin = fleet_.Now() + kWarmUpMs;
    TimeMs end = begin + kMeasureMs;
    while (fleet_.Now() < end) {
      measuring_ = fleet_.Now() >= begin;
      for (LoadSource& source : sources) {
        source.pending_calls += source.per_ms;
        for (; source.pending_calls >= 1; source.pending_calls -= 1)
          StartCall(source.rank);
      }
      fleet_.Run(1);
    }
    measuring_ = false;
    fleet_.Run(5000);
  }

  void StartCall(int rank) {
    CallRequest request;
    request.name = deployment_.route;
    request.rank = configuration_.ranks[static_cast<size_t>(rank)].id;
    size_t at = random_.Below(fleet_.Size());
    // The call may complete before Call() returns its number.
    starting_rank_ = rank;
    starting_measured_ = measuring_;
    if (measuring_) ++outcome_.ranks[static_cast<size_t>(rank)].offered;
    uint64_t call = fleet_.Call(at, std::move(request));
    if (completed_synchronously_) {
      completed_synchronously_ = false;
    } else if (measuring_) {
      open_calls_[call] = {rank, fleet_.Now()};
    }
    starting_rank_ = -1;
  }

  void OnCallCompleted(uint64_t call, const CallAnswer& answer) {
    auto it = open_calls_.find(call);
    if (it != open_calls_.end()) {
      Count(it->second.first, fleet_.Now() - it->second.second, answer);
      open_calls_.erase(it);
    } else if (starting_rank_ >= 0) {
      completed_synchronously_ = true;
      if (starting_measured_) Count(starting_rank_, 0, answer);
    }
  }

  void Count(int rank, int64_t latency_ms, const CallAnswer& answer) {
    RankResults& results = outcome_.ranks[static_cast<size_t>(rank)];
    if (answer.outcome.error) {
      ++results.refused;
      ++results.reasons[std::string(banyanloft::NameOf(*answer.outcome.error))];
      return;
    }
    ++results.served;
    results.latencies_ms.push_back(latency_ms);
  }

  Configuration configuration_;
  Deployment deployment_;
  Random random_;
  NodeFleet fleet_;
  Outcome outcome_;
  int targets_ = 0;
  bool measuring_ = false;
  int starting_rank_ = -1;
  bool starting_measured_ = false;
  bool completed_synchronously_ = false;
  std::map<uint64_t, std::pair<int, TimeMs>> open_calls_;
};

const char* NameOf(QueuePolicy policy) {
  return policy == QueuePolicy::kFloors
             ? "floors"
             : (policy == QueuePolicy::kStrict ? "strict" : "fifo");
}

double WorthOf(const Configuration& configuration, const Outcome& outcome) {
  double worth = 0;
  for (size_t i = 0; i < outcome.ranks.size(); ++i)
    worth += outcome.ranks[i].GoodputPerS() * configuration.ranks[i].worth;
  return worth;
}

void Print(const Deployment& deployment, const Configuration& configuration,
           const char* flood, const char* policy, Outcome* outcome,
           double base_worth) {
  for (size_t i = 0; i < outcome->ranks.size(); ++i) {
    RankResults& rank = outcome->ranks[i];
    double floor = configuration.ranks[i].floor_permille / 1000.0 *
                   outcome->capacity_per_s;
    std::string reasons;
    for (const auto& [reason, count] : rank.reasons)
      reasons += fmt::format(" {}={}", reason, count);
    fmt::print(
        "{:<9} {:<13} {:<7} {:<9} {:>9.0f} {:>9.0f} {:>7.2f} {:>8} {:>8}{}\n",
        deployment.name, flood, policy, configuration.ranks[i].id,
        static_cast<double>(rank.offered) * 1000 / kMeasureMs,
        rank.GoodputPerS(), rank.GoodputPerS() / floor, rank.P99Ms(),
        rank.refused, reasons);
  }
  fmt::print(
      "{:<9} {:<13} {:<7} total     {:>19.0f} of {:.0f}/s; worth kept {:.2f}\n",
      deployment.name, flood, policy, outcome->total_per_s,
      outcome->capacity_per_s, WorthOf(configuration, *outcome) / base_worth);
}

}  // namespace

Json FloodBench(uint64_t seed) {
  const std::vector<Deployment> deployments = {
      {"arusha", "catalogue", "catalogue-read"},
      {"gh-south", "orders", "kiln-schedule"}};
  double urgent_kept = 1e9;
  double floor_kept = 1e9;
  double of_capacity = 1e9;
  int64_t urgent_p99 = 0;
  bool p99_in_target = true;
  fmt::print("{:<9} {:<13} {:<7} {:<9} {:>9} {:>9} {:>7} {:>8} {:>8}\n",
             "fleet", "flood", "queue", "rank", "offered/s", "served/s",
             "/floor", "p99 ms", "refused");
  for (const Deployment& deployment : deployments) {
    Configuration configuration =
        LoadConfiguration("samples/" + deployment.name + ".json");
    Outcome base =
        FloodRun(deployment, QueuePolicy::kFloors, Flood::kNone, seed)
            .TakeOutcome();
    double base_worth = WorthOf(configuration, base);
    Print(deployment, configuration, "none", "floors", &base, base_worth);
    for (QueuePolicy policy :
         {QueuePolicy::kFloors, QueuePolicy::kStrict, QueuePolicy::kFifo}) {
      Outcome least =
          FloodRun(deployment, policy, Flood::kLeastUrgent, seed).TakeOutcome();
      Print(deployment, configuration, "least urgent", NameOf(policy), &least,
            base_worth);
      Outcome most =
          FloodRun(deployment, policy, Flood::kMostUrgent, seed).TakeOutcome();
      Print(deployment, configuration, "most urgent", NameOf(policy), &most,
            base_worth);
      if (policy != QueuePolicy::kFloors) continue;
      urgent_kept = std::min(urgent_kept, least.ranks[0].GoodputPerS() /
                                              base.ranks[0].GoodputPerS());
      urgent_p99 = std::max(urgent_p99, least.ranks[0].P99Ms());
      p99_in_target = p99_in_target && least.ranks[0].P99Ms() <=
                                           configuration.ranks[0].target_ms;
      of_capacity =
          std::min({of_capacity, least.total_per_s / least.capacity_per_s,
                    most.total_per_s / most.capacity_per_s});
      for (size_t i = 1; i < most.ranks.size(); ++i) {
        double floor = configuration.ranks[i].floor_permille / 1000.0 *
                       most.capacity_per_s;
        floor_kept = std::min(floor_kept, most.ranks[i].GoodputPerS() / floor);
      }
    }
  }
  return Json{{"bench", "flood"},
              {"urgent_goodput_kept", urgent_kept},
              {"urgent_p99_ms", urgent_p99},
              {"urgent_p99_in_target", p99_in_target},
              {"min_floor_kept", std::min(1.0, floor_kept)},
              {"min_floor_ratio", floor_kept},
              {"goodput_of_capacity", of_capacity},
              {"run_ms", kRunMs},
              {"slots", kSlots},
              {"flood_factor", kFloodFactor},
              {"measured_ms", kMeasureMs}};
}

}  // namespace banyanloft
