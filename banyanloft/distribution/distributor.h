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

/// Settings of distribution.
struct DistributorSettings {
  int64_t pull_timeout_ms =
      500;  ///< A peer that has not answered a pull by then is given up.
  int64_t watch_ms =
      20000;  ///< Longest time that the platform holds a watch, in ms.
  int64_t platform_timeout_ms =
      3000;  ///< Wait for other platform answers, in ms.
  int64_t platform_backoff_ms =
      500;  ///< First pause after a platform failure, in ms.
  int64_t platform_backoff_cap_ms = 8000;  ///< Longest pause, in ms.
  int64_t poll_per_member_ms =
      500;  ///< Mean time between polls of the whole fleet, in ms.
  int64_t poll_min_ms = 2000;  ///< Shortest mean time between own polls, in ms.
  int64_t pull_pause_ms = 200;  ///< Pause between unprompted pulls, in ms.
  int64_t platform_fallback_ms =
      3000;  ///< Time given to peers before the platform is asked, in ms.
  int64_t start_window_ms =
      100;  ///< A starting daemon reads the platform within this time, in ms.
  size_t startup_zone_peers =
      3;  ///< Peers of the own zone that stand in for the platform.
  int64_t announcement_interval_ms =
      200;                 ///< Rumours are repeated after this time, in ms.
  size_t zone_fanout = 3;  ///< Peers of the own zone told of a new version.
  size_t other_zone_fanout = 2;  ///< Peers of any zone told of a new version.
  size_t max_manifests = 32;     ///< Manifests kept to answer with differences.
};

/// Asks a peer for its configuration, if newer than the asker's.
struct PullRequest {
  uint64_t have_version = 0;
  std::string have_manifest;
};

/// A peer's configuration: whole, or as the difference to what the asker has.
struct PullReply {
  HeadEntry entry;                   ///< Version 0: nothing newer.
  uint64_t base_version = 0;         ///< 0: whole.
  std::vector<std::string> removed;  ///< Names of pieces to drop from the base.
  Pieces pieces;                     ///< Pieces new or changed since the base.
};

/// Reads the platform object `key`; `watch_after` asks to wait for a revision
/// above it.
struct PlatformRead {
  uint64_t id = 0;
  std::string key;
  std::optional<uint64_t> watch_after;
  int64_t wait_ms = 0;
};
/// Tells a peer that this daemon holds `version`.
struct SendAnnouncement {
  std::string gossip;
};
/// Sends a pull request to a peer.
struct SendPull {
  std::string link;
  PullRequest request;
};
/// A new snapshot is in force.
struct Adopted {
  SnapshotPtr snapshot;
};
using DistributorAction =
    std::variant<PlatformRead, SendAnnouncement, SendPull, Adopted>;

/// Answer of the platform to a read.
struct PlatformReadResult {
  uint64_t id = 0;
  std::string key;
  std::optional<Error> error;  ///< The platform failed to answer.
  bool found = false;
  uint64_t revision = 0;  ///< Revision of the object.
  std::string value;
};

/// Brings this daemon to the newest accepted configuration: notices it (watch,
/// poll, rumour), fetches it (platform, peers), checks it whole and adopts it.
/// The version in force never falls. Deterministic; not thread safe; no I/O.
class Distributor {
 public:
  Distributor(const DistributorSettings& settings, std::string own_zone,
              uint64_t seed, TimeMs now);

  using Actions = std::vector<DistributorAction>;

  /// Periodic duties. `watching`: this daemon holds its zone's watch; `peers`:
  /// random live members; `fleet_size`: live members.
  void Tick(TimeMs now, bool watching, const std::vector<Peer>& peers,
            size_t fleet_size, Actions* actions);
  /// A peer holds `version`.
  void OnVersionAnnounced(TimeMs now, const Peer& peer, uint64_t version,
                          Actions* actions);
  /// A peer asks for newer configuration.
  PullReply OnPullRequest(const PullRequest& request) const;
  /// A peer answered a pull.
  void OnPullReply(TimeMs now, const std::string& peer_link,
                   const PullReply& reply, Actions* actions);
  /// The pull to a peer failed.
  void OnPullFailed(TimeMs now, const std::string& peer_link, Actions* actions);
  /// The platform answered or failed.
  void OnPlatform(TimeMs now, const PlatformReadResult& result,
                  Actions* actions);

  /// The configuration in force; null before the first.
  const SnapshotPtr& Current() const { return current_; }
  uint64_t Version() const { return current_ ? current_->Version() : 0; }
  /// The highest version heard of.
  uint64_t NewestKnown() const { return newest_known_; }
  /// Why the last newer version was not adopted; empty if none was refused.
  const std::string& LastRefusal() const { return last_refusal_; }
  /// Where the version in force came from, for `explain`.
  const std::string& Source() const { return source_; }
  /// True from the moment at which the highest version was held that the
  /// platform, or else several peers of the own zone, could name.
  bool StartedUp() const { return started_up_; }
  /// The platform failed the last call.
  bool PlatformDown() const { return platform_failures_ > 0; }
  const Counters& Counts() const { return counters_; }

 private:
  /// A version being fetched from the platform, piece by piece.
  struct Fetch {
    HeadEntry entry;
    Manifest manifest;
    Pieces pieces;
    size_t missing = 0;
    bool bundle = false;  ///< The bundle was asked for instead of the manifest.
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
