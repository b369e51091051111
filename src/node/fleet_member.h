// The other nodes of the fleet, where the operator's file asks for them: the view on the network's datagrams
// and timers, its log lines, and what the decision module is told of it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "members/view.h"
#include "net/timer_queue.h"
#include "node/change_distributor.h"
#include "node/lease_voter.h"
#include "setup/operator.h"

namespace flintweir::node {

using namespace net;

class FleetMember final : members::ViewDelegate, TimerEvents, DatagramEvents {
 public:
  // `count` is called with the number of nodes that may be acting, whenever it is another.
  FleetMember(Network& network, TimerQueue& timers, const setup::FleetSection& fleet, std::string name,
              std::string version, std::uint64_t seed, std::function<void(unsigned)> count);
  // Throws std::system_error where the address can't be had.
  void start();
  // From start() on this node votes for leases, if it is one of those named.
  void enable_voting(const setup::LeasesSection& leases);
  // From start() on this node passes changes on, and takes them by `take` (see ChangeDistributor).
  void enable_changes(const setup::ChangesSection& changes,
                      std::function<std::string(const changes::Change&)> take);
  // None: changes are not carried.
  const changes::Status* change_status() const { return changing_ ? &changing_->status() : nullptr; }
  std::uint64_t digest() const { return view_.digest(); }
  unsigned active_nodes() const { return view_.active_count(); }
  // Takes new seeds; all else holds until the next start.
  void reload(const setup::FleetSection& fleet);
  void leave();

 private:
  void send(const Address& to, std::string_view bytes) override { network_.send_datagram(to, bytes); }
  void set_timer(Micros delay, TimerId timer) override { timers_.schedule(delay, *this, timer.value); }
  void on_member_changed(std::string_view name, const members::Member& now, bool fresh) override;
  void log(std::string_view line) override;
  void datagram_pending() override;
  void timer_expired(std::uint64_t token) override;
  void tell_count();

  Network& network_;
  TimerQueue& timers_;
  setup::FleetSection fleet_;
  std::string name_;
  std::function<void(unsigned)> count_;
  Micros joined_at_ = kNever;
  unsigned told_ = 0;
  std::uint64_t seed_;
  members::View view_;
  std::optional<setup::LeasesSection> leases_;
  std::unique_ptr<LeaseVoter> voting_;
  std::unique_ptr<ChangeDistributor> changing_;
};

}  // namespace flintweir::node
