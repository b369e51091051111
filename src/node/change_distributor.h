// A node's part in carrying changes of configuration, where the operator's file asks for it: the replicator
// on the network's datagrams and timers, its log lines, and its one file.
#pragma once

#include <functional>
#include <string>

#include "changes/replicator.h"
#include "members/view.h"
#include "net/timer_queue.h"
#include "node/promise_store.h"
#include "setup/operator.h"

namespace flintweir::node {

class ChangeDistributor final : changes::ReplicatorDelegate, net::TimerEvents {
 public:
  // `take` takes a change whole, or changes nothing and says why. Throws std::runtime_error where the folder
  // holds what can't be read.
  ChangeDistributor(net::Network& network, net::TimerQueue& timers, members::View& view,
                    const setup::FleetSection& fleet, const setup::ChangesSection& changes, std::string name,
                    std::uint64_t seed, std::function<std::string(const changes::Change&)> take);
  void start();
  void received(const Address& from, std::string_view bytes);
  const changes::Status& status() const { return replicator_.status(); }

 private:
  void send(const Address& to, std::string_view bytes) override { network_.send_datagram(to, bytes); }
  void set_timer(Micros in, TimerId wake) override { timers_.schedule(in, *this, wake.value); }
  void sample_members(std::size_t near, std::size_t far, std::vector<Address>& to) override {
    view_.pick_members(near, far, to);
  }
  std::string apply(const changes::Change& change) override { return take_(change); }
  void persist(const changes::Change& change, bool in_force) override;
  void on_status_change(const changes::Status& now, std::string_view from) override;
  void timer_expired(std::uint64_t token) override;

  net::Network& network_;
  net::TimerQueue& timers_;
  members::View& view_;
  std::vector<Address> seeds_;
  std::function<std::string(const changes::Change&)> take_;
  std::string folder_;
  DiskDirectory disk_;
  changes::Replicator replicator_;
  std::vector<changes::Change> kept_;
};

// The file of a kept change: a line with number and sum, then the text. Nothing: it is not whole.
std::string encode_change_file(const changes::Change& change);
std::optional<changes::Change> decode_change_file(std::string_view text);

}  // namespace flintweir::node
