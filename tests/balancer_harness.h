// Simulates the surroundings of a balancer (clients, hosts, timers and the host list), records its actions
// and checks each of them against the four rules. The checks use only what the harness itself has sent and
// recorded, and never ask the balancer:
//   1. Each session gets exactly one answer, by its deadline.
//   2. A session does not run twice, and is not refused, where that does harm.
//   3. No host is dialled once it drains (or is removed, where that binds), after a grace period.
//   4. A cold host is not sent more than it bears.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "balance.h"

namespace flintweir::test {

using namespace std::chrono_literals;

struct DialRecord {
  HostId host;
  Micros started_at, ends_by;  // it times out at ends_by
  bool in_progress = true, may_have_run = true;
};

struct Client {
  SessionHandle handle;
  ListenerId listener;
  Micros deadline;
  std::vector<DialRecord> dials;
  bool answered = false, open = false, moved = false;
};

struct ListedHost {
  ZoneId zone;
  CellId cell;
  HostStatus status = HostStatus::active;
  Micros status_changed_at{0}, started{0};
  bool drained = false;             // has been draining since it started
  std::deque<Micros> dial_times{};  // within the cold start window
  double weight = 1;                // on the list
};

inline std::vector<Listener> listeners_of_all_kinds() {
  const auto kind = [](Effect effect, DedupScope scope) {
    return Listener{500ms, 2s, effect, scope, 1s, 1, 100ms};
  };
  return {kind(Effect::repeatable, DedupScope::all), kind(Effect::referenced, DedupScope::all),
          kind(Effect::referenced, DedupScope::zone), kind(Effect::referenced, DedupScope::cell),
          kind(Effect::once_only, DedupScope::all)};
}

class BalancerHarness : public BalancerDelegate {
 public:
  static constexpr unsigned kNodes = 2, kMaxDials = 4;
  static constexpr ColdStartLimits kCold{10s, 0.3, 3, 2s};
  static constexpr Micros kDrainGrace = 300ms;

  explicit BalancerHarness(std::uint64_t seed,
                           std::vector<Listener> listeners_used = listeners_of_all_kinds())
      : listeners(std::move(listeners_used)), random(seed) {
    restart();
  }

  // Replaces the balancer by a new one that has received the present list only.
  void restart() {
    clients.clear();
    timers.clear();
    probes.clear();
    for (auto& [id, listed] : hosts)
      listed.drained = listed.status == HostStatus::draining;  // it has seen no earlier list
    balancer = make_balancer(
        *this, random(), node_count, ZoneId{0}, listeners, DialLimits{kMaxDials, 1s, retry_limits}, kCold,
        ListPolicy{true, 10s, weights_are_capacities, only_draining_binds}, Prices{0.1, probe_price});
    balancer->set_time(now);
    send_list();
  }
  // Gives the balancer the list entry of one host.
  void list_host(HostId id) {
    const ListedHost& listed = hosts[id];
    balancer->list_host(id, listed.zone, listed.cell, listed.status, listed.weight, listed.started);
  }
  // Gives the balancer the complete list.
  void send_list() {
    balancer->begin_list(true);
    for (const auto& [id, listed] : hosts) list_host(id);
    balancer->end_list();
  }
  // Changes a host, and sends the balancer a list of that change. `started`: zero if it did not restart.
  void change_host(HostId id, HostStatus status, Micros started = 0us) {
    ListedHost& listed = hosts[id];
    if (status == HostStatus::draining) listed.drained = true;
    if (started > listed.started) listed.drained = status == HostStatus::draining;
    if (status != listed.status) listed.status_changed_at = now;
    listed.status = status;
    if (started > 0us) listed.started = started;
    balancer->begin_list(false);
    list_host(id);
    balancer->end_list();
  }
  SessId start_session(unsigned listener, std::optional<GroupId> group = {}) {
    const SessId id{next_id++};
    Client& c = clients[id];
    c.listener = {listener};
    c.deadline = now + listeners[listener].dial_timeout;
    SessionRequest request{};
    request.listener = c.listener;
    request.deadline = c.deadline;
    request.group = group;
    c.handle = balancer->start_session(id, request);
    return id;
  }
  void end_dial(SessId id, DialOutcome outcome) {
    Client& c = clients.at(id);
    DialRecord& d = c.dials.back();
    d.in_progress = false;
    d.may_have_run = outcome != DialOutcome::rejected && outcome != DialOutcome::connect_failed &&
                     outcome != DialOutcome::not_sent;
    const bool over = c.open || outcome == DialOutcome::completed;
    if (over) c.answered = true;
    c.handle.dial_ended(DialNo{static_cast<std::uint32_t>(c.dials.size() - 1)}, outcome, over);
  }
  void accept_dial(SessId id) {
    Client& c = clients.at(id);
    c.open = c.answered = true;
    c.handle.dial_accepted(DialNo{static_cast<std::uint32_t>(c.dials.size() - 1)});
  }
  void report(HostId id, double load, Micros took = 1ms) {
    LoadReport r;
    r.load = load;
    balancer->probe_ended(id, DialOutcome::completed, took, r);
  }
  // Advances the time, and calls answer(host) every 100 ms for each probe sent.
  template <class Answer>
  void advance_answering_probes(Micros duration, Answer answer) {
    for (const Micros end = now + duration; now < end;) {
      advance(100ms);
      for (const HostId h : std::exchange(probes, {})) answer(h);
    }
  }
  // The number of sessions that the balancer has moved, of one host or of all.
  unsigned moved_sessions(std::optional<HostId> from = {}) const {
    return static_cast<unsigned>(std::count_if(clients.begin(), clients.end(), [&](const auto& entry) {
      const Client& c = entry.second;
      return c.moved && (!from || c.dials.back().host == *from);
    }));
  }
  // Advances the time in steps of 10 ms: ends overdue dials and fires timers.
  void advance(Micros duration) {
    for (const Micros end = now + duration; now < end;) {
      now += std::min(10ms + 0us, end - now);
      balancer->set_time(now);
      for (std::vector<SessId> overdue = overdue_dials(); const SessId id : overdue)
        end_dial(id, DialOutcome::timed_out);
      while (!timers.empty() && timers.begin()->first <= now) {
        const TimerId timer = timers.begin()->second;
        timers.erase(timers.begin());
        balancer->timer_expired(timer);
      }
      for (const auto& [id, c] : clients) {
        EXPECT_TRUE(c.answered || now <= c.deadline + 20ms) << "rule 1: no answer in time";
      }
    }
  }
  unsigned dials_in_window(HostId id) const { return static_cast<unsigned>(hosts.at(id).dial_times.size()); }

  void dial(SessId sess, HostId host, Micros limit) override {
    Client& c = clients.at(sess);
    ListedHost& listed = hosts.at(host);
    const Listener& l = listeners[c.listener.value];
    EXPECT_FALSE(c.answered) << "rule 1: dialled after the answer";
    EXPECT_LT(c.dials.size(), kMaxDials);
    const bool forbidden = only_draining_binds ? listed.drained : listed.status != HostStatus::active;
    EXPECT_TRUE(!forbidden || now <= listed.status_changed_at + kDrainGrace)
        << "rule 3: dialled a host that drains or is removed";
    const DialRecord* first = nullptr;
    for (const DialRecord& d : c.dials) {
      EXPECT_FALSE(d.in_progress) << "rule 2: two dials at once";
      if (!first && d.may_have_run) first = &d;
    }
    if (first) {
      const ListedHost& first_host = hosts.at(first->host);
      EXPECT_NE(l.effect, Effect::once_only) << "rule 2: a once-only session may run twice";
      if (l.effect == Effect::referenced) {
        EXPECT_LE(now, first->started_at + l.dedup_window) << "rule 2: dialled again after the dedup window";
        EXPECT_TRUE(l.dedup_scope != DedupScope::zone || first_host.zone == listed.zone)
            << "rule 2: dialled again in another zone";
        EXPECT_TRUE(l.dedup_scope != DedupScope::cell || first_host.cell == listed.cell)
            << "rule 2: dialled again in another cell";
      }
    }
    c.dials.push_back({host, now, limit > 0us ? std::min(now + limit, c.deadline) : c.deadline});
    listed.dial_times.push_back(now);
    check_cold_budget(listed);
  }
  void refuse(SessId sess, Micros, RefusalReason) override {
    const Client& c = clients.at(sess);
    const Listener& l = listeners[c.listener.value];
    for (const DialRecord& d : c.dials) {
      const bool harmless = l.effect == Effect::repeatable ||
                            (l.effect == Effect::referenced && l.dedup_scope == DedupScope::all);
      EXPECT_TRUE(harmless || !d.may_have_run) << "rule 2: refused a session that may have run";
    }
    ++refused;
    record_answer(sess);
  }
  void tear_down(SessId sess, RefusalReason) override { record_answer(sess); }
  void move(SessId sess) override { clients.at(sess).moved = true; }
  void probe(HostId host) override { probes.push_back(host); }
  void set_timer(Micros delay, TimerId timer) override { timers.emplace(now + delay, timer); }
  void watch_list() override { ++list_requests; }
  void forget_host(HostId host) override { forgotten.insert(host); }
  void log(std::string_view line) override { logged.emplace_back(line); }
  void log(std::string_view line, HostId) override { log(line); }

  std::vector<Listener> listeners;
  std::mt19937_64 random;
  Micros now = 1h;
  std::map<HostId, ListedHost> hosts;
  std::map<SessId, Client> clients;
  std::multimap<Micros, TimerId> timers;
  std::vector<HostId> probes;
  std::vector<std::string> logged;
  std::set<HostId> forgotten;
  std::unique_ptr<Balancer> balancer;
  double capacity = 0;  // sessions per second that fill a warm host; 0: rule 4 is not checked
  unsigned refused = 0, list_requests = 0;
  // The settings below are used from the next restart() on.
  std::optional<double> probe_price = 0;
  std::optional<RetryBudgetLimits> retry_limits;
  bool weights_are_capacities = true;
  bool only_draining_binds = false;
  unsigned node_count = kNodes;

 private:
  void record_answer(SessId sess) {
    Client& c = clients.at(sess);
    EXPECT_FALSE(c.answered) << "rule 1: two answers";
    c.answered = true;
  }
  std::vector<SessId> overdue_dials() const {
    std::vector<SessId> overdue;
    for (const auto& [id, c] : clients) {
      if (!c.open && !c.dials.empty() && c.dials.back().in_progress && now >= c.dials.back().ends_by)
        overdue.push_back(id);
    }
    return overdue;
  }
  void check_cold_budget(ListedHost& listed) {
    while (!listed.dial_times.empty() && now - listed.dial_times.front() > kCold.window)
      listed.dial_times.pop_front();
    if (capacity <= 0 || listed.started == 0us || now - listed.started >= kCold.warm_up) return;
    const double age =
        static_cast<double>((now - listed.started).count()) / static_cast<double>(kCold.warm_up.count());
    const double present = capacity * (kCold.initial_share + (1 - kCold.initial_share) * age);
    const double window = static_cast<double>(kCold.window.count()) / 1e6;
    EXPECT_LE(static_cast<double>(listed.dial_times.size()),
              kCold.overload_factor * present * window / kNodes + 1)
        << "rule 4: sent too much to a cold host";
  }
  std::uint64_t next_id = 1;
};

}  // namespace flintweir::test
