// The environment in virtual time: the node's own code on the simulated network, with many nodes in one
// process.
#pragma once

#include <map>
#include <vector>

#include "lab/network/environment.h"
#include "net/log.h"
#include "node/node.h"

namespace flintweir::lab {

class VirtualEnvironment final : public Environment, net::LogSink {
 public:
  // `descriptors` is the limit of open descriptors of each node's process. Log lines of the nodes are
  // appended to `node_log`, each after the microseconds since the start, unless it is null. While this object
  // exists it is the log sink of the whole process.
  VirtualEnvironment(LinkModel link_model, std::uint64_t seed, std::size_t descriptors,
                     node::BalancerFactory balancer_factory, std::string* node_log);
  ~VirtualEnvironment() override;

  Micros now() const override { return event_queue_.now(); }
  void schedule_at(Micros when, std::function<void()> callback) override {
    event_queue_.schedule_at(when, std::move(callback));
  }
  void run_until(Micros end) override { event_queue_.run_until(end); }
  MachineId add_machine(ZoneId zone) override;
  Address address(MachineId machine) const override { return VirtualNetwork::address(machine, 8081); }
  net::Network& start_process(MachineId machine) override;
  void end_process(net::Network& process) override;
  void start_node(NodeNo node, MachineId machine, const std::string& config,
                  const std::vector<MachineId>& seeds) override;
  void kill_node(NodeNo node) override;
  void shut_down_node(NodeNo node) override;
  void reload_node(NodeNo node, const std::string& config) override;
  bool running(NodeNo node) override;
  bool has_network_faults() const override { return true; }
  void disconnect(MachineId machine) override;
  void reconnect(MachineId machine) override;
  void block(ZoneId from, ZoneId to) override;
  void unblock(ZoneId from, ZoneId to) override;
  void degrade(MachineId a, MachineId b, Micros extra_delay, double loss) override;
  void clear_degradation(MachineId a, MachineId b) override;

  Micros max_delay(MachineId a, MachineId b) const override;
  bool healthy_since(MachineId a, MachineId b, Micros since) const override;

  // Number of events run so far.
  std::uint64_t steps() const { return event_queue_.executed(); }

 private:
  struct RunningNode {
    std::unique_ptr<Process> process;
    std::unique_ptr<node::Node> node;
  };
  void write_line(const char* text) override;

  LinkModel link_model_;
  EventQueue event_queue_;
  VirtualNetwork network_;
  std::size_t descriptors_;
  node::BalancerFactory balancer_factory_;
  std::string* node_log_;
  // By machine: its zone, and the end of its last disconnection (min: none yet, max: still disconnected).
  std::vector<ZoneId> zones_;
  std::vector<Micros> disconnected_until_;
  // The end of the last fault of a direction between zones, and of the link between two machines; max: it
  // still lasts.
  std::map<std::pair<std::uint32_t, std::uint32_t>, Micros> blocked_until_, degraded_until_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::uint32_t, RunningNode> nodes_;
};

}  // namespace flintweir::lab
