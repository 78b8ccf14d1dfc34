#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace banyanloft {

/// What a server in trouble sends: `start`, then `repeat` without end, until
/// the connection is closed.
struct EndlessResponse {
  std::string start;
  std::string repeat;
  /// A sound response comes first, and `repeat` when the connection is idle.
  bool after_sound_response = false;
};

/// One response for each part of a response that may come without end, by name.
const std::map<std::string, EndlessResponse>& EndlessResponses();

/// Last segment of the path in a request's head.
std::string LastSegmentOf(const std::string& head);

/// Server on a thread of its own that sends sound responses and endless ones.
class EndlessServer {
 public:
  /// Called with the head of a request, on the server's thread.
  using Responder = std::function<std::string(const std::string& head)>;

  /// Port 0: any. `name` returns the name of the endless response to a request,
  /// or nothing if it gets the response that `sound` returns.
  EndlessServer(uint16_t port, Responder name, Responder sound);
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  /// Connections on which an endless response was begun.
  int Begun() const { return begun_; }
  /// Those of them that the client has closed.
  int ClosedByClient() const { return closed_by_client_; }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept();
  void Read(const ConnectionPtr& connection);
  void Respond(const ConnectionPtr& connection, const std::string& head);
  void Write(const ConnectionPtr& connection);
  void WriteAfterPause(const ConnectionPtr& connection);
  void Repeat(const ConnectionPtr& connection);

  Responder name_;
  Responder sound_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> begun_{0};
  std::atomic<int> closed_by_client_{0};
  std::thread thread_;
};

}  // namespace banyanloft
