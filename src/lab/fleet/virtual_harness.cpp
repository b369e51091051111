#include "lab/fleet/virtual_harness.h"

#include <cstdio>

#include "numbers.h"
#include "setup/config_change.h"

namespace flintweir::lab {

using namespace std::chrono_literals;

namespace {

// As a node would find it.
std::string fits(const changes::Change& change, unsigned node) {
  std::vector<std::string> wrong, names{"chat"};
  if (node % 2 == 0) names.emplace_back("even");
  setup::RuntimeSettings own;
  own.listeners.assign(names.size(), Listener{500ms, 2s, Effect::repeatable, DedupScope::all, 1s, 1});
  own.dials = DialLimits{4, 0us};
  own.prices = Prices{0, 0.0};
  const auto text = setup::ConfigChange::parse(change.text, "change", wrong);
  if (wrong.empty()) setup::apply_change(own, names, text, wrong);
  return wrong.empty() ? "" : wrong.front();
}

}  // namespace

VirtualHarness::VirtualHarness(unsigned nodes, Micros interval, Micros forgets, std::uint64_t seed,
                               std::string* logged, std::optional<BaselineProtocol> plain)
    : nodes_(nodes),
      interval_(interval),
      forgets_(forgets),
      seed_(seed),
      logged_(logged),
      plain_(plain),
      event_queue_(kStart),
      network_(event_queue_, LinkModel(), seed),
      links_(std::size_t{nodes} * nodes) {
  for (unsigned i = 0; i < nodes * kAddresses; ++i) network_.add_machine(ZoneId{0});
  observer_machine_ = network_.add_machine(ZoneId{0});
  observer_ = std::make_unique<Process>(network_, observer_machine_, 64);
  network_.set_datagram_faults(
      [this](MachineId from, MachineId to, std::size_t bytes) -> const DatagramFaults* {
        if (from == observer_machine_ || to == observer_machine_) return nullptr;
        if (on_sent) on_sent({from.value % nodes_, from.value / nodes_}, bytes);
        return &links_[from.value % nodes_ * nodes_ + to.value % nodes_];
      });
  net::set_log_sink(this);
}

VirtualHarness::~VirtualHarness() {
  units_.clear();
  net::set_log_sink(nullptr);
}

void VirtualHarness::write_line(const char* text) {
  const std::uint32_t machine =
      called_ ? this->machine(*called_).value : network_.last_active_machine().value;
  if (const auto it = units_.find({machine % nodes_, machine / nodes_}); it != units_.end())
    it->second.log.emplace_back(text);
  if (!logged_) return;
  char when[48];
  std::snprintf(when, sizeof when, "%10.6f n%u ", seconds(now() - kStart), machine % nodes_);
  logged_->append(when).append(text).append("\n");
}

void VirtualHarness::read_logs(const std::function<void(NodeEndpoint, std::string_view)>& line) {
  for (const auto& [at, unit] : units_)
    for (const std::string& text : unit.log) line(at, text);
}

Address VirtualHarness::listen_address(NodeEndpoint at) const {
  return VirtualNetwork::address(machine(at), kPort);
}

setup::FleetSection VirtualHarness::section(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) const {
  setup::FleetSection out{"lab", "", listen_address(at), listen_address(at), {}, interval_, forgets_, 4096};
  for (const NodeEndpoint& s : seeds) out.seeds.push_back(listen_address(s));
  return out;
}

void VirtualHarness::start_process(NodeEndpoint at) {
  units_.erase(at);
  Unit& u = units_[at];
  u.process = std::make_unique<Process>(network_, machine(at), 64);
  if (const auto back = clocks_back_.find(at); back != clocks_back_.end())
    u.process->set_clock_lag(back->second);
  if (const auto rate = rates_.find(at); rate != rates_.end()) u.process->set_clock_rate(rate->second);
  u.timers = std::make_unique<net::TimerQueue>(*u.process);
}

void VirtualHarness::start(NodeEndpoint at, const std::string& name, const std::vector<NodeEndpoint>& seeds) {
  start_process(at);
  Unit& u = units_[at];
  u.start = ++starts_;
  if (plain_) {
    u.plain = std::make_unique<BaselineMembership>(*u.process, *u.timers, *plain_, listen_address(at), name,
                                                   section(at, seeds).seeds, interval_,
                                                   mix(seed_ * 4096 + starts_));
    return u.plain->begin();
  }
  u.peers = std::make_unique<node::FleetMember>(*u.process, *u.timers, section(at, seeds), name, "lab",
                                                mix(seed_ * 4096 + starts_), [](unsigned) {});
  if (leases_) u.peers->enable_voting(*leases_);
  if (carries_) u.peers->enable_changes({}, [at](const changes::Change& c) { return fits(c, at.node); });
  called_ = at;
  u.peers->start();
  called_.reset();
}

// As Node::leave does: told at once, gone some seconds later.
void VirtualHarness::leave(NodeEndpoint at) {
  const auto it = units_.find(at);
  if (it == units_.end()) return;
  called_ = at;
  if (it->second.peers) it->second.peers->leave();
  called_.reset();
  event_queue_.schedule_after(2200ms, [this, at, start = it->second.start] {
    if (const auto now = units_.find(at); now != units_.end() && now->second.start == start) kill(at);
  });
}

void VirtualHarness::freeze(NodeEndpoint at, bool on) {
  if (const auto it = units_.find(at); it != units_.end()) it->second.process->freeze(on);
}

void VirtualHarness::reload(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) {
  called_ = at;
  if (const auto it = units_.find(at); it != units_.end() && it->second.peers)
    it->second.peers->reload(section(at, seeds));
  called_.reset();
}

}  // namespace flintweir::lab
