#include "lab/leases/lease_rig.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <set>

#include "lab/fleet/loopback_harness.h"
#include "lab/fleet/virtual_harness.h"
#include "node/lease_holder.h"
#include "numbers.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr unsigned kVoters = 5, kProcesses = 4;  // voters, and would-be holders as processes
constexpr Micros kLength = 2s, kActTakes = 60ms;
constexpr const char* kLease = "nightly";

// Whether it does anything any more: one that nobody has waited for is still listed.
bool runs(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(in, text);
  const std::size_t name_ends = text.rfind(") ");
  return name_ends != text.npos && text[name_ends + 2] != 'Z' && text[name_ends + 2] != 'X';
}

struct Act {
  std::uint64_t token = 0;
  int as = -1, pid = 0;
};

// The thing that is acted on. It takes an act under a token that is not smaller than any before it.
class Ledger {
 public:
  const Act& last() const { return last_; }
  std::uint64_t acts = 0, refused = 0;
  std::set<std::uint64_t> tokens;
  // Who may still try under an old token, or have been stopped in the middle of an act.
  std::set<int> stopped;
  std::function<void(const std::string&)> broken;
  std::function<void()> acted;
  std::function<bool(int pid)> runs;

  bool begin(const Act& a) {
    if (a.token < last_.token) {
      ++refused;
      if (!stopped.contains(a.as))
        broken("rule=lease-token: an act by a smaller token, of one never stopped");
      return false;
    }
    if (a.token == last_.token && a.pid != last_.pid) broken("rule=lease-token: one token of two processes");
    // One that was killed in the middle acts no more.
    if (open_ && open_->pid != a.pid && runs(open_->pid) && !stopped.contains(open_->as))
      broken("rule=lease-two: holder " + std::to_string(a.as) + " begins while " + std::to_string(open_->as) +
             " acts");
    ++acts;
    tokens.insert(a.token);
    open_ = last_ = a;
    acted();
    return true;
  }
  bool end(std::uint64_t token, int pid) {
    if (!open_ || open_->token != token || open_->pid != pid) return ++refused, false;
    open_.reset();
    return true;
  }

 private:
  std::optional<Act> open_;
  Act last_;
};

// Where a rig of leases plays: voters and would-be holders, and ways between them. Holders act on the ledger.
class LeaseStage {
 public:
  virtual ~LeaseStage() = default;
  virtual FleetHarness& rig() = 0;
  virtual unsigned holders() const = 0;
  virtual void start_voter(unsigned v) = 0;
  virtual void hold(unsigned h) = 0;
  virtual void kill_holder(unsigned h) = 0;
  virtual void leave(unsigned h) = 0;                           // SIGTERM
  virtual void stop(unsigned h, const Act& last, bool on) = 0;  // with what it runs
  virtual void lose_promises(unsigned v) = 0;
  // Tokens that stand as held in a holder's log, and at which.
  virtual std::map<std::uint64_t, std::set<unsigned>> held() = 0;
};

std::vector<std::string> voters() {
  std::vector<std::string> out;
  for (unsigned v = 0; v < kVoters; ++v) out.push_back("n" + std::to_string(v));
  return out;
}

class Processes final : public LeaseStage, net::DatagramEvents {
 public:
  Processes(Ledger& ledger, const std::vector<std::string>& program, std::string actor,
            const std::string& folder, bool folders, std::uint64_t seed)
      : ledger_(ledger),
        actor_(std::move(actor)),
        folder_(folder),
        folders_(folders),
        stage_(program, folder, kVoters + kProcesses, 300ms, seed),
        network_(stage_.network()) {
    network_.open_datagrams(stage_.ledger_address());
    network_.wait_datagram(*this);
    for (const std::string& v : voters()) section_ += (section_.empty() ? "\"" : ", \"") + v + '"';
    section_ = "[leases]\nvoters = [" + section_ + "]\nlength = \"2s\"\n";
    stage_.set_operator_sections(section_);
    ledger_.runs = [](int pid) { return runs(pid); };
  }
  ~Processes() override { network_.shut_down(); }
  FleetHarness& rig() override { return stage_; }
  unsigned holders() const override { return kProcesses; }
  void start_voter(unsigned v) override {
    if (folders_) {
      std::filesystem::create_directories(promises_of(v));
      stage_.set_operator_sections(section_ + "folder = \"" + promises_of(v) + "\"\n");
    }
    stage_.start({v, 0}, voters()[v], {{0, 0}, {1, 0}, {2, 0}});
  }
  void hold(unsigned h) override {
    stage_.start_lease_holder(
        {kVoters + h, 0}, kLease,
        {actor_, "act", "--ledger", to_text(stage_.ledger_address()), "--as", std::to_string(h)}, kVoters);
  }
  void kill_holder(unsigned h) override { stage_.kill({kVoters + h, 0}); }
  void leave(unsigned h) override { stage_.leave({kVoters + h, 0}); }
  void stop(unsigned h, const Act& last, bool on) override {
    stage_.freeze({kVoters + h, 0}, on);
    ::kill(last.pid, on ? SIGSTOP : SIGCONT);
  }
  void lose_promises(unsigned v) override { std::filesystem::remove_all(promises_of(v)); }
  std::map<std::uint64_t, std::set<unsigned>> held() override {
    std::map<std::uint64_t, std::set<unsigned>> out;
    for (unsigned h = 0; h < kProcesses; ++h) {
      std::ifstream in(stage_.log_path({kVoters + h, 0}));
      for (std::string line; std::getline(in, line);) {
        const std::size_t at = line.find(" token=");
        if (line.find("lease: held") == line.npos || at == line.npos) continue;
        out[std::stoull(line.substr(at + 7))].insert(h);
      }
    }
    return out;
  }

 private:
  std::string promises_of(unsigned v) const { return folder_ + "/promises-" + std::to_string(v); }
  void datagram_pending() override {
    char bytes[128];
    for (;;) {
      const net::ReceiveResult got = network_.receive(bytes, sizeof bytes - 1);
      if (got.status == net::IoStatus::would_block) break;
      if (got.status != net::IoStatus::done) continue;
      bytes[got.bytes] = 0;
      unsigned long long token = 0;
      int as = 0, pid = 0;
      char what = 0;
      if (std::sscanf(bytes, "%c %llu %d %d", &what, &token, &as, &pid) != 4) continue;
      network_.send_datagram(
          got.from, (what == 'b' ? ledger_.begin({token, as, pid}) : ledger_.end(token, pid)) ? "ok" : "no");
    }
    network_.wait_datagram(*this);
  }

  Ledger& ledger_;
  std::string actor_, folder_, section_;
  bool folders_;
  LoopbackHarness stage_;
  net::KernelNetwork network_;
};

// The same code in virtual time: the nodes' peers, and holders that act themselves. Clocks of voters and
// holders run at both ends of the bound.
class Virtual final : public LeaseStage {
 public:
  Virtual(Ledger& ledger, unsigned holders, std::uint64_t seed)
      : ledger_(ledger), count_(holders), seed_(seed), stage_(kVoters + holders, 300ms, 1h, seed, nullptr) {
    own_.leases = setup::LeasesSection{voters(), kLength, ""};
    own_.fleet = setup::FleetSection{"lab", "", {}, {}, {}, 300ms, 1h, 4096};
    for (unsigned v = 0; v < kVoters; ++v) own_.fleet->seeds.push_back(stage_.listen_address({v, 0}));
    own_.fleet->address = own_.fleet->seeds.front();
    stage_.enable_voting(*own_.leases);
    for (unsigned n = 0; n < kVoters + count_; ++n)
      stage_.set_clock_rate({n, 0},
                            mix(seed + n) % 2 ? 1 - leases::kMaxClockDrift : 1 + leases::kMaxClockDrift);
    ledger_.runs = [this](int pid) {
      return std::any_of(holders_.begin(), holders_.end(),
                         [&](const auto& h) { return h.second->pid == pid; });
    };
  }
  ~Virtual() override {
    for (unsigned h = 0; h < count_; ++h) kill_holder(h);
  }
  FleetHarness& rig() override { return stage_; }
  unsigned holders() const override { return count_; }
  void start_voter(unsigned v) override { stage_.start({v, 0}, voters()[v], {{0, 0}, {1, 0}, {2, 0}}); }
  void hold(unsigned h) override {
    const NodeEndpoint at{kVoters + h, 0};
    stage_.start_process(at);
    holders_[h] = std::make_unique<One>(*this, h, ++pids_);
    holders_[h]->holder.start();
  }
  void kill_holder(unsigned h) override {
    holders_.erase(h);
    stage_.kill({kVoters + h, 0});
  }
  void leave(unsigned h) override {
    if (const auto it = holders_.find(h); it != holders_.end()) it->second->leave();
  }
  void stop(unsigned h, const Act&, bool on) override { stage_.freeze({kVoters + h, 0}, on); }
  void lose_promises(unsigned) override {}
  std::map<std::uint64_t, std::set<unsigned>> held() override { return held_; }

 private:
  struct One final : node::LeaseHolder::Events, net::TimerEvents {
    One(Virtual& of, unsigned h, int pid)
        : of(of),
          h(h),
          pid(pid),
          timers(of.stage_.timers({kVoters + h, 0})),
          holder(of.stage_.process({kVoters + h, 0}), timers, of.own_, kLease,
                 "h" + std::to_string(h) + '/' + std::to_string(pid),
                 of.stage_.listen_address({kVoters + h, 0}), std::nullopt,
                 mix(of.seed_ * 1024 + static_cast<std::uint64_t>(pid)), *this) {}
    void lease_acquired(leases::Token t) override {
      of.held_[t.value].insert(h);
      token = t.value;
      if (!std::exchange(waked, true)) timers.schedule(1ms, *this, 0);
    }
    void lease_lost(leases::Token, std::string_view) override { token = 0; }
    void lease_awaited(std::string_view) override {}
    void leave() {
      leaves = true;
      if (acting == 0) holder.release();
    }
    void timer_expired(std::uint64_t) override {
      if (acting != 0) {
        of.ledger_.end(std::exchange(acting, 0), pid);
        if (leaves) return holder.release();
        return timers.schedule(kActTakes / 6, *this, 0);
      }
      // Only where it fits into what is left, by a clock that may be fast.
      if (token != 0 && !leaves && holder.time_left() > kActTakes + kActTakes / 50 &&
          of.ledger_.begin({token, static_cast<int>(h), pid}))
        acting = token;
      timers.schedule(kActTakes, *this, 0);
    }
    Virtual& of;
    unsigned h;
    int pid;
    net::TimerQueue& timers;
    std::uint64_t token = 0, acting = 0;
    bool waked = false, leaves = false;
    node::LeaseHolder holder;
  };

  Ledger& ledger_;
  unsigned count_;
  std::uint64_t seed_;
  setup::OperatorFile own_;
  VirtualHarness stage_;
  std::map<unsigned, std::unique_ptr<One>> holders_;
  std::map<std::uint64_t, std::set<unsigned>> held_;
  int pids_ = 0;
};

class LeaseRig {
 public:
  LeaseRig(std::uint64_t seed, std::string trouble, Ledger& ledger, LeaseStage& stage)
      : stage_(stage), ledger_(ledger), chance_(static_cast<std::knuth_b::result_type>(mix(seed + 77) | 1)) {
    out_.trouble = std::move(trouble);
    ledger_.broken = [this](const std::string& what) {
      if (out_.broken.size() < 10) out_.broken.push_back(what);
    };
    ledger_.acted = [this] {
      const Micros now = stage_.rig().now();
      if (measures_) out_.gap = std::max(out_.gap, seconds(now - acted_at_) * 1e3);
      acted_at_ = now;
    };
  }

  LeaseRun play() {
    std::uint64_t asked = 0;
    stage_.rig().on_sent = [&asked](NodeEndpoint from, std::size_t) { asked += from.node >= kVoters; };
    for (unsigned v = 0; v < kVoters; ++v) stage_.start_voter(v);
    run(3s);
    for (unsigned h = 0; h < stage_.holders(); ++h) stage_.hold(h);
    // Somebody acts before anything breaks.
    for (const Micros until = stage_.rig().now() + 8s; ledger_.acts == 0 && stage_.rig().now() < until;)
      run(50ms);
    if (ledger_.acts == 0) ledger_.broken("rule=lease-nobody: nobody has begun to act");
    run(600ms + Micros{static_cast<std::int64_t>(chance_() % 600'000)});
    // While nothing is amiss but that all want it.
    const std::uint64_t before_rest = asked;
    run(2s);
    out_.asked = static_cast<double>(asked - before_rest) / 2 / kVoters;
    measures_ = true;
    trouble(out_.trouble);
    const std::uint64_t before = ledger_.acts;
    run(kLength + 2s);
    if (ledger_.acts == before)
      ledger_.broken("rule=lease-nobody: nobody acts within a lease and 2 s of the trouble's end");
    out_.acts = ledger_.acts;
    out_.refused = ledger_.refused;
    logs();
    stage_.rig().on_sent = nullptr;
    return std::move(out_);
  }

 private:
  void run(Micros in) { stage_.rig().run_until(stage_.rig().now() + in); }
  unsigned holder() const { return static_cast<unsigned>(std::max(ledger_.last().as, 0)); }
  // Of all ways between the holder and the voters.
  void holders_ways(unsigned h, bool to, bool from, DatagramFaults post) {
    for (unsigned v = 0; v < kVoters; ++v) {
      if (to) stage_.rig().link(v, kVoters + h) = post;
      if (from) stage_.rig().link(kVoters + h, v) = post;
    }
  }
  void all_ways(DatagramFaults post) {
    for (unsigned a = 0; a < kVoters + stage_.holders(); ++a)
      for (unsigned b = 0; b < kVoters + stage_.holders(); ++b) stage_.rig().link(a, b) = post;
  }

  void trouble(const std::string& kind) {
    const unsigned h = holder();
    DatagramFaults cut;
    cut.blocked = true;
    if (kind == "killed" || kind == "leaves") {
      kind == "killed" ? stage_.kill_holder(h) : stage_.leave(h);
      run(4s);
      stage_.hold(h);
    } else if (kind == "fails-returns") {
      for (int i = 0; i < 4; ++i) {
        const unsigned now = holder();
        stage_.kill_holder(now);
        run(1500ms);
        stage_.hold(now);
        run(1500ms);
      }
    } else if (kind.starts_with("stopped")) {
      // The holder and what it runs, in the middle of whatever they do, for less or more than the lease.
      const Micros lasts = kind == "stopped-short" ? 800ms : kind == "stopped-lease" ? 2s : 5s;
      const Act last = ledger_.last();
      ledger_.stopped.insert(static_cast<int>(h));
      stage_.stop(h, last, true);
      run(lasts);
      stage_.stop(h, last, false);
    } else if (kind == "cut" || kind == "cut-in" || kind == "cut-out") {
      holders_ways(h, kind != "cut-out", kind != "cut-in", cut);
      run(6s);
      holders_ways(h, true, true, DatagramFaults());
    } else if (kind == "voters-restart" || kind == "majority-gone") {
      const unsigned n = kind == "voters-restart" ? kVoters : kVoters / 2 + 1;
      for (unsigned v = 0; v < n; ++v) stage_.rig().kill({v, 0});
      if (kind == "majority-gone") run(6s);
      for (unsigned v = 0; v < n; ++v) stage_.start_voter(v);
      run(kLength * 2);  // they answer nobody for the longest lease
    } else if (kind.starts_with("folders")) {
      // All at once, with what they had kept: nobody has to wait; or some with nothing any more.
      for (unsigned v = 0; v < kVoters; ++v) stage_.rig().kill({v, 0});
      if (kind == "folders-lost")
        for (unsigned v = 0; v < kVoters; v += 2) stage_.lose_promises(v);
      for (unsigned v = 0; v < kVoters; ++v) stage_.start_voter(v);
      run(kLength * 2);
    } else if (kind == "minority-gone") {
      for (unsigned v = 0; v < kVoters / 2; ++v) stage_.rig().kill({v, 0});
      run(5s);
      for (unsigned v = 0; v < kVoters / 2; ++v) stage_.start_voter(v);
    } else if (kind == "fifth-flaps") {
      // Two voters and half of the holders on each side, the fifth to and fro each second.
      const auto side = [](unsigned n, bool left) {
        return n == kVoters - 1 ? left : n < kVoters ? n % 2 == 0 : (n - kVoters) % 2 == 0;
      };
      for (int i = 0; i < 8; ++i) {
        for (unsigned a = 0; a < kVoters + stage_.holders(); ++a)
          for (unsigned b = 0; b < kVoters + stage_.holders(); ++b)
            stage_.rig().link(a, b) = side(a, i % 2 == 0) == side(b, i % 2 == 0) ? DatagramFaults() : cut;
        run(1s);
      }
      all_ways(DatagramFaults());
    } else if (kind == "loss" || kind == "late") {
      DatagramFaults bad;
      if (kind == "loss") {
        bad.loss = 0.2;
      } else {
        bad.duplication = bad.replay = 0.3;
        bad.replay_delay = 3s;
        bad.jitter = 300ms;
      }
      all_ways(bad);
      run(8s);
      all_ways(DatagramFaults());
    }
  }

  // What was acted under stands as held in just one holder's log.
  void logs() {
    const auto held = stage_.held();
    for (const auto& [token, who] : held)
      if (who.size() != 1) ledger_.broken("rule=lease-log: two processes log one token as held");
    for (const std::uint64_t token : ledger_.tokens)
      if (!held.contains(token))
        ledger_.broken("rule=lease-log: acts under a token that nobody logs as held");
  }

  LeaseStage& stage_;
  Ledger& ledger_;
  std::knuth_b chance_;
  LeaseRun out_;
  Micros acted_at_{0};
  bool measures_ = false;  // from the trouble's begin
};

volatile std::sig_atomic_t told_to_end = 0;

}  // namespace

const std::vector<std::string>& lease_troubles() {
  static const std::vector<std::string> all = {
      "killed", "leaves",  "stopped-short",  "stopped-lease", "stopped-long",  "cut",
      "cut-in", "cut-out", "voters-restart", "majority-gone", "minority-gone", "fifth-flaps",
      "loss",   "late",    "folders-kept",   "folders-lost",  "fails-returns"};
  return all;
}

std::string lease_trouble(std::uint64_t seed, const std::string& only) {
  const auto& all = lease_troubles();
  return only.empty() ? all[seed % all.size()] : only;
}

LeaseRun run_leases(std::uint64_t seed, const std::string& only, const std::vector<std::string>& program,
                    const std::string& actor, const std::string& folder) {
  const std::string trouble = lease_trouble(seed, only);
  Ledger ledger;
  Processes stage(ledger, program, actor, folder, trouble.starts_with("folders"), seed);
  return LeaseRig(seed, trouble, ledger, stage).play();
}

LeaseRun run_leases_virtual(std::uint64_t seed, const std::string& only, unsigned holders) {
  Ledger ledger;
  Virtual stage(ledger, holders, seed);
  return LeaseRig(seed, lease_trouble(seed, only), ledger, stage).play();
}

int act_on_ledger(const std::string& ledger, const std::string& as) {
  const char* const token = std::getenv("FLINTWEIR_TOKEN");
  const auto at = parse_address(ledger);
  if (!token || !at) return 2;
  std::signal(SIGTERM, [](int) { told_to_end = 1; });
  struct Answer final : net::DatagramEvents {
    void datagram_pending() override {
      char bytes[16];
      const net::ReceiveResult got = network.receive(bytes, sizeof bytes);
      if (got.status == net::IoStatus::done) said = std::string(bytes, got.bytes);
      network.wait_datagram(*this);
      network.stop();
    }
    net::KernelNetwork network;
    std::string said;
  } answer;
  Address here = *at;
  here.port = 0;
  answer.network.open_datagrams(here);
  answer.network.wait_datagram(answer);
  const auto say = [&](const char* what) {
    answer.said.clear();
    answer.network.send_datagram(*at,
                                 std::string(what) + ' ' + token + ' ' + as + ' ' + std::to_string(getpid()));
    for (const Micros until = answer.network.now() + 5s; answer.said.empty() && answer.network.now() < until;)
      answer.network.run_for(until - answer.network.now());
    return answer.said == "ok";
  };
  const auto rest = [&](Micros in) {
    for (const Micros until = answer.network.now() + in; answer.network.now() < until;)
      answer.network.run_for(until - answer.network.now());
  };
  while (!told_to_end) {
    if (!say("b")) return 9;
    rest(kActTakes);
    if (!say("e")) return 9;
    rest(kActTakes / 6);
  }
  return 0;
}

}  // namespace flintweir::lab
