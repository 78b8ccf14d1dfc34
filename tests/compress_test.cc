#include "banyanloft/core/compress.h"

#include <CppUTest/TestHarness.h>

#include "banyanloft/core/random.h"

using namespace banyanloft;

namespace {

constexpr size_t kLimit = 1 << 20;

std::string LikeRoutes(int count) {
  std::string out;
  for (int i = 0; i < count; ++i)
    out += "{\"name\":\"r-" + std::to_string(i) + "\",\"kind\":\"safe\"},";
  return out;
}

}  // namespace

TEST_GROUP(compress){};

TEST(compress, roundTrip_bringsTheDataBack) {
  for (int count : {0, 1, 7, 4000}) {
    std::string data = LikeRoutes(count);
    std::optional<std::string> back = Decompress(Compress(data), kLimit);
    CHECK(back.has_value());
    CHECK(*back == data);
  }
}

TEST(compress, documentOfLikeRoutes_shrinksToAFifth) {
  std::string data = LikeRoutes(2000);
  CHECK(Compress(data).size() * 5 < data.size());
}

TEST(compress, unpack_moreThanAllowed_isRefused) {
  CHECK(!Decompress(Compress(LikeRoutes(4000)), 1000).has_value());
}

TEST(compress, unpack_truncated_isRefused) {
  std::string packed = Compress(LikeRoutes(100));
  for (size_t size = 0; size + 1 < packed.size(); size += 7)
    CHECK(!Decompress(packed.substr(0, size), kLimit).has_value());
}

TEST(compress, unpack_randomBytes_neverPassesTheLimit) {
  Random random(3);
  for (int round = 0; round < 2000; ++round) {
    std::string bytes(random.Below(200), '\0');
    for (char& c : bytes) c = static_cast<char>(random.Below(256));
    std::optional<std::string> out = Decompress(bytes, 5000);
    CHECK(!out || out->size() <= 5000);
  }
}
