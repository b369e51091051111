// Holds a run against the rules, from what clients, hosts and discovery see; the node is never asked. No I/O
// and no clock.
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

using SessionNo = Id<struct SessionNoTag, std::uint64_t>;  // as its first line gives it
using HostNo = Id<struct HostNoTag, std::uint32_t>;
using HostDialNo = Id<struct HostDialNoTag, std::uint64_t>;  // one dial, as its host sees it

enum class Rule {
  answer,  // one final answer in time for each session taken
  effect,  // no effect twice, never two dials out where not allowed
  drain,   // nothing new to a draining or gone host after the grace
  cold,    // a cold host's budget, all nodes together
  line,    // no line lost, altered, doubled or out of order on an open session
  held,    // no line held for over a second
  cut,     // no connection cut without MOVE while its host answers
  ended,   // what one side has ended is ended at the other within a second, a silent host left within seven
  rude,    // a bad client gets an error or a close within three seconds
  gone,    // no dial begins later than a tenth of a second after its client has gone
};
const char* name_of(Rule rule);

struct Violation {
  Rule rule;
  Micros at;
  SessionNo session;  // zero: of no single session
  std::string what;
};

// What the checker must know of the network between two machines.
class NetworkPaths {
 public:
  virtual Micros max_delay(MachineNo a, MachineNo b) const = 0;  // one way
  // Whether all has got through both ways since then, and time to mend what had been lost before.
  virtual bool healthy_since(MachineNo a, MachineNo b, Micros since) const = 0;

 protected:
  ~NetworkPaths() = default;
};

class Checker {
 public:
  enum class Answer { none, up, busy, err };
  enum class CloseKind { bye, move, aborted };

  Checker(const NetworkPaths& paths, const HostPlan& hosts, bool only_draining_binds, unsigned most_dials,
          std::function<void(const Violation&)> broken)
      : paths_(paths),
        grace_(hosts.grace),
        only_draining_binds_(only_draining_binds),
        most_dials_(most_dials),
        broken_(std::move(broken)) {}

  // Nodes and hosts come and go; what they held goes with them.
  void node_up(NodeNo node, MachineNo machine) { nodes_[node.value] = {machine, true, {}, {}}; }
  void node_down(NodeNo node);
  // `started` is zero where it has been up for long.
  void host_up(HostNo host, MachineNo machine, const std::string& name, ZoneNo zone, CellId cell,
               Micros started);
  void host_down(HostNo host, Micros now);
  void host_silent(HostNo host, bool silent, Micros now);
  // It has tipped over while it was cold.
  void host_overloaded(HostNo host, Micros now);
  // An answer of discovery has been written out, from that machine.
  void host_listed(NodeNo node, MachineNo teller, HostNo host, HostStatus standing, Micros started,
                   Micros now);
  // What discovery has since `had` counts as told to that node from `at` on, whether or not it was.
  void host_listing_due(NodeNo node, MachineNo teller, HostNo host, HostStatus standing, Micros had,
                        Micros at);

  // What a client does and sees.
  void session_requested(SessionNo id, NodeNo node, MachineNo client, const Listener& listener,
                         Micros patience, Micros now);
  void session_answered(SessionNo id, Answer answer, std::string_view receipt, Micros now);
  void client_sent_line(SessionNo id, std::uint64_t line, Micros now);
  void client_received_line(SessionNo id, std::uint64_t line, bool is_move, Micros now);
  void client_closed(SessionNo id, bool cleanly, Micros now);  // by its own will
  void client_saw_close(SessionNo id, Micros now);
  void check_bad_client_wait(Micros waited, Micros allowance, const char* kind, Micros now);

  // What a host sees and does.
  HostDialNo begin_dial(HostNo host, SessionNo id, Micros now);
  // The host is cold, and this dial counts for so much against what would tip it over within a window.
  void record_cold_load(HostNo host, SessionNo id, double load, Micros window, Micros now);
  void host_answered(HostDialNo call, Answer answer, std::string_view receipt, Micros now);
  void host_sent_line(HostDialNo call, std::uint64_t line, Micros now);
  void host_received_line(HostDialNo call, std::uint64_t line, Micros now);
  void host_closed(HostDialNo call, CloseKind how, Micros now);
  void host_saw_close(HostDialNo call, bool cleanly, Micros now);

  void check_overdue(Micros now);  // what is overdue
  std::uint64_t checks() const { return checks_; }

 private:
  struct Line {
    std::uint64_t hash;
    Micros at;
  };
  struct Dial {
    HostNo host;
    HostDialNo call;
    Micros came{0};
    Answer answer = Answer::none;
    std::string receipt;
    bool over = false;        // as the host sees it
    bool host_ended = false;  // first, or its process died
    Micros host_ended_at{0};
    CloseKind ends = CloseKind::aborted;
    Micros overtaken_at{0};  // by a later dial, while this was out
    std::deque<Line> down;   // its lines that the client has still to hear
  };
  struct Session {
    NodeNo node;
    MachineNo client;
    Listener listener;
    Micros asked_at{0}, patience{0};
    Answer answer = Answer::none;
    Micros answered_at{0}, client_over_at{0}, waiting_since{0}, moved_at{0};
    bool client_over = false, clean_end = false, moved = false, excused = false;
    std::vector<Dial> dials;
    std::deque<Line> up;
    std::size_t missing = 0;  // of its lines, when its host saw the end
    Micros missing_at{0};
    HostDialNo open;  // the dial that the client was told of
    std::set<Rule> reported;
  };
  struct Node {
    MachineNo machine;
    bool up = false;
    struct Away {
      Micros at;
      MachineNo teller;
      Micros since;  // the way from there has to be good from then on for the node to know
    };
    std::map<std::uint32_t, Away> told_away;  // by host
    struct Start {
      Micros told_at, started;
    };
    std::map<std::uint32_t, Start> told_start;
  };
  struct Host {
    MachineNo machine;
    std::string name;
    ZoneNo zone;
    CellId cell;
    bool up = false, silent = false;
    Micros silent_until{0};  // the latest end of a silence
    Micros started{0};
    struct Sent {
      Micros at;
      double load;
      bool told;  // the node that sent it had been told of the host's start
    };
    std::deque<Sent> cold_sent{};
  };

  Session* find(SessionNo id) {
    ++checks_;
    const auto it = sessions_.find(id.value);
    return it == sessions_.end() ? nullptr : &it->second;
  }
  Dial* find(HostDialNo call, Session*& session);
  void breaks(Rule rule, SessionNo id, Session& s, Micros now, const std::string& what);
  static bool may_have_run(const Dial& d) { return d.answer != Answer::busy; }
  static Dial* open_dial(Session& s);
  Micros slack(const Session& s, const Dial* d) const;
  bool healthy_since(const Session& s, const Dial* d, Micros since) const;
  bool spoke_since(HostNo host, Micros since) const;         // the host was not silent at any time since
  bool check_overdue(SessionNo id, Session& s, Micros now);  // true: it may be forgotten

  const NetworkPaths& paths_;
  Micros grace_;
  bool only_draining_binds_;  // a listing as gone binds nobody
  unsigned most_dials_;
  std::function<void(const Violation&)> broken_;
  std::map<std::uint32_t, Node> nodes_;
  std::map<std::uint32_t, Host> hosts_;
  std::map<std::uint64_t, Session> sessions_;
  std::map<std::uint64_t, SessionNo> calls_;
  std::uint64_t next_call_ = 0, checks_ = 0;
};

}  // namespace flintweir::lab
