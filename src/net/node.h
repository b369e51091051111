// One node: its parts put together, the door for clients, and the way out.
#pragma once

#include <asio/signal_set.hpp>

#include "net/discovery.h"
#include "net/node_file.h"
#include "net/sessions.h"

namespace flintweir::net {

class Node final : Sessions::Told, Discovery::Told, Woken {
 public:
  explicit Node(const NodeFile& file) : Node(file, true) {}       // throws setup::BadInput, std::system_error
  void run();                                                     // until it is told to leave and has left
  static void check(const NodeFile& file) { Node(file, false); }  // all but listening

 private:
  Node(const NodeFile& file, bool listening);
  enum Due : std::uint64_t { accept_again, left };
  void watch_list() override { discovery_.watch(); }
  Balancer& balancer_now() override { return sessions_.balancer_now(); }
  void host_gone(HostId host) override { sessions_.host_gone(host); }
  void woken(std::uint64_t due) override;
  void wait_for_clients();
  void accept();
  void wait_for_signals();
  void reload();
  void leave();

  std::string path_;  // of the configuration
  Sockets sockets_;
  Wakes wakes_{sockets_.io()};
  Hosts hosts_;
  Micros longest_dial_;
  Sessions sessions_;
  Discovery discovery_;
  Tcp::acceptor door_{sockets_.io()};
  asio::signal_set signals_{sockets_.io()};
};

}  // namespace flintweir::net
