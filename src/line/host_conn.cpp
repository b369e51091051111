#include "line/host_conn.h"

#include <charconv>

#include "line/protocol.h"

namespace flintweir::line {

void HostConn::dial(const Address& to, std::string_view head, std::string_view time_left, Micros within) {
  head_ = head;
  time_left_ = time_left;
  until_ = timers_.now() + within;
  digits_size_ = sent_ = 0;
  if (!stream_.connect(to, *this)) return fail();
  ++use_;
  phase_ = Phase::connecting;
  timers_.schedule(std::min(connect_within_, within), *this, token(Due::connect));
  timers_.schedule(within, *this, token(Due::limit));
}

void HostConn::fail() {
  ++use_;
  phase_ = Phase::failed;
  timers_.schedule(Micros{0}, *this, token(Due::limit));
}

void HostConn::give_up() {
  ++use_;
  phase_ = Phase::idle;
  stream_.close();
}

Stream& HostConn::accepted() {
  ++use_;
  phase_ = Phase::given;
  return stream_;
}

void HostConn::connected(Stream&, ConnectResult result) {
  if (result != ConnectResult::established) return end(DialOutcome::connect_failed);
  if (!owner_.still_wanted()) return;
  phase_ = Phase::sending;
  if (!time_left_.empty()) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until_ - timers_.now()).count();
    const auto end =
        std::to_chars(digits_.data(), digits_.data() + digits_.size(), std::max<long long>(left, 1));
    digits_size_ = static_cast<std::size_t>(end.ptr - digits_.data());
  }
  stream_.want_read();
  send();
}

void HostConn::writable(Stream&) {
  if (owner_.client_waits()) send();
}

// Whether the last byte was written decides whether the session may have run, so it is known exactly.
void HostConn::send() {
  const std::size_t before =
      time_left_.empty() ? head_.size() : static_cast<std::size_t>(time_left_.data() - head_.data());
  const std::string_view after =
      time_left_.empty() ? std::string_view{} : head_.substr(before + time_left_.size());
  const std::array<std::string_view, 3> texts{head_.substr(0, before), {digits_.data(), digits_size_}, after};
  std::array<std::string_view, 3> parts;
  std::size_t skip = sent_, all = 0;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    const std::size_t skipped = std::min(skip, texts[i].size());
    skip -= skipped;
    all += texts[i].size();
    parts[i] = texts[i].substr(skipped);
  }
  const auto n = stream_.write(parts);
  if (!n) return broken(stream_);
  sent_ += *n;
  if (sent_ < all) return stream_.want_write();
  phase_ = Phase::sent;
}

void HostConn::input_ready(Stream&) {
  const auto line = stream_.input().line();
  if (!line) {
    if (stream_.at_eof()) return broken(stream_);
    if (stream_.input().buffered().size() >= kMaxLineBytes) return end(DialOutcome::error_reply);
    return stream_.want_read();
  }
  std::string_view rest;
  switch (parse_host_message(trim_line_end(*line), rest)) {
    case HostMessage::up:
      return owner_.host_accepted();
    case HostMessage::bye:
      return end(DialOutcome::completed);
    case HostMessage::move:
      return end(DialOutcome::cancelled);
    case HostMessage::busy:
      return end(DialOutcome::rejected);
    default:
      return end(DialOutcome::error_reply);
  }
}

void HostConn::broken(Stream&) {
  end(phase_ == Phase::sent ? DialOutcome::connection_lost : DialOutcome::connect_failed);
}

void HostConn::timer_expired(std::uint64_t t) {
  if (t == token(Due::connect) && phase_ == Phase::connecting) return end(DialOutcome::connect_failed);
  if (t != token(Due::limit)) return;
  if (phase_ == Phase::failed) return end(DialOutcome::not_sent);
  if (out()) end(phase_ == Phase::sent ? DialOutcome::timed_out : DialOutcome::connect_failed);
}

void HostConn::end(DialOutcome how) {
  give_up();
  owner_.dial_ended(how);
}

}  // namespace flintweir::line
