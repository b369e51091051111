// An accepted session: lines passed on both ways, unchanged, until one side ends it or it is moved.
#pragma once

#include "balance.h"
#include "line/reason.h"
#include "net/stream.h"
#include "net/timer_queue.h"

namespace flintweir::line {

using namespace net;

class RelayOwner {
 public:
  virtual void load_is(double micros_per_s) = 0;
  virtual void message_took(Micros delay) = 0;
  virtual void relay_over(DialOutcome how, Reason why) = 0;  // once; both sides may take a while yet to close
  virtual void relay_closed() = 0;                           // the places may be used again

 protected:
  ~RelayOwner() = default;
};

class Relay final : StreamEvents, TimerEvents {
 public:
  Relay(TimerQueue& timers, RelayOwner& owner) : timers_(timers), owner_(owner) {}

  void start(Stream& client, Stream& host);
  // Tells the client to come again and closes both sides, in a later turn. Harmless once over.
  void move(Reason why);
  bool moving() const { return moving_; }

 private:
  enum class Due : std::uint64_t { move, stuck, silence, linger };
  void input_ready(Stream& stream) override;
  void writable(Stream& stream) override;
  void broken(Stream& stream) override;
  void timer_expired(std::uint64_t token) override;
  std::uint64_t token(Due due) const { return use_ << 2 | static_cast<std::uint64_t>(due); }
  void client_came();
  void host_came();
  void up_stream();
  void down_stream();
  void say_move();
  void linger();
  void host_over();
  void over(DialOutcome how, Reason why);
  void close();

  TimerQueue& timers_;
  RelayOwner& owner_;
  Stream* client_ = nullptr;
  Stream* host_ = nullptr;
  std::uint64_t use_ = 0;
  std::size_t seen_ = 0;        // of what is held for the client: lines looked at
  std::string_view move_left_;  // of the MOVE line: not written yet
  bool between_lines_ = true;   // as the client has them
  bool moving_ = false, over_ = false, bye_ = false, sent_away_ = false;
  Reason why_moving_ = Reason::moved;
  std::size_t lagging_ = 0;  // bytes that the client had still to take when last looked at
  Micros asked_at_{0};       // by a client's line that nothing has come back for; zero: none
};

}  // namespace flintweir::line
