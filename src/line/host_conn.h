// One dial: a connection to a host up to its answer, and how it ended otherwise.
#pragma once

#include <array>

#include "balance.h"
#include "net/stream.h"
#include "net/timer_queue.h"

namespace flintweir::line {

using namespace net;

class HostOwner {
 public:
  virtual bool still_wanted() = 0;  // before the first byte; where not, the dial has been given up
  // Before each further part, until the last byte is out: a dial begins with that. Where not, as above.
  virtual bool client_waits() = 0;
  virtual void host_accepted() = 0;              // the UP line lies unread in the stream
  virtual void dial_ended(DialOutcome how) = 0;  // the connection is closed

 protected:
  ~HostOwner() = default;
};

class HostConn final : StreamEvents, TimerEvents {
 public:
  HostConn(Sockets& sockets, TimerQueue& timers, Micros connect_within, HostOwner& owner)
      : stream_(sockets), timers_(timers), connect_within_(connect_within), owner_(owner) {}

  // `head` is sent on, but for the digits `time_left` within it, which become the time that this dial has.
  // Both must stay in place until it ends. The end comes in a later turn, never from within.
  void dial(const Address& to, std::string_view head, std::string_view time_left, Micros within);
  void fail();     // as a dial that can't be made; ends in a later turn, too
  void give_up();  // without a call on the owner
  bool out() const { return phase_ != Phase::idle && phase_ != Phase::given; }
  Stream& accepted();  // from now on another's

 private:
  enum class Phase { idle, failed, connecting, sending, sent, given };
  enum class Due : std::uint64_t { connect, limit };
  void connected(Stream&, ConnectResult result) override;
  void input_ready(Stream&) override;
  void writable(Stream&) override;
  void broken(Stream&) override;
  void timer_expired(std::uint64_t token) override;
  std::uint64_t token(Due due) const { return use_ << 1 | static_cast<std::uint64_t>(due); }
  void send();
  void end(DialOutcome how);

  Stream stream_;
  TimerQueue& timers_;
  Micros connect_within_;
  HostOwner& owner_;
  Phase phase_ = Phase::idle;
  std::uint64_t use_ = 0;
  std::string_view head_, time_left_;
  std::array<char, 24> digits_{};
  std::size_t digits_size_ = 0, sent_ = 0;
  Micros until_{0};
};

}  // namespace flintweir::line
