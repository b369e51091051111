// A client, as somebody who wants a connection for a while: when it asks, how long it waits, when it tries
// again, when it has had enough. No I/O and no clock: each call says the time and is answered by what to do.
#pragma once

#include <optional>
#include <random>

#include "lab/faults/plan.h"

namespace flintweir::lab {

class ClientModel {
 public:
  enum class State { resting, coming, asking, open, given_up };
  struct Session {
    std::size_t listener = 0;
    double load = 0;
    std::uint64_t group = 0;  // zero: none
    Micros until{0};          // it is wanted
    bool retry = false, again = false;
  };

  ClientModel(const TrafficPlan& plan, std::uint64_t key, std::uint64_t group, std::uint64_t seed)
      : plan_(plan), key_(key), group_(group), chance_(static_cast<std::knuth_b::result_type>(seed | 1)) {
    honours_ = uniform() < plan.honours;
  }

  std::uint64_t key() const { return key_; }
  State state() const { return state_; }
  const Session& session() const { return session_; }
  const ListenerPlan& listener() const { return plan_.listeners[session_.listener]; }
  bool wants(Micros now) const { return state_ != State::resting && now < session_.until; }

  // Each tells how long to wait for the next call of due().
  Micros begin();  // at the start of a run: part of a pause
  // A pause or a wait is over. True: connect and ask now.
  bool due(Micros now);
  void asked() { state_ = State::asking; }
  void up() { state_ = State::open; }
  // Refused (with a stated wait or none), torn down, or no answer in time: when it comes again.
  Micros not_accepted(Micros now, Micros stated);
  // Its open connection broke, or it was told to move.
  Micros broken(Micros now);
  // It has had what it wanted, or that time is over.
  Micros ended();
  // Called by others to come at once, if it rests.
  bool wake(Micros now);

  Micros patience() const { return listener().rules.dial_timeout; }
  // After how long it goes while it waits for its answer; never: it waits as long as it may.
  std::optional<Micros> leaves_after() {
    if (plan_.leaves == 0 || uniform() >= plan_.leaves) return std::nullopt;
    return scaled(patience(), uniform());
  }
  double uniform() { return std::generate_canonical<double, 32>(chance_); }
  double exponential() { return -std::log(1 - uniform()); }
  unsigned line_size() {
    return plan_.line[0] + static_cast<unsigned>(uniform() * (plan_.line[1] - plan_.line[0] + 1));
  }

 private:
  void want(Micros now);
  Micros scaled(Micros mean, double by) const {
    return Micros{static_cast<std::int64_t>(static_cast<double>(mean.count()) * by)};
  }

  const TrafficPlan& plan_;
  std::uint64_t key_, group_;
  std::knuth_b chance_;
  State state_ = State::resting;
  Session session_;
  unsigned tries_ = 0;
  bool honours_ = true;
};

}  // namespace flintweir::lab
