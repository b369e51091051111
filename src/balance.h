// The interface of the decision module: what a caller tells it, and the outlet through which it acts.
// A caller says the time with at(), then what has happened; each call may act on the outlet before it
// returns. Taking a session gives a handle, and all that happens to that session is a call on the handle.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "ids.h"
#include "slab.h"

namespace flintweir {

enum class Effect { repeatable, referenced, once_only };
enum class Reach { all, zone, cell };  // which hosts drop repeats of a referenced session
enum class Standing { in, draining, gone };

// How a dial ended. turned_away, unconnected and unsent prove that it never ran.
enum class Ending { finished, erred, turned_away, timed_out, unconnected, broken, cancelled, unsent };

struct Listener {
  Micros handshake_target;
  Micros dial_timeout;
  Effect effect;
  Reach reach;
  Micros memory;  // how long a host remembers a referenced session, from its dial
  double utility;
};

struct DialLimits {
  unsigned most;             // dials of one session
  Micros longest_stay_away;  // zero where clients cannot be told when to come back
};

struct ColdRule {
  Micros warm_within;
  double share;     // of its capacity that a host starts with, at least
  double multiple;  // of present capacity that tips it over
  Micros window;    // when sent for so long
};

struct ListRule {
  bool asked;  // the list answers only when asked
  Micros ask_every;
};

// Each in points of service for one of it a session.
struct Prices {
  double crossing;
  double probe;
};

struct Taken {
  ListenerId listener;
  TenantId tenant;
  Micros valid_until;
  std::optional<ClientKey> client;
  std::optional<GroupId> group;
  std::optional<double> usual_load;
  bool repeat = false;    // the client tries again
  bool returned = false;  // the client comes back after a break or a move
};

// What a host says of itself when probed; a field that it does not report is absent.
struct LoadReport {
  std::optional<double> load;         // load asked over what it can do
  std::optional<double> busy;         // share of its cores in use
  std::optional<double> piled_up;     // seconds of work waiting
  std::optional<double> queued;       // sessions waiting
  std::optional<double> errors_per_s;
};

class Outlet {
 public:
  virtual ~Outlet() = default;
  virtual void dial(SessId sess, HostId host, Micros limit) = 0;  // zero: until the client gives up
  virtual void refuse(SessId sess, Micros stay_away) = 0;
  virtual void tear_down(SessId sess) = 0;
  virtual void move(SessId sess) = 0;
  virtual void probe(HostId host) = 0;
  virtual void wake(Micros in, WakeId wake) = 0;
  virtual void watch() = 0;  // asks for the list and for its changes from now on
  virtual void log(std::string_view line) = 0;
};

class Decisions;

class Sess {
 public:
  Sess() = default;
  bool live() const;  // false once it is over and none of its dials is out
  void accepted(DialNo dial);
  void ended(DialNo dial, Ending ending, bool over);
  void left();  // the client is gone; nothing is owed
  void load_is(double micros_per_s);
  void messages_take(Micros delay);

 private:
  friend class Balancer;
  Sess(Decisions* decisions, SlabKey key) : decisions_(decisions), key_(key) {}
  Decisions* decisions_ = nullptr;
  SlabKey key_;
};

class Balancer {
 public:
  Balancer(Outlet& outlet, std::uint64_t seed, unsigned nodes, ZoneId zone, std::vector<Listener> listeners,
           DialLimits dials, ColdRule cold, ListRule list, Prices prices);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  void at(Micros now);

  Sess take(SessId sess, const Taken& taken);
  Sess inherit(SessId sess, const Taken& taken, HostId host);  // open already; its dial has number 0
  void woken(WakeId wake);
  void probed(HostId host, bool answered, const LoadReport& report);

  void list_begins(bool whole);
  void listed(HostId host, ZoneId zone, CellId cell, Standing standing, double share, Micros started);
  void list_ends();
  void list_failed();

 private:
  std::unique_ptr<Decisions> decisions_;
};

}  // namespace flintweir
