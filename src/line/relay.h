// An accepted session: forwards lines unchanged in both directions until one side ends it or it is moved.
#pragma once

#include "balance.h"
#include "line/reason.h"
#include "net/deadline_timer.h"
#include "net/stream.h"

namespace flintweir::line {

using namespace net;

class RelayEvents {
 public:
  // The session's load as the host reports it, in microseconds of work per second.
  virtual void on_host_load(double micros_per_s) = 0;
  // The time from a client's line to the host's next line.
  virtual void on_message_delay(Micros delay) = 0;
  // Called once, when the session is over. The connections may stay open for a while.
  virtual void on_relay_ended(DialOutcome outcome, Reason reason) = 0;
  // Both connections are closed; their objects may be reused.
  virtual void on_relay_closed() = 0;

 protected:
  ~RelayEvents() = default;
};

class Relay final : StreamEvents, TimerEvents, DeadlineEvents {
 public:
  Relay(TimerQueue& timers, RelayEvents& events)
      : timers_(timers), silence_timer_(timers, *this), events_(events) {}

  // Uses both streams until on_relay_closed(). The caller keeps their ownership.
  void start(Stream& client, Stream& host);
  // Tells the client to reconnect (MOVE) and closes both sides, in a later turn of the event loop. Does
  // nothing once the session has ended.
  void move(Reason reason);
  bool moving() const { return moving_; }

 private:
  enum class Timer : std::uint64_t { move, move_stuck, linger };
  void input_ready(Stream& stream) override;
  void writable(Stream& stream) override;
  void broken(Stream& stream) override;
  void timer_expired(std::uint64_t token) override;
  void deadline_reached() override;  // the host may have been silent for too long
  std::uint64_t token(Timer timer) const { return generation_ << 2 | static_cast<std::uint64_t>(timer); }
  void on_client_input();
  void on_host_input();
  void forward_to_host();
  void forward_to_client();
  void send_move();
  void check_linger();
  void host_ended();
  void finish(DialOutcome outcome, Reason reason);
  void close();

  TimerQueue& timers_;
  DeadlineTimer silence_timer_;
  RelayEvents& events_;
  Stream* client_ = nullptr;
  Stream* host_ = nullptr;
  std::uint64_t generation_ = 0;  // tells timers of the current session from those of earlier ones
  std::size_t parsed_ = 0;        // bytes at the front of the host's input that are whole, parsed lines
  std::string_view unsent_move_;  // the part of the MOVE line that the kernel has not taken yet
  bool at_line_start_ = true;     // the last byte sent to the client ended a line
  bool moving_ = false, ended_ = false;
  bool last_line_bye_ = false;  // the host's latest line was BYE
  bool move_sent_ = false;      // MOVE came from the host or was sent by this node
  Reason move_reason_ = Reason::moved;
  // Bytes for the client that were left at the last linger check.
  std::size_t unsent_at_last_check_ = 0;
  // When the first client's line that has no reply yet arrived; zero if all have one.
  Micros awaiting_reply_since_{0};
};

}  // namespace flintweir::line
