// `flintweir change ...`: publishes a change of configuration, and shows which node has which.
#pragma once

#include <optional>
#include <string>

#include "setup/operator.h"

namespace flintweir {

// Exit statuses.
inline constexpr int kChangeRefused = 1, kChangeNoAnswer = 3, kChangeOlder = 4;

// Gives the text of the file `path` to the node at `at` as change `number`, and waits until that node has it
// in force or has refused it.
int change_put(const setup::OperatorFile& own, const std::string& path, std::uint64_t number,
               const Address& at);
// Asks the node at `at` for its view, then each that runs for what it has. 0: all have the newest in force.
int change_show(const Address& at, bool json);

}  // namespace flintweir
