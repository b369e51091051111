#include "leases/candidate.h"

#include <algorithm>
#include <bit>

namespace flintweir::leases {
namespace {

// Ratios to a lease's length.
constexpr int kAnswers = 8;  // an answer that takes longer than that part is not waited for
constexpr int kRenews = 3;   // renewed after each such part of what a holder may count on
constexpr int kLongestPause = 2;
constexpr int kNotInLine = 4;  // whoever does not stand in line asks again within so many
constexpr int kSoon = 64;      // between two that hear at once that it is free

}  // namespace

Candidate::Candidate(Delegate& delegate, std::string lease, std::size_t voters, Micros length, Token base,
                     std::uint64_t seed)
    : delegate_(delegate),
      lease_(std::move(lease)),
      voters_(voters),
      length_(length),
      chance_(static_cast<std::knuth_b::result_type>(seed | 1)),
      seen_(base),
      round_{seed << 20} {}

Candidate::Candidate(const Candidate& of, Delegate& delegate)
    : delegate_(delegate),
      lease_(of.lease_),
      holder_(of.holder_),
      why_(of.why_),
      voters_(of.voters_),
      length_(of.length_),
      now_(of.now_),
      sent_at_(of.sent_at_),
      end_(of.end_),
      held_for_(of.held_for_),
      chance_(of.chance_),
      phase_(of.phase_),
      seen_(of.seen_),
      token_(of.token_),
      round_(of.round_),
      yes_(of.yes_),
      no_(of.no_),
      turn_(of.turn_),
      tries_(of.tries_),
      wanted_(of.wanted_),
      in_line_(of.in_line_) {}

void Candidate::append_state(std::string& out) const {
  out += std::to_string(static_cast<int>(phase_)) + (wanted_ ? 'w' : '-');
  for (const std::uint64_t n : {seen_.value, token_.value, round_.value, yes_, no_, turn_})
    out += ' ' + std::to_string(n);
  out += ' ' + std::to_string((now_ - sent_at_).count()) + ' ' +
         std::to_string(std::max(end_ - now_, Micros{0}).count());
}

// Guards against a process that was stopped: whatever it does next, it first finds that its time is over.
void Candidate::set_time(Micros now) {
  now_ = std::max(now, now_);
  if (phase_ == Phase::holding && now_ >= end_) lose("its time was over before a majority renewed it");
}

void Candidate::acquire() {
  if (std::exchange(wanted_, true)) return;
  begin_round();
}

void Candidate::release() {
  wanted_ = false;
  if (phase_ == Phase::holding && acts_ > 0) return;  // when the last is over
  give_back();
}

void Candidate::give_back() {
  const bool held = phase_ == Phase::holding;
  if (phase_ != Phase::idle && phase_ != Phase::waiting) ask_all(RequestKind::release);
  phase_ = Phase::idle;
  ++turn_;
  if (held) delegate_.on_lost(token_, "let go");
}

std::optional<Candidate::Operation> Candidate::begin_operation(Micros max_duration) {
  if (!wanted_ || !holds() || max_duration > end_ - now_) return std::nullopt;
  ++acts_;
  return Operation(*this, token_);
}

void Candidate::act_over() {
  --acts_;
  if (acts_ == 0 && !wanted_ && phase_ == Phase::holding) give_back();
}

Micros Candidate::drawn(Micros most) {
  return Micros{static_cast<std::int64_t>(static_cast<double>(most.count()) *
                                          std::generate_canonical<double, 32>(chance_))};
}

void Candidate::wake(Micros in, Due due) {
  delegate_.set_timer(in, TimerId{++turn_ << 8 | static_cast<std::uint64_t>(due)});
}

bool Candidate::majority(std::uint64_t who) const {
  return 2 * static_cast<std::size_t>(std::popcount(who)) > voters_;
}

void Candidate::ask_one(VoterIndex voter, RequestKind ask) {
  delegate_.send_request(voter, {ask, lease_, token_, round_, length_});
}

void Candidate::ask_all(RequestKind ask) {
  for (std::uint32_t v = 0; v < voters_; ++v) ask_one(VoterIndex{v}, ask);
}

void Candidate::begin_round() {
  phase_ = Phase::promising;
  ++round_.value;
  yes_ = no_ = 0;
  held_for_ = Micros{0};
  in_line_ = false;
  token_ = seen_ = Token{seen_.value + 1};
  ask_all(RequestKind::prepare);
  wake(length_ / kAnswers, Due::again);
}

void Candidate::wait(Micros in, std::string_view why) {
  phase_ = Phase::waiting;
  if (why != why_) delegate_.on_waiting(why_ = why);
  wake(in, Due::again);
}

void Candidate::lose(std::string_view why) {
  delegate_.on_lost(token_, why);
  tries_ = 0;
  if (wanted_) return wait(drawn(length_ / kAnswers), why);
  phase_ = Phase::idle;
  ++turn_;
}

void Candidate::renew() {
  ++round_.value;
  yes_ = no_ = 0;
  sent_at_ = now_;
  ask_all(RequestKind::grant);
  // Again soon where answers get lost; the end comes by itself.
  wake(std::min(usable_duration(length_) / kRenews, std::max(end_ - now_, Micros{0})),
       now_ < end_ ? Due::renew : Due::end);
}

void Candidate::timer_expired(TimerId timer) {
  if (timer.value >> 8 != turn_) return;
  const auto due = static_cast<Due>(timer.value & 0xff);
  if (due != Due::again) {
    if (phase_ == Phase::holding) renew();
    return;
  }
  if (phase_ == Phase::idle || phase_ == Phase::holding) return;
  if (phase_ == Phase::waiting) return begin_round();
  ++tries_;
  const Micros most = std::min(length_ / kAnswers * (1 << std::min(tries_, 4)), length_ / kLongestPause);
  wait(drawn(most), "no majority of the voters answers");
}

void Candidate::on_reply(VoterIndex voter, const Reply& r) {
  seen_ = std::max(seen_, r.highest_promised);
  if (r.kind == ReplyKind::released) {
    // A few hear of it at once.
    if (phase_ == Phase::waiting && wanted_) wake(drawn(length_ / kSoon), Due::again);
    return;
  }
  // Guards against an answer to an earlier question: the time counted from is this round's.
  if (r.round != round_ || voter.value >= voters_) return;
  const std::uint64_t bit = 1ull << voter.value;
  const bool asks = phase_ == Phase::promising || phase_ == Phase::granting || phase_ == Phase::holding;
  if (!asks || r.token != token_) return;
  switch (r.kind) {
    case ReplyKind::promised:
      // Also from one that had not promised it before a majority had: it may grant as well.
      if (phase_ != Phase::promising) return ask_one(voter, RequestKind::grant);
      yes_ |= bit;
      if (!majority(yes_)) return;
      phase_ = Phase::granting;
      ++round_.value;
      yes_ = no_ = 0;
      sent_at_ = now_;
      ask_all(RequestKind::grant);
      return wake(length_ / kAnswers, Due::again);
    case ReplyKind::granted:
      yes_ |= bit;
      if (phase_ == Phase::promising || !majority(yes_)) return;
      // Counted from before it was asked for.
      end_ = std::max(end_, sent_at_ + usable_duration(length_));
      if (std::exchange(phase_, Phase::holding) == Phase::holding) return;
      tries_ = 0;
      why_.clear();
      holder_.clear();
      if (now_ >= end_) return lose("its time was over when a majority had granted it");
      wake(usable_duration(length_) / kRenews, Due::renew);
      if (wanted_)
        delegate_.on_acquired(token_);
      else
        give_back();
      return;
    case ReplyKind::queued:
      in_line_ = true;
      [[fallthrough]];
    case ReplyKind::held:
    case ReplyKind::preempted:
      if (r.highest_promised < token_ && r.kind == ReplyKind::preempted && phase_ != Phase::promising)
        return ask_one(voter, RequestKind::prepare);
      no_ |= bit;
      if (r.kind != ReplyKind::preempted && !r.holder.empty())
        holder_ = r.holder, held_for_ = std::max(held_for_, r.remaining);
      // Of a holder the end comes by itself.
      if (phase_ == Phase::holding || voters_ - static_cast<std::size_t>(std::popcount(no_)) > voters_ / 2)
        return;
      ++tries_;
      if (held_for_ > Micros{0})
        return wait(held_for_ + drawn(in_line_ ? length_ / kAnswers : length_ * kNotInLine),
                    "held by " + holder_);
      return wait(drawn(length_ / kAnswers * (1 << std::min(tries_, 3))), "others ask for it as well");
    case ReplyKind::released:
      return;
  }
}

}  // namespace flintweir::leases
