#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "banyanloft/config/snapshot.h"
#include "banyanloft/config/validate.h"
#include "banyanloft/core/random.h"
#include "banyanloft/distribution/head.h"
#include "banyanloft/distribution/zone_status.h"
#include "banyanloft/store/platform.h"

namespace banyanloft {

/// Settings of an operator's session.
struct OperatorSettings {
  std::string author = "operator";  ///< Who applies changes.
  int max_attempts = 6;             ///< Attempts of a platform call that fails.
  int64_t retry_delay_ms = 300;     ///< Pause between attempts, in ms.
  uint64_t seed = 1;                ///< Seed of change ids.
};

/// What is in force, as the platform holds it.
struct ActiveConfiguration {
  Head head;
  uint64_t head_revision = 0;   ///< 0: nothing was ever accepted.
  Configuration configuration;  ///< Empty if nothing was ever accepted.
};

/// A change, ready to be read and then applied.
struct ChangePlan {
  ActiveConfiguration base;
  Configuration target;
  std::vector<ConfigurationError> errors;  ///< Non-empty: it cannot be applied.
  std::string note;
  bool HasChanges() const;
};

/// What an operator's program does with the configuration. Each call may block
/// while the platform is asked. Not thread safe.
class OperatorSession {
 public:
  /// `pause` waits for the given time in ms; `platform` must outlive the
  /// session.
  OperatorSession(const OperatorSettings& settings, Platform* platform,
                  std::function<void(int64_t)> sleep);

  /// Reads what is in force.
  Result<ActiveConfiguration> Read();
  /// Plans a change to `target`, finding every mistake. Writes nothing.
  Result<ChangePlan> Plan(Configuration target, std::string note);
  /// Plans a return to the content of an earlier version, as a new version.
  Result<ChangePlan> PlanRollback(uint64_t version);
  /// Applies a plan if what it was based on is still in force; otherwise
  /// kConflict, naming the change that was first. Recognises acceptance even if
  /// the platform's answer was lost.
  Result<HeadEntry> Apply(const ChangePlan& plan);
  /// Status objects of all zones.
  Result<std::vector<ZoneSummary>> Status();

 private:
  PlatformReply Call(PlatformCall call);
  Result<std::string> ReadValue(const std::string& key);
  Result<Head> ReadHead(uint64_t* revision);
  Result<Configuration> ReadConfiguration(const std::string& manifest_hash);
  std::optional<Error> WriteContent(const std::string& key,
                                    const std::string& value);
  Result<HeadEntry> WriteHead(const ActiveConfiguration& base,
                              const HeadEntry& entry);
  std::optional<Result<HeadEntry>> Settle(const ActiveConfiguration& base,
                                          const HeadEntry& entry);

  OperatorSettings settings_;
  Platform* platform_;
  std::function<void(int64_t)> sleep_;
  Random random_;
};

}  // namespace banyanloft
