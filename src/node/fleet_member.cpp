#include "node/fleet_member.h"

#include <algorithm>

#include "net/log.h"

namespace flintweir::node {
namespace {

// Bounds the datagrams received at a time, so that a flood of them does not starve the sessions.
constexpr int kDatagramBatch = 64;
// This many probe intervals after it joined, a node's view holds all members.
constexpr int kFullViewIntervals = 30;
// The timer of this class; all others belong to the view.
constexpr std::uint64_t kNodeCountTimer = ~0ull;

}  // namespace

FleetMember::FleetMember(Network& network, TimerQueue& timers, const setup::FleetSection& fleet,
                         std::string name, std::string version, std::uint64_t seed,
                         std::function<void(unsigned)> on_node_count)
    : network_(network),
      timers_(timers),
      fleet_(fleet),
      name_(name),
      on_node_count_(std::move(on_node_count)),
      seed_(seed),
      view_(*this, fleet.name, std::move(name),
            members::Generation{static_cast<std::uint64_t>(timers.now().count())}, fleet.advertised,
            fleet.zone, std::move(version), fleet.seeds, fleet.probe_interval, fleet.forget_after,
            fleet.max_members, seed) {}

void FleetMember::start() {
  const Address at = network_.open_datagrams(fleet_.address);
  log_line("fleet: %s at %s told=%s name=%s", fleet_.name.c_str(), to_text(at).c_str(),
           to_text(fleet_.advertised).c_str(), name_.c_str());
  network_.wait_datagram(*this);
  if (leases_)
    lease_voter_ = std::make_unique<LeaseVoter>(network_, *leases_, name_, fleet_.advertised,
                                                static_cast<std::uint64_t>(timers_.now().count()));
  view_.set_time(timers_.now());
  view_.start();
  if (change_distributor_) change_distributor_->start();
}

void FleetMember::enable_voting(const setup::LeasesSection& leases) {
  if (std::find(leases.voters.begin(), leases.voters.end(), name_) != leases.voters.end()) leases_ = leases;
}

void FleetMember::enable_changes(const setup::ChangesSection& changes,
                                 std::function<std::string(const changes::Change&)> apply) {
  change_distributor_ = std::make_unique<ChangeDistributor>(network_, timers_, view_, fleet_, changes, name_,
                                                            mix(seed_), std::move(apply));
}

void FleetMember::reload(const setup::FleetSection& fleet) {
  setup::FleetSection expected = fleet_;
  expected.seeds = fleet.seeds;
  if (fleet != expected) log_line("reload: fleet: changes other than seeds take effect at the next start");
  fleet_.seeds = fleet.seeds;
  view_.set_time(timers_.now());
  view_.set_seeds(fleet.seeds);
}

void FleetMember::leave() {
  view_.set_time(timers_.now());
  view_.leave();
}

void FleetMember::datagram_pending() {
  char bytes[members::kMaxDatagramBytes + 1];
  view_.set_time(timers_.now());
  for (int i = 0; i < kDatagramBatch; ++i) {
    const ReceiveResult received = network_.receive(bytes, sizeof bytes);
    if (received.status == IoStatus::would_block) break;
    if (received.status != IoStatus::done) continue;
    const std::string_view datagram(bytes, received.bytes);
    if (changes::is_change_datagram(datagram)) {
      if (change_distributor_) change_distributor_->on_datagram(received.from, datagram);
    } else if (!leases::is_lease_datagram(datagram))
      view_.received(received.from, datagram);
    else if (lease_voter_ && view_.joined())  // a second process of the same name must not vote
      lease_voter_->on_datagram(datagram);
  }
  network_.wait_datagram(*this);
}

void FleetMember::timer_expired(std::uint64_t token) {
  if (token == kNodeCountTimer) return report_node_count();
  view_.set_time(timers_.now());
  view_.timer_expired(TimerId{token});
}

void FleetMember::on_member_changed(std::string_view name, const members::Member& member, bool is_new) {
  log_line("member name=%.*s standing=%s start=%llu word=%u address=%s zone=%s by=%s%s digest=%016llx",
           static_cast<int>(name.size()), name.data(), members::name_of(member.state),
           static_cast<unsigned long long>(member.generation.value), member.incarnation,
           to_text(member.address).c_str(), member.zone.empty() ? "-" : member.zone.c_str(),
           member.reported_by.empty() ? "-" : member.reported_by.c_str(), is_new ? " new" : "",
           static_cast<unsigned long long>(view_.digest()));
  report_node_count();
}

void FleetMember::log(std::string_view line) {
  log_line("fleet: %.*s", static_cast<int>(line.size()), line.data());
}

// The node count of the settings remains in use until the view has had enough time to learn of all members.
void FleetMember::report_node_count() {
  if (!view_.joined()) return;
  const Micros now = timers_.now();
  const Micros full_view_after = fleet_.probe_interval * kFullViewIntervals;
  if (joined_at_ == kNever) {
    joined_at_ = now;
    return timers_.schedule(full_view_after, *this, kNodeCountTimer);
  }
  const unsigned active = view_.active_count();
  if (now - joined_at_ < full_view_after || active == reported_count_) return;
  reported_count_ = active;
  log_line("fleet: count=%u", active);
  on_node_count_(active);
}

}  // namespace flintweir::node
