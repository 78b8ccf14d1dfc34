#include "banyanloft/config/validate.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace banyanloft {
namespace {

constexpr int kPermille = 1000;

/// Collects all errors of one configuration.
class ConfigurationValidator {
 public:
  ConfigurationValidator(const Configuration& configuration,
                         const ConfigurationLimits& limits)
      : configuration_(configuration), limits_(limits) {}

  std::vector<ConfigurationError> Run() {
    CheckSizes();
    CheckSchemes();
    CheckRanks();
    CheckServices();
    CheckRoutes();
    CheckNames();
    CheckFlows();
    return std::move(errors_);
  }

 private:
  void Add(std::string path, std::string problem) {
    errors_.push_back({std::move(path), std::move(problem)});
  }

  void CheckSizes() {
    if (configuration_.services.size() > limits_.services) {
      Add("services", fmt::format("more than {} services", limits_.services));
    }
    if (configuration_.routes.size() > limits_.routes) {
      Add("routes", fmt::format("more than {} routes", limits_.routes));
    }
  }

  void CheckSchemes() {
    std::set<std::string> seen;
    for (size_t i = 0; i < kSchemeCount; ++i) {
      const std::string& scheme = configuration_.schemes[i];
      if (scheme.empty()) Add(fmt::format("schemes[{}]", i), "has no id");
      if (!seen.insert(scheme).second)
        Add(fmt::format("schemes[{}]", i), "repeats an id");
    }
  }

  void CheckRanks() {
    if (configuration_.ranks.empty()) Add("ranks", "there is no rank");
    if (configuration_.ranks.size() > kMaxRanks) {
      Add("ranks", fmt::format("more than {} ranks", kMaxRanks));
    }
    int floors = 0;
    std::set<std::string> seen;
    for (const Rank& rank : configuration_.ranks) {
      std::string path = "ranks/" + rank.id;
      CheckId(path, rank.id);
      if (!seen.insert(rank.id).second) Add(path, "repeats an id");
      if (rank.floor_permille < 0) Add(path + ".floor_permille", "is negative");
      if (rank.worth < 0) Add(path + ".worth", "is negative");
      if (rank.target_ms <= 0) Add(path + ".target_ms", "is not positive");
      floors += std::max(0, rank.floor_permille);
    }
    if (floors > kPermille)
      Add("ranks", fmt::format("floors add up to {} of 1000", floors));
  }

  void CheckServices() {
    for (const auto& [id, service] : configuration_.services) {
      std::string path = "services/" + id;
      CheckId(path, id);
      if (service.drain_ms <= 0) Add(path + ".drain_ms", "is not positive");
      if (service.slow_start_ms < 0)
        Add(path + ".slow_start_ms", "is negative");
    }
  }

  void CheckRoutes() {
    for (const auto& [id, route] : configuration_.routes) {
      std::string path = "routes/" + id;
      CheckId(path, id);
      if (configuration_.services.count(route.service) == 0) {
        Add(path + ".service",
            fmt::format("no service has the id '{}'", route.service));
      }
      if (configuration_.RankIndex(route.rank) < 0) {
        Add(path + ".rank", fmt::format("no rank has the id '{}'", route.rank));
      }
      if (route.kind.empty()) Add(path + ".kind", "is empty");
      if (route.idempotent && route.key_required) {
        Add(path + ".key_required", "an idempotent route needs no key");
      }
      if (route.timeout_ms <= 0 || route.timeout_ms > limits_.timeout_ms) {
        Add(path + ".timeout_ms",
            fmt::format("is not in 1..{}", limits_.timeout_ms));
      }
    }
  }

  /// A name must identify one resource of its type across all schemes.
  void CheckNames() {
    std::map<std::string, std::string> services;
    for (const auto& [id, service] : configuration_.services) {
      CheckNamesOf("services/", id, service.names, &services);
    }
    std::map<std::string, std::string> routes;
    for (const auto& [id, route] : configuration_.routes) {
      CheckNamesOf("routes/", id, route.names, &routes);
    }
  }

  void CheckNamesOf(const std::string& type, const std::string& id,
                    const SchemeNames& names,
                    std::map<std::string, std::string>* owners) {
    RegisterName(type + id, id, id, owners);
    for (size_t i = 0; i < kSchemeCount; ++i) {
      if (names[i].empty()) continue;
      std::string path =
          fmt::format("{}{}.names.{}", type, id, configuration_.schemes[i]);
      CheckId(path, names[i]);
      RegisterName(path, names[i], id, owners);
    }
  }

  void RegisterName(const std::string& path, const std::string& name,
                    const std::string& owner,
                    std::map<std::string, std::string>* owners) {
    auto [it, inserted] = owners->emplace(name, owner);
    if (inserted || it->second == owner) return;
    Add(path,
        fmt::format("the name '{}' already leads to '{}'", name, it->second));
  }

  void CheckFlows() {
    std::map<std::string, std::set<std::string>> next;
    for (size_t i = 0; i < configuration_.flows.size(); ++i) {
      const Flow& flow = configuration_.flows[i];
      std::string path = fmt::format("flows[{}]", i);
      for (const std::string& end : {flow.from, flow.to}) {
        if (configuration_.services.count(end) != 0) continue;
        Add(path, fmt::format("no service has the id '{}'", end));
      }
      next[flow.from].insert(flow.to);
    }
    for (const auto& [start, unused] : next) {
      if (Reaches(next, start, start))
        Add("flows", fmt::format("a cycle leads through '{}'", start));
    }
  }

  static bool Reaches(const std::map<std::string, std::set<std::string>>& next,
                      const std::string& from, const std::string& goal) {
    std::set<std::string> seen;
    std::vector<std::string> open = {from};
    while (!open.empty()) {
      std::string at = open.back();
      open.pop_back();
      auto it = next.find(at);
      if (it == next.end()) continue;
      for (const std::string& to : it->second) {
        if (to == goal) return true;
        if (seen.insert(to).second) open.push_back(to);
      }
    }
    return false;
  }

  void CheckId(const std::string& path, const std::string& id) {
    if (id.empty()) Add(path, "has an empty name");
    if (id.size() > limits_.name_bytes) {
      Add(path, fmt::format("is longer than {} bytes", limits_.name_bytes));
    }
    bool clean = std::all_of(id.begin(), id.end(), [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
             (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
             c == '/' || c == ':';
    });
    if (!clean)
      Add(path, "has characters other than letters, digits and - _ . / :");
  }

  const Configuration& configuration_;
  const ConfigurationLimits& limits_;
  std::vector<ConfigurationError> errors_;
};

}  // namespace

std::vector<ConfigurationError> ValidateConfiguration(
    const Configuration& configuration, const ConfigurationLimits& limits) {
  return ConfigurationValidator(configuration, limits).Run();
}

}  // namespace banyanloft
