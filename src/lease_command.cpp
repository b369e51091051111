#include "lease_command.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "net/kernel_network.h"
#include "net/log.h"
#include "node/lease_holder.h"

namespace flintweir {
namespace {

using namespace std::chrono_literals;
using leases::Token;

// Shares of a lease's length that are left when the command is told to end, and is ended.
constexpr int kTerm = 4, kKill = 8, kLooks = 32;

std::uint64_t random_seed() { return std::random_device()() | std::uint64_t{std::random_device()()} << 32; }

Address beside(const Address& node) {
  Address out = node;
  out.port = 0;
  return out;
}

class Hold final : node::LeaseHolder::Events, net::TimerEvents {
 public:
  Hold(const setup::OperatorFile& own, const std::string& lease, const Address& from,
       std::optional<Address> told, const std::vector<std::string>& command)
      : length_(own.leases->length),
        command_(command),
        lease_(lease),
        holder_(network_, timers_, own, lease,
                "hold-" + std::to_string(getpid()) + '/' + std::to_string(network_.now().count()), from, told,
                random_seed(), *this) {}

  int run() {
    holder_.start();
    network_.handle_signals({SIGTERM, SIGINT, SIGCHLD},
                            [this](int number) { number == SIGCHLD ? reap() : end_by(number); });
    network_.run();
    return status_;
  }

 private:
  void lease_acquired(Token token) override {
    // Guards against a second command beside one that was told to end and has not yet.
    if (child_ != 0) return holder_.release();
    net::log_line("lease: held name=%s token=%llu", lease_.c_str(),
                  static_cast<unsigned long long>(token.value));
    start(token);
    timers_.schedule(length_ / kLooks, *this, 0);
  }
  void lease_lost(Token token, std::string_view why) override {
    net::log_line("lease: lost name=%s token=%llu why=\"%.*s\"", lease_.c_str(),
                  static_cast<unsigned long long>(token.value), static_cast<int>(why.size()), why.data());
    if (child_ == 0) return;
    lost_ = true;
    kill(-child_, SIGKILL);
  }
  void lease_awaited(std::string_view why) override {
    net::log_line("lease: waits name=%s why=\"%.*s\"", lease_.c_str(), static_cast<int>(why.size()),
                  why.data());
  }

  // The command has a group of its own, and ends with this process, however that ends.
  void start(Token token) {
    const pid_t parent = getpid();
    child_ = fork();
    if (child_ < 0) {
      net::log_line("lease: fork: %s", std::strerror(errno));
      child_ = 0;
      return finish(1);
    }
    if (child_ > 0) return void(setpgid(child_, child_));
    setpgid(0, 0);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    setenv("FLINTWEIR_TOKEN", std::to_string(token.value).c_str(), 1);
    setenv("FLINTWEIR_LEASE", lease_.c_str(), 1);
    std::vector<char*> words;
    for (const std::string& w : command_) words.push_back(const_cast<char*>(w.c_str()));
    words.push_back(nullptr);
    execvp(words[0], words.data());
    std::fprintf(stderr, "flintweir: %s: %s\n", words[0], std::strerror(errno));
    _exit(127);
  }

  // Looks how much is left: the command has ended before another may begin.
  void timer_expired(std::uint64_t what) override {
    if (child_ == 0) return;
    if (what == kEndsNow) return void(kill(-child_, SIGKILL));
    const Micros left = holder_.time_left();
    if (child_ != 0 && left < length_ / kTerm && !std::exchange(told_to_end_, true)) {
      net::log_line("lease: not renewed name=%s left_ms=%lld; ending the command", lease_.c_str(),
                    static_cast<long long>(left.count() / 1000));
      lost_ = true;
      kill(-child_, SIGTERM);
    }
    if (child_ != 0 && left < length_ / kKill) kill(-child_, SIGKILL);
    timers_.schedule(length_ / kLooks, *this, 0);
  }

  void reap() {
    int status = 0;
    if (child_ == 0 || waitpid(child_, &status, WNOHANG) != child_) return;
    kill(-child_, SIGKILL);  // what it has left behind acts no more
    child_ = 0;
    const int own = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    net::log_line("lease: command ended status=%d", own);
    finish(lost_ ? kLostLease : own);
  }

  void end_by(int number) {
    if (child_ == 0) return finish(128 + number);
    kill(-child_, number);
    // Whoever does not end within that is ended.
    timers_.schedule(length_ / 2, *this, kEndsNow);
  }

  void finish(int status) {
    status_ = status;
    holder_.release();
    network_.stop();
  }

  static constexpr std::uint64_t kEndsNow = 1;
  net::KernelNetwork network_;
  net::TimerQueue timers_{network_};
  Micros length_;
  std::vector<std::string> command_;
  std::string lease_;
  pid_t child_ = 0;
  int status_ = 0;
  bool told_to_end_ = false, lost_ = false;
  node::LeaseHolder holder_;
};

// Asks all voters for what they have granted.
class Look final : net::DatagramEvents, leases::DatagramHandler {
 public:
  explicit Look(const setup::OperatorFile& own)
      : own_(own), places_(network_, *own.fleet, own.leases->voters, random_seed()) {
    here_ = network_.open_datagrams(beside(own.fleet->address));
    network_.wait_datagram(*this);
  }
  // Whether a majority has answered.
  bool run() {
    for (int round = 0; round < 5 && 2 * whole_.size() <= own_.leases->voters.size(); ++round) {
      if (!places_.all()) places_.ask();
      wait(150ms);
      for (std::size_t v = 0; v < own_.leases->voters.size(); ++v)
        if (!whole_.contains(v)) ask(v, after_[v]);
      wait(250ms);
    }
    return 2 * whole_.size() > own_.leases->voters.size();
  }
  struct Row {
    std::string holder;
    std::uint64_t token = 0;
    Micros left{0};
    unsigned waiting = 0, voters = 0;
  };
  const std::map<std::string, Row>& rows() const { return rows_; }

 private:
  void wait(Micros in) {
    for (const Micros until = network_.now() + in;
         network_.now() < until && whole_.size() < own_.leases->voters.size();)
      network_.run_for(until - network_.now());
  }
  void ask(std::size_t voter, std::string_view after) {
    const Address* const at = places_.of(voter);
    if (!at) return;
    leases::DatagramWriter writer(leases::DatagramWriter::Kind::requests, {0, "look", here_});
    writer.add(leases::Request{leases::RequestKind::query, after, {}, {}, 0us});
    network_.send_datagram(*at, writer.finish());
  }
  void datagram_pending() override {
    node::receive_datagrams(network_, *this, *this, places_);
    network_.stop();
  }
  void on_lease_status(const leases::Sender& from, const leases::LeaseStatus& s) override {
    const auto voter = places_.named(from.name);
    if (!voter || whole_.contains(*voter)) return;
    after_[*voter] = s.lease;
    Row& row = rows_[std::string(s.lease)];
    row.waiting = std::max(row.waiting, s.waiting);
    if (s.token.value < row.token || s.holder.empty()) return;
    if (s.token.value > row.token) row.voters = 0;
    row.holder = s.holder, row.token = s.token.value, row.left = std::max(row.left, s.remaining);
    ++row.voters;
  }
  void on_status_page(const leases::Sender& from, bool last) override {
    const auto voter = places_.named(from.name);
    if (!voter || whole_.contains(*voter)) return;
    last ? void(whole_.insert(*voter)) : ask(*voter, after_[*voter]);
  }

  const setup::OperatorFile& own_;
  net::KernelNetwork network_;
  Address here_;
  node::VoterAddresses places_;
  std::map<std::size_t, std::string> after_;
  std::set<std::size_t> whole_;
  std::map<std::string, Row> rows_;
};

}  // namespace

int lease_hold(const setup::OperatorFile& own, const std::string& lease, const std::string& from,
               const std::string& told, const std::vector<std::string>& command) {
  Address here = beside(own.fleet->address);
  if (!from.empty()) here = parse_address(from).value_or(here);
  Hold hold(own, lease, here, told.empty() ? std::nullopt : parse_address(told), command);
  return hold.run();
}

int lease_list(const setup::OperatorFile& own, const std::string& lease, bool json) {
  Look look(own);
  if (!look.run()) {
    std::fprintf(stderr, "flintweir: no majority of the voters answers\n");
    return kNoAnswer;
  }
  std::string out;
  bool found = lease.empty();
  for (const auto& [name, row] : look.rows()) {
    if (!lease.empty() && name != lease) continue;
    found = true;
    const bool held = 2 * row.voters > own.leases->voters.size();
    char text[400];
    std::snprintf(text, sizeof text,
                  json
                      ? "%s{\"name\":\"%s\",\"holder\":\"%s\",\"token\":%llu,\"left_ms\":%lld,\"waiting\":%u}"
                      : "%s%-24s %-32s %20llu %8lldms %3u\n",
                  json && !out.empty() ? "," : "", name.c_str(),
                  held   ? row.holder.c_str()
                  : json ? ""
                         : "-",
                  static_cast<unsigned long long>(row.token),
                  static_cast<long long>(held ? row.left.count() / 1000 : 0), row.waiting);
    out += text;
  }
  if (json)
    std::printf("{\"leases\":[%s]}\n", out.c_str());
  else
    std::printf("%-24s %-32s %20s %10s %s\n%s", "NAME", "HOLDER", "TOKEN", "LEFT", "WAIT", out.c_str());
  return found ? 0 : 1;
}

}  // namespace flintweir
