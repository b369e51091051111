// One run of an experiment on a environment: fleet, clients, discovery, fronts and faults, watched by the
// checker.
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

struct Mark {  // on the time axis
  Micros at, until;
  std::string what;
};

struct Outcome {
  Tally tally;
  std::vector<Second> seconds;
  std::vector<Violation> violations;  // times from the start
  std::vector<Mark> marks;
  std::uint64_t hash = 0, lines = 0, checks = 0;
  std::string log;  // where it was to be kept
};

class ExperimentRun final : ClientEnvironment, SessionRegistry {
 public:
  // `faults` as drawn, or a part of them.
  ExperimentRun(const Experiment& experiment, Environment& environment, std::uint64_t seed,
                const std::vector<Fault>& faults, bool keep_log);
  ~ExperimentRun();
  Outcome execute();

 private:
  struct HostUnit {
    HostNo no;
    std::string name;
    MachineId machine;
    ZoneId zone;
    CellId cell;
    double capacity, share;
    std::unique_ptr<HostModel> model;
    net::Network* network = nullptr;
    std::unique_ptr<HostServer> server;
    bool up = false, lost = false, leaving = false;
    std::uint64_t turn = 0;  // grows with each start and end
  };
  struct NodeUnit {
    NodeNo no;
    MachineId machine, list_machine;
    ZoneId zone;
    std::uint64_t seed = 0, turn = 0;
    net::Network* list_network = nullptr;
    std::unique_ptr<ListServer> list;
    std::unique_ptr<NodeHealthCheck> front;
    bool up = false, lost = false, leaving = false;
  };
  struct Crowd {  // the clients of a zone, on a machine of their own
    MachineId machine;
    std::unique_ptr<net::Sockets> sockets;
    std::unique_ptr<net::TimerQueue> timers;
  };

  std::optional<Route> choose_node(ZoneId zone) override;
  SessionNo register_session(const ClientModel::Session& session) override;
  Second& current_second() override;
  Tally& tally() override { return out_.tally; }
  const SessionLoad* find_session(SessionNo id) const override;

  Micros now() const { return environment_.now(); }
  Micros since_start() const { return now() - start_; }
  double uniform() { return std::generate_canonical<double, 32>(chance_); }
  Micros between(const Micros (&range)[2]);

  void build();
  void start_host(HostUnit& h, bool cold);
  void end_host(HostUnit& h);
  void list_host(const HostUnit& h, HostStatus standing, Micros late);
  void deploy(HostUnit& h);
  void serve_list(NodeUnit& n);
  std::string config(const NodeUnit& n) const;
  void start_node(NodeUnit& n);
  void restart(NodeUnit& n);
  void await_exit(NodeUnit& n);
  void begin(const Fault& f);
  void end(const Fault& f, std::uint64_t turn);
  void cut(const std::string& kind, ZoneId zone, bool on);
  void worsen(const Fault& f, bool on);
  void shrink_list(const Fault& f);
  unsigned* list_trouble(const std::string& kind);  // none: it is no trouble of the list
  void list_mood();
  void count_as_told();
  void tick();

  const Experiment& experiment_;
  Environment& environment_;
  std::uint64_t seed_;
  std::vector<Fault> faults_;
  std::knuth_b chance_;
  Micros start_;
  EventLog log_;
  Outcome out_;
  Checker checker_;
  ListModel list_{1};
  ListServiceState mood_;
  ChangeDeadlines deadlines_{1};
  unsigned list_trouble_[5]{};  // how many faults of each kind last, as list_trouble() orders them
  std::vector<HostUnit> hosts_;
  std::vector<NodeUnit> nodes_;
  std::vector<Crowd> crowds_;  // by zone
  Crowd fronts_;
  FrontModel front_;
  std::vector<std::unique_ptr<NetworkClient>> clients_;
  std::vector<std::unique_ptr<MisbehavingClient>> rude_;
  std::vector<SessionLoad> asked_;  // by number, from one
  std::map<std::pair<std::uint32_t, std::uint32_t>, unsigned> cuts_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, unsigned> worse_;  // ways between a node and a host
};

}  // namespace flintweir::lab
