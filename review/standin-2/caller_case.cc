// A target leaves, and its address goes to a target of another service, beside
// the same daemon. The settings file names the new service from then on, and
// the daemon gets SIGHUP. Checks the caller that targets are told.

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

constexpr int kMachines = 4;
constexpr char kHost[] = "jepu9.example";
constexpr int64_t kAddressReuseMs = 2500;
/// Time between the change of the settings and the requests that are judged.
constexpr int64_t kSettleMs = 8000;
constexpr int kRequests = 200;

volatile bool stop_loops = false;

std::string ServiceOf(int machine) {
  return machine < 2 ? "payments" : "orders";
}

Message SendRequest(uint16_t port, const std::string& id,
                    const std::string& path, const std::string& caller,
                    Journal* journal) {
  Sent sent;
  sent.unsafe = true;
  sent.method = "PUT";
  sent.target = path + id;
  sent.body = "deposit " + id;
  sent.caller = caller;
  std::string text = "PUT " + sent.target + " HTTP/1.1\r\nHost: " + kHost +
                     "\r\nX-Attempt-Id: " + id +
                     "\r\nX-Deadline-Ms: 1500\r\nContent-Length: " +
                     std::to_string(sent.body.size()) + "\r\n\r\n" + sent.body;
  journal->Add(id, std::move(sent));
  Message answer = Exchange(port, text, 2000);
  journal->Answered(id, answer.status,
                    !answer.Header("X-Response-Signature").empty());
  return answer;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: caller_case DAEMON DIR BASE_PORT TROUBLE\n";
    return 2;
  }
  std::string program = argv[1];
  std::string dir = argv[2];
  int base = std::atoi(argv[3]);
  bool trouble = std::atoi(argv[4]) != 0;
  std::ofstream record(dir + "/record.txt");
  int64_t begin = NowMs();
  auto note = [&](const std::string& line) {
    record << NowMs() - begin << " ms: " << line << std::endl;
  };

  Journal journal;
  Loop store_loop;
  uint16_t store_port = static_cast<uint16_t>(base);
  Store store(&store_loop, store_port);
  store.Put("config", "main",
            ConfigurationText(12, kHost,
                              {{"pay", "unsafe", "/pay/", "payments"},
                               {"order", "unsafe", "/order/", "orders"}},
                              {"payments", "orders"}));
  bool listening = store.Listening();
  std::vector<MachinePorts> machines;
  std::vector<std::unique_ptr<Loop>> loops;
  std::vector<std::unique_ptr<Target>> targets;
  std::vector<std::unique_ptr<DaemonProcess>> daemons;
  auto settings_of = [&](int i) {
    return dir + "/sidecar-" + std::to_string(i) + ".toml";
  };
  for (int i = 0; i < kMachines; ++i) {
    machines.emplace_back(base + 10 * (i + 1));
    std::string zone = i % 2 == 0 ? "zone-a" : "zone-b";
    WriteSettings(settings_of(i), i, machines.back(), zone, ServiceOf(i),
                  store_port);
    loops.push_back(std::make_unique<Loop>());
    targets.push_back(std::make_unique<Target>(
        loops.back().get(), machines.back(), "i-" + std::to_string(i),
        ServiceOf(i), zone, &journal, static_cast<uint64_t>(i)));
    listening = listening && targets.back()->Listening();
    daemons.push_back(std::make_unique<DaemonProcess>(
        program, settings_of(i),
        dir + "/daemon-" + std::to_string(i) + ".log"));
  }
  if (!listening) {
    std::cerr << "caller_case: a port is taken\n";
    return 2;
  }
  std::vector<std::thread> threads;
  threads.emplace_back([&] { store_loop.Run(&stop_loops); });
  for (const std::unique_ptr<Loop>& loop : loops)
    threads.emplace_back([&loop] { loop->Run(&stop_loops); });
  for (const std::unique_ptr<DaemonProcess>& daemon : daemons) daemon->Start();
  std::this_thread::sleep_for(std::chrono::milliseconds(6000));

  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    std::string id = "before-" + std::to_string(i);
    served +=
        SendRequest(machines[0].Outbound(), id,
                    i % 2 == 0 ? "/pay/" : "/order/", ServiceOf(0), &journal)
                    .status == 200
            ? 1
            : 0;
  }
  note(std::to_string(served) + " of " + std::to_string(kRequests) +
       " requests of machine 0 served while its target is of " + ServiceOf(0));

  std::string next = trouble ? "orders" : ServiceOf(0);
  targets[0]->Leave();
  note("the target of machine 0 has left");
  std::this_thread::sleep_for(std::chrono::milliseconds(kAddressReuseMs));
  std::unique_ptr<Target> replacement;
  std::atomic<bool> started{false};
  loops[0]->Post([&] {
    replacement = std::make_unique<Target>(loops[0].get(), machines[0], "i-new",
                                           next, "zone-a", &journal, 99);
    started = true;
  });
  while (!started) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  WriteSettings(settings_of(0), 0, machines[0], "zone-a", next, store_port);
  daemons[0]->Signal(SIGHUP);
  note("its address goes to a target of " + next +
       ", the settings file names it, and the daemon gets SIGHUP");
  std::this_thread::sleep_for(std::chrono::milliseconds(kSettleMs));

  int served_after = 0;
  for (int i = 0; i < kRequests; ++i) {
    std::string id = "after-" + std::to_string(i);
    served_after +=
        SendRequest(machines[0].Outbound(), id,
                    i % 2 == 0 ? "/pay/" : "/order/", next, &journal)
                    .status == 200
            ? 1
            : 0;
  }
  note(std::to_string(served_after) + " of " + std::to_string(kRequests) +
       " requests of machine 0 served while its target is of " + next +
       "; that target ran " + std::to_string(replacement->Runs()));
  stop_loops = true;
  for (std::thread& thread : threads) thread.join();
  targets.clear();
  replacement.reset();

  int faults = 0;
  for (const auto& [id, sent] : journal.All()) {
    record << id << ": " << sent.target << " of a machine of " << sent.caller
           << ", ran " << sent.runs << " times, answered " << sent.status;
    if (!sent.fault.empty()) {
      ++faults;
      record << ", " << sent.fault;
    }
    record << "\n";
  }
  record << "sent " << journal.All().size() << ", ran with another caller "
         << faults << "\n";
  if (served < kRequests / 2 || served_after < kRequests / 2) return 2;
  return faults > 0 ? 1 : 0;
}
