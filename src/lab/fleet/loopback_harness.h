// The rig in real time: each node a process of the real program on a loopback address of its own. Every
// datagram between two of them passes a relay of the rig's, one for each address told, which knows by the
// sender's address on which way it is. What it starts it ends.
#pragma once

#include <map>
#include <memory>
#include <random>

#include "lab/fleet/fleet_harness.h"
#include "lab/network/child_process.h"
#include "lab/network/event_queue.h"
#include "net/kernel_network.h"

namespace flintweir::lab {

class LoopbackHarness final : public FleetHarness {
 public:
  // `program` is run as `program serve --config FILE --operator FILE`; its logs go to `folder`.
  LoopbackHarness(std::vector<std::string> program, std::string folder, unsigned nodes, Micros interval,
                  std::uint64_t seed);
  ~LoopbackHarness() override;

  Micros now() const override { return clock_.now(); }
  void schedule_at(Micros when, std::function<void()> act) override {
    event_queue_.schedule_at(when, std::move(act));
  }
  void run_until(Micros end) override;
  void start(NodeEndpoint at, const std::string& name, const std::vector<NodeEndpoint>& seeds) override;
  // Written behind [fleet] in every operator's file from now on.
  void set_operator_sections(std::string text) { more_ = std::move(text); }
  // A process of `program lease hold` at that place, which runs the command while it holds.
  void start_lease_holder(NodeEndpoint at, const std::string& lease, const std::vector<std::string>& command,
                          unsigned nodes);
  std::string log_path(NodeEndpoint at) const { return file(at, ".log"); }
  net::KernelNetwork& network() { return clock_; }
  Address ledger_address() const;
  void kill(NodeEndpoint at) override;
  void leave(NodeEndpoint at) override;
  void freeze(NodeEndpoint at, bool on) override;
  void reload(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) override;
  void set_clock_lag(NodeEndpoint, Micros) override {}
  bool running(NodeEndpoint at) override;
  DatagramFaults& link(unsigned from, unsigned to) override { return links_[from * nodes_ + to]; }
  Address listen_address(NodeEndpoint at) const override;
  net::Network& observer() override { return observer_; }
  Address observer_address() const override;
  const char* fleet_name() const override { return "rig"; }
  void check_serving(NodeEndpoint at, std::function<void(bool)> answered) override;
  void read_logs(const std::function<void(NodeEndpoint, std::string_view)>& line) override;

 private:
  class Relay;
  class Host;
  class Knock;
  std::string file(NodeEndpoint at, const char* ending) const;
  void write_operator(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) const;
  void signal(NodeEndpoint at, int number);
  Address advertised_address(NodeEndpoint at) const;
  Address client_address(NodeEndpoint at) const;

  unsigned block_, nodes_;
  Micros interval_;
  std::vector<std::string> program_;
  std::string folder_, more_;
  net::KernelNetwork clock_;
  net::KernelNetwork observer_{clock_};
  EventQueue event_queue_;
  std::knuth_b chance_;
  std::vector<DatagramFaults> links_;
  std::map<Address, NodeEndpoint> senders_;
  std::map<NodeEndpoint, std::unique_ptr<Relay>> relays_;
  std::uint64_t sessions_ = 0;  // begun by clients
  std::unique_ptr<Host> host_;
  std::vector<std::unique_ptr<Knock>> knocks_;
  std::map<NodeEndpoint, std::unique_ptr<ChildProcess>> processes_;
};

}  // namespace flintweir::lab
