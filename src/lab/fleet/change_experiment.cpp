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

constexpr Micros kPollInterval = 200ms;

// Publishes changes from outside the fleet, and queries processes for the changes that they hold.
class Publisher final : net::DatagramEvents, changes::MessageHandler {
 public:
  using OnStatus = std::function<void(NodeEndpoint, const changes::Status&)>;
  Publisher(FleetHarness& harness, OnStatus on_status) : harness_(harness), on_status_(std::move(on_status)) {
    harness_.observer().open_datagrams(harness_.observer_address());
    harness_.observer().wait_datagram(*this);
  }
  // `parts`: a mask of the parts to send. Fewer than all simulate a publisher that dies before it has sent
  // the rest.
  void publish(const Change& change, NodeEndpoint to, std::uint32_t parts = ~0u) {
    published_[change_id(change)] = {change, parts};
    send(to, encode_have(self(), {change_id(change), {}}));
  }
  void query(NodeEndpoint target) {
    const std::uint64_t nonce = ++last_nonce_;
    queried_[nonce] = target;
    send(target, changes::encode_query(self(), nonce));
    queried_.erase(queried_.begin(), queried_.lower_bound(nonce > 20000 ? nonce - 20000 : 0));
  }

 private:
  changes::Sender self() const { return {harness_.fleet_name(), "publisher", harness_.observer_address()}; }
  void send(NodeEndpoint to, const std::string& bytes) {
    harness_.observer().send_datagram(harness_.listen_address(to), bytes);
  }
  void datagram_pending() override {
    char bytes[changes::kMaxDatagramBytes + 1];
    for (;;) {
      const net::ReceiveResult received = harness_.observer().receive(bytes, sizeof bytes);
      if (received.status == net::IoStatus::would_block) break;
      last_sender_ = received.from;
      if (received.status == net::IoStatus::done) changes::decode({bytes, received.bytes}, "", *this);
    }
    harness_.observer().wait_datagram(*this);
  }
  void on_want(const changes::Sender&, const ChangeId& change, std::uint32_t wanted) override {
    const auto it = published_.find(change);
    if (it == published_.end()) return;
    for (const std::string& part :
         changes::encode_parts(self(), it->second.first, wanted & it->second.second))
      harness_.observer().send_datagram(last_sender_, part);
  }
  void on_status(const changes::Sender&, std::uint64_t nonce, const changes::Status& status) override {
    if (const auto it = queried_.find(nonce); it != queried_.end()) on_status_(it->second, status);
  }

  FleetHarness& harness_;
  OnStatus on_status_;
  std::map<ChangeId, std::pair<Change, std::uint32_t>> published_;
  std::map<std::uint64_t, NodeEndpoint> queried_;
  Address last_sender_;  // replies go to the sender itself, not to a relay
  std::uint64_t last_nonce_ = 0;
};

class ChangeExperiment {
 public:
  ChangeExperiment(const ChangeExperimentPlan& plan, FleetHarness& harness, std::uint64_t seed,
                   std::string fault)
      : plan_(plan),
        harness_(harness),
        random_(static_cast<std::knuth_b::result_type>(mix(seed + 0xc4a6) | 1)),
        publisher_(harness,
                   [this](NodeEndpoint at, const changes::Status& status) { receive_status(at, status); }),
        start_time_(harness.now()) {
    const auto& kinds = change_faults();
    if (!fault.empty() && std::find(kinds.begin(), kinds.end(), fault) == kinds.end())
      throw InputError("unknown fault kind '" + fault + "'");
    result_.fault = fault.empty() ? kinds[random_() % kinds.size()] : fault;
    nodes_.resize(plan.nodes);
    harness_.on_sent = [this](NodeEndpoint from, std::size_t bytes) {
      total_sent_ += bytes;
      nodes_[from.node].sent += bytes;
    };
  }

  ChangeResult run() {
    for (unsigned i = 0; i < std::min(3u, plan_.nodes); ++i)
      seeds_.push_back({i * plan_.nodes / 3 % plan_.nodes, 0});
    for (unsigned i = 0; i < plan_.nodes; ++i)
      schedule_at(random_time_below(100ms), [this, i] { start_node(i); });
    schedule_at(plan_.join_time / 2, [this] { poll(); });
    // Measures the idle traffic, then one change without a fault.
    schedule_at(plan_.join_time, [this] { sent_before_ = total_sent_; });
    schedule_at(plan_.join_time + 2s, [this] {
      result_.idle_bytes_per_second = static_cast<double>(total_sent_ - sent_before_) / 2.0 / plan_.nodes;
      sent_before_ = total_sent_;
      for (Node& node : nodes_) node.sent = 0;
      publish(random_change());
    });
    const Micros fault_start = plan_.join_time + 2s + plan_.propagation_limit;
    schedule_at(fault_start, [this] {
      result_.change_bytes_per_second =
          static_cast<double>(total_sent_ - sent_before_) / seconds(plan_.propagation_limit) / plan_.nodes;
      for (const Node& node : nodes_)
        result_.max_change_bytes_per_second =
            std::max(result_.max_change_bytes_per_second,
                     static_cast<double>(node.sent) / seconds(plan_.propagation_limit));
      // Measured after the join time: a fleet whose nodes all start at once sends more while its members find
      // each other, which the send limit of the membership protocol bounds.
      if (result_.max_change_bytes_per_second > plan_.max_bytes_per_second)
        report("budget", std::to_string(static_cast<int>(result_.max_change_bytes_per_second)) +
                             " bytes a second of one node");
      check_distribution("late");
    });
    schedule_at(fault_start + 100ms, [this] { inject_fault(); });
    // One change during the fault, besides those that the fault itself publishes.
    schedule_at(fault_start + 100ms + plan_.fault_duration / 3, [this] { publish(random_change()); });
    schedule_at(fault_start + 100ms + plan_.fault_duration, [this] { remove_fault(); });
    // Members that were cut off or restarted first have to find each other again, by the membership protocol.
    const Micros recovered =
        fault_start + 100ms + plan_.fault_duration + (is_fault_free() ? 0us : 10 * plan_.probe_interval);
    schedule_at(recovered + plan_.propagation_limit,
                [this] { check_distribution(is_fault_free() ? "late" : "settled"); });
    harness_.run_until(start_time_ + recovered + plan_.propagation_limit + 100ms);
    harness_.on_sent = nullptr;
    for (unsigned i = 0; i < nodes_.size(); ++i) kill_node(i);
    return std::move(result_);
  }

 private:
  struct Node {
    bool running = false, frozen = false;
    changes::HeldChanges held;
    std::size_t sent = 0;
  };
  struct Published {
    ChangeId id;
    bool refused = false, refused_by_odd = false;
    Micros published_at;
    bool propagated = false;
  };

  bool is_fault_free() const { return result_.fault == "calm"; }
  void schedule_at(Micros time, std::function<void()> action) {
    harness_.schedule_at(start_time_ + time, std::move(action));
  }
  void schedule_after(Micros delay, std::function<void()> action) {
    harness_.schedule_at(harness_.now() + delay, std::move(action));
  }
  Micros random_time_below(Micros limit) {
    return Micros{static_cast<std::int64_t>(static_cast<double>(limit.count()) *
                                            std::generate_canonical<double, 32>(random_))};
  }
  void report(const std::string& rule, const std::string& description) {
    if (result_.violations.size() < 20 && reported_.insert(rule + description).second)
      result_.violations.push_back({rule, harness_.now() - start_time_, description});
  }

  void start_node(unsigned i) {
    Node& node = nodes_[i];
    if (node.running) return;
    node = {true, false, {}, node.sent};
    node_start_times_[i] = harness_.now();
    harness_.start({i, 0}, "n" + std::to_string(i), seeds_);
  }
  void kill_node(unsigned i) {
    if (!std::exchange(nodes_[i].running, false)) return;
    harness_.kill({i, 0});
  }
  void freeze(unsigned i, bool frozen) {
    if (!nodes_[i].running || nodes_[i].frozen == frozen) return;
    nodes_[i].frozen = frozen;
    harness_.freeze({i, 0}, frozen);
  }

  // A change of random size that is valid on every node.
  std::string random_change() {
    std::string out = "[listener.chat]\nutility = " + std::to_string(1 + random_() % 9) + '\n';
    const std::size_t size = random_() % (changes::kMaxTextBytes - 100);
    while (out.size() < size) out += "# " + std::to_string(random_()) + '\n';
    return out;
  }
  void publish(const std::string& text, bool refused = false, bool refused_by_odd = false,
               std::uint32_t parts = ~0u) {
    const Change change{ChangeNumber{++last_number_ * 1000}, text};
    published_.push_back({change_id(change), refused, refused_by_odd, harness_.now(), false});
    std::vector<unsigned> running;
    for (unsigned i = 0; i < nodes_.size(); ++i)
      if (nodes_[i].running && !nodes_[i].frozen) running.push_back(i);
    if (running.empty()) return;
    const unsigned target = running[random_() % running.size()];
    if (parts != ~0u) published_.back().id = {};  // not expected on any node, since it is never complete
    // Repeated, as the command does until it gets an answer, since any datagram may be lost.
    for (int i = 0; i < 4; ++i)
      schedule_after(200ms * i, [this, change, target, parts] {
        publisher_.publish(change, {target, 0}, parts);
      });
  }

  template <class Selects>
  void set_links(Selects selects, const DatagramFaults& faults) {
    for (unsigned a = 0; a < plan_.nodes; ++a)
      for (unsigned b = 0; b < plan_.nodes; ++b)
        if (a != b && selects(a, b)) harness_.link(a, b) = faults;
  }

  void inject_fault() {
    const std::string& fault = result_.fault;
    DatagramFaults faults;
    const unsigned half = plan_.nodes / 2;
    if (fault == "crash" || fault == "restart") {
      for (unsigned i = 0; i < plan_.nodes; ++i) {
        if (i == 0 || random_() % 2) continue;
        schedule_after(random_time_below(plan_.fault_duration / 2), [this, i, fault] {
          kill_node(i);
          if (fault == "restart") schedule_after(300ms, [this, i] { start_node(i); });
        });
      }
    } else if (fault == "restart-all") {
      // One after the other, so that some nodes always run and the changes are passed on.
      for (unsigned i = 0; i < plan_.nodes; ++i)
        schedule_after(plan_.fault_duration * i / (plan_.nodes + 1), [this, i] {
          kill_node(i);
          schedule_after(100ms, [this, i] { start_node(i); });
        });
    } else if (fault == "cut" || fault == "cut-one-way") {
      faults.blocked = true;
      set_links([&](unsigned a,
                    unsigned b) { return fault == "cut" ? (a < half) != (b < half) : a < half && b >= half; },
                faults);
      // A second change, on either side. The one with the larger number has to win on all nodes.
      schedule_after(plan_.fault_duration / 2, [this] { publish(random_change()); });
    } else if (fault == "loss" || fault == "mangled") {
      faults.loss = fault == "loss" ? 0.3 : 0.05;
      if (fault == "mangled") {
        faults.duplication = faults.replay = 0.3;
        faults.corruption = 0.1;
        faults.jitter = 100ms;
      }
      set_links([](unsigned, unsigned) { return true; }, faults);
    } else if (fault == "pause") {
      for (unsigned i = 1; i < plan_.nodes; i += 3) freeze(i, true);
    } else if (fault == "busy") {
      for (unsigned i = 1; i < plan_.nodes; i += 3)
        for (Micros delay = 0us; delay < plan_.fault_duration; delay += 200ms) {
          schedule_after(delay, [this, i] { freeze(i, true); });
          schedule_after(delay + 180ms, [this, i] { freeze(i, false); });
        }
    } else if (fault == "two-at-once") {
      publish(random_change());
      publish(random_change());
      publish(random_change());
    } else if (fault == "refused" || fault == "refused-by-odd") {
      schedule_after(plan_.fault_duration / 2, [this, fault] {
        publish(fault == "refused" ? "[listener.video]\nutility = 2\n" : "[listener.even]\nutility = 2\n",
                fault == "refused", fault != "refused");
      });
      // A node that starts after the refused change has to adopt the change that the others run.
      schedule_after(plan_.fault_duration * 2 / 3, [this] { kill_node(plan_.nodes - 1); });
      schedule_after(plan_.fault_duration * 2 / 3 + 200ms, [this] { start_node(plan_.nodes - 1); });
    } else if (fault == "half-published") {
      schedule_after(plan_.fault_duration / 2,
                     [this] { publish(random_change() + std::string(1000, '#') + '\n', false, false, 1); });
    } else if (fault == "older-again") {
      // A publisher announces a change of an earlier number to every node, late.
      schedule_after(plan_.fault_duration / 2, [this] {
        const Change old{ChangeNumber{1}, "[listener.chat]\nutility = 8\n"};
        published_.push_back({change_id(old), false, false, harness_.now(), true});
        for (unsigned i = 0; i < plan_.nodes; ++i) publisher_.publish(old, {i, 0});
      });
    }
  }

  void remove_fault() {
    set_links([](unsigned, unsigned) { return true; }, DatagramFaults());
    for (unsigned i = 0; i < plan_.nodes; ++i) freeze(i, false);
  }

  void poll() {
    for (unsigned i = 0; i < nodes_.size(); ++i)
      if (nodes_[i].running && !nodes_[i].frozen) publisher_.query({i, 0});
    schedule_after(kPollInterval / (plan_.nodes > 100 ? 1 : 4), [this] { poll(); });
  }

  const Published* find_published(const ChangeId& id) const {
    for (const Published& p : published_)
      if (p.id == id) return &p;
    return nullptr;
  }
  static bool refuses(const Published& p, unsigned node) {
    return p.refused || (p.refused_by_odd && node % 2);
  }

  void receive_status(NodeEndpoint at, const changes::Status& status) {
    Node& node = nodes_[at.node];
    if (!node.running) return;
    ++result_.observations;
    const std::string name = "n" + std::to_string(at.node);
    // For a short time after a restart, an answer of the previous process may still arrive. After that, the
    // changes that a process holds must not get older.
    if (status.held.newest < node.held.newest || status.held.in_force < node.held.in_force) {
      if (harness_.now() - node_start_times_[at.node] > 500ms)
        report("back", name + " has an older change than before");
    }
    for (const ChangeId& id : {status.held.newest, status.held.in_force})
      if (id.number.value && !find_published(id))
        report("whole",
               name + " has change " + std::to_string(id.number.value) + ", which nobody published so");
    if (const Published* p = find_published(status.held.in_force); p && refuses(*p, at.node))
      report("refused", name + " runs by a change that does not fit it");
    if (status.held.in_force != status.held.newest && status.reason.empty())
      report("refused", name + " does not run by the newest and says no reason");
    node.held = status.held;
    record_propagation();
  }
  void record_propagation() {
    for (Published& p : published_) {
      if (p.propagated || p.id.number.value == 0) continue;
      const bool held_by_all = std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
        return !node.running || node.frozen || node.held.newest >= p.id;
      });
      if (!held_by_all) continue;
      p.propagated = true;
      result_.propagation_ms.push_back(seconds(harness_.now() - p.published_at) * 1e3);
    }
  }

  // Checks that all running nodes hold the newest change, and run the newest one that is valid on them.
  void check_distribution(const std::string& rule) {
    ChangeId newest;
    for (const Published& p : published_) newest = std::max(newest, p.id);
    for (unsigned i = 0; i < nodes_.size(); ++i) {
      const Node& node = nodes_[i];
      if (!node.running) continue;
      ChangeId newest_accepted;
      for (const Published& p : published_)
        if (!refuses(p, i)) newest_accepted = std::max(newest_accepted, p.id);
      const std::string name = "n" + std::to_string(i);
      if (node.held.newest != newest)
        report(rule, name + " has change " + std::to_string(node.held.newest.number.value) + ", not " +
                         std::to_string(newest.number.value));
      else if (node.held.in_force != newest_accepted)
        report(rule, name + " runs by change " + std::to_string(node.held.in_force.number.value) + ", not " +
                         std::to_string(newest_accepted.number.value));
    }
  }

  const ChangeExperimentPlan& plan_;
  FleetHarness& harness_;
  std::knuth_b random_;
  Publisher publisher_;
  Micros start_time_;
  std::vector<Node> nodes_;
  std::map<unsigned, Micros> node_start_times_;
  std::vector<NodeEndpoint> seeds_;
  std::vector<Published> published_;
  std::set<std::string> reported_;
  std::uint64_t last_number_ = 0;
  std::size_t total_sent_ = 0, sent_before_ = 0;
  ChangeResult result_;
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
                                   std::uint64_t seed, const std::string& fault) {
  return ChangeExperiment(plan, harness, seed, fault).run();
}

ChangeResult run_changes_virtual(const ChangeExperimentPlan& plan, std::uint64_t seed,
                                 const std::string& fault) {
  VirtualHarness harness(plan.nodes, plan.probe_interval, 3600s, seed, nullptr);
  harness.enable_changes();
  return run_change_experiment(plan, harness, seed, fault);
}

ChangeResult run_changes_loopback(const ChangeExperimentPlan& plan, std::uint64_t seed,
                                  const std::string& fault, const std::vector<std::string>& program,
                                  const std::string& folder) {
  LoopbackHarness harness(program, folder, plan.nodes, plan.probe_interval, seed);
  harness.set_operator_sections("[changes]\n");
  return run_change_experiment(plan, harness, seed, fault);
}

}  // namespace flintweir::lab
