#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "banyanloft/core/digest.h"
#include "banyanloft/core/error.h"
#include "banyanloft/core/shared_bytes.h"
#include "banyanloft/http/http_message.h"

namespace banyanloft {

/// Number of route priorities that are told apart; all lower ones share the
/// last. Daemons of the earlier version know only these classes.
inline constexpr int kRouteClasses = 4;

/// Number of urgency classes in a target's admission control: four account
/// priorities, each with the route priorities. The rank of a request is its
/// class; all lower ranks share the last class.
inline constexpr int kUrgencyClasses = 4 * kRouteClasses;

/// Urgency class of a request's rank; 0 is the most urgent.
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
  SharedBytes body;
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
  /// and the more urgent ones. Never decreases from class to class.
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
  SharedBytes body;
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

/// Asks the home of client accounts for tokens.
struct QuotaAsk {
  struct Item {
    uint64_t account = 0;  ///< QuotaAccountId() of its name.
    int needed = 0;        ///< Tokens for requests that wait or surely come.
    int wanted = 0;        ///< The same and tokens for predicted requests.
    int spent = 0;     ///< Requests sent without a token since the last answer.
    int returned = 0;  ///< Tokens of this home that ended without use.
    bool ends_lease = false;  ///< The daemon has no more use for its lease.
  };
  uint64_t sequence = 0;  ///< Unique per sender.
  std::vector<Item> items;
};

/// How a daemon answers for an account.
enum class QuotaStatus : uint8_t {
  kGranted,  ///< As the home; with 0 tokens if there are none.
  kNotHome,  ///< Another daemon is the home.
  kWait,     ///< The home, but leases of the former home may still be in use.
  kYoung,    ///< Just started; it does not know the home for sure.
};

/// The answer to a QuotaAsk.
struct QuotaGrant {
  struct Item {
    uint64_t account = 0;
    QuotaStatus status = QuotaStatus::kGranted;
    int tokens = 0;
    int64_t life_ms = 0;  ///< Lifetime of the tokens, from the ask, in ms.
    /// Part of the account's rate that the daemon may use while the home is
    /// silent, in millionths. A share, so that it shrinks with the limit.
    int64_t lease_ppm = 0;
    int64_t retry_after_ms = 0;  ///< When there will be tokens; 0: there were.
    int64_t pause_ms = 0;        ///< Until the daemon may ask again, if denied.
    uint64_t home = 0;  ///< Member that is the home; 0: the sender or unknown.
  };
  uint64_t sequence = 0;  ///< Of the ask.
  std::vector<Item> items;
};

/// Passes accounts from their former home to the new one.
struct QuotaHandover {
  struct Item {
    uint64_t account = 0;
    int64_t tokens_permille = 0;    ///< In the bucket, in 1/1000.
    int64_t reserved_permille = 0;  ///< Leases in use, in tokens per 1000 s.
    int64_t reserved_ms = 0;        ///< Until these leases end, in ms.
  };
  std::vector<Item> items;
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
