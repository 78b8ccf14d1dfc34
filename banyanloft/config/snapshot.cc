#include "banyanloft/config/snapshot.h"

#include "banyanloft/config/validate.h"
#include "banyanloft/core/digest.h"

namespace banyanloft {

Result<std::shared_ptr<const Snapshot>> Snapshot::Create(
    uint64_t version, std::string manifest_hash, std::string change_id,
    Pieces pieces) {
  std::shared_ptr<Snapshot> snapshot(new Snapshot());
  snapshot->manifest_ = ManifestOf(pieces);
  if (ContentHash(ManifestToJson(snapshot->manifest_)) != manifest_hash) {
    return Error{ErrorKind::kInvalidConfiguration,
                 "pieces do not match the manifest hash"};
  }
  Result<Configuration> joined = JoinPieces(pieces);
  if (const Error* error = ErrorOf(joined)) return *error;
  std::vector<ConfigurationError> errors =
      ValidateConfiguration(*ValueOf(joined));
  if (!errors.empty()) {
    return Error{ErrorKind::kInvalidConfiguration,
                 errors[0].path + ": " + errors[0].problem};
  }

  snapshot->version_ = version;
  snapshot->manifest_hash_ = std::move(manifest_hash);
  snapshot->change_id_ = std::move(change_id);
  snapshot->pieces_ = std::move(pieces);
  snapshot->configuration_ = std::move(*ValueOf(joined));
  snapshot->IndexNames();
  return std::shared_ptr<const Snapshot>(std::move(snapshot));
}

void Snapshot::IndexNames() {
  for (const auto& [id, route] : configuration_.routes) {
    routes_by_name_[id] = &route;
    for (const std::string& name : route.names) {
      if (!name.empty()) routes_by_name_[name] = &route;
    }
  }
  for (const auto& [id, service] : configuration_.services) {
    services_by_name_[id] = &service;
    for (const std::string& name : service.names) {
      if (!name.empty()) services_by_name_[name] = &service;
    }
  }
}

const Route* Snapshot::FindRoute(std::string_view name) const {
  auto it = routes_by_name_.find(std::string(name));
  return it == routes_by_name_.end() ? nullptr : it->second;
}

const Service* Snapshot::FindService(std::string_view name) const {
  auto it = services_by_name_.find(std::string(name));
  return it == services_by_name_.end() ? nullptr : it->second;
}

}  // namespace banyanloft
