#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyanloft {

using Json = nlohmann::json;

/// Deepest nesting of JSON text that is accepted; configurations need less than
/// ten levels.
inline constexpr int kMaxJsonNesting = 64;

/// Parses text or bytes; returns a discarded value if they are malformed or
/// nest deeper than `max_nesting`. Does not throw.
Json ParseBounded(std::string_view bytes, Json::input_format_t format,
                  int max_nesting);
/// Parses JSON text; returns a discarded value if it is malformed or nests
/// deeper than kMaxJsonNesting. Does not throw.
Json ParseJson(std::string_view text);
/// Splits the text of a JSON object, or of an array, into the texts of its
/// values, so that one that cannot be parsed does not affect the others. The
/// values are views of `text` and may be malformed. Empty if the text is not
/// an object or array.
std::optional<std::map<std::string, std::string_view>> SplitJsonObject(
    std::string_view text);
std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text);

/// Typed access to the fields of a JSON object. The first field that is missing
/// or has the wrong type is kept as the error; such reads return a default.
class JsonReader {
 public:
  explicit JsonReader(const Json& object) : object_(object) {
    if (!object.is_object()) error_ = "is not an object";
  }

  std::string String(const char* name) {
    const Json* value = Find(name);
    if (value != nullptr && value->is_string())
      return value->get<std::string>();
    return Fail(name, "a string"), std::string();
  }
  std::string StringOr(const char* name, std::string fallback) {
    return Has(name) ? String(name) : std::move(fallback);
  }
  int64_t Int(const char* name) {
    const Json* value = Find(name);
    if (value != nullptr && value->is_number_integer())
      return value->get<int64_t>();
    return Fail(name, "an integer"), 0;
  }
  int64_t IntOr(const char* name, int64_t fallback) {
    return Has(name) ? Int(name) : fallback;
  }
  bool BoolOr(const char* name, bool fallback) {
    if (!Has(name)) return fallback;
    const Json* value = Find(name);
    if (value->is_boolean()) return value->get<bool>();
    return Fail(name, "true or false"), fallback;
  }
  /// The member `name`, or nullptr (no error) if there is none.
  const Json* Find(const char* name) const {
    if (!object_.is_object()) return nullptr;
    auto it = object_.find(name);
    return it == object_.end() ? nullptr : &*it;
  }
  bool Has(const char* name) const { return Find(name) != nullptr; }

  /// Description of the first invalid field; empty if all were valid.
  const std::string& FirstError() const { return error_; }

 private:
  void Fail(const char* name, const char* wanted) {
    if (error_.empty()) error_ = std::string(name) + " is not " + wanted;
  }

  const Json& object_;
  std::string error_;
};

}  // namespace banyanloft
