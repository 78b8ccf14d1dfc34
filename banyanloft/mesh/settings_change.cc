#include "banyanloft/mesh/settings_change.h"

namespace banyanloft {
namespace {

/// Appends a description of each difference to a list.
class Differences {
 public:
  explicit Differences(std::vector<std::string>* out) : out_(out) {}

  void Add(const char* name, const std::string& before,
           const std::string& after) {
    if (before != after)
      out_->push_back(std::string(name) + " " + before + " to " + after);
  }
  void Add(const char* name, int64_t before, int64_t after) {
    Add(name, std::to_string(before), std::to_string(after));
  }
  void Add(const char* name, const Endpoint& before, const Endpoint& after) {
    Add(name, before.Text(), after.Text());
  }

 private:
  std::vector<std::string>* out_;
};

}  // namespace

SettingsChange CompareSettings(const SidecarSettings& in_use,
                               const SidecarSettings& next) {
  SettingsChange change;
  const MeshNodeSettings& before = in_use.node;
  const MeshNodeSettings& after = next.node;
  const RetryBudgetSettings& budget = before.forwarder.budget;
  const RetryBudgetSettings& next_budget = after.forwarder.budget;

  Differences applied(&change.applied);
  applied.Add("retry_budget_ratio_permille", budget.ratio_permille,
              next_budget.ratio_permille);
  applied.Add("retry_budget_window_ms", budget.window_ms,
              next_budget.window_ms);
  applied.Add("retry_budget_slack", budget.slack, next_budget.slack);
  applied.Add("quota_window_ms", before.quota.window_ms, after.quota.window_ms);
  applied.Add("quota_overage", std::to_string(before.quota.overage),
              std::to_string(after.quota.overage));
  applied.Add("quota_slack", std::to_string(before.quota.slack),
              std::to_string(after.quota.slack));
  applied.Add("drain_max_ms", before.drain_max_ms, after.drain_max_ms);
  applied.Add("heartbeat_ms", before.runner.heartbeat_ms,
              after.runner.heartbeat_ms);

  Differences at_restart(&change.at_restart);
  at_restart.Add("name", in_use.name, next.name);
  at_restart.Add("zone", before.zone, after.zone);
  at_restart.Add("service", before.runner.service, after.runner.service);
  at_restart.Add("clients", in_use.clients, next.clients);
  at_restart.Add("ready", in_use.ready, next.ready);
  at_restart.Add("control", in_use.control, next.control);
  at_restart.Add("metrics", in_use.metrics, next.metrics);
  at_restart.Add("link", in_use.link, next.link);
  at_restart.Add("gossip", in_use.gossip, next.gossip);
  at_restart.Add("backend", in_use.backend, next.backend);
  at_restart.Add("store", in_use.store, next.store);
  at_restart.Add("memory_mb", in_use.memory_mb, next.memory_mb);
  at_restart.Add("link_bytes_per_ms", before.config.link_bytes_per_ms,
                 after.config.link_bytes_per_ms);
  return change;
}

}  // namespace banyanloft
