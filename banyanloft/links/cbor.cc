#include "banyanloft/links/cbor.h"

namespace banyanloft {
namespace {

constexpr int kMaxNesting = 6;
/// Passed to the library in place of the sizes announced by the input: it
/// throws an exception if a size is excessive.
constexpr std::size_t kUnknownSize = static_cast<std::size_t>(-1);

/// Builds the value, but rejects nesting deeper than that of any message, so
/// that malicious input cannot exhaust the stack.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

 public:
  explicit BoundedBuilder(Json& value) : Base(value, false) {}

  // Names and signatures are defined by the library.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_array(std::size_t) {
    return ++depth_ <= kMaxNesting && Base::start_array(kUnknownSize);
  }
  bool end_array() { return --depth_, Base::end_array(); }
  bool start_object(std::size_t) {
    return ++depth_ <= kMaxNesting && Base::start_object(kUnknownSize);
  }
  bool end_object() { return --depth_, Base::end_object(); }
  // NOLINTEND(readability-identifier-naming)

 private:
  int depth_ = 0;
};

}  // namespace

Json FromCbor(std::string_view bytes) {
  Json value;
  BoundedBuilder builder(value);
  bool ok = Json::sax_parse(bytes.begin(), bytes.end(), &builder,
                            Json::input_format_t::cbor);
  return ok ? value : Json(Json::value_t::discarded);
}

std::string ToCbor(const Json& value) {
  std::string out;
  Json::to_cbor(value, nlohmann::detail::output_adapter<char>(out));
  return out;
}

Json BytesValue(const std::string& bytes) {
  return Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

const Json& CborReader::Next() {
  static const Json kNull;
  if (!ok_ || index_ >= array_.size()) {
    ok_ = false;
    return kNull;
  }
  return array_[index_++];
}

uint64_t CborReader::Unsigned() {
  const Json& value = Next();
  if (ok_ && value.is_number_unsigned()) return value.get<uint64_t>();
  ok_ = false;
  return 0;
}

int64_t CborReader::Integer() {
  const Json& value = Next();
  if (ok_ && value.is_number_integer()) return value.get<int64_t>();
  ok_ = false;
  return 0;
}

bool CborReader::Bool() {
  const Json& value = Next();
  if (ok_ && value.is_boolean()) return value.get<bool>();
  ok_ = false;
  return false;
}

std::string CborReader::String() {
  const Json& value = Next();
  if (ok_ && value.is_string()) return value.get<std::string>();
  ok_ = false;
  return "";
}

std::string CborReader::Bytes() {
  const Json& value = Next();
  if (ok_ && value.is_binary()) {
    const auto& bytes = value.get_binary();
    return std::string(bytes.begin(), bytes.end());
  }
  ok_ = false;
  return "";
}

}  // namespace banyanloft
