#include "leases/candidate.h"

#include <algorithm>
#include <bit>

namespace flintweir::leases {
namespace {

// Shares of the lease duration.
constexpr int kReplyTimeoutDivisor = 8;    // for the replies of a majority; also bounds the random delays
constexpr int kMaxBackoffDivisor = 2;      // upper limit of the backoff when too few voters reply
constexpr int kReleaseJitterDivisor = 64;  // spreads clients notified of the same release
// A client that no voter has queued retries within this many lease durations after the lease expires.
constexpr int kUnqueuedRetryFactor = 4;
// A holder renews after this share of the usable duration.
constexpr int kRenewalDivisor = 3;

}  // namespace

Candidate::Candidate(Delegate& delegate, std::string lease, std::size_t voters, Micros duration,
                     Token min_token, std::uint64_t seed)
    : delegate_(delegate),
      lease_(std::move(lease)),
      voters_(voters),
      duration_(duration),
      rng_(static_cast<std::knuth_b::result_type>(seed | 1)),
      highest_seen_(min_token),
      round_{seed << 20} {}

Candidate::Candidate(const Candidate& other, Delegate& delegate)
    : delegate_(delegate),
      lease_(other.lease_),
      holder_(other.holder_),
      wait_reason_(other.wait_reason_),
      voters_(other.voters_),
      duration_(other.duration_),
      now_(other.now_),
      sent_at_(other.sent_at_),
      expires_(other.expires_),
      held_for_(other.held_for_),
      rng_(other.rng_),
      phase_(other.phase_),
      highest_seen_(other.highest_seen_),
      token_(other.token_),
      round_(other.round_),
      accepted_(other.accepted_),
      rejected_(other.rejected_),
      timer_seq_(other.timer_seq_),
      attempts_(other.attempts_),
      wanted_(other.wanted_),
      queued_(other.queued_) {}

void Candidate::append_state(std::string& out) const {
  out += std::to_string(static_cast<int>(phase_)) + (wanted_ ? 'w' : '-');
  for (const std::uint64_t n :
       {highest_seen_.value, token_.value, round_.value, accepted_, rejected_, timer_seq_})
    out += ' ' + std::to_string(n);
  out += ' ' + std::to_string((now_ - sent_at_).count()) + ' ' +
         std::to_string(std::max(expires_ - now_, Micros{0}).count());
}

// Guards against a process that was stopped: before it does anything else, it notices that its lease expired.
void Candidate::set_time(Micros now) {
  now_ = std::max(now, now_);
  if (phase_ == Phase::holding && now_ >= expires_) lose("expired before a majority renewed it");
}

void Candidate::acquire() {
  if (std::exchange(wanted_, true)) return;
  begin_round();
}

void Candidate::release() {
  wanted_ = false;
  if (phase_ == Phase::holding && open_operations_ > 0) return;  // released when the last operation ends
  release_now();
}

void Candidate::release_now() {
  const bool held = phase_ == Phase::holding;
  if (phase_ != Phase::idle && phase_ != Phase::waiting) send_to_all(RequestKind::release);
  phase_ = Phase::idle;
  ++timer_seq_;
  if (held) delegate_.on_lost(token_, "released");
}

std::optional<Candidate::Operation> Candidate::begin_operation(Micros max_duration) {
  if (!wanted_ || !holds() || max_duration > expires_ - now_) return std::nullopt;
  ++open_operations_;
  return Operation(*this, token_);
}

void Candidate::end_operation() {
  --open_operations_;
  if (open_operations_ == 0 && !wanted_ && phase_ == Phase::holding) release_now();
}

Micros Candidate::random_delay(Micros max_delay) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(max_delay.count()) *
                                          std::generate_canonical<double, 32>(rng_))};
}

void Candidate::set_timer(Micros delay, Timer timer) {
  delegate_.set_timer(delay, TimerId{++timer_seq_ << 8 | static_cast<std::uint64_t>(timer)});
}

bool Candidate::is_majority(std::uint64_t voters) const {
  return 2 * static_cast<std::size_t>(std::popcount(voters)) > voters_;
}

void Candidate::send_to(VoterIndex voter, RequestKind kind) {
  delegate_.send_request(voter, {kind, lease_, token_, round_, duration_});
}

void Candidate::send_to_all(RequestKind kind) {
  for (std::uint32_t v = 0; v < voters_; ++v) send_to(VoterIndex{v}, kind);
}

void Candidate::begin_round() {
  phase_ = Phase::preparing;
  ++round_.value;
  accepted_ = rejected_ = 0;
  held_for_ = Micros{0};
  queued_ = false;
  token_ = highest_seen_ = Token{highest_seen_.value + 1};
  send_to_all(RequestKind::prepare);
  set_timer(duration_ / kReplyTimeoutDivisor, Timer::retry);
}

void Candidate::wait(Micros delay, std::string_view why) {
  phase_ = Phase::waiting;
  if (why != wait_reason_) delegate_.on_waiting(wait_reason_ = why);
  set_timer(delay, Timer::retry);
}

void Candidate::lose(std::string_view why) {
  delegate_.on_lost(token_, why);
  attempts_ = 0;
  if (wanted_) return wait(random_delay(duration_ / kReplyTimeoutDivisor), why);
  phase_ = Phase::idle;
  ++timer_seq_;
}

void Candidate::renew() {
  ++round_.value;
  accepted_ = rejected_ = 0;
  sent_at_ = now_;
  send_to_all(RequestKind::grant);
  // Repeated soon, since replies may be lost, until the lease expires.
  set_timer(std::min(usable_duration(duration_) / kRenewalDivisor, std::max(expires_ - now_, Micros{0})),
            now_ < expires_ ? Timer::renew : Timer::expire);
}

void Candidate::timer_expired(TimerId timer) {
  if (timer.value >> 8 != timer_seq_) return;
  const auto kind = static_cast<Timer>(timer.value & 0xff);
  if (kind != Timer::retry) {
    if (phase_ == Phase::holding) renew();
    return;
  }
  if (phase_ == Phase::idle || phase_ == Phase::holding) return;
  if (phase_ == Phase::waiting) return begin_round();
  ++attempts_;
  const Micros max_delay = std::min(duration_ / kReplyTimeoutDivisor * (1 << std::min(attempts_, 4)),
                                    duration_ / kMaxBackoffDivisor);
  wait(random_delay(max_delay), "no reply from a majority of the voters");
}

void Candidate::on_reply(VoterIndex voter, const Reply& reply) {
  highest_seen_ = std::max(highest_seen_, reply.highest_promised);
  if (reply.kind == ReplyKind::released) {
    // Several clients are notified at the same time.
    if (phase_ == Phase::waiting && wanted_)
      set_timer(random_delay(duration_ / kReleaseJitterDivisor), Timer::retry);
    return;
  }
  // Guards against a reply to an earlier request: the expiry is counted from when this round was sent.
  if (reply.round != round_ || voter.value >= voters_) return;
  const std::uint64_t bit = 1ull << voter.value;
  const bool in_round = phase_ == Phase::preparing || phase_ == Phase::granting || phase_ == Phase::holding;
  if (!in_round || reply.token != token_) return;
  switch (reply.kind) {
    case ReplyKind::promised:
      // A promise that arrives after the majority: this voter may grant as well.
      if (phase_ != Phase::preparing) return send_to(voter, RequestKind::grant);
      accepted_ |= bit;
      if (!is_majority(accepted_)) return;
      phase_ = Phase::granting;
      ++round_.value;
      accepted_ = rejected_ = 0;
      sent_at_ = now_;
      send_to_all(RequestKind::grant);
      return set_timer(duration_ / kReplyTimeoutDivisor, Timer::retry);
    case ReplyKind::granted:
      accepted_ |= bit;
      if (phase_ == Phase::preparing || !is_majority(accepted_)) return;
      // Counted from before the request was sent.
      expires_ = std::max(expires_, sent_at_ + usable_duration(duration_));
      if (std::exchange(phase_, Phase::holding) == Phase::holding) return;
      attempts_ = 0;
      wait_reason_.clear();
      holder_.clear();
      if (now_ >= expires_) return lose("expired by the time a majority had granted it");
      set_timer(usable_duration(duration_) / kRenewalDivisor, Timer::renew);
      if (wanted_)
        delegate_.on_acquired(token_);
      else
        release_now();
      return;
    case ReplyKind::queued:
      queued_ = true;
      [[fallthrough]];
    case ReplyKind::held:
    case ReplyKind::preempted:
      if (reply.highest_promised < token_ && reply.kind == ReplyKind::preempted && phase_ != Phase::preparing)
        return send_to(voter, RequestKind::prepare);
      rejected_ |= bit;
      if (reply.kind != ReplyKind::preempted && !reply.holder.empty())
        holder_ = reply.holder, held_for_ = std::max(held_for_, reply.remaining);
      // A holder does nothing: its lease expires unless a majority renews it.
      if (phase_ == Phase::holding ||
          voters_ - static_cast<std::size_t>(std::popcount(rejected_)) > voters_ / 2)
        return;
      ++attempts_;
      if (held_for_ > Micros{0})
        return wait(held_for_ + random_delay(queued_ ? duration_ / kReplyTimeoutDivisor
                                                     : duration_ * kUnqueuedRetryFactor),
                    "held by " + holder_);
      return wait(random_delay(duration_ / kReplyTimeoutDivisor * (1 << std::min(attempts_, 3))),
                  "contention with other clients");
    case ReplyKind::released:
      return;
  }
}

}  // namespace flintweir::leases
