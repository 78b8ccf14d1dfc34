#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "banyanloft/core/error.h"
#include "banyanloft/core/time.h"
#include "banyanloft/run_once/key.h"

namespace banyanloft {

/// What one member reported of its configuration.
struct MemberVersion {
  uint64_t version = 0;
  std::string detail;  ///< Why a newer version was refused; empty if none was.
};

/// Status of one availability zone as written to the platform.
struct ZoneSummary {
  std::string zone;
  uint64_t newest = 0;  ///< Highest version known to the writer.
  std::map<uint64_t, size_t> versions;  ///< Members by version in force.
  std::map<std::string, MemberVersion>
      laggards;  ///< Members below `newest`, a sample.
  size_t members = 0;
};

std::string ZoneSummaryToJson(const ZoneSummary& summary);
Result<ZoneSummary> ZoneSummaryFromJson(const std::string& text);

/// Collects the reports of one zone's members at the member that watches, and
/// says when the zone's status object should be written: at most once a
/// second, and only if it changed. Deterministic; not thread safe.
class ZoneStatus {
 public:
  explicit ZoneStatus(std::string zone) : zone_(std::move(zone)) {}

  /// A member reported.
  void OnReport(MemberId member, uint64_t version, const std::string& detail);
  /// True if a value may be written now.
  bool MayWrite(TimeMs now) const { return now >= next_write_; }
  /// Value to write now, if any. `members` are the live ones of the zone.
  std::optional<std::string> WriteDue(TimeMs now, uint64_t newest,
                                      const std::set<MemberId>& members);

 private:
  std::string zone_;
  std::map<MemberId, MemberVersion> reports_;
  std::string written_;
  TimeMs next_write_;
};

}  // namespace banyanloft
