#include "banyanloft/distribution/head.h"

#include "banyanloft/config/json.h"

namespace banyanloft {

const HeadEntry* Head::FindChange(const std::string& change_id) const {
  for (const HeadEntry& entry : entries) {
    if (entry.change_id == change_id) return &entry;
  }
  return nullptr;
}

const HeadEntry* Head::FindVersion(uint64_t version) const {
  for (const HeadEntry& entry : entries) {
    if (entry.version == version) return &entry;
  }
  return nullptr;
}

std::string HeadToJson(const Head& head) {
  Json list = Json::array();
  for (const HeadEntry& entry : head.entries) {
    list.push_back({{"version", entry.version},
                    {"manifest", entry.manifest_hash},
                    {"change", entry.change_id},
                    {"author", entry.author},
                    {"note", entry.note}});
  }
  return Json{{"entries", list}}.dump();
}

Result<Head> HeadFromJson(const std::string& text) {
  Error invalid{ErrorKind::kProtocolError, "the head object is malformed"};
  Json json = ParseJson(text);
  JsonReader fields(json);
  const Json* list = fields.Find("entries");
  if (list == nullptr || !list->is_array()) return invalid;
  Head head;
  for (const Json& item : *list) {
    JsonReader reader(item);
    HeadEntry entry;
    entry.version = static_cast<uint64_t>(reader.Int("version"));
    entry.manifest_hash = reader.String("manifest");
    entry.change_id = reader.String("change");
    entry.author = reader.StringOr("author", "");
    entry.note = reader.StringOr("note", "");
    if (!reader.FirstError().empty()) return invalid;
    head.entries.push_back(std::move(entry));
  }
  return head;
}

std::string HeadKey() { return "config/head"; }
std::string ManifestKey(const std::string& manifest_hash) {
  return "manifests/" + manifest_hash;
}
std::string PieceKey(const std::string& piece_hash) {
  return "pieces/" + piece_hash;
}
std::string BundleKey(const std::string& manifest_hash) {
  return "bundles/" + manifest_hash;
}
std::string ZoneStatusKey(const std::string& zone) {
  return ZoneStatusPrefix() + zone;
}
std::string ZoneStatusPrefix() { return "status/"; }

}  // namespace banyanloft
