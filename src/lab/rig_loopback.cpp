#include "lab/rig_loopback.h"

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <stdexcept>

#include "members/datagram.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

std::atomic<unsigned> runs{0};

constexpr std::uint16_t kHears = 7946, kRelayed = 7947, kServes = 8081, kOnlooks = 7948;

// Each run has addresses of its own, so that two at a time don't meet, in one process or in two.
Address loopback(unsigned block, unsigned of, std::uint16_t port) {
  const auto pid = static_cast<unsigned>(getpid());
  const unsigned n = block * 128 + of;
  Address out;
  out.bytes = {127, static_cast<std::uint8_t>(64 + pid % 128),
               static_cast<std::uint8_t>((pid / 128 + n / 250) % 256),
               static_cast<std::uint8_t>(1 + n % 250)};
  out.port = port;
  return out;
}

}  // namespace

class RigLoopback::Relay final : net::PostEvents {
 public:
  Relay(RigLoopback& rig, RigPlace of) : rig_(rig), of_(of), network_(rig.clock_) {
    network_.open_post(rig.told_at(of));
    network_.wait_post(*this);
  }
  ~Relay() { network_.retire(); }

 private:
  void post_came() override {
    char bytes[2048];
    for (;;) {
      const net::Received got = network_.receive(bytes, sizeof bytes);
      if (got.how == net::Io::later) break;
      const auto from = rig_.senders_.find(got.from);
      if (got.how != net::Io::done || from == rig_.senders_.end()) continue;
      if (rig_.on_sent) rig_.on_sent(from->second, got.bytes);
      const Post& way = rig_.way(from->second.node, of_.node);
      for (auto& [in, copy] : carried(way, rig_.chance_, {bytes, got.bytes})) {
        if (in == 0us)
          network_.post(rig_.hears_at(of_), copy);
        else
          rig_.at(rig_.now() + in,
                  [this, text = std::move(copy)] { network_.post(rig_.hears_at(of_), text); });
      }
    }
    network_.wait_post(*this);
  }

  RigLoopback& rig_;
  RigPlace of_;
  net::KernelNetwork network_;
};

// A front's check of one node: PING, and PONG within a time that a busy machine keeps.
class RigLoopback::Knock final : net::SocketEvents {
 public:
  Knock(RigLoopback& rig, const Address& at, std::function<void(bool)> answered)
      : network_(rig.clock_), answered_(std::move(answered)) {
    socket_ = network_.connect(at, *this);
    rig.at(rig.now() + 5s, [this] { end(false); });
  }
  bool over() const { return over_; }

 private:
  void connected(bool failed) override {
    if (failed) return end(false);
    const std::string_view ping[] = {"PING\r\n"};
    network_.write(socket_, ping);
    network_.wait_read(socket_);
  }
  void readable(bool broken) override {
    char bytes[64];
    const net::Passed got =
        broken ? net::Passed{0, net::Io::broken} : network_.read(socket_, bytes, sizeof bytes);
    end(std::string_view(bytes, got.bytes).starts_with("PONG"));
  }
  void writable(bool) override {}
  void end(bool well) {
    if (std::exchange(over_, true)) return;
    network_.close(socket_, true);
    answered_(well);
  }

  net::KernelNetwork network_;
  net::SocketKey socket_;
  std::function<void(bool)> answered_;
  bool over_ = false;
};

RigLoopback::RigLoopback(std::vector<std::string> program, std::string folder, unsigned nodes,
                         Micros interval, std::uint64_t seed)
    : block_(runs++),
      nodes_(nodes),
      interval_(interval),
      program_(std::move(program)),
      folder_(std::move(folder)),
      timeline_(clock_.now()),
      chance_(static_cast<std::knuth_b::result_type>(seed | 1)),
      ways_(std::size_t{nodes} * nodes) {
  std::signal(SIGPIPE, SIG_IGN);
}

RigLoopback::~RigLoopback() = default;

Address RigLoopback::hears_at(RigPlace at) const {
  return loopback(block_, 1 + at.address * nodes_ + at.node, kHears);
}
Address RigLoopback::told_at(RigPlace at) const {
  return loopback(block_, 1 + at.address * nodes_ + at.node, kRelayed);
}
Address RigLoopback::serves_at(RigPlace at) const {
  return loopback(block_, 1 + at.address * nodes_ + at.node, kServes);
}
Address RigLoopback::onlooker_at() const { return loopback(block_, 0, kOnlooks); }

void RigLoopback::run_until(Micros end) {
  while (now() < end) {
    timeline_.run_until(now());
    clock_.run_for(std::min<Micros>(2ms, std::max(end - now(), 0us)));
  }
  timeline_.run_until(now());
}

std::string RigLoopback::file(RigPlace at, const char* ending) const {
  return folder_ + "/n" + std::to_string(at.node) + "-" + std::to_string(at.address) + ending;
}

void RigLoopback::write_operator(RigPlace at, const std::vector<RigPlace>& seeds) const {
  std::ofstream out(file(at, ".toml"), std::ios::trunc);
  out << "[fleet]\nname = \"rig\"\naddress = \"" << to_text(hears_at(at)) << "\"\ntold = \""
      << to_text(told_at(at)) << "\"\ninterval = \"" << interval_.count() << "us\"\nseeds = [";
  for (const RigPlace& s : seeds)
    out << (s == seeds.front() ? "" : ", ") << '"' << to_text(told_at(s)) << '"';
  out << "]\n";
}

void RigLoopback::start(RigPlace at, const std::string& name, const std::vector<RigPlace>& seeds) {
  if (!relays_.contains(at)) relays_[at] = std::make_unique<Relay>(*this, at);
  senders_[hears_at(at)] = at;
  write_operator(at, seeds);
  std::ofstream(file(at, ".json"), std::ios::trunc)
      << R"({"name":")" << name << R"(","listen":")" << to_text(serves_at(at))
      << R"(","discovery":"127.0.0.1:9","seed":")" << std::hex << chance_() << std::dec
      << R"(","limits":{"memory_mb":64,"sockets":256},"settings":{"balancers":)" << nodes_
      << R"(,"myZone":0,"failureDomains":["a"],"discovery":"on_request","listeners":[{"name":"chat",)"
      << R"("handshakeTarget":500000,"dialTimeout":2000000,"effect":"repeatable","group":"all"}],)"
      << R"("ceilings":{"maxDials":3,"probes":true},"rules":{"askEvery":10000000,"cold":7200000,"coldShare":0.3,)"
      << R"("overloadFactor":3.0,"tipAfter":1500000},"prices":{"probe":0.002},"reporting":{"fields":["util"]}}})";
  std::vector<std::string> words = program_;
  words.insert(words.end(), {"serve", "--config", file(at, ".json"), "--operator", file(at, ".toml")});
  processes_[at] = std::make_unique<Child>(std::move(words), file(at, ".log"));
}

void RigLoopback::kill(RigPlace at) { processes_.erase(at); }

void RigLoopback::signal(RigPlace at, int number) {
  if (const auto it = processes_.find(at); it != processes_.end()) it->second->signal(number);
}

void RigLoopback::leave(RigPlace at) { signal(at, SIGTERM); }
void RigLoopback::freeze(RigPlace at, bool on) { signal(at, on ? SIGSTOP : SIGCONT); }

void RigLoopback::reload(RigPlace at, const std::vector<RigPlace>& seeds) {
  if (!running(at)) return;
  write_operator(at, seeds);
  signal(at, SIGHUP);
}

bool RigLoopback::running(RigPlace at) {
  const auto it = processes_.find(at);
  return it != processes_.end() && it->second->running();
}

void RigLoopback::knock(RigPlace at, std::function<void(bool)> answered) {
  knocks_.push_back(std::make_unique<Knock>(*this, serves_at(at), std::move(answered)));
}

}  // namespace flintweir::lab
