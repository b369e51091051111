// Fault-injection experiment on leases: five nodes vote, and four `lease hold` processes contend for one
// lease. Whoever holds it runs operations on a shared ledger, while a fault drawn from the seed is injected.
// The verdict rests on the ledger alone, which records the begin, the end and the token of each operation by
// the one clock of the machine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flintweir::lab {

// The faults that `only` may name below; an empty `only` draws one from the seed.
const std::vector<std::string>& lease_faults();

struct LeaseRun {
  std::string fault;
  std::vector<std::string> violations;  // rule=...
  std::uint64_t operations = 0, refused = 0;
  // Longest time between the begins of two successive operations, from the injection of the fault to the end.
  double longest_gap_ms = 0;
  double requests_per_second = 0;  // request datagrams at each voter, before the fault
};

// Runs processes of `program` on loopback in real time. `actor` is the path of the lab's own executable,
// which each holder starts to run operations. Logs go to `folder`.
LeaseRun run_leases(std::uint64_t seed, const std::string& only, const std::vector<std::string>& program,
                    const std::string& actor, const std::string& folder);

// Runs the same code in virtual time, where the two faults of storage folders (folders-kept, folders-lost)
// only restart the voters, which keep nothing.
LeaseRun run_leases_virtual(std::uint64_t seed, const std::string& only, unsigned holders = 4);

// The command that a lease holder runs: performs operations on the ledger at that address until SIGTERM.
// Returns the exit status: 0 after SIGTERM, 2 on bad arguments, 9 when the ledger refuses or does not answer.
int run_ledger_operations(const std::string& ledger, const std::string& holder);

}  // namespace flintweir::lab
