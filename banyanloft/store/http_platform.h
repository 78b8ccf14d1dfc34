#pragma once

#include <boost/asio/io_context.hpp>

#include "banyanloft/http/http_client.h"
#include "banyanloft/store/platform.h"

namespace banyanloft {

/// HTTP client of the platform, for the operator programs. Not thread safe.
class HttpPlatform final : public Platform {
 public:
  /// `timeout_ms`: timeout of one call; a watch adds its own wait.
  HttpPlatform(const Endpoint& server, int64_t timeout_ms);
  PlatformReply Do(const PlatformCall& call) override;

 private:
  boost::asio::io_context io_;
  HttpClient client_;
  int64_t timeout_ms_;
  uint64_t next_id_ = 1;
};

}  // namespace banyanloft
