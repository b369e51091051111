// Aggregated results of one experiment over many seeds, for tables, comparisons, reports and JSON files.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/runner.h"

namespace flintweir::lab {

class RunSet {
 public:
  RunSet() = default;
  RunSet(const Experiment& experiment, std::string title, std::uint64_t first, std::uint64_t last);

  void add(const RunResult& result);
  nlohmann::json to_json() const;
  static RunSet from_json(const nlohmann::json& json);  // throws nlohmann::json::exception

  bool broken() const { return violations_ > 0 || !failed_.empty(); }
  double figure(const std::string& name) const { return figures_.at(name); }
  // One value per seed, in the order of the runs.
  const std::vector<double>& per_seed(const std::string& name) const { return per_seed_.at(name); }
  double virtual_seconds() const { return virtual_seconds_; }
  double wall_seconds() const { return wall_seconds_; }

  struct ListedViolation {
    std::uint64_t seed;
    double at;
    std::string rule, session, what;
  };
  std::string experiment, about, title;
  std::uint64_t first_seed = 0, last_seed = 0, runs = 0;
  double lasts = 0;  // seconds
  std::vector<std::string> measures;
  // The first 100 violations; violations() counts all.
  std::vector<ListedViolation> first_violations;
  std::uint64_t violations() const { return violations_; }
  std::uint64_t checks() const { return checks_; }
  const std::string& failed() const { return failed_; }
  const std::string& hash() const { return hash_; }  // over the hashes of all event logs

  // By second, over all seeds: service is a share, the others are counts per run.
  std::vector<double> service, refused, moved, came;
  // Of the first run.
  std::vector<std::vector<double>> loads;  // by host, by second
  struct Mark {
    double at, until;
    std::string what;
  };
  std::vector<Mark> marks;
  std::vector<std::pair<double, double>> to_up;  // quantiles: share of the sessions, milliseconds

 private:
  void finish();

  Tally tally_;
  std::vector<Second> totals_by_second_;
  std::map<std::string, double> figures_;
  std::map<std::string, std::vector<double>> per_seed_;
  std::uint64_t violations_ = 0, checks_ = 0;
  double virtual_seconds_ = 0, wall_seconds_ = 0;
  std::uint64_t hash_value_ = 0;
  std::string hash_, failed_;
};

}  // namespace flintweir::lab
