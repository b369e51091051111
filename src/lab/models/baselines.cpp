#include "lab/models/baselines.h"

#include <algorithm>
#include <array>
#include <random>
#include <vector>

#include "setup/deployment.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

enum class Policy { random, round_robin, least_connections };

struct BaselineHost {
  HostId id;
  ZoneId zone;
  CellId cell;
  HostStatus status = HostStatus::active;
  bool listed = false;
  unsigned connections = 0;
};

struct BaselineSession {
  SessId id;
  ListenerId listener;
  Micros deadline{0};
  HostId host;
  unsigned dials = 0;
  std::array<HostId, 6> tried{};
  bool dial_active = false, open = false, client_gone = false, may_have_run = false, moved = false;
  Micros ran_at{0};  // end of the first dial that may have run
  HostId ran_host;
};

class BaselineBalancer final : public Balancer {
 public:
  BaselineBalancer(Policy policy, BalancerDelegate& delegate, std::uint64_t seed,
                   std::vector<Listener> listeners, unsigned max_dials, Micros poll_interval)
      : policy_(policy),
        delegate_(delegate),
        random_(static_cast<std::knuth_b::result_type>(seed | 1)),
        listeners_(std::move(listeners)),
        max_dials_(max_dials),
        poll_interval_(poll_interval) {}

  void update_settings(std::vector<Listener>, unsigned, Prices) override {}
  void set_node_count(unsigned) override {}
  void set_time(Micros now) override {
    now_ = now;
    if (std::exchange(started_, true)) return;
    delegate_.set_timer(0us, TimerId{1});
  }
  SessionHandle start_session(SessId id, const SessionRequest& request) override {
    BaselineSession session;
    session.id = id;
    session.listener = request.listener;
    session.deadline = request.deadline;
    const SlabKey key = sessions_.add(session);
    dial_next_host(key, *sessions_.find(key));
    return {this, key};
  }
  SessionHandle adopt_session(SessId id, const SessionRequest& request, HostId host) override {
    BaselineSession session;
    session.id = id;
    session.listener = request.listener;
    session.host = host;
    session.dials = 1;
    session.dial_active = session.open = session.may_have_run = true;
    if (BaselineHost* known = find(host)) ++known->connections;
    return {this, sessions_.add(session)};
  }
  void timer_expired(TimerId timer) override {
    if (timer.value == 1) return delegate_.watch_list();
    // All clients of a draining host are moved at once.
    sessions_.for_each([&](SlabKey, BaselineSession& session) {
      const BaselineHost* host = find(session.host);
      if (session.open && !session.moved && host && host->status == HostStatus::draining) {
        session.moved = true;
        delegate_.move(session.id);
      }
    });
  }
  void probe_ended(HostId, DialOutcome, Micros, const LoadReport&) override {}
  void begin_list(bool whole_list) override {
    whole_list_ = whole_list;
    if (whole_list)
      for (BaselineHost& host : hosts_) host.listed = false;
  }
  void list_host(HostId id, ZoneId zone, CellId cell, HostStatus status, double, Micros) override {
    BaselineHost* host = find(id);
    if (!host) host = &hosts_.emplace_back();
    host->id = id;
    host->zone = zone;
    host->cell = cell;
    host->status = status;
    host->listed = true;
    if (status == HostStatus::draining) delegate_.set_timer(0us, TimerId{2});
  }
  void end_list() override {
    if (whole_list_)
      for (BaselineHost& host : hosts_)
        if (!host.listed) host.status = HostStatus::removed;
  }
  void list_stale() override {}
  void list_usable() override {}
  bool may_dial(HostId) override { return true; }
  void list_failed() override { delegate_.set_timer(std::min<Micros>(1s, poll_interval_ / 4), TimerId{1}); }

 private:
  bool live(SlabKey key) const override { return sessions_.has(key); }
  void dial_accepted(SlabKey key, DialNo dial) override {
    if (BaselineSession* session = current(key, dial)) session->open = session->may_have_run = true;
  }
  void dial_ended(SlabKey key, DialNo dial, DialOutcome outcome, bool client_gone) override {
    BaselineSession* const session = current(key, dial);
    if (!session) return;
    session->dial_active = false;
    BaselineHost* const host = find(session->host);
    if (host && host->connections > 0) --host->connections;
    if (session->open) return sessions_.release(key);
    const bool not_run = outcome == DialOutcome::rejected || outcome == DialOutcome::connect_failed ||
                         outcome == DialOutcome::not_sent;
    if (!not_run && !std::exchange(session->may_have_run, true)) {
      session->ran_at = now_;
      session->ran_host = session->host;
    }
    if (client_gone || session->client_gone) return sessions_.release(key);
    dial_next_host(key, *session);
  }
  void client_left(SlabKey key) override {
    BaselineSession* const session = sessions_.find(key);
    if (!session || session->open) return;
    session->client_gone = true;
    if (!session->dial_active) sessions_.release(key);
  }
  void set_load(SlabKey, double) override {}
  void set_message_delay(SlabKey, Micros) override {}

  BaselineHost* find(HostId id) {
    const auto it =
        std::find_if(hosts_.begin(), hosts_.end(), [&](const BaselineHost& host) { return host.id == id; });
    return it == hosts_.end() ? nullptr : &*it;
  }
  BaselineSession* current(SlabKey key, DialNo dial) {
    BaselineSession* const session = sessions_.find(key);
    return session && session->dial_active && dial.value + 1 == session->dials ? session : nullptr;
  }
  // Whether the host may get a session that may already have run elsewhere.
  bool may_dial_again(const BaselineSession& session, const BaselineHost& host) {
    if (host.status != HostStatus::active) return false;
    const Listener& listener = listeners_[session.listener.value];
    if (!session.may_have_run || listener.effect != Effect::referenced ||
        listener.dedup_scope == DedupScope::all)
      return true;
    const BaselineHost* const ran = find(session.ran_host);
    return ran &&
           (listener.dedup_scope == DedupScope::zone ? ran->zone == host.zone : ran->cell == host.cell);
  }
  // Dials a host that was not tried before, or ends the session if none may be dialled.
  void dial_next_host(SlabKey key, BaselineSession& session) {
    const Listener& listener = listeners_[session.listener.value];
    // Hosts remember a dial for `dedup_window` from its start. `ran_at` is when it ended, so the handshake
    // target is subtracted as an upper bound of its duration.
    const bool may_dial_now = !session.may_have_run || listener.effect == Effect::repeatable ||
                              (listener.effect == Effect::referenced &&
                               now_ + listener.handshake_target < session.ran_at + listener.dedup_window);
    BaselineHost* best = nullptr;
    if (may_dial_now && session.dials < max_dials_ && now_ < session.deadline) {
      std::vector<BaselineHost*> candidates;
      const auto tried = session.tried.begin() + std::min<std::size_t>(session.dials, session.tried.size());
      for (BaselineHost& host : hosts_)
        if (may_dial_again(session, host) && std::find(session.tried.begin(), tried, host.id) == tried)
          candidates.push_back(&host);
      if (!candidates.empty()) {
        best = candidates[policy_ == Policy::random ? random_() % candidates.size()
                                                    : next_++ % candidates.size()];
        if (policy_ == Policy::least_connections)
          best = *std::min_element(candidates.begin(), candidates.end(), [](auto* left, auto* right) {
            return left->connections < right->connections;
          });
      }
    }
    if (!best) {
      const bool harmless =
          !session.may_have_run || listener.effect == Effect::repeatable ||
          (listener.effect == Effect::referenced && listener.dedup_scope == DedupScope::all);
      const SessId id = session.id;
      sessions_.release(key);
      return harmless ? delegate_.refuse(id, 0us, RefusalReason::no_host)
                      : delegate_.tear_down(id, RefusalReason::no_host);
    }
    session.host = best->id;
    if (session.dials < session.tried.size()) session.tried[session.dials] = best->id;
    ++best->connections;
    ++session.dials;
    session.dial_active = true;
    delegate_.dial(session.id, best->id, std::min(session.deadline - now_, listener.handshake_target / 2));
  }

  Policy policy_;
  BalancerDelegate& delegate_;
  std::knuth_b random_;
  std::vector<Listener> listeners_;
  unsigned max_dials_;
  Micros poll_interval_, now_{0};
  bool started_ = false, whole_list_ = false;
  std::size_t next_ = 0;
  std::vector<BaselineHost> hosts_;
  Slab<BaselineSession> sessions_;
};

}  // namespace

node::BalancerFactory balancer_factory(const std::string& name) {
  if (name == "module") return setup::create_balancer;
  const Policy policy = name == "random"        ? Policy::random
                        : name == "round-robin" ? Policy::round_robin
                                                : Policy::least_connections;
  return [policy](const setup::JsonObject& settings, BalancerDelegate& delegate,
                  std::uint64_t seed) -> std::unique_ptr<Balancer> {
    const setup::JsonObject ceilings(settings, "ceilings"), rules(settings, "rules");
    return std::make_unique<BaselineBalancer>(policy, delegate, seed, setup::read_listeners(settings),
                                              static_cast<unsigned>(ceilings.real("maxDials", 1)),
                                              rules.time("askEvery"));
  };
}

}  // namespace flintweir::lab
