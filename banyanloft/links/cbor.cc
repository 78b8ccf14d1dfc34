#include "banyanloft/links/cbor.h"

namespace banyanloft {
namespace {

constexpr int kMaxNesting = 6;

}  // namespace

Json FromCbor(std::string_view bytes) {
  return ParseBounded(bytes, Json::input_format_t::cbor, kMaxNesting);
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
