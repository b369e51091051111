// Where an experiment is played: in virtual time on a virtual network with nodes in this process, or on
// loopback sockets in real time with nodes as processes of the real program.
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
  virtual void schedule_at(Micros when, std::function<void()> act) = 0;
  virtual void run_until(Micros end) = 0;

  virtual MachineId add_machine(ZoneId zone) = 0;
  virtual Address address(MachineId machine) const = 0;
  // A process of the lab's own on a machine; it lives until the stage does, or until ended.
  virtual net::Network& start_process(MachineId machine) = 0;
  virtual void end_process(net::Network& process) = 0;

  // A node on its machine, by its configuration; throws where it does not start. `seeds`: of the fleet whose
  // nodes know each other, none where they don't.
  virtual void start_node(NodeNo node, MachineId machine, const std::string& config,
                          const std::vector<MachineId>& seeds) = 0;
  virtual void kill_node(NodeNo node) = 0;
  virtual void shut_down_node(NodeNo node) = 0;
  virtual void reload_node(NodeNo node, const std::string& config) = 0;
  virtual bool running(NodeNo node) = 0;

  // What only a virtual network can do.
  virtual bool has_network_faults() const { return false; }
  virtual void disconnect(MachineId) {}
  virtual void reconnect(MachineId) {}
  virtual void block(ZoneId /*from*/, ZoneId /*to*/) {}
  virtual void unblock(ZoneId /*from*/, ZoneId /*to*/) {}
  virtual void degrade(MachineId, MachineId, Micros /*longer*/, double /*lost*/) {}
  virtual void clear_degradation(MachineId, MachineId) {}
};

}  // namespace flintweir::lab
