// An HTTP/1.1 client for GET requests, one at a time, over a persistent connection.
#pragma once

#include <http_parser.h>

#include <string>

#include "net/deadline_timer.h"
#include "net/stream.h"

namespace flintweir::net {

enum class RequestFailure {
  timeout,            // no byte of a response arrived in time
  truncated,          // a response started but is incomplete, or it is not valid HTTP
  connection_closed,  // the connection failed, or was closed before any byte of a response
  connection_refused
};

class HttpGet final : StreamEvents, DeadlineEvents {
 public:
  class Events {
   public:
    virtual void http_response(unsigned status, std::string& body) = 0;
    // `reason` is a static text for the log.
    virtual void http_failed(const char* reason, RequestFailure failure) = 0;

   protected:
    ~Events() = default;
  };
  // The references have to outlive this object.
  HttpGet(Sockets& sockets, TimerQueue& timers, const Address& server, Events& events);

  // Sends a request; exactly one call on Events ends it, from a later turn of the event loop and not from
  // within get(). A request still pending is replaced. The server may take up to `server_wait` before it
  // starts the response (a long poll). `margin` is allowed on top of that for the first byte, and once more
  // from the first byte to the end of the response.
  void get(std::string_view path, Micros server_wait, Micros margin);
  // Sends later requests to another server. Closes the connection and cancels a pending request; no call on
  // Events follows for it.
  void set_server(const Address& server);
  const Address& server() const { return server_; }

 private:
  void connected(Stream&, ConnectResult result) override;
  void input_ready(Stream&) override;
  void writable(Stream&) override { send(); }
  void broken(Stream&) override;
  void deadline_reached() override;
  void send();
  void cancel();  // the pending request; closes its connection
  void fail(const char* reason, RequestFailure failure);
  // `failure`, or truncated where a response had started.
  RequestFailure unless_started(RequestFailure failure) const {
    return response_started_ ? RequestFailure::truncated : failure;
  }

  Stream stream_;
  TimerQueue& timers_;
  DeadlineTimer timer_;  // of the next step of the request
  Address server_;
  std::string host_header_;
  Events& events_;
  http_parser parser_{};
  http_parser_settings callbacks_{};
  std::string request_, body_;
  std::size_t sent_ = 0;  // bytes of request_
  Micros requested_at_{0}, server_wait_{0}, margin_{0};
  bool pending_ = false, reused_connection_ = false, response_started_ = false, response_complete_ = false;
};

}  // namespace flintweir::net
