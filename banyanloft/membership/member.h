#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "banyanloft/admission/crash_guard.h"
#include "banyanloft/core/time.h"
#include "banyanloft/run_once/key.h"

namespace banyanloft {

/// What a member says of itself.
enum class MemberState : uint8_t { kWarming, kReady, kDraining, kGone };
/// What others found out about a member.
enum class MemberHealth : uint8_t { kAlive, kSuspect, kUnreachable };

const char* NameOf(MemberState state);
const char* NameOf(MemberHealth health);

/// A daemon and the backend server beside it, as spread through the fleet.
struct MemberRecord {
  MemberId id = 0;
  std::string zone;
  std::string
      service;       ///< Any name of the service that its backend server runs.
  std::string link;  ///< `ip:port` of its links (TCP).
  std::string gossip;  ///< `ip:port` of its datagrams (UDP).
  uint32_t incarnation = 0;
  MemberState state = MemberState::kWarming;
  MemberHealth health = MemberHealth::kAlive;
  int slots = 20;
  MemberId suspected_by =
      0;  ///< With kSuspect: who found it silent, kept when passed on.
};

/// What a member says of itself before its backend server is known.
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

/// True if `news` outranks `old`: gone is final, then the higher incarnation,
/// then the worse health.
bool Supersedes(const MemberRecord& update, const MemberRecord& known);

/// Kinds of datagram between daemons.
enum class DatagramType : uint8_t {
  kPing,  ///< Asks for an ack; `subject` is the receiver as the sender sees it.
  kNack,  ///< Answers a ping request at once: the helper is there.
  kAck,   ///< Answers a ping with the same `sequence`.
  kPingRequest,    ///< Asks the receiver to ping `subject` for the sender.
  kUpdates,        ///< Only carries update.
  kDigest,         ///< Hashes of the sender's member table, for comparison.
  kVersionReport,  ///< Reports the version in force to a watching member.
};

/// One datagram. News of members, strikes and the configuration version ride
/// on every type.
struct Datagram {
  DatagramType type = DatagramType::kUpdates;
  MemberId from = 0;
  uint64_t sequence = 0;
  std::string reply_to;  ///< With kPingRequest: gossip address of the asker.
  MemberRecord subject;  ///< With kPing and kPingRequest.
  uint64_t version = 0;  ///< Configuration version in force at the sender.
  /// How long ago the store is known to have held no newer version, in ms;
  /// negative: not known.
  int64_t version_age_ms = -1;
  std::string from_link;  ///< Link address of the sender, to pull from.
  std::string zone;       ///< Availability zone of the sender.
  std::string
      detail;  ///< With kVersionReport: why a newer version was refused.
  bool wants_reply = false;  ///< With kDigest: the sender wants the same back.
  std::vector<MemberRecord> members;
  std::vector<CrashSuspicion> strikes;
  std::vector<uint64_t> digest;  ///< With kDigest: one hash per bucket.
};

/// A datagram and where to send it.
struct DatagramOut {
  std::string to;
  Datagram datagram;
};

}  // namespace banyanloft
