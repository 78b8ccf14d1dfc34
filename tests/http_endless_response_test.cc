#include <CppUTest/TestHarness.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <thread>

#include "banyanloft/http/http_client.h"
#include "tests/endless_server.h"

using namespace banyanloft;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr size_t kMaxBodyBytes = 512 * 1024;
constexpr size_t kMaxTotalBodyBytes = 1024 * 1024;
constexpr char kSoundPath[] = "/sound";
constexpr char kSoundResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

}  // namespace

/// A backend server in trouble sends bytes without end. The client must close
/// the connection in time, with bounded memory, and must not call the request
/// unsent.
TEST_GROUP(http_endless_response) {
  EndlessServer server_{0, LastSegmentOf,
                        [](const std::string&) { return kSoundResponse; }};
  asio::io_context io_;
  std::unique_ptr<HttpClient> client_;
  std::map<uint64_t, HttpOutcome> outcomes_;
  size_t max_buffered_ = 0;

  void setup() override {
    HttpClientSettings settings;
    settings.server.port = server_.Port();
    settings.max_body_bytes = kMaxBodyBytes;
    settings.max_total_body_bytes = kMaxTotalBodyBytes;
    client_ = std::make_unique<HttpClient>(io_, settings);
  }
  void Send(uint64_t id, const std::string& path, int64_t timeout_ms) {
    HttpRequest request;
    request.method = "GET";
    request.target = path;
    client_->Send(
        id, request, timeout_ms,
        [this, id](HttpOutcome outcome) { outcomes_[id] = std::move(outcome); },
        [](const HttpResponse& response) {
          return response.body == "others" ? ResponseMatch::kOther
                                           : ResponseMatch::kMatches;
        });
  }
  /// Runs until `count` requests have ended.
  void RunUntilEnded(size_t count) {
    auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (outcomes_.size() < count &&
           std::chrono::steady_clock::now() < limit) {
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(1));
      max_buffered_ = std::max(max_buffered_, client_->BufferedBodyBytes());
    }
    CHECK_EQUAL(count, outcomes_.size());
  }
  /// Whether the client closes every connection on which the server sends
  /// without end, within a time that is far below an idle timeout.
  bool AllAreClosed() {
    auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (server_.ClosedByClient() < server_.Begun() &&
           std::chrono::steady_clock::now() < limit) {
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(1));
    }
    return server_.ClosedByClient() == server_.Begun();
  }
};

TEST(http_endless_response, anyPart_isCutOffLongBeforeTheDeadline) {
  constexpr int64_t kDeadlineMs = 20000;
  for (const auto& [name, response] : EndlessResponses()) {
    outcomes_.clear();
    auto began = std::chrono::steady_clock::now();
    Send(1, "/" + name, kDeadlineMs);
    RunUntilEnded(1);
    auto took = std::chrono::steady_clock::now() - began;
    const std::string& where = name;
    if (response.after_sound_response) {
      CHECK_TEXT(outcomes_[1].response.body == "sound", where.c_str());
    } else {
      CHECK_TEXT(outcomes_[1].failure.has_value(), where.c_str());
      bool told_unknown = outcomes_[1].failure == HttpFailure::kBroken ||
                          outcomes_[1].failure == HttpFailure::kTooLarge;
      CHECK_TEXT(told_unknown, where.c_str());
    }
    CHECK_TEXT(took < std::chrono::milliseconds(kDeadlineMs / 4),
               where.c_str());
    CHECK_TEXT(AllAreClosed(), where.c_str());
    outcomes_.clear();
    Send(2, kSoundPath, kDeadlineMs);
    RunUntilEnded(1);
    CHECK_TEXT(outcomes_[2].response.body == "sound", where.c_str());
  }
}

TEST(http_endless_response, manyAtOnce_memoryIsBoundedAndOthersAreAnswered) {
  constexpr size_t kEndless = 40;
  constexpr size_t kReadBytes = 64 * 1024;
  for (uint64_t id = 1; id <= kEndless; ++id)
    Send(id, "/body-until-close", 20000);
  Send(kEndless + 1, kSoundPath, 20000);
  RunUntilEnded(kEndless + 1);
  for (uint64_t id = 1; id <= kEndless; ++id)
    CHECK(outcomes_[id].failure == HttpFailure::kTooLarge);
  CHECK(outcomes_[kEndless + 1].response.body == "sound");
  CHECK(max_buffered_ <= kMaxTotalBodyBytes + kReadBytes);
}

TEST(http_endless_response, interimResponse_isSkippedAndNotDelivered) {
  asio::io_context io;
  Tcp::acceptor acceptor(io,
                         Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  uint16_t port = acceptor.local_endpoint().port();
  std::thread peer([&] {
    Tcp::socket socket(io);
    acceptor.accept(socket);
    std::array<char, 4096> input{};
    socket.read_some(asio::buffer(input));
    asio::write(socket,
                asio::buffer(std::string("HTTP/1.1 100 Continue\r\n\r\n") +
                             kSoundResponse));
  });
  HttpClientSettings settings;
  settings.server.port = port;
  client_ = std::make_unique<HttpClient>(io_, settings);
  Send(1, kSoundPath, 2000);
  RunUntilEnded(1);
  peer.join();
  CHECK_EQUAL(200, outcomes_[1].response.status);
  CHECK(outcomes_[1].response.body == "sound");
}
