// Computes from when on a node's copy of the host list is stale, by the deadlines of the discovery protocol.
// No other code of the node knows these deadlines. Does no I/O and reads no clock: callers pass the time.
#pragma once

#include "ids.h"

namespace flintweir::node {

// A change of the list binds this node from a deadline on even if it has not received the change. The copy is
// stale from the earliest deadline on of any change that discovery may hold and this node may have missed.
// Each request that fails adds a deadline. Later events never extend an earlier deadline: only a received
// list removes all deadlines, and proof that the service was down removes those of the failures which that
// outage explains. No outage explains what a long poll did not report before its connection was closed: it
// may have fallen silent long before, so that its own deadline remains.
class StalenessClock {
 public:
  // The protocol's deadlines, as delays: after a change was available at a reachable service; after the
  // maximum wait of a long poll that returned nothing, if that is later; after this node was assigned another
  // discovery service.
  static constexpr Micros kChangeDeadline = std::chrono::seconds(6),
                          kLongPollDeadline = std::chrono::seconds(2),
                          kSwitchDeadline = std::chrono::seconds(4);
  static constexpr Micros kNever = Micros::max();

  enum class Failure {
    timeout,            // no response: the service may have withheld changes since the request
    truncated,          // the response was cut off or malformed: it may have contained a change
    error_response,     // such as 503: the service was reachable, or is down behind a proxy
    connection_closed,  // without a response, as when the service goes down
    connection_refused  // no process listens: the deadline of later changes counts from the service's return
  };

  // If requests have failed for `outage_threshold` since the copy became stale, none of them by a timeout,
  // an outage is assumed. Each further failure then counts as proof that the service was down when the
  // request was sent.
  explicit StalenessClock(Micros outage_threshold) : outage_threshold_(outage_threshold) {}
  // For a list that is pushed to an agent on this machine: whatever the agent holds binds this node at once,
  // also a new process that the agent has not answered yet. The copy is current as long as a long poll is
  // pending or no agent is running, which requests that follow each failure after `retry_delay` have to show.
  // An outage is never assumed.
  static StalenessClock pushed(Micros retry_delay);

  // The node starts with a copy of unknown age.
  void started(Micros now);
  // `wait` is how long the service may hold the request until the list changes; zero for a request that is to
  // be answered immediately.
  void request_sent(Micros now, Micros wait);
  // When the latest request was sent.
  Micros requested_at() const { return requested_at_; }
  // The copy is up to date.
  void list_received();
  void request_failed(Micros now, Failure failure);
  // Requests go to another service from now on. The deadlines so far remain in force.
  void service_switched(Micros now);
  // A new configuration names the same service: the pending request is cancelled and sent again.
  void configuration_reread(Micros now);

  // The earliest deadline; kNever if there is none.
  Micros stale_from() const;
  // The latest time for the next request: early enough for a response before the copy becomes stale, and
  // soon if it already is stale or the service is down; kNever if any time will do.
  Micros request_by() const;
  // Whether a failed request may have left changes unreported, so that the next one should ask for an
  // immediate response.
  bool is_catching_up() const;

 private:
  // How long after a change was missed it binds this node, by how it was missed.
  struct Delays {
    Micros unreported;      // a request failed without an answer
    Micros service_return;  // made after the service was last known to be down
  };
  void end_request(Micros now, Failure failure, Micros unreported_delay);
  void request_rejected(Micros now, Failure failure, Micros unreported_delay);
  void service_down(Micros now);
  void service_was_reachable();
  Micros unreported_since(Micros now) const;
  Micros outage_deadline() const;

  bool pushed_ = false;
  bool awaiting_agent_ = false;  // it has not answered since the start or the latest switch
  Delays delays_{kChangeDeadline, kChangeDeadline};
  Micros outage_threshold_;                // kNever: no outage is assumed
  Micros started_at_ = kNever;             // until the first list is received
  Micros requested_at_{0}, failed_at_{0};  // the latest request, and the latest failure
  Micros pending_deadline_ = kNever;       // of the pending request
  bool long_polling_ = false;              // whether the pending request is a long poll
  Micros persistent_deadline_ = kNever;    // removed only by a received list
  Micros failure_deadline_ = kNever;       // of failures during which the service may have been up
  Micros connection_closed_at_ = kNever;   // if that was the first failure since the last list
  Micros outage_proven_at_ = kNever;       // if the latest request found the service down
  bool outage_assumed_ = false;
};

}  // namespace flintweir::node
