#include "changes/replicator.h"

#include <algorithm>

namespace flintweir::changes {
namespace {

using namespace std::chrono_literals;

// A newer change is told to so many at once and again each round; most learn of it within the first, and the
// rounds reach whom datagrams were lost to.
constexpr std::size_t kNear = 3, kFar = 1;
constexpr int kRounds = 4;
constexpr Micros kRound = 250ms;
// At rest one member is told what is newest here, every fourth time one of another zone.
constexpr Micros kRest = 2s;
constexpr std::uint64_t kRestFar = 4;
constexpr Micros kFetchAgain = 150ms;
constexpr int kMostFetches = 20, kSeedTries = 10;
constexpr std::size_t kMostSources = 4;
// A change of the largest size for each of those told at once, and no more than that for long.
constexpr double kBytesPerSecond = 7000, kBytesKept = 24 << 10;

}  // namespace

Replicator::Replicator(ReplicatorDelegate& delegate, std::string fleet, std::string name,
                       const Address& reply_address, std::uint64_t seed)
    : delegate_(delegate),
      fleet_(std::move(fleet)),
      name_(std::move(name)),
      reply_address_(reply_address),
      chance_(static_cast<std::knuth_b::result_type>(seed | 1)),
      bytes_left_(kBytesKept) {}

void Replicator::set_time(Micros now) { now_ = std::max(now, now_); }

Micros Replicator::spread(Micros around) {
  const double by = 0.75 + 0.5 * std::generate_canonical<double, 32>(chance_);
  return Micros{static_cast<std::int64_t>(static_cast<double>(around.count()) * by)};
}

void Replicator::start(std::vector<Change> kept, std::vector<Address> seeds) {
  refilled_at_ = now_;
  seeds_ = std::move(seeds);
  for (Change& c : kept) adopt(std::move(c), "kept");
  rounds_ = 0;
  timer_expired(TimerId{turn_ << 2 | static_cast<std::uint64_t>(Due::seeds)});
  set_timer(spread(kRest), Due::rest);
}

void Replicator::on_datagram(const Address& from, std::string_view bytes) {
  came_from_ = from;
  decode(bytes, fleet_, *this);
}

void Replicator::timer_expired(TimerId w) {
  const auto due = static_cast<Due>(w.value & 3);
  if (due == Due::rest) {
    set_timer(spread(kRest), Due::rest);
    const bool far = ++rests_ % kRestFar == 0;
    return tell(far ? 0 : 1, far ? 1 : 0);
  }
  if (due == Due::seeds) {
    // Guards against a process that serves by an old file until a member happens to tell it of the newest.
    if (seed_tries_ >= kSeedTries) return;
    ++seed_tries_;
    for (const Address& s : seeds_)
      if (s != reply_address_) send(s, encode_have(me(), status_.held));
    return set_timer(spread(2 * kRound), Due::seeds);
  }
  if (w.value >> 2 != turn_) return;  // of a change before this one
  if (due == Due::fetch) return fetch();
  if (rounds_-- <= 0) return;
  tell(kNear, kFar);
  set_timer(spread(kRound), Due::tell);
}

void Replicator::tell(std::size_t near, std::size_t far) {
  drawn_.clear();
  delegate_.sample_members(near, far, drawn_);
  const std::string bytes = encode_have(me(), status_.held);
  for (const Address& to : drawn_) send(to, bytes);
}

// A newer one than the newest; or, where that was refused, a newer one than that in force: somebody who
// starts after a change that his like refuse has to come to what they run by.
bool Replicator::wants(const ChangeId& theirs) const {
  if (theirs.number.value == 0) return false;
  if (theirs > status_.held.newest) return true;
  return !status_.reason.empty() && theirs > status_.held.in_force && theirs > refused_before_ &&
         theirs < status_.held.newest;
}

void Replicator::on_have(const Sender& from, const HeldChanges& theirs) {
  if (theirs == status_.held) {
    if (theirs.newest.number.value > 0) seed_tries_ = kSeedTries;
    return;
  }
  const ChangeId& first = wants(theirs.newest) ? theirs.newest : theirs.in_force;
  if (wants(first)) {
    if (!fetching_ || fetching_->which < first) {
      ++turn_;
      rounds_ = 0;
      fetching_ = {
          first, {from.reply_address}, std::string(first.size, '\0'), (1u << part_count(first.size)) - 1, 0};
      return fetch();
    }
    if (fetching_->which == first && fetching_->from.size() < kMostSources &&
        std::find(fetching_->from.begin(), fetching_->from.end(), from.reply_address) ==
            fetching_->from.end())
      fetching_->from.push_back(from.reply_address);
    return;
  }
  // Guards against somebody who was away, or has just started.
  if (theirs.newest < status_.held.newest ||
      (theirs.in_force < status_.held.in_force && status_.held.in_force < status_.held.newest))
    send(from.reply_address, encode_have(me(), status_.held));
}

// What is missing is asked of one after the other: any may be gone, cut off or out of bytes.
void Replicator::fetch() {
  if (!fetching_) return;
  if (++fetching_->tries > kMostFetches) return fetching_.reset();  // whoever has it says so again
  send(fetching_->from.front(), encode_want(me(), fetching_->which, fetching_->missing));
  std::rotate(fetching_->from.begin(), fetching_->from.begin() + 1, fetching_->from.end());
  set_timer(spread(kFetchAgain), Due::fetch);
}

const Change* Replicator::of(const ChangeId& which) const {
  if (which.number.value == 0) return nullptr;
  return which == status_.held.newest ? &newest_ : which == status_.held.in_force ? &in_force_ : nullptr;
}

void Replicator::on_want(const Sender& from, const ChangeId& which, std::uint32_t wanted) {
  const Change* const change = of(which);
  if (!change) return;
  for (const std::string& one : encode_parts(me(), *change, wanted))
    if (!send(from.reply_address, one)) return;
}

void Replicator::on_part(const Sender& from, const ChangeId& of, std::uint32_t part, std::string_view bytes) {
  if (!fetching_ || fetching_->which != of || part >= part_count(of.size) ||
      !(fetching_->missing >> part & 1))
    return;
  const std::size_t begin = part * kPartBytes;
  if (bytes.size() != std::min<std::size_t>(kPartBytes, of.size - begin)) return;
  fetching_->bytes.replace(begin, bytes.size(), bytes);
  fetching_->missing &= ~(1u << part);
  if (fetching_->missing) return;
  Change whole{of.number, std::move(fetching_->bytes)};
  fetching_.reset();
  if (change_id(whole) != of) return;  // parts of two texts; it is told of again
  adopt(std::move(whole), from.name);
}

void Replicator::adopt(Change change, std::string_view from) {
  const ChangeId now = change_id(change);
  std::string reason = delegate_.apply(change).substr(0, kMaxReasonBytes);
  const bool taken = reason.empty();
  if (taken) {
    in_force_ = change;
    status_.held.in_force = now;
    delegate_.persist(change, true);
  }
  if (now > status_.held.newest) {
    newest_ = std::move(change);
    status_.held.newest = now;
    status_.reason = std::move(reason);
    if (!taken) delegate_.persist(newest_, false);
    delegate_.on_status_change(status_, from);
  } else if (taken) {
    delegate_.on_status_change(status_, from);
  } else {
    refused_before_ = now;
  }
  // Refused or not it is passed on: another node may run what this one can't.
  ++turn_;
  rounds_ = kRounds;
  timer_expired(TimerId{turn_ << 2 | static_cast<std::uint64_t>(Due::tell)});
}

void Replicator::on_query(const Sender&, std::uint64_t nonce) {
  send(came_from_, changes::encode_status(me(), nonce, status_));
}

bool Replicator::send(const Address& to, const std::string& bytes) {
  bytes_left_ = std::min(kBytesKept, bytes_left_ + kBytesPerSecond * seconds(now_ - refilled_at_));
  refilled_at_ = now_;
  if (bytes_left_ < static_cast<double>(bytes.size())) return false;
  bytes_left_ -= static_cast<double>(bytes.size());
  delegate_.send(to, bytes);
  return true;
}

}  // namespace flintweir::changes
