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

bool Supersedes(const MemberRecord& update, const MemberRecord& known) {
  bool update_gone = update.state == MemberState::kGone;
  bool known_gone = known.state == MemberState::kGone;
  if (update_gone != known_gone) return update_gone;
  if (update_gone) return false;
  if (update.incarnation != known.incarnation)
    return update.incarnation > known.incarnation;
  return update.health > known.health;
}

}  // namespace banyanloft
