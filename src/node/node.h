// One node: its parts put together, the door for clients, and the way out.
#pragma once

#include <functional>

#include "line/sessions.h"
#include "node/discovery.h"
#include "node/node_file.h"
#include "setup/deployment.h"

namespace flintweir::node {

using namespace net;
using namespace line;

using MakeBalancer = std::function<std::unique_ptr<Balancer>(const setup::Values& settings, Outlet& outlet,
                                                             std::uint64_t seed)>;

class Node final : Sessions::Told, Discovery::Told, Woken, DoorEvents {
 public:
  // Reads all of the file and makes the parts, but serves nobody. Throws setup::BadInput.
  Node(Network& network, const NodeFile& file, MakeBalancer make = setup::balancer_for);
  // From now on takes clients, on the network's loop. Throws std::system_error where it can't listen.
  void serve();
  // Takes the new address of discovery; all else holds until the next start. What `read` throws, and a file
  // that could not be started with, changes nothing.
  void reload(const std::function<NodeFile()>& read);
  // Moves all clients, answers those that still come, then stops the network.
  void leave();

 private:
  enum Due : std::uint64_t { accept_again, left };
  void watch_list() override { discovery_.watch(); }
  Balancer& balancer_now() override { return sessions_.balancer_now(); }
  void woken(std::uint64_t due) override;
  void knocked() override { accept(); }
  void accept();

  Network& network_;
  Address listen_;
  Sockets sockets_;
  Wakes wakes_{network_};
  Hosts hosts_;
  Micros longest_dial_;
  Sessions sessions_;
  Discovery discovery_;
};

}  // namespace flintweir::node
