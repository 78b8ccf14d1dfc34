#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyanloft {

/// SHA-256 of `data` in lower-case hexadecimal: the address of stored content.
std::string ContentHash(std::string_view data);
/// HMAC-SHA-256 of `data`, truncated to 16 bytes, in hexadecimal.
std::string KeyedHash(std::string_view secret, std::string_view data);
/// Compares two hashes in time that does not depend on where they differ.
bool ConstantTimeEquals(std::string_view a, std::string_view b);
/// Fast non-cryptographic 64-bit hash (xxHash), for placement and digests.
uint64_t FastHash(std::string_view data, uint64_t seed = 0);

}  // namespace banyanloft
