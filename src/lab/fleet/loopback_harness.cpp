#include "lab/fleet/loopback_harness.h"

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

constexpr std::uint16_t kHears = 7946, kRelayed = 7947, kServes = 8081, kObserverPort = 7948, kHosts = 9001,
                        kLedger = 9002;

// Each run has addresses of its own, so that two at a time don't meet, in one process or in two.
Address loopback(unsigned block, unsigned of, std::uint16_t port) {
  const auto pid = static_cast<unsigned>(getpid());
  const unsigned n = block * 256 + of;
  Address out;
  out.bytes = {127, static_cast<std::uint8_t>(64 + pid % 128),
               static_cast<std::uint8_t>((pid / 128 + n / 250) % 256),
               static_cast<std::uint8_t>(1 + n % 250)};
  out.port = port;
  return out;
}

}  // namespace

class LoopbackHarness::Relay final : net::DatagramEvents {
 public:
  Relay(LoopbackHarness& rig, NodeEndpoint of) : rig_(rig), of_(of), network_(rig.clock_) {
    network_.open_datagrams(rig.advertised_address(of));
    network_.wait_datagram(*this);
  }
  ~Relay() { network_.shut_down(); }

 private:
  void datagram_pending() override {
    char bytes[2048];
    for (;;) {
      const net::ReceiveResult got = network_.receive(bytes, sizeof bytes);
      if (got.status == net::IoStatus::would_block) break;
      const auto from = rig_.senders_.find(got.from);
      if (got.status != net::IoStatus::done || from == rig_.senders_.end()) continue;
      if (rig_.on_sent) rig_.on_sent(from->second, got.bytes);
      const DatagramFaults& way = rig_.link(from->second.node, of_.node);
      for (auto& [in, copy] : delivered_copies(way, rig_.chance_, {bytes, got.bytes})) {
        if (in == 0us)
          network_.send_datagram(rig_.listen_address(of_), copy);
        else
          rig_.schedule_at(rig_.now() + in, [this, text = std::move(copy)] {
            network_.send_datagram(rig_.listen_address(of_), text);
          });
      }
    }
    network_.wait_datagram(*this);
  }

  LoopbackHarness& rig_;
  NodeEndpoint of_;
  net::KernelNetwork network_;
};

// A host that takes whatever comes and is never busy, so that a session asks nothing but its node.
class LoopbackHarness::Host final : net::AcceptEvents {
 public:
  Host(LoopbackHarness& rig, const Address& at) : network_(rig.clock_) {
    network_.listen(at);
    network_.wait_accept(*this);
  }
  ~Host() { network_.shut_down(); }

 private:
  struct Call final : net::SocketEvents {
    Call(net::Network& of, net::SocketKey at) : network(of), socket(at) {
      network.set_events(socket, *this);
      network.wait_read(socket);
    }
    void connected(net::ConnectResult) override {}
    void writable(bool) override {}
    void readable(bool broken) override {
      char bytes[512];
      const net::IoResult got =
          broken ? net::IoResult{0, net::IoStatus::failed} : network.read(socket, bytes, sizeof bytes);
      if (got.bytes == 0 && got.status != net::IoStatus::would_block) {
        over = true;
        return network.close(socket, true);
      }
      in.append(bytes, got.bytes);
      for (std::size_t end; (end = in.find('\n')) != in.npos; in.erase(0, end + 1)) {
        const std::string_view line(in.data(), end);
        const std::string_view said[] = {line.starts_with("OPEN")    ? "UP r1\r\n"
                                         : line.starts_with("STATS") ? "PONG util=0.1,x0=0.1,inflight=1\r\n"
                                         : line.starts_with("PING")  ? "PONG\r\n"
                                                                     : ""};
        if (!said[0].empty()) network.write(socket, said);
      }
      network.wait_read(socket);
    }
    net::Network& network;
    net::SocketKey socket;
    std::string in;
    bool over = false;
  };
  void connection_pending() override {
    std::erase_if(calls_, [](const auto& c) { return c->over; });
    for (net::AcceptResult next; (next = network_.accept()).status == net::IoStatus::done;)
      calls_.push_back(std::make_unique<Call>(network_, next.socket));
    network_.wait_accept(*this);
  }

  net::KernelNetwork network_;
  std::vector<std::unique_ptr<Call>> calls_;
};

// A client of one node: a session to the host and its end, within a time that a busy machine keeps. It comes
// again where it hears that it may.
class LoopbackHarness::Knock final : net::SocketEvents {
 public:
  Knock(LoopbackHarness& rig, const Address& at, std::function<void(bool)> answered)
      : rig_(rig), network_(rig.clock_), at_(at), answered_(std::move(answered)) {
    begin();
    rig.schedule_at(rig.now() + 5s, [this] { end(false); });
  }
  bool over() const { return over_; }

 private:
  void begin() { socket_ = network_.connect(at_, *this); }
  void connected(net::ConnectResult result) override {
    if (result != net::ConnectResult::established) return end(false);
    // A new one at each try: that of a session just refused may still be in use.
    const std::string id = std::to_string(++rig_.sessions_);
    const std::string text = "OPEN " + id + " k" + id + " c=chat,d=2000\r\n";
    const std::string_view parts[] = {text};
    network_.write(socket_, parts);
    network_.wait_read(socket_);
  }
  void readable(bool broken) override {
    char bytes[64];
    const net::IoResult got =
        broken ? net::IoResult{0, net::IoStatus::failed} : network_.read(socket_, bytes, sizeof bytes);
    const std::string_view said(bytes, got.bytes);
    if (!said.starts_with("BUSY")) return end(said.starts_with("UP "));
    network_.close(std::exchange(socket_, {}), true);
    rig_.schedule_at(rig_.now() + 200ms, [this] {
      if (!over_) begin();
    });
  }
  void writable(bool) override {}
  void end(bool well) {
    if (std::exchange(over_, true)) return;
    network_.close(socket_, true);
    answered_(well);
  }

  LoopbackHarness& rig_;
  net::KernelNetwork network_;
  Address at_;
  net::SocketKey socket_;
  std::function<void(bool)> answered_;
  bool over_ = false;
};

LoopbackHarness::LoopbackHarness(std::vector<std::string> program, std::string folder, unsigned nodes,
                                 Micros interval, std::uint64_t seed)
    : block_(runs++),
      nodes_(nodes),
      interval_(interval),
      program_(std::move(program)),
      folder_(std::move(folder)),
      event_queue_(clock_.now()),
      chance_(static_cast<std::knuth_b::result_type>(seed | 1)),
      links_(std::size_t{nodes} * nodes) {
  std::signal(SIGPIPE, SIG_IGN);
  host_ = std::make_unique<Host>(*this, loopback(block_, 0, kHosts));
}

LoopbackHarness::~LoopbackHarness() = default;

Address LoopbackHarness::listen_address(NodeEndpoint at) const {
  return loopback(block_, 1 + at.address * nodes_ + at.node, kHears);
}
Address LoopbackHarness::advertised_address(NodeEndpoint at) const {
  return loopback(block_, 1 + at.address * nodes_ + at.node, kRelayed);
}
Address LoopbackHarness::client_address(NodeEndpoint at) const {
  return loopback(block_, 1 + at.address * nodes_ + at.node, kServes);
}
Address LoopbackHarness::ledger_address() const { return loopback(block_, 0, kLedger); }
Address LoopbackHarness::observer_address() const { return loopback(block_, 0, kObserverPort); }

void LoopbackHarness::run_until(Micros end) {
  while (now() < end) {
    event_queue_.run_until(now());
    clock_.run_for(std::min<Micros>(2ms, std::max(end - now(), 0us)));
  }
  event_queue_.run_until(now());
}

std::string LoopbackHarness::file(NodeEndpoint at, const char* ending) const {
  return folder_ + "/n" + std::to_string(at.node) + "-" + std::to_string(at.address) + ending;
}

void LoopbackHarness::write_operator(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) const {
  std::ofstream out(file(at, ".toml"), std::ios::trunc);
  out << "[fleet]\nname = \"rig\"\naddress = \"" << to_text(listen_address(at)) << "\"\ntold = \""
      << to_text(advertised_address(at)) << "\"\ninterval = \"" << interval_.count() << "us\"\nseeds = [";
  for (const NodeEndpoint& s : seeds)
    out << (s == seeds.front() ? "" : ", ") << '"' << to_text(advertised_address(s)) << '"';
  out << "]\n" << more_;
}

void LoopbackHarness::start_lease_holder(NodeEndpoint at, const std::string& lease,
                                         const std::vector<std::string>& command, unsigned nodes) {
  if (!relays_.contains(at)) relays_[at] = std::make_unique<Relay>(*this, at);
  senders_[listen_address(at)] = at;
  {
    // Views are asked for past the relays; what is said of leases goes through them.
    std::ofstream out(file(at, ".toml"), std::ios::trunc);
    out << "[fleet]\nname = \"rig\"\naddress = \"" << to_text(listen_address({0, 0})) << "\"\nseeds = [";
    for (unsigned n = 0; n < nodes; ++n)
      out << (n ? ", " : "") << '"' << to_text(listen_address({n, 0})) << '"';
    out << "]\n" << more_;
  }
  std::vector<std::string> words = program_;
  words.insert(words.end(), {"lease", "hold", lease, "--operator", file(at, ".toml"), "--from",
                             to_text(listen_address(at)), "--told", to_text(advertised_address(at)), "--"});
  words.insert(words.end(), command.begin(), command.end());
  processes_[at] = std::make_unique<ChildProcess>(std::move(words), file(at, ".log"));
}

void LoopbackHarness::start(NodeEndpoint at, const std::string& name,
                            const std::vector<NodeEndpoint>& seeds) {
  if (!relays_.contains(at)) relays_[at] = std::make_unique<Relay>(*this, at);
  senders_[listen_address(at)] = at;
  write_operator(at, seeds);
  std::ofstream(file(at, ".json"), std::ios::trunc)
      << R"({"name":")" << name << R"(","listen":")" << to_text(client_address(at))
      << R"(","discovery":"127.0.0.1:9","seed":")" << std::hex << chance_() << std::dec
      << R"(","known":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":")"
      << to_text(loopback(block_, 0, kHosts))
      << R"(","az":"a","pod_group":1,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}]})"
      << R"(,"limits":{"memory_mb":64,"sockets":256},"settings":{"balancers":)" << nodes_
      << R"(,"myZone":0,"failureDomains":["a"],"discovery":"on_request","listeners":[{"name":"chat",)"
      << R"("handshakeTarget":500000,"dialTimeout":2000000,"effect":"repeatable","group":"all"})"
      // As in virtual time: a change may fit some nodes only.
      << (at.node % 2 ? ""
                      : R"(,{"name":"even","handshakeTarget":500000,"dialTimeout":2000000,"effect":"once"})")
      << "],"
      << R"("ceilings":{"maxDials":3,"probes":true},"rules":{"askEvery":10000000,"cold":7200000,"coldShare":0.3,)"
      << R"("overloadFactor":3.0,"tipAfter":1500000},"prices":{"probe":0.002},"reporting":{"fields":["util"]}}})";
  std::vector<std::string> words = program_;
  words.insert(words.end(), {"serve", "--config", file(at, ".json"), "--operator", file(at, ".toml")});
  processes_[at] = std::make_unique<ChildProcess>(std::move(words), file(at, ".log"));
}

void LoopbackHarness::kill(NodeEndpoint at) { processes_.erase(at); }

void LoopbackHarness::signal(NodeEndpoint at, int number) {
  if (const auto it = processes_.find(at); it != processes_.end()) it->second->signal(number);
}

void LoopbackHarness::leave(NodeEndpoint at) { signal(at, SIGTERM); }
void LoopbackHarness::freeze(NodeEndpoint at, bool on) { signal(at, on ? SIGSTOP : SIGCONT); }

void LoopbackHarness::reload(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) {
  if (!running(at)) return;
  write_operator(at, seeds);
  signal(at, SIGHUP);
}

bool LoopbackHarness::running(NodeEndpoint at) {
  const auto it = processes_.find(at);
  return it != processes_.end() && it->second->running();
}

void LoopbackHarness::check_serving(NodeEndpoint at, std::function<void(bool)> answered) {
  knocks_.push_back(std::make_unique<Knock>(*this, client_address(at), std::move(answered)));
}

void LoopbackHarness::read_logs(const std::function<void(NodeEndpoint, std::string_view)>& line) {
  for (const auto& [at, process] : processes_) {
    std::ifstream in(file(at, ".log"));
    for (std::string text; std::getline(in, text);) line(at, text);
  }
}

}  // namespace flintweir::lab
