#include "lab/models/network_client.h"

#include <algorithm>
#include <charconv>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

// How long a client waits beyond its timeout, so that a late answer is detected.
constexpr Micros kAnswerGrace = 150ms;
constexpr Micros kCloseTimeout = 1s;       // for the node to close as well
constexpr Micros kNodeRetryDelay = 250ms;  // after no node was available or a connect failed

unsigned long long hex_value(SessionNo id) { return id.value; }

}  // namespace

void NetworkClient::start() { schedule_attempt(model_.start()); }

void NetworkClient::schedule_attempt(Micros delay) {
  ++generation_;
  timers_.schedule(delay, *this, timer_token(Timer::attempt));
}

void NetworkClient::connect_now() {
  if (phase_ == Phase::idle && model_.wake_up(timers_.now())) {
    ++generation_;
    session_counted_ = false;
    connect();
  }
}

void NetworkClient::connect() {
  const auto route = environment_.choose_node(zone_);
  if (!route) return schedule_attempt(kNodeRetryDelay);
  node_ = route->node;
  session_id_ = environment_.register_session(model_.session());
  request_reported_ = moved_ = false;
  unanswered_lines_.clear();
  last_response_time_ = 0us;
  lines_sent_ = 0;
  writer_.clear();
  if (!stream_.connect(route->address, *this)) return schedule_attempt(kNodeRetryDelay);
  phase_ = Phase::connecting;
  timers_.schedule(model_.answer_timeout(), *this, timer_token(Timer::answer_timeout));
}

void NetworkClient::connected(net::Stream&, net::ConnectResult result) {
  if (result != net::ConnectResult::established) {
    log_.line(timers_.now(), "unconnected node=n%u", node_.value);
    close();
    return schedule_attempt(kNodeRetryDelay);
  }
  const ClientModel::Session& session = model_.session();
  char line[256];
  int length = std::snprintf(line, sizeof line, "OPEN %llx %llx c=%s,d=%lld", hex_value(session_id_),
                             static_cast<unsigned long long>(model_.key()), model_.listener().name.c_str(),
                             static_cast<long long>(model_.answer_timeout() / 1ms));
  if (session.group)
    length += std::snprintf(line + length, sizeof line - length, ",g=%llx",
                            static_cast<unsigned long long>(session.group));
  if (session.is_retry) length += std::snprintf(line + length, sizeof line - length, ",r=1");
  if (session.is_reconnect) length += std::snprintf(line + length, sizeof line - length, ",again=1");
  std::snprintf(line + length, sizeof line - length, "\r\n");
  phase_ = Phase::waiting;
  model_.request_sent();
  if (!writer_.write(line)) return broken(stream_);
  report_request();
  stream_.want_read();
}

void NetworkClient::report_request() {
  if (request_reported_ || !writer_.is_empty()) return;
  request_reported_ = true;
  requested_at_ = timers_.now();
  if (const auto leave_delay = model_.early_leave_delay())
    timers_.schedule(*leave_delay, *this, timer_token(Timer::leave));
  checker_.session_requested(session_id_, node_, machine_, model_.listener().rules, model_.answer_timeout(),
                             requested_at_);
  log_.line(requested_at_, "asked session=%llx node=n%u client=%llx", hex_value(session_id_), node_.value,
            static_cast<unsigned long long>(model_.key()));
  if (std::exchange(session_counted_, true)) return;  // all attempts for one session count once
  ++environment_.tally().sessions;
  ++environment_.current_second().sessions;
}

void NetworkClient::writable(net::Stream&) {
  if (!writer_.flush()) return;  // the end of the connection is detected while reading
  if (phase_ == Phase::waiting) report_request();
  if (phase_ == Phase::closing && writer_.is_empty()) stream_.shutdown_send();
}

void NetworkClient::input_ready(net::Stream&) {
  const std::uint64_t generation = generation_;
  while (const auto line = stream_.input().line()) {
    const std::string_view text = net::trim_line_end(*line);
    if (phase_ == Phase::waiting)
      on_answer(text, line->size());
    else
      on_line(text);
    if (generation != generation_) return;
    stream_.input().consume(line->size());
  }
  if (stream_.at_eof()) return on_closed(false);
  stream_.want_read();
}

void NetworkClient::on_answer(std::string_view line, std::size_t size) {
  const Micros now = timers_.now();
  if (line.starts_with("UP ")) {
    checker_.session_answered(session_id_, Checker::Answer::up, line.substr(3), now);
    log_.line(now, "up session=%llx receipt=%.*s", hex_value(session_id_), static_cast<int>(line.size() - 3),
              line.data() + 3);
    phase_ = Phase::open;
    model_.accepted();
    ++environment_.tally().accepted;
    ++environment_.current_second().accepted;
    environment_.tally().to_up.add(now - requested_at_);
    ++generation_;  // cancels the answer timeout
    timers_.schedule(std::max(model_.session().wanted_until - now, 0us), *this,
                     timer_token(Timer::session_end));
    send_line();
    // Lines that came with the answer are read by this call; the loop that called on_answer() sees the new
    // generation and stops.
    stream_.input().consume(size);
    return input_ready(stream_);
  }
  const bool busy = line.starts_with("BUSY");
  long long retry_after_ms = 0;
  if (busy && line.size() > 5) std::from_chars(line.data() + 5, line.data() + line.size(), retry_after_ms);
  checker_.session_answered(session_id_, busy ? Checker::Answer::busy : Checker::Answer::err, {}, now);
  log_.line(now, "%s session=%llx wait=%lld", busy ? "refused" : "torn-down", hex_value(session_id_),
            retry_after_ms);
  ++(busy ? environment_.tally().refused : environment_.tally().torn_down);
  ++(busy ? environment_.current_second().refused : environment_.current_second().torn_down);
  // Reads on until the node has closed, to detect a second answer.
  phase_ = Phase::closing;
  const Micros retry_delay = model_.on_rejected(now, std::chrono::milliseconds(retry_after_ms));
  timers_.schedule(retry_delay, *this, timer_token(Timer::attempt));
  stream_.shutdown_send();
}

void NetworkClient::on_line(std::string_view line) {
  const Micros now = timers_.now();
  const bool is_move = line == "MOVE";
  checker_.client_received_line(session_id_, hash_line(line), is_move, now);
  ++environment_.tally().lines;
  if (is_move) {
    moved_ = true;
    return;
  }
  if (!line.starts_with("got ") || unanswered_lines_.empty()) return;
  last_response_time_ = now - unanswered_lines_.front();
  unanswered_lines_.pop_front();
}

void NetworkClient::send_line() {
  if (phase_ != Phase::open) return;
  const Micros now = timers_.now();
  const std::string line = make_line("say", session_id_, ++lines_sent_, model_.line_size());
  checker_.client_sent_line(session_id_, hash_line(net::trim_line_end(line)), now);
  unanswered_lines_.push_back(now);
  writer_.write(line);
  timers_.schedule(plan_.message_interval, *this, timer_token(Timer::send_line));
}

bool NetworkClient::meets_message_target(Micros now) const {
  if (phase_ != Phase::open) return false;
  const Micros target = model_.listener().rules.message_target;
  return last_response_time_ <= target &&
         (unanswered_lines_.empty() || now - unanswered_lines_.front() <= target);
}

void NetworkClient::broken(net::Stream&) { on_closed(false); }

void NetworkClient::close() {
  ++generation_;
  phase_ = Phase::idle;
  writer_.clear();
  stream_.close();
}

void NetworkClient::on_closed(bool by_client) {
  const Micros now = timers_.now();
  const Phase previous = phase_;
  if (previous == Phase::idle) return;
  if (request_reported_) {
    if (by_client)
      checker_.client_closed(session_id_, false, now);
    else
      checker_.client_saw_close(session_id_, now);
  }
  // After a final answer the next attempt is already scheduled; only the connection is closed.
  if (previous == Phase::closing) {
    writer_.clear();
    stream_.close();
    if (model_.state() == ClientModel::State::open) {
      close();
      schedule_attempt(model_.on_session_end());
    }
    return;
  }
  close();
  if (previous == Phase::open) {
    log_.line(now, "%s session=%llx", moved_ ? "moved" : "broken", hex_value(session_id_));
    ++(moved_ ? environment_.tally().moved : environment_.tally().broken);
    ++(moved_ ? environment_.current_second().moved : environment_.current_second().broken);
    session_counted_ = true;
    return schedule_attempt(model_.on_connection_lost(now));
  }
  log_.line(now, "unanswered session=%llx", hex_value(session_id_));
  ++environment_.tally().unanswered;
  ++environment_.current_second().unanswered;
  schedule_attempt(model_.on_rejected(now, 0us));
}

bool NetworkClient::drop_connection() {
  if (phase_ != Phase::open) return false;
  const Micros now = timers_.now();
  log_.line(now, "drops session=%llx", hex_value(session_id_));
  checker_.client_closed(session_id_, false, now);
  stream_.abort();
  close();
  schedule_attempt(model_.on_connection_lost(now));
  return true;
}

void NetworkClient::timer_expired(std::uint64_t token) {
  if (token >> 3 != generation_) return;
  const Micros now = timers_.now();
  switch (static_cast<Timer>(token & 7)) {
    case Timer::attempt:
      if (phase_ != Phase::idle) {  // the connection is still open after its answer
        if (request_reported_) checker_.client_closed(session_id_, false, now);
        close();
      }
      if (model_.state() == ClientModel::State::idle) session_counted_ = false;
      if (model_.begin_attempt(now)) return connect();
      return schedule_attempt(model_.on_session_end());
    case Timer::answer_timeout:
      if (phase_ == Phase::connecting) {
        log_.line(now, "unconnected node=n%u", node_.value);
        close();
        return schedule_attempt(model_.on_rejected(now, 0us));
      }
      if (phase_ != Phase::waiting) return;
      if (now < requested_at_ + model_.answer_timeout() + kAnswerGrace)
        return timers_.schedule(requested_at_ + model_.answer_timeout() + kAnswerGrace - now, *this,
                                timer_token(Timer::answer_timeout));
      return on_closed(true);
    case Timer::leave:
      return phase_ == Phase::waiting ? on_closed(true) : void();
    case Timer::send_line:
      return send_line();
    case Timer::session_end:
      // The session is complete: pending lines are written out, then the sending side is closed.
      log_.line(now, "had session=%llx", hex_value(session_id_));
      phase_ = Phase::closing;
      checker_.client_closed(session_id_, true, now);
      if (writer_.is_empty()) stream_.shutdown_send();
      return timers_.schedule(kCloseTimeout, *this, timer_token(Timer::close_timeout));
    case Timer::close_timeout:
      close();
      return schedule_attempt(model_.on_session_end());
  }
}

void MisbehavingClient::schedule_next() {
  ++generation_;
  awaiting_error_ = false;
  kind_ = static_cast<Kind>(random_() % kind_count);
  timers_.schedule(Micros{static_cast<std::int64_t>(random_() % 900000)}, *this, generation_);
}

void MisbehavingClient::timer_expired(std::uint64_t generation) {
  if (generation != generation_) return;
  if (awaiting_error_) {  // the limit has passed
    if (node_reachable_(node_))
      checker_.check_bad_client_wait(timers_.now() - connected_at_, 20ms, "a bad client", timers_.now());
    return finish();
  }
  const auto route = environment_.choose_node(zone_);
  if (!route || !stream_.connect(route->address, *this)) return schedule_next();
  node_ = route->node;
}

void MisbehavingClient::connected(net::Stream&, net::ConnectResult result) {
  if (result != net::ConnectResult::established) return finish();
  connected_at_ = timers_.now();
  awaiting_error_ = true;
  timers_.schedule(4s, *this, ++generation_);
  log_.line(connected_at_, "rude node=n%u kind=%u", node_.value, kind_);
  const std::string id = std::to_string(random_() % 100000 + 1);
  switch (kind_) {
    case other_protocol:
      writer_.write("GET / HTTP/1.1\r\n\r\n");
      break;
    case overlong_line:
      writer_.write(std::string(9000, 'x'));
      break;
    case double_request:
      writer_.write("OPEN r" + id + " 7f c=none\r\nOPEN r" + id + " 7f c=none\r\n");
      break;
    case partial_request:
      writer_.write("OPEN r" + id + " 7f c=");
      break;
    case abort_after_ping:
      writer_.write("PING\r\n");
      stream_.abort();
      return finish();
    case ping_flood:
      for (int i = 0; i < 50; ++i) writer_.write("PING\r\n");
      break;
    case unknown_listener:
      writer_.write("OPEN r" + id + " 7f c=none,d=100\r\n");
      break;
    default:
      break;
  }
  stream_.want_read();
}

void MisbehavingClient::input_ready(net::Stream& stream) {
  // Answers to PING are neither an error nor a close.
  while (const auto line = stream.input().line()) {
    const bool pong = line->starts_with("PONG");
    stream.input().consume(line->size());
    if (!pong) return finish();
  }
  if (stream.at_eof()) return finish();
  stream.want_read();
}

void MisbehavingClient::finish() {
  if (awaiting_error_ && node_reachable_(node_))
    checker_.check_bad_client_wait(timers_.now() - connected_at_, 20ms, "a bad client", timers_.now());
  writer_.clear();
  stream_.close();
  schedule_next();
}

}  // namespace flintweir::lab
