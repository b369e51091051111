// `flintweir lease ...`: holds a lease while a command runs, and shows leases.
#pragma once

#include <string>
#include <vector>

#include "setup/operator.h"

namespace flintweir {

// Exit statuses beside the command's own.
inline constexpr int kLostLease = 120;  // the lease was lost, and the command ended because of it
inline constexpr int kNoAnswer = 3;     // no majority of the voters answers

// `from`, `told`: where it hears, and what voters answer to; empty: a free port beside the node's address.
int lease_hold(const setup::OperatorFile& own, const std::string& lease, const std::string& from,
               const std::string& told, const std::vector<std::string>& command);
// All, or the one of that name.
int lease_list(const setup::OperatorFile& own, const std::string& lease, bool json);

}  // namespace flintweir
