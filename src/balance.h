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
  Micros message_target{0};  // a message later than that serves nobody; zero where nothing says so
};

// Of all listeners; zero where none has one.
inline Micros shortest_message_target(const std::vector<Listener>& listeners) {
  Micros least{0};
  for (const Listener& l : listeners)
    if (l.message_target > Micros{0} && (least == Micros{0} || l.message_target < least))
      least = l.message_target;
  return least;
}

// Beyond each session's first, of one node, in any window of the span.
struct FurtherDials {
  double floor;  // however few sessions come
  double share;  // for each session taken
  Micros span;
};

struct DialLimits {
  unsigned most;                             // dials of one session
  Micros longest_stay_away;                  // zero where clients cannot be told when to come back
  std::optional<FurtherDials> further = {};  // none: no budget
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
  bool shares_are_sizes = true;      // else they fall as hosts fill, and tell no size
  bool only_draining_binds = false;  // a host called gone or left out without it may still be used
};

// Points of service that each unit for each session costs.
struct Prices {
  double crossing;              // of zones
  std::optional<double> probe;  // absent where hosts may not be probed
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
  std::optional<double> load;      // load asked over what it can do
  std::optional<double> busy;      // share of its cores in use
  std::optional<double> piled_up;  // seconds of work waiting
  std::optional<double> queued;    // sessions waiting
};

// Why a session gets no host, for the log alone.
enum class Refusal {
  no_host,        // none was found until its time to wait was over
  fleet_full,     // no host has room, or it weighs too much while that is so
  list_stale,     // hosts may drain of which this node has not heard
  throttled,      // most dials fail, whatever the host
  no_dials_left,  // it may not be dialled again, or not in time
  no_budget_left  // the budget of further dials is spent
};

class Outlet {
 public:
  virtual ~Outlet() = default;
  virtual void dial(SessId sess, HostId host, Micros limit) = 0;  // zero: until the client gives up
  virtual void refuse(SessId sess, Micros stay_away, Refusal why) = 0;
  virtual void tear_down(SessId sess, Refusal why) = 0;
  virtual void move(SessId sess) = 0;
  virtual void probe(HostId host) = 0;
  virtual void wake(Micros in, WakeId wake) = 0;
  virtual void watch() = 0;              // asks for the list and for its changes from now on
  virtual void forget(HostId host) = 0;  // nothing will be sent there unless a list names it anew
  virtual void log(std::string_view line) = 0;
  virtual void log(std::string_view line, HostId host) = 0;
};

class Balancer;

class Sess {
 public:
  Sess() = default;
  Sess(Balancer* balancer, SlabKey key) : balancer_(balancer), key_(key) {}
  bool live() const;  // false once it is over and none of its dials is out
  void accepted(DialNo dial);
  void ended(DialNo dial, Ending ending, bool over);
  void left();  // the client is gone; nothing is owed
  void load_is(double micros_per_s);
  void messages_take(Micros delay);

 private:
  Balancer* balancer_ = nullptr;
  SlabKey key_;
};

class Balancer {
 public:
  virtual ~Balancer() = default;

  virtual void at(Micros now) = 0;
  // So many nodes, this one among them, may be acting; until it is said, the number it was made with stands.
  virtual void nodes_are(unsigned nodes) = 0;
  // From now on: the same listeners in their order, of which only handshake target and utility may be others;
  // most dials of a session; prices, of which that of probes is there or not as before. Sessions taken keep
  // their times.
  virtual void settings_are(std::vector<Listener> listeners, unsigned most_dials, Prices prices) = 0;

  virtual Sess take(SessId sess, const Taken& taken) = 0;
  virtual Sess inherit(SessId sess, const Taken& taken, HostId host) = 0;  // open already, by dial 0
  virtual void woken(WakeId wake) = 0;
  // A probe ended, as a dial may: finished, with its report, or erred, turned_away, timed_out and the like.
  virtual void probed(HostId host, Ending how, Micros took, const LoadReport& report) = 0;

  virtual void list_begins(bool whole) = 0;
  virtual void listed(HostId host, ZoneId zone, CellId cell, Standing standing, double share,
                      Micros started) = 0;
  virtual void list_ends() = 0;
  virtual void list_failed() = 0;
  // What this node has not heard may count as told by now: nothing is sent until a list comes, or
  // list_fresh.
  virtual void list_stale() = 0;
  // The list there is may be used again: the service can't be reached, so that nothing counts as told.
  virtual void list_fresh() = 0;
  // Whether a dial that has not begun may still go there: a list may have come since it was decided.
  virtual bool may_send(HostId host) = 0;

 private:
  friend class Sess;
  virtual bool live(SlabKey sess) const = 0;
  virtual void accepted(SlabKey sess, DialNo dial) = 0;
  virtual void ended(SlabKey sess, DialNo dial, Ending ending, bool over) = 0;
  virtual void left(SlabKey sess) = 0;
  virtual void load_is(SlabKey sess, double micros_per_s) = 0;
  virtual void messages_take(SlabKey sess, Micros delay) = 0;
};

std::unique_ptr<Balancer> make_balancer(Outlet& outlet, std::uint64_t seed, unsigned nodes, ZoneId zone,
                                        std::vector<Listener> listeners, DialLimits dials, ColdRule cold,
                                        ListRule list, Prices prices);

inline bool Sess::live() const { return balancer_ && balancer_->live(key_); }
inline void Sess::accepted(DialNo dial) { balancer_->accepted(key_, dial); }
inline void Sess::ended(DialNo dial, Ending ending, bool over) { balancer_->ended(key_, dial, ending, over); }
inline void Sess::left() { balancer_->left(key_); }
inline void Sess::load_is(double micros_per_s) { balancer_->load_is(key_, micros_per_s); }
inline void Sess::messages_take(Micros delay) { balancer_->messages_take(key_, delay); }

}  // namespace flintweir
