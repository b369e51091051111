// A simulated network: machines in zones, links between them with latency and faults, and processes on the
// machines that use the network through net::Network. It models TCP as far as a program can observe it:
// ordered delivery, windows, partial writes, half-close, resets, refused connections, and silence while
// packets are lost. Single-threaded; all random values come from one seed, so that a run is reproducible.
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

// Latency of the links and limits of the simulated kernel's socket buffers.
struct LinkModel {
  Micros within_zone{250}, across{4000};  // one-way latency within a zone and between zones
  struct Pair {
    ZoneId a, b;
    Micros one_way;
  };
  std::vector<Pair> pairs;        // zones whose one-way latency differs from `across`
  double jitter = 0.2;            // largest random addition to the latency, as a share of it
  std::size_t window = 64 << 10;  // largest number of bytes written and not yet read, in each direction
  double partial = 0;             // share of the writes that accept only a part of the bytes
};

// Machines, links and the connections and datagrams on them. Must not outlive `event_queue`.
class VirtualNetwork {
 public:
  VirtualNetwork(EventQueue& event_queue, LinkModel link_model, std::uint64_t seed);
  ~VirtualNetwork();

  MachineId add_machine(ZoneId zone);
  EventQueue& event_queue() { return event_queue_; }
  // The machine of the process that was last called for a datagram or an alarm.
  MachineId last_active_machine() const { return last_active_machine_; }
  // The address of a port of a machine: 10.0.0.0 plus the machine's number plus one.
  static Address address(MachineId machine, std::uint16_t port);
  Micros latency(MachineId a, MachineId b) const;  // one way, without jitter

  // Blocks all traffic from and to a machine until reconnect(). Open connections stay open without traffic.
  void disconnect(MachineId machine);
  void reconnect(MachineId machine);
  // Blocks traffic from one zone to another, in that direction only, until unblock().
  void block(ZoneId from, ZoneId to);
  void unblock(ZoneId from, ZoneId to);
  bool blocked(MachineId from, MachineId to) const;
  // Returns the faults of one datagram beyond those of its link; called for each datagram. Null: no fault.
  using DatagramFaultsOf =
      std::function<const DatagramFaults*(MachineId from, MachineId to, std::size_t bytes)>;
  void set_datagram_faults(DatagramFaultsOf of) { datagram_faults_of_ = std::move(of); }
  // Degrades the link between two machines in both directions, until clear_degradation(): adds `extra_delay`
  // to each transfer, and a share `loss` of what is sent is retransmitted, after a delay that doubles with
  // each further loss.
  void degrade(MachineId a, MachineId b, Micros extra_delay, double loss);
  void clear_degradation(MachineId a, MachineId b);

 private:
  friend class Process;
  struct Segment {
    enum class Kind { data, fin, rst, ack, established } kind;
    Micros arrival;
    std::string bytes;
    std::size_t acked_bytes = 0;
  };
  struct Endpoint {
    Process* process = nullptr;  // null once the process has closed its socket
    MachineId machine;
    net::SocketKey key;
    std::string received;
    std::size_t read_offset = 0, unacked_bytes = 0;
    bool established = false, fin_received = false, rst_received = false, fin_sent = false, rst_sent = false;
    bool wants_read = false, wants_write = false;
    std::deque<Segment> in_flight;  // sent by this endpoint and not yet delivered, in order
    bool delivery_scheduled = false;
    Micros last_arrival{0};
    bool readable() const { return read_offset < received.size() || fin_received || rst_received; }
  };
  struct Connection {
    Endpoint endpoints[2];
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  // Draws the time that a segment or datagram takes: latency, jitter, and the retransmissions on a degraded
  // link.
  Micros draw_delay(MachineId from, MachineId to);
  void send(const ConnectionPtr& connection, int from, Segment::Kind kind, std::string bytes = {},
            std::size_t acked_bytes = 0);
  void deliver_due(const ConnectionPtr& connection, int from);
  void deliver(const ConnectionPtr& connection, int to, Segment segment);
  void handle_syn(const ConnectionPtr& connection, Address to);
  void transmit_datagram(MachineId from, std::uint16_t port, const Address& to, std::string_view bytes);
  // Reschedules the segments that were held up, after a blocked path has been opened.
  void resume_deliveries();
  // Posts the readable and writable events that an endpoint waits for.
  void notify(const ConnectionPtr& connection, int index);

  struct Machine {
    ZoneId zone;
    bool disconnected = false;
    std::map<std::uint16_t, Process*> listening, datagram_ports;
  };
  EventQueue& event_queue_;
  MachineId last_active_machine_;
  LinkModel link_model_;
  std::knuth_b rng_;
  std::vector<Machine> machines_;
  std::set<std::pair<std::uint32_t, std::uint32_t>> blocked_zones_;
  struct Degradation {
    Micros extra_delay;
    double loss;
  };
  DatagramFaultsOf datagram_faults_of_;
  // The key is the two machines' numbers, the lower first.
  std::map<std::pair<std::uint32_t, std::uint32_t>, Degradation> degraded_links_;
  std::vector<std::weak_ptr<Connection>> connections_;
};

// A process on a simulated machine, with its sockets, clock and alarm. kill() or destruction ends it and
// resets its open connections.
class Process final : public net::Network {
 public:
  // `descriptors` is the limit of open descriptors. `network` has to outlive the process.
  Process(VirtualNetwork& network, MachineId machine, std::size_t descriptors);
  ~Process() override { kill(); }
  Process(const Process&) = delete;

  void kill();
  // Sets how far now() lags behind the simulated time. Only before the process is first used.
  void set_clock_lag(Micros lag) { clock_lag_ = lag; }
  // Sets the rate of now_including_suspend(), relative to the simulated time.
  void set_clock_rate(double rate) { clock_rate_ = rate; }
  void stop_listening();  // further connections are refused until the next listen()
  // Pauses the process as SIGSTOP does, or resumes it; events due while it was paused are delivered on
  // resume.
  void freeze(bool on);
  bool running() const { return !killed_ && !stopped_; }
  bool stopped() const { return stopped_; }  // by its own call of stop()
  std::size_t descriptors() const { return open_descriptors_; }
  std::size_t peak_descriptors() const { return peak_descriptors_; }
  MachineId machine() const { return machine_; }

  Micros now() const override { return network_.event_queue_.now() - clock_lag_; }
  // This clock may run fast or slow, and continues while the process is paused.
  Micros now_including_suspend() const override {
    return Micros{static_cast<std::int64_t>(
        static_cast<double>(network_.event_queue_.now().count() % 1'000'000'000'000) * clock_rate_)};
  }
  void set_alarm(Micros at, net::AlarmEvents& events) override;
  Address listen(const Address& at) override;
  void wait_accept(net::AcceptEvents& events) override;
  net::AcceptResult accept() override;
  net::SocketKey connect(const Address& to, net::SocketEvents& events) override;
  void set_events(net::SocketKey socket, net::SocketEvents& events) override;
  void wait_read(net::SocketKey socket) override;
  void wait_write(net::SocketKey socket) override;
  net::IoResult read(net::SocketKey socket, char* to, std::size_t size) override;
  net::IoResult write(net::SocketKey socket, std::span<const std::string_view> parts) override;
  void shutdown_send(net::SocketKey socket) override;
  void close(net::SocketKey socket, bool reset) override;
  Address open_datagrams(const Address& at) override;
  void wait_datagram(net::DatagramEvents& events) override;
  net::ReceiveResult receive(char* to, std::size_t size) override;
  void send_datagram(const Address& to, std::string_view bytes) override;
  void stop() override { stopped_ = true; }

 private:
  friend class VirtualNetwork;
  struct OpenSocket {
    VirtualNetwork::ConnectionPtr connection;
    int endpoint_index = 0;
    net::SocketEvents* events = nullptr;
  };
  net::SocketKey open(const VirtualNetwork::ConnectionPtr& connection, int index, net::SocketEvents* events);
  void enqueue_datagram(const Address& from, std::string bytes);
  // Schedules a call that is dropped if the process has been killed by then.
  void post(EventQueue::Callback callback);
  void notify_accept();

  VirtualNetwork& network_;
  MachineId machine_;
  std::size_t descriptor_limit_, open_descriptors_ = 0, peak_descriptors_ = 0;
  bool killed_ = false, stopped_ = false, accept_scheduled_ = false, frozen_ = false;
  Micros clock_lag_{0};
  double clock_rate_ = 1;
  std::vector<EventQueue::Callback> deferred_;  // events due while frozen_
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::uint64_t alarm_generation_ = 0;
  std::uint16_t listen_port_ = 0, datagram_port_ = 0;
  net::DatagramEvents* datagram_events_ = nullptr;
  std::deque<std::pair<Address, std::string>> received_datagrams_;
  net::AcceptEvents* accept_events_ = nullptr;
  std::deque<VirtualNetwork::ConnectionPtr> pending_connections_;
  net::SlotPool<OpenSocket> sockets_;
};

}  // namespace flintweir::lab
