// Command line of the lab: lists and runs experiments, compares builds and writes reports.
#include <sys/stat.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <numeric>
#include <thread>

#include "lab/checks/interleaving.h"
#include "lab/faults/builtin_experiment.h"
#include "lab/faults/input_error.h"
#include "lab/fleet/change_experiment.h"
#include "lab/fleet/in_process_fleet.h"
#include "lab/fleet/membership_experiment.h"
#include "lab/fleet/node_scaling.h"
#include "lab/leases/lease_rig.h"
#include "lab/leases/lease_search.h"
#include "lab/reports/capacity.h"
#include "lab/reports/report.h"
#include "lab/reports/results.h"
#include "lab/reports/scale_module.h"
#include "lab/runner.h"

namespace {

using namespace flintweir::lab;
namespace fs = std::filesystem;

struct Seeds {
  std::uint64_t first = 1, last = 1;
};

Seeds parse_seeds(const std::string& text) {
  Seeds out;
  char extra;
  unsigned long long a, b;
  if (std::sscanf(text.c_str(), "%llu..%llu%c", &a, &b, &extra) == 2 && a <= b) return {a, b};
  if (std::sscanf(text.c_str(), "%llu%c", &a, &extra) == 1) return {a, a};
  throw InputError("--seeds: '" + text + "' is neither a number nor a range such as 1..20");
}

Experiment read(const std::string& file, const std::string& variant) {
  if (file.empty()) return Experiment::from_text(kBuiltinExperiment, "built-in day", variant);
  if (!fs::exists(file)) throw InputError(file + ":0: file: does not exist");
  return Experiment::from_file(file, variant);
}

// The flintweir command: the words of `given`, or else the executable in this program's directory.
std::vector<std::string> program_command(const std::string& given) {
  if (given.empty()) return {(fs::read_symlink("/proc/self/exe").parent_path() / "flintweir").string()};
  std::istringstream words(given);
  return {std::istream_iterator<std::string>(words), {}};
}

class Progress {
 public:
  Progress(std::string title, std::uint64_t all) : title_(std::move(title)), all_(all) {}
  void show(const RunSet& set) {
    const auto now = std::chrono::steady_clock::now();
    if (!isatty(2) || (now - last_shown_ < std::chrono::milliseconds(200) && set.runs < all_)) return;
    last_shown_ = now;
    const double elapsed = std::chrono::duration<double>(now - started_).count();
    std::fprintf(stderr, "\r%s: %llu of %llu runs, %llu broken rules, %.0f s a second \033[K%s",
                 title_.c_str(), static_cast<unsigned long long>(set.runs),
                 static_cast<unsigned long long>(all_), static_cast<unsigned long long>(set.violations()),
                 set.virtual_seconds() / std::max(elapsed, 0.001), set.runs == all_ ? "\n" : "");
  }

 private:
  std::string title_;
  std::uint64_t all_;
  std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now(), last_shown_{};
};

struct RunOptions {
  unsigned jobs = 1;
  bool real = false, until_broken = false, keep_logs = false;
  unsigned holders = 4;  // candidates for one lease, in virtual time
  std::optional<BaselineProtocol>
      baseline_protocol;  // membership experiment: a baseline protocol that replaces the node's own
  std::vector<std::string> program;
  fs::path out;
};

void write(const fs::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::trunc);
  file << text;
  file.close();
  if (!file) throw std::runtime_error("can't write " + path.string());
}

std::string file_name(const RunSet& set) {
  std::string out = set.experiment + "-" + set.title;
  std::replace_if(
      out.begin(), out.end(), [](char c) { return !std::isalnum(static_cast<unsigned char>(c)); }, '-');
  return out;
}

RunSet run_set(const Experiment& e, const std::string& title, Seeds seeds, const RunOptions& run_options) {
  RunSet set(e, title, seeds.first, seeds.last);
  Progress progress(e.name + ", " + title, seeds.last - seeds.first + 1);
  const bool keep = run_options.keep_logs && !run_options.out.empty();
  const auto run = [&](std::uint64_t seed) {
    if (!run_options.real) return run_virtual(e, seed, {keep, keep});
    const fs::path folder = (run_options.out.empty() ? fs::temp_directory_path() : run_options.out) /
                            ("real-" + std::to_string(getpid()) + "-" + std::to_string(seed));
    fs::create_directories(folder);
    RunResult result = run_real(e, seed, {keep, false}, run_options.program, folder.string());
    if (run_options.out.empty()) fs::remove_all(folder);
    return result;
  };
  run_seeds(seeds.first, seeds.last, run_options.real ? 1 : run_options.jobs, run, [&](RunResult&& result) {
    set.add(result);
    if (keep) {
      const std::string base = file_name(set) + "-" + std::to_string(result.seed);
      write(run_options.out / (base + ".events"), result.outcome.log);
      if (!result.node_log.empty()) write(run_options.out / (base + ".log"), result.node_log);
    }
    progress.show(set);
    return !(run_options.until_broken && set.broken());
  });
  if (!run_options.out.empty()) write(run_options.out / (file_name(set) + ".json"), set.to_json().dump(1));
  return set;
}

// Prints one line of figures per run set.
void print_table(const std::vector<RunSet>& sets) {
  std::printf("%-22s %8s %8s %8s %9s %6s %7s %9s %9s  %s\n", "", "asked", "served", "refused", "torn down",
              "moved", "broken", "service", "UP p99", "rules");
  for (const RunSet& s : sets) {
    const std::string rules = !s.failed().empty() ? "failed"
                              : s.broken()        ? std::to_string(s.violations()) + " broken"
                                                  : "kept";
    std::printf("%-22s %8.0f %8.0f %8.0f %9.0f %6.0f %7.0f %9.3f %6.0f ms  %s\n",
                s.title.substr(0, 22).c_str(), s.figure("sessions"), s.figure("accepted"),
                s.figure("refused"), s.figure("torn_down") + s.figure("unanswered"), s.figure("moved"),
                s.figure("broken"), s.figure("service"), s.figure("up_p99_ms"), rules.c_str());
  }
}

// Prints the first ten violations and the command that repeats the first failing seed.
void print_violations(const RunSet& set, const std::string& file) {
  std::size_t shown = 0;
  for (const RunSet::ListedViolation& b : set.first_violations) {
    if (++shown > 10) break;
    std::printf("broken: rule=%s seed=%llu at=%.3fs session=%s: %s\n", b.rule.c_str(),
                static_cast<unsigned long long>(b.seed), b.at, b.session.c_str(), b.what.c_str());
  }
  if (!set.failed().empty()) std::printf("failed: %s\n", set.failed().c_str());
  if (!set.first_violations.empty())
    std::printf("again: flintweir-lab run %s --seeds %llu --alone --logs --out DIR\n", file.c_str(),
                static_cast<unsigned long long>(set.first_violations.front().seed));
}

std::string format_spread(std::vector<double> values, const char* unit) {
  if (values.empty()) return "-";
  std::sort(values.begin(), values.end());
  char out[96];
  std::snprintf(out, sizeof out, "median %.0f, worst %.0f %s (%zu)", values[values.size() / 2], values.back(),
                unit, values.size());
  return out;
}

// Runs a membership experiment and prints its rules and figures, one per line.
int run_fleet(const std::string& file, const std::string& variant, Seeds seeds, const RunOptions& run_options,
              const std::string& only) {
  const MembershipPlan plan = MembershipPlan::from_file(file, variant);
  std::vector<double> join_ms, crash_detection_ms, join_detection_ms, reconverged_ms, idle;
  std::uint64_t running_reported_failed = 0, observations = 0, runs = 0, broken = 0;
  double virtual_seconds = 0;
  std::mutex mutex;
  std::atomic<std::uint64_t> next{seeds.first};
  std::atomic<bool> stop{false};
  std::map<std::uint64_t, MembershipResult> outcomes;
  std::map<std::string, unsigned> by_rule;
  std::string failed;
  const auto started = std::chrono::steady_clock::now();
  const auto work = [&] {
    for (std::uint64_t seed; !stop && (seed = next++) <= seeds.last;) {
      try {
        std::string log;
        const bool keep = run_options.keep_logs && !run_options.out.empty();
        MembershipResult one;
        if (run_options.real) {
          const fs::path folder = (run_options.out.empty() ? fs::temp_directory_path() : run_options.out) /
                                  ("fleet-" + std::to_string(getpid()) + "-" + std::to_string(seed));
          fs::create_directories(folder);
          one = run_membership_loopback(plan, seed, only, run_options.program, folder.string());
          if (run_options.out.empty()) fs::remove_all(folder);
        } else {
          one =
              run_membership_virtual(plan, seed, only, keep ? &log : nullptr, run_options.baseline_protocol);
        }
        const std::lock_guard lock(mutex);
        if (keep && !log.empty()) write(run_options.out / ("fleet-" + std::to_string(seed) + ".log"), log);
        if (run_options.until_broken && !one.violations.empty()) stop = true;
        outcomes.emplace(seed, std::move(one));
      } catch (const std::exception& e) {
        const std::lock_guard lock(mutex);
        failed = e.what();
        stop = true;
      }
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < (run_options.real ? 1 : run_options.jobs); ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  if (!failed.empty()) throw InputError(failed);
  for (const auto& [seed, one] : outcomes) {
    ++runs;
    observations += one.observations;
    virtual_seconds += one.duration_s;
    if (one.converged_ms) join_ms.push_back(*one.converged_ms);
    if (one.reconverged_ms) reconverged_ms.push_back(*one.reconverged_ms);
    crash_detection_ms.insert(crash_detection_ms.end(), one.crash_detection_ms.begin(),
                              one.crash_detection_ms.end());
    join_detection_ms.insert(join_detection_ms.end(), one.join_detection_ms.begin(),
                             one.join_detection_ms.end());
    running_reported_failed += one.running_reported_failed;
    idle.push_back(one.idle_bytes_per_second);
    std::string faults;
    for (const std::string& t : one.faults) faults += (faults.empty() ? "" : ",") + t;
    for (const MembershipViolation& b : one.violations) {
      ++by_rule[name_of(b.rule)];
      if (++broken <= 20)
        std::printf("broken: rule=%s seed=%llu at=%.3fs troubles=%s: %s\n", name_of(b.rule),
                    static_cast<unsigned long long>(seed), static_cast<double>(b.at.count()) / 1e6,
                    faults.c_str(), b.description.c_str());
    }
  }
  const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
  std::printf("%s: %s\n%llu runs of %u nodes, %.0f s in all, in %.1f s; %llu looks; rules %s\n",
              plan.name.c_str(), plan.about.c_str(), static_cast<unsigned long long>(runs), plan.nodes,
              virtual_seconds, elapsed, static_cast<unsigned long long>(observations),
              broken ? "broken" : "kept");
  for (const auto& [rule, times] : by_rule) std::printf("%-17s broken %u times\n", rule.c_str(), times);
  std::printf("all joined        %s\n", format_spread(join_ms, "ms").c_str());
  std::printf("crash known       %s\n", format_spread(crash_detection_ms, "ms").c_str());
  std::printf("join known        %s\n", format_spread(join_detection_ms, "ms").c_str());
  std::printf("called failed     %llu that ran, %.2f an hour\n",
              static_cast<unsigned long long>(running_reported_failed),
              3600.0 * static_cast<double>(running_reported_failed) / virtual_seconds);
  std::printf("settled again     %s\n", format_spread(reconverged_ms, "ms").c_str());
  std::printf("sent at rest      %s\n", format_spread(idle, "bytes a node and second").c_str());
  return broken ? 1 : 0;
}

fs::path folder_for(const RunOptions& run_options, const char* what) {
  const fs::path out = (run_options.out.empty() ? fs::temp_directory_path() : run_options.out) /
                       (what + ("-" + std::to_string(getpid())));
  fs::create_directories(out);
  return out;
}

// Runs many nodes of the fleet code in one process, together with some real processes.
int run_in_process_fleet_command(const InProcessFleetPlan& plan, const RunOptions& run_options) {
  const fs::path folder = folder_for(run_options, "hollow");
  const InProcessFleetResult o = run_in_process_fleet(plan, run_options.program, folder.string());
  if (run_options.out.empty()) fs::remove_all(folder);
  std::printf("members=%u real=%u loss=%.2f\n", plan.members, plan.processes, plan.datagram_loss);
  std::printf("one view after %.2f s; memory %.1f KiB a node\n", o.converged_s, o.memory_kib);
  std::printf(
      "at rest: %.0f bytes a node and second, %.0f of the node that sends most, %.4f%% of a core a node\n",
      o.idle_bytes_per_second, o.max_idle_bytes_per_second, o.idle_cpu * 100);
  bool complete = o.converged_s >= 0;
  for (const auto& [what, known] : o.propagation_s) {
    std::printf(
        "%-24s half know after %.2f s, all after %.2f s; %.0f bytes a node and second, most %.0f, %.4f%% of "
        "a core\n",
        what.c_str(), known.first, known.second, o.bytes_per_second.at(what), o.max_bytes_per_second.at(what),
        o.cpu.at(what) * 100);
    complete = complete && known.second >= 0;
  }
  std::printf("half restarted in 30 s: %.0f bytes a node and second\n",
              o.bytes_per_second.at("half restarted"));
  if (!complete) std::printf("broken: not all came to know\n");
  return complete ? 0 : 1;
}

int run_node_scaling(const std::vector<unsigned>& sizes, const RunOptions& run_options) {
  const fs::path folder = folder_for(run_options, "scale");
  const auto all = measure_node_scaling(run_options.program, sizes, folder.string());
  if (run_options.out.empty()) fs::remove_all(folder);
  for (const NodeScalingResult& s : all) {
    std::printf(
        "sessions=%u memory %.0f KiB (%.2f a session), %.1f us to open, idle %.2f%% of a core, refused %u\n",
        s.sessions, s.memory_kib, s.memory_kib / s.sessions, s.open_us, s.idle_cpu * 100, s.refused);
    std::printf(
        "  a line to each at once: %.2f, %.2f, %.2f ms at 50, 99, 99.9 in 100; without a node %.2f, %.2f, "
        "%.2f\n",
        s.line_ms[0], s.line_ms[1], s.line_ms[2], s.baseline_ms[0], s.baseline_ms[1], s.baseline_ms[2]);
    std::printf("  %.0f lines a second, %.2f us of the node a line\n", s.lines_per_second, s.cpu_us_per_line);
    if (s.reconnected)
      std::printf("  %u come back at once: first answers %.1f, %.1f, %.1f ms at 50, 99, worst\n",
                  s.reconnected, s.reconnect_ms[0], s.reconnect_ms[1], s.reconnect_ms[2]);
  }
  return 0;
}

int run_module_scaling(const std::vector<unsigned>& hosts, const std::vector<unsigned>& sessions,
                       unsigned groups, unsigned nodes) {
  for (const unsigned h : hosts)
    for (const unsigned n : sessions) {
      const ModuleScale s = scale_module(h, n, groups, nodes, 7);
      std::printf(
          "hosts=%u sessions=%u: %.1f us a placement, %.0f us a second by itself, %.0f KiB (%.2f a session), "
          "%.2f hosts a group, "
          "largest on %u, most on a host %.2f of the mean, %u moved by its death\n",
          s.hosts, s.sessions, s.placement_us, s.idle_us_per_second, s.memory_kib, s.memory_kib / n,
          s.hosts_per_group, s.largest_hosts, s.max_load_ratio, s.moved);
      std::fflush(stdout);
    }
  for (const unsigned h : hosts)
    for (const double rate : {1.0, 5.0, 20.0, 90.0})
      std::printf("hosts=%u sessions a second=%.0f: %.1f probes a second at a price of 0.002\n", h, rate,
                  probes_per_second(h, rate, 0.002, 7));
  return 0;
}

// Prints the capacity tables, or checks that the given page contains exactly these.
int capacity(const std::string& slopes, const std::string& size, const std::string& page) {
  const std::string tables = Capacity(slopes, size).tables();
  if (page.empty()) return std::fputs(tables.c_str(), stdout), 0;
  if (page_matches(page, tables))
    return std::printf("%s agrees with %s and %s\n", page.c_str(), slopes.c_str(), size.c_str()), 0;
  std::fprintf(stderr, "flintweir-lab: %s: its tables are not those of %s and %s\n", page.c_str(),
               slopes.c_str(), size.c_str());
  return 1;
}

int changes(Seeds seeds, const RunOptions& run_options, const ChangeExperimentPlan& plan,
            const std::string& only) {
  std::mutex mutex;
  std::map<std::string, ChangeResult> results_by_fault;
  std::map<std::string, unsigned> runs;
  std::atomic<std::uint64_t> next{seeds.first};
  unsigned broken = 0;
  std::vector<double> idle, after_change, max_after_change;
  const auto work = [&] {
    for (std::uint64_t seed; (seed = next++) <= seeds.last;) {
      ChangeResult one;
      if (run_options.real) {
        const fs::path folder =
            (run_options.out.empty() ? fs::temp_directory_path() : fs::path(run_options.out)) /
            ("changes-" + std::to_string(getpid()) + "-" + std::to_string(seed));
        fs::create_directories(folder);
        one = run_changes_loopback(plan, seed, only, run_options.program, folder.string());
        if (run_options.out.empty() && one.violations.empty()) fs::remove_all(folder);
      } else {
        one = run_changes_virtual(plan, seed, only);
      }
      const std::lock_guard lock(mutex);
      for (const ChangeViolation& b : one.violations)
        std::printf("broken: rule=%s seed=%llu trouble=%s at %.3f s: %s\n", b.rule.c_str(),
                    static_cast<unsigned long long>(seed), one.fault.c_str(), flintweir::seconds(b.at),
                    b.description.c_str());
      broken += !one.violations.empty();
      ++runs[one.fault];
      auto& all = results_by_fault[one.fault].propagation_ms;
      all.insert(all.end(), one.propagation_ms.begin(), one.propagation_ms.end());
      idle.push_back(one.idle_bytes_per_second);
      after_change.push_back(one.change_bytes_per_second);
      max_after_change.push_back(one.max_change_bytes_per_second);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::max(1u, run_options.jobs); ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  for (const auto& [fault, one] : results_by_fault)
    std::printf("%-16s runs=%u changes=%zu known by all: %s\n", fault.c_str(), runs[fault],
                one.propagation_ms.size(), format_spread(one.propagation_ms, "ms").c_str());
  const auto mean = [](const std::vector<double>& v) {
    return std::accumulate(v.begin(), v.end(), 0.0) / static_cast<double>(std::max<std::size_t>(v.size(), 1));
  };
  std::printf(
      "nodes=%u bytes a node and second: at rest %.0f, in the %.0f s after a change %.0f, the most of one "
      "node %.0f\n",
      plan.nodes, mean(idle), flintweir::seconds(plan.propagation_limit), mean(after_change),
      max_after_change.empty() ? 0 : *std::max_element(max_after_change.begin(), max_after_change.end()));
  std::printf("%zu runs, %u broken\n", idle.size(), broken);
  return broken ? 1 : 0;
}

int leases(Seeds seeds, const RunOptions& run_options, const std::string& only) {
  const auto& kinds = lease_faults();
  if (!only.empty() && std::find(kinds.begin(), kinds.end(), only) == kinds.end())
    throw InputError("leases: unknown trouble '" + only + "'");
  std::uint64_t operations = 0, refused = 0, broken = 0, runs = 0;
  double requests_per_second = 0;
  std::map<std::string, std::vector<double>> gaps_by_fault;
  std::mutex mutex;
  std::atomic<std::uint64_t> next{seeds.first};
  const std::string lab_program = fs::read_symlink("/proc/self/exe").string();
  const auto work = [&] {
    for (std::uint64_t seed; (seed = next++) <= seeds.last;) {
      const fs::path folder = (run_options.out.empty() ? fs::temp_directory_path() : run_options.out) /
                              ("leases-" + std::to_string(getpid()) + "-" + std::to_string(seed));
      fs::create_directories(folder);
      const LeaseRun one = run_options.real
                               ? run_leases(seed, only, run_options.program, lab_program, folder.string())
                               : run_leases_virtual(seed, only, run_options.holders);
      if (run_options.out.empty()) fs::remove_all(folder);
      const std::lock_guard lock(mutex);
      ++runs, operations += one.operations, refused += one.refused,
          requests_per_second += one.requests_per_second;
      gaps_by_fault[one.fault].push_back(one.longest_gap_ms);
      for (const std::string& b : one.violations)
        if (++broken <= 20)
          std::printf("broken: %s seed=%llu trouble=%s\n", b.c_str(), static_cast<unsigned long long>(seed),
                      one.fault.c_str());
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < run_options.jobs; ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  std::printf("%llu runs, %llu acts, %llu refused, %.0f datagrams a second at each voter; rules %s\n",
              static_cast<unsigned long long>(runs), static_cast<unsigned long long>(operations),
              static_cast<unsigned long long>(refused),
              requests_per_second / static_cast<double>(std::max<std::uint64_t>(runs, 1)),
              broken ? "broken" : "kept");
  for (const auto& [fault, values] : gaps_by_fault)
    std::printf("%-16s nobody acted for: %s\n", fault.c_str(), format_spread(values, "ms").c_str());
  return broken ? 1 : 0;
}

// Tests all interleavings whose text contains `only`; prints the first 20 violations.
int run_all_interleavings(const std::string& only, unsigned jobs) {
  const std::vector<Interleaving> all = all_interleavings();
  std::atomic<std::size_t> next{0}, tested{0}, broken{0};
  std::vector<std::string> first(all.size());
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < jobs; ++i)
    threads.emplace_back([&] {
      for (std::size_t n; (n = next++) < all.size();) {
        if (to_text(all[n]).find(only) == std::string::npos) continue;
        ++tested;
        const auto found = run_interleaving(all[n]);
        if (!found.empty()) ++broken, first[n] = found.front();
      }
    });
  for (std::thread& t : threads) t.join();
  unsigned printed = 0;
  for (std::size_t n = 0; n < all.size() && printed < 20; ++n)
    if (!first[n].empty())
      ++printed, std::printf("broken: rule=%s (%s)\n", first[n].c_str(), to_text(all[n]).c_str());
  std::printf("%zu crossings played, %zu broken\n", tested.load(), broken.load());
  return broken ? 1 : 0;
}

int search(std::uint64_t states, Seeds seeds, unsigned jobs) {
  bool broken = false;
  const auto print_result = [&](const char* what, const LeaseSearchOptions& options,
                                const LeaseSearchResult& found, const char* unit) {
    std::printf(
        "%-8s %u would-be holders, voters %s, %s%s: %llu %s, %llu grants, depth %u, %.1f s; rules %s\n", what,
        options.candidates, options.voter_storage ? "with folders" : "without",
        options.starts_held ? "one holds" : "all begin",
        options.max_restarts     ? ", restarts"
        : options.max_duplicates ? ", doubles"
        : options.allow_release  ? ", lets go"
                                 : "",
        static_cast<unsigned long long>(found.states), unit, static_cast<unsigned long long>(found.grants),
        found.depth, found.wall_seconds, found.violation ? "broken" : "kept");
    if (found.violation) std::printf("broken: %s\n", found.violation->c_str());
    broken = broken || found.violation;
  };
  std::vector<LeaseSearchOptions> all;
  for (const bool folders : {false, true}) {
    for (const bool held : {false, true}) {
      LeaseSearchOptions common;
      common.voter_storage = folders, common.starts_held = held, common.max_states = states;
      LeaseSearchOptions restarts = common, duplicates = common, releases = common;
      restarts.max_restarts = 2, duplicates.max_duplicates = 1, releases.allow_release = true;
      for (const LeaseSearchOptions& one : {common, restarts, duplicates, releases}) all.push_back(one);
    }
  }
  std::vector<LeaseSearchResult> found(all.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < jobs; ++i)
    threads.emplace_back([&] {
      for (std::size_t n; (n = next++) < all.size();) found[n] = search_leases(all[n]);
    });
  for (std::thread& t : threads) t.join();
  for (std::size_t i = 0; i < all.size(); ++i) print_result("search", all[i], found[i], "states");
  for (const bool folders : {false, true}) {
    LeaseSearchOptions options;
    options.voter_storage = folders;
    print_result("walks", options, random_walk_leases(options, seeds.first, seeds.last, 400), "steps");
  }
  return broken ? 1 : 0;
}

int run(const std::string& file, const std::string& variant, Seeds seeds, RunOptions run_options, bool alone,
        bool json) {
  const Experiment e = read(file, variant);
  const bool own_folder = run_options.out.empty() && file.empty() && !json;
  if (own_folder) run_options.out = fs::temp_directory_path() / ("flintweir-lab-" + std::to_string(getuid()));
  if (!run_options.out.empty()) fs::create_directories(run_options.out);
  std::vector<RunSet> sets;
  const std::string title = run_options.real ? "real program" : e.node.balancer;
  sets.push_back(run_set(e, variant.empty() ? title : variant, seeds, run_options));
  if (!alone && !run_options.real && e.node.balancer == "module") {
    for (const char* balancer : {"random", "round-robin", "least-connections"}) {
      Experiment other = e;
      other.node.balancer = balancer;
      RunOptions baseline_options = run_options;
      baseline_options.until_broken = baseline_options.keep_logs = false;
      sets.push_back(run_set(other, balancer, seeds, baseline_options));
    }
  }
  if (json) {
    nlohmann::json out = nlohmann::json::array();
    for (const RunSet& s : sets) out.push_back(s.to_json());
    std::printf("%s\n", out.dump(1).c_str());
  } else {
    std::printf(
        "%s: %s\n%llu runs of %g s; rules looked at %llu times; events %s; %.0f virtual seconds a second and "
        "core\n\n",
        e.name.c_str(), e.about.c_str(), static_cast<unsigned long long>(sets[0].runs), sets[0].lasts,
        static_cast<unsigned long long>(sets[0].checks()), sets[0].hash().c_str(),
        sets[0].virtual_seconds() / std::max(sets[0].wall_seconds(), 1e-9));
    print_table(sets);
    print_violations(sets[0], file);
  }
  if (!run_options.out.empty()) {
    write(run_options.out / "report.html", report_page(sets));
    if (!json) std::printf("\nreport: %s\n", (run_options.out / "report.html").string().c_str());
  }
  return sets[0].broken() ? 1 : 0;
}

std::vector<RunSet> run_sets_from_json(const nlohmann::json& json) {
  std::vector<RunSet> out;
  if (!json.is_array()) return {RunSet::from_json(json)};
  for (const auto& j : json) out.push_back(RunSet::from_json(j));
  return out;
}

// Runs the same seeds with an earlier build of this program.
RunSet run_program(const std::string& program, const std::string& file, Seeds seeds, unsigned jobs) {
  const std::string command = "'" + program + "' run '" + file + "' --alone --json --jobs " +
                              std::to_string(jobs) + " --seeds " + std::to_string(seeds.first) + ".." +
                              std::to_string(seeds.last);
  FILE* const pipe = popen(command.c_str(), "r");
  if (!pipe) throw std::runtime_error("can't start " + program);
  std::string text;
  char bytes[65536];
  for (std::size_t n; (n = std::fread(bytes, 1, sizeof bytes, pipe)) > 0;) text.append(bytes, n);
  pclose(pipe);
  try {
    return run_sets_from_json(nlohmann::json::parse(text)).at(0);
  } catch (const std::exception&) {
    throw InputError("--base: '" + program + "' does not print results in the expected format");
  }
}

// Compares the means over seeds of a base (build or variant) and the experiment, with the standard error.
int compare(const std::string& file, const std::string& variant, const std::string& base, Seeds seeds,
            unsigned jobs) {
  RunOptions run_options;
  run_options.jobs = jobs;
  const Experiment e = read(file, variant);
  const bool program = base.find('/') != base.npos;
  if (program && access(base.c_str(), X_OK) != 0)
    throw InputError("--base: '" + base + "' is not an executable program");
  const RunSet before = program ? run_program(base, file, seeds, jobs)
                                : run_set(read(file, base == "file" ? "" : base), base, seeds, run_options);
  const RunSet now = run_set(e, variant.empty() ? "file" : variant, seeds, run_options);
  std::printf("%-14s %12s %12s %12s %10s\n", "", base.substr(0, 12).c_str(), now.title.substr(0, 12).c_str(),
              "difference", "noise");
  for (const std::string& name : e.measures) {
    const auto &a = before.per_seed(name), &b = now.per_seed(name);
    const std::size_t n = std::min(a.size(), b.size());
    double mean_a = 0, mean_b = 0, mean = 0, square = 0;
    for (std::size_t i = 0; i < n; ++i) {
      mean_a += a[i] / static_cast<double>(n);
      mean_b += b[i] / static_cast<double>(n);
    }
    mean = mean_b - mean_a;
    // Pairs the results by seed, so that only the spread of their differences remains.
    for (std::size_t i = 0; i < n; ++i) square += (b[i] - a[i] - mean) * (b[i] - a[i] - mean);
    const double noise = n > 1 ? std::sqrt(square / static_cast<double>(n - 1) / static_cast<double>(n)) : 0;
    std::printf("%-14s %12.4f %12.4f %+12.4f %10.4f%s\n", name.c_str(), mean_a, mean_b, mean, noise,
                noise > 0 && std::abs(mean) > 2 * noise ? "  *" : "");
  }
  std::printf("%-14s %12llu %12llu\n", "rules broken", static_cast<unsigned long long>(before.violations()),
              static_cast<unsigned long long>(now.violations()));
  std::printf(
      "means over seeds %llu to %llu; noise is the standard error of the difference, * is over twice that\n",
      static_cast<unsigned long long>(seeds.first), static_cast<unsigned long long>(seeds.last));
  return now.broken() ? 1 : 0;
}

// Finds the smallest set of faults with which the seed still breaks a rule.
int shrink_run(const std::string& file, const std::string& variant, std::uint64_t seed, unsigned jobs) {
  const Experiment e = read(file, variant);
  const auto left = shrink(e, seed, jobs, [](std::size_t n, bool fails) {
    if (isatty(2)) std::fprintf(stderr, "\r%zu faults left%s \033[K", n, fails ? "" : ", smaller parts");
  });
  if (isatty(2)) std::fprintf(stderr, "\n");
  if (!left) return std::printf("seed %llu breaks no rule\n", static_cast<unsigned long long>(seed)), 0;
  const std::vector<Fault> all = draw_faults(e.faults, e.fleet, e.duration, seed);
  std::printf("%zu of %zu faults still break it:\n", left->size(), all.size());
  for (const std::size_t i : *left) std::printf("  %s\n", to_text(all[i], e.fleet).c_str());
  const RunResult result = run_virtual(e, seed, {}, *left);
  for (const Violation& v : result.outcome.violations)
    std::printf("broken: rule=%s seed=%llu at=%.3fs session=%016llx: %s\n", name_of(v.rule),
                static_cast<unsigned long long>(seed), static_cast<double>(v.at.count()) / 1e6,
                static_cast<unsigned long long>(v.session.value), v.what.c_str());
  return 1;
}

// Writes report.html from all result files of the folder; baselines come last.
int report(const fs::path& folder) {
  std::vector<fs::path> files;
  if (!fs::is_directory(folder)) throw InputError(folder.string() + ":0: folder: does not exist");
  for (const auto& f : fs::directory_iterator(folder))
    if (f.path().extension() == ".json") files.push_back(f.path());
  std::sort(files.begin(), files.end());
  std::vector<RunSet> sets;
  for (const fs::path& f : files) {
    try {
      std::ifstream in(f);
      for (RunSet& s : run_sets_from_json(nlohmann::json::parse(in))) sets.push_back(std::move(s));
    } catch (const nlohmann::json::exception& e) {
      throw InputError(f.string() + ":1: file: is not the result of a run");
    }
  }
  if (sets.empty()) throw InputError(folder.string() + ":0: folder: holds no results");
  std::stable_sort(sets.begin(), sets.end(), [](const RunSet& a, const RunSet& b) {
    const auto is_baseline = [](const RunSet& s) {
      return s.title == "random" || s.title == "round-robin" || s.title == "least-connections";
    };
    return is_baseline(a) < is_baseline(b);
  });
  write(folder / "report.html", report_page(sets));
  std::printf("%s\n", (folder / "report.html").string().c_str());
  return 0;
}

int list(const std::string& folder) {
  std::printf("%-22s %s\n", "(built in)",
              Experiment::from_text(kBuiltinExperiment, "built-in day").about.c_str());
  std::vector<fs::path> files;
  if (fs::is_directory(folder))
    for (const auto& f : fs::directory_iterator(folder))
      if (f.path().extension() == ".toml") files.push_back(f.path());
  std::sort(files.begin(), files.end());
  for (const fs::path& f : files) {
    if (MembershipPlan::is_membership_experiment(f.string())) {
      std::printf("%-22s %s\n", f.string().c_str(), MembershipPlan::from_file(f.string()).about.c_str());
      continue;
    }
    const Experiment e = Experiment::from_file(f.string());
    std::printf("%-22s %s", f.string().c_str(), e.about.c_str());
    for (const std::string& v : e.variants) std::printf(" [%s]", v.c_str());
    std::printf("\n");
  }
  std::printf("\nfaults:\n");
  for (const FaultKind& k : fault_kinds())
    std::printf("  %-15s %s%s\n", k.name, k.description, k.virtual_only ? " (virtual network only)" : "");
  std::printf("\ntroubles of the fleet's view:\n");
  for (const FleetFaultKind& k : fleet_fault_kinds())
    std::printf("  %-15s %s%s\n", k.name, k.description, k.virtual_only ? " (virtual time only)" : "");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Runs experiments on flintweir in virtual time, or against the real program on loopback."};
  app.require_subcommand(1);
  std::string file, variant, seeds = "1", base, program, folder = "lab", only;
  RunOptions run_options;
  run_options.jobs = std::max(1u, std::thread::hardware_concurrency());
  std::uint64_t seed = 1;
  bool alone = false, json = false;

  CLI::App* const list_command = app.add_subcommand("list", "experiments, and the kinds of fault");
  list_command->add_option("FOLDER", folder, "where they lie")->capture_default_str();

  CLI::App* const run_command =
      app.add_subcommand("run", "play an experiment; without a file a built-in day");
  run_command->add_option("FILE", file, "the experiment");
  run_command->add_option("--variant", variant, "one of its variants");
  run_command->add_option("--seeds", seeds, "a seed, or a range A..B")->capture_default_str();
  run_command->add_option("--jobs", run_options.jobs, "runs at a time")
      ->check(CLI::Range(1u, 256u))
      ->capture_default_str();
  run_command->add_option("--out", run_options.out, "folder for results and the report");
  run_command->add_flag("--json", json, "print results as JSON");
  run_command->add_flag("--real", run_options.real, "against the real program, on loopback, in real time");
  run_command->add_option("--program", program, "the real program; without it the one beside this");
  run_command
      ->add_option_function<std::string>(
          "--knows-by",
          [&](const std::string& protocol) {
            if (protocol != "view")
              run_options.baseline_protocol =
                  protocol == "swim" ? BaselineProtocol::swim : BaselineProtocol::heartbeats;
          },
          "of an experiment on the fleet's view: the nodes' own, or a plain way to hold it against")
      ->check(CLI::IsMember({"view", "heartbeats", "swim"}));
  run_command->add_option("--only", only, "of an experiment on the fleet's view: one kind of trouble");
  run_command->add_flag("--alone", alone, "without the baselines");
  run_command->add_flag("--logs", run_options.keep_logs, "keep event logs and what nodes log, in the folder");
  run_command->add_flag("--until-broken", run_options.until_broken,
                        "stop at the first seed that breaks a rule");

  std::string ledger, as;
  CLI::App* const act_command =
      app.add_subcommand("act", "acts on the ledger of a rig under FLINTWEIR_TOKEN, until TERM");
  act_command->add_option("--ledger", ledger, "its address")->required();
  act_command->add_option("--as", as, "whose acts they are")->required();
  CLI::App* const leases_command =
      app.add_subcommand("leases", "nodes that hold a lease in turn, with faults between them, and a ledger");
  leases_command->add_option("--seeds", seeds, "a range A..B");
  leases_command->add_option("--only", only, "one kind of trouble");
  leases_command->add_flag("--real", run_options.real, "with processes of the real program");
  leases_command->add_option("--holders", run_options.holders, "that want it, in virtual time")
      ->check(CLI::Range(2u, 1000u));
  leases_command->add_option("--program", program, "the real program; without it the one beside this");
  leases_command->add_option("--jobs", run_options.jobs, "rigs at a time")->check(CLI::Range(1u, 64u));
  leases_command->add_option("--out", run_options.out, "folder for logs");
  CLI::App* const changes_command = app.add_subcommand(
      "changes", "changes of configuration carried through a fleet, with troubles between its nodes");
  ChangeExperimentPlan change_plan;
  changes_command->add_option("--seeds", seeds, "a range A..B");
  changes_command->add_option("--only", only, "one kind of trouble");
  changes_command->add_option("--nodes", change_plan.nodes, "of the fleet")->check(CLI::Range(3u, 2000u));
  changes_command->add_flag("--real", run_options.real, "with processes of the real program");
  changes_command->add_option("--program", program, "the real program; without it the one beside this");
  changes_command->add_option("--jobs", run_options.jobs, "rigs at a time")->check(CLI::Range(1u, 64u));
  changes_command->add_option("--out", run_options.out, "folder for logs");
  CLI::App* const in_process_command = app.add_subcommand(
      "hollow", "a fleet of hollow nodes on real datagrams, some real programs among them");
  InProcessFleetPlan in_process_plan;
  in_process_command->add_option("--members", in_process_plan.members, "in all")
      ->check(CLI::Range(30u, 1500u));
  in_process_command->add_option("--real", in_process_plan.processes, "of them real programs")
      ->check(CLI::Range(2u, 30u));
  in_process_command->add_option("--loss", in_process_plan.datagram_loss, "share of datagrams")
      ->check(CLI::Range(0.0, 0.9));
  in_process_command->add_option("--program", program, "the real program; without it the one beside this");
  in_process_command->add_option("--out", run_options.out, "folder for logs");
  CLI::App* const scale_command =
      app.add_subcommand("scale-node", "one real node under more and more open sessions");
  std::vector<unsigned> sizes{1000, 2000, 4000, 6000, 8000, 9500};
  scale_command->add_option("--sessions", sizes, "open at a time")
      ->delimiter(',')
      ->check(CLI::Range(10u, 9500u));
  scale_command->add_option("--program", program, "the real program; without it the one beside this");
  scale_command->add_option("--out", run_options.out, "folder for logs");
  CLI::App* const groups_command =
      app.add_subcommand("scale-groups", "the decision module alone with many groups, hosts and sessions");
  std::vector<unsigned> group_hosts{100, 250, 500, 1000, 2000}, group_sessions{2000, 10000, 20000, 44000};
  unsigned groups = 39000, group_nodes = 500;
  groups_command->add_option("--hosts", group_hosts, "listed")->delimiter(',')->check(CLI::Range(2u, 10000u));
  groups_command->add_option("--sessions", group_sessions, "held")
      ->delimiter(',')
      ->check(CLI::Range(100u, 200000u));
  groups_command->add_option("--groups", groups, "in all")->check(CLI::Range(1u, 1000000u));
  groups_command->add_option("--nodes", group_nodes, "of the fleet")->check(CLI::Range(1u, 10000u));
  CLI::App* const capacity_command =
      app.add_subcommand("capacity", "the tables of docs/CAPACITY.md, of measured slopes and a size");
  std::string slopes = "docs/capacity/slopes.toml", size_file = "docs/capacity/size.toml", page;
  capacity_command->add_option("--slopes", slopes, "what was measured, and the rows");
  capacity_command->add_option("--size", size_file, "the size to plan with");
  capacity_command->add_option("--page", page, "says whether that page holds these tables");
  CLI::App* const search_command =
      app.add_subcommand("search", "play the leases' decisions in every order, then in long walks by seed");
  std::uint64_t states = 300'000;
  search_command->add_option("--states", states, "told apart at most, for each beginning");
  search_command->add_option("--seeds", seeds, "walks, a range A..B")->default_str("1..2000");
  search_command->add_option("--jobs", run_options.jobs, "searches at a time")->check(CLI::Range(1u, 256u));

  CLI::App* const interleavings_command =
      app.add_subcommand("crossings", "one exchange cut after each byte, with each event there");
  interleavings_command->add_option("--only", only, "those whose description holds this text");
  interleavings_command->add_option("--jobs", run_options.jobs, "at a time")->check(CLI::Range(1u, 256u));

  CLI::App* const compare_command = app.add_subcommand("compare", "the same seeds, before and now");
  compare_command->add_option("FILE", file, "the experiment")->required();
  compare_command->add_option("--base", base, "an earlier flintweir-lab, a variant, or 'file' for none")
      ->required();
  compare_command->add_option("--variant", variant, "what is compared with it");
  compare_command->add_option("--seeds", seeds, "a range A..B")->default_str("1..20");
  compare_command->add_option("--jobs", run_options.jobs, "runs at a time")->check(CLI::Range(1u, 256u));

  CLI::App* const shrink_command =
      app.add_subcommand("shrink", "the fewest faults with which a run still fails");
  shrink_command->add_option("FILE", file, "the experiment")->required();
  shrink_command->add_option("--variant", variant, "one of its variants");
  shrink_command->add_option("--seed", seed, "the failing run's")->required();
  shrink_command->add_option("--jobs", run_options.jobs, "runs at a time")->check(CLI::Range(1u, 256u));

  CLI::App* const report_command =
      app.add_subcommand("report", "one HTML page about the results in a folder");
  report_command->add_option("DIR", folder, "as given to --out")->required();

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  try {
    if (*list_command) return list(folder);
    if (*act_command) return run_ledger_operations(ledger, as);
    if (*in_process_command || *scale_command) {
      run_options.program = program_command(program);
      return *in_process_command ? run_in_process_fleet_command(in_process_plan, run_options)
                                 : run_node_scaling(sizes, run_options);
    }
    if (*capacity_command) return capacity(slopes, size_file, page);
    if (*groups_command) return run_module_scaling(group_hosts, group_sessions, groups, group_nodes);
    if (*changes_command) {
      if (run_options.real) run_options.program = program_command(program);
      // A large fleet needs longer until every node has the complete view.
      change_plan.join_time =
          std::max<flintweir::Micros>(change_plan.join_time, change_plan.nodes * flintweir::Micros{20'000});
      return changes(parse_seeds(seeds), run_options, change_plan, only);
    }
    if (*leases_command) {
      if (run_options.real) run_options.program = program_command(program);
      return leases(parse_seeds(seeds), run_options, only);
    }
    if (*interleavings_command) return run_all_interleavings(only, run_options.jobs);
    if (*search_command)
      return search(states, parse_seeds(search_command->count("--seeds") ? seeds : "1..2000"),
                    run_options.jobs);
    if (*run_command) {
      if (run_options.real) run_options.program = program_command(program);
      if (!file.empty() && MembershipPlan::is_membership_experiment(file))
        return run_fleet(file, variant, parse_seeds(seeds), run_options, only);
      return run(file, variant, parse_seeds(seeds), run_options, alone, json);
    }
    if (*compare_command)
      return compare(file, variant, base, parse_seeds(compare_command->count("--seeds") ? seeds : "1..20"),
                     run_options.jobs);
    if (*shrink_command) return shrink_run(file, variant, seed, run_options.jobs);
    return report(folder);
  } catch (const InputError& e) {
    std::fprintf(stderr, "flintweir-lab: %s\n", e.what());
    return 2;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "flintweir-lab: %s\n", e.what());
    return 3;
  }
}
