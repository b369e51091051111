// A cold host under the sum of all nodes: whole fleets of the module, each node with its uneven part of the
// traffic and a count of nodes that may be wrong. What they send together in any window may be over what the
// host bears by chance alone.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "balance.h"
#include "numbers.h"

namespace flintweir::test {
namespace {

using namespace std::chrono_literals;

constexpr ColdStartLimits kCold{10s, 0.3, 3, 2s};
constexpr HostId kFresh{4};
// Sessions a second, over those that fill a warm host: of all nodes, before and under the burst with which
// the cold host comes.
constexpr double kRate = 1.8, kBurst = 4.3;
constexpr double kLoad = 50'000;  // of one session, where its connection stays

// One node: the module, and what it asks of its surroundings.
class Node final : public BalancerActions {
 public:
  Node(std::uint64_t seed, unsigned told, Micros now) : now_(now) {
    balancer = make_balancer(*this, seed, told, ZoneId{0},
                             {Listener{500ms, 2s, Effect::repeatable, DedupScope::all, 1s, 1, 100ms}},
                             DialLimits{4, 1s}, kCold, ListPolicy{true, 10s}, Prices{0.1, 0.0});
    balancer->set_time(now);
    balancer->begin_list(true);
    for (const std::uint64_t h : {1, 2, 3})
      balancer->list_host(HostId{h}, ZoneId{0}, CellId{0}, HostStatus::active, 1, 0us);
    balancer->end_list();
  }
  void at(Micros now) {
    now_ = now;
    balancer->set_time(now);
    while (!wakes_.empty() && wakes_.begin()->first <= now) {
      const TimerId wake = wakes_.begin()->second;
      wakes_.erase(wakes_.begin());
      balancer->timer_expired(wake);
    }
  }
  // Where it was sent; none: refused or waiting, and gone.
  std::optional<HostId> take(Micros life) {
    dialled_.reset();
    SessionRequest taken{};
    taken.deadline = now_ + 2s;
    SessionHandle s = balancer->start_session(SessId{++next_}, taken);
    if (!dialled_) {
      if (s.live()) s.client_left();
      return std::nullopt;
    }
    const HostId host = *dialled_;
    s.dial_accepted(DialNo{0});
    s.set_load(kLoad);
    open_.emplace(now_ + life, s);
    return host;
  }
  void end_due() {
    while (!open_.empty() && open_.begin()->first <= now_) {
      SessionHandle s = open_.begin()->second;
      open_.erase(open_.begin());
      s.dial_ended(DialNo{0}, DialOutcome::completed, true);
    }
  }
  void dial(SessId, HostId host, Micros) override { dialled_ = host; }
  void refuse(SessId, Micros, RefusalReason) override {}
  void tear_down(SessId, RefusalReason) override {}
  void move(SessId) override {}
  void probe(HostId host) override { probes.push_back(host); }
  void set_timer(Micros in, TimerId wake) override { wakes_.emplace(now_ + in, wake); }
  void watch_list() override {}
  void forget_host(HostId) override {}
  void log(std::string_view) override {}
  void log(std::string_view, HostId) override {}

  std::unique_ptr<Balancer> balancer;
  std::vector<HostId> probes;

 private:
  Micros now_;
  std::optional<HostId> dialled_;
  std::multimap<Micros, TimerId> wakes_;
  std::multimap<Micros, SessionHandle> open_;
  std::uint64_t next_ = 0;
};

struct Fleet {
  unsigned nodes;
  double count;     // as the settings have it, over what it is
  Micros life;      // of sessions, on average
  double capacity;  // sessions a second that fill a warm host
};

struct Result {
  double over;  // the most that was sent over what the host bears, over what chance may make of it
  unsigned sent;
};

Result play(const Fleet& fleet, std::uint64_t seed) {
  std::mt19937_64 chance(seed);
  Micros now = 1h;
  std::vector<std::unique_ptr<Node>> nodes;
  // One node in five gets four times what the others do.
  std::vector<double> rate;
  double all = 0;
  for (unsigned i = 0; i < fleet.nodes; ++i) {
    nodes.push_back(std::make_unique<Node>(
        chance(), static_cast<unsigned>(std::max(1.0, std::round(fleet.nodes * fleet.count))), now));
    all += rate.emplace_back(i % 5 == 0 ? 4 : 1);
  }
  constexpr Micros kStep = 50ms;
  constexpr int kBefore = 400, kAfter = 200;  // steps
  std::map<std::uint64_t, double> held;       // connections by host
  std::deque<Micros> window;
  Result out{-1e9, 0};
  const double full = fleet.capacity * seconds(fleet.life);
  std::multimap<Micros, std::uint64_t> ends;
  for (int step = 0; step < kBefore + kAfter; ++step) {
    now += kStep;
    for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin()))
      --held[ends.begin()->second];
    const Micros age = kStep * (step - kBefore);
    const double warmth =
        kCold.initial_share + (1 - kCold.initial_share) * std::clamp(age / 1us / 1e7, 0.0, 1.0);
    for (unsigned i = 0; i < fleet.nodes; ++i) {
      Node& n = *nodes[i];
      n.at(now);
      n.end_due();
      if (step == kBefore) {
        n.balancer->begin_list(false);
        n.balancer->list_host(kFresh, ZoneId{0}, CellId{0}, HostStatus::active, 1, now);
        n.balancer->end_list();
      }
      for (const HostId h : std::exchange(n.probes, {})) {
        LoadReport r;
        r.load = held[h.value] / full / (h == kFresh ? warmth : 1);
        n.balancer->probe_ended(h, DialOutcome::completed, 1ms, r);
      }
      std::poisson_distribution<int> arrivals((step < kBefore ? kRate : kBurst) * fleet.capacity * rate[i] /
                                              all * seconds(kStep));
      for (int k = arrivals(chance); k > 0; --k) {
        const Micros life{std::llround(static_cast<double>(fleet.life.count()) *
                                       -std::log(1 - std::generate_canonical<double, 53>(chance)))};
        const auto host = n.take(life);
        if (!host) continue;
        held[host->value] += 1;
        ends.emplace(now + life, host->value);
        if (*host == kFresh) window.push_back(now);
      }
    }
    while (!window.empty() && now - window.front() >= kCold.window) window.pop_front();
    if (step < kBefore) continue;
    const double bears = kCold.overload_factor * warmth * fleet.capacity * seconds(kCold.window);
    out.sent = std::max(out.sent, static_cast<unsigned>(window.size()));
    out.over = std::max(out.over, (static_cast<double>(window.size()) - bears) / (2 * std::sqrt(bears) + 2));
  }
  return out;
}

class ColdOfFleet : public testing::TestWithParam<std::tuple<unsigned, double, Micros, double>> {};
TEST_P(ColdOfFleet, BearsWhatAllNodesSend) {
  const auto [nodes, count, life, capacity] = GetParam();
  const char* const said = std::getenv("FLINTWEIR_COLD_SEEDS");
  const unsigned seeds = said ? static_cast<unsigned>(std::strtoul(said, nullptr, 10)) : FLINTWEIR_COLD_SEEDS;
  std::vector<double> over;
  std::vector<unsigned> sent;
  std::mutex mutex;
  std::atomic<unsigned> next{0};
  std::vector<std::thread> threads;
  for (unsigned t = 0; t < 4; ++t)
    threads.emplace_back([&] {
      for (unsigned seed; (seed = ++next) <= seeds;) {
        const Result r = play({nodes, count, life, capacity}, 9000 + seed);
        const std::lock_guard lock(mutex);
        over.push_back(r.over);
        sent.push_back(r.sent);
      }
    });
  for (std::thread& t : threads) t.join();
  std::sort(over.begin(), over.end());
  std::sort(sent.begin(), sent.end());
  EXPECT_LE(over.back(), 1);
  EXPECT_GT(sent.front(), 0u) << "it stays empty";
  std::printf(
      "nodes=%u count=%.2f life=%.1fs capacity=%.0f seeds=%u over: median %.2f worst %.2f; sent in a window: "
      "median %u\n",
      nodes, count, seconds(life), capacity, seeds, over[over.size() / 2], over.back(),
      sent[sent.size() / 2]);
}
INSTANTIATE_TEST_SUITE_P(Sizes, ColdOfFleet,
                         testing::Combine(testing::Values(5u, 20u, 30u, 100u, 300u),
                                          testing::Values(2.0 / 3, 1.0, 4.0 / 3),
                                          testing::Values<Micros>(400ms, 5s), testing::Values(60.0, 8.0)));

}  // namespace
}  // namespace flintweir::test
