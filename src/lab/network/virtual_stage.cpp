#include "lab/network/virtual_stage.h"

#include <algorithm>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr Micros kStart{1'700'000'000'000'000};  // any time far from zero
constexpr Micros kMends = 2500ms;  // until all that was lost has been sent again, and seen to be

}  // namespace

VirtualStage::VirtualStage(Carriage carriage, std::uint64_t seed, std::size_t descriptors,
                           node::BalancerFactory make, std::string* logged)
    : carriage_(carriage),
      timeline_(kStart),
      fabric_(timeline_, carriage, seed),
      descriptors_(descriptors),
      make_(std::move(make)),
      logged_(logged) {
  net::set_log_sink(this);
}

VirtualStage::~VirtualStage() {
  for (auto& [no, n] : nodes_) {
    n.process->kill();
    n.node.reset();
  }
  net::set_log_sink(nullptr);
}

void VirtualStage::write_line(const char* text) {
  if (logged_) *logged_ += std::to_string((now() - kStart).count()) + ' ' + text + '\n';
}

MachineNo VirtualStage::add_machine(ZoneNo zone) {
  zones_.push_back(zone);
  lost_until_.push_back(Micros::min());
  return fabric_.add_machine(zone);
}

net::Network& VirtualStage::begin(MachineNo machine) {
  return *processes_.emplace_back(std::make_unique<Process>(fabric_, machine, std::size_t{1} << 20));
}

void VirtualStage::end(net::Network& process) {
  const auto it =
      std::find_if(processes_.begin(), processes_.end(), [&](const auto& p) { return p.get() == &process; });
  if (it == processes_.end()) return;
  (*it)->kill();
  processes_.erase(it);
}

void VirtualStage::start_node(NodeNo node, MachineNo machine, const std::string& config,
                              const std::vector<MachineNo>& seeds) {
  NodeAt& n = nodes_[node.value];
  n.process = std::make_unique<Process>(fabric_, machine, descriptors_);
  n.node = std::make_unique<node::Node>(*n.process, *node::NodeConfig::from_text(config), make_);
  if (!seeds.empty()) {
    const auto hears = [](MachineNo m) { return Fabric::address(m, 7946); };
    setup::OperatorFile own;
    setup::FleetSection& fleet = own.fleet.emplace(
        setup::FleetSection{"lab", "", hears(machine), hears(machine), {}, 300ms, 1h, 4096});
    for (const MachineNo s : seeds) fleet.seeds.push_back(hears(s));
    n.node->join_fleet(own, "n" + std::to_string(node.value), "lab",
                       machine.value + std::uint64_t(now().count()));
  }
  n.node->serve();
}

void VirtualStage::kill_node(NodeNo node) {
  const auto it = nodes_.find(node.value);
  if (it == nodes_.end()) return;
  it->second.process->kill();
  it->second.node.reset();
  nodes_.erase(it);
}

void VirtualStage::leave_node(NodeNo node) {
  if (running(node)) nodes_[node.value].node->shut_down();
}

void VirtualStage::reload_node(NodeNo node, const std::string& config) {
  if (running(node))
    nodes_[node.value].node->reload(
        [&] { return std::pair(node::NodeConfig::from_text(config), setup::OperatorFile()); });
}

bool VirtualStage::running(NodeNo node) {
  const auto it = nodes_.find(node.value);
  return it != nodes_.end() && it->second.process->running();
}

void VirtualStage::lose(MachineNo machine) {
  lost_until_[machine.value] = Micros::max();
  fabric_.lose(machine);
}

void VirtualStage::restore(MachineNo machine) {
  lost_until_[machine.value] = now();
  fabric_.restore(machine);
}

void VirtualStage::cut(ZoneNo from, ZoneNo to) {
  cut_until_[{from.value, to.value}] = Micros::max();
  fabric_.cut(from, to);
}

void VirtualStage::mend(ZoneNo from, ZoneNo to) {
  cut_until_[{from.value, to.value}] = now();
  fabric_.mend(from, to);
}

void VirtualStage::worsen(MachineNo a, MachineNo b, Micros longer, double lost) {
  bad_until_[std::minmax(a.value, b.value)] = Micros::max();
  fabric_.worsen(a, b, longer, lost);
}

void VirtualStage::ease(MachineNo a, MachineNo b) {
  bad_until_[std::minmax(a.value, b.value)] = now();
  fabric_.ease(a, b);
}

Micros VirtualStage::max_delay(MachineNo a, MachineNo b) const {
  const double most = static_cast<double>(fabric_.latency(a, b).count()) * (1 + carriage_.jitter);
  return Micros{static_cast<std::int64_t>(most) + 1};
}

bool VirtualStage::healthy_since(MachineNo a, MachineNo b, Micros since) const {
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
