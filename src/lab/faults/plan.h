// What an experiment's file asks for, part by part; each model takes its own part.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "balance.h"
#include "lab/network/fabric.h"

namespace flintweir::lab {

// Which machines there are.
struct FleetPlan {
  struct Kind {
    double share, cores, speed;
  };
  std::vector<std::string> zones;
  unsigned nodes, hosts;
  std::vector<Kind> kinds;
  // Hosts are spread over the zones in turn.
  std::uint32_t zone_of_host(std::uint32_t host) const {
    return host % static_cast<std::uint32_t>(zones.size());
  }
};

// How a host that has just started differs from a warm one.
struct ColdPlan {
  double share;
  Micros warm_within;
  double multiple;
  Micros tip_after;
};

enum class SendsAway { at_once, bit_by_bit, keeps };

// How hosts behave.
struct HostPlan {
  Micros answers[2];     // a first line, least and most, while there is room
  Micros serves;         // a line, while there is room
  Micros refresh;        // of its reports
  unsigned connections;  // that it holds at most
  double group_cost;     // mean loads, for each group of which it holds any
  SendsAway sends_away;
  Micros leaves_after;  // a drain began
  Micros grace;         // after a node was told of a drain
};

struct ListPlan {
  Micros late[2];
  Micros ask_every;
  bool only_draining_binds;  // a host called gone or left out may still be used
};

struct FrontPlan {
  Micros check_every, notices[2];
};

struct ListenerPlan {
  std::string name;
  double share;
  Listener rules;  // as the node is told
  double load, life;
};

struct TrafficPlan {
  unsigned clients;
  Micros pause, life;  // means
  double load;         // a connection's usual one, in microseconds of work a second
  double drift;        // of it, a second
  Micros speaks_every;
  unsigned line[2];  // its length
  unsigned groups;
  unsigned retries;
  Micros retry_after, returns[2];
  double honours;  // the stated wait of a refusal, share of the clients
  std::vector<ListenerPlan> listeners;
  double leaves;  // share of those that wait for an answer who go before they have to
  unsigned rude;  // clients that break the protocol, one after the other
};

struct NodePlan {
  unsigned sockets, memory_mb, most_dials;
  Micros connect_timeout, longest_stay_away;
  bool probes;
  double probe_price, crossing_price;
  std::string balancer;  // "module", or a baseline of the lab's
  double count_told;     // that share of the true number of nodes stands in their settings
  bool fleet;            // nodes know each other
};

// What breaks: at a time, or by chance once in `every` on average, for each thing that it may befall.
struct FaultPlan {
  std::string kind;
  std::optional<Micros> at, every;
  Micros lasts;
  double share;       // of the things that it befalls at a time
  double size;        // of what it does, as its kind says
  std::string where;  // a zone, a host or a node by name, hosts also by their zone; empty: chosen by chance
  unsigned line;      // in the file
};

class Experiment {
 public:
  // Throws BadFile. `changes` are keys with dots and the values that take the place of the file's.
  static Experiment of_file(const std::string& path, const std::string& variant = "");
  static Experiment of_text(const std::string& text, const std::string& name,
                            const std::string& variant = "");

  std::string name, about;
  Micros lasts;
  FleetPlan fleet;
  Carriage carriage;
  ColdPlan cold;
  HostPlan host;
  ListPlan list;
  FrontPlan front;
  TrafficPlan traffic;
  NodePlan node;
  std::vector<FaultPlan> faults;
  std::vector<std::string> variants, measures;
};

// The kinds of fault, each with what it does; in the order of the operators' page.
struct FaultKind {
  const char* name;
  const char* befalls;  // "host", "node", "zone", "client" or "list"
  bool virtual_only;
  const char* does;
};
const std::vector<FaultKind>& fault_kinds();

}  // namespace flintweir::lab
