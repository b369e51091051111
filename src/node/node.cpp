#include "node/node.h"

#include <algorithm>

#include "net/log.h"
#include "net/null_network.h"
#include "printable_token.h"
#include "setup/deployment.h"

namespace flintweir::node {
namespace {

using namespace std::chrono_literals;

// For the standard streams, the event queue and the listening socket.
constexpr std::size_t kReservedDescriptors = 16;
// Clients that have sent no request, or have been answered, may use one part in this many of the descriptors,
// and of the sessions that fit into the memory.
constexpr std::size_t kIdleClientDivisor = 8;
constexpr std::size_t kMinIdleClients = 8;
// Sessions may use one part in this many of the memory. Each needs its entry in the table and the kernel's
// memory for two sockets.
constexpr std::size_t kSessionMemoryDivisor = 2;
constexpr std::size_t kBytesPerSession = sizeof(line::ProxySession) + (64u << 10);
// Likewise for the ids of sessions that have ended.
constexpr std::size_t kRetiredIdMemoryDivisor = 64, kBytesPerRetiredId = 64;
constexpr std::size_t kMinRetiredIds = 4096;
// A client that sends nothing has to get an answer within 3 s.
constexpr Micros kFirstLineTimeout = 2s;
// How long health checks wait for the first list of a local agent. A node that is not ready within seconds of
// its start counts as failed.
constexpr Micros kReadinessTimeout = 1s;
// After SIGTERM the process may be killed this long after the longest dial timeout. It exits the margin
// earlier.
constexpr Micros kKillDelay = 700ms, kShutdownMargin = 200ms;
// By the protocol, a node whose requests fail stays bound by the list it has for this many poll intervals.
constexpr int kOutageIntervals = 4;
constexpr Micros kMinOutageThreshold = 10s;
// Small, so that accepted clients get connections to hosts before more clients use up the descriptors.
constexpr int kAcceptBatch = 8;

std::vector<Micros> listener_times(const setup::JsonObject& settings, std::string_view key) {
  std::vector<Micros> times;
  for (const auto e : settings.array("listeners"))
    times.push_back(setup::JsonObject(e, "a listener").time(key));
  if (times.empty()) setup::throw_invalid_input("settings.listeners is empty");
  return times;
}

Micros max_of(const std::vector<Micros>& times) { return *std::max_element(times.begin(), times.end()); }

// How long a message may take; zero unless the balancer may use message delays.
Micros message_target(const setup::JsonObject& settings) {
  if (!settings.has("familyInfo")) return 0us;
  if (!setup::JsonObject(settings, "familyInfo").flag("tellsDelay")) return 0us;
  return shortest_message_target(setup::read_listeners(settings));
}

OpenLineParser open_line_parser(const setup::JsonObject& settings) {
  const bool groups = settings.has("familyInfo") && setup::JsonObject(settings, "familyInfo").flag("groups");
  return {setup::read_names(settings, "listeners"), listener_times(settings, "dialTimeout"), groups};
}

Timeouts timeouts(const setup::JsonObject& settings) {
  const std::vector<Micros> targets = listener_times(settings, "handshakeTarget");
  const Micros target = *std::min_element(targets.begin(), targets.end());
  return {setup::JsonObject(settings, "ceilings").time("connectTimeout", target / 4),
          std::min(max_of(listener_times(settings, "dialTimeout")), kFirstLineTimeout), target / 2,
          setup::read_max_retry_after(settings)};
}

bool list_is_pushed(const setup::JsonObject& settings) { return settings.text("discovery", "") == "pushed"; }

// All changes that a local agent holds bind this node, whether it has received them or not. So it polls the
// agent again well within the grace period of a drain.
std::optional<Micros> agent_retry_delay(const setup::JsonObject& settings) {
  if (!list_is_pushed(settings)) return std::nullopt;
  return std::clamp<Micros>(setup::JsonObject(settings, "rules").time("drainGrace") / 4, 10ms, 1s);
}

// How long requests for the list have to fail until an outage is assumed.
Micros outage_threshold(const setup::JsonObject& settings) {
  return std::max<Micros>(kOutageIntervals * setup::JsonObject(settings, "rules").time("askEvery"),
                          kMinOutageThreshold);
}

std::size_t socket_limit(const NodeConfig& config) {
  if (config.max_sockets() < 4 * kReservedDescriptors) {
    setup::throw_invalid_input("configuration: limits.sockets is less than " +
                               std::to_string(4 * kReservedDescriptors));
  }
  return config.max_sockets() - kReservedDescriptors;
}

line::SessionLimits session_limits(const NodeConfig& config) {
  const std::size_t memory = config.memory_mb() << 20;
  line::SessionLimits limits;
  limits.connections = std::max<std::size_t>(memory / kSessionMemoryDivisor / kBytesPerSession, 1);
  limits.idle_clients =
      std::max(std::min(socket_limit(config), limits.connections) / kIdleClientDivisor, kMinIdleClients);
  limits.retired_ids = std::max(memory / kRetiredIdMemoryDivisor / kBytesPerRetiredId, kMinRetiredIds);
  return limits;
}

}  // namespace

Node::Node(Network& network, const NodeConfig& config, BalancerFactory make)
    : network_(network),
      listen_address_(config.listen_address()),
      sockets_(network, socket_limit(config)),
      max_dial_timeout_(max_of(listener_times(config.settings(), "dialTimeout"))),
      list_is_pushed_(list_is_pushed(config.settings())),
      sessions_(sockets_, timers_, hosts_, timeouts(config.settings()), message_target(config.settings()),
                open_line_parser(config.settings()), session_limits(config), *this),
      discovery_(sockets_, timers_, config.discovery_address(),
                 setup::read_names(config.settings(), "failureDomains"), hosts_,
                 agent_retry_delay(config.settings()), outage_threshold(config.settings()), config.seed(),
                 *this),
      base_settings_(setup::read_runtime_settings(config.settings())),
      listener_names_(setup::read_names(config.settings(), "listeners")),
      configured_discovery_(config.discovery_address()),
      current_discovery_(configured_discovery_) {
  sessions_.set_balancer(make(config.settings(), sessions_, config.seed()));
  if (const auto list = config.known_list(); list && !discovery_.apply_list(*list)) {
    setup::throw_invalid_input("configuration: known is not a valid host list");
  }
  sessions_.balancer_now();
}

void Node::join_fleet(const setup::OperatorFile& operator_file, std::string name, std::string version,
                      std::uint64_t seed) {
  if (name.empty())
    setup::throw_invalid_input(
        "configuration: name is missing; section [fleet] of the operator's file requires it");
  if (name.size() > members::kMaxNameBytes || !is_printable_token(name))
    setup::throw_invalid_input(
        "configuration: name '" + name +
        "' has to be at most 64 printable ASCII characters without spaces, quotes and backslashes");
  fleet_member_ =
      std::make_unique<FleetMember>(network_, timers_, *operator_file.fleet, name, std::move(version), seed,
                                    [this](unsigned nodes) { balancer_now().set_node_count(nodes); });
  leases_ = operator_file.leases;
  if (leases_) fleet_member_->enable_voting(*leases_);
  changes_ = operator_file.changes;
  if (changes_)
    fleet_member_->enable_changes(*changes_, [this](const changes::Change& c) { return apply_change(c); });
}

std::string Node::apply_change(const changes::Change& change) {
  std::vector<std::string> errors;
  const auto parsed = setup::ConfigChange::parse(change.text, "change", errors);
  setup::RuntimeSettings settings = setup::apply_change(base_settings_, listener_names_, parsed, errors);
  if (!errors.empty()) return errors.front();
  sessions_.balancer_now().update_settings(std::move(settings.listeners), settings.dials.max_dials,
                                           settings.prices);
  discovery_from_change_ = parsed.discovery;
  use_discovery(discovery_from_change_.value_or(configured_discovery_));
  return {};
}

// The discovery address in a change takes precedence over that in the file.
void Node::use_discovery(const Address& service) {
  if (service == std::exchange(current_discovery_, service)) return;
  log_line("discovery: switched to %s", to_text(service).c_str());
  discovery_.switch_service(service);
}

void Node::serve() {
  const Address at = network_.listen(listen_address_);
  if (fleet_member_) fleet_member_->start();
  log_line("serving at %s", to_text(at).c_str());
  discovery_.start();
  network_.wait_accept(*this);
  if (!list_is_pushed_) return sessions_.become_ready();
  // The list that the agent holds binds this node from the start: it is not ready before it has that list.
  // Clients that come all the same have to be answered in time, and sessions wait for the list as they do
  // for a host.
  discovery_.poll(true);
  timers_.schedule(kReadinessTimeout, *this, readiness_timeout);
}

void Node::reload(const std::function<ConfigFiles()>& read) {
  try {
    const auto [config, operator_file] = read();
    NullNetwork null_network;
    const Node validates_config(null_network, *config);
    const Address service = config->discovery_address_in_file();
    configured_discovery_ = service;
    if (discovery_from_change_)
      log_line("reload: discovery remains at %s, as set by a configuration change",
               to_text(current_discovery_).c_str());
    else {
      log_line("reload: discovery at %s", to_text(service).c_str());
      current_discovery_ = service;
      discovery_.switch_service(service);
    }
    if (operator_file.fleet.has_value() != (fleet_member_ != nullptr))
      log_line("reload: fleet: the new section takes effect at the next start");
    else if (fleet_member_)
      fleet_member_->reload(*operator_file.fleet);
    if (operator_file.changes != changes_)
      log_line("reload: changes: the new section takes effect at the next start");
    if (operator_file.leases != leases_)
      log_line("reload: leases: the new section takes effect at the next start");
  } catch (const std::exception& e) {
    log_line("reload: %s; nothing is changed", e.what());
  }
}

bool Node::accept_clients() {
  for (int i = 0; i < kAcceptBatch; ++i) {
    const bool has_descriptor = sockets_.has_room(1) || sessions_.evict_idle_client();
    const AcceptResult next =
        has_descriptor ? network_.accept() : AcceptResult{{}, IoStatus::failed, "too many open sockets"};
    if (next.status == IoStatus::would_block) return network_.wait_accept(*this), false;
    if (next.status == IoStatus::closed) continue;
    if (next.status == IoStatus::failed) {
      // Pending connections are accepted when descriptors are free again.
      log_line("accept: %s", next.error);
      return timers_.schedule(10ms, *this, retry_accept), false;
    }
    sessions_.add_client(next.socket);
  }
  network_.wait_accept(*this);
  return true;
}

void Node::timer_expired(std::uint64_t timer) {
  if (timer == readiness_timeout) return sessions_.become_ready();
  if (timer == retry_accept) return void(accept_clients());
  // Connections that are still pending because the node was busy have to be answered, too.
  while (accept_clients()) continue;
  log_line("left clients_gone=%llu dials_not_begun=%llu peak_timers=%zu",
           static_cast<unsigned long long>(sessions_.clients_gone()),
           static_cast<unsigned long long>(sessions_.dials_not_begun()), timers_.peak_size());
  network_.stop();
}

// Spreads the moves over half of the longest dial timeout; answers new clients until the end.
void Node::shut_down() {
  if (std::exchange(shutting_down_, true)) return;
  log_line("leaving: moving all sessions");
  if (fleet_member_) fleet_member_->leave();
  sessions_.shut_down(max_dial_timeout_ / 2);
  timers_.schedule(max_dial_timeout_ + kKillDelay - kShutdownMargin, *this, shutdown_over);
}

}  // namespace flintweir::node
