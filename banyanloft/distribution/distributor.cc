#include "banyanloft/distribution/distributor.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

constexpr int kAnnouncementRounds = 2;
constexpr int kMaxBackoffDoublings = 6;
constexpr size_t kMaxPullCandidates = 8;

}  // namespace

Distributor::Distributor(const DistributorSettings& settings,
                         std::string own_zone, uint64_t seed, TimeMs now)
    : settings_(settings), own_zone_(std::move(own_zone)), random_(seed) {
  // Peers are asked first at start-up, so that daemons starting together do
  // not overload the platform.
  uint64_t window = static_cast<uint64_t>(settings.start_window_ms +
                                          settings.platform_fallback_ms) +
                    1;
  next_head_read_ = now + settings_.platform_fallback_ms +
                    static_cast<int64_t>(random_.Below(window));
}

void Distributor::Tick(TimeMs now, bool watching,
                       const std::vector<Peer>& peers, size_t fleet_size,
                       Actions* actions) {
  // Expire overdue requests.
  if (head_read_ != 0 && now >= head_read_deadline_) {
    head_read_ = 0;
    OnPlatformFailure(now);
  }
  if (fetch_ && now >= fetch_deadline_) {
    fetch_.reset();
    fetch_reads_.clear();
    OnPlatformFailure(now);
  }
  if (!pulling_from_.empty() && now >= pull_deadline_) {
    counters_.Add("distribution_pull_failures_total", "timeout");
    OnPullFailed(now, pulling_from_, actions);
  }

  // The watcher renews its watch at once; other daemons poll at random
  // intervals.
  bool starts_watching = watching && head_read_ != 0 && !head_read_watches_;
  if (starts_watching) head_read_ = 0;
  if (head_read_ == 0 && !fetch_ && (now >= next_head_read_))
    ReadHead(now, watching, actions);
  if (head_read_ == 0 && watching && platform_failures_ == 0 && !fetch_) {
    ReadHead(now, watching, actions);
  }
  if (!watching && next_head_read_ <= now) {
    int64_t mean_ms =
        std::max(settings_.poll_min_ms, settings_.poll_per_member_ms *
                                            static_cast<int64_t>(fleet_size));
    next_head_read_ =
        now + mean_ms / 2 +
        static_cast<int64_t>(random_.Below(static_cast<uint64_t>(mean_ms) + 1));
  }

  // If behind: reads from the platform once peers have had
  // platform_fallback_ms; otherwise pulls from an announcing or random peer.
  UpdateBehind(now);
  bool peers_failed =
      behind_ && now - behind_since_ >= settings_.platform_fallback_ms;
  if (peers_failed && head_newest_.version > Version() && !fetch_ &&
      platform_failures_ == 0) {
    behind_since_ = now;
    StartFetch(now, head_newest_, actions);
  }
  if (behind_ && pulling_from_.empty() && !fetch_ && now >= next_pull_) {
    next_pull_ = now + settings_.pull_pause_ms;
    if (!pull_candidates_.empty()) {
      std::string link = pull_candidates_.front();
      pull_candidates_.pop_front();
      StartPull(now, link, actions);
    } else if (!peers.empty()) {
      StartPull(now, peers[random_.Below(peers.size())].link, actions);
    }
  }

  size_t zone_peers = static_cast<size_t>(
      std::count_if(peers.begin(), peers.end(),
                    [&](const Peer& peer) { return peer.zone == own_zone_; }));
  CheckStartedUp(zone_peers);

  if (announcements_left_ > 0 && now >= next_announcement_) {
    AnnounceVersion(peers, actions);
    --announcements_left_;
    next_announcement_ = now + settings_.announcement_interval_ms;
  }
}

void Distributor::CheckStartedUp(size_t zone_peers) {
  if (started_up_ || !current_ || newest_known_ > Version()) return;
  size_t needed =
      std::clamp<size_t>(zone_peers, 1, settings_.startup_zone_peers);
  started_up_ = head_seen_ || zone_peers_heard_.size() >= needed;
  if (started_up_) zone_peers_heard_.clear();
}

void Distributor::UpdateBehind(TimeMs now) {
  bool behind = Version() < newest_known_;
  if (behind && !behind_) behind_since_ = now;
  behind_ = behind;
}

void Distributor::OnVersionAnnounced(TimeMs now, const Peer& peer,
                                     uint64_t version, Actions* actions) {
  if (!started_up_ && peer.zone == own_zone_)
    zone_peers_heard_.insert(peer.link);
  const std::string& peer_link = peer.link;
  newest_known_ = std::max(newest_known_, version);
  if (version <= Version() || peer_link.empty()) return;
  if (pulling_from_.empty()) return StartPull(now, peer_link, actions);
  bool known = std::find(pull_candidates_.begin(), pull_candidates_.end(),
                         peer_link) != pull_candidates_.end();
  if (!known && pull_candidates_.size() < kMaxPullCandidates)
    pull_candidates_.push_back(peer_link);
}

PullReply Distributor::OnPullRequest(const PullRequest& request) const {
  PullReply reply;
  if (!current_ || current_->Version() <= request.have_version) return reply;
  reply.entry.version = current_->Version();
  reply.entry.manifest_hash = current_->ManifestHash();
  reply.entry.change_id = current_->ChangeId();

  // Sends only the difference if the requester's manifest is still known.
  auto base = manifests_.find(request.have_version);
  bool known =
      base != manifests_.end() && base->second.first == request.have_manifest;
  if (!known) {
    reply.pieces = current_->AllPieces();
    return reply;
  }
  reply.base_version = request.have_version;
  const auto& old_hashes = base->second.second.piece_hashes;
  for (const auto& [name, bytes] : current_->AllPieces()) {
    auto old = old_hashes.find(name);
    bool same = old != old_hashes.end() &&
                old->second == current_->PieceHashes().piece_hashes.at(name);
    if (!same) reply.pieces[name] = bytes;
  }
  for (const auto& [name, hash] : old_hashes) {
    if (current_->AllPieces().count(name) == 0) reply.removed.push_back(name);
  }
  return reply;
}

void Distributor::OnPullReply(TimeMs now, const std::string& peer_link,
                              const PullReply& reply, Actions* actions) {
  if (peer_link == pulling_from_) pulling_from_.clear();
  if (reply.entry.version <= Version()) {
    counters_.Add("distribution_pull_replies_total", "nothing_newer");
    return;
  }
  Pieces pieces;
  if (reply.base_version != 0) {
    if (reply.base_version != Version()) {
      counters_.Add("distribution_pull_replies_total", "other_base");
      return;
    }
    pieces = current_->AllPieces();
    for (const std::string& name : reply.removed) pieces.erase(name);
  }
  counters_.Add("distribution_pull_replies_total",
                reply.base_version != 0 ? "difference" : "whole");
  for (const auto& [name, bytes] : reply.pieces) pieces[name] = bytes;
  Adopt(now, reply.entry, std::move(pieces), "peer " + peer_link, actions);
}

void Distributor::OnPullFailed(TimeMs now, const std::string& peer_link,
                               Actions* actions) {
  if (peer_link != pulling_from_) return;
  pulling_from_.clear();
  if (Version() >= newest_known_ || pull_candidates_.empty()) return;
  std::string next = pull_candidates_.front();
  pull_candidates_.pop_front();
  StartPull(now, next, actions);
}

void Distributor::OnPlatform(TimeMs now, const PlatformReadResult& result,
                             Actions* actions) {
  if (result.id == head_read_) {
    head_read_ = 0;
    if (result.error) return OnPlatformFailure(now);
    platform_failures_ = 0;
    return OnHead(now, result, actions);
  }
  auto read = fetch_reads_.find(result.id);
  if (read == fetch_reads_.end()) return;
  std::string piece = read->second;
  fetch_reads_.erase(read);
  bool bundle = fetch_->bundle && !result.error;
  if (bundle) return OnBundle(now, result, actions);
  if (result.error || !result.found) {
    fetch_.reset();
    fetch_reads_.clear();
    return OnPlatformFailure(now);
  }
  if (piece.empty()) {
    OnManifest(now, result, actions);
  } else {
    PlatformReadResult named = result;
    named.key = piece;
    OnPiece(now, named, actions);
  }
}

uint64_t Distributor::Read(const std::string& key,
                           std::optional<uint64_t> watch_after, int64_t wait_ms,
                           Actions* actions) {
  uint64_t id = next_read_id_++;
  counters_.Add("distribution_platform_reads_total",
                watch_after ? "watch" : "read");
  actions->push_back(PlatformRead{id, key, watch_after, wait_ms});
  return id;
}

void Distributor::ReadHead(TimeMs now, bool watching, Actions* actions) {
  bool watch = watching && head_seen_;
  int64_t wait_ms = watch ? settings_.watch_ms : 0;
  std::optional<uint64_t> after;
  if (watch) after = head_revision_;
  head_read_ = Read(HeadKey(), after, wait_ms, actions);
  head_read_watches_ = watching;
  head_read_deadline_ = now + wait_ms + settings_.platform_timeout_ms;
}

void Distributor::OnHead(TimeMs now, const PlatformReadResult& result,
                         Actions* actions) {
  head_seen_ = true;
  head_revision_ = result.found ? result.revision : 0;
  if (!result.found) return;
  Result<Head> head = HeadFromJson(result.value);
  if (const Error* error = ErrorOf(head)) {
    counters_.Add("distribution_refusals_total", "malformed_head");
    last_refusal_ = error->detail;
    return;
  }
  HeadEntry newest = ValueOf(head)->Newest();
  newest_known_ = std::max(newest_known_, newest.version);
  head_newest_ = newest;
  // Watchers fetch from the platform, other daemons from peers.
  if (newest.version > Version() && !fetch_ && head_read_watches_)
    StartFetch(now, newest, actions);
}

void Distributor::StartFetch(TimeMs now, const HeadEntry& entry,
                             Actions* actions) {
  fetch_ = Fetch();
  fetch_->entry = entry;
  fetch_reads_.clear();
  fetch_->bundle = current_ == nullptr;
  if (fetch_->bundle) {
    fetch_reads_[Read(BundleKey(entry.manifest_hash), std::nullopt, 0,
                      actions)] = "";
  } else {
    ReadManifest(actions);
  }
  fetch_deadline_ = now + 2 * settings_.platform_timeout_ms;
}

void Distributor::ReadManifest(Actions* actions) {
  fetch_->bundle = false;
  fetch_reads_[Read(ManifestKey(fetch_->entry.manifest_hash), std::nullopt, 0,
                    actions)] = "";
}

void Distributor::OnBundle(TimeMs now, const PlatformReadResult& result,
                           Actions* actions) {
  // A configuration too large for a bundle is read piece by piece.
  if (!result.found) return ReadManifest(actions);
  Result<Pieces> pieces = BundleFromJson(result.value);
  Fetch done = std::move(*fetch_);
  fetch_.reset();
  if (const Error* error = ErrorOf(pieces))
    return Reject(done.entry, "platform", error->detail);
  Adopt(now, done.entry, std::move(*ValueOf(pieces)), "platform", actions);
}

void Distributor::OnManifest(TimeMs now, const PlatformReadResult& result,
                             Actions* actions) {
  Result<Manifest> manifest = ManifestFromJson(result.value);
  bool valid = ValueOf(manifest) != nullptr &&
               ContentHash(result.value) == fetch_->entry.manifest_hash;
  if (!valid) {
    Reject(fetch_->entry, "platform", "the manifest does not match its hash");
    fetch_.reset();
    return;
  }
  fetch_->manifest = *ValueOf(manifest);
  for (const auto& [name, hash] : fetch_->manifest.piece_hashes) {
    // Unchanged pieces are taken from the active configuration.
    if (current_) {
      auto own = current_->PieceHashes().piece_hashes.find(name);
      if (own != current_->PieceHashes().piece_hashes.end() &&
          own->second == hash) {
        fetch_->pieces[name] = current_->AllPieces().at(name);
        continue;
      }
    }
    fetch_reads_[Read(PieceKey(hash), std::nullopt, 0, actions)] = name;
    ++fetch_->missing;
  }
  if (fetch_->missing > 0) return;
  Fetch done = std::move(*fetch_);
  fetch_.reset();
  Adopt(now, done.entry, std::move(done.pieces), "platform", actions);
}

void Distributor::OnPiece(TimeMs now, const PlatformReadResult& result,
                          Actions* actions) {
  fetch_->pieces[result.key] = result.value;
  if (--fetch_->missing > 0) return;
  Fetch done = std::move(*fetch_);
  fetch_.reset();
  Adopt(now, done.entry, std::move(done.pieces), "platform", actions);
}

void Distributor::OnPlatformFailure(TimeMs now) {
  counters_.Add("distribution_platform_failures_total");
  int doublings = std::min(platform_failures_, kMaxBackoffDoublings);
  ++platform_failures_;
  int64_t bound = std::min(settings_.platform_backoff_ms << doublings,
                           settings_.platform_backoff_cap_ms);
  next_head_read_ =
      now + bound / 2 +
      static_cast<int64_t>(random_.Below(static_cast<uint64_t>(bound) / 2 + 1));
}

void Distributor::StartPull(TimeMs now, const std::string& link,
                            Actions* actions) {
  pulling_from_ = link;
  pull_deadline_ = now + settings_.pull_timeout_ms;
  counters_.Add("distribution_pulls_total");
  PullRequest request;
  request.have_version = Version();
  if (current_) request.have_manifest = current_->ManifestHash();
  actions->push_back(SendPull{link, request});
}

/// The only place where the active version changes. A snapshot is complete and
/// valid or it is not created, and only a higher version replaces another.
void Distributor::Adopt(TimeMs now, const HeadEntry& entry, Pieces pieces,
                        const std::string& source, Actions* actions) {
  if (entry.version <= Version()) return;
  Result<SnapshotPtr> created = Snapshot::Create(
      entry.version, entry.manifest_hash, entry.change_id, std::move(pieces));
  if (const Error* error = ErrorOf(created))
    return Reject(entry, source, error->detail);

  assert((*ValueOf(created))->Version() > Version());
  current_ = *ValueOf(created);
  newest_known_ = std::max(newest_known_, entry.version);
  source_ = source;
  last_refusal_.clear();
  counters_.Add("distribution_adoptions_total",
                source.substr(0, source.find(' ')));
  manifests_[entry.version] = {entry.manifest_hash, current_->PieceHashes()};
  if (manifests_.size() > settings_.max_manifests)
    manifests_.erase(manifests_.begin());
  actions->push_back(Adopted{current_});
  announcements_left_ = kAnnouncementRounds;
  next_announcement_ = now;
}

void Distributor::Reject(const HeadEntry& entry, const std::string& source,
                         const std::string& reason) {
  counters_.Add("distribution_refusals_total", "invalid");
  last_refusal_ =
      fmt::format("version {} from {}: {}", entry.version, source, reason);
}

void Distributor::AnnounceVersion(const std::vector<Peer>& peers,
                                  Actions* actions) {
  std::vector<const Peer*> near;
  std::vector<const Peer*> others;
  for (const Peer& peer : peers)
    (peer.zone == own_zone_ ? near : others).push_back(&peer);
  auto send = [&](const std::vector<const Peer*>& pool, size_t count) {
    for (size_t i = 0; i < std::min(count, pool.size()); ++i) {
      actions->push_back(SendAnnouncement{pool[i]->gossip});
    }
  };
  send(near, settings_.zone_fanout);
  send(others, settings_.other_zone_fanout +
                   (near.empty() ? settings_.zone_fanout : 0));
}

}  // namespace banyanloft
