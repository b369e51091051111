#include "net/http_get.h"

namespace flintweir::net {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxBodyBytes = 16u << 20;
constexpr Micros kRetryWindow = 50ms;   // a round trip and a margin
constexpr Micros kConnectTimeout = 2s;  // enough for a connection whose first packet is lost

}  // namespace

HttpGet::HttpGet(Sockets& sockets, TimerQueue& timers, const Address& server, Events& events)
    : stream_(sockets), timers_(timers), timer_(timers, *this), events_(events) {
  set_server(server);
  http_parser_settings_init(&callbacks_);
  callbacks_.on_body = [](http_parser* p, const char* bytes, std::size_t n) {
    std::string& body = static_cast<HttpGet*>(p->data)->body_;
    if (body.size() + n > kMaxBodyBytes) return 1;
    body.append(bytes, n);
    return 0;
  };
  callbacks_.on_message_complete = [](http_parser* p) {
    static_cast<HttpGet*>(p->data)->response_complete_ = true;
    http_parser_pause(p, 1);
    return 0;
  };
}

void HttpGet::set_server(const Address& server) {
  server_ = server;
  host_header_ = to_text(server);
  cancel();
}

void HttpGet::cancel() {
  pending_ = false;
  timer_.cancel();
  stream_.close();
}

void HttpGet::get(std::string_view path, Micros server_wait, Micros margin) {
  request_ = "GET ";
  request_.append(path)
      .append(" HTTP/1.1\r\nHost: ")
      .append(host_header_)
      .append("\r\nAccept: application/json\r\n\r\n");
  body_.clear();
  sent_ = 0;
  response_started_ = response_complete_ = false;
  pending_ = true;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  requested_at_ = timers_.now();
  server_wait_ = server_wait;
  margin_ = margin;
  if (stream_.open() && !stream_.reusable()) stream_.close();
  reused_connection_ = stream_.open();
  timer_.set(reused_connection_ ? server_wait + margin : kConnectTimeout);
  if (reused_connection_) return send();
  if (!stream_.connect(server_, *this)) timer_.set(Micros{0});
}

void HttpGet::connected(Stream&, ConnectResult result) {
  if (result == ConnectResult::refused) return fail("connection refused", RequestFailure::connection_refused);
  if (result == ConnectResult::failed) return fail("connection failed", RequestFailure::connection_closed);
  timer_.set(server_wait_ + margin_);
  stream_.want_read();
  send();
}

void HttpGet::send() {
  const auto written = stream_.write(std::string_view(request_).substr(sent_));
  if (!written) return broken(stream_);
  sent_ += *written;
  if (sent_ < request_.size()) stream_.want_write();
  stream_.want_read();
}

void HttpGet::input_ready(Stream&) {
  const std::string_view bytes = stream_.input().buffered();
  if (!pending_) return stream_.close();  // the server closed an idle connection, or sent unrequested bytes
  if (!bytes.empty()) {
    reused_connection_ = false;
    response_started_ = true;
    // A server that has started its response has nothing left to wait for, so the rest is due within the
    // margin. Guards against a server that stalls in the middle of a response.
    if (timer_.deadline() - timers_.now() > margin_) timer_.set(margin_);
    http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
  }
  if (!response_complete_ && stream_.at_eof()) {
    http_parser_execute(&parser_, &callbacks_, nullptr, 0);  // the end of the stream may delimit a body
    if (!response_complete_) return broken(stream_);
  }
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  if (error != HPE_OK && error != HPE_PAUSED) return fail(http_errno_name(error), RequestFailure::truncated);
  stream_.input().clear();
  if (!response_complete_) return stream_.want_read();
  pending_ = false;
  timer_.cancel();
  if (stream_.at_eof() || !http_should_keep_alive(&parser_))
    stream_.close();
  else
    stream_.want_read();
  events_.http_response(parser_.status_code, body_);
}

void HttpGet::broken(Stream&) {
  stream_.close();
  if (!pending_) return;
  // The server may have closed a reused connection before the request reached it: the request is sent once
  // more, on a new connection. One that breaks later than a round trip had delivered the request, and is not
  // repeated. Otherwise all nodes would resend at the moment when an overloaded server drops their requests,
  // without the pause that is due between attempts.
  if (std::exchange(reused_connection_, false) && timers_.now() - requested_at_ < kRetryWindow) {
    sent_ = 0;
    return timer_.set(stream_.connect(server_, *this) ? kConnectTimeout : Micros{0});
  }
  fail("connection closed before the end of the response", unless_started(RequestFailure::connection_closed));
}

void HttpGet::deadline_reached() { fail("request timed out", unless_started(RequestFailure::timeout)); }

void HttpGet::fail(const char* reason, RequestFailure failure) {
  cancel();
  events_.http_failed(reason, failure);
}

}  // namespace flintweir::net
