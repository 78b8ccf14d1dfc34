#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>

#include "banyanloft/config/json.h"
#include "banyanloft/http/http_server.h"
#include "banyanloft/store/memory_platform.h"

namespace banyanloft {

/// Faults that the simulated platform can inject.
enum class FaultMode : uint8_t { kOk, kUnavailable, kSlow, kDropWriteReplies };

/// Numbers of calls by type, and the maximum of all calls in any one second.
struct CallStats {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;
  uint64_t max_per_second = 0;
  int64_t current_second = 0;
  uint64_t calls_in_second = 0;

  void Count(uint64_t* counter) {
    ++*counter;
    int64_t now = std::chrono::duration_cast<std::chrono::seconds>(
                      std::chrono::steady_clock::now().time_since_epoch())
                      .count();
    if (now != current_second) {
      current_second = now;
      calls_in_second = 0;
    }
    max_per_second = std::max(max_per_second, ++calls_in_second);
  }
};

/// Simulated object API of the platform: versions, conditional updates and
/// watches over HTTP. `POST /faults?mode=MODE&ms=N` selects the fault mode:
///   ok    no fault
///   out   responds with 503 to every call
///   slow  responds after N ms
///   lose  executes writes but does not respond to them
/// `GET /stats` returns the numbers of calls by type and the maximum number of
/// calls in one second.
class PlatformServer final : public HttpHandler {
 public:
  PlatformServer(boost::asio::io_context& io,
                 const HttpServerSettings& settings)
      : io_(io), server_(io, settings, this) {}

  Result<Endpoint> Start() { return server_.Start(); }

  /// Sets the fault mode; `ms` is the delay of kSlow.
  void SetFault(FaultMode mode, int64_t ms) {
    mode_ = mode;
    delay_ms_ = ms;
    if (mode_ == FaultMode::kUnavailable) DropWatches();
  }

  void OnRequest(uint64_t id, HttpRequest request) override {
    std::string path = PathOf(request.target);
    if (path == "/faults") return HandleSetFault(id, request);
    if (path == "/stats") return Reply(id, 200, StatsJson());
    PlatformCall call;
    if (!ParseCall(request, path, &call))
      return Reply(id, 400, "unknown call\n");
    Count(call);
    if (mode_ == FaultMode::kUnavailable) return Reply(id, 503, "out\n");
    if (mode_ != FaultMode::kSlow) return Execute(id, call);
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(delay_ms_));
    timer->async_wait([this, timer, id, call](boost::system::error_code) {
      Execute(id, call);
    });
  }

  void OnAbandoned(uint64_t id) override { watches_.erase(id); }
  HttpResponse OnRefused(ErrorKind kind) override {
    HttpResponse response;
    response.status = ErrorInfoOf(kind).http_status;
    return response;
  }

 private:
  struct Watch {
    std::string key;
    uint64_t after;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  static bool ParseCall(const HttpRequest& request, const std::string& path,
                        PlatformCall* call) {
    const std::string objects = "/objects/";
    const std::string list = "/list/";
    if (path.compare(0, list.size(), list) == 0) {
      call->type = PlatformCall::Type::kList;
      call->key = path.substr(list.size());
      return true;
    }
    if (path.compare(0, objects.size(), objects) != 0) return false;
    call->key = path.substr(objects.size());
    if (request.method == "PUT") {
      call->type = PlatformCall::Type::kWrite;
      call->value = request.body;
      std::string expected(HeaderOf(request.headers, "If-Revision"));
      if (!expected.empty())
        call->expected_revision = std::strtoull(expected.c_str(), nullptr, 10);
      return true;
    }
    std::string after = QueryOf(request.target, "after");
    if (!after.empty())
      call->watch_after = std::strtoull(after.c_str(), nullptr, 10);
    call->wait_ms =
        std::strtoll(QueryOf(request.target, "wait_ms").c_str(), nullptr, 10);
    return true;
  }

  void Count(const PlatformCall& call) {
    if (call.type == PlatformCall::Type::kWrite)
      return stats_.Count(&stats_.writes);
    stats_.Count(call.watch_after ? &stats_.watches : &stats_.reads);
  }

  void Execute(uint64_t id, const PlatformCall& call) {
    PlatformReply reply = store_.Do(call);
    if (call.type == PlatformCall::Type::kWrite) {
      if (!reply.error) CompleteWatches(call.key);
      // The write took effect, but its response is lost.
      if (mode_ == FaultMode::kDropWriteReplies) return;
    }
    bool must_wait = call.watch_after && reply.revision <= *call.watch_after &&
                     call.wait_ms > 0;
    if (must_wait) return StartWatch(id, call);
    Answer(id, call, reply);
  }

  void StartWatch(uint64_t id, const PlatformCall& call) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(call.wait_ms));
    watches_[id] = Watch{call.key, *call.watch_after, timer};
    timer->async_wait([this, id, call](boost::system::error_code error) {
      if (error || watches_.erase(id) == 0) return;
      Answer(id, call, store_.Do(call));
    });
  }

  void CompleteWatches(const std::string& key) {
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (it->second.key != key) {
        ++it;
        continue;
      }
      uint64_t id = it->first;
      it->second.timer->cancel();
      it = watches_.erase(it);
      PlatformCall read;
      read.key = key;
      Answer(id, read, store_.Do(read));
    }
  }

  void Answer(uint64_t id, const PlatformCall& call,
              const PlatformReply& reply) {
    if (reply.error) {
      bool conflict = reply.error->kind == ErrorKind::kConflict;
      return Reply(id, conflict ? 409 : 413, reply.error->detail);
    }
    HttpResponse response;
    response.headers.emplace_back("Revision", std::to_string(reply.revision));
    if (call.type == PlatformCall::Type::kList) {
      Json list = Json::array();
      for (const PlatformObject& object : reply.objects) {
        list.push_back({{"key", object.key},
                        {"revision", object.revision},
                        {"value", object.value}});
      }
      response.body = list.dump();
    } else if (call.type == PlatformCall::Type::kRead) {
      if (reply.objects.empty()) return Reply(id, 404, "no such object\n");
      response.body = reply.objects[0].value;
    }
    server_.Reply(id, std::move(response));
  }

  void Reply(uint64_t id, int status, std::string body) {
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    server_.Reply(id, std::move(response));
  }

  void HandleSetFault(uint64_t id, const HttpRequest& request) {
    static const std::map<std::string, FaultMode> kModes = {
        {"ok", FaultMode::kOk},
        {"out", FaultMode::kUnavailable},
        {"slow", FaultMode::kSlow},
        {"lose", FaultMode::kDropWriteReplies}};
    auto mode = kModes.find(QueryOf(request.target, "mode"));
    if (mode == kModes.end())
      return Reply(id, 400, "mode is ok, out, slow or lose\n");
    SetFault(mode->second,
             std::strtoll(QueryOf(request.target, "ms").c_str(), nullptr, 10));
    Reply(id, 200, "ok\n");
  }

  void DropWatches() {
    std::map<uint64_t, Watch> watches = std::move(watches_);
    watches_.clear();
    for (auto& [id, watch] : watches) {
      watch.timer->cancel();
      Reply(id, 503, "out\n");
    }
  }

  std::string StatsJson() const {
    return Json{{"reads", stats_.reads},
                {"writes", stats_.writes},
                {"watches", stats_.watches},
                {"waiting", watches_.size()},
                {"worst_second", stats_.max_per_second}}
               .dump() +
           "\n";
  }

  boost::asio::io_context& io_;
  HttpServer server_;
  MemoryPlatform store_;
  std::map<uint64_t, Watch> watches_;
  CallStats stats_;
  FaultMode mode_ = FaultMode::kOk;
  int64_t delay_ms_ = 0;
};

}  // namespace banyanloft
