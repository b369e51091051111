// The decision module: which host gets a session, and when to retry a dial, refuse a session, probe a host or
// move sessions. The interface, and how it is called, is in balance.h; docs/design.md gives the reasons.
#include "balance.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <utility>

#include "host.h"
#include "retry_budget.h"
#include "session.h"

namespace flintweir {
namespace {

using namespace std::chrono_literals;

// Parameters of the algorithm in docs/design.md.
constexpr Micros kProbeInterval = 1s;
constexpr Micros kRebalanceInterval = 10s;   // between moves while no host is overloaded
constexpr double kLoadWeight = 0.81 + 0.08;  // the second term is the weight of memory, which is not reported
constexpr double kBacklogWeight = 0.11;
constexpr double kSuspendThreshold = 0.8;
constexpr double kLightThreshold = 0.1;
// A host at this load gets no new sessions.
constexpr double kFullThreshold = kSuspendThreshold - kLightThreshold;
constexpr int kTicksPerProbe = 8;
constexpr Micros kReportLifetime = 2 * kProbeInterval;  // how long a load report counts as current

// The load of one host by its last two reports, and its forecast.
class LoadForecast {
 public:
  // `backlog` may have any unit, as it only counts relative to its peak, which is taken as `min_peak` at
  // least.
  void report(Micros now, double load, double backlog, double min_peak) {
    const double kept_share = at_ == kNever ? 0 : decay(now - at_, kRebalanceInterval);
    backlog_growth_ = at_ == kNever || now <= at_ ? 0 : (backlog - backlog_) / seconds(now - at_);
    peak_backlog_ = std::max({backlog, peak_backlog_ * kept_share, min_peak});
    load_ = load;
    backlog_ = backlog;
    at_ = now;
  }
  bool known() const { return at_ != kNever; }
  Micros at() const { return at_; }
  double reported_load() const { return load_; }
  // The weighted load L of docs/design.md for the given load, with the backlog extrapolated by `horizon`. The
  // backlog counts as a share of its recent peak.
  double weighted_load(double load, Micros horizon) const {
    const double backlog = std::max(0.0, backlog_ + backlog_growth_ * seconds(horizon));
    const double share = peak_backlog_ > 0 ? std::min(1.0, backlog / peak_backlog_) : 0;
    return kLoadWeight * load + kBacklogWeight * share;
  }

 private:
  Micros at_ = kNever;
  double load_ = 0, backlog_ = 0, backlog_growth_ = 0, peak_backlog_ = 0;
};

// Detects a host that has stopped answering, by the gaps between its answers so far.
class SilenceDetector {
 public:
  void heard(Micros now) { gaps_.add(now); }
  bool heard_since(Micros t) const { return gaps_.last() != kNever && gaps_.last() >= t; }
  // True if a gap as long as the present one would occur by chance only once in a hundred million.
  bool too_long(Micros now, Micros expected_gap) const {
    if (!gaps_.known()) return false;
    const double mean = std::max(gaps_.mean(), seconds(expected_gap));
    // Standard deviations above the mean, for normally distributed gaps.
    constexpr double kMaxDeviations = 5.612;
    return seconds(now - gaps_.last()) - mean > kMaxDeviations * std::max(gaps_.deviation(), mean / 4);
  }

 private:
  GapStatistics gaps_;
};

// The share of recent dials and probes from this node to one host that failed; a probe that takes longer than
// the message target has failed too. Detects a host that is bad as seen from this node, whatever the cause: a
// lossy or slow network path, or a host that hangs or fails intermittently. Load reports do not show this,
// since probes are few and cost the host little. After each bad period that follows another closely, the path
// takes longer to count as good again. A host that is slow from load alone may be reported as bad as well; it
// is also suspended for its load.
class PathQuality {
 public:
  void set_half_life(Micros half_life) {
    sent_.set_half_life(half_life);
    failed_.set_half_life(half_life);
  }
  // One dial or probe has ended.
  void record(Micros now, bool success) {
    sent_.add(now, 1);
    if (!success) failed_.add(now, 1);
    const double share = failed_.at(now) / (1 + sent_.at(now));
    if (!bad_ && share > kBadShare && failed_.at(now) > 1) {  // a single failure is no evidence
      recent_bad_periods_ = last_bad_at_ == kNever || now - last_bad_at_ > 2 * kRebalanceInterval
                                ? 0
                                : std::min(recent_bad_periods_ + 1, 3u);
      bad_ = true;
    } else if (bad_ && share < kBadShare / (2 << recent_bad_periods_)) {
      bad_ = false;
      last_bad_at_ = now;
    }
  }
  bool bad() const { return bad_; }
  // Well below the share of failures at which the path turns bad.
  bool clear(Micros now) const { return failed_.at(now) < kBadShare / 3 * (1 + sent_.at(now)); }

 private:
  static constexpr double kBadShare = 0.3;
  DecayingSum sent_{2 * kProbeInterval}, failed_{2 * kProbeInterval};
  bool bad_ = false;
  unsigned recent_bad_periods_ = 0;
  Micros last_bad_at_ = kNever;
};

// Limits what this node sends to a cold host to its part of what would overload the host.
class ColdStartLimiter {
 public:
  explicit ColdStartLimiter(ColdStartLimits limits) : limits_(limits) {}
  Micros window() const { return limits_.window; }
  // The share of its full capacity that a host of this age has.
  double capacity_share(Micros age) const {
    return std::clamp(limits_.initial_share + (1 - limits_.initial_share) * ratio(age, limits_.warm_up),
                      limits_.initial_share, 1.0);
  }
  bool is_cold(Micros now, Micros started) const {
    return started > Micros{0} && now - started < limits_.warm_up;
  }
  // The share of a host that new sessions may fill per second. `turnover`: the share of all load that ends
  // per second. A cold host is always sent enough to fill it within its warm-up time, even if connections
  // live much longer than that.
  double fill_rate(double turnover) const { return std::max(turnover, 1 / seconds(limits_.warm_up)); }
  // `rate`: the load that this node's part of the warm host takes per second when full. If the budget of a
  // window is less than the cost of one session, a random number `draw` in [0, 1), drawn once per window,
  // decides, so that the parts of all nodes still add up. Without this a host would stay empty until it is
  // warm in a fleet so large that the part of each node is less than one session.
  bool has_room(Micros now, Micros started, double rate, double cost, const SlidingSum& sent,
                double draw) const {
    const double budget = kBudgetShare * limits_.overload_factor * capacity_share(now - started) * rate *
                          seconds(limits_.window);
    const double before = sent.since(now - limits_.window);
    return before + cost <= budget || (before <= 0 && draw * cost <= kRandomBudgetShare * budget);
  }

 private:
  // Safety margins: the rate is estimated from few sessions, and random draws deviate from their mean.
  static constexpr double kBudgetShare = 0.75, kRandomBudgetShare = 0.67;
  ColdStartLimits limits_;
};

// Decides how often each host is probed: every kProbeInterval, or less often, so that probes cost only a
// small share of what this node's sessions earn. Many nodes that each probed many hosts every second would
// cost more than all sessions earn, and would load the hosts.
class ProbePacer {
 public:
  explicit ProbePacer(std::optional<double> price) : price_(price), sessions_(2 * kRebalanceInterval) {}
  bool allowed() const { return price_.has_value(); }
  void set_price(std::optional<double> price) { price_ = price; }
  void session_started(Micros now) { sessions_.add(now, 1); }
  // `since`: when counting of sessions began.
  Micros interval(Micros now, Micros since, double hosts) const {
    const double rate =
        1 / seconds(kRebalanceInterval) + sessions_.per_second(now, since, 2 * kProbeInterval);
    const double wanted = price_.value_or(0) * hosts / (kCostShare * rate);
    if (wanted < seconds(kReportLifetime)) return kProbeInterval;  // a slightly longer one saves little
    return std::min(Micros{std::llround(wanted * 1e6)}, 100 * kProbeInterval);
  }

 private:
  static constexpr double kCostShare = 0.02;  // of the service that this node's sessions get
  std::optional<double> price_;
  DecayingSum sessions_;
};

// Adaptive throttling. If most recent dials failed, whatever the host, their cause is shared by all hosts,
// and each further dial makes it worse: retries alone could keep such a fault going. While it lasts, about
// twice as many dials are made as are accepted, and a few more to notice when it is over.
class DialThrottle {
 public:
  void ended(Micros now, bool accepted) {
    ended_.add(now, 1);
    if (accepted) accepted_.add(now, 1);
  }
  // The probability with which a new dial should be rejected.
  double rejection_probability(Micros now) const {
    const double ended = ended_.at(now);
    return std::max(0.0, ended - kDialsPerAccepted * accepted_.at(now) - kIgnoredFailures) / (ended + 1);
  }

 private:
  static constexpr double kDialsPerAccepted = 2;
  static constexpr double kIgnoredFailures = 2;  // a few failures say nothing of a shared cause
  DecayingSum ended_{2 * kProbeInterval}, accepted_{2 * kProbeInterval};
};

struct Host : HostState {
  explicit Host(HostId id) : HostState(id, kProbeInterval) {}
  bool suspended = false;
  bool looks_unhealthy = false;    // when a host was last chosen
  bool probe_before_dial = false;  // sessions wait for a probe of it to end
  bool shedding_load = false;      // closed connections, and no report since then shows it below suspension
  LoadForecast forecast;
  SilenceDetector silence;
  PathQuality path;
  double probe_credit = 0;  // a probe is sent when it reaches one
  Micros moved_at = kNever, probe_requested_at{0};
  // The random number by which ColdStartLimiter::has_room() may exceed the budget, and when it was drawn.
  Micros draw_at = kNever;
  double draw = 0;
  Micros ejected_until = kNever, ejection_time{0};

  // Ejects the host for a time that doubles with each failure after the end of the last ejection. An accepted
  // dial does not reset the time, since connections may break soon after; only a period without failures
  // does. Returns true if the ejection time has reached its maximum.
  bool record_failure(Micros now) {
    if (now < ejected_until) return false;
    if (ejected_until != kNever && now - ejected_until > kRebalanceInterval) ejection_time = Micros{0};
    ejection_time = std::clamp(2 * ejection_time, kProbeInterval, 8 * kProbeInterval);
    ejected_until = now + ejection_time;
    return ejection_time == 8 * kProbeInterval;
  }
};

// What a session may still do once one of its dials may have run on a host, so that no session runs twice
// where that does harm.
class DialRules {
 public:
  DialRules(const Listener& listener, unsigned max_dials) : listener_(listener), max_dials_(max_dials) {}
  bool may_dial_again(const Session& session, Micros now) const {
    if (session.dials >= max_dials_ || now >= session.request.deadline) return false;
    if (!session.may_have_run || listener_.effect == Effect::repeatable) return true;
    return listener_.effect == Effect::referenced && now < session.first_run_at + listener_.dedup_window;
  }
  bool may_dial_host(const Session& session, const Host& host) const {
    if (!session.may_have_run || listener_.effect != Effect::referenced) return true;
    return listener_.dedup_scope == DedupScope::all ||
           (listener_.dedup_scope == DedupScope::zone && host.zone == session.first_run_zone) ||
           (listener_.dedup_scope == DedupScope::cell && host.cell == session.first_run_cell);
  }
  bool may_refuse(const Session& session) const {
    if (!session.may_have_run || listener_.effect == Effect::repeatable) return true;
    return listener_.effect == Effect::referenced && listener_.dedup_scope == DedupScope::all;
  }
  // The time limit of the next dial. It leaves time for another dial before the handshake target; the last
  // dial of a session gets all the time that is left. `factor` extends it when dials time out at one host
  // after another: the cause is then shared by all hosts, and more dials would make it worse.
  Micros time_limit(const Session& session, Micros now, unsigned factor, bool retry_allowed) const {
    const Micros left = session.request.deadline - now;
    return session.dials + 1 >= max_dials_ || !retry_allowed
               ? left
               : std::min(left, listener_.handshake_target / 2 * factor);
  }

 private:
  const Listener& listener_;
  unsigned max_dials_;
};

// Reasons to skip a host, as bits. If no host is free of reasons, they are ignored one by one from the
// lowest.
enum SkipReason : unsigned {
  above_mean_load = 1,
  other_zone = 2,
  not_group_host = 4,
  still_cold = 8,
  already_tried = 16,
  unhealthy = 32,
  excluded = 64  // never ignored
};

// Round robin over the hosts in the order of their ids.
class RoundRobin {
 public:
  explicit RoundRobin(std::uint64_t start) : next_(start) {}
  // The next host with no reason to skip it. Each further pass over the hosts ignores one reason more.
  Host* choose(SortedHosts<Host>& hosts, const std::vector<unsigned>& skip_reasons) {
    for (unsigned ignored = 0; ignored < excluded; ignored = 2 * ignored + 1) {
      for (std::size_t i = 0; i < hosts.size(); ++i) {
        const std::size_t at = (next_ + i) % hosts.size();
        if (skip_reasons[at] & ~ignored) continue;
        next_ = at + 1;
        return &hosts[at];
      }
    }
    return nullptr;
  }
  // The host just chosen stays the next in turn.
  void undo_choice() { --next_; }

 private:
  std::size_t next_;
};

class LoadTransfer {
 public:
  // The share of its own load that a node moves from the heavier of two hosts to the lighter one. Every node
  // that sees the pair moves the same share, and together they bring the heavier host down to the mean of the
  // two. Not more than the lighter host has room for, as sessions beyond that would be refused and moved
  // again and again; unless the heavier host is so overloaded that it serves no session in time.
  static double share(double heavy, double light) {
    const double target = std::max((heavy + light) / 2, kFullThreshold);
    return heavy > target ? std::min(heavy - target, std::max(kFullThreshold - light, heavy - 1)) / heavy : 0;
  }
};

enum class MoveReason { rebalance, relief, drain, heavy_session };  // why sessions are moved away from a host

class BalancerImpl final : public Balancer {
 public:
  BalancerImpl(BalancerDelegate& delegate, std::uint64_t seed, unsigned nodes, ZoneId zone,
               std::vector<Listener> listeners, DialLimits dials, ColdStartLimits cold, ListPolicy list,
               Prices prices)
      : delegate_(delegate),
        random_(static_cast<std::knuth_b::result_type>(seed ^ (seed >> 32))),
        nodes_(std::max(1u, nodes)),
        zone_(zone),
        listeners_(std::move(listeners)),
        message_target_(shortest_message_target(listeners_)),
        dial_limits_(dials),
        retry_budget_(dials.retry_budget),
        cold_limiter_(cold),
        ended_load_(4 * cold.warm_up),
        load_time_(4 * cold.warm_up),
        filled_time_(4 * cold.warm_up),
        list_policy_(list),
        crossing_price_(prices.zone_crossing),
        probe_pacer_(prices.probe),
        round_robin_(random_()),
        session_loads_(listeners_.size()) {}

  void set_time(Micros now) override {
    now_ = now;
    if (first_time_ != kNever) return;
    first_time_ = quiet_since_ = now;
    // The nodes share one list service. If many of them asked at the same time, most requests would fail.
    if (list_policy_.on_request)
      list_request_at_ = now_ + random_delay(std::min(list_policy_.poll_interval / 2, kTick * (nodes_ - 1)));
    delegate_.set_timer(random_delay(kTick), TimerId{0});
  }

  void set_node_count(unsigned nodes) override { nodes_ = std::max(1u, nodes); }

  void update_settings(std::vector<Listener> listeners, unsigned max_dials, Prices prices) override {
    listeners_ = std::move(listeners);
    dial_limits_.max_dials = max_dials;
    crossing_price_ = prices.zone_crossing;
    probe_pacer_.set_price(prices.probe);
  }

  SessionHandle start_session(SessId id, const SessionRequest& request) override {
    Session fresh(id, request, expected_load(request));
    fresh.wait_until = std::min(now_ + listeners_[request.listener.value].handshake_target, request.deadline);
    if (request.client)
      fresh.load = moved_client_loads_.find(*request.client, now_ - kRebalanceInterval).value_or(fresh.load);
    const SlabKey key = sessions_.add(fresh);
    retry_budget_.session_started(now_);
    // Retries and reconnects of clients would make a retry storm look like more sessions.
    if (!request.is_reconnect && !request.is_retry) probe_pacer_.session_started(now_);
    place_session(key, *sessions_.find(key));
    return {this, key};
  }

  SessionHandle adopt_session(SessId id, const SessionRequest& request, HostId host) override {
    Session session(id, request, expected_load(request));
    session.dial_started(host, now_);
    const SlabKey key = sessions_.add(session);
    open_session(*sessions_.find(key));
    return {this, key};
  }

  bool live(SlabKey key) const override { return sessions_.has(key); }

  void dial_accepted(SlabKey key, DialNo dial) override {
    Session* session = sessions_.find(key);
    if (!session || !is_current(*session, dial)) return;
    if (Host* host = hosts_.find(session->host)) {
      --host->dials;
      host->silence.heard(now_);
      host->path.record(now_, true);
    }
    time_limit_factor_ = std::max(1u, time_limit_factor_ / 2);
    throttle_.ended(now_, true);
    if (session->state == SessionState::dialing) open_session(*session);
  }

  void dial_ended(SlabKey key, DialNo dial, DialOutcome outcome, bool over) override {
    Session* session = sessions_.find(key);
    if (!session || !is_current(*session, dial)) return;
    session->dial_in_progress = false;
    Host* host = hosts_.find(session->host);
    if (session->state == SessionState::open) {
      if (host) host->connection_closed(session->load, session->request.group);
      if (!session->moved && outcome != DialOutcome::connection_lost) ended_load_.add(now_, session->load);
      // A lost connection is a failure of its host, unless the host is draining or removed. A host that sheds
      // load may report a low load just after: it gets no session until a report shows it below suspension.
      if (host && host->usable() && outcome == DialOutcome::connection_lost) {
        eject(*host);
        // Without probes no report can come, and the ejection has to do.
        host->shedding_load = probe_pacer_.allowed();
      }
      sessions_.release(key);
      return;
    }
    if (host) {
      --host->dials;
      host->recent_load.add(now_, -session->charged_load);
      if (outcome == DialOutcome::completed)
        host->silence.heard(now_);
      else if (outcome != DialOutcome::cancelled && outcome != DialOutcome::not_sent &&
               !(outcome == DialOutcome::timed_out && time_limit_factor_ > 1)) {
        eject(*host);  // not if dials to other hosts time out as well: then the cause is not this host
        if (outcome == DialOutcome::timed_out || outcome == DialOutcome::connect_failed)
          host->path.record(now_, false);
        check_hosts_to_leave_ = check_hosts_to_leave_ || host->path.bad();
      }
    }
    if (outcome == DialOutcome::timed_out || outcome == DialOutcome::error_reply)
      throttle_.ended(now_, false);
    if (outcome == DialOutcome::timed_out)
      time_limit_factor_ = std::min(2 * time_limit_factor_, kMaxTimeLimitFactor);
    const bool known_not_run = outcome == DialOutcome::rejected || outcome == DialOutcome::connect_failed ||
                               outcome == DialOutcome::not_sent;
    if (!known_not_run)
      session->record_possible_run(host ? host->zone : ZoneId{}, host ? host->cell : CellId{});
    if (over || session->state == SessionState::over) return sessions_.release(key);
    place_session(key, *session);
  }

  void client_left(SlabKey key) override {
    Session* session = sessions_.find(key);
    if (!session || session->state == SessionState::open) return;
    session->state = SessionState::over;
    if (!session->dial_in_progress) sessions_.release(key);
  }

  void set_load(SlabKey key, double load) override {
    Session* session = sessions_.find(key);
    if (!session || session->state != SessionState::open) return;
    if (Host* host = hosts_.find(session->host)) host->own_load += load - session->load;
    session->load = load;
    session_loads_[session->request.listener.value].add(load, kOldLoadWeight);
    session_load_known_ = true;
  }

  // A backlog delays the messages of a host long after its reported load has fallen.
  void set_message_delay(SlabKey key, Micros delay) override {
    Session* session = sessions_.find(key);
    Host* host = session && session->state == SessionState::open ? hosts_.find(session->host) : nullptr;
    if (!host) return;
    host->message_delay = delay;
    host->message_delay_at = now_;
    update_suspended(*host);
  }

  void timer_expired(TimerId timer) override {
    if (timer.value == 0) return tick();
    const SlabKey key = SlabKey::unpacked(timer.value);
    Session* session = sessions_.find(key);
    if (!session) return;
    session->timer_set = false;
    if (session->state == SessionState::waiting) place_session(key, *session);
  }

  void probe_ended(HostId id, DialOutcome outcome, Micros took, const LoadReport& report) override {
    Host* host = hosts_.find(id);
    if (!host) return;
    const bool answered = outcome == DialOutcome::completed;
    // An error or a rejection is no failure of the path: an answer has come.
    if (outcome != DialOutcome::error_reply && outcome != DialOutcome::rejected)
      host->path.record(now_, answered && (message_target_ == Micros{0} || took <= message_target_) &&
                                  report.load.value_or(0) < kCrippledLoad);
    check_hosts_to_leave_ = check_hosts_to_leave_ || host->path.bad();
    if (answered)
      record_report(*host, report);  // after a failed probe the host stays suspended or not, as it was
    if (!std::exchange(host->probe_before_dial, false)) return;
    probe_waiters_.clear();
    sessions_.for_each([&](SlabKey key, const Session& session) {
      if (session.state == SessionState::waiting && session.host == id) probe_waiters_.push_back(key);
    });
    for (const SlabKey key : probe_waiters_)
      if (Session* session = sessions_.find(key)) place_session(key, *session);
  }

  void begin_list(bool complete) override {
    list_complete_ = complete;
    if (!complete) return;
    for (Host& host : hosts_) host.listed = false;
  }

  void list_host(HostId id, ZoneId zone, CellId cell, HostStatus status, double weight,
                 Micros started) override {
    Host* host = hosts_.find(id);
    if (!host) {
      if (status == HostStatus::removed) return;
      host = &hosts_.add(Host(id));
      host->probe_credit = std::generate_canonical<double, 32>(random_);
    } else if (started > host->started) {
      // After a restart nothing known of the host holds any more.
      host->forecast = {};
      host->silence = {};
      host->path = {};
      host->suspended = host->shedding_load = false;
      host->ejected_until = host->message_delay_at = kNever;
    }
    check_hosts_to_leave_ = check_hosts_to_leave_ || status == HostStatus::draining;
    // Weights that fall as hosts fill are not used as capacities: an empty host would seem many times larger
    // than others like it, and so would its budget while it is cold.
    host->update(zone, cell, status, list_policy_.weights_are_capacities ? weight : 1, started, now_,
                 list_policy_.only_draining_binds);
  }

  void end_list() override {
    list_retry_delay_ = kProbeInterval;
    list_stale_ = false;
    if (std::exchange(list_complete_, false))
      for (Host& host : hosts_)
        if (!host.listed) host.mark_unlisted(now_, list_policy_.only_draining_binds);
    hosts_.erase_if([&](const Host& host) {
      if (host.own_connections || host.dials || host.unlisted_since == kNever) return false;
      // If the list may be wrong, a host that it does not name may be named again, also one that has drained.
      const bool over = host.unlisted() ? !worth_probing(host) : now_ - host.unlisted_since >= forget_delay();
      if (over) delegate_.forget_host(host.id);
      return over;
    });
  }

  // Many nodes may get no list at the same time. Each waits for a random time that grows with each failure,
  // but stays well below the poll interval.
  void list_failed() override {
    delegate_.log("host list request failed; retrying after a random delay");
    list_request_at_ = now_ + list_retry_delay_ / 2 + random_delay(list_retry_delay_);
    list_retry_delay_ =
        std::min(2 * list_retry_delay_, std::max(kProbeInterval, list_policy_.poll_interval / 4));
  }

  // Hosts may be draining that this node has not heard of. Sessions wait as they do when no host is
  // available.
  void list_stale() override {
    delegate_.log("host list is stale; dialling no host until a new list arrives");
    list_stale_ = true;
  }
  void list_usable() override { list_stale_ = false; }
  bool may_dial(HostId id) override {
    const Host* host = hosts_.find(id);
    return host && host->usable() && !list_stale_;
  }

 private:
  static constexpr Micros kTick = kProbeInterval / kTicksPerProbe;
  static constexpr double kOldLoadWeight = 0.98;  // in the mean load of sessions, against a new value

  Micros forget_delay() const {
    return list_policy_.only_draining_binds ? 10 * kRebalanceInterval : Micros{0};
  }
  // A host that is not on the list is used only while it is seen alive; after a time without an answer it is
  // no longer probed.
  bool worth_probing(const Host& host) const {
    return !host.unlisted() || host.silence.heard_since(now_ - 2 * kRebalanceInterval) ||
           now_ - host.unlisted_since < 2 * kRebalanceInterval;
  }
  bool seen_alive(const Host& host) const {
    if (!host.unlisted()) return true;
    return probe_pacer_.allowed() ? host.silence.heard_since(now_ - probe_interval(host) - kReportLifetime)
                                  : host.own_connections > 0;
  }

  Micros random_delay(Micros max) {
    return Micros{std::uniform_int_distribution<std::int64_t>(0, max.count())(random_)};
  }

  static bool is_current(const Session& session, DialNo dial) {
    return session.dial_in_progress && dial.value + 1 == session.dials;
  }

  // The mean load of sessions at this listener; if none is known, that of the other listeners, else what the
  // client announced.
  double expected_load(const SessionRequest& request) const {
    double sum = 0, known = 0;
    for (const DecayingMean& mean : session_loads_) {
      sum += mean.value_or(0);
      known += mean.known() ? 1 : 0;
    }
    return session_loads_[request.listener.value].value_or(known > 0 ? sum / known
                                                                     : request.expected_load.value_or(1));
  }

  void record_report(Host& host, const LoadReport& report) {
    host.silence.heard(now_);
    const std::optional<double> load = report.load ? report.load : report.cpu_usage;
    if (!load) return;
    // If the host reports no backlog, its load is extrapolated instead, relative to its capacity.
    const std::optional<double> backlog = report.backlog ? report.backlog : report.queued_sessions;
    host.forecast.report(now_, *load, backlog.value_or(*load), backlog ? 0 : 1);
    update_suspended(host);
  }

  void open_session(Session& session) {
    session.state = SessionState::open;
    session.may_have_run = true;
    if (Host* host = hosts_.find(session.host)) host->connection_opened(session.load, session.request.group);
  }

  // The reported load, plus what this node has sent to the host since, because reports arrive late.
  double estimated_load(const Host& host) const {
    return forecast_load(host, Micros{0},
                         host_load_per_session_load_ / host.weight * host.recent_load.at(now_));
  }
  double forecast_load(const Host& host, Micros horizon, double unreported = 0) const {
    // A host without a report counts as having room: reports of a few full hosts must not exclude those that
    // have not been probed yet.
    if (!host.forecast.known() && mean_known_)
      return std::min(mean_load_, kFullThreshold - kLightThreshold) + unreported;
    if (!host.forecast.known())
      return mean_connections_ > 0 ? host.own_connections / mean_connections_ / 2 : 0;
    // The work that delays messages has to be done in addition to the offered load. No measurement for a
    // while means that little is waiting.
    const bool measured = host.message_delay_at != kNever && now_ - host.message_delay_at < kReportLifetime;
    const double waiting = measured ? ratio(host.message_delay, kReportLifetime) : 0;
    return host.forecast.weighted_load(host.forecast.reported_load() + unreported + waiting, horizon);
  }

  // Updates the means over the usable hosts: for comparison, and as estimates for hosts without a report.
  void update_means() {
    double load = 0, known = 0, connections = 0, usable = 0, own_load = 0, total_load = 0, groups = 0,
           reported_own_load = 0, unreported = 0;
    filled_hosts_ = 0;
    for (const Host& host : hosts_) {
      if (!host.usable()) continue;
      const bool cold = cold_limiter_.is_cold(now_, host.started);
      usable += 1;
      connections += host.own_connections;
      groups += static_cast<double>(host.groups.size());
      own_load += host.own_load;
      if (!host.forecast.known()) {
        unreported += cold ? 0 : 1;  // a cold host counts as empty
        continue;
      }
      known += 1;
      load += estimated_load(host);
      total_load += host.forecast.reported_load() * host.weight;
      reported_own_load += host.own_load - host.recent_load.at(now_);
      filled_hosts_ += host.forecast.reported_load() * host.weight *
                       (cold ? cold_limiter_.capacity_share(now_ - host.started) : 1);
    }
    // This node's part of the load that a full host of weight 1 takes per second: the share of a host that
    // fills per second, times this node's part of the load that fills hosts. Both are means over a long time,
    // since one of many nodes has almost no sessions at most moments. Neither rises in a burst of sessions,
    // while their loads still build up, or when clients of another node come to this one; and the parts of
    // all nodes add up to one.
    if (known > 0) filled_hosts_ *= (known + unreported) / known;
    const double load_seconds = load_time_.at(now_), filled_seconds = filled_time_.at(now_);
    if (filled_seconds > 0)
      fill_rate_per_weight_ =
          load_seconds > 0
              ? cold_limiter_.fill_rate(ended_load_.at(now_) / load_seconds) * load_seconds / filled_seconds
              : 0;
    mean_known_ = known > 0;
    mean_load_ = known > 0 ? load / known : 0;
    mean_connections_ = usable > 0 ? connections / usable : 0;
    groups_visible_ = connections >= kMinConnectionsPerGroup * groups;
    if (own_load <= 0) return;
    mean_session_load_ = own_load / connections;
    // The host load caused by a unit of session load is estimated from this node's part of the reported
    // loads. It is limited, as a node with few sessions, for example after a restart, must not take each for
    // a large part of a host. While sessions are refused it is multiplied by the number of nodes: every node
    // has sessions waiting, and all of them fill a host as soon as it has room. The limit itself is used
    // while reports do not show the sessions yet, as after a restart of all nodes; else sessions would seem
    // to cause no load.
    const double limit = kLightThreshold / mean_session_load_;
    const bool sessions_reported = known < 1 || total_load > 0 || reported_own_load > own_load / 2;
    const double estimate = sessions_reported ? std::min(total_load / (nodes_ * own_load), limit) : limit;
    host_load_per_session_load_ = std::min((fleet_full() ? nodes_ : 1) * estimate, 2 * limit);
    // A host has the capacity of one core at least. Otherwise a node that holds one or two of all sessions of
    // the fleet would take each for a large part of a host, and the hosts that it sends them to for full.
    if (session_load_known_)
      host_load_per_session_load_ = std::min(host_load_per_session_load_, kMaxHostLoadPerSessionLoad);
  }

  void eject(Host& host) {
    if (host.record_failure(now_))
      delegate_.log("host keeps failing; ejected for 8 probe intervals", host.id);
  }

  void update_suspended(Host& host) {
    host.suspended = forecast_load(host, kProbeInterval) >= kSuspendThreshold;
    host.shedding_load = host.shedding_load && host.suspended;
  }

  Host* choose(const Session& session, const DialRules& rules) {
    if (list_stale_) return nullptr;
    update_means();
    int unhealthy_surplus = 0;
    bool group_has_host = false;
    for (Host& host : hosts_) {
      if (!host.usable()) continue;
      host.looks_unhealthy = is_unhealthy(host);
      unhealthy_surplus += host.looks_unhealthy ? 1 : -1;
      group_has_host = group_has_host || (!host.looks_unhealthy && host.has_group(session.request.group));
    }
    // If most hosts look unhealthy, the judgement itself is doubtful, and they may be used. Otherwise an
    // unhealthy host is not used even if all others are full.
    const bool before = std::exchange(health_suspect_, unhealthy_surplus > 0);
    if (health_suspect_ && !before)
      delegate_.log("most hosts look unhealthy; ignoring health when choosing a host");
    skip_reasons_.clear();
    for (Host& host : hosts_) skip_reasons_.push_back(skip_reasons(host, session, rules, group_has_host));
    if (session.request.group) prefer_group_hosts(*session.request.group);
    return round_robin_.choose(hosts_, skip_reasons_);
  }

  bool is_unhealthy(const Host& host) const {
    return now_ < host.ejected_until || host.path.bad() ||
           host.silence.too_long(now_, probe_interval(host)) || !seen_alive(host);
  }
  // A session costs a cold host the mean load at least, because setting it up is work as well. Otherwise many
  // light sessions could be sent to it at once.
  double cold_cost(const Session& session) const { return std::max(session.load, mean_session_load_); }

  static bool is_full(const Host& host, double load) {
    return host.shedding_load || host.suspended || load >= kFullThreshold;
  }

  unsigned skip_reasons(Host& host, const Session& session, const DialRules& rules, bool group_has_host) {
    if (!host.usable() || !rules.may_dial_host(session, host)) return excluded;
    unsigned skip = 0;
    if (cold_limiter_.is_cold(now_, host.started)) {
      // A node that has just started does not know what it sent before its restart.
      if (now_ - first_time_ < cold_limiter_.window()) return excluded;
      if (host.draw_at == kNever || now_ - host.draw_at >= cold_limiter_.window()) {
        host.draw_at = now_;
        host.draw = std::generate_canonical<double, 32>(random_);
      }
      if (!cold_limiter_.has_room(now_, host.started, fill_rate_per_weight_ * host.weight, cold_cost(session),
                                  host.sent_while_cold, host.draw))
        return excluded;
      const double warm = cold_limiter_.capacity_share(now_ - host.started);
      if (std::generate_canonical<double, 32>(random_) > warm) skip |= still_cold;
    }
    // The cost of a further host for the group counts only if the group has one: it must start somewhere.
    const double load =
        estimated_load(host) +
        (group_has_host ? group_cost(host, session) * host_load_per_session_load_ / host.weight : 0);
    // Loads vary. Near its capacity a host serves few sessions in time, and beyond it none: it is better to
    // refuse a session.
    if (is_full(host, load)) return excluded;
    if (load > kAboveMeanFactor * mean_load_) skip |= above_mean_load;
    if (host.zone != zone_ && crossing_price_ > 0) skip |= other_zone;
    if (session.has_tried(host.id)) skip |= already_tried;
    if (host.looks_unhealthy) skip |= health_suspect_ ? unhealthy : excluded;
    return skip >= (session.dials > 0 ? already_tried : excluded) ? unsigned{excluded} : skip;
  }

  // The load of serving a group on one more host. It is not reported, and taken to be that of a few sessions.
  double group_cost(const Host& host, const Session& session) const {
    return session.request.group && !host.has_group(session.request.group)
               ? std::min(kGroupCostPerNode * nodes_, kMaxGroupCost) * mean_session_load_
               : 0;
  }

  // Serving a group costs each host that has any of its sessions. The group's sessions therefore skip the
  // other hosts as long as a host of the group suits as well as any. A group without such a host starts at
  // one that every node derives alike from ids, so that it does not spread over as many hosts as there are
  // nodes.
  void prefer_group_hosts(GroupId group) {
    // If zone crossing is expensive and the fleet has room, a further host in this zone costs less than
    // crossing.
    const unsigned ignored = mean_load_ < kExpensiveCrossingFactor * crossing_price_
                                 ? unsigned{above_mean_load}
                                 : above_mean_load | other_zone;
    const unsigned ignored_for_home = ignored & other_zone;
    unsigned best = excluded, best_for_home = excluded;
    for (const unsigned reasons : skip_reasons_) {
      best = std::min(best, reasons & ~ignored);
      best_for_home = std::min(best_for_home, reasons & ~ignored_for_home);
    }
    if (best >= excluded) return;
    ranks_.clear();
    bool has_host = false;
    double home_rank = 0, group_connections = 0, connections = kPriorConnections;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      // Hosts with a bad path get no rank: a group whose best hosts are all bad from here would find no host.
      const bool ranked = hosts_[i].usable() && (health_suspect_ || !hosts_[i].path.bad());
      ranks_.push_back(ranked ? rank(group, hosts_[i]) : 0);
      group_connections += hosts_[i].groups.count(group);
      connections += hosts_[i].own_connections;
      has_host = has_host ||
                 (groups_visible_ && (skip_reasons_[i] & ~ignored) == best && hosts_[i].has_group(group));
      if ((skip_reasons_[i] & ~ignored_for_home) == best_for_home) home_rank = std::max(home_rank, ranks_[i]);
    }
    const bool room_is_sure = mean_known_ && mean_load_ < kFullThreshold - kLightThreshold;
    const double min_rank = room_is_sure ? 0 : rank_limit(group_connections / connections);
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const Host& host = hosts_[i];
      if (has_host ? !host.has_group(group) : ranks_[i] != home_rank) skip_reasons_[i] |= not_group_host;
      if (ranks_[i] <= min_rank && !host.has_group(group) && !cold_limiter_.is_cold(now_, host.started))
        skip_reasons_[i] |= excluded;
    }
  }

  // If room is short, or no report tells, a group may use only the hosts that rank above this limit: three,
  // and more in proportion to its share of the sessions. Otherwise each session that finds the group's hosts
  // full would add a host to the group, until the cost of its groups fills the fleet. Cold hosts are not
  // counted and may take any group: after a release half of a fleet is cold, and has all the room.
  double rank_limit(double session_share) {
    sorted_ranks_.clear();
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      if (!cold_limiter_.is_cold(now_, hosts_[i].started)) sorted_ranks_.push_back(ranks_[i]);
    // More hosts are allowed the longer no session at all has been placed.
    const double rounds =
        fleet_full() ? 1 + std::floor(ratio(now_ - nothing_placed_since_, kReportLifetime)) : 1;
    const double allowed =
        rounds * kMinGroupHosts + std::ceil(session_share * static_cast<double>(sorted_ranks_.size()));
    if (allowed >= static_cast<double>(sorted_ranks_.size())) return 0;
    const auto last = sorted_ranks_.begin() + static_cast<std::ptrdiff_t>(allowed);
    std::nth_element(sorted_ranks_.begin(), last, sorted_ranks_.end(), std::greater<>());
    return *last;
  }

  // How well a host suits a group: a weighted rendezvous hash, and so the same at every node. A host ranks
  // first for a share of the groups that is proportional to its weight.
  static double rank(GroupId group, const Host& host) {
    const double uniform =
        std::ldexp(static_cast<double>(mix(group.value ^ mix(host.id.value)) >> 11) + 0.5, -53);
    return -host.weight / std::log(uniform);
  }

  void place_session(SlabKey key, Session& session) {
    const DialRules rules(listeners_[session.request.listener.value], dial_limits_.max_dials);
    session.state = SessionState::waiting;
    // If no retry is allowed, the session ends now: waiting for one would only delay the answer.
    if (!rules.may_dial_again(session, now_))
      return give_up(key, session, rules, RefusalReason::no_dials_left);
    if (session.dials > 0 && !retry_budget_.allows_retry(now_))
      return give_up(key, session, rules, RefusalReason::no_budget_left);
    if (fleet_full() && is_heavy(session)) return give_up(key, session, rules, RefusalReason::fleet_full);
    const double rejection_probability = throttle_.rejection_probability(now_);
    if (rejection_probability > 0 && rules.may_refuse(session) &&
        std::generate_canonical<double, 32>(random_) < rejection_probability)
      return give_up(key, session, rules, RefusalReason::throttled);
    Host* host = choose(session, rules);
    if (!host) {
      const bool all_full = !list_stale_ && std::any_of(hosts_.begin(), hosts_.end(), [&](const Host& x) {
        return x.usable() && is_full(x, estimated_load(x));
      });
      if (all_full && mean_load_ >= kFullThreshold - kLightThreshold) {
        if (!fleet_full()) {
          delegate_.log("no host has room; refusing sessions");
          nothing_placed_since_ = now_;
        }
        fleet_full_at_ = now_;
      }
      if (now_ >= session.wait_until || all_full || session.dials > 0) {
        const RefusalReason no_choice = all_full ? RefusalReason::fleet_full : RefusalReason::no_host;
        return give_up(key, session, rules, list_stale_ ? RefusalReason::list_stale : no_choice);
      }
      return wait(key, session);
    }
    if (needs_probe(*host, session)) {
      round_robin_.undo_choice();
      session.host = host->id;
      if (!std::exchange(host->probe_before_dial, true)) delegate_.probe(host->id);
      host->probe_requested_at = now_;
      return wait(key, session);
    }
    if (cold_limiter_.is_cold(now_, host->started))
      host->sent_while_cold.add(now_, cold_cost(session), now_ - cold_limiter_.window());
    nothing_placed_since_ = now_;
    if (session.dials > 0) retry_budget_.record_retry(now_);
    // If no retry is left after it, this dial gets all the time that is left.
    const Micros limit =
        rules.time_limit(session, now_, time_limit_factor_, retry_budget_.allows_retry(now_));
    session.dial_started(host->id, now_);
    ++host->dials;
    session.charged_load = session.load + group_cost(*host, session);
    host->recent_load.add(now_, session.charged_load);
    delegate_.dial(session.id, host->id, limit);
  }

  static bool is_used(const Host& host) { return host.own_connections || host.dials; }
  Micros probe_interval(const Host& host) const {
    return is_used(host) ? used_host_interval_ : idle_host_interval_;
  }

  void wait(SlabKey key, Session& session) {
    if (!std::exchange(session.timer_set, true))
      delegate_.set_timer(std::min(kTick, session.wait_until - now_), TimerId{key.packed()});
  }

  // If probes are infrequent, a host is probed before it is dialled unless its report is current. Otherwise
  // sessions would be sent to full hosts that the node knows nothing about. A session waits for this only
  // during the first quarter of its handshake target.
  bool needs_probe(const Host& host, const Session& session) const {
    if (probe_interval_ <= kReportLifetime) return false;
    if (session.wait_until - now_ < listeners_[session.request.listener.value].handshake_target * 3 / 4)
      return false;
    return host.probe_before_dial ||
           now_ - std::max(host.forecast.at(), host.probe_requested_at) > kReportLifetime;
  }

  // Whether no host had room recently.
  bool fleet_full() const { return fleet_full_at_ != kNever && now_ - fleet_full_at_ < 2 * kProbeInterval; }
  bool is_heavy(const Session& session) const {
    return session.load > kHeavyFactor * expected_load(session.request);
  }

  // While sessions are refused, a session that is much heavier than usual takes the room of several.
  void move_heavy_sessions() {
    if (!fleet_full()) return;
    for (Host& host : hosts_)
      if (host.usable() && estimated_load(host) >= kFullThreshold - kLightThreshold)
        move_sessions(host, host.own_load * kLightThreshold, MoveReason::heavy_session);
  }

  void give_up(SlabKey key, Session& session, const DialRules& rules, RefusalReason why) {
    if (rules.may_refuse(session))
      delegate_.refuse(session.id, std::min(dial_limits_.max_retry_after, random_delay(kProbeInterval)), why);
    else
      delegate_.tear_down(session.id, why);
    sessions_.release(key);
  }

  void tick() {
    delegate_.set_timer(kTick, TimerId{0});
    if (list_request_at_ != kNever && now_ >= list_request_at_) {
      list_request_at_ = kNever;
      delegate_.watch_list();
    }
    probe_interval_ = used_host_interval_ = idle_host_interval_ =
        probe_pacer_.interval(now_, first_time_, static_cast<double>(hosts_.size()));
    if (probe_interval_ > kReportLifetime) {
      // For the same total price, hosts with sessions of this node are probed more often. Otherwise a host
      // stays overloaded when many nodes have a session there and none of them probes it in time.
      const double weighted_hosts =
          used_hosts_ + kIdleProbeRate * (static_cast<double>(hosts_.size()) - used_hosts_);
      used_host_interval_ =
          std::max(kReportLifetime, probe_pacer_.interval(now_, first_time_, weighted_hosts));
      idle_host_interval_ =
          Micros{std::llround(static_cast<double>(used_host_interval_.count()) / kIdleProbeRate)};
    }
    filled_time_.add(now_, filled_hosts_ * seconds(kTick));
    // If probes are infrequent, each tick looks at a part of the hosts only, and all are looked at within
    // kProbeInterval. One of many nodes would otherwise spend its time on a large fleet of which it uses
    // almost nothing.
    const unsigned stride = probe_interval_ > kReportLifetime ? kTicksPerProbe : 1;
    if (ticks_ % stride == 0) used_hosts_ = std::exchange(used_hosts_counted_, 0);
    double own_load = 0;
    for (std::size_t i = ticks_ % stride; i < hosts_.size(); i += stride) {
      Host& host = hosts_[i];
      used_hosts_counted_ += is_used(host) ? 1 : 0;
      own_load += host.own_load;
      host.recent_load.set_half_life(probe_interval(host));
      host.path.set_half_life(2 * probe_interval(host));
      if (!probe_pacer_.allowed() || !host.usable() || !worth_probing(host)) continue;
      if ((host.probe_credit += stride * ratio(kTick, probe_interval(host))) < 1) continue;
      host.probe_credit -= 1;
      delegate_.probe(host.id);
    }
    if (filled_hosts_ > 0) load_time_.add(now_, stride * own_load * seconds(kTick));
    if (std::exchange(check_hosts_to_leave_, false)) {
      leave_bad_paths();
      // A draining host counts as the most loaded of all: connections leave it, a part of them at each tick.
      for (Host& host : hosts_) {
        check_hosts_to_leave_ =
            check_hosts_to_leave_ || host.status == HostStatus::draining || host.path.bad();
        if (host.status == HostStatus::draining && host.own_connections)
          move_sessions(host, host.own_load / kTicksPerProbe, MoveReason::drain);
      }
    }
    if (++ticks_ % kTicksPerProbe == 0) {
      rebalance();
      if (mean_load_ >= kFullThreshold) move_heavy_sessions();
    }
  }

  // Connections over a bad path are served as badly as its probes. They are moved as far as hosts with a good
  // path have room. This node takes no more than twice its part of that room, as up to half of all nodes may
  // see the same.
  void leave_bad_paths() {
    // A suspended host is left to rebalance(), unless it is so overloaded that it serves no session in time.
    const auto must_leave = [](const Host& host) {
      return host.own_connections && host.usable() && host.path.bad() &&
             (!host.suspended || host.forecast.reported_load() >= kCrippledLoad);
    };
    if (host_load_per_session_load_ <= 0 || std::none_of(hosts_.begin(), hosts_.end(), must_leave)) return;
    double room = 0;
    for (const Host& host : hosts_) {
      const double load = host.usable() ? estimated_load(host) : 1;
      // If all paths are turning bad, one is the first to be bad: the others must not take its connections.
      if (!is_unhealthy(host) && host.path.clear(now_) && !is_full(host, load))
        room += (kFullThreshold - load) * host.weight / host_load_per_session_load_;
    }
    room = 2 * room / nodes_ - moving_load_.at(now_);
    for (Host& host : hosts_) {
      const double load = std::min(host.own_load / kTicksPerProbe, room);
      if (!must_leave(host) || load <= 0) continue;
      moving_load_.add(now_, load);
      room -= load;
      move_sessions(host, load, MoveReason::drain);
    }
  }

  // The two schedules of docs/design.md: on overload the heaviest host is paired with the lightest, the next
  // with the next, and so on; else, every kRebalanceInterval, the heaviest with a host that is almost idle.
  void rebalance() {
    update_means();
    hosts_by_load_.clear();
    for (Host& host : hosts_) {
      if (host.usable() && host.forecast.known() && !host.path.bad())
        hosts_by_load_.emplace_back(estimated_load(host), &host);
    }
    std::stable_sort(hosts_by_load_.begin(), hosts_by_load_.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    bool overload = false;
    for (std::size_t i = 0, j = hosts_by_load_.size(); i + 1 < j && hosts_by_load_[j - 1].second->suspended;
         ++i) {
      overload = true;
      transfer_load(*hosts_by_load_[--j].second, *hosts_by_load_[i].second);
    }
    if (overload || hosts_by_load_.size() < 2) {
      quiet_since_ = now_;
    } else if (now_ - quiet_since_ >= kRebalanceInterval) {
      quiet_since_ = now_;
      const auto& [least, light] = hosts_by_load_.front();
      const auto& [most, heavy] = hosts_by_load_.back();
      if (least <= kLightThreshold && most - least > kLightThreshold) transfer_load(*heavy, *light);
    }
  }

  // Reports show the effect of a move with a delay; until then nothing more is moved off the host.
  void transfer_load(Host& heavy, Host& light) {
    if (heavy.moved_at != kNever && heavy.forecast.at() - heavy.moved_at < 2 * kProbeInterval) return;
    const double load = estimated_load(heavy);
    const bool relief = light.suspended || cold_limiter_.is_cold(now_, light.started);
    // If the other host cannot take load, as it is suspended itself or still cold, only a host loaded beyond
    // its capacity is relieved, as it serves no session in time: the sessions of least utility leave for
    // good.
    if (relief && load < 1) return;
    const double share =
        relief ? (load - kFullThreshold) / load : LoadTransfer::share(load, estimated_load(light));
    if (move_sessions(heavy, heavy.own_load * share, relief ? MoveReason::relief : MoveReason::rebalance))
      heavy.moved_at = now_;
  }

  // Moves sessions away from the host until their load adds up to `load`. First those without a group,
  // then those whose group has another host, starting with the groups that have the fewest connections here;
  // then group by group, starting with those that rank this host lowest, which is the same at every node. For
  // relief, those of the least utility for their load; of heavy sessions, the heaviest first. True if any
  // session was moved.
  bool move_sessions(Host& from, double load, MoveReason why) {
    candidates_.clear();
    sessions_.for_each([&](SlabKey, Session& session) {
      if (session.state != SessionState::open || session.moved || session.host != from.id) return;
      if (why == MoveReason::relief)
        return candidates_.push_back(
            {listeners_[session.request.listener.value].utility / std::max(session.load, 1e-9), &session});
      if (why == MoveReason::heavy_session) {
        if (is_heavy(session))
          candidates_.push_back({-session.load / expected_load(session.request), &session});
        return;
      }
      double order = 0;
      if (session.request.group) {
        const bool has_other_host = std::any_of(hosts_.begin(), hosts_.end(), [&](const Host& host) {
          return host.id != from.id && host.usable() && !host.suspended &&
                 host.has_group(session.request.group);
        });
        order = has_other_host ? from.groups.count(*session.request.group)
                               : kNoOtherHostOrder + rank(*session.request.group, from);
      }
      candidates_.push_back({order, &session});
    });
    std::stable_sort(candidates_.begin(), candidates_.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    bool any_moved = false;
    double last_group_order = 0;
    for (std::size_t i = 0; i < candidates_.size() && load > 0; ++i) {
      const auto& [order, session] = candidates_[i];
      if (why == MoveReason::rebalance && order >= kNoOtherHostOrder &&
          order != std::exchange(last_group_order, order)) {
        // A part of a group that moved alone would cost one more host to serve the group: it moves as a whole
        // or stays.
        double group_load = 0;
        for (std::size_t j = i; j < candidates_.size() && candidates_[j].first == order; ++j)
          group_load += candidates_[j].second->load;
        if (group_load > load) {
          while (i + 1 < candidates_.size() && candidates_[i + 1].first == order) ++i;
          continue;
        }
      }
      // Rounds at random to whole sessions. If each of many nodes rounded up, they would move far too much.
      if (why == MoveReason::rebalance && std::generate_canonical<double, 32>(random_) * session->load > load)
        break;
      session->moved = any_moved = true;
      load -= std::max(session->load, 1e-9);
      if (session->request.client && why != MoveReason::drain)
        moved_client_loads_.record(*session->request.client, session->load, now_);
      delegate_.move(session->id);
    }
    return any_moved;
  }

  static constexpr unsigned kMaxTimeLimitFactor = 64;
  static constexpr double kNoOtherHostOrder = 1e9;  // sorts these groups after all others
  static constexpr double kAboveMeanFactor = 1.25;
  static constexpr double kGroupCostPerNode = 2.0 / 3, kMaxGroupCost = 8;  // in sessions of mean load
  static constexpr double kExpensiveCrossingFactor = 4;  // mean load over the price of crossing
  static constexpr double kHeavyFactor = 2;              // of the expected load
  // A host has one core at least, which does 1e6 microseconds of work per second.
  static constexpr double kMaxHostLoadPerSessionLoad = 1e-6;
  static constexpr double kIdleProbeRate = 0.125;       // of the rate for hosts with sessions of this node
  static constexpr double kMinConnectionsPerGroup = 2;  // fewer on average say nothing of where groups are
  // Added to the count of connections, so that a group does not seem large to a node with few connections.
  static constexpr double kPriorConnections = 8;
  static constexpr double kMinGroupHosts = 3;
  static constexpr double kCrippledLoad = 2;  // at this reported load a host serves no session in time

  BalancerDelegate& delegate_;
  std::knuth_b random_;
  unsigned nodes_;
  ZoneId zone_;
  std::vector<Listener> listeners_;
  Micros message_target_;  // the shortest of all listeners
  DialLimits dial_limits_;
  RetryBudget retry_budget_;
  ColdStartLimiter cold_limiter_;
  // Load of this node's sessions that ended and were not moved or lost; the load of all its sessions over
  // time (load x seconds); and the number of full hosts that the load of all nodes amounts to, over time.
  DecayingSum ended_load_, load_time_, filled_time_;
  ListPolicy list_policy_;
  double crossing_price_;
  ProbePacer probe_pacer_;
  Micros probe_interval_ = kProbeInterval;      // if all hosts are probed equally often
  Micros used_host_interval_ = kProbeInterval;  // of hosts with sessions of this node
  Micros idle_host_interval_ = kProbeInterval;  // of all others
  RoundRobin round_robin_;
  std::vector<DecayingMean> session_loads_;  // mean load of a session, by listener
  ClientLoads moved_client_loads_;
  DialThrottle throttle_;
  DecayingSum moving_load_{kProbeInterval};  // load moved off bad paths that has not been placed again yet
  SortedHosts<Host> hosts_;
  // Scratch buffers of single calls.
  std::vector<std::pair<double, Host*>> hosts_by_load_;
  std::vector<std::pair<double, Session*>> candidates_;  // to be moved, in this order
  std::vector<unsigned> skip_reasons_;                   // by host
  std::vector<SlabKey> probe_waiters_;
  std::vector<double> ranks_, sorted_ranks_;  // of hosts for a group
  Slab<Session> sessions_;
  Micros now_{0};
  Micros first_time_ = kNever;  // of the first call of set_time()
  Micros quiet_since_{0};       // when a host was overloaded or load was rebalanced last
  Micros list_request_at_ = kNever;
  Micros fleet_full_at_ = kNever;  // when no host had room last
  Micros nothing_placed_since_{0};
  Micros list_retry_delay_ = kProbeInterval;
  bool list_stale_ = false;
  bool list_complete_ = false;  // of the list that is being given
  bool mean_known_ = false;
  bool health_suspect_ = false;      // most hosts look unhealthy, which is doubtful
  bool groups_visible_ = false;      // this node has enough connections to know where groups are
  bool session_load_known_ = false;  // the load of any session has been reported
  double mean_load_ = 0;             // of hosts with a report
  double mean_connections_ = 0;      // of this node, per host
  double host_load_per_session_load_ = 0;
  double mean_session_load_ = 0;
  double fill_rate_per_weight_ = 0;    // see ColdStartLimiter::has_room()
  double filled_hosts_ = 0;            // full hosts of weight 1 that the load of all nodes amounts to
  double used_hosts_ = 0;              // hosts with sessions of this node, at the last count
  double used_hosts_counted_ = 0;      // in the present count
  bool check_hosts_to_leave_ = false;  // whether a host is draining or has a bad path
  unsigned ticks_ = 0;
  unsigned time_limit_factor_ = 1;  // see DialRules::time_limit()
};

}  // namespace

std::unique_ptr<Balancer> make_balancer(BalancerDelegate& delegate, std::uint64_t seed, unsigned nodes,
                                        ZoneId zone, std::vector<Listener> listeners, DialLimits dials,
                                        ColdStartLimits cold, ListPolicy list, Prices prices) {
  return std::make_unique<BalancerImpl>(delegate, seed, nodes, zone, std::move(listeners), dials, cold, list,
                                        prices);
}

}  // namespace flintweir
