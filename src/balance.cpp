// Every decision of flintweir: which host gets a session, when to dial again, refuse, probe or move.
// How it is called: the caller says the time (Balancer::set_time), then what happened (list, probe answers,
// sessions taken, wake-ups); what befalls a session comes in through its SessionHandle. Each call may act on
// the BalancerActions before it returns. The interface is in balance.h; docs/design.md tells the reasons.
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

// The page of the design: the interval of probes, the rest between quiet rounds of moves, the weights of the
// load (that of memory is joined to the first), and the two thresholds.
constexpr Micros kProbeEvery = 1s;
constexpr Micros kQuietRest = 10s;
constexpr double kWeightLoad = 0.81 + 0.08;
constexpr double kWeightPiled = 0.11;
constexpr double kSuspendAt = 0.8;
constexpr double kLightAt = 0.1;
constexpr double kFullAt = kSuspendAt - kLightAt;  // a host so loaded gets nothing new
constexpr int kBeatsPerProbe = 8;
constexpr Micros kCurrent = 2 * kProbeEvery;  // a report is, for so long

// The load of one host from its two last reports, now and forecast a horizon on.
class LoadForecast {
 public:
  void report(Micros now, double load, double piled, double least_peak) {
    const double kept = at_ == kNever ? 0 : decay(now - at_, kQuietRest);
    growth_ = at_ == kNever || now <= at_ ? 0 : (piled - piled_) / seconds(now - at_);
    peak_ = std::max({piled, peak_ * kept, least_peak});
    load_ = load;
    piled_ = piled;
    at_ = now;
  }
  bool known() const { return at_ != kNever; }
  Micros at() const { return at_; }
  double raw() const { return load_; }
  // The paper's L at the report, or with its trend over a horizon; work piled up counts against its peak.
  double weigh(double load, Micros horizon) const {
    const double piled = std::max(0.0, piled_ + growth_ * seconds(horizon));
    const double share = peak_ > 0 ? std::min(1.0, piled / peak_) : 0;
    return kWeightLoad * load + kWeightPiled * share;
  }

 private:
  Micros at_ = kNever;
  double load_ = 0, piled_ = 0, growth_ = 0, peak_ = 0;
};

// How unusual a host's present silence is, given the gaps between its signs of life so far.
class SilenceJudge {
 public:
  void sign(Micros now) { gaps_.add(now); }
  bool heard_since(Micros t) const { return gaps_.last() != kNever && gaps_.last() >= t; }
  // So long a gap comes by chance once in a hundred million.
  bool too_long(Micros now, Micros expected) const {
    if (!gaps_.known()) return false;
    const double mean = std::max(gaps_.mean(), seconds(expected));
    constexpr double kUnusual = 5.612;  // spreads over the mean, of a normal spread
    return seconds(now - gaps_.last()) - mean > kUnusual * std::max(gaps_.deviation(), mean / 4);
  }

 private:
  GapStatistics gaps_;
};

// What came lately of what this node sent a host: dials, and probes whose answer a message might have waited
// for. Tells a host that is bad from here, whatever lies between: a lossy or slow way, a host that hangs or
// fails by turns. Reports say nothing of it: they are few, and light. Each new spell within a while is
// forgiven more slowly. Could do harm where hosts are slow with load alone; those are suspended besides.
class Way {
 public:
  void set_half_life(Micros half) {
    sent_.set_half_life(half);
    missed_.set_half_life(half);
  }
  void met(Micros now, bool well) {
    sent_.add(now, 1);
    if (!well) missed_.add(now, 1);
    const double share = missed_.at(now) / (1 + sent_.at(now));
    if (!bad_ && share > kBad && missed_.at(now) > 1) {  // one alone says little
      spells_ = bad_until_ == kNever || now - bad_until_ > 2 * kQuietRest ? 0 : std::min(spells_ + 1, 3u);
      bad_ = true;
    } else if (bad_ && share < kBad / (2 << spells_)) {
      bad_ = false;
      bad_until_ = now;
    }
  }
  bool bad() const { return bad_; }
  bool clear(Micros now) const { return missed_.at(now) < kBad / 3 * (1 + sent_.at(now)); }

 private:
  static constexpr double kBad = 0.3;
  DecayingSum sent_{2 * kProbeEvery}, missed_{2 * kProbeEvery};
  bool bad_ = false;
  unsigned spells_ = 0;
  Micros bad_until_ = kNever;
};

// What a cold host has been sent lately, against this node's part of what would tip it over.
class ColdGuard {
 public:
  explicit ColdGuard(ColdStartLimits rule) : rule_(rule) {}
  Micros window() const { return rule_.window; }
  double warmth(Micros age) const {
    return std::clamp(rule_.initial_share + (1 - rule_.initial_share) * ratio(age, rule_.warm_up),
                      rule_.initial_share, 1.0);
  }
  bool cold(Micros now, Micros started) const { return started > Micros{0} && now - started < rule_.warm_up; }
  // What a second fills of a host, where so much of all load ends of itself in one: a cold host takes
  // connections as fast as fills it over its warm-up, also where they live far longer.
  double filling(double turnover) const { return std::max(turnover, 1 / seconds(rule_.warm_up)); }
  // `rate`: what this node's part of the warm host takes a second when full, in load. Where that is less than
  // the session `chance`, drawn for each window, decides, so that all nodes' parts still make one. Guards
  // against a host that stays empty until it is warm, as each of many nodes may send under one session.
  bool room(Micros now, Micros started, double rate, double cost, const SlidingSum& sent,
            double chance) const {
    const double budget =
        kCaution * rule_.overload_factor * warmth(now - started) * rate * seconds(rule_.window);
    const double before = sent.since(now - rule_.window);
    return before + cost <= budget || (before <= 0 && chance * cost <= kCautionByChance * budget);
  }

 private:
  // The rate is an estimate from few sessions; and chance strays from what it makes on the whole.
  static constexpr double kCaution = 0.75, kCautionByChance = 0.67;
  ColdStartLimits rule_;
};

// How often each host is probed: every interval of the design, or as seldom as it takes for probes to cost a
// small part of the service of this node's sessions. Guards against many nodes that probe many hosts each
// second: that costs more than all sessions earn, and loads the hosts besides.
class ProbePace {
 public:
  explicit ProbePace(std::optional<double> price) : price_(price), taken_(2 * kQuietRest) {}
  bool allowed() const { return price_.has_value(); }
  void price_is(std::optional<double> price) { price_ = price; }
  void took(Micros now) { taken_.add(now, 1); }
  Micros interval(Micros now, Micros since, double hosts) const {
    const double rate = 1 / seconds(kQuietRest) + taken_.per_second(now, since, 2 * kProbeEvery);
    const double wanted = price_.value_or(0) * hosts / (kShare * rate);
    if (wanted < seconds(kCurrent)) return kProbeEvery;  // little is won by a little longer
    return std::min(Micros{std::llround(wanted * 1e6)}, 100 * kProbeEvery);
  }

 private:
  static constexpr double kShare = 0.02;
  std::optional<double> price_;
  DecayingSum taken_;
};

// Adaptive throttling: where most dials of late failed, whatever the host, the cause is shared, and each
// further dial feeds it. New ones are then made about as often again as dials are accepted, and a few
// besides, by which the end of it shows. Guards against retries that keep such a fault going by themselves.
class DialThrottle {
 public:
  void ended(Micros now, bool accepted) {
    ended_.add(now, 1);
    if (accepted) accepted_.add(now, 1);
  }
  // Which share of the dials in hand is better not made.
  double share_held_back(Micros now) const {
    const double ended = ended_.at(now);
    return std::max(0.0, ended - kDialsForAccepted * accepted_.at(now) - kFew) / (ended + 1);
  }

 private:
  static constexpr double kDialsForAccepted = 2, kFew = 2;  // a few failures say nothing of a shared cause
  DecayingSum ended_{2 * kProbeEvery}, accepted_{2 * kProbeEvery};
};

struct Host : HostFacts {
  explicit Host(HostId h) : HostFacts(h, kProbeEvery) {}
  bool suspended = false;
  bool seems_ill = false;  // as judged at the latest choice
  bool asking = false;     // before a dial
  bool shedding = false;   // broke connections off since its last report
  LoadForecast forecast;
  SilenceJudge silence;
  Way way;
  double probe_due = 0;  // a probe is sent when it reaches one
  Micros moved_at = kNever, asked_at{0};
  Micros drawn_at = kNever;  // when `chance` was drawn, for what is left of a cold host's budget
  double chance = 0;
  Micros aside_until = kNever, last_pause{0};

  // A failure after the last pause doubles the pause for which the host is passed over. Being accepted proves
  // little where connections break soon after: only a time without failures ends the doubling. True where the
  // pause has grown to its longest.
  bool failed(Micros now) {
    if (now < aside_until) return false;
    if (aside_until != kNever && now - aside_until > kQuietRest) last_pause = Micros{0};
    last_pause = std::clamp(2 * last_pause, kProbeEvery, 8 * kProbeEvery);
    aside_until = now + last_pause;
    return last_pause == 8 * kProbeEvery;
  }
};

// Rule 2: what a session whose dial may have run still permits.
class Dials {
 public:
  Dials(const Listener& listener, unsigned most) : listener_(listener), most_(most) {}
  bool again(const Session& s, Micros now) const {
    if (s.dials >= most_ || now >= s.taken.deadline) return false;
    if (!s.may_have_run || listener_.effect == Effect::repeatable) return true;
    return listener_.effect == Effect::referenced && now < s.ran_at + listener_.dedup_window;
  }
  bool at(const Session& s, const Host& h) const {
    if (!s.may_have_run || listener_.effect != Effect::referenced) return true;
    return listener_.dedup_scope == DedupScope::all ||
           (listener_.dedup_scope == DedupScope::zone && h.zone == s.ran_zone) ||
           (listener_.dedup_scope == DedupScope::cell && h.cell == s.ran_cell);
  }
  bool may_refuse(const Session& s) const {
    if (!s.may_have_run || listener_.effect == Effect::repeatable) return true;
    return listener_.effect == Effect::referenced && listener_.dedup_scope == DedupScope::all;
  }
  // Leaves room for another dial before the handshake target; the last one has all the time there is. Where
  // dials time out at one host after the other the cause is shared, and dialling again would feed it.
  Micros limit(const Session& s, Micros now, unsigned patience, bool another) const {
    const Micros left = s.taken.deadline - now;
    return s.dials + 1 >= most_ || !another ? left
                                            : std::min(left, listener_.handshake_target / 2 * patience);
  }

 private:
  const Listener& listener_;
  unsigned most_;
};

// Reasons to pass over the host offered, in the order in which further walks drop them.
enum Passing : unsigned {
  crowded = 1,
  remote = 2,
  off_group = 4,
  fresh = 8,
  tried = 16,
  ill = 32,
  barred = 64  // never dropped
};

// The hosts in the order of their ids, and the pointer into them.
class Rotation {
 public:
  explicit Rotation(std::uint64_t start) : next_(start) {}
  // The next host in turn that no condition passes over; each further walk drops one condition more.
  Host* choose(HostsById<Host>& hosts, const std::vector<unsigned>& against) {
    for (unsigned dropped = 0; dropped < barred; dropped = 2 * dropped + 1) {
      for (std::size_t i = 0; i < hosts.size(); ++i) {
        const std::size_t at = (next_ + i) % hosts.size();
        if (against[at] & ~dropped) continue;
        next_ = at + 1;
        return &hosts[at];
      }
    }
    return nullptr;
  }
  void hand_back() { --next_; }  // the host just chosen keeps its turn

 private:
  std::size_t next_;
};

// Heavy to light: which share of its own load on the heavier of two hosts a node moves off. Every node that
// sees the pair moves the same share of its own, which together is what the mean asks. No more than the
// lighter has room for, unless the heavier serves nobody: what is moved beyond that is refused, again and
// again.
class Mover {
 public:
  static double share(double heavy, double light) {
    const double aim = std::max((heavy + light) / 2, kFullAt);
    return heavy > aim ? std::min(heavy - aim, std::max(kFullAt - light, heavy - 1)) / heavy : 0;
  }
};

enum class Leaving { even, relief, drain, heavy };  // why own sessions are moved off a host

class Decisions final : public Balancer {
 public:
  Decisions(BalancerActions& out, std::uint64_t seed, unsigned nodes, ZoneId zone,
            std::vector<Listener> listeners, DialLimits dials, ColdStartLimits cold, ListPolicy list,
            Prices prices)
      : out_(out),
        chance_(static_cast<std::knuth_b::result_type>(seed ^ (seed >> 32))),
        nodes_(std::max(1u, nodes)),
        zone_(zone),
        listeners_(std::move(listeners)),
        message_target_(shortest_message_target(listeners_)),
        dial_limits_(dials),
        budget_(dials.retry_budget),
        guard_(cold),
        ended_load_(4 * cold.warm_up),
        load_time_(4 * cold.warm_up),
        full_time_(4 * cold.warm_up),
        list_(list),
        crossing_price_(prices.zone_crossing),
        pace_(prices.probe),
        rotation_(chance_()),
        usual_(listeners_.size()) {}

  void set_time(Micros now) override {
    now_ = now;
    if (began_ != kNever) return;
    began_ = quiet_since_ = now;
    // The list serves all nodes: they don't ask it all at once, which fails for most where they are many.
    if (list_.on_request)
      ask_list_at_ = now_ + spread(std::min(list_.poll_interval / 2, kBeat * (nodes_ - 1)));
    out_.set_timer(spread(kBeat), TimerId{0});
  }

  void set_node_count(unsigned nodes) override { nodes_ = std::max(1u, nodes); }

  void update_settings(std::vector<Listener> listeners, unsigned most_dials, Prices prices) override {
    listeners_ = std::move(listeners);
    dial_limits_.max_dials = most_dials;
    crossing_price_ = prices.zone_crossing;
    pace_.price_is(prices.probe);
  }

  SessionHandle start_session(SessId id, const SessionRequest& taken) override {
    Session fresh(id, taken, usual_load(taken));
    fresh.give_up_at = std::min(now_ + listeners_[taken.listener.value].handshake_target, taken.deadline);
    if (taken.client) fresh.load = sent_away_.of(*taken.client, now_ - kQuietRest).value_or(fresh.load);
    const SlabKey key = sessions_.add(fresh);
    budget_.took(now_);
    // Repeats and returns would make a storm look like more sessions.
    if (!taken.is_reconnect && !taken.is_retry) pace_.took(now_);
    place(key, *sessions_.find(key));
    return {this, key};
  }

  SessionHandle adopt_session(SessId id, const SessionRequest& taken, HostId host) override {
    Session s(id, taken, usual_load(taken));
    s.dialed(host, now_);
    const SlabKey key = sessions_.add(s);
    open(*sessions_.find(key));
    return {this, key};
  }

  bool live(SlabKey key) const override { return sessions_.has(key); }

  void dial_accepted(SlabKey key, DialNo dial) override {
    Session* s = sessions_.find(key);
    if (!s || !current(*s, dial)) return;
    if (Host* h = hosts_.find(s->host)) {
      --h->dialing;
      h->silence.sign(now_);
      h->way.met(now_, true);
    }
    patience_ = std::max(1u, patience_ / 2);
    throttle_.ended(now_, true);
    if (s->state == State::dialing) open(*s);
  }

  void dial_ended(SlabKey key, DialNo dial, DialOutcome how, bool over) override {
    Session* s = sessions_.find(key);
    if (!s || !current(*s, dial)) return;
    s->dial_out = false;
    Host* h = hosts_.find(s->host);
    if (s->state == State::open) {
      if (h) h->closed(s->load, s->taken.group);
      if (!s->moved && how != DialOutcome::connection_lost) ended_load_.add(now_, s->load);
      // A connection that broke off is a failure of its host, unless that was on its way out. A host that
      // sheds load may report little just after: it gets nothing until a report shows it below suspension.
      if (h && h->usable() && how == DialOutcome::connection_lost) {
        set_aside(*h);
        h->shedding = pace_.allowed();  // where none can come, the pause has to do
      }
      sessions_.release(key);
      return;
    }
    if (h) {
      --h->dialing;
      h->sent.add(now_, -s->charged);
      if (how == DialOutcome::completed)
        h->silence.sign(now_);
      else if (how != DialOutcome::cancelled && how != DialOutcome::not_sent &&
               !(how == DialOutcome::timed_out && patience_ > 1)) {
        set_aside(*h);  // where dials time out elsewhere too, the host is not what fails
        if (how == DialOutcome::timed_out || how == DialOutcome::connect_failed) h->way.met(now_, false);
        look_ = look_ || h->way.bad();
      }
    }
    if (how == DialOutcome::timed_out || how == DialOutcome::error_reply) throttle_.ended(now_, false);
    if (how == DialOutcome::timed_out) patience_ = std::min(2 * patience_, kMostPatience);
    const bool proven =
        how == DialOutcome::rejected || how == DialOutcome::connect_failed || how == DialOutcome::not_sent;
    if (!proven) s->ran(h ? h->zone : ZoneId{}, h ? h->cell : CellId{});
    if (over || s->state == State::over) return sessions_.release(key);
    place(key, *s);
  }

  void client_left(SlabKey key) override {
    Session* s = sessions_.find(key);
    if (!s || s->state == State::open) return;
    s->state = State::over;
    if (!s->dial_out) sessions_.release(key);
  }

  void set_load(SlabKey key, double load) override {
    Session* s = sessions_.find(key);
    if (!s || s->state != State::open) return;
    if (Host* h = hosts_.find(s->host)) h->own_load += load - s->load;
    s->load = load;
    usual_[s->taken.listener.value].add(load, 0.98);
    told_ = true;
  }

  // Work piled up at a host makes its messages late long after its reported load has fallen.
  void set_message_delay(SlabKey key, Micros delay) override {
    Session* s = sessions_.find(key);
    Host* h = s && s->state == State::open ? hosts_.find(s->host) : nullptr;
    if (!h) return;
    h->delay = delay;
    h->delay_at = now_;
    mark(*h);
  }

  void timer_expired(TimerId wake) override {
    if (wake.value == 0) return beat();
    const SlabKey key = SlabKey::unpacked(wake.value);
    Session* s = sessions_.find(key);
    if (!s) return;
    s->waiting = false;
    if (s->state == State::held) place(key, *s);
  }

  void probe_ended(HostId id, DialOutcome how, Micros took, const LoadReport& r) override {
    Host* h = hosts_.find(id);
    if (!h) return;
    const bool answered = how == DialOutcome::completed;
    if (how != DialOutcome::error_reply && how != DialOutcome::rejected)  // these came back: the way is well
      h->way.met(now_, answered && (message_target_ == Micros{0} || took <= message_target_) &&
                           r.load.value_or(0) < kCrippled);
    look_ = look_ || h->way.bad();
    if (answered) note_report(*h, r);  // a failed probe keeps the mark
    if (!std::exchange(h->asking, false)) return;
    held_.clear();
    sessions_.for_each([&](SlabKey key, const Session& s) {
      if (s.state == State::held && s.host == id) held_.push_back(key);
    });
    for (const SlabKey key : held_)
      if (Session* s = sessions_.find(key)) place(key, *s);
  }

  void begin_list(bool whole) override {
    listing_whole_ = whole;
    if (!whole) return;
    for (Host& h : hosts_) h.listed = false;
  }

  void list_host(HostId id, ZoneId zone, CellId cell, HostStatus standing, double share,
                 Micros started) override {
    Host* h = hosts_.find(id);
    if (!h) {
      if (standing == HostStatus::removed) return;
      h = &hosts_.add(Host(id));
      h->probe_due = std::generate_canonical<double, 32>(chance_);
    } else if (started > h->started) {
      // A host that restarted has lost what was known of it.
      h->forecast = {};
      h->silence = {};
      h->way = {};
      h->suspended = h->shedding = false;
      h->aside_until = h->delay_at = kNever;
    }
    // A share that falls as its host fills makes an empty one many times the size of its like: a cold host's
    // budget.
    look_ = look_ || standing == HostStatus::draining;
    h->tell(zone, cell, standing, list_.weights_are_capacities ? share : 1, started, now_,
            list_.only_draining_binds);
  }

  void end_list() override {
    list_wait_ = kProbeEvery;
    list_stale_ = false;
    if (std::exchange(listing_whole_, false))
      for (Host& h : hosts_)
        if (!h.listed) h.list_lacks_it(now_, list_.only_draining_binds);
    hosts_.drop_if([&](const Host& h) {
      if (h.own || h.dialing || h.off_list == kNever) return false;
      // Where a list may be wrong, a host that it lacks may come back on it, and one that drained as well.
      const bool over = h.missing() ? !worth_asking(h) : now_ - h.off_list >= forget_after();
      if (over) out_.forget_host(h.id);
      return over;
    });
  }

  // Many nodes may fail at once: each waits longer after each failure, by chance, yet well within ask_every.
  void list_failed() override {
    out_.log("the list failed, asking again soon");
    ask_list_at_ = now_ + list_wait_ / 2 + spread(list_wait_);
    list_wait_ = std::min(2 * list_wait_, std::max(kProbeEvery, list_.poll_interval / 4));
  }

  // Hosts may drain unheard of. Sessions wait for the list as for any host.
  void list_stale() override {
    out_.log("the list is stale, sending nothing until it comes");
    list_stale_ = true;
  }
  void list_usable() override { list_stale_ = false; }
  bool may_dial(HostId id) override {
    const Host* h = hosts_.find(id);
    return h && h->usable() && !list_stale_;
  }

 private:
  static constexpr Micros kBeat = kProbeEvery / kBeatsPerProbe;

  Micros forget_after() const { return list_.only_draining_binds ? 10 * kQuietRest : Micros{0}; }
  // A host that the list lacks is believed by its signs of life alone; no more are looked for after a while.
  bool worth_asking(const Host& h) const {
    return !h.missing() || h.silence.heard_since(now_ - 2 * kQuietRest) || now_ - h.off_list < 2 * kQuietRest;
  }
  bool vouched(const Host& h) const {
    if (!h.missing()) return true;
    return pace_.allowed() ? h.silence.heard_since(now_ - every(h) - kCurrent) : h.own > 0;
  }

  Micros spread(Micros over) {
    return Micros{std::uniform_int_distribution<std::int64_t>(0, over.count())(chance_)};
  }

  static bool current(const Session& s, DialNo dial) { return s.dial_out && dial.value + 1 == s.dials; }

  double usual_load(const SessionRequest& t) const {
    double all = 0, known = 0;
    for (const DecayingMean& m : usual_) {
      all += m.value_or(0);
      known += m.known() ? 1 : 0;
    }
    return usual_[t.listener.value].value_or(known > 0 ? all / known : t.expected_load.value_or(1));
  }

  void note_report(Host& h, const LoadReport& r) {
    h.silence.sign(now_);
    const std::optional<double> load = r.load ? r.load : r.cpu_usage;
    if (!load) return;
    // Where no piled-up work is reported, the load's own forecast stands for it, with capacity as its peak.
    const std::optional<double> piled = r.backlog ? r.backlog : r.queued_sessions;
    h.forecast.report(now_, *load, piled.value_or(*load), piled ? 0 : 1);
    mark(h);
  }

  void open(Session& s) {
    s.state = State::open;
    s.may_have_run = true;
    if (Host* h = hosts_.find(s.host)) h->opened(s.load, s.taken.group);
  }

  // The load as reported; with what this node has sent since, as reports are late.
  double load_of(const Host& h) const {
    return reported(h, Micros{0}, per_load_ / h.share * h.sent.at(now_));
  }
  double reported(const Host& h, Micros horizon, double unseen = 0) const {
    // A few reports of full hosts must not rule out those that nobody has asked yet.
    if (!h.forecast.known() && mean_known_) return std::min(mean_load_, kFullAt - kLightAt) + unseen;
    if (!h.forecast.known()) return mean_own_ > 0 ? h.own / mean_own_ / 2 : 0;
    // What its messages wait for has to be done beside what is asked; no note for a while means little waits.
    const bool noted = h.delay_at != kNever && now_ - h.delay_at < kCurrent;
    const double waiting = noted ? ratio(h.delay, kCurrent) : 0;
    return h.forecast.weigh(h.forecast.raw() + unseen + waiting, horizon);
  }

  // The mean load of the hosts in use, for new ones and for comparison.
  void take_means() {
    double load = 0, known = 0, own = 0, all = 0, own_load = 0, carried = 0, groups = 0, seen = 0,
           unasked = 0;
    full_ = 0;
    for (const Host& h : hosts_) {
      if (!h.usable()) continue;
      const bool cold = guard_.cold(now_, h.started);
      all += 1;
      own += h.own;
      groups += static_cast<double>(h.groups.kinds());
      own_load += h.own_load;
      if (!h.forecast.known()) {
        unasked += cold ? 0 : 1;  // a cold one is taken to be empty yet
        continue;
      }
      known += 1;
      load += load_of(h);
      carried += h.forecast.raw() * h.share;
      seen += h.own_load - h.sent.at(now_);
      full_ += h.forecast.raw() * h.share * (cold ? guard_.warmth(now_ - h.started) : 1);
    }
    // This node's part of what a full host of usual size takes a second: what fills of it in one, times this
    // node's part of the load that fills it, both over a while, as a node of many holds next to nothing at
    // most moments. Neither grows in a rush, while loads still build up, or when another node's clients come
    // here; and all nodes' parts make one.
    if (known > 0) full_ *= (known + unasked) / known;
    const double lived = load_time_.at(now_), filled = full_time_.at(now_);
    if (filled > 0)
      per_share_ = lived > 0 ? guard_.filling(ended_load_.at(now_) / lived) * lived / filled : 0;
    mean_known_ = known > 0;
    mean_load_ = known > 0 ? load / known : 0;
    mean_own_ = all > 0 ? own / all : 0;
    sees_groups_ = own >= kFewOfGroup * groups;
    if (own_load <= 0) return;
    mean_session_ = own_load / own;
    // A node with few sessions, as after a restart, must not take each for a good part of a host.
    // While sessions are refused every node has some waiting, and all fill a gap that shows at the same time.
    // Guards against reports that show nothing yet, as when all nodes restart: nothing would seem to weigh.
    const double most = kLightAt / mean_session_;
    const bool shown = known < 1 || carried > 0 || seen > own_load / 2;
    const double alone = shown ? std::min(carried / (nodes_ * own_load), most) : most;
    per_load_ = std::min((full() ? nodes_ : 1) * alone, 2 * most);
    // No host does less than one core does. Guards against a node that holds one or two sessions of all the
    // fleet's, and takes each for a good part of a host, and the hosts that it sends them to for full.
    if (told_) per_load_ = std::min(per_load_, kOneCore);
  }

  void set_aside(Host& h) {
    if (h.failed(now_)) out_.log("fails again and again, passed over for eight probe intervals", h.id);
  }

  void mark(Host& h) {
    h.suspended = reported(h, kProbeEvery) >= kSuspendAt;
    h.shedding = h.shedding && h.suspended;
  }

  Host* choose(const Session& s, const Dials& dials) {
    if (list_stale_) return nullptr;
    take_means();
    int more_ill = 0;
    bool held = false;
    for (Host& h : hosts_) {
      if (!h.usable()) continue;
      h.seems_ill = ill_now(h);
      more_ill += h.seems_ill ? 1 : -1;
      held = held || (!h.seems_ill && h.holds(s.taken.group));
    }
    // When most look ill, the judgement is suspect; else a host that fails is no way out where all are full.
    const bool before = std::exchange(suspect_, more_ill > 0);
    if (suspect_ && !before) out_.log("most hosts look ill, using them all the same");
    against_.clear();
    for (Host& h : hosts_) against_.push_back(reasons(h, s, dials, held));
    if (s.taken.group) keep_together(*s.taken.group);
    return rotation_.choose(hosts_, against_);
  }

  bool ill_now(const Host& h) const {
    return now_ < h.aside_until || h.way.bad() || h.silence.too_long(now_, every(h)) || !vouched(h);
  }
  // Setting a session up is work too: a light one costs a cold host as much as any. Guards against many light
  // ones that are sent at once since their load is small.
  double cold_cost(const Session& s) const { return std::max(s.load, mean_session_); }

  static bool no_room(const Host& h, double load) { return h.shedding || h.suspended || load >= kFullAt; }

  unsigned reasons(Host& h, const Session& s, const Dials& dials, bool held) {
    if (!h.usable() || !dials.at(s, h)) return barred;
    unsigned against = 0;
    if (guard_.cold(now_, h.started)) {
      // A node that has just started doesn't know what it sent before.
      if (now_ - began_ < guard_.window()) return barred;
      if (h.drawn_at == kNever || now_ - h.drawn_at >= guard_.window()) {
        h.drawn_at = now_;
        h.chance = std::generate_canonical<double, 32>(chance_);
      }
      if (!guard_.room(now_, h.started, per_share_ * h.share, cold_cost(s), h.cold_sent, h.chance))
        return barred;
      const double warm = guard_.warmth(now_ - h.started);
      if (std::generate_canonical<double, 32>(chance_) > warm) against |= fresh;
    }
    // A group that this node has nowhere must start somewhere.
    const double load = load_of(h) + (held ? copy_charge(h, s) * per_load_ / h.share : 0);
    // Loads swing, and near what it can do a host serves few, past it nobody: a session is better refused.
    if (no_room(h, load)) return barred;
    if (load > kCrowded * mean_load_) against |= crowded;
    if (h.zone != zone_ && crossing_price_ > 0) against |= remote;
    if (s.has_tried(h.id)) against |= tried;
    if (h.seems_ill) against |= suspect_ ? ill : barred;
    return against >= (s.dials > 0 ? tried : barred) ? unsigned{barred} : against;
  }

  double copy_charge(const Host& h, const Session& s) const {  // nothing tells it: that of a few sessions
    return s.taken.group && !h.holds(s.taken.group) ? std::min(kCopy * nodes_, kMostCopy) * mean_session_ : 0;
  }

  // Each host that holds any of a group pays for it once more: the group's sessions pass over the others
  // while one that holds it is as fit as any. A group that none such holds starts at a host that every node
  // works out alike, from ids, so that it does not spread over as many hosts as there are nodes.
  void keep_together(GroupId group) {
    // Where crossing is dear and the fleet has room, a copy in this zone costs less than crossing.
    const unsigned minor = mean_load_ < kDear * crossing_price_ ? unsigned{crowded} : crowded | remote;
    const unsigned far = minor & remote;
    unsigned best = barred, best_all = barred;
    for (const unsigned a : against_) {
      best = std::min(best, a & ~minor);
      best_all = std::min(best_all, a & ~far);
    }
    if (best >= barred) return;
    ranks_.clear();
    bool held = false;
    double home = 0, count = 0, own = kPriorOwn;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      // Guards against a group whose best hosts are all bad from here: it has no place, and waits in vain.
      const bool counts = hosts_[i].usable() && (suspect_ || !hosts_[i].way.bad());
      ranks_.push_back(counts ? rank(group, hosts_[i]) : 0);
      count += hosts_[i].groups.of(group);
      own += hosts_[i].own;
      held = held || (sees_groups_ && (against_[i] & ~minor) == best && hosts_[i].holds(group));
      if ((against_[i] & ~far) == best_all) home = std::max(home, ranks_[i]);
    }
    const bool room_is_sure = mean_known_ && mean_load_ < kFullAt - kLightAt;
    const double least = room_is_sure ? 0 : least_rank(count / own);
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const Host& host = hosts_[i];
      if (held ? !host.holds(group) : ranks_[i] != home) against_[i] |= off_group;
      if (ranks_[i] <= least && !host.holds(group) && !guard_.cold(now_, host.started)) against_[i] |= barred;
    }
  }

  // Where room is short, or no report says whether it is, a group keeps to its best hosts: three, and as many
  // more as its part of the sessions asks for, all of a higher rank than this. Guards against one more copy
  // for each session that finds those full, until copies fill the fleet. Cold hosts are not counted and take
  // any group: after a release half of a fleet is cold, with nothing but room.
  double least_rank(double part) {
    sorted_.clear();
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      if (!guard_.cold(now_, hosts_[i].started)) sorted_.push_back(ranks_[i]);
    // The longer nothing is placed at all, the further it looks.
    const double rounds = full() ? 1 + std::floor(ratio(now_ - refusing_since_, kCurrent)) : 1;
    const double wanted = rounds * kFewestHosts + std::ceil(part * static_cast<double>(sorted_.size()));
    if (wanted >= static_cast<double>(sorted_.size())) return 0;
    const auto last = sorted_.begin() + static_cast<std::ptrdiff_t>(wanted);
    std::nth_element(sorted_.begin(), last, sorted_.end(), std::greater<>());
    return *last;
  }

  // How well a host suits a group, the same at every node: by chance, as often as its size says.
  static double rank(GroupId group, const Host& h) {
    const double chance =
        std::ldexp(static_cast<double>(mix(group.value ^ mix(h.id.value)) >> 11) + 0.5, -53);
    return -h.share / std::log(chance);
  }

  void place(SlabKey key, Session& s) {
    const Dials dials(listeners_[s.taken.listener.value], dial_limits_.max_dials);
    s.state = State::held;
    // Where the rules ration further dials and none is left, waiting for one would hold the answer back.
    if (!dials.again(s, now_)) return give_up(key, s, dials, RefusalReason::no_dials_left);
    if (s.dials > 0 && !budget_.allows(now_)) return give_up(key, s, dials, RefusalReason::no_budget_left);
    if (full() && heavy(s)) return give_up(key, s, dials, RefusalReason::fleet_full);
    const double held_back = throttle_.share_held_back(now_);
    if (held_back > 0 && dials.may_refuse(s) && std::generate_canonical<double, 32>(chance_) < held_back)
      return give_up(key, s, dials, RefusalReason::throttled);
    Host* h = choose(s, dials);
    if (!h) {
      const bool all_full = !list_stale_ && std::any_of(hosts_.begin(), hosts_.end(), [&](const Host& x) {
        return x.usable() && no_room(x, load_of(x));
      });
      if (all_full && mean_load_ >= kFullAt - kLightAt) {
        if (!full()) {
          out_.log("no host has room, refusing sessions");
          refusing_since_ = now_;
        }
        full_at_ = now_;
      }
      if (now_ >= s.give_up_at || all_full || s.dials > 0) {
        const RefusalReason no_choice = all_full ? RefusalReason::fleet_full : RefusalReason::no_host;
        return give_up(key, s, dials, list_stale_ ? RefusalReason::list_stale : no_choice);
      }
      return hold(key, s);
    }
    if (must_ask(*h, s)) {
      rotation_.hand_back();
      s.host = h->id;
      if (!std::exchange(h->asking, true)) out_.probe(h->id);
      h->asked_at = now_;
      return hold(key, s);
    }
    if (guard_.cold(now_, h->started)) h->cold_sent.add(now_, cold_cost(s), now_ - guard_.window());
    refusing_since_ = now_;
    if (s.dials > 0) budget_.spend(now_);
    // With no other dial to be had after it, this one has all the time there is.
    const Micros limit = dials.limit(s, now_, patience_, budget_.allows(now_));
    s.dialed(h->id, now_);
    ++h->dialing;
    s.charged = s.load + copy_charge(*h, s);
    h->sent.add(now_, s.charged);
    out_.dial(s.id, h->id, limit);
  }

  static bool holds_own(const Host& h) { return h.own || h.dialing; }
  Micros every(const Host& h) const { return holds_own(h) ? own_every_ : idle_every_; }

  void hold(SlabKey key, Session& s) {
    if (!std::exchange(s.waiting, true))
      out_.set_timer(std::min(kBeat, s.give_up_at - now_), TimerId{key.packed()});
  }

  // Where probes are seldom, the host offered is asked before the dial unless its report is current. Guards
  // against dials to full hosts of which the node knows nothing. No session waits long for that.
  bool must_ask(const Host& h, const Session& s) const {
    if (probe_every_ <= kCurrent) return false;
    if (s.give_up_at - now_ < listeners_[s.taken.listener.value].handshake_target * 3 / 4) return false;
    return h.asking || now_ - std::max(h.forecast.at(), h.asked_at) > kCurrent;
  }

  bool full() const { return full_at_ != kNever && now_ - full_at_ < 2 * kProbeEvery; }  // of late
  bool heavy(const Session& s) const { return s.load > kHeavy * usual_load(s.taken); }

  // While sessions are refused, one that costs far more than usual takes the place of several.
  void let_go_heavy() {
    if (!full()) return;
    for (Host& h : hosts_)
      if (h.usable() && load_of(h) >= kFullAt - kLightAt) move_off(h, h.own_load * kLightAt, Leaving::heavy);
  }

  void give_up(SlabKey key, Session& s, const Dials& dials, RefusalReason why) {
    if (dials.may_refuse(s))
      out_.refuse(s.id, std::min(dial_limits_.max_retry_after, spread(kProbeEvery)), why);
    else
      out_.tear_down(s.id, why);
    sessions_.release(key);
  }

  void beat() {
    out_.set_timer(kBeat, TimerId{0});
    if (ask_list_at_ != kNever && now_ >= ask_list_at_) {
      ask_list_at_ = kNever;
      out_.watch_list();
    }
    probe_every_ = own_every_ = idle_every_ =
        pace_.interval(now_, began_, static_cast<double>(hosts_.size()));
    if (probe_every_ > kCurrent) {
      // The same price buys more where own sessions are. Guards against a host that stays overloaded since
      // none of the many nodes that each have a session there asks it in time.
      const double asked = holders_ + kIdleProbes * (static_cast<double>(hosts_.size()) - holders_);
      own_every_ = std::max(kCurrent, pace_.interval(now_, began_, asked));
      idle_every_ = Micros{std::llround(static_cast<double>(own_every_.count()) / kIdleProbes)};
    }
    full_time_.add(now_, full_ * seconds(kBeat));
    // Where probes are seldom a part of the hosts has its turn at each beat, all of them within an interval.
    // Guards against a node of many that spends its time on looking at a large fleet of which it uses next to
    // nothing.
    const unsigned turns = probe_every_ > kCurrent ? kBeatsPerProbe : 1;
    if (beats_ % turns == 0) holders_ = std::exchange(counted_, 0);
    double own_load = 0;
    for (std::size_t i = beats_ % turns; i < hosts_.size(); i += turns) {
      Host& h = hosts_[i];
      counted_ += holds_own(h) ? 1 : 0;
      own_load += h.own_load;
      h.sent.set_half_life(every(h));
      h.way.set_half_life(2 * every(h));
      if (!pace_.allowed() || !h.usable() || !worth_asking(h)) continue;
      if ((h.probe_due += turns * ratio(kBeat, every(h))) < 1) continue;
      h.probe_due -= 1;
      out_.probe(h.id);
    }
    if (full_ > 0) load_time_.add(now_, turns * own_load * seconds(kBeat));
    if (std::exchange(look_, false)) {
      leave_bad_ways();
      // A host on its way out is the heaviest there can be: own connections leave it, a part at each beat.
      for (Host& h : hosts_) {
        look_ = look_ || h.standing == HostStatus::draining || h.way.bad();
        if (h.standing == HostStatus::draining && h.own)
          move_off(h, h.own_load / kBeatsPerProbe, Leaving::drain);
      }
    }
    if (++beats_ % kBeatsPerProbe == 0) {
      rebalance();
      if (mean_load_ >= kFullAt) let_go_heavy();
    }
  }

  // Connections are as badly served over a bad way as the probes are. They leave for hosts that are well from
  // here as far as those have room, of which this node takes no more than its part twice over: as many as
  // half of all nodes may see the same.
  void leave_bad_ways() {
    // A suspended one is the paper's to relieve, unless so much is asked of it that it serves nobody.
    const auto is_left = [](const Host& h) {
      return h.own && h.usable() && h.way.bad() && (!h.suspended || h.forecast.raw() >= kCrippled);
    };
    if (per_load_ <= 0 || std::none_of(hosts_.begin(), hosts_.end(), is_left)) return;
    double room = 0;
    for (const Host& h : hosts_) {
      const double load = h.usable() ? load_of(h) : 1;
      // Where all ways turn bad, one is the first: the others must not take its connections.
      if (!ill_now(h) && h.way.clear(now_) && !no_room(h, load))
        room += (kFullAt - load) * h.share / per_load_;
    }
    room = 2 * room / nodes_ - under_way_.at(now_);
    for (Host& h : hosts_) {
      const double load = std::min(h.own_load / kBeatsPerProbe, room);
      if (!is_left(h) || load <= 0) continue;
      under_way_.add(now_, load);
      room -= load;
      move_off(h, load, Leaving::drain);
    }
  }

  // The paper's two schedules: heaviest with lightest on overload, else now and then toward a light one.
  void rebalance() {
    take_means();
    order_.clear();
    for (Host& h : hosts_) {
      if (h.usable() && h.forecast.known() && !h.way.bad()) order_.emplace_back(load_of(h), &h);
    }
    std::stable_sort(order_.begin(), order_.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    bool overload = false;
    for (std::size_t i = 0, j = order_.size(); i + 1 < j && order_[j - 1].second->suspended; ++i) {
      overload = true;
      pair_up(*order_[--j].second, *order_[i].second);
    }
    if (overload || order_.size() < 2) {
      quiet_since_ = now_;
    } else if (now_ - quiet_since_ >= kQuietRest) {
      quiet_since_ = now_;
      const auto& [least, light] = order_.front();
      const auto& [most, heavy] = order_.back();
      if (least <= kLightAt && most - least > kLightAt) pair_up(*heavy, *light);
    }
  }

  // Moves show in the reports only after a while; until then the host is left alone.
  void pair_up(Host& heavy, Host& light) {
    if (heavy.moved_at != kNever && heavy.forecast.at() - heavy.moved_at < 2 * kProbeEvery) return;
    const double load = load_of(heavy);
    const bool relief = light.suspended || guard_.cold(now_, light.started);
    // Where no host is lighter, one past what it can do serves nobody: the least useful load leaves for good.
    if (relief && load < 1) return;
    const double share = relief ? (load - kFullAt) / load : Mover::share(load, load_of(light));
    if (move_off(heavy, heavy.own_load * share, relief ? Leaving::relief : Leaving::even))
      heavy.moved_at = now_;
  }

  // First go sessions whose group has another home, the groups least held here before others; then group by
  // group, those that every node thinks least suited to the host. For relief, the least utility for its load.
  bool move_off(Host& from, double load, Leaving why) {
    leaving_.clear();
    sessions_.for_each([&](SlabKey, Session& s) {
      if (s.state != State::open || s.moved || s.host != from.id) return;
      if (why == Leaving::relief)
        return leaving_.push_back({listeners_[s.taken.listener.value].utility / std::max(s.load, 1e-9), &s});
      if (why == Leaving::heavy) {
        if (heavy(s)) leaving_.push_back({-s.load / usual_load(s.taken), &s});
        return;
      }
      double order = 0;
      if (s.taken.group) {
        const bool home = std::any_of(hosts_.begin(), hosts_.end(), [&](const Host& h) {
          return h.id != from.id && h.usable() && !h.suspended && h.holds(s.taken.group);
        });
        order = home ? from.groups.of(*s.taken.group) : kAlone + rank(*s.taken.group, from);
      }
      leaving_.push_back({order, &s});
    });
    std::stable_sort(leaving_.begin(), leaving_.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    bool any = false;
    double last = 0;
    for (std::size_t i = 0; i < leaving_.size() && load > 0; ++i) {
      const auto& [order, s] = leaving_[i];
      if (why == Leaving::even && order >= kAlone && order != std::exchange(last, order)) {
        // A part of a group that goes where none of it is makes one more copy: it goes whole or stays.
        double whole = 0;
        for (std::size_t j = i; j < leaving_.size() && leaving_[j].first == order; ++j)
          whole += leaving_[j].second->load;
        if (whole > load) {
          while (i + 1 < leaving_.size() && leaving_[i + 1].first == order) ++i;
          continue;
        }
      }
      // Guards against many nodes that each round their part of a move up to a session.
      if (why == Leaving::even && std::generate_canonical<double, 32>(chance_) * s->load > load) break;
      s->moved = any = true;
      load -= std::max(s->load, 1e-9);
      if (s->taken.client && why != Leaving::drain) sent_away_.note(*s->taken.client, s->load, now_);
      out_.move(s->id);
    }
    return any;
  }

  static constexpr unsigned kMostPatience = 64;
  static constexpr double kAlone = 1e9, kCrowded = 1.25, kCopy = 2.0 / 3, kMostCopy = 8, kDear = 4,
                          kHeavy = 2, kOneCore = 1e-6, kIdleProbes = 0.125, kFewOfGroup = 2, kPriorOwn = 8,
                          kFewestHosts = 3, kCrippled = 2;

  BalancerActions& out_;
  std::knuth_b chance_;
  unsigned nodes_;
  ZoneId zone_;
  std::vector<Listener> listeners_;
  Micros message_target_;  // the shortest
  DialLimits dial_limits_;
  RetryBudget budget_;
  ColdGuard guard_;
  // Of own sessions that ended of themselves; of all, in load seconds; and the hosts that all load fills.
  DecayingSum ended_load_, load_time_, full_time_;
  ListPolicy list_;
  double crossing_price_;
  ProbePace pace_;
  Micros probe_every_ = kProbeEvery, own_every_ = kProbeEvery, idle_every_ = kProbeEvery;
  Rotation rotation_;
  std::vector<DecayingMean> usual_;
  ClientLoads sent_away_;
  DialThrottle throttle_;
  DecayingSum under_way_{kProbeEvery};  // load moved off bad ways that is not back yet
  HostsById<Host> hosts_;
  std::vector<std::pair<double, Host*>> order_;
  std::vector<std::pair<double, Session*>> leaving_;
  std::vector<unsigned> against_;
  std::vector<SlabKey> held_;
  std::vector<double> ranks_, sorted_;
  Slab<Session> sessions_;
  Micros now_{0}, began_ = kNever, quiet_since_{0}, ask_list_at_ = kNever, full_at_ = kNever,
                  refusing_since_{0}, list_wait_ = kProbeEvery;
  bool list_stale_ = false, listing_whole_ = false, mean_known_ = false, suspect_ = false,
       sees_groups_ = false, told_ = false;
  double mean_load_ = 0, mean_own_ = 0, per_load_ = 0, mean_session_ = 0, per_share_ = 0, full_ = 0,
         holders_ = 0, counted_ = 0;
  bool look_ = false;  // whether a host drains or its way is bad
  unsigned beats_ = 0, patience_ = 1;
};

}  // namespace

std::unique_ptr<Balancer> make_balancer(BalancerActions& outlet, std::uint64_t seed, unsigned nodes,
                                        ZoneId zone, std::vector<Listener> listeners, DialLimits dials,
                                        ColdStartLimits cold, ListPolicy list, Prices prices) {
  return std::make_unique<Decisions>(outlet, seed, nodes, zone, std::move(listeners), dials, cold, list,
                                     prices);
}

}  // namespace flintweir
