// Decides from when on a node's copy of the list is stale, by the deadlines of the protocol's page. The only
// place that knows those figures. No I/O and no clock of its own.
#pragma once

#include "ids.h"

namespace flintweir::node {

// Discovery may have a change that has not reached this node. By the protocol such a change binds the node
// from a deadline on all the same; from the earliest of them on the copy is stale. Each failure to receive
// the list adds a deadline. A later event never extends an earlier deadline: only a received list removes all
// of them, and only proof that the service was down removes those of failures that the outage explains.
class StalenessClock {
 public:
  // The protocol's deadlines: after a change was there and the service could be reached; after the wait of a
  // long poll, where that is later; after the node was given another service.
  static constexpr Micros kAfterChange = std::chrono::seconds(6), kAfterWait = std::chrono::seconds(2),
                          kAfterSwitch = std::chrono::seconds(4);
  static constexpr Micros kNever = Micros::max();

  enum class Failure {
    timeout,            // no response: the service may have withheld changes since the request
    truncated,          // the response is cut off or malformed: it may have held a change
    error_response,     // such as 503: the service could be reached, or is down behind a proxy
    connection_closed,  // without a response, as when the service goes down
    connection_refused  // nobody listens: later changes count from the service's return on
  };

  // Requests that have failed for `outage_threshold` since the copy became stale, none of them by a timeout,
  // are taken for an outage, in which each failure proves that the service was down when the request was
  // sent.
  explicit StalenessClock(Micros outage_threshold) : outage_threshold_(outage_threshold) {}

  // The node starts with a copy that may be old.
  void started(Micros now) { started_at_ = now; }
  // `wait`: how long the service may hold the request until something changes; zero for an immediate
  // response.
  void request_sent(Micros now, Micros wait);
  // The copy is up to date.
  void list_received();
  void request_failed(Micros now, Failure how);
  // Requests go to another service from now on. Deadlines of the one before stay.
  void service_switched(Micros now);
  // A new configuration names the same service: the pending request is given up, and sent anew.
  void configuration_reread(Micros now);

  // The earliest deadline; kNever: there is none.
  Micros stale_from() const;
  // When the next request has to be sent at the latest, in time for a response before the copy is stale, and
  // soon where it is stale or the service is down; kNever: there is no hurry.
  Micros request_by() const;
  // Whether a failure has left changes unknown: the next request should ask for an immediate response.
  bool is_catching_up() const;

 private:
  void rejected(Micros now, Failure how);
  void service_down(Micros now);
  void service_was_reachable();
  Micros unheard_since(Micros now) const;
  Micros stale_from_outage() const;

  Micros outage_threshold_;
  Micros started_at_ = kNever;             // until the first list
  Micros requested_at_{0}, failed_at_{0};  // the latest request, and the latest that failed
  Micros pending_from_ = kNever;           // deadline of the pending request
  Micros unsettled_from_ = kNever;         // deadline that only a received list removes
  Micros failing_from_ = kNever;           // deadline of failures while the service may have been up
  Micros connection_closed_at_ = kNever;   // if that was the first failure since the last list
  Micros outage_proven_at_ = kNever;       // if the last request found the service down
  bool outage_assumed_ = false;
};

}  // namespace flintweir::node
