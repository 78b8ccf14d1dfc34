#include "banyanloft/config/model.h"

namespace banyanloft {

int Configuration::RankIndex(std::string_view id) const {
  for (size_t i = 0; i < ranks.size(); ++i) {
    if (ranks[i].id == id) return static_cast<int>(i);
  }
  return -1;
}

int Configuration::SchemeIndex(std::string_view id) const {
  for (size_t i = 0; i < schemes.size(); ++i) {
    if (schemes[i] == id) return static_cast<int>(i);
  }
  return -1;
}

void ResolveServiceNames(Configuration* configuration) {
  std::map<std::string, std::string> ids;
  for (const auto& [id, service] : configuration->services) {
    for (const std::string& name : service.names) {
      if (!name.empty()) ids.emplace(name, id);
    }
  }
  auto resolve = [&](std::string* name) {
    if (configuration->services.count(*name) != 0) return;
    auto it = ids.find(*name);
    if (it != ids.end()) *name = it->second;
  };
  for (auto& [id, route] : configuration->routes) resolve(&route.service);
  for (Flow& flow : configuration->flows) {
    resolve(&flow.from);
    resolve(&flow.to);
  }
}

}  // namespace banyanloft
