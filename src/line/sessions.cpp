#include "line/sessions.h"

#include <cstdio>

#include "net/log.h"

namespace flintweir::line {

using namespace std::chrono_literals;

Sessions::Sessions(Sockets& sockets, TimerQueue& timers, HostTable& hosts, Timeouts timeouts,
                   Micros message_target, OpenLineParser open_line_parser, const SessionLimits& limits,
                   Events& events)
    : sockets_(sockets),
      timers_(timers),
      hosts_(hosts),
      timeouts_(timeouts),
      message_target_(message_target),
      open_line_parser_(std::move(open_line_parser)),
      max_connections_(limits.connections),
      idle_clients_(limits.idle_clients),
      connection_ids_(limits.retired_ids),
      events_(events),
      probes_(sockets, timers, timeouts.probe, *this) {}

Balancer& Sessions::balancer_now() {
  balancer_->set_time(timers_.now());
  return *balancer_;
}

void Sessions::add_client(SocketKey socket) {
  const SlabKey key = sessions_.acquire(*this);
  ++connection_count_;
  sessions_.find(key)->start(key, socket);
}

void Sessions::remove(SlabKey key) {
  sessions_.release(key);
  --connection_count_;
}

void Sessions::dial(SessId sess, HostId host, Micros limit) {
  if (ProxySession* session = find(sess)) session->dial(host, limit);
}

void Sessions::refuse(SessId sess, Micros retry_after, RefusalReason reason) {
  if (ProxySession* session = find(sess)) answer_busy(*session, retry_after, Reason::refused, reason);
}

void Sessions::answer_busy(ProxySession& session, Micros retry_after, Reason reason,
                           std::optional<RefusalReason> refusal) {
  char line[40] = "BUSY\r\n";
  const long long ms = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
  if (ms > 0) std::snprintf(line, sizeof line, "BUSY %lld\r\n", ms);
  session.answer(line, reason, refusal);
}

void Sessions::tear_down(SessId sess, RefusalReason reason) {
  if (ProxySession* session = find(sess)) session->answer("ERR\r\n", Reason::torn_down, reason);
}

void Sessions::move(SessId sess) {
  if (ProxySession* session = find(sess)) session->move(Reason::moved);
}

void Sessions::probe(HostId host) {
  const HostTable::Host* entry = hosts_.find(host);
  probes_.start(host, entry && sockets_.has_room(kReservedDescriptors / 2) ? &entry->address : nullptr);
}

void Sessions::forget_host(HostId host) {
  probes_.remove(host);
  hosts_.remove(host);
}

void Sessions::on_probe_ended(HostId host, DialOutcome outcome, Micros duration, const LoadReport& report) {
  if (outcome != DialOutcome::completed) log_line("end probe-failed host=%s", hosts_.name(host));
  balancer_now().probe_ended(host, outcome, duration, report);
}

void Sessions::log(std::string_view line) {
  log_line("balance: %.*s", static_cast<int>(line.size()), line.data());
}

void Sessions::log(std::string_view line, HostId host) {
  log_line("balance: %.*s: %s", static_cast<int>(line.size()), line.data(), hosts_.name(host));
}

void Sessions::redial(std::uint64_t key) {
  if (ProxySession* session = sessions_.find(SlabKey::unpacked(key))) session->dial_current_host();
}

// A delay is reported while it exceeds a third of the message target, at most once a second for each host,
// and once more when it is back below.
bool Sessions::should_report_delay(HostId host, Micros delay) {
  HostTable::Host* entry = hosts_.find(host);
  if (!entry || message_target_ == 0us) return false;
  const bool late = delay > message_target_ / 3;
  if (!late) return std::exchange(entry->messages_late, false);
  const Micros now = timers_.now();
  if (entry->messages_late && now - entry->late_reported_at < 1s) return false;
  entry->messages_late = true;
  entry->late_reported_at = now;
  return true;
}

void Sessions::become_ready() {
  if (readiness_ == Readiness::starting) set_readiness(Readiness::ready);
}

void Sessions::set_readiness(Readiness readiness) {
  readiness_ = readiness;
  sessions_.for_each([](SlabKey, ProxySession& session) { session.readiness_changed(); });
}

void Sessions::shut_down(Micros over) {
  set_readiness(Readiness::leaving);
  // Clients moved earlier could be sent here again by the load balancers in front of this node, only to be
  // refused.
  moves_start_at_ = timers_.now() + kFrontCheckDelay;
  moves_end_at_ = moves_start_at_ + over;
  timers_.schedule(kFrontCheckDelay, move_timer_, 0);
}

// Moves one session and schedules the next move. If all clients of a node reconnected at the same moment, the
// other nodes would be overloaded.
void Sessions::move_next(std::uint64_t) {
  std::size_t movable = 0;
  ProxySession* next = nullptr;
  sessions_.for_each([&](SlabKey, ProxySession& session) {
    if (!session.movable()) return;
    ++movable;
    if (!next) next = &session;
  });
  if (!next) return;
  next->move(Reason::restarting);
  const Micros remaining = std::max(moves_end_at_ - timers_.now(), Micros{0});
  if (movable > 1) timers_.schedule(remaining / static_cast<std::int64_t>(movable), move_timer_, 0);
}

}  // namespace flintweir::line
