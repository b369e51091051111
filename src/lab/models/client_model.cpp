#include "lab/models/client_model.h"

#include <algorithm>
#include <cmath>

#include "numbers.h"

namespace flintweir::lab {

using namespace std::chrono_literals;

Micros ClientModel::start() {
  state_ = State::idle;
  return scaled(plan_.mean_pause, uniform());
}

Micros ClientModel::on_session_end() {
  state_ = State::idle;
  return scaled(plan_.mean_pause, std::min(exponential(), 5.0));
}

void ClientModel::start_session(Micros now) {
  double total = 0, sum = 0;
  for (const ListenerPlan& listener_plan : plan_.listeners) total += listener_plan.share;
  const double drawn = uniform() * total;
  session_ = {};
  for (std::size_t i = 0; i < plan_.listeners.size(); ++i) {
    sum += plan_.listeners[i].share;
    session_.listener = i;
    if (drawn < sum) break;
  }
  session_.group = group_;
  session_.load = plan_.mean_load * listener().load_factor * (0.5 + uniform());
  session_.wanted_until =
      now + scaled(plan_.mean_lifetime, listener().lifetime_factor * std::clamp(exponential(), 0.1, 4.0));
  retries_ = 0;
}

bool ClientModel::begin_attempt(Micros now) {
  if (state_ == State::idle) {
    start_session(now);
  } else if (state_ == State::given_up || now >= session_.wanted_until) {
    return false;
  }
  state_ = State::connecting;
  return true;
}

bool ClientModel::wake_up(Micros now) {
  if (state_ != State::idle) return false;
  start_session(now);
  state_ = State::connecting;
  return true;
}

// A client that has used up its retries does without a connection for as long as it had wanted one.
Micros ClientModel::on_rejected(Micros now, Micros retry_after) {
  if (retries_++ >= plan_.retries) {
    state_ = State::given_up;
    return std::max(session_.wanted_until - now, 0us);
  }
  state_ = State::connecting;
  session_.is_retry = true;
  const Micros wait = scaled(plan_.retry_delay, 0.5 + uniform());
  return honours_retry_after_ ? std::max(wait, scaled(retry_after, 1 + 0.2 * uniform())) : wait;
}

Micros ClientModel::on_connection_lost(Micros now) {
  if (now >= session_.wanted_until) return on_session_end();
  state_ = State::connecting;
  retries_ = 0;
  session_.is_retry = false;
  session_.is_reconnect = true;
  return plan_.reconnect_delay[0] + scaled(plan_.reconnect_delay[1] - plan_.reconnect_delay[0], uniform());
}

}  // namespace flintweir::lab
