#include "soak/daemon_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace banyanloft::soak {

DaemonProcess::~DaemonProcess() {
  if (!Running()) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

bool DaemonProcess::Start(const std::vector<std::string>& command,
                          const std::string& log_path) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command)
    arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO,
                                   log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kMode);
  posix_spawn_file_actions_adddup2(&file_actions, STDOUT_FILENO, STDERR_FILENO);
  // The child must not inherit the sockets of the soak: a copy would keep their
  // addresses in use.
  posix_spawn_file_actions_addclosefrom_np(&file_actions, STDERR_FILENO + 1);
  int error = posix_spawn(&pid_, arguments[0], &file_actions, nullptr,
                          arguments.data(), environ);
  posix_spawn_file_actions_destroy(&file_actions);
  if (error != 0) pid_ = -1;
  return error == 0;
}

void DaemonProcess::Signal(int signal) {
  if (Running()) kill(pid_, signal);
}

std::optional<int> DaemonProcess::Reap() {
  int status = 0;
  if (!Running() || waitpid(pid_, &status, WNOHANG) != pid_)
    return std::nullopt;
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}  // namespace banyanloft::soak
