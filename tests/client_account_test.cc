#include <CppUTest/TestHarness.h>

#include "banyanloft/links/peer_message.h"
#include "banyanloft/mesh/forwarder.h"
#include "banyanloft/mesh/route_table.h"
#include "platform/document.h"
#include "platform/platform_protocol.h"

using namespace banyanloft;
using namespace banyanloft::platform;

namespace {

constexpr char kDocument[] = R"({
  "version": "00000007",
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000,
             "header_timeout_s": 3, "idle_timeout_s": 15},
  "tenants": [
    {"name": "acme", "api_keys": ["key-a", "key-b"], "priority": 1,
     "rate_per_s": 56.5, "burst": 20},
    {"name": "zenith", "api_keys": ["key-z"], "priority": 0}],
  "listeners": [{"host": "a.example", "rule_set": [
    {"name": "scans", "kind": "download", "priority": 2,
     "allow_anonymous": false, "match": {"path_prefix": "/scans/"},
     "action": {"service": "s", "timeout_s": 1, "max_attempts": 2}},
    {"name": "open", "kind": "safe", "priority": 1, "allow_anonymous": true,
     "match": {"path_prefix": "/open/"},
     "action": {"service": "s", "timeout_s": 1, "max_attempts": 2}}]}],
  "clusters": [{"name": "s", "max_connections": 110}]})";

/// One target that accepts every request.
class SingleTarget final : public CandidateDirectory {
 public:
  std::vector<TargetCandidate> CandidatesOf(const std::string&) const override {
    return {{11, true, false}};
  }
  bool IsContained(TimeMs, const MeshRequest&) const override { return false; }
};

Result<RouteTablePtr> CreateTable(const std::string& document) {
  Result<RouteConfiguration> read = ReadConfigurationDocument(document);
  if (const Error* error = ErrorOf(read)) return *error;
  return RouteTable::Create(std::move(*ValueOf(read)));
}

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kDocument;
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_GROUP(client_account) {
  SingleTarget directory_;
  ForwarderSettings settings_;
  Forwarder forwarder_{settings_, 7, &directory_};
  Forwarder::Actions actions_;
  PlatformProtocol protocol_;

  void SetDocument(const std::string& document) {
    Result<RouteTablePtr> table = CreateTable(document);
    CHECK(ErrorOf(table) == nullptr);
    forwarder_.SetTable(*ValueOf(table));
  }
  void Request(const std::string& path, const std::string& api_key) {
    actions_.clear();
    MeshRequest request;
    request.request_id = "id";
    request.method = "GET";
    request.host = "a.example";
    request.target = path;
    request.api_key = api_key;
    forwarder_.OnRequest(TimeMs(0), next_request_++, request, &actions_);
  }
  const ForwardRequest* Sent() {
    for (const ForwarderAction& action : actions_) {
      if (const auto* sent = std::get_if<SendForward>(&action))
        return &sent->request;
    }
    return nullptr;
  }
  std::optional<ErrorKind> Refused() {
    for (const ForwarderAction& action : actions_) {
      if (const auto* answer = std::get_if<AnswerClient>(&action))
        return answer->answer.error;
    }
    return std::nullopt;
  }

  uint64_t next_request_ = 1;
};

TEST(client_account, document_isDecoded) {
  Result<RouteConfiguration> read = ReadConfigurationDocument(kDocument);
  const RouteConfiguration* out = ValueOf(read);
  CHECK(out != nullptr);
  LONGS_EQUAL(2, out->accounts.size());
  const ClientAccount& account = out->accounts[0];
  STRCMP_EQUAL("acme", account.name.c_str());
  LONGS_EQUAL(2, account.api_keys.size());
  LONGS_EQUAL(1, account.priority);
  DOUBLES_EQUAL(56.5, account.rate_per_s, 0.001);
  DOUBLES_EQUAL(20, account.burst, 0.001);
  DOUBLES_EQUAL(0, out->accounts[1].rate_per_s, 0.001);
  CHECK(out->routes[0].idempotent);
  CHECK(out->routes[0].large_responses);
  CHECK(!out->routes[0].allow_anonymous);
  CHECK(out->routes[1].allow_anonymous);
  CHECK(!out->routes[1].large_responses);
}

/// Guards against a configuration in which a key stands for two accounts, and
/// against an account name that would end the header that it is sent in.
TEST(client_account, invalidAccounts_rejectTheConfigurationWithoutShowingKeys) {
  const std::pair<const char*, const char*> kInvalid[] = {
      {R"("key-z")", R"("key-a")"},
      {R"("zenith")", R"("acme")"},
      {R"("zenith")", R"("a\r\nb")"},
      {R"("burst": 20)", R"("burst": -1)"},
      {R"("rate_per_s": 56.5)", R"("rate_per_s": "a")"},
      {R"(["key-z"])", R"([7])"},
      {R"("allow_anonymous": true)", R"("allow_anonymous": "yes")"}};
  for (const auto& [from, to] : kInvalid) {
    Result<RouteTablePtr> table = CreateTable(Replaced(from, to));
    const Error* error = ErrorOf(table);
    CHECK_TEXT(error != nullptr, to);
    CHECK_TEXT(error->detail.find("key-a") == std::string::npos, to);
  }
}

TEST(client_account, request_keyOfAnAccount_isSentWithItsNameAndNoKey) {
  SetDocument(kDocument);
  Request("/scans/1", "key-b");
  const ForwardRequest* sent = Sent();
  CHECK(sent != nullptr);
  STRCMP_EQUAL("acme", sent->account.c_str());
  CHECK(EncodePeerMessage(*sent).find("key-b") == std::string::npos);
}

TEST(client_account, request_unknownOrMissingKey_isRefusedUnsent) {
  SetDocument(kDocument);
  for (const char* key : {"", "other", "key-", "acme"}) {
    Request("/scans/1", key);
    CHECK_TEXT(Sent() == nullptr, key);
    CHECK_TEXT(Refused() == ErrorKind::kUnknownApiKey, key);
  }
}

TEST(client_account, anonymousRoute_needsNoKey) {
  SetDocument(kDocument);
  Request("/open/1", "");
  CHECK(Sent() != nullptr);
  STRCMP_EQUAL("", Sent()->account.c_str());
  Request("/open/1", "unknown");
  STRCMP_EQUAL("", Sent()->account.c_str());
  Request("/open/1", "key-z");
  STRCMP_EQUAL("zenith", Sent()->account.c_str());
}

TEST(client_account, keyIsRevokedByANewVersion_isRefused) {
  SetDocument(kDocument);
  Request("/scans/1", "key-b");
  CHECK(Sent() != nullptr);
  SetDocument(Replaced(R"("key-b")", R"("key-c")"));
  Request("/scans/1", "key-b");
  CHECK(Refused() == ErrorKind::kUnknownApiKey);
  Request("/scans/1", "key-c");
  CHECK(Sent() != nullptr);
}

TEST(client_account, noConfiguration_isNotReadyRatherThanUnauthorized) {
  Request("/scans/1", "key-a");
  CHECK(Refused() == ErrorKind::kNotReady);
}

TEST(client_account, priorityOfTheAccount_precedesThatOfTheRoute) {
  SetDocument(kDocument);
  Request("/scans/1", "key-z");
  int urgent_account = Sent()->priority;
  Request("/open/1", "key-a");
  CHECK(urgent_account < Sent()->priority);
  Request("/scans/1", "key-a");
  int less_urgent_route = Sent()->priority;
  Request("/open/1", "key-a");
  CHECK(Sent()->priority < less_urgent_route);
}

TEST(client_account, accountsOfEqualPriority_keepThatOfTheRoute) {
  SetDocument(Replaced(R"("priority": 1,)", R"("priority": 0,)"));
  Request("/scans/1", "key-a");
  LONGS_EQUAL(2, Sent()->priority);
  Request("/open/1", "key-z");
  LONGS_EQUAL(1, Sent()->priority);
}

/// The backend server must see the account that this system found, whatever the
/// client sent, and never the key.
TEST(client_account, clientsOwnAccountHeaderAndKey_areNotForwarded) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/scans/1";
  request.headers = {{"Host", "a.example"},
                     {"x-credential", "key-a"},
                     {"X-Tenant", "zenith"},
                     {"X-Attempt-Id", "1"}};
  Result<MeshRequest> read = protocol_.ReadClientRequest(request);
  STRCMP_EQUAL("key-a", ValueOf(read)->api_key.c_str());
  StartRun run;
  run.request.account = "acme";
  run.request.headers = ValueOf(read)->headers;
  HttpRequest sent = protocol_.WriteRunRequest(run);
  CHECK(HeaderOf(sent.headers, "X-Credential").empty());
  STRCMP_EQUAL("acme", std::string(HeaderOf(sent.headers, "X-Tenant")).c_str());
  run.request.account.clear();
  CHECK(HeaderOf(protocol_.WriteRunRequest(run).headers, "X-Tenant").empty());
}

TEST(client_account, severalKeysInOneRequest_countAsNone) {
  HttpRequest request;
  request.headers = {{"X-Credential", "key-a"}, {"X-Credential", "key-z"}};
  Result<MeshRequest> read = protocol_.ReadClientRequest(request);
  STRCMP_EQUAL("", ValueOf(read)->api_key.c_str());
}

TEST(client_account, refusals_useTheirOwnStatus) {
  MeshAnswer answer;
  answer.run_state = RunState::kNotRun;
  answer.retry_after_ms = 1500;
  answer.error = ErrorKind::kUnknownApiKey;
  LONGS_EQUAL(401, protocol_.WriteClientResponse(answer).status);
  answer.error = ErrorKind::kQuotaExceeded;
  HttpResponse response = protocol_.WriteClientResponse(answer);
  LONGS_EQUAL(429, response.status);
  STRCMP_EQUAL("1.500",
               std::string(HeaderOf(response.headers, "Retry-After")).c_str());
}

/// A message without an account must be read by daemons of the earlier version.
TEST(client_account, peerMessage_accountIsOptional) {
  ForwardRequest request;
  request.service = "s";
  std::string without = EncodePeerMessage(request);
  request.account = "acme";
  std::string with = EncodePeerMessage(request);
  CHECK(with.size() > without.size());
  Result<PeerMessage> read = DecodePeerMessage(with);
  STRCMP_EQUAL("acme",
               std::get<ForwardRequest>(*ValueOf(read)).account.c_str());
  read = DecodePeerMessage(without);
  STRCMP_EQUAL("", std::get<ForwardRequest>(*ValueOf(read)).account.c_str());
}
