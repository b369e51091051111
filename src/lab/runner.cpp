#include "lab/runner.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "lab/models/baselines.h"
#include "lab/network/loopback_environment.h"
#include "lab/network/virtual_environment.h"

namespace flintweir::lab {
namespace {

std::vector<Fault> faults_of(const Experiment& e, std::uint64_t seed,
                             const std::optional<std::set<std::size_t>>& only) {
  const std::vector<Fault> all = draw_faults(e.faults, e.fleet, e.duration, seed);
  if (!only) return all;
  std::vector<Fault> some;
  for (std::size_t i = 0; i < all.size(); ++i)
    if (only->contains(i)) some.push_back(all[i]);
  return some;
}

template <class Play>
RunResult timed(std::uint64_t seed, Play play) {
  RunResult out;
  out.seed = seed;
  const auto began = std::chrono::steady_clock::now();
  try {
    play(out);
  } catch (const InputError&) {
    throw;
  } catch (const std::exception& e) {
    out.failed = e.what();
  }
  out.wall_seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  return out;
}

}  // namespace

RunResult run_virtual(const Experiment& e, std::uint64_t seed, RecordOptions keep,
                      const std::optional<std::set<std::size_t>>& only) {
  return timed(seed, [&](RunResult& out) {
    VirtualEnvironment environment(e.link, derive_seed(seed, 9), e.node.sockets,
                                   balancer_factory(e.node.balancer),
                                   keep.node_log ? &out.node_log : nullptr);
    ExperimentRun experiment_run(e, environment, seed, faults_of(e, seed, only), keep.events);
    out.outcome = experiment_run.execute();
  });
}

RunResult run_real(const Experiment& e, std::uint64_t seed, RecordOptions keep,
                   const std::vector<std::string>& program, const std::string& folder) {
  if (e.node.balancer != "module")
    throw InputError(e.name + ":1: node.balancer: the real program has only 'module'");
  if (e.node.joins_fleet)
    throw InputError(
        e.name +
        ":1: node.fleet: only in virtual time; processes that know each other play lab/members.toml");
  for (const FaultPlan& f : e.faults) {
    for (const FaultKind& k : fault_kinds()) {
      if (f.kind == k.name && k.virtual_only)
        throw InputError(e.name + ":1: fault.kind: '" + f.kind +
                         "' needs the virtual network; run it without --real");
    }
  }
  return timed(seed, [&](RunResult& out) {
    LoopbackEnvironment environment(program, folder);
    ExperimentRun experiment_run(e, environment, seed, faults_of(e, seed, {}), keep.events);
    out.outcome = experiment_run.execute();
  });
}

void run_seeds(std::uint64_t first, std::uint64_t last, unsigned jobs,
               const std::function<RunResult(std::uint64_t)>& run,
               const std::function<bool(RunResult&&)>& done) {
  std::atomic<std::uint64_t> next{first};
  std::atomic<bool> enough{false};
  std::mutex mutex;
  std::condition_variable moved;
  std::map<std::uint64_t, RunResult> waiting;
  std::uint64_t due = first;
  std::exception_ptr wrong;
  const std::uint64_t ahead = 4 * std::max(1u, jobs);  // outcomes that wait for an earlier one
  const auto work = [&] {
    for (std::uint64_t seed; !enough && (seed = next++) <= last;) {
      {
        std::unique_lock lock(mutex);
        moved.wait(lock, [&] { return enough || seed < due + ahead; });
      }
      if (enough) return;
      try {
        RunResult ran = run(seed);
        const std::lock_guard lock(mutex);
        waiting.emplace(seed, std::move(ran));
        for (auto it = waiting.find(due); !enough && it != waiting.end(); it = waiting.find(due)) {
          if (!done(std::move(it->second))) enough = true;
          waiting.erase(it);
          ++due;
        }
      } catch (...) {
        const std::lock_guard lock(mutex);
        if (!wrong) wrong = std::current_exception();
        enough = true;
      }
      moved.notify_all();
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::max(1u, jobs); ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  if (wrong) std::rethrow_exception(wrong);
}

std::optional<std::set<std::size_t>> shrink(const Experiment& e, std::uint64_t seed, unsigned jobs,
                                            const std::function<void(std::size_t, bool)>& tried) {
  const RunResult whole = run_virtual(e, seed);
  if (whole.outcome.violations.empty()) return std::nullopt;
  const Rule rule = whole.outcome.violations.front().rule;
  const auto fails = [&](const std::set<std::size_t>& some) {
    const RunResult ran = run_virtual(e, seed, {}, some);
    return std::any_of(ran.outcome.violations.begin(), ran.outcome.violations.end(),
                       [&](const Violation& v) { return v.rule == rule; });
  };
  std::set<std::size_t> left;
  const std::size_t all = draw_faults(e.faults, e.fleet, e.duration, seed).size();
  for (std::size_t i = 0; i < all; ++i) left.insert(i);
  // Parts are left out, ever smaller ones; those of one size are tried together, and the first that still
  // fails is taken.
  for (std::size_t part = std::max<std::size_t>(left.size() / 2, 1); !left.empty();) {
    const std::vector<std::size_t> now(left.begin(), left.end());
    std::vector<std::set<std::size_t>> without;
    for (std::size_t at = 0; at < now.size(); at += part) {
      std::set<std::size_t> rest = left;
      for (std::size_t i = at; i < std::min(at + part, now.size()); ++i) rest.erase(now[i]);
      without.push_back(std::move(rest));
    }
    std::vector<char> still(without.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (unsigned j = 0; j < std::max(1u, jobs); ++j)
      threads.emplace_back([&] {
        for (std::size_t i; (i = next++) < without.size();) still[i] = fails(without[i]);
      });
    for (std::thread& t : threads) t.join();
    const auto found = std::find(still.begin(), still.end(), char{1});
    if (found != still.end()) left = without[static_cast<std::size_t>(found - still.begin())];
    tried(left.size(), found != still.end());
    if (found == still.end() && part == 1) break;
    if (found == still.end()) part = std::max<std::size_t>(part / 2, 1);
    part = std::min(part, std::max<std::size_t>(left.size(), 1));
  }
  return left;
}

}  // namespace flintweir::lab
