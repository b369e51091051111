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

constexpr double kZipfExponent = 0.82;  // with 39,000 groups, the largest has 3.1% of all sessions

double cpu_us() {
  timespec t;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

double allocated_kib() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / 1024;
}

struct BenchmarkDelegate final : BalancerDelegate {
  void dial(SessId, HostId host, Micros) override { dialled_host = host; }
  void refuse(SessId, Micros, RefusalReason) override {}
  void tear_down(SessId, RefusalReason) override {}
  void move(SessId) override { ++moved; }
  void probe(HostId host) override { probes.push_back(host); }
  void set_timer(Micros in, TimerId timer) override { timers.emplace(now + in, timer); }
  void watch_list() override {}
  void forget_host(HostId) override {}
  void log(std::string_view) override {}
  void log(std::string_view, HostId) override {}
  void advance(Balancer& b, Micros by, double load) {
    for (const Micros end = now + by; now < end;) {
      now += 25ms;
      b.set_time(now);
      while (!timers.empty() && timers.begin()->first <= now) {
        const TimerId timer = timers.begin()->second;
        timers.erase(timers.begin());
        b.timer_expired(timer);
      }
      for (const HostId h : std::exchange(probes, {})) {
        LoadReport r;
        r.load = load;
        b.probe_ended(h, DialOutcome::completed, 1ms, r);
      }
    }
  }
  Micros now = 1h;
  std::optional<HostId> dialled_host;
  std::multimap<Micros, TimerId> timers;
  std::vector<HostId> probes;
  unsigned moved = 0;
};

// A balancer for one of `nodes` nodes, with `hosts` hosts listed in five zones.
std::unique_ptr<Balancer> balancer_with(BenchmarkDelegate& delegate, unsigned hosts, unsigned nodes,
                                        double price, std::uint64_t seed) {
  auto out = make_balancer(
      delegate, seed, nodes, ZoneId{0}, {Listener{500ms, 2s, Effect::repeatable, DedupScope::all, 1s, 1}},
      DialLimits{3, 0us}, ColdStartLimits{7s, 0.3, 3, 1500ms}, ListPolicy{true, 10s}, Prices{0.1, price});
  out->set_time(delegate.now);
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
  BenchmarkDelegate delegate;
  std::knuth_b rng(static_cast<std::knuth_b::result_type>(seed | 1));
  std::vector<double> cumulative_weights(groups);
  double total_weight = 0;
  for (unsigned g = 0; g < groups; ++g)
    cumulative_weights[g] = total_weight += std::pow(g + 1.0, -kZipfExponent);
  const auto balancer = balancer_with(delegate, hosts, nodes, 0, seed);
  delegate.advance(*balancer, 3s, 0.4);
  const double before = allocated_kib();
  std::map<std::uint64_t, std::set<std::uint64_t>> hosts_by_group;
  std::map<std::uint64_t, unsigned> sessions_by_host;
  std::vector<SessionHandle> open(sessions);
  std::vector<std::pair<HostId, std::uint64_t>> placements(sessions);
  const unsigned timed_sessions = std::min(sessions, 1000u);
  double spent = 0;
  unsigned timed = 0;
  for (unsigned i = 0; i < sessions; ++i) {
    const double drawn = std::generate_canonical<double, 53>(rng) * total_weight;
    const auto group = static_cast<std::uint64_t>(
        std::lower_bound(cumulative_weights.begin(), cumulative_weights.end(), drawn) -
        cumulative_weights.begin());
    SessionRequest request{};
    request.deadline = delegate.now + 2s;
    request.group = GroupId{mix(group + 1)};
    delegate.dialled_host.reset();
    const double from = cpu_us();
    SessionHandle s = balancer->start_session(SessId{i}, request);
    if (!delegate.dialled_host) continue;
    s.dial_accepted(DialNo{0});
    if (i + timed_sessions >= sessions) spent += cpu_us() - from, ++timed;
    s.set_load(50'000.0 / std::max(1u, sessions));
    open[i] = s;
    placements[i] = {*delegate.dialled_host, group};
    hosts_by_group[group].insert(delegate.dialled_host->value);
    ++sessions_by_host[delegate.dialled_host->value];
    if (i % 64 == 0) delegate.advance(*balancer, 25ms, 0.4);
  }
  out.placement_us = spent / std::max(1u, timed);
  out.memory_kib = allocated_kib() - before;
  const double from = cpu_us();
  delegate.advance(*balancer, 4s, 0.4);
  out.idle_us_per_second = (cpu_us() - from) / 4;
  double hosts_per_group = 0;
  for (const auto& [g, h] : hosts_by_group) hosts_per_group += static_cast<double>(h.size());
  out.hosts_per_group =
      hosts_per_group / static_cast<double>(std::max<std::size_t>(hosts_by_group.size(), 1));
  out.largest_hosts = static_cast<unsigned>(hosts_by_group[0].size());
  std::pair<unsigned, std::uint64_t> busiest{0, 0};
  double sum = 0;
  for (const auto& [h, n] : sessions_by_host) busiest = std::max(busiest, {n, h}), sum += n;
  out.max_load_ratio = busiest.first / (sum / hosts);
  // The busiest host fails: its sessions break and are placed again.
  for (unsigned i = 0; i < sessions; ++i) {
    if (placements[i].first.value != busiest.second || !open[i].live()) continue;
    open[i].dial_ended(DialNo{0}, DialOutcome::connection_lost, true);
    ++out.moved;
  }
  return out;
}

double probes_per_second(unsigned hosts, double rate, double price, std::uint64_t seed) {
  BenchmarkDelegate delegate;
  const auto balancer = balancer_with(delegate, hosts, 500, price, seed);
  std::deque<std::pair<Micros, SessionHandle>> open;
  double sessions_due = 0, sent = 0;
  std::uint64_t id = 0;
  const Micros from = delegate.now + 60s, to = from + 30s;
  while (delegate.now < to) {
    delegate.now += 25ms;
    balancer->set_time(delegate.now);
    while (!delegate.timers.empty() && delegate.timers.begin()->first <= delegate.now) {
      const TimerId timer = delegate.timers.begin()->second;
      delegate.timers.erase(delegate.timers.begin());
      balancer->timer_expired(timer);
    }
    for (const HostId h : std::exchange(delegate.probes, {})) {
      sent += delegate.now >= from ? 1 : 0;
      LoadReport r;
      r.load = 0.4;
      balancer->probe_ended(h, DialOutcome::completed, 1ms, r);
    }
    for (sessions_due += rate * 0.025; sessions_due >= 1; --sessions_due) {
      SessionRequest request{};
      request.deadline = delegate.now + 2s;
      delegate.dialled_host.reset();
      SessionHandle s = balancer->start_session(SessId{++id}, request);
      if (!delegate.dialled_host) {
        if (s.live()) s.client_left();
        continue;
      }
      s.dial_accepted(DialNo{0});
      open.emplace_back(delegate.now + 10s, s);
    }
    for (; !open.empty() && open.front().first <= delegate.now; open.pop_front())
      open.front().second.dial_ended(DialNo{0}, DialOutcome::completed, true);
  }
  return sent / 30;
}

}  // namespace flintweir::lab
