// Reason codes for log lines.
#pragma once

#include "balance.h"

namespace flintweir::line {

// Why a client's connection ended. docs/oncall.md explains each code to operators.
enum class Reason {
  checked,         // a health check: the connection sent only PING and ended
  bad_line,        // the first line was malformed, too long or late
  id_in_use,       // the first line had the id of a connection that is open or ended recently
  crowded_out,     // evicted before its first line because too many connections were idle
  refused,         // answered BUSY: no host was found
  torn_down,       // answered ERR: the session failed and may have had an effect
  no_descriptors,  // refused because descriptors or memory for sessions ran short
  left,            // the client left before the session was accepted
  client_ended,    // the client ended an accepted session
  host_ended,      // the host completed the session
  host_moved,      // the host told the client to reconnect elsewhere
  host_broke,      // the host's connection was lost or closed without notice
  host_silent,     // the host did not reply; the client was moved
  host_garbled,    // the host sent a line over the maximum length; the client was moved
  moved,           // moved by a decision of the balancer
  restarting,      // moved or refused because this node is shutting down
};

// The texts of the codes, as log lines contain them. They are static.
const char* code_of(Reason reason);
const char* code_of(DialOutcome outcome);  // for a dial that was not accepted
const char* code_of(RefusalReason reason);

}  // namespace flintweir::line
