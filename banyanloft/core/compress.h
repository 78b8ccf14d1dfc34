#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyanloft {

/// Packs data for the links between daemons (zlib format). Thread safe.
std::string Compress(std::string_view data);

/// The data that was packed; nothing if it is damaged or would take more than
/// `max_bytes`. Thread safe.
std::optional<std::string> Decompress(std::string_view packed,
                                      size_t max_bytes);

}  // namespace banyanloft
