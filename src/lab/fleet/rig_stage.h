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
struct RigPlace {
  unsigned node = 0, address = 0;
  friend auto operator<=>(const RigPlace&, const RigPlace&) = default;
};

class RigStage {
 public:
  virtual ~RigStage() = default;
  virtual Micros now() const = 0;
  virtual void at(Micros when, std::function<void()> act) = 0;
  virtual void run_until(Micros end) = 0;

  // `name`: under which it runs. `seeds`: whose told addresses it is given.
  virtual void start(RigPlace at, const std::string& name, const std::vector<RigPlace>& seeds) = 0;
  virtual void kill(RigPlace at) = 0;
  virtual void leave(RigPlace at) = 0;  // SIGTERM
  virtual void freeze(RigPlace at, bool on) = 0;
  virtual void reload(RigPlace at, const std::vector<RigPlace>& seeds) = 0;
  virtual void set_clock_back(RigPlace at, Micros by) = 0;  // for what starts there next
  virtual bool running(RigPlace at) = 0;
  // What becomes of datagrams from one node to another, wherever they are.
  virtual DatagramFaults& way(unsigned from, unsigned to) = 0;
  // Where the process itself hears, past all relays.
  virtual Address hears_at(RigPlace at) const = 0;
  // For whoever looks on, with a post of its own.
  virtual net::Network& onlooker() = 0;
  virtual Address onlooker_at() const = 0;
  virtual const char* fleet() const = 0;  // its name
  // Whether it still serves clients; calls back at once or later.
  virtual void knock(RigPlace at, std::function<void(bool)> answered) = 0;

  // All that those that run have logged so far.
  virtual void read_logs(const std::function<void(RigPlace, std::string_view)>& line) = 0;

  std::function<void(RigPlace from, std::size_t bytes)> on_sent;
};

}  // namespace flintweir::lab
