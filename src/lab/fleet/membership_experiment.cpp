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

// Queries processes for their views of the fleet over the network, as the command `flintweir members` does.
class ViewPoller final : net::DatagramEvents {
 public:
  using Completion = std::function<void(const members::ViewQuery&)>;
  explicit ViewPoller(FleetHarness& harness) : harness_(harness) {
    harness_.observer().open_datagrams(harness_.observer_address());
    harness_.observer().wait_datagram(*this);
  }
  void start_query(NodeEndpoint target, Completion on_complete) {
    PendingQuery& pending = pending_[harness_.listen_address(target)];
    // A query whose response was lost is replaced by a new one that starts at the first page.
    pending = {members::ViewQuery(++last_query_ << 20), std::move(on_complete), harness_.now()};
    harness_.observer().send_datagram(harness_.listen_address(target), pending.query.next_request());
  }
  // Repeats the last request of each query that got no page for `timeout`. A node limits how many bytes of
  // its view it sends at a time, so pages of a large view that it withheld have to be requested again.
  void resend_stalled(Micros timeout) {
    for (auto& [target, pending] : pending_) {
      if (harness_.now() - pending.last_response < timeout) continue;
      pending.last_response = harness_.now();
      harness_.observer().send_datagram(target, pending.query.next_request());
    }
  }

 private:
  struct PendingQuery {
    members::ViewQuery query{0};
    Completion on_complete;
    Micros last_response{0};
  };
  void datagram_pending() override {
    char bytes[members::kMaxDatagramBytes + 1];
    for (;;) {
      const net::ReceiveResult received = harness_.observer().receive(bytes, sizeof bytes);
      if (received.status == net::IoStatus::would_block) break;
      const auto it = pending_.find(received.from);
      if (received.status != net::IoStatus::done || it == pending_.end()) continue;
      if (it->second.query.received({bytes, received.bytes})) {
        const PendingQuery done = std::move(it->second);
        pending_.erase(it);
        done.on_complete(done.query);
      } else {
        it->second.last_response = harness_.now();
        harness_.observer().send_datagram(it->first, it->second.query.next_request());
      }
    }
    harness_.observer().wait_datagram(*this);
  }

  FleetHarness& harness_;
  std::map<Address, PendingQuery> pending_;
  std::uint64_t last_query_ = 0;
};

class MembershipExperiment {
 public:
  MembershipExperiment(const MembershipPlan& plan, FleetHarness& harness, std::uint64_t seed,
                       std::string only)
      : plan_(plan),
        harness_(harness),
        only_fault_(std::move(only)),
        random_(static_cast<std::knuth_b::result_type>(mix(seed + 0x9e37) | 1)),
        poller_(harness),
        started_(harness.now()),
        checker_(plan.probe_interval, [this](const MembershipViolation& violation) {
          // A violation seen in several observations is listed once.
          if (result_.violations.size() < 20 && reported_.insert(violation.description).second)
            result_.violations.push_back({violation.rule, violation.at - started_, violation.description});
        }) {
    for (unsigned i = 0; i < plan.nodes; ++i) nodes_.push_back({"n" + std::to_string(i), {i, 0}, false, {}});
    harness_.on_sent = [this](NodeEndpoint from, std::size_t bytes) {
      for (const Node* node : {&nodes_[from.node], &nodes_.back()})
        if (node->endpoint == from) return checker_.datagram_sent(node->name, bytes, harness_.now());
    };
  }

  MembershipResult run() {
    for (unsigned i = 0; i < plan_.seed_nodes; ++i) seeds_.push_back({i * plan_.nodes / plan_.seed_nodes, 0});
    // All nodes, the seed nodes included, start within the same 100 ms.
    for (unsigned i = 0; i < plan_.nodes; ++i)
      harness_.schedule_at(started_ + random_time_below(100ms), [this, i] { start_node(i); });
    poll_views(0);
    const Micros joined_by = started_ + plan_.join_time;
    std::uint64_t sent_before = 0;
    harness_.schedule_at(joined_by, [this, &sent_before] { sent_before = checker_.sent_bytes(); });
    const Micros idle_from = joined_by, idle_to = joined_by + std::min<Micros>(plan_.fault_window / 2, 3s);
    harness_.schedule_at(idle_to, [this, &sent_before, idle_from, idle_to] {
      result_.idle_bytes_per_second = static_cast<double>(checker_.sent_bytes() - sent_before) /
                                      seconds(idle_to - idle_from) / static_cast<double>(plan_.nodes);
    });
    Micros last_end = idle_to;
    for (const FleetFault& fault : draw_faults()) {
      const Micros at = idle_to + random_time_below(plan_.fault_window);
      result_.faults.push_back(fault.name);
      last_end = std::max(last_end, at + fault.duration + 100ms);
      has_cut_ = has_cut_ || fault.kind.starts_with("cut");
      harness_.schedule_at(at, [this, fault] { inject(fault); });
    }
    last_fault_end_ = last_end;
    harness_.run_until(last_end + plan_.convergence_limit);
    harness_.read_logs([this](NodeEndpoint at, std::string_view line) {
      for (const Node& node : nodes_)
        if (node.endpoint == at && node.running) checker_.receive_log_line(node.name, line);
    });
    checker_.check_converged(harness_.now());
    result_.running_reported_failed = checker_.running_reported_failed();
    if (converged_since_ != kNever) {
      result_.reconverged_ms = std::max(0.0, seconds(converged_since_ - last_fault_end_) * 1e3);
    }
    result_.observations = checker_.observations();
    result_.duration_s = seconds(harness_.now() - started_);
    harness_.on_sent = nullptr;
    for (Node& node : nodes_) harness_.kill(node.endpoint);
    return std::move(result_);
  }

 private:
  struct Node {
    std::string name;
    NodeEndpoint endpoint;
    bool running = false;
    bool frozen = false;
    Micros last_view{0}, started_at{0};
  };

  Micros random_time_below(Micros limit) {
    return Micros{static_cast<std::int64_t>(static_cast<double>(limit.count()) *
                                            std::generate_canonical<double, 32>(random_))};
  }
  void schedule_after(Micros delay, std::function<void()> action) {
    harness_.schedule_at(harness_.now() + delay, std::move(action));
  }

  std::vector<FleetFault> draw_faults() {
    std::vector<FleetFault> all, out;
    for (const FleetFault& fault : plan_.faults)
      if (only_fault_.empty() || fault.kind == only_fault_ || fault.name == only_fault_) all.push_back(fault);
    if (!only_fault_.empty() && all.empty())
      throw InputError(plan_.name + ":1: no [[trouble]] has the kind or name '" + only_fault_ + "'");
    if (all.empty()) return out;
    const unsigned count = only_fault_.empty() ? plan_.fault_count : 1;
    for (unsigned i = 0; i < count; ++i) out.push_back(all[random_() % all.size()]);
    return out;
  }

  // Random running nodes: the given share of them or, if set, the exact count. A share gives at least one
  // node. At least one running node is always left out.
  std::vector<unsigned> draw_running_nodes(double share, std::optional<std::size_t> exact_count = {}) {
    std::vector<unsigned> running;
    for (unsigned i = 0; i < nodes_.size(); ++i)
      if (nodes_[i].running && !nodes_[i].frozen) running.push_back(i);
    for (std::size_t i = running.size(); i > 1; --i) std::swap(running[i - 1], running[random_() % i]);
    std::size_t n =
        std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(running.size())));
    if (exact_count) n = *exact_count;
    running.resize(std::min(n, running.empty() ? 0 : running.size() - 1));
    return running;
  }

  void start_node(unsigned i) {
    Node& node = nodes_[i];
    if (node.running) return;
    node.running = true;
    node.last_view = node.started_at = harness_.now();
    checker_.process_started(node.name, harness_.now());
    harness_.start(node.endpoint, node.name, seeds_);
  }
  void kill_node(unsigned i) {
    Node& node = nodes_[i];
    if (!node.running) return;
    node.running = false;
    harness_.kill(node.endpoint);
    checker_.process_ended(node.name, harness_.now());
    converged_since_ = kNever;
  }
  void crash_node(unsigned i) {
    kill_node(i);
    pending_crashes_.emplace_back(nodes_[i].name, harness_.now());
  }
  void allow_failed_verdicts(const std::vector<unsigned>& nodes, bool on_them, bool by_them) {
    for (const unsigned i : nodes) {
      if (on_them) may_be_reported_.insert(nodes_[i].endpoint.node);
      if (by_them) may_report_.insert(nodes_[i].endpoint.node);
    }
    for (const Node& node : nodes_) apply_allowed_verdicts(node);
  }
  void apply_allowed_verdicts(const Node& node) {
    if (may_be_reported_.contains(node.endpoint.node)) checker_.allow_reported_failed(node.name);
    if (may_report_.contains(node.endpoint.node)) checker_.allow_reporting_failures(node.name);
  }
  std::vector<unsigned> all_nodes() const {
    std::vector<unsigned> out;
    for (unsigned i = 0; i < nodes_.size(); ++i) out.push_back(i);
    return out;
  }
  // Applies `change` to each link that is selected, and resets these links after `duration`.
  template <class Selects, class Change>
  void apply_to_links(Micros duration, Selects selects, Change change) {
    for (unsigned a = 0; a < plan_.nodes; ++a)
      for (unsigned b = 0; b < plan_.nodes; ++b)
        if (a != b && selects(a, b)) change(harness_.link(a, b));
    schedule_after(duration, [this, selects] {
      for (unsigned a = 0; a < plan_.nodes; ++a)
        for (unsigned b = 0; b < plan_.nodes; ++b)
          if (a != b && selects(a, b)) harness_.link(a, b) = DatagramFaults();
    });
  }
  // A seed node that never leaves or changes its address: without one, a restarted node could not find the
  // fleet.
  unsigned permanent_seed() const { return seeds_.back().node; }
  static DatagramFaults cut_link() {
    DatagramFaults out;
    out.blocked = true;
    return out;
  }
  // Assigns each node to a partition. Partition 0 has the given share of the nodes, or an equal share if it
  // is 0.
  std::vector<unsigned> draw_partition(const FleetFault& fault) {
    std::vector<unsigned> out(nodes_.size());
    const std::vector<unsigned> first =
        draw_running_nodes(fault.share > 0 ? fault.share : 1.0 / fault.partitions);
    for (unsigned& o : out) o = 1 + static_cast<unsigned>(random_() % (fault.partitions - 1));
    for (const unsigned i : first) out[i] = 0;
    if (fault.kind == "cut-moved") out[permanent_seed()] = 1;
    // Nearly all nodes still reach a partition with at least 80% of the running nodes, so it must stay free
    // of false verdicts. In a smaller one, failed verdicts are allowed on its nodes, which the rest cannot
    // reach, and by them.
    for (unsigned part = 0; part < fault.partitions; ++part) {
      std::vector<unsigned> members;
      std::size_t running_here = 0, running = 0;
      for (unsigned i = 0; i < out.size(); ++i) {
        if (out[i] == part) members.push_back(i);
        running_here += out[i] == part && nodes_[i].running;
        running += nodes_[i].running;
      }
      const bool large = static_cast<double>(running_here) >= 0.8 * static_cast<double>(running);
      if (!large) allow_failed_verdicts(members, true, true);
    }
    return out;
  }

  void inject(const FleetFault& fault) {
    converged_since_ = kNever;
    if (fault.kind == "crash" || fault.kind == "crash-back" || fault.kind == "moved" ||
        fault.kind == "clock-back") {
      for (const unsigned i : draw_running_nodes(fault.share)) {
        if (i == permanent_seed() && fault.kind == "crash") continue;
        // The survivors on one side of a cut may be few, and a single survivor reaches nobody: neither can
        // tell failed nodes from unreachable ones.
        if (fault.share > 0.8 || (fault.share >= 0.5 && has_cut_))
          allow_failed_verdicts(all_nodes(), true, true);
        allow_failed_verdicts({i}, true, false);
        schedule_after(random_time_below(100ms), [this, i, fault] {
          if (fault.kind == "crash") return crash_node(i);
          kill_node(i);
          if (fault.kind == "moved" && i != permanent_seed()) nodes_[i].endpoint.address ^= 1;
          if (fault.kind == "clock-back") harness_.set_clock_lag(nodes_[i].endpoint, 3600s);
          schedule_after(fault.duration, [this, i] { start_node(i); });
        });
      }
    } else if (fault.kind == "leave") {
      Micros delay = 0us;
      const std::vector<unsigned> chosen = draw_running_nodes(fault.share);
      for (const unsigned i : chosen) {
        if (i == permanent_seed()) continue;
        allow_failed_verdicts({i}, true, false);
        schedule_after(delay, [this, i] {
          Node& node = nodes_[i];
          if (!node.running) return;
          node.running = false;
          checker_.process_ended(node.name, harness_.now());
          harness_.leave(node.endpoint);
        });
        delay += fault.duration / static_cast<std::int64_t>(chosen.size());
      }
    } else if (fault.kind == "pause") {
      for (const unsigned i : draw_running_nodes(fault.share)) {
        // A pause of up to three probe intervals must not lead to a failed verdict on the node, and no pause
        // entitles the node to report others as failed.
        if (fault.duration > 3 * plan_.probe_interval) allow_failed_verdicts({i}, true, false);
        freeze(i, fault.duration);
      }
    } else if (fault.kind == "busy") {
      for (const unsigned i : draw_running_nodes(fault.share))
        for (Micros delay = 0us; delay < fault.duration; delay += 150ms)
          schedule_after(delay, [this, i] { freeze(i, 120ms); });
    } else if (fault.kind == "cut" || fault.kind == "cut-flaps" || fault.kind == "cut-moved") {
      const std::vector<unsigned> partition = draw_partition(fault);
      const bool one_way = fault.one_way;
      const auto across = [partition, one_way](unsigned a, unsigned b) {
        return one_way ? partition[a] < partition[b] : partition[a] != partition[b];
      };
      const auto close = [this, across](Micros duration) {
        apply_to_links(duration, across, [](DatagramFaults& p) { p = cut_link(); });
      };
      if (fault.kind != "cut-flaps") {
        close(fault.duration);
      } else {
        for (Micros at = 0us; at < fault.duration; at += 2 * fault.period_or_delay)
          schedule_after(at,
                         [close, fault, at] { close(std::min(fault.period_or_delay, fault.duration - at)); });
      }
      if (fault.kind == "cut-moved") {
        for (unsigned i = 0; i < nodes_.size(); ++i) {
          if (partition[i] != 0 || !nodes_[i].running) continue;
          schedule_after(fault.duration / 2, [this, i] {
            kill_node(i);
            nodes_[i].endpoint.address ^= 1;
            schedule_after(random_time_below(300ms), [this, i] { start_node(i); });
          });
        }
      }
    } else if (fault.kind == "deaf" || fault.kind == "slow") {
      const std::vector<unsigned> chosen = draw_running_nodes(fault.share);
      allow_failed_verdicts(chosen, true, true);
      apply_to_links(
          fault.duration,
          [chosen](unsigned, unsigned b) {
            return std::find(chosen.begin(), chosen.end(), b) != chosen.end();
          },
          [&](DatagramFaults& p) {
            p.loss = fault.kind == "deaf" ? fault.magnitude : 0;
            p.extra_delay = fault.kind == "slow" ? fault.period_or_delay : 0us;
          });
    } else if (fault.kind == "loss") {
      // Above 20% loss, false failed verdicts are allowed.
      if (fault.magnitude > 0.2) allow_failed_verdicts(all_nodes(), true, true);
      apply_to_links(
          fault.duration, [](unsigned, unsigned) { return true; },
          [&](DatagramFaults& p) { p.loss = fault.magnitude; });
    } else if (fault.kind == "mangled") {
      apply_to_links(
          fault.duration, [](unsigned, unsigned) { return true; },
          [&](DatagramFaults& p) {
            p.duplication = p.replay = fault.magnitude;
            p.corruption = fault.magnitude / 4;
            p.jitter = fault.period_or_delay;
          });
    } else if (fault.kind == "fails-returns") {
      for (const unsigned i : draw_running_nodes(0, 1)) {
        allow_failed_verdicts({i}, true, false);
        for (Micros at = 0us; at + fault.period_or_delay < fault.duration; at += fault.period_or_delay) {
          schedule_after(at, [this, i] { kill_node(i); });
          schedule_after(at + fault.period_or_delay / 2, [this, i] { start_node(i); });
        }
      }
    } else if (fault.kind == "rubbish") {
      for (const unsigned i : draw_running_nodes(0, 1)) {
        const Micros spacing{static_cast<std::int64_t>(1e6 / std::max(fault.magnitude, 1.0))};
        // Sent in bursts, one every 10 ms.
        for (Micros at = 0us; at < fault.duration; at += 10ms)
          schedule_after(at, [this, i, spacing] {
            for (Micros sent = 0us; sent < 10ms; sent += spacing)
              harness_.observer().send_datagram(harness_.listen_address(nodes_[i].endpoint),
                                                random_datagram());
          });
      }
    } else if (fault.kind == "same-name") {
      for (const unsigned i : draw_running_nodes(0, 1)) {
        // A failed verdict on the process that started later must not remove the one that started first.
        const NodeEndpoint duplicate{i, 2};
        // Allowed, because the first one moves to a later generation than the duplicate's.
        checker_.allow_reported_failed(nodes_[i].name);
        harness_.start(duplicate, nodes_[i].name, seeds_);
        schedule_after(fault.duration, [this, duplicate] { harness_.kill(duplicate); });
      }
    } else if (fault.kind == "join") {
      // Runs on the machine of a running node, at an address of its own.
      const unsigned index = plan_.nodes;
      if (nodes_.size() == index) {
        nodes_.push_back({"joins", {permanent_seed(), 4}, false, false, {}, {}});
        apply_allowed_verdicts(nodes_.back());
      }
      if (nodes_[index].running) return;
      start_node(index);
      pending_joins_.emplace_back("joins", harness_.now());
    } else if (fault.kind == "reload") {
      for (const unsigned i : draw_running_nodes(fault.share))
        if (nodes_[i].running)
          harness_.reload(nodes_[i].endpoint, {{(i + 1) % plan_.nodes, 0}, {(i + 2) % plan_.nodes, 0}});
    }
  }

  void freeze(unsigned i, Micros duration) {
    Node& node = nodes_[i];
    if (!node.running || std::exchange(node.frozen, true)) return;
    const NodeEndpoint at = node.endpoint;
    harness_.freeze(at, true);
    checker_.set_paused(node.name, true, harness_.now());
    schedule_after(duration, [this, i, at] {
      nodes_[i].frozen = false;
      nodes_[i].last_view = harness_.now();
      harness_.freeze(at, false);
      checker_.set_paused(nodes_[i].name, false, harness_.now());
    });
  }

  std::string random_datagram() {
    std::string out(1 + random_() % 600, '\0');
    for (char& c : out) c = static_cast<char>(random_());
    if (random_() % 2 && out.size() > 4)
      out[0] = 'f', out[1] = 'w', out[2] = static_cast<char>(1 + random_() % 2);
    return out;
  }

  // Polls the views of the running nodes, and schedules the next poll.
  void poll_views(unsigned round) {
    const Micros poll_interval = std::max<Micros>(plan_.probe_interval / 3, 50ms);
    const Micros now = harness_.now();
    // In a large fleet each round polls only a part of the nodes, since a view takes many datagrams.
    const std::size_t parts = 1 + nodes_.size() * nodes_.size() / 20000;
    const Micros view_timeout = std::max<Micros>(5s, poll_interval * static_cast<std::int64_t>(4 * parts));
    poller_.resend_stalled(poll_interval * 3);
    for (unsigned index = 0; index < nodes_.size(); ++index) {
      Node& node = nodes_[index];
      if (!node.running || node.frozen || index % parts != round % parts) continue;
      poller_.start_query(node.endpoint, [this, index, at = node.endpoint](const members::ViewQuery& view) {
        Node& responder = nodes_[index];
        if (!responder.running || responder.endpoint != at) return;
        responder.last_view = harness_.now();
        checker_.receive_view(responder.name, view, harness_.now());
        update_measurements();
      });
      // Holds under malformed datagrams and on a busy machine as well.
      if (now - node.last_view > view_timeout) {
        checker_.report_unanswered(node.name, "has given no view for seconds", now);
        node.last_view = now;
      }
      // Skipped while the node may still be starting, which takes long on a busy machine.
      if (round / parts % 10 == index / parts % 10 && now - node.started_at > plan_.join_time) {
        harness_.check_serving(node.endpoint, [this, index, at = node.endpoint](bool serving) {
          const Node& checked = nodes_[index];
          if (!serving && checked.running && checked.endpoint == at && !checked.frozen)
            checker_.report_unanswered(checked.name, "does not answer its front", harness_.now());
        });
      }
    }
    schedule_after(poll_interval, [this, round] { poll_views(round + 1); });
  }

  void update_measurements() {
    const Micros now = harness_.now();
    for (auto it = pending_crashes_.begin(); it != pending_crashes_.end();) {
      if (!checker_.all_consider_gone(it->first)) {
        ++it;
        continue;
      }
      result_.crash_detection_ms.push_back(seconds(now - it->second) * 1e3);
      it = pending_crashes_.erase(it);
    }
    std::erase_if(pending_joins_, [&](const auto& join) {
      const bool listed = checker_.all_list(join.first);
      if (listed) result_.join_detection_ms.push_back(seconds(now - join.second) * 1e3);
      return listed;
    });
    if (!checker_.converged()) {
      converged_since_ = kNever;
    } else if (converged_since_ == kNever) {
      converged_since_ = now;
      if (!result_.converged_ms && checker_.running_count() == nodes_.size())
        result_.converged_ms = seconds(now - started_) * 1e3;
    }
  }

  const MembershipPlan& plan_;
  FleetHarness& harness_;
  std::string only_fault_;
  std::knuth_b random_;
  ViewPoller poller_;
  Micros started_, last_fault_end_{0}, converged_since_ = kNever;
  std::vector<Node> nodes_;
  std::vector<NodeEndpoint> seeds_;
  std::vector<std::pair<std::string, Micros>> pending_crashes_, pending_joins_;
  MembershipResult result_;
  std::set<std::string> reported_;
  std::set<unsigned> may_be_reported_;  // nodes whose processes may be reported failed
  std::set<unsigned> may_report_;       // nodes whose processes may report others failed
  bool has_cut_ = false;                // one of the drawn faults cuts links
  MembershipChecker checker_;
};

}  // namespace

MembershipResult run_membership_experiment(const MembershipPlan& plan, FleetHarness& harness,
                                           std::uint64_t seed, const std::string& only) {
  return MembershipExperiment(plan, harness, seed, only).run();
}

MembershipResult run_membership_virtual(const MembershipPlan& plan, std::uint64_t seed,
                                        const std::string& only, std::string* log,
                                        std::optional<BaselineProtocol> baseline) {
  VirtualHarness harness(plan.nodes, plan.probe_interval, plan.forget_after, seed, log, baseline);
  return run_membership_experiment(plan, harness, seed, only);
}

MembershipResult run_membership_loopback(const MembershipPlan& plan, std::uint64_t seed,
                                         const std::string& only, const std::vector<std::string>& program,
                                         const std::string& folder) {
  MembershipPlan real = plan;
  std::erase_if(real.faults, [](const FleetFault& fault) {
    return std::any_of(fleet_fault_kinds().begin(), fleet_fault_kinds().end(),
                       [&](const FleetFaultKind& k) { return k.virtual_only && fault.kind == k.name; });
  });
  LoopbackHarness harness(program, folder, plan.nodes, plan.probe_interval, seed);
  return run_membership_experiment(real, harness, seed, only);
}

}  // namespace flintweir::lab
