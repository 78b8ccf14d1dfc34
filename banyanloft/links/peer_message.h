#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "banyanloft/calls/call_types.h"
#include "banyanloft/distribution/distributor.h"
#include "banyanloft/links/encoded_message.h"
#include "banyanloft/membership/member.h"
#include "banyanloft/mesh/mesh_message.h"
#include "banyanloft/mesh/rollout_evidence.h"

namespace banyanloft {

/// A message on the link between two daemons.
using PeerMessage =
    std::variant<RunRequest, RunAnswer, CancelRun, KeyRequest, KeyAnswer,
                 PullRequest, PullReply, ForwardRequest, ForwardAnswer,
                 CancelForward, DocumentRequest, DocumentReply, QuotaAsk,
                 QuotaGrant, QuotaHandover, RolloutEvidence>;

/// Protocol versions that this release supports; links use the highest common
/// one.
inline constexpr int kMinProtocolVersion = 3;
inline constexpr int kMaxProtocolVersion = 3;

/// Optional parts of messages that a daemon understands, as a bit set. Daemons
/// announce them when a link is opened; earlier ones announce none and reject
/// messages with fields that they don't know.
enum LinkFeature : uint32_t { kLoadDetailFeature = 1 };
inline constexpr uint32_t kLinkFeatures = kLoadDetailFeature;

/// Encodes a link message as CBOR for a peer that understands `features`.
std::string EncodePeerMessage(const PeerMessage& message,
                              uint32_t features = kLinkFeatures);
/// Encodes a message in parts, so that a long body need not be copied.
EncodedMessage EncodePeerMessageInParts(const PeerMessage& message,
                                        uint32_t features = kLinkFeatures);
/// Decodes a link message; kProtocolError if it is invalid.
Result<PeerMessage> DecodePeerMessage(std::string_view bytes);
/// The same, but a long body of a ForwardRequest takes over the memory of
/// `bytes`.
Result<PeerMessage> DecodePeerMessageInPlace(std::string bytes);

/// A request with a long body that has begun to arrive.
struct BegunRequest {
  ForwardRequest request;  ///< Without its body and the fields behind it.
  size_t body_bytes = 0;   ///< Length of its body.
};
/// Decodes the beginning of a message. Empty if it is no ForwardRequest with a
/// long body, or if the body has not begun.
std::optional<BegunRequest> DecodeBegunRequest(std::string_view beginning);

/// Encodes a datagram as CBOR, preceded by its HMAC under the fleet's secret.
std::string EncodeDatagram(const Datagram& datagram, const std::string& secret);
/// Verifies the HMAC and decodes the datagram; kProtocolError if it is invalid.
Result<Datagram> DecodeDatagram(std::string_view bytes,
                                const std::string& secret);

/// First messages of a link; other messages are accepted only after them.
struct LinkChallenge {
  int oldest = kMinProtocolVersion;
  int newest = kMaxProtocolVersion;
  std::string nonce;
  uint32_t features = kLinkFeatures;
};
struct LinkHello {
  int version = kMaxProtocolVersion;
  std::string link_address;  ///< Where the connecting daemon accepts links.
  std::string proof;         ///< HMAC of nonce and address.
  uint32_t features = kLinkFeatures;
};
std::string EncodeChallenge(const LinkChallenge& challenge);
Result<LinkChallenge> DecodeChallenge(std::string_view bytes);
std::string EncodeHello(const LinkHello& hello);
Result<LinkHello> DecodeHello(std::string_view bytes);
/// Proof that the sender of a hello knows the secret.
std::string HelloProof(const std::string& secret, const std::string& nonce,
                       const std::string& link_address);

}  // namespace banyanloft
