#include "lab/experiment_run.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr Micros kSampleInterval = 100ms;
constexpr Micros kRestartDelay = 500ms;  // from the end of a node or host until its successor starts
// Least and most time until the front sends no more clients to a node that shuts down.
constexpr Micros kShutdownNoticeDelay[2] = {200ms, 400ms};

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

// Whether a kind of fault degrades links between nodes and hosts.
bool degrades_links(const std::string& kind) {
  return kind.ends_with("-lossy") || kind == "node-slow" || kind == "zone-slow";
}

// Counts the ongoing faults of one target as one begins or ends. Returns whether another one is ongoing, in
// which case the target's state does not change.
bool overlaps(unsigned& ongoing, bool begins) { return begins ? ongoing++ > 0 : --ongoing > 0; }

}  // namespace

ExperimentRun::ExperimentRun(const Experiment& experiment, Environment& environment, std::uint64_t seed,
                             const std::vector<Fault>& faults, bool keep_log)
    : experiment_(experiment),
      environment_(environment),
      seed_(seed),
      faults_(faults),
      rng_(static_cast<std::knuth_b::result_type>(derive_seed(seed, 1) | 1)),
      start_(environment.now()),
      log_(keep_log, start_),
      checker_(environment, experiment.host, experiment.list.only_draining_binds, experiment.node.max_dials,
               [this](const Violation& v) {
                 Violation relative = v;  // time since the start of the run
                 relative.at -= start_;
                 log_.line(v.at, "BROKEN rule=%s session=%llx %s", name_of(v.rule),
                           static_cast<unsigned long long>(v.session.value), v.what.c_str());
                 outcome_.violations.push_back(relative);
               }),
      front_(zones_of_nodes(experiment.fleet)) {
  build();
}

ExperimentRun::~ExperimentRun() {
  for (auto& c : clients_) c->stop();
  for (auto& r : misbehaving_clients_) r->stop();
  for (NodeUnit& n : nodes_) {
    if (n.health_check) n.health_check->stop();
    if (n.list) n.list->abort_all();
    environment_.kill_node(n.id);
  }
  for (HostUnit& h : hosts_)
    if (h.server) h.server->abort_all();
}

Micros ExperimentRun::draw_between(const Micros (&range)[2]) {
  return range[0] +
         Micros{static_cast<std::int64_t>(uniform() * static_cast<double>((range[1] - range[0]).count()))};
}

void ExperimentRun::build() {
  const FleetPlan& fleet = experiment_.fleet;
  const std::uint32_t zones = static_cast<std::uint32_t>(fleet.zones.size());
  double all = 0, share = 0, mean = 0, load_factors = 0, weighted_lifetimes = 0;
  for (const FleetPlan::Kind& k : fleet.kinds) all += k.share;
  for (const FleetPlan::Kind& k : fleet.kinds) mean += k.share / all * k.cores * k.speed;
  for (const ListenerPlan& l : experiment_.traffic.listeners) {
    share += l.share;
    load_factors += l.share * l.load_factor;
    weighted_lifetimes += l.share * l.load_factor * l.lifetime_factor;
  }
  const double mean_load = experiment_.traffic.mean_load * load_factors / share;
  const double mean_lifetime = seconds(experiment_.traffic.mean_lifetime) * weighted_lifetimes / load_factors;
  for (std::uint32_t i = 0; i < fleet.hosts; ++i) {
    HostUnit h;
    h.id = {i};
    h.name = "s-" + std::to_string(i);
    h.zone = {fleet.zone_of_host(i)};
    h.cell = {i % (2 * zones)};
    h.machine = environment_.add_machine(h.zone);
    double remaining = uniform() * all;
    const FleetPlan::Kind* kind = &fleet.kinds.back();
    for (const FleetPlan::Kind& k : fleet.kinds) {
      if ((remaining -= k.share) < 0) {
        kind = &k;
        break;
      }
    }
    h.capacity = kind->cores * kind->speed * 1e6;
    h.capacity_hint = kind->cores * kind->speed / mean;
    h.model =
        std::make_unique<HostModel>(experiment_.host, experiment_.cold, h.capacity,
                                    h.capacity / std::min(mean_lifetime, seconds(experiment_.cold.warm_up)),
                                    mean_load, derive_seed(seed_, 2, i));
    hosts_.push_back(std::move(h));
  }
  for (HostUnit& h : hosts_) {
    start_host(h, false);
    publish_status(h, HostStatus::active, 0us);
  }
  // One machine for the clients of each zone, and one for the front. It is in the first zone, so that no link
  // between zones lies between the front and that zone's clients.
  for (std::uint32_t z = 0; z <= zones; ++z) {
    ClientMachine client_machine;
    client_machine.machine = environment_.add_machine({z % zones});
    net::Network& network = environment_.start_process(client_machine.machine);
    client_machine.sockets = std::make_unique<net::Sockets>(network, std::size_t{1} << 20);
    client_machine.timers = std::make_unique<net::TimerQueue>(network);
    (z < zones ? client_machines_.emplace_back() : front_machine_) = std::move(client_machine);
  }
  const std::vector<ZoneId> node_zones = zones_of_nodes(fleet);
  for (std::uint32_t i = 0; i < fleet.nodes; ++i) {
    NodeUnit n;
    n.id = {i};
    n.zone = node_zones[i];
    n.machine = environment_.add_machine(n.zone);
    nodes_.push_back(std::move(n));
  }
  for (NodeUnit& n : nodes_) {
    start_list_server(n);
    start_node(n);
    // The health checks of a node come from the machine of the clients of its zone.
    ClientMachine& client_machine = client_machines_[n.zone.value];
    n.health_check = std::make_unique<NodeHealthCheck>(
        *client_machine.sockets, *client_machine.timers, experiment_.front.check_interval,
        [this, id = n.id](bool answered) {
          if (answered && !nodes_[id.value].shutting_down) return front_.check_succeeded(id);
          if (!answered)
            front_.check_failed(id, now(), draw_between(experiment_.front.failure_detection_delay));
        });
    n.health_check->start(environment_.address(n.machine));
  }
  const TrafficPlan& traffic = experiment_.traffic;
  ClientEnvironment& client_environment = *this;
  for (unsigned i = 0; i < traffic.clients; ++i) {
    const ZoneId zone{i % zones};
    const std::uint64_t group = traffic.groups ? 1 + derive_seed(seed_, 3, i) % traffic.groups : 0;
    clients_.push_back(std::make_unique<NetworkClient>(
        *client_machines_[zone.value].sockets, *client_machines_[zone.value].timers,
        client_machines_[zone.value].machine, zone,
        ClientModel(traffic, derive_seed(seed_, 4, i) | 1, group, derive_seed(seed_, 5, i)),
        client_environment, checker_, log_, traffic));
  }
  for (unsigned i = 0; i < traffic.misbehaving_clients; ++i) {
    const ZoneId zone{i % zones};
    const MachineId machine = client_machines_[zone.value].machine;
    misbehaving_clients_.push_back(std::make_unique<MisbehavingClient>(
        *client_machines_[zone.value].sockets, *client_machines_[zone.value].timers, machine, zone,
        client_environment,
        [this, machine](NodeNo id) {
          const NodeUnit& n = nodes_[id.value];
          return n.up && environment_.healthy_since(machine, n.machine, now() - 5s);
        },
        checker_, log_, derive_seed(seed_, 6, i)));
  }
}

void ExperimentRun::start_host(HostUnit& h, bool cold) {
  h.network = &environment_.start_process(h.machine);
  h.model->start(now(), cold);
  ++h.generation;
  const SessionRegistry& registry = *this;
  h.server = std::make_unique<HostServer>(
      *h.network, *h.model, h.id, h.name, registry, checker_, log_, experiment_.host, experiment_.traffic,
      experiment_.cold.overload_window, derive_seed(seed_, 7, h.id.value + 7919 * h.generation));
  h.server->serve(environment_.address(h.machine));
  h.up = true;
  h.disconnected = h.shutting_down = false;
  checker_.host_up(h.id, h.machine, h.name, h.zone, h.cell, h.model->boot_time());
  log_.line(now(), "host-up host=%s cold=%d", h.name.c_str(), cold);
}

void ExperimentRun::end_host(HostUnit& h) {
  if (!h.up) return;
  h.up = false;
  ++h.generation;
  checker_.host_down(h.id, now());
  h.server->abort_all();
  environment_.end_process(*h.network);
  h.server.reset();
  log_.line(now(), "host-down host=%s", h.name.c_str());
}

void ExperimentRun::publish_status(const HostUnit& h, HostStatus status, Micros delay) {
  list_.add_change({h.name, to_text(environment_.address(h.machine)), experiment_.fleet.zones[h.zone.value],
                    h.cell.value, h.capacity_hint, status, h.model->boot_time()},
                   now() + delay);
  // A watching node is notified when the change becomes known: refresh() makes the server check again at that
  // time.
  if (delay > 0us)
    for (NodeUnit& n : nodes_)
      if (n.list) n.list->refresh();
}

void ExperimentRun::start_list_server(NodeUnit& n) {
  n.list_machine = environment_.add_machine({0});
  n.list_network = &environment_.start_process(n.list_machine);
  n.list = std::make_unique<ListServer>(
      *n.list_network, list_, list_state_, [this, id = n.id](const ListModel::Entry& e, Micros written) {
        const NodeUnit& node = nodes_[id.value];
        if (!node.up || node.disconnected) return;
        checker_.host_listed(id, node.list_machine, host_of(e), e.status, e.boot_time, written);
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
  return nlohmann::json{{"name", "n" + std::to_string(n.id.value)},
                        {"listen", to_text(environment_.address(n.machine))},
                        {"discovery", to_text(environment_.address(n.list_machine))},
                        {"seed", seed},
                        {"limits", {{"memory_mb", plan.memory_mb}, {"sockets", plan.sockets}}},
                        {"known", nlohmann::json::parse(list_json(list_, 0, now()))},
                        {"settings", settings}}
      .dump();
}

void ExperimentRun::start_node(NodeUnit& n) {
  ++n.generation;
  n.seed = derive_seed(seed_, 10, n.id.value + 104729 * n.generation);
  n.up = true;
  n.disconnected = n.shutting_down = false;
  checker_.node_up(n.id, n.machine);
  // The hosts in its configuration count as listed by discovery at its start.
  for (const ListModel::Entry& e : list_.changes_since(0, now()))
    checker_.host_listed(n.id, n.machine, host_of(e), e.status, e.boot_time, now());
  std::vector<MachineId> seeds;
  if (experiment_.node.joins_fleet) {
    seeds.push_back(nodes_.front().machine);
    seeds.push_back(nodes_[nodes_.size() / 2].machine);
  }
  environment_.start_node(n.id, n.machine, config(n), seeds);
  log_.line(now(), "node-up node=n%u", n.id.value);
}

void ExperimentRun::restart(NodeUnit& n) {
  const std::uint64_t generation = ++n.generation;
  environment_.schedule_at(now() + kRestartDelay, [this, &n, generation] {
    if (generation == n.generation && !n.up) start_node(n);
  });
}

// Polls until a node that is shutting down has ended. Sessions that it still held then were closed by the
// node itself.
void ExperimentRun::await_exit(NodeUnit& n) {
  environment_.schedule_at(now() + 50ms, [this, &n, generation = n.generation] {
    if (generation != n.generation || !n.up) return;
    if (environment_.running(n.id)) return await_exit(n);
    log_.line(now(), "node-left node=n%u", n.id.value);
    environment_.kill_node(n.id);
    n.up = false;
    restart(n);
  });
}

std::optional<ClientEnvironment::Route> ExperimentRun::choose_node(ZoneId zone) {
  const auto n = front_.choose(zone, now());
  if (!n) return std::nullopt;
  if (nodes_[n->value].zone != zone) ++outcome_.tally.crossed;
  return Route{*n, environment_.address(nodes_[n->value].machine)};
}

SessionNo ExperimentRun::register_session(const ClientModel::Session& session) {
  sessions_.push_back({session.load, session.group});
  return {sessions_.size()};
}

const SessionLoad* ExperimentRun::find_session(SessionNo id) const {
  return id.value >= 1 && id.value <= sessions_.size() ? &sessions_[id.value - 1] : nullptr;
}

Second& ExperimentRun::current_second() {
  const auto index = static_cast<std::size_t>(std::max(since_start(), 0us) / 1s);
  if (outcome_.seconds.size() <= index) outcome_.seconds.resize(index + 1);
  return outcome_.seconds[index];
}

void ExperimentRun::set_zone_blocked(const std::string& kind, ZoneId zone, bool active) {
  for (std::uint32_t other = 0; other < experiment_.fleet.zones.size(); ++other) {
    if (other == zone.value) continue;
    const auto set_direction = [&](ZoneId from, ZoneId to) {
      if (overlaps(zone_blocks_[{from.value, to.value}], active)) return;
      active ? environment_.block(from, to) : environment_.unblock(from, to);
    };
    if (kind != "zone-deaf") set_direction(zone, {other});
    if (kind != "zone-mute") set_direction({other}, zone);
  }
}

// Begins or ends a fault of links between nodes and hosts; links to clients and discovery are not affected.
void ExperimentRun::set_links_degraded(const Fault& f, bool active) {
  const bool of_node = f.kind.starts_with("node-"), slow = f.kind.ends_with("-slow");
  for (const NodeUnit& n : nodes_) {
    for (const HostUnit& h : hosts_) {
      if (of_node && (n.id.value != f.target || h.id.value % 2 == f.target % 2)) continue;
      if (!of_node && (n.zone == h.zone || (n.zone.value != f.target && h.zone.value != f.target))) continue;
      if (overlaps(link_degradations_[{n.id.value, h.id.value}], active)) continue;
      if (!active)
        environment_.clear_degradation(n.machine, h.machine);
      else
        environment_.degrade(n.machine, h.machine, Micros{slow ? std::llround(f.magnitude * 1e6) : 0},
                             slow ? 0 : std::min(f.magnitude, 1.0));
    }
  }
}

// Lists a share of the running hosts as removed. At the end of the fault they are listed as active again,
// except those that have stopped, restarted or begun to drain: these are listed when they start or stop.
void ExperimentRun::shrink_list(const Fault& f) {
  std::vector<std::pair<std::uint32_t, std::uint64_t>> removed;
  for (const HostUnit& h : hosts_) {
    if (!h.up || h.disconnected || h.shutting_down || uniform() >= f.magnitude) continue;
    removed.emplace_back(h.id.value, h.generation);
    publish_status(h, HostStatus::removed, 1us);
  }
  environment_.schedule_at(now() + f.duration, [this, removed] {
    for (const auto& [id, generation] : removed)
      if (const HostUnit& h = hosts_[id]; h.generation == generation && !h.shutting_down && !h.disconnected)
        publish_status(h, HostStatus::active, 1us);
  });
}

unsigned* ExperimentRun::ongoing_list_faults(const std::string& kind) {
  const char* const kinds[] = {"list-down", "list-malformed", "list-slow", "list-stale", "list-turns-away"};
  const auto found = std::find(std::begin(kinds), std::end(kinds), kind);
  return found == std::end(kinds) ? nullptr : &ongoing_list_faults_[found - std::begin(kinds)];
}

void ExperimentRun::update_list_state() {
  const bool stale = ongoing_list_faults_[3] > 0;
  list_state_.unavailable = ongoing_list_faults_[0] > 0;
  list_state_.malformed = ongoing_list_faults_[1] > 0;
  if (ongoing_list_faults_[2] == 0) list_state_.response_delay = 0us;
  if (ongoing_list_faults_[4] == 0) list_state_.reject_after.reset();
  if (!stale) list_.unfreeze();
  for (NodeUnit& n : nodes_) n.list->refresh();
}

// Drains a host, ends it, and starts it again cold.
void ExperimentRun::deploy(HostUnit& h) {
  if (!h.up || h.shutting_down) return;
  h.shutting_down = true;
  const std::uint64_t generation = h.generation;
  h.server->drain();
  log_.line(now(), "draining host=%s", h.name.c_str());
  publish_status(h, HostStatus::draining, draw_between(experiment_.list.update_delay));
  environment_.schedule_at(now() + experiment_.host.drain_duration, [this, &h, generation] {
    if (h.generation != generation) return;
    end_host(h);
    publish_status(h, HostStatus::removed, draw_between(experiment_.list.update_delay));
    environment_.schedule_at(now() + kRestartDelay, [this, &h, after = h.generation] {
      if (h.generation != after) return;
      start_host(h, true);
      publish_status(h, HostStatus::active, draw_between(experiment_.list.update_delay));
    });
  });
}

void ExperimentRun::begin_fault(const Fault& f) {
  const std::string text = to_text(f, experiment_.fleet);
  log_.line(now(), "fault %s", text.c_str());
  outcome_.marks.push_back({f.at, f.at + f.duration, text.substr(text.find(": ") + 2)});
  HostUnit* const h = f.target < hosts_.size() ? &hosts_[f.target] : nullptr;
  NodeUnit* const n = f.target < nodes_.size() ? &nodes_[f.target] : nullptr;
  std::uint64_t generation = 0;
  if (f.kind.starts_with("host-")) {
    if (!h->up || h->disconnected) return;
    if (f.kind == "host-dies") {
      end_host(*h);
      publish_status(*h, HostStatus::removed, draw_between(experiment_.list.update_delay));
    } else if (f.kind == "host-lost") {
      h->disconnected = true;
      environment_.disconnect(h->machine);
      checker_.host_silent(h->id, true, now());
      publish_status(*h, HostStatus::removed, 3 * experiment_.list.update_delay[1]);
    } else if (f.kind == "host-hangs") {
      h->model->set_hanging(true);
      checker_.host_silent(h->id, true, now());
    } else if (f.kind == "host-half-dead") {
      h->model->set_half_dead(true);
    } else if (f.kind == "host-errs") {
      h->model->set_error_share(f.magnitude);
    } else if (f.kind == "host-slow") {
      h->model->set_speed(now(), std::clamp(f.magnitude, 0.01, 1.0));
    } else if (f.kind == "host-flaps") {
      const Micros period{std::max<std::int64_t>(std::llround(f.magnitude * 1e6), 1000)};
      for (Micros offset{0}; offset < f.duration; offset += period)
        environment_.schedule_at(
            now() + offset, [this, hang = Fault{f.at + offset, "host-hangs", f.target, period / 2, 0, 0}] {
              begin_fault(hang);
            });
      return;
    } else if (f.kind == "host-resets") {
      h->model->set_reset_share(f.magnitude);
    }
    generation = h->generation;
  } else if (f.kind == "hosts-deploy") {
    return deploy(*h);
  } else if (degrades_links(f.kind)) {
    set_links_degraded(f, true);
  } else if (f.kind == "list-shrinks") {
    return shrink_list(f);
  } else if (f.kind.starts_with("node-")) {
    if (!n->up || n->disconnected) return;
    if (f.kind == "node-reload") {
      const bool invalid = uniform() < f.magnitude;
      return environment_.reload_node(n->id, invalid ? "{\"name\":" : config(*n));
    }
    if (f.kind == "node-restarts") {
      if (std::exchange(n->shutting_down, true)) return;
      front_.check_failed(n->id, now(), draw_between(kShutdownNoticeDelay));
      environment_.shut_down_node(n->id);
      return await_exit(*n);
    }
    if (f.kind == "node-lost") {
      n->disconnected = true;
      environment_.disconnect(n->machine);
    } else {
      environment_.kill_node(n->id);
      n->up = false;
    }
    checker_.node_down(n->id);
    generation = ++n->generation;
  } else if (f.kind.starts_with("zone-")) {
    set_zone_blocked(f.kind, {f.target}, true);
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
      start_list_server(each);
      if (each.up && !each.disconnected) environment_.reload_node(each.id, config(each));
    }
    return;
  } else {
    if (unsigned* ongoing = ongoing_list_faults(f.kind)) ++*ongoing;
    if (f.kind == "list-slow")
      list_state_.response_delay = Micros{static_cast<std::int64_t>(f.magnitude * 1e6)};
    if (f.kind == "list-turns-away")
      list_state_.reject_after = Micros{static_cast<std::int64_t>(f.magnitude * 1e6)};
    if (f.kind == "list-stale") list_.freeze(now());
    update_list_state();
  }
  environment_.schedule_at(now() + f.duration, [this, f, generation] { end_fault(f, generation); });
}

void ExperimentRun::end_fault(const Fault& f, std::uint64_t generation) {
  log_.line(now(), "over %s", to_text(f, experiment_.fleet).c_str());
  if (degrades_links(f.kind)) return set_links_degraded(f, false);
  if (f.kind.starts_with("host-")) {
    HostUnit& h = hosts_[f.target];
    if (h.generation != generation) return;
    if (f.kind == "host-lost") {
      end_host(h);
      environment_.reconnect(h.machine);
    }
    if (f.kind == "host-dies" || f.kind == "host-lost") {
      start_host(h, true);
      return publish_status(h, HostStatus::active, draw_between(experiment_.list.update_delay));
    }
    if (f.kind == "host-hangs") {
      h.model->set_hanging(false);
      if (!h.model->hanging()) {
        checker_.host_silent(h.id, false, now());
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
    if (n.generation != generation) return;
    if (f.kind == "node-lost") {
      environment_.kill_node(n.id);
      environment_.reconnect(n.machine);
      n.up = false;
    }
    return start_node(n);
  }
  if (f.kind.starts_with("zone-")) return set_zone_blocked(f.kind, {f.target}, false);
  if (unsigned* ongoing = ongoing_list_faults(f.kind)) --*ongoing;
  update_list_state();
}

// A change that a node has not received counts as received once the node had enough time to request it from
// discovery.
void ExperimentRun::check_list_deadlines() {
  deadlines_.update(list_, !list_state_.unavailable && !list_state_.reject_after, now());
  for (const ChangeDeadlines::Change& change : deadlines_.take_due(now()))
    for (const NodeUnit& n : nodes_)
      if (n.up && !n.disconnected)
        checker_.host_listing_due(n.id, n.list_machine, host_of(change.entry), change.entry.status,
                                  change.published_at, change.deadline);
}

void ExperimentRun::sample() {
  checker_.check_overdue(now());
  check_list_deadlines();
  Second& s = current_second();
  const double interval = seconds(kSampleInterval);
  for (const auto& c : clients_) {
    if (!c->wants(now())) continue;
    s.asked += c->utility() * interval;
    if (c->meets_message_target(now())) s.served += c->utility() * interval;
  }
  if (s.loads.empty()) {
    double cold = 0, warm = 0, colds = 0, warms = 0;
    for (const HostUnit& h : hosts_) {
      const bool serves = h.up && !h.disconnected && !h.shutting_down;
      s.loads.push_back(h.up && !h.disconnected ? h.model->utilization() : -1);
      if (!serves) continue;
      const bool is_cold = h.model->is_cold(now());
      (is_cold ? cold : warm) += h.model->utilization();
      ++(is_cold ? colds : warms);
    }
    if (colds > 0 && warm > 0)
      outcome_.tally.cold_load += cold / (warm / warms), outcome_.tally.cold_seconds += colds;
  }
  if (since_start() + kSampleInterval < experiment_.duration)
    environment_.schedule_at(now() + kSampleInterval, [this] { sample(); });
}

Outcome ExperimentRun::execute() {
  for (const auto& c : clients_) c->start();
  for (const auto& r : misbehaving_clients_) r->start();
  for (const Fault& f : faults_) environment_.schedule_at(start_ + f.at, [this, f] { begin_fault(f); });
  environment_.schedule_at(start_ + kSampleInterval, [this] { sample(); });
  environment_.run_until(start_ + experiment_.duration);
  for (NodeUnit& n : nodes_) {
    if (n.up && !n.disconnected && !n.shutting_down && !environment_.running(n.id))
      outcome_.violations.push_back(
          {Rule::answer, since_start(), {}, "node n" + std::to_string(n.id.value) + " has ended by itself"});
  }
  for (const Second& s : outcome_.seconds) {
    outcome_.tally.asked += s.asked;
    outcome_.tally.served += s.served;
  }
  outcome_.hash = log_.hash();
  outcome_.lines = log_.lines();
  outcome_.checks = checker_.checks();
  outcome_.log = log_.text();
  return std::move(outcome_);
}

}  // namespace flintweir::lab
