#include "banyanloft/config/builder.h"

namespace banyanloft {

ConfigurationBuilder& ConfigurationBuilder::Add(const Service& service) {
  if (!out_.services.emplace(service.id, service).second) {
    repeated_.push_back({"services/" + service.id, "repeats an id"});
  }
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::Add(const Route& route) {
  if (!out_.routes.emplace(route.id, route).second) {
    repeated_.push_back({"routes/" + route.id, "repeats an id"});
  }
  return *this;
}

Configuration ConfigurationBuilder::Build(
    std::vector<ConfigurationMistake>* mistakes) const {
  Configuration built = out_;
  ResolveServiceNames(&built);
  *mistakes = repeated_;
  std::vector<ConfigurationMistake> found = FindMistakes(built);
  mistakes->insert(mistakes->end(), found.begin(), found.end());
  return built;
}

}  // namespace banyanloft
