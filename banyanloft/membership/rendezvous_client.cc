#include "banyanloft/membership/rendezvous_client.h"

#include "banyanloft/membership/peer_selection.h"

namespace banyanloft {

std::string RendezvousKey(const std::string& zone) {
  return "rendezvous/" + zone;
}

RendezvousClient::RendezvousClient(const RendezvousSettings& settings,
                                   const std::string& zone,
                                   const std::string& gossip_address,
                                   uint64_t seed, TimeMs now)
    : timeout_ms_(settings.timeout_ms),
      zone_(zone),
      rendezvous_(settings, zone, gossip_address, seed, now) {}

std::optional<PlatformCall> RendezvousClient::Tick(TimeMs now,
                                                   const Membership& membership,
                                                   bool watching) {
  if (call_ != 0 && now - called_at_ > timeout_ms_) {
    call_ = 0;
    rendezvous_.OnFailure();
  }
  bool isolated = membership.AliveCount() == 1;
  if (call_ != 0 || !rendezvous_.ReadDue(now, isolated, watching))
    return std::nullopt;
  PlatformCall call;
  call.type = PlatformCall::Type::kList;
  call.key = RendezvousKey("");
  return call;
}

std::optional<PlatformCall> RendezvousClient::OnReply(
    const PlatformReply& reply, bool watching, size_t document_bytes,
    Membership* membership) {
  call_ = 0;
  if (reply.error) {
    rendezvous_.OnFailure();
    return std::nullopt;
  }
  std::vector<Rendezvous::Entry> entries;
  size_t prefix = RendezvousKey("").size();
  for (const PlatformObject& object : reply.objects)
    entries.push_back(
        {object.key.substr(prefix), object.revision, object.value});
  membership->ContactUnknown(rendezvous_.OnRead(entries));

  ZoneAddresses zone = AddressesOfZone(*membership, zone_);
  StartupLoad load{membership->AliveCount(), document_bytes};
  std::optional<Rendezvous::Write> write =
      rendezvous_.WriteDue(watching, zone.live, zone.dead, load);
  if (!write) return std::nullopt;
  PlatformCall call;
  call.type = PlatformCall::Type::kWrite;
  call.key = RendezvousKey(zone_);
  call.value = write->value;
  call.expected_revision = write->expected_revision;
  return call;
}

}  // namespace banyanloft
