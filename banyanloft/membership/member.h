#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyanloft/admission/crash_guard.h"
#include "banyanloft/core/time.h"
#include "banyanloft/membership/rollout_state.h"
#include "banyanloft/run_once/key.h"

namespace banyanloft {

/// State that a member announces for itself.
enum class MemberState : uint8_t { kWarming, kReady, kDraining, kGone };
/// Reachability of a member as found by failure detection.
enum class MemberHealth : uint8_t { kAlive, kSuspect, kUnreachable };

const char* NameOf(MemberState state);
const char* NameOf(MemberHealth health);

/// Membership record of a daemon and its local backend server, disseminated by
/// gossip.
struct MemberRecord {
  MemberId id = 0;
  std::string zone;
  std::string service;  ///< Service of the backend server, by any of its names.
  std::string link;     ///< `ip:port` of its TCP links.
  std::string gossip;   ///< `ip:port` of its UDP gossip socket.
  uint32_t incarnation = 0;
  MemberState state = MemberState::kWarming;
  MemberHealth health = MemberHealth::kAlive;
  int slots = 20;
  MemberId suspected_by = 0;  ///< With kSuspect: the member whose probe failed;
                              ///< kept when forwarded.
  std::string version;        ///< Of the backend server; empty if not known.
};

/// Initial record of a member whose backend server is not known yet.
inline MemberRecord NewMember(MemberId id, const std::string& zone,
                              const std::string& link,
                              const std::string& gossip) {
  MemberRecord self;
  self.id = id;
  self.zone = zone;
  self.link = link;
  self.gossip = gossip;
  return self;
}

/// True if `update` takes precedence over `known`: kGone is final; otherwise
/// the higher incarnation wins, then the worse health.
bool Supersedes(const MemberRecord& update, const MemberRecord& known);

/// Types of gossip datagrams between daemons.
enum class DatagramType : uint8_t {
  kPing,         ///< Requests an ack; `subject` is the sender's record of the
                 ///< receiver.
  kNack,         ///< Immediate reply to kPingRequest: the helper is reachable.
  kAck,          ///< Reply to a ping with the same `sequence`.
  kPingRequest,  ///< Asks the receiver to ping `subject` for the sender.
  kUpdates,      ///< Carries only piggybacked updates.
  kDigest,       ///< Hashes of the sender's member table, for anti-entropy.
  kVersionReport,  ///< Reports the active version to a watching member.
};

/// A gossip datagram. Membership updates, crash suspicions and the
/// configuration version are piggybacked on every type.
struct Datagram {
  DatagramType type = DatagramType::kUpdates;
  MemberId from = 0;
  uint64_t sequence = 0;
  std::string reply_to;  ///< Gossip address to which the receiver replies.
  MemberRecord subject;  ///< With kPing and kPingRequest.
  uint64_t version = 0;  ///< Active configuration version of the sender.
  /// Time since the store was last known to have no newer version, in ms;
  /// negative if unknown.
  int64_t version_age_ms = -1;
  std::string from_link;  ///< Link address of the sender, for pulls.
  std::string zone;       ///< Availability zone of the sender.
  std::string
      detail;  ///< With kVersionReport: why a newer version was rejected.
  bool wants_reply = false;  ///< With kDigest: reply with the own digest.
  std::vector<MemberRecord> members;
  std::vector<CrashSuspicion> crash_suspicions;
  std::vector<uint64_t> digest;  ///< With kDigest: one hash per bucket.
  /// With kDigest: digest of the sender's crash suspicions. Sent only if there
  /// are any, so that members without this field understand the datagram.
  CrashGuard::SuspicionDigest suspicion_digest{};
  /// If the store was restored from an older copy: its generation when the
  /// sender's document was read from it, and the document's hash. Sent only if
  /// not 0, so that members without this field understand all other datagrams.
  uint64_t document_generation = 0;
  uint64_t document_hash = 0;
  /// Roll-outs that the sender knows. Absent if it has not learned the orders
  /// of the store, and in fleets without roll-outs.
  std::optional<std::vector<RolloutState>> rollouts;
};

/// A datagram and the gossip address to send it to.
struct DatagramOut {
  std::string to;
  Datagram datagram;
};

}  // namespace banyanloft
