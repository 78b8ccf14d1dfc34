#include "banyanloft/store/call_outcome.h"

#include <fmt/format.h>

namespace banyanloft {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;

}  // namespace

Error StoreUnavailable(const std::string& detail) {
  return Error{ErrorKind::kPlatformUnavailable, detail};
}

CallOutcome CallOutcomeOf(const PlatformCall& call,
                          const HttpOutcome& outcome) {
  if (outcome.failure) return {StoreUnavailable("no answer"), false};
  int status = outcome.response.status;
  switch (status) {
    case kStatusOk:
    case kStatusCreated:
      return {std::nullopt, true};
    case kStatusConflict:
      return {Error{ErrorKind::kConflict, "the revision has moved on"}, false};
    case kStatusGone:
      return {Error{ErrorKind::kHistoryLost, "history dropped"}, false};
    case kStatusNotFound:
      if (call.type == PlatformCall::Type::kRead) return {};
      break;
    default:
      break;
  }
  return {StoreUnavailable(fmt::format("status {}", status)), false};
}

}  // namespace banyanloft
