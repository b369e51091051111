// The environment in real time: the lab's clients, hosts and discovery use loopback sockets, and each node is
// a process of the real program. The destructor ends all processes that it started.
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
  // Each node runs `program serve --config FILE` and logs to FILE.log; the files are in `folder`.
  LoopbackEnvironment(std::vector<std::string> program, std::string folder);

  Micros now() const override { return clock_.now(); }
  void schedule_at(Micros when, std::function<void()> callback) override {
    event_queue_.schedule_at(when, std::move(callback));
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

  // 10 ms allow for scheduling delays of a busy machine; loopback itself has almost no latency.
  Micros max_delay(MachineId, MachineId) const override { return std::chrono::milliseconds(10); }
  bool healthy_since(MachineId, MachineId, Micros) const override { return true; }

 private:
  std::string config_file(NodeNo node) const;
  void write_config(NodeNo node, const std::string& config) const;

  net::KernelNetwork clock_;
  EventQueue event_queue_;
  std::vector<std::string> program_;
  std::string folder_;  // of the configuration and log files
  std::vector<Address> addresses_;
  std::vector<std::unique_ptr<net::KernelNetwork>> networks_;
  std::map<std::uint32_t, std::unique_ptr<ChildProcess>> nodes_;
};

}  // namespace flintweir::lab
