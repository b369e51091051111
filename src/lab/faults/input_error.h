// An error in a file, command-line argument or other input of the user. The message is one line; for a file
// it consists of file, line, field and reason.
#pragma once

#include <stdexcept>

namespace flintweir::lab {

struct InputError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace flintweir::lab
