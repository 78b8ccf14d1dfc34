#include "review/standin-3/ledger.h"

#include <fmt/format.h>

namespace review {

void Ledger::OnRun(const std::string& id) {
  std::lock_guard<std::mutex> lock(mutex_);
  ++runs_[id];
}

void Ledger::OnAnswer(const std::string& id, int status) {
  std::lock_guard<std::mutex> lock(mutex_);
  statuses_[id] = status;
}

int Ledger::Lost() {
  std::lock_guard<std::mutex> lock(mutex_);
  int lost = 0;
  for (const auto& [id, status] : statuses_)
    lost += status != 200 && runs_[id] > 0 ? 1 : 0;
  return lost;
}

std::string Ledger::Summary() {
  std::lock_guard<std::mutex> lock(mutex_);
  std::map<int, int> counts;
  for (const auto& [id, status] : statuses_) ++counts[status];
  std::string out = fmt::format("{} requests", statuses_.size());
  for (const auto& [status, count] : counts)
    out += fmt::format(", {} with {}", count, status);
  return out;
}

void SendUntilStopped(const Fleet& fleet, int client, Ledger* ledger,
                      const std::atomic<bool>* stop) {
  constexpr int64_t kPauseMs = 20;
  for (size_t i = 0; !*stop; ++i) {
    size_t machine = (static_cast<size_t>(client) + i) % fleet.Size();
    bool lookup = i % 2 == 0;
    ClientRequest request;
    request.port = fleet.OutboundPort(machine);
    request.method = lookup ? "GET" : "POST";
    request.id = fmt::format("{:04x}-{:08x}", client, i);
    request.target = (lookup ? kLookupPrefix : kRegisterPrefix) + request.id;
    request.deadline_ms = 3000;
    request.body_bytes = lookup ? 0 : 300;
    ledger->OnAnswer(request.id, SendRequest(request));
    SleepMs(kPauseMs);
  }
}

}  // namespace review
