// A node as one of the voters for leases: its voter on the fleet's address, and its log lines.
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
  // Throws std::runtime_error where its folder is not to be used. `told`: where this node is reached.
  // `start`: the wall clock at the start, in microseconds.
  LeaseVoter(net::Network& network, const setup::LeasesSection& leases, std::string name, const Address& told,
             std::uint64_t start);
  void received(std::string_view bytes);

 private:
  void on_request(const leases::Sender& from, const leases::Request& request) override;
  void show(const leases::Sender& to, std::string_view after);
  void answer(const Address& to, const leases::Reply& reply);

  net::Network& network_;
  std::string name_;
  Address told_;
  std::uint64_t set_;
  DiskDirectory disk_;
  std::optional<PromiseStore> folder_;
  leases::Voter voter_;
  std::map<std::string, Address, std::less<>> places_;  // of those who stand in line
  Micros complained_at_;
};

}  // namespace flintweir::node
