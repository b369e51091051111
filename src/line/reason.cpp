#include "line/reason.h"

namespace flintweir::line {

const char* code_of(Reason reason) {
  switch (reason) {
    case Reason::checked:
      return "checked";
    case Reason::bad_line:
      return "bad-line";
    case Reason::id_in_use:
      return "id-in-use";
    case Reason::crowded_out:
      return "crowded-out";
    case Reason::refused:
      return "refused";
    case Reason::torn_down:
      return "torn-down";
    case Reason::no_descriptors:
      return "no-descriptors";
    case Reason::left:
      return "left";
    case Reason::client_ended:
      return "client-ended";
    case Reason::host_ended:
      return "host-ended";
    case Reason::host_moved:
      return "host-moved";
    case Reason::host_broke:
      return "host-broke";
    case Reason::host_silent:
      return "host-silent";
    case Reason::host_garbled:
      return "host-garbled";
    case Reason::moved:
      return "moved";
    case Reason::restarting:
      return "restarting";
  }
  return "unknown";
}

const char* code_of(DialOutcome outcome) {
  switch (outcome) {
    case DialOutcome::completed:
      return "dial-finished";
    case DialOutcome::error_reply:
      return "dial-erred";
    case DialOutcome::rejected:
      return "dial-turned-away";
    case DialOutcome::timed_out:
      return "dial-timed-out";
    case DialOutcome::connect_failed:
      return "dial-unconnected";
    case DialOutcome::connection_lost:
      return "dial-broken";
    case DialOutcome::cancelled:
      return "dial-cancelled";
    case DialOutcome::not_sent:
      return "dial-unsent";
  }
  return "dial-unknown";
}

const char* code_of(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::no_host:
      return "no-host";
    case RefusalReason::fleet_full:
      return "fleet-full";
    case RefusalReason::list_stale:
      return "list-stale";
    case RefusalReason::throttled:
      return "throttled";
    case RefusalReason::no_dials_left:
      return "no-dials-left";
    case RefusalReason::no_budget_left:
      return "no-budget-left";
  }
  return "unknown";
}

}  // namespace flintweir::line
