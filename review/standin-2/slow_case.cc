// Clients of two machines ask for large answers, and pause before they read
// them. The platform kills a daemon whose memory exceeds that of its machine,
// and starts it again.

#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <thread>

#include "review/standin-2/platform.h"

namespace {

using namespace review;

constexpr int kMachines = 6;
/// The clients are those of the first two machines; the last four hold the
/// targets of the service that they call.
constexpr size_t kIngress = 2;
constexpr int kWaves = 4;
constexpr size_t kAnswerBytes = 3100000;
constexpr int kReaders = 80;
constexpr int64_t kBetweenMs = 45;
constexpr int64_t kPauseMs = 5000;
/// Receive window of a client, in bytes.
constexpr int kWindowBytes = 4 * 1024;
constexpr int kMemoryMb = 160;
constexpr int64_t kMemoryBytes = int64_t{kMemoryMb} * 1024 * 1024;
constexpr int64_t kWatchMs = 2;
constexpr int64_t kRestartMs = 1000;
constexpr char kHost[] = "jepu9.example";

volatile bool stop_loops = false;

/// One machine: its daemon, and how often the platform had to kill it.
struct Machine {
  explicit Machine(int first) : ports(first) {}
  MachinePorts ports;
  std::unique_ptr<DaemonProcess> daemon;
  int killed = 0;
  int ended = 0;
  int64_t peak_bytes = 0;
  int64_t restart_at = 0;
};

/// Clients of one machine that ask for a large answer each. Some time after
/// that they read it, or at once.
class Readers {
 public:
  Readers(size_t machine, uint16_t port, Journal* journal)
      : machine_(machine), port_(port), journal_(journal) {}

  /// Opens all connections; then pauses, and reads what comes.
  void Run(int wave, bool pause) {
    std::vector<std::thread> readers;
    for (int i = 0; i < kReaders; ++i) {
      std::string id = "w" + std::to_string(wave) + "-" +
                       std::to_string(machine_) + "-" + std::to_string(i);
      readers.emplace_back([this, id, pause] { ReadOne(id, pause); });
      std::this_thread::sleep_for(std::chrono::milliseconds(kBetweenMs));
    }
    for (std::thread& reader : readers) reader.join();
  }

 private:
  void ReadOne(const std::string& id, bool pause) {
    Sent sent;
    sent.method = "GET";
    sent.target = "/scan/" + id;
    sent.caller = "catalogue";
    std::string text = "GET " + sent.target + " HTTP/1.1\r\nHost: " + kHost +
                       "\r\nX-Attempt-Id: " + id +
                       "\r\nX-Deadline-Ms: 6000\r\n\r\n";
    journal_->Add(id, std::move(sent));
    int fd = Connect(port_, 8000, kWindowBytes);
    Message answer;
    std::string input;
    if (fd >= 0) {
      send(fd, text.data(), text.size(), MSG_NOSIGNAL);
      if (pause)
        std::this_thread::sleep_for(std::chrono::milliseconds(kPauseMs));
      std::vector<char> buffer(64 * 1024);
      while (!TakeMessage(&input, &answer)) {
        ssize_t got = recv(fd, buffer.data(), buffer.size(), 0);
        if (got <= 0) break;
        input.append(buffer.data(), static_cast<size_t>(got));
      }
      close(fd);
    }
    journal_->Answered(id, answer.status,
                       !answer.Header("X-Response-Signature").empty());
  }

  size_t machine_;
  uint16_t port_;
  Journal* journal_;
};

bool AllReady(const std::vector<std::unique_ptr<Machine>>& machines) {
  for (const std::unique_ptr<Machine>& machine : machines) {
    Message answer = Exchange(machine->ports.Ready(),
                              "GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n", 500);
    if (answer.status != 200) return false;
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: slow_case DAEMON DIR BASE_PORT TROUBLE\n";
    return 2;
  }
  std::string program = argv[1];
  std::string dir = argv[2];
  int base = std::atoi(argv[3]);
  bool trouble = std::atoi(argv[4]) != 0;
  std::ofstream record(dir + "/record.txt");
  std::mutex record_mutex;
  int64_t begin = NowMs();
  auto note = [&](const std::string& line) {
    std::lock_guard<std::mutex> lock(record_mutex);
    record << NowMs() - begin << " ms: " << line << std::endl;
  };

  Journal journal;
  Loop store_loop;
  uint16_t store_port = static_cast<uint16_t>(base);
  Store store(&store_loop, store_port);
  store.Put("config", "main",
            ConfigurationText(12, kHost,
                              {{"scan", "download", "/scan/", "archive", 5},
                               {"look", "safe", "/look/", "catalogue"}},
                              {"archive", "catalogue"}));
  bool listening = store.Listening();
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::unique_ptr<Loop>> loops;
  std::vector<std::unique_ptr<Target>> targets;
  for (int i = 0; i < kMachines; ++i) {
    machines.push_back(std::make_unique<Machine>(base + 10 * (i + 1)));
    Machine& machine = *machines.back();
    std::string zone = i % 2 == 0 ? "zone-a" : "zone-b";
    std::string service =
        static_cast<size_t>(i) < kIngress ? "catalogue" : "archive";
    std::string settings = dir + "/sidecar-" + std::to_string(i) + ".toml";
    WriteSettings(settings, i, machine.ports, zone, service, store_port,
                  kMemoryMb);
    machine.daemon = std::make_unique<DaemonProcess>(
        program, settings, dir + "/daemon-" + std::to_string(i) + ".log");
    loops.push_back(std::make_unique<Loop>());
    targets.push_back(std::make_unique<Target>(
        loops.back().get(), machine.ports, "i-" + std::to_string(i), service,
        zone, &journal, static_cast<uint64_t>(i)));
    targets.back()->SetScanBytes(kAnswerBytes);
    listening = listening && targets.back()->Listening();
  }
  if (!listening) {
    std::cerr << "slow_case: a port is taken\n";
    return 2;
  }
  std::vector<std::thread> threads;
  threads.emplace_back([&] { store_loop.Run(&stop_loops); });
  for (const std::unique_ptr<Loop>& loop : loops)
    threads.emplace_back([&loop] { loop->Run(&stop_loops); });
  for (const std::unique_ptr<Machine>& machine : machines)
    machine->daemon->Start();

  std::atomic<bool> stop_watch{false};
  std::thread platform([&] {
    while (!stop_watch) {
      for (size_t i = 0; i < machines.size(); ++i) {
        Machine& machine = *machines[i];
        std::string name = "machine " + std::to_string(i);
        if (machine.daemon->Running() && machine.daemon->Ended()) {
          ++machine.ended;
          machine.restart_at = NowMs() + kRestartMs;
          note(name + ": its daemon has ended");
        }
        if (!machine.daemon->Running()) {
          if (NowMs() >= machine.restart_at) machine.daemon->Start();
          continue;
        }
        int64_t bytes = machine.daemon->MemoryBytes();
        machine.peak_bytes = std::max(machine.peak_bytes, bytes);
        if (bytes <= kMemoryBytes) continue;
        ++machine.killed;
        note(name + ": its daemon takes " + std::to_string(bytes / 1000000) +
             " MB, more than its machine has, and is killed");
        machine.daemon->Signal(SIGKILL);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(kWatchMs));
    }
  });

  bool ready = false;
  for (int i = 0; i < 60 && !ready; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    ready = AllReady(machines);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  for (int wave = 0; ready && wave < kWaves; ++wave) {
    note("wave " + std::to_string(wave) + ": " + std::to_string(kReaders) +
         " clients of each of two machines ask for " +
         std::to_string(kAnswerBytes) + " bytes, and read them " +
         (trouble ? "after a pause" : "at once"));
    std::vector<std::thread> clients;
    for (size_t i = 0; i < kIngress; ++i) {
      clients.emplace_back([&, i, wave] {
        Readers(i, machines[i]->ports.Outbound(), &journal).Run(wave, trouble);
      });
    }
    for (std::thread& thread : clients) thread.join();
    // The daemons that were killed are back and known again.
    std::this_thread::sleep_for(std::chrono::milliseconds(6000));
  }
  stop_watch = true;
  platform.join();
  stop_loops = true;
  for (std::thread& thread : threads) thread.join();
  targets.clear();

  int machines_lost = 0;
  for (size_t i = 0; i < machines.size(); ++i) {
    const Machine& machine = *machines[i];
    machines_lost += machine.ended >= 3 ? 1 : 0;
    record << "machine " << i << ": peak " << machine.peak_bytes / 1000000
           << " MB, daemon killed for memory " << machine.killed
           << " times, ended " << machine.ended << " times\n";
  }
  std::map<int, int> statuses;
  int runs = 0;
  for (const auto& [id, sent] : journal.All()) {
    ++statuses[sent.status];
    runs += sent.runs;
  }
  for (const auto& [status, count] : statuses)
    record << "answered " << status << ": " << count << "\n";
  record << "sent " << journal.All().size() << ", runs " << runs
         << "; machines whose daemon ended three times or more: "
         << machines_lost << "\n";
  if (!ready) return 2;
  // A tenth of the machines, two at least.
  return machines_lost >= 2 ? 1 : 0;
}
