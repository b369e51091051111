#include "lab/fleet/in_process_fleet.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <set>

#include "lab/network/child_process.h"
#include "net/kernel_network.h"
#include "net/log.h"
#include "net/null_network.h"
#include "net/timer_queue.h"
#include "node/fleet_member.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t kPort = 7946;

// Each run has addresses of its own. Those of the separate processes follow those of the in-process nodes.
Address member_address(unsigned n) {
  const auto pid = static_cast<unsigned>(getpid());
  Address out;
  out.bytes = {127, static_cast<std::uint8_t>(30 + pid % 30),
               static_cast<std::uint8_t>(n / 250 + 8 * (pid / 30 % 30)),
               static_cast<std::uint8_t>(1 + n % 250)};
  out.port = kPort;
  return out;
}

// Sends kernel datagrams, except those that `passes` rejects: lost ones and those across a cut.
class FaultyNetwork final : public net::NullNetwork {
 public:
  using Filter = std::function<bool(const Address&)>;
  // The bytes sent are added to `total_sent`, which counts those of destroyed nodes as well.
  FaultyNetwork(net::KernelNetwork& loop, std::uint64_t& total_sent, Filter passes)
      : total_sent_(total_sent), network_(loop), passes_(std::move(passes)) {}
  ~FaultyNetwork() { network_.shut_down(); }
  Micros now() const override { return network_.now(); }
  void set_alarm(Micros at, net::AlarmEvents& events) override { network_.set_alarm(at, events); }
  Address open_datagrams(const Address& at) override { return network_.open_datagrams(at); }
  void wait_datagram(net::DatagramEvents& events) override { network_.wait_datagram(events); }
  net::ReceiveResult receive(char* to, std::size_t size) override { return network_.receive(to, size); }
  void send_datagram(const Address& to, std::string_view bytes) override {
    sent += bytes.size();
    total_sent_ += bytes.size();
    if (passes_(to)) network_.send_datagram(to, bytes);
  }
  std::uint64_t sent = 0;

 private:
  std::uint64_t& total_sent_;
  net::KernelNetwork network_;
  Filter passes_;
};

struct InProcessNode {
  InProcessNode(net::KernelNetwork& loop, std::uint64_t& total_sent, FaultyNetwork::Filter passes)
      : network(loop, total_sent, std::move(passes)), timers(network) {}
  FaultyNetwork network;
  net::TimerQueue timers;
  std::unique_ptr<node::FleetMember> fleet_member;
  std::uint64_t sent_before = 0;
};

class InProcessFleet final : net::LogSink {
 public:
  InProcessFleet(const InProcessFleetPlan& plan, std::vector<std::string> program, std::string folder)
      : plan_(plan),
        program_(std::move(program)),
        folder_(std::move(folder)),
        members_(plan.members - plan.processes) {
    net::set_log_sink(this);
    zones_ = 10;  // two regions of five zones
  }
  ~InProcessFleet() {
    members_.clear();
    processes_.clear();
    net::set_log_sink(nullptr);
  }

  InProcessFleetResult run() {
    const double memory_before = resident_kib();
    const Micros start_time = loop_.now();
    for (unsigned i = 0; i < members_.size(); ++i) start(i);
    for (unsigned i = 0; i < plan_.processes; ++i) start_process(i);
    result_.converged_s = time_until_all(start_time, 60s, [this] { return convergence(plan_.members); });
    run_for(5s);
    result_.memory_kib = (resident_kib() - memory_before) / static_cast<double>(members_.size());
    std::tie(result_.idle_bytes_per_second, result_.max_idle_bytes_per_second, result_.idle_cpu) =
        measure(10s, [] { return false; });

    measure_event(
        "a change", [this] { publish("[prices]\ncrossing = 1\n# " + std::string(1000, 'x') + '\n', 1000); },
        [this] { return change_share(1000); });
    measure_event(
        "a change of 4 KiB",
        [this] { publish("[prices]\ncrossing = 2\n#" + std::string(4060, 'x') + '\n', 2000); },
        [this] { return change_share(2000); });
    measure_event(
        "a crash", [this] { crash({7}); }, [this] { return crash_known_share(); });
    measure_event(
        "a crash of a real one", [this] { kill_process(0); }, [this] { return crash_known_share(); });
    // A rack of twenty nodes fails at once, and then a zone of the remaining nodes.
    std::vector<unsigned> rack, zone;
    for (unsigned i = 20; i < 40; ++i) rack.push_back(i);
    measure_event(
        "a rack", [&] { crash(rack); }, [this] { return crash_known_share(); });
    measure_event(
        "a rack back", [&] { restart(rack); }, [this] { return return_known_share(); });
    for (unsigned i = 3; i < members_.size(); ++i)
      if (i % zones_ == 4 && members_[i]) zone.push_back(i);
    measure_event(
        "a zone", [&] { crash(zone); }, [this] { return crash_known_share(); });
    measure_event(
        "a zone back", [&] { restart(zone); }, [this] { return return_known_share(); });
    // Half of the in-process nodes are restarted within 30 s. A change follows.
    std::vector<unsigned> half;
    for (unsigned i = 3; i < members_.size(); i += 2) half.push_back(i);
    std::size_t done = 0;
    const Micros from = loop_.now();
    const std::uint64_t sent = total_sent_;
    while (done < half.size()) {
      const auto due =
          static_cast<std::size_t>(static_cast<double>(half.size()) * seconds(loop_.now() - from) / 30);
      for (; done < std::min(due, half.size()); ++done) {
        members_[half[done]].reset();
        start(half[done]);
      }
      run_for(20ms);
    }
    result_.bytes_per_second["half restarted"] = static_cast<double>(total_sent_ - sent) /
                                                 static_cast<double>(members_.size()) /
                                                 seconds(loop_.now() - from);
    measure_event(
        "a change after that", [this] { publish("[prices]\ncrossing = 3\n", 3000); },
        [this] { return change_share(3000); });
    // The regions are cut off from each other. One of them gets a change, which reaches the other when they
    // are joined.
    regions_cut_ = true;
    run_for(8s);
    measure_event(
        "a change in one region", [this] { publish("[prices]\ncrossing = 4\n", 4000); },
        [this] { return change_share(4000, true); });
    regions_cut_ = false;
    measure_event(
        "regions joined", [] {}, [this] { return change_share(4000); });
    return std::move(result_);
  }

 private:
  // Counts the in-process nodes that log a member as failed or alive.
  void write_line(const char* text) override {
    const std::string_view t = text;
    if (!t.starts_with("member name=")) return;
    const std::string_view name = t.substr(12, t.find(' ', 12) - 12);
    if (t.find("standing=failed") != t.npos) ++failed_counts_[std::string(name)];
    if (t.find("standing=alive") != t.npos) ++alive_counts_[std::string(name)];
  }

  std::string zone_of(unsigned i) const {
    return "r" + std::to_string(i % 2) + "-z" + std::to_string(i % zones_);
  }
  bool passes(unsigned from, const Address& to) {
    if (plan_.datagram_loss > 0 && std::generate_canonical<double, 32>(random_) < plan_.datagram_loss)
      return false;
    if (!regions_cut_) return true;
    const auto it = index_by_address_.find(to);
    return it == index_by_address_.end() || it->second % 2 == from % 2;
  }
  setup::FleetSection fleet_section(unsigned i) const {
    setup::FleetSection out{"hollow", zone_of(i), member_address(i), member_address(i), {}, 300ms,
                            3600s,    4096};
    for (unsigned s = 0; s < 3; ++s) out.seeds.push_back(member_address(s));
    return out;
  }
  void start(unsigned i) {
    index_by_address_[member_address(i)] = i;
    auto member = std::make_unique<InProcessNode>(loop_, total_sent_,
                                                  [this, i](const Address& to) { return passes(i, to); });
    member->fleet_member =
        std::make_unique<node::FleetMember>(member->network, member->timers, fleet_section(i),
                                            "h" + std::to_string(i), "lab", mix(i * 77 + 5), [](unsigned) {});
    member->fleet_member->enable_changes({}, [](const changes::Change&) { return std::string(); });
    member->fleet_member->start();
    members_[i] = std::move(member);
  }
  void restart(const std::vector<unsigned>& which) {
    alive_counts_.clear();
    restarted_.clear();
    for (const unsigned i : which) {
      restarted_.push_back("h" + std::to_string(i));
      start(i);
    }
  }
  void start_process(unsigned r) {
    const unsigned n = static_cast<unsigned>(members_.size()) + r;
    const Address at = member_address(n);
    Address client_address = at;
    client_address.port = 8081;
    const std::string base = folder_ + "/real" + std::to_string(r);
    index_by_address_[at] = n;
    std::ofstream operator_file(base + ".toml", std::ios::trunc);
    operator_file << "[fleet]\nname = \"hollow\"\naddress = \"" << to_text(at) << "\"\nzone = \""
                  << zone_of(n) << "\"\nseeds = [";
    for (unsigned s = 0; s < 3; ++s)
      operator_file << (s ? ", \"" : "\"") << to_text(member_address(s)) << '"';
    operator_file << "]\n[changes]\n";
    operator_file.close();
    std::ofstream(base + ".json", std::ios::trunc)
        << R"({"name":"real)" << r << R"(","listen":")" << to_text(client_address)
        << R"(","discovery":"127.0.0.1:9","seed":")" << r << R"(","known":{"rev":1,"all":true,"targets":[]},)"
        << R"("limits":{"memory_mb":64,"sockets":256},"settings":{"balancers":500,"myZone":0,"failureDomains":["a"],)"
        << R"("discovery":"on_request","listeners":[{"name":"chat","handshakeTarget":500000,"dialTimeout":2000000,)"
        << R"("effect":"repeatable","group":"all"}],"ceilings":{"maxDials":3,"probes":true},"rules":{"askEvery":10000000,)"
        << R"("cold":7200000,"coldShare":0.3,"overloadFactor":3.0,"tipAfter":1500000},"prices":{"probe":0.002},)"
        << R"("reporting":{"fields":["util"]}}})";
    std::vector<std::string> arguments = program_;
    arguments.insert(arguments.end(), {"serve", "--config", base + ".json", "--operator", base + ".toml"});
    processes_.push_back(std::make_unique<ChildProcess>(arguments, base + ".log"));
  }
  void kill_process(unsigned r) {
    processes_[r].reset();
    crashed_ = {"real" + std::to_string(r)};
    failed_counts_.clear();
  }
  void crash(const std::vector<unsigned>& which) {
    crashed_.clear();
    for (const unsigned i : which) {
      members_[i].reset();
      crashed_.push_back("h" + std::to_string(i));
    }
    failed_counts_.clear();
  }
  void publish(const std::string& text, unsigned number) {
    std::ofstream(folder_ + "/change.toml", std::ios::trunc) << text;
    setenv("FLINTWEIR_TOKEN", std::to_string(number).c_str(), 1);
    std::vector<std::string> arguments = program_;
    arguments.insert(arguments.end(), {"change", "put", folder_ + "/change.toml", "--operator",
                                       folder_ + "/real1.toml", "--at", to_text(member_address(0))});
    publisher_ = std::make_unique<ChildProcess>(arguments, folder_ + "/put.log");
    unsetenv("FLINTWEIR_TOKEN");
  }

  double convergence(unsigned members) const {
    std::map<std::uint64_t, unsigned> digests;
    unsigned running = 0, complete = 0;
    for (const auto& m : members_)
      if (m) {
        ++running;
        ++digests[m->fleet_member->digest()];
        complete += m->fleet_member->active_nodes() >= members;
      }
    unsigned most = 0;
    for (const auto& [d, n] : digests) most = std::max(most, n);
    return static_cast<double>(std::min(most, complete)) / running;
  }
  double change_share(std::uint64_t number, bool one_region = false) {
    double have = 0, all = 0;
    for (unsigned i = 0; i < members_.size(); ++i) {
      if (!members_[i] || (one_region && i % 2)) continue;
      ++all;
      have += members_[i]->fleet_member->change_status()->held.in_force.number.value >= number;
    }
    for (unsigned r = 0; r < processes_.size(); ++r) {
      if (!processes_[r] || (one_region && (members_.size() + r) % 2)) continue;
      ++all;
      std::ifstream in(folder_ + "/real" + std::to_string(r) + ".log");
      const std::string wanted = "change number=" + std::to_string(number) + " in force";
      for (std::string text; std::getline(in, text);)
        if (text.starts_with(wanted)) {
          ++have;
          break;
        }
    }
    return have / all;
  }
  // The lowest share, over `names`, of the running in-process nodes that have logged the state of that
  // member.
  double known_share(const std::vector<std::string>& names,
                     const std::map<std::string, unsigned>& counts) const {
    const auto alive = static_cast<double>(
        std::count_if(members_.begin(), members_.end(), [](const auto& m) { return m != nullptr; }));
    double least = 1;
    for (const std::string& name : names) {
      const auto it = counts.find(name);
      least = std::min(least, it == counts.end() ? 0 : it->second / alive);
    }
    return least;
  }
  double crash_known_share() const { return known_share(crashed_, failed_counts_); }
  double return_known_share() const { return known_share(restarted_, alive_counts_); }

  double resident_kib() const {
    std::ifstream memory("/proc/self/statm");
    double size = 0, pages = 0;
    memory >> size >> pages;
    return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
  }
  static double cpu() {
    rusage use;
    getrusage(RUSAGE_SELF, &use);
    return static_cast<double>(use.ru_utime.tv_sec + use.ru_stime.tv_sec) +
           static_cast<double>(use.ru_utime.tv_usec + use.ru_stime.tv_usec) / 1e6;
  }
  void run_for(Micros duration) {
    for (const Micros end = loop_.now() + duration; loop_.now() < end;)
      loop_.run_for(std::min<Micros>(5ms, end - loop_.now()));
  }
  // The seconds from `start` until `share` returns 1, or -1 if it has not done so within `limit`.
  template <class Share>
  double time_until_all(Micros start, Micros limit, Share share) {
    while (loop_.now() - start < limit) {
      if (share() >= 1) return seconds(loop_.now() - start);
      run_for(20ms);
    }
    return -1;
  }
  // Measures for at least `minimum` and, while `pending` returns true, for up to 60 s. Returns the bytes per
  // second of each node and of the node that sent most, and the share of a core for each node.
  template <class Pending>
  std::tuple<double, double, double> measure(Micros minimum, Pending pending) {
    for (auto& m : members_)
      if (m) m->sent_before = m->network.sent;
    const Micros from = loop_.now();
    const double cpu_before = cpu();
    bool is_pending = pending();
    while (loop_.now() - from < minimum || (is_pending && loop_.now() - from < 60s)) {
      run_for(20ms);
      is_pending = pending();
    }
    const double elapsed = seconds(loop_.now() - from);
    double all = 0, most = 0, count = 0;
    for (const auto& m : members_) {
      if (!m) continue;
      const auto sent = static_cast<double>(m->network.sent - m->sent_before) / elapsed;
      all += sent;
      most = std::max(most, sent);
      ++count;
    }
    return {all / count, most, (cpu() - cpu_before) / elapsed / count};
  }
  template <class Act, class Share>
  void measure_event(const std::string& event, Act act, Share share) {
    const Micros from = loop_.now();
    double half_time = -1, all_time = -1;
    act();
    const auto [bytes, most, core] = measure(4s, [&] {
      const double now = share();
      if (half_time < 0 && now >= 0.5) half_time = seconds(loop_.now() - from);
      if (all_time < 0 && now >= 1) all_time = seconds(loop_.now() - from);
      return all_time < 0;
    });
    result_.propagation_s[event] = {half_time, all_time};
    result_.bytes_per_second[event] = bytes;
    result_.max_bytes_per_second[event] = most;
    result_.cpu[event] = core;
    run_for(1s);
  }

  InProcessFleetPlan plan_;
  std::vector<std::string> program_;
  std::string folder_;
  unsigned zones_;
  net::KernelNetwork loop_;
  std::knuth_b random_{7};
  std::map<Address, unsigned> index_by_address_;
  std::vector<std::unique_ptr<InProcessNode>> members_;
  std::vector<std::unique_ptr<ChildProcess>> processes_;
  std::unique_ptr<ChildProcess> publisher_;
  std::vector<std::string> crashed_, restarted_;
  std::map<std::string, unsigned> failed_counts_,
      alive_counts_;  // nodes that logged it, by member, since the last reset
  std::uint64_t total_sent_ = 0;
  bool regions_cut_ = false;
  InProcessFleetResult result_;
};

}  // namespace

InProcessFleetResult run_in_process_fleet(const InProcessFleetPlan& plan,
                                          const std::vector<std::string>& program,
                                          const std::string& folder) {
  return InProcessFleet(plan, program, folder).run();
}

}  // namespace flintweir::lab
