// Backend servers in trouble that send bytes without end to daemons that run as
// processes on loopback. The daemons must stay within the memory of their
// instance and go on serving other requests.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "platform/wire_names.h"
#include "standins/mesh_configuration.h"
#include "tests/client_connection.h"
#include "tests/endless_server.h"
#include "tests/process_fleet.h"

using namespace banyanloft;

namespace {

namespace wire = banyanloft::platform;

constexpr int64_t kStartupMs = 4500;
constexpr size_t kMemoryMb = 160;
constexpr size_t kBytesPerMb = 1000 * 1000;
/// Clients of each of two daemons, and the requests that each sends at once.
constexpr int kClients = 60;
constexpr int kRequestsAtOnce = 3;
constexpr int64_t kDeadlineMs = 4000;
constexpr int64_t kUsedAgainWithinMs = 15000;
constexpr int64_t kClosedWithinMs = 2000;
const std::string kHealth = std::string(wire::path::kHealth).substr(1);

TimeMs Now() { return SteadyClock().Now(); }

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string HeaderIn(const std::string& head, const std::string& name) {
  size_t begin = head.find(name + ": ");
  if (begin == std::string::npos) return "";
  begin += name.size() + 2;
  return head.substr(begin, head.find('\r', begin) - begin);
}

/// Response of a sound backend server to a request or a health check.
std::string SoundResponse(int instance, const std::string& head) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: {}\r\n{}: s\r\nContent-Length: "
      "5\r\n\r\nsound",
      wire::header::kInstance, ProcessFleet::BackendId(instance),
      wire::header::kRequestId, HeaderIn(head, wire::header::kRequestId),
      wire::header::kSignature);
}

/// Sends `count` requests at once on a new connection. Returns the status of
/// the first response; 0 if there is none.
int StatusOf(uint16_t port, const std::string& method, const std::string& path,
             const std::string& id, int count = 1) {
  std::string requests;
  for (int i = 0; i < count; ++i)
    requests += fmt::format(
        "{} {} HTTP/1.1\r\nHost: {}\r\n{}: {}-{}\r\n{}: {}\r\n"
        "Content-Length: 0\r\n\r\n",
        method, path, kMeshHost, wire::header::kRequestId, id, i,
        wire::header::kDeadlineMs, kDeadlineMs);
  ClientConnection client;
  bool sent =
      client.Open(port, false, 2 * kDeadlineMs) && client.Write(requests);
  int first = 0;
  for (int i = 0; sent && i < count; ++i) {
    int status = 0;
    if (!client.ReadResponse(0, &status)) break;
    if (i == 0) first = status;
  }
  return first;
}

/// Sum of the bytes that wait to be read on this machine's connections to a
/// port.
size_t UnreadBytesFrom(uint16_t port) {
  std::ifstream table("/proc/net/tcp");
  std::string remote = fmt::format(":{:04X}", port);
  size_t unread = 0;
  std::string line;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number, local, peer, state, queues;
    fields >> number >> local >> peer >> state >> queues;
    size_t colon = queues.find(':');
    bool matches =
        peer.size() > remote.size() &&
        peer.compare(peer.size() - remote.size(), remote.size(), remote) == 0;
    if (matches && colon != std::string::npos)
      unread += std::strtoul(queues.c_str() + colon + 1, nullptr, 16);
  }
  return unread;
}

}  // namespace

TEST_GROUP(endless_response_processes) {
  /// Instances of the service whose servers are in trouble; the others are of
  /// another service.
  static constexpr int kFaulty[] = {0, 2};
  ProcessFleetSettings settings_;
  IgnoringObserver observer_;
  std::atomic<bool> health_is_endless_{false};
  std::atomic<size_t> next_name_{0};
  std::vector<std::unique_ptr<EndlessServer>> servers_;
  std::unique_ptr<ProcessFleet> fleet_;
  size_t max_unread_bytes_ = 0;

  void setup() override {
    settings_.first_port = 31000;
    settings_.limits = fmt::format("memory_mb = {}", kMemoryMb);
  }

  void StartFleetWithFaultyServers() {
    settings_.answered_by_test = {std::begin(kFaulty), std::end(kFaulty)};
    fleet_ = std::make_unique<ProcessFleet>(settings_, &observer_);
    for (int instance : kFaulty)
      servers_.push_back(std::make_unique<EndlessServer>(
          fleet_->BackendAddress(instance).port,
          [this](const std::string& head) {
            bool health = LastSegmentOf(head) == kHealth;
            return health && health_is_endless_ ? NextName()
                                                : LastSegmentOf(head);
          },
          [instance](const std::string& head) {
            return SoundResponse(instance, head);
          }));
    CHECK(fleet_->Start());
    SleepMs(kStartupMs);
    CHECK(LookupIsAnswered("before"));
  }

  /// Names of all endless responses in turn.
  std::string NextName() {
    auto response = EndlessResponses().begin();
    std::advance(response, next_name_++ % EndlessResponses().size());
    return response->first;
  }
  uint16_t PortOf(int instance) { return fleet_->Clients(instance).port; }

  /// Whether the service in trouble answers a sound request, in some time.
  bool LookupIsAnswered(const std::string& id) {
    TimeMs end = Now() + kUsedAgainWithinMs;
    for (int number = 0; Now() < end; ++number) {
      if (StatusOf(PortOf(1), "GET", "/lookup/sound",
                   fmt::format("{}-{}", id, number)) == 200)
        return true;
      SleepMs(100);
    }
    return false;
  }

  /// Sends many requests for an endless response at once, beside ordinary ones
  /// to the other service. Returns the statuses of the ordinary ones.
  std::vector<int> Play(const std::string& name) {
    std::vector<std::thread> clients;
    std::atomic<int> running{2 * kClients};
    for (int i = 0; i < 2 * kClients; ++i) {
      clients.emplace_back([this, i, &name, &running] {
        StatusOf(PortOf(i % 2), "GET", "/lookup/" + name,
                 fmt::format("{}-{}", name, i), kRequestsAtOnce);
        --running;
      });
    }
    std::vector<int> ordinary;
    constexpr size_t kLeast = 20;
    while (running > 0 || ordinary.size() < kLeast) {
      size_t number = ordinary.size();
      ordinary.push_back(StatusOf(PortOf(static_cast<int>(number % 2)), "POST",
                                  "/register/ordinary",
                                  fmt::format("{}-ordinary-{}", name, number)));
      SampleUnreadBytes();
    }
    for (std::thread& client : clients) client.join();
    SampleUnreadBytes();
    return ordinary;
  }
  /// Whether the daemons close every connection on which a server sends without
  /// end, within a time that is far below an idle timeout.
  bool AllAreClosed() {
    TimeMs end = Now() + kClosedWithinMs;
    while (Now() < end) {
      SampleUnreadBytes();
      bool closed =
          std::all_of(servers_.begin(), servers_.end(), [](const auto& server) {
            return server->ClosedByClient() == server->Begun();
          });
      if (closed) return true;
      SleepMs(10);
    }
    return false;
  }
  void SampleUnreadBytes() {
    size_t unread = 0;
    for (const auto& server : servers_)
      unread += UnreadBytesFrom(server->Port());
    max_unread_bytes_ = std::max(max_unread_bytes_, unread);
  }

  void CheckMemory(const std::string& name) {
    size_t peak_mb = 0;
    for (int i = 0; i < settings_.instances; ++i) {
      CHECK_TEXT(fleet_->PeakMb(i) > 0, name.c_str());
      peak_mb = std::max(peak_mb, fleet_->PeakMb(i));
    }
    size_t unread_mb = max_unread_bytes_ / kBytesPerMb;
    fmt::print("  {}: peak {} MB, unread in sockets {} MB\n", name, peak_mb,
               unread_mb);
    CHECK_TEXT(peak_mb + unread_mb <= kMemoryMb, name.c_str());
  }
};

/// Guards against endless responses that are kept, by the daemon that called or
/// in the socket buffers of its connections, until the memory is exceeded.
TEST(endless_response_processes, manyAtOnce_memoryIsBoundedAndOthersAreServed) {
  StartFleetWithFaultyServers();
  for (const auto& [name, response] : EndlessResponses()) {
    max_unread_bytes_ = 0;
    health_is_endless_ = true;
    for (int status : Play(name)) CHECK_EQUAL_TEXT(200, status, name.c_str());
    health_is_endless_ = false;
    CHECK_TEXT(AllAreClosed(), name.c_str());
    CheckMemory(name);
    CHECK_TEXT(LookupIsAnswered("after-" + name), name.c_str());
  }
}

/// The same for a store whose responses never end.
TEST(endless_response_processes, storeIsEndless_memoryIsBounded) {
  constexpr int64_t kPlayMs = 6000;
  auto name = [this](const std::string&) { return NextName(); };
  auto sound = [](const std::string&) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  };
  servers_.push_back(std::make_unique<EndlessServer>(0, name, sound));
  settings_.store_port = servers_.front()->Port();
  fleet_ = std::make_unique<ProcessFleet>(settings_, &observer_);
  CHECK(fleet_->Start());
  for (TimeMs end = Now() + kPlayMs; Now() < end; SleepMs(10))
    SampleUnreadBytes();
  CHECK(servers_.front()->Begun() >
        static_cast<int>(EndlessResponses().size()));
  CheckMemory("store");
  LONGS_EQUAL(503, StatusOf(PortOf(0), "GET", "/lookup/any", "any"));
}
