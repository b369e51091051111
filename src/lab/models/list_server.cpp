#include "lab/models/list_server.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr Micros kArrives = 20ms;  // what was written, unless the other side has gone

const char* state_of(HostStatus s) {
  return s == HostStatus::active ? "SERVING" : s == HostStatus::draining ? "DRAINING" : "DELETED";
}

std::uint64_t number_after(std::string_view text, std::string_view key, std::uint64_t other) {
  const std::size_t at = text.find(key);
  return at == text.npos ? other : std::strtoull(text.data() + at + key.size(), nullptr, 10);
}

}  // namespace

std::string list_json(const ListModel& list, std::uint64_t since, Micros now) {
  nlohmann::json out{{"rev", list.version(now)}, {"all", since == 0}, {"targets", nlohmann::json::array()}};
  for (const ListModel::Entry& e : list.changes_since(since, now)) {
    out["targets"].push_back({{"uid", e.name},
                              {"endpoint", e.endpoint},
                              {"az", e.zone},
                              {"pod_group", e.cell},
                              {"state", state_of(e.status)},
                              {"capacity_hint", e.capacity_hint},
                              {"boot_ms", e.boot_time / 1ms}});
  }
  return out.dump();
}

void ListServer::serve(const Address& at) {
  sockets_.network().listen(at);
  sockets_.network().wait_accept(*this);
}

void ListServer::connection_pending() {
  for (net::AcceptResult next = sockets_.network().accept(); next.status == net::IoStatus::done;
       next = sockets_.network().accept()) {
    const SlabKey key = calls_.acquire(*this);
    Call& c = *calls_.find(key);
    c.key = key;
    c.written.clear();
    c.asked = c.watch = c.slowed = false;
    c.out.clear();
    c.stream.adopt(next.socket, c);
    if (mood_.unavailable) {
      c.stream.abort();
      free(c);
    } else {
      c.stream.want_read();
    }
  }
  sockets_.network().wait_accept(*this);
}

void ListServer::came(Call& c) {
  const std::string_view held = c.stream.input().buffered();
  const std::size_t end = held.find("\r\n\r\n");
  if (!c.asked && end != held.npos) {
    const std::string head(held.substr(0, end));
    c.stream.input().consume(end + 4);
    c.asked = true;
    c.watch = head.find("since=") != head.npos;
    c.since = number_after(head, "since=", 0);
    c.until = timers_.now() + std::chrono::milliseconds(number_after(head, "timeout_ms=", 0));
    c.slowed = mood_.response_delay == 0us && !mood_.reject_after;
    if (mood_.reject_after)
      timers_.schedule(*mood_.reject_after, *this, c.key.packed());
    else if (c.slowed)
      look(c);
    else
      timers_.schedule(mood_.response_delay, *this, c.key.packed());
    // Whoever has stopped waiting is told nothing.
    return c.stream.want_read();
  }
  if (c.stream.at_eof()) return free(c);
  c.stream.want_read();
}

void ListServer::look(Call& c) {
  if (!c.asked || !c.slowed) return;
  if (mood_.reject_after) return turn_away(c);
  const Micros now = timers_.now();
  if (!c.watch || list_.version(now) != c.since || now >= c.until) return answer(c);
  const Micros change = list_.next_after(now);
  timers_.schedule(std::min(c.until, change) - now, *this, c.key.packed());
}

void ListServer::answer(Call& c) {
  const Micros now = timers_.now();
  // A version that this service never gave is answered with all there is.
  const std::uint64_t since = c.watch && c.since <= list_.version(now) ? c.since : 0;
  std::string body = list_json(list_, since, now);
  if (mood_.malformed) body = body.substr(0, body.size() / 2);
  c.asked = false;
  const bool said = c.out.say("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body);
  if (said && !mood_.malformed) {
    c.written.clear();
    c.written_at = now;
    for (const ListModel::Entry& e : list_.changes_since(since, now)) {
      if (e.status == HostStatus::active)
        told_(e, now);
      else
        c.written.push_back(e);
    }
    timers_.schedule(kArrives, *this, told_token(c.key));
  }
  if (!said) return free(c);
  came(c);
}

void ListServer::turn_away(Call& c) {
  c.asked = false;
  if (!c.out.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")) return free(c);
  came(c);
}

void ListServer::timer_expired(std::uint64_t token) {
  if (token >> 28 & 1) {
    if (Call* c = calls_.find(SlabKey::unpacked(token & ~(std::uint64_t{1} << 28))))
      for (const ListModel::Entry& e : std::exchange(c->written, {})) told_(e, c->written_at);
    return;
  }
  if (Call* c = calls_.find(SlabKey::unpacked(token))) {
    c->slowed = true;
    look(*c);
  }
}

void ListServer::refresh() {
  std::vector<SlabKey> all;
  calls_.for_each([&](SlabKey key, Call&) { all.push_back(key); });
  for (const SlabKey key : all) {
    Call* const c = calls_.find(key);
    if (!c) continue;
    if (mood_.unavailable) {
      c->stream.abort();
      free(*c);
    } else {
      look(*c);
    }
  }
}

void ListServer::abort_all() {
  calls_.for_each([](SlabKey, Call& c) { c.stream.abort(); });
}

void ListServer::free(Call& c) {
  c.stream.close();
  calls_.release(c.key);
}

}  // namespace flintweir::lab
