#include "net/client_conn.h"

namespace flintweir::net {

void ClientConn::begin(SocketKey socket) {
  stream_.adopt(socket, *this);
  phase_ = Phase::head;
  pinged_ = false;
  head_ = {};
  lobby_.enter(*this);
  wakes_.after(first_line_within_, *this, ++token_);
  stream_.read();  // under a flood of others its line has long come
}

void ClientConn::came(Stream&) {
  if (phase_ == Phase::head) look_for_head();
  if (phase_ == Phase::lingering) {
    drained_ += stream_.in().held().size();
    stream_.in().clear();
    if (stream_.at_end() || drained_ > kMostDrained) return close();
  }
  // A client that ends its sending before it is accepted has nothing to say on the connection it asked for.
  if (phase_ == Phase::waiting && stream_.at_end()) return owner_.client_left();
  if (phase_ != Phase::given) stream_.want_read();
}

void ClientConn::look_for_head() {
  while (const auto line = stream_.in().line()) {
    if (line->size() > kLongestLine || !line->ends_with("\r\n")) return fail();
    if (*line != "PING\r\n") {
      // A client waits for its answer. Guards against commands by the hundred, of which a host can't use two.
      const std::string_view next = stream_.in().held().substr(line->size());
      if (next.starts_with("OPEN ") || next.starts_with("PING")) return fail();
      phase_ = Phase::waiting;
      ++token_;
      lobby_.leave(*this);
      // Dials send the line from where it lies: it must not move when more comes in behind it.
      stream_.in().to_front();
      head_ = stream_.in().held().substr(0, line->size());
      return owner_.head_came(head_.substr(0, head_.size() - 2));
    }
    pinged_ = true;
    if (!owner_.taking() || !stream_.write("PONG\r\n")) return fail();
    stream_.in().drop(line->size());
    wakes_.after(first_line_within_, *this, ++token_);
  }
  // Guards against lines without an end, which would fill the buffer and leave the connection stuck.
  if (stream_.in().held().size() >= kLongestLine || stream_.at_end()) fail();
}

void ClientConn::fail() {
  const bool check_only = pinged_ && (stream_.in().empty() || !owner_.taking());
  owner_.client_failed(check_only ? Reason::checked : Reason::bad_line);
  if (stream_.at_end()) return close();
  answer("ERR\r\n");
}

void ClientConn::answer(std::string_view line) {
  stream_.write(line);
  stream_.end_sending();
  // Closing with bytes unread would reset the connection and might take the answer with it.
  stream_.in().clear();
  phase_ = Phase::lingering;
  drained_ = drained_seen_ = 0;
  drained_until_ = wakes_.now() + kDrain;
  lobby_.enter(*this);
  wakes_.after(stream_.at_end() ? Micros{0} : kLinger, *this, ++token_);
  stream_.want_read();
}

Stream& ClientConn::accepted() {
  phase_ = Phase::given;
  ++token_;
  stream_.in().drop(head_.size());
  return stream_;
}

void ClientConn::broken(Stream&) {
  if (phase_ == Phase::waiting) return owner_.client_left();
  if (phase_ == Phase::head) owner_.client_failed(pinged_ ? Reason::checked : Reason::bad_line);
  close();
}

void ClientConn::woken(std::uint64_t token) {
  if (token != token_) return;
  if (phase_ == Phase::head) return fail();
  if (phase_ != Phase::lingering) return;
  if (std::exchange(drained_seen_, drained_) == drained_ || wakes_.now() >= drained_until_) return close();
  wakes_.after(kLinger, *this, token_);
}

void ClientConn::show_out() {
  if (phase_ == Phase::head) {
    owner_.client_failed(pinged_ ? Reason::checked : Reason::crowded_out);
    stream_.write("BUSY\r\n");
  }
  close();
}

void ClientConn::close() {
  phase_ = Phase::idle;
  ++token_;
  lobby_.leave(*this);
  stream_.close();
  owner_.client_closed();
}

}  // namespace flintweir::net
