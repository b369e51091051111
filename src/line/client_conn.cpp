#include "line/client_conn.h"

namespace flintweir::line {

void ClientConn::begin(SocketKey socket) {
  stream_.adopt(socket, *this);
  phase_ = Phase::head;
  pinged_ = false;
  unsaid_begin_ = unsaid_end_ = 0;
  head_ = {};
  idle_.add(*this);
  timers_.schedule(first_line_within_, *this, ++token_);
  stream_.read();  // under a flood of others its line has long come
}

void ClientConn::input_ready(Stream&) {
  if (phase_ == Phase::head) look_for_head();
  if (phase_ == Phase::lingering) {
    drained_ += stream_.input().buffered().size();
    stream_.input().clear();
    if (stream_.at_eof() || drained_ > kMostDrained) return close();
  }
  // A client that ends its sending before it is accepted has nothing to say on the connection it asked for.
  // One that goes on talking until there is no place for more waits for no answer: its end could not be seen
  // behind it.
  if (phase_ == Phase::waiting && gone()) return owner_.client_left();
  if (phase_ != Phase::given) stream_.want_read();
}

void ClientConn::look_for_head() {
  // The answer to one line is out before the next is looked at: nothing may come between it and what follows.
  while (all_out()) {
    const auto line = stream_.input().line();
    if (!line) break;
    if (line->size() > kMaxLineBytes || !line->ends_with("\r\n")) return fail();
    if (*line != "PING\r\n") {
      // A client waits for its answer. Guards against commands by the hundred, of which a host can't use two.
      const std::string_view next = stream_.input().buffered().substr(line->size());
      if (next.starts_with("OPEN ") || next.starts_with("PING")) return fail();
      phase_ = Phase::waiting;
      ++token_;
      idle_.remove(*this);
      // Dials send the line from where it lies: it must not move when more comes in behind it.
      stream_.input().compact();
      head_ = stream_.input().buffered().substr(0, line->size());
      return owner_.head_came(head_.substr(0, head_.size() - 2));
    }
    pinged_ = true;
    const std::size_t size = line->size();
    if (!owner_.taking() || !say("PONG\r\n")) return fail();
    stream_.input().consume(size);
    timers_.schedule(first_line_within_, *this, ++token_);
  }
  // Guards against lines without an end, which would fill the buffer and leave the connection stuck.
  if (!all_out()) return;
  if (stream_.input().buffered().size() >= kMaxLineBytes || stream_.at_eof()) fail();
}

void ClientConn::fail() {
  const bool check_only = pinged_ && (stream_.input().empty() || !owner_.taking());
  owner_.client_failed(check_only ? Reason::checked : Reason::bad_line);
  if (stream_.at_eof()) return close();
  answer("ERR\r\n");
}

// Guards against an answer of which only a part is taken at once, as where the other side's window is full.
bool ClientConn::say(std::string_view text) {
  if (text.size() > unsaid_.size() - unsaid_end_) return false;
  text.copy(unsaid_.data() + unsaid_end_, text.size());
  unsaid_end_ += text.size();
  return flush();
}

bool ClientConn::flush() {
  const auto n = stream_.write({unsaid_.data() + unsaid_begin_, unsaid_end_ - unsaid_begin_});
  if (!n) return false;
  unsaid_begin_ += *n;
  if (all_out())
    unsaid_begin_ = unsaid_end_ = 0;
  else
    stream_.want_write();
  return true;
}

void ClientConn::writable(Stream&) {
  if (!flush()) return;  // its reading side tells of the end
  if (!all_out()) return;
  if (phase_ == Phase::lingering) stream_.shutdown_send();
  if (phase_ == Phase::head) input_ready(stream_);
}

void ClientConn::answer(std::string_view line) {
  if (!say(line) || all_out()) stream_.shutdown_send();
  // Closing with bytes unread would reset the connection and might take the answer with it.
  stream_.input().clear();
  phase_ = Phase::lingering;
  drained_ = drained_seen_ = 0;
  drained_until_ = timers_.now() + kDrain;
  idle_.add(*this);
  timers_.schedule(stream_.at_eof() ? Micros{0} : kLinger, *this, ++token_);
  stream_.want_read();
}

// Guards against a dial for a client that left while this node had no time to hear of it.
bool ClientConn::still_waits() {
  if (phase_ != Phase::waiting) return false;
  while (!stream_.input().full()) {
    const std::size_t before = stream_.input().buffered().size();
    if (!stream_.read_available()) break;
    if (stream_.input().buffered().size() == before) return true;
  }
  owner_.client_left();
  return false;
}

Stream& ClientConn::accepted() {
  phase_ = Phase::given;
  ++token_;
  stream_.input().consume(head_.size());
  return stream_;
}

void ClientConn::broken(Stream&) {
  if (phase_ == Phase::waiting) return owner_.client_left();
  if (phase_ == Phase::head) owner_.client_failed(pinged_ ? Reason::checked : Reason::bad_line);
  close();
}

void ClientConn::timer_expired(std::uint64_t token) {
  if (token != token_) return;
  if (phase_ == Phase::head) return fail();
  if (phase_ != Phase::lingering) return;
  if (std::exchange(drained_seen_, drained_) == drained_ || timers_.now() >= drained_until_) return close();
  timers_.schedule(kLinger, *this, token_);
}

void ClientConn::evict() {
  if (phase_ == Phase::head) {
    owner_.client_failed(pinged_ ? Reason::checked : Reason::crowded_out);
    say("BUSY\r\n");
  }
  close();
}

void ClientConn::close() {
  phase_ = Phase::idle;
  ++token_;
  idle_.remove(*this);
  stream_.close();
  owner_.client_closed();
}

}  // namespace flintweir::line
