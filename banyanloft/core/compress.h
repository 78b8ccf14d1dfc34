#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyanloft {

/// Packs data for the links between daemons (zlib format). Thread safe.
std::string Pack(std::string_view data);

/// The data that was packed; nothing if it is damaged or would take more than
/// `max_bytes`. Thread safe.
std::optional<std::string> Unpack(std::string_view packed, size_t max_bytes);

}  // namespace banyanloft
