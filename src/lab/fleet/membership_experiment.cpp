#include "lab/fleet/membership_experiment.h"

#include <algorithm>
#include <deque>
#include <random>

#include "lab/faults/input_error.h"
#include "lab/fleet/loopback_harness.h"
#include "lab/fleet/virtual_harness.h"
#include "numbers.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

// Asks one process after the other for its view, over the network, as `flintweir members` does.
class Onlooker final : net::DatagramEvents {
 public:
  using Got = std::function<void(const members::ViewQuery&)>;
  explicit Onlooker(FleetHarness& harness) : harness_(harness) {
    harness_.observer().open_datagrams(harness_.observer_address());
    harness_.observer().wait_datagram(*this);
  }
  void ask(NodeEndpoint whom, Got got) {
    Asked& a = asked_[harness_.listen_address(whom)];
    // One whose answer got lost is asked again from the start.
    a = {members::ViewQuery(++nonces_ << 20), std::move(got), harness_.now()};
    harness_.observer().send_datagram(harness_.listen_address(whom), a.asker.next_request());
  }
  // A large view is more than a node shows at once: the part that it held back is asked for again.
  void ask_again(Micros patience) {
    for (auto& [whom, a] : asked_) {
      if (harness_.now() - a.heard < patience) continue;
      a.heard = harness_.now();
      harness_.observer().send_datagram(whom, a.asker.next_request());
    }
  }

 private:
  struct Asked {
    members::ViewQuery asker{0};
    Got got;
    Micros heard{0};
  };
  void datagram_pending() override {
    char bytes[members::kMaxDatagramBytes + 1];
    for (;;) {
      const net::ReceiveResult r = harness_.observer().receive(bytes, sizeof bytes);
      if (r.status == net::IoStatus::would_block) break;
      const auto it = asked_.find(r.from);
      if (r.status != net::IoStatus::done || it == asked_.end()) continue;
      if (it->second.asker.received({bytes, r.bytes})) {
        const Asked done = std::move(it->second);
        asked_.erase(it);
        done.got(done.asker);
      } else {
        it->second.heard = harness_.now();
        harness_.observer().send_datagram(it->first, it->second.asker.next_request());
      }
    }
    harness_.observer().wait_datagram(*this);
  }

  FleetHarness& harness_;
  std::map<Address, Asked> asked_;
  std::uint64_t nonces_ = 0;
};

class Rig {
 public:
  Rig(const MembershipPlan& plan, FleetHarness& harness, std::uint64_t seed, std::string only)
      : plan_(plan),
        harness_(harness),
        only_(std::move(only)),
        chance_(static_cast<std::knuth_b::result_type>(mix(seed + 0x9e37) | 1)),
        onlooker_(harness),
        began_(harness.now()),
        checker_(plan.interval, [this](const MembershipViolation& b) {
          // Each once, however often it is looked at.
          if (out_.violations.size() < 20 && said_.insert(b.description).second)
            out_.violations.push_back({b.rule, b.at - began_, b.description});
        }) {
    for (unsigned i = 0; i < plan.nodes; ++i) units_.push_back({"n" + std::to_string(i), {i, 0}, false, {}});
    harness_.on_sent = [this](NodeEndpoint from, std::size_t bytes) {
      for (const Unit* u : {&units_[from.node], &units_.back()})
        if (u->at == from) return checker_.sent(u->name, bytes, harness_.now());
    };
  }

  MembershipResult play() {
    for (unsigned i = 0; i < plan_.seeds; ++i) seeds_.push_back({i * plan_.nodes / plan_.seeds, 0});
    // All within the same 100 ms, the seeds among them.
    for (unsigned i = 0; i < plan_.nodes; ++i)
      harness_.schedule_at(began_ + part(100ms), [this, i] { start(i); });
    look(0);
    const Micros ready = began_ + plan_.starts;
    std::uint64_t before = 0;
    harness_.schedule_at(ready, [this, &before] { before = checker_.sent_bytes(); });
    const Micros rest_from = ready, rest_to = ready + std::min<Micros>(plan_.quiet / 2, 3s);
    harness_.schedule_at(rest_to, [this, &before, rest_from, rest_to] {
      out_.idle_bytes_per_second = static_cast<double>(checker_.sent_bytes() - before) /
                                   seconds(rest_to - rest_from) / static_cast<double>(plan_.nodes);
    });
    Micros last = rest_to;
    for (const FleetFault& t : drawn()) {
      const Micros at = rest_to + part(plan_.quiet);
      out_.faults.push_back(t.name);
      last = std::max(last, at + t.lasts + 100ms);
      cut_ = cut_ || t.kind.starts_with("cut");
      harness_.schedule_at(at, [this, t] { begin(t); });
    }
    last_trouble_ = last;
    harness_.run_until(last + plan_.settles);
    harness_.read_logs([this](NodeEndpoint at, std::string_view line) {
      for (const Unit& u : units_)
        if (u.at == at && u.up) checker_.logged(u.name, line);
    });
    checker_.settled(harness_.now());
    out_.running_reported_failed = checker_.called_failed();
    if (agree_since_ != kNever) {
      out_.reconverged_ms = std::max(0.0, seconds(agree_since_ - last_trouble_) * 1e3);
    }
    out_.observations = checker_.looks();
    out_.duration_s = seconds(harness_.now() - began_);
    harness_.on_sent = nullptr;
    for (Unit& u : units_) harness_.kill(u.at);
    return std::move(out_);
  }

 private:
  struct Unit {
    std::string name;
    NodeEndpoint at;
    bool up = false;
    bool frozen = false;
    Micros heard_from{0}, started{0};
  };

  Micros part(Micros of) {
    return Micros{static_cast<std::int64_t>(static_cast<double>(of.count()) *
                                            std::generate_canonical<double, 32>(chance_))};
  }
  void after(Micros in, std::function<void()> act) {
    harness_.schedule_at(harness_.now() + in, std::move(act));
  }

  std::vector<FleetFault> drawn() {
    std::vector<FleetFault> all, out;
    for (const FleetFault& t : plan_.faults)
      if (only_.empty() || t.kind == only_ || t.name == only_) all.push_back(t);
    if (!only_.empty() && all.empty())
      throw InputError(plan_.name + ":1: there is no trouble '" + only_ + "'");
    if (all.empty()) return out;
    const unsigned n = only_.empty() ? plan_.at_once : 1;
    for (unsigned i = 0; i < n; ++i) out.push_back(all[chance_() % all.size()]);
    return out;
  }

  // So many of those that run, at least one, never the last one left.
  std::vector<unsigned> some(double share, std::optional<std::size_t> exactly = {}) {
    std::vector<unsigned> up;
    for (unsigned i = 0; i < units_.size(); ++i)
      if (units_[i].up && !units_[i].frozen) up.push_back(i);
    for (std::size_t i = up.size(); i > 1; --i) std::swap(up[i - 1], up[chance_() % i]);
    std::size_t n =
        std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(up.size())));
    if (exactly) n = *exactly;
    up.resize(std::min(n, up.empty() ? 0 : up.size() - 1));
    return up;
  }

  void start(unsigned i) {
    Unit& u = units_[i];
    if (u.up) return;
    u.up = true;
    u.heard_from = u.started = harness_.now();
    checker_.up(u.name, harness_.now());
    harness_.start(u.at, u.name, seeds_);
  }
  void kill(unsigned i) {
    Unit& u = units_[i];
    if (!u.up) return;
    u.up = false;
    harness_.kill(u.at);
    checker_.down(u.name, harness_.now());
    agree_since_ = kNever;
  }
  void crash(unsigned i) {
    kill(i);
    crashed_.emplace_back(units_[i].name, harness_.now());
  }
  void excuse(const std::vector<unsigned>& nodes, bool accused, bool accuses) {
    for (const unsigned i : nodes) {
      if (accused) accused_.insert(units_[i].at.node);
      if (accuses) accuse_.insert(units_[i].at.node);
    }
    for (const Unit& u : units_) excused_as_its_machine(u);
  }
  void excused_as_its_machine(const Unit& u) {
    if (accused_.contains(u.at.node)) checker_.may_be_failed(u.name);
    if (accuse_.contains(u.at.node)) checker_.may_accuse(u.name);
  }
  std::vector<unsigned> all() const {
    std::vector<unsigned> out;
    for (unsigned i = 0; i < units_.size(); ++i) out.push_back(i);
    return out;
  }
  // Changes each way, and undoes it later.
  template <class Of, class Change>
  void treat(Micros lasts, Of of, Change change) {
    for (unsigned a = 0; a < plan_.nodes; ++a)
      for (unsigned b = 0; b < plan_.nodes; ++b)
        if (a != b && of(a, b)) change(harness_.link(a, b));
    after(lasts, [this, of] {
      for (unsigned a = 0; a < plan_.nodes; ++a)
        for (unsigned b = 0; b < plan_.nodes; ++b)
          if (a != b && of(a, b)) harness_.link(a, b) = DatagramFaults();
    });
  }
  // A seed that stays where it is: where all had gone, whoever starts again could find nobody.
  unsigned stays() const { return seeds_.back().node; }
  static DatagramFaults cut() {
    DatagramFaults out;
    out.blocked = true;
    return out;
  }
  // Which part of a fleet cut in so many a node is in; the first has that share.
  std::vector<unsigned> parts(const FleetFault& t) {
    std::vector<unsigned> out(units_.size());
    const std::vector<unsigned> first = some(t.share > 0 ? t.share : 1.0 / t.parts);
    for (unsigned& o : out) o = 1 + static_cast<unsigned>(chance_() % (t.parts - 1));
    for (const unsigned i : first) out[i] = 0;
    if (t.kind == "cut-moved") out[stays()] = 1;
    // Nearly all still reach a large part.
    for (unsigned part = 0; part < t.parts; ++part) {
      std::vector<unsigned> in;
      std::size_t here = 0, up = 0;
      for (unsigned i = 0; i < out.size(); ++i) {
        if (out[i] == part) in.push_back(i);
        here += out[i] == part && units_[i].up;
        up += units_[i].up;
      }
      const bool most = static_cast<double>(here) >= 0.8 * static_cast<double>(up);
      if (!most) excuse(in, true, true);
      // Whoever is cut off is rightly called failed by the rest.
    }
    return out;
  }

  void begin(const FleetFault& t) {
    agree_since_ = kNever;
    if (t.kind == "crash" || t.kind == "crash-back" || t.kind == "moved" || t.kind == "clock-back") {
      for (const unsigned i : some(t.share)) {
        if (i == stays() && t.kind == "crash") continue;
        // Of those left, those on one side of a cut may be few; and one that is left alone reaches nobody.
        if (t.share > 0.8 || (t.share >= 0.5 && cut_)) excuse(all(), true, true);
        excuse({i}, true, false);
        after(part(100ms), [this, i, t] {
          if (t.kind == "crash") return crash(i);
          kill(i);
          if (t.kind == "moved" && i != stays()) units_[i].at.address ^= 1;
          if (t.kind == "clock-back") harness_.set_clock_lag(units_[i].at, 3600s);
          after(t.lasts, [this, i] { start(i); });
        });
      }
    } else if (t.kind == "leave") {
      Micros in = 0us;
      const std::vector<unsigned> who = some(t.share);
      for (const unsigned i : who) {
        if (i == stays()) continue;
        excuse({i}, true, false);
        after(in, [this, i] {
          Unit& u = units_[i];
          if (!u.up) return;
          u.up = false;
          checker_.down(u.name, harness_.now());
          harness_.leave(u.at);
        });
        in += t.lasts / static_cast<std::int64_t>(who.size());
      }
    } else if (t.kind == "pause") {
      for (const unsigned i : some(t.share)) {
        // A short one is no reason to be called failed, and no pause is one to accuse.
        if (t.lasts > 3 * plan_.interval) excuse({i}, true, false);
        freeze(i, t.lasts);
      }
    } else if (t.kind == "busy") {
      for (const unsigned i : some(t.share))
        for (Micros in = 0us; in < t.lasts; in += 150ms) after(in, [this, i] { freeze(i, 120ms); });
    } else if (t.kind == "cut" || t.kind == "cut-flaps" || t.kind == "cut-moved") {
      const std::vector<unsigned> in = parts(t);
      const bool one_way = t.one_way;
      const auto across = [in, one_way](unsigned a, unsigned b) {
        return one_way ? in[a] < in[b] : in[a] != in[b];
      };
      const auto close = [this, across](Micros lasts) {
        treat(lasts, across, [](DatagramFaults& p) { p = cut(); });
      };
      if (t.kind != "cut-flaps") {
        close(t.lasts);
      } else {
        for (Micros at = 0us; at < t.lasts; at += 2 * t.longer)
          after(at, [close, t, at] { close(std::min(t.longer, t.lasts - at)); });
      }
      if (t.kind == "cut-moved") {
        for (unsigned i = 0; i < units_.size(); ++i) {
          if (in[i] != 0 || !units_[i].up) continue;
          after(t.lasts / 2, [this, i] {
            kill(i);
            units_[i].at.address ^= 1;
            after(part(300ms), [this, i] { start(i); });
          });
        }
      }
    } else if (t.kind == "deaf" || t.kind == "slow") {
      const std::vector<unsigned> who = some(t.share);
      excuse(who, true, true);
      treat(
          t.lasts, [who](unsigned, unsigned b) { return std::find(who.begin(), who.end(), b) != who.end(); },
          [&](DatagramFaults& p) {
            p.loss = t.kind == "deaf" ? t.size : 0;
            p.extra_delay = t.kind == "slow" ? t.longer : 0us;
          });
    } else if (t.kind == "loss") {
      // Few false verdicts are allowed past a fifth.
      if (t.size > 0.2) excuse(all(), true, true);
      treat(
          t.lasts, [](unsigned, unsigned) { return true; }, [&](DatagramFaults& p) { p.loss = t.size; });
    } else if (t.kind == "mangled") {
      treat(
          t.lasts, [](unsigned, unsigned) { return true; },
          [&](DatagramFaults& p) {
            p.duplication = p.replay = t.size;
            p.corruption = t.size / 4;
            p.jitter = t.longer;
          });
    } else if (t.kind == "fails-returns") {
      for (const unsigned i : some(0, 1)) {
        excuse({i}, true, false);
        for (Micros at = 0us; at + t.longer < t.lasts; at += t.longer) {
          after(at, [this, i] { kill(i); });
          after(at + t.longer / 2, [this, i] { start(i); });
        }
      }
    } else if (t.kind == "rubbish") {
      for (const unsigned i : some(0, 1)) {
        const Micros each{static_cast<std::int64_t>(1e6 / std::max(t.size, 1.0))};
        // In bursts of a 100th of a second.
        for (Micros at = 0us; at < t.lasts; at += 10ms)
          after(at, [this, i, each] {
            for (Micros sent = 0us; sent < 10ms; sent += each)
              harness_.observer().send_datagram(harness_.listen_address(units_[i].at), rubbish());
          });
      }
    } else if (t.kind == "same-name") {
      for (const unsigned i : some(0, 1)) {
        // A verdict on the younger one must not hurt the elder.
        const NodeEndpoint there{i, 2};
        checker_.may_be_failed(units_[i].name);  // it takes a later start than the younger one's
        harness_.start(there, units_[i].name, seeds_);
        after(t.lasts, [this, there] { harness_.kill(there); });
      }
    } else if (t.kind == "join") {
      // On the machine of one that runs, with an address of its own.
      const unsigned no = plan_.nodes;
      if (units_.size() == no) {
        units_.push_back({"joins", {stays(), 4}, false, false, {}, {}});
        excused_as_its_machine(units_.back());
      }
      if (units_[no].up) return;
      start(no);
      joins_.emplace_back("joins", harness_.now());
    } else if (t.kind == "reload") {
      for (const unsigned i : some(t.share))
        if (units_[i].up)
          harness_.reload(units_[i].at, {{(i + 1) % plan_.nodes, 0}, {(i + 2) % plan_.nodes, 0}});
    }
  }

  void freeze(unsigned i, Micros lasts) {
    Unit& u = units_[i];
    if (!u.up || std::exchange(u.frozen, true)) return;
    const NodeEndpoint at = u.at;
    harness_.freeze(at, true);
    checker_.paused(u.name, true, harness_.now());
    after(lasts, [this, i, at] {
      units_[i].frozen = false;
      units_[i].heard_from = harness_.now();
      harness_.freeze(at, false);
      checker_.paused(units_[i].name, false, harness_.now());
    });
  }

  std::string rubbish() {
    std::string out(1 + chance_() % 600, '\0');
    for (char& c : out) c = static_cast<char>(chance_());
    if (chance_() % 2 && out.size() > 4)
      out[0] = 'f', out[1] = 'w', out[2] = static_cast<char>(1 + chance_() % 2);
    return out;
  }

  // Everybody is asked for his view, in turn, all the while.
  void look(unsigned round) {
    const Micros every = std::max<Micros>(plan_.interval / 3, 50ms);
    const Micros now = harness_.now();
    // Of a large fleet a part each time: a whole view is many datagrams.
    const std::size_t parts = 1 + units_.size() * units_.size() / 20000;
    const Micros patience = std::max<Micros>(5s, every * static_cast<std::int64_t>(4 * parts));
    onlooker_.ask_again(every * 3);
    for (unsigned no = 0; no < units_.size(); ++no) {
      Unit& u = units_[no];
      if (!u.up || u.frozen || no % parts != round % parts) continue;
      onlooker_.ask(u.at, [this, no, at = u.at](const members::ViewQuery& view) {
        Unit& unit = units_[no];
        if (!unit.up || unit.at != at) return;
        unit.heard_from = harness_.now();
        checker_.seen(unit.name, view, harness_.now());
        judge();
      });
      // Also under rubbish and on a busy machine.
      if (now - u.heard_from > patience) {
        checker_.unanswered(u.name, "has given no view for seconds", now);
        u.heard_from = now;
      }
      // Not while it may still be starting, on a busy machine.
      if (round / parts % 10 == no / parts % 10 && now - u.started > plan_.starts) {
        harness_.check_serving(u.at, [this, no, at = u.at](bool well) {
          const Unit& unit = units_[no];
          if (!well && unit.up && unit.at == at && !unit.frozen)
            checker_.unanswered(unit.name, "does not answer its front", harness_.now());
        });
      }
    }
    after(every, [this, round] { look(round + 1); });
  }

  void judge() {
    const Micros now = harness_.now();
    for (auto it = crashed_.begin(); it != crashed_.end();) {
      if (!checker_.all_know_gone(it->first)) {
        ++it;
        continue;
      }
      out_.crash_detection_ms.push_back(seconds(now - it->second) * 1e3);
      it = crashed_.erase(it);
    }
    std::erase_if(joins_, [&](const auto& j) {
      const bool known = checker_.all_know(j.first);
      if (known) out_.join_detection_ms.push_back(seconds(now - j.second) * 1e3);
      return known;
    });
    if (!checker_.agree()) {
      agree_since_ = kNever;
    } else if (agree_since_ == kNever) {
      agree_since_ = now;
      if (!out_.converged_ms && checker_.running() == units_.size())
        out_.converged_ms = seconds(now - began_) * 1e3;
    }
  }

  const MembershipPlan& plan_;
  FleetHarness& harness_;
  std::string only_;
  std::knuth_b chance_;
  Onlooker onlooker_;
  Micros began_, last_trouble_{0}, agree_since_ = kNever;
  std::vector<Unit> units_;
  std::vector<NodeEndpoint> seeds_;
  std::vector<std::pair<std::string, Micros>> crashed_, joins_;
  MembershipResult out_;
  std::set<std::string> said_;
  std::set<unsigned> accused_, accuse_;  // machines whose processes may be called failed, or call others so
  bool cut_ = false;                     // a cut is among the troubles drawn
  MembershipChecker checker_;
};

}  // namespace

MembershipResult run_membership_experiment(const MembershipPlan& plan, FleetHarness& harness,
                                           std::uint64_t seed, const std::string& only) {
  return Rig(plan, harness, seed, only).play();
}

MembershipResult run_membership_virtual(const MembershipPlan& plan, std::uint64_t seed,
                                        const std::string& only, std::string* logged,
                                        std::optional<BaselineProtocol> plain) {
  VirtualHarness harness(plan.nodes, plan.interval, plan.forgets, seed, logged, plain);
  return run_membership_experiment(plan, harness, seed, only);
}

MembershipResult run_membership_loopback(const MembershipPlan& plan, std::uint64_t seed,
                                         const std::string& only, const std::vector<std::string>& program,
                                         const std::string& folder) {
  MembershipPlan real = plan;
  std::erase_if(real.faults, [](const FleetFault& t) {
    return std::any_of(fleet_fault_kinds().begin(), fleet_fault_kinds().end(),
                       [&](const FleetFaultKind& k) { return k.virtual_only && t.kind == k.name; });
  });
  LoopbackHarness harness(program, folder, plan.nodes, plan.interval, seed);
  return run_membership_experiment(real, harness, seed, only);
}

}  // namespace flintweir::lab
