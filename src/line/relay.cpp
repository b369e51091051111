#include "line/relay.h"

#include "line/client_conn.h"
#include "line/protocol.h"

namespace flintweir::line {
namespace {

using namespace std::chrono_literals;

// How long a host may leave a client's line without a reply. Clients send a line every 2 s and drop a
// connection on which a running host has sent nothing for 7 s. With this timeout they are moved after 6 s at
// the latest.
constexpr Micros kSilenceTimeout = 4s;

}  // namespace

void Relay::start(Stream& client, Stream& host) {
  ++generation_;
  client_ = &client;
  host_ = &host;
  parsed_ = 0;
  unsent_at_last_check_ = LineBuffer::kCapacity + 1;
  unsent_move_ = {};
  at_line_start_ = true;
  moving_ = ended_ = last_line_bye_ = move_sent_ = false;
  awaiting_reply_since_ = Micros{0};
  silence_timer_.cancel();
  client.set_events(*this);
  host.set_events(*this);
  on_client_input();
  if (client_) on_host_input();
}

void Relay::move(Reason reason) {
  if (!client_ || ended_ || std::exchange(moving_, true)) return;
  move_reason_ = reason;
  timers_.schedule(Micros{0}, *this, token(Timer::move));
}

void Relay::input_ready(Stream& stream) { &stream == client_ ? on_client_input() : on_host_input(); }

void Relay::writable(Stream& stream) { &stream == client_ ? forward_to_client() : forward_to_host(); }

void Relay::on_client_input() {
  if (move_sent_) client_->input().clear();  // it was told to reconnect; this input was sent before it knew
  const std::string_view received = client_->input().buffered();
  if (awaiting_reply_since_ == Micros{0} && received.find('\n') != received.npos) {
    awaiting_reply_since_ = timers_.now();
    silence_timer_.set(kSilenceTimeout);
  }
  if (client_->at_eof()) finish(DialOutcome::cancelled, Reason::client_ended);
  forward_to_host();
}

void Relay::forward_to_host() {
  LineBuffer& bytes = client_->input();
  if (!bytes.empty() && host_->open() && !host_->send_closed()) {
    const auto n = host_->write(bytes.buffered());
    // A failed write is ignored here: what the host sent before it failed is still to be read, and the
    // reading side reports the end.
    bytes.consume(n.value_or(bytes.buffered().size()));
    if (!bytes.empty()) host_->want_write();
  }
  if (client_->at_eof()) {
    if (bytes.empty()) host_->shutdown_send();
    if (host_->at_eof() || move_sent_) return close();
  }
  client_->want_read();
}

void Relay::on_host_input() {
  while (const auto line = host_->input().line(parsed_)) {
    parsed_ += line->size();
    std::string_view rest;
    const HostMessage message = parse_host_message(trim_line_end(*line), rest);
    last_line_bye_ = message == HostMessage::bye;
    move_sent_ = move_sent_ || message == HostMessage::move;
    if (message == HostMessage::load) {
      if (const auto load = parse_number(rest); load && *load >= 0) events_.on_host_load(*load);
    } else if (message != HostMessage::up && awaiting_reply_since_ != Micros{0}) {
      events_.on_message_delay(timers_.now() - std::exchange(awaiting_reply_since_, Micros{0}));
    }
  }
  if (host_->at_eof()) host_ended();
  // A line over the maximum length does not fit the buffer, so it cannot be forwarded whole: the client is
  // moved.
  if (!host_->at_eof() && host_->input().buffered().size() - parsed_ > kMaxLineBytes)
    move(Reason::host_garbled);
  forward_to_client();
}

// The host's last line tells whether it intended the end.
void Relay::host_ended() {
  if (last_line_bye_) return finish(DialOutcome::completed, Reason::host_ended);
  if (move_sent_) return finish(DialOutcome::cancelled, Reason::host_moved);
  finish(DialOutcome::connection_lost, Reason::host_broke);
}

// Forwards only whole lines while the host is connected, so that MOVE can be sent between two lines at any
// time.
void Relay::forward_to_client() {
  LineBuffer& bytes = host_->input();
  if (const std::size_t whole = host_->at_eof() ? bytes.buffered().size() : parsed_; whole > 0) {
    const auto n = client_->write(bytes.buffered().substr(0, whole));
    if (!n) return broken(*client_);
    if (*n > 0) at_line_start_ = bytes.buffered()[*n - 1] == '\n';
    bytes.consume(*n);
    parsed_ -= std::min(parsed_, *n);
    if (*n < whole) return client_->want_write();
  }
  if (moving_ && at_line_start_) return send_move();
  if (host_->at_eof()) {
    client_->shutdown_send();
    if (client_->at_eof()) return close();
  }
  host_->want_read();
}

void Relay::send_move() {
  if (!move_sent_) {
    move_sent_ = true;
    unsent_move_ = "MOVE\r\n";
    finish(move_reason_ == Reason::host_silent ? DialOutcome::connection_lost : DialOutcome::cancelled,
           move_reason_);
    host_->close();
  }
  const auto n = client_->write(unsent_move_);
  if (!n) return broken(*client_);
  unsent_move_.remove_prefix(*n);
  if (!unsent_move_.empty()) return client_->want_write();
  client_->shutdown_send();
  on_client_input();
}

void Relay::broken(Stream& stream) {
  if (&stream == client_) {
    finish(DialOutcome::cancelled, Reason::client_ended);
    host_->abort();
    return close();
  }
  host_ended();
  client_->write(host_->input().buffered());
  if (!last_line_bye_ && !move_sent_) {
    client_->abort();
    return close();
  }
  parsed_ = 0;
  host_->close();
  client_->shutdown_send();
  client_->want_read();
}

void Relay::finish(DialOutcome outcome, Reason reason) {
  if (std::exchange(ended_, true)) return;
  timers_.schedule(kLingerTime, *this, token(Timer::linger));
  events_.on_relay_ended(outcome, reason);
}

void Relay::timer_expired(std::uint64_t expired) {
  if (expired == token(Timer::linger)) return check_linger();
  if (expired == token(Timer::move) && !ended_) {
    timers_.schedule(kSilenceTimeout, *this, token(Timer::move_stuck));
    return forward_to_client();
  }
  if (expired == token(Timer::move_stuck) && !ended_) {  // the client does not read, so MOVE cannot be sent
    finish(DialOutcome::cancelled, move_reason_);
    client_->abort();
    return close();
  }
}

// A silent host sends no reset and TCP detects nothing, so the client is moved to another host.
void Relay::deadline_reached() {
  if (ended_ || awaiting_reply_since_ == Micros{0}) return;
  // While a slow client has whole lines still to read, the host is not read and may well have replied. A
  // partial line does not count: a client whose host falls silent within a line would never be moved.
  if (parsed_ > 0) awaiting_reply_since_ = timers_.now();
  const Micros silent = timers_.now() - awaiting_reply_since_;
  if (silent >= kSilenceTimeout) return move(Reason::host_silent);
  silence_timer_.set(kSilenceTimeout - silent);
}

// Closes both sides when the linger time is over, but a slow client that keeps reading gets all that is left.
void Relay::check_linger() {
  const std::size_t left = host_->input().buffered().size();
  if (left == 0 || left >= unsent_at_last_check_) return close();
  unsent_at_last_check_ = left;
  timers_.schedule(kLingerTime, *this, token(Timer::linger));
}

void Relay::close() {
  ++generation_;
  client_->close();
  host_->close();
  client_ = host_ = nullptr;
  events_.on_relay_closed();
}

}  // namespace flintweir::line
