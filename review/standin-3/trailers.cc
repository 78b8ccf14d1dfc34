// Clients send chunked bodies and trailers without end, stop within the legal
// length of a head, and stay. Returns 1 if processes end by their memory as the
// rule Fault counts it, 0 if they do not, and 2 if the case could not run.
//
//   trailers COMMAND DIRECTORY RECORD TROUBLE

#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>
#include <vector>

#include "review/standin-3/fleet.h"

namespace {

constexpr int64_t kMemoryMb = 160;  ///< Of the smallest machines.
constexpr double kLinkMbps = 12;
constexpr int kRounds = 4;
constexpr int64_t kSendMs = 8000;
constexpr int64_t kHoldMs = 1000;  ///< For which the clients stay open.
constexpr int64_t kRoundMs = 13000;
constexpr int64_t kSettleMs = 3000;
constexpr size_t kClients = 1440;
constexpr size_t kClientsWithoutTrouble = 20;
constexpr size_t kBodyBytes = 47000;
constexpr size_t kTrailerBytes = 14500;
/// Head and trailers together stay within the limit of 16,384 bytes.
constexpr size_t kHeadBytes = 1200;
constexpr int kEndsOfRule = 3;
constexpr int kMachinesOfRule = 2;

/// Connections that send all the same bytes and stay open.
class ClientGroup {
 public:
  ClientGroup(uint16_t port, size_t count, std::string bytes)
      : bytes_(std::move(bytes)), clients_(count) {
    for (Client& client : clients_) Open(&client, port);
  }
  ~ClientGroup() {
    for (Client& client : clients_) Close(&client);
  }
  ClientGroup(const ClientGroup&) = delete;
  ClientGroup& operator=(const ClientGroup&) = delete;

  /// Sends for a limited time.
  void Send(int64_t ms) {
    int64_t end_ms = review::NowMs() + ms;
    while (review::NowMs() < end_ms) {
      bool sending = false;
      for (Client& client : clients_) sending = Send(&client) || sending;
      if (!sending) return;
      review::SleepMs(1);
    }
  }
  /// Connections that the daemon has closed or reset.
  size_t Closed() {
    size_t closed = 0;
    for (const Client& client : clients_) {
      pollfd polled{client.socket, POLLRDHUP, 0};
      bool gone = client.socket < 0 || poll(&polled, 1, 0) > 0;
      closed += gone ? 1 : 0;
    }
    return closed;
  }

 private:
  struct Client {
    int socket = -1;
    size_t sent = 0;
  };

  static void Open(Client* client, uint16_t port) {
    client->socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (connect(client->socket, generic, sizeof address) != 0)
      return Close(client);
    fcntl(client->socket, F_SETFL, O_NONBLOCK);
  }
  static void Close(Client* client) {
    if (client->socket >= 0) close(client->socket);
    client->socket = -1;
  }
  /// True if there is more to send.
  bool Send(Client* client) {
    if (client->socket < 0 || client->sent == bytes_.size()) return false;
    ssize_t n = send(client->socket, bytes_.data() + client->sent,
                     bytes_.size() - client->sent, MSG_NOSIGNAL);
    if (n > 0) client->sent += static_cast<size_t>(n);
    if (n < 0 && errno != EAGAIN) Close(client);
    return client->socket >= 0;
  }

  std::string bytes_;
  std::vector<Client> clients_;
};

std::string Head(const std::string& id) {
  std::string head = fmt::format(
      "POST /register/{0} HTTP/1.1\r\nHost: mesh.example\r\n"
      "X-Attempt-Id: {0}\r\nX-Deadline-Ms: 20000\r\n"
      "Transfer-Encoding: chunked\r\nX-Session: ",
      id);
  return head + std::string(kHeadBytes - head.size(), 's') + "\r\n\r\n";
}

std::string Chunk(size_t bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'b'));
}

/// Trailers that have not come to their end.
std::string Trailers() {
  constexpr size_t kLineBytes = 500;
  std::string out = "0\r\n";
  for (int i = 0; out.size() < kTrailerBytes; ++i)
    out += fmt::format("T-{}: {}\r\n", i, std::string(kLineBytes, 't'));
  return out;
}

/// Plays one round against a machine. Without trouble, the trailers end.
void PlayRound(const review::Fleet& fleet, size_t machine, int round,
               bool trouble, review::Record* record) {
  std::string id = fmt::format("c{}-{}", machine, round);
  size_t count = trouble ? kClients : kClientsWithoutTrouble;
  ClientGroup clients(
      fleet.OutboundPort(machine), count,
      Head(id) + Chunk(kBodyBytes) + Trailers() + (trouble ? "" : "\r\n"));
  clients.Send(kSendMs);
  review::SleepMs(kHoldMs);
  record->Line(fmt::format("{}: of {} clients {} were closed",
                           fleet.At(machine).name, count, clients.Closed()));
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kArguments = 5;
  constexpr uint16_t kPorts = 200;
  if (argc != kArguments) return 2;
  bool trouble = std::string(argv[4]) != "0";
  review::FleetSettings settings;
  settings.command = argv[1];
  settings.directory = argv[2];
  settings.machines_per_zone = 2;
  settings.memory_mb = kMemoryMb;
  settings.link_mbps = kLinkMbps;
  settings.base_port = review::FreePorts(kPorts);
  if (settings.base_port == 0) return 2;
  review::Record record(argv[3]);
  review::Fleet fleet(settings, &record);
  if (!fleet.Start()) {
    record.Line("the fleet did not start");
    return 2;
  }
  review::SleepMs(kSettleMs);
  for (int round = 1; round <= kRounds; ++round) {
    int64_t end_ms = review::NowMs() + kRoundMs;
    record.Line(fmt::format("round {}", round));
    std::vector<std::thread> groups;
    for (const char* zone : {"zone-0", "zone-1"}) {
      for (size_t machine : fleet.MachinesOf(zone, "catalogue"))
        groups.emplace_back([&fleet, machine, round, trouble, &record] {
          PlayRound(fleet, machine, round, trouble, &record);
        });
    }
    for (std::thread& group : groups) group.join();
    int64_t left_ms = end_ms - review::NowMs();
    if (left_ms > 0) review::SleepMs(left_ms);
  }
  fleet.ReportMemory();
  int machines = fleet.MachinesEnded(kEndsOfRule);
  bool broken = machines >= kMachinesOfRule;
  std::string verdict = fmt::format(
      "{}: processes ended {} times or more on {} of {} machines",
      broken ? "BROKEN" : "held", kEndsOfRule, machines, fleet.Size());
  record.Line(verdict);
  fmt::print("{}\n", verdict);
  return broken ? 1 : 0;
}
