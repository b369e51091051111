#include "lab/fleet/change_experiment.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "changes/datagram.h"
#include "lab/faults/input_error.h"
#include "lab/fleet/loopback_harness.h"
#include "lab/fleet/virtual_harness.h"
#include "numbers.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;
using changes::Change;
using changes::ChangeId;
using changes::ChangeNumber;

constexpr Micros kLook = 200ms;

// Publishes changes, and asks processes what they have.
class Publisher final : net::DatagramEvents, changes::MessageHandler {
 public:
  using Seen = std::function<void(NodeEndpoint, const changes::Status&)>;
  Publisher(FleetHarness& harness, Seen seen) : harness_(harness), seen_(std::move(seen)) {
    harness_.observer().open_datagrams(harness_.observer_address());
    harness_.observer().wait_datagram(*this);
  }
  // `parts`: what is given of it; fewer where its publisher dies meanwhile.
  void publish(const Change& change, NodeEndpoint to, std::uint32_t parts = ~0u) {
    held_[change_id(change)] = {change, parts};
    send(to, encode_have(me(), {change_id(change), {}}));
  }
  void ask(NodeEndpoint whom) {
    const std::uint64_t nonce = ++nonces_;
    asked_[nonce] = whom;
    send(whom, changes::encode_query(me(), nonce));
    asked_.erase(asked_.begin(), asked_.lower_bound(nonce > 20000 ? nonce - 20000 : 0));
  }

 private:
  changes::Sender me() const { return {harness_.fleet_name(), "publisher", harness_.observer_address()}; }
  void send(NodeEndpoint to, const std::string& bytes) {
    harness_.observer().send_datagram(harness_.listen_address(to), bytes);
  }
  void datagram_pending() override {
    char bytes[changes::kMaxDatagramBytes + 1];
    for (;;) {
      const net::ReceiveResult got = harness_.observer().receive(bytes, sizeof bytes);
      if (got.status == net::IoStatus::would_block) break;
      came_from_ = got.from;
      if (got.status == net::IoStatus::done) changes::decode({bytes, got.bytes}, "", *this);
    }
    harness_.observer().wait_datagram(*this);
  }
  void on_want(const changes::Sender&, const ChangeId& of, std::uint32_t wanted) override {
    const auto it = held_.find(of);
    if (it == held_.end()) return;
    for (const std::string& one : changes::encode_parts(me(), it->second.first, wanted & it->second.second))
      harness_.observer().send_datagram(came_from_, one);
  }
  void on_status(const changes::Sender&, std::uint64_t nonce, const changes::Status& status) override {
    if (const auto it = asked_.find(nonce); it != asked_.end()) seen_(it->second, status);
  }

  FleetHarness& harness_;
  Seen seen_;
  std::map<ChangeId, std::pair<Change, std::uint32_t>> held_;
  std::map<std::uint64_t, NodeEndpoint> asked_;
  Address came_from_;  // past all relays, as the question came
  std::uint64_t nonces_ = 0;
};

class ChangeExperiment {
 public:
  ChangeExperiment(const ChangeExperimentPlan& plan, FleetHarness& harness, std::uint64_t seed,
                   std::string trouble)
      : plan_(plan),
        harness_(harness),
        chance_(static_cast<std::knuth_b::result_type>(mix(seed + 0xc4a6) | 1)),
        publisher_(harness, [this](NodeEndpoint at, const changes::Status& s) { seen(at, s); }),
        began_(harness.now()) {
    const auto& all = change_faults();
    if (!trouble.empty() && std::find(all.begin(), all.end(), trouble) == all.end())
      throw InputError("there is no trouble '" + trouble + "'");
    out_.fault = trouble.empty() ? all[chance_() % all.size()] : trouble;
    units_.resize(plan.nodes);
    harness_.on_sent = [this](NodeEndpoint from, std::size_t bytes) {
      sent_ += bytes;
      units_[from.node].sent += bytes;
    };
  }

  ChangeResult play() {
    for (unsigned i = 0; i < std::min(3u, plan_.nodes); ++i)
      seeds_.push_back({i * plan_.nodes / 3 % plan_.nodes, 0});
    for (unsigned i = 0; i < plan_.nodes; ++i) at(part(100ms), [this, i] { start(i); });
    at(plan_.join_time / 2, [this] { look(); });
    // At rest, then one change with nobody in trouble.
    at(plan_.join_time, [this] { before_ = sent_; });
    at(plan_.join_time + 2s, [this] {
      out_.idle_bytes_per_second = static_cast<double>(sent_ - before_) / 2.0 / plan_.nodes;
      before_ = sent_;
      for (Unit& u : units_) u.sent = 0;
      publish(text());
    });
    const Micros first = plan_.join_time + 2s + plan_.propagation_limit;
    at(first, [this] {
      out_.change_bytes_per_second =
          static_cast<double>(sent_ - before_) / seconds(plan_.propagation_limit) / plan_.nodes;
      for (const Unit& u : units_)
        out_.max_change_bytes_per_second = std::max(
            out_.max_change_bytes_per_second, static_cast<double>(u.sent) / seconds(plan_.propagation_limit));
      // While members still find each other, a fleet that starts at once says more: its bound is the view's.
      if (out_.max_change_bytes_per_second > plan_.max_bytes_per_second)
        broken("budget", std::to_string(static_cast<int>(out_.max_change_bytes_per_second)) +
                             " bytes a second of one node");
      judge("late");
    });
    at(first + 100ms, [this] { begin(); });
    // A change in the middle of it, and what the trouble adds.
    at(first + 100ms + plan_.fault_duration / 3, [this] { publish(text()); });
    at(first + 100ms + plan_.fault_duration, [this] { heal(); });
    // Members that were cut off or came back have to find each other first: that is the view's.
    const Micros healed = first + 100ms + plan_.fault_duration + (calm() ? 0us : 10 * plan_.interval);
    at(healed + plan_.propagation_limit, [this] { judge(calm() ? "late" : "settled"); });
    harness_.run_until(began_ + healed + plan_.propagation_limit + 100ms);
    harness_.on_sent = nullptr;
    for (unsigned i = 0; i < units_.size(); ++i) kill(i);
    return std::move(out_);
  }

 private:
  struct Unit {
    bool up = false, frozen = false;
    changes::HeldChanges held;
    std::size_t sent = 0;
  };
  struct Published {
    ChangeId which;
    bool refused = false, refused_by_odd = false;
    Micros at;
    bool known = false;
  };

  bool calm() const { return out_.fault == "calm"; }
  void at(Micros in, std::function<void()> act) { harness_.schedule_at(began_ + in, std::move(act)); }
  void after(Micros in, std::function<void()> act) {
    harness_.schedule_at(harness_.now() + in, std::move(act));
  }
  Micros part(Micros of) {
    return Micros{static_cast<std::int64_t>(static_cast<double>(of.count()) *
                                            std::generate_canonical<double, 32>(chance_))};
  }
  void broken(const std::string& rule, const std::string& what) {
    if (out_.violations.size() < 20 && said_.insert(rule + what).second)
      out_.violations.push_back({rule, harness_.now() - began_, what});
  }

  void start(unsigned i) {
    Unit& u = units_[i];
    if (u.up) return;
    u = {true, false, {}, u.sent};
    started_[i] = harness_.now();
    harness_.start({i, 0}, "n" + std::to_string(i), seeds_);
  }
  void kill(unsigned i) {
    if (!std::exchange(units_[i].up, false)) return;
    harness_.kill({i, 0});
  }
  void freeze(unsigned i, bool on) {
    if (!units_[i].up || units_[i].frozen == on) return;
    units_[i].frozen = on;
    harness_.freeze({i, 0}, on);
  }

  // A change that every node can take, of any size.
  std::string text() {
    std::string out = "[listener.chat]\nutility = " + std::to_string(1 + chance_() % 9) + '\n';
    const std::size_t size = chance_() % (changes::kMaxTextBytes - 100);
    while (out.size() < size) out += "# " + std::to_string(chance_()) + '\n';
    return out;
  }
  void publish(const std::string& text, bool refused = false, bool by_odd = false,
               std::uint32_t parts = ~0u) {
    const Change change{ChangeNumber{++number_ * 1000}, text};
    published_.push_back({change_id(change), refused, by_odd, harness_.now(), false});
    std::vector<unsigned> up;
    for (unsigned i = 0; i < units_.size(); ++i)
      if (units_[i].up && !units_[i].frozen) up.push_back(i);
    if (up.empty()) return;
    const unsigned to = up[chance_() % up.size()];
    if (parts != ~0u) published_.back().which = {};  // nobody is owed what was never whole
    // As the command does, until it is heard: any datagram may be lost.
    for (int i = 0; i < 4; ++i)
      after(200ms * i, [this, change, to, parts] { publisher_.publish(change, {to, 0}, parts); });
  }

  template <class Of>
  void ways(Of of, const DatagramFaults& post) {
    for (unsigned a = 0; a < plan_.nodes; ++a)
      for (unsigned b = 0; b < plan_.nodes; ++b)
        if (a != b && of(a, b)) harness_.link(a, b) = post;
  }

  void begin() {
    const std::string& t = out_.fault;
    DatagramFaults bad;
    const unsigned half = plan_.nodes / 2;
    if (t == "crash" || t == "restart") {
      for (unsigned i = 0; i < plan_.nodes; ++i) {
        if (i == 0 || chance_() % 2) continue;
        after(part(plan_.fault_duration / 2), [this, i, t] {
          kill(i);
          if (t == "restart") after(300ms, [this, i] { start(i); });
        });
      }
    } else if (t == "restart-all") {
      // One after the other, so that never all are away at once: what they hold passes on.
      for (unsigned i = 0; i < plan_.nodes; ++i)
        after(plan_.fault_duration * i / (plan_.nodes + 1), [this, i] {
          kill(i);
          after(100ms, [this, i] { start(i); });
        });
    } else if (t == "cut" || t == "cut-one-way") {
      bad.blocked = true;
      ways([&](unsigned a,
               unsigned b) { return t == "cut" ? (a < half) != (b < half) : a < half && b >= half; },
           bad);
      // A second one, at either side; the larger number is everybody's in the end.
      after(plan_.fault_duration / 2, [this] { publish(text()); });
    } else if (t == "loss" || t == "mangled") {
      bad.loss = t == "loss" ? 0.3 : 0.05;
      if (t == "mangled") {
        bad.duplication = bad.replay = 0.3;
        bad.corruption = 0.1;
        bad.jitter = 100ms;
      }
      ways([](unsigned, unsigned) { return true; }, bad);
    } else if (t == "pause") {
      for (unsigned i = 1; i < plan_.nodes; i += 3) freeze(i, true);
    } else if (t == "busy") {
      for (unsigned i = 1; i < plan_.nodes; i += 3)
        for (Micros in = 0us; in < plan_.fault_duration; in += 200ms) {
          after(in, [this, i] { freeze(i, true); });
          after(in + 180ms, [this, i] { freeze(i, false); });
        }
    } else if (t == "two-at-once") {
      publish(text());
      publish(text());
      publish(text());
    } else if (t == "refused" || t == "refused-by-odd") {
      after(plan_.fault_duration / 2, [this, t] {
        publish(t == "refused" ? "[listener.video]\nutility = 2\n" : "[listener.even]\nutility = 2\n",
                t == "refused", t != "refused");
      });
      // Who starts after it has to come to what the others run by.
      after(plan_.fault_duration * 2 / 3, [this] { kill(plan_.nodes - 1); });
      after(plan_.fault_duration * 2 / 3 + 200ms, [this] { start(plan_.nodes - 1); });
    } else if (t == "half-published") {
      after(plan_.fault_duration / 2,
            [this] { publish(text() + std::string(1000, '#') + '\n', false, false, 1); });
    } else if (t == "older-again") {
      // The publisher of a former number comes back late and says it again to everybody.
      after(plan_.fault_duration / 2, [this] {
        const Change old{ChangeNumber{1}, "[listener.chat]\nutility = 8\n"};
        published_.push_back({change_id(old), false, false, harness_.now(), true});
        for (unsigned i = 0; i < plan_.nodes; ++i) publisher_.publish(old, {i, 0});
      });
    }
  }

  void heal() {
    ways([](unsigned, unsigned) { return true; }, DatagramFaults());
    for (unsigned i = 0; i < plan_.nodes; ++i) freeze(i, false);
  }

  void look() {
    for (unsigned i = 0; i < units_.size(); ++i)
      if (units_[i].up && !units_[i].frozen) publisher_.ask({i, 0});
    after(kLook / (plan_.nodes > 100 ? 1 : 4), [this] { look(); });
  }

  const Published* published(const ChangeId& w) const {
    for (const Published& p : published_)
      if (p.which == w) return &p;
    return nullptr;
  }
  static bool refuses(const Published& p, unsigned node) {
    return p.refused || (p.refused_by_odd && node % 2);
  }

  void seen(NodeEndpoint place, const changes::Status& s) {
    Unit& u = units_[place.node];
    if (!u.up) return;
    ++out_.observations;
    const std::string who = "n" + std::to_string(place.node);
    // An answer of a process before this one comes after its start by a little at most: those of a new one
    // rise.
    if (s.held.newest < u.held.newest || s.held.in_force < u.held.in_force) {
      if (harness_.now() - started_[place.node] > 500ms)
        broken("back", who + " has an older change than before");
    }
    for (const ChangeId& w : {s.held.newest, s.held.in_force})
      if (w.number.value && !published(w))
        broken("whole",
               who + " has change " + std::to_string(w.number.value) + ", which nobody published so");
    if (const Published* p = published(s.held.in_force); p && refuses(*p, place.node))
      broken("refused", who + " runs by a change that does not fit it");
    if (s.held.in_force != s.held.newest && s.reason.empty())
      broken("refused", who + " does not run by the newest and says no reason");
    u.held = s.held;
    note_known();
  }
  void note_known() {
    for (Published& p : published_) {
      if (p.known || p.which.number.value == 0) continue;
      const bool all = std::all_of(units_.begin(), units_.end(), [&](const Unit& u) {
        return !u.up || u.frozen || u.held.newest >= p.which;
      });
      if (!all) continue;
      p.known = true;
      out_.propagation_ms.push_back(seconds(harness_.now() - p.at) * 1e3);
    }
  }

  // By now all that run have the newest, and run by the newest that fits them.
  void judge(const std::string& rule) {
    ChangeId newest;
    for (const Published& p : published_) newest = std::max(newest, p.which);
    for (unsigned i = 0; i < units_.size(); ++i) {
      const Unit& u = units_[i];
      if (!u.up) continue;
      ChangeId fits;
      for (const Published& p : published_)
        if (!refuses(p, i)) fits = std::max(fits, p.which);
      const std::string who = "n" + std::to_string(i);
      if (u.held.newest != newest)
        broken(rule, who + " has change " + std::to_string(u.held.newest.number.value) + ", not " +
                         std::to_string(newest.number.value));
      else if (u.held.in_force != fits)
        broken(rule, who + " runs by change " + std::to_string(u.held.in_force.number.value) + ", not " +
                         std::to_string(fits.number.value));
    }
  }

  const ChangeExperimentPlan& plan_;
  FleetHarness& harness_;
  std::knuth_b chance_;
  Publisher publisher_;
  Micros began_;
  std::vector<Unit> units_;
  std::map<unsigned, Micros> started_;
  std::vector<NodeEndpoint> seeds_;
  std::vector<Published> published_;
  std::set<std::string> said_;
  std::uint64_t number_ = 0;
  std::size_t sent_ = 0, before_ = 0;
  ChangeResult out_;
};

}  // namespace

const std::vector<std::string>& change_faults() {
  static const std::vector<std::string> all = {
      "calm",        "crash",   "restart",        "restart-all",    "cut",
      "cut-one-way", "loss",    "mangled",        "pause",          "busy",
      "two-at-once", "refused", "refused-by-odd", "half-published", "older-again"};
  return all;
}

ChangeResult run_change_experiment(const ChangeExperimentPlan& plan, FleetHarness& harness,
                                   std::uint64_t seed, const std::string& trouble) {
  return ChangeExperiment(plan, harness, seed, trouble).play();
}

ChangeResult run_changes_virtual(const ChangeExperimentPlan& plan, std::uint64_t seed,
                                 const std::string& trouble) {
  VirtualHarness harness(plan.nodes, plan.interval, 3600s, seed, nullptr);
  harness.enable_changes();
  return run_change_experiment(plan, harness, seed, trouble);
}

ChangeResult run_changes_loopback(const ChangeExperimentPlan& plan, std::uint64_t seed,
                                  const std::string& trouble, const std::vector<std::string>& program,
                                  const std::string& folder) {
  LoopbackHarness harness(program, folder, plan.nodes, plan.interval, seed);
  harness.set_operator_sections("[changes]\n");
  return run_change_experiment(plan, harness, seed, trouble);
}

}  // namespace flintweir::lab
