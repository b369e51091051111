#include "lab/leases/lease_search.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <unordered_set>

#include "leases/candidate.h"
#include "leases/voter.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;
using namespace leases;

constexpr Micros kLength = 8s, kAct = 1s;
constexpr const char* kLease = "job";
constexpr std::size_t kMostInFlight = 14;

struct Message {
  std::uint32_t voter, seeker;
  bool answer;
  // Of a request or an answer; texts of their own.
  RequestKind ask{};
  ReplyKind say{};
  Token token, highest;
  Round round;
  Micros left{0};
  std::string holder;
};

// A place to keep what voters promise, apart from the voter.
struct Kept final : VoterStorage {
  std::vector<VoterStorage::Record> all;
  bool save(const VoterStorage::Record& kept) override {
    for (VoterStorage::Record& k : all)
      if (k.lease == kept.lease) return k = kept, true;
    all.push_back(kept);
    return true;
  }
};

// One state of the whole, which can be copied.
class World {
 public:
  explicit World(const LeaseSearch& what) : what_(what) {
    kept_.resize(what.voters);
    for (std::uint32_t v = 0; v < what.voters; ++v) {
      voters_.push_back(make_voter(v, false));
    }
    for (std::uint32_t s = 0; s < what.seekers; ++s) seekers_.push_back(std::make_unique<Unit>(*this, s));
  }
  World(const World& o)
      : what_(o.what_),
        now_(o.now_),
        kept_(o.kept_),
        voters_(o.voters_),
        flying_(o.flying_),
        open_(o.open_),
        last_held_(o.last_held_),
        last_act_(o.last_act_),
        restarts_(o.restarts_),
        doubles_(o.doubles_),
        grants_(o.grants_),
        broken_(o.broken_) {
    for (std::uint32_t s = 0; s < what_.seekers; ++s)
      seekers_.push_back(std::make_unique<Unit>(*this, *o.seekers_[s]));
    // Each voter writes to this world's folders.
    if (what_.folders)
      for (std::uint32_t v = 0; v < voters_.size(); ++v) voters_[v].set_storage(&kept_[v]);
  }

  const std::string& broken() const { return broken_; }
  unsigned grants() const { return grants_; }

  // Everything that can happen next, each by name.
  struct Step {
    enum class Kind { deliver, twice, wake, pass, act, restart, let_go } kind;
    std::uint32_t no = 0;
  };
  std::vector<Step> steps(bool bounded) const {
    std::vector<Step> out;
    for (std::uint32_t i = 0; i < flying_.size(); ++i) {
      out.push_back({Step::Kind::deliver, i});
      if (!bounded || doubles_ < what_.doubles) out.push_back({Step::Kind::twice, i});
    }
    for (std::uint32_t s = 0; s < seekers_.size(); ++s) {
      const Unit& u = *seekers_[s];
      if (u.due && *u.due <= clock(s)) out.push_back({Step::Kind::wake, s});
      Nobody nobody;
      Candidate look(u.seeker, nobody);
      look.set_time(clock(s));
      if (look.holds()) {
        out.push_back({Step::Kind::act, s});
        // While an act is open the code itself does not.
        if ((!bounded || what_.lets_go) &&
            std::none_of(open_.begin(), open_.end(), [&](const Open& o) { return o.seeker == s; }))
          out.push_back({Step::Kind::let_go, s});
      }
    }
    out.push_back({Step::Kind::pass, 0});
    if (!bounded || restarts_ < what_.restarts)
      for (std::uint32_t v = 0; v < voters_.size(); ++v) out.push_back({Step::Kind::restart, v});
    return out;
  }

  void take(const Step& step) {
    switch (step.kind) {
      case Step::Kind::deliver:
      case Step::Kind::twice: {
        const Message m = flying_[step.no];
        if (step.kind == Step::Kind::deliver)
          flying_.erase(flying_.begin() + step.no);
        else
          ++doubles_;
        return deliver(m);
      }
      case Step::Kind::wake: {
        Unit& u = *seekers_[step.no];
        u.due.reset();
        u.seeker.set_time(clock(step.no));
        return u.seeker.timer_expired(u.due_id);
      }
      case Step::Kind::pass:
        now_ += scaled(kLength, what_.step);
        std::erase_if(open_, [&](const Open& a) { return a.end <= now_; });
        return;
      case Step::Kind::act:
        return act(step.no);
      case Step::Kind::restart:
        ++restarts_;
        voters_[step.no] = make_voter(step.no, true);
        return;
      case Step::Kind::let_go: {
        Unit& u = *seekers_[step.no];
        u.seeker.set_time(clock(step.no));
        u.seeker.release();
        u.seeker.acquire();
        return;
      }
    }
  }

  static std::string name(const Step& s) {
    const char* const kinds[] = {"deliver", "twice", "wake", "pass", "act", "restart", "let-go"};
    return std::string(kinds[static_cast<int>(s.kind)]) + ' ' + std::to_string(s.no);
  }

  std::size_t hash() const {
    std::string text = std::to_string(restarts_) + ',' + std::to_string(doubles_) + ',' +
                       std::to_string(last_held_.value) + ',' + std::to_string(last_act_.value);
    for (std::uint32_t v = 0; v < voters_.size(); ++v) {
      text += "\n";
      voters_[v].append_state(voter_clock(v), text);
    }
    for (std::uint32_t s = 0; s < seekers_.size(); ++s) {
      const Unit& u = *seekers_[s];
      text += "\n" + std::to_string(u.due ? std::max(*u.due - clock(s), Micros{0}).count() : -1) + ' ';
      u.seeker.append_state(text);
    }
    std::vector<std::string> in_flight;
    for (const Message& m : flying_)
      in_flight.push_back(std::to_string(m.voter) + (m.answer ? '<' : '>') + std::to_string(m.seeker) + ' ' +
                          std::to_string(m.answer ? static_cast<int>(m.say) : static_cast<int>(m.ask)) + ' ' +
                          std::to_string(m.token.value) + ' ' + std::to_string(m.round.value) + ' ' +
                          std::to_string(m.highest.value));
    std::sort(in_flight.begin(), in_flight.end());
    for (const std::string& m : in_flight) text += '\n' + m;
    for (const Open& a : open_)
      text += "\na" + std::to_string(a.seeker) + ' ' + std::to_string((a.end - now_).count());
    return std::hash<std::string>()(text);
  }

  // Brings the first seeker to hold, by the shortest way.
  void let_first_hold() {
    for (int i = 0; i < 60; ++i) {
      const auto first =
          std::find_if(flying_.begin(), flying_.end(), [](const Message& m) { return m.seeker == 0; });
      if (first == flying_.end()) break;
      take({Step::Kind::deliver, static_cast<std::uint32_t>(first - flying_.begin())});
    }
    std::erase_if(flying_, [](const Message& m) { return m.seeker != 0; });
  }
  void begin_all() {
    if (!what_.folders) now_ = kLength * 2;  // voters have been silent long enough
    for (std::uint32_t s = 0; s < seekers_.size(); ++s) {
      seekers_[s]->seeker.set_time(clock(s));
      seekers_[s]->seeker.acquire();
      if (s == 0 && what_.held) let_first_hold();
    }
  }

 private:
  struct Unit final : Candidate::Delegate {
    Unit(World& of, std::uint32_t no)
        : world(of), no(no), seeker(*this, kLease, of.what_.voters, kLength, Token{100}, no + 1) {}
    Unit(World& of, const Unit& o)
        : world(of), no(o.no), seeker(o.seeker, *this), due(o.due), due_id(o.due_id) {}
    void send_request(VoterIndex v, const Request& r) override {
      world.fly({v.value, no, false, r.kind, {}, r.token, {}, r.round, r.duration, {}});
    }
    void set_timer(Micros delay, TimerId timer) override { due = world.clock(no) + delay, due_id = timer; }
    void on_acquired(Token token) override { world.held(no, token); }
    void on_lost(Token, std::string_view) override {}
    void on_waiting(std::string_view) override {}
    World& world;
    std::uint32_t no;
    Candidate seeker;
    std::optional<Micros> due;
    TimerId due_id;
  };
  // Nothing that a copy does may reach the state that it was copied from.
  struct Nobody final : Candidate::Delegate {
    void send_request(VoterIndex, const Request&) override {}
    void set_timer(Micros, TimerId) override {}
    void on_acquired(Token) override {}
    void on_lost(Token, std::string_view) override {}
    void on_waiting(std::string_view) override {}
  };
  struct Open {
    std::uint32_t seeker;
    Micros end;  // true time, at the latest
  };

  // The first would-be holder's clock is slow and the second's fast, as far as the bound goes; voters' the
  // other way round.
  static Micros scaled(Micros t, double by) {
    return Micros{static_cast<std::int64_t>(static_cast<double>(t.count()) * by)};
  }
  static double rate(std::uint32_t no) { return no % 2 == 0 ? 1 - kMaxClockDrift : 1 + kMaxClockDrift; }
  Micros clock(std::uint32_t seeker) const { return scaled(now_, rate(seeker)); }
  Micros voter_clock(std::uint32_t voter) const { return scaled(now_, rate(voter + 1)); }

  Voter make_voter(std::uint32_t v, bool again) {
    VoterStorage* const folder = what_.folders ? &kept_[v] : nullptr;
    // The wall clock of whoever starts again shows more than any token: seconds, where tokens grow by one.
    const Token floor{again ? 1000 * (1 + restarts_) : 100};
    return Voter(kLength, floor, voter_clock(v), folder, folder ? std::optional(kept_[v].all) : std::nullopt);
  }

  void fly(Message m) {
    // What is lost is what is never delivered; the oldest make room.
    if (flying_.size() >= kMostInFlight) flying_.erase(flying_.begin());
    flying_.push_back(std::move(m));
  }

  void deliver(const Message& m) {
    Unit& u = *seekers_[m.seeker];
    if (m.answer) {
      u.seeker.set_time(clock(m.seeker));
      u.seeker.on_reply(VoterIndex{m.voter}, {m.say, kLease, m.token, m.round, m.highest, m.holder, m.left});
      if (u.seeker.holds()) alone(m.seeker);
      return;
    }
    const auto reply = voters_[m.voter].handle(
        voter_clock(m.voter), {m.ask, kLease, m.token, m.round, m.left}, "s" + std::to_string(m.seeker));
    if (reply)
      fly({m.voter,
           m.seeker,
           true,
           {},
           reply->kind,
           reply->token,
           reply->highest_promised,
           reply->round,
           reply->remaining,
           std::string(reply->holder)});
  }

  void held(std::uint32_t by, Token token) {
    ++grants_;
    if (token <= last_held_) broken_ = "token-falls";
    last_held_ = std::max(last_held_, token);
    alone(by);
  }

  // Whoever has just been granted it, or granted it for longer, holds it alone.
  void alone(std::uint32_t by) {
    for (std::uint32_t s = 0; s < seekers_.size(); ++s) {
      if (s == by) continue;
      Nobody nobody;
      Candidate look(seekers_[s]->seeker, nobody);
      look.set_time(clock(s));
      if (look.holds()) broken_ = "two-hold";
    }
  }

  void act(std::uint32_t s) {
    Unit& u = *seekers_[s];
    u.seeker.set_time(clock(s));
    const auto act = u.seeker.begin_operation(kAct);
    if (!act) return;
    for (const Open& o : open_)
      if (o.seeker != s) broken_ = "two-at-once";
    // Whoever is acted on has seen a larger one: it would refuse, but nobody had to ask.
    if (act->token() < last_act_) broken_ = "two-at-once";
    last_act_ = std::max(last_act_, act->token());
    // It takes as long as it may by the holder's own clock.
    open_.push_back({s, now_ + scaled(kAct, 1 / rate(s))});
  }

  LeaseSearch what_;
  Micros now_{0};
  std::vector<Kept> kept_;
  std::vector<Voter> voters_;
  std::vector<std::unique_ptr<Unit>> seekers_;
  std::vector<Message> flying_;
  std::vector<Open> open_;
  Token last_held_, last_act_;
  unsigned restarts_ = 0, doubles_ = 0;
  unsigned grants_ = 0;  // in this order
  std::string broken_;
};

struct Path {
  std::shared_ptr<const Path> before;
  World::Step step;
};

std::string told(const std::shared_ptr<const Path>& path) {
  std::string out;
  for (const Path* p = path.get(); p; p = p->before.get())
    out = World::name(p->step) + (out.empty() ? "" : ", ") + out;
  return out;
}

double since(std::chrono::steady_clock::time_point began) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
}

}  // namespace

LeaseFound search_leases(const LeaseSearch& what) {
  const auto began = std::chrono::steady_clock::now();
  LeaseFound out;
  struct State {
    World world;
    std::shared_ptr<const Path> path;
  };
  std::unordered_set<std::size_t> seen;
  std::vector<State> now, next;
  now.push_back({World(what), nullptr});
  now[0].world.begin_all();
  for (unsigned depth = 1; !now.empty(); ++depth) {
    for (const State& s : now) {
      for (const World::Step& step : s.world.steps(true)) {
        World then(s.world);
        then.take(step);
        if (!then.broken().empty()) {
          out.broken = "rule=" + then.broken() + ": " + told(s.path) + ", " + World::name(step);
          out.took = since(began);
          return out;
        }
        if (!seen.insert(then.hash()).second) continue;
        out.grants += then.grants() > s.world.grants();
        next.push_back({std::move(then), std::make_shared<Path>(Path{s.path, step})});
        if (seen.size() >= what.most_states) {
          out.states = seen.size();
          out.took = since(began);
          return out;
        }
      }
    }
    out.depth = depth;
    out.states = seen.size();
    now = std::exchange(next, {});
  }
  out.took = since(began);
  return out;
}

LeaseFound walk_leases(const LeaseSearch& what, std::uint64_t first, std::uint64_t last, unsigned steps) {
  const auto began = std::chrono::steady_clock::now();
  LeaseFound out;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    std::knuth_b chance(static_cast<std::knuth_b::result_type>(seed * 2 + 1));
    // Two that contend, or three; from the start, or where one holds; time by small and by large steps.
    LeaseSearch of = what;
    of.seekers = 2 + seed % 2;
    of.held = seed / 2 % 2 == 0;
    of.step = 0.125 * static_cast<double>(1u << seed / 4 % 3);
    World world(of);
    world.begin_all();
    std::string path;
    for (unsigned i = 0; i < steps; ++i) {
      const std::vector<World::Step> all = world.steps(false);
      // Kinds first: else what is in flight would leave no time for anything else.
      std::vector<World::Step> some;
      using Kind = World::Step::Kind;
      constexpr Kind kKinds[] = {Kind::deliver, Kind::deliver, Kind::deliver, Kind::deliver, Kind::deliver,
                                 Kind::deliver, Kind::twice,   Kind::wake,    Kind::wake,    Kind::pass,
                                 Kind::pass,    Kind::act,     Kind::restart, Kind::let_go};
      const Kind drawn = kKinds[chance() % std::size(kKinds)];
      // Restarts and letting go are rare.
      const bool rare = drawn == Kind::restart || drawn == Kind::let_go;
      for (const World::Step& s : all)
        if (s.kind == drawn && (!rare || chance() % 8 == 0)) some.push_back(s);
      if (some.empty()) continue;
      const World::Step step = some[chance() % some.size()];
      world.take(step);
      ++out.states;
      path += World::name(step) + ", ";
      if (!world.broken().empty()) {
        out.broken = "rule=" + world.broken() + " walk " + std::to_string(seed) + ": " + path;
        out.took = since(began);
        return out;
      }
    }
    out.depth = steps;
    out.grants += world.grants();
  }
  out.took = since(began);
  return out;
}

}  // namespace flintweir::lab
