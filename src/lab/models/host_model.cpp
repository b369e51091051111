#include "lab/models/host_model.h"

#include <algorithm>

#include "numbers.h"

namespace flintweir::lab {

void HostModel::start(Micros now, bool cold) {
  started_ = updated_at_ = now;
  cold_start_ = cold;
  draining_ = overloaded_ = hanging_ = half_dead_ = false;
  error_share_ = reset_share_ = load_ = backlog_seconds_ = cold_load_ratio_ = 0;
  speed_ = 1;
  connections_ = 0;
  sessions_by_group_.clear();
  recent_cold_load_.clear();
  report_ = {};
  reported_at_ = Micros::min();
}

double HostModel::current_capacity(Micros now) const {
  const double warm = cold_start_
                          ? std::min(1.0, cold_.initial_share + (1 - cold_.initial_share) *
                                                                    ratio(now - started_, cold_.warm_up))
                          : 1;
  return capacity_ * warm * speed_;
}

double HostModel::utilization() const {
  return (load_ + plan_.group_cost * mean_load_ * static_cast<double>(sessions_by_group_.size())) /
         current_capacity(updated_at_);
}

// Demand beyond the capacity builds up a backlog, which is worked off when demand is lower.
void HostModel::advance(Micros now) {
  if (now <= updated_at_) return;
  const double excess = utilization() - 1;
  backlog_seconds_ = std::clamp(backlog_seconds_ + excess * seconds(now - updated_at_), 0.0, 5.0);
  updated_at_ = now;
}

HostModel::Response HostModel::handle_request(Micros now, double load) {
  advance(now);
  if (is_cold(now)) {
    while (!recent_cold_load_.empty() && now - recent_cold_load_.front().first > cold_.overload_window)
      recent_cold_load_.pop_front();
    recent_cold_load_.emplace_back(now, load);
    double sum = 0;
    for (const auto& [at, dial_load] : recent_cold_load_) sum += dial_load;
    const double share = current_capacity(now) / (capacity_ * speed_);
    // A single session never overloads a host, however heavy it is.
    const double budget =
        cold_.overload_factor * share * full_rate_ * seconds(cold_.overload_window) + mean_load_;
    cold_load_ratio_ = sum / budget;
    if (cold_load_ratio_ > 1 && recent_cold_load_.size() > 1) overloaded_ = true;
  }
  if (hanging()) return {Answer::nothing, Micros{0}};
  const Micros delay{
      plan_.response_delay[0] +
      Micros{static_cast<std::int64_t>(
          uniform() * static_cast<double>((plan_.response_delay[1] - plan_.response_delay[0]).count()))}};
  if (reset_share_ > 0 && uniform() < reset_share_) return {Answer::reset, delay};
  if (error_share_ > 0 && uniform() < error_share_) return {Answer::err, delay};
  if (draining_ || connections_ >= plan_.max_connections) return {Answer::busy, delay};
  return {Answer::up, delay + Micros{static_cast<std::int64_t>(backlog_seconds_ * 1e6)}};
}

void HostModel::session_opened(Micros now, double load, std::uint64_t group) {
  advance(now);
  load_ += load;
  ++connections_;
  if (group) ++sessions_by_group_[group];
}

void HostModel::load_changed(Micros now, double difference) {
  advance(now);
  load_ += difference;
}

void HostModel::session_closed(Micros now, double load, std::uint64_t group) {
  advance(now);
  --connections_;
  load_ = connections_ ? load_ - load : 0;
  if (const auto it = sessions_by_group_.find(group); it != sessions_by_group_.end() && --it->second == 0)
    sessions_by_group_.erase(it);
}

Micros HostModel::line_service_time(Micros now) {
  advance(now);
  return Micros{static_cast<std::int64_t>(
      static_cast<double>(plan_.service_time.count()) * (0.5 + uniform()) + backlog_seconds_ * 1e6)};
}

const HostModel::Report& HostModel::report(Micros now) {
  advance(now);
  if (reported_at_ == Micros::min() || now - reported_at_ >= plan_.report_interval) {
    report_ = {utilization(), std::min(1.0, utilization()), connections_};
    reported_at_ = now;
  }
  return report_;
}

}  // namespace flintweir::lab
