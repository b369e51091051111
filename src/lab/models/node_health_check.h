// The front balancer's periodic health check of one node: a PING on a new connection. Calls `on_result` with
// each outcome; a check without an answer by the next one has failed.
#pragma once

#include <functional>

#include "net/stream.h"
#include "net/timer_queue.h"

namespace flintweir::lab {

class NodeHealthCheck final : net::StreamEvents, net::TimerEvents {
 public:
  NodeHealthCheck(net::Sockets& sockets, net::TimerQueue& timers, Micros interval,
                  std::function<void(bool)> on_result)
      : stream_(sockets), timers_(timers), interval_(interval), on_result_(std::move(on_result)) {}

  void start(const Address& address) {
    address_ = address;
    check();
  }
  void stop() { stream_.close(); }

 private:
  void check() {
    timers_.schedule(interval_, *this, ++generation_);
    if (!stream_.connect(address_, *this)) on_result_(false);
  }
  void connected(net::Stream& stream, net::ConnectResult result) override {
    if (result != net::ConnectResult::established || !stream.write("PING\r\n")) return finish(false);
    stream.want_read();
  }
  void input_ready(net::Stream& stream) override {
    if (const auto line = stream.input().line()) return finish(line->starts_with("PONG"));
    if (stream.at_eof()) return finish(false);
    stream.want_read();
  }
  void broken(net::Stream&) override { finish(false); }
  void finish(bool answered) {
    stream_.close();
    on_result_(answered);
  }
  void timer_expired(std::uint64_t generation) override {
    if (generation != generation_) return;
    if (stream_.open()) finish(false);  // no answer in time
    check();
  }

  net::Stream stream_;
  net::TimerQueue& timers_;
  Micros interval_;
  std::function<void(bool)> on_result_;
  Address address_;
  std::uint64_t generation_ = 0;
};

}  // namespace flintweir::lab
