#include "banyanloft/store/http_codec.h"

#include <fmt/format.h>

#include <charconv>

#include "banyanloft/config/json.h"
#include "banyanloft/store/call_outcome.h"

namespace banyanloft {
namespace {

uint64_t RevisionOf(const HttpResponse& response) {
  std::string_view text = HeaderOf(response.headers, "Revision");
  uint64_t revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  return revision;
}

bool ReadList(const std::string& body, std::vector<PlatformObject>* objects) {
  Json json = ParseJson(body);
  if (!json.is_array()) return false;
  for (const Json& item : json) {
    JsonReader reader(item);
    PlatformObject object{reader.String("key"),
                          static_cast<uint64_t>(reader.Int("revision")),
                          reader.String("value")};
    if (!reader.FirstError().empty()) return false;
    objects->push_back(std::move(object));
  }
  return true;
}

}  // namespace

HttpRequest PlatformRequestOf(const PlatformCall& call) {
  HttpRequest request;
  switch (call.type) {
    case PlatformCall::Type::kRead:
      request.target = "/objects/" + call.key;
      if (call.watch_after) {
        request.target += fmt::format("?after={}&wait_ms={}", *call.watch_after,
                                      call.wait_ms);
      }
      break;
    case PlatformCall::Type::kList:
      request.target = "/list/" + call.key;
      break;
    case PlatformCall::Type::kWrite:
      request.method = "PUT";
      request.target = "/objects/" + call.key;
      request.body = call.value;
      if (call.expected_revision) {
        request.headers.emplace_back("If-Revision",
                                     std::to_string(*call.expected_revision));
      }
      break;
  }
  return request;
}

int64_t PlatformTimeoutMs(const PlatformCall& call, int64_t base_ms) {
  return base_ms + (call.watch_after ? call.wait_ms : 0);
}

PlatformReply PlatformReplyOf(const PlatformCall& call,
                              const HttpOutcome& outcome) {
  PlatformReply reply;
  reply.id = call.id;
  CallOutcome call_outcome = CallOutcomeOf(call, outcome);
  reply.error = call_outcome.error;
  if (!call_outcome.has_body) return reply;

  const HttpResponse& response = outcome.response;
  reply.revision = RevisionOf(response);
  if (call.type == PlatformCall::Type::kRead) {
    reply.objects.push_back({call.key, reply.revision, response.body});
  } else if (call.type == PlatformCall::Type::kList &&
             !ReadList(response.body, &reply.objects)) {
    reply.error = StoreUnavailable("malformed list");
  }
  return reply;
}

}  // namespace banyanloft
