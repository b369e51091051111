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

constexpr unsigned kVoters = 5, kHolders = 4;  // voters, and processes that contend for the lease
constexpr Micros kLeaseDuration = 2s, kOperationDuration = 60ms;
constexpr const char* kLeaseName = "nightly";

// Whether the process still executes. A process that has ended but was not waited for is still listed in
// /proc.
bool is_running(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(in, text);
  const std::size_t name_ends = text.rfind(") ");
  return name_ends != text.npos && text[name_ends + 2] != 'Z' && text[name_ends + 2] != 'X';
}

struct Operation {
  std::uint64_t token = 0;
  int holder = -1, pid = 0;
};

// The resource that the lease protects. It accepts an operation whose token is not smaller than any before
// it, and reports violations.
class Ledger {
 public:
  const Operation& last() const { return last_; }
  std::uint64_t operations = 0, refused = 0;
  std::set<std::uint64_t> tokens;
  // Holders that may still try under an old token, or were paused in the middle of an operation.
  std::set<int> may_be_stale;
  std::function<void(const std::string&)> report_violation;
  std::function<void()> on_operation;
  std::function<bool(int pid)> is_running;

  bool begin(const Operation& a) {
    if (a.token < last_.token) {
      ++refused;
      if (!may_be_stale.contains(a.holder))
        report_violation("rule=lease-token: an act by a smaller token, of one never stopped");
      return false;
    }
    if (a.token == last_.token && a.pid != last_.pid)
      report_violation("rule=lease-token: one token of two processes");
    // A process that was killed during its operation does nothing more.
    if (open_ && open_->pid != a.pid && is_running(open_->pid) && !may_be_stale.contains(open_->holder))
      report_violation("rule=lease-two: holder " + std::to_string(a.holder) + " begins while " +
                       std::to_string(open_->holder) + " acts");
    ++operations;
    tokens.insert(a.token);
    open_ = last_ = a;
    on_operation();
    return true;
  }
  bool end(std::uint64_t token, int pid) {
    if (!open_ || open_->token != token || open_->pid != pid) return ++refused, false;
    open_.reset();
    return true;
  }

 private:
  std::optional<Operation> open_;
  Operation last_;
};

// Voters, lease holders and the links between them, as processes or in virtual time. Holders run operations
// on the ledger.
class LeaseEnvironment {
 public:
  virtual ~LeaseEnvironment() = default;
  virtual FleetHarness& harness() = 0;
  virtual unsigned holders() const = 0;
  virtual void start_voter(unsigned v) = 0;
  virtual void start_holder(unsigned h) = 0;
  virtual void kill_holder(unsigned h) = 0;
  virtual void release_holder(unsigned h) = 0;  // by SIGTERM
  // Pauses or resumes a holder together with the command that it runs.
  virtual void set_paused(unsigned h, const Operation& last, bool paused) = 0;
  virtual void delete_storage(unsigned v) = 0;
  // The tokens that the holders' logs report as held, each with its holders.
  virtual std::map<std::uint64_t, std::set<unsigned>> acquired_tokens() = 0;
};

std::vector<std::string> voter_names() {
  std::vector<std::string> out;
  for (unsigned v = 0; v < kVoters; ++v) out.push_back("n" + std::to_string(v));
  return out;
}

class LoopbackLeaseEnvironment final : public LeaseEnvironment, net::DatagramEvents {
 public:
  LoopbackLeaseEnvironment(Ledger& ledger, const std::vector<std::string>& program, std::string actor,
                           const std::string& folder, bool voter_storage, std::uint64_t seed)
      : ledger_(ledger),
        actor_(std::move(actor)),
        folder_(folder),
        voter_storage_(voter_storage),
        harness_(program, folder, kVoters + kHolders, 300ms, seed),
        network_(harness_.network()) {
    network_.open_datagrams(harness_.ledger_address());
    network_.wait_datagram(*this);
    for (const std::string& v : voter_names())
      leases_section_ += (leases_section_.empty() ? "\"" : ", \"") + v + '"';
    leases_section_ = "[leases]\nvoters = [" + leases_section_ + "]\nlength = \"2s\"\n";
    harness_.set_operator_sections(leases_section_);
    ledger_.is_running = [](int pid) { return is_running(pid); };
  }
  ~LoopbackLeaseEnvironment() override { network_.shut_down(); }
  FleetHarness& harness() override { return harness_; }
  unsigned holders() const override { return kHolders; }
  void start_voter(unsigned v) override {
    if (voter_storage_) {
      std::filesystem::create_directories(storage_path(v));
      harness_.set_operator_sections(leases_section_ + "folder = \"" + storage_path(v) + "\"\n");
    }
    harness_.start({v, 0}, voter_names()[v], {{0, 0}, {1, 0}, {2, 0}});
  }
  void start_holder(unsigned h) override {
    harness_.start_lease_holder(
        {kVoters + h, 0}, kLeaseName,
        {actor_, "act", "--ledger", to_text(harness_.ledger_address()), "--as", std::to_string(h)}, kVoters);
  }
  void kill_holder(unsigned h) override { harness_.kill({kVoters + h, 0}); }
  void release_holder(unsigned h) override { harness_.leave({kVoters + h, 0}); }
  void set_paused(unsigned h, const Operation& last, bool paused) override {
    harness_.freeze({kVoters + h, 0}, paused);
    ::kill(last.pid, paused ? SIGSTOP : SIGCONT);
  }
  void delete_storage(unsigned v) override { std::filesystem::remove_all(storage_path(v)); }
  std::map<std::uint64_t, std::set<unsigned>> acquired_tokens() override {
    std::map<std::uint64_t, std::set<unsigned>> out;
    for (unsigned h = 0; h < kHolders; ++h) {
      std::ifstream in(harness_.log_path({kVoters + h, 0}));
      for (std::string line; std::getline(in, line);) {
        const std::size_t at = line.find(" token=");
        if (line.find("lease: held") == line.npos || at == line.npos) continue;
        out[std::stoull(line.substr(at + 7))].insert(h);
      }
    }
    return out;
  }

 private:
  std::string storage_path(unsigned v) const { return folder_ + "/promises-" + std::to_string(v); }
  void datagram_pending() override {
    char bytes[128];
    for (;;) {
      const net::ReceiveResult got = network_.receive(bytes, sizeof bytes - 1);
      if (got.status == net::IoStatus::would_block) break;
      if (got.status != net::IoStatus::done) continue;
      bytes[got.bytes] = 0;
      unsigned long long token = 0;
      int holder = 0, pid = 0;
      char what = 0;
      if (std::sscanf(bytes, "%c %llu %d %d", &what, &token, &holder, &pid) != 4) continue;
      network_.send_datagram(
          got.from,
          (what == 'b' ? ledger_.begin({token, holder, pid}) : ledger_.end(token, pid)) ? "ok" : "no");
    }
    network_.wait_datagram(*this);
  }

  Ledger& ledger_;
  std::string actor_, folder_, leases_section_;
  bool voter_storage_;
  LoopbackHarness harness_;
  net::KernelNetwork network_;
};

// The same voter and holder code in virtual time, where holders run the operations themselves. The clocks of
// voters and holders run at either end of the permitted drift.
class VirtualLeaseEnvironment final : public LeaseEnvironment {
 public:
  VirtualLeaseEnvironment(Ledger& ledger, unsigned holders, std::uint64_t seed)
      : ledger_(ledger),
        holder_count_(holders),
        seed_(seed),
        harness_(kVoters + holders, 300ms, 1h, seed, nullptr) {
    operator_file_.leases = setup::LeasesSection{voter_names(), kLeaseDuration, ""};
    operator_file_.fleet = setup::FleetSection{"lab", "", {}, {}, {}, 300ms, 1h, 4096};
    for (unsigned v = 0; v < kVoters; ++v)
      operator_file_.fleet->seeds.push_back(harness_.listen_address({v, 0}));
    operator_file_.fleet->address = operator_file_.fleet->seeds.front();
    harness_.enable_voting(*operator_file_.leases);
    for (unsigned n = 0; n < kVoters + holder_count_; ++n)
      harness_.set_clock_rate({n, 0},
                              mix(seed + n) % 2 ? 1 - leases::kMaxClockDrift : 1 + leases::kMaxClockDrift);
    ledger_.is_running = [this](int pid) {
      return std::any_of(holders_.begin(), holders_.end(),
                         [&](const auto& h) { return h.second->pid == pid; });
    };
  }
  ~VirtualLeaseEnvironment() override {
    for (unsigned h = 0; h < holder_count_; ++h) kill_holder(h);
  }
  FleetHarness& harness() override { return harness_; }
  unsigned holders() const override { return holder_count_; }
  void start_voter(unsigned v) override {
    harness_.start({v, 0}, voter_names()[v], {{0, 0}, {1, 0}, {2, 0}});
  }
  void start_holder(unsigned h) override {
    const NodeEndpoint at{kVoters + h, 0};
    harness_.start_process(at);
    holders_[h] = std::make_unique<HolderProcess>(*this, h, ++last_pid_);
    holders_[h]->holder.start();
  }
  void kill_holder(unsigned h) override {
    holders_.erase(h);
    harness_.kill({kVoters + h, 0});
  }
  void release_holder(unsigned h) override {
    if (const auto it = holders_.find(h); it != holders_.end()) it->second->release_when_idle();
  }
  void set_paused(unsigned h, const Operation&, bool paused) override {
    harness_.freeze({kVoters + h, 0}, paused);
  }
  void delete_storage(unsigned) override {}
  std::map<std::uint64_t, std::set<unsigned>> acquired_tokens() override { return acquired_tokens_; }

 private:
  struct HolderProcess final : node::LeaseHolder::Events, net::TimerEvents {
    HolderProcess(VirtualLeaseEnvironment& owner, unsigned h, int pid)
        : owner(owner),
          h(h),
          pid(pid),
          timers(owner.harness_.timers({kVoters + h, 0})),
          holder(owner.harness_.process({kVoters + h, 0}), timers, owner.operator_file_, kLeaseName,
                 "h" + std::to_string(h) + '/' + std::to_string(pid),
                 owner.harness_.listen_address({kVoters + h, 0}), std::nullopt,
                 mix(owner.seed_ * 1024 + static_cast<std::uint64_t>(pid)), *this) {}
    void lease_acquired(leases::Token t) override {
      owner.acquired_tokens_[t.value].insert(h);
      token = t.value;
      if (!std::exchange(timer_started, true)) timers.schedule(1ms, *this, 0);
    }
    void lease_lost(leases::Token, std::string_view) override { token = 0; }
    void lease_awaited(std::string_view) override {}
    void release_when_idle() {
      releasing = true;
      if (operation_token == 0) holder.release();
    }
    void timer_expired(std::uint64_t) override {
      if (operation_token != 0) {
        owner.ledger_.end(std::exchange(operation_token, 0), pid);
        if (releasing) return holder.release();
        return timers.schedule(kOperationDuration / 6, *this, 0);
      }
      // Begins only if the operation fits into the remaining time, by a clock that may be fast.
      if (token != 0 && !releasing && holder.time_left() > kOperationDuration + kOperationDuration / 50 &&
          owner.ledger_.begin({token, static_cast<int>(h), pid}))
        operation_token = token;
      timers.schedule(kOperationDuration, *this, 0);
    }
    VirtualLeaseEnvironment& owner;
    unsigned h;
    int pid;
    net::TimerQueue& timers;
    std::uint64_t token = 0, operation_token = 0;
    bool timer_started = false, releasing = false;
    node::LeaseHolder holder;
  };

  Ledger& ledger_;
  unsigned holder_count_;
  std::uint64_t seed_;
  setup::OperatorFile operator_file_;
  VirtualHarness harness_;
  std::map<unsigned, std::unique_ptr<HolderProcess>> holders_;
  std::map<std::uint64_t, std::set<unsigned>> acquired_tokens_;
  int last_pid_ = 0;
};

class LeaseExperiment {
 public:
  LeaseExperiment(std::uint64_t seed, std::string fault, Ledger& ledger, LeaseEnvironment& environment)
      : environment_(environment),
        ledger_(ledger),
        rng_(static_cast<std::knuth_b::result_type>(mix(seed + 77) | 1)) {
    result_.fault = std::move(fault);
    ledger_.report_violation = [this](const std::string& what) {
      if (result_.violations.size() < 10) result_.violations.push_back(what);
    };
    ledger_.on_operation = [this] {
      const Micros now = environment_.harness().now();
      if (measuring_)
        result_.longest_gap_ms = std::max(result_.longest_gap_ms, seconds(now - last_operation_at_) * 1e3);
      last_operation_at_ = now;
    };
  }

  LeaseRun run_experiment() {
    std::uint64_t requests_sent = 0;
    environment_.harness().on_sent = [&requests_sent](NodeEndpoint from, std::size_t) {
      requests_sent += from.node >= kVoters;
    };
    for (unsigned v = 0; v < kVoters; ++v) environment_.start_voter(v);
    run_for(3s);
    for (unsigned h = 0; h < environment_.holders(); ++h) environment_.start_holder(h);
    // Waits for a first operation before any fault.
    for (const Micros until = environment_.harness().now() + 8s;
         ledger_.operations == 0 && environment_.harness().now() < until;)
      run_for(50ms);
    if (ledger_.operations == 0) ledger_.report_violation("rule=lease-nobody: nobody has begun to act");
    run_for(600ms + Micros{static_cast<std::int64_t>(rng_() % 600'000)});
    // Measures the request rate without faults, while all holders contend.
    const std::uint64_t requests_before = requests_sent;
    run_for(2s);
    result_.requests_per_second = static_cast<double>(requests_sent - requests_before) / 2 / kVoters;
    measuring_ = true;
    inject_fault(result_.fault);
    const std::uint64_t operations_before = ledger_.operations;
    run_for(kLeaseDuration + 2s);
    if (ledger_.operations == operations_before)
      ledger_.report_violation("rule=lease-nobody: nobody acts within a lease and 2 s of the trouble's end");
    result_.operations = ledger_.operations;
    result_.refused = ledger_.refused;
    check_logs();
    environment_.harness().on_sent = nullptr;
    return std::move(result_);
  }

 private:
  void run_for(Micros duration) { environment_.harness().run_until(environment_.harness().now() + duration); }
  unsigned last_holder() const { return static_cast<unsigned>(std::max(ledger_.last().holder, 0)); }
  // Sets the faults of the links between the holder and all voters, in the directions named.
  void set_holder_links(unsigned h, bool to_holder, bool from_holder, DatagramFaults faults) {
    for (unsigned v = 0; v < kVoters; ++v) {
      if (to_holder) environment_.harness().link(v, kVoters + h) = faults;
      if (from_holder) environment_.harness().link(kVoters + h, v) = faults;
    }
  }
  void set_all_links(DatagramFaults faults) {
    for (unsigned a = 0; a < kVoters + environment_.holders(); ++a)
      for (unsigned b = 0; b < kVoters + environment_.holders(); ++b)
        environment_.harness().link(a, b) = faults;
  }

  void inject_fault(const std::string& kind) {
    const unsigned h = last_holder();
    DatagramFaults cut;
    cut.blocked = true;
    if (kind == "killed" || kind == "leaves") {
      kind == "killed" ? environment_.kill_holder(h) : environment_.release_holder(h);
      run_for(4s);
      environment_.start_holder(h);
    } else if (kind == "fails-returns") {
      for (int i = 0; i < 4; ++i) {
        const unsigned now = last_holder();
        environment_.kill_holder(now);
        run_for(1500ms);
        environment_.start_holder(now);
        run_for(1500ms);
      }
    } else if (kind.starts_with("stopped")) {
      // Pauses the holder and its command at an arbitrary point, for less or more than the lease duration.
      const Micros lasts = kind == "stopped-short" ? 800ms : kind == "stopped-lease" ? 2s : 5s;
      const Operation last = ledger_.last();
      ledger_.may_be_stale.insert(static_cast<int>(h));
      environment_.set_paused(h, last, true);
      run_for(lasts);
      environment_.set_paused(h, last, false);
    } else if (kind == "cut" || kind == "cut-in" || kind == "cut-out") {
      set_holder_links(h, kind != "cut-out", kind != "cut-in", cut);
      run_for(6s);
      set_holder_links(h, true, true, DatagramFaults());
    } else if (kind == "voters-restart" || kind == "majority-gone") {
      const unsigned n = kind == "voters-restart" ? kVoters : kVoters / 2 + 1;
      for (unsigned v = 0; v < n; ++v) environment_.harness().kill({v, 0});
      if (kind == "majority-gone") run_for(6s);
      for (unsigned v = 0; v < n; ++v) environment_.start_voter(v);
      run_for(kLeaseDuration * 2);  // restarted voters stay silent for the longest lease duration
    } else if (kind.starts_with("folders")) {
      // Restarts all voters at once. With their storage none has to wait; with folders-lost some have
      // lost it.
      for (unsigned v = 0; v < kVoters; ++v) environment_.harness().kill({v, 0});
      if (kind == "folders-lost")
        for (unsigned v = 0; v < kVoters; v += 2) environment_.delete_storage(v);
      for (unsigned v = 0; v < kVoters; ++v) environment_.start_voter(v);
      run_for(kLeaseDuration * 2);
    } else if (kind == "minority-gone") {
      for (unsigned v = 0; v < kVoters / 2; ++v) environment_.harness().kill({v, 0});
      run_for(5s);
      for (unsigned v = 0; v < kVoters / 2; ++v) environment_.start_voter(v);
    } else if (kind == "fifth-flaps") {
      // A partition with two voters and half of the holders on each side; the fifth voter changes sides every
      // second.
      const auto side = [](unsigned n, bool left) {
        return n == kVoters - 1 ? left : n < kVoters ? n % 2 == 0 : (n - kVoters) % 2 == 0;
      };
      for (int i = 0; i < 8; ++i) {
        for (unsigned a = 0; a < kVoters + environment_.holders(); ++a)
          for (unsigned b = 0; b < kVoters + environment_.holders(); ++b)
            environment_.harness().link(a, b) =
                side(a, i % 2 == 0) == side(b, i % 2 == 0) ? DatagramFaults() : cut;
        run_for(1s);
      }
      set_all_links(DatagramFaults());
    } else if (kind == "loss" || kind == "late") {
      DatagramFaults bad;
      if (kind == "loss") {
        bad.loss = 0.2;
      } else {
        bad.duplication = bad.replay = 0.3;
        bad.replay_delay = 3s;
        bad.jitter = 300ms;
      }
      set_all_links(bad);
      run_for(8s);
      set_all_links(DatagramFaults());
    }
  }

  // Each token that an operation used must be logged as held by exactly one holder.
  void check_logs() {
    const auto acquired_tokens = environment_.acquired_tokens();
    for (const auto& [token, who] : acquired_tokens)
      if (who.size() != 1) ledger_.report_violation("rule=lease-log: two processes log one token as held");
    for (const std::uint64_t token : ledger_.tokens)
      if (!acquired_tokens.contains(token))
        ledger_.report_violation("rule=lease-log: acts under a token that nobody logs as held");
  }

  LeaseEnvironment& environment_;
  Ledger& ledger_;
  std::knuth_b rng_;
  LeaseRun result_;
  Micros last_operation_at_{0};
  bool measuring_ = false;  // since the injection of the fault
};

volatile std::sig_atomic_t stop_requested = 0;

}  // namespace

const std::vector<std::string>& lease_faults() {
  static const std::vector<std::string> all = {
      "killed", "leaves",  "stopped-short",  "stopped-lease", "stopped-long",  "cut",
      "cut-in", "cut-out", "voters-restart", "majority-gone", "minority-gone", "fifth-flaps",
      "loss",   "late",    "folders-kept",   "folders-lost",  "fails-returns"};
  return all;
}

std::string lease_fault(std::uint64_t seed, const std::string& only) {
  const auto& all = lease_faults();
  return only.empty() ? all[seed % all.size()] : only;
}

LeaseRun run_leases(std::uint64_t seed, const std::string& only, const std::vector<std::string>& program,
                    const std::string& actor, const std::string& folder) {
  const std::string fault = lease_fault(seed, only);
  Ledger ledger;
  LoopbackLeaseEnvironment environment(ledger, program, actor, folder, fault.starts_with("folders"), seed);
  return LeaseExperiment(seed, fault, ledger, environment).run_experiment();
}

LeaseRun run_leases_virtual(std::uint64_t seed, const std::string& only, unsigned holders) {
  Ledger ledger;
  VirtualLeaseEnvironment environment(ledger, holders, seed);
  return LeaseExperiment(seed, lease_fault(seed, only), ledger, environment).run_experiment();
}

int run_ledger_operations(const std::string& ledger, const std::string& holder) {
  const char* const token = std::getenv("FLINTWEIR_TOKEN");
  const auto ledger_address = parse_address(ledger);
  if (!token || !ledger_address) return 2;
  std::signal(SIGTERM, [](int) { stop_requested = 1; });
  struct ReplyReceiver final : net::DatagramEvents {
    void datagram_pending() override {
      char bytes[16];
      const net::ReceiveResult got = network.receive(bytes, sizeof bytes);
      if (got.status == net::IoStatus::done) reply = std::string(bytes, got.bytes);
      network.wait_datagram(*this);
      network.stop();
    }
    net::KernelNetwork network;
    std::string reply;
  } receiver;
  Address local = *ledger_address;
  local.port = 0;
  receiver.network.open_datagrams(local);
  receiver.network.wait_datagram(receiver);
  const auto send_and_wait = [&](const char* operation) {
    receiver.reply.clear();
    receiver.network.send_datagram(*ledger_address, std::string(operation) + ' ' + token + ' ' + holder +
                                                        ' ' + std::to_string(getpid()));
    for (const Micros until = receiver.network.now() + 5s;
         receiver.reply.empty() && receiver.network.now() < until;)
      receiver.network.run_for(until - receiver.network.now());
    return receiver.reply == "ok";
  };
  const auto wait_for = [&](Micros duration) {
    for (const Micros until = receiver.network.now() + duration; receiver.network.now() < until;)
      receiver.network.run_for(until - receiver.network.now());
  };
  while (!stop_requested) {
    if (!send_and_wait("b")) return 9;
    wait_for(kOperationDuration);
    if (!send_and_wait("e")) return 9;
    wait_for(kOperationDuration / 6);
  }
  return 0;
}

}  // namespace flintweir::lab
