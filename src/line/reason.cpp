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

const char* code_of(Ending how) {
  switch (how) {
    case Ending::finished:
      return "dial-finished";
    case Ending::erred:
      return "dial-erred";
    case Ending::turned_away:
      return "dial-turned-away";
    case Ending::timed_out:
      return "dial-timed-out";
    case Ending::unconnected:
      return "dial-unconnected";
    case Ending::broken:
      return "dial-broken";
    case Ending::cancelled:
      return "dial-cancelled";
    case Ending::unsent:
      return "dial-unsent";
  }
  return "dial-unknown";
}

const char* code_of(Refusal why) {
  switch (why) {
    case Refusal::no_host:
      return "no-host";
    case Refusal::fleet_full:
      return "fleet-full";
    case Refusal::list_stale:
      return "list-stale";
    case Refusal::throttled:
      return "throttled";
    case Refusal::no_dials_left:
      return "no-dials-left";
    case Refusal::no_budget_left:
      return "no-budget-left";
  }
  return "unknown";
}

}  // namespace flintweir::line
