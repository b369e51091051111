// What an experiment's file asks for, part by part; each model takes its own part.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "balance.h"
#include "lab/network/virtual_network.h"

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
  double initial_share;
  Micros warm_up;
  double overload_factor;
  Micros overload_window;
};

enum class DrainPolicy { move_at_once, move_gradually, keep };

// How hosts behave.
struct HostPlan {
  Micros response_delay[2];  // a first line, least and most, while there is room
  Micros service_time;       // a line, while there is room
  Micros report_interval;    // of its reports
  unsigned max_connections;  // that it holds at most
  double group_cost;         // mean loads, for each group of which it holds any
  DrainPolicy drain_policy;
  Micros drain_duration;  // a drain began
  Micros drain_grace;     // after a node was told of a drain
};

struct ListPlan {
  Micros update_delay[2];
  Micros poll_interval;
  bool only_draining_binds;  // a host called gone or left out may still be used
};

struct FrontPlan {
  Micros check_interval, failure_detection_delay[2];
};

struct ListenerPlan {
  std::string name;
  double share;
  Listener rules;  // as the node is told
  double load_factor, lifetime_factor;
};

struct TrafficPlan {
  unsigned clients;
  Micros mean_pause, mean_lifetime;  // means
  double mean_load;                  // a connection's usual one, in microseconds of work a second
  double load_drift;                 // of it, a second
  Micros message_interval;
  unsigned message_bytes[2];  // its length
  unsigned groups;
  unsigned retries;
  Micros retry_delay, reconnect_delay[2];
  double retry_after_compliance;  // the stated wait of a refusal, share of the clients
  std::vector<ListenerPlan> listeners;
  double early_leave_share;      // share of those that wait for an answer who go before they have to
  unsigned misbehaving_clients;  // clients that break the protocol, one after the other
};

struct NodePlan {
  unsigned sockets, memory_mb, max_dials;
  Micros connect_timeout, max_retry_after;
  bool probes;
  double probe_price, crossing_price;
  std::string balancer;    // "module", or a baseline of the lab's
  double told_node_share;  // that share of the true number of nodes stands in their settings
  bool joins_fleet;        // nodes know each other
};

// What breaks: at a time, or by chance once in `every` on average, for each thing that it may befall.
struct FaultPlan {
  std::string kind;
  std::optional<Micros> at, every;
  Micros duration;
  double share;      // of the things that it target_kind at a time
  double magnitude;  // of what it does, as its kind says
  std::string
      target_name;  // a zone, a host or a node by name, hosts also by their zone; empty: chosen by chance
  unsigned index;   // in the file
};

class Experiment {
 public:
  // Throws InputError. `changes` are keys with dots and the values that take the place of the file's.
  static Experiment from_file(const std::string& path, const std::string& variant = "");
  static Experiment from_text(const std::string& text, const std::string& name,
                              const std::string& variant = "");

  std::string name, about;
  Micros duration;
  FleetPlan fleet;
  LinkModel link;
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
  const char* target_kind;  // "host", "node", "zone", "client" or "list"
  bool virtual_only;
  const char* description;
};
const std::vector<FaultKind>& fault_kinds();

}  // namespace flintweir::lab
