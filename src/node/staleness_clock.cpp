#include "node/staleness_clock.h"

#include <algorithm>
#include <utility>

namespace flintweir::node {
namespace {

// A service found down twice within so long was down in between. Guards against one that is back between two
// requests, with a change that did not reach this node.
constexpr Micros kContinuousOutage = StalenessClock::kAfterWait;
// A request that fails within so long may have been queued all the while, so that no change could be
// reported.
constexpr Micros kLongestQueueing = StalenessClock::kAfterChange - StalenessClock::kAfterWait;

}  // namespace

void StalenessClock::request_sent(Micros now, Micros wait) {
  requested_at_ = now;
  pending_from_ = now + std::max(kAfterChange, wait + kAfterWait);
}

void StalenessClock::list_received() {
  started_at_ = pending_from_ = unsettled_from_ = failing_from_ = connection_closed_at_ = outage_proven_at_ =
      kNever;
  outage_assumed_ = false;
}

void StalenessClock::request_failed(Micros now, Failure how) {
  const Micros pending_from = std::exchange(pending_from_, kNever);
  failed_at_ = now;
  if (now - requested_at_ > kLongestQueueing)
    started_at_ = kNever;  // it was a long poll, and would have reported changes
  switch (how) {
    case Failure::timeout:
      unsettled_from_ = std::min(unsettled_from_, pending_from);
      return service_was_reachable();
    case Failure::truncated:
      // Its first byte came at most so long ago as the rest of a response may take.
      unsettled_from_ =
          std::min({unsettled_from_, now + kAfterChange - kAfterWait, unheard_since(now) + kAfterChange});
      return service_was_reachable();
    case Failure::error_response:
    case Failure::connection_closed:
    case Failure::connection_refused:
      break;
  }
  if (failing_from_ != kNever && unsettled_from_ == kNever && now >= failing_from_ + outage_threshold_)
    outage_assumed_ = true;
  if (outage_assumed_) {
    failing_from_ = connection_closed_at_ = kNever;
    outage_proven_at_ = requested_at_;  // it may have come back while the request was held
    return;
  }
  how == Failure::connection_refused ? service_down(now) : rejected(now, how);
}

void StalenessClock::rejected(Micros now, Failure how) {
  const bool is_first = failing_from_ == kNever && outage_proven_at_ == kNever;
  service_was_reachable();
  failing_from_ = std::min(failing_from_, unheard_since(now) + kAfterChange);
  if (is_first && how == Failure::connection_closed) connection_closed_at_ = now;
}

void StalenessClock::service_down(Micros now) {
  // The connection was closed because the service went down.
  if (connection_closed_at_ != kNever && now - connection_closed_at_ <= kContinuousOutage)
    failing_from_ = kNever;
  if (outage_proven_at_ != kNever && now - outage_proven_at_ > kContinuousOutage) service_was_reachable();
  connection_closed_at_ = kNever;
  outage_proven_at_ = now;
}

// Since an unknown moment after it was last down: a change may have been there right after that.
void StalenessClock::service_was_reachable() {
  failing_from_ = std::min(failing_from_, stale_from_outage());
  outage_proven_at_ = connection_closed_at_ = kNever;
  outage_assumed_ = false;
}

void StalenessClock::service_switched(Micros now) {
  if (pending_from_ != kNever)
    unsettled_from_ = std::min({unsettled_from_, pending_from_, unheard_since(now) + kAfterChange});
  unsettled_from_ = std::min({unsettled_from_, failing_from_, stale_from_outage(), now + kAfterSwitch});
  pending_from_ = failing_from_ = connection_closed_at_ = outage_proven_at_ = kNever;
  outage_assumed_ = false;
}

// As after a switch, but what is known of this service's being down still holds. Guards against a
// configuration that changes something else, and ends service since discovery happens to be down.
void StalenessClock::configuration_reread(Micros now) {
  if (pending_from_ != kNever) request_failed(now, Failure::connection_closed);
  if (outage_proven_at_ == kNever) failing_from_ = std::min(failing_from_, now + kAfterSwitch);
}

Micros StalenessClock::stale_from() const {
  return std::min({pending_from_, unsettled_from_, failing_from_, stale_from_outage()});
}

Micros StalenessClock::request_by() const {
  if (stale_from() == kNever) return kNever;
  const Micros in_time = stale_from() - kAfterWait - kAfterWait / 4;  // for a whole answer to be here before
  const bool is_urgent = is_catching_up() && (outage_proven_at_ != kNever || stale_from() <= failed_at_);
  if (!is_urgent) return in_time;
  return in_time > failed_at_ ? std::min(in_time, failed_at_ + kContinuousOutage)
                              : failed_at_ + kContinuousOutage;
}

bool StalenessClock::is_catching_up() const {
  return unsettled_from_ != kNever || failing_from_ != kNever || outage_proven_at_ != kNever;
}

// From when on a request that fails now may have left changes unreported.
Micros StalenessClock::unheard_since(Micros now) const {
  if (now - requested_at_ > kLongestQueueing) return now;
  return std::min(started_at_, requested_at_);
}

// A change is available at the earliest right after the service was last known to be down.
Micros StalenessClock::stale_from_outage() const {
  return outage_proven_at_ == kNever ? kNever : outage_proven_at_ + kAfterChange;
}

}  // namespace flintweir::node
