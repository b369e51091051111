// The behaviour of one host under load: its answers and their delays, its load reports, and when a cold host
// becomes overloaded. Performs no I/O and reads no clock: the caller passes the time.
#pragma once

#include <deque>
#include <map>
#include <random>

#include "lab/faults/plan.h"

namespace flintweir::lab {

class HostModel {
 public:
  enum class Answer { up, busy, err, nothing, reset };
  struct Response {
    Answer answer;
    Micros delay;
  };
  struct Report {
    double load = 0;         // demand relative to the current capacity, may exceed 1
    double utilization = 0;  // the same, limited to 1
    unsigned connections = 0;
  };

  // `capacity` is in microseconds of work per second. `full_rate` is the load of new sessions per second that
  // a fully used, warm host receives.
  HostModel(const HostPlan& plan, const ColdPlan& cold, double capacity, double full_rate, double mean_load,
            std::uint64_t seed)
      : plan_(plan),
        cold_(cold),
        capacity_(capacity),
        full_rate_(full_rate),
        mean_load_(mean_load),
        random_(static_cast<std::knuth_b::result_type>(seed | 1)) {}

  // Starts the host without any sessions. `cold`: its capacity grows during the warm-up.
  void start(Micros now, bool cold);
  void drain() { draining_ = true; }
  bool draining() const { return draining_; }
  bool overloaded() const { return overloaded_; }
  bool is_cold(Micros now) const { return cold_start_ && now - started_ < cold_.warm_up; }
  // Zero for a host that was warm at its start.
  Micros boot_time() const { return cold_start_ ? started_ : Micros{0}; }

  // Faults, each in effect until it is taken back.
  void set_hanging(bool on) { hanging_ = on; }
  // A half-dead host answers requests but no lines of open sessions.
  void set_half_dead(bool on) { half_dead_ = on; }
  void set_error_share(double share) { error_share_ = share; }
  void set_reset_share(double share) { reset_share_ = share; }
  void set_speed(Micros now, double speed) {
    advance(now);
    speed_ = speed;
  }
  // True if the host answers nothing at all.
  bool hanging() const { return hanging_ || overloaded_; }
  bool serving() const { return !hanging_ && !half_dead_ && !overloaded_; }

  // A request for a session with this load has arrived. It counts against the budget of a cold host whether
  // or not it is accepted.
  Response handle_request(Micros now, double load);
  void session_opened(Micros now, double load, std::uint64_t group);
  void load_changed(Micros now, double difference);
  void session_closed(Micros now, double load, std::uint64_t group);

  // The load of the sessions and of the groups that they belong to, relative to the current capacity.
  double utilization() const;
  double current_capacity(Micros now) const;  // in microseconds of work per second
  Micros line_service_time(Micros now);       // from a line of a client to its reply
  const Report& report(Micros now);           // renewed at most once per refresh interval of the plan
  unsigned connections() const { return connections_; }
  // The load received in the last window relative to the budget of a cold host, which becomes overloaded
  // above 1.
  double cold_load_ratio() const { return cold_load_ratio_; }

 private:
  void advance(Micros now);
  double uniform() { return std::generate_canonical<double, 32>(random_); }

  const HostPlan& plan_;
  const ColdPlan& cold_;
  double capacity_, full_rate_, mean_load_;
  std::knuth_b random_;
  Micros started_{0}, updated_at_{0}, reported_at_ = Micros::min();
  bool cold_start_ = false, draining_ = false, overloaded_ = false, hanging_ = false, half_dead_ = false;
  double error_share_ = 0, reset_share_ = 0, speed_ = 1;
  double load_ = 0, backlog_seconds_ = 0, cold_load_ratio_ = 0;
  unsigned connections_ = 0;
  std::map<std::uint64_t, unsigned> sessions_by_group_;
  std::deque<std::pair<Micros, double>> recent_cold_load_;
  Report report_;
};

}  // namespace flintweir::lab
