#pragma once

#include <string>
#include <vector>

#include "banyanloft/config/json.h"

namespace banyanloft {

/// Host of every route of the stand-ins.
inline constexpr char kMeshHost[] = "mesh.example";

/// A route of the stand-ins as the platform's store holds it. `kind` is the
/// platform's word for what may be repeated.
Json MeshRoute(const std::string& name, const std::string& kind,
               const std::string& prefix, const std::string& service);

/// A version of the configuration: idempotent lookups of the catalogue,
/// registrations of pledges that run once at most, and `more` routes.
Json MeshConfiguration(int version, const std::vector<Json>& extra_routes);

}  // namespace banyanloft
