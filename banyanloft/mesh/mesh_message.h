#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "banyanloft/core/digest.h"
#include "banyanloft/core/error.h"
#include "banyanloft/http/http_message.h"

namespace banyanloft {

/// Number of urgency classes in a target's admission control. A route's
/// priority is its class; all lower priorities share the last class.
inline constexpr int kUrgencyClasses = 4;

/// Urgency class of a route priority; 0 is the most urgent.
inline int UrgencyOf(int priority) {
  return priority < kUrgencyClasses ? priority : kUrgencyClasses - 1;
}

/// Size of a body above which a message is sent in pieces, after smaller ones:
/// 10 ms on a link of 12 Mbit/s.
inline constexpr int64_t kLargeMessageBytes = 16 * 1024;

/// A client's request, decoded from the wire.
struct MeshRequest {
  std::string request_id;   ///< Unique for each attempt by a client.
  int64_t wait_ms = 0;      ///< Client's timeout, in ms; 0: not given.
  int64_t buffered_ms = 0;  ///< Part of it already spent in this daemon, in ms.
  std::string method;
  std::string host;
  std::string target;   ///< Path and query.
  HttpHeaders headers;  ///< End-to-end headers only, no hop-by-hop ones.
  std::string api_key;  ///< Of a client account; empty if there is none.
  std::string body;
};

/// Identifies equal requests: those with the same path and body. The caller
/// does not count, because a request may come again at an instance of any
/// service.
inline uint64_t RequestFingerprint(const std::string& target,
                                   const std::string& body) {
  return FastHash(body, FastHash(target));
}

/// The answer to a client's request.
struct MeshAnswer {
  /// Set if this system generated the answer rather than a backend server.
  std::optional<ErrorKind> error;
  RunState run_state = RunState::kUnknown;
  int64_t retry_after_ms = 0;  ///< With a refusal: when to retry, in ms.
  HttpResponse response;       ///< The backend server's answer, unchanged.
};

/// Load of a target as reported by its own daemon.
struct TargetLoad {
  /// Concurrency limit of the backend server, or what its rate limit comes to.
  int slots = 0;
  /// For each urgency class: running requests plus those queued in this class
  /// and the more urgent ones.
  std::array<int, kUrgencyClasses> ahead{};
  /// Mean run time over all routes, in ms. Under a rate limit, the time between
  /// two starts times the slots.
  int mean_run_ms = 0;
  /// Expected remaining time of all running requests, in ms; negative: not
  /// reported, and neither are the fields below.
  int running_work_ms = -1;
  /// For each urgency class: expected run time of the requests queued in this
  /// class and the more urgent ones, in ms.
  std::array<int, kUrgencyClasses> queued_work_ms{};
  /// Run time relative to that on a target of average speed, in 1/1000;
  /// negative: unknown.
  int slowness_permille = -1;
  /// Expected delay of the daemon's outgoing link for large responses, in ms.
  int link_delay_ms = 0;
  int link_bytes_per_ms = 0;  ///< Rate of that link; 0: unknown.
};

/// One attempt of a request, from the ingress daemon to the target's daemon.
struct ForwardRequest {
  uint64_t attempt = 0;     ///< Unique per sender, also across its restarts.
  std::string request_id;   ///< The client's request id.
  std::string caller;       ///< Service on the ingress daemon's instance.
  std::string account;      ///< Name of the client account; empty if none.
  std::string service;      ///< Service that must run it.
  std::string route;        ///< Id of the route.
  bool idempotent = false;  ///< May run more than once.
  int priority = 0;
  int64_t aim_left_ms = 0;   ///< Time left until the route's aim, in ms.
  int64_t remaining_ms = 0;  ///< Time left until the deadline, in ms.
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  /// Expected run time on a target of average speed, in ms; negative: unknown.
  int64_t expected_run_ms = -1;
  /// The target refuses the request if it expects a longer wait, because
  /// another target is expected to finish earlier, in ms; negative: no limit.
  int64_t max_wait_ms = -1;
  int64_t response_bytes = 0;  ///< Expected size of the response's body.
};

/// The answer to an attempt.
struct ForwardAnswer {
  uint64_t attempt = 0;
  RunState run_state = RunState::kUnknown;
  std::optional<ErrorKind> error;  ///< Empty if the backend server answered.
  bool arrived = false;            ///< The request reached the backend server.
  int64_t retry_after_ms = 0;      ///< With kNotRun: when to retry, in ms.
  int64_t run_ms = -1;             ///< Run time, in ms; negative: not measured.
  int64_t waited_ms = 0;  ///< Time before the run or the refusal, in ms.
  TargetLoad load;
  HttpResponse response;
};

/// Cancels an attempt.
struct CancelForward {
  uint64_t attempt = 0;
  /// If set, the attempt is cancelled only while it is queued, and is answered
  /// with a refusal, so that the sender knows that it did not run. Otherwise
  /// the sender no longer waits for an answer.
  bool only_if_queued = false;
};

/// Requests a peer's configuration if it is newer than `have_version`.
struct DocumentRequest {
  uint64_t have_version = 0;
};

/// A version of the configuration: the store's document, compressed.
struct DocumentReply {
  uint64_t version = 0;  ///< 0: the peer has nothing newer.
  std::string packed;    ///< The document, compressed by Compress().
};

}  // namespace banyanloft
