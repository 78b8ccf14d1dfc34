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

/// Settings of an OperatorSession.
struct OperatorSettings {
  std::string author = "operator";  ///< Recorded as the author of changes.
  int max_attempts = 6;             ///< Maximum attempts of a platform call.
  int64_t retry_delay_ms = 300;     ///< Delay between attempts, in ms.
  uint64_t seed = 1;                ///< Seed of the generator of change ids.
};

/// The active configuration as stored in the platform.
struct ActiveConfiguration {
  Head head;
  uint64_t head_revision = 0;   ///< 0: no version was ever accepted.
  Configuration configuration;  ///< Empty if no version was accepted.
};

/// A planned change, to be reviewed and then applied.
struct ChangePlan {
  ActiveConfiguration base;
  Configuration target;
  std::vector<ConfigurationError>
      errors;  ///< If not empty, the plan cannot be applied.
  std::string note;
  bool HasChanges() const;
};

/// Operations of an operator's tool on the configuration. Each call may block
/// on requests to the platform. Not thread-safe.
class OperatorSession {
 public:
  /// `sleep` blocks for the given time in ms; `platform` must outlive the
  /// session.
  OperatorSession(const OperatorSettings& settings, Platform* platform,
                  std::function<void(int64_t)> sleep);

  /// Reads the active configuration.
  Result<ActiveConfiguration> Read();
  /// Plans a change to `target` and validates it. Writes nothing.
  Result<ChangePlan> Plan(Configuration target, std::string note);
  /// Plans a new version with the content of an earlier one.
  Result<ChangePlan> PlanRollback(uint64_t version);
  /// Applies a plan if its base version is still active; otherwise returns
  /// kConflict, naming the newest accepted change. Detects that the change was
  /// accepted even if the platform's response was lost.
  Result<HeadEntry> Apply(const ChangePlan& plan);
  /// Status of all zones.
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
  std::optional<Result<HeadEntry>> ResolveOutcome(
      const ActiveConfiguration& base, const HeadEntry& entry);

  OperatorSettings settings_;
  Platform* platform_;
  std::function<void(int64_t)> sleep_;
  Random random_;
};

}  // namespace banyanloft
