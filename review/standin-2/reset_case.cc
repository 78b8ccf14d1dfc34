// Load on a small deployment, on a third of whose machines connections are
// reset. Checks that each request that a target runs is the one that a client
// sent.

#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <thread>

#include "review/standin-2/platform.h"

namespace {

using namespace review;

constexpr int kDaemons = 6;
/// Machines whose connections are reset, and which carry most of the load: a
/// third of all.
constexpr int kResetMachines = 2;
constexpr int kBusyClients = 16;
constexpr int kOtherClients = 1;
/// Headers of a request that no machine reads, as of tracing and cookies.
constexpr int kOtherHeaders = 40;
constexpr int kResetPermille = 550;
constexpr int kMaxResets = 38;
constexpr int64_t kResetPeriodMs = 1500;
constexpr char kHost[] = "jepu9.example";

volatile bool stop_loops = false;
std::atomic<bool> stop_clients{false};

/// A client with one kept connection: sends payments, and reads in between.
class Client {
 public:
  Client(int daemon, int number, uint16_t port, std::string caller,
         Journal* journal)
      : name_(std::to_string(daemon) + "-" + std::to_string(number)),
        port_(port),
        caller_(std::move(caller)),
        journal_(journal),
        random_(static_cast<uint64_t>(daemon * 100 + number)) {}

  void Run() {
    while (!stop_clients) SendOne();
    if (fd_ >= 0) close(fd_);
  }

 private:
  void SendOne() {
    if (fd_ < 0) fd_ = Connect(port_, 3000);
    if (fd_ < 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      return;
    }
    std::string id = "a" + name_ + "-" + std::to_string(++count_);
    Sent sent;
    sent.unsafe = count_ % 8 != 0;
    sent.method = sent.unsafe ? "PUT" : "GET";
    sent.target = (sent.unsafe ? "/pay/" : "/look/") + id;
    if (sent.unsafe)
      sent.body = "payment " + id + std::string(2000 + random_() % 4000, 'p');
    sent.caller = caller_;
    std::string text =
        sent.method + " " + sent.target + " HTTP/1.1\r\nHost: " + kHost +
        "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\n";
    for (int i = 0; i < kOtherHeaders; ++i) {
      std::string number = std::to_string(i);
      text.append("X-Trace-Field-").append(number);
      text.append(": value of trace field ").append(number).append("\r\n");
    }
    if (sent.unsafe)
      text += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n";
    text += "\r\n" + sent.body;
    journal_->Add(id, std::move(sent));
    send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    Message answer;
    char buffer[16384];
    while (!TakeMessage(&input_, &answer)) {
      ssize_t got = recv(fd_, buffer, sizeof(buffer), 0);
      if (got <= 0) break;
      input_.append(buffer, static_cast<size_t>(got));
    }
    journal_->Answered(id, answer.status,
                       !answer.Header("X-Response-Signature").empty());
    bool closes = answer.status == 0 || answer.Header("Connection") == "close";
    if (!closes) return;
    close(fd_);
    fd_ = -1;
    input_.clear();
  }

  std::string name_;
  uint16_t port_;
  std::string caller_;
  Journal* journal_;
  std::mt19937_64 random_;
  int fd_ = -1;
  int64_t count_ = 0;
  std::string input_;
};

/// Waits until all daemons say that they are ready.
bool AwaitReady(const std::vector<MachinePorts>& machines) {
  int64_t end = NowMs() + 20000;
  while (NowMs() < end) {
    size_t ready = 0;
    for (const MachinePorts& ports : machines) {
      Message answer = Exchange(
          ports.Ready(), "GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n", 500);
      ready += answer.status == 200 ? 1 : 0;
    }
    if (ready == machines.size()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 6) {
    std::cerr << "usage: reset_case DIR BASE_PORT SECONDS TROUBLE SEED\n";
    return 2;
  }
  std::string dir = argv[1];
  int base = std::atoi(argv[2]);
  int64_t seconds = std::atoll(argv[3]);
  bool trouble = std::atoi(argv[4]) != 0;
  uint64_t seed = std::strtoull(argv[5], nullptr, 10);
  std::ofstream record(dir + "/record.txt");

  Journal journal;
  Loop store_loop;
  uint16_t store_port = static_cast<uint16_t>(base);
  Store store(&store_loop, store_port);
  store.Put("config", "main",
            ConfigurationText(12, kHost,
                              {{"pay", "unsafe", "/pay/", "payments"},
                               {"look", "safe", "/look/", "payments"}},
                              {"payments"}));
  bool listening = store.Listening();
  std::vector<MachinePorts> machines;
  std::vector<std::unique_ptr<Loop>> loops;
  std::vector<std::unique_ptr<Target>> targets;
  for (int i = 0; i < kDaemons; ++i) {
    machines.emplace_back(base + 10 * (i + 1));
    std::string zone = "zone-" + std::string(1, static_cast<char>('a' + i));
    WriteSettings(dir + "/sidecar-" + std::to_string(i) + ".toml", i,
                  machines.back(), zone, "payments", store_port);
    loops.push_back(std::make_unique<Loop>());
    targets.push_back(std::make_unique<Target>(
        loops.back().get(), machines.back(), "i-" + std::to_string(i),
        "payments", zone, &journal, seed * 10 + static_cast<uint64_t>(i)));
    listening = listening && targets.back()->Listening();
  }
  if (!listening) {
    std::cerr << "reset_case: a port is taken\n";
    return 2;
  }
  int resets = 0;
  std::atomic<int> connections_reset{0};
  std::atomic<int64_t> load_begins{0};
  std::mt19937_64 random(seed);
  std::mutex record_mutex;
  std::function<void()> reset = [&] {
    if (stop_clients || resets >= kMaxResets) return;
    if (load_begins > 0) {
      ++resets;
      for (size_t i = 0; i < kResetMachines; ++i) {
        loops[i]->Post([&, i, number = resets] {
          size_t open = targets[i]->Connections();
          int count = targets[i]->ResetConnections(kResetPermille);
          connections_reset += count;
          std::lock_guard<std::mutex> lock(record_mutex);
          record << "reset " << number << " at " << NowMs() - load_begins
                 << " ms: " << count << " of " << open
                 << " connections of machine " << i << "\n";
        });
      }
    }
    int64_t pause = kResetPeriodMs + static_cast<int64_t>(random() % 300);
    store_loop.After(pause, reset);
  };
  if (trouble) store_loop.After(kResetPeriodMs, reset);

  std::vector<std::thread> threads;
  threads.emplace_back([&] { store_loop.Run(&stop_loops); });
  for (const std::unique_ptr<Loop>& loop : loops)
    threads.emplace_back([&loop] { loop->Run(&stop_loops); });
  std::ofstream(dir + "/ready") << "ready\n";
  bool ready = AwaitReady(machines);
  std::vector<std::thread> clients;
  if (ready) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    load_begins = NowMs();
    for (int i = 0; i < kDaemons; ++i) {
      for (int k = 0; k < (i < kResetMachines ? kBusyClients : kOtherClients);
           ++k)
        clients.emplace_back([&, i, k] {
          Client(i, k, machines[static_cast<size_t>(i)].Outbound(), "payments",
                 &journal)
              .Run();
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
  }
  stop_clients = true;
  for (std::thread& thread : clients) thread.join();
  stop_loops = true;
  for (std::thread& thread : threads) thread.join();
  targets.clear();

  std::map<int, int> statuses;
  int faults = 0;
  int twice = 0;
  int refused_ran = 0;
  int64_t runs = 0;
  for (const auto& [id, sent] : journal.All()) {
    ++statuses[sent.status];
    runs += sent.runs;
    if (sent.unsafe && sent.runs > 1) ++twice;
    bool promises = sent.status == 503 || sent.status == 429;
    if (sent.unsafe && promises && sent.own_answer && sent.runs > 0)
      ++refused_ran;
    if (sent.fault.empty()) continue;
    ++faults;
    record << "changed: " << id << " " << sent.method << " " << sent.target
           << ": " << sent.fault << ", answered " << sent.status << "\n";
  }
  record << "sent " << journal.All().size() << ", runs " << runs << ", resets "
         << resets << " of " << connections_reset << " connections\n";
  for (const auto& [status, count] : statuses)
    record << "answered " << status << ": " << count << "\n";
  record << "unknown runs " << journal.Unknown() << ", unsafe ran twice "
         << twice << ", refused and ran " << refused_ran
         << ", runs with another body " << faults << "\n";
  record.close();
  if (!ready || statuses[200] == 0) return 2;
  return faults > 0 ? 1 : 0;
}
