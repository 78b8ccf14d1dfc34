#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "banyanloft/core/time.h"

namespace banyanloft {

/// Settings of LostRuns.
struct LostRunsSettings {
  /// Time for which a broken connection may be due to a crash that is detected
  /// later, in ms: a crash breaks all connections at once, and the backend
  /// server restarts within seconds.
  int64_t broken_window_ms = 6000;
  /// Time within which a response received before a crash may still be read
  /// after it, in ms: a daemon with a tenth of a core may run this late.
  int64_t late_read_ms = 300;
  size_t max_unanswered = 100;  ///< Unanswered runs that are remembered.
};

/// Runs of the backend server that ended without a response, to which a crash
/// may be attributed. Deterministic; not thread safe.
class LostRuns {
 public:
  explicit LostRuns(const LostRunsSettings& settings) : settings_(settings) {}

  /// The connection of a run broke.
  void OnBroken(TimeMs now, uint64_t fingerprint);
  /// A run timed out or was cancelled. Until the backend server responds to a
  /// run that started later, it may have been silent since this one.
  void OnUnanswered(TimeMs now, uint64_t fingerprint);
  /// The backend server responded to a run that started at `started`.
  void OnResponse(TimeMs started);
  /// The backend server answered a run that started at `started`. A crash
  /// breaks all connections, so those that broke during that run broke for
  /// another reason. Not if that was just before: the response may have been
  /// received before a crash.
  void OnAnswered(TimeMs now, TimeMs started);
  /// Takes the requests whose connections broke within the window.
  std::vector<uint64_t> TakeBroken(TimeMs now);
  /// Takes these and the unanswered ones: the backend server has restarted.
  std::vector<uint64_t> TakeAll(TimeMs now);
  void Clear();

 private:
  struct LostRun {
    uint64_t fingerprint = 0;
    TimeMs ended;
  };

  LostRunsSettings settings_;
  std::vector<LostRun> broken_;
  std::vector<LostRun> unanswered_;
};

}  // namespace banyanloft
