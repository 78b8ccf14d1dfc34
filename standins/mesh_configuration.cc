#include "standins/mesh_configuration.h"

#include <fmt/format.h>

namespace banyanloft {

Json MeshRoute(const std::string& name, const std::string& kind,
               const std::string& prefix, const std::string& service) {
  return {{"name", name},
          {"kind", kind},
          {"aim_s", 0.4},
          {"priority", kind == "unsafe" ? 0 : 1},
          {"match", {{"path_prefix", prefix}}},
          {"action",
           {{"service", service}, {"timeout_s", 1.5}, {"max_attempts", 2}}}};
}

Json MeshConfiguration(int version, const std::vector<Json>& extra_routes) {
  Json routes = {MeshRoute("lookup", "safe", "/lookup/", "catalogue"),
                 MeshRoute("register", "unsafe", "/register/", "pledges")};
  for (const Json& route : extra_routes) routes.push_back(route);
  Json clusters = Json::array();
  for (const char* service : {"catalogue", "pledges"})
    clusters.push_back({{"name", service}, {"max_connections", 100}});
  return {{"version", fmt::format("{:08x}", version)},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 1000000},
            {"header_timeout_s", 3},
            {"idle_timeout_s", 15}}},
          {"listeners", {{{"host", kMeshHost}, {"rule_set", routes}}}},
          {"clusters", clusters}};
}

}  // namespace banyanloft
