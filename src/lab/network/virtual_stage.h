// The stage in virtual time: the node's own code on the lab's network, many nodes in one process.
#pragma once

#include <map>
#include <vector>

#include "lab/network/stage.h"
#include "net/log.h"
#include "node/node.h"

namespace flintweir::lab {

class VirtualStage final : public Stage, net::LogSink {
 public:
  // `descriptors`: that a node's process may hold. What nodes log goes to `logged`, unless that is null.
  VirtualStage(Carriage carriage, std::uint64_t seed, std::size_t descriptors, node::BalancerFactory make,
               std::string* logged);
  ~VirtualStage() override;

  Micros now() const override { return timeline_.now(); }
  void at(Micros when, std::function<void()> act) override { timeline_.at(when, std::move(act)); }
  void run_until(Micros end) override { timeline_.run_until(end); }
  MachineNo add_machine(ZoneNo zone) override;
  Address address(MachineNo machine) const override { return Fabric::address(machine, 8081); }
  net::Network& begin(MachineNo machine) override;
  void end(net::Network& process) override;
  void start_node(NodeNo node, MachineNo machine, const std::string& config,
                  const std::vector<MachineNo>& seeds) override;
  void kill_node(NodeNo node) override;
  void leave_node(NodeNo node) override;
  void reload_node(NodeNo node, const std::string& config) override;
  bool running(NodeNo node) override;
  bool has_network_faults() const override { return true; }
  void lose(MachineNo machine) override;
  void restore(MachineNo machine) override;
  void cut(ZoneNo from, ZoneNo to) override;
  void mend(ZoneNo from, ZoneNo to) override;
  void worsen(MachineNo a, MachineNo b, Micros longer, double lost) override;
  void ease(MachineNo a, MachineNo b) override;

  Micros max_delay(MachineNo a, MachineNo b) const override;
  bool healthy_since(MachineNo a, MachineNo b, Micros since) const override;

  std::uint64_t steps() const { return timeline_.done(); }

 private:
  struct NodeAt {
    std::unique_ptr<Process> process;
    std::unique_ptr<node::Node> node;
  };
  void write_line(const char* text) override;

  Carriage carriage_;
  Timeline timeline_;
  Fabric fabric_;
  std::size_t descriptors_;
  node::BalancerFactory make_;
  std::string* logged_;
  std::vector<ZoneNo> zones_;       // of machines
  std::vector<Micros> lost_until_;  // of machines: the end of their last loss
  std::map<std::pair<std::uint32_t, std::uint32_t>, Micros> cut_until_, bad_until_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::uint32_t, NodeAt> nodes_;
};

}  // namespace flintweir::lab
