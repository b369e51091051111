// A node: creates and connects its components, accepts clients, applies configuration changes and shuts down
// gracefully.
#pragma once

#include <functional>

#include "line/sessions.h"
#include "node/discovery.h"
#include "node/fleet_member.h"
#include "node/node_config.h"
#include "setup/config_change.h"
#include "setup/deployment.h"

namespace flintweir::node {

using namespace net;
using namespace line;

using BalancerFactory = std::function<std::unique_ptr<Balancer>(
    const setup::JsonObject& settings, BalancerDelegate& delegate, std::uint64_t seed)>;

class Node final : Sessions::Events, Discovery::Events, TimerEvents, AcceptEvents {
 public:
  // Reads the whole configuration and creates the components, but opens no socket. `config` need not outlive
  // the constructor. Throws setup::InvalidInput.
  Node(Network& network, const NodeConfig& config, BalancerFactory make = setup::create_balancer);
  // Makes the node a member of the fleet from serve() on. Throws setup::InvalidInput.
  void join_fleet(const setup::OperatorFile& operator_file, std::string name, std::string version,
                  std::uint64_t seed);
  // Accepts clients from now on, in the network's event loop. Throws std::system_error if the address cannot
  // be listened on.
  void serve();
  using ConfigFiles = std::pair<std::unique_ptr<NodeConfig>, setup::OperatorFile>;
  // Applies a new discovery address and new seeds of the fleet; all other changes take effect at the next
  // start. If `read` throws, or a node could not start with these files, nothing changes.
  void reload(const std::function<ConfigFiles()>& read);
  // Moves all sessions, answers clients that still connect, then stops the network.
  void shut_down();

 private:
  enum Timer : std::uint64_t { retry_accept, readiness_timeout, shutdown_over };
  void watch_host_list() override { discovery_.poll(); }
  Balancer& balancer_now() override { return sessions_.balancer_now(); }
  void timer_expired(std::uint64_t timer) override;
  void connection_pending() override { accept_clients(); }
  void list_received() override { sessions_.become_ready(); }
  // Applies the whole change and returns an empty text, or applies nothing and returns the reason.
  std::string apply_change(const changes::Change& change);
  void use_discovery(const Address& service);
  // Accepts a batch of pending connections. Returns false if none is left or accepting failed.
  bool accept_clients();

  Network& network_;
  Address listen_address_;
  Sockets sockets_;
  TimerQueue timers_{network_};
  HostTable hosts_;
  Micros max_dial_timeout_;
  bool list_is_pushed_;  // to an agent on this machine, which this node polls
  bool shutting_down_ = false;
  Sessions sessions_;
  Discovery discovery_;
  std::unique_ptr<FleetMember> fleet_member_;  // null unless the operator's file has a fleet
  std::optional<setup::LeasesSection> leases_;
  std::optional<setup::ChangesSection> changes_;
  setup::RuntimeSettings base_settings_;  // of the file at the start; each change is applied on top of these
  std::vector<std::string> listener_names_;
  Address configured_discovery_, current_discovery_;
  std::optional<Address> discovery_from_change_;
};

}  // namespace flintweir::node
