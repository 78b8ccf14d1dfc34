#include "banyanloft/core/digest.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

#include <array>

namespace banyanloft {
namespace {

constexpr size_t kKeyedHashBytes = 16;

std::string Hex(const unsigned char* data, size_t size) {
  std::string out;
  out.reserve(size * 2);
  for (size_t i = 0; i < size; ++i) out += fmt::format("{:02x}", data[i]);
  return out;
}

}  // namespace

std::string ContentHash(std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
  unsigned int size = 0;
  EVP_Digest(data.data(), data.size(), out.data(), &size, EVP_sha256(),
             nullptr);
  return Hex(out.data(), size);
}

std::string KeyedHash(std::string_view secret, std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(),
       out.data(), &size);
  return Hex(out.data(), kKeyedHashBytes);
}

bool SameHash(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

uint64_t FastHash(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

}  // namespace banyanloft
