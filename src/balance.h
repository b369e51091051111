// The interface of the decision module: the events that its caller reports, and the calls of a delegate by
// which it answers them. It does no I/O and reads no clock. The caller first sets the time with
// Balancer::set_time(), then reports what happened; any call may invoke the delegate before it returns. A
// started session is represented by a SessionHandle, and later events of that session are calls on the
// handle.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "ids.h"
#include "slab.h"

namespace flintweir {

// Whether a session may run more than once: always; only where hosts recognise the duplicate by its reference
// and drop it; or never.
enum class Effect { repeatable, referenced, once_only };

// The hosts among which a duplicate of a referenced session is detected and dropped.
enum class DedupScope { all, zone, cell };

enum class HostStatus { active, draining, removed };

// How a dial, an open connection or a probe ended. After rejected, connect_failed and not_sent the session is
// known not to have run on the host.
enum class DialOutcome {
  completed,
  error_reply,  // the host answered with an error or with an invalid line
  rejected,     // the host answered that it takes no session now
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
  Micros dedup_window;  // how long a host remembers a referenced session, counted from its dial
  double utility;
  Micros message_target{0};  // a message delivered later than this is of no use; zero: no target
};

// The shortest message target of all listeners, or zero if none has one.
inline Micros shortest_message_target(const std::vector<Listener>& listeners) {
  Micros shortest{0};
  for (const Listener& l : listeners)
    if (l.message_target > Micros{0} && (shortest == Micros{0} || l.message_target < shortest))
      shortest = l.message_target;
  return shortest;
}

// Limits the retries (dials beyond each session's first) of one node, in any window of the given length.
struct RetryBudgetLimits {
  double min_retries;  // allowed however few sessions start
  double retry_ratio;  // retries allowed in addition for each session started
  Micros window;
};

struct DialLimits {
  unsigned max_dials;                                  // of one session
  Micros max_retry_after;                              // zero if clients cannot be told when to come back
  std::optional<RetryBudgetLimits> retry_budget = {};  // none: retries are not limited
};

// How much a cold (recently started) host may be sent.
struct ColdStartLimits {
  Micros warm_up;          // after this time a host is warm
  double initial_share;    // the least part of its full capacity that a host has at its start
  double overload_factor;  // a host is overloaded by this multiple of its present capacity
  Micros window;           // when it is sent for this long
};

struct ListPolicy {
  bool on_request;  // the list service answers requests only, and pushes nothing by itself
  Micros poll_interval;
  bool weights_are_capacities = true;  // if not, weights fall as hosts fill, and say nothing of capacity
  bool only_draining_binds = false;    // a host that is listed as removed, or no longer listed, may still be
                                       // used unless it was listed as draining before
};

// What one unit for each session costs, in points of service.
struct Prices {
  double zone_crossing;         // a session's host is in another zone than the node
  std::optional<double> probe;  // one probe; none: hosts may not be probed
};

struct SessionRequest {
  ListenerId listener;
  TenantId tenant;
  Micros deadline;
  std::optional<ClientKey> client;
  std::optional<GroupId> group;
  std::optional<double> expected_load;
  bool is_retry = false;      // the client repeats an attempt that failed
  bool is_reconnect = false;  // the client comes back after its connection broke or was moved
};

// A host's answer to a probe. A field that the host does not report has no value.
struct LoadReport {
  std::optional<double> load;             // offered load over capacity
  std::optional<double> cpu_usage;        // share of its cores in use
  std::optional<double> backlog;          // seconds of work waiting
  std::optional<double> queued_sessions;  // sessions waiting
};

// Why a session gets no host. Used in logs only.
enum class RefusalReason {
  no_host,        // no host was found within the time that the session may wait
  fleet_full,     // no host has room, or the session is too heavy while none has
  list_stale,     // hosts may be draining that this node has not heard of
  throttled,      // most dials fail, whatever the host
  no_dials_left,  // the session may not be dialled again, or not in time
  no_budget_left  // the retry budget is spent
};

// What the balancer asks of its surroundings.
class BalancerDelegate {
 public:
  virtual ~BalancerDelegate() = default;
  // Dials `host` for the session. The dial times out after `limit`; zero: when the client gives up.
  virtual void dial(SessId sess, HostId host, Micros limit) = 0;
  // Refuses the session, and asks the client to stay away for `retry_after`.
  virtual void refuse(SessId sess, Micros retry_after, RefusalReason why) = 0;
  virtual void tear_down(SessId sess, RefusalReason why) = 0;
  // Asks the client of an open session to reconnect, so that it gets another host.
  virtual void move(SessId sess) = 0;
  virtual void probe(HostId host) = 0;
  virtual void set_timer(Micros delay, TimerId timer) = 0;
  // Requests the list, and its changes from now on.
  virtual void watch_list() = 0;
  // Nothing will be sent to the host again unless a list names it anew.
  virtual void forget_host(HostId host) = 0;
  virtual void log(std::string_view line) = 0;
  virtual void log(std::string_view line, HostId host) = 0;
};

class Balancer;

// Refers to a session of a balancer, which must outlive the handle. Calls on a session that is over have no
// effect. Of a default handle, which refers to none, only live() may be called.
class SessionHandle {
 public:
  SessionHandle() = default;
  SessionHandle(Balancer* balancer, SlabKey key) : balancer_(balancer), key_(key) {}
  // False once the session is over and none of its dials is in progress.
  bool live() const;
  void dial_accepted(DialNo dial);
  // The dial has ended, or the connection that it opened. `over`: the session needs no further dial.
  void dial_ended(DialNo dial, DialOutcome outcome, bool over);
  // The client has left before its session was open, and needs no answer.
  void client_left();
  // The load of the open session, in microseconds of work per second.
  void set_load(double micros_per_s);
  // How long messages of the open session wait at its host.
  void set_message_delay(Micros delay);

 private:
  Balancer* balancer_ = nullptr;
  SlabKey key_;
};

class Balancer {
 public:
  virtual ~Balancer() = default;

  // The time at which the events reported next happen. It never goes back.
  virtual void set_time(Micros now) = 0;
  // The number of nodes that may be active, this one included. Until the first call it is the number given to
  // make_balancer().
  virtual void set_node_count(unsigned nodes) = 0;
  // Replaces settings from now on. `listeners` are the same in the same order, and may differ in handshake
  // target and utility only; `prices` must have a price of probes exactly if it had one before. Sessions that
  // have started keep their deadlines.
  virtual void update_settings(std::vector<Listener> listeners, unsigned max_dials, Prices prices) = 0;

  virtual SessionHandle start_session(SessId sess, const SessionRequest& request) = 0;
  // Adds a session that is already open at `host`, by dial 0.
  virtual SessionHandle adopt_session(SessId sess, const SessionRequest& request, HostId host) = 0;
  virtual void timer_expired(TimerId timer) = 0;
  // `report` is used if the outcome is completed.
  virtual void probe_ended(HostId host, DialOutcome outcome, Micros took, const LoadReport& report) = 0;

  // A list is given as begin_list(), a call of list_host() for each of its hosts, and end_list(). `complete`:
  // hosts that are not named are not on the list; else the list names changes only.
  virtual void begin_list(bool complete) = 0;
  // `weight` is relative to that of the other hosts. `started`: when the host started; zero: it is not cold.
  virtual void list_host(HostId host, ZoneId zone, CellId cell, HostStatus status, double weight,
                         Micros started) = 0;
  virtual void end_list() = 0;
  virtual void list_failed() = 0;
  // By now hosts may be draining that this node has not heard of: no host is dialled until the next
  // end_list() or list_usable().
  virtual void list_stale() = 0;
  // The present list may be used again: the list service cannot be reached, so that no later list binds this
  // node.
  virtual void list_usable() = 0;
  // Whether a dial that was decided but not begun may still be made: a list may have arrived since.
  virtual bool may_dial(HostId host) = 0;

 private:
  friend class SessionHandle;
  virtual bool live(SlabKey sess) const = 0;
  virtual void dial_accepted(SlabKey sess, DialNo dial) = 0;
  virtual void dial_ended(SlabKey sess, DialNo dial, DialOutcome outcome, bool over) = 0;
  virtual void client_left(SlabKey sess) = 0;
  virtual void set_load(SlabKey sess, double micros_per_s) = 0;
  virtual void set_message_delay(SlabKey sess, Micros delay) = 0;
};

// Makes the balancer of one node. `delegate` must outlive it.
std::unique_ptr<Balancer> make_balancer(BalancerDelegate& delegate, std::uint64_t seed, unsigned nodes,
                                        ZoneId zone, std::vector<Listener> listeners, DialLimits dials,
                                        ColdStartLimits cold, ListPolicy list, Prices prices);

inline bool SessionHandle::live() const { return balancer_ && balancer_->live(key_); }
inline void SessionHandle::dial_accepted(DialNo dial) { balancer_->dial_accepted(key_, dial); }
inline void SessionHandle::dial_ended(DialNo dial, DialOutcome outcome, bool over) {
  balancer_->dial_ended(key_, dial, outcome, over);
}
inline void SessionHandle::client_left() { balancer_->client_left(key_); }
inline void SessionHandle::set_load(double micros_per_s) { balancer_->set_load(key_, micros_per_s); }
inline void SessionHandle::set_message_delay(Micros delay) { balancer_->set_message_delay(key_, delay); }

}  // namespace flintweir
