#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyanloft {

/// Compresses data for the links between daemons (zlib format). Thread safe.
std::string Compress(std::string_view data);

/// Decompresses data. Returns nothing if the input is corrupt or the output
/// would exceed `max_bytes`. Thread safe.
std::optional<std::string> Decompress(std::string_view compressed,
                                      size_t max_bytes);

}  // namespace banyanloft
