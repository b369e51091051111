// A node's part in carrying changes of configuration, where the operator's file asks for it: the carrier on
// the network's datagrams and wakes, its log lines, and its one file.
#pragma once

#include <functional>
#include <string>

#include "changes/carrier.h"
#include "members/view.h"
#include "net/wakes.h"
#include "node/promise_folder.h"
#include "setup/operator.h"

namespace flintweir::node {

class Changing final : changes::Outlet, net::Woken {
 public:
  // `take` takes a change whole, or changes nothing and says why. Throws std::runtime_error where the folder
  // holds what can't be read.
  Changing(net::Network& network, net::Wakes& wakes, members::View& view, const setup::FleetSection& fleet,
           const setup::ChangesSection& changes, std::string name, std::uint64_t seed,
           std::function<std::string(const changes::Change&)> take);
  void begin();
  void received(const Address& from, std::string_view bytes);
  const changes::Status& status() const { return carrier_.status(); }

 private:
  void send(const Address& to, std::string_view bytes) override { network_.send_datagram(to, bytes); }
  void wake(Micros in, TimerId wake) override { wakes_.after(in, *this, wake.value); }
  void draw(std::size_t near, std::size_t far, std::vector<Address>& to) override {
    view_.pick_members(near, far, to);
  }
  std::string take(const changes::Change& change) override { return take_(change); }
  void keep(const changes::Change& change, bool in_force) override;
  void known(const changes::Status& now, std::string_view from) override;
  void woken(std::uint64_t token) override;

  net::Network& network_;
  net::Wakes& wakes_;
  members::View& view_;
  std::vector<Address> seeds_;
  std::function<std::string(const changes::Change&)> take_;
  std::string folder_;
  FolderOnDisk disk_;
  changes::Carrier carrier_;
  std::vector<changes::Change> kept_;
};

// The file of a kept change: a line with number and sum, then the text. Nothing: it is not whole.
std::string to_file(const changes::Change& change);
std::optional<changes::Change> of_file(std::string_view text);

}  // namespace flintweir::node
