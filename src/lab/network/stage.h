// Where an experiment is played: in virtual time on a virtual network with nodes in this process, or on
// loopback sockets in real time with nodes as processes of the real program.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "lab/checks/checker.h"
#include "lab/network/fabric.h"
#include "net/network.h"

namespace flintweir::lab {

class Stage : public NetworkPaths {
 public:
  virtual ~Stage() = default;
  virtual Micros now() const = 0;
  virtual void at(Micros when, std::function<void()> act) = 0;
  virtual void run_until(Micros end) = 0;

  virtual MachineNo add_machine(ZoneNo zone) = 0;
  virtual Address address(MachineNo machine) const = 0;
  // A process of the lab's own on a machine; it lives until the stage does, or until ended.
  virtual net::Network& begin(MachineNo machine) = 0;
  virtual void end(net::Network& process) = 0;

  // A node on its machine, by its configuration; throws where it does not start. `seeds`: of the fleet whose
  // nodes know each other, none where they don't.
  virtual void start_node(NodeNo node, MachineNo machine, const std::string& config,
                          const std::vector<MachineNo>& seeds) = 0;
  virtual void kill_node(NodeNo node) = 0;
  virtual void leave_node(NodeNo node) = 0;
  virtual void reload_node(NodeNo node, const std::string& config) = 0;
  virtual bool running(NodeNo node) = 0;

  // What only a virtual network can do.
  virtual bool has_network_faults() const { return false; }
  virtual void lose(MachineNo) {}
  virtual void restore(MachineNo) {}
  virtual void cut(ZoneNo /*from*/, ZoneNo /*to*/) {}
  virtual void mend(ZoneNo /*from*/, ZoneNo /*to*/) {}
  virtual void worsen(MachineNo, MachineNo, Micros /*longer*/, double /*lost*/) {}
  virtual void ease(MachineNo, MachineNo) {}
};

}  // namespace flintweir::lab
