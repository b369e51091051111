#include "lab/models/host_server.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "numbers.h"

namespace flintweir::lab {

using namespace std::chrono_literals;

HostServer::HostServer(net::Network& network, HostModel& model, HostNo no, std::string name,
                       const SessionRegistry& known, Checker& checker, EventLog& log, const HostPlan& plan,
                       const TrafficPlan& traffic, Micros tip_after, std::uint64_t seed)
    : sockets_(network, 1u << 20),
      timers_(network),
      model_(model),
      no_(no),
      name_(std::move(name)),
      known_(known),
      checker_(checker),
      log_(log),
      plan_(plan),
      traffic_(traffic),
      tip_after_(tip_after),
      chance_(static_cast<std::knuth_b::result_type>(seed | 1)) {}

void HostServer::serve(const Address& at) {
  sockets_.network().listen(at);
  sockets_.network().wait_accept(*this);
}

void HostServer::connection_pending() {
  for (net::AcceptResult next = sockets_.network().accept(); next.status == net::IoStatus::done;
       next = sockets_.network().accept()) {
    const SlabKey key = calls_.acquire(*this);
    Call& c = *calls_.find(key);
    c.key = key;
    c.phase = Call::Phase::first;
    c.session = {};
    c.call = {};
    c.replies.clear();
    c.out.clear();
    c.said = 0;
    c.loaded_at = c.last_reply = 0us;
    c.stream.adopt(next.socket, c);
    c.stream.want_read();
  }
  sockets_.network().wait_accept(*this);
}

void HostServer::came(Call& c) {
  // What comes on an open session while it hangs is looked at when it goes on; a dial has come all the same.
  const bool hangs = model_.hanging();
  if (hangs && c.phase != Call::Phase::first) return;
  const SlabKey key = c.key;
  while (const auto line = c.stream.input().line()) {
    const std::string_view text = net::trim_line_end(*line);
    if (c.phase == Call::Phase::first) {
      if (hangs && !text.starts_with("OPEN ")) return;
      first_line(c, text);
    } else if (c.phase == Call::Phase::open) {
      checker_.host_received_line(c.call, hash_line(text), timers_.now());
      if (model_.serving()) {
        c.last_reply = std::max(c.last_reply, timers_.now() + model_.line_takes(timers_.now()));
        c.replies.push_back(static_cast<unsigned>(text.size()) + 2);
        timers_.schedule(c.last_reply - timers_.now(), *this, token(key, Due::reply));
      }
    } else if (c.phase == Call::Phase::answering) {
      break;  // nothing may come before the answer; what does is read behind it
    }
    if (!calls_.has(key)) return;
    c.stream.input().consume(line->size());
  }
  if (hangs && (c.phase != Call::Phase::first || c.stream.at_eof())) return;
  if (c.stream.at_eof()) {
    // Whoever ends its sending on a session has given it up, or has said its last.
    if (c.phase == Call::Phase::open) {
      checker_.host_saw_close(c.call, true, timers_.now());
      return leave(c, Checker::CloseKind::bye, "BYE\r\n");
    }
    return over(c, true);
  }
  c.stream.want_read();
}

void HostServer::first_line(Call& c, std::string_view line) {
  const Micros now = timers_.now();
  if (line == "PING") return void(c.out.say("PONG\r\n"));
  if (line == "STATS") {
    const HostModel::Report& r = model_.report(now);
    char text[96];
    std::snprintf(text, sizeof text, "PONG util=%.4f,x0=%.4f,inflight=%u\r\n", r.busy, r.load, r.connections);
    return void(c.out.say(text));
  }
  std::uint64_t id = 0;
  if (!line.starts_with("OPEN ") ||
      std::from_chars(line.data() + 5, line.data() + line.size(), id, 16).ec != std::errc{}) {
    log_.line(now, "syntax host=%s", name_.c_str());
    checker_.begin_dial(no_, SessionNo{0}, now);
    c.phase = Call::Phase::leaving;
    return void(c.out.say("SYNTAX\r\n"));
  }
  c.session = {id};
  c.call = checker_.begin_dial(no_, c.session, now);
  const SessionLoad* const asked = known_.find_session(c.session);
  c.load = asked ? asked->load : traffic_.load;
  c.group = asked ? asked->group : 0;
  const bool tipped = model_.overloaded();
  if (model_.is_cold(now)) checker_.record_cold_load(no_, c.session, c.load, tip_after_, now);
  const HostModel::Verdict verdict = model_.open(now, c.load);
  if (model_.overloaded() && !tipped) {
    log_.line(now, "tipped host=%s pushed=%.2f", name_.c_str(), model_.pushed());
    checker_.host_overloaded(no_, now);
    checker_.host_silent(no_, true, now);
  }
  c.answer = verdict.answer;
  c.phase = Call::Phase::answering;
  log_.line(now, "dialled session=%llx host=%s", static_cast<unsigned long long>(id), name_.c_str());
  if (verdict.answer != HostModel::Answer::nothing)
    timers_.schedule(verdict.after, *this, token(c.key, Due::answer));
}

void HostServer::answer(Call& c) {
  if (c.phase != Call::Phase::answering || model_.hanging()) return;
  const Micros now = timers_.now();
  if (c.answer == HostModel::Answer::up && model_.draining()) c.answer = HostModel::Answer::busy;
  switch (c.answer) {
    case HostModel::Answer::up: {
      char up[48];
      std::snprintf(up, sizeof up, "UP r%u-%llu\r\n", no_.value,
                    static_cast<unsigned long long>(++receipts_));
      checker_.host_answered(c.call, Checker::Answer::up, net::trim_line_end(std::string_view(up).substr(3)),
                             now);
      model_.opened(now, c.load, c.group);
      c.phase = Call::Phase::open;
      c.loaded_at = now;
      if (!c.out.say(up)) return over(c, false);
      char load[40];
      std::snprintf(load, sizeof load, "LOAD %.0f\r\n", c.load);
      c.told_load = c.load;
      say(c, load);
      return came(c);
    }
    case HostModel::Answer::busy:
      checker_.host_answered(c.call, Checker::Answer::busy, {}, now);
      return leave(c, Checker::CloseKind::bye, "BUSY\r\n");
    case HostModel::Answer::err:
      checker_.host_answered(c.call, Checker::Answer::err, {}, now);
      return leave(c, Checker::CloseKind::bye, "ERR\r\n");
    case HostModel::Answer::reset:
      checker_.host_closed(c.call, Checker::CloseKind::aborted, now);
      c.stream.abort();
      return free(c);
    case HostModel::Answer::nothing:
      return;
  }
}

void HostServer::say(Call& c, const std::string& line) {
  checker_.host_sent_line(c.call, hash_line(net::trim_line_end(line)), timers_.now());
  c.out.say(line);
}

// With what it says goes its load, when that has changed enough to be told.
void HostServer::reply(Call& c) {
  if (c.phase != Call::Phase::open || c.replies.empty() || !model_.serving()) return;
  const unsigned size = c.replies.front();
  c.replies.pop_front();
  const Micros now = timers_.now();
  const double usual = c.told_load;
  const double step = traffic_.drift * std::sqrt(seconds(now - c.loaded_at)) *
                      (2 * std::generate_canonical<double, 32>(chance_) - 1);
  const double load = std::clamp(c.load * (1 + step), traffic_.load / 8, traffic_.load * 16);
  model_.changed(now, load - c.load);
  c.load = load;
  c.loaded_at = now;
  if (std::abs(load - usual) > usual / 20) {
    c.told_load = load;
    char text[40];
    std::snprintf(text, sizeof text, "LOAD %.0f\r\n", load);
    say(c, text);
  }
  say(c, make_line("got", c.session, ++c.said, size));
}

void HostServer::written(Call& c) {
  if (!c.out.flush()) return over(c, false);
  if (c.phase == Call::Phase::leaving && c.out.all_out()) c.stream.shutdown_send();
}

// The last word, then the end; what still comes is read until the other side ends as well.
void HostServer::leave(Call& c, Checker::CloseKind how, std::string_view last) {
  const Micros now = timers_.now();
  if (c.phase == Call::Phase::open) {
    checker_.host_sent_line(c.call, hash_line(net::trim_line_end(last)), now);
    model_.closed(now, c.load, c.group);
  }
  checker_.host_closed(c.call, how, now);
  c.phase = Call::Phase::leaving;
  if (!c.out.say(last) || c.stream.at_eof()) {
    c.stream.close();
    return free(c);
  }
  if (c.out.all_out()) c.stream.shutdown_send();
  timers_.schedule(1s, *this, token(c.key, Due::give_up));
  c.stream.input().clear();
  c.stream.want_read();
}

void HostServer::over(Call& c, bool cleanly) {
  if (model_.hanging()) return;  // it notices nothing
  if (c.phase == Call::Phase::open) model_.closed(timers_.now(), c.load, c.group);
  if (c.call.value) checker_.host_saw_close(c.call, cleanly, timers_.now());
  c.stream.close();
  free(c);
}

void HostServer::free(Call& c) { calls_.release(c.key); }

void HostServer::timer_expired(std::uint64_t t) {
  const Due due = static_cast<Due>(t >> 28 & 15);
  Call* const c = calls_.find(SlabKey::unpacked(t & ~(std::uint64_t{15} << 28)));
  if (!c) return;
  if (due == Due::answer) return answer(*c);
  if (due == Due::reply) return reply(*c);
  if (due == Due::away && c->phase == Call::Phase::open && !model_.hanging()) return send_away(*c);
  if (due == Due::give_up && c->phase == Call::Phase::leaving) {
    c->stream.close();
    free(*c);
  }
}

void HostServer::send_away(Call& c) {
  log_.line(timers_.now(), "sends-away session=%llx host=%s",
            static_cast<unsigned long long>(c.session.value), name_.c_str());
  leave(c, Checker::CloseKind::move, "MOVE\r\n");
}

void HostServer::drain() {
  model_.drain();
  if (plan_.sends_away == SendsAway::keeps) return;
  std::vector<SlabKey> open;
  calls_.for_each([&](SlabKey key, Call& c) {
    if (c.phase == Call::Phase::open) open.push_back(key);
  });
  const Micros over = plan_.sends_away == SendsAway::at_once ? 0us : plan_.leaves_after / 2;
  for (std::size_t i = 0; i < open.size(); ++i)
    timers_.schedule(over * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(open.size()), *this,
                     token(open[i], Due::away));
}

void HostServer::resume() {
  std::vector<SlabKey> all;
  calls_.for_each([&](SlabKey key, Call&) { all.push_back(key); });
  for (const SlabKey key : all) {
    if (Call* c = calls_.find(key); c && c->phase == Call::Phase::answering) {
      c->answer = HostModel::Answer::busy;  // its time is long up
      answer(*c);
    }
    if (Call* c = calls_.find(key)) came(*c);
  }
}

void HostServer::abort_all() {
  calls_.for_each([](SlabKey, Call& c) { c.stream.abort(); });
}

}  // namespace flintweir::lab
