// A small made-up world around a balancer: it records what the balancer does and holds every act against the
// four rules, by the rules' own text and from what it has itself sent, never by asking the balancer.
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

struct Dialed {
  HostId host;
  Micros at, until;
  bool out = true, may_have_run = true;
};

struct Client {
  SessionHandle handle;
  ListenerId listener;
  Micros valid_until;
  std::vector<Dialed> dials;
  bool answered = false, open = false, moved = false, said = false;
};

struct Place {
  ZoneId zone;
  CellId cell;
  HostStatus standing = HostStatus::active;
  Micros told{0}, started{0};
  bool drained = false;
  std::deque<Micros> sent{};
  double weight = 1;  // as the list has it
};

inline std::vector<Listener> all_kinds() {
  const auto kind = [](Effect e, DedupScope r) { return Listener{500ms, 2s, e, r, 1s, 1, 100ms}; };
  return {kind(Effect::repeatable, DedupScope::all), kind(Effect::referenced, DedupScope::all),
          kind(Effect::referenced, DedupScope::zone), kind(Effect::referenced, DedupScope::cell),
          kind(Effect::once_only, DedupScope::all)};
}

class World : public BalancerActions {
 public:
  static constexpr unsigned kNodes = 2, kMostDials = 4;
  static constexpr ColdStartLimits kCold{10s, 0.3, 3, 2s};
  static constexpr Micros kGrace = 300ms;

  explicit World(std::uint64_t seed, std::vector<Listener> kinds = all_kinds())
      : listeners(std::move(kinds)), chance(seed) {
    restart();
  }

  // A fresh balancer that knows only the list as it stands.
  void restart() {
    clients.clear();
    wakes.clear();
    probes.clear();
    for (auto& [id, p] : hosts) p.drained = p.standing == HostStatus::draining;  // it knows no older list
    balancer = make_balancer(
        *this, chance(), nodes, ZoneId{0}, listeners, DialLimits{kMostDials, 1s, further}, kCold,
        ListPolicy{true, 10s, weights_are_sizes, only_draining_binds}, Prices{0.1, probe_price});
    balancer->set_time(now);
    tell_all();
  }
  void tell(HostId id) {
    const Place& p = hosts[id];
    balancer->list_host(id, p.zone, p.cell, p.standing, p.weight, p.started);
  }
  void tell_all() {
    balancer->begin_list(true);
    for (const auto& [id, place] : hosts) tell(id);
    balancer->end_list();
  }
  void change(HostId id, HostStatus standing, Micros started = 0us) {
    Place& p = hosts[id];
    if (standing == HostStatus::draining) p.drained = true;
    if (started > p.started) p.drained = standing == HostStatus::draining;
    if (standing != p.standing) p.told = now;
    p.standing = standing;
    if (started > 0us) p.started = started;
    balancer->begin_list(false);
    tell(id);
    balancer->end_list();
  }
  SessId arrive(unsigned listener, std::optional<GroupId> group = {}) {
    const SessId id{next_id++};
    Client& c = clients[id];
    c.listener = {listener};
    c.valid_until = now + listeners[listener].dial_timeout;
    SessionRequest taken{};
    taken.listener = c.listener;
    taken.deadline = c.valid_until;
    taken.group = group;
    c.handle = balancer->start_session(id, taken);
    return id;
  }
  void finish(SessId id, DialOutcome how) {
    Client& c = clients.at(id);
    Dialed& d = c.dials.back();
    d.out = false;
    d.may_have_run =
        how != DialOutcome::rejected && how != DialOutcome::connect_failed && how != DialOutcome::not_sent;
    const bool over = c.open || how == DialOutcome::completed;
    if (over) c.answered = true;
    c.handle.dial_ended(DialNo{static_cast<std::uint32_t>(c.dials.size() - 1)}, how, over);
  }
  void accept(SessId id) {
    Client& c = clients.at(id);
    c.open = c.answered = true;
    c.handle.dial_accepted(DialNo{static_cast<std::uint32_t>(c.dials.size() - 1)});
  }
  void report(HostId id, double load, Micros took = 1ms) {
    LoadReport r;
    r.load = load;
    balancer->probe_ended(id, DialOutcome::completed, took, r);
  }
  // Time goes on, and what asks for a host's load is answered each 100 ms: answer(host).
  template <class Answer>
  void pass_asked(Micros by, Answer answer) {
    for (const Micros end = now + by; now < end;) {
      pass(100ms);
      for (const HostId h : std::exchange(probes, {})) answer(h);
    }
  }
  // Those whom a decision has moved, of one host or of all.
  unsigned moved(std::optional<HostId> from = {}) const {
    return static_cast<unsigned>(std::count_if(clients.begin(), clients.end(), [&](const auto& entry) {
      const Client& c = entry.second;
      return c.moved && (!from || c.dials.back().host == *from);
    }));
  }
  // Time goes on; dials run into their limits and wake-ups come due.
  void pass(Micros by) {
    for (const Micros end = now + by; now < end;) {
      now += std::min(10ms + 0us, end - now);
      balancer->set_time(now);
      for (std::vector<SessId> late = overdue(); const SessId id : late) finish(id, DialOutcome::timed_out);
      while (!wakes.empty() && wakes.begin()->first <= now) {
        const TimerId wake = wakes.begin()->second;
        wakes.erase(wakes.begin());
        balancer->timer_expired(wake);
      }
      for (const auto& [id, c] : clients) {
        EXPECT_TRUE(c.answered || now <= c.valid_until + 20ms) << "rule 1: no answer in time";
      }
    }
  }
  unsigned sent_to(HostId id) const { return static_cast<unsigned>(hosts.at(id).sent.size()); }

  void dial(SessId sess, HostId host, Micros limit) override {
    Client& c = clients.at(sess);
    Place& p = hosts.at(host);
    const Listener& l = listeners[c.listener.value];
    EXPECT_FALSE(c.answered) << "rule 1: sent after the answer";
    EXPECT_LT(c.dials.size(), kMostDials);
    const bool bound = only_draining_binds ? p.drained : p.standing != HostStatus::active;
    EXPECT_TRUE(!bound || now <= p.told + kGrace) << "rule 3";
    const Dialed* first = nullptr;
    for (const Dialed& d : c.dials) {
      EXPECT_FALSE(d.out) << "rule 2: two dials at once";
      if (!first && d.may_have_run) first = &d;
    }
    if (first) {
      const Place& ran = hosts.at(first->host);
      EXPECT_NE(l.effect, Effect::once_only) << "rule 2: run twice";
      if (l.effect == Effect::referenced) {
        EXPECT_LE(now, first->at + l.dedup_window) << "rule 2: forgotten by then";
        EXPECT_TRUE(l.dedup_scope != DedupScope::zone || ran.zone == p.zone) << "rule 2: other zone";
        EXPECT_TRUE(l.dedup_scope != DedupScope::cell || ran.cell == p.cell) << "rule 2: other cell";
      }
    }
    c.dials.push_back({host, now, limit > 0us ? std::min(now + limit, c.valid_until) : c.valid_until});
    p.sent.push_back(now);
    cold_budget(p);
  }
  void refuse(SessId sess, Micros, RefusalReason) override {
    const Client& c = clients.at(sess);
    const Listener& l = listeners[c.listener.value];
    for (const Dialed& d : c.dials) {
      const bool harmless = l.effect == Effect::repeatable ||
                            (l.effect == Effect::referenced && l.dedup_scope == DedupScope::all);
      EXPECT_TRUE(harmless || !d.may_have_run) << "rule 2: refused what may have run";
    }
    ++refused;
    answer(sess);
  }
  void tear_down(SessId sess, RefusalReason) override { answer(sess); }
  void move(SessId sess) override { clients.at(sess).moved = true; }
  void probe(HostId host) override { probes.push_back(host); }
  void set_timer(Micros in, TimerId wake) override { wakes.emplace(now + in, wake); }
  void watch_list() override { ++watched; }
  void forget_host(HostId host) override { forgotten.insert(host); }
  void log(std::string_view line) override { logged.emplace_back(line); }
  void log(std::string_view line, HostId) override { log(line); }

  std::vector<Listener> listeners;
  std::mt19937_64 chance;
  Micros now = 1h;
  std::map<HostId, Place> hosts;
  std::map<SessId, Client> clients;
  std::multimap<Micros, TimerId> wakes;
  std::vector<HostId> probes;
  std::vector<std::string> logged;
  std::set<HostId> forgotten;
  std::unique_ptr<Balancer> balancer;
  double capacity = 0;  // sessions a second that fill a warm host; 0: not looked at
  unsigned refused = 0, watched = 0;
  std::optional<double> probe_price = 0;
  std::optional<RetryBudgetLimits> further;  // none: no budget
  bool weights_are_sizes = true;
  bool only_draining_binds = false;
  unsigned nodes = kNodes;  // taken up by the next restart

 private:
  void answer(SessId sess) {
    Client& c = clients.at(sess);
    EXPECT_FALSE(c.answered) << "rule 1: two answers";
    c.answered = true;
  }
  std::vector<SessId> overdue() const {
    std::vector<SessId> late;
    for (const auto& [id, c] : clients) {
      if (!c.open && !c.dials.empty() && c.dials.back().out && now >= c.dials.back().until)
        late.push_back(id);
    }
    return late;
  }
  void cold_budget(Place& p) {
    while (!p.sent.empty() && now - p.sent.front() > kCold.window) p.sent.pop_front();
    if (capacity <= 0 || p.started == 0us || now - p.started >= kCold.warm_up) return;
    const double age =
        static_cast<double>((now - p.started).count()) / static_cast<double>(kCold.warm_up.count());
    const double present = capacity * (kCold.initial_share + (1 - kCold.initial_share) * age);
    const double window = static_cast<double>(kCold.window.count()) / 1e6;
    EXPECT_LE(static_cast<double>(p.sent.size()), kCold.overload_factor * present * window / kNodes + 1)
        << "rule 4";
  }
  std::uint64_t next_id = 1;
};

}  // namespace flintweir::test
