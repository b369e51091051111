// The front's checks of one node on a network.
#pragma once

#include <functional>

#include "net/stream.h"
#include "net/timer_queue.h"

namespace flintweir::lab {

class NodeHealthCheck final : net::StreamEvents, net::TimerEvents {
 public:
  NodeHealthCheck(net::Sockets& sockets, net::TimerQueue& timers, Micros every,
                  std::function<void(bool)> told)
      : stream_(sockets), timers_(timers), every_(every), told_(std::move(told)) {}

  void start(const Address& at) {
    at_ = at;
    check();
  }
  void stop() { stream_.close(); }

 private:
  void check() {
    timers_.schedule(every_, *this, ++turn_);
    if (!stream_.connect(at_, *this)) told_(false);
  }
  void connected(net::Stream& s, net::ConnectResult result) override {
    if (result != net::ConnectResult::established || !s.write("PING\r\n")) return over(false);
    s.want_read();
  }
  void input_ready(net::Stream& s) override {
    if (const auto line = s.input().line()) return over(line->starts_with("PONG"));
    if (s.at_eof()) return over(false);
    s.want_read();
  }
  void broken(net::Stream&) override { over(false); }
  void over(bool answered) {
    stream_.close();
    told_(answered);
  }
  void timer_expired(std::uint64_t turn) override {
    if (turn != turn_) return;
    if (stream_.open()) over(false);  // no answer by the next check
    check();
  }

  net::Stream stream_;
  net::TimerQueue& timers_;
  Micros every_;
  std::function<void(bool)> told_;
  Address at_;
  std::uint64_t turn_ = 0;
};

}  // namespace flintweir::lab
