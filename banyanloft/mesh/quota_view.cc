#include "banyanloft/mesh/quota_view.h"

#include <algorithm>

#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

/// Losses are forgotten after this time; a home that is older than this has
/// filled its buckets anyway.
constexpr int64_t kLossRetentionMs = 60000;

}  // namespace

uint64_t QuotaView::RankOf(MemberId id, uint64_t account) {
  std::string_view bytes(reinterpret_cast<const char*>(&account),
                         sizeof(account));
  return FastHash(bytes, id);
}

void QuotaView::Update(TimeMs now, const std::vector<QuotaMember>& members,
                       size_t known_at_least) {
  for (auto& [id, seen] : members_) seen.listed = false;
  size_t listed = 1;
  size_t live = 1;
  for (const QuotaMember& member : members) {
    auto known = members_.find(member.id);
    if (member.gone) continue;
    ++listed;
    if (known == members_.end()) {
      Seen first;
      first.since = now;
      first.counts_from = now;
      first.reachable = member.reachable;
      known = members_.emplace(member.id, first).first;
    }
    Seen& seen = known->second;
    seen.listed = true;
    UpdateMember(now, member, &seen);
    if (seen.reachable && !member.suspect && now >= seen.counts_from) ++live;
  }
  for (auto it = members_.begin(); it != members_.end();) {
    if (it->second.listed) {
      ++it;
      continue;
    }
    OnLost(now, it->first, it->second, true);
    it = members_.erase(it);
  }
  losses_.erase(std::remove_if(losses_.begin(), losses_.end(),
                               [&](const Loss& loss) {
                                 return now - loss.grant_from >
                                        kLossRetentionMs;
                               }),
                losses_.end());
  known_ = std::max(listed, known_at_least);
  live_share_ = static_cast<double>(live) / static_cast<double>(known_);
  FindEligible(now);
}

void QuotaView::Begin(TimeMs now) {
  members_.clear();
  losses_.clear();
  int64_t earlier_ms = settings_.own_join_ms - settings_.join_ms;
  start_ = std::max(start_, now - earlier_ms / 2);
  FindEligible(now);
}

void QuotaView::Restart(TimeMs now) {
  start_ = now;
  FindEligible(now);
}

/// A member that was draining has handed its accounts over. One that has never
/// been eligible had none.
void QuotaView::OnLost(TimeMs now, MemberId id, const Seen& seen, bool gone) {
  if (!seen.eligible || seen.draining) return;
  int64_t wait_ms =
      gone ? settings_.replaced_wait_ms : settings_.unreachable_wait_ms;
  losses_.push_back({id, now + wait_ms});
}

void QuotaView::UpdateMember(TimeMs now, const QuotaMember& member,
                             Seen* seen) {
  if (seen->reachable && !member.reachable)
    OnLost(now, member.id, *seen, false);
  if (!seen->reachable && member.reachable) OnReturned(now, member.id, seen);
  if (!seen->suspect && member.suspect) seen->suspect_since = now;
  bool cleared = seen->suspect && !member.suspect && member.reachable;
  if (cleared && now - seen->suspect_since > settings_.long_suspicion_ms)
    seen->counts_from = now + settings_.return_ms;
  if (!seen->draining && member.draining && member.reachable)
    losses_.push_back({member.id, now});
  if (seen->draining && !member.draining) seen->since = now;
  seen->reachable = member.reachable;
  seen->suspect = member.suspect;
  seen->draining = member.draining;
  seen->eligible = seen->reachable && now - seen->since >= settings_.join_ms;
}

/// A member that returns is the home of its accounts again at once, because it
/// may never have stopped to be. If its successors have not granted yet,
/// nothing has changed.
void QuotaView::OnReturned(TimeMs now, MemberId id, Seen* seen) {
  seen->counts_from = now + settings_.return_ms;
  losses_.erase(std::remove_if(losses_.begin(), losses_.end(),
                               [&](const Loss& loss) {
                                 return loss.id == id && now < loss.grant_from;
                               }),
                losses_.end());
}

void QuotaView::SetDraining(TimeMs now, bool draining) {
  if (draining_ == draining) return;
  draining_ = draining;
  if (!draining) start_ = now;
  FindEligible(now);
}

/// While all members drain, for example because the whole fleet restarts, they
/// stay eligible.
void QuotaView::FindEligible(TimeMs now) {
  std::vector<MemberId> eligible;
  for (bool draining : {false, true}) {
    if (!eligible.empty()) break;
    if (!IsYoung(now) && draining_ == draining) eligible.push_back(self_);
    for (const auto& [id, seen] : members_) {
      if (seen.eligible && seen.draining == draining) eligible.push_back(id);
    }
  }
  std::sort(eligible.begin(), eligible.end());
  if (eligible == eligible_) return;
  eligible_ = std::move(eligible);
  homes_.clear();
  ++generation_;
}

MemberId QuotaView::HomeOf(uint64_t account) const {
  auto [it, fresh] = homes_.emplace(account, 0);
  if (!fresh) return it->second;
  uint64_t best_rank = 0;
  for (MemberId id : eligible_) {
    uint64_t rank = RankOf(id, account);
    if (it->second != 0 && rank <= best_rank) continue;
    it->second = id;
    best_rank = rank;
  }
  return it->second;
}

MemberId QuotaView::AnyOther(uint64_t account, MemberId excluded) const {
  MemberId best = 0;
  uint64_t best_rank = 0;
  for (const auto& [id, seen] : members_) {
    if (!seen.reachable || id == excluded) continue;
    uint64_t rank = RankOf(id, account);
    if (best != 0 && rank <= best_rank) continue;
    best = id;
    best_rank = rank;
  }
  return best;
}

TimeMs QuotaView::HomeSince(uint64_t account) const {
  TimeMs since = start_ + settings_.own_join_ms;
  uint64_t own_rank = RankOf(self_, account);
  for (const Loss& loss : losses_) {
    if (RankOf(loss.id, account) > own_rank)
      since = std::max(since, loss.grant_from);
  }
  return since;
}

bool QuotaView::IsReachable(MemberId id) const {
  if (id == self_) return true;
  auto it = members_.find(id);
  return it != members_.end() && it->second.reachable;
}

}  // namespace banyanloft
