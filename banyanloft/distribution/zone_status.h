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

/// Configuration status reported by one member.
struct MemberVersion {
  uint64_t version = 0;
  std::string detail;  ///< Why a newer version was rejected; empty if none.
};

/// Configuration status of one availability zone, as stored in the platform.
struct ZoneSummary {
  std::string zone;
  uint64_t newest = 0;  ///< Highest version known to the writer.
  std::map<uint64_t, size_t>
      versions;  ///< Number of members by active version.
  std::map<std::string, MemberVersion>
      laggards;  ///< Sample of members that run an older version than
                 ///< `newest` or rejected one.
  size_t members = 0;
};

std::string ZoneSummaryToJson(const ZoneSummary& summary);
Result<ZoneSummary> ZoneSummaryFromJson(const std::string& text);

/// Aggregates the reports of one zone's members on the zone's watcher and
/// decides when to write the status object: at most once per second, and only
/// if it changed. Deterministic; not thread-safe.
class ZoneStatus {
 public:
  explicit ZoneStatus(std::string zone) : zone_(std::move(zone)) {}

  void OnReport(MemberId member, uint64_t version, const std::string& detail);
  /// True if the minimum interval since the last write has passed.
  bool MayWrite(TimeMs now) const { return now >= next_write_; }
  /// The value to write now, if any. `members` are the live members of the
  /// zone.
  std::optional<std::string> WriteDue(TimeMs now, uint64_t newest,
                                      const std::set<MemberId>& members);

 private:
  std::string zone_;
  std::map<MemberId, MemberVersion> reports_;
  std::string written_;
  TimeMs next_write_;
};

}  // namespace banyanloft
