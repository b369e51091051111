// When what a node has not heard of the list counts as told all the same, by the protocol's page. The only
// place that knows the protocol's figures. No I/O and no clock of its own.
#pragma once

#include "ids.h"

namespace flintweir::node {

// Keeps the earliest moment from which a change that this node has not heard of may count as told. Each
// failure adds a moment of its own, and nothing that comes later puts off an earlier one but a list, or proof
// that the service could not be reached.
class ListClock {
 public:
  // The protocol's figures: so long after a change was there and the service could be reached; after the wait
  // that a call was allowed, if that is later; and after the node was told of another service.
  static constexpr Micros kAfterChange = std::chrono::seconds(6), kAfterWait = std::chrono::seconds(2),
                          kAfterTurn = std::chrono::seconds(4);
  static constexpr Micros kNothing = Micros::max();

  enum class Failure {
    silent,      // no answer came: what the service kept back, and since when, nobody knows
    not_whole,   // an answer began and broke off, or is malformed: what it held may be new
    refused,     // an answer that holds no list, such as 503: whoever gives it can be reached
    broken,      // the connection ended without an answer, as when the service goes down
    unreachable  // nobody listens there: a change made while that lasts counts from the service's return on
  };

  // Calls that fail for `outage` after what came before the first of them counted as told, none of them
  // silent, are taken for an outage: then what fails is down, and a change counts from its return on.
  explicit ListClock(Micros outage) : outage_(outage) {}

  // The node starts, by a list that may be old.
  void began(Micros now) { began_at_ = now; }
  // A call goes out that the service may hold for so long. It may have fallen silent at once.
  void called(Micros now, Micros wait);
  // With a list that holds all there is.
  void answered();
  void failed(Micros now, Failure how);
  // From now on another service is asked. What the one before may have kept back stays owed.
  void turned(Micros now);

  // From then on what this node has not heard may count as told; kNothing: nothing does.
  Micros told_from() const;
  // When the service is asked again at the latest: in time for a list to be here, and soon where it is down
  // or the list is missed already. kNothing: there is no hurry.
  Micros ask_by() const;
  // Whether a list is owed: the next call has to be answered at once, not when something changes.
  bool owes_list() const;

 private:
  void turned_away(Micros now, Failure how);
  void found_down(Micros now);
  void could_be_reached();
  Micros unheard_since(Micros now) const;
  Micros down_told_from() const;

  Micros outage_;
  Micros began_at_ = kNothing;          // until the first list
  Micros called_at_{0}, failed_at_{0};  // the latest call, and the latest that failed
  Micros out_ = kNothing;               // of the call that is out
  Micros owed_ = kNothing;              // of calls and services given up; only a list settles it
  Micros failing_ = kNothing;           // of failures while the service may have been there
  Micros broken_at_ = kNothing;         // when a connection ended, the first failure since the last list
  Micros down_at_ = kNothing;  // when the service was last known to be down, if the last call proved it
  bool outage_believed_ = false;
};

}  // namespace flintweir::node
