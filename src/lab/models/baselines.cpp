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
  HostStatus standing = HostStatus::active;
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
  Plain(Way way, BalancerDelegate& out, std::uint64_t seed, std::vector<Listener> listeners,
        unsigned most_dials, Micros ask_every)
      : way_(way),
        out_(out),
        chance_(static_cast<std::knuth_b::result_type>(seed | 1)),
        listeners_(std::move(listeners)),
        most_dials_(most_dials),
        ask_every_(ask_every) {}

  void update_settings(std::vector<Listener>, unsigned, Prices) override {}
  void set_node_count(unsigned) override {}
  void set_time(Micros now) override {
    now_ = now;
    if (std::exchange(begun_, true)) return;
    out_.set_timer(0us, TimerId{1});
  }
  SessionHandle start_session(SessId id, const SessionRequest& taken) override {
    PlainSession s;
    s.id = id;
    s.listener = taken.listener;
    s.valid_until = taken.deadline;
    const SlabKey key = sessions_.add(s);
    place(key, *sessions_.find(key));
    return {this, key};
  }
  SessionHandle adopt_session(SessId id, const SessionRequest& taken, HostId host) override {
    PlainSession s;
    s.id = id;
    s.listener = taken.listener;
    s.host = host;
    s.dials = 1;
    s.out = s.open = s.ran = true;
    if (PlainHost* h = find(host)) ++h->own;
    return {this, sessions_.add(s)};
  }
  void timer_expired(TimerId wake) override {
    if (wake.value == 1) return out_.watch_list();
    // Clients leave a draining host all at once.
    sessions_.for_each([&](SlabKey, PlainSession& s) {
      const PlainHost* h = find(s.host);
      if (s.open && !s.moved && h && h->standing == HostStatus::draining) {
        s.moved = true;
        out_.move(s.id);
      }
    });
  }
  void probe_ended(HostId, DialOutcome, Micros, const LoadReport&) override {}
  void begin_list(bool whole) override {
    whole_ = whole;
    if (whole)
      for (PlainHost& h : hosts_) h.listed = false;
  }
  void list_host(HostId id, ZoneId zone, CellId cell, HostStatus standing, double, Micros) override {
    PlainHost* h = find(id);
    if (!h) h = &hosts_.emplace_back();
    h->id = id;
    h->zone = zone;
    h->cell = cell;
    h->standing = standing;
    h->listed = true;
    if (standing == HostStatus::draining) out_.set_timer(0us, TimerId{2});
  }
  void end_list() override {
    if (whole_)
      for (PlainHost& h : hosts_)
        if (!h.listed) h.standing = HostStatus::removed;
  }
  void list_stale() override {}
  void list_usable() override {}
  bool may_dial(HostId) override { return true; }
  void list_failed() override { out_.set_timer(std::min<Micros>(1s, ask_every_ / 4), TimerId{1}); }

 private:
  bool live(SlabKey key) const override { return sessions_.has(key); }
  void dial_accepted(SlabKey key, DialNo dial) override {
    if (PlainSession* s = current(key, dial)) s->open = s->ran = true;
  }
  void dial_ended(SlabKey key, DialNo dial, DialOutcome how, bool over) override {
    PlainSession* const s = current(key, dial);
    if (!s) return;
    s->out = false;
    PlainHost* const h = find(s->host);
    if (h && h->own > 0) --h->own;
    if (s->open) return sessions_.release(key);
    const bool proven =
        how == DialOutcome::rejected || how == DialOutcome::connect_failed || how == DialOutcome::not_sent;
    if (!proven && !std::exchange(s->ran, true)) {
      s->ran_at = now_;
      s->ran_host = s->host;
    }
    if (over || s->over) return sessions_.release(key);
    place(key, *s);
  }
  void client_left(SlabKey key) override {
    PlainSession* const s = sessions_.find(key);
    if (!s || s->open) return;
    s->over = true;
    if (!s->out) sessions_.release(key);
  }
  void set_load(SlabKey, double) override {}
  void set_message_delay(SlabKey, Micros) override {}

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
    if (h.standing != HostStatus::active) return false;
    const Listener& l = listeners_[s.listener.value];
    if (!s.ran || l.effect != Effect::referenced || l.dedup_scope == DedupScope::all) return true;
    const PlainHost* const ran = find(s.ran_host);
    return ran && (l.dedup_scope == DedupScope::zone ? ran->zone == h.zone : ran->cell == h.cell);
  }
  void place(SlabKey key, PlainSession& s) {
    const Listener& l = listeners_[s.listener.value];
    // From the dial on, hosts remember it for so long; the dial's own limit is the safest guess at its start.
    const bool again =
        !s.ran || l.effect == Effect::repeatable ||
        (l.effect == Effect::referenced && now_ + l.handshake_target < s.ran_at + l.dedup_window);
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
                            (l.effect == Effect::referenced && l.dedup_scope == DedupScope::all);
      const SessId id = s.id;
      sessions_.release(key);
      return harmless ? out_.refuse(id, 0us, RefusalReason::no_host)
                      : out_.tear_down(id, RefusalReason::no_host);
    }
    s.host = best->id;
    if (s.dials < s.tried.size()) s.tried[s.dials] = best->id;
    ++best->own;
    ++s.dials;
    s.out = true;
    out_.dial(s.id, best->id, std::min(s.valid_until - now_, l.handshake_target / 2));
  }

  Way way_;
  BalancerDelegate& out_;
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

node::BalancerFactory balancer_factory(const std::string& name) {
  if (name == "module") return setup::create_balancer;
  const Way way = name == "random" ? Way::random : name == "round-robin" ? Way::in_turn : Way::fewest;
  return [way](const setup::JsonObject& settings, BalancerDelegate& out,
               std::uint64_t seed) -> std::unique_ptr<Balancer> {
    const setup::JsonObject ceilings(settings, "ceilings"), rules(settings, "rules");
    return std::make_unique<Plain>(way, out, seed, setup::read_listeners(settings),
                                   static_cast<unsigned>(ceilings.real("maxDials", 1)),
                                   rules.time("askEvery"));
  };
}

}  // namespace flintweir::lab
