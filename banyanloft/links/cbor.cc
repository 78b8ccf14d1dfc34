#include "banyanloft/links/cbor.h"

namespace banyanloft {
namespace {

constexpr int kMaxNesting = 6;

/// Major types of RFC 8949, section 3.1.
constexpr int kBytesType = 2;
constexpr int kTextType = 3;
constexpr int kArrayType = 4;
constexpr int kMapType = 5;
constexpr int kTagType = 6;

std::optional<size_t> SkipItem(std::string_view bytes, size_t at, int nesting) {
  std::optional<CborItemHead> head = ReadCborItemHead(bytes, at);
  if (!head || nesting > kMaxNesting) return std::nullopt;
  if (head->major == kBytesType || head->major == kTextType) {
    if (head->argument > bytes.size() - head->end) return std::nullopt;
    return head->end + static_cast<size_t>(head->argument);
  }
  uint64_t items = 0;
  if (head->major == kArrayType) items = head->argument;
  if (head->major == kMapType) items = 2 * head->argument;
  if (head->major == kTagType) items = 1;
  std::optional<size_t> end = head->end;
  for (; end && items > 0; --items) end = SkipItem(bytes, *end, nesting + 1);
  return end;
}

}  // namespace

std::optional<CborItemHead> ReadCborItemHead(std::string_view bytes,
                                             size_t at) {
  if (at >= bytes.size()) return std::nullopt;
  constexpr int kShortArguments = 24;
  constexpr int kLongestArgument = 27;
  int first = static_cast<unsigned char>(bytes[at]);
  int info = first & 0x1f;
  if (info > kLongestArgument) return std::nullopt;
  CborItemHead head;
  head.major = first >> 5;
  head.end = at + 1;
  if (info < kShortArguments) {
    head.argument = static_cast<uint64_t>(info);
    return head;
  }
  size_t size = size_t{1} << (info - kShortArguments);
  if (bytes.size() - head.end < size) return std::nullopt;
  for (size_t i = 0; i < size; ++i)
    head.argument =
        head.argument << 8 | static_cast<unsigned char>(bytes[head.end + i]);
  head.end += size;
  return head;
}

std::optional<size_t> SkipCborItem(std::string_view bytes, size_t at) {
  return SkipItem(bytes, at, 0);
}

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

std::string CborBytesHead(uint64_t size) {
  // RFC 8949, section 3: major type 2 with a length of eight bytes.
  std::string head(1, '\x5b');
  for (int shift = 56; shift >= 0; shift -= 8)
    head += static_cast<char>((size >> shift) & 0xff);
  return head;
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
