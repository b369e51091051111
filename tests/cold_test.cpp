// A cold host and what all nodes of a fleet send to it. The fleets consist of decision modules with uneven
// parts of the traffic, and with a node count in their settings that may be wrong. What they send together in
// any window may exceed what the host bears only by random deviation.
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
constexpr HostId kColdHost{4};
// Sessions per second of all nodes, as a multiple of those that fill a warm host: before the cold host
// starts, and in the burst that comes with its start.
constexpr double kRate = 1.8, kBurstRate = 4.3;
constexpr double kLoad = 50'000;  // of one open session, in microseconds of work per second

// One node: a balancer, and the surroundings that it acts on.
class Node final : public BalancerDelegate {
 public:
  Node(std::uint64_t seed, unsigned node_count, Micros now) : now_(now) {
    balancer = make_balancer(*this, seed, node_count, ZoneId{0},
                             {Listener{500ms, 2s, Effect::repeatable, DedupScope::all, 1s, 1, 100ms}},
                             DialLimits{4, 1s}, kCold, ListPolicy{true, 10s}, Prices{0.1, 0.0});
    balancer->set_time(now);
    balancer->begin_list(true);
    for (const std::uint64_t h : {1, 2, 3})
      balancer->list_host(HostId{h}, ZoneId{0}, CellId{0}, HostStatus::active, 1, 0us);
    balancer->end_list();
  }
  void set_time(Micros now) {
    now_ = now;
    balancer->set_time(now);
    while (!timers_.empty() && timers_.begin()->first <= now) {
      const TimerId timer = timers_.begin()->second;
      timers_.erase(timers_.begin());
      balancer->timer_expired(timer);
    }
  }
  // Starts a session that lasts for `lifetime`. Returns the host that was dialled; none: the session was
  // refused or had to wait, and its client left.
  std::optional<HostId> start_session(Micros lifetime) {
    dialled_.reset();
    SessionRequest request{};
    request.deadline = now_ + 2s;
    SessionHandle session = balancer->start_session(SessId{++next_}, request);
    if (!dialled_) {
      if (session.live()) session.client_left();
      return std::nullopt;
    }
    const HostId host = *dialled_;
    session.dial_accepted(DialNo{0});
    session.set_load(kLoad);
    open_.emplace(now_ + lifetime, session);
    return host;
  }
  void end_sessions() {
    while (!open_.empty() && open_.begin()->first <= now_) {
      SessionHandle session = open_.begin()->second;
      open_.erase(open_.begin());
      session.dial_ended(DialNo{0}, DialOutcome::completed, true);
    }
  }
  void dial(SessId, HostId host, Micros) override { dialled_ = host; }
  void refuse(SessId, Micros, RefusalReason) override {}
  void tear_down(SessId, RefusalReason) override {}
  void move(SessId) override {}
  void probe(HostId host) override { probes.push_back(host); }
  void set_timer(Micros delay, TimerId timer) override { timers_.emplace(now_ + delay, timer); }
  void watch_list() override {}
  void forget_host(HostId) override {}
  void log(std::string_view) override {}
  void log(std::string_view, HostId) override {}

  std::unique_ptr<Balancer> balancer;
  std::vector<HostId> probes;

 private:
  Micros now_;
  std::optional<HostId> dialled_;
  std::multimap<Micros, TimerId> timers_;
  std::multimap<Micros, SessionHandle> open_;
  std::uint64_t next_ = 0;
};

struct Fleet {
  unsigned nodes;
  double count_factor;  // the node count in the settings over the true one
  Micros life;          // mean lifetime of sessions
  double capacity;      // sessions per second that fill a warm host
};

struct Result {
  // The most by which the sessions sent in a window exceeded what the host bears, relative to the tolerated
  // random deviation.
  double excess;
  unsigned most_sent;
};

Result simulate(const Fleet& fleet, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Micros now = 1h;
  std::vector<std::unique_ptr<Node>> nodes;
  // One node in five gets four times the traffic of the others.
  std::vector<double> rate;
  double sum_of_rates = 0;
  for (unsigned i = 0; i < fleet.nodes; ++i) {
    nodes.push_back(std::make_unique<Node>(
        random(), static_cast<unsigned>(std::max(1.0, std::round(fleet.nodes * fleet.count_factor))), now));
    sum_of_rates += rate.emplace_back(i % 5 == 0 ? 4 : 1);
  }
  constexpr Micros kStep = 50ms;
  constexpr int kStepsBefore = 400, kStepsAfter = 200;  // before and after the cold host starts
  std::map<std::uint64_t, double> connections;          // by host
  std::deque<Micros> window;
  Result result{-1e9, 0};
  const double full = fleet.capacity * seconds(fleet.life);
  std::multimap<Micros, std::uint64_t> ends;
  for (int step = 0; step < kStepsBefore + kStepsAfter; ++step) {
    now += kStep;
    for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin()))
      --connections[ends.begin()->second];
    const Micros age = kStep * (step - kStepsBefore);
    const double capacity_share =
        kCold.initial_share + (1 - kCold.initial_share) * std::clamp(age / 1us / 1e7, 0.0, 1.0);
    for (unsigned i = 0; i < fleet.nodes; ++i) {
      Node& node = *nodes[i];
      node.set_time(now);
      node.end_sessions();
      if (step == kStepsBefore) {
        node.balancer->begin_list(false);
        node.balancer->list_host(kColdHost, ZoneId{0}, CellId{0}, HostStatus::active, 1, now);
        node.balancer->end_list();
      }
      for (const HostId h : std::exchange(node.probes, {})) {
        LoadReport r;
        r.load = connections[h.value] / full / (h == kColdHost ? capacity_share : 1);
        node.balancer->probe_ended(h, DialOutcome::completed, 1ms, r);
      }
      std::poisson_distribution<int> arrivals((step < kStepsBefore ? kRate : kBurstRate) * fleet.capacity *
                                              rate[i] / sum_of_rates * seconds(kStep));
      for (int k = arrivals(random); k > 0; --k) {
        const Micros life{std::llround(static_cast<double>(fleet.life.count()) *
                                       -std::log(1 - std::generate_canonical<double, 53>(random)))};
        const auto host = node.start_session(life);
        if (!host) continue;
        connections[host->value] += 1;
        ends.emplace(now + life, host->value);
        if (*host == kColdHost) window.push_back(now);
      }
    }
    while (!window.empty() && now - window.front() >= kCold.window) window.pop_front();
    if (step < kStepsBefore) continue;
    const double limit = kCold.overload_factor * capacity_share * fleet.capacity * seconds(kCold.window);
    result.most_sent = std::max(result.most_sent, static_cast<unsigned>(window.size()));
    result.excess =
        std::max(result.excess, (static_cast<double>(window.size()) - limit) / (2 * std::sqrt(limit) + 2));
  }
  return result;
}

class ColdHostOfFleet : public testing::TestWithParam<std::tuple<unsigned, double, Micros, double>> {};
TEST_P(ColdHostOfFleet, BearsWhatAllNodesSend) {
  const auto [nodes, count, life, capacity] = GetParam();
  const char* const seeds_text = std::getenv("FLINTWEIR_COLD_SEEDS");
  const unsigned seeds =
      seeds_text ? static_cast<unsigned>(std::strtoul(seeds_text, nullptr, 10)) : FLINTWEIR_COLD_SEEDS;
  std::vector<double> excess;
  std::vector<unsigned> sent;
  std::mutex mutex;
  std::atomic<unsigned> next{0};
  std::vector<std::thread> threads;
  for (unsigned t = 0; t < 4; ++t)
    threads.emplace_back([&] {
      for (unsigned seed; (seed = ++next) <= seeds;) {
        const Result r = simulate({nodes, count, life, capacity}, 9000 + seed);
        const std::lock_guard lock(mutex);
        excess.push_back(r.excess);
        sent.push_back(r.most_sent);
      }
    });
  for (std::thread& t : threads) t.join();
  std::sort(excess.begin(), excess.end());
  std::sort(sent.begin(), sent.end());
  EXPECT_LE(excess.back(), 1);
  EXPECT_GT(sent.front(), 0u) << "the cold host stays empty";
  std::printf(
      "nodes=%u count=%.2f life=%.1fs capacity=%.0f seeds=%u over: median %.2f worst %.2f; sent in a window: "
      "median %u\n",
      nodes, count, seconds(life), capacity, seeds, excess[excess.size() / 2], excess.back(),
      sent[sent.size() / 2]);
}
INSTANTIATE_TEST_SUITE_P(Sizes, ColdHostOfFleet,
                         testing::Combine(testing::Values(5u, 20u, 30u, 100u, 300u),
                                          testing::Values(2.0 / 3, 1.0, 4.0 / 3),
                                          testing::Values<Micros>(400ms, 5s), testing::Values(60.0, 8.0)));

}  // namespace
}  // namespace flintweir::test
