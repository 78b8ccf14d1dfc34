#pragma once

#include <optional>
#include <string>

#include "banyanloft/membership/membership.h"
#include "banyanloft/membership/rendezvous.h"
#include "banyanloft/store/platform_message.h"

namespace banyanloft {

/// Key of the store's object with addresses of a zone; the empty zone gives the
/// prefix of all.
std::string RendezvousKey(const std::string& zone);

/// A daemon's part in the rendezvous: turns what is due into calls to the store
/// and brings membership the addresses that it reads. Deterministic; not thread
/// safe; free of I/O.
class RendezvousClient {
 public:
  RendezvousClient(const RendezvousSettings& settings, const std::string& zone,
                   const std::string& gossip_address, uint64_t seed,
                   TimeMs now);

  /// The read that is due. The caller sends it and tells its id by Await.
  std::optional<PlatformCall> Tick(TimeMs now, const Membership& membership,
                                   bool watching);
  void OnReadSent(TimeMs now, uint64_t call) {
    call_ = call;
    called_at_ = now;
  }
  /// Whether a reply answers the read under way.
  bool IsPending(const PlatformReply& reply) const {
    return call_ != 0 && reply.id == call_;
  }
  /// The read was answered. Returns the write that is due then; nobody waits
  /// for its answer. `document_bytes`: length of the configuration in force.
  std::optional<PlatformCall> OnReply(const PlatformReply& reply, bool watching,
                                      size_t document_bytes,
                                      Membership* membership);
  /// The load of a herd that starts, as told at the last read.
  const StartupLoad& ObservedLoad() const { return rendezvous_.ObservedLoad(); }

 private:
  int64_t timeout_ms_;
  std::string zone_;
  Rendezvous rendezvous_;
  uint64_t call_ = 0;  ///< Id of the read under way; 0: none.
  TimeMs called_at_;
};

}  // namespace banyanloft
