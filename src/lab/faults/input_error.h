// What is wrong with a file that somebody wrote, in one line: file, line, field, reason.
#pragma once

#include <stdexcept>

namespace flintweir::lab {

struct InputError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace flintweir::lab
