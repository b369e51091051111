// Why connections end, as their log lines say.
#pragma once

#include "balance.h"

namespace flintweir::line {

// Why a connection ended: the code in its log line. docs/oncall.md tells what each means.
enum class Reason {
  checked,         // a front's PING connection went away
  bad_line,        // its first line is malformed, over-long or did not come in time
  id_in_use,       // its first line gives the id of a connection that is here or was lately
  crowded_out,     // it had said nothing when too many others did the same
  refused,         // BUSY: no host was found
  torn_down,       // a failure that may have had an effect
  no_descriptors,  // refused since descriptors or memory for sessions run short
  left,            // the client left before it was accepted
  client_ended,    // the client ended an accepted session
  host_ended,      // the host served it to its end
  host_moved,      // the host sent its client away
  host_broke,      // the host broke it off
  host_silent,     // the host answered nothing; its client was moved
  host_garbled,    // the host sent a line over the longest allowed; its client was moved
  moved,           // moved by a decision
  restarting,      // moved or refused since this node is about to leave
};
const char* code_of(Reason reason);
const char* code_of(DialOutcome how);  // of a dial that was not accepted
const char* code_of(RefusalReason why);

}  // namespace flintweir::line
