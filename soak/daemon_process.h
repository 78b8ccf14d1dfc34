#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace banyanloft::soak {

/// A program under test as a process of its own. Only signals reach it, and
/// only while it has not been reaped, so that no other process can get them.
class DaemonProcess {
 public:
  DaemonProcess() = default;
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /// Starts it; its output is added to a file. False if it cannot be started.
  bool Start(const std::vector<std::string>& command,
             const std::string& log_path);
  /// Sends a signal, if it runs.
  void Signal(int signal);
  /// Its exit code once it has ended, negative the signal that ended it.
  std::optional<int> Reap();
  bool Running() const { return pid_ > 0; }

 private:
  pid_t pid_ = -1;
};

}  // namespace banyanloft::soak
