#include "node/staleness_clock.h"

#include <algorithm>
#include <utility>

namespace flintweir::node {
namespace {

// Two requests at most this far apart that both found the service down prove that it was down in between. If
// they are farther apart, the service may have been up between them, with a change that did not reach this
// node.
constexpr Micros kContinuousOutage = StalenessClock::kLongPollDeadline;
// A request that fails within this time may have been queued at the service all along, so that no change
// could be reported on it.
constexpr Micros kMaxQueueTime = StalenessClock::kChangeDeadline - StalenessClock::kLongPollDeadline;

}  // namespace

StalenessClock StalenessClock::pushed(Micros retry_delay) {
  StalenessClock clock(kNever);
  clock.pushed_ = true;
  // While no agent is running, each retry proves it well before the copy would become stale.
  clock.delays_ = {Micros{0}, 2 * retry_delay};
  return clock;
}

void StalenessClock::started(Micros now) {
  started_at_ = now;
  if (!pushed_) return;
  persistent_deadline_ = now;
  awaiting_agent_ = true;
}

void StalenessClock::request_sent(Micros now, Micros wait) {
  requested_at_ = now;
  long_polling_ = wait > Micros{0};
  pending_deadline_ = now + std::max(kChangeDeadline, wait + kLongPollDeadline);
}

void StalenessClock::list_received() {
  started_at_ = pending_deadline_ = persistent_deadline_ = failure_deadline_ = connection_closed_at_ =
      outage_proven_at_ = kNever;
  outage_assumed_ = awaiting_agent_ = false;
}

void StalenessClock::request_failed(Micros now, Failure failure) {
  end_request(now, failure, delays_.unreported);
}

void StalenessClock::end_request(Micros now, Failure failure, Micros unreported_delay) {
  const Micros pending_deadline = std::exchange(pending_deadline_, kNever);
  failed_at_ = now;
  if (now - requested_at_ > kMaxQueueTime)
    started_at_ = kNever;       // the service was processing this long poll and would have reported changes
  if (awaiting_agent_) return;  // the deadline of the start or the switch covers all that the agent holds
  switch (failure) {
    case Failure::timeout:
      persistent_deadline_ = std::min(persistent_deadline_, pending_deadline);
      return service_was_reachable();
    case Failure::truncated:
      // Its first byte arrived no longer ago than the rest of a response may take.
      persistent_deadline_ = std::min({persistent_deadline_, now + kChangeDeadline - kLongPollDeadline,
                                       unreported_since(now) + unreported_delay});
      return service_was_reachable();
    case Failure::connection_closed:
      if (long_polling_) persistent_deadline_ = std::min(persistent_deadline_, pending_deadline);
      break;
    case Failure::error_response:
      if (long_polling_) failure_deadline_ = std::min(failure_deadline_, pending_deadline);
      break;
    case Failure::connection_refused:
      break;
  }
  if (failure_deadline_ != kNever && persistent_deadline_ == kNever &&
      now - failure_deadline_ >= outage_threshold_)
    outage_assumed_ = true;
  if (outage_assumed_) {
    failure_deadline_ = connection_closed_at_ = kNever;
    outage_proven_at_ = requested_at_;  // the service may have come back since the request was sent
    return;
  }
  failure == Failure::connection_refused ? service_down(now)
                                         : request_rejected(now, failure, unreported_delay);
}

// The service answered with an error or closed the connection: it may have been up.
void StalenessClock::request_rejected(Micros now, Failure failure, Micros unreported_delay) {
  const bool is_first = failure_deadline_ == kNever && outage_proven_at_ == kNever;
  // An agent that ends may also close a connection that the retry has just opened.
  const bool closed_again =
      pushed_ && connection_closed_at_ != kNever && now - connection_closed_at_ <= delays_.service_return;
  const Micros closed_at = is_first ? now : closed_again ? connection_closed_at_ : kNever;
  service_was_reachable();
  failure_deadline_ = std::min(failure_deadline_, unreported_since(now) + unreported_delay);
  if (failure == Failure::connection_closed) connection_closed_at_ = closed_at;
}

void StalenessClock::service_down(Micros now) {
  // The connection was closed because the service went down: the outage explains that failure.
  if (connection_closed_at_ != kNever && now - connection_closed_at_ <= kContinuousOutage)
    failure_deadline_ = kNever;
  if (outage_proven_at_ != kNever && now - outage_proven_at_ > kContinuousOutage) service_was_reachable();
  connection_closed_at_ = kNever;
  outage_proven_at_ = now;
}

// The service came back at an unknown time after it was last known to be down. A change may have been
// available immediately after that.
void StalenessClock::service_was_reachable() {
  failure_deadline_ = std::min(failure_deadline_, outage_deadline());
  outage_proven_at_ = connection_closed_at_ = kNever;
  outage_assumed_ = false;
}

void StalenessClock::service_switched(Micros now) {
  if (pending_deadline_ != kNever)
    persistent_deadline_ =
        std::min({persistent_deadline_, pending_deadline_, unreported_since(now) + kChangeDeadline});
  // An agent that is not running has no change that a switch could leave behind.
  const bool agent_is_down = pushed_ && outage_deadline() > now;
  persistent_deadline_ = std::min({persistent_deadline_, failure_deadline_,
                                   agent_is_down ? kNever : outage_deadline(), now + kSwitchDeadline});
  pending_deadline_ = failure_deadline_ = connection_closed_at_ = outage_proven_at_ = kNever;
  outage_assumed_ = false;
  awaiting_agent_ = pushed_;
}

// As after a switch, except that a known outage of this service stays known. Otherwise a configuration that
// changes something else would stop the node from serving just because discovery happens to be down.
void StalenessClock::configuration_reread(Micros now) {
  if (pending_deadline_ != kNever) end_request(now, Failure::connection_closed, kChangeDeadline);
  if (outage_proven_at_ == kNever) failure_deadline_ = std::min(failure_deadline_, now + kSwitchDeadline);
}

Micros StalenessClock::stale_from() const {
  return std::min({pending_deadline_, persistent_deadline_, failure_deadline_, outage_deadline()});
}

Micros StalenessClock::request_by() const {
  if (stale_from() == kNever) return kNever;
  // Leaves time to receive a whole response before the deadline.
  const Micros in_time = stale_from() - kLongPollDeadline - kLongPollDeadline / 4;
  const bool is_urgent = is_catching_up() && (outage_proven_at_ != kNever || stale_from() <= failed_at_);
  if (!is_urgent) return in_time;
  const Micros to_prove_outage = failed_at_ + kContinuousOutage;
  return in_time > failed_at_ ? std::min(in_time, to_prove_outage) : to_prove_outage;
}

bool StalenessClock::is_catching_up() const {
  return persistent_deadline_ != kNever || failure_deadline_ != kNever || outage_proven_at_ != kNever;
}

// From when on changes may be unreported if the current request fails at `now`.
Micros StalenessClock::unreported_since(Micros now) const {
  if (now - requested_at_ > kMaxQueueTime) return now;
  return std::min(started_at_, requested_at_);
}

// The earliest possible change was available immediately after the service was last known to be down.
Micros StalenessClock::outage_deadline() const {
  return outage_proven_at_ == kNever ? kNever : outage_proven_at_ + delays_.service_return;
}

}  // namespace flintweir::node
