#include "lab/lease_rig.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <set>

#include "lab/bad_file.h"
#include "lab/rig_loopback.h"
#include "numbers.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr unsigned kVoters = 5, kHolders = 4;
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

// The thing that is acted on. It takes an act under a token that is not smaller than any before it.
class Ledger final : net::PostEvents {
 public:
  Ledger(net::KernelNetwork& beside, const Address& at) : network_(beside) {
    network_.open_post(at);
    network_.wait_post(*this);
  }
  ~Ledger() { network_.retire(); }

  struct Act {
    std::uint64_t token = 0;
    int as = -1;
    pid_t pid = 0;
    Micros begun{0};
  };
  const std::optional<Act>& open() const { return open_; }
  const Act& last() const { return last_; }
  std::uint64_t acts = 0, refused = 0;
  std::set<std::uint64_t> tokens;
  // Who may still try under an old token, or have been stopped in the middle of an act.
  std::set<int> stopped;
  std::function<void(const std::string&)> broken;
  std::function<void()> acted;

 private:
  void post_came() override {
    char bytes[128];
    for (;;) {
      const net::Received got = network_.receive(bytes, sizeof bytes - 1);
      if (got.how == net::Io::later) break;
      if (got.how != net::Io::done) continue;
      bytes[got.bytes] = 0;
      unsigned long long token = 0;
      int as = 0, pid = 0;
      char what = 0;
      if (std::sscanf(bytes, "%c %llu %d %d", &what, &token, &as, &pid) != 4) continue;
      network_.post(got.from,
                    (what == 'b' ? begin({token, as, pid, network_.now()}) : end(token, pid)) ? "ok" : "no");
    }
    network_.wait_post(*this);
  }
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

  net::KernelNetwork network_;
  std::optional<Act> open_;
  Act last_;
};

class LeaseRig {
 public:
  LeaseRig(std::uint64_t seed, const std::string& only, const std::vector<std::string>& program,
           std::string actor, const std::string& folder)
      : actor_(std::move(actor)),
        folder_(folder),
        stage_(program, folder, kVoters + kHolders, 300ms, seed),
        ledger_(stage_.network(), stage_.ledger_at()),
        chance_(static_cast<std::knuth_b::result_type>(mix(seed + 77) | 1)) {
    const auto& all = lease_troubles();
    out_.trouble = only.empty() ? all[seed % all.size()] : only;
    if (std::find(all.begin(), all.end(), out_.trouble) == all.end())
      throw BadFile("leases: there is no trouble '" + only + "'");
    ledger_.broken = [this](const std::string& what) {
      if (out_.broken.size() < 10) out_.broken.push_back(what);
    };
    ledger_.acted = [this] {
      const Micros now = stage_.now();
      if (measures_) out_.gap = std::max(out_.gap, seconds(now - acted_at_) * 1e3);
      acted_at_ = now;
    };
    std::string voters;
    for (unsigned v = 0; v < kVoters; ++v) voters += (v ? ", \"n" : "\"n") + std::to_string(v) + '"';
    section_ = "[leases]\nvoters = [" + voters + "]\nlength = \"2s\"\n";
    stage_.add_section(section_);
  }

  LeaseRun play() {
    for (unsigned v = 0; v < kVoters; ++v) start_voter(v);
    run(3s);
    for (unsigned h = 0; h < kHolders; ++h) hold(h);
    // Somebody acts before anything breaks.
    for (const Micros until = stage_.now() + 8s; ledger_.acts == 0 && stage_.now() < until;) run(50ms);
    if (ledger_.acts == 0) ledger_.broken("rule=lease-nobody: nobody has begun to act");
    run(600ms + Micros{static_cast<std::int64_t>(chance_() % 600'000)});
    measures_ = true;
    trouble(out_.trouble);
    const std::uint64_t before = ledger_.acts;
    run(kLength + 2s);
    if (ledger_.acts == before)
      ledger_.broken("rule=lease-nobody: nobody acts within a lease and 2 s of the trouble's end");
    out_.acts = ledger_.acts;
    out_.refused = ledger_.refused;
    logs();
    return std::move(out_);
  }

 private:
  void run(Micros in) { stage_.run_until(stage_.now() + in); }
  std::string promises_of(unsigned v) const { return folder_ + "/promises-" + std::to_string(v); }
  void start_voter(unsigned v) {
    if (out_.trouble.starts_with("folders")) {
      std::filesystem::create_directories(promises_of(v));
      stage_.add_section(section_ + "folder = \"" + promises_of(v) + "\"\n");
    }
    stage_.start({v, 0}, "n" + std::to_string(v), {{0, 0}, {1, 0}, {2, 0}});
  }
  void hold(unsigned h) {
    stage_.hold({kVoters + h, 0}, kLease,
                {actor_, "act", "--ledger", to_text(stage_.ledger_at()), "--as", std::to_string(h)}, kVoters);
  }
  unsigned holder() const { return static_cast<unsigned>(std::max(ledger_.last().as, 0)); }
  // Of all ways between the holder and the voters.
  void holders_ways(unsigned h, bool to, bool from, Post post) {
    for (unsigned v = 0; v < kVoters; ++v) {
      if (to) stage_.way(v, kVoters + h) = post;
      if (from) stage_.way(kVoters + h, v) = post;
    }
  }
  void all_ways(Post post) {
    for (unsigned a = 0; a < kVoters + kHolders; ++a)
      for (unsigned b = 0; b < kVoters + kHolders; ++b) stage_.way(a, b) = post;
  }

  void trouble(const std::string& kind) {
    const unsigned h = holder();
    Post cut;
    cut.cut = true;
    if (kind == "killed" || kind == "leaves") {
      kind == "killed" ? stage_.kill({kVoters + h, 0}) : stage_.leave({kVoters + h, 0});
      run(4s);
      hold(h);
    } else if (kind.starts_with("stopped")) {
      // The holder and what it runs, in the middle of whatever they do, for less or more than the lease.
      const Micros lasts = kind == "stopped-short" ? 800ms : kind == "stopped-lease" ? 2s : 5s;
      const pid_t command = ledger_.last().pid;
      ledger_.stopped.insert(static_cast<int>(h));
      stage_.freeze({kVoters + h, 0}, true);
      ::kill(command, SIGSTOP);
      run(lasts);
      ::kill(command, SIGCONT);
      stage_.freeze({kVoters + h, 0}, false);
    } else if (kind == "cut" || kind == "cut-in" || kind == "cut-out") {
      holders_ways(h, kind != "cut-out", kind != "cut-in", cut);
      run(6s);
      holders_ways(h, true, true, Post());
    } else if (kind == "voters-restart" || kind == "majority-gone") {
      const unsigned n = kind == "voters-restart" ? kVoters : kVoters / 2 + 1;
      for (unsigned v = 0; v < n; ++v) stage_.kill({v, 0});
      if (kind == "majority-gone") run(6s);
      for (unsigned v = 0; v < n; ++v) start_voter(v);
      run(kLength * 2);  // they answer nobody for the longest lease
    } else if (kind.starts_with("folders")) {
      // All at once, with what they had kept: nobody has to wait; or some with nothing any more.
      for (unsigned v = 0; v < kVoters; ++v) stage_.kill({v, 0});
      if (kind == "folders-lost")
        for (unsigned v = 0; v < kVoters; v += 2) std::filesystem::remove_all(promises_of(v));
      for (unsigned v = 0; v < kVoters; ++v) start_voter(v);
      run(kLength * 2);
    } else if (kind == "minority-gone") {
      for (unsigned v = 0; v < kVoters / 2; ++v) stage_.kill({v, 0});
      run(5s);
      for (unsigned v = 0; v < kVoters / 2; ++v) start_voter(v);
    } else if (kind == "fifth-flaps") {
      // Two voters and half of the holders on each side, the fifth to and fro each second.
      const auto side = [](unsigned n, bool left) {
        return n == kVoters - 1 ? left : n < kVoters ? n % 2 == 0 : (n - kVoters) % 2 == 0;
      };
      for (int i = 0; i < 8; ++i) {
        for (unsigned a = 0; a < kVoters + kHolders; ++a)
          for (unsigned b = 0; b < kVoters + kHolders; ++b)
            stage_.way(a, b) = side(a, i % 2 == 0) == side(b, i % 2 == 0) ? Post() : cut;
        run(1s);
      }
      all_ways(Post());
    } else if (kind == "loss" || kind == "late") {
      Post bad;
      if (kind == "loss") {
        bad.lost = 0.2;
      } else {
        bad.doubled = bad.old = 0.3;
        bad.old_by = 3s;
        bad.spread = 300ms;
      }
      all_ways(bad);
      run(8s);
      all_ways(Post());
    }
  }

  // What was acted under stands as held in just one holder's log.
  void logs() {
    std::map<std::uint64_t, std::set<unsigned>> held;
    for (unsigned h = 0; h < kHolders; ++h) {
      std::ifstream in(stage_.log_of({kVoters + h, 0}));
      for (std::string line; std::getline(in, line);) {
        const std::size_t at = line.find(" token=");
        if (line.find("lease: held") == line.npos || at == line.npos) continue;
        held[std::stoull(line.substr(at + 7))].insert(h);
      }
    }
    for (const auto& [token, who] : held)
      if (who.size() != 1) ledger_.broken("rule=lease-log: two processes log one token as held");
    for (const std::uint64_t token : ledger_.tokens)
      if (!held.contains(token))
        ledger_.broken("rule=lease-log: acts under a token that nobody logs as held");
  }

  std::string actor_, folder_, section_;
  RigLoopback stage_;
  Ledger ledger_;
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
      "loss",   "late",    "folders-kept",   "folders-lost"};
  return all;
}

LeaseRun run_leases(std::uint64_t seed, const std::string& only, const std::vector<std::string>& program,
                    const std::string& actor, const std::string& folder) {
  return LeaseRig(seed, only, program, actor, folder).play();
}

int act_on_ledger(const std::string& ledger, const std::string& as) {
  const char* const token = std::getenv("FLINTWEIR_TOKEN");
  const auto at = address_of(ledger);
  if (!token || !at) return 2;
  std::signal(SIGTERM, [](int) { told_to_end = 1; });
  struct Answer final : net::PostEvents {
    void post_came() override {
      char bytes[16];
      const net::Received got = network.receive(bytes, sizeof bytes);
      if (got.how == net::Io::done) said = std::string(bytes, got.bytes);
      network.wait_post(*this);
      network.stop();
    }
    net::KernelNetwork network;
    std::string said;
  } answer;
  Address here = *at;
  here.port = 0;
  answer.network.open_post(here);
  answer.network.wait_post(answer);
  const auto say = [&](const char* what) {
    answer.said.clear();
    answer.network.post(*at, std::string(what) + ' ' + token + ' ' + as + ' ' + std::to_string(getpid()));
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
