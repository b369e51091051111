// The stage in real time: the lab's clients, hosts and discovery on loopback sockets, and each node a process
// of the real program. What it starts it ends.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "lab/network/spawn.h"
#include "lab/network/stage.h"
#include "lab/network/timeline.h"
#include "net/kernel_network.h"

namespace flintweir::lab {

class LoopbackStage final : public Stage {
 public:
  // `program` is run as `program serve --config FILE`; its log goes to FILE.log in `folder`.
  LoopbackStage(std::vector<std::string> program, std::string folder);

  Micros now() const override { return clock_.now(); }
  void at(Micros when, std::function<void()> act) override { timeline_.at(when, std::move(act)); }
  void run_until(Micros end) override;
  MachineNo add_machine(ZoneNo zone) override;
  Address address(MachineNo machine) const override { return addresses_[machine.value]; }
  net::Network& begin(MachineNo machine) override;
  void end(net::Network& process) override;
  void start_node(NodeNo node, MachineNo machine, const std::string& config,
                  const std::vector<MachineNo>& seeds) override;
  void kill_node(NodeNo node) override;
  void leave_node(NodeNo node) override;
  void reload_node(NodeNo node, const std::string& config) override;
  bool running(NodeNo node) override;

  // A busy machine is late, also where the network is not.
  Micros max_delay(MachineNo, MachineNo) const override { return std::chrono::milliseconds(10); }
  bool healthy_since(MachineNo, MachineNo, Micros) const override { return true; }

 private:
  std::string file(NodeNo node) const;
  void write(NodeNo node, const std::string& config) const;

  net::KernelNetwork clock_;
  Timeline timeline_;
  std::vector<std::string> program_;
  std::string folder_;
  std::vector<Address> addresses_;
  std::vector<std::unique_ptr<net::KernelNetwork>> networks_;
  std::map<std::uint32_t, std::unique_ptr<Child>> nodes_;
};

}  // namespace flintweir::lab
