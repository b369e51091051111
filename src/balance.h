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
enum class DedupScope { all, zone, cell };  // which hosts drop repeats of a referenced session
enum class HostStatus { active, draining, removed };

// How a dial ended. turned_away, unconnected and unsent prove that it never ran.
enum class DialOutcome {
  completed,
  error_reply,
  rejected,
  timed_out,
  connect_failed,
  connection_lost,
  cancelled,
  not_sent
};

struct Listener {
  Micros handshake_target;
  Micros dial_timeout;
  Effect effect;
  DedupScope dedup_scope;
  Micros dedup_window;  // how long a host remembers a referenced session, from its dial
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
struct RetryBudgetLimits {
  double min_retries;  // however few sessions come
  double retry_ratio;  // for each session taken
  Micros window;
};

struct DialLimits {
  unsigned max_dials;                                  // dials of one session
  Micros max_retry_after;                              // zero where clients cannot be told when to come back
  std::optional<RetryBudgetLimits> retry_budget = {};  // none: no budget
};

struct ColdStartLimits {
  Micros warm_up;
  double initial_share;    // of its capacity that a host starts with, at least
  double overload_factor;  // of present capacity that tips it over
  Micros window;           // when sent for so long
};

struct ListPolicy {
  bool on_request;  // the list answers only when asked
  Micros poll_interval;
  bool weights_are_capacities = true;  // else they fall as hosts fill, and tell no size
  bool only_draining_binds = false;    // a host called gone or left out without it may still be used
};

// Points of service that each unit for each session costs.
struct Prices {
  double zone_crossing;         // of zones
  std::optional<double> probe;  // absent where hosts may not be probed
};

struct SessionRequest {
  ListenerId listener;
  TenantId tenant;
  Micros deadline;
  std::optional<ClientKey> client;
  std::optional<GroupId> group;
  std::optional<double> expected_load;
  bool is_retry = false;      // the client tries again
  bool is_reconnect = false;  // the client comes back after a break or a move
};

// What a host says of itself when probed; a field that it does not report is absent.
struct LoadReport {
  std::optional<double> load;             // load asked over what it can do
  std::optional<double> cpu_usage;        // share of its cores in use
  std::optional<double> backlog;          // seconds of work waiting
  std::optional<double> queued_sessions;  // sessions waiting
};

// Why a session gets no host, for the log alone.
enum class RefusalReason {
  no_host,        // none was found until its time to wait was over
  fleet_full,     // no host has room, or it weighs too much while that is so
  list_stale,     // hosts may drain of which this node has not heard
  throttled,      // most dials fail, whatever the host
  no_dials_left,  // it may not be dialled again, or not in time
  no_budget_left  // the budget of further dials is spent
};

class BalancerActions {
 public:
  virtual ~BalancerActions() = default;
  virtual void dial(SessId sess, HostId host, Micros limit) = 0;  // zero: until the client gives up
  virtual void refuse(SessId sess, Micros stay_away, RefusalReason why) = 0;
  virtual void tear_down(SessId sess, RefusalReason why) = 0;
  virtual void move(SessId sess) = 0;
  virtual void probe(HostId host) = 0;
  virtual void set_timer(Micros delay, TimerId timer) = 0;
  virtual void watch_list() = 0;              // asks for the list and for its changes from now on
  virtual void forget_host(HostId host) = 0;  // nothing will be sent there unless a list names it anew
  virtual void log(std::string_view line) = 0;
  virtual void log(std::string_view line, HostId host) = 0;
};

class Balancer;

class SessionHandle {
 public:
  SessionHandle() = default;
  SessionHandle(Balancer* balancer, SlabKey key) : balancer_(balancer), key_(key) {}
  bool live() const;  // false once it is over and none of its dials is out
  void dial_accepted(DialNo dial);
  void dial_ended(DialNo dial, DialOutcome ending, bool over);
  void client_left();  // the client is gone; nothing is owed
  void set_load(double micros_per_s);
  void set_message_delay(Micros delay);

 private:
  Balancer* balancer_ = nullptr;
  SlabKey key_;
};

class Balancer {
 public:
  virtual ~Balancer() = default;

  virtual void set_time(Micros now) = 0;
  // So many nodes, this one among them, may be acting; until it is said, the number it was made with stands.
  virtual void set_node_count(unsigned nodes) = 0;
  // From now on: the same listeners in their order, of which only handshake target and utility may be others;
  // most dials of a session; prices, of which that of probes is there or not as before. Sessions taken keep
  // their times.
  virtual void update_settings(std::vector<Listener> listeners, unsigned most_dials, Prices prices) = 0;

  virtual SessionHandle start_session(SessId sess, const SessionRequest& taken) = 0;
  virtual SessionHandle adopt_session(SessId sess, const SessionRequest& taken,
                                      HostId host) = 0;  // open already, by dial 0
  virtual void timer_expired(TimerId timer) = 0;
  // A probe ended, as a dial may: finished, with its report, or erred, turned_away, timed_out and the like.
  virtual void probe_ended(HostId host, DialOutcome how, Micros took, const LoadReport& report) = 0;

  virtual void begin_list(bool whole) = 0;
  virtual void list_host(HostId host, ZoneId zone, CellId cell, HostStatus standing, double share,
                         Micros started) = 0;
  virtual void end_list() = 0;
  virtual void list_failed() = 0;
  // What this node has not heard may count as told by now: nothing is sent until a list comes, or
  // list_usable.
  virtual void list_stale() = 0;
  // The list there is may be used again: the service can't be reached, so that nothing counts as told.
  virtual void list_usable() = 0;
  // Whether a dial that has not begun may still go there: a list may have come since it was decided.
  virtual bool may_dial(HostId host) = 0;

 private:
  friend class SessionHandle;
  virtual bool live(SlabKey sess) const = 0;
  virtual void dial_accepted(SlabKey sess, DialNo dial) = 0;
  virtual void dial_ended(SlabKey sess, DialNo dial, DialOutcome ending, bool over) = 0;
  virtual void client_left(SlabKey sess) = 0;
  virtual void set_load(SlabKey sess, double micros_per_s) = 0;
  virtual void set_message_delay(SlabKey sess, Micros delay) = 0;
};

std::unique_ptr<Balancer> make_balancer(BalancerActions& outlet, std::uint64_t seed, unsigned nodes,
                                        ZoneId zone, std::vector<Listener> listeners, DialLimits dials,
                                        ColdStartLimits cold, ListPolicy list, Prices prices);

inline bool SessionHandle::live() const { return balancer_ && balancer_->live(key_); }
inline void SessionHandle::dial_accepted(DialNo dial) { balancer_->dial_accepted(key_, dial); }
inline void SessionHandle::dial_ended(DialNo dial, DialOutcome ending, bool over) {
  balancer_->dial_ended(key_, dial, ending, over);
}
inline void SessionHandle::client_left() { balancer_->client_left(key_); }
inline void SessionHandle::set_load(double micros_per_s) { balancer_->set_load(key_, micros_per_s); }
inline void SessionHandle::set_message_delay(Micros delay) { balancer_->set_message_delay(key_, delay); }

}  // namespace flintweir
