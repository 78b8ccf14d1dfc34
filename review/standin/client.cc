#include "review/standin/client.h"

namespace review {

bool Client::Connect() {
  if (connection_ && !connection_->Closed()) return true;
  kept_ = false;
  connection_ =
      Connection::Open(daemon_, link_.window_bytes, link_.segment_bytes);
  if (connection_)
    connection_->SetPace(link_.window_bytes, link_.round_trip_ms);
  return connection_ != nullptr;
}

Outcome Client::Send(const Message& request, int64_t timeout_ms) {
  Outcome outcome;
  outcome.sent_at = outcome.ended_at = NowMs();
  if (!Connect()) return outcome;
  connection_->SetTimeout(timeout_ms);
  outcome.kept = kept_;
  outcome.written = connection_->Write(RequestText(request));
  size_t before = connection_->BytesRead();
  outcome.answered = connection_->ReadResponse(&outcome.answer);
  outcome.began = connection_->BytesRead() > before;
  outcome.ended_at = NowMs();
  outcome.closed = !outcome.answered && connection_->Closed();
  kept_ = true;
  if (!outcome.answered || outcome.answer.Header("Connection") == "close")
    connection_.reset();
  return outcome;
}

}  // namespace review
