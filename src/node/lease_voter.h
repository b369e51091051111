// Runs a lease voter on a node: handles the requests that arrive at the node's fleet address, sends the
// replies and stores the voter's promises.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "leases/datagram.h"
#include "leases/voter.h"
#include "net/network.h"
#include "node/promise_store.h"
#include "setup/operator.h"

namespace flintweir::node {

class LeaseVoter final : leases::DatagramHandler {
 public:
  // `advertised` is the address at which other machines reach this node, `start_time` the wall clock at the
  // start in microseconds. Throws std::runtime_error if the folder of `leases` cannot be used.
  LeaseVoter(net::Network& network, const setup::LeasesSection& leases, std::string name,
             const Address& advertised, std::uint64_t start_time);
  void on_datagram(std::string_view bytes);

 private:
  void on_request(const leases::Sender& from, const leases::Request& request) override;
  void send_status_page(const leases::Sender& to, std::string_view after);
  void send_reply(const Address& to, const leases::Reply& reply);

  net::Network& network_;
  std::string name_;
  Address advertised_;
  std::uint64_t voter_set_;
  DiskDirectory directory_;
  std::optional<PromiseStore> store_;  // unset if no folder is configured
  leases::Voter voter_;
  std::map<std::string, Address, std::less<>> waiter_addresses_;  // by the name of the waiting participant
  Micros mismatch_logged_at_;
};

}  // namespace flintweir::node
