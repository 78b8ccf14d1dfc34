#include "banyanloft/membership/member.h"

#include <array>

namespace banyanloft {

const char* NameOf(MemberState state) {
  constexpr std::array<const char*, 4> kNames = {"warming", "ready", "draining",
                                                 "gone"};
  return kNames[static_cast<size_t>(state)];
}

const char* NameOf(MemberHealth health) {
  constexpr std::array<const char*, 3> kNames = {"alive", "suspect",
                                                 "unreachable"};
  return kNames[static_cast<size_t>(health)];
}

bool Supersedes(const MemberRecord& news, const MemberRecord& old) {
  bool news_gone = news.state == MemberState::kGone;
  bool old_gone = old.state == MemberState::kGone;
  if (news_gone != old_gone) return news_gone;
  if (news_gone) return false;
  if (news.incarnation != old.incarnation)
    return news.incarnation > old.incarnation;
  return news.health > old.health;
}

}  // namespace banyanloft
