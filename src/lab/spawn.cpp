#include "lab/spawn.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdlib>
#include <stdexcept>

namespace flintweir::lab {

pid_t spawn(std::vector<std::string> words, const std::string& log) {
  const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  std::vector<char*> args;
  for (std::string& w : words) args.push_back(w.data());
  args.push_back(nullptr);
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("can't start a process");
  if (pid == 0) {
    dup2(fd, 1);
    dup2(fd, 2);
    // The lab's own sockets are none of the program's: held there, they would stay open when the lab closes
    // them.
    close_range(3, ~0u, 0);
    for (const char* variable : {"EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_NAME", "EDGE_OPERATOR"})
      unsetenv(variable);
    execvp(args[0], args.data());
    _exit(127);
  }
  if (fd >= 0) ::close(fd);
  return pid;
}

}  // namespace flintweir::lab
