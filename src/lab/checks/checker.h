// Checks a run of the lab against the rules, using only what clients, hosts and discovery observe; it never
// queries a node. Performs no I/O and reads no clock: each call passes the time.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/faults/plan.h"
#include "lab/models/front_model.h"

namespace flintweir::lab {

using SessionNo = Id<struct SessionNoTag, std::uint64_t>;  // as given in the OPEN line
using HostNo = Id<struct HostNoTag, std::uint32_t>;
using HostDialNo = Id<struct HostDialNoTag, std::uint64_t>;  // one dial, as received by a host

enum class Rule {
  answer,  // each session that a node takes gets exactly one final answer, in time
  effect,  // no effect happens twice, and no two dials are outstanding where that is not allowed
  drain,   // no new session goes to a draining or removed host after the grace period
  cold,    // all nodes together stay within the load budget of a host that is still cold
  line,    // no line is lost, altered, duplicated or reordered on an open session
  held,    // no line is delayed by more than one second
  cut,     // no connection is closed without MOVE while its host responds
  ended,   // a close by one side reaches the other within one second, a silent host is left within seven
  rude,    // a client that breaks the protocol gets an error or a close within three seconds
  gone,    // no dial begins more than 100 ms after its client has left
};
const char* name_of(Rule rule);

struct Violation {
  Rule rule;
  Micros at;
  SessionNo session;  // zero if no single session is concerned
  std::string what;
};

// The properties of the network between two machines that the checker needs.
class NetworkPaths {
 public:
  // The longest one-way delay.
  virtual Micros max_delay(MachineId a, MachineId b) const = 0;
  // True if no network fault has affected either direction since then, and data lost before that has had time
  // to be retransmitted.
  virtual bool healthy_since(MachineId a, MachineId b, Micros since) const = 0;

 protected:
  ~NetworkPaths() = default;
};

// Collects the events of a run and reports each violation of a rule, once for each session and rule.
class Checker {
 public:
  enum class Answer { none, up, busy, err };
  enum class CloseKind { bye, move, aborted };

  // Calls `on_violation` with each violation. `paths` has to outlive the checker.
  Checker(const NetworkPaths& paths, const HostPlan& hosts, bool only_draining_binds, unsigned max_dials,
          std::function<void(const Violation&)> on_violation)
      : paths_(paths),
        drain_grace_(hosts.drain_grace),
        only_draining_binds_(only_draining_binds),
        max_dials_(max_dials),
        on_violation_(std::move(on_violation)) {}

  // Starts and ends of nodes and hosts. The sessions of a node that goes down are exempt from the rules, and
  // the connections of a host that goes down are closed.
  void node_up(NodeNo node, MachineId machine) { nodes_[node.value] = {machine, true, {}, {}}; }
  void node_down(NodeNo node);
  // `boot_time` is zero for a host that was warm when the run began.
  void host_up(HostNo host, MachineId machine, const std::string& name, ZoneId zone, CellId cell,
               Micros boot_time);
  void host_down(HostNo host, Micros now);
  // The host stops answering anything, or answers again.
  void host_silent(HostNo host, bool silent, Micros now);
  // A cold host has become overloaded.
  void host_overloaded(HostNo host, Micros now);
  // Discovery, on `list_machine`, has written an answer with this entry to the node.
  void host_listed(NodeNo node, MachineId list_machine, HostNo host, HostStatus status, Micros boot_time,
                   Micros now);
  // The node is expected to know, from `deadline` on, a change that discovery published at `published_at`,
  // whether or not it was sent.
  void host_listing_due(NodeNo node, MachineId list_machine, HostNo host, HostStatus status,
                        Micros published_at, Micros deadline);

  // Events at a client.
  void session_requested(SessionNo id, NodeNo node, MachineId client, const Listener& listener,
                         Micros answer_timeout, Micros now);
  void session_answered(SessionNo id, Answer answer, std::string_view receipt, Micros now);
  void client_sent_line(SessionNo id, std::uint64_t line, Micros now);
  void client_received_line(SessionNo id, std::uint64_t line, bool is_move, Micros now);
  void client_closed(SessionNo id, bool cleanly, Micros now);  // on its own initiative
  void client_saw_close(SessionNo id, Micros now);
  // A client that broke the protocol has waited this long for an error or a close. `allowance` is added to
  // the limit.
  void check_bad_client_wait(Micros waited, Micros allowance, const char* kind, Micros now);

  // Events at a host.
  HostDialNo begin_dial(HostNo host, SessionNo id, Micros now);
  // A dial reached a cold host; its load counts towards the host's budget for `window`.
  void record_cold_load(HostNo host, SessionNo id, double load, Micros window, Micros now);
  void host_answered(HostDialNo dial_id, Answer answer, std::string_view receipt, Micros now);
  void host_sent_line(HostDialNo dial_id, std::uint64_t line, Micros now);
  void host_received_line(HostDialNo dial_id, std::uint64_t line, Micros now);
  void host_closed(HostDialNo dial_id, CloseKind kind, Micros now);
  void host_saw_close(HostDialNo dial_id, bool cleanly, Micros now);

  // Reports what is overdue and forgets finished sessions. To be called often.
  void check_overdue(Micros now);
  std::uint64_t checks() const { return checks_; }

 private:
  struct Line {
    std::uint64_t hash;
    Micros sent_at;
  };
  struct Dial {
    HostNo host;
    HostDialNo id;
    Micros received_at{0};
    Answer answer = Answer::none;
    std::string receipt;
    bool closed = false;       // as seen by the host
    bool host_closed = false;  // the host closed first, or its process died
    Micros host_closed_at{0};
    CloseKind close_kind = CloseKind::aborted;
    Micros superseded_at{0};     // a later dial began while this one was unanswered
    std::deque<Line> to_client;  // lines of the host that the client has not received yet
  };
  struct Session {
    NodeNo node;
    MachineId client;
    Listener listener;
    Micros requested_at{0}, answer_timeout{0};
    Answer answer = Answer::none;
    Micros answered_at{0}, client_done_at{0}, awaiting_reply_since{0}, moved_at{0};
    bool client_done = false, clean_close = false, moved = false;
    bool exempt = false;  // its node was down when it began, or went down
    std::vector<Dial> dials;
    std::deque<Line> to_host;       // lines of the client that its host has not received yet
    std::size_t missing_lines = 0;  // length of `to_host` when the host saw the close
    Micros lines_missing_at{0};
    HostDialNo accepted;  // the dial whose acceptance the client received
    std::set<Rule> reported;
  };
  struct Node {
    MachineId machine;
    bool up = false;
    struct UnavailableHost {
      Micros informed_at;      // from then on, the node has to know
      MachineId list_machine;  // discovery's
      Micros path_since;  // the rule holds only if the path from `list_machine` has been healthy since then
    };
    std::map<std::uint32_t, UnavailableHost> unavailable_hosts;  // by host
    struct BootReport {
      Micros reported_at, boot_time;
    };
    std::map<std::uint32_t, BootReport> boot_reports;  // by host
  };
  struct Host {
    MachineId machine;
    std::string name;
    ZoneId zone;
    CellId cell;
    bool up = false, silent = false;
    Micros silent_until{0};  // end of the latest silence
    Micros boot_time{0};
    struct ColdDial {
      Micros sent_at;
      double load;
      bool informed;  // the node that dialled had been sent the host's boot time
    };
    std::deque<ColdDial> cold_dials{};
  };

  Session* find(SessionNo id) {
    ++checks_;
    const auto it = sessions_.find(id.value);
    return it == sessions_.end() ? nullptr : &it->second;
  }
  Dial* find(HostDialNo dial_id, Session*& session);
  void report(Rule rule, SessionNo id, Session& session, Micros now, const std::string& what);
  static bool may_have_run(const Dial& dial) { return dial.answer != Answer::busy; }
  static Dial* accepted_dial(Session& session);
  Micros network_allowance(const Session& session, const Dial* dial) const;
  bool healthy_since(const Session& session, const Dial* dial, Micros since) const;
  bool responsive_since(HostNo host, Micros since) const;  // up, and not silent at any time since then
  // True if the session may be forgotten.
  bool check_overdue(SessionNo id, Session& session, Micros now);

  const NetworkPaths& paths_;
  Micros drain_grace_;
  bool only_draining_binds_;  // hosts listed as removed may still be dialled
  unsigned max_dials_;
  std::function<void(const Violation&)> on_violation_;
  std::map<std::uint32_t, Node> nodes_;
  std::map<std::uint32_t, Host> hosts_;
  std::map<std::uint64_t, Session> sessions_;
  std::map<std::uint64_t, SessionNo> dial_sessions_;  // by HostDialNo
  std::uint64_t next_dial_ = 0, checks_ = 0;
};

}  // namespace flintweir::lab
