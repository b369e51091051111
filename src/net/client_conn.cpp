#include "net/client_conn.h"

namespace flintweir::net {

void ClientConn::begin(Tcp::socket socket) {
  stream_.adopt(std::move(socket), *this);
  phase_ = Phase::head;
  pinged_ = false;
  head_ = {};
  wakes_.after(first_line_within_, *this, ++token_);
  stream_.want_read();
}

void ClientConn::came(Stream&) {
  if (phase_ == Phase::head) look_for_head();
  if (phase_ == Phase::lingering) {
    stream_.in().clear();
    if (stream_.at_end()) return close();
  }
  // A client that ends its sending before it is accepted has nothing to say on the connection it asked for.
  if (phase_ == Phase::waiting && stream_.at_end()) return owner_.client_left();
  if (phase_ != Phase::given) stream_.want_read();
}

void ClientConn::look_for_head() {
  while (const auto line = stream_.in().line()) {
    if (line->size() > kLongestLine) return fail();
    if (without_end(*line) != "PING") {
      phase_ = Phase::waiting;
      ++token_;
      // Dials send the line from where it lies: it must not move when more comes in behind it.
      stream_.in().to_front();
      head_ = stream_.in().held().substr(0, line->size());
      return owner_.head_came(without_end(head_));
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
  wakes_.after(stream_.at_end() || owner_.crowded() ? Micros{0} : kLinger, *this, ++token_);
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
  if (phase_ == Phase::lingering) close();
}

void ClientConn::close() {
  phase_ = Phase::idle;
  ++token_;
  stream_.close();
  owner_.client_closed();
}

}  // namespace flintweir::net
