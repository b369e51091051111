// Interface of the test harnesses that run a fleet of nodes, in virtual time or as processes of the real
// program. A harness injects faults into the network links between the nodes and queries the nodes from
// outside.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/network/datagram_faults.h"
#include "net/network.h"

namespace flintweir::lab {

// Identifies a process: the number of its node, and which of the addresses of that node it uses.
struct NodeEndpoint {
  unsigned node = 0, address = 0;
  friend auto operator<=>(const NodeEndpoint&, const NodeEndpoint&) = default;
};

class FleetHarness {
 public:
  virtual ~FleetHarness() = default;
  virtual Micros now() const = 0;
  virtual void schedule_at(Micros when, std::function<void()> action) = 0;
  virtual void run_until(Micros end) = 0;

  // Starts a process that runs under `name` and has the advertised addresses of `seeds` as its seeds.
  virtual void start(NodeEndpoint at, const std::string& name, const std::vector<NodeEndpoint>& seeds) = 0;
  virtual void kill(NodeEndpoint at) = 0;
  virtual void leave(NodeEndpoint at) = 0;                // as on SIGTERM
  virtual void freeze(NodeEndpoint at, bool frozen) = 0;  // as on SIGSTOP and SIGCONT
  // Has the process read its configuration again, now with these seeds.
  virtual void reload(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) = 0;
  // Sets the wall clock back for the processes that start there from now on.
  virtual void set_clock_lag(NodeEndpoint at, Micros by) = 0;
  virtual bool running(NodeEndpoint at) = 0;
  // The faults of datagrams sent from one node to another, at any of their addresses.
  virtual DatagramFaults& link(unsigned from, unsigned to) = 0;
  // The address that the process itself is bound to, not that of a relay in front of it.
  virtual Address listen_address(NodeEndpoint at) const = 0;
  // The network of the observer that queries the nodes from outside. Its datagrams bypass the faulty links.
  virtual net::Network& observer() = 0;
  virtual Address observer_address() const = 0;
  virtual const char* fleet_name() const = 0;
  // Checks that the process serves clients. Calls back at once or later.
  virtual void check_serving(NodeEndpoint at, std::function<void(bool serving)> on_result) = 0;

  // Passes on all lines that the running processes have logged so far.
  virtual void read_logs(const std::function<void(NodeEndpoint, std::string_view)>& on_line) = 0;

  // Called for each datagram that a process sends to another one.
  std::function<void(NodeEndpoint from, std::size_t bytes)> on_sent;
};

}  // namespace flintweir::lab
