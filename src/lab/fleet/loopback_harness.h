// A test harness in real time. Each node is a process of the real program, with a loopback address of its
// own. Each node advertises the address of a relay of the harness, so every datagram between two nodes passes
// a relay, which identifies the link by the sender's address. The harness ends all processes that it starts.
#pragma once

#include <map>
#include <memory>
#include <random>

#include "lab/fleet/fleet_harness.h"
#include "lab/network/child_process.h"
#include "lab/network/event_queue.h"
#include "lab/network/loopback_block.h"
#include "net/kernel_network.h"

namespace flintweir::lab {

class LoopbackHarness final : public FleetHarness {
 public:
  // `program` is run as `program serve --config FILE --operator FILE`; its logs go to `folder`.
  LoopbackHarness(std::vector<std::string> program, std::string folder, unsigned nodes, Micros probe_interval,
                  std::uint64_t seed);
  ~LoopbackHarness() override;

  Micros now() const override { return network_.now(); }
  void schedule_at(Micros when, std::function<void()> action) override {
    event_queue_.schedule_at(when, std::move(action));
  }
  void run_until(Micros end) override;
  void start(NodeEndpoint at, const std::string& name, const std::vector<NodeEndpoint>& seeds) override;
  // Text that follows the section [fleet] in each operator file that is written from now on.
  void set_operator_sections(std::string text) { operator_sections_ = std::move(text); }
  // Starts a process `program lease hold`, which runs the command while it holds the lease. `nodes`: the
  // seeds of its fleet are the first so many nodes.
  void start_lease_holder(NodeEndpoint at, const std::string& lease, const std::vector<std::string>& command,
                          unsigned nodes);
  std::string log_path(NodeEndpoint at) const { return path(at, ".log"); }
  // The network whose event loop runs the harness.
  net::KernelNetwork& network() { return network_; }
  Address ledger_address() const;
  void kill(NodeEndpoint at) override;
  void leave(NodeEndpoint at) override;
  void freeze(NodeEndpoint at, bool frozen) override;
  void reload(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) override;
  void set_clock_lag(NodeEndpoint, Micros) override {}
  bool running(NodeEndpoint at) override;
  DatagramFaults& link(unsigned from, unsigned to) override { return links_[from * node_count_ + to]; }
  Address listen_address(NodeEndpoint at) const override;
  net::Network& observer() override { return observer_; }
  Address observer_address() const override;
  const char* fleet_name() const override { return "rig"; }
  void check_serving(NodeEndpoint at, std::function<void(bool)> on_result) override;
  void read_logs(const std::function<void(NodeEndpoint, std::string_view)>& on_line) override;

 private:
  class Relay;
  class Host;
  class Client;
  std::string path(NodeEndpoint at, const char* extension) const;
  void write_operator_file(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) const;
  void signal(NodeEndpoint at, int number);
  Address advertised_address(NodeEndpoint at) const;
  Address client_address(NodeEndpoint at) const;

  unsigned node_count_;
  Micros probe_interval_;
  std::vector<std::string> program_;
  std::string folder_, operator_sections_;
  net::KernelNetwork network_;
  net::KernelNetwork observer_{network_};
  LoopbackBlock block_;
  EventQueue event_queue_;
  std::knuth_b random_;
  std::vector<DatagramFaults> links_;
  std::map<Address, NodeEndpoint> endpoints_by_address_;
  std::map<NodeEndpoint, std::unique_ptr<Relay>> relays_;
  std::uint64_t session_count_ = 0;  // opened by clients
  std::unique_ptr<Host> host_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::map<NodeEndpoint, std::unique_ptr<ChildProcess>> processes_;
};

}  // namespace flintweir::lab
