#include "platform/platform_protocol.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "banyanloft/core/random.h"
#include "platform/document.h"
#include "platform/settings_file.h"
#include "platform/store_calls.h"

using namespace banyanloft;
using namespace banyanloft::platform;

namespace {

constexpr char kDocument[] = R"({
  "version": "0000001f",
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000,
             "header_timeout_s": 3, "idle_timeout_s": 1.5},
  "base_version": "00000005",
  "listeners": [{"host": "a.example", "rule_set": [
    {"name": "r-1", "kind": "unsafe", "aim_s": 0.5, "priority": 1,
     "match": {"path_prefix": "/x/"},
     "action": {"service": "s1", "timeout_s": 1.5, "max_attempts": 2}},
    {"name": "r-2", "kind": "safe", "aim_s": 0.4, "priority": 0,
     "match": {"path_prefix": "/y/"},
     "action": {"traffic_split": [{"service": "s1", "weight": 90},
                                  {"service": "s2", "weight": 10}],
                "timeout_s": 1.2, "max_attempts": 3}}]}],
  "clusters": [
    {"name": "s1", "health_path": "/healthz", "max_connections": 110},
    {"name": "s2", "health_path": "/healthz", "max_connections": 110}]})";

constexpr char kSettings[] = R"(
node_name = "sidecar-1"
ip = "10.1.0.8"
zone = "z"
internal_ports = [7620,7635]
heartbeat_interval_s = 1.5
bounds = ["grace_s=6","retry_budget_ratio=0.2","retry_budget_slack=56","budget_window_s=10","odd=true"]
app_addr = "10.1.0.8:8301"
service = "svc"
unknown = 7
[listen]
outbound = "10.1.0.8:8304"
ready = "10.1.0.8:8302"
control = "10.1.0.8:8306"
[platform]
address = "10.200.1.7:8309"
)";

HttpResponse ResponseWith(int status, HttpHeaders headers) {
  HttpResponse answer;
  answer.status = status;
  answer.headers = std::move(headers);
  return answer;
}

HttpOutcome OutcomeWith(int status, const std::string& body) {
  HttpOutcome outcome;
  outcome.response.status = status;
  outcome.response.body = body;
  return outcome;
}

}  // namespace

TEST_GROUP(platform_protocol) { PlatformProtocol protocol_; };

TEST(platform_protocol, configuration_validDocument_isDecoded) {
  Result<RouteConfiguration> read = ReadConfigurationDocument(kDocument);
  const RouteConfiguration* out = ValueOf(read);
  CHECK(out != nullptr);
  LONGS_EQUAL(0x1f, out->version);
  LONGS_EQUAL(1500, out->limits.idle_timeout_ms);
  LONGS_EQUAL(2, out->routes.size());
  CHECK(!out->routes[0].idempotent);
  LONGS_EQUAL(1500, out->routes[0].timeout_ms);
  LONGS_EQUAL(500, out->routes[0].aim_ms);
  CHECK(out->routes[1].idempotent);
  LONGS_EQUAL(90, out->routes[1].split[0].weight);
  LONGS_EQUAL(110, out->services.at("s2").max_connections);
}

TEST(platform_protocol, configuration_invalidField_rejectsDocument) {
  std::string valid = kDocument;
  const std::pair<const char*, const char*> kInvalidReplacements[] = {
      {"\"unsafe\"", "\"odd\""},
      {"\"0000001f\"", "\"xyz\""},
      {"\"timeout_s\": 1.5", "\"t\": 1"},
      {"\"/x/\"", "7"},
      {"\"rule_set\"", "\"rules\""},
      {"\"weight\": 10", "\"weight\": \"a\""}};
  for (const auto& [from, to] : kInvalidReplacements) {
    std::string invalid = valid;
    invalid.replace(invalid.find(from), std::string(from).size(), to);
    Result<RouteConfiguration> read = ReadConfigurationDocument(invalid);
    CHECK_TEXT(ErrorOf(read) != nullptr, to);
  }
  Result<RouteConfiguration> truncated =
      ReadConfigurationDocument(valid.substr(0, valid.size() / 2));
  CHECK(ErrorOf(truncated) != nullptr);
}

TEST(platform_protocol, settings_malformedText_neverCrashes) {
  CHECK(ErrorOf(ReadSettingsText("[[[")) != nullptr);
  bool holds = rc::check("mutated settings", [](uint64_t seed) {
    std::string text = kSettings;
    Random random(seed);
    size_t mutations = 1 + random.Below(6);
    for (size_t i = 0; i < mutations; ++i) {
      size_t at = random.Below(text.size());
      constexpr char kCharacters[] = "[]{}=\"'\\\n\t #.,-+_0aeE:";
      char character = kCharacters[random.Below(sizeof(kCharacters) - 1)];
      if (random.ChancePermille(300)) {
        text.erase(at, random.Below(9));
      } else if (random.ChancePermille(500)) {
        text.insert(at, 1 + random.Below(4), character);
      } else {
        text[at] = character;
      }
    }
    ReadSettingsText(text);  // May succeed or return an error.
  });
  CHECK(holds);
}

TEST(platform_protocol, configuration_hostAfterTheRules_isDecoded) {
  std::string text = kDocument;
  std::string host = R"("host": "a.example", )";
  text.erase(text.find(host), host.size());
  std::string end = R"("max_attempts": 3}}])";
  text.replace(text.find(end), end.size(), end + R"(, "host": "b.example")");
  Result<RouteConfiguration> read = ReadConfigurationDocument(text);
  const RouteConfiguration* out = ValueOf(read);
  CHECK(out != nullptr);
  LONGS_EQUAL(2, out->routes.size());
  for (const HttpRoute& route : out->routes)
    STRCMP_EQUAL("b.example", route.host.c_str());
}

TEST(platform_protocol, configuration_rulesOutsideListeners_areIgnored) {
  std::string text = kDocument;
  std::string cluster = R"({"name": "s1", )";
  text.replace(
      text.find(cluster), cluster.size(),
      cluster +
          R"("rule_set": [{"name": "r-9"}], "more": [{"x": [{"rule_set": [{}]}]}], )");
  Result<RouteConfiguration> read = ReadConfigurationDocument(text);
  CHECK(ValueOf(read) != nullptr);
  LONGS_EQUAL(2, ValueOf(read)->routes.size());
}

TEST(platform_protocol, configuration_entryOfWrongType_rejectsDocument) {
  for (const char* entry : {"7, ", "null, ", "\"r-0\", ", "[], ", "{}, "}) {
    std::string rule = kDocument;
    std::string first_rule = R"({"name": "r-1")";
    rule.insert(rule.find(first_rule), entry);
    CHECK_TEXT(ErrorOf(ReadConfigurationDocument(rule)) != nullptr, entry);
    std::string listener = kDocument;
    std::string first = R"({"host")";
    listener.insert(listener.find(first), entry);
    CHECK_TEXT(ErrorOf(ReadConfigurationDocument(listener)) != nullptr, entry);
  }
  for (const char* text : {"", "[]", "7", "{}", R"({"listeners": {}})"})
    CHECK_TEXT(ErrorOf(ReadConfigurationDocument(text)) != nullptr, text);
}

TEST(platform_protocol, heartbeat_invalidBody_isRejected) {
  const char* kInvalidBodies[] = {
      "",
      "[]",
      "{",
      "{\"service\":\"s\"}",
      R"({"service":"s","address":"a","slots":"18","state":"ready","sequence":1})",
      R"({"service":"s","address":"a","slots":18,"state":"odd","sequence":1})"};
  for (const char* body : kInvalidBodies) {
    Result<InstanceReport> read = ReadHeartbeat("i-1", body);
    CHECK_TEXT(ErrorOf(read) != nullptr, body);
  }
}

TEST(platform_protocol, heartbeat_numberOutOfRange_isRejected) {
  const char* kFields[] = {R"("slots":0)",
                           R"("slots":-1)",
                           R"("slots":4294967314)",
                           R"("slots":18,"sequence":18446744073709551615)",
                           R"("slots":18,"born":18446744073709551615)",
                           R"("slots":18,"cold_remaining_s":1e300)",
                           R"("slots":18,"cold_remaining_s":-1e300)",
                           R"("slots":18,"cold_remaining_s":1e999)"};
  for (const char* field : kFields) {
    std::string body = fmt::format(
        R"({{"service":"s","address":"a","state":"ready","sequence":1,{}}})",
        field);
    CHECK_TEXT(ErrorOf(ReadHeartbeat("i-1", body)) != nullptr, field);
  }
  std::string nested = std::string(200000, '[') + std::string(200000, ']');
  CHECK(ErrorOf(ReadHeartbeat("i-1", R"({"slots":)" + nested + "}")) !=
        nullptr);
}

TEST(platform_protocol, heartbeat_valid_isDecoded) {
  Result<InstanceReport> read = ReadHeartbeat(
      "i-1",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
      R"("slots":18,"state":"draining","cold_remaining_s":0.5,"sequence":4,)"
      R"("born":1772330444166})");
  const InstanceReport* report = ValueOf(read);
  CHECK(report != nullptr);
  CHECK(report->draining);
  LONGS_EQUAL(500, report->warm_up_ms);
  CHECK(report->start_time_ms == 1772330444166);
}

TEST(platform_protocol, clientRequest_hopByHopAndReservedHeaders_areDropped) {
  HttpRequest request;
  request.method = "PUT";
  request.target = "/x/1?a=b";
  request.headers = {{"Host", "a.example"},
                     {"X-Attempt-Id", "id"},
                     {"X-Deadline-Ms", "250"},
                     {"Connection", "keep-alive, X-Odd"},
                     {"X-Odd", "1"},
                     {"X-Caller-Service", "forged"},
                     {"X-Expected-Instance", "forged"},
                     {"X-Other", "kept"}};
  Result<MeshRequest> read = protocol_.ReadClientRequest(request);
  const MeshRequest* out = ValueOf(read);
  STRCMP_EQUAL("id", out->request_id.c_str());
  LONGS_EQUAL(250, out->wait_ms);
  LONGS_EQUAL(3, out->headers.size());
}

TEST(platform_protocol, clientRequest_nonNumericDeadline_isRejected) {
  HttpRequest request;
  request.headers = {{"X-Deadline-Ms", "soon"}};
  Result<MeshRequest> read = protocol_.ReadClientRequest(request);
  CHECK(ErrorOf(read) != nullptr);
}

/// Guards against a malformed deadline that is cut to its first digits: such a
/// request is refused as one that may be sent again.
TEST(platform_protocol, clientRequest_malformedDeadline_isRejected) {
  for (const char* text : {"", " ", "0", "-5", "1e999", "12x", "0x20", "nan",
                           "inf", "1 2", "99999999999999999999999999"}) {
    HttpRequest request;
    request.headers = {{"X-Deadline-Ms", text}};
    Result<MeshRequest> read = protocol_.ReadClientRequest(request);
    CHECK_TEXT(ErrorOf(read) != nullptr, text);
  }
}

TEST(platform_protocol, clientRequest_fractionalDeadline_isRoundedDown) {
  HttpRequest request;
  for (const char* text : {"2500.9", "2500"}) {
    request.headers = {{"X-Deadline-Ms", text}};
    LONGS_EQUAL(2500, ValueOf(protocol_.ReadClientRequest(request))->wait_ms);
  }
  request.headers = {{"X-Deadline-Ms", "0.4"}};
  LONGS_EQUAL(1, ValueOf(protocol_.ReadClientRequest(request))->wait_ms);
  request.headers = {};
  LONGS_EQUAL(0, ValueOf(protocol_.ReadClientRequest(request))->wait_ms);
}

/// Guards against a request that loses its id, and so runs without one.
TEST(platform_protocol, connectionListsEndToEndHeaders_areForwarded) {
  HttpRequest request;
  request.headers = {{"Host", "a.example"},
                     {"X-Attempt-Id", "id"},
                     {"Connection", "x-attempt-id, Host, X-Odd"},
                     {"X-Odd", "1"}};
  Result<MeshRequest> read = protocol_.ReadClientRequest(request);
  const HttpHeaders& headers = ValueOf(read)->headers;
  CHECK(HeaderOf(headers, "x-attempt-id") == "id");
  CHECK(HeaderOf(headers, "host") == "a.example");
  LONGS_EQUAL(2, headers.size());
}

TEST(platform_protocol, runRequest_namesInstanceCallerAndRemainingTime) {
  StartRun run;
  run.instance = "i-1";
  run.remaining_ms = 77;
  run.request.caller = "svc";
  HttpRequest out = protocol_.WriteRunRequest(run);
  STRCMP_EQUAL("77",
               std::string(HeaderOf(out.headers, "X-Deadline-Ms")).c_str());
  STRCMP_EQUAL(
      "i-1", std::string(HeaderOf(out.headers, "X-Expected-Instance")).c_str());
  STRCMP_EQUAL("svc",
               std::string(HeaderOf(out.headers, "X-Caller-Service")).c_str());
}

TEST(platform_protocol, runResponses_areClassified) {
  const std::pair<std::string, std::string> kId = {"X-Attempt-Id", "id"};
  const std::pair<std::string, std::string> kSigned = {"X-Response-Signature",
                                                       "s"};
  struct Row {
    int status;
    HttpHeaders headers;
    RunResult::Type type;
  };
  const Row kRows[] = {
      {200, {kId, kSigned}, RunResult::Type::kAnswered},
      {200, {kId}, RunResult::Type::kGarbled},
      {200, {kSigned}, RunResult::Type::kGarbled},
      {200,
       {kId, kSigned, {"Content-Encoding", "gzip"}},
       RunResult::Type::kGarbled},
      {500, {kId, kSigned}, RunResult::Type::kAnswered},
      {503, {kId, {"X-Not-Executed", "1"}}, RunResult::Type::kRejected},
      {421, {kId}, RunResult::Type::kMisplaced}};
  for (const Row& row : kRows) {
    RunResult result =
        protocol_.ReadRunResponse(ResponseWith(row.status, row.headers));
    CHECK(result.type == row.type);
  }
}

TEST(platform_protocol, runResponses_limitAndLeaving_areRead) {
  const HttpHeaders kRejected = {{"X-Not-Executed", "1"}};
  struct Row {
    const char* text;
    std::optional<double> limit;
    const char* malformed;
  };
  const Row kRows[] = {
      {"38.8", 38.8, ""},           {"0", 0.0, ""},
      {"1000000", 1000000.0, ""},   {"", std::nullopt, ""},
      {"-1", std::nullopt, "-1"},   {"12x", std::nullopt, "12x"},
      {"nan", std::nullopt, "nan"}, {"inf", std::nullopt, "inf"},
      {"1e9", std::nullopt, "1e9"}, {"many", std::nullopt, "many"}};
  for (const Row& row : kRows) {
    HttpHeaders headers = kRejected;
    headers.emplace_back("Server-Limit", row.text);
    RunResult result = protocol_.ReadRunResponse(ResponseWith(503, headers));
    CHECK(result.notice->limit_per_s == row.limit);
    STRCMP_EQUAL(row.malformed, result.notice->malformed_limit.c_str());
    CHECK_FALSE(result.notice->leaving);
  }
  HttpHeaders leaving = kRejected;
  leaving.emplace_back("Server-Leaving", "1");
  CHECK(protocol_.ReadRunResponse(ResponseWith(503, leaving)).notice->leaving);
  CHECK(protocol_.ReadProbe(ResponseWith(503, leaving)).notice->leaving);
  CHECK(protocol_.ReadProbe(ResponseWith(503, leaving)).instance.empty());
}

// Another server answers at the address, or the bytes answer another request.
TEST(platform_protocol, runResponses_ofOtherServers_carryNoNotice) {
  const HttpHeaders kLimited = {{"Server-Limit", "1"}, {"Server-Leaving", "1"}};
  CHECK_FALSE(protocol_.ReadRunResponse(ResponseWith(421, kLimited)).notice);
  CHECK_FALSE(protocol_.ReadRunResponse(ResponseWith(200, kLimited)).notice);
}

TEST(platform_protocol, ownResponses_reportNotRunOnlyIfCertain) {
  struct Row {
    ErrorKind error;
    RunState state;
    int status;
  };
  const Row kRows[] = {{ErrorKind::kOverloaded, RunState::kNotRun, 503},
                       {ErrorKind::kTimeout, RunState::kNotRun, 503},
                       {ErrorKind::kTimeout, RunState::kUnknown, 504},
                       {ErrorKind::kTargetLost, RunState::kUnknown, 502},
                       {ErrorKind::kOverloaded, RunState::kUnknown, 502},
                       {ErrorKind::kUnknownRoute, RunState::kNotRun, 404},
                       {ErrorKind::kSlowRequest, RunState::kNotRun, 408},
                       {ErrorKind::kOversizedRequest, RunState::kNotRun, 413}};
  for (const Row& row : kRows) {
    MeshAnswer answer;
    answer.error = row.error;
    answer.run_state = row.state;
    answer.retry_after_ms = 1250;
    HttpResponse out = protocol_.WriteClientResponse(answer);
    LONGS_EQUAL(row.status, out.status);
    if (row.status == 503) {
      STRCMP_EQUAL("1.250",
                   std::string(HeaderOf(out.headers, "Retry-After")).c_str());
    }
  }
}

TEST(platform_protocol, storeWrite_createsOrReplacesByRevision) {
  PlatformCall call;
  call.type = PlatformCall::Type::kWrite;
  call.key = "rendezvous/z";
  call.value = R"({"gossip":[]})";
  call.expected_revision = 0;
  HttpRequest create = WriteStoreRequest(call);
  STRCMP_EQUAL("POST", create.method.c_str());
  STRCMP_EQUAL("/-/objects/rendezvous", create.target.c_str());
  call.expected_revision = 12;
  HttpRequest replace = WriteStoreRequest(call);
  STRCMP_EQUAL("PUT", replace.method.c_str());
  STRCMP_EQUAL("/-/objects/rendezvous/z", replace.target.c_str());
  CHECK(replace.body.find("12") != std::string::npos);
}

TEST(platform_protocol, storeReplies_areDecodedOrRejected) {
  PlatformCall list;
  list.type = PlatformCall::Type::kList;
  list.key = "config/";
  const char* kItems =
      R"({"items":[{"metadata":{"name":"main","revision":5},"spec":{"a":1}},)"
      R"("rubbish",{"metadata":{"name":7}}],"more":false,"current_rev":9})";
  PlatformReply reply = ReadStoreOutcome(list, OutcomeWith(200, kItems));
  CHECK(!reply.error);
  LONGS_EQUAL(1, reply.objects.size());
  STRCMP_EQUAL("config/main", reply.objects[0].key.c_str());
  LONGS_EQUAL(9, reply.revision);

  CHECK(ReadStoreOutcome(list, OutcomeWith(410, "")).error->kind ==
        ErrorKind::kHistoryLost);
  for (int status : {429, 500, 503})
    CHECK(ReadStoreOutcome(list, OutcomeWith(status, "")).error->kind ==
          ErrorKind::kPlatformUnavailable);
  CHECK(ReadStoreOutcome(list, OutcomeWith(200, "{")).error.has_value());
  CHECK(ReadStoreOutcome(list, OutcomeWith(200, "{}")).error.has_value());
}

/// One entry of another writer must neither end the process nor hide the other
/// entries.
TEST(platform_protocol, storeListHasAnOddEntry_othersAreRead) {
  constexpr size_t kNesting = 450000;
  const std::string kOddSpecs[] = {
      std::string(kNesting, '[') + std::string(kNesting, ']'),
      R"({"gossip":)" + std::string(kNesting, '[') +
          std::string(kNesting, ']') + "}",
      R"({"members":1e999})",
      R"({"zone":"\ud800"})",
      "\"\xff\"",
      "[1,]"};
  for (const std::string& odd : kOddSpecs) {
    auto object = [](const char* name, const std::string& spec) {
      return fmt::format(
          R"({{"metadata":{{"name":"{}","revision":5}},"spec":{}}})", name,
          spec);
    };
    std::string good = object("b", R"({"text":"\",[}{]:"})");
    PlatformCall list;
    list.type = PlatformCall::Type::kList;
    list.key = "rendezvous/";
    std::string items =
        fmt::format(R"({{"items":[{},{},{}], "more":false,"current_rev":9}})",
                    object("a", "{}"), object("odd", odd), good);
    PlatformReply reply = ReadStoreOutcome(list, OutcomeWith(200, items));
    CHECK(!reply.error);
    LONGS_EQUAL(2, reply.objects.size());
    LONGS_EQUAL(1, reply.malformed_objects);
    STRCMP_EQUAL(R"({"text":"\",[}{]:"})", reply.objects[1].value.c_str());
    LONGS_EQUAL(9, reply.revision);

    list.watch_after = 5;
    std::string events = fmt::format(
        R"({{"events":[{{"object":{}}},{{"deleted":"x","object":{}}},)"
        R"({{"object":{}}}],"current_rev":9}})",
        object("odd", odd), good, good);
    reply = ReadStoreOutcome(list, OutcomeWith(200, events));
    CHECK(!reply.error);
    LONGS_EQUAL(2, reply.objects.size());
  }
}

TEST(platform_protocol, storeListIsCutOffAnywhere_isRejected) {
  const std::string body =
      R"({"items":[{"metadata":{"name":"a","revision":5}}],"current_rev":9})";
  PlatformCall list;
  list.type = PlatformCall::Type::kList;
  list.key = "rendezvous/";
  for (size_t size = 0; size < body.size(); ++size) {
    PlatformReply reply =
        ReadStoreOutcome(list, OutcomeWith(200, body.substr(0, size)));
    CHECK(reply.error.has_value());
  }
  CHECK(!ReadStoreOutcome(list, OutcomeWith(200, body)).error);
}

TEST(platform_protocol, storeReplies_nameTheStoresGeneration) {
  PlatformCall list;
  list.type = PlatformCall::Type::kList;
  list.key = "config/";
  struct Row {
    const char* text;
    uint64_t generation;
  };
  for (const Row& row : {Row{"3", 3}, Row{"0", 0}, Row{"-1", 0}, Row{"3x", 0},
                         Row{"", 0}, Row{"99999999999999999999", 0}}) {
    for (int status : {200, 410, 503}) {
      HttpOutcome outcome = OutcomeWith(status, R"({"items":[]})");
      outcome.response.headers.emplace_back("Store-Era", row.text);
      PlatformReply reply = ReadStoreOutcome(list, outcome);
      LONGS_EQUAL(row.generation, reply.generation);
      bool is_number = row.generation != 0 || std::string(row.text) == "0";
      STRCMP_EQUAL(is_number ? "" : row.text,
                   reply.malformed_generation.c_str());
    }
  }
  HttpOutcome lost;
  lost.failure = HttpFailure::kBroken;
  LONGS_EQUAL(0, ReadStoreOutcome(list, lost).generation);
}

TEST(platform_protocol, storeWatch_eventsAreDecodedAsObjects) {
  PlatformCall watch;
  watch.type = PlatformCall::Type::kList;
  watch.key = "config/";
  watch.watch_after = 5;
  watch.wait_ms = 2000;
  STRCMP_EQUAL("/-/objects/config?watch=5&wait_ms=2000",
               WriteStoreRequest(watch).target.c_str());
  const char* kEvents =
      R"({"events":[{"deleted":false,"object":{"metadata":{"name":"main",)"
      R"("revision":6},"spec":{}}},{"deleted":true,"object":{"metadata":)"
      R"({"name":"x","revision":7}}}],"current_rev":7})";
  PlatformReply reply = ReadStoreOutcome(watch, OutcomeWith(200, kEvents));
  LONGS_EQUAL(1, reply.objects.size());
  LONGS_EQUAL(7, reply.revision);
}

TEST(platform_protocol, rolloutOrder_isReadAndItsStatusWrittenWithTheRevision) {
  PlatformCall list;
  list.type = PlatformCall::Type::kList;
  list.key = "rollouts/";
  const char* kItems =
      R"({"items":[{"metadata":{"name":"s1","revision":5},"spec":{"service":)"
      R"("s1","to_version":"v2","duration_s":40.5},"status":{"state":)"
      R"("rolled_back","to_version":"v1"}}],"current_rev":9})";
  PlatformReply reply = ReadStoreOutcome(list, OutcomeWith(200, kItems));
  PlatformProtocol protocol;
  Result<RolloutOrder> read = protocol.ReadRollout(reply.objects.at(0));
  const RolloutOrder* order = ValueOf(read);
  CHECK(order != nullptr);
  STRCMP_EQUAL("s1", order->service.c_str());
  STRCMP_EQUAL("v2", order->to_version.c_str());
  LONGS_EQUAL(40500, order->duration_ms);
  CHECK(order->status == RolloutPhase::kRolledBack);
  CHECK(!order->HasStatus());

  PlatformCall write;
  write.type = PlatformCall::Type::kWrite;
  write.is_status = true;
  write.key = "rollouts/s1";
  write.value = protocol.WriteRolloutStatus(RolloutPhase::kSucceeded, "v2");
  write.expected_revision = 5;
  HttpRequest request = WriteStoreRequest(write);
  STRCMP_EQUAL("PUT", request.method.c_str());
  STRCMP_EQUAL("/-/objects/rollouts/s1/status", request.target.c_str());
  STRCMP_EQUAL(R"({"metadata":{"name":"s1","revision":5},"status":{"state":)"
               R"("succeeded","to_version":"v2"}})",
               request.body.c_str());
}

TEST(platform_protocol, rolloutOrder_malformed_isAnError) {
  PlatformProtocol protocol;
  for (const char* spec :
       {"", "[]", "{}", R"({"service":"s","to_version":"v2"})",
        R"({"service":"s","to_version":"v2","duration_s":0})",
        R"({"service":"s","to_version":"","duration_s":5})",
        R"({"service":"s","to_version":7,"duration_s":5})"}) {
    PlatformObject object;
    object.key = "rollouts/s";
    object.value = spec;
    CHECK(ErrorOf(protocol.ReadRollout(object)) != nullptr);
  }
  // A status that cannot be read is none.
  PlatformObject object;
  object.value = R"({"service":"s","to_version":"v2","duration_s":5})";
  for (const char* status :
       {"", "7", "{}", R"({"state":"x","to_version":"v2"})",
        R"({"state":"succeeded"})"}) {
    object.status = status;
    Result<RolloutOrder> read = protocol.ReadRollout(object);
    CHECK(ValueOf(read) != nullptr && !ValueOf(read)->HasStatus());
  }
}

TEST(platform_protocol, heartbeat_versionIsOptional) {
  const std::string fields =
      R"("state":"ready","service":"s","address":"10.0.0.1:1","slots":3,"sequence":1)";
  Result<InstanceReport> without = ReadHeartbeat("i", "{" + fields + "}");
  Result<InstanceReport> with =
      ReadHeartbeat("i", "{" + fields + R"(,"version":"v7"})");
  STRCMP_EQUAL("", ValueOf(without)->version.c_str());
  STRCMP_EQUAL("v7", ValueOf(with)->version.c_str());
}

TEST(platform_protocol, settings_rolloutContract_enablesRollouts) {
  Result<SidecarSettings> plain = ReadSettingsText(kSettings);
  CHECK(!ValueOf(plain)->node.rollouts.enabled);
  std::string text = "contracts = [\"other\", \"rollout\"]\n";
  text += kSettings;
  size_t bounds = text.find("\"odd=true\"");
  text.insert(bounds, "\"exposure_share=0.2\",\"exposure_slack=30\",");
  Result<SidecarSettings> read = ReadSettingsText(text);
  CHECK(ValueOf(read)->node.rollouts.enabled);
  LONGS_EQUAL(200, ValueOf(read)->node.rollouts.controller.exposure_permille);
  LONGS_EQUAL(30, ValueOf(read)->node.rollouts.controller.exposure_slack);
  STRCMP_EQUAL("rollouts/", ValueOf(read)->node.rollouts.store.prefix.c_str());
}

TEST(platform_protocol, settings_validFile_isDecoded) {
  Result<SidecarSettings> read = ReadSettingsText(kSettings);
  const SidecarSettings* settings = ValueOf(read);
  CHECK(settings != nullptr);
  STRCMP_EQUAL("10.1.0.8:8304", settings->clients.Text().c_str());
  STRCMP_EQUAL("10.1.0.8:7620", settings->link.Text().c_str());
  LONGS_EQUAL(200, settings->node.forwarder.budget.ratio_permille);
  LONGS_EQUAL(56, settings->node.forwarder.budget.slack);
  CHECK(settings->node.drain_max_ms < 6000);
  STRCMP_EQUAL("config/main", settings->node.config.key.c_str());
}

TEST(platform_protocol, settings_errors_areAllReported) {
  std::string text = kSettings;
  text.replace(text.find("zone ="), 4, "zona");
  text.replace(text.find("10.1.0.8:8301"), 13, "nowhere");
  Result<SidecarSettings> read = ReadSettingsText(text);
  const Error* error = ErrorOf(read);
  CHECK(error != nullptr);
  CHECK(error->detail.find("zone") != std::string::npos);
  CHECK(error->detail.find("app_addr") != std::string::npos);
  Result<SidecarSettings> malformed = ReadSettingsText("= no toml");
  CHECK(ErrorOf(malformed) != nullptr);
}
