#include "banyanloft/core/digest.h"

#include <CppUTest/TestHarness.h>

using namespace banyanloft;

TEST_GROUP(digest){};

// FIPS 180-2, appendix B.1.
TEST(digest, contentHash_publishedExample_matchesPublishedHash) {
  STRCMP_EQUAL(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
      ContentHash("abc").c_str());
}

// RFC 4231, test cases 2 and 6 (a key longer than a block).
TEST(digest, keyedHash_publishedExamples_matchPrefixOfPublishedMac) {
  STRCMP_EQUAL("5bdcc146bf60754e6a042426089575c7",
               KeyedHash("Jefe", "what do ya want for nothing?").c_str());
  STRCMP_EQUAL(
      "60e431591ee0b67f0d8a26aacbf5b77f",
      KeyedHash(std::string(131, '\xaa'),
                "Test Using Larger Than Block-Size Key - Hash Key First")
          .c_str());
}

TEST(digest, constantTimeEquals_lengthsOrBytesDiffer_isFalse) {
  CHECK(ConstantTimeEquals("ab", "ab"));
  CHECK(!ConstantTimeEquals("ab", "ac"));
  CHECK(!ConstantTimeEquals("ab", "abc"));
  CHECK(ConstantTimeEquals("", ""));
}
