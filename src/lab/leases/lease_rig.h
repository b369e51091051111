// Several processes of the program that hold one lease in turn: five nodes as voters and four `lease hold`,
// each of which acts on a ledger while it holds; troubles between them by the seed. Judged by the ledger
// alone, which writes down begin, end and token of each act by the machine's one clock.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flintweir::lab {

const std::vector<std::string>& lease_troubles();  // one of these, or none, is `only` below

struct LeaseRun {
  std::string trouble;
  std::vector<std::string> broken;  // rule=...
  std::uint64_t acts = 0, refused = 0;
  // Milliseconds at most between the begins of two acts, from the trouble's begin to the end.
  double gap = 0;
  double asked = 0;  // datagrams a second at each voter, before the trouble
};

// `actor`: the lab's own program. Logs go to `folder`.
LeaseRun run_leases(std::uint64_t seed, const std::string& only, const std::vector<std::string>& program,
                    const std::string& actor, const std::string& folder);

// In virtual time; there the two troubles of folders are as if there were none.
LeaseRun run_leases_virtual(std::uint64_t seed, const std::string& only, unsigned holders = 4);

// What a holder runs: acts until it is told to end.
int act_on_ledger(const std::string& ledger, const std::string& as);

}  // namespace flintweir::lab
