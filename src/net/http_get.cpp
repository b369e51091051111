#include "net/http_get.h"

namespace flintweir::net {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kLongestBody = 16u << 20;
constexpr Micros kCrossing = 50ms;  // a round trip and a little
constexpr Micros kComesUp = 2s;     // a connection, also where its first packet is lost

}  // namespace

HttpGet::HttpGet(Sockets& sockets, TimerQueue& timers, const Address& at, Events& events)
    : stream_(sockets), timers_(timers), events_(events) {
  set_server(at);
  http_parser_settings_init(&callbacks_);
  callbacks_.on_body = [](http_parser* p, const char* bytes, std::size_t n) {
    std::string& body = static_cast<HttpGet*>(p->data)->body_;
    if (body.size() + n > kLongestBody) return 1;
    body.append(bytes, n);
    return 0;
  };
  callbacks_.on_message_complete = [](http_parser* p) {
    static_cast<HttpGet*>(p->data)->whole_ = true;
    http_parser_pause(p, 1);
    return 0;
  };
}

void HttpGet::set_server(const Address& at) {
  at_ = at;
  host_ = to_text(at);
  drop();
}

void HttpGet::drop() {
  asking_ = false;
  ++token_;
  stream_.close();
}

void HttpGet::get(std::string_view path, Micros wait, Micros slack) {
  request_ = "GET ";
  request_.append(path)
      .append(" HTTP/1.1\r\nHost: ")
      .append(host_)
      .append("\r\nAccept: application/json\r\n\r\n");
  body_.clear();
  sent_ = 0;
  begun_ = whole_ = false;
  asking_ = true;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  ++token_;
  asked_at_ = timers_.now();
  wait_ = wait;
  slack_ = slack;
  if (stream_.open() && !stream_.reusable()) stream_.close();
  kept_ = stream_.open();
  expect(kept_ ? wait + slack : kComesUp);
  if (kept_) return send();
  if (!stream_.connect(at_, *this)) expect(Micros{0});
}

void HttpGet::expect(Micros within) {
  due_ = timers_.now() + within;
  timers_.schedule(within, *this, token_);
}

void HttpGet::connected(Stream&, ConnectResult result) {
  if (result == ConnectResult::refused) return fail("connection refused", RequestFailure::connection_refused);
  if (result == ConnectResult::failed) return fail("no connection", RequestFailure::connection_closed);
  expect(wait_ + slack_);
  stream_.want_read();
  send();
}

void HttpGet::send() {
  const auto n = stream_.write(std::string_view(request_).substr(sent_));
  if (!n) return broken(stream_);
  sent_ += *n;
  if (sent_ < request_.size()) stream_.want_write();
  stream_.want_read();
}

void HttpGet::input_ready(Stream&) {
  const std::string_view bytes = stream_.input().buffered();
  if (!asking_) return stream_.close();  // the end of an idle connection, or what nobody asked for
  if (!bytes.empty()) {
    kept_ = false;
    begun_ = true;
    // One that has begun to answer waits for nothing any more. Guards against a service that falls silent
    // within.
    if (due_ - timers_.now() > slack_) expect(slack_);
    http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
  }
  if (!whole_ && stream_.at_eof()) {
    http_parser_execute(&parser_, &callbacks_, nullptr, 0);  // a body may last until the end
    if (!whole_) return broken(stream_);
  }
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  if (error != HPE_OK && error != HPE_PAUSED) return fail(http_errno_name(error), RequestFailure::truncated);
  stream_.input().clear();
  if (!whole_) return stream_.want_read();
  asking_ = false;
  ++token_;
  if (stream_.at_eof() || !http_should_keep_alive(&parser_))
    stream_.close();
  else
    stream_.want_read();
  events_.http_response(parser_.status_code, body_);
}

void HttpGet::broken(Stream&) {
  stream_.close();
  if (!asking_) return;
  // A kept connection may have ended before the question was there: asked again on a new one, once. One that
  // ends later has been heard. Guards against all nodes asking again in the moment in which a service that is
  // swamped breaks their calls off, without the pause that is due.
  if (std::exchange(kept_, false) && timers_.now() - asked_at_ < kCrossing) {
    sent_ = 0;
    return expect(stream_.connect(at_, *this) ? kComesUp : Micros{0});
  }
  fail("the connection broke", unless_begun(RequestFailure::connection_closed));
}

void HttpGet::timer_expired(std::uint64_t token) {
  if (token == token_ && asking_ && timers_.now() >= due_)
    fail("no answer in time", unless_begun(RequestFailure::timeout));
}

void HttpGet::fail(const char* why, RequestFailure how) {
  drop();
  events_.http_failed(why, how);
}

}  // namespace flintweir::net
