// One dial: a connection to a host until the host accepts the session or the dial ends otherwise.
#pragma once

#include <array>

#include "balance.h"
#include "net/stream.h"
#include "net/timer_queue.h"

namespace flintweir::line {

using namespace net;

class HostConnEvents {
 public:
  // Called before the first byte is sent. If it returns false, it has already cancelled the dial.
  virtual bool confirm_dial() = 0;
  // Called before each further part of the first line is sent: a host begins to act on the line only when it
  // has the last byte. If it returns false, it has already cancelled the dial.
  virtual bool confirm_client_waiting() = 0;
  virtual void on_host_accepted() = 0;                  // the UP line is still unread in the stream
  virtual void on_dial_ended(DialOutcome outcome) = 0;  // the connection is closed

 protected:
  ~HostConnEvents() = default;
};

class HostConn final : StreamEvents, TimerEvents {
 public:
  HostConn(Sockets& sockets, TimerQueue& timers, Micros connect_timeout, HostConnEvents& events)
      : stream_(sockets), timers_(timers), connect_timeout_(connect_timeout), events_(events) {}

  // Sends `first_line` to the host. `time_left` is the client's remaining time as digits within that line, or
  // empty; it is replaced by the time left of this dial, in milliseconds. Both views must stay valid until
  // the dial ends. The end is always reported in a later turn of the event loop, never from within this call.
  void dial(const Address& address, std::string_view first_line, std::string_view time_left, Micros timeout);
  // Ends the dial as not_sent, likewise in a later turn: for a dial that cannot be attempted.
  void fail_later();
  // Closes the connection without a callback.
  void cancel();
  bool in_progress() const { return phase_ != Phase::idle && phase_ != Phase::released; }
  // Returns the stream, with the unread UP line, for the caller to use from now on. It remains owned by this
  // object.
  Stream& release_stream();

 private:
  enum class Phase { idle, failed, connecting, sending, sent, released };
  enum class Timer : std::uint64_t { connect, dial };
  void connected(Stream&, ConnectResult result) override;
  void input_ready(Stream&) override;
  void writable(Stream&) override;
  void broken(Stream&) override;
  void timer_expired(std::uint64_t token) override;
  std::uint64_t token(Timer timer) const { return generation_ << 1 | static_cast<std::uint64_t>(timer); }
  void send();
  void end(DialOutcome outcome);

  Stream stream_;
  TimerQueue& timers_;
  Micros connect_timeout_;
  HostConnEvents& events_;
  Phase phase_ = Phase::idle;
  std::uint64_t generation_ = 0;  // tells timers of the current dial from those of earlier ones
  std::string_view first_line_, time_left_;
  std::array<char, 24> new_time_left_{};
  std::size_t new_time_left_size_ = 0, sent_ = 0;
  Micros deadline_{0};
};

}  // namespace flintweir::line
