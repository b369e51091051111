#include "line/relay.h"

#include "line/client_conn.h"
#include "line/protocol.h"

namespace flintweir::line {
namespace {

using namespace std::chrono_literals;

// A client says something every 2 s, and a running host that brings nothing back for 7 s loses the
// connection: with this, it is moved after 6 s at the latest.
constexpr Micros kSilence = 4s;

}  // namespace

void Relay::start(Stream& client, Stream& host) {
  ++use_;
  client_ = &client;
  host_ = &host;
  seen_ = 0;
  lagging_ = LineBuffer::kCapacity + 1;
  move_left_ = {};
  between_lines_ = true;
  moving_ = over_ = bye_ = sent_away_ = false;
  asked_at_ = Micros{0};
  client.set_events(*this);
  host.set_events(*this);
  client_came();
  if (client_) host_came();
}

void Relay::move(Reason why) {
  if (!client_ || over_ || std::exchange(moving_, true)) return;
  why_moving_ = why;
  timers_.schedule(Micros{0}, *this, token(Due::move));
}

void Relay::input_ready(Stream& stream) { &stream == client_ ? client_came() : host_came(); }

void Relay::writable(Stream& stream) { &stream == client_ ? down_stream() : up_stream(); }

void Relay::client_came() {
  if (sent_away_) client_->input().clear();  // it was told to leave; what it said crossed that
  const std::string_view said_now = client_->input().buffered();
  if (asked_at_ == Micros{0} && said_now.find('\n') != said_now.npos) {
    asked_at_ = timers_.now();
    timers_.schedule(kSilence, *this, token(Due::silence));
  }
  if (client_->at_eof()) over(DialOutcome::cancelled, Reason::client_ended);
  up_stream();
}

void Relay::up_stream() {
  LineBuffer& bytes = client_->input();
  if (!bytes.empty() && host_->open() && !host_->send_closed()) {
    const auto n = host_->write(bytes.buffered());
    // What a host said before it broke off is still to be read; its reading side tells of the end.
    bytes.consume(n.value_or(bytes.buffered().size()));
    if (!bytes.empty()) host_->want_write();
  }
  if (client_->at_eof()) {
    if (bytes.empty()) host_->shutdown_send();
    if (host_->at_eof() || sent_away_) return close();
  }
  client_->want_read();
}

void Relay::host_came() {
  while (const auto line = host_->input().line(seen_)) {
    seen_ += line->size();
    std::string_view rest;
    const HostMessage says = parse_host_message(trim_line_end(*line), rest);
    bye_ = says == HostMessage::bye;
    sent_away_ = sent_away_ || says == HostMessage::move;
    if (says == HostMessage::load) {
      if (const auto load = parse_number(rest); load && *load >= 0) owner_.load_is(*load);
    } else if (says != HostMessage::up && asked_at_ != Micros{0}) {
      owner_.message_took(timers_.now() - std::exchange(asked_at_, Micros{0}));
    }
  }
  if (host_->at_eof()) host_over();
  // A line past the longest allowed can't be passed on whole: its client is moved.
  if (!host_->at_eof() && host_->input().buffered().size() - seen_ > kMaxLineBytes)
    move(Reason::host_garbled);
  down_stream();
}

// What the host said last tells how it meant the end.
void Relay::host_over() {
  if (bye_) return over(DialOutcome::completed, Reason::host_ended);
  if (sent_away_) return over(DialOutcome::cancelled, Reason::host_moved);
  over(DialOutcome::connection_lost, Reason::host_broke);
}

// Only whole lines go on to the client, so that MOVE can be said between two of them at any time.
void Relay::down_stream() {
  LineBuffer& bytes = host_->input();
  if (const std::size_t whole = host_->at_eof() ? bytes.buffered().size() : seen_; whole > 0) {
    const auto n = client_->write(bytes.buffered().substr(0, whole));
    if (!n) return broken(*client_);
    if (*n > 0) between_lines_ = bytes.buffered()[*n - 1] == '\n';
    bytes.consume(*n);
    seen_ -= std::min(seen_, *n);
    if (*n < whole) return client_->want_write();
  }
  if (moving_ && between_lines_) return say_move();
  if (host_->at_eof()) {
    client_->shutdown_send();
    if (client_->at_eof()) return close();
  }
  host_->want_read();
}

void Relay::say_move() {
  if (!sent_away_) {
    sent_away_ = true;
    move_left_ = "MOVE\r\n";
    over(why_moving_ == Reason::host_silent ? DialOutcome::connection_lost : DialOutcome::cancelled,
         why_moving_);
    host_->close();
  }
  const auto n = client_->write(move_left_);
  if (!n) return broken(*client_);
  move_left_.remove_prefix(*n);
  if (!move_left_.empty()) return client_->want_write();
  client_->shutdown_send();
  client_came();
}

void Relay::broken(Stream& stream) {
  if (&stream == client_) {
    over(DialOutcome::cancelled, Reason::client_ended);
    host_->abort();
    return close();
  }
  host_over();
  client_->write(host_->input().buffered());
  if (!bye_ && !sent_away_) {
    client_->abort();
    return close();
  }
  seen_ = 0;
  host_->close();
  client_->shutdown_send();
  client_->want_read();
}

void Relay::over(DialOutcome how, Reason why) {
  if (std::exchange(over_, true)) return;
  timers_.schedule(kLingerTime, *this, token(Due::linger));
  owner_.relay_over(how, why);
}

void Relay::timer_expired(std::uint64_t t) {
  if (t == token(Due::linger)) return linger();
  if (t == token(Due::move) && !over_) {
    timers_.schedule(kSilence, *this, token(Due::stuck));
    return down_stream();
  }
  if (t == token(Due::stuck) && !over_) {  // the client reads nothing: MOVE can't be said
    over(DialOutcome::cancelled, why_moving_);
    client_->abort();
    return close();
  }
  // A silent host sends no reset, and TCP notices nothing: the client is sent to another.
  if (t != token(Due::silence) || over_ || asked_at_ == Micros{0}) return;
  // While the client lags its host is not read, and may well have answered. A part of a line is no answer: a
  // host that falls silent within one would never be left.
  if (seen_ > 0) asked_at_ = timers_.now();
  const Micros silent = timers_.now() - asked_at_;
  if (silent >= kSilence) return move(Reason::host_silent);
  timers_.schedule(kSilence - silent, *this, token(Due::silence));
}

// Both sides have had their time, but a slow client that goes on taking what is left gets all of it.
void Relay::linger() {
  const std::size_t left = host_->input().buffered().size();
  if (left == 0 || left >= lagging_) return close();
  lagging_ = left;
  timers_.schedule(kLingerTime, *this, token(Due::linger));
}

void Relay::close() {
  ++use_;
  client_->close();
  host_->close();
  client_ = host_ = nullptr;
  owner_.relay_closed();
}

}  // namespace flintweir::line
