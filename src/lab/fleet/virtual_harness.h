// The rig in virtual time: the node's own peers on the lab's network.
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
  // Logs go to `logged`, unless that is null.
  // `plain`: nodes know each other in that way instead.
  VirtualHarness(unsigned nodes, Micros interval, Micros forgets, std::uint64_t seed, std::string* logged,
                 std::optional<BaselineProtocol> plain = {});
  ~VirtualHarness() override;

  Micros now() const override { return event_queue_.now(); }
  void schedule_at(Micros when, std::function<void()> act) override {
    event_queue_.schedule_at(when, std::move(act));
  }
  void run_until(Micros end) override { event_queue_.run_until(end); }
  void start(NodeEndpoint at, const std::string& name, const std::vector<NodeEndpoint>& seeds) override;
  void kill(NodeEndpoint at) override { units_.erase(at); }
  void leave(NodeEndpoint at) override;
  void freeze(NodeEndpoint at, bool on) override;
  void reload(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) override;
  void set_clock_lag(NodeEndpoint at, Micros by) override { clocks_back_[at] = by; }
  bool running(NodeEndpoint at) override { return units_.contains(at); }
  DatagramFaults& link(unsigned from, unsigned to) override { return links_[from * nodes_ + to]; }
  Address listen_address(NodeEndpoint at) const override;
  net::Network& observer() override { return *observer_; }
  const char* fleet_name() const override { return "lab"; }
  // Those that start from now on pass changes on. Their listeners are chat, and on even nodes even.
  void enable_changes() { carries_ = true; }
  Address observer_address() const override { return VirtualNetwork::address(observer_machine_, kPort); }
  void check_serving(NodeEndpoint, std::function<void(bool)> answered) override { answered(true); }
  // Voters among the nodes that start from now on.
  void enable_voting(const setup::LeasesSection& leases) { leases_ = leases; }
  // Its clock for leases, of what starts there next.
  void set_clock_rate(NodeEndpoint at, double rate) { rates_[at] = rate; }
  // A process and its timers alone, for whoever runs something of his own there.
  void start_process(NodeEndpoint at);
  net::Network& process(NodeEndpoint at) { return *units_.at(at).process; }
  net::TimerQueue& timers(NodeEndpoint at) { return *units_.at(at).timers; }
  void read_logs(const std::function<void(NodeEndpoint, std::string_view)>& line) override;

 private:
  static constexpr std::uint16_t kPort = 7946;
  static constexpr Micros kStart{1'700'000'000'000'000};
  struct Unit {
    std::unique_ptr<Process> process;
    std::unique_ptr<net::TimerQueue> timers;
    std::unique_ptr<node::FleetMember> peers;  // or
    std::unique_ptr<BaselineMembership> plain;
    std::vector<std::string> log;
    std::uint64_t start = 0;  // of this stage's
  };
  MachineId machine(NodeEndpoint at) const { return MachineId{at.address * nodes_ + at.node}; }
  setup::FleetSection section(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) const;
  void write_line(const char* text) override;

  static constexpr unsigned kAddresses = 6;  // of each node
  unsigned nodes_;
  Micros interval_, forgets_;
  std::uint64_t seed_, starts_ = 0;
  std::string* logged_;
  std::optional<BaselineProtocol> plain_;
  EventQueue event_queue_;
  VirtualNetwork network_;
  std::vector<DatagramFaults> links_;
  MachineId observer_machine_;
  std::unique_ptr<Process> observer_;
  bool carries_ = false;
  std::optional<setup::LeasesSection> leases_;
  std::map<NodeEndpoint, double> rates_;
  std::map<NodeEndpoint, Micros> clocks_back_;
  std::map<NodeEndpoint, Unit> units_;
  std::optional<NodeEndpoint> called_;  // by the stage itself, past the network
};

}  // namespace flintweir::lab
