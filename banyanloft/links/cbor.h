#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "banyanloft/config/json.h"

namespace banyanloft {

/// Decodes CBOR; a discarded value if it is malformed, nests deeper than the
/// protocol needs or has more bytes than one value. Never throws.
Json FromCbor(std::string_view bytes);
/// CBOR of a value.
std::string ToCbor(const Json& value);
/// A byte string as a CBOR value.
Json BytesValue(const std::string& bytes);

/// Reads the elements of a CBOR array one after the other. The first element
/// that is missing or of another type makes the reader fail for good.
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
  /// The next element, whatever it is; a null value after a failure.
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
