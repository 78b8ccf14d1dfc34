#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string>
#include <thread>

namespace banyanloft {

/// A client connection with blocking calls.
class ClientConnection {
 public:
  static constexpr int64_t kTimeoutMs = 4000;  ///< Of a read, by default.

  ClientConnection() = default;
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;
  ~ClientConnection() { Close(); }

  bool Open(uint16_t port, bool small_buffer, int64_t timeout_ms = kTimeoutMs) {
    Close();
    socket_ = socket(AF_INET, SOCK_STREAM, 0);
    if (small_buffer) {
      int bytes = kSmallReceiveBuffer;
      setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
      // Loopback's long segments would let the sender buffer a whole response.
      int segment_bytes = 1448;
      setsockopt(socket_, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                 sizeof(segment_bytes));
    }
    int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    timeval timeout{timeout_ms / 1000, 0};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    if (connect(socket_, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) == 0)
      return true;
    Close();
    return false;
  }
  bool IsOpen() const { return socket_ >= 0; }
  /// Whether the server has closed the connection, or sent unasked bytes.
  bool IsStale() const {
    char byte = 0;
    return recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
  }
  bool Write(const std::string& text) {
    size_t done = 0;
    while (done < text.size()) {
      ssize_t wrote =
          send(socket_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (wrote <= 0) return false;
      done += static_cast<size_t>(wrote);
    }
    return true;
  }
  /// Reads a response with a length; sets `status` once the head is complete.
  /// Bytes of further responses are kept for the next call.
  bool ReadResponse(int64_t pause_ms, int* status) {
    size_t end = std::string::npos;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadSome(&input_)) return false;
    }
    *status = std::atoi(input_.c_str() + std::strlen("HTTP/1.1 "));
    std::string head = input_.substr(0, end);
    std::transform(head.begin(), head.end(), head.begin(), ::tolower);
    closes_ = head.find("connection: close") != std::string::npos;
    size_t length_at = head.find("content-length:");
    if (length_at == std::string::npos) return false;
    size_t length = std::strtoul(
        head.c_str() + length_at + std::strlen("content-length:"), nullptr, 10);
    size_t total = end + std::strlen("\r\n\r\n") + length;
    while (input_.size() < total) {
      if (pause_ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(pause_ms));
      if (!ReadSome(&input_)) return false;
    }
    input_.erase(0, total);
    return true;
  }
  bool Closes() const { return closes_; }
  void Close() {
    if (socket_ >= 0) close(socket_);
    socket_ = -1;
    closes_ = false;
    input_.clear();
  }

 private:
  static constexpr int kSmallReceiveBuffer = 32 * 1024;

  bool ReadSome(std::string* input) {
    char buffer[16 * 1024];
    ssize_t got = recv(socket_, buffer, sizeof(buffer), 0);
    if (got <= 0) return false;
    input->append(buffer, static_cast<size_t>(got));
    return true;
  }

  int socket_ = -1;
  std::string input_;  ///< Received after the last response that was read.
  bool closes_ = false;
};

}  // namespace banyanloft
