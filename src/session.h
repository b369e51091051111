// The state that the balancer keeps of each session.
#pragma once

#include <algorithm>
#include <array>
#include <utility>

#include "balance.h"

namespace flintweir {

// `over`: the client has left, but a dial is still in progress.
enum class SessionState { waiting, dialing, open, over };

struct Session {
  Session() = default;
  Session(SessId sess, const SessionRequest& r, double expected_load)
      : id(sess), request(r), load(expected_load) {}

  SessId id;
  SessionRequest request;
  SessionState state = SessionState::waiting;
  Micros wait_until{0};  // without any dial, the session is refused at this time
  unsigned dials = 0;
  bool dial_in_progress = false;
  bool timer_set = false;  // a timer of this session is pending
  bool moved = false;
  HostId host;
  Micros dialed_at{0};
  std::array<HostId, 6> tried{};  // the hosts of the first dials
  // The first dial by which the session may have run on a host: its time, and the zone and cell of the host.
  bool may_have_run = false;
  Micros first_run_at{0};
  ZoneId first_run_zone;
  CellId first_run_cell;
  double load = 0;          // in microseconds of work per second
  double charged_load = 0;  // what its dial added to the recent load of its host

  void dial_started(HostId h, Micros now) {
    if (dials < tried.size()) tried[dials] = h;
    ++dials;
    state = SessionState::dialing;
    dial_in_progress = true;
    host = h;
    dialed_at = now;
  }
  // Called when a dial has ended after which the session may have run on the host.
  void record_possible_run(ZoneId zone, CellId cell) {
    if (std::exchange(may_have_run, true)) return;
    first_run_at = dialed_at;
    first_run_zone = zone;
    first_run_cell = cell;
  }
  bool has_tried(HostId h) const {
    const auto end = tried.begin() + std::min<std::size_t>(dials, tried.size());
    return std::find(tried.begin(), end, h) != end;
  }
};

// The session loads of the clients that were moved last, as many as there are entries.
class ClientLoads {
 public:
  void record(ClientKey client, double load, Micros now) {
    entries_[next_] = {client, load, now};
    next_ = (next_ + 1) % entries_.size();
  }
  std::optional<double> find(ClientKey client, Micros since) const {
    for (const Entry& e : entries_) {
      if (e.client == client && e.recorded_at >= since) return e.load;
    }
    return std::nullopt;
  }

 private:
  struct Entry {
    ClientKey client;
    double load = 0;
    Micros recorded_at = Micros::min();
  };
  std::array<Entry, 256> entries_{};
  std::size_t next_ = 0;
};

}  // namespace flintweir
