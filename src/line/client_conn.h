// A client's connection up to its session's acceptance: the first line, the answer, the end.
#pragma once

#include <array>

#include "line/idle_clients.h"
#include "line/reason.h"
#include "net/stream.h"
#include "net/timer_queue.h"

namespace flintweir::line {

using namespace net;

class ClientOwner {
 public:
  virtual bool taking() const = 0;  // whether fronts are told that this node takes clients
  virtual void head_came(std::string_view line) = 0;
  virtual void client_left() = 0;                 // after its first line, before any answer
  virtual void client_closed() = 0;               // all is over, the place may be used again
  virtual void client_failed(Reason reason) = 0;  // before a first line came; closes soon

 protected:
  ~ClientOwner() = default;
};

class ClientConn final : StreamEvents, TimerEvents, IdleClient {
 public:
  ClientConn(Sockets& sockets, TimerQueue& timers, IdleClients& idle, Micros first_line_within,
             ClientOwner& owner)
      : stream_(sockets),
        timers_(timers),
        idle_(idle),
        first_line_within_(first_line_within),
        owner_(owner) {}

  void begin(SocketKey socket);
  std::string_view head() const { return head_; }  // where it lies in the buffer
  // Whether it still waits, looked at anew; where not, its owner has been told.
  bool still_waits();
  // The final answer; the connection is closed once the client has had time to read it.
  void answer(std::string_view line);
  Stream& accepted();  // from now on another's

 private:
  enum class Phase { idle, head, waiting, lingering, given };
  void input_ready(Stream&) override;
  void writable(Stream&) override;
  void broken(Stream&) override;
  void timer_expired(std::uint64_t token) override;
  void evict() override;
  void look_for_head();
  bool gone() { return stream_.at_eof() || stream_.input().full(); }
  void fail();
  bool say(std::string_view text);  // false: the connection is broken, or there is no place for it
  bool flush();
  bool all_out() const { return unsaid_begin_ == unsaid_end_; }
  void close();

  Stream stream_;
  TimerQueue& timers_;
  IdleClients& idle_;
  Micros first_line_within_;
  ClientOwner& owner_;
  Phase phase_ = Phase::idle;
  std::uint64_t token_ = 0;
  bool pinged_ = false;
  // What the other side has not taken yet of what was said to it: one line, as the next waits for it.
  std::array<char, 48> unsaid_{};
  std::size_t unsaid_begin_ = 0, unsaid_end_ = 0;
  std::size_t drained_ = 0, drained_seen_ = 0;  // bytes that came after the answer, now and when last looked
  Micros drained_until_{0};                     // the latest that more may come
  std::string_view head_;
};

inline constexpr Micros kLinger = std::chrono::seconds(1);  // for the other side to end as well
// A client that goes on sending after its answer is read for so long and so much: it may look for the answer
// only when it has sent all it has.
inline constexpr Micros kDrain = 5 * kLinger;
inline constexpr std::size_t kMostDrained = 64u << 20;

}  // namespace flintweir::line
