#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Milliseconds of the steady clock.
int64_t NowMs();
void SleepMs(int64_t ms);

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// A request or a response.
struct Message {
  std::string method;
  std::string target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  void Add(const std::string& name, const std::string& value) {
    headers.emplace_back(name, value);
  }
};

std::string RequestText(const Message& request);
std::string ResponseText(const Message& response);

/// A blocking TCP connection that carries HTTP/1.1. Closes on destruction.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Opens a connection; null if that fails or takes more than a second.
  /// `window_bytes`, `segment_bytes`: receive window and largest segment; 0:
  /// those of the machine.
  static std::unique_ptr<Connection> Open(const Address& to,
                                          int window_bytes = 0,
                                          int segment_bytes = 0);

  /// Reads at most `bytes` each `period_ms`; 0: as fast as possible.
  void SetPace(int bytes, int64_t period_ms) {
    pace_bytes_ = static_cast<size_t>(bytes);
    pace_ms_ = period_ms;
  }
  size_t BytesRead() const { return bytes_read_; }

  void SetTimeout(int64_t ms);
  bool Write(const std::string& bytes);
  /// Reads one message. False if the connection ended or the time ran out
  /// before the message was complete.
  bool ReadRequest(Message* out) { return Read(out, true); }
  bool ReadResponse(Message* out) { return Read(out, false); }
  /// Whether the peer has closed the connection.
  bool Closed() const;
  /// Ends reading and writing, so that a blocked call returns.
  void Shutdown();
  /// Process at the other end of a loopback connection, one of `candidates`; 0:
  /// none of them. Looked up once.
  pid_t PeerProcess(const std::vector<pid_t>& candidates);

 private:
  bool Read(Message* out, bool request);
  bool ReadHead(Message* out, bool request);
  bool Fill();
  bool TakeLine(std::string* line);
  bool TakeBytes(size_t count, std::string* bytes);

  int fd_;
  std::string buffer_;
  bool peer_known_ = false;
  pid_t peer_ = 0;
  size_t bytes_read_ = 0;
  size_t pace_bytes_ = 0;
  int64_t pace_ms_ = 0;
};

/// Sends a request on a new connection; false without a complete response.
bool CallOnce(const Address& to, const Message& request, int64_t timeout_ms,
              Message* response);

/// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  /// Handles one request on its connection; false closes the connection.
  using Handler = std::function<bool(Connection*, const Message&)>;

  Server(Address listen, Handler handler);
  ~Server() { Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Start();
  /// Closes the listener and all connections.
  void Stop();

 private:
  void AcceptLoop(int listener);
  void Serve(int fd);

  Address listen_;
  Handler handler_;
  std::mutex mutex_;
  int listener_ = -1;
  bool stopped_ = true;
  std::set<Connection*> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// Whether all of these ports are free at an address, for TCP and UDP.
bool PortsAreFree(const std::string& ip, const std::vector<int>& ports);

}  // namespace review
