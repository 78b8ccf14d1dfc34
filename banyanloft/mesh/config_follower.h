#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "banyanloft/core/counters.h"
#include "banyanloft/core/log.h"
#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"
#include "banyanloft/membership/rendezvous.h"
#include "banyanloft/mesh/mesh_message.h"
#include "banyanloft/mesh/rollout_order.h"
#include "banyanloft/mesh/route_table.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// Parses documents of the store. Implemented by the adapter of a platform.
class ConfigurationReader {
 public:
  virtual ~ConfigurationReader() = default;
  /// Parses a document; any defect in it is an error.
  virtual Result<RouteConfiguration> ReadConfiguration(
      const std::string& text) const = 0;
  /// Parses an order of a roll-out and its status.
  virtual Result<RolloutOrder> ReadRollout(const PlatformObject&) const {
    return Error{ErrorKind::kInvalidConfiguration, "no roll-outs here"};
  }
  /// Formats the status of a roll-out.
  virtual std::string WriteRolloutStatus(RolloutPhase,
                                         const std::string&) const {
    return "";
  }
};

/// A peer's announcement of its active version.
struct VersionAnnouncement {
  std::string link;        ///< Link address of the peer.
  bool same_zone = false;  ///< The peer is in this member's zone.
  uint64_t version = 0;
  /// Time since the store was last known to hold nothing newer, in ms,
  /// according to the peer; negative if unknown.
  int64_t age_ms = -1;
  /// If the store was restored: its generation when the peer's document was
  /// read from it, and the hash of the document. Otherwise 0.
  uint64_t generation = 0;
  uint64_t hash = 0;
};

/// Settings of ConfigFollower.
struct ConfigFollowerSettings {
  std::string prefix = "documents/";     ///< Key prefix to list and watch.
  std::string key = "documents/routes";  ///< Key of the document.
  /// Longest duration of one watch request, in ms. Bounds the time until a
  /// silently broken connection is detected.
  int64_t watch_wait_ms = 2000;
  int64_t timeout_ms = 800;  ///< Timeout of a call, beyond a watch's wait.
  /// Members that do not watch poll once their version has not been confirmed
  /// for this long, in ms, and at this period from then on. They use cheap
  /// reads that may be stale. A watch response and the gossip of it take at
  /// most about four seconds, so a healthy fleet does not poll.
  int64_t poll_ms = 5000;
  /// Mean period of each member's reads while the store holds no document, in
  /// ms. Short enough for a single member to adopt the first version within the
  /// two seconds allowed for a version to take effect.
  int64_t empty_poll_ms = 1000;
  int64_t backoff_ms = 150;       ///< Delay after the first failure, in ms.
  int64_t backoff_cap_ms = 1500;  ///< Longest delay after failures, in ms.
  int64_t pull_timeout_ms = 400;  ///< Timeout of a pull from a peer, in ms.
  /// Delay before a version announced only from another zone is pulled from
  /// that zone, in ms: a few gossip rounds, in which this zone's watchers may
  /// fetch it. Each member adds a random delay of up to the same length, so
  /// that usually only one of them pulls across zones.
  int64_t cross_zone_pull_delay_ms = 300;
  /// The first read waits at most this long for the startup load, in ms.
  int64_t startup_load_wait_ms = 150;
  /// Bandwidth of this instance's link and of the store's, in bytes per ms;
  /// 1 Gbit/s each by default.
  int64_t link_bytes_per_ms = 125000;
  int64_t store_bytes_per_ms = 125000;
  /// Longest delay of the first read, in ms: bounded, because the other members
  /// that the startup load counts may not start.
  int64_t start_delay_max_ms = 1500;
  size_t max_members = 100000;           ///< Larger member counts are clamped.
  size_t max_document_bytes = 32 << 20;  ///< Limit for a document from a peer.
};

/// Action: request a peer's document.
struct PullDocument {
  std::string link;
  DocumentRequest request;
};
/// Event: a version was adopted.
struct TableAdopted {
  RouteTablePtr table;
};
using ConfigFollowerAction =
    std::variant<PlatformCall, PullDocument, TableAdopted, LogRecord>;

/// Keeps the active configuration up to date with the store. Some members
/// watch the store; the others pull versions that peers announce by gossip, and
/// poll the store as a fallback. A version is adopted as a whole, and only if
/// its number is higher, or the same with another text after a restore of the
/// store. If a document is invalid, the last valid version stays
/// active. Deterministic; not thread safe; free of I/O.
class ConfigFollower {
 public:
  using Actions = std::vector<ConfigFollowerAction>;

  ConfigFollower(const ConfigFollowerSettings& settings, uint64_t seed,
                 TimeMs now, const ConfigurationReader* reader);

  /// The store answered the outstanding call.
  void OnStore(TimeMs now, const PlatformReply& reply, Actions* actions);
  /// The number of members that start at the same time, and the size of their
  /// document, are known. Delays the first read by the transfer time of the
  /// document on this instance's link, plus a random part of the time that the
  /// store needs to serve all members. Meanwhile members with faster links read
  /// the document and announce it, and the others pull it from them in
  /// compressed form.
  void OnStartupLoad(TimeMs now, const StartupLoad& load);
  /// A peer announced its active version.
  void OnVersionAnnounced(TimeMs now, const VersionAnnouncement& announcement,
                          Actions* actions);
  /// A peer requests the document.
  DocumentReply OnDocumentRequest(const DocumentRequest& request) const;
  /// A peer sent its document.
  void OnDocument(const DocumentReply& reply, Actions* actions);
  /// Starts calls and pulls, and handles their timeouts. `watching`: this
  /// member is one of its zone's watchers.
  void Tick(TimeMs now, bool watching, Actions* actions);

  uint64_t Version() const { return table_ ? table_->Version() : 0; }
  const RouteTablePtr& Table() const { return table_; }
  /// Uncompressed size of the active document.
  size_t DocumentBytes() const { return text_bytes_; }
  /// Time since the store was last known to hold nothing newer than the active
  /// version, in ms; negative if unknown.
  int64_t VersionAgeMs(TimeMs now) const {
    return confirmed_at_ ? now - *confirmed_at_ : -1;
  }
  /// What VersionAnnouncement tells of the active document after a restore of
  /// the store that this member or a peer saw; 0 if there was none.
  uint64_t DocumentGeneration() const {
    return restore_known_ ? document_generation_ : 0;
  }
  uint64_t DocumentHash() const { return text_hash_; }
  /// False while calls to the store fail.
  bool StoreReachable() const { return failures_ == 0; }
  const Counters& Counts() const { return counters_; }

 private:
  enum class Call : uint8_t { kNone, kRead, kStaleRead, kWatch };
  /// Where a document came from.
  enum class Source : uint8_t { kRead, kStaleRead, kWatch, kPeer };
  static const char* NameOf(Source source);
  static Source SourceOf(Call call);

  bool CallDue(TimeMs now, bool watching) const;
  void StartCall(TimeMs now, bool watching, Actions* actions);
  bool ShowsRestore(const PlatformReply& reply) const;
  void OnRestored(const PlatformReply& reply, Actions* actions);
  bool Supersedes(uint64_t version, Source source) const;
  void OnSameVersionAnnounced(TimeMs now,
                              const VersionAnnouncement& announcement,
                              Actions* actions);
  void UpdateRevision(TimeMs now, Call call, bool restored,
                      const PlatformReply& reply);
  void OnCallFailed(TimeMs now, const std::string& reason, Actions* actions);
  void Pull(TimeMs now, const VersionAnnouncement& announcement,
            Actions* actions);
  void TryAdopt(const std::string& text, std::string packed, Source source,
                Actions* actions);

  ConfigFollowerSettings settings_;
  Random random_;
  const ConfigurationReader* reader_;
  RouteTablePtr table_;
  std::string packed_;          ///< The active document, compressed for peers.
  uint64_t text_hash_ = 0;      ///< Hash of the active document.
  size_t text_bytes_ = 0;       ///< Uncompressed size of the active document.
  uint64_t rejected_hash_ = 0;  ///< Hash of the last document rejected.
  uint64_t revision_ = 0;       ///< Store revision of the last reply.
  uint64_t generation_ = 0;     ///< Of the store; see PlatformReply.
  bool restore_known_ = false;  ///< This member or a peer saw a restore.
  /// Generation of the store when the active document was last read from it, by
  /// this member or by the peers that it came from; 0 if unknown.
  uint64_t document_generation_ = 0;
  Call call_ = Call::kNone;
  TimeMs call_deadline_;
  TimeMs next_call_;
  bool startup_load_known_ = false;
  /// When the store was last known to hold nothing newer than the active
  /// version: from a reply that cannot be stale, received by this member or by
  /// a peer that announced the version.
  std::optional<TimeMs> confirmed_at_;
  int failures_ = 0;
  uint64_t pull_version_ = 0;     ///< Version being pulled; 0: none.
  uint64_t pull_generation_ = 0;  ///< Generation of that version's document.
  TimeMs pull_deadline_;
  /// Newest version announced only from another zone; version 0: none.
  VersionAnnouncement cross_zone_;
  TimeMs cross_zone_pull_at_;  ///< When to pull it from that peer.
  Counters counters_;
};

}  // namespace banyanloft
