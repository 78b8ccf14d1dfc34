// Clients send HEAD requests on connections that they keep. Returns 1 if they
// get bytes that are no answer, as the rule MIXED forbids, 0 if not, and 2 if
// the case could not run.
//
//   head COMMAND DIRECTORY RECORD TROUBLE

#include <arpa/inet.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <string>

#include "review/standin-3/fleet.h"

namespace {

constexpr int kRequestsPerMachine = 10;
constexpr int64_t kAnswerMs = 2000;
constexpr int64_t kQuietMs = 200;

/// A connection that a client keeps for many requests.
class KeptConnection {
 public:
  explicit KeptConnection(uint16_t port)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    open_ = connect(socket_, generic, sizeof address) == 0;
  }
  ~KeptConnection() { close(socket_); }
  KeptConnection(const KeptConnection&) = delete;
  KeptConnection& operator=(const KeptConnection&) = delete;

  bool Open() const { return open_; }
  void Send(const std::string& bytes) {
    send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  /// Reads the head of a response; empty if there is none in time.
  std::string ReadHead() {
    size_t end = std::string::npos;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive(kAnswerMs)) return "";
    }
    std::string head = input_.substr(0, end + 4);
    input_.erase(0, end + 4);
    return head;
  }
  void SkipBody(size_t bytes) {
    while (input_.size() < bytes && Receive(kAnswerMs)) {
    }
    input_.erase(0, bytes);
  }
  /// Bytes that arrive although no request waits for an answer.
  std::string ReadUnasked() {
    while (Receive(kQuietMs)) {
    }
    return std::exchange(input_, "");
  }

 private:
  bool Receive(int64_t ms) {
    std::array<char, 4096> buffer{};
    pollfd polled{socket_, POLLIN, 0};
    if (poll(&polled, 1, static_cast<int>(ms)) <= 0) return false;
    ssize_t n = recv(socket_, buffer.data(), buffer.size(), 0);
    if (n > 0) input_.append(buffer.data(), static_cast<size_t>(n));
    return n > 0;
  }

  int socket_;
  bool open_ = false;
  std::string input_;
};

size_t ContentLength(const std::string& head) {
  const std::string name = "Content-Length: ";
  size_t at = head.find(name);
  if (at == std::string::npos) return 0;
  return static_cast<size_t>(std::atoll(head.c_str() + at + name.size()));
}

/// Number of requests after which bytes came that are no answer.
int Play(const review::Fleet& fleet, size_t machine, const char* method,
         review::Record* record) {
  KeptConnection connection(fleet.OutboundPort(machine));
  if (!connection.Open()) return 0;
  int broken = 0;
  for (int i = 0; i < kRequestsPerMachine; ++i) {
    std::string id = fmt::format("{:02x}-{:04x}", machine, i);
    connection.Send(
        fmt::format("{} /nowhere/{} HTTP/1.1\r\nHost: mesh.example\r\n"
                    "X-Attempt-Id: {}\r\nX-Deadline-Ms: 2000\r\n\r\n",
                    method, i, id));
    std::string head = connection.ReadHead();
    // A response to HEAD has no body (RFC 9110, section 9.3.2).
    if (std::string(method) != "HEAD") connection.SkipBody(ContentLength(head));
    std::string unasked = connection.ReadUnasked();
    broken += unasked.empty() ? 0 : 1;
    record->Line(fmt::format("{}: {} {}: {}, then '{}'", fleet.At(machine).name,
                             method, id, head.substr(0, head.find('\r')),
                             unasked));
  }
  return broken;
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
  settings.machines_per_zone = 3;
  settings.base_port = review::FreePorts(kPorts);
  if (settings.base_port == 0) return 2;
  review::Record record(argv[3]);
  review::Fleet fleet(settings, &record);
  if (!fleet.Start()) {
    record.Line("the fleet did not start");
    return 2;
  }
  int broken = 0;
  for (size_t i = 0; i < fleet.Size(); ++i)
    broken += Play(fleet, i, trouble ? "HEAD" : "GET", &record);
  std::string verdict =
      fmt::format("{}: bytes that are no answer after {} of {} requests",
                  broken > 0 ? "BROKEN" : "held", broken,
                  fleet.Size() * kRequestsPerMachine);
  record.Line(verdict);
  fmt::print("{}\n", verdict);
  return broken > 0 ? 1 : 0;
}
