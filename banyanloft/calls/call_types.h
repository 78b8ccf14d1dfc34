#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "banyanloft/core/error.h"
#include "banyanloft/routing/target_picker.h"
#include "banyanloft/run_once/run_ledger.h"

namespace banyanloft {

/// Limit on the daemons that one chain of nested calls may pass.
inline constexpr int kMaxCallDepth = 11;

/// A call as received from a caller.
struct CallRequest {
  std::string name;  ///< Name of the route in any scheme.
  std::string rank;  ///< Requested rank; empty: that of the route, which is the
                     ///< most urgent one allowed.
  std::string key;   ///< Key for at-most-once execution; empty: none.
  int64_t timeout_ms =
      0;          ///< Timeout of the caller, in ms; 0: that of the route.
  int depth = 0;  ///< Daemons that the chain of nested calls has passed.
  std::string content_type;
  std::string body;
};

/// The answer to a call.
struct CallAnswer {
  RunOutcome outcome;
  RetryHint hint = RetryHint::kNo;
  bool retried = false;  ///< A layer at or below this daemon retried.
  std::string target;  ///< Member that ran or refused the call, in hexadecimal.
  uint64_t version = 0;  ///< Configuration version used for routing.
};

/// One attempt of a call, sent from the caller's daemon to the target's daemon.
struct RunRequest {
  uint64_t attempt = 0;      ///< Unique at the sender.
  std::string route;         ///< Id of the route.
  std::string rank;          ///< Id of the rank.
  std::string kind;          ///< Kind of work.
  std::string key;           ///< Key; empty: none.
  int64_t remaining_ms = 0;  ///< Time left until the deadline, in ms.
  int depth = 0;
  std::string content_type;
  std::string body;
};

/// The answer to an attempt.
struct RunAnswer {
  uint64_t attempt = 0;
  RunOutcome outcome;
  bool retried_downstream = false;
  LoadReport load;
};

/// Cancels an attempt.
struct CancelRun {
  uint64_t attempt = 0;
};

/// Requests a key from a target's daemon.
struct KeyRequest {
  uint64_t attempt = 0;
  std::string route;
};

/// The issued key, or the error.
struct KeyAnswer {
  uint64_t attempt = 0;
  std::string key;
  std::optional<ErrorKind> error;
};

/// Outcome of a call that ended with an error instead of a backend answer.
inline RunOutcome RefusalOf(ErrorKind kind, std::string detail = "") {
  RunOutcome outcome;
  outcome.error = kind;
  outcome.run_state = ErrorInfoOf(kind).run_state;
  outcome.detail = std::move(detail);
  return outcome;
}

}  // namespace banyanloft
