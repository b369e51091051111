#include "lab/models/baselines.h"

#include <algorithm>
#include <array>
#include <random>
#include <vector>

#include "setup/deployment.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

enum class Way { random, in_turn, fewest };

struct PlainHost {
  HostId id;
  ZoneId zone;
  CellId cell;
  Standing standing = Standing::in;
  bool listed = false;
  unsigned own = 0;
};

struct PlainSession {
  SessId id;
  ListenerId listener;
  Micros valid_until{0};
  HostId host;
  unsigned dials = 0;
  std::array<HostId, 6> tried{};
  bool out = false, open = false, over = false, ran = false, moved = false;
  Micros ran_at{0};
  HostId ran_host;
};

class Plain final : public Balancer {
 public:
  Plain(Way way, Outlet& out, std::uint64_t seed, std::vector<Listener> listeners, unsigned most_dials,
        Micros ask_every)
      : way_(way),
        out_(out),
        chance_(static_cast<std::knuth_b::result_type>(seed | 1)),
        listeners_(std::move(listeners)),
        most_dials_(most_dials),
        ask_every_(ask_every) {}

  void settings_are(std::vector<Listener>, unsigned, Prices) override {}
  void nodes_are(unsigned) override {}
  void at(Micros now) override {
    now_ = now;
    if (std::exchange(begun_, true)) return;
    out_.wake(0us, WakeId{1});
  }
  Sess take(SessId id, const Taken& taken) override {
    PlainSession s;
    s.id = id;
    s.listener = taken.listener;
    s.valid_until = taken.valid_until;
    const SlabKey key = sessions_.add(s);
    place(key, *sessions_.find(key));
    return {this, key};
  }
  Sess inherit(SessId id, const Taken& taken, HostId host) override {
    PlainSession s;
    s.id = id;
    s.listener = taken.listener;
    s.host = host;
    s.dials = 1;
    s.out = s.open = s.ran = true;
    if (PlainHost* h = find(host)) ++h->own;
    return {this, sessions_.add(s)};
  }
  void woken(WakeId wake) override {
    if (wake.value == 1) return out_.watch();
    // Clients leave a draining host all at once.
    sessions_.each([&](SlabKey, PlainSession& s) {
      const PlainHost* h = find(s.host);
      if (s.open && !s.moved && h && h->standing == Standing::draining) {
        s.moved = true;
        out_.move(s.id);
      }
    });
  }
  void probed(HostId, Ending, Micros, const LoadReport&) override {}
  void list_begins(bool whole) override {
    whole_ = whole;
    if (whole)
      for (PlainHost& h : hosts_) h.listed = false;
  }
  void listed(HostId id, ZoneId zone, CellId cell, Standing standing, double, Micros) override {
    PlainHost* h = find(id);
    if (!h) h = &hosts_.emplace_back();
    h->id = id;
    h->zone = zone;
    h->cell = cell;
    h->standing = standing;
    h->listed = true;
    if (standing == Standing::draining) out_.wake(0us, WakeId{2});
  }
  void list_ends() override {
    if (whole_)
      for (PlainHost& h : hosts_)
        if (!h.listed) h.standing = Standing::gone;
  }
  void list_stale() override {}
  void list_fresh() override {}
  bool may_send(HostId) override { return true; }
  void list_failed() override { out_.wake(std::min<Micros>(1s, ask_every_ / 4), WakeId{1}); }

 private:
  bool live(SlabKey key) const override { return sessions_.has(key); }
  void accepted(SlabKey key, DialNo dial) override {
    if (PlainSession* s = current(key, dial)) s->open = s->ran = true;
  }
  void ended(SlabKey key, DialNo dial, Ending how, bool over) override {
    PlainSession* const s = current(key, dial);
    if (!s) return;
    s->out = false;
    PlainHost* const h = find(s->host);
    if (h && h->own > 0) --h->own;
    if (s->open) return sessions_.drop(key);
    const bool proven = how == Ending::turned_away || how == Ending::unconnected || how == Ending::unsent;
    if (!proven && !std::exchange(s->ran, true)) {
      s->ran_at = now_;
      s->ran_host = s->host;
    }
    if (over || s->over) return sessions_.drop(key);
    place(key, *s);
  }
  void left(SlabKey key) override {
    PlainSession* const s = sessions_.find(key);
    if (!s || s->open) return;
    s->over = true;
    if (!s->out) sessions_.drop(key);
  }
  void load_is(SlabKey, double) override {}
  void messages_take(SlabKey, Micros) override {}

  PlainHost* find(HostId id) {
    const auto it =
        std::find_if(hosts_.begin(), hosts_.end(), [&](const PlainHost& h) { return h.id == id; });
    return it == hosts_.end() ? nullptr : &*it;
  }
  PlainSession* current(SlabKey key, DialNo dial) {
    PlainSession* const s = sessions_.find(key);
    return s && s->out && dial.value + 1 == s->dials ? s : nullptr;
  }
  bool may(const PlainSession& s, const PlainHost& h) {
    if (h.standing != Standing::in) return false;
    const Listener& l = listeners_[s.listener.value];
    if (!s.ran || l.effect != Effect::referenced || l.reach == Reach::all) return true;
    const PlainHost* const ran = find(s.ran_host);
    return ran && (l.reach == Reach::zone ? ran->zone == h.zone : ran->cell == h.cell);
  }
  void place(SlabKey key, PlainSession& s) {
    const Listener& l = listeners_[s.listener.value];
    // From the dial on, hosts remember it for so long; the dial's own limit is the safest guess at its start.
    const bool again = !s.ran || l.effect == Effect::repeatable ||
                       (l.effect == Effect::referenced && now_ + l.handshake_target < s.ran_at + l.memory);
    PlainHost* best = nullptr;
    if (again && s.dials < most_dials_ && now_ < s.valid_until) {
      std::vector<PlainHost*> fit;
      const auto tried = s.tried.begin() + std::min<std::size_t>(s.dials, s.tried.size());
      for (PlainHost& h : hosts_)
        if (may(s, h) && std::find(s.tried.begin(), tried, h.id) == tried) fit.push_back(&h);
      if (!fit.empty()) {
        best = fit[way_ == Way::random ? chance_() % fit.size() : turn_++ % fit.size()];
        if (way_ == Way::fewest)
          best = *std::min_element(fit.begin(), fit.end(), [](auto* a, auto* b) { return a->own < b->own; });
      }
    }
    if (!best) {
      const bool harmless = !s.ran || l.effect == Effect::repeatable ||
                            (l.effect == Effect::referenced && l.reach == Reach::all);
      const SessId id = s.id;
      sessions_.drop(key);
      return harmless ? out_.refuse(id, 0us, Refusal::no_host) : out_.tear_down(id, Refusal::no_host);
    }
    s.host = best->id;
    if (s.dials < s.tried.size()) s.tried[s.dials] = best->id;
    ++best->own;
    ++s.dials;
    s.out = true;
    out_.dial(s.id, best->id, std::min(s.valid_until - now_, l.handshake_target / 2));
  }

  Way way_;
  Outlet& out_;
  std::knuth_b chance_;
  std::vector<Listener> listeners_;
  unsigned most_dials_;
  Micros ask_every_, now_{0};
  bool begun_ = false, whole_ = false;
  std::size_t turn_ = 0;
  std::vector<PlainHost> hosts_;
  Slab<PlainSession> sessions_;
};

}  // namespace

node::MakeBalancer balancer_named(const std::string& name) {
  if (name == "module") return setup::balancer_for;
  const Way way = name == "random" ? Way::random : name == "round-robin" ? Way::in_turn : Way::fewest;
  return [way](const setup::Values& settings, Outlet& out, std::uint64_t seed) -> std::unique_ptr<Balancer> {
    const setup::Values ceilings(settings, "ceilings"), rules(settings, "rules");
    return std::make_unique<Plain>(way, out, seed, setup::listeners(settings),
                                   static_cast<unsigned>(ceilings.real("maxDials", 1)),
                                   rules.time("askEvery"));
  };
}

}  // namespace flintweir::lab
