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

// Divisors of a lease's length: the command gets SIGTERM when less than the first fraction is left and
// SIGKILL when less than the second is. The time left is checked at intervals of the third.
constexpr int kTermDivisor = 4, kKillDivisor = 8, kCheckDivisor = 32;

std::uint64_t random_seed() { return std::random_device()() | std::uint64_t{std::random_device()()} << 32; }

// A free port on the IP address of a node.
Address free_port_on(const Address& node) {
  Address out = node;
  out.port = 0;
  return out;
}

// Runs a command while holding a lease.
class LeasedCommand final : node::LeaseHolder::Events, net::TimerEvents {
 public:
  LeasedCommand(const setup::OperatorFile& operator_file, const std::string& lease, const Address& local,
                std::optional<Address> advertised, const std::vector<std::string>& command)
      : length_(operator_file.leases->length),
        command_(command),
        lease_(lease),
        holder_(network_, timers_, operator_file, lease,
                "hold-" + std::to_string(getpid()) + '/' + std::to_string(network_.now().count()), local,
                advertised, random_seed(), *this) {}

  int run() {
    holder_.start();
    network_.handle_signals({SIGTERM, SIGINT, SIGCHLD}, [this](int signal) {
      signal == SIGCHLD ? reap_command() : stop_command(signal);
    });
    network_.run();
    return status_;
  }

 private:
  void lease_acquired(Token token) override {
    // The previous command has been told to end but is still running: must not start a second one.
    if (child_ != 0) return holder_.release();
    net::log_line("lease: held name=%s token=%llu", lease_.c_str(),
                  static_cast<unsigned long long>(token.value));
    start_command(token);
    timers_.schedule(length_ / kCheckDivisor, *this, 0);
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

  // The command runs in a process group of its own. It is killed if this process ends in any way.
  void start_command(Token token) {
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
    std::vector<char*> arguments;
    for (const std::string& argument : command_) arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    execvp(arguments[0], arguments.data());
    std::fprintf(stderr, "flintweir: %s: %s\n", arguments[0], std::strerror(errno));
    _exit(127);
  }

  // Checks how much time is left. The command has to end before another process may acquire the lease.
  void timer_expired(std::uint64_t timer) override {
    if (child_ == 0) return;
    if (timer == kKillTimer) return void(kill(-child_, SIGKILL));
    const Micros left = holder_.time_left();
    if (child_ != 0 && left < length_ / kTermDivisor && !std::exchange(term_sent_, true)) {
      net::log_line("lease: not renewed name=%s left_ms=%lld; ending the command", lease_.c_str(),
                    static_cast<long long>(left.count() / 1000));
      lost_ = true;
      kill(-child_, SIGTERM);
    }
    if (child_ != 0 && left < length_ / kKillDivisor) kill(-child_, SIGKILL);
    timers_.schedule(length_ / kCheckDivisor, *this, 0);
  }

  void reap_command() {
    int status = 0;
    if (child_ == 0 || waitpid(child_, &status, WNOHANG) != child_) return;
    kill(-child_, SIGKILL);  // ends processes that the command has left in its group
    child_ = 0;
    const int command_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    net::log_line("lease: command ended status=%d", command_status);
    finish(lost_ ? kLostLease : command_status);
  }

  void stop_command(int signal) {
    if (child_ == 0) return finish(128 + signal);
    kill(-child_, signal);
    // Kills the command if it does not end in time.
    timers_.schedule(length_ / 2, *this, kKillTimer);
  }

  void finish(int status) {
    status_ = status;
    holder_.release();
    network_.stop();
  }

  static constexpr std::uint64_t kKillTimer = 1;
  net::KernelNetwork network_;
  net::TimerQueue timers_{network_};
  Micros length_;
  std::vector<std::string> command_;
  std::string lease_;
  pid_t child_ = 0;
  int status_ = 0;
  bool term_sent_ = false, lost_ = false;
  node::LeaseHolder holder_;
};

// Queries all voters for the leases they have granted.
class LeaseQuery final : net::DatagramEvents, leases::DatagramHandler {
 public:
  explicit LeaseQuery(const setup::OperatorFile& operator_file)
      : operator_file_(operator_file),
        voters_(network_, *operator_file.fleet, operator_file.leases->voters, random_seed()) {
    local_ = network_.open_datagrams(free_port_on(operator_file.fleet->address));
    network_.wait_datagram(*this);
  }
  // Returns whether a majority of the voters has responded.
  bool run() {
    for (int round = 0; round < 5 && 2 * complete_.size() <= operator_file_.leases->voters.size(); ++round) {
      if (!voters_.all_known()) voters_.query_next_node();
      wait(150ms);
      for (std::size_t v = 0; v < operator_file_.leases->voters.size(); ++v)
        if (!complete_.contains(v)) query(v, last_lease_[v]);
      wait(250ms);
    }
    return 2 * complete_.size() > operator_file_.leases->voters.size();
  }
  // The state of a lease, by the largest token that any voter has granted.
  struct Row {
    std::string holder;
    std::uint64_t token = 0;
    Micros left{0};
    unsigned waiting = 0, voters = 0;  // voters: that have granted this token
  };
  const std::map<std::string, Row>& rows() const { return rows_; }

 private:
  void wait(Micros duration) {
    for (const Micros until = network_.now() + duration;
         network_.now() < until && complete_.size() < operator_file_.leases->voters.size();)
      network_.run_for(until - network_.now());
  }
  void query(std::size_t voter, std::string_view after) {
    const Address* const address = voters_.find(voter);
    if (!address) return;
    leases::DatagramWriter writer(leases::DatagramWriter::Kind::requests, {0, "look", local_});
    writer.add(leases::Request{leases::RequestKind::query, after, {}, {}, 0us});
    network_.send_datagram(*address, writer.finish());
  }
  void datagram_pending() override {
    node::receive_datagrams(network_, *this, *this, voters_);
    network_.stop();
  }
  void on_lease_status(const leases::Sender& from, const leases::LeaseStatus& status) override {
    const auto voter = voters_.index_of(from.name);
    if (!voter || complete_.contains(*voter)) return;
    last_lease_[*voter] = status.lease;
    Row& row = rows_[std::string(status.lease)];
    row.waiting = std::max(row.waiting, status.waiting);
    if (status.token.value < row.token || status.holder.empty()) return;
    if (status.token.value > row.token) row.voters = 0;
    row.holder = status.holder, row.token = status.token.value,
    row.left = std::max(row.left, status.remaining);
    ++row.voters;
  }
  void on_status_page(const leases::Sender& from, bool last) override {
    const auto voter = voters_.index_of(from.name);
    if (!voter || complete_.contains(*voter)) return;
    last ? void(complete_.insert(*voter)) : query(*voter, last_lease_[*voter]);
  }

  const setup::OperatorFile& operator_file_;
  net::KernelNetwork network_;
  Address local_;
  node::VoterAddresses voters_;
  std::map<std::size_t, std::string> last_lease_;  // received from each voter
  std::set<std::size_t> complete_;                 // voters that have sent all their leases
  std::map<std::string, Row> rows_;
};

}  // namespace

int lease_hold(const setup::OperatorFile& operator_file, const std::string& lease, const std::string& local,
               const std::string& advertised, const std::vector<std::string>& command) {
  Address local_address = free_port_on(operator_file.fleet->address);
  if (!local.empty()) local_address = parse_address(local).value_or(local_address);
  LeasedCommand leased_command(operator_file, lease, local_address,
                               advertised.empty() ? std::nullopt : parse_address(advertised), command);
  return leased_command.run();
}

int lease_list(const setup::OperatorFile& operator_file, const std::string& lease, bool json) {
  LeaseQuery query(operator_file);
  if (!query.run()) {
    std::fprintf(stderr, "flintweir: no majority of the voters responds\n");
    return kNoAnswer;
  }
  std::string out;
  bool found = lease.empty();
  for (const auto& [name, row] : query.rows()) {
    if (!lease.empty() && name != lease) continue;
    found = true;
    const bool held = 2 * row.voters > operator_file.leases->voters.size();
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
