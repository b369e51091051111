#include "lab/models/list_server.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

// How long after writing an answer counts as received, unless the node has closed the connection.
constexpr Micros kDeliveryTime = 20ms;

const char* state_of(HostStatus status) {
  return status == HostStatus::active ? "SERVING" : status == HostStatus::draining ? "DRAINING" : "DELETED";
}

std::uint64_t number_after(std::string_view text, std::string_view key, std::uint64_t fallback) {
  const std::size_t at = text.find(key);
  return at == text.npos ? fallback : std::strtoull(text.data() + at + key.size(), nullptr, 10);
}

}  // namespace

std::string list_json(const ListModel& list, std::uint64_t since, Micros now) {
  nlohmann::json json{{"rev", list.version(now)}, {"all", since == 0}, {"targets", nlohmann::json::array()}};
  for (const ListModel::Entry& entry : list.changes_since(since, now)) {
    json["targets"].push_back({{"uid", entry.name},
                               {"endpoint", entry.endpoint},
                               {"az", entry.zone},
                               {"pod_group", entry.cell},
                               {"state", state_of(entry.status)},
                               {"capacity_hint", entry.capacity_hint},
                               {"boot_ms", entry.boot_time / 1ms}});
  }
  return json.dump();
}

void ListServer::serve(const Address& at) {
  sockets_.network().listen(at);
  sockets_.network().wait_accept(*this);
}

void ListServer::connection_pending() {
  for (net::AcceptResult accepted = sockets_.network().accept(); accepted.status == net::IoStatus::done;
       accepted = sockets_.network().accept()) {
    const SlabKey key = connections_.acquire(*this);
    Connection& connection = *connections_.find(key);
    connection.key = key;
    connection.undelivered.clear();
    connection.request_pending = connection.watch = connection.delay_over = false;
    connection.writer.clear();
    connection.stream.adopt(accepted.socket, connection);
    if (state_.unavailable) {
      connection.stream.abort();
      release(connection);
    } else {
      connection.stream.want_read();
    }
  }
  sockets_.network().wait_accept(*this);
}

void ListServer::on_input(Connection& connection) {
  const std::string_view input = connection.stream.input().buffered();
  const std::size_t end = input.find("\r\n\r\n");
  if (!connection.request_pending && end != input.npos) {
    const std::string head(input.substr(0, end));
    connection.stream.input().consume(end + 4);
    connection.request_pending = true;
    connection.watch = head.find("since=") != head.npos;
    connection.since = number_after(head, "since=", 0);
    connection.watch_until = timers_.now() + std::chrono::milliseconds(number_after(head, "timeout_ms=", 0));
    connection.delay_over = state_.response_delay == 0us && !state_.reject_after;
    if (state_.reject_after)
      timers_.schedule(*state_.reject_after, *this, connection.key.packed());
    else if (connection.delay_over)
      try_answer(connection);
    else
      timers_.schedule(state_.response_delay, *this, connection.key.packed());
    // Reads on, so that a node that closes before the answer gets none.
    return connection.stream.want_read();
  }
  if (connection.stream.at_eof()) return release(connection);
  connection.stream.want_read();
}

void ListServer::try_answer(Connection& connection) {
  if (!connection.request_pending || !connection.delay_over) return;
  if (state_.reject_after) return reject(connection);
  const Micros now = timers_.now();
  if (!connection.watch || list_.version(now) != connection.since || now >= connection.watch_until)
    return send_list(connection);
  const Micros change = list_.next_change_after(now);
  timers_.schedule(std::min(connection.watch_until, change) - now, *this, connection.key.packed());
}

void ListServer::send_list(Connection& connection) {
  const Micros now = timers_.now();
  // A version that this service has not reached is answered with the whole list.
  const std::uint64_t since =
      connection.watch && connection.since <= list_.version(now) ? connection.since : 0;
  std::string body = list_json(list_, since, now);
  if (state_.malformed) body = body.substr(0, body.size() / 2);
  connection.request_pending = false;
  const bool written = connection.writer.write(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body);
  if (written && !state_.malformed) {
    connection.undelivered.clear();
    connection.written_at = now;
    for (const ListModel::Entry& entry : list_.changes_since(since, now)) {
      if (entry.status == HostStatus::active)
        on_delivered_(entry, now);
      else
        connection.undelivered.push_back(entry);
    }
    timers_.schedule(kDeliveryTime, *this, delivery_token(connection.key));
  }
  if (!written) return release(connection);
  on_input(connection);
}

void ListServer::reject(Connection& connection) {
  connection.request_pending = false;
  if (!connection.writer.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
    return release(connection);
  on_input(connection);
}

void ListServer::timer_expired(std::uint64_t token) {
  if (token >> 28 & 1) {
    if (Connection* connection = connections_.find(SlabKey::unpacked(token & ~(std::uint64_t{1} << 28))))
      for (const ListModel::Entry& entry : std::exchange(connection->undelivered, {}))
        on_delivered_(entry, connection->written_at);
    return;
  }
  if (Connection* connection = connections_.find(SlabKey::unpacked(token))) {
    connection->delay_over = true;
    try_answer(*connection);
  }
}

void ListServer::refresh() {
  std::vector<SlabKey> keys;
  connections_.for_each([&](SlabKey key, Connection&) { keys.push_back(key); });
  for (const SlabKey key : keys) {
    Connection* const connection = connections_.find(key);
    if (!connection) continue;
    if (state_.unavailable) {
      connection->stream.abort();
      release(*connection);
    } else {
      try_answer(*connection);
    }
  }
}

void ListServer::abort_all() {
  connections_.for_each([](SlabKey, Connection& connection) { connection.stream.abort(); });
}

void ListServer::release(Connection& connection) {
  connection.stream.close();
  connections_.release(connection.key);
}

}  // namespace flintweir::lab
