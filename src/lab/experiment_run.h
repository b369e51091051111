// One run of an experiment in an environment: hosts, nodes, clients, discovery, front and faults, observed by
// the checker.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab/checks/change_deadlines.h"
#include "lab/faults/faults.h"
#include "lab/models/host_server.h"
#include "lab/models/list_server.h"
#include "lab/models/network_client.h"
#include "lab/models/node_health_check.h"
#include "lab/network/environment.h"
#include "lab/reports/event_log.h"
#include "lab/reports/meter.h"

namespace flintweir::lab {

// The time span of a fault, as the report shows it on its time axis; times since the start of the run.
struct Mark {
  Micros at, until;
  std::string what;
};

// What a run measured and which rules it violated; `hash` and `lines` are of its event log.
struct Outcome {
  Tally tally;
  std::vector<Second> seconds;
  std::vector<Violation> violations;  // times since the start of the run
  std::vector<Mark> marks;
  std::uint64_t hash = 0, lines = 0, checks = 0;
  std::string log;  // the event log; empty unless it was to be kept
};

// Owns all hosts, nodes and clients of the run. `experiment` and `environment` have to outlive it.
class ExperimentRun final : ClientEnvironment, SessionRegistry {
 public:
  // `faults` are those of draw_faults(), or a subset of them.
  ExperimentRun(const Experiment& experiment, Environment& environment, std::uint64_t seed,
                const std::vector<Fault>& faults, bool keep_log);
  ~ExperimentRun();
  Outcome execute();  // once

 private:
  struct HostUnit {
    HostNo id;
    std::string name;
    MachineId machine;
    ZoneId zone;
    CellId cell;
    double capacity;       // in microseconds of work a second
    double capacity_hint;  // relative to the mean of all hosts, as discovery states it
    std::unique_ptr<HostModel> model;
    net::Network* network = nullptr;
    std::unique_ptr<HostServer> server;
    bool up = false, disconnected = false, shutting_down = false;
    // Incremented with each start and end, so that a scheduled event can tell whether the process that it was
    // meant for is still the current one.
    std::uint64_t generation = 0;
  };
  struct NodeUnit {
    NodeNo id;
    MachineId machine, list_machine;
    ZoneId zone;
    std::uint64_t seed = 0;
    std::uint64_t generation = 0;  // as in HostUnit
    net::Network* list_network = nullptr;
    std::unique_ptr<ListServer> list;
    std::unique_ptr<NodeHealthCheck> health_check;
    bool up = false, disconnected = false, shutting_down = false;
  };
  struct ClientMachine {  // runs the clients of one zone on a machine of their own
    MachineId machine;
    std::unique_ptr<net::Sockets> sockets;
    std::unique_ptr<net::TimerQueue> timers;
  };

  std::optional<Route> choose_node(ZoneId zone) override;
  SessionNo register_session(const ClientModel::Session& session) override;
  Second& current_second() override;
  Tally& tally() override { return outcome_.tally; }
  const SessionLoad* find_session(SessionNo id) const override;

  Micros now() const { return environment_.now(); }
  Micros since_start() const { return now() - start_; }
  double uniform() { return std::generate_canonical<double, 32>(rng_); }
  Micros draw_between(const Micros (&range)[2]);

  void build();
  void start_host(HostUnit& h, bool cold);
  void end_host(HostUnit& h);
  void publish_status(const HostUnit& h, HostStatus status, Micros delay);
  void deploy(HostUnit& h);
  void start_list_server(NodeUnit& n);
  std::string config(const NodeUnit& n) const;
  void start_node(NodeUnit& n);
  void restart(NodeUnit& n);
  void await_exit(NodeUnit& n);
  void begin_fault(const Fault& f);
  void end_fault(const Fault& f, std::uint64_t generation);
  void set_zone_blocked(const std::string& kind, ZoneId zone, bool active);
  void set_links_degraded(const Fault& f, bool active);
  void shrink_list(const Fault& f);
  // The number of ongoing faults of a kind that affects discovery; null for other kinds.
  unsigned* ongoing_list_faults(const std::string& kind);
  void update_list_state();
  void check_list_deadlines();
  void sample();

  const Experiment& experiment_;
  Environment& environment_;
  std::uint64_t seed_;
  std::vector<Fault> faults_;
  std::knuth_b rng_;
  Micros start_;
  EventLog log_;
  Outcome outcome_;
  Checker checker_;
  ListModel list_{1};
  ListServiceState list_state_;
  ChangeDeadlines deadlines_{1};
  unsigned ongoing_list_faults_[5]{};  // in the order of the kinds in ongoing_list_faults()
  std::vector<HostUnit> hosts_;
  std::vector<NodeUnit> nodes_;
  std::vector<ClientMachine> client_machines_;  // by zone
  ClientMachine front_machine_;
  FrontModel front_;
  std::vector<std::unique_ptr<NetworkClient>> clients_;
  std::vector<std::unique_ptr<MisbehavingClient>> misbehaving_clients_;
  std::vector<SessionLoad> sessions_;  // the session number is the index plus one
  // Ongoing faults that block the traffic from one zone to another, and that degrade the link between a node
  // and a host.
  std::map<std::pair<std::uint32_t, std::uint32_t>, unsigned> zone_blocks_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, unsigned> link_degradations_;
};

}  // namespace flintweir::lab
