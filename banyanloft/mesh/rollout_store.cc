#include "banyanloft/mesh/rollout_store.h"

#include <algorithm>
#include <set>
#include <utility>

#include "banyanloft/mesh/rollout_table.h"

namespace banyanloft {
namespace {

constexpr int kMaxBackoffDoublings = 5;
/// Time after a watch's answer until the next one is due, in ms, beyond the
/// wait; after it the member counts as cut off from the store.
constexpr int64_t kTouchMarginMs = 1500;

}  // namespace

RolloutStore::RolloutStore(const RolloutStoreSettings& settings, uint64_t seed,
                           TimeMs now, const ConfigurationReader* reader)
    : settings_(settings),
      random_(seed),
      reader_(reader),
      next_read_(now),
      next_write_(now) {}

std::optional<PlatformCall> RolloutStore::TickRead(TimeMs now, bool watching,
                                                   bool in_progress) {
  if (read_ != Read::kNone && now - read_at_ > read_timeout_ms_) {
    counters_.Add("rollout_store_failures_total", "timeout");
    OnFailed(now);
  }
  if (!watching) {
    // What is known goes out of date; a reply to a pending read still counts.
    if (read_ == Read::kNone) revision_ = 0;
    return std::nullopt;
  }
  if (read_ != Read::kNone || now < next_read_) return std::nullopt;
  PlatformCall call;
  call.type = PlatformCall::Type::kList;
  call.key = settings_.prefix;
  read_ = Read::kList;
  read_timeout_ms_ = settings_.timeout_ms;
  if (revision_ != 0) {
    read_ = Read::kWatch;
    call.watch_after = revision_;
    call.wait_ms =
        in_progress ? settings_.watch_wait_ms : settings_.idle_watch_wait_ms;
    read_timeout_ms_ += call.wait_ms;
  }
  read_at_ = now;
  counters_.Add("rollout_store_reads_total",
                read_ == Read::kWatch ? "watch" : "list");
  return call;
}

std::optional<PlatformCall> RolloutStore::TickWrite(
    TimeMs now, const std::vector<RolloutStatus>& wanted) {
  if (write_ && now - written_at_ > settings_.timeout_ms) {
    counters_.Add("rollout_store_failures_total", "timeout");
    write_.reset();
    OnFailed(now);
  }
  if (write_ || now < next_write_ || revision_ == 0) return std::nullopt;
  for (const RolloutStatus& status : wanted) {
    if (Holds(status)) continue;
    const Stored& stored = stored_.at(status.service);
    PlatformCall call;
    call.type = PlatformCall::Type::kWrite;
    call.is_status = true;
    call.key = settings_.prefix + status.service;
    call.value = reader_->WriteRolloutStatus(status.phase, status.to_version);
    call.expected_revision = stored.revision;
    write_ = status;
    written_at_ = now;
    counters_.Add("rollout_store_writes_total", NameOf(status.phase));
    return call;
  }
  return std::nullopt;
}

bool RolloutStore::Holds(const RolloutStatus& status) const {
  auto it = stored_.find(status.service);
  // Another order has taken its place.
  if (it == stored_.end() || it->second.order.to_version != status.to_version)
    return true;
  const RolloutOrder& order = it->second.order;
  bool outdated =
      status.generation == generation_ && it->second.revision < status.revision;
  if (outdated) return true;
  if (!order.HasStatus()) return false;
  return order.status == status.phase || IsFinal(order.status) ||
         status.phase == RolloutPhase::kRunning;
}

bool RolloutStore::InTouch(TimeMs now) const {
  return answered_at_ && failures_ == 0 && revision_ != 0 &&
         now - *answered_at_ <= settings_.watch_wait_ms + kTouchMarginMs;
}

/// A call that failed may still take effect: the objects are read again before
/// the next write. A watch in progress is given up.
void RolloutStore::OnFailed(TimeMs now) {
  read_ = Read::kNone;
  revision_ = 0;
  int doublings = std::min(failures_, kMaxBackoffDoublings);
  ++failures_;
  int64_t pause_ms =
      std::min(settings_.backoff_ms << doublings, settings_.backoff_cap_ms);
  int64_t jitter_ms = static_cast<int64_t>(
      random_.Below(static_cast<uint64_t>(pause_ms) / 2 + 1));
  next_read_ = now + pause_ms * 3 / 4 + jitter_ms;
  next_write_ = next_read_;
}

std::vector<RolloutState> RolloutStore::OnReply(
    TimeMs now, const PlatformReply& reply,
    const std::vector<std::string>& known) {
  std::vector<RolloutState> states;
  bool restored = reply.generation != 0 && generation_ != 0 &&
                  reply.generation != generation_;
  if (reply.generation != 0) generation_ = reply.generation;
  // Revisions went back.
  if (restored) stored_.clear();
  if (write_ && reply.id == write_id_) {
    OnWritten(now, reply, &states);
    if (restored) revision_ = 0;
    return states;
  }
  Read read = std::exchange(read_, Read::kNone);
  if (reply.error) {
    counters_.Add("rollout_store_failures_total",
                  std::string(NameOf(reply.error->kind)));
    if (reply.error->kind == ErrorKind::kHistoryLost) {
      revision_ = 0;
      next_read_ = now;
      return states;
    }
    OnFailed(now);
    return states;
  }
  failures_ = 0;
  next_read_ = now;
  // What a watch that began before a restore tells is out of date.
  if (restored && read == Read::kWatch) {
    revision_ = 0;
    return states;
  }
  answered_at_ = now;
  OnRead(read, reply, known, &states);
  return states;
}

void RolloutStore::OnRead(Read read, const PlatformReply& reply,
                          const std::vector<std::string>& known,
                          std::vector<RolloutState>* states) {
  if (read == Read::kList) {
    revision_ = std::max<uint64_t>(1, reply.revision);
    std::set<std::string> removed(known.begin(), known.end());
    for (const auto& [service, stored] : stored_) removed.insert(service);
    for (const PlatformObject& object : reply.objects)
      removed.erase(ServiceOf(object.key));
    for (const std::string& service : removed) Remove(service, states);
  } else {
    revision_ = std::max(revision_, reply.revision);
    for (const std::string& key : reply.deleted) Remove(ServiceOf(key), states);
  }
  for (const PlatformObject& object : reply.objects) Store(object, states);
}

std::string RolloutStore::ServiceOf(const std::string& key) const {
  return key.substr(std::min(key.size(), settings_.prefix.size()));
}

void RolloutStore::OnWritten(TimeMs now, const PlatformReply& reply,
                             std::vector<RolloutState>* states) {
  RolloutStatus status = *std::exchange(write_, std::nullopt);
  if (reply.error) {
    counters_.Add("rollout_store_failures_total",
                  std::string(NameOf(reply.error->kind)));
    bool conflict = reply.error->kind == ErrorKind::kConflict;
    OnFailed(now);
    // The store answered: the next read need not wait.
    if (conflict) next_read_ = now;
    return;
  }
  auto it = stored_.find(status.service);
  bool same = it != stored_.end() &&
              it->second.order.to_version == status.to_version &&
              reply.revision > it->second.revision;
  if (!same) return;
  it->second.revision = reply.revision;
  it->second.order.status = status.phase;
  it->second.order.status_version = status.to_version;
  states->push_back(StateOf(it->second));
}

RolloutState RolloutStore::StateOf(const Stored& stored) const {
  RolloutState state;
  state.service = stored.order.service;
  state.to_version = stored.order.to_version;
  state.generation = generation_;
  state.revision = stored.revision;
  state.duration_ms = stored.order.duration_ms;
  if (stored.order.HasStatus()) state.phase = stored.order.status;
  return state;
}

void RolloutStore::Remove(const std::string& service,
                          std::vector<RolloutState>* states) {
  RolloutState state;
  state.service = service;
  state.generation = generation_;
  state.revision = revision_;
  state.phase = RolloutPhase::kRemoved;
  auto it = stored_.find(service);
  if (it != stored_.end()) {
    state.revision = std::max(revision_, it->second.revision + 1);
    stored_.erase(it);
  }
  states->push_back(std::move(state));
}

void RolloutStore::Store(const PlatformObject& object,
                         std::vector<RolloutState>* states) {
  Result<RolloutOrder> read = reader_->ReadRollout(object);
  const RolloutOrder* order = ValueOf(read);
  bool valid =
      order != nullptr && object.key == settings_.prefix + order->service;
  if (!valid) {
    counters_.Add("rollout_orders_malformed_total");
    return;
  }
  // A watch may still tell of the state before a write of this member.
  Stored& stored = stored_[order->service];
  if (object.revision < stored.revision) return;
  stored = Stored{*order, object.revision};
  states->push_back(StateOf(stored));
}

}  // namespace banyanloft
