// A process of the real program, with none of the lab's own sockets.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace flintweir::lab {

// Runs from its making; killed with its last user at the latest.
class Child {
 public:
  // What it writes goes to the end of `log`. Throws std::runtime_error.
  Child(std::vector<std::string> words, const std::string& log);
  ~Child();
  Child(const Child&) = delete;

  void signal(int number);  // nothing where it has ended
  bool running();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_;  // zero once it has ended
};

}  // namespace flintweir::lab
