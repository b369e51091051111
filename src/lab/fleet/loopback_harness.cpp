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

std::atomic<unsigned> run_count{0};  // harnesses created by this process

constexpr std::uint16_t kListenPort = 7946, kAdvertisedPort = 7947, kClientPort = 8081, kObserverPort = 7948,
                        kHostPort = 9001, kLedgerPort = 9002;

// Where the search for a free block begins: at a different one for each harness, so that it seldom meets one
// that is taken.
unsigned first_block() {
  constexpr unsigned kBlocksPerProcess = 16;
  return static_cast<unsigned>(getpid()) * kBlocksPerProcess + run_count++;
}

}  // namespace

// Receives the datagrams sent to the advertised address of a process, applies the faults of the link that
// they came over, and forwards them to the process.
class LoopbackHarness::Relay final : net::DatagramEvents {
 public:
  Relay(LoopbackHarness& harness, NodeEndpoint target)
      : harness_(harness), target_(target), network_(harness.network_) {
    network_.open_datagrams(harness.advertised_address(target));
    network_.wait_datagram(*this);
  }
  ~Relay() { network_.shut_down(); }

 private:
  void datagram_pending() override {
    char bytes[2048];
    for (;;) {
      const net::ReceiveResult received = network_.receive(bytes, sizeof bytes);
      if (received.status == net::IoStatus::would_block) break;
      const auto from = harness_.endpoints_by_address_.find(received.from);
      if (received.status != net::IoStatus::done || from == harness_.endpoints_by_address_.end()) continue;
      if (harness_.on_sent) harness_.on_sent(from->second, received.bytes);
      const DatagramFaults& link = harness_.link(from->second.node, target_.node);
      for (auto& [delay, copy] : delivered_copies(link, harness_.random_, {bytes, received.bytes})) {
        if (delay == 0us)
          network_.send_datagram(harness_.listen_address(target_), copy);
        else
          harness_.schedule_at(harness_.now() + delay, [this, text = std::move(copy)] {
            network_.send_datagram(harness_.listen_address(target_), text);
          });
      }
    }
    network_.wait_datagram(*this);
  }

  LoopbackHarness& harness_;
  NodeEndpoint target_;
  net::KernelNetwork network_;
};

// A host that accepts every session and is never busy, so that the outcome of a session depends on its node
// alone.
class LoopbackHarness::Host final : net::AcceptEvents {
 public:
  Host(LoopbackHarness& harness, const Address& at) : network_(harness.network_) {
    network_.listen(at);
    network_.wait_accept(*this);
  }
  ~Host() { network_.shut_down(); }

 private:
  struct Connection final : net::SocketEvents {
    Connection(net::Network& network, net::SocketKey socket) : network(network), socket(socket) {
      network.set_events(socket, *this);
      network.wait_read(socket);
    }
    void connected(net::ConnectResult) override {}
    void writable(bool) override {}
    void readable(bool broken) override {
      char bytes[512];
      const net::IoResult result =
          broken ? net::IoResult{0, net::IoStatus::failed} : network.read(socket, bytes, sizeof bytes);
      if (result.bytes == 0 && result.status != net::IoStatus::would_block) {
        closed = true;
        return network.close(socket, true);
      }
      input.append(bytes, result.bytes);
      for (std::size_t end; (end = input.find('\n')) != input.npos; input.erase(0, end + 1)) {
        const std::string_view line(input.data(), end);
        const std::string_view reply[] = {line.starts_with("OPEN")    ? "UP r1\r\n"
                                          : line.starts_with("STATS") ? "PONG util=0.1,x0=0.1,inflight=1\r\n"
                                          : line.starts_with("PING")  ? "PONG\r\n"
                                                                      : ""};
        if (!reply[0].empty()) network.write(socket, reply);
      }
      network.wait_read(socket);
    }
    net::Network& network;
    net::SocketKey socket;
    std::string input;
    bool closed = false;
  };
  void connection_pending() override {
    std::erase_if(connections_, [](const auto& connection) { return connection->closed; });
    for (net::AcceptResult next; (next = network_.accept()).status == net::IoStatus::done;)
      connections_.push_back(std::make_unique<Connection>(network_, next.socket));
    network_.wait_accept(*this);
  }

  net::KernelNetwork network_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

// A client that opens one session through a node to the host and closes it. Succeeds if the session is
// accepted within 5 s, a limit that a busy machine keeps. A session refused with BUSY is retried after
// 200 ms.
class LoopbackHarness::Client final : net::SocketEvents {
 public:
  Client(LoopbackHarness& harness, const Address& at, std::function<void(bool)> on_result)
      : harness_(harness), network_(harness.network_), at_(at), on_result_(std::move(on_result)) {
    connect();
    harness.schedule_at(harness.now() + 5s, [this] { finish(false); });
  }
  bool closed() const { return done_; }

 private:
  void connect() { socket_ = network_.connect(at_, *this); }
  void connected(net::ConnectResult result) override {
    if (result != net::ConnectResult::established) return finish(false);
    // Each attempt has a new identifier, since that of a session just refused may still be in use.
    const std::string id = std::to_string(++harness_.session_count_);
    const std::string text = "OPEN " + id + " k" + id + " c=chat,d=2000\r\n";
    const std::string_view parts[] = {text};
    network_.write(socket_, parts);
    network_.wait_read(socket_);
  }
  void readable(bool broken) override {
    char bytes[64];
    const net::IoResult result =
        broken ? net::IoResult{0, net::IoStatus::failed} : network_.read(socket_, bytes, sizeof bytes);
    const std::string_view reply(bytes, result.bytes);
    if (!reply.starts_with("BUSY")) return finish(reply.starts_with("UP "));
    network_.close(std::exchange(socket_, {}), true);
    harness_.schedule_at(harness_.now() + 200ms, [this] {
      if (!done_) connect();
    });
  }
  void writable(bool) override {}
  void finish(bool serving) {
    if (std::exchange(done_, true)) return;
    network_.close(socket_, true);
    on_result_(serving);
  }

  LoopbackHarness& harness_;
  net::KernelNetwork network_;
  Address at_;
  net::SocketKey socket_;
  std::function<void(bool)> on_result_;
  bool done_ = false;
};

LoopbackHarness::LoopbackHarness(std::vector<std::string> program, std::string folder, unsigned nodes,
                                 Micros probe_interval, std::uint64_t seed)
    : node_count_(nodes),
      probe_interval_(probe_interval),
      program_(std::move(program)),
      folder_(std::move(folder)),
      block_(network_, first_block()),
      event_queue_(network_.now()),
      random_(static_cast<std::knuth_b::result_type>(seed | 1)),
      links_(std::size_t{nodes} * nodes) {
  std::signal(SIGPIPE, SIG_IGN);
  host_ = std::make_unique<Host>(*this, block_.address(0, kHostPort));
}

LoopbackHarness::~LoopbackHarness() = default;

Address LoopbackHarness::listen_address(NodeEndpoint at) const {
  return block_.address(1 + at.address * node_count_ + at.node, kListenPort);
}
Address LoopbackHarness::advertised_address(NodeEndpoint at) const {
  return block_.address(1 + at.address * node_count_ + at.node, kAdvertisedPort);
}
Address LoopbackHarness::client_address(NodeEndpoint at) const {
  return block_.address(1 + at.address * node_count_ + at.node, kClientPort);
}
Address LoopbackHarness::ledger_address() const { return block_.address(0, kLedgerPort); }
Address LoopbackHarness::observer_address() const { return block_.address(0, kObserverPort); }

void LoopbackHarness::run_until(Micros end) {
  while (now() < end) {
    event_queue_.run_until(now());
    network_.run_for(std::min<Micros>(2ms, std::max(end - now(), 0us)));
  }
  event_queue_.run_until(now());
}

std::string LoopbackHarness::path(NodeEndpoint at, const char* extension) const {
  return folder_ + "/n" + std::to_string(at.node) + "-" + std::to_string(at.address) + extension;
}

void LoopbackHarness::write_operator_file(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) const {
  std::ofstream out(path(at, ".toml"), std::ios::trunc);
  out << "[fleet]\nname = \"rig\"\naddress = \"" << to_text(listen_address(at)) << "\"\ntold = \""
      << to_text(advertised_address(at)) << "\"\ninterval = \"" << probe_interval_.count()
      << "us\"\nseeds = [";
  for (const NodeEndpoint& seed : seeds)
    out << (seed == seeds.front() ? "" : ", ") << '"' << to_text(advertised_address(seed)) << '"';
  out << "]\n" << operator_sections_;
}

void LoopbackHarness::start_lease_holder(NodeEndpoint at, const std::string& lease,
                                         const std::vector<std::string>& command, unsigned nodes) {
  if (!relays_.contains(at)) relays_[at] = std::make_unique<Relay>(*this, at);
  endpoints_by_address_[listen_address(at)] = at;
  {
    // The seeds are given by their own addresses: queries for views bypass the relays, but messages about
    // leases pass them.
    std::ofstream out(path(at, ".toml"), std::ios::trunc);
    out << "[fleet]\nname = \"rig\"\naddress = \"" << to_text(listen_address({0, 0})) << "\"\nseeds = [";
    for (unsigned n = 0; n < nodes; ++n)
      out << (n ? ", " : "") << '"' << to_text(listen_address({n, 0})) << '"';
    out << "]\n" << operator_sections_;
  }
  std::vector<std::string> arguments = program_;
  arguments.insert(arguments.end(),
                   {"lease", "hold", lease, "--operator", path(at, ".toml"), "--from",
                    to_text(listen_address(at)), "--told", to_text(advertised_address(at)), "--"});
  arguments.insert(arguments.end(), command.begin(), command.end());
  processes_[at] = std::make_unique<ChildProcess>(std::move(arguments), path(at, ".log"));
}

void LoopbackHarness::start(NodeEndpoint at, const std::string& name,
                            const std::vector<NodeEndpoint>& seeds) {
  if (!relays_.contains(at)) relays_[at] = std::make_unique<Relay>(*this, at);
  endpoints_by_address_[listen_address(at)] = at;
  write_operator_file(at, seeds);
  std::ofstream(path(at, ".json"), std::ios::trunc)
      << R"({"name":")" << name << R"(","listen":")" << to_text(client_address(at))
      << R"(","discovery":"127.0.0.1:9","seed":")" << std::hex << random_() << std::dec
      << R"(","known":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":")"
      << to_text(block_.address(0, kHostPort))
      << R"(","az":"a","pod_group":1,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}]})"
      << R"(,"limits":{"memory_mb":64,"sockets":256},"settings":{"balancers":)" << node_count_
      << R"(,"myZone":0,"failureDomains":["a"],"discovery":"on_request","listeners":[{"name":"chat",)"
      << R"("handshakeTarget":500000,"dialTimeout":2000000,"effect":"repeatable","group":"all"})"
      // As in VirtualHarness, only nodes of even number have this listener, so a change may fit some nodes
      // only.
      << (at.node % 2 ? ""
                      : R"(,{"name":"even","handshakeTarget":500000,"dialTimeout":2000000,"effect":"once"})")
      << "],"
      << R"("ceilings":{"maxDials":3,"probes":true},"rules":{"askEvery":10000000,"cold":7200000,"coldShare":0.3,)"
      << R"("overloadFactor":3.0,"tipAfter":1500000},"prices":{"probe":0.002},"reporting":{"fields":["util"]}}})";
  std::vector<std::string> arguments = program_;
  arguments.insert(arguments.end(),
                   {"serve", "--config", path(at, ".json"), "--operator", path(at, ".toml")});
  processes_[at] = std::make_unique<ChildProcess>(std::move(arguments), path(at, ".log"));
}

void LoopbackHarness::kill(NodeEndpoint at) { processes_.erase(at); }

void LoopbackHarness::signal(NodeEndpoint at, int number) {
  if (const auto it = processes_.find(at); it != processes_.end()) it->second->signal(number);
}

void LoopbackHarness::leave(NodeEndpoint at) { signal(at, SIGTERM); }
void LoopbackHarness::freeze(NodeEndpoint at, bool frozen) { signal(at, frozen ? SIGSTOP : SIGCONT); }

void LoopbackHarness::reload(NodeEndpoint at, const std::vector<NodeEndpoint>& seeds) {
  if (!running(at)) return;
  write_operator_file(at, seeds);
  signal(at, SIGHUP);
}

bool LoopbackHarness::running(NodeEndpoint at) {
  const auto it = processes_.find(at);
  return it != processes_.end() && it->second->running();
}

void LoopbackHarness::check_serving(NodeEndpoint at, std::function<void(bool)> on_result) {
  clients_.push_back(std::make_unique<Client>(*this, client_address(at), std::move(on_result)));
}

void LoopbackHarness::read_logs(const std::function<void(NodeEndpoint, std::string_view)>& on_line) {
  for (const auto& [at, process] : processes_) {
    std::ifstream in(path(at, ".log"));
    for (std::string text; std::getline(in, text);) on_line(at, text);
  }
}

}  // namespace flintweir::lab
