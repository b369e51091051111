// A virtual network: machines in zones, links between them with latency and faults, and on each machine a
// process that sees it as net::Network. TCP as far as a program can tell: order, windows, partial writes,
// half-close, resets, refusals, and silence where packets get lost. One thread; all chance from one seed.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lab/network/datagram_faults.h"
#include "lab/network/event_queue.h"
#include "net/network.h"

namespace flintweir::lab {

using MachineId = Id<struct MachineTag, std::uint32_t>;

class Process;

// How bytes travel: what the kernel and the links between zones take and hold.
struct LinkModel {
  Micros within_zone{250}, across{4000};  // one way
  struct Pair {
    ZoneId a, b;
    Micros one_way;
  };
  std::vector<Pair> pairs;        // of zones that lie nearer or farther than that
  double jitter = 0.2;            // of the latency, at most
  std::size_t window = 64 << 10;  // bytes written and not read yet, each way
  double partial = 0;             // share of the writes of which only a part is taken
};

class VirtualNetwork {
 public:
  VirtualNetwork(EventQueue& event_queue, LinkModel link_model, std::uint64_t seed);
  ~VirtualNetwork();

  MachineId add_machine(ZoneId zone);
  EventQueue& event_queue() { return event_queue_; }
  MachineId last_active_machine() const { return last_active_machine_; }  // whose process was last called
  static Address address(MachineId machine, std::uint16_t port);
  Micros latency(MachineId a, MachineId b) const;  // without jitter

  // Nothing from or to it arrives, until it is restored. Open connections stay open and silent.
  void disconnect(MachineId machine);
  void reconnect(MachineId machine);
  // Nothing goes from one zone to the other, one way, until mended.
  void block(ZoneId from, ZoneId to);
  void unblock(ZoneId from, ZoneId to);
  bool blocked(MachineId from, MachineId to) const;
  // What becomes of a datagram beyond what its way does to all: asked for each, null for nothing.
  using DatagramFaultsOf =
      std::function<const DatagramFaults*(MachineId from, MachineId to, std::size_t bytes)>;
  void set_datagram_faults(DatagramFaultsOf of) { datagram_faults_of_ = std::move(of); }
  // Between the two, both ways, until eased: so much longer, and so large a share of what is sent has to be
  // sent again, after a wait that doubles each time.
  void degrade(MachineId a, MachineId b, Micros longer, double lost);
  void clear_degradation(MachineId a, MachineId b);

 private:
  friend class Process;
  struct Segment {
    enum class Kind { data, fin, rst, ack, established } kind;
    Micros arrival;
    std::string bytes;
    std::size_t acked = 0;
  };
  struct Side {
    Process* process = nullptr;  // none once closed
    MachineId machine;
    net::SocketKey key;
    std::string in;
    std::size_t read_from = 0, unacked = 0;
    bool established = false, fin_in = false, rst_in = false, fin_out = false, rst_out = false;
    bool waits_read = false, waits_write = false;
    std::deque<Segment> out;
    bool pumping = false;
    Micros last_arrival{0};
    bool readable() const { return read_from < in.size() || fin_in || rst_in; }
  };
  struct Wire {
    Side side[2];
  };
  using WireAt = std::shared_ptr<Wire>;

  Micros travel(MachineId from, MachineId to);
  void send(const WireAt& wire, int from, Segment::Kind kind, std::string bytes = {}, std::size_t acked = 0);
  void pump(const WireAt& wire, int from);
  void deliver(const WireAt& wire, int to, Segment segment);
  void connection_came(const WireAt& wire, Address to);
  void carry(MachineId from, std::uint16_t port, const Address& to, std::string_view bytes);
  void healed();
  void notify(const WireAt& wire, int side);

  struct Machine {
    ZoneId zone;
    bool lost = false;
    std::map<std::uint16_t, Process*> listening, boxes;
  };
  EventQueue& event_queue_;
  MachineId last_active_machine_;
  LinkModel link_model_;
  std::knuth_b chance_;
  std::vector<Machine> machines_;
  std::set<std::pair<std::uint32_t, std::uint32_t>> cuts_;
  struct Bad {
    Micros longer;
    double lost;
  };
  DatagramFaultsOf datagram_faults_of_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, Bad> bad_;  // by machines, the lower number first
  std::vector<std::weak_ptr<Wire>> wires_;
};

// One process on a machine. Ends with kill(), or with its last user; its open connections are then reset.
class Process final : public net::Network {
 public:
  Process(VirtualNetwork& network, MachineId machine, std::size_t descriptors);
  ~Process() override { kill(); }
  Process(const Process&) = delete;

  void kill();
  void set_clock_lag(Micros by) { clock_lag_ = by; }  // before anything is asked of it
  void set_clock_rate(double rate) { clock_rate_ = rate; }
  void stop_listening();  // from now on connections are refused, until it listens again
  // Stopped, as by SIGSTOP, and set going again: what was due meanwhile comes then.
  void freeze(bool on);
  bool running() const { return !dead_ && !stopped_; }
  bool stopped() const { return stopped_; }  // by its own will
  std::size_t descriptors() const { return open_; }
  std::size_t peak_descriptors() const { return most_open_; }
  MachineId machine() const { return machine_; }

  Micros now() const override { return network_.event_queue_.now() - clock_lag_; }
  // By a clock that may be fast or slow, and goes on while the process is frozen.
  Micros now_including_suspend() const override {
    return Micros{static_cast<std::int64_t>(
        static_cast<double>(network_.event_queue_.now().count() % 1'000'000'000'000) * clock_rate_)};
  }
  void set_alarm(Micros at, net::AlarmEvents& whom) override;
  Address listen(const Address& at) override;
  void wait_accept(net::AcceptEvents& whom) override;
  net::AcceptResult accept() override;
  net::SocketKey connect(const Address& to, net::SocketEvents& whom) override;
  void set_events(net::SocketKey socket, net::SocketEvents& whom) override;
  void wait_read(net::SocketKey socket) override;
  void wait_write(net::SocketKey socket) override;
  net::IoResult read(net::SocketKey socket, char* to, std::size_t size) override;
  net::IoResult write(net::SocketKey socket, std::span<const std::string_view> parts) override;
  void shutdown_send(net::SocketKey socket) override;
  void close(net::SocketKey socket, bool reset) override;
  Address open_datagrams(const Address& at) override;
  void wait_datagram(net::DatagramEvents& whom) override;
  net::ReceiveResult receive(char* to, std::size_t size) override;
  void send_datagram(const Address& to, std::string_view bytes) override;
  void stop() override { stopped_ = true; }

 private:
  friend class VirtualNetwork;
  struct Entry {
    VirtualNetwork::WireAt wire;
    int side = 0;
    net::SocketEvents* whom = nullptr;
  };
  net::SocketKey open(const VirtualNetwork::WireAt& wire, int side, net::SocketEvents* whom);
  void letter(const Address& from, std::string bytes);
  // Runs later, and only where this process still does then.
  void post(EventQueue::Callback act);
  void try_accept();

  VirtualNetwork& network_;
  MachineId machine_;
  std::size_t limit_, open_ = 0, most_open_ = 0;
  bool dead_ = false, stopped_ = false, accepting_ = false, frozen_ = false;
  Micros clock_lag_{0};
  double clock_rate_ = 1;
  std::vector<EventQueue::Callback> held_;  // while frozen
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::uint64_t rings_ = 0;
  std::uint16_t port_ = 0, box_ = 0;
  net::DatagramEvents* datagram_events_ = nullptr;
  std::deque<std::pair<Address, std::string>> letters_;
  net::AcceptEvents* accept_events_ = nullptr;
  std::deque<VirtualNetwork::WireAt> waiting_;
  net::SlotPool<Entry> sockets_;
};

}  // namespace flintweir::lab
