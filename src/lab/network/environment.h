// The environment that an experiment runs in: virtual time on a simulated network with the nodes in this
// process, or real time on loopback sockets with each node a process of the real program.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "lab/checks/checker.h"
#include "lab/network/virtual_network.h"
#include "net/network.h"

namespace flintweir::lab {

class Environment : public NetworkPaths {
 public:
  virtual ~Environment() = default;
  virtual Micros now() const = 0;
  virtual void schedule_at(Micros when, std::function<void()> callback) = 0;
  virtual void run_until(Micros end) = 0;

  virtual MachineId add_machine(ZoneId zone) = 0;
  virtual Address address(MachineId machine) const = 0;
  // Starts one of the lab's own processes on a machine. The environment owns it until end_process().
  virtual net::Network& start_process(MachineId machine) = 0;
  virtual void end_process(net::Network& process) = 0;

  // Starts a node on its machine with a configuration. Throws if it cannot be started. `seeds` are the seed
  // machines of the fleet's membership; empty: the node does not join a fleet.
  virtual void start_node(NodeNo node, MachineId machine, const std::string& config,
                          const std::vector<MachineId>& seeds) = 0;
  virtual void kill_node(NodeNo node) = 0;
  virtual void shut_down_node(NodeNo node) = 0;  // gracefully; running() tells when it has ended
  virtual void reload_node(NodeNo node, const std::string& config) = 0;
  virtual bool running(NodeNo node) = 0;

  // Faults that only a simulated network supports; see VirtualNetwork for what they do.
  virtual bool has_network_faults() const { return false; }
  virtual void disconnect(MachineId) {}
  virtual void reconnect(MachineId) {}
  virtual void block(ZoneId /*from*/, ZoneId /*to*/) {}
  virtual void unblock(ZoneId /*from*/, ZoneId /*to*/) {}
  virtual void degrade(MachineId, MachineId, Micros /*extra_delay*/, double /*loss*/) {}
  virtual void clear_degradation(MachineId, MachineId) {}
};

}  // namespace flintweir::lab
