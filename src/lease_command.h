// The command `flintweir lease`: runs a command while holding a lease, and shows leases.
#pragma once

#include <string>
#include <vector>

#include "setup/operator.h"

namespace flintweir {

// Exit statuses besides that of the command that was run.
inline constexpr int kLostLease = 120;  // the lease was lost, and the command was ended because of it
inline constexpr int kNoAnswer = 3;     // no majority of the voters responds

// Waits for the lease, runs the command while holding it, and returns the exit status. `local` is the address
// for its datagrams; if empty, a free port on the node's IP address. Voters reply to `advertised`, or to the
// local address if that is empty.
int lease_hold(const setup::OperatorFile& operator_file, const std::string& lease, const std::string& local,
               const std::string& advertised, const std::vector<std::string>& command);
// Prints the lease of that name, or all leases if the name is empty, and returns the exit status.
int lease_list(const setup::OperatorFile& operator_file, const std::string& lease, bool json);

}  // namespace flintweir
