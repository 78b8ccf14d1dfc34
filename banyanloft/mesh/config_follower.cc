#include "banyanloft/mesh/config_follower.h"

#include <algorithm>
#include <array>

#include "banyanloft/core/compress.h"
#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

constexpr int kMaxBackoffDoublings = 5;

}  // namespace

ConfigFollower::ConfigFollower(const ConfigFollowerSettings& settings,
                               uint64_t seed, TimeMs now,
                               const ConfigurationReader* reader)
    : settings_(settings),
      random_(seed),
      reader_(reader),
      next_call_(now + settings.startup_load_wait_ms) {}

void ConfigFollower::OnStartupLoad(TimeMs now, const StartupLoad& load) {
  if (startup_load_known_ || table_ || failures_ > 0 || call_ != Call::kNone)
    return;
  startup_load_known_ = true;
  // Any member may have written the values, so they are clamped.
  int64_t bytes = static_cast<int64_t>(
      std::min(load.document_bytes, settings_.max_document_bytes));
  int64_t members =
      static_cast<int64_t>(std::min(load.members, settings_.max_members));
  int64_t own_ms = bytes / settings_.link_bytes_per_ms;
  int64_t all_ms = bytes * members / settings_.store_bytes_per_ms;
  all_ms = std::min(all_ms, settings_.start_delay_max_ms);
  int64_t share_ms =
      static_cast<int64_t>(random_.Below(static_cast<uint64_t>(all_ms) + 1));
  next_call_ = now + std::min(own_ms + share_ms, settings_.start_delay_max_ms);
}

void ConfigFollower::Tick(TimeMs now, bool watching, Actions* actions) {
  if (pull_version_ != 0 && now >= pull_deadline_) pull_version_ = 0;
  bool cross_zone_due = cross_zone_.version != 0 && now >= cross_zone_pull_at_;
  if (cross_zone_due) {
    if (cross_zone_.version > std::max(Version(), pull_version_)) {
      counters_.Add("config_far_pulls_total");
      Pull(now, cross_zone_, actions);
    }
    cross_zone_ = VersionAnnouncement();
  }
  if (call_ != Call::kNone && now >= call_deadline_) {
    call_ = Call::kNone;
    OnCallFailed(now, "store call timed out", actions);
  }
  if (call_ == Call::kNone && CallDue(now, watching))
    StartCall(now, watching, actions);
}

bool ConfigFollower::CallDue(TimeMs now, bool watching) const {
  // A member that becomes a watcher does not wait for its next poll.
  if (watching && failures_ == 0 && table_) return true;
  if (now < next_call_) return false;
  // The first version is already being pulled from a peer.
  if (!table_ && pull_version_ != 0) return false;
  bool polls = !watching && table_ && failures_ == 0;
  return !polls || !confirmed_at_ || now - *confirmed_at_ >= settings_.poll_ms;
}

void ConfigFollower::StartCall(TimeMs now, bool watching, Actions* actions) {
  PlatformCall call;
  call.type = PlatformCall::Type::kList;
  call.key = settings_.prefix;
  bool watch = watching && table_ && revision_ != 0 && failures_ == 0;
  if (watch) {
    call.watch_after = revision_;
    call.wait_ms = settings_.watch_wait_ms;
    call_ = Call::kWatch;
    call_deadline_ = now + settings_.watch_wait_ms + settings_.timeout_ms;
  } else {
    // The first version may have come from a peer that cannot reach the store:
    // stale reads are not allowed until it has been confirmed.
    call.allow_stale = table_ != nullptr && !watching && confirmed_at_;
    call_ = call.allow_stale ? Call::kStaleRead : Call::kRead;
    call_deadline_ = now + settings_.timeout_ms;
  }
  counters_.Add("config_reads_total", watch ? "watch" : "read");
  actions->push_back(std::move(call));
}

void ConfigFollower::OnCallFailed(TimeMs now, const std::string& reason,
                                  Actions* actions) {
  counters_.Add("config_read_failures_total");
  if (failures_ == 0) {
    actions->push_back(LogRecord{
        LogLevel::kWarning,
        "store_lost",
        {{"reason", reason}, {"version", std::to_string(Version())}}});
  }
  int doublings = std::min(failures_, kMaxBackoffDoublings);
  ++failures_;
  int64_t pause_ms =
      std::min(settings_.backoff_ms << doublings, settings_.backoff_cap_ms);
  int64_t jitter_ms = static_cast<int64_t>(
      random_.Below(static_cast<uint64_t>(pause_ms) / 2 + 1));
  next_call_ = now + pause_ms * 3 / 4 + jitter_ms;
}

/// Whether a reply shows that the store was restored since the last one. A
/// stale read may come from a replica that has not been restored yet.
bool ConfigFollower::ShowsRestore(const PlatformReply& reply) const {
  if (reply.generation == 0 || generation_ == 0) return false;
  return call_ == Call::kStaleRead ? reply.generation > generation_
                                   : reply.generation != generation_;
}

/// The store was restored from an older copy: its revisions went back, and
/// nothing that was confirmed before counts.
void ConfigFollower::OnRestored(const PlatformReply& reply, Actions* actions) {
  counters_.Add("config_store_restored_total");
  actions->push_back(
      LogRecord{LogLevel::kWarning,
                "store_restored",
                {{"generation", std::to_string(reply.generation)},
                 {"before", std::to_string(generation_)},
                 {"revision", std::to_string(reply.revision)},
                 {"known_revision", std::to_string(revision_)},
                 {"version", std::to_string(Version())}}});
  revision_ = 0;
  confirmed_at_.reset();
  restore_known_ = true;
}

void ConfigFollower::OnStore(TimeMs now, const PlatformReply& reply,
                             Actions* actions) {
  if (call_ == Call::kNone) return;
  if (!reply.malformed_generation.empty()) {
    counters_.Add("config_generation_malformed_total");
    actions->push_back(LogRecord{LogLevel::kWarning,
                                 "store_generation_malformed",
                                 {{"text", reply.malformed_generation}}});
  }
  bool restored = ShowsRestore(reply);
  if (restored) OnRestored(reply, actions);
  if (restored || generation_ == 0) generation_ = reply.generation;
  Call call = call_;
  call_ = Call::kNone;
  if (reply.error && reply.error->kind == ErrorKind::kHistoryLost) {
    // A read returns the current state, from which to resume watching.
    revision_ = 0;
    next_call_ = now;
    counters_.Add("config_history_lost_total");
    return;
  }
  if (reply.error) return OnCallFailed(now, reply.error->detail, actions);
  if (failures_ > 0) {
    actions->push_back(
        LogRecord{LogLevel::kInfo,
                  "store_regained",
                  {{"failures", std::to_string(failures_)},
                   {"revision", std::to_string(reply.revision)}}});
  }
  failures_ = 0;
  UpdateRevision(now, call, restored, reply);
  for (const PlatformObject& object : reply.objects) {
    if (object.key == settings_.key)
      TryAdopt(object.value, "", SourceOf(call), actions);
  }
  // Nothing has been written yet. The first member to read a version announces
  // it to the others.
  if (!table_) {
    uint64_t spread_ms = static_cast<uint64_t>(settings_.empty_poll_ms);
    next_call_ = now + settings_.empty_poll_ms / 2 +
                 static_cast<int64_t>(random_.Below(spread_ms));
  }
}

/// Records up to which revision the store's state is known. A watch that began
/// before a restore, or a stale read after one, says nothing about that: the
/// state is read anew.
void ConfigFollower::UpdateRevision(TimeMs now, Call call, bool restored,
                                    const PlatformReply& reply) {
  if (restored && call != Call::kRead) {
    next_call_ = now;
    return;
  }
  next_call_ = call == Call::kWatch ? now : now + settings_.poll_ms;
  if (call != Call::kStaleRead) confirmed_at_ = now;
  // A stale read may name a revision whose changes it does not hold.
  if (call == Call::kRead) revision_ = reply.revision;
  if (call == Call::kWatch) revision_ = std::max(revision_, reply.revision);
}

void ConfigFollower::OnVersionAnnounced(TimeMs now,
                                        const VersionAnnouncement& announcement,
                                        Actions* actions) {
  uint64_t version = announcement.version;
  if (announcement.generation != 0) restore_known_ = true;
  if (version == Version() && version != 0)
    return OnSameVersionAnnounced(now, announcement, actions);
  bool newer = version > Version() && version > pull_version_;
  if (!newer || announcement.link.empty()) return;
  // Without any version no requests are served, which outweighs the cost of
  // cross-zone traffic.
  if (announcement.same_zone || !table_)
    return Pull(now, announcement, actions);
  if (version <= cross_zone_.version) return;
  if (cross_zone_.version == 0) {
    int64_t jitter_ms = static_cast<int64_t>(random_.Below(
        static_cast<uint64_t>(settings_.cross_zone_pull_delay_ms)));
    cross_zone_pull_at_ = now + settings_.cross_zone_pull_delay_ms + jitter_ms;
  }
  cross_zone_ = announcement;
}

/// A peer has the same version. Its confirmation counts unless it has another
/// text; if the peer's text was read from a store that has been restored since
/// this member's was, it replaces that.
void ConfigFollower::OnSameVersionAnnounced(
    TimeMs now, const VersionAnnouncement& announcement, Actions* actions) {
  bool same_text =
      announcement.generation == 0 || announcement.hash == text_hash_;
  bool later_read = announcement.generation > document_generation_;
  if (!same_text) {
    bool may_pull = pull_version_ == 0 && !announcement.link.empty();
    if (later_read && may_pull) Pull(now, announcement, actions);
    return;
  }
  if (later_read) document_generation_ = announcement.generation;
  if (announcement.age_ms < 0) return;
  TimeMs confirmed_at = now + -announcement.age_ms;
  if (!confirmed_at_ || confirmed_at > *confirmed_at_)
    confirmed_at_ = confirmed_at;
}

void ConfigFollower::Pull(TimeMs now, const VersionAnnouncement& announcement,
                          Actions* actions) {
  pull_version_ = announcement.version;
  pull_generation_ = announcement.generation;
  pull_deadline_ = now + settings_.pull_timeout_ms;
  counters_.Add("config_pulls_total");
  // Another text of the active version is not sent to a peer that names it.
  bool replaces = announcement.version == Version();
  uint64_t have_version = replaces ? Version() - 1 : Version();
  actions->push_back(
      PullDocument{announcement.link, DocumentRequest{have_version}});
}

DocumentReply ConfigFollower::OnDocumentRequest(
    const DocumentRequest& request) const {
  if (Version() <= request.have_version) return {};
  return {Version(), packed_};
}

void ConfigFollower::OnDocument(const DocumentReply& reply, Actions* actions) {
  bool replaces = reply.version != 0 && reply.version == Version() &&
                  reply.version == pull_version_;
  bool wanted = reply.version > Version() || replaces;
  std::optional<std::string> text;
  if (wanted) text = Decompress(reply.packed, settings_.max_document_bytes);
  if (text) TryAdopt(*text, reply.packed, Source::kPeer, actions);
  pull_version_ = 0;
  pull_generation_ = 0;
  if (text || !wanted) return;
  counters_.Add("config_ignored_total", "damaged");
  actions->push_back(LogRecord{
      LogLevel::kError,
      "version_rejected",
      {{"problem", "document damaged in transit, or larger than the limit"},
       {"source", "peer"},
       {"bytes", std::to_string(reply.packed.size())},
       {"in_force", std::to_string(Version())}}});
}

const char* ConfigFollower::NameOf(Source source) {
  constexpr std::array<const char*, 4> kNames = {"read", "read", "watch",
                                                 "peer"};
  return kNames[static_cast<size_t>(source)];
}

ConfigFollower::Source ConfigFollower::SourceOf(Call call) {
  if (call == Call::kWatch) return Source::kWatch;
  return call == Call::kStaleRead ? Source::kStaleRead : Source::kRead;
}

/// Whether a document with this number may replace the active one. After a
/// restore the operators may give out a lost number again: the text that the
/// restored store holds then replaces one that was read from it before.
bool ConfigFollower::Supersedes(uint64_t version, Source source) const {
  if (version != Version()) return version > Version();
  if (source == Source::kPeer)
    return pull_version_ == version && pull_generation_ > document_generation_;
  return source != Source::kStaleRead && generation_ > document_generation_;
}

/// Adopts a document if it is valid and newer. `packed` is its compressed form,
/// empty if it was received uncompressed.
void ConfigFollower::TryAdopt(const std::string& text, std::string packed,
                              Source source, Actions* actions) {
  uint64_t hash = FastHash(text);
  bool from_store = source == Source::kRead || source == Source::kWatch;
  if (hash == text_hash_ && from_store) document_generation_ = generation_;
  if (hash == text_hash_ || hash == rejected_hash_) return;
  std::string problem;
  Result<RouteConfiguration> read = reader_->ReadConfiguration(text);
  RouteTablePtr table;
  if (const Error* error = ErrorOf(read)) {
    problem = error->detail;
  } else if (!Supersedes(ValueOf(read)->version, source)) {
    counters_.Add("config_ignored_total", "older");
    return;
  } else {
    Result<RouteTablePtr> made = RouteTable::Create(std::move(*ValueOf(read)));
    if (const Error* flaw = ErrorOf(made)) {
      problem = flaw->detail;
    } else {
      table = *ValueOf(made);
    }
  }
  if (!table) {
    rejected_hash_ = hash;
    counters_.Add("config_ignored_total", "unreadable");
    actions->push_back(LogRecord{LogLevel::kError,
                                 "version_rejected",
                                 {{"problem", problem},
                                  {"source", NameOf(source)},
                                  {"in_force", std::to_string(Version())}}});
    return;
  }
  if (packed.empty()) packed = Compress(text);
  actions->push_back(
      LogRecord{LogLevel::kInfo,
                "version_adopted",
                {{"version", std::to_string(table->Version())},
                 {"before", std::to_string(Version())},
                 {"source", NameOf(source)},
                 {"bytes", std::to_string(text.size())},
                 {"packed_bytes", std::to_string(packed.size())},
                 {"routes", std::to_string(table->Config().routes.size())}}});
  table_ = table;
  packed_ = std::move(packed);
  text_hash_ = hash;
  text_bytes_ = text.size();
  if (from_store) document_generation_ = generation_;
  if (source == Source::kPeer) document_generation_ = pull_generation_;
  if (source == Source::kStaleRead) document_generation_ = 0;
  counters_.Add("config_adopted_total", NameOf(source));
  actions->push_back(TableAdopted{std::move(table)});
}

}  // namespace banyanloft
