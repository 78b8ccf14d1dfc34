#include "review/standin/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace review {
namespace {

constexpr int64_t kConnectTimeoutMs = 1000;
constexpr size_t kMaxHeadBytes = 64 * 1024;

sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool CanBind(const std::string& ip, int port, int type) {
  int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  sockaddr_in address = SocketAddress(ip, port);
  bool bound =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return bound;
}

std::string HeadersText(const Message& message, bool with_length) {
  std::string text;
  for (const auto& [name, value] : message.headers)
    text += name + ": " + value + "\r\n";
  if (with_length)
    text += "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
  return text + "\r\n";
}

/// Inode of the socket of this machine that is bound to `local` and connected
/// to `remote`; empty if there is none.
std::string SocketInode(const sockaddr_in& local, const sockaddr_in& remote) {
  auto hex = [](const sockaddr_in& address) {
    char text[32];
    std::snprintf(text, sizeof(text), "%08X:%04X", address.sin_addr.s_addr,
                  ntohs(address.sin_port));
    return std::string(text);
  };
  std::string wanted = " " + hex(local) + " " + hex(remote) + " ";
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    if (line.find(wanted) == std::string::npos) continue;
    std::istringstream fields(line);
    std::string field;
    constexpr int kInodeField = 9;
    for (int i = 0; i <= kInodeField; ++i) fields >> field;
    return field;
  }
  return "";
}

bool HoldsSocket(pid_t pid, const std::string& inode) {
  std::error_code error;
  std::string folder = "/proc/" + std::to_string(pid) + "/fd";
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    std::error_code ignored;
    auto link = std::filesystem::read_symlink(entry.path(), ignored);
    if (link.string() == "socket:[" + inode + "]") return true;
  }
  return false;
}

}  // namespace

int64_t NowMs() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void SleepMs(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

std::string RequestText(const Message& request) {
  bool with_length = !request.body.empty() || request.method != "GET";
  return request.method + " " + request.target + " HTTP/1.1\r\n" +
         HeadersText(request, with_length) + request.body;
}

std::string ResponseText(const Message& response) {
  return "HTTP/1.1 " + std::to_string(response.status) + " x\r\n" +
         HeadersText(response, true) + response.body;
}

Connection::~Connection() { close(fd_); }

std::unique_ptr<Connection> Connection::Open(const Address& to,
                                             int window_bytes,
                                             int segment_bytes) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  if (window_bytes > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof(window_bytes));
  if (segment_bytes > 0)
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
               sizeof(segment_bytes));
  auto connection = std::make_unique<Connection>(fd);
  sockaddr_in address = SocketAddress(to.ip, to.port);
  connection->SetTimeout(kConnectTimeoutMs);
  int result =
      connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (result != 0) return nullptr;
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

void Connection::SetTimeout(int64_t ms) {
  timeval limit{};
  limit.tv_sec = ms / 1000;
  limit.tv_usec = (ms % 1000) * 1000;
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

bool Connection::Write(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t count =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Connection::Closed() const {
  char byte = 0;
  ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

pid_t Connection::PeerProcess(const std::vector<pid_t>& candidates) {
  if (peer_known_) return peer_;
  peer_known_ = true;
  sockaddr_in own{};
  sockaddr_in peer{};
  socklen_t own_size = sizeof(own);
  socklen_t peer_size = sizeof(peer);
  getsockname(fd_, reinterpret_cast<sockaddr*>(&own), &own_size);
  getpeername(fd_, reinterpret_cast<sockaddr*>(&peer), &peer_size);
  std::string inode = SocketInode(peer, own);
  for (pid_t pid : candidates) {
    if (!inode.empty() && HoldsSocket(pid, inode)) peer_ = pid;
  }
  return peer_;
}

void Connection::Shutdown() { shutdown(fd_, SHUT_RDWR); }

bool Connection::Fill() {
  constexpr size_t kReadBytes = 64 * 1024;
  bool paced = pace_ms_ > 0;
  std::string bytes(paced ? pace_bytes_ : kReadBytes, '\0');
  ssize_t count = recv(fd_, bytes.data(), bytes.size(), 0);
  if (count <= 0) return false;
  bytes_read_ += static_cast<size_t>(count);
  if (paced) SleepMs(pace_ms_);
  buffer_.append(bytes, 0, static_cast<size_t>(count));
  return true;
}

bool Connection::TakeLine(std::string* line) {
  size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (buffer_.size() > kMaxHeadBytes || !Fill()) return false;
    end = buffer_.find("\r\n");
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool Connection::TakeBytes(size_t count, std::string* bytes) {
  while (buffer_.size() < count) {
    if (!Fill()) return false;
  }
  bytes->append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

bool Connection::ReadHead(Message* out, bool request) {
  std::string line;
  if (!TakeLine(&line)) return false;
  size_t first = line.find(' ');
  size_t second = line.find(' ', first + 1);
  if (first == std::string::npos) return false;
  if (request) {
    if (second == std::string::npos) return false;
    out->method = line.substr(0, first);
    out->target = line.substr(first + 1, second - first - 1);
  } else {
    out->status = std::atoi(line.substr(first + 1, 3).c_str());
    if (line.rfind("HTTP/1.1 ", 0) != 0 || out->status < 100) return false;
  }
  while (TakeLine(&line)) {
    if (line.empty()) return true;
    size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    size_t value = line.find_first_not_of(" \t", colon + 1);
    out->Add(line.substr(0, colon),
             value == std::string::npos ? "" : line.substr(value));
  }
  return false;
}

bool Connection::Read(Message* out, bool request) {
  *out = Message();
  if (!ReadHead(out, request)) return false;
  if (strcasecmp(out->Header("Transfer-Encoding").c_str(), "chunked") == 0) {
    std::string line;
    while (TakeLine(&line)) {
      size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (size > 0 && !TakeBytes(size, &out->body)) return false;
      if (!TakeLine(&line)) return false;
      if (size == 0) return true;
    }
    return false;
  }
  size_t length =
      std::strtoul(out->Header("Content-Length").c_str(), nullptr, 10);
  return TakeBytes(length, &out->body);
}

bool CallOnce(const Address& to, const Message& request, int64_t timeout_ms,
              Message* response) {
  std::unique_ptr<Connection> connection = Connection::Open(to);
  if (!connection) return false;
  connection->SetTimeout(timeout_ms);
  return connection->Write(RequestText(request)) &&
         connection->ReadResponse(response);
}

Server::Server(Address listen, Handler handler)
    : listen_(std::move(listen)), handler_(std::move(handler)) {}

bool Server::Start() {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = SocketAddress(listen_.ip, listen_.port);
  constexpr int kBacklog = 512;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return false;
  }
  listener_ = fd;
  stopped_ = false;
  acceptor_ = std::thread([this, fd] { AcceptLoop(fd); });
  return true;
}

void Server::AcceptLoop(int listener) {
  while (true) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) {
      if (fd >= 0) close(fd);
      return;
    }
    if (fd >= 0) threads_.emplace_back([this, fd] { Serve(fd); });
  }
}

void Server::Serve(int fd) {
  Connection connection(fd);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) return;
    open_.insert(&connection);
  }
  Message request;
  while (connection.ReadRequest(&request)) {
    if (!handler_(&connection, request)) break;
  }
  std::lock_guard<std::mutex> lock(mutex_);
  open_.erase(&connection);
}

void Server::Stop() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) return;
    stopped_ = true;
    shutdown(listener_, SHUT_RDWR);
    for (Connection* connection : open_) connection->Shutdown();
  }
  acceptor_.join();
  close(listener_);
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

bool PortsAreFree(const std::string& ip, const std::vector<int>& ports) {
  return std::all_of(ports.begin(), ports.end(), [&](int port) {
    return CanBind(ip, port, SOCK_STREAM) && CanBind(ip, port, SOCK_DGRAM);
  });
}

}  // namespace review
