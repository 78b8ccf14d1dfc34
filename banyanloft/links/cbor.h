#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "banyanloft/config/json.h"

namespace banyanloft {

/// Decodes CBOR. Returns a discarded value if the input is malformed, nests
/// deeper than the protocol needs or has trailing bytes. Never throws.
Json FromCbor(std::string_view bytes);
/// Encodes a value as CBOR.
std::string ToCbor(const Json& value);
/// A byte string as a CBOR value.
Json BytesValue(const std::string& bytes);

/// The bytes before a byte string of the given length.
std::string CborBytesHead(uint64_t size);

/// The type and the argument at the start of an item.
struct CborItemHead {
  int major = 0;
  uint64_t argument = 0;
  size_t end = 0;  ///< Position behind the head.
};
/// Reads the head of the item at a position; empty if it is cut off, or of
/// indefinite length, which this protocol does not use.
std::optional<CborItemHead> ReadCborItemHead(std::string_view bytes, size_t at);
/// Position behind the item at a position; empty if it is malformed, or nests
/// deeper than the protocol needs.
std::optional<size_t> SkipCborItem(std::string_view bytes, size_t at);

/// Reads the elements of a CBOR array in order. The first element that is
/// missing or of another type puts the reader into a permanent error state.
class CborReader {
 public:
  explicit CborReader(const Json& array)
      : array_(array), ok_(array.is_array()) {}

  uint64_t Unsigned();
  int64_t Integer();
  int Int() { return static_cast<int>(Integer()); }
  bool Bool();
  std::string String();
  std::string Bytes();
  /// The next element, of any type; a null value after a failure.
  const Json& Next();
  void Fail() { ok_ = false; }
  /// True if nothing failed so far.
  bool Ok() const { return ok_; }
  /// True if nothing failed and all elements were read.
  bool Done() const { return ok_ && index_ == array_.size(); }

 private:
  const Json& array_;
  size_t index_ = 0;
  bool ok_;
};

}  // namespace banyanloft
