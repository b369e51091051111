#include "node/list_clock.h"

#include <algorithm>
#include <utility>

namespace flintweir::node {
namespace {

// A service found down twice within so long was down in between. Guards against one that comes back and goes
// down again between two calls, with a change that nobody heard of.
constexpr Micros kStillDown = ListClock::kAfterWait;
// A call that fails within so long may have waited for its turn all the while, and never have begun to watch.
constexpr Micros kInQueue = ListClock::kAfterChange - ListClock::kAfterWait;

}  // namespace

void ListClock::called(Micros now, Micros wait) {
  called_at_ = now;
  out_ = now + std::max(kAfterChange, wait + kAfterWait);
}

void ListClock::answered() {
  began_at_ = out_ = owed_ = failing_ = broken_at_ = down_at_ = kNothing;
  outage_believed_ = false;
}

void ListClock::failed(Micros now, Failure how) {
  const Micros out = std::exchange(out_, kNothing);
  failed_at_ = now;
  if (now - called_at_ > kInQueue) began_at_ = kNothing;  // it was a watch, and would have told
  switch (how) {
    case Failure::silent:
      owed_ = std::min(owed_, out);
      return could_be_reached();
    case Failure::not_whole:
      // Its first byte came at most the wait for its last one ago.
      owed_ = std::min({owed_, now + kAfterChange - kAfterWait, unheard_since(now) + kAfterChange});
      return could_be_reached();
    case Failure::refused:
    case Failure::broken:
    case Failure::unreachable:
      break;
  }
  if (failing_ != kNothing && owed_ == kNothing && now >= failing_ + outage_) outage_believed_ = true;
  if (outage_believed_) {
    failing_ = broken_at_ = kNothing;
    down_at_ = called_at_;  // it may have come back while it held the call
    return;
  }
  how == Failure::unreachable ? found_down(now) : turned_away(now, how);
}

void ListClock::turned_away(Micros now, Failure how) {
  const bool first = failing_ == kNothing && down_at_ == kNothing;
  could_be_reached();
  failing_ = std::min(failing_, unheard_since(now) + kAfterChange);
  if (first && how == Failure::broken) broken_at_ = now;
}

void ListClock::found_down(Micros now) {
  // The connection ended since the service went down.
  if (broken_at_ != kNothing && now - broken_at_ <= kStillDown) failing_ = kNothing;
  if (down_at_ != kNothing && now - down_at_ > kStillDown) could_be_reached();
  broken_at_ = kNothing;
  down_at_ = now;
}

// Since a moment that nobody knows: what it had when it came back counts so long after it was last down.
void ListClock::could_be_reached() {
  failing_ = std::min(failing_, down_told_from());
  down_at_ = broken_at_ = kNothing;
  outage_believed_ = false;
}

void ListClock::turned(Micros now) {
  if (out_ != kNothing) owed_ = std::min({owed_, out_, unheard_since(now) + kAfterChange});
  owed_ = std::min({owed_, failing_, down_told_from(), now + kAfterTurn});
  out_ = failing_ = broken_at_ = down_at_ = kNothing;
  outage_believed_ = false;
}

Micros ListClock::told_from() const { return std::min({out_, owed_, failing_, down_told_from()}); }

Micros ListClock::ask_by() const {
  if (told_from() == kNothing) return kNothing;
  const Micros in_time = told_from() - kAfterWait - kAfterWait / 4;  // for a whole answer to be here before
  const bool hurry = owes_list() && (down_at_ != kNothing || told_from() <= failed_at_);
  if (!hurry) return in_time;
  return in_time > failed_at_ ? std::min(in_time, failed_at_ + kStillDown) : failed_at_ + kStillDown;
}

bool ListClock::owes_list() const {
  return owed_ != kNothing || failing_ != kNothing || down_at_ != kNothing;
}

// A call that ends now without a list has told of nothing since then.
Micros ListClock::unheard_since(Micros now) const {
  if (now - called_at_ > kInQueue) return now;
  return std::min(began_at_, called_at_);
}

// What is there when the service returns counts so long after it was last known to be down at the earliest.
Micros ListClock::down_told_from() const { return down_at_ == kNothing ? kNothing : down_at_ + kAfterChange; }

}  // namespace flintweir::node
