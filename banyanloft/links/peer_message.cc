#include "banyanloft/links/peer_message.h"

#include <optional>

#include "banyanloft/core/digest.h"
#include "banyanloft/links/cbor.h"

namespace banyanloft {
namespace {

/// Shorter bodies are copied into the encoded message.
constexpr size_t kMinSharedBytes = 16 * 1024;

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
  kQuotaAsk = 15,
  kQuotaGrant = 16,
  kQuotaHandover = 17,
  kRolloutEvidence = 18,
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

/// Fields that follow the body. The account is left out if there is none, so
/// that members without this field understand the message.
std::vector<Json> FieldsAfterBody(const ForwardRequest& m, uint32_t features) {
  std::vector<Json> fields;
  bool detail = (features & kLoadDetailFeature) != 0;
  if (detail || !m.account.empty()) fields.emplace_back(m.account);
  if (detail) {
    fields.emplace_back(m.expected_run_ms);
    fields.emplace_back(m.max_wait_ms);
    fields.emplace_back(m.response_bytes);
  }
  return fields;
}

Json Encode(const ForwardRequest& m, uint32_t features) {
  Json fields = Json::array({m.attempt, m.request_id, m.caller, m.service,
                             m.route, m.idempotent, m.priority, m.aim_left_ms,
                             m.remaining_ms, m.method, BytesValue(m.target),
                             EncodeHeaders(m.headers), BytesValue(m.body)});
  for (Json& field : FieldsAfterBody(m, features))
    fields.push_back(std::move(field));
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
  if (r->Ok() && !r->Done()) m.expected_run_ms = r->Integer();
  if (r->Ok() && !r->Done()) m.max_wait_ms = r->Integer();
  if (r->Ok() && !r->Done()) m.response_bytes = r->Integer();
  return m;
}

/// The classes beyond those of the earlier version are left out if they add
/// nothing, so that members of that version understand the message.
Json EncodeAhead(const TargetLoad& load) {
  bool is_short = load.ahead[kRouteClasses - 1] == load.ahead.back();
  size_t count = is_short ? kRouteClasses : load.ahead.size();
  Json list = Json::array();
  for (size_t cls = 0; cls < count; ++cls) list.push_back(load.ahead[cls]);
  return list;
}

void ReadAhead(CborReader* r, TargetLoad* load) {
  CborReader list(r->Next());
  for (size_t cls = 0; cls < load->ahead.size(); ++cls) {
    bool left_out = cls >= kRouteClasses && list.Ok() && list.Done();
    load->ahead[cls] = left_out ? load->ahead[cls - 1] : list.Int();
  }
  if (!list.Done()) r->Fail();
}

Json EncodeLoadDetail(const TargetLoad& load) {
  Json work = Json::array();
  for (int work_ms : load.queued_work_ms) work.push_back(work_ms);
  return Json::array({load.running_work_ms, work, load.slowness_permille,
                      load.link_delay_ms, load.link_bytes_per_ms});
}

/// Further elements, of later versions, are ignored.
void ReadLoadDetail(CborReader* r, TargetLoad* load) {
  CborReader detail(r->Next());
  load->running_work_ms = detail.Int();
  CborReader work(detail.Next());
  for (int& work_ms : load->queued_work_ms) work_ms = work.Int();
  load->slowness_permille = detail.Int();
  if (detail.Ok() && !detail.Done()) load->link_delay_ms = detail.Int();
  if (detail.Ok() && !detail.Done()) load->link_bytes_per_ms = detail.Int();
  if (!detail.Ok() || !work.Done()) r->Fail();
}

Json Encode(const ForwardAnswer& m, uint32_t features) {
  Json ahead = EncodeAhead(m.load);
  Json fields = Json::array(
      {m.attempt, static_cast<int>(m.run_state), ErrorToCbor(m.error),
       m.arrived, m.retry_after_ms, m.run_ms, m.waited_ms, m.load.slots, ahead,
       m.load.mean_run_ms, m.response.status, EncodeHeaders(m.response.headers),
       BytesValue(m.response.body)});
  if ((features & kLoadDetailFeature) != 0)
    fields.push_back(EncodeLoadDetail(m.load));
  return Tagged(MessageTag::kForwardAnswer, std::move(fields));
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
  ReadAhead(r, &m.load);
  m.load.mean_run_ms = r->Int();
  m.response.status = r->Int();
  ReadHeaders(r, &m.response.headers);
  m.response.content_type.clear();
  m.response.body = r->Bytes();
  if (r->Ok() && !r->Done()) ReadLoadDetail(r, &m.load);
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

Json Encode(const QuotaAsk& m) {
  Json items = Json::array();
  for (const QuotaAsk::Item& item : m.items) {
    for (Json field :
         {Json(item.account), Json(item.needed), Json(item.wanted),
          Json(item.spent), Json(item.returned), Json(item.ends_lease)})
      items.push_back(std::move(field));
  }
  return Tagged(MessageTag::kQuotaAsk, Json::array({m.sequence, items}));
}

QuotaAsk ReadQuotaAsk(CborReader* r) {
  QuotaAsk m;
  m.sequence = r->Unsigned();
  CborReader items(r->Next());
  while (items.Ok() && !items.Done()) {
    QuotaAsk::Item item;
    item.account = items.Unsigned();
    item.needed = items.Int();
    item.wanted = items.Int();
    item.spent = items.Int();
    item.returned = items.Int();
    item.ends_lease = items.Bool();
    bool valid = item.needed >= 0 && item.wanted >= 0 && item.spent >= 0 &&
                 item.returned >= 0;
    if (!valid) items.Fail();
    m.items.push_back(item);
  }
  if (!items.Done()) r->Fail();
  return m;
}

Json Encode(const QuotaGrant& m) {
  Json items = Json::array();
  for (const QuotaGrant::Item& item : m.items) {
    for (Json field :
         {Json(item.account), Json(static_cast<int>(item.status)),
          Json(item.tokens), Json(item.life_ms), Json(item.lease_ppm),
          Json(item.retry_after_ms), Json(item.pause_ms), Json(item.home)})
      items.push_back(std::move(field));
  }
  return Tagged(MessageTag::kQuotaGrant, Json::array({m.sequence, items}));
}

QuotaGrant ReadQuotaGrant(CborReader* r) {
  QuotaGrant m;
  m.sequence = r->Unsigned();
  CborReader items(r->Next());
  while (items.Ok() && !items.Done()) {
    QuotaGrant::Item item;
    item.account = items.Unsigned();
    item.status = ReadEnum(&items, QuotaStatus::kYoung);
    item.tokens = items.Int();
    item.life_ms = items.Integer();
    item.lease_ppm = items.Integer();
    item.retry_after_ms = items.Integer();
    item.pause_ms = items.Integer();
    item.home = items.Unsigned();
    bool valid = item.tokens >= 0 && item.life_ms >= 0 && item.lease_ppm >= 0 &&
                 item.retry_after_ms >= 0 && item.pause_ms >= 0;
    if (!valid) items.Fail();
    m.items.push_back(item);
  }
  if (!items.Done()) r->Fail();
  return m;
}

Json Encode(const QuotaHandover& m) {
  Json items = Json::array();
  for (const QuotaHandover::Item& item : m.items) {
    for (Json field : {Json(item.account), Json(item.tokens_permille),
                       Json(item.reserved_permille), Json(item.reserved_ms)})
      items.push_back(std::move(field));
  }
  return Tagged(MessageTag::kQuotaHandover, Json::array({items}));
}

QuotaHandover ReadQuotaHandover(CborReader* r) {
  QuotaHandover m;
  CborReader items(r->Next());
  while (items.Ok() && !items.Done()) {
    QuotaHandover::Item item;
    item.account = items.Unsigned();
    item.tokens_permille = items.Integer();
    item.reserved_permille = items.Integer();
    item.reserved_ms = items.Integer();
    if (item.reserved_permille < 0 || item.reserved_ms < 0) items.Fail();
    m.items.push_back(item);
  }
  if (!items.Done()) r->Fail();
  return m;
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
    case MessageTag::kQuotaAsk:
      return ReadQuotaAsk(r);
    case MessageTag::kQuotaGrant:
      return ReadQuotaGrant(r);
    case MessageTag::kQuotaHandover:
      return ReadQuotaHandover(r);
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

/// Number of fields of an encoded ForwardRequest before its body.
constexpr uint64_t kFieldsBeforeBody = 12;

/// Where the parts of an encoded ForwardRequest are.
struct LongBody {
  size_t fields = 0;  ///< Of its first field.
  size_t item = 0;    ///< Of the body's byte string, with the head.
  size_t begin = 0;   ///< Of the body's bytes.
  uint64_t size = 0;  ///< Of the body, which may not be whole.
};

/// Finds a long body without decoding the message; empty if there is none.
std::optional<LongBody> FindLongBody(std::string_view bytes) {
  constexpr int kUnsignedType = 0;
  constexpr int kBytesType = 2;
  constexpr int kArrayType = 4;
  auto outer = ReadCborItemHead(bytes, 0);
  if (!outer || outer->major != kArrayType) return std::nullopt;
  auto tag = ReadCborItemHead(bytes, outer->end);
  bool forward =
      tag && tag->major == kUnsignedType &&
      tag->argument == static_cast<uint64_t>(MessageTag::kForwardRequest);
  if (!forward) return std::nullopt;
  auto fields = ReadCborItemHead(bytes, tag->end);
  if (!fields || fields->major != kArrayType ||
      fields->argument <= kFieldsBeforeBody)
    return std::nullopt;
  std::optional<size_t> at = fields->end;
  for (uint64_t i = 0; at && i < kFieldsBeforeBody; ++i)
    at = SkipCborItem(bytes, *at);
  if (!at) return std::nullopt;
  auto body = ReadCborItemHead(bytes, *at);
  bool found =
      body && body->major == kBytesType && body->argument >= kMinSharedBytes;
  if (!found) return std::nullopt;
  return LongBody{fields->end, *at, body->end, body->argument};
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

std::string EncodePeerMessage(const PeerMessage& message, uint32_t features) {
  return ToCbor(std::visit(
      [features](const auto& m) {
        using Message = std::decay_t<decltype(m)>;
        constexpr bool kHasOptionalParts =
            std::is_same_v<Message, ForwardRequest> ||
            std::is_same_v<Message, ForwardAnswer>;
        if constexpr (kHasOptionalParts)
          return Encode(m, features);
        else
          return Encode(m);
      },
      message));
}

EncodedMessage EncodePeerMessageInParts(const PeerMessage& message,
                                        uint32_t features) {
  EncodedMessage parts;
  const auto* forward = std::get_if<ForwardRequest>(&message);
  if (forward == nullptr || forward->body.size() < kMinSharedBytes) {
    parts.head = EncodePeerMessage(message, features);
    return parts;
  }
  // Encodes the message without the body and puts it in the place of the empty
  // byte string.
  ForwardRequest bare = *forward;
  bare.body = SharedBytes();
  parts.head = ToCbor(Encode(bare, features));
  for (const Json& field : FieldsAfterBody(bare, features))
    parts.tail += ToCbor(field);
  parts.body = forward->body;
  parts.head.resize(parts.head.size() - parts.tail.size() - 1);
  parts.head += CborBytesHead(forward->body.size());
  return parts;
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

Result<PeerMessage> DecodePeerMessageInPlace(std::string bytes) {
  if (bytes.size() < kMinSharedBytes) return DecodePeerMessage(bytes);
  std::optional<LongBody> body = FindLongBody(bytes);
  if (!body || body->size > bytes.size() - body->begin)
    return DecodePeerMessage(bytes);
  size_t end = body->begin + static_cast<size_t>(body->size);
  std::string bare =
      bytes.substr(0, body->item) + CborBytesHead(0) + bytes.substr(end);
  Result<PeerMessage> message = DecodePeerMessage(bare);
  if (ErrorOf(message) != nullptr) return message;
  bytes.resize(end);
  bytes.erase(0, body->begin);
  std::get<ForwardRequest>(*ValueOf(message)).body = std::move(bytes);
  return message;
}

std::optional<BegunRequest> DecodeBegunRequest(std::string_view beginning) {
  std::optional<LongBody> body = FindLongBody(beginning);
  if (!body) return std::nullopt;
  // The message without what follows the body, which has not arrived.
  constexpr char kArrayHead = '\x80';
  std::string bare{kArrayHead | 2,
                   static_cast<char>(MessageTag::kForwardRequest),
                   static_cast<char>(kArrayHead | (kFieldsBeforeBody + 1))};
  bare += beginning.substr(body->fields, body->item - body->fields);
  bare += CborBytesHead(0);
  Result<PeerMessage> message = DecodePeerMessage(bare);
  if (ErrorOf(message) != nullptr) return std::nullopt;
  return BegunRequest{std::get<ForwardRequest>(std::move(*ValueOf(message))),
                      static_cast<size_t>(body->size)};
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
                       Json::array({c.oldest, c.newest, c.nonce, c.features})));
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
  c.features = 0;
  if (r.Ok() && !r.Done()) c.features = static_cast<uint32_t>(r.Unsigned());
  if (!r.Ok()) return ProtocolError("challenge");
  return c;
}

std::string EncodeHello(const LinkHello& h) {
  return ToCbor(
      Tagged(MessageTag::kHello,
             Json::array({h.version, h.link_address, h.proof, h.features})));
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
  h.features = 0;
  if (r.Ok() && !r.Done()) h.features = static_cast<uint32_t>(r.Unsigned());
  if (!r.Ok()) return ProtocolError("hello");
  return h;
}

std::string HelloProof(const std::string& secret, const std::string& nonce,
                       const std::string& link_address) {
  return KeyedHash(secret, "hello " + nonce + " " + link_address);
}

}  // namespace banyanloft
