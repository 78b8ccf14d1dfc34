#include "review/standin/load.h"

#include <algorithm>

namespace review {

void Load::OnRun(const std::string& id) {
  record_->Line("a target runs " + id);
  std::lock_guard<std::mutex> lock(mutex_);
  ran_.insert(id);
}

void Load::Start(const std::string& service, int clients_per_machine) {
  for (Machine* machine : fleet_->OfService(service)) {
    for (int i = 1; i <= clients_per_machine; ++i)
      clients_.emplace_back([this, machine, i] { RunClient(*machine, i); });
  }
}

void Load::Stop() {
  stop_ = true;
  for (std::thread& client : clients_) client.join();
  clients_.clear();
}

int Load::MostLost() {
  std::lock_guard<std::mutex> lock(mutex_);
  int most = 0;
  for (const auto& [machine, count] : lost_) most = std::max(most, count);
  return most;
}

void Load::RunClient(const Machine& machine, int number) {
  constexpr int64_t kPauseMs = 50;
  constexpr int64_t kDeadlineMs = 2500;
  // Spread, so that requests are under way at any time.
  constexpr int64_t kSpreadMs = 30;
  SleepMs(number * kSpreadMs);
  Client client(machine.outbound);
  for (int i = 1; !stop_; ++i) {
    std::string id = machine.settings.name + "-" + std::to_string(number) +
                     "-" + std::to_string(i);
    record_->Line("client sends " + id);
    Outcome outcome =
        client.Send(ClientRequest("GET", "/lookup/" + id + "?work=300", id,
                                  kDeadlineMs, ""),
                    kDeadlineMs);
    if (outcome.answered) {
      ++answered_;
      record_->Line("client gets " + std::to_string(outcome.answer.status) +
                    " for " + id);
    } else {
      std::lock_guard<std::mutex> lock(mutex_);
      bool lost = outcome.kept && outcome.closed && ran_.count(id) > 0;
      if (lost) ++lost_[machine.settings.name];
      record_->Line("connection of " + id + " ends without an answer" +
                    (lost ? ", a target ran the request: lost" : ""));
    }
    SleepMs(kPauseMs);
  }
}

int RestartEnded(Fleet* fleet, Record* record) {
  constexpr int64_t kRestartMs = 500;
  std::string how;
  std::vector<Machine*> ended;
  for (auto& machine : fleet->Machines()) {
    if (!machine->daemon->HasEnded(&how)) continue;
    record->Line("the daemon of " + machine->settings.name + " ended " + how);
    ended.push_back(machine.get());
  }
  if (ended.empty()) return 0;
  SleepMs(kRestartMs);
  for (Machine* machine : ended) {
    machine->daemon->Start();
    record->Line("the daemon of " + machine->settings.name + " started");
  }
  return static_cast<int>(ended.size());
}

}  // namespace review
