#include "node/fleet_member.h"

#include <algorithm>

#include "net/log.h"

namespace flintweir::node {
namespace {

constexpr int kDatagramsInARow = 64;  // so that sessions get their turn under a flood
constexpr int kKnowsAll = 30;         // intervals after it joined a node's view holds whoever there is
// A wake of this adapter's own, beside those of the view.
constexpr std::uint64_t kCounts = ~0ull;

}  // namespace

FleetMember::FleetMember(Network& network, TimerQueue& timers, const setup::FleetSection& fleet,
                         std::string name, std::string version, std::uint64_t seed,
                         std::function<void(unsigned)> count)
    : network_(network),
      timers_(timers),
      fleet_(fleet),
      name_(name),
      count_(std::move(count)),
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
    voting_ = std::make_unique<LeaseVoter>(network_, *leases_, name_, fleet_.advertised,
                                           static_cast<std::uint64_t>(timers_.now().count()));
  view_.set_time(timers_.now());
  view_.start();
  if (changing_) changing_->start();
}

void FleetMember::enable_voting(const setup::LeasesSection& leases) {
  if (std::find(leases.voters.begin(), leases.voters.end(), name_) != leases.voters.end()) leases_ = leases;
}

void FleetMember::enable_changes(const setup::ChangesSection& changes,
                                 std::function<std::string(const changes::Change&)> take) {
  changing_ = std::make_unique<ChangeDistributor>(network_, timers_, view_, fleet_, changes, name_,
                                                  mix(seed_), std::move(take));
}

void FleetMember::reload(const setup::FleetSection& fleet) {
  setup::FleetSection with_seeds = fleet_;
  with_seeds.seeds = fleet.seeds;
  if (fleet != with_seeds) log_line("reload: fleet: all but the seeds holds until the next start");
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
  for (int i = 0; i < kDatagramsInARow; ++i) {
    const ReceiveResult got = network_.receive(bytes, sizeof bytes);
    if (got.status == IoStatus::would_block) break;
    if (got.status != IoStatus::done) continue;
    const std::string_view text(bytes, got.bytes);
    if (changes::is_change_datagram(text)) {
      if (changing_) changing_->received(got.from, text);
    } else if (!leases::is_lease_datagram(text))
      view_.received(got.from, text);
    else if (voting_ && view_.joined())  // a second process of this name has no vote
      voting_->received(text);
  }
  network_.wait_datagram(*this);
}

void FleetMember::timer_expired(std::uint64_t token) {
  if (token == kCounts) return tell_count();
  view_.set_time(timers_.now());
  view_.timer_expired(TimerId{token});
}

void FleetMember::on_member_changed(std::string_view name, const members::Member& now, bool fresh) {
  log_line("member name=%.*s standing=%s start=%llu word=%u address=%s zone=%s by=%s%s digest=%016llx",
           static_cast<int>(name.size()), name.data(), members::name_of(now.state),
           static_cast<unsigned long long>(now.generation.value), now.incarnation,
           to_text(now.address).c_str(), now.zone.empty() ? "-" : now.zone.c_str(),
           now.reported_by.empty() ? "-" : now.reported_by.c_str(), fresh ? " new" : "",
           static_cast<unsigned long long>(view_.digest()));
  tell_count();
}

void FleetMember::log(std::string_view line) {
  log_line("fleet: %.*s", static_cast<int>(line.size()), line.data());
}

// The settings' count stands until the view has had the time to hold whoever there is.
void FleetMember::tell_count() {
  if (!view_.joined()) return;
  const Micros now = timers_.now();
  const Micros learns = fleet_.probe_interval * kKnowsAll;
  if (joined_at_ == kNever) {
    joined_at_ = now;
    return timers_.schedule(learns, *this, kCounts);
  }
  const unsigned acting = view_.active_count();
  if (now - joined_at_ < learns || acting == told_) return;
  told_ = acting;
  log_line("fleet: count=%u", acting);
  count_(acting);
}

}  // namespace flintweir::node
