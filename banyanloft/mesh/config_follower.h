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
#include "banyanloft/mesh/route_table.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// Reads a document of the store. Implemented by the adapter of a platform.
class ConfigurationReader {
 public:
  virtual ~ConfigurationReader() = default;
  /// The configuration in a document; fails whole on any flaw.
  virtual Result<RouteConfiguration> ReadConfiguration(
      const std::string& text) const = 0;
};

/// Settings of following the configuration.
struct ConfigFollowerSettings {
  std::string prefix = "documents/";  ///< Keys among which the document lies.
  std::string key = "documents/routes";  ///< Key of the document.
  /// Longest wait of one watch, in ms. It bounds for how long a watch whose
  /// connection died in silence goes unnoticed.
  int64_t watch_wait_ms = 2000;
  int64_t timeout_ms = 800;  ///< Wait for an answer beyond the watch's, in ms.
  /// Members that do not watch read once nobody has confirmed their version for
  /// this long, in ms, and then this often; by a read that may be out of date
  /// and costs little. A watch that answers and the rumours of it take about
  /// four seconds at most, so a healthy fleet does not poll.
  int64_t poll_ms = 5000;
  /// While the store holds no document, each member reads this often on
  /// average, in ms. One that is alone still has it within the two seconds in
  /// which versions come in force.
  int64_t empty_poll_ms = 1000;
  int64_t backoff_ms = 150;       ///< First pause after a failure, in ms.
  int64_t backoff_cap_ms = 1500;  ///< Longest pause after failures, in ms.
  int64_t pull_timeout_ms = 400;  ///< Wait for a peer's document, in ms.
  /// Time that a version known of in another zone only is left to this zone's
  /// watchers before it is pulled from there, in ms: a few gossip rounds. Each
  /// member waits up to as long again, so that one of them fetches it for all.
  int64_t cross_zone_pull_delay_ms = 300;
  /// The first read waits this long at most for the load of the herd, in ms.
  int64_t startup_load_wait_ms = 150;
  /// What this instance's link and the store's carry, in bytes a ms: 1 Gbit/s
  /// each unless the settings tell another.
  int64_t link_bytes_per_ms = 125000;
  int64_t store_bytes_per_ms = 125000;
  /// A first read is put off by this at most, in ms: the other members that
  /// are counted on may not start.
  int64_t start_delay_max_ms = 1500;
  size_t max_members = 100000;           ///< Larger fleets are not believed.
  size_t max_document_bytes = 32 << 20;  ///< Longest document from a peer.
};

/// Asks a peer for its document.
struct PullDocument {
  std::string link;
  DocumentRequest request;
};
/// A version was adopted.
struct TableAdopted {
  RouteTablePtr table;
};
using ConfigFollowerAction =
    std::variant<PlatformCall, PullDocument, TableAdopted, LogRecord>;

/// Brings the store's configuration in force: by watch at some members, by
/// rumour and pull at the rest, by polls as the net below. A version is adopted
/// whole and only if its number is higher. Unreadable content leaves the last
/// good version in force. Deterministic; not thread safe; free of I/O.
class ConfigFollower {
 public:
  using Actions = std::vector<ConfigFollowerAction>;

  ConfigFollower(const ConfigFollowerSettings& settings, uint64_t seed,
                 TimeMs now, const ConfigurationReader* reader);

  /// The store answered the call under way.
  void OnStore(TimeMs now, const PlatformReply& reply, Actions* actions);
  /// The load of a herd that starts together is known. Puts the first read off
  /// by the time that its answer would take on this instance's link, and at
  /// random over the time that the store needs for all: by then members with
  /// faster links have the document and tell the others, to whom it goes
  /// packed.
  void OnStartupLoad(TimeMs now, const StartupLoad& load);
  /// A peer has a version in force. `near`: it is in the same zone. `age_ms`:
  /// how long ago the store held nothing newer, as the peer knows; negative:
  /// not known.
  void OnVersionAnnounced(TimeMs now, const std::string& link, bool near,
                          uint64_t version, int64_t age_ms, Actions* actions);
  /// A peer asks for the document.
  DocumentReply OnDocumentRequest(const DocumentRequest& request) const;
  /// A peer sent its document.
  void OnDocument(const DocumentReply& reply, Actions* actions);
  /// Calls, pulls and their time-outs. `watching`: this member is one of those
  /// that watch for their zone.
  void Tick(TimeMs now, bool watching, Actions* actions);

  uint64_t Version() const { return table_ ? table_->Version() : 0; }
  const RouteTablePtr& Table() const { return table_; }
  /// Length of the document in force, as the store holds it.
  size_t DocumentBytes() const { return text_bytes_; }
  /// How long ago the store is known to have held nothing newer than the
  /// version in force, in ms; negative: not known.
  int64_t VersionAgeMs(TimeMs now) const {
    return confirmed_at_ ? now - *confirmed_at_ : -1;
  }
  /// False while calls to the store fail.
  bool StoreReachable() const { return failures_ == 0; }
  const Counters& Counts() const { return counters_; }

 private:
  enum class Call : uint8_t { kNone, kRead, kStaleRead, kWatch };

  bool CallDue(TimeMs now, bool watching) const;
  void StartCall(TimeMs now, bool watching, Actions* actions);
  void OnCallFailed(TimeMs now, const std::string& reason, Actions* actions);
  void Pull(TimeMs now, const std::string& link, uint64_t version,
            Actions* actions);
  void Consider(const std::string& text, std::string packed, const char* source,
                Actions* actions);

  ConfigFollowerSettings settings_;
  Random random_;
  const ConfigurationReader* reader_;
  RouteTablePtr table_;
  std::string packed_;         ///< The document in force, as peers get it.
  uint64_t text_hash_ = 0;     ///< Of the document in force.
  size_t text_bytes_ = 0;      ///< The same.
  uint64_t refused_hash_ = 0;  ///< Of the last one that could not be read.
  uint64_t revision_ = 0;      ///< Of the store, as of the last answer.
  Call call_ = Call::kNone;
  TimeMs call_deadline_;
  TimeMs next_call_;
  bool herd_known_ = false;
  /// When the store is last known to have held nothing newer: by an answer
  /// that was not out of date, here or at the peers who spread it.
  std::optional<TimeMs> confirmed_at_;
  int failures_ = 0;
  uint64_t pull_version_ = 0;  ///< Version asked of a peer; 0: none.
  TimeMs pull_deadline_;
  uint64_t far_version_ = 0;  ///< Newest known in another zone only; 0: none.
  std::string far_link_;      ///< Who has it.
  TimeMs far_pull_at_;        ///< When it is pulled from there.
  Counters counters_;
};

}  // namespace banyanloft
