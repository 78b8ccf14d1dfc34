#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <thread>

#include "banyanloft/core/log.h"
#include "banyanloft/core/random.h"
#include "banyanloft/daemon/daemon.h"
#include "banyanloft/daemon/daemon_options.h"

namespace {

using banyanloft::Daemon;
using banyanloft::DaemonAddresses;
using banyanloft::LogLevel;

constexpr int kExitUsage = 2;
constexpr int kExitStartFailed = 3;

/// Writes the listening addresses for a supervisor, one `name ip:port` per
/// line. The file is created atomically by renaming.
void WriteAddresses(const std::string& path, const DaemonAddresses& addresses) {
  std::string partial = path + ".partial";
  std::ofstream file(partial);
  file << "caller " << addresses.caller.Text() << "\nadmin "
       << addresses.admin.Text() << "\nlink " << addresses.link.Text()
       << "\ngossip " << addresses.gossip.Text() << "\n";
  file.close();
  std::rename(partial.c_str(), path.c_str());
}

}  // namespace

int main(int argc, char** argv) {
  banyanloft::DaemonOptions options;
  banyanloft::OptionTable::Parsed parsed = options.Parse(argc, argv);
  if (parsed.help) {
    fmt::print("banyanloftd: daemon that runs beside a backend server\n\n{}",
               options.Help());
    return 0;
  }
  if (!parsed.errors.empty()) {
    for (const std::string& error : parsed.errors)
      fmt::print(stderr, "banyanloftd: {}\n", error);
    return kExitUsage;
  }

  // Block the signals in all threads; signal_thread receives them by sigwait.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);

  Daemon daemon(options.Settings());
  banyanloft::Result<DaemonAddresses> started = daemon.Start();
  if (const banyanloft::Error* error = banyanloft::ErrorOf(started)) {
    banyanloft::Log(LogLevel::kError, "start_failed",
                    {{"detail", error->detail}});
    return kExitStartFailed;
  }
  if (!options.AddressFile().empty())
    WriteAddresses(options.AddressFile(), *banyanloft::ValueOf(started));

  std::thread signal_thread([&] {
    int received = 0;
    sigwait(&signals, &received);
    daemon.BeginDrain();
  });
  daemon.WaitUntilDrained();
  // Give the last messages time to be sent before the threads end.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  banyanloft::Log(LogLevel::kInfo, "daemon_stopped", {});
  // Wake signal_thread if the shutdown was requested over the admin address.
  kill(getpid(), SIGTERM);
  signal_thread.join();
  return 0;
}
