#include "banyanloft/mesh/route_table.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <unordered_set>

#include "banyanloft/mesh/mesh_message.h"

namespace banyanloft {
namespace {

std::string KeyOf(std::string_view host, std::string_view prefix) {
  std::string key;
  key.reserve(host.size() + 1 + prefix.size());
  key.append(host);
  key.push_back('\n');
  key.append(prefix);
  return key;
}

/// Route priorities from the last class on are not told apart.
int RouteClassOf(const HttpRoute& route) {
  return std::min(route.priority, kRouteClasses - 1);
}

std::string LowerCaseHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

void ValidateRoute(const RouteConfiguration& configuration,
                   const HttpRoute& route,
                   std::vector<ConfigurationError>* errors) {
  std::string path = "routes/" + route.id;
  auto add_error = [&](const char* field, std::string problem) {
    errors->push_back({path + "." + field, std::move(problem)});
  };
  const std::string& prefix = route.path_prefix;
  if (route.host.empty()) add_error("host", "is empty");
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
    add_error("path_prefix", "must begin and end with a slash");
  if (route.timeout_ms <= 0) add_error("timeout", "must be above 0");
  if (route.aim_ms <= 0) add_error("aim", "must be above 0");
  if (route.max_attempts < 1) add_error("max_attempts", "must be at least 1");
  if (route.priority < 0) add_error("priority", "must not be negative");
  int64_t total = 0;
  for (const WeightedService& part : route.split) {
    total += std::max<int64_t>(0, part.weight);
    if (part.weight < 0) add_error("split", "has a negative weight");
    if (configuration.services.count(part.service) == 0)
      add_error("split", "names the unknown service " + part.service);
  }
  if (total <= 0) add_error("split", "has no service with a weight above 0");
}

/// The errors do not show API keys, because they are logged.
void ValidateAccounts(const RouteConfiguration& configuration,
                      std::vector<ConfigurationError>* errors) {
  std::unordered_map<std::string, const ClientAccount*> holders;
  std::unordered_set<std::string> names;
  for (const ClientAccount& account : configuration.accounts) {
    std::string path = "accounts/" + account.name;
    auto add_error = [&](const char* field, std::string problem) {
      errors->push_back({path + "." + field, std::move(problem)});
    };
    if (account.name.empty()) add_error("name", "is empty");
    // The name is sent as the value of a header.
    bool printable =
        std::all_of(account.name.begin(), account.name.end(),
                    [](unsigned char c) { return std::isprint(c) != 0; });
    if (!printable) add_error("name", "holds a control character");
    if (!names.insert(account.name).second) add_error("name", "is not unique");
    if (account.priority < 0) add_error("priority", "must not be negative");
    bool valid_quota = std::isfinite(account.rate_per_s) &&
                       std::isfinite(account.burst) &&
                       account.rate_per_s >= 0 && account.burst >= 0;
    if (!valid_quota) add_error("quota", "must not be negative");
    for (const std::string& key : account.api_keys) {
      if (key.empty()) add_error("api_keys", "holds an empty key");
      const ClientAccount* holder =
          holders.emplace(key, &account).first->second;
      if (holder != &account)
        add_error("api_keys", "shares a key with " + holder->name);
    }
  }
}

}  // namespace

std::vector<ConfigurationError> ValidateRouteConfiguration(
    const RouteConfiguration& configuration) {
  std::vector<ConfigurationError> errors;
  if (configuration.version == 0) errors.push_back({"version", "is 0"});
  const ClientLimits& limits = configuration.limits;
  bool bounded = limits.max_header_bytes > 0 && limits.max_body_bytes > 0 &&
                 limits.header_timeout_ms > 0 && limits.idle_timeout_ms > 0;
  if (!bounded) errors.push_back({"limits", "must all be above 0"});
  ValidateAccounts(configuration, &errors);
  std::unordered_map<std::string, const HttpRoute*> seen;
  for (const HttpRoute& route : configuration.routes) {
    ValidateRoute(configuration, route, &errors);
    auto [other, fresh] =
        seen.emplace(KeyOf(route.host, route.path_prefix), &route);
    if (!fresh) {
      errors.push_back(
          {"routes/" + route.id,
           "has the same host and prefix as " + other->second->id});
    }
  }
  return errors;
}

Result<std::shared_ptr<const RouteTable>> RouteTable::Create(
    RouteConfiguration configuration) {
  std::vector<ConfigurationError> errors =
      ValidateRouteConfiguration(configuration);
  if (!errors.empty()) {
    return Error{ErrorKind::kInvalidConfiguration,
                 errors[0].path + " " + errors[0].problem};
  }
  return std::shared_ptr<const RouteTable>(
      new RouteTable(std::move(configuration)));
}

RouteTable::RouteTable(RouteConfiguration configuration)
    : configuration_(std::move(configuration)) {
  for (size_t i = 0; i < configuration_.routes.size(); ++i) {
    const HttpRoute& route = configuration_.routes[i];
    by_prefix_[KeyOf(route.host, route.path_prefix)] = i;
    route_priorities_ = std::max(route_priorities_, RouteClassOf(route) + 1);
  }
  for (size_t i = 0; i < configuration_.accounts.size(); ++i) {
    const ClientAccount& account = configuration_.accounts[i];
    for (const std::string& key : account.api_keys) by_api_key_[key] = i;
    account_priorities_.push_back(account.priority);
  }
  std::sort(account_priorities_.begin(), account_priorities_.end());
  account_priorities_.erase(
      std::unique(account_priorities_.begin(), account_priorities_.end()),
      account_priorities_.end());
}

const HttpRoute* RouteTable::Match(std::string_view host,
                                   std::string_view path) const {
  std::string name = LowerCaseHost(host);
  path = path.substr(0, path.find('?'));
  // Every prefix ends with a slash. Try the longest first.
  size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    auto found = by_prefix_.find(KeyOf(name, path.substr(0, end + 1)));
    if (found != by_prefix_.end()) return &configuration_.routes[found->second];
    if (end == 0) break;
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const ClientAccount* RouteTable::AccountOf(const std::string& api_key) const {
  auto it = by_api_key_.find(api_key);
  return it == by_api_key_.end() ? nullptr
                                 : &configuration_.accounts[it->second];
}

int RouteTable::PriorityOf(const HttpRoute& route,
                           const ClientAccount* account) const {
  int route_class = RouteClassOf(route);
  if (account == nullptr) return route_class;
  auto it = std::lower_bound(account_priorities_.begin(),
                             account_priorities_.end(), account->priority);
  int rank = static_cast<int>(it - account_priorities_.begin());
  return rank * route_priorities_ + route_class;
}

const ForwardedService* RouteTable::FindService(const std::string& id) const {
  auto it = configuration_.services.find(id);
  return it == configuration_.services.end() ? nullptr : &it->second;
}

}  // namespace banyanloft
