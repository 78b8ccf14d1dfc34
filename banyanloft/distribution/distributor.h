#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "banyanloft/config/snapshot.h"
#include "banyanloft/core/counters.h"
#include "banyanloft/core/random.h"
#include "banyanloft/core/time.h"
#include "banyanloft/distribution/head.h"
#include "banyanloft/membership/peer_selection.h"

namespace banyanloft {

struct DistributorSettings {
  int64_t pull_timeout_ms = 500;  ///< Time-out of a pull from a peer, in ms.
  int64_t watch_ms =
      20000;  ///< Longest wait of a watch at the platform, in ms.
  int64_t platform_timeout_ms =
      3000;  ///< Time-out of other platform reads, in ms.
  int64_t platform_backoff_ms =
      500;  ///< Back-off after the first platform failure, in ms.
  int64_t platform_backoff_cap_ms = 8000;  ///< Maximum back-off, in ms.
  int64_t poll_per_member_ms =
      500;  ///< Mean interval between polls of the whole fleet, in ms.
  int64_t poll_min_ms = 2000;   ///< Minimum mean interval of own polls, in ms.
  int64_t pull_pause_ms = 200;  ///< Interval of pulls started by Tick, in ms.
  int64_t platform_fallback_ms =
      3000;  ///< Time given to peers before the platform is read, in ms.
  int64_t start_window_ms = 100;  ///< Added to the range of the random delay of
                                  ///< the first platform read, in ms.
  size_t startup_zone_peers =
      3;  ///< Peers of the own zone whose versions suffice to become ready
          ///< without the platform.
  int64_t announcement_interval_ms =
      200;                       ///< Interval between announcements, in ms.
  size_t zone_fanout = 3;        ///< Announcement targets in the own zone.
  size_t other_zone_fanout = 2;  ///< Announcement targets in other zones.
  size_t max_manifests = 32;     ///< Manifests kept to compute differences.
};

/// Requests a peer's configuration if it is newer than the requester's.
struct PullRequest {
  uint64_t have_version = 0;
  std::string have_manifest;
};

/// A peer's configuration: complete, or the difference from the requester's.
struct PullReply {
  HeadEntry entry;            ///< Version 0: nothing newer.
  uint64_t base_version = 0;  ///< 0: complete.
  std::vector<std::string>
      removed;    ///< Names of pieces removed since the base.
  Pieces pieces;  ///< Pieces new or changed since the base.
};

/// Reads the platform object `key`; `watch_after` asks to wait for a revision
/// above it.
struct PlatformRead {
  uint64_t id = 0;
  std::string key;
  std::optional<uint64_t> watch_after;
  int64_t wait_ms = 0;
};
/// Announces the active version to a peer.
struct SendAnnouncement {
  std::string gossip;
};
/// Sends a pull request to a peer.
struct SendPull {
  std::string link;
  PullRequest request;
};
/// A new snapshot has become active.
struct Adopted {
  SnapshotPtr snapshot;
};
using DistributorAction =
    std::variant<PlatformRead, SendAnnouncement, SendPull, Adopted>;

/// Result of a platform read.
struct PlatformReadResult {
  uint64_t id = 0;
  std::string key;
  std::optional<Error> error;  ///< The platform failed to answer.
  bool found = false;
  uint64_t revision = 0;  ///< Revision of the object.
  std::string value;
};

/// Keeps this daemon on the newest accepted configuration: detects new versions
/// (watch, poll, announcement), fetches them (platform, peers), validates and
/// adopts them. The active version never decreases. Deterministic; not
/// thread-safe; performs no I/O.
class Distributor {
 public:
  Distributor(const DistributorSettings& settings, std::string own_zone,
              uint64_t seed, TimeMs now);

  using Actions = std::vector<DistributorAction>;

  /// Runs periodic work. `watching`: this daemon watches the platform for its
  /// zone; `peers`: random live members; `fleet_size`: number of live members.
  void Tick(TimeMs now, bool watching, const std::vector<Peer>& peers,
            size_t fleet_size, Actions* actions);
  /// A peer announced that its active version is `version`.
  void OnVersionAnnounced(TimeMs now, const Peer& peer, uint64_t version,
                          Actions* actions);
  /// A peer requests a newer configuration.
  PullReply OnPullRequest(const PullRequest& request) const;
  /// A peer replied to a pull.
  void OnPullReply(TimeMs now, const std::string& peer_link,
                   const PullReply& reply, Actions* actions);
  /// The pull to a peer failed.
  void OnPullFailed(TimeMs now, const std::string& peer_link, Actions* actions);
  /// A platform read completed or failed.
  void OnPlatform(TimeMs now, const PlatformReadResult& result,
                  Actions* actions);

  /// The active configuration; null before the first.
  const SnapshotPtr& Current() const { return current_; }
  uint64_t Version() const { return current_ ? current_->Version() : 0; }
  /// The highest version known to exist.
  uint64_t NewestKnown() const { return newest_known_; }
  /// Why the last newer version was rejected; empty if none was.
  const std::string& LastRefusal() const { return last_refusal_; }
  /// Source of the active version, for `explain`.
  const std::string& Source() const { return source_; }
  /// True once the active version was the highest known after the platform head
  /// was read or enough peers of the own zone had announced theirs.
  bool StartedUp() const { return started_up_; }
  /// True if the last platform read failed.
  bool PlatformDown() const { return platform_failures_ > 0; }
  const Counters& Counts() const { return counters_; }

 private:
  /// Fetch of a version from the platform in progress.
  struct Fetch {
    HeadEntry entry;
    Manifest manifest;
    Pieces pieces;
    size_t missing = 0;
    bool bundle = false;  ///< Reading the bundle, not the manifest.
  };

  uint64_t Read(const std::string& key, std::optional<uint64_t> watch_after,
                int64_t wait_ms, Actions* actions);
  void CheckStartedUp(size_t zone_peers);
  void ReadHead(TimeMs now, bool watching, Actions* actions);
  void OnHead(TimeMs now, const PlatformReadResult& result, Actions* actions);
  void StartFetch(TimeMs now, const HeadEntry& entry, Actions* actions);
  void ReadManifest(Actions* actions);
  void OnBundle(TimeMs now, const PlatformReadResult& result, Actions* actions);
  void UpdateBehind(TimeMs now);
  void OnManifest(TimeMs now, const PlatformReadResult& result,
                  Actions* actions);
  void OnPiece(TimeMs now, const PlatformReadResult& result, Actions* actions);
  void OnPlatformFailure(TimeMs now);
  void StartPull(TimeMs now, const std::string& link, Actions* actions);
  void Adopt(TimeMs now, const HeadEntry& entry, Pieces pieces,
             const std::string& source, Actions* actions);
  void Reject(const HeadEntry& entry, const std::string& source,
              const std::string& reason);
  void AnnounceVersion(const std::vector<Peer>& peers, Actions* actions);

  DistributorSettings settings_;
  std::string own_zone_;
  Random random_;
  SnapshotPtr current_;
  std::map<uint64_t, std::pair<std::string, Manifest>> manifests_;
  uint64_t newest_known_ = 0;
  std::string last_refusal_;
  std::string source_;
  Counters counters_;

  uint64_t next_read_id_ = 1;
  uint64_t head_read_ = 0;
  TimeMs head_read_deadline_;
  bool head_read_watches_ = false;
  uint64_t head_revision_ = 0;
  HeadEntry head_newest_;
  bool behind_ = false;
  TimeMs behind_since_;
  bool head_seen_ = false;
  TimeMs next_head_read_;
  int platform_failures_ = 0;
  std::optional<Fetch> fetch_;
  std::map<uint64_t, std::string> fetch_reads_;
  TimeMs fetch_deadline_;

  bool started_up_ = false;
  std::set<std::string> zone_peers_heard_;

  std::string pulling_from_;
  TimeMs next_pull_;
  TimeMs pull_deadline_;
  std::deque<std::string> pull_candidates_;
  int announcements_left_ = 0;
  TimeMs next_announcement_;
};

}  // namespace banyanloft
