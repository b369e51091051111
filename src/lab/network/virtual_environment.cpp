#include "lab/network/virtual_environment.h"

#include <algorithm>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t kMembershipPort = 7946;
constexpr Micros kStart{1'700'000'000'000'000};  // an arbitrary Unix time far from zero
// Time after the end of a network fault until lost data has been retransmitted and has had its effect.
constexpr Micros kRecoveryTime = 2500ms;

}  // namespace

VirtualEnvironment::VirtualEnvironment(LinkModel link_model, std::uint64_t seed, std::size_t descriptors,
                                       node::BalancerFactory balancer_factory, std::string* node_log)
    : link_model_(link_model),
      event_queue_(kStart),
      network_(event_queue_, link_model, seed),
      descriptors_(descriptors),
      balancer_factory_(std::move(balancer_factory)),
      node_log_(node_log) {
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
  if (node_log_) *node_log_ += std::to_string((now() - kStart).count()) + ' ' + text + '\n';
}

MachineId VirtualEnvironment::add_machine(ZoneId zone) {
  zones_.push_back(zone);
  disconnected_until_.push_back(Micros::min());
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
  RunningNode& n = nodes_[node.value];
  n.process = std::make_unique<Process>(network_, machine, descriptors_);
  n.node = std::make_unique<node::Node>(*n.process, *node::NodeConfig::from_text(config), balancer_factory_);
  if (!seeds.empty()) {
    const auto member_address = [](MachineId m) { return VirtualNetwork::address(m, kMembershipPort); };
    setup::OperatorFile operator_file;
    setup::FleetSection& fleet = operator_file.fleet.emplace(setup::FleetSection{
        "lab", "", member_address(machine), member_address(machine), {}, 300ms, 1h, 4096});
    for (const MachineId s : seeds) fleet.seeds.push_back(member_address(s));
    n.node->join_fleet(operator_file, "n" + std::to_string(node.value), "lab",
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
  disconnected_until_[machine.value] = Micros::max();
  network_.disconnect(machine);
}

void VirtualEnvironment::reconnect(MachineId machine) {
  disconnected_until_[machine.value] = now();
  network_.reconnect(machine);
}

void VirtualEnvironment::block(ZoneId from, ZoneId to) {
  blocked_until_[{from.value, to.value}] = Micros::max();
  network_.block(from, to);
}

void VirtualEnvironment::unblock(ZoneId from, ZoneId to) {
  blocked_until_[{from.value, to.value}] = now();
  network_.unblock(from, to);
}

void VirtualEnvironment::degrade(MachineId a, MachineId b, Micros extra_delay, double loss) {
  degraded_until_[std::minmax(a.value, b.value)] = Micros::max();
  network_.degrade(a, b, extra_delay, loss);
}

void VirtualEnvironment::clear_degradation(MachineId a, MachineId b) {
  degraded_until_[std::minmax(a.value, b.value)] = now();
  network_.clear_degradation(a, b);
}

Micros VirtualEnvironment::max_delay(MachineId a, MachineId b) const {
  const double most = static_cast<double>(network_.latency(a, b).count()) * (1 + link_model_.jitter);
  return Micros{static_cast<std::int64_t>(most) + 1};
}

bool VirtualEnvironment::healthy_since(MachineId a, MachineId b, Micros since) const {
  if (a == b) return true;
  Micros until = std::max(disconnected_until_[a.value], disconnected_until_[b.value]);
  const std::uint32_t x = zones_[a.value].value, y = zones_[b.value].value;
  for (const auto& direction : {std::pair(x, y), {y, x}}) {
    if (const auto it = blocked_until_.find(direction); it != blocked_until_.end())
      until = std::max(until, it->second);
  }
  if (const auto it = degraded_until_.find(std::minmax(a.value, b.value)); it != degraded_until_.end())
    until = std::max(until, it->second);
  return until == Micros::min() || (until != Micros::max() && until + kRecoveryTime < since);
}

}  // namespace flintweir::lab
