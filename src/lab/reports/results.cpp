#include "lab/reports/results.h"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "numbers.h"

namespace flintweir::lab {
namespace {

constexpr std::size_t kMaxListedViolations = 100;
constexpr double kQuantiles[] = {0.01, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999};

std::string hex(std::uint64_t x) {
  char out[20];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(x));
  return out;
}

}  // namespace

RunSet::RunSet(const Experiment& e, std::string t, std::uint64_t first, std::uint64_t last)
    : experiment(e.name),
      about(e.about),
      title(std::move(t)),
      first_seed(first),
      last_seed(last),
      lasts(seconds(e.duration)),
      measures(e.measures) {
  finish();
}

void RunSet::add(const RunResult& result) {
  const Outcome& o = result.outcome;
  ++runs;
  wall_seconds_ += result.wall_seconds;
  virtual_seconds_ += lasts;
  if (!result.failed.empty() && failed_.empty())
    failed_ = "seed " + std::to_string(result.seed) + ": " + result.failed;
  tally_.add(o.tally);
  for (const std::string& name : figure_names()) per_seed_[name].push_back(*lab::figure(o.tally, name));
  hash_value_ = mix(hash_value_ * 31 + o.hash);
  violations_ += o.violations.size();
  checks_ += o.checks;
  for (const Violation& v : o.violations) {
    if (first_violations.size() < kMaxListedViolations)
      first_violations.push_back({result.seed, seconds(v.at), name_of(v.rule), hex(v.session.value), v.what});
  }
  if (totals_by_second_.size() < o.seconds.size()) totals_by_second_.resize(o.seconds.size());
  for (std::size_t i = 0; i < o.seconds.size(); ++i) {
    totals_by_second_[i].asked += o.seconds[i].asked;
    totals_by_second_[i].served += o.seconds[i].served;
    totals_by_second_[i].refused += o.seconds[i].refused;
    totals_by_second_[i].moved += o.seconds[i].moved;
    totals_by_second_[i].sessions += o.seconds[i].sessions;
  }
  if (runs == 1) {
    for (const Second& s : o.seconds) {
      if (loads.size() < s.loads.size()) loads.resize(s.loads.size());
      for (std::size_t h = 0; h < s.loads.size(); ++h) loads[h].push_back(s.loads[h]);
    }
    for (const lab::Mark& m : o.marks) marks.push_back({seconds(m.at), seconds(m.until), m.what});
  }
  finish();
}

void RunSet::finish() {
  for (const std::string& name : figure_names()) {
    figures_[name] = *lab::figure(tally_, name);
    per_seed_[name];
  }
  hash_ = hex(hash_value_);
  service.clear(), refused.clear(), moved.clear(), came.clear(), to_up.clear();
  const double n = static_cast<double>(std::max<std::uint64_t>(runs, 1));
  for (const Second& s : totals_by_second_) {
    service.push_back(s.asked > 0 ? s.served / s.asked : 1);
    refused.push_back(s.refused / n);
    moved.push_back(s.moved / n);
    came.push_back(s.sessions / n);
  }
  for (const double share : kQuantiles)
    to_up.emplace_back(share, static_cast<double>(tally_.to_up.quantile(share).count()) / 1000);
}

nlohmann::json RunSet::to_json() const {
  nlohmann::json out{{"experiment", experiment}, {"about", about},         {"title", title},
                     {"first_seed", first_seed}, {"last_seed", last_seed}, {"runs", runs},
                     {"lasts", lasts},           {"measures", measures},   {"violations", violations_},
                     {"checks", checks_},        {"took", wall_seconds_},  {"hash", hash_},
                     {"figures", figures_},      {"per_seed", per_seed_},  {"service", service},
                     {"refused", refused},       {"moved", moved},         {"came", came},
                     {"loads", loads},           {"to_up", to_up},         {"failed", failed_}};
  out["broken"] = nlohmann::json::array();
  for (const ListedViolation& b : first_violations)
    out["broken"].push_back(
        {{"seed", b.seed}, {"at", b.at}, {"rule", b.rule}, {"session", b.session}, {"what", b.what}});
  out["marks"] = nlohmann::json::array();
  for (const Mark& m : marks) out["marks"].push_back({{"at", m.at}, {"until", m.until}, {"what", m.what}});
  return out;
}

RunSet RunSet::from_json(const nlohmann::json& j) {
  RunSet out;
  j.at("experiment").get_to(out.experiment);
  j.at("about").get_to(out.about);
  j.at("title").get_to(out.title);
  j.at("first_seed").get_to(out.first_seed);
  j.at("last_seed").get_to(out.last_seed);
  j.at("runs").get_to(out.runs);
  j.at("lasts").get_to(out.lasts);
  j.at("measures").get_to(out.measures);
  j.at("violations").get_to(out.violations_);
  j.at("checks").get_to(out.checks_);
  j.at("took").get_to(out.wall_seconds_);
  j.at("hash").get_to(out.hash_);
  j.at("figures").get_to(out.figures_);
  j.at("per_seed").get_to(out.per_seed_);
  j.at("service").get_to(out.service);
  j.at("refused").get_to(out.refused);
  j.at("moved").get_to(out.moved);
  j.at("came").get_to(out.came);
  j.at("loads").get_to(out.loads);
  j.at("to_up").get_to(out.to_up);
  j.at("failed").get_to(out.failed_);
  for (const auto& b : j.at("broken"))
    out.first_violations.push_back({b.at("seed"), b.at("at"), b.at("rule"), b.at("session"), b.at("what")});
  for (const auto& m : j.at("marks")) out.marks.push_back({m.at("at"), m.at("until"), m.at("what")});
  out.virtual_seconds_ = out.lasts * static_cast<double>(out.runs);
  return out;
}

}  // namespace flintweir::lab
