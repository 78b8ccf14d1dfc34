#include "banyanloft/core/compress.h"

#include <CppUTest/TestHarness.h>

#include "banyanloft/core/random.h"

using namespace banyanloft;

namespace {

constexpr size_t kLimit = 1 << 20;

std::string SimilarRoutes(int count) {
  std::string out;
  for (int i = 0; i < count; ++i)
    out += "{\"name\":\"r-" + std::to_string(i) + "\",\"kind\":\"safe\"},";
  return out;
}

}  // namespace

TEST_GROUP(compress){};

TEST(compress, roundTrip_restoresTheData) {
  for (int count : {0, 1, 7, 4000}) {
    std::string data = SimilarRoutes(count);
    std::optional<std::string> restored = Decompress(Compress(data), kLimit);
    CHECK(restored.has_value());
    CHECK(*restored == data);
  }
}

TEST(compress, documentWithSimilarRoutes_shrinksToAFifth) {
  std::string data = SimilarRoutes(2000);
  CHECK(Compress(data).size() * 5 < data.size());
}

TEST(compress, decompress_outputAboveLimit_isRejected) {
  CHECK(!Decompress(Compress(SimilarRoutes(4000)), 1000).has_value());
}

TEST(compress, decompress_truncatedInput_isRejected) {
  std::string compressed = Compress(SimilarRoutes(100));
  for (size_t size = 0; size + 1 < compressed.size(); size += 7)
    CHECK(!Decompress(compressed.substr(0, size), kLimit).has_value());
}

TEST(compress, decompress_randomBytes_neverExceedsTheLimit) {
  Random random(3);
  for (int round = 0; round < 2000; ++round) {
    std::string bytes(random.Below(200), '\0');
    for (char& c : bytes) c = static_cast<char>(random.Below(256));
    std::optional<std::string> out = Decompress(bytes, 5000);
    CHECK(!out || out->size() <= 5000);
  }
}
