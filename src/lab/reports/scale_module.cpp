#include "lab/reports/scale_module.h"

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string_view>

#include "balance.h"
#include "numbers.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr double kExponent = 0.82;  // 39,000 groups, the largest 3.1 in 100 of all sessions

double cpu_us() {
  timespec t;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

double held_kib() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / 1024;
}

struct Alone final : BalancerDelegate {
  void dial(SessId, HostId host, Micros) override { dialled = host; }
  void refuse(SessId, Micros, RefusalReason) override {}
  void tear_down(SessId, RefusalReason) override {}
  void move(SessId) override { ++moved; }
  void probe(HostId host) override { probes.push_back(host); }
  void set_timer(Micros in, TimerId wake) override { wakes.emplace(now + in, wake); }
  void watch_list() override {}
  void forget_host(HostId) override {}
  void log(std::string_view) override {}
  void log(std::string_view, HostId) override {}
  void pass(Balancer& b, Micros by, double load) {
    for (const Micros end = now + by; now < end;) {
      now += 25ms;
      b.set_time(now);
      while (!wakes.empty() && wakes.begin()->first <= now) {
        const TimerId wake = wakes.begin()->second;
        wakes.erase(wakes.begin());
        b.timer_expired(wake);
      }
      for (const HostId h : std::exchange(probes, {})) {
        LoadReport r;
        r.load = load;
        b.probe_ended(h, DialOutcome::completed, 1ms, r);
      }
    }
  }
  Micros now = 1h;
  std::optional<HostId> dialled;
  std::multimap<Micros, TimerId> wakes;
  std::vector<HostId> probes;
  unsigned moved = 0;
};

// One node of so many, with so many hosts listed in five zones.
std::unique_ptr<Balancer> balancer_with(Alone& outlet, unsigned hosts, unsigned nodes, double price,
                                        std::uint64_t seed) {
  auto out = make_balancer(
      outlet, seed, nodes, ZoneId{0}, {Listener{500ms, 2s, Effect::repeatable, DedupScope::all, 1s, 1}},
      DialLimits{3, 0us}, ColdStartLimits{7s, 0.3, 3, 1500ms}, ListPolicy{true, 10s}, Prices{0.1, price});
  out->set_time(outlet.now);
  out->begin_list(true);
  for (std::uint64_t h = 1; h <= hosts; ++h)
    out->list_host(HostId{mix(h)}, ZoneId{static_cast<std::uint32_t>(h % 5)}, CellId{0}, HostStatus::active,
                   1, 0us);
  out->end_list();
  return out;
}

}  // namespace

ModuleScale scale_module(unsigned hosts, unsigned sessions, unsigned groups, unsigned nodes,
                         std::uint64_t seed) {
  ModuleScale out;
  out.hosts = hosts;
  out.sessions = sessions;
  Alone outlet;
  std::knuth_b chance(static_cast<std::knuth_b::result_type>(seed | 1));
  std::vector<double> sums(groups);
  double all = 0;
  for (unsigned g = 0; g < groups; ++g) sums[g] = all += std::pow(g + 1.0, -kExponent);
  const auto balancer = balancer_with(outlet, hosts, nodes, 0, seed);
  outlet.pass(*balancer, 3s, 0.4);
  const double before = held_kib();
  std::map<std::uint64_t, std::set<std::uint64_t>> holds;  // by group
  std::map<std::uint64_t, unsigned> on;                    // by host
  std::vector<SessionHandle> open(sessions);
  std::vector<std::pair<HostId, std::uint64_t>> at(sessions);
  const unsigned last = std::min(sessions, 1000u);
  double spent = 0;
  unsigned timed = 0;
  for (unsigned i = 0; i < sessions; ++i) {
    const double drawn = std::generate_canonical<double, 53>(chance) * all;
    const auto group =
        static_cast<std::uint64_t>(std::lower_bound(sums.begin(), sums.end(), drawn) - sums.begin());
    SessionRequest taken{};
    taken.deadline = outlet.now + 2s;
    taken.group = GroupId{mix(group + 1)};
    outlet.dialled.reset();
    const double from = cpu_us();
    SessionHandle s = balancer->start_session(SessId{i}, taken);
    if (!outlet.dialled) continue;
    s.dial_accepted(DialNo{0});
    if (i + last >= sessions) spent += cpu_us() - from, ++timed;
    s.set_load(50'000.0 / std::max(1u, sessions));
    open[i] = s;
    at[i] = {*outlet.dialled, group};
    holds[group].insert(outlet.dialled->value);
    ++on[outlet.dialled->value];
    if (i % 64 == 0) outlet.pass(*balancer, 25ms, 0.4);
  }
  out.placement_us = spent / std::max(1u, timed);
  out.memory_kib = held_kib() - before;
  const double from = cpu_us();
  outlet.pass(*balancer, 4s, 0.4);
  out.beat_us = (cpu_us() - from) / 4;
  double copies = 0;
  for (const auto& [g, h] : holds) copies += static_cast<double>(h.size());
  out.copies = copies / static_cast<double>(std::max<std::size_t>(holds.size(), 1));
  out.largest_hosts = static_cast<unsigned>(holds[0].size());
  std::pair<unsigned, std::uint64_t> most{0, 0};
  double sum = 0;
  for (const auto& [h, n] : on) most = std::max(most, {n, h}), sum += n;
  out.most_load = most.first / (sum / hosts);
  // That host dies: its sessions break, and come back.
  for (unsigned i = 0; i < sessions; ++i) {
    if (at[i].first.value != most.second || !open[i].live()) continue;
    open[i].dial_ended(DialNo{0}, DialOutcome::connection_lost, true);
    ++out.moved;
  }
  return out;
}

double probes_a_second(unsigned hosts, double rate, double price, std::uint64_t seed) {
  Alone outlet;
  const auto balancer = balancer_with(outlet, hosts, 500, price, seed);
  std::deque<std::pair<Micros, SessionHandle>> open;
  double owed = 0, sent = 0;
  std::uint64_t id = 0;
  const Micros from = outlet.now + 60s, to = from + 30s;
  while (outlet.now < to) {
    outlet.now += 25ms;
    balancer->set_time(outlet.now);
    while (!outlet.wakes.empty() && outlet.wakes.begin()->first <= outlet.now) {
      const TimerId wake = outlet.wakes.begin()->second;
      outlet.wakes.erase(outlet.wakes.begin());
      balancer->timer_expired(wake);
    }
    for (const HostId h : std::exchange(outlet.probes, {})) {
      sent += outlet.now >= from ? 1 : 0;
      LoadReport r;
      r.load = 0.4;
      balancer->probe_ended(h, DialOutcome::completed, 1ms, r);
    }
    for (owed += rate * 0.025; owed >= 1; --owed) {
      SessionRequest taken{};
      taken.deadline = outlet.now + 2s;
      outlet.dialled.reset();
      SessionHandle s = balancer->start_session(SessId{++id}, taken);
      if (!outlet.dialled) {
        if (s.live()) s.client_left();
        continue;
      }
      s.dial_accepted(DialNo{0});
      open.emplace_back(outlet.now + 10s, s);
    }
    for (; !open.empty() && open.front().first <= outlet.now; open.pop_front())
      open.front().second.dial_ended(DialNo{0}, DialOutcome::completed, true);
  }
  return sent / 30;
}

}  // namespace flintweir::lab
