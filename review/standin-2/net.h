#pragma once

#include <sys/epoll.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// Time of the steady clock, in ms.
int64_t NowMs();

/// A parsed HTTP message: a request or a response.
struct Message {
  std::string method;  ///< Of a request.
  std::string target;
  int status = 0;  ///< Of a response.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// Value of a header; empty if it is absent.
  std::string Header(const std::string& name) const;
};

/// Takes one message from the front of `input`. False if it is incomplete.
/// Bodies have a length, or none.
bool TakeMessage(std::string* input, Message* message);

/// Text of a response with a length.
std::string ResponseText(
    int status, const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body);

/// Opens a TCP connection to 127.0.0.1; -1 on failure. `window_bytes`: size of
/// its receive buffer; 0: that of the system.
int Connect(uint16_t port, int timeout_ms, int window_bytes = 0);

/// Sends a request on a new connection and waits for its response. Status 0: no
/// response.
Message Exchange(uint16_t port, const std::string& request, int timeout_ms);

/// Event loop of one thread: sockets and timers.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Watch(int fd, std::function<void()> on_readable);
  void Forget(int fd);
  void After(int64_t ms, std::function<void()> callback);
  /// Calls `callback` on the loop's thread; may be called on any thread.
  void Post(std::function<void()> callback);
  /// Runs until `stop` is set.
  void Run(const bool volatile* stop);

 private:
  void RunPosted();

  int epoll_ = -1;
  int wakeup_ = -1;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  std::map<int, std::shared_ptr<std::function<void()>>> handlers_;
  std::multimap<int64_t, std::function<void()>> timers_;
};

/// HTTP server on 127.0.0.1 that runs on a Loop.
class Server {
 public:
  /// Handles a request; answers with Reply(connection, ...).
  using Handler = std::function<void(uint64_t connection, Message request)>;

  Server(Loop* loop, uint16_t port, Handler handler);
  bool Listening() const { return listener_ >= 0; }
  void Reply(uint64_t connection, const std::string& text);
  /// Resets at most this share of the open connections, in 1/1000, chosen by
  /// `draw`.
  int Reset(int permille, const std::function<uint64_t()>& draw);
  /// Stops listening and resets all connections, as a crash does.
  void Close();
  size_t Connections() const { return connections_.size(); }

 private:
  struct Connection {
    int fd = -1;
    std::string input;
  };

  void OnAccept();
  void OnReadable(uint64_t id);
  void Drop(uint64_t id, bool reset);

  Loop* loop_;
  Handler handler_;
  int listener_ = -1;
  uint64_t next_ = 1;
  std::map<uint64_t, Connection> connections_;
};

}  // namespace review
