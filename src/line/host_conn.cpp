#include "line/host_conn.h"

#include <charconv>

#include "line/protocol.h"

namespace flintweir::line {

void HostConn::dial(const Address& address, std::string_view first_line, std::string_view time_left,
                    Micros timeout) {
  first_line_ = first_line;
  time_left_ = time_left;
  deadline_ = timers_.now() + timeout;
  new_time_left_size_ = sent_ = 0;
  if (!stream_.connect(address, *this)) return fail_later();
  ++generation_;
  phase_ = Phase::connecting;
  timers_.schedule(std::min(connect_timeout_, timeout), *this, token(Timer::connect));
  timers_.schedule(timeout, *this, token(Timer::dial));
}

void HostConn::fail_later() {
  ++generation_;
  phase_ = Phase::failed;
  timers_.schedule(Micros{0}, *this, token(Timer::dial));
}

void HostConn::cancel() {
  ++generation_;
  phase_ = Phase::idle;
  stream_.close();
}

Stream& HostConn::release_stream() {
  ++generation_;
  phase_ = Phase::released;
  return stream_;
}

void HostConn::connected(Stream&, ConnectResult result) {
  if (result != ConnectResult::established) return end(DialOutcome::connect_failed);
  if (!events_.confirm_dial()) return;
  phase_ = Phase::sending;
  if (!time_left_.empty()) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - timers_.now()).count();
    const auto end = std::to_chars(new_time_left_.data(), new_time_left_.data() + new_time_left_.size(),
                                   std::max<long long>(left, 1));
    new_time_left_size_ = static_cast<std::size_t>(end.ptr - new_time_left_.data());
  }
  stream_.want_read();
  send();
}

void HostConn::writable(Stream&) {
  if (events_.confirm_client_waiting()) send();
}

// The session may have run at the host once the last byte has been written, and not before. Each write is
// therefore a plain non-blocking call, whose byte count is exact.
void HostConn::send() {
  const std::size_t before = time_left_.empty()
                                 ? first_line_.size()
                                 : static_cast<std::size_t>(time_left_.data() - first_line_.data());
  const std::string_view after =
      time_left_.empty() ? std::string_view{} : first_line_.substr(before + time_left_.size());
  const std::array<std::string_view, 3> texts{
      first_line_.substr(0, before), {new_time_left_.data(), new_time_left_size_}, after};
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
      return events_.on_host_accepted();
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

void HostConn::timer_expired(std::uint64_t expired) {
  if (expired == token(Timer::connect) && phase_ == Phase::connecting)
    return end(DialOutcome::connect_failed);
  if (expired != token(Timer::dial)) return;
  if (phase_ == Phase::failed) return end(DialOutcome::not_sent);
  if (in_progress()) end(phase_ == Phase::sent ? DialOutcome::timed_out : DialOutcome::connect_failed);
}

void HostConn::end(DialOutcome outcome) {
  cancel();
  events_.on_dial_ended(outcome);
}

}  // namespace flintweir::line
