// The stage in virtual time: the node's own code on the lab's network, many nodes in one process.
#pragma once

#include <map>
#include <vector>

#include "lab/network/environment.h"
#include "net/log.h"
#include "node/node.h"

namespace flintweir::lab {

class VirtualEnvironment final : public Environment, net::LogSink {
 public:
  // `descriptors`: that a node's process may hold. What nodes log goes to `logged`, unless that is null.
  VirtualEnvironment(LinkModel link_model, std::uint64_t seed, std::size_t descriptors,
                     node::BalancerFactory make, std::string* logged);
  ~VirtualEnvironment() override;

  Micros now() const override { return event_queue_.now(); }
  void schedule_at(Micros when, std::function<void()> act) override {
    event_queue_.schedule_at(when, std::move(act));
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
  void degrade(MachineId a, MachineId b, Micros longer, double lost) override;
  void clear_degradation(MachineId a, MachineId b) override;

  Micros max_delay(MachineId a, MachineId b) const override;
  bool healthy_since(MachineId a, MachineId b, Micros since) const override;

  std::uint64_t steps() const { return event_queue_.executed(); }

 private:
  struct NodeAt {
    std::unique_ptr<Process> process;
    std::unique_ptr<node::Node> node;
  };
  void write_line(const char* text) override;

  LinkModel link_model_;
  EventQueue event_queue_;
  VirtualNetwork network_;
  std::size_t descriptors_;
  node::BalancerFactory make_;
  std::string* logged_;
  std::vector<ZoneId> zones_;       // of machines
  std::vector<Micros> lost_until_;  // of machines: the end of their last loss
  std::map<std::pair<std::uint32_t, std::uint32_t>, Micros> cut_until_, bad_until_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::uint32_t, NodeAt> nodes_;
};

}  // namespace flintweir::lab
