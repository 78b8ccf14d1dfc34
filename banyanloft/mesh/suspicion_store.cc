#include "banyanloft/mesh/suspicion_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

#include "banyanloft/config/json.h"

namespace banyanloft {
namespace {

constexpr char kPrefix[] = "suspicions/";
constexpr char kKey[] = "suspicions/fleet";

/// Conflicts after which an object that no read shows is overwritten: another
/// program has made it unreadable.
constexpr int kConflictsToOverwrite = 2;

using SuspicionKey = std::pair<uint64_t, uint64_t>;  // Fingerprint and crash.

SuspicionKey KeyOf(const CrashSuspicion& suspicion) {
  return {suspicion.fingerprint, suspicion.crash_id};
}

std::string HexOf(uint64_t value) { return fmt::format("{:016x}", value); }

bool ParseHex(const Json& json, uint64_t* value) {
  if (!json.is_string()) return false;
  const std::string& text = json.get_ref<const std::string&>();
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), *value, 16);
  return error == std::errc() && end == text.data() + text.size();
}

/// Grouped by crash, to keep the object small.
std::string WriteSuspicions(const std::vector<CrashSuspicion>& suspicions) {
  std::map<uint64_t, Json> crashes;
  for (const CrashSuspicion& suspicion : suspicions) {
    Json& crash = crashes[suspicion.crash_id];
    crash["crash"] = HexOf(suspicion.crash_id);
    crash["age_ms"] = suspicion.age_ms;
    crash["requests"].push_back(HexOf(suspicion.fingerprint));
  }
  Json list = Json::array();
  for (auto& [id, crash] : crashes) list.push_back(std::move(crash));
  return Json{{"crashes", std::move(list)}}.dump();
}

/// Skips entries that are malformed: any program may write to the store.
std::vector<CrashSuspicion> ReadSuspicions(const std::string& text,
                                           size_t max_suspicions) {
  std::vector<CrashSuspicion> out;
  Json json = ParseJson(text);
  JsonReader fields(json);
  const Json* crashes = fields.Find("crashes");
  if (crashes == nullptr || !crashes->is_array()) return out;
  for (const Json& crash : *crashes) {
    JsonReader reader(crash);
    CrashSuspicion suspicion;
    suspicion.age_ms = reader.Int("age_ms");
    const Json* id = reader.Find("crash");
    const Json* requests = reader.Find("requests");
    bool valid = reader.FirstError().empty() && suspicion.age_ms >= 0 &&
                 id != nullptr && ParseHex(*id, &suspicion.crash_id) &&
                 requests != nullptr && requests->is_array();
    if (!valid) continue;
    for (const Json& request : *requests) {
      if (out.size() >= max_suspicions) return out;
      if (ParseHex(request, &suspicion.fingerprint)) out.push_back(suspicion);
    }
  }
  return out;
}

}  // namespace

SuspicionStore::SuspicionStore(const SuspicionStoreSettings& settings,
                               uint64_t seed, TimeMs now)
    : settings_(settings), random_(seed) {
  uint64_t window = static_cast<uint64_t>(settings_.start_window_ms) + 1;
  next_call_ = now + static_cast<int64_t>(random_.Below(window));
}

void SuspicionStore::OnRaised(size_t suspicions) { unsaved_ += suspicions; }

std::optional<PlatformCall> SuspicionStore::Tick(TimeMs now,
                                                 const CrashGuard& guard,
                                                 bool watching,
                                                 bool partitioned) {
  bool timed_out =
      call_type_ != Call::kNone && now - called_at_ > settings_.timeout_ms;
  if (timed_out) {
    counters_.Add("suspicion_store_failures_total", "timeout");
    OnFailed(now, false);
  }
  if (call_type_ != Call::kNone || now < next_call_) return std::nullopt;
  PlatformCall call;
  called_at_ = now;
  if (ReadDue(now, guard, watching, partitioned)) {
    call_type_ = Call::kRead;
    call.type = PlatformCall::Type::kList;
    call.key = kPrefix;
    // A write needs the present revision, and after a start there may be no
    // other source.
    call.allow_stale = loaded_ && unsaved_ == 0;
    return call;
  }
  bool check = std::exchange(check_contents_, false);
  if (!contents_known_ || (unsaved_ == 0 && !check)) return std::nullopt;
  std::vector<CrashSuspicion> wanted = Wanted(now, guard);
  if (!IsOutdated(wanted)) {
    unsaved_ = 0;
    return std::nullopt;
  }
  call_type_ = Call::kWrite;
  writing_ = std::move(wanted);
  in_write_ = unsaved_;
  call.type = PlatformCall::Type::kWrite;
  call.key = kKey;
  call.value = WriteSuspicions(writing_);
  bool overwrite = revision_ == 0 && conflicts_ >= kConflictsToOverwrite;
  if (!overwrite) call.expected_revision = revision_;
  return call;
}

bool SuspicionStore::ReadDue(TimeMs now, const CrashGuard& guard, bool watching,
                             bool partitioned) {
  if (!loaded_ || (unsaved_ > 0 && !contents_known_)) return true;
  if (!watching || (!partitioned && guard.Size() == 0)) return false;
  return now >= next_read_ ||
         (partitioned && now - last_read_ >= settings_.partition_refresh_ms);
}

/// The suspicions that count. If there are too many, those of the requests that
/// are suspected of the most crashes, the newest first.
std::vector<CrashSuspicion> SuspicionStore::Wanted(
    TimeMs now, const CrashGuard& guard) const {
  std::vector<CrashSuspicion> wanted = guard.Uncleared(now);
  if (wanted.size() <= settings_.max_stored) return wanted;
  std::stable_sort(wanted.begin(), wanted.end(),
                   [&](const CrashSuspicion& a, const CrashSuspicion& b) {
                     int crashes_a = guard.Crashes(now, a.fingerprint);
                     int crashes_b = guard.Crashes(now, b.fingerprint);
                     return crashes_a != crashes_b ? crashes_a > crashes_b
                                                   : a.age_ms < b.age_ms;
                   });
  wanted.resize(settings_.max_stored);
  return wanted;
}

/// Whether the stored contents differ from the wanted ones, or their ages would
/// keep suspicions for too long after a restart of all daemons.
bool SuspicionStore::IsOutdated(
    const std::vector<CrashSuspicion>& wanted) const {
  if (wanted.size() != stored_.size()) return true;
  std::map<SuspicionKey, int64_t> stored_ages;
  for (const CrashSuspicion& suspicion : stored_)
    stored_ages[KeyOf(suspicion)] = suspicion.age_ms;
  return std::any_of(
      wanted.begin(), wanted.end(), [&](const CrashSuspicion& suspicion) {
        auto stored = stored_ages.find(KeyOf(suspicion));
        return stored == stored_ages.end() ||
               suspicion.age_ms - stored->second > 2 * settings_.cleanup_ms;
      });
}

void SuspicionStore::OnSent(uint64_t call) { call_ = call; }

std::vector<CrashSuspicion> SuspicionStore::OnReply(
    TimeMs now, const PlatformReply& reply) {
  if (reply.error) {
    counters_.Add("suspicion_store_failures_total",
                  std::string(NameOf(reply.error->kind)));
    bool conflict = reply.error->kind == ErrorKind::kConflict;
    OnFailed(now, conflict && ++conflicts_ == 1);
    return {};
  }
  Call type = std::exchange(call_type_, Call::kNone);
  call_ = 0;
  if (type == Call::kRead) return OnRead(now, reply);
  counters_.Add("suspicion_store_writes_total");
  conflicts_ = 0;
  revision_ = reply.revision;
  stored_ = std::move(writing_);
  unsaved_ -= std::min(unsaved_, in_write_);
  return {};
}

std::vector<CrashSuspicion> SuspicionStore::OnRead(TimeMs now,
                                                   const PlatformReply& reply) {
  counters_.Add("suspicion_store_reads_total");
  last_read_ = now;
  next_read_ = now + JitteredMs(settings_.cleanup_ms);
  check_contents_ = loaded_;
  loaded_ = true;
  contents_known_ = true;
  revision_ = 0;
  stored_.clear();
  for (const PlatformObject& object : reply.objects) {
    if (object.key != kKey) continue;
    revision_ = object.revision;
    stored_ = ReadSuspicions(object.value, settings_.max_stored);
  }
  return stored_;
}

/// A call that failed may still take effect: the contents must be read again.
void SuspicionStore::OnFailed(TimeMs now, bool may_retry_at_once) {
  call_type_ = Call::kNone;
  call_ = 0;
  contents_known_ = false;
  if (!may_retry_at_once) next_call_ = now + JitteredMs(settings_.retry_ms);
}

/// Uniform between 0.5 and 1.5 times the mean, so that the members do not call
/// at the same time.
int64_t SuspicionStore::JitteredMs(int64_t mean_ms) {
  return mean_ms / 2 +
         static_cast<int64_t>(random_.Below(static_cast<uint64_t>(mean_ms)));
}

}  // namespace banyanloft
