// The stage in real time: the lab's clients, hosts and discovery on loopback sockets, and each node a process
// of the real program. What it starts it ends.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "lab/network/child_process.h"
#include "lab/network/environment.h"
#include "lab/network/event_queue.h"
#include "net/kernel_network.h"

namespace flintweir::lab {

class LoopbackEnvironment final : public Environment {
 public:
  // `program` is run as `program serve --config FILE`; its log goes to FILE.log in `folder`.
  LoopbackEnvironment(std::vector<std::string> program, std::string folder);

  Micros now() const override { return clock_.now(); }
  void schedule_at(Micros when, std::function<void()> act) override {
    event_queue_.schedule_at(when, std::move(act));
  }
  void run_until(Micros end) override;
  MachineId add_machine(ZoneId zone) override;
  Address address(MachineId machine) const override { return addresses_[machine.value]; }
  net::Network& start_process(MachineId machine) override;
  void end_process(net::Network& process) override;
  void start_node(NodeNo node, MachineId machine, const std::string& config,
                  const std::vector<MachineId>& seeds) override;
  void kill_node(NodeNo node) override;
  void shut_down_node(NodeNo node) override;
  void reload_node(NodeNo node, const std::string& config) override;
  bool running(NodeNo node) override;

  // A busy machine is late, also where the network is not.
  Micros max_delay(MachineId, MachineId) const override { return std::chrono::milliseconds(10); }
  bool healthy_since(MachineId, MachineId, Micros) const override { return true; }

 private:
  std::string file(NodeNo node) const;
  void write(NodeNo node, const std::string& config) const;

  net::KernelNetwork clock_;
  EventQueue event_queue_;
  std::vector<std::string> program_;
  std::string folder_;
  std::vector<Address> addresses_;
  std::vector<std::unique_ptr<net::KernelNetwork>> networks_;
  std::map<std::uint32_t, std::unique_ptr<ChildProcess>> nodes_;
};

}  // namespace flintweir::lab
