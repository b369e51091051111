#include "lab/fleet/virtual_harness.h"

#include <cstdio>

#include "numbers.h"
#include "setup/config_change.h"

namespace flintweir::lab {

using namespace std::chrono_literals;

namespace {

// Checks a change as a node would that has the listener `chat` and, if its number is even, `even`. Returns
// the first error, or an empty text if the change is valid.
std::string check_change(const changes::Change& change, unsigned node) {
  std::vector<std::string> errors, names{"chat"};
  if (node % 2 == 0) names.emplace_back("even");
  setup::RuntimeSettings settings;
  settings.listeners.assign(names.size(), Listener{500ms, 2s, Effect::repeatable, DedupScope::all, 1s, 1});
  settings.dials = DialLimits{4, 0us};
  settings.prices = Prices{0, 0.0};
  const auto parsed = setup::ConfigChange::parse(change.text, "change", errors);
  if (errors.empty()) setup::apply_change(settings, names, parsed, errors);
  return errors.empty() ? "" : errors.front();
}

}  // namespace

VirtualHarness::VirtualHarness(unsigned nodes, Micros probe_interval, Micros forget_after, std::uint64_t seed,
                               std::string* log, std::optional<BaselineProtocol> baseline)
    : node_count_(nodes),
      probe_interval_(probe_interval),
      forget_after_(forget_after),
      seed_(seed),
      log_(log),
      baseline_(baseline),
      event_queue_(kStartTime),
      network_(event_queue_, LinkModel(), seed),
      links_(std::size_t{nodes} * nodes) {
  for (unsigned i = 0; i < nodes * kAddressesPerNode; ++i) network_.add_machine(ZoneId{0});
  observer_machine_ = network_.add_machine(ZoneId{0});
  observer_ = std::make_unique<Process>(network_, observer_machine_, 64);
  network_.set_datagram_faults(
      [this](MachineId from, MachineId to, std::size_t bytes) -> const DatagramFaults* {
        if (from == observer_machine_ || to == observer_machine_) return nullptr;
        if (on_sent) on_sent({from.value % node_count_, from.value / node_count_}, bytes);
        return &links_[from.value % node_count_ * node_count_ + to.value % node_count_];
      });
  net::set_log_sink(this);
}

VirtualHarness::~VirtualHarness() {
  processes_.clear();
  net::set_log_sink(nullptr);
}

void VirtualHarness::write_line(const char* text) {
  const std::uint32_t machine =
      direct_call_ ? this->machine(*direct_call_).value : network_.last_active_machine().value;
  if (const auto it = processes_.find({machine % node_count_, machine / node_count_}); it != processes_.end())
    it->second.log.emplace_back(text);
  if (!log_) return;
  char prefix[48];
  std::snprintf(prefix, sizeof prefix, "%10.6f n%u ", seconds(now() - kStartTime), machine % node_count_);
  log_->append(prefix).append(text).append("\n");
}

void VirtualHarness::read_logs(const std::function<void(NodeEndpoint, std::string_view)>& on_line) {
  for (const auto& [at, node] : processes_)
    for (const std::string& text : node.log) on_line(at, text);
}

Address VirtualHarness::listen_address(NodeEndpoint at) const {
  return VirtualNetwork::address(machine(at), kPort);
}

setup::FleetSection VirtualHarness::section(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) const {
  setup::FleetSection out{"lab",         "",  listen_address(at), listen_address(at), {}, probe_interval_,
                          forget_after_, 4096};
  for (const NodeEndpoint& seed : seeds) out.seeds.push_back(listen_address(seed));
  return out;
}

void VirtualHarness::start_process(NodeEndpoint at) {
  processes_.erase(at);
  NodeProcess& node = processes_[at];
  node.process = std::make_unique<Process>(network_, machine(at), 64);
  if (const auto back = clock_lags_.find(at); back != clock_lags_.end())
    node.process->set_clock_lag(back->second);
  if (const auto rate = clock_rates_.find(at); rate != clock_rates_.end())
    node.process->set_clock_rate(rate->second);
  node.timers = std::make_unique<net::TimerQueue>(*node.process);
}

void VirtualHarness::start(NodeEndpoint at, const std::string& name, const std::vector<NodeEndpoint>& seeds) {
  start_process(at);
  NodeProcess& node = processes_[at];
  node.start = ++start_count_;
  if (baseline_) {
    node.baseline = std::make_unique<BaselineMembership>(*node.process, *node.timers, *baseline_,
                                                         listen_address(at), name, section(at, seeds).seeds,
                                                         probe_interval_, mix(seed_ * 4096 + start_count_));
    return node.baseline->start();
  }
  node.member = std::make_unique<node::FleetMember>(*node.process, *node.timers, section(at, seeds), name,
                                                    "lab", mix(seed_ * 4096 + start_count_), [](unsigned) {});
  if (leases_) node.member->enable_voting(*leases_);
  if (changes_enabled_)
    node.member->enable_changes({}, [at](const changes::Change& c) { return check_change(c, at.node); });
  direct_call_ = at;
  node.member->start();
  direct_call_.reset();
}

// As Node::leave does: announces the departure at once, and ends some seconds later.
void VirtualHarness::leave(NodeEndpoint at) {
  const auto it = processes_.find(at);
  if (it == processes_.end()) return;
  direct_call_ = at;
  if (it->second.member) it->second.member->leave();
  direct_call_.reset();
  event_queue_.schedule_after(2200ms, [this, at, start = it->second.start] {
    if (const auto now = processes_.find(at); now != processes_.end() && now->second.start == start) kill(at);
  });
}

void VirtualHarness::freeze(NodeEndpoint at, bool frozen) {
  if (const auto it = processes_.find(at); it != processes_.end()) it->second.process->freeze(frozen);
}

void VirtualHarness::reload(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) {
  direct_call_ = at;
  if (const auto it = processes_.find(at); it != processes_.end() && it->second.member)
    it->second.member->reload(section(at, seeds));
  direct_call_.reset();
}

}  // namespace flintweir::lab
