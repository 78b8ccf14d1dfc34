#include "banyanloft/mesh/backend_client.h"

#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

namespace banyanloft {
namespace {

/// Set in the ids of health checks to keep them distinct from run ids.
constexpr uint64_t kProbeIdBit = uint64_t{1} << 63;

RunResult::Type TypeOf(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kNotSent:
      return RunResult::Type::kNotSent;
    case HttpFailure::kResetUnsent:
      return RunResult::Type::kResetUnsent;
    case HttpFailure::kInvalidRequest:
      return RunResult::Type::kInvalid;
    case HttpFailure::kTimeout:
      return RunResult::Type::kTimeout;
    case HttpFailure::kCancelled:
      return RunResult::Type::kCancelled;
    case HttpFailure::kTooLarge:
      return RunResult::Type::kOversized;
    case HttpFailure::kBroken:
      break;
  }
  return RunResult::Type::kBroken;
}

}  // namespace

BackendClient::BackendClient(boost::asio::io_context& io,
                             const HttpClientSettings& settings,
                             int64_t probe_timeout_ms,
                             const ProtocolAdapter* protocol,
                             BackendClientListener* listener)
    : io_(io),
      client_(io, settings),
      probe_timeout_ms_(probe_timeout_ms),
      protocol_(protocol),
      listener_(listener) {}

void BackendClient::Start(StartRun start, bool after_input) {
  if (!after_input) return Send(start);
  uint64_t run = start.run;
  deferred_.emplace(run, std::move(start));
  boost::asio::post(io_, [this, run] {
    auto it = deferred_.find(run);
    if (it == deferred_.end()) return;
    StartRun deferred = std::move(it->second);
    deferred_.erase(it);
    Send(deferred);
  });
}

void BackendClient::Send(const StartRun& start) {
  uint64_t run = start.run;
  auto ended = [this, run](HttpOutcome outcome) {
    RunResult result;
    if (outcome.failure) {
      result.type = TypeOf(*outcome.failure);
    } else {
      result = protocol_->ReadRunResponse(std::move(outcome.response));
    }
    result.run = run;
    NotifyEnded(std::move(result));
  };
  auto belongs = [this,
                  id = start.request.request_id](const HttpResponse& answer) {
    return protocol_->MatchResponse(answer, id);
  };
  client_.Send(run, protocol_->WriteRunRequest(start), start.remaining_ms,
               ended, belongs);
}

void BackendClient::Cancel(const CancelRunOnBackend& cancel) {
  if (deferred_.erase(cancel.run) > 0) {
    RunResult result;
    result.run = cancel.run;
    result.type = RunResult::Type::kCancelled;
    return NotifyEnded(std::move(result));
  }
  if (!cancel.only_if_unsent) client_.Cancel(cancel.run);
}

void BackendClient::NotifyEnded(RunResult result) {
  auto shared = std::make_shared<RunResult>(std::move(result));
  boost::asio::post(
      io_, [this, shared] { listener_->OnRunEnded(std::move(*shared)); });
}

void BackendClient::Probe() {
  client_.Send(
      kProbeIdBit | next_probe_++, protocol_->WriteProbe(""), probe_timeout_ms_,
      [this](HttpOutcome outcome) {
        ProbeResult result;
        if (!outcome.failure) result = protocol_->ReadProbe(outcome.response);
        result.up =
            !outcome.failure || *outcome.failure == HttpFailure::kTimeout;
        result.reset = outcome.failure == HttpFailure::kBroken ||
                       outcome.failure == HttpFailure::kResetUnsent;
        boost::asio::post(io_, [this, result] { listener_->OnProbed(result); });
      },
      [](const HttpResponse&) { return ResponseMatch::kUnidentified; });
}

}  // namespace banyanloft
