#pragma once

#include <string>
#include <vector>

#include "banyanloft/config/json.h"

namespace banyanloft {

/// Host name of all simulated routes.
inline constexpr char kMeshHost[] = "mesh.example";

/// Returns a route in the format of the platform's store. `kind` is "safe" for
/// requests that may be repeated and "unsafe" for all others.
Json MeshRoute(const std::string& name, const std::string& kind,
               const std::string& prefix, const std::string& service);

/// Returns a version of the configuration: a route for idempotent catalogue
/// lookups, a route for pledge registrations, which run at most once, and
/// `extra_routes`.
Json MeshConfiguration(int version, const std::vector<Json>& extra_routes);

}  // namespace banyanloft
