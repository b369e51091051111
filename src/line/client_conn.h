// A client's connection until its session is accepted or answered: reads the first line, sends the answer and
// closes.
#pragma once

#include <array>

#include "line/idle_clients.h"
#include "line/reason.h"
#include "net/deadline_timer.h"
#include "net/stream.h"

namespace flintweir::line {

using namespace net;

// Whether this node can take clients, as it tells the load balancers in front of it.
enum class Readiness {
  starting,  // health checks (PING) wait for their answer
  ready,
  leaving  // health checks are rejected
};

class ClientConnEvents {
 public:
  virtual Readiness readiness() const = 0;
  // `line` lacks its line end. It stays valid until the stream is released or the client is answered.
  virtual void on_first_line(std::string_view line) = 0;
  virtual void on_client_left() = 0;                 // after its first line, before any answer
  virtual void on_client_closed() = 0;               // the connection is closed; the object may be reused
  virtual void on_client_failed(Reason reason) = 0;  // before a first line came; on_client_closed() follows

 protected:
  ~ClientConnEvents() = default;
};

class ClientConn final : StreamEvents, DeadlineEvents, IdleClient {
 public:
  ClientConn(Sockets& sockets, TimerQueue& timers, IdleClients& idle_clients, Micros first_line_timeout,
             ClientConnEvents& events)
      : stream_(sockets),
        timers_(timers),
        timer_(timers, *this),
        idle_clients_(idle_clients),
        first_line_timeout_(first_line_timeout),
        events_(events) {}

  // Takes ownership of `socket`.
  void start(SocketKey socket);
  // The first line with its line end, as a view into the input buffer.
  std::string_view first_line() const { return first_line_; }
  // Answers a health check that has waited for this node to become ready, or to leave.
  void readiness_changed();
  // Reads what has arrived and returns whether the client still waits for its answer. If it has left,
  // on_client_left() has been called.
  bool check_waiting();
  // Sends the final answer. The connection is closed once the client has had time to read it.
  void answer(std::string_view line);
  // Returns the stream, without the first line, for the caller to use from now on. It remains owned by this
  // object.
  Stream& release_stream();

 private:
  enum class Phase { idle, first_line, waiting, lingering, released };
  void input_ready(Stream&) override;
  void writable(Stream&) override;
  void broken(Stream&) override;
  void deadline_reached() override;
  void evict() override;
  void find_first_line();
  void accept_first_line(std::string_view line);
  // Answers the health checks at the front of the input, as many as one write takes. Returns false if they
  // are to be rejected.
  bool answer_health_checks();
  bool input_ended_or_full() { return stream_.at_eof() || stream_.input().full(); }
  void reject_first_line();
  // Appends `text` to the output. Returns false if it has no room.
  bool queue(std::string_view text);
  // Queues `text` and writes what the kernel takes. Returns false if the connection is broken or the queue
  // has no room.
  bool send(std::string_view text) { return queue(text) && flush(); }
  bool flush();
  bool all_sent() const { return unsent_begin_ == unsent_end_; }
  void close();

  Stream stream_;
  TimerQueue& timers_;
  DeadlineTimer timer_;
  IdleClients& idle_clients_;
  Micros first_line_timeout_;
  ClientConnEvents& events_;
  Phase phase_ = Phase::idle;
  bool pinged_ = false;
  // Output that the kernel has not taken yet. Further input lines are read only when it is empty.
  std::array<char, 48> unsent_{};
  std::size_t unsent_begin_ = 0, unsent_end_ = 0;
  // Bytes received after the answer: in all, and until the previous check.
  std::size_t discarded_ = 0, discarded_before_ = 0;
  Micros discard_deadline_{0};
  std::string_view first_line_;
};

// How long a side that has been sent everything may take to close its own direction.
inline constexpr Micros kLingerTime = std::chrono::seconds(1);
// Limits on reading from a client that goes on sending after its answer. Some clients read the answer only
// when they have sent everything.
inline constexpr Micros kMaxDiscardTime = 5 * kLingerTime;
inline constexpr std::size_t kMaxDiscardBytes = 64u << 20;

}  // namespace flintweir::line
