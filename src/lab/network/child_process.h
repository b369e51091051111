// A child process that runs a program and inherits none of the lab's open sockets.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace flintweir::lab {

// Starts the program on construction; the destructor kills it with SIGKILL and waits for it.
class ChildProcess {
 public:
  // Runs `arguments`, whose first is the program. Its standard output and error are appended to the file
  // `log`. Throws std::runtime_error if the process cannot be forked.
  ChildProcess(std::vector<std::string> arguments, const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;

  void signal(int number);  // no effect once the process has ended
  bool running();           // also reaps the process once it has ended
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_;  // zero once it has ended
};

}  // namespace flintweir::lab
