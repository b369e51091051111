#include "lab/models/network_client.h"

#include <algorithm>
#include <charconv>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr Micros kLate = 150ms;   // waits so much longer than it says, so that a late answer is seen
constexpr Micros kLinger = 1s;    // for the other side to end as well
constexpr Micros kNoWay = 250ms;  // until it looks for a node again, or tries one that did not take it

unsigned long long hex(SessionNo id) { return id.value; }

}  // namespace

void NetworkClient::start() { wait(model_.begin()); }

void NetworkClient::wait(Micros in) {
  ++turn_;
  timers_.schedule(in, *this, token(Due::due));
}

void NetworkClient::connect_now() {
  if (phase_ == Phase::idle && model_.wake(timers_.now())) {
    ++turn_;
    counted_ = false;
    ask();
  }
}

void NetworkClient::ask() {
  const auto way = entry_.choose_node(zone_);
  if (!way) return wait(kNoWay);
  node_ = way->node;
  id_ = entry_.register_session(model_.session());
  asked_told_ = moved_ = false;
  unanswered_.clear();
  last_took_ = 0us;
  said_ = 0;
  out_.clear();
  if (!stream_.connect(way->address, *this)) return wait(kNoWay);
  phase_ = Phase::connecting;
  timers_.schedule(model_.patience(), *this, token(Due::patience));
}

void NetworkClient::connected(net::Stream&, net::ConnectResult result) {
  if (result != net::ConnectResult::established) {
    log_.line(timers_.now(), "unconnected node=n%u", node_.value);
    shut();
    return wait(kNoWay);
  }
  const ClientModel::Session& s = model_.session();
  char line[256];
  int n = std::snprintf(line, sizeof line, "OPEN %llx %llx c=%s,d=%lld", hex(id_),
                        static_cast<unsigned long long>(model_.key()), model_.listener().name.c_str(),
                        static_cast<long long>(model_.patience() / 1ms));
  if (s.group)
    n += std::snprintf(line + n, sizeof line - n, ",g=%llx", static_cast<unsigned long long>(s.group));
  if (s.retry) n += std::snprintf(line + n, sizeof line - n, ",r=1");
  if (s.again) n += std::snprintf(line + n, sizeof line - n, ",again=1");
  std::snprintf(line + n, sizeof line - n, "\r\n");
  phase_ = Phase::asking;
  model_.asked();
  if (!out_.say(line)) return broken(stream_);
  sent();
  stream_.want_read();
}

void NetworkClient::sent() {
  if (asked_told_ || !out_.all_out()) return;
  asked_told_ = true;
  asked_at_ = timers_.now();
  if (const auto leaves = model_.leaves_after()) timers_.schedule(*leaves, *this, token(Due::leave));
  checker_.session_requested(id_, node_, machine_, model_.listener().rules, model_.patience(), asked_at_);
  log_.line(asked_at_, "asked session=%llx node=n%u client=%llx", hex(id_), node_.value,
            static_cast<unsigned long long>(model_.key()));
  if (std::exchange(counted_, true)) return;  // tries of one session count once
  ++entry_.tally().sessions;
  ++entry_.current_second().sessions;
}

void NetworkClient::writable(net::Stream&) {
  if (!out_.flush()) return;  // its reading side tells of the end
  if (phase_ == Phase::asking) sent();
  if (phase_ == Phase::ending && out_.all_out()) stream_.shutdown_send();
}

void NetworkClient::input_ready(net::Stream&) {
  const std::uint64_t turn = turn_;
  while (const auto line = stream_.input().line()) {
    const std::string_view text = net::trim_line_end(*line);
    if (phase_ == Phase::asking)
      first(text, line->size());
    else
      heard(text);
    if (turn != turn_) return;
    stream_.input().consume(line->size());
  }
  if (stream_.at_eof()) return over(false);
  stream_.want_read();
}

void NetworkClient::first(std::string_view line, std::size_t whole) {
  const Micros now = timers_.now();
  if (line.starts_with("UP ")) {
    checker_.session_answered(id_, Checker::Answer::up, line.substr(3), now);
    log_.line(now, "up session=%llx receipt=%.*s", hex(id_), static_cast<int>(line.size() - 3),
              line.data() + 3);
    phase_ = Phase::open;
    model_.up();
    ++entry_.tally().accepted;
    ++entry_.current_second().accepted;
    entry_.tally().to_up.add(now - asked_at_);
    ++turn_;  // it is patient from now on
    timers_.schedule(std::max(model_.session().until - now, 0us), *this, token(Due::had));
    speak();
    // What came with the answer is looked at by the caller of input_ready(), which sees the new turn.
    stream_.input().consume(whole);
    return input_ready(stream_);
  }
  const bool busy = line.starts_with("BUSY");
  long long stated = 0;
  if (busy && line.size() > 5) std::from_chars(line.data() + 5, line.data() + line.size(), stated);
  checker_.session_answered(id_, busy ? Checker::Answer::busy : Checker::Answer::err, {}, now);
  log_.line(now, "%s session=%llx wait=%lld", busy ? "refused" : "torn-down", hex(id_), stated);
  ++(busy ? entry_.tally().refused : entry_.tally().torn_down);
  ++(busy ? entry_.current_second().refused : entry_.current_second().torn_down);
  // More after the answer would be one answer too many: it listens until the node has closed.
  phase_ = Phase::ending;
  const Micros again = model_.not_accepted(now, std::chrono::milliseconds(stated));
  timers_.schedule(again, *this, token(Due::due));
  stream_.shutdown_send();
}

void NetworkClient::heard(std::string_view line) {
  const Micros now = timers_.now();
  const bool is_move = line == "MOVE";
  checker_.client_received_line(id_, hash_line(line), is_move, now);
  ++entry_.tally().lines;
  if (is_move) {
    moved_ = true;
    return;
  }
  if (!line.starts_with("got ") || unanswered_.empty()) return;
  last_took_ = now - unanswered_.front();
  unanswered_.pop_front();
}

void NetworkClient::speak() {
  if (phase_ != Phase::open) return;
  const Micros now = timers_.now();
  const std::string line = make_line("say", id_, ++said_, model_.line_size());
  checker_.client_sent_line(id_, hash_line(net::trim_line_end(line)), now);
  unanswered_.push_back(now);
  out_.say(line);
  timers_.schedule(plan_.speaks_every, *this, token(Due::speak));
}

bool NetworkClient::meets_message_target(Micros now) const {
  if (phase_ != Phase::open) return false;
  const Micros target = model_.listener().rules.message_target;
  return last_took_ <= target && (unanswered_.empty() || now - unanswered_.front() <= target);
}

void NetworkClient::broken(net::Stream&) { over(false); }

void NetworkClient::shut() {
  ++turn_;
  phase_ = Phase::idle;
  out_.clear();
  stream_.close();
}

// The connection is over, by its own doing or another's.
void NetworkClient::over(bool by_itself) {
  const Micros now = timers_.now();
  const Phase was = phase_;
  if (was == Phase::idle) return;
  if (asked_told_) {
    if (by_itself)
      checker_.client_closed(id_, false, now);
    else
      checker_.client_saw_close(id_, now);
  }
  // After a final answer the next try is under way already, and only the connection goes.
  if (was == Phase::ending) {
    out_.clear();
    stream_.close();
    if (model_.state() == ClientModel::State::open) {
      shut();
      wait(model_.ended());
    }
    return;
  }
  shut();
  if (was == Phase::open) {
    log_.line(now, "%s session=%llx", moved_ ? "moved" : "broken", hex(id_));
    ++(moved_ ? entry_.tally().moved : entry_.tally().broken);
    ++(moved_ ? entry_.current_second().moved : entry_.current_second().broken);
    counted_ = true;
    return wait(model_.broken(now));
  }
  log_.line(now, "unanswered session=%llx", hex(id_));
  ++entry_.tally().unanswered;
  ++entry_.current_second().unanswered;
  wait(model_.not_accepted(now, 0us));
}

bool NetworkClient::drop_connection() {
  if (phase_ != Phase::open) return false;
  const Micros now = timers_.now();
  log_.line(now, "drops session=%llx", hex(id_));
  checker_.client_closed(id_, false, now);
  stream_.abort();
  shut();
  wait(model_.broken(now));
  return true;
}

void NetworkClient::timer_expired(std::uint64_t t) {
  if (t >> 3 != turn_) return;
  const Micros now = timers_.now();
  switch (static_cast<Due>(t & 7)) {
    case Due::due:
      if (phase_ != Phase::idle) {  // still listening after its answer
        if (asked_told_) checker_.client_closed(id_, false, now);
        shut();
      }
      if (model_.state() == ClientModel::State::resting) counted_ = false;
      if (model_.due(now)) return ask();
      return wait(model_.ended());
    case Due::patience:
      if (phase_ == Phase::connecting) {
        log_.line(now, "unconnected node=n%u", node_.value);
        shut();
        return wait(model_.not_accepted(now, 0us));
      }
      if (phase_ != Phase::asking) return;
      if (now < asked_at_ + model_.patience() + kLate)
        return timers_.schedule(asked_at_ + model_.patience() + kLate - now, *this, token(Due::patience));
      return over(true);
    case Due::leave:
      return phase_ == Phase::asking ? over(true) : void();
    case Due::speak:
      return speak();
    case Due::had:
      // It has had what it wanted: its last words, then the end.
      log_.line(now, "had session=%llx", hex(id_));
      phase_ = Phase::ending;
      checker_.client_closed(id_, true, now);
      if (out_.all_out()) stream_.shutdown_send();
      return timers_.schedule(kLinger, *this, token(Due::linger));
    case Due::linger:
      shut();
      return wait(model_.ended());
  }
}

void MisbehavingClient::next() {
  ++turn_;
  waiting_ = false;
  kind_ = static_cast<Kind>(chance_() % kinds);
  timers_.schedule(Micros{static_cast<std::int64_t>(chance_() % 900000)}, *this, turn_);
}

void MisbehavingClient::timer_expired(std::uint64_t turn) {
  if (turn != turn_) return;
  if (waiting_) {  // long past the limit
    if (node_sound_(node_))
      checker_.check_bad_client_wait(timers_.now() - began_, 20ms, "a bad client", timers_.now());
    return done();
  }
  const auto way = entry_.choose_node(zone_);
  if (!way || !stream_.connect(way->address, *this)) return next();
  node_ = way->node;
}

void MisbehavingClient::connected(net::Stream&, net::ConnectResult result) {
  if (result != net::ConnectResult::established) return done();
  began_ = timers_.now();
  waiting_ = true;
  timers_.schedule(4s, *this, ++turn_);
  log_.line(began_, "rude node=n%u kind=%u", node_.value, kind_);
  const std::string id = std::to_string(chance_() % 100000 + 1);
  switch (kind_) {
    case rubbish:
      out_.say("GET / HTTP/1.1\r\n\r\n");
      break;
    case endless:
      out_.say(std::string(9000, 'x'));
      break;
    case twice:
      out_.say("OPEN r" + id + " 7f c=none\r\nOPEN r" + id + " 7f c=none\r\n");
      break;
    case half:
      out_.say("OPEN r" + id + " 7f c=");
      break;
    case leaves:
      out_.say("PING\r\n");
      stream_.abort();
      return done();
    case flood:
      for (int i = 0; i < 50; ++i) out_.say("PING\r\n");
      break;
    case unknown:
      out_.say("OPEN r" + id + " 7f c=none,d=100\r\n");
      break;
    default:
      break;
  }
  stream_.want_read();
}

void MisbehavingClient::input_ready(net::Stream& s) {
  // An error or the end is what it is owed; answers to PING are neither.
  while (const auto line = s.input().line()) {
    const bool pong = line->starts_with("PONG");
    s.input().consume(line->size());
    if (!pong) return done();
  }
  if (s.at_eof()) return done();
  s.want_read();
}

void MisbehavingClient::done() {
  if (waiting_ && node_sound_(node_))
    checker_.check_bad_client_wait(timers_.now() - began_, 20ms, "a bad client", timers_.now());
  out_.clear();
  stream_.close();
  next();
}

}  // namespace flintweir::lab
