// One node: its parts put together, the acceptor for clients, and the graceful shutdown.
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
    const setup::JsonObject& settings, BalancerDelegate& outlet, std::uint64_t seed)>;

class Node final : Sessions::Events, Discovery::Events, TimerEvents, AcceptEvents {
 public:
  // Reads all of the file and makes the parts, but serves nobody. Throws setup::InvalidInput.
  Node(Network& network, const NodeConfig& file, BalancerFactory make = setup::create_balancer);
  // Will speak to the other nodes of the fleet from serve() on. Throws setup::InvalidInput.
  void join_fleet(const setup::OperatorFile& own, std::string name, std::string version, std::uint64_t seed);
  // From now on takes clients, on the network's loop. Throws std::system_error where it can't listen.
  void serve();
  // Takes the new address of discovery and the fleet's new seeds; all else holds until the next start. What
  // `read` throws, and files that could not be started with, change nothing.
  using Files = std::pair<std::unique_ptr<NodeConfig>, setup::OperatorFile>;
  void reload(const std::function<Files()>& read);
  // Moves all clients, answers those that still come, then stops the network.
  void shut_down();

 private:
  enum Due : std::uint64_t { accept_again, take_clients, left };
  void watch_host_list() override { discovery_.watch(); }
  Balancer& balancer_now() override { return sessions_.balancer_now(); }
  void timer_expired(std::uint64_t due) override;
  void connection_pending() override { accept(); }
  void first_request_done() override { open(); }
  // A change whole, or nothing of it and why not.
  std::string take(const changes::Change& change);
  void follow(const Address& at);
  void open();    // from now on clients are taken
  bool accept();  // false: nobody waits any more

  Network& network_;
  Address listen_;
  Sockets sockets_;
  TimerQueue timers_{network_};
  HostTable hosts_;
  Micros longest_dial_;
  bool pushed_, open_ = false, leaving_ = false;  // pushed: an agent at this node has the list
  Sessions sessions_;
  Discovery discovery_;
  std::unique_ptr<FleetMember> peers_;
  std::optional<setup::LeasesSection> leases_;  // none without the operator's word
  std::optional<setup::ChangesSection> changes_;
  // As the file has it at the start; changes are laid over that.
  setup::RuntimeSettings own_;
  std::vector<std::string> listener_names_;
  Address own_discovery_, discovery_at_;
  std::optional<Address> changed_discovery_;
};

}  // namespace flintweir::node
