#include "review/standin-2/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace review {
namespace {

sockaddr_in AddressOf(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void DisableNagle(int fd) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

bool TakeMessage(std::string* input, Message* message) {
  size_t head_end = input->find("\r\n\r\n");
  if (head_end == std::string::npos) return false;
  Message out;
  size_t line_end = input->find("\r\n");
  std::string first = input->substr(0, line_end);
  size_t space = first.find(' ');
  size_t second = first.find(' ', space + 1);
  if (first.compare(0, 5, "HTTP/") == 0) {
    out.status = std::atoi(first.c_str() + space + 1);
  } else {
    out.method = first.substr(0, space);
    out.target = first.substr(space + 1, second - space - 1);
  }
  size_t at = line_end + 2;
  while (at < head_end) {
    size_t end = input->find("\r\n", at);
    size_t colon = input->find(':', at);
    if (colon < end) {
      size_t begin = input->find_first_not_of(' ', colon + 1);
      out.headers.emplace_back(input->substr(at, colon - at),
                               input->substr(begin, end - begin));
    }
    at = end + 2;
  }
  size_t length = static_cast<size_t>(
      std::strtoull(out.Header("Content-Length").c_str(), nullptr, 10));
  if (input->size() < head_end + 4 + length) return false;
  out.body = input->substr(head_end + 4, length);
  input->erase(0, head_end + 4 + length);
  *message = std::move(out);
  return true;
}

std::string ResponseText(
    int status, const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers)
    text.append(name).append(": ").append(value).append("\r\n");
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

int Connect(uint16_t port, int timeout_ms, int window_bytes) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (window_bytes > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof(window_bytes));
  timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  DisableNagle(fd);
  sockaddr_in address = AddressOf(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
    return fd;
  close(fd);
  return -1;
}

Message Exchange(uint16_t port, const std::string& request, int timeout_ms) {
  Message response;
  int fd = Connect(port, timeout_ms);
  if (fd < 0) return response;
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  std::string input;
  char buffer[4096];
  while (!TakeMessage(&input, &response)) {
    ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
    if (got <= 0) break;
    input.append(buffer, static_cast<size_t>(got));
  }
  close(fd);
  return response;
}

Loop::Loop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wakeup_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  Watch(wakeup_, [this] { RunPosted(); });
}
Loop::~Loop() {
  close(wakeup_);
  close(epoll_);
}

void Loop::Post(std::function<void()> callback) {
  std::lock_guard<std::mutex> lock(mutex_);
  posted_.push_back(std::move(callback));
  eventfd_write(wakeup_, 1);
}

void Loop::RunPosted() {
  eventfd_t count = 0;
  eventfd_read(wakeup_, &count);
  std::vector<std::function<void()>> posted;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    posted.swap(posted_);
  }
  for (const std::function<void()>& callback : posted) callback();
}

void Loop::Watch(int fd, std::function<void()> on_readable) {
  handlers_[fd] =
      std::make_shared<std::function<void()>>(std::move(on_readable));
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = fd;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
}

void Loop::Forget(int fd) {
  epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
  handlers_.erase(fd);
}

void Loop::After(int64_t ms, std::function<void()> callback) {
  timers_.emplace(NowMs() + ms, std::move(callback));
}

void Loop::Run(const bool volatile* stop) {
  constexpr int kMaxEvents = 64;
  epoll_event events[kMaxEvents];
  while (!*stop) {
    int64_t wait_ms = 50;
    if (!timers_.empty())
      wait_ms = std::clamp<int64_t>(timers_.begin()->first - NowMs(), 0, 50);
    int count =
        epoll_wait(epoll_, events, kMaxEvents, static_cast<int>(wait_ms));
    for (int i = 0; i < count; ++i) {
      auto found = handlers_.find(events[i].data.fd);
      if (found == handlers_.end()) continue;
      std::shared_ptr<std::function<void()>> handler = found->second;
      (*handler)();
    }
    while (!timers_.empty() && timers_.begin()->first <= NowMs()) {
      std::function<void()> callback = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      callback();
    }
  }
}

Server::Server(Loop* loop, uint16_t port, Handler handler)
    : loop_(loop), handler_(std::move(handler)) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in address = AddressOf(port);
  bool bound =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      listen(fd, 512) == 0;
  if (!bound) {
    close(fd);
    return;
  }
  listener_ = fd;
  loop_->Watch(fd, [this] { OnAccept(); });
}

void Server::OnAccept() {
  int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  DisableNagle(fd);
  uint64_t id = next_++;
  connections_[id].fd = fd;
  loop_->Watch(fd, [this, id] { OnReadable(id); });
}

void Server::OnReadable(uint64_t id) {
  auto found = connections_.find(id);
  if (found == connections_.end()) return;
  char buffer[65536];
  ssize_t got = recv(found->second.fd, buffer, sizeof(buffer), 0);
  if (got < 0 && errno == EAGAIN) return;
  if (got <= 0) return Drop(id, false);
  found->second.input.append(buffer, static_cast<size_t>(got));
  Message request;
  while (TakeMessage(&found->second.input, &request)) {
    handler_(id, std::move(request));
    found = connections_.find(id);
    if (found == connections_.end()) return;
  }
}

void Server::Reply(uint64_t connection, const std::string& text) {
  auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  constexpr int kMaxWaitMs = 5000;
  int fd = found->second.fd;
  size_t sent = 0;
  while (sent < text.size()) {
    ssize_t count =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      continue;
    }
    if (errno != EAGAIN) return;
    pollfd writable{fd, POLLOUT, 0};
    if (poll(&writable, 1, kMaxWaitMs) <= 0) return;
  }
}

int Server::Reset(int permille, const std::function<uint64_t()>& draw) {
  std::vector<uint64_t> ids;
  for (const auto& [id, connection] : connections_) ids.push_back(id);
  size_t count = ids.size() * static_cast<size_t>(permille) / 1000;
  for (size_t i = 0; i < count; ++i) {
    std::swap(ids[i], ids[i + draw() % (ids.size() - i)]);
    Drop(ids[i], true);
  }
  return static_cast<int>(count);
}

void Server::Close() {
  if (listener_ >= 0) {
    loop_->Forget(listener_);
    close(listener_);
    listener_ = -1;
  }
  Reset(1000, [] { return uint64_t{0}; });
}

void Server::Drop(uint64_t id, bool reset) {
  auto found = connections_.find(id);
  if (found == connections_.end()) return;
  int fd = found->second.fd;
  connections_.erase(found);
  if (reset) {
    linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  }
  loop_->Forget(fd);
  close(fd);
}

}  // namespace review
