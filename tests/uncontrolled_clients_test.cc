// Clients that send endless, oversized or incomplete requests to daemons that
// run as processes on loopback. The daemons must stay within the memory of
// their instance and go on serving ordinary requests.

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "platform/wire_names.h"
#include "standins/mesh_configuration.h"
#include "tests/client_connection.h"
#include "tests/process_fleet.h"

using namespace banyanloft;

namespace {

namespace wire = banyanloft::platform;

constexpr int64_t kStartupMs = 4500;
constexpr size_t kMaxBodyBytes = 1000000;  ///< In the configuration.
/// Descriptors beside those of the clients: links, the store, the backend
/// server.
constexpr size_t kOwnDescriptors = 200;
constexpr int64_t kAnswerWithinMs = 20000;
constexpr int64_t kClientTimeoutMs = 15000;

TimeMs Now() { return SteadyClock().Now(); }

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Many connections that send all the same bytes at the same time, from one
/// thread, and stay open.
class ClientGroup {
 public:
  /// `part(i)` is the i-th part that each client sends; empty: the last one has
  /// been sent.
  using Parts = std::function<std::string(size_t client, size_t number)>;

  ClientGroup(uint16_t port, size_t count, Parts parts)
      : parts_(std::move(parts)) {
    clients_.resize(count);
    for (Client& client : clients_) Open(&client, port);
  }
  ~ClientGroup() {
    for (Client& client : clients_) Close(&client);
  }
  ClientGroup(const ClientGroup&) = delete;
  ClientGroup& operator=(const ClientGroup&) = delete;

  /// Sends until every client has sent everything or has been closed, for a
  /// limited time; then holds the open connections until the time is over.
  void Run(int64_t ms) {
    TimeMs end = Now() + ms;
    while (Now() < end) {
      std::vector<pollfd> polled;
      std::vector<Client*> owners;
      for (Client& client : clients_) {
        if (client.socket < 0) continue;
        short events =
            static_cast<short>(client.done ? POLLIN : POLLIN | POLLOUT);
        polled.push_back({client.socket, events, 0});
        owners.push_back(&client);
      }
      if (polled.empty()) return;
      constexpr int kPollMs = 20;
      poll(polled.data(), polled.size(), kPollMs);
      for (size_t i = 0; i < polled.size(); ++i) {
        if ((polled[i].revents & POLLIN) != 0) Drain(owners[i]);
        if ((polled[i].revents & POLLOUT) != 0 && owners[i]->socket >= 0)
          Send(owners[i]);
        if ((polled[i].revents & (POLLERR | POLLHUP)) != 0) Close(owners[i]);
      }
    }
  }
  size_t SentBytes() const { return sent_bytes_; }

 private:
  struct Client {
    int socket = -1;
    size_t number = 0;    ///< Of the next part.
    std::string pending;  ///< Rest of the part that is being sent.
    bool done = false;
  };

  static void Open(Client* client, uint16_t port) {
    client->socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    if (connect(client->socket, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0)
      return Close(client);
    fcntl(client->socket, F_SETFL, O_NONBLOCK);
  }
  static void Close(Client* client) {
    if (client->socket >= 0) close(client->socket);
    client->socket = -1;
  }
  static void Drain(Client* client) {
    char buffer[16 * 1024];
    if (recv(client->socket, buffer, sizeof(buffer), 0) == 0) Close(client);
  }
  void Send(Client* client) {
    if (client->pending.empty()) {
      size_t index = static_cast<size_t>(client - clients_.data());
      client->pending = parts_(index, client->number++);
      client->done = client->pending.empty();
      if (client->done) return;
    }
    ssize_t sent = send(client->socket, client->pending.data(),
                        client->pending.size(), MSG_NOSIGNAL);
    if (sent < 0) return;
    sent_bytes_ += static_cast<size_t>(sent);
    client->pending.erase(0, static_cast<size_t>(sent));
  }

  Parts parts_;
  std::vector<Client> clients_;
  size_t sent_bytes_ = 0;
};

std::string Head(size_t client, const std::string& framing) {
  return fmt::format(
      "POST /register/c{0} HTTP/1.1\r\nHost: {1}\r\n{2}: c-{0}\r\n"
      "{3}: 20000\r\n{4}\r\n\r\n",
      client, kMeshHost, wire::header::kRequestId, wire::header::kDeadlineMs,
      framing);
}

/// A head, then `total` bytes of the body in parts.
ClientGroup::Parts BodyOf(size_t announced, size_t total) {
  return [announced, total](size_t client, size_t number) -> std::string {
    constexpr size_t kPartBytes = 50000;
    if (number == 0)
      return Head(client, fmt::format("Content-Length: {}", announced));
    size_t sent = (number - 1) * kPartBytes;
    if (sent >= total) return "";
    return std::string(std::min(kPartBytes, total - sent), 'x');
  };
}

/// A head, then `total` bytes of chunks, without the last one.
ClientGroup::Parts ChunksOf(size_t total) {
  return [total](size_t client, size_t number) -> std::string {
    constexpr size_t kChunkBytes = 10000;
    if (number == 0) return Head(client, "Transfer-Encoding: chunked");
    if (number * kChunkBytes > total) return "";
    return fmt::format("{:x}\r\n{}\r\n", kChunkBytes,
                       std::string(kChunkBytes, 'x'));
  };
}

/// A chunked body of one byte, then `total` bytes of trailers without end.
ClientGroup::Parts TrailersOf(size_t total) {
  return [total](size_t client, size_t number) -> std::string {
    constexpr size_t kTrailers = 100;
    constexpr size_t kTrailerBytes = 500;
    if (number == 0)
      return Head(client, "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n";
    if (number * kTrailers * kTrailerBytes > total) return "";
    std::string trailers;
    for (size_t i = 0; i < kTrailers; ++i)
      trailers += fmt::format("T-{}-{}: {}\r\n", number, i,
                              std::string(kTrailerBytes, 't'));
    return trailers;
  };
}

}  // namespace

TEST_GROUP(uncontrolled_clients) {
  ProcessFleetSettings settings_;
  IgnoringObserver observer_;
  std::unique_ptr<ProcessFleet> fleet_;
  size_t memory_mb_ = 160;
  int next_id_ = 0;

  void setup() override {
    // Below the ephemeral ports: a client connection that waits for its end
    // would keep a daemon from binding its port.
    settings_.first_port = 32100;
    settings_.instances = 2;
    settings_.max_body_bytes = kMaxBodyBytes;
    settings_.backend.run_ms = 300;
    settings_.backend.max_body_bytes = 2 * kMaxBodyBytes;
    settings_.backend.echoes_body = false;
  }

  void StartFleet() {
    settings_.limits = fmt::format("memory_mb = {}", memory_mb_);
    fleet_ = std::make_unique<ProcessFleet>(settings_, &observer_);
    CHECK(fleet_->Start());
    SleepMs(kStartupMs);
  }

  size_t Descriptors(int instance) {
    std::error_code error;
    std::filesystem::directory_iterator files(
        fmt::format("/proc/{}/fd", fleet_->Daemon(instance).Pid()), error);
    return error ? SIZE_MAX
                 : static_cast<size_t>(std::distance(begin(files), end(files)));
  }

  /// Sends a request. Returns the status of the response; 0 if there is none.
  int StatusOf(int instance, const std::string& id, const std::string& body) {
    ClientConnection client;
    int status = 0;
    bool complete =
        client.Open(fleet_->Clients(instance).port, false, kClientTimeoutMs) &&
        client.Write(fmt::format("POST /register/ordinary HTTP/1.1\r\n"
                                 "Host: {}\r\n{}: {}\r\n{}: {}\r\n"
                                 "Content-Length: {}\r\n\r\n",
                                 kMeshHost, wire::header::kRequestId, id,
                                 wire::header::kDeadlineMs, kClientTimeoutMs,
                                 body.size()) +
                     body) &&
        client.ReadResponse(0, &status);
    return complete ? status : 0;
  }

  /// Sends a request until it gets a response of the backend server.
  bool IsAnswered(int instance, const std::string& body) {
    TimeMs end = Now() + kAnswerWithinMs;
    for (; Now() < end; SleepMs(100)) {
      std::string id = fmt::format("ordinary-{}-{}", instance, next_id_++);
      if (StatusOf(instance, id, body) == 200) return true;
    }
    return false;
  }

  void CheckMemory(int instance) {
    size_t peak_mb = fleet_->PeakMb(instance);
    fmt::print("  daemon {}: peak {} MB of {}\n", instance, peak_mb,
               memory_mb_);
    CHECK(peak_mb > 0);
    CHECK(peak_mb <= memory_mb_);
  }
  void CheckMemory() {
    for (int i = 0; i < settings_.instances; ++i) CheckMemory(i);
  }

  /// Lets clients of the first daemon send for a time. Its service differs from
  /// that of the requests, so these pass through both daemons.
  void CheckClients(size_t count, const ClientGroup::Parts& parts, int64_t ms) {
    StartFleet();
    {
      ClientGroup group(fleet_->Clients(0).port, count, parts);
      group.Run(ms);
      fmt::print("  {} clients sent {} MB\n", count,
                 group.SentBytes() / 1000000);
      for (int i = 0; i < settings_.instances; ++i)
        CHECK(Descriptors(i) <= count + kOwnDescriptors);
      // While the clients that have not been closed are still connected.
      CHECK(IsAnswered(0, "small"));
    }
    CHECK(IsAnswered(1, "small"));
    CheckMemory();
  }
};

/// Guards against trailers that are stored without a limit.
TEST(uncontrolled_clients, endlessTrailers_memoryIsBounded) {
  CheckClients(40, TrailersOf(12000000), 6000);
}

/// Guards against bodies of legal size that together exceed the memory.
TEST(uncontrolled_clients, manyWholeBodies_memoryIsBounded) {
  CheckClients(250, BodyOf(kMaxBodyBytes, kMaxBodyBytes), 6000);
}

TEST(uncontrolled_clients, manyChunkedBodiesWithoutLastChunk_memoryIsBounded) {
  CheckClients(250, ChunksOf(kMaxBodyBytes), 6000);
}

/// Guards against bodies that never end and keep the memory that they hold.
TEST(uncontrolled_clients, manyBodiesThatStopShort_memoryIsBounded) {
  CheckClients(250, BodyOf(kMaxBodyBytes, kMaxBodyBytes - 100), 6000);
}

TEST(uncontrolled_clients, bodiesFarOverTheLimitAnnounced_memoryIsBounded) {
  CheckClients(60, BodyOf(9000000, 9000000), 4000);
}

TEST(uncontrolled_clients, bodiesFarOverTheLimitNotAnnounced_memoryIsBounded) {
  CheckClients(60, ChunksOf(9000000), 4000);
}

/// Guards against responses that are held for clients that do not read them,
/// until the memory is exceeded.
TEST(uncontrolled_clients, manyLargeResponsesAreNotRead_memoryIsBounded) {
  constexpr int kClients = 80;
  constexpr int64_t kBetweenMs = 45;
  settings_.backend.response_bytes = 3100000;
  settings_.backend.run_ms = 20;
  StartFleet();
  std::vector<std::unique_ptr<ClientConnection>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<ClientConnection>());
    CHECK(clients.back()->Open(fleet_->Clients(0).port, true));
    CHECK(clients.back()->Write(
        Head(static_cast<size_t>(i), "Content-Length: 0")));
    SleepMs(kBetweenMs);
  }
  CHECK(IsAnswered(0, "small"));
  CHECK(IsAnswered(1, "small"));
  CheckMemory();
}

/// Guards against bodies that arrive from several daemons at once and together
/// exceed the memory of the daemon of their backend server.
TEST(uncontrolled_clients, largeBodiesOfSeveralDaemons_memoryIsBounded) {
  constexpr size_t kBodyBytes = 60000000;
  constexpr int kTarget = 1;  ///< The only one of its service in the end.
  const std::vector<int> ingresses = {0, 2, 4};
  settings_.instances = 6;
  settings_.max_body_bytes = 64 * 1024 * 1024;
  settings_.backend.max_body_bytes = settings_.max_body_bytes;
  settings_.timeout_s = 10;
  StartFleet();
  for (int instance : {3, 5}) fleet_->KillDaemon(instance);
  CHECK(IsAnswered(0, "small"));
  std::vector<int> statuses(ingresses.size());
  std::vector<std::thread> clients;
  for (size_t i = 0; i < ingresses.size(); ++i) {
    clients.emplace_back([this, i, &ingresses, &statuses] {
      statuses[i] = StatusOf(ingresses[i], fmt::format("large-{}", i),
                             std::string(kBodyBytes, 'x'));
    });
  }
  for (std::thread& client : clients) client.join();
  for (int status : statuses) CHECK(status == 200 || status == 503);
  CHECK(std::count(statuses.begin(), statuses.end(), 200) > 0);
  CHECK(IsAnswered(0, "small"));
  for (int instance : {0, kTarget, 2, 4}) CheckMemory(instance);
}

/// Guards against a limit of the memory that refuses a body within the limits,
/// and against a body that is copied until it exceeds the memory.
TEST(uncontrolled_clients, oneBodyOf64MiB_isServedWithinMemory) {
  settings_.max_body_bytes = 64 * 1024 * 1024;
  settings_.backend.max_body_bytes = settings_.max_body_bytes;
  settings_.timeout_s = 10;
  memory_mb_ = 260;
  StartFleet();
  CHECK(IsAnswered(0, std::string(settings_.max_body_bytes, 'x')));
  CheckMemory();
}
