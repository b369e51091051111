// Makes a node a member of a fleet, if the operator's file names one: connects the membership view, the lease
// voter and the distribution of changes to the network and the timers, writes their log lines, and reports
// the number of nodes for the balancer.
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
  // `on_node_count` is called with the number of nodes that may be active whenever it changes.
  FleetMember(Network& network, TimerQueue& timers, const setup::FleetSection& fleet, std::string name,
              std::string version, std::uint64_t seed, std::function<void(unsigned)> on_node_count);
  // Throws std::system_error if the address cannot be opened.
  void start();
  // From start() on this node votes for leases if `leases` names it as a voter.
  void enable_voting(const setup::LeasesSection& leases);
  // From start() on this node distributes changes and applies them with `apply` (see ChangeDistributor).
  void enable_changes(const setup::ChangesSection& changes,
                      std::function<std::string(const changes::Change&)> apply);
  // Null if changes are not enabled.
  const changes::Status* change_status() const {
    return change_distributor_ ? &change_distributor_->status() : nullptr;
  }
  std::uint64_t digest() const { return view_.digest(); }
  unsigned active_nodes() const { return view_.active_count(); }
  // Applies new seeds; all other changes take effect at the next start.
  void reload(const setup::FleetSection& fleet);
  // Tells the other nodes that this one leaves the fleet.
  void leave();

 private:
  void send(const Address& to, std::string_view bytes) override { network_.send_datagram(to, bytes); }
  void set_timer(Micros delay, TimerId timer) override { timers_.schedule(delay, *this, timer.value); }
  void on_member_changed(std::string_view name, const members::Member& member, bool is_new) override;
  void log(std::string_view line) override;
  void datagram_pending() override;
  void timer_expired(std::uint64_t token) override;
  void report_node_count();

  Network& network_;
  TimerQueue& timers_;
  setup::FleetSection fleet_;
  std::string name_;
  std::function<void(unsigned)> on_node_count_;
  Micros joined_at_ = kNever;
  unsigned reported_count_ = 0;
  std::uint64_t seed_;
  members::View view_;
  std::optional<setup::LeasesSection> leases_;
  std::unique_ptr<LeaseVoter> lease_voter_;
  std::unique_ptr<ChangeDistributor> change_distributor_;
};

}  // namespace flintweir::node
