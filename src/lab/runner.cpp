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

std::vector<Fault> selected_faults(const Experiment& e, std::uint64_t seed,
                                   const std::optional<std::set<std::size_t>>& only) {
  const std::vector<Fault> all = draw_faults(e.faults, e.fleet, e.duration, seed);
  if (!only) return all;
  std::vector<Fault> selected;
  for (std::size_t i = 0; i < all.size(); ++i)
    if (only->contains(i)) selected.push_back(all[i]);
  return selected;
}

template <class Run>
RunResult measure(std::uint64_t seed, Run run) {
  RunResult result;
  result.seed = seed;
  const auto began = std::chrono::steady_clock::now();
  try {
    run(result);
  } catch (const InputError&) {
    throw;
  } catch (const std::exception& e) {
    result.failed = e.what();
  }
  result.wall_seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  return result;
}

}  // namespace

RunResult run_virtual(const Experiment& e, std::uint64_t seed, RecordOptions keep,
                      const std::optional<std::set<std::size_t>>& only) {
  return measure(seed, [&](RunResult& result) {
    VirtualEnvironment environment(e.link, derive_seed(seed, 9), e.node.sockets,
                                   balancer_factory(e.node.balancer),
                                   keep.node_log ? &result.node_log : nullptr);
    ExperimentRun experiment_run(e, environment, seed, selected_faults(e, seed, only), keep.events);
    result.outcome = experiment_run.execute();
  });
}

RunResult run_real(const Experiment& e, std::uint64_t seed, RecordOptions keep,
                   const std::vector<std::string>& program, const std::string& folder) {
  if (e.node.balancer != "module")
    throw InputError(e.name + ":1: node.balancer: the real program supports only 'module'");
  if (e.node.joins_fleet)
    throw InputError(e.name +
                     ":1: node.fleet: is supported in virtual time only; for real processes that form a "
                     "fleet use lab/members.toml");
  for (const FaultPlan& f : e.faults) {
    for (const FaultKind& k : fault_kinds()) {
      if (f.kind == k.name && k.virtual_only)
        throw InputError(e.name + ":1: fault.kind: '" + f.kind +
                         "' requires the simulated network; run without --real");
    }
  }
  return measure(seed, [&](RunResult& result) {
    LoopbackEnvironment environment(program, folder);
    ExperimentRun experiment_run(e, environment, seed, selected_faults(e, seed, {}), keep.events);
    result.outcome = experiment_run.execute();
  });
}

void run_seeds(std::uint64_t first, std::uint64_t last, unsigned jobs,
               const std::function<RunResult(std::uint64_t)>& run,
               const std::function<bool(RunResult&&)>& done) {
  std::atomic<std::uint64_t> next{first};
  std::atomic<bool> stop{false};
  std::mutex mutex;
  std::condition_variable advanced;
  std::map<std::uint64_t, RunResult> waiting;
  std::uint64_t next_to_report = first;
  std::exception_ptr error;
  // Limits the memory of results that wait for an earlier seed.
  const std::uint64_t max_ahead = 4 * std::max(1u, jobs);
  const auto work = [&] {
    for (std::uint64_t seed; !stop && (seed = next++) <= last;) {
      {
        std::unique_lock lock(mutex);
        advanced.wait(lock, [&] { return stop || seed < next_to_report + max_ahead; });
      }
      if (stop) return;
      try {
        RunResult result = run(seed);
        const std::lock_guard lock(mutex);
        waiting.emplace(seed, std::move(result));
        for (auto it = waiting.find(next_to_report); !stop && it != waiting.end();
             it = waiting.find(next_to_report)) {
          if (!done(std::move(it->second))) stop = true;
          waiting.erase(it);
          ++next_to_report;
        }
      } catch (...) {
        const std::lock_guard lock(mutex);
        if (!error) error = std::current_exception();
        stop = true;
      }
      advanced.notify_all();
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::max(1u, jobs); ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  if (error) std::rethrow_exception(error);
}

std::optional<std::set<std::size_t>> shrink(const Experiment& e, std::uint64_t seed, unsigned jobs,
                                            const std::function<void(std::size_t, bool)>& tried) {
  const RunResult full_run = run_virtual(e, seed);
  if (full_run.outcome.violations.empty()) return std::nullopt;
  const Rule rule = full_run.outcome.violations.front().rule;
  const auto fails = [&](const std::set<std::size_t>& selected) {
    const RunResult result = run_virtual(e, seed, {}, selected);
    return std::any_of(result.outcome.violations.begin(), result.outcome.violations.end(),
                       [&](const Violation& v) { return v.rule == rule; });
  };
  std::set<std::size_t> remaining;
  const std::size_t all = draw_faults(e.faults, e.fleet, e.duration, seed).size();
  for (std::size_t i = 0; i < all; ++i) remaining.insert(i);
  // Leaves out chunks of decreasing size. All chunks of one size are tried in parallel, and the first without
  // which the run still fails is dropped.
  for (std::size_t chunk_size = std::max<std::size_t>(remaining.size() / 2, 1); !remaining.empty();) {
    const std::vector<std::size_t> now(remaining.begin(), remaining.end());
    std::vector<std::set<std::size_t>> candidates;
    for (std::size_t at = 0; at < now.size(); at += chunk_size) {
      std::set<std::size_t> rest = remaining;
      for (std::size_t i = at; i < std::min(at + chunk_size, now.size()); ++i) rest.erase(now[i]);
      candidates.push_back(std::move(rest));
    }
    std::vector<char> still_fails(candidates.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (unsigned j = 0; j < std::max(1u, jobs); ++j)
      threads.emplace_back([&] {
        for (std::size_t i; (i = next++) < candidates.size();) still_fails[i] = fails(candidates[i]);
      });
    for (std::thread& t : threads) t.join();
    const auto found = std::find(still_fails.begin(), still_fails.end(), char{1});
    if (found != still_fails.end())
      remaining = candidates[static_cast<std::size_t>(found - still_fails.begin())];
    tried(remaining.size(), found != still_fails.end());
    if (found == still_fails.end() && chunk_size == 1) break;
    if (found == still_fails.end()) chunk_size = std::max<std::size_t>(chunk_size / 2, 1);
    chunk_size = std::min(chunk_size, std::max<std::size_t>(remaining.size(), 1));
  }
  return remaining;
}

}  // namespace flintweir::lab
