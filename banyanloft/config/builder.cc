#include "banyanloft/config/builder.h"

namespace banyanloft {

ConfigurationBuilder& ConfigurationBuilder::Add(const Service& service) {
  if (!out_.services.emplace(service.id, service).second) {
    duplicate_ids_.push_back({"services/" + service.id, "duplicate id"});
  }
  return *this;
}

ConfigurationBuilder& ConfigurationBuilder::Add(const Route& route) {
  if (!out_.routes.emplace(route.id, route).second) {
    duplicate_ids_.push_back({"routes/" + route.id, "duplicate id"});
  }
  return *this;
}

Configuration ConfigurationBuilder::Build(
    std::vector<ConfigurationError>* errors) const {
  Configuration built = out_;
  ResolveServiceNames(&built);
  *errors = duplicate_ids_;
  std::vector<ConfigurationError> found = ValidateConfiguration(built);
  errors->insert(errors->end(), found.begin(), found.end());
  return built;
}

}  // namespace banyanloft
