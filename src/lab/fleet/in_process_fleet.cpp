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

// Each run has addresses of its own; the real ones are behind the hollow ones.
Address place(unsigned n) {
  const auto pid = static_cast<unsigned>(getpid());
  Address out;
  out.bytes = {127, static_cast<std::uint8_t>(30 + pid % 30),
               static_cast<std::uint8_t>(n / 250 + 8 * (pid / 30 % 30)),
               static_cast<std::uint8_t>(1 + n % 250)};
  out.port = kPort;
  return out;
}

// The kernel's datagrams, of which some get lost and none cross a cut.
class Lossy final : public net::NullNetwork {
 public:
  using Passes = std::function<bool(const Address&)>;
  // `all` is added to, also by those that are gone by then.
  Lossy(net::KernelNetwork& beside, std::uint64_t& all, Passes passes)
      : all_(all), network_(beside), passes_(std::move(passes)) {}
  ~Lossy() { network_.shut_down(); }
  Micros now() const override { return network_.now(); }
  void set_alarm(Micros at, net::AlarmEvents& whom) override { network_.set_alarm(at, whom); }
  Address open_datagrams(const Address& at) override { return network_.open_datagrams(at); }
  void wait_datagram(net::DatagramEvents& whom) override { network_.wait_datagram(whom); }
  net::ReceiveResult receive(char* to, std::size_t size) override { return network_.receive(to, size); }
  void send_datagram(const Address& to, std::string_view bytes) override {
    sent += bytes.size();
    all_ += bytes.size();
    if (passes_(to)) network_.send_datagram(to, bytes);
  }
  std::uint64_t sent = 0;

 private:
  std::uint64_t& all_;
  net::KernelNetwork network_;
  Passes passes_;
};

struct Member {
  Member(net::KernelNetwork& loop, std::uint64_t& all, Lossy::Passes passes)
      : network(loop, all, std::move(passes)), timers(network) {}
  Lossy network;
  net::TimerQueue timers;
  std::unique_ptr<node::FleetMember> peers;
  std::uint64_t sent_before = 0;
};

class Hollow final : net::LogSink {
 public:
  Hollow(const InProcessFleetPlan& plan, std::vector<std::string> program, std::string folder)
      : plan_(plan),
        program_(std::move(program)),
        folder_(std::move(folder)),
        members_(plan.members - plan.processes) {
    net::set_log_sink(this);
    zones_ = 10;  // 2 regions of 5
  }
  ~Hollow() {
    members_.clear();
    processes_.clear();
    net::set_log_sink(nullptr);
  }

  InProcessFleetResult play() {
    const double before = resident();
    const Micros began = loop_.now();
    for (unsigned i = 0; i < members_.size(); ++i) start(i);
    for (unsigned i = 0; i < plan_.processes; ++i) spawn(i);
    out_.converged_s = until(began, 60s, [this] { return agree(plan_.members); });
    run(5s);
    out_.memory_kib = (resident() - before) / static_cast<double>(members_.size());
    std::tie(out_.idle_bytes_per_second, out_.max_idle_bytes_per_second, out_.idle_cpu) =
        over(10s, [] { return false; });

    happens(
        "a change", [this] { put("[prices]\ncrossing = 1\n# " + std::string(1000, 'x') + '\n', 1000); },
        [this] { return has(1000); });
    happens(
        "a change of 4 KiB",
        [this] { put("[prices]\ncrossing = 2\n#" + std::string(4060, 'x') + '\n', 2000); },
        [this] { return has(2000); });
    happens(
        "a crash", [this] { drop({7}); }, [this] { return gone_known(); });
    happens(
        "a crash of a real one", [this] { kill_real(0); }, [this] { return gone_known(); });
    // A rack: twenty at once; then a zone of what is left.
    std::vector<unsigned> rack, zone;
    for (unsigned i = 20; i < 40; ++i) rack.push_back(i);
    happens(
        "a rack", [&] { drop(rack); }, [this] { return gone_known(); });
    happens(
        "a rack back", [&] { start_again(rack); }, [this] { return back_known(); });
    for (unsigned i = 3; i < members_.size(); ++i)
      if (i % zones_ == 4 && members_[i]) zone.push_back(i);
    happens(
        "a zone", [&] { drop(zone); }, [this] { return gone_known(); });
    happens(
        "a zone back", [&] { start_again(zone); }, [this] { return back_known(); });
    // Half of the fleet restarted within a minute, a change in the middle.
    std::vector<unsigned> half;
    for (unsigned i = 3; i < members_.size(); i += 2) half.push_back(i);
    std::size_t done = 0;
    const Micros from = loop_.now();
    const std::uint64_t sent = all_sent_;
    while (done < half.size()) {
      const auto due =
          static_cast<std::size_t>(static_cast<double>(half.size()) * seconds(loop_.now() - from) / 30);
      for (; done < std::min(due, half.size()); ++done) {
        members_[half[done]].reset();
        start(half[done]);
      }
      run(20ms);
    }
    out_.bytes_per_second["half restarted"] = static_cast<double>(all_sent_ - sent) /
                                              static_cast<double>(members_.size()) /
                                              seconds(loop_.now() - from);
    happens(
        "a change after that", [this] { put("[prices]\ncrossing = 3\n", 3000); },
        [this] { return has(3000); });
    // Regions apart; each is given a change of its own, the one of the larger number wins when they meet.
    apart_ = true;
    run(8s);
    happens(
        "a change in one region", [this] { put("[prices]\ncrossing = 4\n", 4000); },
        [this] { return has(4000, true); });
    apart_ = false;
    happens(
        "regions joined", [] {}, [this] { return has(4000); });
    return std::move(out_);
  }

 private:
  // Lines of hollow ones: who has failed, as each of them says it.
  void write_line(const char* text) override {
    const std::string_view t = text;
    if (!t.starts_with("member name=")) return;
    const std::string_view name = t.substr(12, t.find(' ', 12) - 12);
    if (t.find("standing=failed") != t.npos) ++failed_by_[std::string(name)];
    if (t.find("standing=alive") != t.npos) ++alive_by_[std::string(name)];
  }

  std::string zone_of(unsigned i) const {
    return "r" + std::to_string(i % 2) + "-z" + std::to_string(i % zones_);
  }
  bool passes(unsigned from, const Address& to) {
    if (plan_.datagram_loss > 0 && std::generate_canonical<double, 32>(chance_) < plan_.datagram_loss)
      return false;
    if (!apart_) return true;
    const auto it = numbers_.find(to);
    return it == numbers_.end() || it->second % 2 == from % 2;
  }
  setup::FleetSection section(unsigned i) const {
    setup::FleetSection out{"hollow", zone_of(i), place(i), place(i), {}, 300ms, 3600s, 4096};
    for (unsigned s = 0; s < 3; ++s) out.seeds.push_back(place(s));
    return out;
  }
  void start(unsigned i) {
    numbers_[place(i)] = i;
    auto m =
        std::make_unique<Member>(loop_, all_sent_, [this, i](const Address& to) { return passes(i, to); });
    m->peers = std::make_unique<node::FleetMember>(m->network, m->timers, section(i), "h" + std::to_string(i),
                                                   "lab", mix(i * 77 + 5), [](unsigned) {});
    m->peers->enable_changes({}, [](const changes::Change&) { return std::string(); });
    m->peers->start();
    members_[i] = std::move(m);
  }
  void start_again(const std::vector<unsigned>& which) {
    alive_by_.clear();
    back_.clear();
    for (const unsigned i : which) {
      back_.push_back("h" + std::to_string(i));
      start(i);
    }
  }
  void spawn(unsigned r) {
    const unsigned n = static_cast<unsigned>(members_.size()) + r;
    const Address at = place(n);
    Address serves = at;
    serves.port = 8081;
    const std::string base = folder_ + "/real" + std::to_string(r);
    numbers_[at] = n;
    std::ofstream own(base + ".toml", std::ios::trunc);
    own << "[fleet]\nname = \"hollow\"\naddress = \"" << to_text(at) << "\"\nzone = \"" << zone_of(n)
        << "\"\nseeds = [";
    for (unsigned s = 0; s < 3; ++s) own << (s ? ", \"" : "\"") << to_text(place(s)) << '"';
    own << "]\n[changes]\n";
    own.close();
    std::ofstream(base + ".json", std::ios::trunc)
        << R"({"name":"real)" << r << R"(","listen":")" << to_text(serves)
        << R"(","discovery":"127.0.0.1:9","seed":")" << r << R"(","known":{"rev":1,"all":true,"targets":[]},)"
        << R"("limits":{"memory_mb":64,"sockets":256},"settings":{"balancers":500,"myZone":0,"failureDomains":["a"],)"
        << R"("discovery":"on_request","listeners":[{"name":"chat","handshakeTarget":500000,"dialTimeout":2000000,)"
        << R"("effect":"repeatable","group":"all"}],"ceilings":{"maxDials":3,"probes":true},"rules":{"askEvery":10000000,)"
        << R"("cold":7200000,"coldShare":0.3,"overloadFactor":3.0,"tipAfter":1500000},"prices":{"probe":0.002},)"
        << R"("reporting":{"fields":["util"]}}})";
    std::vector<std::string> words = program_;
    words.insert(words.end(), {"serve", "--config", base + ".json", "--operator", base + ".toml"});
    processes_.push_back(std::make_unique<ChildProcess>(words, base + ".log"));
  }
  void kill_real(unsigned r) {
    processes_[r].reset();
    dead_ = {"real" + std::to_string(r)};
    failed_by_.clear();
  }
  void drop(const std::vector<unsigned>& which) {
    dead_.clear();
    for (const unsigned i : which) {
      members_[i].reset();
      dead_.push_back("h" + std::to_string(i));
    }
    failed_by_.clear();
  }
  void put(const std::string& text, unsigned number) {
    std::ofstream(folder_ + "/change.toml", std::ios::trunc) << text;
    setenv("FLINTWEIR_TOKEN", std::to_string(number).c_str(), 1);
    std::vector<std::string> words = program_;
    words.insert(words.end(), {"change", "put", folder_ + "/change.toml", "--operator",
                               folder_ + "/real1.toml", "--at", to_text(place(0))});
    publisher_ = std::make_unique<ChildProcess>(words, folder_ + "/put.log");
    unsetenv("FLINTWEIR_TOKEN");
  }

  double agree(unsigned of) const {
    std::map<std::uint64_t, unsigned> digests;
    unsigned hollow = 0, whole = 0;
    for (const auto& m : members_)
      if (m) {
        ++hollow;
        ++digests[m->peers->digest()];
        whole += m->peers->active_nodes() >= of;
      }
    unsigned most = 0;
    for (const auto& [d, n] : digests) most = std::max(most, n);
    return static_cast<double>(std::min(most, whole)) / hollow;
  }
  double has(std::uint64_t number, bool one_region = false) {
    double have = 0, all = 0;
    for (unsigned i = 0; i < members_.size(); ++i) {
      if (!members_[i] || (one_region && i % 2)) continue;
      ++all;
      have += members_[i]->peers->change_status()->held.in_force.number.value >= number;
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
  // Of all that run, the share that has said so of whoever was said of least.
  double known(const std::vector<std::string>& names, const std::map<std::string, unsigned>& by) const {
    const auto alive = static_cast<double>(
        std::count_if(members_.begin(), members_.end(), [](const auto& m) { return m != nullptr; }));
    double least = 1;
    for (const std::string& name : names) {
      const auto it = by.find(name);
      least = std::min(least, it == by.end() ? 0 : it->second / alive);
    }
    return least;
  }
  double gone_known() const { return known(dead_, failed_by_); }
  double back_known() const { return known(back_, alive_by_); }

  double resident() const {
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
  void run(Micros in) {
    for (const Micros end = loop_.now() + in; loop_.now() < end;)
      loop_.run_for(std::min<Micros>(5ms, end - loop_.now()));
  }
  template <class Done>
  double until(Micros from, Micros most, Done done) {
    while (loop_.now() - from < most) {
      if (done() >= 1) return seconds(loop_.now() - from);
      run(20ms);
    }
    return -1;
  }
  // Bytes a node and second, of the node that sent most, and the share of a core for each, over so long.
  template <class Done>
  std::tuple<double, double, double> over(Micros least, Done done) {
    for (auto& m : members_)
      if (m) m->sent_before = m->network.sent;
    const Micros from = loop_.now();
    const double spent = cpu();
    bool more = done();
    while (loop_.now() - from < least || (more && loop_.now() - from < 60s)) {
      run(20ms);
      more = done();
    }
    const double lasted = seconds(loop_.now() - from);
    double all = 0, most = 0, count = 0;
    for (const auto& m : members_) {
      if (!m) continue;
      const auto sent = static_cast<double>(m->network.sent - m->sent_before) / lasted;
      all += sent;
      most = std::max(most, sent);
      ++count;
    }
    return {all / count, most, (cpu() - spent) / lasted / count};
  }
  template <class Act, class Share>
  void happens(const std::string& what, Act act, Share share) {
    const Micros from = loop_.now();
    double half = -1, all = -1;
    act();
    const auto [bytes, most, core] = over(4s, [&] {
      const double now = share();
      if (half < 0 && now >= 0.5) half = seconds(loop_.now() - from);
      if (all < 0 && now >= 1) all = seconds(loop_.now() - from);
      return all < 0;
    });
    out_.propagation_s[what] = {half, all};
    out_.bytes_per_second[what] = bytes;
    out_.max_bytes_per_second[what] = most;
    out_.cpu[what] = core;
    run(1s);
  }

  InProcessFleetPlan plan_;
  std::vector<std::string> program_;
  std::string folder_;
  unsigned zones_;
  net::KernelNetwork loop_;
  std::knuth_b chance_{7};
  std::map<Address, unsigned> numbers_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::unique_ptr<ChildProcess>> processes_;
  std::unique_ptr<ChildProcess> publisher_;
  std::vector<std::string> dead_, back_;
  std::map<std::string, unsigned> failed_by_, alive_by_;  // how many have said so since it was asked
  std::uint64_t all_sent_ = 0;
  bool apart_ = false;
  InProcessFleetResult out_;
};

}  // namespace

InProcessFleetResult run_in_process_fleet(const InProcessFleetPlan& plan,
                                          const std::vector<std::string>& program,
                                          const std::string& folder) {
  return Hollow(plan, program, folder).play();
}

}  // namespace flintweir::lab
