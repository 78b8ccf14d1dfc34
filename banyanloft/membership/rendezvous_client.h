#pragma once

#include <optional>
#include <string>

#include "banyanloft/membership/membership.h"
#include "banyanloft/membership/rendezvous.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// Key of a zone's address object in the store; for an empty zone, the common
/// prefix of these keys.
std::string RendezvousKey(const std::string& zone);

/// Connects Rendezvous to the store and to membership: issues reads and writes
/// and passes discovered addresses on. Deterministic; not thread-safe; performs
/// no I/O.
class RendezvousClient {
 public:
  RendezvousClient(const RendezvousSettings& settings, const std::string& zone,
                   const std::string& gossip_address, uint64_t seed,
                   TimeMs now);

  /// The read that is due, if any. The caller sends it and reports its id with
  /// OnReadSent.
  std::optional<PlatformCall> Tick(TimeMs now, const Membership& membership,
                                   bool watching);
  void OnReadSent(TimeMs now, uint64_t call) {
    call_ = call;
    called_at_ = now;
  }
  /// Whether `reply` belongs to the pending read.
  bool IsPending(const PlatformReply& reply) const {
    return call_ != 0 && reply.id == call_;
  }
  /// Handles the reply to the read. Returns the write that is due, if any; its
  /// reply is ignored. `document_bytes`: size of the active configuration.
  std::optional<PlatformCall> OnReply(const PlatformReply& reply, bool watching,
                                      size_t document_bytes,
                                      Membership* membership);
  /// See Rendezvous::ObservedLoad.
  const StartupLoad& ObservedLoad() const { return rendezvous_.ObservedLoad(); }

 private:
  int64_t timeout_ms_;
  std::string zone_;
  Rendezvous rendezvous_;
  uint64_t call_ = 0;  ///< Id of the pending read; 0: none.
  TimeMs called_at_;
};

}  // namespace banyanloft
