#include "node/node.h"

#include <algorithm>

#include "net/log.h"
#include "net/null_network.h"
#include "printable_token.h"
#include "setup/deployment.h"

namespace flintweir::node {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kOwnDescriptors = 16;  // standard streams, the event queue, the acceptor
constexpr std::size_t kIdleShare = 8;  // that part of the descriptors is for clients that ask for nothing
constexpr Micros kFirstLine = 2s;      // a client that says nothing hears of it within 3 s
constexpr Micros kFirstWord = 1s;      // for an agent at this node to give its list, before clients are taken
// Until a node that was told to end may be killed: so long after the longest dial timeout. It ends a little
// before.
constexpr Micros kKilled = 700ms, kEndsBefore = 200ms;
// The protocol holds a node to the list it has for so many times the settings' time for asking where its
// calls fail.
constexpr int kOutageIntervals = 4;
constexpr Micros kShortestOutage = 10s;
constexpr int kAcceptsInARow = 8;  // so that those taken get their hosts before the next take the descriptors

std::vector<Micros> listener_times(const setup::JsonObject& settings, std::string_view key) {
  std::vector<Micros> times;
  for (const auto e : settings.array("listeners"))
    times.push_back(setup::JsonObject(e, "a listener").time(key));
  if (times.empty()) setup::throw_invalid_input("settings.listeners is empty");
  return times;
}

Micros longest(const std::vector<Micros>& times) { return *std::max_element(times.begin(), times.end()); }

// What messages may take, where delays are the module's to know.
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
          std::min(longest(listener_times(settings, "dialTimeout")), kFirstLine), target / 2,
          setup::read_max_retry_after(settings)};
}

bool pushed(const setup::JsonObject& settings) { return settings.text("discovery", "") == "pushed"; }

// Whatever an agent has counts as told, watch or no watch: it is asked again well within the grace of a
// drain.
std::optional<Micros> agent_again(const setup::JsonObject& settings) {
  if (!pushed(settings)) return std::nullopt;
  return std::clamp<Micros>(setup::JsonObject(settings, "rules").time("drainGrace") / 4, 10ms, 1s);
}

// For how long calls for the list have to fail until they are taken for an outage.
Micros outage_threshold(const setup::JsonObject& settings) {
  return std::max<Micros>(kOutageIntervals * setup::JsonObject(settings, "rules").time("askEvery"),
                          kShortestOutage);
}

std::size_t socket_limit(const NodeConfig& file) {
  if (file.sockets() < 4 * kOwnDescriptors) {
    setup::throw_invalid_input("configuration: limits.sockets is under " +
                               std::to_string(4 * kOwnDescriptors));
  }
  return file.sockets() - kOwnDescriptors;
}

// Half of the memory for sessions; each takes its place in the table and what the kernel keeps for two
// sockets.
std::size_t most_sessions(const NodeConfig& file) {
  constexpr std::size_t kEach = sizeof(ProxySession) + (64u << 10);
  return std::max<std::size_t>((file.memory_mb() << 20) / 2 / kEach, 1);
}

}  // namespace

Node::Node(Network& network, const NodeConfig& file, BalancerFactory make)
    : network_(network),
      listen_(file.listen()),
      sockets_(network, socket_limit(file)),
      longest_dial_(longest(listener_times(file.settings(), "dialTimeout"))),
      pushed_(pushed(file.settings())),
      sessions_(sockets_, timers_, hosts_, timeouts(file.settings()), message_target(file.settings()),
                open_line_parser(file.settings()), most_sessions(file), socket_limit(file) / kIdleShare,
                *this),
      discovery_(sockets_, timers_, file.discovery(), setup::read_names(file.settings(), "failureDomains"),
                 hosts_, agent_again(file.settings()), outage_threshold(file.settings()), file.seed(), *this),
      own_(setup::read_runtime_settings(file.settings())),
      listener_names_(setup::read_names(file.settings(), "listeners")),
      own_discovery_(file.discovery()),
      discovery_at_(own_discovery_) {
  sessions_.set_balancer(make(file.settings(), sessions_, file.seed()));
  if (const auto known = file.known(); known && !discovery_.take(*known)) {
    setup::throw_invalid_input("configuration: known is not a list of hosts");
  }
  sessions_.balancer_now();
}

void Node::join_fleet(const setup::OperatorFile& own, std::string name, std::string version,
                      std::uint64_t seed) {
  if (name.empty())
    setup::throw_invalid_input("configuration: name is missing, which the operator's [fleet] needs");
  if (name.size() > members::kMaxNameBytes || !is_printable_token(name))
    setup::throw_invalid_input(
        "configuration: name '" + name +
        "' is over 64 characters or not all printable ASCII without blanks and quotes");
  peers_ = std::make_unique<FleetMember>(network_, timers_, *own.fleet, name, std::move(version), seed,
                                         [this](unsigned nodes) { balancer_now().set_node_count(nodes); });
  leases_ = own.leases;
  if (leases_) peers_->enable_voting(*leases_);
  changes_ = own.changes;
  if (changes_) peers_->enable_changes(*changes_, [this](const changes::Change& c) { return take(c); });
}

std::string Node::take(const changes::Change& change) {
  std::vector<std::string> wrong;
  const auto text = setup::ConfigChange::parse(change.text, "change", wrong);
  setup::RuntimeSettings running = setup::apply_change(own_, listener_names_, text, wrong);
  if (!wrong.empty()) return wrong.front();
  sessions_.balancer_now().update_settings(std::move(running.listeners), running.dials.max_dials,
                                           running.prices);
  changed_discovery_ = text.discovery;
  follow(changed_discovery_.value_or(own_discovery_));
  return {};
}

// A change that names another service goes before the file.
void Node::follow(const Address& at) {
  if (at == std::exchange(discovery_at_, at)) return;
  log_line("discovery at %s from now on", to_text(at).c_str());
  discovery_.switch_to(at);
}

void Node::serve() {
  const Address at = network_.listen(listen_);
  if (peers_) peers_->start();
  log_line("serving at %s", to_text(at).c_str());
  discovery_.begin();
  if (!pushed_) return open();
  // What the agent has counts as told from the first moment on: clients wait until it is known.
  discovery_.watch(true);
  timers_.schedule(kFirstWord, *this, take_clients);
}

void Node::open() {
  if (!std::exchange(open_, true)) network_.wait_accept(*this);
}

void Node::reload(const std::function<Files()>& read) {
  try {
    const auto [file, own] = read();
    NullNetwork null_network;
    const Node as_at_a_start(null_network, *file);
    const Address at = file->discovery_of_file();
    own_discovery_ = at;
    if (changed_discovery_)
      log_line("reload: discovery stays at %s, as a change says", to_text(discovery_at_).c_str());
    else {
      log_line("reload: discovery at %s", to_text(at).c_str());
      discovery_at_ = at;
      discovery_.switch_to(at);
    }
    if (own.fleet.has_value() != (peers_ != nullptr))
      log_line("reload: fleet: holds until the next start");
    else if (peers_)
      peers_->reload(*own.fleet);
    if (own.changes != changes_) log_line("reload: changes: holds until the next start");
    if (own.leases != leases_) log_line("reload: leases: holds until the next start");
  } catch (const std::exception& e) {
    log_line("reload: %s; nothing is changed", e.what());
  }
}

bool Node::accept() {
  for (int i = 0; i < kAcceptsInARow; ++i) {
    const bool room = sockets_.has_room(1) || sessions_.evict_idle_client();
    const AcceptResult next =
        room ? network_.accept() : AcceptResult{{}, IoStatus::failed, "too many open sockets"};
    if (next.status == IoStatus::would_block) return network_.wait_accept(*this), false;
    if (next.status == IoStatus::closed) continue;
    if (next.status == IoStatus::failed) {
      // Those that wait are taken as soon as others have gone.
      log_line("accept: %s", next.error);
      return timers_.schedule(10ms, *this, accept_again), false;
    }
    sessions_.add_client(next.socket);
  }
  network_.wait_accept(*this);
  return true;
}

void Node::timer_expired(std::uint64_t due) {
  if (due == take_clients) return open();
  if (due == accept_again) return void(accept());
  // Guards against clients left without an answer that connection_waits while this node had no time for them.
  while (accept()) continue;
  log_line("left clients_gone=%llu dials_not_begun=%llu",
           static_cast<unsigned long long>(sessions_.clients_gone()),
           static_cast<unsigned long long>(sessions_.dials_not_begun()));
  network_.stop();
}

// They are moved over half the longest dial timeout; those that still come are answered until the end.
void Node::shut_down() {
  if (std::exchange(leaving_, true)) return;
  open();
  log_line("leaving: moving all sessions");
  if (peers_) peers_->leave();
  sessions_.shut_down(longest_dial_ / 2);
  timers_.schedule(longest_dial_ + kKilled - kEndsBefore, *this, left);
}

}  // namespace flintweir::node
