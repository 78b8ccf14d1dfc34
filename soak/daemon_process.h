#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace banyanloft::soak {

/// Runs a program under test as a child process. Signals are sent only until it
/// has been reaped, so that they cannot reach another process with a reused id.
class DaemonProcess {
 public:
  DaemonProcess() = default;
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /// Starts the process and appends its output to a file. Returns false if it
  /// cannot be started.
  bool Start(const std::vector<std::string>& command,
             const std::string& log_path);
  /// Sends a signal if the process is running.
  void Signal(int signal);
  /// Returns the exit code once the process has ended, or the negated number of
  /// the signal that terminated it.
  std::optional<int> Reap();
  bool Running() const { return pid_ > 0; }
  pid_t Pid() const { return pid_; }  ///< -1 if it is not running.

 private:
  pid_t pid_ = -1;
};

}  // namespace banyanloft::soak
