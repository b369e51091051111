// A process of the real program, with none of the lab's own sockets.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace flintweir::lab {

// Runs from its making; killed with its last user at the latest.
class ChildProcess {
 public:
  // What it writes goes to the end of `log`. Throws std::runtime_error.
  ChildProcess(std::vector<std::string> words, const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;

  void signal(int number);  // nothing where it has ended
  bool running();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_;  // zero once it has ended
};

}  // namespace flintweir::lab
