// Starts a process of the real program, with none of the lab's own sockets.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace flintweir::lab {

// What it writes goes to the end of `log`. Throws std::runtime_error. Whoever starts it ends it.
pid_t spawn(std::vector<std::string> words, const std::string& log);

}  // namespace flintweir::lab
