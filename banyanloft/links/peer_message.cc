#include "banyanloft/links/peer_message.h"

#include "banyanloft/core/digest.h"
#include "banyanloft/links/cbor.h"

namespace banyanloft {
namespace {

constexpr size_t kMacBytes = 32;
/// Stands for "no error" in place of an error kind.
constexpr int kNoError = -1;

/// Types of link messages, as numbered in the protocol.
enum class MessageTag : uint8_t {
  kRunRequest = 1,
  kRunAnswer = 2,
  kCancelRun = 3,
  kKeyRequest = 4,
  kKeyAnswer = 5,
  kPullRequest = 6,
  kPullReply = 7,
  kChallenge = 8,
  kHello = 9,
  kForwardRequest = 10,
  kForwardAnswer = 11,
  kCancelForward = 12,
  kDocumentRequest = 13,
  kDocumentReply = 14,
  kRolloutEvidence = 17,
};

Json Tagged(MessageTag tag, Json fields) {
  return Json::array({static_cast<int>(tag), std::move(fields)});
}

Json ErrorToCbor(const std::optional<ErrorKind>& error) {
  return error ? static_cast<int>(*error) : kNoError;
}

std::optional<ErrorKind> ReadError(CborReader* reader) {
  int64_t number = reader->Integer();
  if (number == kNoError) return std::nullopt;
  if (number < 0 || number >= static_cast<int64_t>(kErrorKindCount)) {
    reader->Fail();
    return std::nullopt;
  }
  return static_cast<ErrorKind>(number);
}

/// Reads an enumerator of an enumeration whose last one is `last`.
template <typename Enum>
Enum ReadEnum(CborReader* reader, Enum last) {
  int64_t number = reader->Integer();
  if (number >= 0 && number <= static_cast<int64_t>(last))
    return static_cast<Enum>(number);
  reader->Fail();
  return static_cast<Enum>(0);
}

Json Encode(const RunRequest& m) {
  return Tagged(
      MessageTag::kRunRequest,
      Json::array({m.attempt, m.route, m.rank, m.kind, m.key, m.remaining_ms,
                   m.depth, m.content_type, BytesValue(m.body)}));
}

RunRequest ReadRunRequest(CborReader* r) {
  RunRequest m;
  m.attempt = r->Unsigned();
  m.route = r->String();
  m.rank = r->String();
  m.kind = r->String();
  m.key = r->String();
  m.remaining_ms = r->Integer();
  m.depth = r->Int();
  m.content_type = r->String();
  m.body = r->Bytes();
  return m;
}

Json Encode(const RunAnswer& m) {
  Json levels = Json::array();
  for (int16_t level : m.load.levels) levels.push_back(level);
  const RunOutcome& o = m.outcome;
  return Tagged(
      MessageTag::kRunAnswer,
      Json::array({m.attempt, static_cast<int>(o.run_state),
                   ErrorToCbor(o.error), o.detail, o.http_status,
                   o.content_type, BytesValue(o.body), m.retried_downstream,
                   m.load.running, m.load.waiting, levels}));
}

RunAnswer ReadRunAnswer(CborReader* r) {
  RunAnswer m;
  m.attempt = r->Unsigned();
  m.outcome.run_state = ReadEnum(r, RunState::kUnknown);
  m.outcome.error = ReadError(r);
  m.outcome.detail = r->String();
  m.outcome.http_status = r->Int();
  m.outcome.content_type = r->String();
  m.outcome.body = r->Bytes();
  m.retried_downstream = r->Bool();
  m.load.running = r->Int();
  m.load.waiting = r->Int();
  CborReader levels(r->Next());
  for (int16_t& level : m.load.levels)
    level = static_cast<int16_t>(levels.Integer());
  if (!levels.Done()) r->Fail();
  return m;
}

Json Encode(const CancelRun& m) {
  return Tagged(MessageTag::kCancelRun, Json::array({m.attempt}));
}
Json Encode(const KeyRequest& m) {
  return Tagged(MessageTag::kKeyRequest, Json::array({m.attempt, m.route}));
}
Json Encode(const KeyAnswer& m) {
  return Tagged(MessageTag::kKeyAnswer,
                Json::array({m.attempt, m.key, ErrorToCbor(m.error)}));
}
Json Encode(const PullRequest& m) {
  return Tagged(MessageTag::kPullRequest,
                Json::array({m.have_version, m.have_manifest}));
}

Json Encode(const PullReply& m) {
  Json pieces = Json::array();
  for (const auto& [name, bytes] : m.pieces)
    pieces.push_back(Json::array({name, BytesValue(bytes)}));
  return Tagged(
      MessageTag::kPullReply,
      Json::array({m.entry.version, m.entry.manifest_hash, m.entry.change_id,
                   m.base_version, m.removed, pieces}));
}

PullReply ReadPullReply(CborReader* r) {
  PullReply m;
  m.entry.version = r->Unsigned();
  m.entry.manifest_hash = r->String();
  m.entry.change_id = r->String();
  m.base_version = r->Unsigned();
  const Json& removed = r->Next();
  CborReader names(removed);
  while (names.Ok() && !names.Done()) m.removed.push_back(names.String());
  const Json& pieces = r->Next();
  CborReader list(pieces);
  while (list.Ok() && !list.Done()) {
    CborReader piece(list.Next());
    std::string name = piece.String();
    m.pieces[name] = piece.Bytes();
    if (!piece.Done()) list.Fail();
  }
  if (!names.Done() || !list.Done()) r->Fail();
  return m;
}

Json EncodeHeaders(const HttpHeaders& headers) {
  Json list = Json::array();
  for (const auto& [name, value] : headers) {
    list.push_back(BytesValue(name));
    list.push_back(BytesValue(value));
  }
  return list;
}

void ReadHeaders(CborReader* r, HttpHeaders* headers) {
  CborReader list(r->Next());
  while (list.Ok() && !list.Done()) {
    std::string name = list.Bytes();
    headers->emplace_back(std::move(name), list.Bytes());
  }
  if (!list.Done()) r->Fail();
}

Json Encode(const ForwardRequest& m) {
  Json fields = Json::array({m.attempt, m.request_id, m.caller, m.service,
                             m.route, m.idempotent, m.priority, m.aim_left_ms,
                             m.remaining_ms, m.method, BytesValue(m.target),
                             EncodeHeaders(m.headers), BytesValue(m.body)});
  // Left out without an account, so that members without this field understand
  // the message.
  if (!m.account.empty()) fields.push_back(m.account);
  return Tagged(MessageTag::kForwardRequest, std::move(fields));
}

ForwardRequest ReadForwardRequest(CborReader* r) {
  ForwardRequest m;
  m.attempt = r->Unsigned();
  m.request_id = r->String();
  m.caller = r->String();
  m.service = r->String();
  m.route = r->String();
  m.idempotent = r->Bool();
  m.priority = r->Int();
  m.aim_left_ms = r->Integer();
  m.remaining_ms = r->Integer();
  m.method = r->String();
  m.target = r->Bytes();
  ReadHeaders(r, &m.headers);
  m.body = r->Bytes();
  if (r->Ok() && !r->Done()) m.account = r->String();
  return m;
}

Json Encode(const ForwardAnswer& m) {
  Json ahead = Json::array();
  for (int count : m.load.ahead) ahead.push_back(count);
  return Tagged(
      MessageTag::kForwardAnswer,
      Json::array({m.attempt, static_cast<int>(m.run_state),
                   ErrorToCbor(m.error), m.arrived, m.retry_after_ms, m.run_ms,
                   m.waited_ms, m.load.slots, ahead, m.load.mean_run_ms,
                   m.response.status, EncodeHeaders(m.response.headers),
                   BytesValue(m.response.body)}));
}

ForwardAnswer ReadForwardAnswer(CborReader* r) {
  ForwardAnswer m;
  m.attempt = r->Unsigned();
  m.run_state = ReadEnum(r, RunState::kUnknown);
  m.error = ReadError(r);
  m.arrived = r->Bool();
  m.retry_after_ms = r->Integer();
  m.run_ms = r->Integer();
  m.waited_ms = r->Integer();
  m.load.slots = r->Int();
  CborReader ahead(r->Next());
  for (int& count : m.load.ahead) count = ahead.Int();
  if (!ahead.Done()) r->Fail();
  m.load.mean_run_ms = r->Int();
  m.response.status = r->Int();
  ReadHeaders(r, &m.response.headers);
  m.response.content_type.clear();
  m.response.body = r->Bytes();
  return m;
}

Json Encode(const CancelForward& m) {
  return Tagged(MessageTag::kCancelForward,
                Json::array({m.attempt, m.only_if_queued}));
}
Json Encode(const DocumentRequest& m) {
  return Tagged(MessageTag::kDocumentRequest, Json::array({m.have_version}));
}
Json Encode(const DocumentReply& m) {
  return Tagged(MessageTag::kDocumentReply,
                Json::array({m.version, BytesValue(m.packed)}));
}

/// Routes as a flat list: name, sums, and the buckets that are not empty.
Json Encode(const RolloutEvidence& m) {
  Json routes = Json::array();
  for (const auto& [route, sums] : m.routes) {
    Json buckets = Json::array();
    for (size_t i = 0; i < kRunTimeBuckets; ++i) {
      if (sums.run_times[i] == 0) continue;
      buckets.push_back(i);
      buckets.push_back(sums.run_times[i]);
    }
    routes.push_back(
        Json::array({route, sums.answers, sums.failures, std::move(buckets)}));
  }
  return Tagged(MessageTag::kRolloutEvidence,
                Json::array({m.reporter, m.service, m.to_version, m.version,
                             std::move(routes)}));
}

RolloutEvidence ReadRolloutEvidence(CborReader* r) {
  RolloutEvidence m;
  m.reporter = r->Unsigned();
  m.service = r->String();
  m.to_version = r->String();
  m.version = r->String();
  CborReader routes(r->Next());
  while (routes.Ok() && !routes.Done()) {
    CborReader route(routes.Next());
    RouteEvidence& sums = m.routes[route.String()];
    sums.answers = route.Unsigned();
    sums.failures = route.Unsigned();
    CborReader buckets(route.Next());
    while (buckets.Ok() && !buckets.Done()) {
      uint64_t index = buckets.Unsigned();
      uint64_t count = buckets.Unsigned();
      if (index < kRunTimeBuckets) {
        sums.run_times[index] = count;
      } else {
        buckets.Fail();
      }
    }
    if (!buckets.Done() || !route.Done()) routes.Fail();
  }
  if (!routes.Done()) r->Fail();
  return m;
}

KeyAnswer ReadKeyAnswer(CborReader* r) {
  KeyAnswer m;
  m.attempt = r->Unsigned();
  m.key = r->String();
  m.error = ReadError(r);
  return m;
}

PeerMessage ReadMessage(MessageTag tag, CborReader* r) {
  switch (tag) {
    case MessageTag::kRunRequest:
      return ReadRunRequest(r);
    case MessageTag::kRunAnswer:
      return ReadRunAnswer(r);
    case MessageTag::kCancelRun:
      return CancelRun{r->Unsigned()};
    case MessageTag::kKeyRequest: {
      uint64_t attempt = r->Unsigned();
      return KeyRequest{attempt, r->String()};
    }
    case MessageTag::kKeyAnswer:
      return ReadKeyAnswer(r);
    case MessageTag::kPullRequest: {
      uint64_t version = r->Unsigned();
      return PullRequest{version, r->String()};
    }
    case MessageTag::kPullReply:
      return ReadPullReply(r);
    case MessageTag::kForwardRequest:
      return ReadForwardRequest(r);
    case MessageTag::kForwardAnswer:
      return ReadForwardAnswer(r);
    case MessageTag::kCancelForward: {
      uint64_t attempt = r->Unsigned();
      return CancelForward{attempt, r->Bool()};
    }
    case MessageTag::kDocumentRequest:
      return DocumentRequest{r->Unsigned()};
    case MessageTag::kDocumentReply: {
      uint64_t version = r->Unsigned();
      return DocumentReply{version, r->Bytes()};
    }
    case MessageTag::kRolloutEvidence:
      return ReadRolloutEvidence(r);
    case MessageTag::kChallenge:
    case MessageTag::kHello:
      break;
  }
  r->Fail();
  return CancelRun{};
}

Error ProtocolError(const char* what) {
  return Error{ErrorKind::kProtocolError, std::string("malformed ") + what};
}

/// Returns the fields of a tagged message and stores its tag in `tag`. Null if
/// malformed.
const Json* FieldsOf(const Json& value, int64_t* tag) {
  bool valid =
      value.is_array() && value.size() == 2 && value[0].is_number_integer();
  if (!valid) return nullptr;
  *tag = value[0].get<int64_t>();
  return &value[1];
}

Json Encode(const MemberRecord& m) {
  Json fields =
      Json::array({m.id, m.zone, m.service, m.link, m.gossip, m.incarnation,
                   static_cast<int>(m.state), static_cast<int>(m.health),
                   m.slots, m.suspected_by});
  // Left out if not known, so that members without this field understand the
  // record.
  if (!m.version.empty()) fields.push_back(m.version);
  return fields;
}

MemberRecord ReadMember(const Json& value) {
  CborReader r(value);
  MemberRecord m;
  m.id = r.Unsigned();
  m.zone = r.String();
  m.service = r.String();
  m.link = r.String();
  m.gossip = r.String();
  m.incarnation = static_cast<uint32_t>(r.Unsigned());
  m.state = ReadEnum(&r, MemberState::kGone);
  m.health = ReadEnum(&r, MemberHealth::kUnreachable);
  m.slots = r.Int();
  m.suspected_by = r.Unsigned();
  if (r.Ok() && !r.Done()) m.version = r.String();
  if (!r.Done()) m.id = 0;
  return m;
}

Json EncodeMembers(const std::vector<MemberRecord>& members) {
  Json list = Json::array();
  for (const MemberRecord& member : members) list.push_back(Encode(member));
  return list;
}

Json EncodeCrashSuspicions(const std::vector<CrashSuspicion>& suspicions) {
  Json list = Json::array();
  for (const CrashSuspicion& suspicion : suspicions) {
    Json item = Json::array(
        {suspicion.fingerprint, suspicion.crash_id, suspicion.cleared});
    // Left out of new suspicions, so that members without this field
    // understand them.
    if (suspicion.age_ms > 0) item.push_back(suspicion.age_ms);
    list.push_back(std::move(item));
  }
  return list;
}

void ReadMembers(CborReader* r, std::vector<MemberRecord>* members) {
  CborReader list(r->Next());
  while (list.Ok() && !list.Done()) {
    members->push_back(ReadMember(list.Next()));
    if (members->back().id == 0) list.Fail();
  }
  if (!list.Done()) r->Fail();
}

void ReadCrashSuspicions(CborReader* r,
                         std::vector<CrashSuspicion>* suspicions) {
  CborReader list(r->Next());
  while (list.Ok() && !list.Done()) {
    CborReader item(list.Next());
    CrashSuspicion suspicion;
    suspicion.fingerprint = item.Unsigned();
    suspicion.crash_id = item.Unsigned();
    suspicion.cleared = item.Bool();
    if (item.Ok() && !item.Done()) suspicion.age_ms = item.Integer();
    if (!item.Done()) list.Fail();
    suspicions->push_back(suspicion);
  }
  if (!list.Done()) r->Fail();
}

Json EncodeRollouts(const std::vector<RolloutState>& states) {
  Json list = Json::array();
  for (const RolloutState& s : states) {
    list.push_back(Json::array(
        {s.service, s.to_version, s.from_version, s.generation, s.revision,
         static_cast<int>(s.phase), s.sequence, s.decider, s.share_permille,
         s.trial_servers, s.age_ms, s.duration_ms}));
  }
  return list;
}

std::vector<RolloutState> ReadRollouts(CborReader* r) {
  std::vector<RolloutState> states;
  CborReader list(r->Next());
  while (list.Ok() && !list.Done()) {
    CborReader item(list.Next());
    RolloutState s;
    s.service = item.String();
    s.to_version = item.String();
    s.from_version = item.String();
    s.generation = item.Unsigned();
    s.revision = item.Unsigned();
    s.phase = ReadEnum(&item, RolloutPhase::kRemoved);
    s.sequence = item.Unsigned();
    s.decider = item.Unsigned();
    s.share_permille = item.Int();
    s.trial_servers = item.Int();
    s.age_ms = item.Integer();
    s.duration_ms = item.Integer();
    if (!item.Done()) list.Fail();
    states.push_back(std::move(s));
  }
  if (!list.Done()) r->Fail();
  return states;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  return ToCbor(std::visit([](const auto& m) { return Encode(m); }, message));
}

Result<PeerMessage> DecodePeerMessage(std::string_view bytes) {
  Json value = FromCbor(bytes);
  int64_t tag = 0;
  const Json* fields = FieldsOf(value, &tag);
  bool known = tag >= static_cast<int64_t>(MessageTag::kRunRequest) &&
               tag <= static_cast<int64_t>(MessageTag::kRolloutEvidence);
  if (fields == nullptr || !known) return ProtocolError("link message");
  CborReader reader(*fields);
  PeerMessage message = ReadMessage(static_cast<MessageTag>(tag), &reader);
  if (!reader.Done()) return ProtocolError("link message");
  return message;
}

std::string EncodeDatagram(const Datagram& d, const std::string& secret) {
  Json subject = d.subject.id != 0 ? Encode(d.subject) : Json(nullptr);
  Json fields = Json::array(
      {kMaxProtocolVersion, static_cast<int>(d.type), d.from, d.sequence,
       d.reply_to, subject, d.version, d.version_age_ms, d.from_link, d.zone,
       d.detail, d.wants_reply, EncodeMembers(d.members),
       EncodeCrashSuspicions(d.crash_suspicions), d.digest});
  bool has_suspicions = d.suspicion_digest != CrashGuard::SuspicionDigest{};
  bool has_rollouts = d.rollouts.has_value();
  if (d.document_generation != 0 || has_suspicions || has_rollouts) {
    fields.push_back(d.document_generation);
    fields.push_back(d.document_hash);
  }
  if (has_suspicions || has_rollouts) fields.push_back(d.suspicion_digest);
  if (has_rollouts) fields.push_back(EncodeRollouts(*d.rollouts));
  std::string payload = ToCbor(fields);
  return KeyedHash(secret, payload) + payload;
}

Result<Datagram> DecodeDatagram(std::string_view bytes,
                                const std::string& secret) {
  if (bytes.size() < kMacBytes) return ProtocolError("datagram");
  std::string_view payload = bytes.substr(kMacBytes);
  if (!ConstantTimeEquals(bytes.substr(0, kMacBytes),
                          KeyedHash(secret, payload))) {
    return Error{ErrorKind::kProtocolError, "datagram with a foreign seal"};
  }
  Json value = FromCbor(payload);
  CborReader r(value);
  int64_t version = r.Integer();
  if (version < kMinProtocolVersion || version > kMaxProtocolVersion) {
    return Error{ErrorKind::kProtocolError,
                 "datagram of an unknown protocol version"};
  }
  Datagram d;
  d.type = ReadEnum(&r, DatagramType::kVersionReport);
  d.from = r.Unsigned();
  d.sequence = r.Unsigned();
  d.reply_to = r.String();
  const Json& subject = r.Next();
  if (!subject.is_null()) {
    d.subject = ReadMember(subject);
    if (d.subject.id == 0) r.Fail();
  }
  d.version = r.Unsigned();
  d.version_age_ms = r.Integer();
  d.from_link = r.String();
  d.zone = r.String();
  d.detail = r.String();
  d.wants_reply = r.Bool();
  ReadMembers(&r, &d.members);
  ReadCrashSuspicions(&r, &d.crash_suspicions);
  const Json& digest = r.Next();
  CborReader hashes(digest);
  while (hashes.Ok() && !hashes.Done()) d.digest.push_back(hashes.Unsigned());
  if (r.Ok() && !r.Done()) {
    d.document_generation = r.Unsigned();
    d.document_hash = r.Unsigned();
  }
  if (r.Ok() && !r.Done()) {
    CborReader buckets(r.Next());
    for (uint64_t& bucket : d.suspicion_digest) bucket = buckets.Unsigned();
    if (!buckets.Done()) r.Fail();
  }
  if (r.Ok() && !r.Done()) d.rollouts = ReadRollouts(&r);
  if (!r.Done() || !hashes.Done()) return ProtocolError("datagram");
  return d;
}

std::string EncodeChallenge(const LinkChallenge& c) {
  return ToCbor(Tagged(MessageTag::kChallenge,
                       Json::array({c.oldest, c.newest, c.nonce})));
}

Result<LinkChallenge> DecodeChallenge(std::string_view bytes) {
  Json value = FromCbor(bytes);
  int64_t tag = 0;
  const Json* fields = FieldsOf(value, &tag);
  if (fields == nullptr ||
      tag != static_cast<int64_t>(MessageTag::kChallenge)) {
    return ProtocolError("challenge");
  }
  CborReader r(*fields);
  LinkChallenge c;
  c.oldest = r.Int();
  c.newest = r.Int();
  c.nonce = r.String();
  if (!r.Ok()) return ProtocolError("challenge");
  return c;
}

std::string EncodeHello(const LinkHello& h) {
  return ToCbor(Tagged(MessageTag::kHello,
                       Json::array({h.version, h.link_address, h.proof})));
}

Result<LinkHello> DecodeHello(std::string_view bytes) {
  Json value = FromCbor(bytes);
  int64_t tag = 0;
  const Json* fields = FieldsOf(value, &tag);
  if (fields == nullptr || tag != static_cast<int64_t>(MessageTag::kHello))
    return ProtocolError("hello");
  CborReader r(*fields);
  LinkHello h;
  h.version = r.Int();
  h.link_address = r.String();
  h.proof = r.String();
  if (!r.Ok()) return ProtocolError("hello");
  return h;
}

std::string HelloProof(const std::string& secret, const std::string& nonce,
                       const std::string& link_address) {
  return KeyedHash(secret, "hello " + nonce + " " + link_address);
}

}  // namespace banyanloft
