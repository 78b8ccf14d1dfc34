#include "banyanloft/distribution/zone_status.h"

#include <fmt/format.h>

#include "banyanloft/config/json.h"

namespace banyanloft {
namespace {

constexpr int64_t kWritePeriodMs = 1000;
constexpr size_t kMaxLaggards = 20;

}  // namespace

std::string ZoneSummaryToJson(const ZoneSummary& summary) {
  Json versions = Json::array();
  for (const auto& [version, count] : summary.versions) {
    versions.push_back({{"version", version}, {"members", count}});
  }
  Json laggards = Json::array();
  for (const auto& [member, report] : summary.laggards) {
    laggards.push_back({{"member", member},
                        {"version", report.version},
                        {"detail", report.detail}});
  }
  return Json{{"zone", summary.zone},
              {"newest", summary.newest},
              {"members", summary.members},
              {"versions", versions},
              {"laggards", laggards}}
      .dump();
}

Result<ZoneSummary> ZoneSummaryFromJson(const std::string& text) {
  Error invalid{ErrorKind::kProtocolError,
                "the zone status object is malformed"};
  Json json = ParseJson(text);
  JsonReader fields(json);
  ZoneSummary summary;
  summary.zone = fields.String("zone");
  summary.newest = static_cast<uint64_t>(fields.Int("newest"));
  summary.members = static_cast<size_t>(fields.Int("members"));
  const Json* versions = fields.Find("versions");
  const Json* laggards = fields.Find("laggards");
  bool lists = versions != nullptr && versions->is_array() &&
               laggards != nullptr && laggards->is_array();
  if (!fields.FirstError().empty() || !lists) return invalid;
  for (const Json& item : *versions) {
    JsonReader reader(item);
    uint64_t version = static_cast<uint64_t>(reader.Int("version"));
    summary.versions[version] = static_cast<size_t>(reader.Int("members"));
  }
  for (const Json& item : *laggards) {
    JsonReader reader(item);
    std::string member = reader.String("member");
    summary.laggards[member] = {static_cast<uint64_t>(reader.Int("version")),
                                reader.StringOr("detail", "")};
  }
  return summary;
}

void ZoneStatus::OnReport(MemberId member, uint64_t version,
                          const std::string& detail) {
  MemberVersion& report = reports_[member];
  if (version < report.version) return;
  report = MemberVersion{version, detail};
}

std::optional<std::string> ZoneStatus::WriteDue(
    TimeMs now, uint64_t newest, const std::set<MemberId>& members) {
  if (!MayWrite(now)) return std::nullopt;
  next_write_ = now + kWritePeriodMs;
  ZoneSummary summary;
  summary.zone = zone_;
  summary.newest = newest;
  summary.members = members.size();
  for (auto it = reports_.begin(); it != reports_.end();) {
    it = members.count(it->first) != 0 ? std::next(it) : reports_.erase(it);
  }
  for (MemberId member : members) {
    const MemberVersion& report = reports_[member];
    ++summary.versions[report.version];
    bool lags = report.version < newest || !report.detail.empty();
    if (lags && summary.laggards.size() < kMaxLaggards) {
      summary.laggards[fmt::format("{:016x}", member)] = report;
    }
  }
  std::string value = ZoneSummaryToJson(summary);
  if (value == written_) return std::nullopt;
  written_ = value;
  return value;
}

}  // namespace banyanloft
