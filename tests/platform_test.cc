#include <CppUTest/TestHarness.h>

#include <boost/asio/post.hpp>
#include <thread>

#include "banyanloft/store/http_platform.h"
#include "banyanloft/store/memory_platform.h"
#include "standins/platform_server.h"

using namespace banyanloft;

namespace {

/// The server of the platform's stand-in, on its own thread.
class RunningServer {
 public:
  RunningServer() : server_(io_, HttpServerSettings()) {
    endpoint_ = *ValueOf(server_.Start());
    thread_ = std::thread([this] { io_.run(); });
  }
  ~RunningServer() {
    io_.stop();
    thread_.join();
  }
  const Endpoint& Address() const { return endpoint_; }
  void SetFault(FaultMode mode, int64_t ms = 0) {
    boost::asio::post(io_, [this, mode, ms] { server_.SetFault(mode, ms); });
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

 private:
  boost::asio::io_context io_;
  PlatformServer server_;
  Endpoint endpoint_;
  std::thread thread_;
};

}  // namespace

/// Contract of the object API, tested with the in-memory fake and, over
/// loopback, with the HTTP client.
TEST_GROUP(platform) {
  RunningServer server_;
  HttpPlatform http_{server_.Address(), 300};
  MemoryPlatform memory_;

  static PlatformCall Read(const std::string& key) {
    PlatformCall call;
    call.key = key;
    return call;
  }
  static PlatformCall Write(const std::string& key, const std::string& value,
                            std::optional<uint64_t> expected) {
    PlatformCall call;
    call.type = PlatformCall::Type::kWrite;
    call.key = key;
    call.value = value;
    call.expected_revision = expected;
    return call;
  }
  std::vector<Platform*> BothPlatforms() { return {&memory_, &http_}; }
};

TEST(platform, missingObject_isEmptyAndNoError) {
  for (Platform* platform : BothPlatforms()) {
    PlatformReply reply = platform->Do(Read("a/b"));
    CHECK_FALSE(reply.error.has_value());
    CHECK_EQUAL(0U, reply.objects.size());
  }
}

TEST(platform, writtenObject_isReadWithItsRevision) {
  for (Platform* platform : BothPlatforms()) {
    PlatformReply written = platform->Do(Write("a/b", "value", 0));
    CHECK(written.revision > 0);
    PlatformReply read = platform->Do(Read("a/b"));
    CHECK(read.objects[0].value == "value");
    CHECK_EQUAL(written.revision, read.objects[0].revision);
  }
}

TEST(platform, conditionalWrite_conflictsUnlessTheRevisionMatches) {
  for (Platform* platform : BothPlatforms()) {
    uint64_t revision = platform->Do(Write("k", "1", 0)).revision;
    CHECK(platform->Do(Write("k", "2", 0)).error->kind == ErrorKind::kConflict);
    CHECK(platform->Do(Write("k", "2", revision + 100)).error->kind ==
          ErrorKind::kConflict);
    PlatformReply second = platform->Do(Write("k", "2", revision));
    CHECK_FALSE(second.error.has_value());
    CHECK(second.revision > revision);
    CHECK(platform->Do(Read("k")).objects[0].value == "2");
  }
}

TEST(platform, list_returnsOnlyKeysWithThePrefix) {
  for (Platform* platform : BothPlatforms()) {
    platform->Do(Write("list/a", "1", std::nullopt));
    platform->Do(Write("list/b", "2", std::nullopt));
    platform->Do(Write("lisu", "3", std::nullopt));
    PlatformCall list;
    list.type = PlatformCall::Type::kList;
    list.key = "list/";
    PlatformReply reply = platform->Do(list);
    CHECK_EQUAL(2U, reply.objects.size());
    CHECK(reply.objects[1].key == "list/b" && reply.objects[1].value == "2");
  }
}

TEST(platform, valueAboveOneMegabyte_isRejected) {
  for (Platform* platform : BothPlatforms()) {
    PlatformReply reply = platform->Do(
        Write("big", std::string(MemoryPlatform::kMaxValueBytes + 1, 'x'), 0));
    CHECK(reply.error.has_value());
    CHECK_EQUAL(0U, platform->Do(Read("big")).objects.size());
  }
}

TEST(platform, outage_isUnavailable) {
  server_.SetFault(FaultMode::kUnavailable);
  CHECK(http_.Do(Read("k")).error->kind == ErrorKind::kPlatformUnavailable);
  server_.SetFault(FaultMode::kOk);
  CHECK_FALSE(http_.Do(Read("k")).error.has_value());
}

TEST(platform, slowAnswer_isUnavailableAfterTheTimeout) {
  server_.SetFault(FaultMode::kSlow, 2000);
  CHECK(http_.Do(Read("k")).error->kind == ErrorKind::kPlatformUnavailable);
}

TEST(platform, answerLostAfterWrite_isUnavailableAndWritten) {
  server_.SetFault(FaultMode::kDropWriteReplies);
  CHECK(http_.Do(Write("k", "1", 0)).error->kind ==
        ErrorKind::kPlatformUnavailable);
  server_.SetFault(FaultMode::kOk);
  CHECK(http_.Do(Read("k")).objects[0].value == "1");
}

TEST(platform, watch_returnsOnTheNextWrite) {
  uint64_t revision = http_.Do(Write("k", "1", 0)).revision;
  std::thread writer([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    HttpPlatform other(server_.Address(), 300);
    other.Do(Write("k", "2", std::nullopt));
  });
  PlatformCall watch = Read("k");
  watch.watch_after = revision;
  watch.wait_ms = 5000;
  PlatformReply reply = http_.Do(watch);
  writer.join();
  CHECK(reply.objects[0].value == "2");
}

TEST(platform, watchWithoutAWrite_returnsTheUnchangedObject) {
  uint64_t revision = http_.Do(Write("k", "1", 0)).revision;
  PlatformCall watch = Read("k");
  watch.watch_after = revision;
  watch.wait_ms = 100;
  PlatformReply reply = http_.Do(watch);
  CHECK_EQUAL(revision, reply.objects[0].revision);
}
