#include "lab/models/client_model.h"

#include <algorithm>
#include <cmath>

#include "numbers.h"

namespace flintweir::lab {

using namespace std::chrono_literals;

Micros ClientModel::begin() {
  state_ = State::resting;
  return scaled(plan_.pause, uniform());
}

Micros ClientModel::ended() {
  state_ = State::resting;
  return scaled(plan_.pause, std::min(exponential(), 5.0));
}

void ClientModel::want(Micros now) {
  double all = 0, sum = 0;
  for (const ListenerPlan& l : plan_.listeners) all += l.share;
  const double drawn = uniform() * all;
  session_ = {};
  for (std::size_t i = 0; i < plan_.listeners.size(); ++i) {
    sum += plan_.listeners[i].share;
    session_.listener = i;
    if (drawn < sum) break;
  }
  session_.group = group_;
  session_.load = plan_.load * listener().load * (0.5 + uniform());
  session_.until = now + scaled(plan_.life, listener().life * std::clamp(exponential(), 0.1, 4.0));
  tries_ = 0;
}

bool ClientModel::due(Micros now) {
  if (state_ == State::resting) {
    want(now);
  } else if (state_ == State::given_up || now >= session_.until) {
    return false;
  }
  state_ = State::coming;
  return true;
}

bool ClientModel::wake(Micros now) {
  if (state_ != State::resting) return false;
  want(now);
  state_ = State::coming;
  return true;
}

// Who has tried often enough goes without for as long as it had wanted the connection.
Micros ClientModel::not_accepted(Micros now, Micros stated) {
  if (tries_++ >= plan_.retries) {
    state_ = State::given_up;
    return std::max(session_.until - now, 0us);
  }
  state_ = State::coming;
  session_.retry = true;
  const Micros wait = scaled(plan_.retry_after, 0.5 + uniform());
  return honours_ ? std::max(wait, scaled(stated, 1 + 0.2 * uniform())) : wait;
}

Micros ClientModel::broken(Micros now) {
  if (now >= session_.until) return ended();
  state_ = State::coming;
  tries_ = 0;
  session_.retry = false;
  session_.again = true;
  return plan_.returns[0] + scaled(plan_.returns[1] - plan_.returns[0], uniform());
}

}  // namespace flintweir::lab
