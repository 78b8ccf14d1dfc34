#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "banyanloft/core/error.h"
#include "banyanloft/http/http_message.h"

namespace banyanloft {

/// Classes of urgency at a target's gate: the priorities of routes; lower ones
/// share the last class.
inline constexpr int kUrgencyClasses = 4;

/// Class of a route's requests; 0 is the most urgent.
inline int UrgencyOf(int priority) {
  return priority < kUrgencyClasses ? priority : kUrgencyClasses - 1;
}

/// A client's request, decoded from the wire.
struct MeshRequest {
  std::string request_id;  ///< Unique for each attempt of a client.
  int64_t wait_ms = 0;     ///< Time that the client waits, in ms; 0: not told.
  int64_t held_ms = 0;     ///< Part of it already spent in this daemon, in ms.
  std::string method;
  std::string host;
  std::string target;   ///< Path and query.
  HttpHeaders headers;  ///< To be passed on; nothing about one connection.
  std::string body;
};

/// The answer to a client's request.
struct MeshAnswer {
  /// Set if the answer is this system's own, not a backend server's.
  std::optional<ErrorKind> error;
  RunState run_state = RunState::kUnknown;
  int64_t retry_after_ms = 0;  ///< With a refusal: pause asked of the client.
  HttpResponse response;       ///< The backend server's answer, unchanged.
};

/// Work at a target as its own daemon sees it.
struct TargetLoad {
  int slots = 0;  ///< Requests that the backend server runs at once.
  /// Running work and waiting work of this class and the more urgent ones.
  std::array<int, kUrgencyClasses> ahead{};
  int mean_run_ms = 0;  ///< Mean run time over all routes, in ms.
};

/// One attempt of a request, from the first daemon to the target's daemon.
struct ForwardRequest {
  uint64_t attempt = 0;     ///< Unique at the sender, over its restarts too.
  std::string request_id;   ///< Of the client.
  std::string caller;       ///< Service beside the first daemon.
  std::string service;      ///< Service that is to run it.
  std::string route;        ///< Id of the route.
  bool idempotent = false;  ///< May run more than once.
  int priority = 0;
  int64_t aim_left_ms = 0;   ///< Time left for full credit, in ms.
  int64_t remaining_ms = 0;  ///< Time left for the final answer, in ms.
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
};

/// The answer to an attempt.
struct ForwardAnswer {
  uint64_t attempt = 0;
  RunState run_state = RunState::kUnknown;
  std::optional<ErrorKind> error;  ///< Empty if the backend server answered.
  bool arrived = false;        ///< The backend server was handed the request.
  int64_t retry_after_ms = 0;  ///< With kNotRun: when room is expected, in ms.
  int64_t run_ms = -1;         ///< Run time, in ms; negative: not measured.
  int64_t waited_ms = 0;       ///< Time before the run or the refusal, in ms.
  TargetLoad load;
  HttpResponse response;
};

/// Withdraws an attempt.
struct CancelForward {
  uint64_t attempt = 0;
  /// Only if it waits: it is then refused, so that the sender knows that it has
  /// not run. Otherwise nobody waits for its answer any more.
  bool only_if_queued = false;
};

/// Asks a peer for its configuration if it is newer than `have_version`.
struct DocumentRequest {
  uint64_t have_version = 0;
};

/// A version of the configuration as the store holds it.
struct DocumentReply {
  uint64_t version = 0;  ///< 0: the peer has nothing newer.
  std::string packed;    ///< The document, by Pack().
};

}  // namespace banyanloft
