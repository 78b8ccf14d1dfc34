#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "banyanloft/core/error.h"
#include "banyanloft/core/time.h"
#include "banyanloft/run_once/key.h"

namespace banyanloft {

/// Settings of the RunLedger.
struct RunLedgerSettings {
  int64_t epoch_ms = 60000;             ///< Duration of an epoch, in ms.
  uint64_t retained_epochs = 15;        ///< Epochs for which a key is valid.
  size_t max_keys = 50000;              ///< Limit on stored keys.
  size_t max_answer_bytes = 64 * 1024;  ///< Limit on one stored answer body.
  size_t max_total_bytes =
      24 * 1024 * 1024;  ///< Limit on all stored answer bodies.
};

/// Outcome of a call as reported to its caller.
struct RunOutcome {
  RunState run_state = RunState::kUnknown;
  std::optional<ErrorKind> error;  ///< Empty if the backend server answered.
  std::string detail;              ///< Human-readable description of the error.
  int http_status = 0;             ///< Status of the backend server's answer.
  std::string content_type;        ///< Content type of the answer.
  std::string body;                ///< Body of the answer.
};

/// The home's store of idempotency keys. Each key runs at most once and has one
/// outcome, which is repeated whenever the key is resent. Only the process that
/// issued a key may run it, and it measures a key's age in its own epochs, so
/// that neither leases nor synchronised clocks are needed. Deterministic; not
/// thread safe.
class RunLedger {
 public:
  /// The key is new: the caller of `Begin` must run it, or complete it as not
  /// run.
  struct MustRun {};
  /// The key is already running; `waiter` will get its outcome.
  struct Joined {};
  using BeginResult = std::variant<MustRun, Joined, RunOutcome>;

  /// `home` is this process; `secret` authenticates the keys; `seed` is the
  /// first nonce.
  RunLedger(const RunLedgerSettings& settings, MemberId home,
            std::string secret, uint64_t seed, TimeMs start);

  /// Issues a new key for a route.
  std::string Issue(TimeMs now, const std::string& route);
  /// Called when a call with a key arrived; `waiter` identifies the call.
  BeginResult Begin(TimeMs now, const RunKey& key, uint64_t waiter);
  /// Called when the run of a key ended, or was permanently refused before it
  /// began. Stores the outcome and returns the waiters to be notified.
  std::vector<uint64_t> Complete(const RunKey& key, const RunOutcome& outcome);
  /// Removes outcomes whose keys have expired.
  void Tick(TimeMs now);

  /// Number of stored keys.
  size_t Size() const { return size_; }
  /// Total size of the stored answer bodies, in bytes.
  size_t AnswerBytes() const { return answer_bytes_; }

 private:
  struct Entry {
    bool completed = false;
    RunOutcome outcome;
    std::vector<uint64_t> waiters;
  };
  using Epoch = std::unordered_map<uint64_t, Entry>;

  uint64_t EpochOf(TimeMs now) const;
  uint64_t OldestValidEpoch(TimeMs now) const;
  RunOutcome RetainWithinLimits(RunOutcome outcome);

  RunLedgerSettings settings_;
  MemberId home_;
  std::string secret_;
  uint64_t next_nonce_;
  TimeMs start_;
  std::map<uint64_t, Epoch> epochs_;
  size_t size_ = 0;
  size_t answer_bytes_ = 0;
};

}  // namespace banyanloft
