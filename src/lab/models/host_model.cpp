#include "lab/models/host_model.h"

#include <algorithm>

#include "numbers.h"

namespace flintweir::lab {

void HostModel::start(Micros now, bool cold) {
  started_ = at_ = now;
  cold_start_ = cold;
  draining_ = tipped_ = hangs_ = half_dead_ = false;
  errs_ = resets_ = load_ = waiting_ = pushed_ = 0;
  speed_ = 1;
  connections_ = 0;
  groups_.clear();
  sent_.clear();
  report_ = {};
  reported_at_ = Micros::min();
}

double HostModel::present(Micros now) const {
  const double warm =
      cold_start_ ? std::min(1.0, cold_.share + (1 - cold_.share) * ratio(now - started_, cold_.warm_within))
                  : 1;
  return capacity_ * warm * speed_;
}

double HostModel::utilization() const {
  return (load_ + plan_.group_cost * mean_load_ * static_cast<double>(groups_.size())) / present(at_);
}

// Work that is asked over what it can do piles up, and is done when less is asked.
void HostModel::advance(Micros now) {
  if (now <= at_) return;
  const double over = utilization() - 1;
  waiting_ = std::clamp(waiting_ + over * seconds(now - at_), 0.0, 5.0);
  at_ = now;
}

HostModel::Verdict HostModel::open(Micros now, double load) {
  advance(now);
  if (is_cold(now)) {
    while (!sent_.empty() && now - sent_.front().first > cold_.tip_after) sent_.pop_front();
    sent_.emplace_back(now, load);
    double sum = 0;
    for (const auto& [at, x] : sent_) sum += x;
    const double share = present(now) / (capacity_ * speed_);
    // One session alone, however heavy, is no push.
    const double budget = cold_.multiple * share * full_rate_ * seconds(cold_.tip_after) + mean_load_;
    pushed_ = sum / budget;
    if (pushed_ > 1 && sent_.size() > 1) tipped_ = true;
  }
  if (hanging()) return {Answer::nothing, Micros{0}};
  const Micros quick{plan_.answers[0] +
                     Micros{static_cast<std::int64_t>(
                         uniform() * static_cast<double>((plan_.answers[1] - plan_.answers[0]).count()))}};
  if (resets_ > 0 && uniform() < resets_) return {Answer::reset, quick};
  if (errs_ > 0 && uniform() < errs_) return {Answer::err, quick};
  if (draining_ || connections_ >= plan_.connections) return {Answer::busy, quick};
  return {Answer::up, quick + Micros{static_cast<std::int64_t>(waiting_ * 1e6)}};
}

void HostModel::opened(Micros now, double load, std::uint64_t group) {
  advance(now);
  load_ += load;
  ++connections_;
  if (group) ++groups_[group];
}

void HostModel::changed(Micros now, double by) {
  advance(now);
  load_ += by;
}

void HostModel::closed(Micros now, double load, std::uint64_t group) {
  advance(now);
  --connections_;
  load_ = connections_ ? load_ - load : 0;
  if (const auto it = groups_.find(group); it != groups_.end() && --it->second == 0) groups_.erase(it);
}

Micros HostModel::line_takes(Micros now) {
  advance(now);
  return Micros{static_cast<std::int64_t>(static_cast<double>(plan_.serves.count()) * (0.5 + uniform()) +
                                          waiting_ * 1e6)};
}

const HostModel::Report& HostModel::report(Micros now) {
  advance(now);
  if (reported_at_ == Micros::min() || now - reported_at_ >= plan_.refresh) {
    report_ = {utilization(), std::min(1.0, utilization()), connections_};
    reported_at_ = now;
  }
  return report_;
}

}  // namespace flintweir::lab
