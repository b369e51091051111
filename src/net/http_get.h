// One HTTP/1.1 GET at a time over a kept connection.
#pragma once

#include <http_parser.h>

#include <string>

#include "net/stream.h"
#include "net/timer_queue.h"

namespace flintweir::net {

enum class RequestFailure {
  timeout,            // no byte of a response came in time
  truncated,          // a response began and did not come whole, or is not HTTP
  connection_closed,  // without a response, or it did not come up
  connection_refused
};

class HttpGet final : StreamEvents, TimerEvents {
 public:
  class Events {
   public:
    virtual void http_response(unsigned status, std::string& body) = 0;
    virtual void http_failed(const char* why, RequestFailure how) = 0;

   protected:
    ~Events() = default;
  };
  HttpGet(Sockets& sockets, TimerQueue& timers, const Address& at, Events& events);

  // One call on Events ends it, in a later turn. The service may wait for so long before it begins to answer;
  // that and the answer's end may each come `slack` later.
  void get(std::string_view path, Micros wait, Micros slack);
  // From now on asks there; a call that is out ends without a word.
  void set_server(const Address& at);
  const Address& server() const { return at_; }

 private:
  void connected(Stream&, ConnectResult result) override;
  void input_ready(Stream&) override;
  void writable(Stream&) override { send(); }
  void broken(Stream&) override;
  void timer_expired(std::uint64_t token) override;
  void send();
  void drop();  // the call that is out, with its connection
  void fail(const char* why, RequestFailure how);
  // How a call fails of which nothing more is to be had.
  RequestFailure unless_begun(RequestFailure how) const { return begun_ ? RequestFailure::truncated : how; }
  void expect(Micros within);  // what comes next

  Stream stream_;
  TimerQueue& timers_;
  Address at_;
  std::string host_;
  Events& events_;
  http_parser parser_{};
  http_parser_settings callbacks_{};
  std::string request_, body_;
  std::size_t sent_ = 0;
  std::uint64_t token_ = 0;
  Micros asked_at_{0}, wait_{0}, slack_{0}, due_{0};
  bool asking_ = false, kept_ = false, begun_ = false, whole_ = false;
};

}  // namespace flintweir::net
