#include "line/client_conn.h"

namespace flintweir::line {
namespace {

constexpr std::string_view kHealthCheck = "PING\r\n", kHealthy = "PONG\r\n";

}  // namespace

void ClientConn::start(SocketKey socket) {
  stream_.adopt(socket, *this);
  phase_ = Phase::first_line;
  pinged_ = false;
  unsent_begin_ = unsent_end_ = 0;
  first_line_ = {};
  idle_clients_.add(*this);
  timer_.set(first_line_timeout_);
  stream_.read();  // under load the line has often arrived before the connection is accepted
}

void ClientConn::input_ready(Stream&) {
  if (phase_ == Phase::first_line) find_first_line();
  if (phase_ == Phase::lingering) {
    discarded_ += stream_.input().buffered().size();
    stream_.input().clear();
    if (stream_.at_eof() || discarded_ > kMaxDiscardBytes) return close();
  }
  // A client that closes its sending direction before it is accepted has no use for the session. One that
  // fills the buffer counts as gone, too: its end of stream could not be seen behind the unread bytes.
  if (phase_ == Phase::waiting && input_ended_or_full()) return events_.on_client_left();
  if (phase_ != Phase::released) stream_.want_read();
}

void ClientConn::find_first_line() {
  // Each answer is sent in full before the next line is read, so that answers are not interleaved with what
  // follows.
  if (!all_sent()) return;
  if (!answer_health_checks()) return reject_first_line();
  if (!all_sent()) return;
  const auto line = stream_.input().line();
  if (line && *line != kHealthCheck) return accept_first_line(*line);
  // The rest is answered in a later turn of the event loop: one client that sends thousands of health checks
  // must not keep the others waiting.
  if (line && events_.readiness() == Readiness::ready) return stream_.want_write();
  // A line without an end would fill the buffer and block the connection.
  if (stream_.input().buffered().size() >= kMaxLineBytes || stream_.at_eof()) reject_first_line();
}

bool ClientConn::answer_health_checks() {
  bool answered = false;
  while (stream_.input().line() == kHealthCheck) {
    pinged_ = true;
    if (events_.readiness() == Readiness::leaving) return false;
    if (events_.readiness() == Readiness::starting || !queue(kHealthy)) break;
    stream_.input().consume(kHealthCheck.size());
    answered = true;
  }
  if (!answered) return true;
  timer_.set(first_line_timeout_);
  return flush();
}

void ClientConn::accept_first_line(std::string_view line) {
  if (line.size() > kMaxLineBytes || !line.ends_with("\r\n")) return reject_first_line();
  // A client has to wait for its answer. Rejects pipelined commands, since a host can use only one.
  const std::string_view next = stream_.input().buffered().substr(line.size());
  if (next.starts_with("OPEN ") || next.starts_with("PING")) return reject_first_line();
  phase_ = Phase::waiting;
  timer_.cancel();
  idle_clients_.remove(*this);
  // Dials send the line from this buffer, so it must not move when more input arrives.
  stream_.input().compact();
  first_line_ = stream_.input().buffered().substr(0, line.size());
  events_.on_first_line(first_line_.substr(0, first_line_.size() - 2));
}

void ClientConn::reject_first_line() {
  const bool check_only = pinged_ && (stream_.input().empty() || events_.readiness() != Readiness::ready);
  events_.on_client_failed(check_only ? Reason::checked : Reason::bad_line);
  if (stream_.at_eof()) return close();
  answer("ERR\r\n");
}

void ClientConn::readiness_changed() {
  if (phase_ == Phase::first_line && pinged_) input_ready(stream_);
}

bool ClientConn::queue(std::string_view text) {
  if (text.size() > unsent_.size() - unsent_end_) return false;
  text.copy(unsent_.data() + unsent_end_, text.size());
  unsent_end_ += text.size();
  return true;
}

// The kernel may take only a part of an answer, for example when the client's receive window is full.
bool ClientConn::flush() {
  const auto n = stream_.write({unsent_.data() + unsent_begin_, unsent_end_ - unsent_begin_});
  if (!n) return false;
  unsent_begin_ += *n;
  if (all_sent())
    unsent_begin_ = unsent_end_ = 0;
  else
    stream_.want_write();
  return true;
}

void ClientConn::writable(Stream&) {
  if (!flush()) return;  // the failure is reported on the reading side
  if (!all_sent()) return;
  if (phase_ == Phase::lingering) stream_.shutdown_send();
  if (phase_ == Phase::first_line) input_ready(stream_);
}

void ClientConn::answer(std::string_view line) {
  if (!send(line) || all_sent()) stream_.shutdown_send();
  // Closing a socket with unread bytes resets the connection, which may destroy the answer in transit.
  stream_.input().clear();
  phase_ = Phase::lingering;
  discarded_ = discarded_before_ = 0;
  discard_deadline_ = timers_.now() + kMaxDiscardTime;
  idle_clients_.add(*this);
  timer_.set(stream_.at_eof() ? Micros{0} : kLingerTime);
  stream_.want_read();
}

// Without this check a dial could begin for a client whose disconnect is still unread because the node is
// busy.
bool ClientConn::check_waiting() {
  if (phase_ != Phase::waiting) return false;
  while (!stream_.input().full()) {
    const std::size_t before = stream_.input().buffered().size();
    if (!stream_.read_available()) break;
    if (stream_.input().buffered().size() == before) return true;
  }
  events_.on_client_left();
  return false;
}

Stream& ClientConn::release_stream() {
  phase_ = Phase::released;
  timer_.cancel();
  stream_.input().consume(first_line_.size());
  return stream_;
}

void ClientConn::broken(Stream&) {
  if (phase_ == Phase::waiting) return events_.on_client_left();
  if (phase_ == Phase::first_line) events_.on_client_failed(pinged_ ? Reason::checked : Reason::bad_line);
  close();
}

void ClientConn::deadline_reached() {
  if (phase_ == Phase::first_line) return reject_first_line();
  if (phase_ != Phase::lingering) return;
  if (std::exchange(discarded_before_, discarded_) == discarded_ || timers_.now() >= discard_deadline_)
    return close();
  timer_.set(kLingerTime);
}

void ClientConn::evict() {
  if (phase_ == Phase::first_line) {
    events_.on_client_failed(pinged_ ? Reason::checked : Reason::crowded_out);
    send("BUSY\r\n");
  }
  close();
}

void ClientConn::close() {
  phase_ = Phase::idle;
  timer_.cancel();
  idle_clients_.remove(*this);
  stream_.close();
  events_.on_client_closed();
}

}  // namespace flintweir::line
