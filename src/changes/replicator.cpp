#include "changes/replicator.h"

#include <algorithm>

namespace flintweir::changes {
namespace {

using namespace std::chrono_literals;

// A new change is announced to this many members of the own zone and of other zones in each round. Most nodes
// learn of it within the first round; further rounds reach those whose datagrams were lost.
constexpr std::size_t kNearFanout = 3, kFarFanout = 1;
constexpr int kAnnouncementRounds = 4;
constexpr Micros kRoundInterval = 250ms;
// Without a new change one member at a time is told of the changes held here, every kIdleFarPeriod-th time a
// member of another zone.
constexpr Micros kIdleInterval = 2s;
constexpr std::uint64_t kIdleFarPeriod = 4;
constexpr Micros kFetchRetryInterval = 150ms;
constexpr int kMaxFetchAttempts = 20, kMaxSeedAttempts = 10;
constexpr std::size_t kMaxSources = 4;
// Intervals are multiplied by a random factor from 0.75 to 1.25.
constexpr double kMinJitter = 0.75, kJitterRange = 0.5;
// Limit on what is sent, as a token bucket. A burst is enough to send a change of the largest size to each
// member of one round; over longer times the rate holds.
constexpr double kBytesPerSecond = 7000, kBurstBytes = 24 << 10;

}  // namespace

Replicator::Replicator(ReplicatorDelegate& delegate, std::string fleet, std::string name,
                       const Address& reply_address, std::uint64_t seed)
    : delegate_(delegate),
      fleet_(std::move(fleet)),
      name_(std::move(name)),
      reply_address_(reply_address),
      random_(static_cast<std::knuth_b::result_type>(seed | 1)),
      send_budget_(kBurstBytes) {}

void Replicator::set_time(Micros now) { now_ = std::max(now, now_); }

Micros Replicator::add_jitter(Micros interval) {
  const double factor = kMinJitter + kJitterRange * std::generate_canonical<double, 32>(random_);
  return Micros{static_cast<std::int64_t>(static_cast<double>(interval.count()) * factor)};
}

void Replicator::start(std::vector<Change> stored, std::vector<Address> seeds) {
  refilled_at_ = now_;
  seeds_ = std::move(seeds);
  for (Change& change : stored) adopt(std::move(change), "kept");
  rounds_left_ = 0;
  timer_expired(timer_id(TimerKind::seeds));
  set_timer(add_jitter(kIdleInterval), TimerKind::idle);
}

void Replicator::on_datagram(const Address& from, std::string_view bytes) {
  datagram_source_ = from;
  decode(bytes, fleet_, *this);
}

void Replicator::timer_expired(TimerId timer) {
  const auto kind = static_cast<TimerKind>(timer.value & 3);
  if (kind == TimerKind::idle) {
    set_timer(add_jitter(kIdleInterval), TimerKind::idle);
    const bool far = ++idle_announcements_ % kIdleFarPeriod == 0;
    return announce(far ? 0 : 1, far ? 1 : 0);
  }
  if (kind == TimerKind::seeds) {
    // Without asking, a restarted node would run on an old stored change until a member happens to announce
    // the newest.
    if (seed_attempts_ >= kMaxSeedAttempts) return;
    ++seed_attempts_;
    for (const Address& seed : seeds_)
      if (seed != reply_address_) send(seed, encode_have(self(), status_.held));
    return set_timer(add_jitter(2 * kRoundInterval), TimerKind::seeds);
  }
  if (timer.value >> 2 != timer_generation_) return;  // superseded by a newer change
  if (kind == TimerKind::fetch) return request_missing_parts();
  if (rounds_left_-- <= 0) return;
  announce(kNearFanout, kFarFanout);
  set_timer(add_jitter(kRoundInterval), TimerKind::announce);
}

void Replicator::announce(std::size_t near, std::size_t far) {
  sample_.clear();
  delegate_.sample_members(near, far, sample_);
  const std::string bytes = encode_have(self(), status_.held);
  for (const Address& to : sample_) send(to, bytes);
}

// Whether a change should be fetched: it is newer than the newest one here, or the newest was refused and it
// is newer than the one in force. The second case lets a node that starts after a change which it and its
// peers refuse reach the change that is in force on its peers.
bool Replicator::wants(const ChangeId& theirs) const {
  if (theirs.number.value == 0) return false;
  if (theirs > status_.held.newest) return true;
  return !status_.reason.empty() && theirs > status_.held.in_force && theirs > newest_older_refused_ &&
         theirs < status_.held.newest;
}

void Replicator::on_have(const Sender& from, const HeldChanges& theirs) {
  if (theirs == status_.held) {
    // A member holds the same changes: the seeds need not be asked any further.
    if (theirs.newest.number.value > 0) seed_attempts_ = kMaxSeedAttempts;
    return;
  }
  const ChangeId& wanted = wants(theirs.newest) ? theirs.newest : theirs.in_force;
  if (wants(wanted)) {
    if (!download_ || download_->id < wanted) {
      ++timer_generation_;
      rounds_left_ = 0;
      download_ = {wanted,
                   {from.reply_address},
                   std::string(wanted.size, '\0'),
                   (1u << part_count(wanted.size)) - 1,
                   0};
      return request_missing_parts();
    }
    if (download_->id == wanted && download_->sources.size() < kMaxSources &&
        std::find(download_->sources.begin(), download_->sources.end(), from.reply_address) ==
            download_->sources.end())
      download_->sources.push_back(from.reply_address);
    return;
  }
  // The sender holds older changes: it was cut off, or has just started.
  if (theirs.newest < status_.held.newest ||
      (theirs.in_force < status_.held.in_force && status_.held.in_force < status_.held.newest))
    send(from.reply_address, encode_have(self(), status_.held));
}

// Asks the sources in turn: any of them may have left, be cut off, or have exhausted its send limit.
void Replicator::request_missing_parts() {
  if (!download_) return;
  if (++download_->attempts > kMaxFetchAttempts)
    return download_.reset();  // a later announcement starts again
  send(download_->sources.front(), encode_want(self(), download_->id, download_->missing_parts));
  std::rotate(download_->sources.begin(), download_->sources.begin() + 1, download_->sources.end());
  set_timer(add_jitter(kFetchRetryInterval), TimerKind::fetch);
}

const Change* Replicator::find(const ChangeId& id) const {
  if (id.number.value == 0) return nullptr;
  return id == status_.held.newest ? &newest_ : id == status_.held.in_force ? &in_force_ : nullptr;
}

void Replicator::on_want(const Sender& from, const ChangeId& id, std::uint32_t wanted) {
  const Change* const change = find(id);
  if (!change) return;
  for (const std::string& datagram : encode_parts(self(), *change, wanted))
    if (!send(from.reply_address, datagram)) return;
}

void Replicator::on_part(const Sender& from, const ChangeId& id, std::uint32_t part, std::string_view bytes) {
  if (!download_ || download_->id != id || part >= part_count(id.size) ||
      !(download_->missing_parts >> part & 1))
    return;
  const std::size_t begin = part * kPartBytes;
  if (bytes.size() != std::min<std::size_t>(kPartBytes, id.size - begin)) return;
  download_->text.replace(begin, bytes.size(), bytes);
  download_->missing_parts &= ~(1u << part);
  if (download_->missing_parts) return;
  Change change{id.number, std::move(download_->text)};
  download_.reset();
  if (change_id(change) != id) return;  // parts of different texts; a later announcement starts again
  adopt(std::move(change), from.name);
}

void Replicator::adopt(Change change, std::string_view from) {
  const ChangeId id = change_id(change);
  std::string reason = delegate_.apply(change).substr(0, kMaxReasonBytes);
  const bool applied = reason.empty();
  if (applied) {
    in_force_ = change;
    status_.held.in_force = id;
    delegate_.persist(change, true);
  }
  if (id > status_.held.newest) {
    newest_ = std::move(change);
    status_.held.newest = id;
    status_.reason = std::move(reason);
    if (!applied) delegate_.persist(newest_, false);
    delegate_.on_status_change(status_, from);
  } else if (applied) {
    delegate_.on_status_change(status_, from);
  } else {
    newest_older_refused_ = id;
  }
  // Announced also when refused: the change may be valid for another node.
  ++timer_generation_;
  rounds_left_ = kAnnouncementRounds;
  timer_expired(timer_id(TimerKind::announce));
}

void Replicator::on_query(const Sender&, std::uint64_t nonce) {
  send(datagram_source_, encode_status(self(), nonce, status_));
}

bool Replicator::send(const Address& to, const std::string& bytes) {
  send_budget_ = std::min(kBurstBytes, send_budget_ + kBytesPerSecond * seconds(now_ - refilled_at_));
  refilled_at_ = now_;
  if (send_budget_ < static_cast<double>(bytes.size())) return false;
  send_budget_ -= static_cast<double>(bytes.size());
  delegate_.send(to, bytes);
  return true;
}

}  // namespace flintweir::changes
