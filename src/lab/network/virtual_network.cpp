#include "lab/network/virtual_network.h"

#include <system_error>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr Micros kAgain = 200ms;   // lost packets are sent again so long after a link is back
constexpr Micros kMostAgain = 8s;  // a link that loses all is given up on after that
constexpr Micros kSynAgain = 1s;   // and those that open a connection, as often as that
constexpr std::size_t kBacklog = 4096;
constexpr std::size_t kLetters = 1024;  // that wait at one process; more are lost

}  // namespace

VirtualNetwork::VirtualNetwork(EventQueue& event_queue, LinkModel link_model, std::uint64_t seed)
    : event_queue_(event_queue),
      link_model_(std::move(link_model)),
      chance_(static_cast<std::knuth_b::result_type>(seed | 1)) {}

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

Micros VirtualNetwork::travel(MachineId from, MachineId to) {
  const double more = link_model_.jitter * std::generate_canonical<double, 32>(chance_);
  Micros out{static_cast<std::int64_t>(static_cast<double>(latency(from, to).count()) * (1 + more))};
  const auto bad = bad_.find(std::minmax(from.value, to.value));
  if (bad == bad_.end()) return out;
  out += bad->second.longer;
  for (Micros again = kAgain; again < kMostAgain; again *= 2) {
    if (std::generate_canonical<double, 32>(chance_) >= bad->second.lost) break;
    out += again;
  }
  return out;
}

void VirtualNetwork::degrade(MachineId a, MachineId b, Micros longer, double lost) {
  bad_[std::minmax(a.value, b.value)] = {longer, lost};
}

void VirtualNetwork::clear_degradation(MachineId a, MachineId b) {
  bad_.erase(std::minmax(a.value, b.value));
}

bool VirtualNetwork::blocked(MachineId from, MachineId to) const {
  if (from == to) return false;
  const Machine &a = machines_[from.value], &b = machines_[to.value];
  return a.lost || b.lost || cuts_.contains({a.zone.value, b.zone.value});
}

void VirtualNetwork::disconnect(MachineId machine) { machines_[machine.value].lost = true; }

void VirtualNetwork::reconnect(MachineId machine) {
  machines_[machine.value].lost = false;
  healed();
}

void VirtualNetwork::block(ZoneId from, ZoneId to) { cuts_.insert({from.value, to.value}); }

void VirtualNetwork::unblock(ZoneId from, ZoneId to) {
  cuts_.erase({from.value, to.value});
  healed();
}

void VirtualNetwork::healed() {
  std::erase_if(wires_, [](const auto& w) { return w.expired(); });
  for (const auto& weak : wires_) {
    const WireAt wire = weak.lock();
    for (int from = 0; from < 2; ++from) {
      Side& side = wire->side[from];
      if (side.out.empty() || side.pumping) continue;
      side.pumping = true;
      event_queue_.schedule_after(kAgain, [this, wire, from] { pump(wire, from); });
    }
  }
}

void VirtualNetwork::send(const WireAt& wire, int from, Segment::Kind kind, std::string bytes,
                          std::size_t acked) {
  Side& side = wire->side[from];
  const Micros arrival =
      std::max(side.last_arrival, event_queue_.now() + travel(side.machine, wire->side[1 - from].machine));
  side.last_arrival = arrival;
  side.out.push_back({kind, arrival, std::move(bytes), acked});
  if (std::exchange(side.pumping, true)) return;
  event_queue_.schedule_at(arrival, [this, wire, from] { pump(wire, from); });
}

// In order: what is lost holds up all that was sent behind it.
void VirtualNetwork::pump(const WireAt& wire, int from) {
  Side& side = wire->side[from];
  side.pumping = false;
  while (!side.out.empty() && side.out.front().arrival <= event_queue_.now()) {
    if (blocked(side.machine, wire->side[1 - from].machine)) return;  // until healed
    Segment next = std::move(side.out.front());
    side.out.pop_front();
    deliver(wire, 1 - from, std::move(next));
  }
  if (side.out.empty() || std::exchange(side.pumping, true)) return;
  event_queue_.schedule_at(side.out.front().arrival, [this, wire, from] { pump(wire, from); });
}

void VirtualNetwork::deliver(const WireAt& wire, int to, Segment segment) {
  Side& side = wire->side[to];
  switch (segment.kind) {
    case Segment::Kind::established:
      side.established = true;
      if (!side.process) {  // given up meanwhile: whoever has accepted it hears of that
        if (!std::exchange(side.rst_out, true)) send(wire, to, Segment::Kind::rst);
      } else {
        side.process->post([wire, to] {
          const Side& here = wire->side[to];
          if (Process::Entry* e = here.process ? here.process->sockets_.find(here.key) : nullptr)
            e->whom->connected(net::ConnectResult::established);
        });
      }
      return;
    case Segment::Kind::ack:
      side.unacked -= std::min(side.unacked, segment.acked);
      return notify(wire, to);
    case Segment::Kind::data:
      if (!side.process) {
        // Its program has closed it: whoever still sends hears of that.
        if (!std::exchange(side.rst_out, true)) send(wire, to, Segment::Kind::rst);
        return;
      }
      if (side.read_from == side.in.size()) side.in.clear(), side.read_from = 0;
      side.in += segment.bytes;
      return notify(wire, to);
    case Segment::Kind::fin:
      side.fin_in = true;
      return notify(wire, to);
    case Segment::Kind::rst:
      side.rst_in = true;
      return notify(wire, to);
  }
}

void VirtualNetwork::notify(const WireAt& wire, int no) {
  Side& side = wire->side[no];
  if (!side.process) return;
  const auto tell = [this, &wire, no](bool reading) {
    wire->side[no].process->post([wire, no, reading, window = link_model_.window] {
      Side& s = wire->side[no];
      Process::Entry* const e = s.process ? s.process->sockets_.find(s.key) : nullptr;
      if (!e) return;
      if (reading && s.waits_read && s.readable()) {
        s.waits_read = false;
        e->whom->readable(false);
      } else if (!reading && s.waits_write && (s.unacked < window || s.rst_in)) {
        s.waits_write = false;
        e->whom->writable(false);
      }
    });
  };
  if (side.waits_read && side.readable()) tell(true);
  if (side.waits_write && (side.unacked < link_model_.window || side.rst_in)) tell(false);
}

// The first packet of a connection, as often as it takes.
void VirtualNetwork::connection_came(const WireAt& wire, Address to) {
  Side &from = wire->side[0], &there = wire->side[1];
  if (!from.process) return;
  if (blocked(from.machine, there.machine)) {
    return event_queue_.schedule_after(kSynAgain, [this, wire, to] { connection_came(wire, to); });
  }
  Machine& machine = machines_[there.machine.value];
  const auto listener = machine.listening.find(to.port);
  if (listener == machine.listening.end()) {
    const Micros back = travel(there.machine, from.machine);
    return event_queue_.schedule_after(back, [this, wire, to] {
      Side& asker = wire->side[0];
      if (!asker.process) return;
      if (blocked(wire->side[1].machine, asker.machine))
        return event_queue_.schedule_after(kSynAgain, [this, wire, to] { connection_came(wire, to); });
      asker.rst_in = true;
      asker.process->post([wire] {
        const Side& s = wire->side[0];
        if (Process::Entry* e = s.process ? s.process->sockets_.find(s.key) : nullptr)
          e->whom->connected(net::ConnectResult::refused);
      });
    });
  }
  Process& process = *listener->second;
  if (process.waiting_.size() >= kBacklog)
    return event_queue_.schedule_after(kSynAgain, [this, wire, to] { connection_came(wire, to); });
  there.process = &process;
  there.established = true;
  process.waiting_.push_back(wire);
  send(wire, 1, Segment::Kind::established);
  process.try_accept();
}

// Each datagram by itself: nothing holds it up, and nothing mends it.
void VirtualNetwork::carry(MachineId from, std::uint16_t port, const Address& to, std::string_view bytes) {
  const std::uint32_t n = static_cast<std::uint32_t>(to.bytes[1]) << 16 |
                          static_cast<std::uint32_t>(to.bytes[2]) << 8 | to.bytes[3];
  if (to.is_v6 || to.bytes[0] != 10 || n == 0 || n > machines_.size()) return;
  const MachineId there{n - 1};
  if (blocked(from, there)) return;
  const DatagramFaults* const way =
      datagram_faults_of_ ? datagram_faults_of_(from, there, bytes.size()) : nullptr;
  for (auto& [late, text] : delivered_copies(way ? *way : DatagramFaults(), chance_, bytes)) {
    const Micros in = travel(from, there) + late;
    event_queue_.schedule_after(
        in, [this, from, there, at = to.port, sender = address(from, port), text = std::move(text)] {
          if (blocked(from, there)) return;
          const auto& boxes = machines_[there.value].boxes;
          if (const auto box = boxes.find(at); box != boxes.end()) box->second->letter(sender, text);
        });
  }
}

Address Process::open_datagrams(const Address& at) {
  if (!network_.machines_[machine_.value].boxes.emplace(at.port, this).second)
    throw std::system_error(std::make_error_code(std::errc::address_in_use));
  box_ = at.port;
  return at;
}

void Process::wait_datagram(net::DatagramEvents& whom) {
  datagram_events_ = &whom;
  if (!letters_.empty()) letter({}, "");
}

// An empty one only wakes whoever waits.
void Process::letter(const Address& from, std::string bytes) {
  if (letters_.size() < kLetters && !bytes.empty()) letters_.emplace_back(from, std::move(bytes));
  if (frozen_ || letters_.empty() || !datagram_events_) return;
  post([this] {
    network_.last_active_machine_ = machine_;
    if (net::DatagramEvents* const whom = std::exchange(datagram_events_, nullptr)) whom->datagram_pending();
  });
}

net::ReceiveResult Process::receive(char* to, std::size_t size) {
  if (letters_.empty()) return {0, {}, net::IoStatus::would_block};
  const auto [from, bytes] = std::move(letters_.front());
  letters_.pop_front();
  const std::size_t n = std::min(size, bytes.size());
  std::copy_n(bytes.data(), n, to);
  return {n, from, net::IoStatus::done};
}

void Process::send_datagram(const Address& to, std::string_view bytes) {
  if (box_ && !dead_) network_.carry(machine_, box_, to, bytes);
}

void Process::freeze(bool on) {
  frozen_ = on;
  if (on) return;
  for (EventQueue::Callback& act : std::exchange(held_, {}))
    network_.event_queue_.schedule_after(0us, std::move(act));
  if (!letters_.empty()) letter({}, "");
}

Process::Process(VirtualNetwork& network, MachineId machine, std::size_t descriptors)
    : network_(network), machine_(machine), limit_(descriptors) {}

void Process::kill() {
  if (std::exchange(dead_, true)) return;
  *alive_ = false;
  if (port_) network_.machines_[machine_.value].listening.erase(port_);
  if (box_) network_.machines_[machine_.value].boxes.erase(box_);
  std::vector<net::SocketKey> open;
  sockets_.for_each([&](net::SocketKey key, Entry&) { open.push_back(key); });
  for (const net::SocketKey key : open) close(key, true);
  for (const VirtualNetwork::WireAt& wire : waiting_) {
    wire->side[1].process = nullptr;
    if (!std::exchange(wire->side[1].rst_out, true))
      network_.send(wire, 1, VirtualNetwork::Segment::Kind::rst);
  }
  waiting_.clear();
}

void Process::post(EventQueue::Callback act) {
  network_.event_queue_.schedule_after(0us, [this, alive = alive_, act = std::move(act)] {
    if (!*alive) return;
    frozen_ ? held_.push_back([alive, act] {
      if (*alive) act();
    })
            : act();
  });
}

void Process::set_alarm(Micros at, net::AlarmEvents& whom) {
  network_.event_queue_.schedule_at(at + clock_lag_, [this, alive = alive_, no = ++rings_, &whom] {
    if (!*alive) return;
    const auto rang = [this, alive, no, &whom] {
      if (!*alive || stopped_ || no != rings_) return;
      network_.last_active_machine_ = machine_;
      whom.alarm_expired();
    };
    frozen_ ? held_.push_back(rang) : rang();
  });
}

Address Process::listen(const Address& at) {
  if (!network_.machines_[machine_.value].listening.emplace(at.port, this).second) {
    throw std::system_error(std::make_error_code(std::errc::address_in_use));
  }
  port_ = at.port;
  ++open_;
  return at;
}

void Process::stop_listening() {
  network_.machines_[machine_.value].listening.erase(std::exchange(port_, 0));
  --open_;
}

void Process::wait_accept(net::AcceptEvents& whom) {
  accept_events_ = &whom;
  try_accept();
}

void Process::try_accept() {
  if (!accept_events_ || waiting_.empty() || std::exchange(accepting_, true)) return;
  post([this] {
    accepting_ = false;
    if (!waiting_.empty())
      if (net::AcceptEvents* whom = std::exchange(accept_events_, nullptr)) whom->connection_pending();
  });
}

net::AcceptResult Process::accept() {
  if (dead_) return {{}, net::IoStatus::failed, "dead"};
  if (waiting_.empty()) return {{}, net::IoStatus::would_block};
  if (open_ >= limit_) return {{}, net::IoStatus::failed, "no descriptors"};
  const VirtualNetwork::WireAt wire = std::move(waiting_.front());
  waiting_.pop_front();
  return {open(wire, 1, nullptr)};
}

net::SocketKey Process::open(const VirtualNetwork::WireAt& wire, int side, net::SocketEvents* whom) {
  const net::SocketKey key = sockets_.acquire();
  *sockets_.find(key) = {wire, side, whom};
  VirtualNetwork::Side& s = wire->side[side];
  s.process = this;
  s.machine = machine_;
  s.key = key;
  most_open_ = std::max(most_open_, ++open_);
  return key;
}

net::SocketKey Process::connect(const Address& to, net::SocketEvents& whom) {
  if (dead_ || open_ >= limit_) return {};
  const auto wire = std::make_shared<VirtualNetwork::Wire>();
  const std::uint32_t n = std::uint32_t{to.bytes[1]} << 16 | std::uint32_t{to.bytes[2]} << 8 | to.bytes[3];
  if (n == 0 || n > network_.machines_.size()) return {};
  wire->side[1].machine = {n - 1};
  const net::SocketKey key = open(wire, 0, &whom);
  if (network_.wires_.size() > 4096 && network_.wires_.size() % 1024 == 0)
    std::erase_if(network_.wires_, [](const auto& w) { return w.expired(); });
  network_.wires_.push_back(wire);
  network_.event_queue_.schedule_after(network_.travel(machine_, wire->side[1].machine),
                                       [f = &network_, wire, to] { f->connection_came(wire, to); });
  return key;
}

void Process::set_events(net::SocketKey socket, net::SocketEvents& whom) {
  if (Entry* e = sockets_.find(socket)) e->whom = &whom;
}

void Process::wait_read(net::SocketKey socket) {
  Entry* const e = sockets_.find(socket);
  if (!e) return;
  e->wire->side[e->side].waits_read = true;
  network_.notify(e->wire, e->side);
}

void Process::wait_write(net::SocketKey socket) {
  Entry* const e = sockets_.find(socket);
  if (!e) return;
  e->wire->side[e->side].waits_write = true;
  network_.notify(e->wire, e->side);
}

net::IoResult Process::read(net::SocketKey socket, char* to, std::size_t size) {
  Entry* const e = sockets_.find(socket);
  if (!e) return {0, net::IoStatus::failed};
  VirtualNetwork::Side& side = e->wire->side[e->side];
  if (const std::size_t held = side.in.size() - side.read_from; held > 0) {
    const std::size_t n = std::min(size, held);
    side.in.copy(to, n, side.read_from);
    side.read_from += n;
    network_.send(e->wire, e->side, VirtualNetwork::Segment::Kind::ack, {}, n);
    return {n, net::IoStatus::done};
  }
  if (side.rst_in) return {0, net::IoStatus::failed};
  return {0, side.fin_in ? net::IoStatus::closed : net::IoStatus::would_block};
}

net::IoResult Process::write(net::SocketKey socket, std::span<const std::string_view> parts) {
  Entry* const e = sockets_.find(socket);
  if (!e) return {0, net::IoStatus::failed};
  VirtualNetwork::Side& side = e->wire->side[e->side];
  if (side.rst_in || side.fin_out || side.rst_out) return {0, net::IoStatus::failed};
  const std::size_t window = network_.link_model_.window;
  std::size_t room = window - std::min(window, side.unacked), all = 0;
  for (const std::string_view part : parts) all += part.size();
  if (room == 0 && all > 0) return {0, net::IoStatus::would_block};
  if (all > 1 && network_.link_model_.partial > 0 &&
      std::generate_canonical<double, 32>(network_.chance_) < network_.link_model_.partial) {
    room = std::min<std::size_t>(room, 1 + network_.chance_() % (all - 1));
  }
  std::string bytes;
  for (const std::string_view part : parts) bytes.append(part.substr(0, room - bytes.size()));
  const std::size_t n = bytes.size();
  side.unacked += n;
  if (n > 0) network_.send(e->wire, e->side, VirtualNetwork::Segment::Kind::data, std::move(bytes));
  return {n, net::IoStatus::done};
}

void Process::shutdown_send(net::SocketKey socket) {
  Entry* const e = sockets_.find(socket);
  if (!e || std::exchange(e->wire->side[e->side].fin_out, true)) return;
  network_.send(e->wire, e->side, VirtualNetwork::Segment::Kind::fin);
}

void Process::close(net::SocketKey socket, bool reset) {
  Entry* const e = sockets_.find(socket);
  if (!e) return;
  const VirtualNetwork::WireAt wire = std::move(e->wire);
  VirtualNetwork::Side& side = wire->side[e->side];
  const int no = e->side;
  sockets_.release(socket);
  --open_;
  side.process = nullptr;
  if (!side.established) return;
  // As a kernel does: closing over bytes that nobody has read is a reset.
  if (reset || side.read_from < side.in.size()) {
    if (!std::exchange(side.rst_out, true)) network_.send(wire, no, VirtualNetwork::Segment::Kind::rst);
  } else if (!std::exchange(side.fin_out, true)) {
    network_.send(wire, no, VirtualNetwork::Segment::Kind::fin);
  }
}

}  // namespace flintweir::lab
