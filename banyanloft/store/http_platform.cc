#include "banyanloft/store/http_platform.h"

#include "banyanloft/store/http_codec.h"

namespace banyanloft {
namespace {

HttpClientSettings ClientSettings(const Endpoint& server) {
  HttpClientSettings settings;
  settings.server = server;
  settings.max_connections = 2;
  return settings;
}

}  // namespace

HttpPlatform::HttpPlatform(const Endpoint& server, int64_t timeout_ms)
    : client_(io_, ClientSettings(server)), timeout_ms_(timeout_ms) {}

PlatformReply HttpPlatform::Do(const PlatformCall& call) {
  PlatformReply reply;
  bool done = false;
  client_.Send(next_id_++, PlatformRequestOf(call),
               PlatformTimeoutMs(call, timeout_ms_), [&](HttpOutcome outcome) {
                 reply = PlatformReplyOf(call, outcome);
                 done = true;
               });
  io_.restart();
  while (!done && io_.run_one() > 0) {
  }
  return reply;
}

}  // namespace banyanloft
