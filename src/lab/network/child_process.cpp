#include "lab/network/child_process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <stdexcept>

namespace flintweir::lab {

ChildProcess::ChildProcess(std::vector<std::string> arguments, const std::string& log) {
  const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  std::vector<char*> args;
  for (std::string& argument : arguments) args.push_back(argument.data());
  args.push_back(nullptr);
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork a child process");
  if (pid_ == 0) {
    dup2(fd, 1);
    dup2(fd, 2);
    // The program must not inherit the lab's sockets: they would stay open after the lab closes them.
    close_range(3, ~0u, 0);
    for (const char* variable : {"EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_NAME", "EDGE_OPERATOR"})
      unsetenv(variable);
    execvp(args[0], args.data());
    _exit(127);
  }
  if (fd >= 0) ::close(fd);
}

ChildProcess::~ChildProcess() {
  if (pid_ == 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void ChildProcess::signal(int number) {
  if (running()) kill(pid_, number);
}

bool ChildProcess::running() {
  if (pid_ != 0 && waitpid(pid_, nullptr, WNOHANG) != 0) pid_ = 0;
  return pid_ != 0;
}

}  // namespace flintweir::lab
