#include "lab/network/virtual_environment.h"

#include <algorithm>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr Micros kStart{1'700'000'000'000'000};  // any time far from zero
constexpr Micros kMends = 2500ms;  // until all that was lost has been sent again, and seen to be

}  // namespace

VirtualEnvironment::VirtualEnvironment(LinkModel link_model, std::uint64_t seed, std::size_t descriptors,
                                       node::BalancerFactory make, std::string* logged)
    : link_model_(link_model),
      event_queue_(kStart),
      network_(event_queue_, link_model, seed),
      descriptors_(descriptors),
      make_(std::move(make)),
      logged_(logged) {
  net::set_log_sink(this);
}

VirtualEnvironment::~VirtualEnvironment() {
  for (auto& [no, n] : nodes_) {
    n.process->kill();
    n.node.reset();
  }
  net::set_log_sink(nullptr);
}

void VirtualEnvironment::write_line(const char* text) {
  if (logged_) *logged_ += std::to_string((now() - kStart).count()) + ' ' + text + '\n';
}

MachineId VirtualEnvironment::add_machine(ZoneId zone) {
  zones_.push_back(zone);
  lost_until_.push_back(Micros::min());
  return network_.add_machine(zone);
}

net::Network& VirtualEnvironment::start_process(MachineId machine) {
  return *processes_.emplace_back(std::make_unique<Process>(network_, machine, std::size_t{1} << 20));
}

void VirtualEnvironment::end_process(net::Network& process) {
  const auto it =
      std::find_if(processes_.begin(), processes_.end(), [&](const auto& p) { return p.get() == &process; });
  if (it == processes_.end()) return;
  (*it)->kill();
  processes_.erase(it);
}

void VirtualEnvironment::start_node(NodeNo node, MachineId machine, const std::string& config,
                                    const std::vector<MachineId>& seeds) {
  NodeAt& n = nodes_[node.value];
  n.process = std::make_unique<Process>(network_, machine, descriptors_);
  n.node = std::make_unique<node::Node>(*n.process, *node::NodeConfig::from_text(config), make_);
  if (!seeds.empty()) {
    const auto hears = [](MachineId m) { return VirtualNetwork::address(m, 7946); };
    setup::OperatorFile own;
    setup::FleetSection& fleet = own.fleet.emplace(
        setup::FleetSection{"lab", "", hears(machine), hears(machine), {}, 300ms, 1h, 4096});
    for (const MachineId s : seeds) fleet.seeds.push_back(hears(s));
    n.node->join_fleet(own, "n" + std::to_string(node.value), "lab",
                       machine.value + std::uint64_t(now().count()));
  }
  n.node->serve();
}

void VirtualEnvironment::kill_node(NodeNo node) {
  const auto it = nodes_.find(node.value);
  if (it == nodes_.end()) return;
  it->second.process->kill();
  it->second.node.reset();
  nodes_.erase(it);
}

void VirtualEnvironment::shut_down_node(NodeNo node) {
  if (running(node)) nodes_[node.value].node->shut_down();
}

void VirtualEnvironment::reload_node(NodeNo node, const std::string& config) {
  if (running(node))
    nodes_[node.value].node->reload(
        [&] { return std::pair(node::NodeConfig::from_text(config), setup::OperatorFile()); });
}

bool VirtualEnvironment::running(NodeNo node) {
  const auto it = nodes_.find(node.value);
  return it != nodes_.end() && it->second.process->running();
}

void VirtualEnvironment::disconnect(MachineId machine) {
  lost_until_[machine.value] = Micros::max();
  network_.disconnect(machine);
}

void VirtualEnvironment::reconnect(MachineId machine) {
  lost_until_[machine.value] = now();
  network_.reconnect(machine);
}

void VirtualEnvironment::block(ZoneId from, ZoneId to) {
  cut_until_[{from.value, to.value}] = Micros::max();
  network_.block(from, to);
}

void VirtualEnvironment::unblock(ZoneId from, ZoneId to) {
  cut_until_[{from.value, to.value}] = now();
  network_.unblock(from, to);
}

void VirtualEnvironment::degrade(MachineId a, MachineId b, Micros longer, double lost) {
  bad_until_[std::minmax(a.value, b.value)] = Micros::max();
  network_.degrade(a, b, longer, lost);
}

void VirtualEnvironment::clear_degradation(MachineId a, MachineId b) {
  bad_until_[std::minmax(a.value, b.value)] = now();
  network_.clear_degradation(a, b);
}

Micros VirtualEnvironment::max_delay(MachineId a, MachineId b) const {
  const double most = static_cast<double>(network_.latency(a, b).count()) * (1 + link_model_.jitter);
  return Micros{static_cast<std::int64_t>(most) + 1};
}

bool VirtualEnvironment::healthy_since(MachineId a, MachineId b, Micros since) const {
  if (a == b) return true;
  Micros until = std::max(lost_until_[a.value], lost_until_[b.value]);
  const std::uint32_t x = zones_[a.value].value, y = zones_[b.value].value;
  for (const auto& way : {std::pair(x, y), {y, x}}) {
    if (const auto it = cut_until_.find(way); it != cut_until_.end()) until = std::max(until, it->second);
  }
  if (const auto it = bad_until_.find(std::minmax(a.value, b.value)); it != bad_until_.end())
    until = std::max(until, it->second);
  return until == Micros::min() || (until != Micros::max() && until + kMends < since);
}

}  // namespace flintweir::lab
