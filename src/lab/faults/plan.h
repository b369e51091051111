// The settings of an experiment, one struct for each section of its file; each model receives its own
// section.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "balance.h"
#include "lab/network/virtual_network.h"

namespace flintweir::lab {

// Number, size and placement of the machines.
struct FleetPlan {
  struct Kind {           // of host
    double share;         // of all hosts, relative to the other kinds
    double cores, speed;  // capacity is their product, in seconds of work a second
  };
  std::vector<std::string> zones;
  unsigned nodes, hosts;
  std::vector<Kind> kinds;
  // Hosts are distributed over the zones round-robin.
  std::uint32_t zone_of_host(std::uint32_t host) const {
    return host % static_cast<std::uint32_t>(zones.size());
  }
};

// How a recently started (cold) host differs from a warm one.
struct ColdPlan {
  double initial_share;    // of its full capacity, right after the start
  Micros warm_up;          // until it has its full capacity
  double overload_factor;  // of the rate of new load that it sustains while cold; above it, it fails
  Micros overload_window;  // over which that rate is measured
};

// What a draining host does with its sessions: moves all at once, moves them one by one over half of
// `drain_duration`, or keeps them until it stops.
enum class DrainPolicy { move_at_once, move_gradually, keep };

struct HostPlan {
  Micros response_delay[2];  // least and most time until the first answer of a session, while not overloaded
  Micros service_time;       // of one message, while not overloaded
  Micros report_interval;    // between updates of the load that it reports
  unsigned max_connections;
  double group_cost;  // added load for each group with a session here, in mean session loads
  DrainPolicy drain_policy;
  Micros drain_duration;  // from the start of a drain until the process ends
  Micros drain_grace;     // after a node was told of a drain, in which it may still dial the host
};

struct ListPlan {
  Micros update_delay[2];  // least and most time until discovery publishes a change
  Micros poll_interval;    // between a node's requests for the list
  // Only the status "draining" forbids new dials: nodes may go on using a host that the list states as
  // removed or leaves out.
  bool only_draining_binds;
};

struct FrontPlan {
  Micros check_interval;
  Micros failure_detection_delay[2];  // least and most time from a failed check until clients stop coming
};

struct ListenerPlan {
  std::string name;
  double share;                         // of the sessions, relative to the other listeners
  Listener rules;                       // the listener's settings as the nodes receive them
  double load_factor, lifetime_factor;  // of the traffic's mean load and lifetime of a session
};

struct TrafficPlan {
  unsigned clients;
  Micros mean_pause, mean_lifetime;  // between sessions, and of a session
  double mean_load;                  // of a session, in microseconds of work a second
  double load_drift;                 // random change of a session's load a second, as a share of it
  Micros message_interval;
  unsigned message_bytes[2];  // least and most
  unsigned groups;
  unsigned retries;
  Micros retry_delay;             // after a refusal
  Micros reconnect_delay[2];      // least and most, after a session broke
  double retry_after_compliance;  // share of the clients that wait as long as a refusal states
  std::vector<ListenerPlan> listeners;
  double early_leave_share;  // share of the clients that give up waiting for an answer before they have to
  unsigned misbehaving_clients;  // they violate the protocol, one way after the other
};

struct NodePlan {
  unsigned sockets;  // limit of open descriptors
  unsigned memory_mb, max_dials;
  Micros connect_timeout, max_retry_after;
  bool probes;
  double probe_price, crossing_price;
  std::string balancer;    // "module", or one of the lab's baseline balancers
  double told_node_share;  // number of nodes stated in their settings, as a share of the actual number
  bool joins_fleet;        // nodes form a membership group
};

// A fault at a given time, or a random one, for each possible target, on average once in `every`.
struct FaultPlan {
  std::string kind;
  std::optional<Micros> at, every;  // exactly one is set
  Micros duration;
  double share;      // of the possible targets, or of the clients, that a fault with a given time hits
  double magnitude;  // its meaning depends on the kind; see the kind's description
  // The name of a zone, host or node; for hosts also of their zone. Empty: chosen at random.
  std::string target_name;
  unsigned index;  // among the faults of the file, from zero
};

// An experiment as read from its TOML file.
class Experiment {
 public:
  // `variant` names one of the file's variants, whose values replace those of the same dotted keys; empty:
  // none. `name` stands for the file's name in error messages. Throws InputError.
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

struct FaultKind {
  const char* name;
  const char* target_kind;  // "host", "node", "zone", "client" or "list"
  bool virtual_only;        // needs the simulated network
  const char* description;
};
// All kinds of fault, in the order in which the operators' documentation lists them.
const std::vector<FaultKind>& fault_kinds();

}  // namespace flintweir::lab
