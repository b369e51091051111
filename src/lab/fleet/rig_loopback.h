// The rig in real time: each node a process of the real program on a loopback address of its own. Every
// datagram between two of them passes a relay of the rig's, one for each address told, which knows by the
// sender's address on which way it is. What it starts it ends.
#pragma once

#include <map>
#include <memory>
#include <random>

#include "lab/fleet/rig_stage.h"
#include "lab/network/child_process.h"
#include "lab/network/event_queue.h"
#include "net/kernel_network.h"

namespace flintweir::lab {

class RigLoopback final : public RigStage {
 public:
  // `program` is run as `program serve --config FILE --operator FILE`; its logs go to `folder`.
  RigLoopback(std::vector<std::string> program, std::string folder, unsigned nodes, Micros interval,
              std::uint64_t seed);
  ~RigLoopback() override;

  Micros now() const override { return clock_.now(); }
  void at(Micros when, std::function<void()> act) override { event_queue_.schedule_at(when, std::move(act)); }
  void run_until(Micros end) override;
  void start(RigPlace at, const std::string& name, const std::vector<RigPlace>& seeds) override;
  // Written behind [fleet] in every operator's file from now on.
  void add_section(std::string text) { more_ = std::move(text); }
  // A process of `program lease hold` at that place, which runs the command while it holds.
  void hold(RigPlace at, const std::string& lease, const std::vector<std::string>& command, unsigned nodes);
  std::string log_of(RigPlace at) const { return file(at, ".log"); }
  net::KernelNetwork& network() { return clock_; }
  Address ledger_at() const;
  void kill(RigPlace at) override;
  void leave(RigPlace at) override;
  void freeze(RigPlace at, bool on) override;
  void reload(RigPlace at, const std::vector<RigPlace>& seeds) override;
  void set_clock_back(RigPlace, Micros) override {}
  bool running(RigPlace at) override;
  DatagramFaults& way(unsigned from, unsigned to) override { return ways_[from * nodes_ + to]; }
  Address hears_at(RigPlace at) const override;
  net::Network& onlooker() override { return onlooker_; }
  Address onlooker_at() const override;
  const char* fleet() const override { return "rig"; }
  void knock(RigPlace at, std::function<void(bool)> answered) override;
  void read_logs(const std::function<void(RigPlace, std::string_view)>& line) override;

 private:
  class Relay;
  class Host;
  class Knock;
  std::string file(RigPlace at, const char* ending) const;
  void write_operator(RigPlace at, const std::vector<RigPlace>& seeds) const;
  void signal(RigPlace at, int number);
  Address told_at(RigPlace at) const;
  Address serves_at(RigPlace at) const;

  unsigned block_, nodes_;
  Micros interval_;
  std::vector<std::string> program_;
  std::string folder_, more_;
  net::KernelNetwork clock_;
  net::KernelNetwork onlooker_{clock_};
  EventQueue event_queue_;
  std::knuth_b chance_;
  std::vector<DatagramFaults> ways_;
  std::map<Address, RigPlace> senders_;
  std::map<RigPlace, std::unique_ptr<Relay>> relays_;
  std::uint64_t sessions_ = 0;  // begun by clients
  std::unique_ptr<Host> host_;
  std::vector<std::unique_ptr<Knock>> knocks_;
  std::map<RigPlace, std::unique_ptr<ChildProcess>> processes_;
};

}  // namespace flintweir::lab
