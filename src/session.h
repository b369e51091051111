// What is kept of a session in hand.
#pragma once

#include <algorithm>
#include <array>
#include <utility>

#include "balance.h"

namespace flintweir {

enum class State { held, dialing, open, over };

struct Session {
  Session() = default;
  Session(SessId s, const SessionRequest& t, double usual) : id(s), taken(t), load(usual) {}

  SessId id;
  SessionRequest taken;
  State state = State::held;
  Micros give_up_at{0};
  unsigned dials = 0;
  bool dial_out = false;
  bool waiting = false;  // a wake-up of its own is under way
  bool moved = false;
  HostId host;
  Micros dialed_at{0};
  std::array<HostId, 6> tried{};
  // The first dial that may have run, and where.
  bool may_have_run = false;
  Micros ran_at{0};
  ZoneId ran_zone;
  CellId ran_cell;
  double load = 0;     // in microseconds of work a second
  double charged = 0;  // what its dial was counted for at its host

  void dialed(HostId h, Micros now) {
    if (dials < tried.size()) tried[dials] = h;
    ++dials;
    state = State::dialing;
    dial_out = true;
    host = h;
    dialed_at = now;
  }
  // The dial that has just ended may have run.
  void ran(ZoneId zone, CellId cell) {
    if (std::exchange(may_have_run, true)) return;
    ran_at = dialed_at;
    ran_zone = zone;
    ran_cell = cell;
  }
  bool has_tried(HostId h) const {
    const auto end = tried.begin() + std::min<std::size_t>(dials, tried.size());
    return std::find(tried.begin(), end, h) != end;
  }
};

// The loads of some clients that were sent away, the latest ones.
class ClientLoads {
 public:
  void note(ClientKey client, double load, Micros now) {
    entries_[next_] = {client, load, now};
    next_ = (next_ + 1) % entries_.size();
  }
  std::optional<double> of(ClientKey client, Micros since) const {
    for (const Entry& e : entries_) {
      if (e.client == client && e.at >= since) return e.load;
    }
    return std::nullopt;
  }

 private:
  struct Entry {
    ClientKey client;
    double load = 0;
    Micros at = Micros::min();
  };
  std::array<Entry, 256> entries_{};
  std::size_t next_ = 0;
};

}  // namespace flintweir
