#include "tests/endless_server.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace banyanloft {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// Bytes written at once.
constexpr size_t kRepeatBytes = 32 * 1024;
/// Before a sound response that endless bytes follow, so that several requests
/// run at once; and after it, so that its connection becomes idle; in ms.
constexpr int64_t kPauseMs = 100;

}  // namespace

const std::map<std::string, EndlessResponse>& EndlessResponses() {
  static const std::map<std::string, EndlessResponse> kResponses = {
      {"status-line", {"", "no status line "}},
      {"header-value", {"HTTP/1.1 200 OK\r\nX-Long: ", "aaaaaaaaaaaaaaaa"}},
      {"header-lines", {"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"}},
      {"body-until-close", {"HTTP/1.1 200 OK\r\n\r\n", "bytes of a body "}},
      {"body-longer-than-memory",
       {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "bytes "}},
      {"body-chunks",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "10\r\n0123456789abcdef\r\n"}},
      {"chunk-extension",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=",
        "aaaaaaaaaaaaaaaa"}},
      {"trailer-lines",
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-Trailer: 1\r\n"}},
      {"interim-responses", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
      {"responses-of-others",
       {"", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nothers"}},
      {"bytes-after-response", {"", "bytes of no response ", true}},
  };
  return kResponses;
}

struct EndlessServer::Connection {
  explicit Connection(Tcp::socket accepted)
      : socket(std::move(accepted)), pause(socket.get_executor()) {}
  Tcp::socket socket;
  asio::steady_timer pause;
  std::string input;
  std::string output;
  std::string repeat;
  bool pauses = false;  ///< Before the first `repeat`.
};

std::string LastSegmentOf(const std::string& head) {
  size_t begin = head.find(' ') + 1;
  std::string path = head.substr(begin, head.find(' ', begin) - begin);
  return path.substr(path.rfind('/') + 1);
}

EndlessServer::EndlessServer(uint16_t port, Responder name, Responder sound)
    : name_(std::move(name)),
      sound_(std::move(sound)),
      acceptor_(io_, Tcp::endpoint(asio::ip::address_v4::loopback(), port)) {
  Accept();
  thread_ = std::thread([this] { io_.run(); });
}

EndlessServer::~EndlessServer() {
  io_.stop();
  thread_.join();
}

void EndlessServer::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, Tcp::socket socket) {
        if (error) return;
        Read(std::make_shared<Connection>(std::move(socket)));
        Accept();
      });
}

void EndlessServer::Read(const ConnectionPtr& connection) {
  asio::async_read_until(
      connection->socket, asio::dynamic_buffer(connection->input), "\r\n\r\n",
      [this, connection](boost::system::error_code error, size_t size) {
        if (error) return;
        std::string head = connection->input.substr(0, size);
        connection->input.erase(0, size);
        Respond(connection, head);
      });
}

void EndlessServer::Respond(const ConnectionPtr& connection,
                            const std::string& head) {
  auto found = EndlessResponses().find(name_(head));
  if (found == EndlessResponses().end()) {
    connection->output = sound_(head);
    return Write(connection);
  }
  ++begun_;
  const EndlessResponse& response = found->second;
  while (connection->repeat.size() < kRepeatBytes)
    connection->repeat += response.repeat;
  connection->output = response.start;
  if (!response.after_sound_response) return Write(connection);
  connection->output = sound_(head);
  connection->pauses = true;
  WriteAfterPause(connection);
}

void EndlessServer::WriteAfterPause(const ConnectionPtr& connection) {
  connection->pause.expires_after(std::chrono::milliseconds(kPauseMs));
  connection->pause.async_wait(
      [this, connection](boost::system::error_code error) {
        if (!error) Write(connection);
      });
}

void EndlessServer::Write(const ConnectionPtr& connection) {
  asio::async_write(
      connection->socket, asio::buffer(connection->output),
      [this, connection](boost::system::error_code error, size_t) {
        bool endless = !connection->repeat.empty();
        if (error) {
          closed_by_client_ += endless ? 1 : 0;
        } else if (endless) {
          Repeat(connection);
        } else {
          Read(connection);
        }
      });
}

void EndlessServer::Repeat(const ConnectionPtr& connection) {
  connection->output = connection->repeat;
  if (std::exchange(connection->pauses, false)) {
    WriteAfterPause(connection);
  } else {
    Write(connection);
  }
}

}  // namespace banyanloft
