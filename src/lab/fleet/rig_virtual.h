// The rig in virtual time: the node's own peers on the lab's network.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "lab/fleet/plain_peers.h"
#include "lab/fleet/rig_stage.h"
#include "lab/network/virtual_network.h"
#include "net/log.h"
#include "node/fleet_member.h"

namespace flintweir::lab {

class RigVirtual final : public RigStage, net::LogSink {
 public:
  // Logs go to `logged`, unless that is null.
  // `plain`: nodes know each other in that way instead.
  RigVirtual(unsigned nodes, Micros interval, Micros forgets, std::uint64_t seed, std::string* logged,
             std::optional<PlainWay> plain = {});
  ~RigVirtual() override;

  Micros now() const override { return event_queue_.now(); }
  void at(Micros when, std::function<void()> act) override { event_queue_.schedule_at(when, std::move(act)); }
  void run_until(Micros end) override { event_queue_.run_until(end); }
  void start(RigPlace at, const std::string& name, const std::vector<RigPlace>& seeds) override;
  void kill(RigPlace at) override { units_.erase(at); }
  void leave(RigPlace at) override;
  void freeze(RigPlace at, bool on) override;
  void reload(RigPlace at, const std::vector<RigPlace>& seeds) override;
  void set_clock_back(RigPlace at, Micros by) override { clocks_back_[at] = by; }
  bool running(RigPlace at) override { return units_.contains(at); }
  DatagramFaults& way(unsigned from, unsigned to) override { return ways_[from * nodes_ + to]; }
  Address hears_at(RigPlace at) const override;
  net::Network& onlooker() override { return *onlooker_; }
  const char* fleet() const override { return "lab"; }
  // Those that start from now on pass changes on. Their listeners are chat, and on even nodes even.
  void carry_changes() { carries_ = true; }
  Address onlooker_at() const override { return VirtualNetwork::address(onlooks_, kPort); }
  void knock(RigPlace, std::function<void(bool)> answered) override { answered(true); }
  // Voters among the nodes that start from now on.
  void vote(const setup::LeasesSection& leases) { leases_ = leases; }
  // Its clock for leases, of what starts there next.
  void set_rate(RigPlace at, double rate) { rates_[at] = rate; }
  // A process and its timers alone, for whoever runs something of his own there.
  void start_bare(RigPlace at);
  net::Network& process(RigPlace at) { return *units_.at(at).process; }
  net::TimerQueue& timers(RigPlace at) { return *units_.at(at).timers; }
  void read_logs(const std::function<void(RigPlace, std::string_view)>& line) override;

 private:
  static constexpr std::uint16_t kPort = 7946;
  static constexpr Micros kStart{1'700'000'000'000'000};
  struct Unit {
    std::unique_ptr<Process> process;
    std::unique_ptr<net::TimerQueue> timers;
    std::unique_ptr<node::FleetMember> peers;  // or
    std::unique_ptr<PlainPeers> plain;
    std::vector<std::string> log;
    std::uint64_t start = 0;  // of this stage's
  };
  MachineId machine(RigPlace at) const { return MachineId{at.address * nodes_ + at.node}; }
  setup::FleetSection section(RigPlace at, const std::vector<RigPlace>& seeds) const;
  void write_line(const char* text) override;

  static constexpr unsigned kAddresses = 6;  // of each node
  unsigned nodes_;
  Micros interval_, forgets_;
  std::uint64_t seed_, starts_ = 0;
  std::string* logged_;
  std::optional<PlainWay> plain_;
  EventQueue event_queue_;
  VirtualNetwork network_;
  std::vector<DatagramFaults> ways_;
  MachineId onlooks_;
  std::unique_ptr<Process> onlooker_;
  bool carries_ = false;
  std::optional<setup::LeasesSection> leases_;
  std::map<RigPlace, double> rates_;
  std::map<RigPlace, Micros> clocks_back_;
  std::map<RigPlace, Unit> units_;
  std::optional<RigPlace> called_;  // by the stage itself, past the network
};

}  // namespace flintweir::lab
