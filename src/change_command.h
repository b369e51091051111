// The command `flintweir change`: publishes a configuration change, and shows the state of changes at each
// node.
#pragma once

#include <optional>
#include <string>

#include "setup/operator.h"

namespace flintweir {

// Exit statuses: the change is invalid or refused; no node responds; a later change exists already.
inline constexpr int kChangeRefused = 1, kChangeNoAnswer = 3, kChangeOlder = 4;

// Sends the text of the file `path` to a node as the change `number`, and waits until the node has it in
// force or has refused it. Returns the exit status.
int change_put(const setup::OperatorFile& operator_file, const std::string& path, std::uint64_t number,
               const Address& node);
// Requests the membership view of a node and then the status of each running member, and prints them. Returns
// the exit status: zero if all members have the newest change in force, 1 if not.
int change_show(const Address& node, bool json);

}  // namespace flintweir
