// The behaviour of one client: when it wants a connection and for how long, how long it waits for an answer,
// when it retries and when it gives up. Performs no I/O and reads no clock: calls pass the time and return
// what to do next.
#pragma once

#include <optional>
#include <random>

#include "lab/faults/plan.h"

namespace flintweir::lab {

class ClientModel {
 public:
  enum class State { idle, connecting, waiting, open, given_up };
  struct Session {
    std::size_t listener = 0;
    double load = 0;
    std::uint64_t group = 0;  // zero: none
    Micros wanted_until{0};
    bool is_retry = false, is_reconnect = false;
  };

  ClientModel(const TrafficPlan& plan, std::uint64_t key, std::uint64_t group, std::uint64_t seed)
      : plan_(plan), key_(key), group_(group), random_(static_cast<std::knuth_b::result_type>(seed | 1)) {
    honours_retry_after_ = uniform() < plan.retry_after_compliance;
  }

  // The key in the OPEN line.
  std::uint64_t key() const { return key_; }
  State state() const { return state_; }
  const Session& session() const { return session_; }
  const ListenerPlan& listener() const { return plan_.listeners[session_.listener]; }
  // True while the client wants a connection, open or not.
  bool wants(Micros now) const { return state_ != State::idle && now < session_.wanted_until; }

  // The calls that return a time return how long to wait before the next call of begin_attempt().

  // At the start of a run. Returns a part of a pause, so that clients start at different times.
  Micros start();
  // The wait is over. True if the client is to connect and send its request now.
  bool begin_attempt(Micros now);
  void request_sent() { state_ = State::waiting; }
  void accepted() { state_ = State::open; }
  // The request was refused (`retry_after` is zero if the refusal stated none), torn down or not answered in
  // time.
  Micros on_rejected(Micros now, Micros retry_after);
  // The open connection broke, or the client was told to move.
  Micros on_connection_lost(Micros now);
  // The session is complete, or the time for which it was wanted is over.
  Micros on_session_end();
  // Ends a pause early. False if the client is not idle.
  bool wake_up(Micros now);

  // How long the client waits for an answer.
  Micros answer_timeout() const { return listener().rules.dial_timeout; }
  // How long the client waits before it leaves without an answer; none if it waits for the full timeout.
  std::optional<Micros> early_leave_delay() {
    if (plan_.early_leave_share == 0 || uniform() >= plan_.early_leave_share) return std::nullopt;
    return scaled(answer_timeout(), uniform());
  }
  double uniform() { return std::generate_canonical<double, 32>(random_); }
  double exponential() { return -std::log(1 - uniform()); }
  unsigned line_size() {
    return plan_.message_bytes[0] +
           static_cast<unsigned>(uniform() * (plan_.message_bytes[1] - plan_.message_bytes[0] + 1));
  }

 private:
  void start_session(Micros now);
  Micros scaled(Micros time, double factor) const {
    return Micros{static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
  }

  const TrafficPlan& plan_;
  std::uint64_t key_, group_;
  std::knuth_b random_;
  State state_ = State::idle;
  Session session_;
  unsigned retries_ = 0;
  bool honours_retry_after_ = true;
};

}  // namespace flintweir::lab
