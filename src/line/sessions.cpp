#include "line/sessions.h"

#include <cstdio>

#include "net/log.h"

namespace flintweir::line {

using namespace std::chrono_literals;

Sessions::Sessions(Sockets& sockets, TimerQueue& timers, HostTable& hosts, Timeouts patience,
                   Micros message_target, OpenLineParser heads, std::size_t most, std::size_t most_idle,
                   Events& told)
    : sockets_(sockets),
      timers_(timers),
      hosts_(hosts),
      patience_(patience),
      message_target_(message_target),
      heads_(std::move(heads)),
      most_(most),
      idle_(most_idle),
      told_(told),
      probes_(sockets, timers, patience.probe, *this) {}

Balancer& Sessions::balancer_now() {
  balancer_->set_time(timers_.now());
  return *balancer_;
}

void Sessions::add_client(SocketKey socket) {
  const SlabKey key = links_.acquire(*this);
  ++count_;
  links_.find(key)->begin(key, socket);
}

void Sessions::free(SlabKey key) {
  links_.release(key);
  --count_;
}

void Sessions::dial(SessId sess, HostId host, Micros limit) {
  if (ProxySession* link = find(sess)) link->dial(host, limit);
}

void Sessions::refuse(SessId sess, Micros stay_away, RefusalReason why) {
  if (ProxySession* link = find(sess)) busy(*link, stay_away, Reason::refused, why);
}

void Sessions::busy(ProxySession& link, Micros stay_away, Reason why, std::optional<RefusalReason> refusal) {
  char line[40] = "BUSY\r\n";
  const long long ms = std::chrono::ceil<std::chrono::milliseconds>(stay_away).count();
  if (ms > 0) std::snprintf(line, sizeof line, "BUSY %lld\r\n", ms);
  link.answer(line, why, refusal);
}

void Sessions::tear_down(SessId sess, RefusalReason why) {
  if (ProxySession* link = find(sess)) link->answer("ERR\r\n", Reason::torn_down, why);
}

void Sessions::move(SessId sess) {
  if (ProxySession* link = find(sess)) link->move(Reason::moved);
}

void Sessions::probe(HostId host) {
  const HostTable::Host* h = hosts_.find(host);
  probes_.start(host, h && sockets_.has_room(kSpare / 2) ? &h->address : nullptr);
}

void Sessions::forget_host(HostId host) {
  probes_.remove(host);
  hosts_.remove(host);
}

void Sessions::on_probe_ended(HostId host, DialOutcome how, Micros took, const LoadReport& report) {
  if (how != DialOutcome::completed) log_line("end probe-failed host=%s", hosts_.name(host));
  balancer_now().probe_ended(host, how, took, report);
}

void Sessions::log(std::string_view line) {
  log_line("balance: %.*s", static_cast<int>(line.size()), line.data());
}

void Sessions::log(std::string_view line, HostId host) {
  log_line("balance: %.*s: %s", static_cast<int>(line.size()), line.data(), hosts_.name(host));
}

void Sessions::dial_again(std::uint64_t key) {
  if (ProxySession* link = links_.find(SlabKey::unpacked(key))) link->dial_holder();
}

// A delay is told while it is over a third of what messages may take, once a second for each host, and once
// more when it is back under.
bool Sessions::delay_counts(HostId host, Micros delay) {
  HostTable::Host* h = hosts_.find(host);
  if (!h || message_target_ == 0us) return false;
  const bool late = delay > message_target_ / 3;
  if (!late) return std::exchange(h->messages_late, false);
  const Micros now = timers_.now();
  if (h->messages_late && now - h->late_reported_at < 1s) return false;
  h->messages_late = true;
  h->late_reported_at = now;
  return true;
}

void Sessions::shut_down(Micros over) {
  leaving_ = true;
  // Guards against clients that are told to come again while fronts still send them here, to be refused.
  move_from_ = timers_.now() + kFrontNotices;
  leave_by_ = move_from_ + over;
  timers_.schedule(kFrontNotices, move_next_, 0);
}

// Guards against all clients of a node coming back in the same moment: that is a storm for the others.
void Sessions::move_next(std::uint64_t) {
  std::size_t open = 0;
  ProxySession* next = nullptr;
  links_.for_each([&](SlabKey, ProxySession& link) {
    if (!link.movable()) return;
    ++open;
    if (!next) next = &link;
  });
  if (!next) return;
  next->move(Reason::restarting);
  const Micros left = std::max(leave_by_ - timers_.now(), Micros{0});
  if (open > 1) timers_.schedule(left / static_cast<std::int64_t>(open), move_next_, 0);
}

}  // namespace flintweir::line
