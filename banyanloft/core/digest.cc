#include "banyanloft/core/digest.h"

#include <sodium.h>
#include <xxhash.h>

#include <array>

namespace banyanloft {
namespace {

constexpr size_t kKeyedHashBytes = 16;

const unsigned char* Bytes(std::string_view data) {
  return reinterpret_cast<const unsigned char*>(data.data());
}

std::string Hex(const unsigned char* data, size_t size) {
  std::string out(size * 2 + 1, '\0');
  sodium_bin2hex(out.data(), out.size(), data, size);
  out.pop_back();
  return out;
}

}  // namespace

std::string ContentHash(std::string_view data) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> out{};
  crypto_hash_sha256(out.data(), Bytes(data), data.size());
  return Hex(out.data(), out.size());
}

std::string KeyedHash(std::string_view secret, std::string_view data) {
  std::array<unsigned char, crypto_auth_hmacsha256_BYTES> out{};
  crypto_auth_hmacsha256_state state;
  crypto_auth_hmacsha256_init(&state, Bytes(secret), secret.size());
  crypto_auth_hmacsha256_update(&state, Bytes(data), data.size());
  crypto_auth_hmacsha256_final(&state, out.data());
  return Hex(out.data(), kKeyedHashBytes);
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

uint64_t FastHash(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

}  // namespace banyanloft
