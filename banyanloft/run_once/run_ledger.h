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

/// Settings of the ledger of keyed runs.
struct RunLedgerSettings {
  int64_t epoch_ms = 60000;             ///< Length of an epoch, in ms.
  uint64_t retained_epochs = 15;        ///< Epochs for which a key is good.
  size_t max_keys = 50000;              ///< Most keys remembered at once.
  size_t max_answer_bytes = 64 * 1024;  ///< Longest answer body that is kept.
  size_t max_total_bytes =
      24 * 1024 * 1024;  ///< Bound on all answer bodies kept.
};

/// How a call ended, as its caller is told.
struct RunOutcome {
  RunState run_state = RunState::kUnknown;
  std::optional<ErrorKind> error;  ///< Empty: the backend server answered.
  std::string detail;              ///< With an error: text for people.
  int http_status = 0;             ///< Status of the backend server's answer.
  std::string content_type;        ///< Content type of the answer.
  std::string body;                ///< Body of the answer.
};

/// The home's record of its keys: at most one run per key, and one outcome,
/// told again to whoever resends the key. Only the process that issued a key
/// may run it, and it judges a key's age by its own epochs, so that neither
/// leases nor clocks of others are needed. Deterministic; not thread safe.
class RunLedger {
 public:
  /// The key is new: the caller of `Begin` must run it, or close it as not run.
  struct MustRun {};
  /// The key is running; `waiter` is told its outcome.
  struct Joined {};
  using BeginResult = std::variant<MustRun, Joined, RunOutcome>;

  /// `home` is this process; `secret` seals the keys; `seed` draws nonces.
  RunLedger(const RunLedgerSettings& settings, MemberId home,
            std::string secret, uint64_t seed, TimeMs start);

  /// Issues a new key for a route.
  std::string Issue(TimeMs now, const std::string& route);
  /// A call with a key arrived; `waiter` identifies the call.
  BeginResult Begin(TimeMs now, const RunKey& key, uint64_t waiter);
  /// The run of a key ended, or was refused for good before it began. Returns
  /// the waiters to be told. The outcome stands from now on.
  std::vector<uint64_t> Complete(const RunKey& key, const RunOutcome& outcome);
  /// Forgets outcomes of epochs whose keys are no longer good.
  void Tick(TimeMs now);

  /// Keys remembered.
  size_t Size() const { return size_; }
  /// Bytes of answers kept.
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
