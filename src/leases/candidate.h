// Client side of one lease: contends for it, renews it while it is held, and admits operations under it. No
// I/O and no clock: the caller passes the time with set_time(), of a clock that keeps running while the
// machine is suspended.
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
    // Calls timer_expired(timer) after the delay.
    virtual void set_timer(Micros delay, TimerId timer) = 0;
    virtual void on_acquired(Token token) = 0;
    virtual void on_lost(Token token, std::string_view why) = 0;
    // Why the lease is not held; called whenever the reason changes.
    virtual void on_waiting(std::string_view why) = 0;
  };

  // An operation under the lease, which ends with this object. The lease is not released while one is open.
  class Operation {
   public:
    Operation(Operation&& o) noexcept : owner_(std::exchange(o.owner_, nullptr)), token_(o.token_) {}
    ~Operation() {
      if (owner_) owner_->end_operation();
    }
    Token token() const { return token_; }

   private:
    friend class Candidate;
    Operation(Candidate& owner, Token token) : owner_(&owner), token_(token) {}
    Candidate* owner_;
    Token token_;
  };

  // `voters`: their number; a majority of them grants the lease. `min_token`: all tokens of this candidate
  // are larger. `seed`: of the random delays.
  Candidate(Delegate& delegate, std::string lease, std::size_t voters, Micros duration, Token min_token,
            std::uint64_t seed);

  // Copies the state for another delegate; open operations are not copied.
  Candidate(const Candidate& other, Delegate& delegate);

  // Sets the current time; call it before any other call.
  void set_time(Micros now);
  // Starts to contend for the lease.
  void acquire();
  // Stops contending, and releases the lease as soon as no operation is open.
  void release();
  void on_reply(VoterIndex voter, const Reply& reply);
  void timer_expired(TimerId timer);
  // Reports that a resource protected by the lease has seen this token; later ones will be larger.
  void observe_token(Token token) { highest_seen_ = std::max(highest_seen_, token); }

  // Admits an operation that takes at most that long; nullopt if the lease is not held for long enough.
  std::optional<Operation> begin_operation(Micros max_duration);

  bool holds() const { return phase_ == Phase::holding && now_ < expires_; }
  Token token() const { return token_; }
  Micros remaining() const { return holds() ? expires_ - now_ : Micros{0}; }
  // Appends all state that the next steps depend on, except the random numbers; times are relative to now.
  void append_state(std::string& out) const;
  const std::string& lease() const { return lease_; }
  const std::string& holder() const { return holder_; }  // another client, as last reported by a voter

 private:
  enum class Phase { idle, waiting, preparing, granting, holding };
  enum class Timer : std::uint64_t { retry = 1, renew, expire };
  void set_timer(Micros delay, Timer timer);
  void begin_round();
  void send_to_all(RequestKind kind);
  void send_to(VoterIndex voter, RequestKind kind);
  void renew();
  void wait(Micros delay, std::string_view why);
  void lose(std::string_view why);
  void end_operation();
  void release_now();
  bool is_majority(std::uint64_t voters) const;
  Micros random_delay(Micros max_delay);

  Delegate& delegate_;
  std::string lease_, holder_, wait_reason_;
  std::size_t voters_;
  Micros duration_, now_{0}, sent_at_{0}, expires_{0}, held_for_{0};
  std::knuth_b rng_;
  Phase phase_ = Phase::idle;
  Token highest_seen_, token_;
  Round round_;
  std::uint64_t accepted_ = 0, rejected_ = 0;  // in this round, one bit per voter
  std::uint64_t timer_seq_ = 0;
  int attempts_ = 0, open_operations_ = 0;
  bool wanted_ = false;
  bool queued_ = false;  // by any voter in this round
};

}  // namespace flintweir::leases
