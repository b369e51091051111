// Where the rig plays: nodes that speak to each other, ways between them that can be made bad, and somebody
// who asks them for their views. Virtual, or processes of the real program.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/network/datagram_faults.h"
#include "net/network.h"

namespace flintweir::lab {

// Where one process is: the node's number, and at which of its addresses.
struct NodeEndpoint {
  unsigned node = 0, address = 0;
  friend auto operator<=>(const NodeEndpoint&, const NodeEndpoint&) = default;
};

class FleetHarness {
 public:
  virtual ~FleetHarness() = default;
  virtual Micros now() const = 0;
  virtual void schedule_at(Micros when, std::function<void()> act) = 0;
  virtual void run_until(Micros end) = 0;

  // `name`: under which it runs. `seeds`: whose told addresses it is given.
  virtual void start(NodeEndpoint at, const std::string& name, const std::vector<NodeEndpoint>& seeds) = 0;
  virtual void kill(NodeEndpoint at) = 0;
  virtual void leave(NodeEndpoint at) = 0;  // SIGTERM
  virtual void freeze(NodeEndpoint at, bool on) = 0;
  virtual void reload(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) = 0;
  virtual void set_clock_lag(NodeEndpoint at, Micros by) = 0;  // for what starts there next
  virtual bool running(NodeEndpoint at) = 0;
  // What becomes of datagrams from one node to another, wherever they are.
  virtual DatagramFaults& link(unsigned from, unsigned to) = 0;
  // Where the process itself hears, past all relays.
  virtual Address listen_address(NodeEndpoint at) const = 0;
  // For whoever looks on, with a post of its own.
  virtual net::Network& observer() = 0;
  virtual Address observer_address() const = 0;
  virtual const char* fleet_name() const = 0;  // its name
  // Whether it still serves clients; calls back at once or later.
  virtual void check_serving(NodeEndpoint at, std::function<void(bool)> answered) = 0;

  // All that those that run have logged so far.
  virtual void read_logs(const std::function<void(NodeEndpoint, std::string_view)>& line) = 0;

  std::function<void(NodeEndpoint from, std::size_t bytes)> on_sent;
};

}  // namespace flintweir::lab
