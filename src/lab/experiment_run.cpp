#include "lab/experiment_run.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr Micros kTick = 100ms;
constexpr Micros kStartsAgain = 500ms;             // a node or host that is replaced, after its end
constexpr Micros kFrontHears[2] = {200ms, 400ms};  // of a node that leaves

nlohmann::json us(Micros t) { return t.count(); }

HostNo host_of(const ListModel::Entry& e) {
  return {static_cast<std::uint32_t>(std::stoul(e.name.substr(2)))};
}

std::vector<ZoneId> zones_of_nodes(const FleetPlan& fleet) {
  std::vector<ZoneId> out;
  for (unsigned i = 0; i < fleet.nodes; ++i)
    out.push_back({static_cast<std::uint32_t>(i % fleet.zones.size())});
  return out;
}

// Of the ways between nodes and hosts, or some of them.
bool worsens_ways(const std::string& kind) {
  return kind.ends_with("-lossy") || kind == "node-slow" || kind == "zone-slow";
}

// Counts faults of one kind that befall the same thing; whether another lasts, so that this one, as it begins
// or ends, changes nothing.
bool overlaps(unsigned& lasting, bool begins) { return begins ? lasting++ > 0 : --lasting > 0; }

}  // namespace

ExperimentRun::ExperimentRun(const Experiment& experiment, Environment& environment, std::uint64_t seed,
                             const std::vector<Fault>& faults, bool keep_log)
    : experiment_(experiment),
      environment_(environment),
      seed_(seed),
      faults_(faults),
      chance_(static_cast<std::knuth_b::result_type>(derive_seed(seed, 1) | 1)),
      start_(environment.now()),
      log_(keep_log, start_),
      checker_(environment, experiment.host, experiment.list.only_draining_binds, experiment.node.max_dials,
               [this](const Violation& v) {
                 Violation told = v;
                 told.at -= start_;
                 log_.line(v.at, "BROKEN rule=%s session=%llx %s", name_of(v.rule),
                           static_cast<unsigned long long>(v.session.value), v.what.c_str());
                 out_.violations.push_back(told);
               }),
      front_(zones_of_nodes(experiment.fleet)) {
  build();
}

ExperimentRun::~ExperimentRun() {
  for (auto& c : clients_) c->stop();
  for (auto& r : rude_) r->stop();
  for (NodeUnit& n : nodes_) {
    if (n.front) n.front->stop();
    if (n.list) n.list->abort_all();
    environment_.kill_node(n.no);
  }
  for (HostUnit& h : hosts_)
    if (h.server) h.server->abort_all();
}

Micros ExperimentRun::between(const Micros (&range)[2]) {
  return range[0] +
         Micros{static_cast<std::int64_t>(uniform() * static_cast<double>((range[1] - range[0]).count()))};
}

void ExperimentRun::build() {
  const FleetPlan& fleet = experiment_.fleet;
  const std::uint32_t zones = static_cast<std::uint32_t>(fleet.zones.size());
  double all = 0, share = 0, mean = 0, usual = 0, per_life = 0;
  for (const FleetPlan::Kind& k : fleet.kinds) all += k.share;
  for (const FleetPlan::Kind& k : fleet.kinds) mean += k.share / all * k.cores * k.speed;
  for (const ListenerPlan& l : experiment_.traffic.listeners) {
    share += l.share;
    usual += l.share * l.load_factor;
    per_life += l.share * l.load_factor * l.lifetime_factor;
  }
  const double mean_load = experiment_.traffic.mean_load * usual / share;
  const double mean_life = seconds(experiment_.traffic.mean_lifetime) * per_life / usual;
  for (std::uint32_t i = 0; i < fleet.hosts; ++i) {
    HostUnit h;
    h.no = {i};
    h.name = "s-" + std::to_string(i);
    h.zone = {fleet.zone_of_host(i)};
    h.cell = {i % (2 * zones)};
    h.machine = environment_.add_machine(h.zone);
    double drawn = uniform() * all;
    const FleetPlan::Kind* kind = &fleet.kinds.back();
    for (const FleetPlan::Kind& k : fleet.kinds) {
      if ((drawn -= k.share) < 0) {
        kind = &k;
        break;
      }
    }
    h.capacity = kind->cores * kind->speed * 1e6;
    h.share = kind->cores * kind->speed / mean;
    h.model = std::make_unique<HostModel>(experiment_.host, experiment_.cold, h.capacity,
                                          h.capacity / std::min(mean_life, seconds(experiment_.cold.warm_up)),
                                          mean_load, derive_seed(seed_, 2, i));
    hosts_.push_back(std::move(h));
  }
  for (HostUnit& h : hosts_) {
    start_host(h, false);
    list_host(h, HostStatus::active, 0us);
  }
  // On their machines: the front with the clients of the first zone's, so that no link lies between.
  for (std::uint32_t z = 0; z <= zones; ++z) {
    Crowd crowd;
    crowd.machine = environment_.add_machine({z % zones});
    net::Network& network = environment_.start_process(crowd.machine);
    crowd.sockets = std::make_unique<net::Sockets>(network, std::size_t{1} << 20);
    crowd.timers = std::make_unique<net::TimerQueue>(network);
    (z < zones ? crowds_.emplace_back() : fronts_) = std::move(crowd);
  }
  const std::vector<ZoneId> of_nodes = zones_of_nodes(fleet);
  for (std::uint32_t i = 0; i < fleet.nodes; ++i) {
    NodeUnit n;
    n.no = {i};
    n.zone = of_nodes[i];
    n.machine = environment_.add_machine(n.zone);
    nodes_.push_back(std::move(n));
  }
  for (NodeUnit& n : nodes_) {
    serve_list(n);
    start_node(n);
    // Checked from the zone that it serves.
    Crowd& crowd = crowds_[n.zone.value];
    n.front = std::make_unique<NodeHealthCheck>(
        *crowd.sockets, *crowd.timers, experiment_.front.check_interval, [this, no = n.no](bool answered) {
          if (answered && !nodes_[no.value].leaving) return front_.check_succeeded(no);
          if (!answered) front_.check_failed(no, now(), between(experiment_.front.failure_detection_delay));
        });
    n.front->start(environment_.address(n.machine));
  }
  const TrafficPlan& traffic = experiment_.traffic;
  ClientEnvironment& entry = *this;
  for (unsigned i = 0; i < traffic.clients; ++i) {
    const ZoneId zone{i % zones};
    const std::uint64_t group = traffic.groups ? 1 + derive_seed(seed_, 3, i) % traffic.groups : 0;
    clients_.push_back(std::make_unique<NetworkClient>(
        *crowds_[zone.value].sockets, *crowds_[zone.value].timers, crowds_[zone.value].machine, zone,
        ClientModel(traffic, derive_seed(seed_, 4, i) | 1, group, derive_seed(seed_, 5, i)), entry, checker_,
        log_, traffic));
  }
  for (unsigned i = 0; i < traffic.misbehaving_clients; ++i) {
    const ZoneId zone{i % zones};
    const MachineId machine = crowds_[zone.value].machine;
    rude_.push_back(std::make_unique<MisbehavingClient>(
        *crowds_[zone.value].sockets, *crowds_[zone.value].timers, machine, zone, entry,
        [this, machine](NodeNo no) {
          const NodeUnit& n = nodes_[no.value];
          return n.up && environment_.healthy_since(machine, n.machine, now() - 5s);
        },
        checker_, log_, derive_seed(seed_, 6, i)));
  }
}

void ExperimentRun::start_host(HostUnit& h, bool cold) {
  h.network = &environment_.start_process(h.machine);
  h.model->start(now(), cold);
  ++h.turn;
  const SessionRegistry& known = *this;
  h.server = std::make_unique<HostServer>(
      *h.network, *h.model, h.no, h.name, known, checker_, log_, experiment_.host, experiment_.traffic,
      experiment_.cold.overload_window, derive_seed(seed_, 7, h.no.value + 7919 * h.turn));
  h.server->serve(environment_.address(h.machine));
  h.up = true;
  h.lost = h.leaving = false;
  checker_.host_up(h.no, h.machine, h.name, h.zone, h.cell, h.model->boot_time());
  log_.line(now(), "host-up host=%s cold=%d", h.name.c_str(), cold);
}

void ExperimentRun::end_host(HostUnit& h) {
  if (!h.up) return;
  h.up = false;
  ++h.turn;
  checker_.host_down(h.no, now());
  h.server->abort_all();
  environment_.end_process(*h.network);
  h.server.reset();
  log_.line(now(), "host-down host=%s", h.name.c_str());
}

void ExperimentRun::list_host(const HostUnit& h, HostStatus standing, Micros late) {
  list_.add_change({h.name, to_text(environment_.address(h.machine)), experiment_.fleet.zones[h.zone.value],
                    h.cell.value, h.share, standing, h.model->boot_time()},
                   now() + late);
  // Whoever watches hears of it when it is known; a look at that time is enough.
  if (late > 0us)
    for (NodeUnit& n : nodes_)
      if (n.list) n.list->refresh();
}

void ExperimentRun::serve_list(NodeUnit& n) {
  n.list_machine = environment_.add_machine({0});
  n.list_network = &environment_.start_process(n.list_machine);
  n.list = std::make_unique<ListServer>(
      *n.list_network, list_, mood_, [this, no = n.no](const ListModel::Entry& e, Micros written) {
        const NodeUnit& node = nodes_[no.value];
        if (!node.up || node.lost) return;
        checker_.host_listed(no, node.list_machine, host_of(e), e.status, e.boot_time, written);
      });
  n.list->serve(environment_.address(n.list_machine));
}

std::string ExperimentRun::config(const NodeUnit& n) const {
  const NodePlan& plan = experiment_.node;
  const ColdPlan& cold = experiment_.cold;
  nlohmann::json listeners = nlohmann::json::array();
  for (const ListenerPlan& l : experiment_.traffic.listeners) {
    const Listener& r = l.rules;
    listeners.push_back({{"name", l.name},
                         {"handshakeTarget", us(r.handshake_target)},
                         {"dialTimeout", us(r.dial_timeout)},
                         {"effect", r.effect == Effect::repeatable   ? "repeatable"
                                    : r.effect == Effect::referenced ? "by_key"
                                                                     : "once"},
                         {"group", r.dedup_scope == DedupScope::all    ? "all"
                                   : r.dedup_scope == DedupScope::zone ? "zone"
                                                                       : "cell"},
                         {"dedupWindow", us(r.dedup_window)},
                         {"utility", r.utility}});
  }
  double target = 1e18;
  for (const ListenerPlan& l : experiment_.traffic.listeners)
    target = std::min(target, static_cast<double>(l.rules.message_target.count()));
  const nlohmann::json settings{
      {"balancers",
       std::max<long>(1, std::lround(static_cast<double>(nodes_.size()) * plan.told_node_share))},
      {"myZone", n.zone.value},
      {"failureDomains", experiment_.fleet.zones},
      {"discovery", "on_request"},
      {"listeners", listeners},
      {"ceilings",
       {{"maxDials", plan.max_dials},
        {"connectTimeout", us(plan.connect_timeout)},
        {"probes", plan.probes},
        {"retryAfter", plan.max_retry_after > 0us},
        {"maxRetryAfter", us(plan.max_retry_after)}}},
      {"rules",
       {{"askEvery", us(experiment_.list.poll_interval)},
        {"softRemoval", experiment_.list.only_draining_binds},
        {"cold", us(cold.warm_up)},
        {"coldShare", cold.initial_share},
        {"overloadFactor", cold.overload_factor},
        {"tipAfter", us(cold.overload_window)}}},
      {"prices", {{"probe", plan.probe_price}, {"crossZone", plan.crossing_price}}},
      {"familyInfo",
       {{"groups", experiment_.traffic.groups > 0},
        {"tellsDelay", true},
        {"messageAim", nlohmann::json::array({target})}}},
      {"reporting", {{"fields", nlohmann::json::array({"util", "x0"})}}}};
  char seed[20];
  std::snprintf(seed, sizeof seed, "%llx", static_cast<unsigned long long>(n.seed));
  return nlohmann::json{{"name", "n" + std::to_string(n.no.value)},
                        {"listen", to_text(environment_.address(n.machine))},
                        {"discovery", to_text(environment_.address(n.list_machine))},
                        {"seed", seed},
                        {"limits", {{"memory_mb", plan.memory_mb}, {"sockets", plan.sockets}}},
                        {"known", nlohmann::json::parse(list_json(list_, 0, now()))},
                        {"settings", settings}}
      .dump();
}

void ExperimentRun::start_node(NodeUnit& n) {
  ++n.turn;
  n.seed = derive_seed(seed_, 10, n.no.value + 104729 * n.turn);
  n.up = true;
  n.lost = n.leaving = false;
  checker_.node_up(n.no, n.machine);
  // What it knows from its start on, as if discovery had just told it.
  for (const ListModel::Entry& e : list_.changes_since(0, now()))
    checker_.host_listed(n.no, n.machine, host_of(e), e.status, e.boot_time, now());
  std::vector<MachineId> seeds;
  if (experiment_.node.joins_fleet) {
    seeds.push_back(nodes_.front().machine);
    seeds.push_back(nodes_[nodes_.size() / 2].machine);
  }
  environment_.start_node(n.no, n.machine, config(n), seeds);
  log_.line(now(), "node-up node=n%u", n.no.value);
}

void ExperimentRun::restart(NodeUnit& n) {
  const std::uint64_t turn = ++n.turn;
  environment_.schedule_at(now() + kStartsAgain, [this, &n, turn] {
    if (turn == n.turn && !n.up) start_node(n);
  });
}

// A node that leaves has ended when it says so; what it still held then was cut by it.
void ExperimentRun::await_exit(NodeUnit& n) {
  environment_.schedule_at(now() + 50ms, [this, &n, turn = n.turn] {
    if (turn != n.turn || !n.up) return;
    if (environment_.running(n.no)) return await_exit(n);
    log_.line(now(), "node-left node=n%u", n.no.value);
    environment_.kill_node(n.no);
    n.up = false;
    restart(n);
  });
}

std::optional<ClientEnvironment::Route> ExperimentRun::choose_node(ZoneId zone) {
  const auto n = front_.choose(zone, now());
  if (!n) return std::nullopt;
  if (nodes_[n->value].zone != zone) ++out_.tally.crossed;
  return Route{*n, environment_.address(nodes_[n->value].machine)};
}

SessionNo ExperimentRun::register_session(const ClientModel::Session& session) {
  asked_.push_back({session.load, session.group});
  return {asked_.size()};
}

const SessionLoad* ExperimentRun::find_session(SessionNo id) const {
  return id.value >= 1 && id.value <= asked_.size() ? &asked_[id.value - 1] : nullptr;
}

Second& ExperimentRun::current_second() {
  const auto no = static_cast<std::size_t>(std::max(since_start(), 0us) / 1s);
  if (out_.seconds.size() <= no) out_.seconds.resize(no + 1);
  return out_.seconds[no];
}

void ExperimentRun::cut(const std::string& kind, ZoneId zone, bool on) {
  for (std::uint32_t other = 0; other < experiment_.fleet.zones.size(); ++other) {
    if (other == zone.value) continue;
    const auto way = [&](ZoneId from, ZoneId to) {
      if (overlaps(cuts_[{from.value, to.value}], on)) return;
      on ? environment_.block(from, to) : environment_.unblock(from, to);
    };
    if (kind != "zone-deaf") way(zone, {other});
    if (kind != "zone-mute") way({other}, zone);
  }
}

// Ways between nodes and hosts only: clients and discovery are not what this is about.
void ExperimentRun::worsen(const Fault& f, bool on) {
  const bool of_node = f.kind.starts_with("node-"), slow = f.kind.ends_with("-slow");
  for (const NodeUnit& n : nodes_) {
    for (const HostUnit& h : hosts_) {
      if (of_node && (n.no.value != f.target || h.no.value % 2 == f.target % 2)) continue;
      if (!of_node && (n.zone == h.zone || (n.zone.value != f.target && h.zone.value != f.target))) continue;
      if (overlaps(worse_[{n.no.value, h.no.value}], on)) continue;
      if (!on)
        environment_.clear_degradation(n.machine, h.machine);
      else
        environment_.degrade(n.machine, h.machine, Micros{slow ? std::llround(f.magnitude * 1e6) : 0},
                             slow ? 0 : std::min(f.magnitude, 1.0));
    }
  }
}

// What it names again it names as it is then; hosts that went meanwhile are named when they are back.
void ExperimentRun::shrink_list(const Fault& f) {
  std::vector<std::pair<std::uint32_t, std::uint64_t>> called_gone;
  for (const HostUnit& h : hosts_) {
    if (!h.up || h.lost || h.leaving || uniform() >= f.magnitude) continue;
    called_gone.emplace_back(h.no.value, h.turn);
    list_host(h, HostStatus::removed, 1us);
  }
  environment_.schedule_at(now() + f.duration, [this, called_gone] {
    for (const auto& [no, turn] : called_gone)
      if (const HostUnit& h = hosts_[no]; h.turn == turn && !h.leaving && !h.lost)
        list_host(h, HostStatus::active, 1us);
  });
}

unsigned* ExperimentRun::list_trouble(const std::string& kind) {
  const char* const kinds[] = {"list-down", "list-malformed", "list-slow", "list-stale", "list-turns-away"};
  const auto found = std::find(std::begin(kinds), std::end(kinds), kind);
  return found == std::end(kinds) ? nullptr : &list_trouble_[found - std::begin(kinds)];
}

void ExperimentRun::list_mood() {
  const bool stale = list_trouble_[3] > 0;
  mood_.unavailable = list_trouble_[0] > 0;
  mood_.malformed = list_trouble_[1] > 0;
  if (list_trouble_[2] == 0) mood_.response_delay = 0us;
  if (list_trouble_[4] == 0) mood_.reject_after.reset();
  if (!stale) list_.unfreeze();
  for (NodeUnit& n : nodes_) n.list->refresh();
}

// Drained, then ended, then started again cold.
void ExperimentRun::deploy(HostUnit& h) {
  if (!h.up || h.leaving) return;
  h.leaving = true;
  const std::uint64_t turn = h.turn;
  h.server->drain();
  log_.line(now(), "draining host=%s", h.name.c_str());
  list_host(h, HostStatus::draining, between(experiment_.list.update_delay));
  environment_.schedule_at(now() + experiment_.host.drain_duration, [this, &h, turn] {
    if (h.turn != turn) return;
    end_host(h);
    list_host(h, HostStatus::removed, between(experiment_.list.update_delay));
    environment_.schedule_at(now() + kStartsAgain, [this, &h, after = h.turn] {
      if (h.turn != after) return;
      start_host(h, true);
      list_host(h, HostStatus::active, between(experiment_.list.update_delay));
    });
  });
}

void ExperimentRun::begin(const Fault& f) {
  const std::string text = to_text(f, experiment_.fleet);
  log_.line(now(), "fault %s", text.c_str());
  out_.marks.push_back({f.at, f.at + f.duration, text.substr(text.find(": ") + 2)});
  HostUnit* const h = f.target < hosts_.size() ? &hosts_[f.target] : nullptr;
  NodeUnit* const n = f.target < nodes_.size() ? &nodes_[f.target] : nullptr;
  std::uint64_t turn = 0;
  if (f.kind.starts_with("host-")) {
    if (!h->up || h->lost) return;
    if (f.kind == "host-dies") {
      end_host(*h);
      list_host(*h, HostStatus::removed, between(experiment_.list.update_delay));
    } else if (f.kind == "host-lost") {
      h->lost = true;
      environment_.disconnect(h->machine);
      checker_.host_silent(h->no, true, now());
      list_host(*h, HostStatus::removed, 3 * experiment_.list.update_delay[1]);
    } else if (f.kind == "host-hangs") {
      h->model->set_hanging(true);
      checker_.host_silent(h->no, true, now());
    } else if (f.kind == "host-half-dead") {
      h->model->set_half_dead(true);
    } else if (f.kind == "host-errs") {
      h->model->set_error_share(f.magnitude);
    } else if (f.kind == "host-slow") {
      h->model->set_speed(now(), std::clamp(f.magnitude, 0.01, 1.0));
    } else if (f.kind == "host-flaps") {
      const Micros turn_lasts{std::max<std::int64_t>(std::llround(f.magnitude * 1e6), 1000)};
      for (Micros in{0}; in < f.duration; in += turn_lasts)
        environment_.schedule_at(now() + in, [this, hang = Fault{f.at + in, "host-hangs", f.target,
                                                                 turn_lasts / 2, 0, 0}] { begin(hang); });
      return;
    } else if (f.kind == "host-resets") {
      h->model->set_reset_share(f.magnitude);
    }
    turn = h->turn;
  } else if (f.kind == "hosts-deploy") {
    return deploy(*h);
  } else if (worsens_ways(f.kind)) {
    worsen(f, true);
  } else if (f.kind == "list-shrinks") {
    return shrink_list(f);
  } else if (f.kind.starts_with("node-")) {
    if (!n->up || n->lost) return;
    if (f.kind == "node-reload") {
      const bool wrong = uniform() < f.magnitude;
      return environment_.reload_node(n->no, wrong ? "{\"name\":" : config(*n));
    }
    if (f.kind == "node-restarts") {
      if (std::exchange(n->leaving, true)) return;
      front_.check_failed(n->no, now(), between(kFrontHears));
      environment_.shut_down_node(n->no);
      return await_exit(*n);
    }
    if (f.kind == "node-lost") {
      n->lost = true;
      environment_.disconnect(n->machine);
    } else {
      environment_.kill_node(n->no);
      n->up = false;
    }
    checker_.node_down(n->no);
    turn = ++n->turn;
  } else if (f.kind.starts_with("zone-")) {
    cut(f.kind, {f.target}, true);
  } else if (f.kind == "clients-drop" || f.kind == "clients-burst") {
    for (const auto& c : clients_) {
      if (uniform() >= f.share) continue;
      if (f.kind == "clients-drop")
        c->drop_connection();
      else
        c->connect_now();
    }
    return;
  } else if (f.kind == "list-moves") {
    deadlines_.discovery_moved(now());
    for (NodeUnit& each : nodes_) {
      each.list->abort_all();
      environment_.end_process(*each.list_network);
      each.list.reset();
      serve_list(each);
      if (each.up && !each.lost) environment_.reload_node(each.no, config(each));
    }
    return;
  } else {
    if (unsigned* lasting = list_trouble(f.kind)) ++*lasting;
    if (f.kind == "list-slow") mood_.response_delay = Micros{static_cast<std::int64_t>(f.magnitude * 1e6)};
    if (f.kind == "list-turns-away")
      mood_.reject_after = Micros{static_cast<std::int64_t>(f.magnitude * 1e6)};
    if (f.kind == "list-stale") list_.freeze(now());
    list_mood();
  }
  environment_.schedule_at(now() + f.duration, [this, f, turn] { end(f, turn); });
}

void ExperimentRun::end(const Fault& f, std::uint64_t turn) {
  log_.line(now(), "over %s", to_text(f, experiment_.fleet).c_str());
  if (worsens_ways(f.kind)) return worsen(f, false);
  if (f.kind.starts_with("host-")) {
    HostUnit& h = hosts_[f.target];
    if (h.turn != turn) return;
    if (f.kind == "host-lost") {
      end_host(h);
      environment_.reconnect(h.machine);
    }
    if (f.kind == "host-dies" || f.kind == "host-lost") {
      start_host(h, true);
      return list_host(h, HostStatus::active, between(experiment_.list.update_delay));
    }
    if (f.kind == "host-hangs") {
      h.model->set_hanging(false);
      if (!h.model->hanging()) {
        checker_.host_silent(h.no, false, now());
        h.server->resume();
      }
    }
    if (f.kind == "host-half-dead") h.model->set_half_dead(false);
    if (f.kind == "host-errs") h.model->set_error_share(0);
    if (f.kind == "host-slow") h.model->set_speed(now(), 1);
    if (f.kind == "host-resets") h.model->set_reset_share(0);
    return;
  }
  if (f.kind.starts_with("node-")) {
    NodeUnit& n = nodes_[f.target];
    if (n.turn != turn) return;
    if (f.kind == "node-lost") {
      environment_.kill_node(n.no);
      environment_.reconnect(n.machine);
      n.up = false;
    }
    return start_node(n);
  }
  if (f.kind.starts_with("zone-")) return cut(f.kind, {f.target}, false);
  if (unsigned* lasting = list_trouble(f.kind)) --*lasting;
  list_mood();
}

// What no node has heard of counts as told all the same, once discovery could be asked for it.
void ExperimentRun::count_as_told() {
  deadlines_.update(list_, !mood_.unavailable && !mood_.reject_after, now());
  for (const ChangeDeadlines::Change& change : deadlines_.take_due(now()))
    for (const NodeUnit& n : nodes_)
      if (n.up && !n.lost)
        checker_.host_listing_due(n.no, n.list_machine, host_of(change.entry), change.entry.status,
                                  change.published_at, change.deadline);
}

void ExperimentRun::tick() {
  checker_.check_overdue(now());
  count_as_told();
  Second& s = current_second();
  const double part = seconds(kTick);
  for (const auto& c : clients_) {
    if (!c->wants(now())) continue;
    s.asked += c->utility() * part;
    if (c->meets_message_target(now())) s.served += c->utility() * part;
  }
  if (s.loads.empty()) {
    double cold = 0, warm = 0, colds = 0, warms = 0;
    for (const HostUnit& h : hosts_) {
      const bool serves = h.up && !h.lost && !h.leaving;
      s.loads.push_back(h.up && !h.lost ? h.model->utilization() : -1);
      if (!serves) continue;
      const bool is_cold = h.model->is_cold(now());
      (is_cold ? cold : warm) += h.model->utilization();
      ++(is_cold ? colds : warms);
    }
    if (colds > 0 && warm > 0)
      out_.tally.cold_load += cold / (warm / warms), out_.tally.cold_seconds += colds;
  }
  if (since_start() + kTick < experiment_.duration)
    environment_.schedule_at(now() + kTick, [this] { tick(); });
}

Outcome ExperimentRun::execute() {
  for (const auto& c : clients_) c->start();
  for (const auto& r : rude_) r->start();
  for (const Fault& f : faults_) environment_.schedule_at(start_ + f.at, [this, f] { begin(f); });
  environment_.schedule_at(start_ + kTick, [this] { tick(); });
  environment_.run_until(start_ + experiment_.duration);
  for (NodeUnit& n : nodes_) {
    if (n.up && !n.lost && !n.leaving && !environment_.running(n.no))
      out_.violations.push_back(
          {Rule::answer, since_start(), {}, "node n" + std::to_string(n.no.value) + " has ended by itself"});
  }
  for (const Second& s : out_.seconds) {
    out_.tally.asked += s.asked;
    out_.tally.served += s.served;
  }
  out_.hash = log_.hash();
  out_.lines = log_.lines();
  out_.checks = checker_.checks();
  out_.log = log_.text();
  return std::move(out_);
}

}  // namespace flintweir::lab
