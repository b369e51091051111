#include "lab/models/host_server.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "numbers.h"

namespace flintweir::lab {

using namespace std::chrono_literals;

HostServer::HostServer(net::Network& network, HostModel& model, HostNo host_no, std::string name,
                       const SessionRegistry& registry, Checker& checker, EventLog& log, const HostPlan& plan,
                       const TrafficPlan& traffic, Micros overload_window, std::uint64_t seed)
    : sockets_(network, 1u << 20),
      timers_(network),
      model_(model),
      host_no_(host_no),
      name_(std::move(name)),
      registry_(registry),
      checker_(checker),
      log_(log),
      plan_(plan),
      traffic_(traffic),
      overload_window_(overload_window),
      random_(static_cast<std::knuth_b::result_type>(seed | 1)) {}

void HostServer::serve(const Address& at) {
  sockets_.network().listen(at);
  sockets_.network().wait_accept(*this);
}

void HostServer::connection_pending() {
  for (net::AcceptResult accepted = sockets_.network().accept(); accepted.status == net::IoStatus::done;
       accepted = sockets_.network().accept()) {
    const SlabKey key = connections_.acquire(*this);
    Connection& connection = *connections_.find(key);
    connection.key = key;
    connection.phase = Connection::Phase::awaiting_request;
    connection.session = {};
    connection.dial_id = {};
    connection.pending_replies.clear();
    connection.writer.clear();
    connection.lines_sent = 0;
    connection.load_updated_at = connection.last_reply = 0us;
    connection.stream.adopt(accepted.socket, connection);
    connection.stream.want_read();
  }
  sockets_.network().wait_accept(*this);
}

void HostServer::on_input(Connection& connection) {
  // A hanging host handles lines on open sessions when it resumes; a request counts as received even now.
  const bool hanging = model_.hanging();
  if (hanging && connection.phase != Connection::Phase::awaiting_request) return;
  const SlabKey key = connection.key;
  while (const auto line = connection.stream.input().line()) {
    const std::string_view text = net::trim_line_end(*line);
    if (connection.phase == Connection::Phase::awaiting_request) {
      if (hanging && !text.starts_with("OPEN ")) return;
      handle_first_line(connection, text);
    } else if (connection.phase == Connection::Phase::open) {
      checker_.host_received_line(connection.dial_id, hash_line(text), timers_.now());
      if (model_.serving()) {
        connection.last_reply =
            std::max(connection.last_reply, timers_.now() + model_.line_service_time(timers_.now()));
        connection.pending_replies.push_back(static_cast<unsigned>(text.size()) + 2);
        timers_.schedule(connection.last_reply - timers_.now(), *this, timer_token(key, Timer::reply));
      }
    } else if (connection.phase == Connection::Phase::answering) {
      break;  // lines that arrive before the answer are handled after it
    }
    if (!connections_.has(key)) return;
    connection.stream.input().consume(line->size());
  }
  if (hanging && (connection.phase != Connection::Phase::awaiting_request || connection.stream.at_eof()))
    return;
  if (connection.stream.at_eof()) {
    // A node that has closed its sending side has finished or abandoned the session.
    if (connection.phase == Connection::Phase::open) {
      checker_.host_saw_close(connection.dial_id, true, timers_.now());
      return close_gracefully(connection, Checker::CloseKind::bye, "BYE\r\n");
    }
    return on_closed(connection, true);
  }
  connection.stream.want_read();
}

void HostServer::handle_first_line(Connection& connection, std::string_view line) {
  const Micros now = timers_.now();
  if (line == "PING") return void(connection.writer.write("PONG\r\n"));
  if (line == "STATS") {
    const HostModel::Report& report = model_.report(now);
    char text[96];
    std::snprintf(text, sizeof text, "PONG util=%.4f,x0=%.4f,inflight=%u\r\n", report.utilization,
                  report.load, report.connections);
    return void(connection.writer.write(text));
  }
  std::uint64_t id = 0;
  if (!line.starts_with("OPEN ") ||
      std::from_chars(line.data() + 5, line.data() + line.size(), id, 16).ec != std::errc{}) {
    log_.line(now, "syntax host=%s", name_.c_str());
    checker_.begin_dial(host_no_, SessionNo{0}, now);
    connection.phase = Connection::Phase::closing;
    return void(connection.writer.write("SYNTAX\r\n"));
  }
  connection.session = {id};
  connection.dial_id = checker_.begin_dial(host_no_, connection.session, now);
  const SessionLoad* const session = registry_.find_session(connection.session);
  connection.load = session ? session->load : traffic_.mean_load;
  connection.group = session ? session->group : 0;
  const bool was_overloaded = model_.overloaded();
  if (model_.is_cold(now))
    checker_.record_cold_load(host_no_, connection.session, connection.load, overload_window_, now);
  const HostModel::Response response = model_.handle_request(now, connection.load);
  if (model_.overloaded() && !was_overloaded) {
    log_.line(now, "tipped host=%s pushed=%.2f", name_.c_str(), model_.cold_load_ratio());
    checker_.host_overloaded(host_no_, now);
    checker_.host_silent(host_no_, true, now);
  }
  connection.answer = response.answer;
  connection.phase = Connection::Phase::answering;
  log_.line(now, "dialled session=%llx host=%s", static_cast<unsigned long long>(id), name_.c_str());
  if (response.answer != HostModel::Answer::nothing)
    timers_.schedule(response.delay, *this, timer_token(connection.key, Timer::answer));
}

void HostServer::send_answer(Connection& connection) {
  if (connection.phase != Connection::Phase::answering || model_.hanging()) return;
  const Micros now = timers_.now();
  if (connection.answer == HostModel::Answer::up && model_.draining())
    connection.answer = HostModel::Answer::busy;
  switch (connection.answer) {
    case HostModel::Answer::up: {
      char up[48];
      std::snprintf(up, sizeof up, "UP r%u-%llu\r\n", host_no_.value,
                    static_cast<unsigned long long>(++receipts_));
      checker_.host_answered(connection.dial_id, Checker::Answer::up,
                             net::trim_line_end(std::string_view(up).substr(3)), now);
      model_.session_opened(now, connection.load, connection.group);
      connection.phase = Connection::Phase::open;
      connection.load_updated_at = now;
      if (!connection.writer.write(up)) return on_closed(connection, false);
      char load[40];
      std::snprintf(load, sizeof load, "LOAD %.0f\r\n", connection.load);
      connection.reported_load = connection.load;
      send_line(connection, load);
      return on_input(connection);
    }
    case HostModel::Answer::busy:
      checker_.host_answered(connection.dial_id, Checker::Answer::busy, {}, now);
      return close_gracefully(connection, Checker::CloseKind::bye, "BUSY\r\n");
    case HostModel::Answer::err:
      checker_.host_answered(connection.dial_id, Checker::Answer::err, {}, now);
      return close_gracefully(connection, Checker::CloseKind::bye, "ERR\r\n");
    case HostModel::Answer::reset:
      checker_.host_closed(connection.dial_id, Checker::CloseKind::aborted, now);
      connection.stream.abort();
      return release(connection);
    case HostModel::Answer::nothing:
      return;
  }
}

void HostServer::send_line(Connection& connection, const std::string& line) {
  checker_.host_sent_line(connection.dial_id, hash_line(net::trim_line_end(line)), timers_.now());
  connection.writer.write(line);
}

// Sends a reply, preceded by a load report if the load has changed by more than a twentieth since the last
// one.
void HostServer::send_reply(Connection& connection) {
  if (connection.phase != Connection::Phase::open || connection.pending_replies.empty() || !model_.serving())
    return;
  const unsigned size = connection.pending_replies.front();
  connection.pending_replies.pop_front();
  const Micros now = timers_.now();
  const double reported = connection.reported_load;
  const double step = traffic_.load_drift * std::sqrt(seconds(now - connection.load_updated_at)) *
                      (2 * std::generate_canonical<double, 32>(random_) - 1);
  const double load =
      std::clamp(connection.load * (1 + step), traffic_.mean_load / 8, traffic_.mean_load * 16);
  model_.load_changed(now, load - connection.load);
  connection.load = load;
  connection.load_updated_at = now;
  if (std::abs(load - reported) > reported / 20) {
    connection.reported_load = load;
    char text[40];
    std::snprintf(text, sizeof text, "LOAD %.0f\r\n", load);
    send_line(connection, text);
  }
  send_line(connection, make_line("got", connection.session, ++connection.lines_sent, size));
}

void HostServer::on_writable(Connection& connection) {
  if (!connection.writer.flush()) return on_closed(connection, false);
  if (connection.phase == Connection::Phase::closing && connection.writer.is_empty())
    connection.stream.shutdown_send();
}

// Sends a last line, then closes the sending side; input is read until the other side closes as well.
void HostServer::close_gracefully(Connection& connection, Checker::CloseKind kind,
                                  std::string_view last_line) {
  const Micros now = timers_.now();
  if (connection.phase == Connection::Phase::open) {
    checker_.host_sent_line(connection.dial_id, hash_line(net::trim_line_end(last_line)), now);
    model_.session_closed(now, connection.load, connection.group);
  }
  checker_.host_closed(connection.dial_id, kind, now);
  connection.phase = Connection::Phase::closing;
  if (!connection.writer.write(last_line) || connection.stream.at_eof()) {
    connection.stream.close();
    return release(connection);
  }
  if (connection.writer.is_empty()) connection.stream.shutdown_send();
  timers_.schedule(1s, *this, timer_token(connection.key, Timer::close_timeout));
  connection.stream.input().clear();
  connection.stream.want_read();
}

void HostServer::on_closed(Connection& connection, bool cleanly) {
  if (model_.hanging()) return;  // a hanging host does not detect the close
  if (connection.phase == Connection::Phase::open)
    model_.session_closed(timers_.now(), connection.load, connection.group);
  if (connection.dial_id.value) checker_.host_saw_close(connection.dial_id, cleanly, timers_.now());
  connection.stream.close();
  release(connection);
}

void HostServer::release(Connection& connection) { connections_.release(connection.key); }

void HostServer::timer_expired(std::uint64_t token) {
  const Timer timer = static_cast<Timer>(token >> 28 & 15);
  Connection* const connection = connections_.find(SlabKey::unpacked(token & ~(std::uint64_t{15} << 28)));
  if (!connection) return;
  if (timer == Timer::answer) return send_answer(*connection);
  if (timer == Timer::reply) return send_reply(*connection);
  if (timer == Timer::move && connection->phase == Connection::Phase::open && !model_.hanging())
    return send_move(*connection);
  if (timer == Timer::close_timeout && connection->phase == Connection::Phase::closing) {
    connection->stream.close();
    release(*connection);
  }
}

void HostServer::send_move(Connection& connection) {
  log_.line(timers_.now(), "sends-away session=%llx host=%s",
            static_cast<unsigned long long>(connection.session.value), name_.c_str());
  close_gracefully(connection, Checker::CloseKind::move, "MOVE\r\n");
}

void HostServer::drain() {
  model_.drain();
  if (plan_.drain_policy == DrainPolicy::keep) return;
  std::vector<SlabKey> open;
  connections_.for_each([&](SlabKey key, Connection& connection) {
    if (connection.phase == Connection::Phase::open) open.push_back(key);
  });
  const Micros period = plan_.drain_policy == DrainPolicy::move_at_once ? 0us : plan_.drain_duration / 2;
  for (std::size_t i = 0; i < open.size(); ++i)
    timers_.schedule(period * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(open.size()), *this,
                     timer_token(open[i], Timer::move));
}

void HostServer::resume() {
  std::vector<SlabKey> keys;
  connections_.for_each([&](SlabKey key, Connection&) { keys.push_back(key); });
  for (const SlabKey key : keys) {
    if (Connection* connection = connections_.find(key);
        connection && connection->phase == Connection::Phase::answering) {
      connection->answer = HostModel::Answer::busy;  // the node no longer waits for this answer
      send_answer(*connection);
    }
    if (Connection* connection = connections_.find(key)) on_input(*connection);
  }
}

void HostServer::abort_all() {
  connections_.for_each([](SlabKey, Connection& connection) { connection.stream.abort(); });
}

}  // namespace flintweir::lab
