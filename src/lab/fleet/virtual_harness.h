// A test harness in virtual time: the membership code of the node, on the virtual network of the lab.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "lab/fleet/baseline_membership.h"
#include "lab/fleet/fleet_harness.h"
#include "lab/network/virtual_network.h"
#include "net/log.h"
#include "node/fleet_member.h"

namespace flintweir::lab {

class VirtualHarness final : public FleetHarness, net::LogSink {
 public:
  // `forget_after`: how long members that failed or left are remembered. `log`: gets what the nodes log,
  // unless null; it has to outlive the harness. `baseline`: the nodes run this protocol instead of their own.
  VirtualHarness(unsigned nodes, Micros probe_interval, Micros forget_after, std::uint64_t seed,
                 std::string* log, std::optional<BaselineProtocol> baseline = {});
  ~VirtualHarness() override;

  Micros now() const override { return event_queue_.now(); }
  void schedule_at(Micros when, std::function<void()> action) override {
    event_queue_.schedule_at(when, std::move(action));
  }
  void run_until(Micros end) override { event_queue_.run_until(end); }
  void start(NodeEndpoint at, const std::string& name, const std::vector<NodeEndpoint>& seeds) override;
  void kill(NodeEndpoint at) override { processes_.erase(at); }
  void leave(NodeEndpoint at) override;
  void freeze(NodeEndpoint at, bool frozen) override;
  void reload(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) override;
  void set_clock_lag(NodeEndpoint at, Micros by) override { clock_lags_[at] = by; }
  bool running(NodeEndpoint at) override { return processes_.contains(at); }
  DatagramFaults& link(unsigned from, unsigned to) override { return links_[from * node_count_ + to]; }
  Address listen_address(NodeEndpoint at) const override;
  net::Network& observer() override { return *observer_; }
  const char* fleet_name() const override { return "lab"; }
  // Nodes that start from now on distribute configuration changes. All nodes have the listener `chat`, and
  // nodes of even number also the listener `even`, so that a change may fit some nodes only.
  void enable_changes() { changes_enabled_ = true; }
  Address observer_address() const override { return VirtualNetwork::address(observer_machine_, kPort); }
  void check_serving(NodeEndpoint, std::function<void(bool)> on_result) override { on_result(true); }
  // Nodes that start from now on vote on leases if `leases` names them as voters.
  void enable_voting(const setup::LeasesSection& leases) { leases_ = leases; }
  // The rate of the clock for leases, for the processes that start there from now on.
  void set_clock_rate(NodeEndpoint at, double rate) { clock_rates_[at] = rate; }
  // Starts a process with timers but without a member of the fleet, for code that the caller runs on it.
  void start_process(NodeEndpoint at);
  net::Network& process(NodeEndpoint at) { return *processes_.at(at).process; }
  net::TimerQueue& timers(NodeEndpoint at) { return *processes_.at(at).timers; }
  void read_logs(const std::function<void(NodeEndpoint, std::string_view)>& on_line) override;

 private:
  static constexpr std::uint16_t kPort = 7946;
  static constexpr Micros kStartTime{1'700'000'000'000'000};
  // A process runs either the member of the node or a baseline, or nothing of the harness.
  struct NodeProcess {
    std::unique_ptr<Process> process;
    std::unique_ptr<net::TimerQueue> timers;
    std::unique_ptr<node::FleetMember> member;
    std::unique_ptr<BaselineMembership> baseline;
    std::vector<std::string> log;
    std::uint64_t start = 0;  // counts the starts of this harness
  };
  MachineId machine(NodeEndpoint at) const { return MachineId{at.address * node_count_ + at.node}; }
  setup::FleetSection section(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) const;
  void write_line(const char* text) override;

  static constexpr unsigned kAddressesPerNode = 6;
  unsigned node_count_;
  Micros probe_interval_, forget_after_;
  std::uint64_t seed_, start_count_ = 0;
  std::string* log_;
  std::optional<BaselineProtocol> baseline_;
  EventQueue event_queue_;
  VirtualNetwork network_;
  std::vector<DatagramFaults> links_;
  MachineId observer_machine_;
  std::unique_ptr<Process> observer_;
  bool changes_enabled_ = false;
  std::optional<setup::LeasesSection> leases_;
  std::map<NodeEndpoint, double> clock_rates_;
  std::map<NodeEndpoint, Micros> clock_lags_;
  std::map<NodeEndpoint, NodeProcess> processes_;
  // Set while the harness calls a node directly, not from a network event.
  std::optional<NodeEndpoint> direct_call_;
};

}  // namespace flintweir::lab
