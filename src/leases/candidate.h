// One would-be holder of one lease: asks the voters, holds while a majority of them grants, and hands out
// acts. No I/O and no clock: the caller says the time with at(), of a clock that goes on while the machine
// sleeps.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "leases/messages.h"

namespace flintweir::leases {

class Candidate {
 public:
  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual void send_request(VoterIndex voter, const Request& request) = 0;  // may be lost
    virtual void set_timer(Micros delay, TimerId timer) = 0;
    virtual void on_acquired(Token token) = 0;
    virtual void on_lost(Token token, std::string_view why) = 0;
    virtual void on_waiting(
        std::string_view why) = 0;  // why nobody holds it here, each time that it is another reason
  };

  // One act of the holder's, from its making to its end; while any is open the lease is not let go.
  class Operation {
   public:
    Operation(Operation&& o) noexcept : of_(std::exchange(o.of_, nullptr)), token_(o.token_) {}
    ~Operation() {
      if (of_) of_->act_over();
    }
    Token token() const { return token_; }

   private:
    friend class Candidate;
    Operation(Candidate& of, Token token) : of_(&of), token_(token) {}
    Candidate* of_;
    Token token_;
  };

  // `voters`: of the set, a majority of which grants. `base`: no token of this seeker's is smaller.
  Candidate(Delegate& delegate, std::string lease, std::size_t voters, Micros length, Token base,
            std::uint64_t seed);

  // The same, in the same state, for another outlet; without its acts.
  Candidate(const Candidate& of, Delegate& delegate);

  void set_time(Micros now);
  void acquire();
  // Asks for it no more, and tells the voters as soon as no act is open.
  void release();
  void on_reply(VoterIndex voter, const Reply& reply);
  void timer_expired(TimerId timer);
  // Whoever was acted on has seen a larger token.
  void observe_token(Token token) { seen_ = std::max(seen_, token); }

  // An act that takes at most so long, or none where that does not fit into what is left of the lease.
  std::optional<Operation> begin_operation(Micros max_duration);

  bool holds() const { return phase_ == Phase::holding && now_ < end_; }
  Token token() const { return token_; }
  Micros remaining() const { return holds() ? end_ - now_ : Micros{0}; }
  // All that its next moves hang on, but for chance; times from now on.
  void append_state(std::string& out) const;
  const std::string& lease() const { return lease_; }
  const std::string& holder() const { return holder_; }  // as last heard of, where another holds it

 private:
  enum class Phase { idle, waiting, promising, granting, holding };
  enum class Due : std::uint64_t { again = 1, renew, end };
  void wake(Micros in, Due due);
  void begin_round();
  void ask_all(RequestKind ask);
  void ask_one(VoterIndex voter, RequestKind ask);
  void renew();
  void wait(Micros in, std::string_view why);
  void lose(std::string_view why);
  void act_over();
  void give_back();
  bool majority(std::uint64_t who) const;
  Micros drawn(Micros most);

  Delegate& delegate_;
  std::string lease_, holder_, why_;
  std::size_t voters_;
  Micros length_, now_{0}, sent_at_{0}, end_{0}, held_for_{0};
  std::knuth_b chance_;
  Phase phase_ = Phase::idle;
  Token seen_, token_;
  Round round_;
  std::uint64_t yes_ = 0, no_ = 0;  // of this round, a bit a voter
  std::uint64_t turn_ = 0;
  int tries_ = 0, acts_ = 0;
  bool wanted_ = false, in_line_ = false;  // at any voter, in this round
};

}  // namespace flintweir::leases
