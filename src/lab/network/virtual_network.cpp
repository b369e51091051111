#include "lab/network/virtual_network.h"

#include <system_error>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

// Delay of the first retransmission of a lost segment, and of the segments held up by a blocked link after it
// recovers. It doubles with each further loss of the same segment.
constexpr Micros kFirstRetransmitDelay = 200ms;
// A segment whose next retransmission delay would reach this is delivered without a further loss draw, so
// that a link that loses every segment still makes progress.
constexpr Micros kRetransmitDelayLimit = 8s;
constexpr Micros kSynRetryInterval = 1s;  // between attempts to open a connection
constexpr std::size_t kListenBacklog = 4096;
constexpr std::size_t kDatagramQueueLimit = 1024;  // for each process; further datagrams are dropped

}  // namespace

VirtualNetwork::VirtualNetwork(EventQueue& event_queue, LinkModel link_model, std::uint64_t seed)
    : event_queue_(event_queue),
      link_model_(std::move(link_model)),
      rng_(static_cast<std::knuth_b::result_type>(seed | 1)) {}

VirtualNetwork::~VirtualNetwork() = default;

MachineId VirtualNetwork::add_machine(ZoneId zone) {
  machines_.push_back({zone, false, {}, {}});
  return {static_cast<std::uint32_t>(machines_.size() - 1)};
}

Address VirtualNetwork::address(MachineId machine, std::uint16_t port) {
  Address out;
  const std::uint32_t n = machine.value + 1;
  out.bytes = {10, static_cast<std::uint8_t>(n >> 16), static_cast<std::uint8_t>(n >> 8),
               static_cast<std::uint8_t>(n)};
  out.port = port;
  return out;
}

Micros VirtualNetwork::latency(MachineId a, MachineId b) const {
  if (a == b) return 20us;
  const ZoneId x = machines_[a.value].zone, y = machines_[b.value].zone;
  if (x == y) return link_model_.within_zone;
  for (const LinkModel::Pair& p : link_model_.pairs)
    if ((p.a == x && p.b == y) || (p.a == y && p.b == x)) return p.one_way;
  return link_model_.across;
}

Micros VirtualNetwork::draw_delay(MachineId from, MachineId to) {
  const double jitter = link_model_.jitter * std::generate_canonical<double, 32>(rng_);
  Micros out{static_cast<std::int64_t>(static_cast<double>(latency(from, to).count()) * (1 + jitter))};
  const auto degraded = degraded_links_.find(std::minmax(from.value, to.value));
  if (degraded == degraded_links_.end()) return out;
  out += degraded->second.extra_delay;
  for (Micros retransmit_delay = kFirstRetransmitDelay; retransmit_delay < kRetransmitDelayLimit;
       retransmit_delay *= 2) {
    if (std::generate_canonical<double, 32>(rng_) >= degraded->second.loss) break;
    out += retransmit_delay;
  }
  return out;
}

void VirtualNetwork::degrade(MachineId a, MachineId b, Micros extra_delay, double loss) {
  degraded_links_[std::minmax(a.value, b.value)] = {extra_delay, loss};
}

void VirtualNetwork::clear_degradation(MachineId a, MachineId b) {
  degraded_links_.erase(std::minmax(a.value, b.value));
}

bool VirtualNetwork::blocked(MachineId from, MachineId to) const {
  if (from == to) return false;
  const Machine &a = machines_[from.value], &b = machines_[to.value];
  return a.disconnected || b.disconnected || blocked_zones_.contains({a.zone.value, b.zone.value});
}

void VirtualNetwork::disconnect(MachineId machine) { machines_[machine.value].disconnected = true; }

void VirtualNetwork::reconnect(MachineId machine) {
  machines_[machine.value].disconnected = false;
  resume_deliveries();
}

void VirtualNetwork::block(ZoneId from, ZoneId to) { blocked_zones_.insert({from.value, to.value}); }

void VirtualNetwork::unblock(ZoneId from, ZoneId to) {
  blocked_zones_.erase({from.value, to.value});
  resume_deliveries();
}

void VirtualNetwork::resume_deliveries() {
  std::erase_if(connections_, [](const auto& w) { return w.expired(); });
  for (const auto& weak : connections_) {
    const ConnectionPtr connection = weak.lock();
    for (int from = 0; from < 2; ++from) {
      Endpoint& endpoint = connection->endpoints[from];
      if (endpoint.in_flight.empty() || endpoint.delivery_scheduled) continue;
      endpoint.delivery_scheduled = true;
      event_queue_.schedule_after(kFirstRetransmitDelay,
                                  [this, connection, from] { deliver_due(connection, from); });
    }
  }
}

void VirtualNetwork::send(const ConnectionPtr& connection, int from, Segment::Kind kind, std::string bytes,
                          std::size_t acked_bytes) {
  Endpoint& endpoint = connection->endpoints[from];
  const Micros arrival =
      std::max(endpoint.last_arrival,
               event_queue_.now() + draw_delay(endpoint.machine, connection->endpoints[1 - from].machine));
  endpoint.last_arrival = arrival;
  endpoint.in_flight.push_back({kind, arrival, std::move(bytes), acked_bytes});
  if (std::exchange(endpoint.delivery_scheduled, true)) return;
  event_queue_.schedule_at(arrival, [this, connection, from] { deliver_due(connection, from); });
}

// Delivers the segments whose arrival time has come, in the order sent. A segment that is blocked holds up
// all segments sent after it.
void VirtualNetwork::deliver_due(const ConnectionPtr& connection, int from) {
  Endpoint& endpoint = connection->endpoints[from];
  endpoint.delivery_scheduled = false;
  while (!endpoint.in_flight.empty() && endpoint.in_flight.front().arrival <= event_queue_.now()) {
    if (blocked(endpoint.machine, connection->endpoints[1 - from].machine))
      return;  // resume_deliveries() reschedules it
    Segment next = std::move(endpoint.in_flight.front());
    endpoint.in_flight.pop_front();
    deliver(connection, 1 - from, std::move(next));
  }
  if (endpoint.in_flight.empty() || std::exchange(endpoint.delivery_scheduled, true)) return;
  event_queue_.schedule_at(endpoint.in_flight.front().arrival,
                           [this, connection, from] { deliver_due(connection, from); });
}

void VirtualNetwork::deliver(const ConnectionPtr& connection, int to, Segment segment) {
  Endpoint& endpoint = connection->endpoints[to];
  switch (segment.kind) {
    case Segment::Kind::established:
      endpoint.established = true;
      if (!endpoint.process) {  // the socket was closed while connecting: the accepting side gets a reset
        if (!std::exchange(endpoint.rst_sent, true)) send(connection, to, Segment::Kind::rst);
      } else {
        endpoint.process->post([connection, to] {
          const Endpoint& here = connection->endpoints[to];
          if (Process::OpenSocket* e = here.process ? here.process->sockets_.find(here.key) : nullptr)
            e->events->connected(net::ConnectResult::established);
        });
      }
      return;
    case Segment::Kind::ack:
      endpoint.unacked_bytes -= std::min(endpoint.unacked_bytes, segment.acked_bytes);
      return notify(connection, to);
    case Segment::Kind::data:
      if (!endpoint.process) {
        // The receiving process has closed the socket: the sender gets a reset.
        if (!std::exchange(endpoint.rst_sent, true)) send(connection, to, Segment::Kind::rst);
        return;
      }
      if (endpoint.read_offset == endpoint.received.size())
        endpoint.received.clear(), endpoint.read_offset = 0;
      endpoint.received += segment.bytes;
      return notify(connection, to);
    case Segment::Kind::fin:
      endpoint.fin_received = true;
      return notify(connection, to);
    case Segment::Kind::rst:
      endpoint.rst_received = true;
      return notify(connection, to);
  }
}

void VirtualNetwork::notify(const ConnectionPtr& connection, int index) {
  Endpoint& endpoint = connection->endpoints[index];
  if (!endpoint.process) return;
  const auto post_event = [this, &connection, index](bool reading) {
    connection->endpoints[index].process->post([connection, index, reading, window = link_model_.window] {
      Endpoint& s = connection->endpoints[index];
      Process::OpenSocket* const e = s.process ? s.process->sockets_.find(s.key) : nullptr;
      if (!e) return;
      if (reading && s.wants_read && s.readable()) {
        s.wants_read = false;
        e->events->readable(false);
      } else if (!reading && s.wants_write && (s.unacked_bytes < window || s.rst_received)) {
        s.wants_write = false;
        e->events->writable(false);
      }
    });
  };
  if (endpoint.wants_read && endpoint.readable()) post_event(true);
  if (endpoint.wants_write && (endpoint.unacked_bytes < link_model_.window || endpoint.rst_received))
    post_event(false);
}

// Handles a connection request that reaches the remote machine. While the path is blocked or the listen
// backlog is full, the request is repeated every kSynRetryInterval.
void VirtualNetwork::handle_syn(const ConnectionPtr& connection, Address to) {
  Endpoint &initiator = connection->endpoints[0], &acceptor = connection->endpoints[1];
  if (!initiator.process) return;
  if (blocked(initiator.machine, acceptor.machine)) {
    return event_queue_.schedule_after(kSynRetryInterval,
                                       [this, connection, to] { handle_syn(connection, to); });
  }
  Machine& machine = machines_[acceptor.machine.value];
  const auto listener = machine.listening.find(to.port);
  if (listener == machine.listening.end()) {
    const Micros delay = draw_delay(acceptor.machine, initiator.machine);
    return event_queue_.schedule_after(delay, [this, connection, to] {
      Endpoint& refused = connection->endpoints[0];
      if (!refused.process) return;
      if (blocked(connection->endpoints[1].machine, refused.machine))
        return event_queue_.schedule_after(kSynRetryInterval,
                                           [this, connection, to] { handle_syn(connection, to); });
      refused.rst_received = true;
      refused.process->post([connection] {
        const Endpoint& s = connection->endpoints[0];
        if (Process::OpenSocket* e = s.process ? s.process->sockets_.find(s.key) : nullptr)
          e->events->connected(net::ConnectResult::refused);
      });
    });
  }
  Process& process = *listener->second;
  if (process.pending_connections_.size() >= kListenBacklog)
    return event_queue_.schedule_after(kSynRetryInterval,
                                       [this, connection, to] { handle_syn(connection, to); });
  acceptor.process = &process;
  acceptor.established = true;
  process.pending_connections_.push_back(connection);
  send(connection, 1, Segment::Kind::established);
  process.notify_accept();
}

// Datagrams are independent of each other: none is held up by another, and none is retransmitted.
void VirtualNetwork::transmit_datagram(MachineId from, std::uint16_t port, const Address& to,
                                       std::string_view bytes) {
  const std::uint32_t n = static_cast<std::uint32_t>(to.bytes[1]) << 16 |
                          static_cast<std::uint32_t>(to.bytes[2]) << 8 | to.bytes[3];
  if (to.is_v6 || to.bytes[0] != 10 || n == 0 || n > machines_.size()) return;
  const MachineId destination{n - 1};
  if (blocked(from, destination)) return;
  const DatagramFaults* const faults =
      datagram_faults_of_ ? datagram_faults_of_(from, destination, bytes.size()) : nullptr;
  for (auto& [extra_delay, text] : delivered_copies(faults ? *faults : DatagramFaults(), rng_, bytes)) {
    const Micros delay = draw_delay(from, destination) + extra_delay;
    event_queue_.schedule_after(
        delay, [this, from, destination, at = to.port, sender = address(from, port), text = std::move(text)] {
          if (blocked(from, destination)) return;
          const auto& ports = machines_[destination.value].datagram_ports;
          if (const auto receiver = ports.find(at); receiver != ports.end())
            receiver->second->enqueue_datagram(sender, text);
        });
  }
}

Address Process::open_datagrams(const Address& at) {
  if (!network_.machines_[machine_.value].datagram_ports.emplace(at.port, this).second)
    throw std::system_error(std::make_error_code(std::errc::address_in_use));
  datagram_port_ = at.port;
  return at;
}

void Process::wait_datagram(net::DatagramEvents& events) {
  datagram_events_ = &events;
  if (!received_datagrams_.empty()) enqueue_datagram({}, "");
}

// An empty datagram is not queued: it only notifies a waiting receiver of datagrams that are queued already.
void Process::enqueue_datagram(const Address& from, std::string bytes) {
  if (received_datagrams_.size() < kDatagramQueueLimit && !bytes.empty())
    received_datagrams_.emplace_back(from, std::move(bytes));
  if (frozen_ || received_datagrams_.empty() || !datagram_events_) return;
  post([this] {
    network_.last_active_machine_ = machine_;
    if (net::DatagramEvents* const events = std::exchange(datagram_events_, nullptr))
      events->datagram_pending();
  });
}

net::ReceiveResult Process::receive(char* to, std::size_t size) {
  if (received_datagrams_.empty()) return {0, {}, net::IoStatus::would_block};
  const auto [from, bytes] = std::move(received_datagrams_.front());
  received_datagrams_.pop_front();
  const std::size_t n = std::min(size, bytes.size());
  std::copy_n(bytes.data(), n, to);
  return {n, from, net::IoStatus::done};
}

void Process::send_datagram(const Address& to, std::string_view bytes) {
  if (datagram_port_ && !killed_) network_.transmit_datagram(machine_, datagram_port_, to, bytes);
}

void Process::freeze(bool on) {
  frozen_ = on;
  if (on) return;
  for (EventQueue::Callback& callback : std::exchange(deferred_, {}))
    network_.event_queue_.schedule_after(0us, std::move(callback));
  if (!received_datagrams_.empty()) enqueue_datagram({}, "");
}

Process::Process(VirtualNetwork& network, MachineId machine, std::size_t descriptors)
    : network_(network), machine_(machine), descriptor_limit_(descriptors) {}

void Process::kill() {
  if (std::exchange(killed_, true)) return;
  *alive_ = false;
  if (listen_port_) network_.machines_[machine_.value].listening.erase(listen_port_);
  if (datagram_port_) network_.machines_[machine_.value].datagram_ports.erase(datagram_port_);
  std::vector<net::SocketKey> open;
  sockets_.for_each([&](net::SocketKey key, OpenSocket&) { open.push_back(key); });
  for (const net::SocketKey key : open) close(key, true);
  for (const VirtualNetwork::ConnectionPtr& connection : pending_connections_) {
    connection->endpoints[1].process = nullptr;
    if (!std::exchange(connection->endpoints[1].rst_sent, true))
      network_.send(connection, 1, VirtualNetwork::Segment::Kind::rst);
  }
  pending_connections_.clear();
}

void Process::post(EventQueue::Callback callback) {
  network_.event_queue_.schedule_after(0us, [this, alive = alive_, callback = std::move(callback)] {
    if (!*alive) return;
    frozen_ ? deferred_.push_back([alive, callback] {
      if (*alive) callback();
    })
            : callback();
  });
}

void Process::set_alarm(Micros at, net::AlarmEvents& events) {
  network_.event_queue_.schedule_at(at + clock_lag_,
                                    [this, alive = alive_, generation = ++alarm_generation_, &events] {
                                      if (!*alive) return;
                                      const auto expire = [this, alive, generation, &events] {
                                        if (!*alive || stopped_ || generation != alarm_generation_) return;
                                        network_.last_active_machine_ = machine_;
                                        events.alarm_expired();
                                      };
                                      frozen_ ? deferred_.push_back(expire) : expire();
                                    });
}

Address Process::listen(const Address& at) {
  if (!network_.machines_[machine_.value].listening.emplace(at.port, this).second) {
    throw std::system_error(std::make_error_code(std::errc::address_in_use));
  }
  listen_port_ = at.port;
  ++open_descriptors_;
  return at;
}

void Process::stop_listening() {
  network_.machines_[machine_.value].listening.erase(std::exchange(listen_port_, 0));
  --open_descriptors_;
}

void Process::wait_accept(net::AcceptEvents& events) {
  accept_events_ = &events;
  notify_accept();
}

void Process::notify_accept() {
  if (!accept_events_ || pending_connections_.empty() || std::exchange(accept_scheduled_, true)) return;
  post([this] {
    accept_scheduled_ = false;
    if (!pending_connections_.empty())
      if (net::AcceptEvents* events = std::exchange(accept_events_, nullptr)) events->connection_pending();
  });
}

net::AcceptResult Process::accept() {
  if (killed_) return {{}, net::IoStatus::failed, "dead"};
  if (pending_connections_.empty()) return {{}, net::IoStatus::would_block};
  if (open_descriptors_ >= descriptor_limit_) return {{}, net::IoStatus::failed, "no descriptors"};
  const VirtualNetwork::ConnectionPtr connection = std::move(pending_connections_.front());
  pending_connections_.pop_front();
  return {open(connection, 1, nullptr)};
}

net::SocketKey Process::open(const VirtualNetwork::ConnectionPtr& connection, int index,
                             net::SocketEvents* events) {
  const net::SocketKey key = sockets_.acquire();
  *sockets_.find(key) = {connection, index, events};
  VirtualNetwork::Endpoint& endpoint = connection->endpoints[index];
  endpoint.process = this;
  endpoint.machine = machine_;
  endpoint.key = key;
  peak_descriptors_ = std::max(peak_descriptors_, ++open_descriptors_);
  return key;
}

net::SocketKey Process::connect(const Address& to, net::SocketEvents& events) {
  if (killed_ || open_descriptors_ >= descriptor_limit_) return {};
  const auto connection = std::make_shared<VirtualNetwork::Connection>();
  const std::uint32_t n = std::uint32_t{to.bytes[1]} << 16 | std::uint32_t{to.bytes[2]} << 8 | to.bytes[3];
  if (n == 0 || n > network_.machines_.size()) return {};
  connection->endpoints[1].machine = {n - 1};
  const net::SocketKey key = open(connection, 0, &events);
  // Drops the entries of closed connections now and then, so that they do not accumulate.
  if (network_.connections_.size() > 4096 && network_.connections_.size() % 1024 == 0)
    std::erase_if(network_.connections_, [](const auto& w) { return w.expired(); });
  network_.connections_.push_back(connection);
  network_.event_queue_.schedule_after(network_.draw_delay(machine_, connection->endpoints[1].machine),
                                       [f = &network_, connection, to] { f->handle_syn(connection, to); });
  return key;
}

void Process::set_events(net::SocketKey socket, net::SocketEvents& events) {
  if (OpenSocket* e = sockets_.find(socket)) e->events = &events;
}

void Process::wait_read(net::SocketKey socket) {
  OpenSocket* const e = sockets_.find(socket);
  if (!e) return;
  e->connection->endpoints[e->endpoint_index].wants_read = true;
  network_.notify(e->connection, e->endpoint_index);
}

void Process::wait_write(net::SocketKey socket) {
  OpenSocket* const e = sockets_.find(socket);
  if (!e) return;
  e->connection->endpoints[e->endpoint_index].wants_write = true;
  network_.notify(e->connection, e->endpoint_index);
}

net::IoResult Process::read(net::SocketKey socket, char* to, std::size_t size) {
  OpenSocket* const e = sockets_.find(socket);
  if (!e) return {0, net::IoStatus::failed};
  VirtualNetwork::Endpoint& endpoint = e->connection->endpoints[e->endpoint_index];
  if (const std::size_t held = endpoint.received.size() - endpoint.read_offset; held > 0) {
    const std::size_t n = std::min(size, held);
    endpoint.received.copy(to, n, endpoint.read_offset);
    endpoint.read_offset += n;
    network_.send(e->connection, e->endpoint_index, VirtualNetwork::Segment::Kind::ack, {}, n);
    return {n, net::IoStatus::done};
  }
  if (endpoint.rst_received) return {0, net::IoStatus::failed};
  return {0, endpoint.fin_received ? net::IoStatus::closed : net::IoStatus::would_block};
}

net::IoResult Process::write(net::SocketKey socket, std::span<const std::string_view> parts) {
  OpenSocket* const e = sockets_.find(socket);
  if (!e) return {0, net::IoStatus::failed};
  VirtualNetwork::Endpoint& endpoint = e->connection->endpoints[e->endpoint_index];
  if (endpoint.rst_received || endpoint.fin_sent || endpoint.rst_sent) return {0, net::IoStatus::failed};
  const std::size_t window = network_.link_model_.window;
  std::size_t room = window - std::min(window, endpoint.unacked_bytes), all = 0;
  for (const std::string_view part : parts) all += part.size();
  if (room == 0 && all > 0) return {0, net::IoStatus::would_block};
  if (all > 1 && network_.link_model_.partial > 0 &&
      std::generate_canonical<double, 32>(network_.rng_) < network_.link_model_.partial) {
    room = std::min<std::size_t>(room, 1 + network_.rng_() % (all - 1));
  }
  std::string bytes;
  for (const std::string_view part : parts) bytes.append(part.substr(0, room - bytes.size()));
  const std::size_t n = bytes.size();
  endpoint.unacked_bytes += n;
  if (n > 0)
    network_.send(e->connection, e->endpoint_index, VirtualNetwork::Segment::Kind::data, std::move(bytes));
  return {n, net::IoStatus::done};
}

void Process::shutdown_send(net::SocketKey socket) {
  OpenSocket* const e = sockets_.find(socket);
  if (!e || std::exchange(e->connection->endpoints[e->endpoint_index].fin_sent, true)) return;
  network_.send(e->connection, e->endpoint_index, VirtualNetwork::Segment::Kind::fin);
}

void Process::close(net::SocketKey socket, bool reset) {
  OpenSocket* const e = sockets_.find(socket);
  if (!e) return;
  const VirtualNetwork::ConnectionPtr connection = std::move(e->connection);
  VirtualNetwork::Endpoint& endpoint = connection->endpoints[e->endpoint_index];
  const int index = e->endpoint_index;
  sockets_.release(socket);
  --open_descriptors_;
  endpoint.process = nullptr;
  if (!endpoint.established) return;
  // As the kernel does, closing a socket with unread received bytes resets the connection.
  if (reset || endpoint.read_offset < endpoint.received.size()) {
    if (!std::exchange(endpoint.rst_sent, true))
      network_.send(connection, index, VirtualNetwork::Segment::Kind::rst);
  } else if (!std::exchange(endpoint.fin_sent, true)) {
    network_.send(connection, index, VirtualNetwork::Segment::Kind::fin);
  }
}

}  // namespace flintweir::lab
