#include "banyanloft/config/json.h"

#include <cctype>

namespace banyanloft {
namespace {

/// Builds a value, but rejects nesting deeper than allowed: functions of the
/// library that visit a value recurse, so that deep input exhausts the stack.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;
  /// Passed to the library in place of the sizes announced by the input: it
  /// throws an exception if a size is excessive.
  static constexpr std::size_t kUnknownSize = static_cast<std::size_t>(-1);

 public:
  BoundedBuilder(Json& value, int max_nesting)
      : Base(value, false), max_nesting_(max_nesting) {}

  // Names and signatures are defined by the library.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_array(std::size_t) {
    return ++depth_ <= max_nesting_ && Base::start_array(kUnknownSize);
  }
  bool end_array() { return --depth_, Base::end_array(); }
  bool start_object(std::size_t) {
    return ++depth_ <= max_nesting_ && Base::start_object(kUnknownSize);
  }
  bool end_object() { return --depth_, Base::end_object(); }
  // NOLINTEND(readability-identifier-naming)

 private:
  int max_nesting_;
  int depth_ = 0;
};

/// Finds the extent of values in JSON text without interpreting them.
class JsonScanner {
 public:
  explicit JsonScanner(std::string_view text) : text_(text) {}

  /// Consumes this character, if it is next after white space.
  bool Take(char wanted) {
    SkipSpace();
    if (at_ >= text_.size() || text_[at_] != wanted) return false;
    ++at_;
    return true;
  }
  bool AtEnd() {
    SkipSpace();
    return at_ == text_.size();
  }
  /// Consumes a value up to the comma, colon or bracket that follows it. Empty
  /// if there is none, or a bracket or quotation mark is not closed.
  std::string_view TakeValue() {
    SkipSpace();
    size_t begin = at_;
    int64_t depth = 0;
    for (; at_ < text_.size(); ++at_) {
      char c = text_[at_];
      if (c == '"') {
        if (!SkipString()) return {};
        continue;
      }
      if (c == '[' || c == '{') ++depth;
      bool closes = c == ']' || c == '}';
      bool separates = c == ',' || c == ':';
      if (depth == 0 && (closes || separates)) break;
      if (closes) --depth;
    }
    return depth == 0 ? text_.substr(begin, at_ - begin) : std::string_view();
  }

 private:
  void SkipSpace() {
    while (at_ < text_.size() &&
           std::isspace(static_cast<unsigned char>(text_[at_])) != 0)
      ++at_;
  }
  /// Leaves the position at the closing quotation mark.
  bool SkipString() {
    for (++at_; at_ < text_.size(); ++at_) {
      if (text_[at_] == '\\') {
        ++at_;
      } else if (text_[at_] == '"') {
        return true;
      }
    }
    return false;
  }

  std::string_view text_;
  size_t at_ = 0;
};

}  // namespace

Json ParseBounded(std::string_view bytes, Json::input_format_t format,
                  int max_nesting) {
  Json value;
  BoundedBuilder builder(value, max_nesting);
  bool ok = Json::sax_parse(bytes.begin(), bytes.end(), &builder, format);
  return ok ? value : Json(Json::value_t::discarded);
}

Json ParseJson(std::string_view text) {
  return ParseBounded(text, Json::input_format_t::json, kMaxJsonNesting);
}

std::optional<std::map<std::string, std::string_view>> SplitJsonObject(
    std::string_view text) {
  JsonScanner scanner(text);
  std::map<std::string, std::string_view> members;
  if (!scanner.Take('{')) return std::nullopt;
  if (scanner.Take('}')) return members;
  do {
    Json name = ParseJson(scanner.TakeValue());
    if (!name.is_string() || !scanner.Take(':')) return std::nullopt;
    std::string_view value = scanner.TakeValue();
    if (value.empty()) return std::nullopt;
    members[name.get<std::string>()] = value;
  } while (scanner.Take(','));
  if (!scanner.Take('}') || !scanner.AtEnd()) return std::nullopt;
  return members;
}

std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text) {
  JsonScanner scanner(text);
  std::vector<std::string_view> elements;
  if (!scanner.Take('[')) return std::nullopt;
  if (scanner.Take(']')) return elements;
  do {
    std::string_view element = scanner.TakeValue();
    if (element.empty()) return std::nullopt;
    elements.push_back(element);
  } while (scanner.Take(','));
  if (!scanner.Take(']') || !scanner.AtEnd()) return std::nullopt;
  return elements;
}

}  // namespace banyanloft
