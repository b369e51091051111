// A host, as a thing that carries load: what it answers, how long that takes, what it reports, and when it
// tips over. No I/O and no clock: the caller says the time.
#pragma once

#include <deque>
#include <map>
#include <random>

#include "lab/faults/plan.h"

namespace flintweir::lab {

class HostModel {
 public:
  enum class Answer { up, busy, err, nothing, reset };
  struct Verdict {
    Answer answer;
    Micros after;
  };
  struct Report {
    double load = 0, busy = 0;
    unsigned connections = 0;
  };

  // `capacity` in microseconds of work a second. `full_rate`: the load that comes a second when it is full
  // and warm.
  HostModel(const HostPlan& plan, const ColdPlan& cold, double capacity, double full_rate, double mean_load,
            std::uint64_t seed)
      : plan_(plan),
        cold_(cold),
        capacity_(capacity),
        full_rate_(full_rate),
        mean_load_(mean_load),
        chance_(static_cast<std::knuth_b::result_type>(seed | 1)) {}

  void start(Micros now, bool cold);
  void drain() { draining_ = true; }
  bool draining() const { return draining_; }
  bool overloaded() const { return tipped_; }
  bool is_cold(Micros now) const { return cold_start_ && now - started_ < cold_.warm_within; }
  Micros boot_time() const { return cold_start_ ? started_ : Micros{0}; }

  // Troubles, until taken back.
  void set_hanging(bool on) { hangs_ = on; }
  void set_half_dead(bool on) { half_dead_ = on; }
  void set_error_share(double share) { errs_ = share; }
  void set_reset_share(double share) { resets_ = share; }
  void set_speed(Micros now, double speed) {
    advance(now);
    speed_ = speed;
  }
  bool hanging() const { return hangs_ || tipped_; }
  bool serving() const { return !hangs_ && !half_dead_ && !tipped_; }

  // A session's first line has come, for a connection of this load. What it sends counts against a cold
  // host's budget whether or not it is taken.
  Verdict open(Micros now, double load);
  void opened(Micros now, double load, std::uint64_t group);
  void changed(Micros now, double by);
  void closed(Micros now, double load, std::uint64_t group);

  double utilization() const;  // load over what it can do now
  double present(Micros now) const;
  Micros line_takes(Micros now);  // from a client's line to what comes back
  const Report& report(Micros now);
  unsigned connections() const { return connections_; }
  // How much of what would tip it over has been sent in the last window; over one it tips.
  double pushed() const { return pushed_; }

 private:
  void advance(Micros now);
  double uniform() { return std::generate_canonical<double, 32>(chance_); }

  const HostPlan& plan_;
  const ColdPlan& cold_;
  double capacity_, full_rate_, mean_load_;
  std::knuth_b chance_;
  Micros started_{0}, at_{0}, reported_at_ = Micros::min();
  bool cold_start_ = false, draining_ = false, tipped_ = false, hangs_ = false, half_dead_ = false;
  double errs_ = 0, resets_ = 0, speed_ = 1, load_ = 0, waiting_ = 0, pushed_ = 0;
  unsigned connections_ = 0;
  std::map<std::uint64_t, unsigned> groups_;
  std::deque<std::pair<Micros, double>> sent_;
  Report report_;
};

}  // namespace flintweir::lab
