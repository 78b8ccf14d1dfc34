#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "banyanloft/core/error.h"
#include "banyanloft/routing/target_picker.h"
#include "banyanloft/run_once/run_ledger.h"

namespace banyanloft {

/// Most daemons that one chain of calls may pass.
inline constexpr int kMaxCallDepth = 11;

/// A call as a caller hands it to its daemon.
struct CallRequest {
  std::string name;  ///< Name of the route in any scheme.
  std::string rank;  ///< Rank asked for; empty: the route's. Can only lower it.
  std::string key;   ///< Key of the call; empty: none.
  int64_t timeout_ms = 0;  ///< Time the caller waits, in ms; 0: the route's.
  int depth = 0;           ///< Daemons that the chain of calls has passed.
  std::string content_type;
  std::string body;
};

/// The answer to a call.
struct CallAnswer {
  RunOutcome outcome;
  RetryHint hint = RetryHint::kNo;
  bool retried = false;  ///< A layer at or below this daemon retried.
  std::string target;  ///< Member that ran or refused the call, in hexadecimal.
  uint64_t version = 0;  ///< Configuration version the call was routed by.
};

/// One attempt of a call, from the first daemon to the target's daemon.
struct RunRequest {
  uint64_t attempt = 0;      ///< Unique at the sender.
  std::string route;         ///< Id of the route.
  std::string rank;          ///< Id of the rank.
  std::string kind;          ///< Kind of work.
  std::string key;           ///< Key; empty: none.
  int64_t remaining_ms = 0;  ///< Time left for the answer, in ms.
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

/// Withdraws an attempt.
struct CancelRun {
  uint64_t attempt = 0;
};

/// Asks a target's daemon for a key.
struct KeyRequest {
  uint64_t attempt = 0;
  std::string route;
};

/// The key, or the reason for none.
struct KeyAnswer {
  uint64_t attempt = 0;
  std::string key;
  std::optional<ErrorKind> error;
};

/// An outcome without a run by the backend server.
inline RunOutcome RefusalOf(ErrorKind kind, std::string detail = "") {
  RunOutcome outcome;
  outcome.error = kind;
  outcome.run_state = ErrorAnswerOf(kind).run_state;
  outcome.detail = std::move(detail);
  return outcome;
}

}  // namespace banyanloft
