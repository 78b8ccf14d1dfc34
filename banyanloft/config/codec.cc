#include "banyanloft/config/codec.h"

#include "banyanloft/config/json.h"
#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

constexpr char kBasePiece[] = "base";
constexpr char kServicePrefix[] = "service/";

Error Invalid(const std::string& path, const std::string& problem) {
  return Error{ErrorKind::kInvalidConfiguration, path + ": " + problem};
}

Json NamesToJson(const Configuration& configuration, const SchemeNames& names) {
  Json object = Json::object();
  for (size_t i = 0; i < kSchemeCount; ++i) {
    if (!names[i].empty()) object[configuration.schemes[i]] = names[i];
  }
  return object;
}

Json ServiceToJson(const Configuration& configuration, const Service& service) {
  return Json{{"id", service.id},
              {"names", NamesToJson(configuration, service.names)},
              {"drain_ms", service.drain_ms},
              {"slow_start_ms", service.slow_start_ms}};
}

Json RouteToJson(const Configuration& configuration, const Route& route) {
  return Json{{"id", route.id},
              {"service", route.service},
              {"names", NamesToJson(configuration, route.names)},
              {"rank", route.rank},
              {"kind", route.kind},
              {"idempotent", route.idempotent},
              {"key_required", route.key_required},
              {"timeout_ms", route.timeout_ms}};
}

Json BaseToJson(const Configuration& configuration) {
  Json ranks = Json::array();
  for (const Rank& rank : configuration.ranks) {
    ranks.push_back({{"id", rank.id},
                     {"floor_permille", rank.floor_permille},
                     {"worth", rank.worth},
                     {"target_ms", rank.target_ms}});
  }
  Json flows = Json::array();
  for (const Flow& flow : configuration.flows)
    flows.push_back({{"from", flow.from}, {"to", flow.to}});
  return Json{
      {"schemes", configuration.schemes}, {"ranks", ranks}, {"flows", flows}};
}

/// Parses the parts of a configuration from JSON; keeps the first error.
class ConfigurationReader {
 public:
  void ReadBase(const Json& base) {
    JsonReader reader(base);
    ReadSchemes(reader.Find("schemes"));
    ForEach(reader.Find("ranks"), "ranks",
            [this](const Json& item, const std::string& path) {
              ReadRank(item, path);
            });
    ForEach(reader.Find("flows"), "flows",
            [this](const Json& item, const std::string& path) {
              ReadFlow(item, path);
            });
  }

  void ReadServices(const Json* list, const std::string& path) {
    ForEach(list, path, [this](const Json& item, const std::string& at) {
      ReadService(item, at);
    });
  }
  void ReadRoutes(const Json* list, const std::string& path) {
    ForEach(list, path, [this](const Json& item, const std::string& at) {
      ReadRoute(item, at);
    });
  }

  void ReadService(const Json& item, const std::string& path) {
    JsonReader reader(item);
    Service service;
    service.id = reader.String("id");
    service.names = ReadNames(reader.Find("names"), path);
    service.drain_ms = reader.IntOr("drain_ms", service.drain_ms);
    service.slow_start_ms =
        reader.IntOr("slow_start_ms", service.slow_start_ms);
    CheckFields(reader, path);
    if (!out_.services.emplace(service.id, service).second)
      Fail(path, "repeats the id " + service.id);
  }

  void ReadRoute(const Json& item, const std::string& path) {
    JsonReader reader(item);
    Route route;
    route.id = reader.String("id");
    route.service = reader.String("service");
    route.names = ReadNames(reader.Find("names"), path);
    route.rank = reader.String("rank");
    route.kind = reader.StringOr("kind", route.service);
    route.idempotent = reader.BoolOr("idempotent", false);
    route.key_required = reader.BoolOr("key_required", false);
    route.timeout_ms = reader.IntOr("timeout_ms", route.timeout_ms);
    CheckFields(reader, path);
    if (!out_.routes.emplace(route.id, route).second)
      Fail(path, "repeats the id " + route.id);
  }

  void ResolveNames() { ResolveServiceNames(&out_); }

  Result<Configuration> Take() {
    if (error_) return *error_;
    return std::move(out_);
  }

 private:
  template <typename Read>
  void ForEach(const Json* list, const std::string& path, Read read) {
    if (list == nullptr) return;
    if (!list->is_array()) return Fail(path, "is not a list");
    for (size_t i = 0; i < list->size(); ++i) {
      read((*list)[i], path + "[" + std::to_string(i) + "]");
    }
  }

  void ReadSchemes(const Json* list) {
    if (list == nullptr || !list->is_array() || list->size() != kSchemeCount) {
      return Fail("schemes", "is not a list of three ids");
    }
    for (size_t i = 0; i < kSchemeCount; ++i) {
      if (!(*list)[i].is_string())
        return Fail("schemes", "holds something that is not a string");
      out_.schemes[i] = (*list)[i].get<std::string>();
    }
  }

  void ReadRank(const Json& item, const std::string& path) {
    JsonReader reader(item);
    Rank rank;
    rank.id = reader.String("id");
    rank.floor_permille = static_cast<int>(reader.IntOr("floor_permille", 0));
    rank.worth = static_cast<int>(reader.IntOr("worth", 1));
    rank.target_ms = reader.IntOr("target_ms", rank.target_ms);
    CheckFields(reader, path);
    out_.ranks.push_back(rank);
  }

  void ReadFlow(const Json& item, const std::string& path) {
    JsonReader reader(item);
    Flow flow{reader.String("from"), reader.String("to")};
    CheckFields(reader, path);
    out_.flows.push_back(flow);
  }

  SchemeNames ReadNames(const Json* names, const std::string& path) {
    SchemeNames out;
    if (names == nullptr) return out;
    if (!names->is_object())
      return Fail(path + ".names", "is not an object"), out;
    for (const auto& [scheme, name] : names->items()) {
      int index = out_.SchemeIndex(scheme);
      if (index < 0) {
        Fail(path + ".names", "there is no scheme '" + scheme + "'");
      } else if (!name.is_string()) {
        Fail(path + ".names." + scheme, "is not a string");
      } else {
        out[static_cast<size_t>(index)] = name.get<std::string>();
      }
    }
    return out;
  }

  void CheckFields(const JsonReader& reader, const std::string& path) {
    if (!reader.FirstError().empty()) Fail(path, reader.FirstError());
  }
  void Fail(const std::string& path, const std::string& problem) {
    if (!error_) error_ = Invalid(path, problem);
  }

  Configuration out_;
  std::optional<Error> error_;
};

}  // namespace

Result<Configuration> ConfigurationFromJson(const std::string& text) {
  Json json = ParseJson(text);
  if (!json.is_object()) return Invalid("file", "is not a JSON object");
  ConfigurationReader reader;
  reader.ReadBase(json);
  JsonReader fields(json);
  reader.ReadServices(fields.Find("services"), "services");
  reader.ReadRoutes(fields.Find("routes"), "routes");
  reader.ResolveNames();
  return reader.Take();
}

std::string ConfigurationToJson(const Configuration& configuration) {
  Json json = BaseToJson(configuration);
  json["services"] = Json::array();
  for (const auto& [id, service] : configuration.services) {
    json["services"].push_back(ServiceToJson(configuration, service));
  }
  json["routes"] = Json::array();
  for (const auto& [id, route] : configuration.routes) {
    json["routes"].push_back(RouteToJson(configuration, route));
  }
  return json.dump(2);
}

Pieces SplitIntoPieces(const Configuration& configuration) {
  std::map<std::string, Json> services;
  for (const auto& [id, service] : configuration.services) {
    services[id] = {{"service", ServiceToJson(configuration, service)},
                    {"routes", Json::array()}};
  }
  for (const auto& [id, route] : configuration.routes) {
    services[route.service]["routes"].push_back(
        RouteToJson(configuration, route));
  }
  Pieces pieces;
  pieces[kBasePiece] = BaseToJson(configuration).dump();
  for (const auto& [id, json] : services)
    pieces[kServicePrefix + id] = json.dump();
  return pieces;
}

Result<Configuration> JoinPieces(const Pieces& pieces) {
  ConfigurationReader reader;
  auto base = pieces.find(kBasePiece);
  if (base == pieces.end()) return Invalid(kBasePiece, "is missing");
  reader.ReadBase(ParseJson(base->second));
  for (const auto& [name, bytes] : pieces) {
    if (name == kBasePiece) continue;
    Json json = ParseJson(bytes);
    if (!json.is_object()) return Invalid(name, "is not a JSON object");
    JsonReader fields(json);
    const Json* service = fields.Find("service");
    if (service == nullptr) return Invalid(name, "holds no service");
    reader.ReadService(*service, name);
    reader.ReadRoutes(fields.Find("routes"), name + ".routes");
  }
  return reader.Take();
}

std::string BundleToJson(const Pieces& pieces) { return Json(pieces).dump(); }

Result<Pieces> BundleFromJson(const std::string& text) {
  Json json = ParseJson(text);
  if (!json.is_object()) return Invalid("bundle", "is not a JSON object");
  Pieces pieces;
  for (const auto& [name, bytes] : json.items()) {
    if (!bytes.is_string()) return Invalid("bundle." + name, "is not a string");
    pieces[name] = bytes.get<std::string>();
  }
  return pieces;
}

Manifest ManifestOf(const Pieces& pieces) {
  Manifest manifest;
  for (const auto& [name, bytes] : pieces)
    manifest.piece_hashes[name] = ContentHash(bytes);
  return manifest;
}

std::string ManifestToJson(const Manifest& manifest) {
  return Json(manifest.piece_hashes).dump();
}

Result<Manifest> ManifestFromJson(const std::string& text) {
  Json json = ParseJson(text);
  if (!json.is_object()) return Invalid("manifest", "is not a JSON object");
  Manifest manifest;
  for (const auto& [name, hash] : json.items()) {
    if (!hash.is_string())
      return Invalid("manifest." + name, "is not a string");
    manifest.piece_hashes[name] = hash.get<std::string>();
  }
  return manifest;
}

}  // namespace banyanloft
