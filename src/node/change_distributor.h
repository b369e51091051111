// Runs the replication of configuration changes on a node, if the operator's file enables it: connects the
// replicator to the network and the timers, writes its log lines, and stores the latest changes on disk.
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
  // `apply` applies a whole change and returns an empty text, or applies nothing and returns the reason.
  ChangeDistributor(net::Network& network, net::TimerQueue& timers, members::View& view,
                    const setup::FleetSection& fleet, const setup::ChangesSection& changes, std::string name,
                    std::uint64_t seed, std::function<std::string(const changes::Change&)> apply);
  void start();
  void on_datagram(const Address& from, std::string_view bytes);
  const changes::Status& status() const { return replicator_.status(); }

 private:
  void send(const Address& to, std::string_view bytes) override { network_.send_datagram(to, bytes); }
  void set_timer(Micros delay, TimerId timer) override { timers_.schedule(delay, *this, timer.value); }
  void sample_members(std::size_t near, std::size_t far, std::vector<Address>& to) override {
    view_.pick_members(near, far, to);
  }
  std::string apply(const changes::Change& change) override { return apply_(change); }
  void persist(const changes::Change& change, bool in_force) override;
  void on_status_change(const changes::Status& now, std::string_view from) override;
  void timer_expired(std::uint64_t token) override;

  net::Network& network_;
  net::TimerQueue& timers_;
  members::View& view_;
  std::vector<Address> seeds_;
  std::function<std::string(const changes::Change&)> apply_;
  std::string path_;  // of the directory; empty if changes are not stored
  DiskDirectory directory_;
  changes::Replicator replicator_;
  std::vector<changes::Change> stored_;  // read at the start, the older one first
};

// The file format of a stored change: a line with its number and checksum, then its text.
// decode_change_file() returns nothing if the file is truncated or corrupted.
std::string encode_change_file(const changes::Change& change);
std::optional<changes::Change> decode_change_file(std::string_view text);

}  // namespace flintweir::node
