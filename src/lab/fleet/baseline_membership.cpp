#include "lab/fleet/baseline_membership.h"

#include <algorithm>
#include <cmath>

#include "numbers.h"

namespace flintweir::lab {

using namespace members;

namespace {

// Intervals from the last heartbeat, or from a suspicion, after which a member is declared failed.
constexpr int kFailureIntervals = 6;
constexpr std::size_t kIndirectProbes = 3;

bool is_live(MemberState s) { return s == MemberState::alive || s == MemberState::suspected; }

}  // namespace

BaselineMembership::BaselineMembership(net::Network& network, net::TimerQueue& timers,
                                       BaselineProtocol protocol, const Address& address, std::string name,
                                       std::vector<Address> seeds, Micros interval, std::uint64_t seed)
    : network_(network),
      timers_(timers),
      protocol_(protocol),
      address_(address),
      name_(std::move(name)),
      seeds_(std::move(seeds)),
      interval_(interval),
      random_(static_cast<std::knuth_b::result_type>(seed | 1)) {}

void BaselineMembership::start() {
  network_.open_datagrams(address_);
  network_.wait_datagram(*this);
  const Micros now = timers_.now();
  members_[name_] = {
      Generation{static_cast<std::uint64_t>(now.count())}, 0, MemberState::alive, address_, now, now, 0};
  timers_.schedule(
      Micros{static_cast<std::int64_t>(random_below(static_cast<std::size_t>(interval_.count())))}, *this,
      static_cast<std::uint64_t>(Timer::period));
}

void BaselineMembership::datagram_pending() {
  char bytes[kMaxDatagramBytes + 1];
  for (;;) {
    const net::ReceiveResult received = network_.receive(bytes, sizeof bytes);
    if (received.status == net::IoStatus::would_block) break;
    last_sender_ = received.from;
    if (received.status == net::IoStatus::done) decode({bytes, received.bytes}, "lab", *this);
  }
  network_.wait_datagram(*this);
}

void BaselineMembership::timer_expired(std::uint64_t token) {
  const auto timer = static_cast<Timer>(token & 3);
  if (timer == Timer::period) {
    for (const Address& seed : seeds_) {
      const bool known = std::any_of(members_.begin(), members_.end(), [&](const auto& m) {
        return m.second.address == seed && is_live(m.second.state);
      });
      if (!known) send(MessageKind::ping, seed, Nonce{++last_nonce_});
    }
    protocol_ == BaselineProtocol::heartbeats ? send_heartbeats() : probe();
    return timers_.schedule(interval_, *this, static_cast<std::uint64_t>(Timer::period));
  }
  const auto it = members_.find(probe_target_);
  if (probe_acked_ || it == members_.end() || token >> 2 != probe_nonce_) return;
  if (timer == Timer::probe_timeout) {
    if (it->second.state == MemberState::alive) set_state(it->second, MemberState::suspected);
    return;
  }
  for (std::size_t i = 0; i < kIndirectProbes && !probe_order_.empty(); ++i) {
    const auto helper = members_.find(probe_order_[random_below(probe_order_.size())]);
    if (helper == members_.end() || helper->first == probe_target_ || !is_live(helper->second.state))
      continue;
    DatagramWriter writer(MessageKind::ping_request, "lab", self(), Nonce{probe_nonce_});
    writer.ping_request(probe_target_, it->second.address);
    network_.send_datagram(helper->second.address, writer.finish());
  }
}

void BaselineMembership::send_heartbeats() {
  for (auto& [name, m] : members_) {
    if (name == name_) continue;
    send(MessageKind::ping, m.address, Nonce{++last_nonce_});
    if (is_live(m.state) && timers_.now() - m.last_heard > interval_ * kFailureIntervals)
      set_state(m, MemberState::failed);
  }
}

void BaselineMembership::probe() {
  for (auto& [name, m] : members_)
    if (m.state == MemberState::suspected && timers_.now() - m.state_since > interval_ * kFailureIntervals)
      set_state(m, MemberState::failed);
  if (probe_order_.empty()) {
    for (const auto& [name, m] : members_)
      if (name != name_ && is_live(m.state)) probe_order_.push_back(name);
    for (std::size_t i = probe_order_.size(); i > 1; --i)
      std::swap(probe_order_[i - 1], probe_order_[random_below(i)]);
  }
  if (probe_order_.empty()) return;
  probe_target_ = probe_order_.back();
  probe_order_.pop_back();
  const auto it = members_.find(probe_target_);
  if (it == members_.end() || !is_live(it->second.state)) return;
  probe_acked_ = false;
  probe_nonce_ = ++last_nonce_;
  send(MessageKind::ping, it->second.address, Nonce{probe_nonce_});
  timers_.schedule(interval_ / 3, *this,
                   probe_nonce_ << 2 | static_cast<std::uint64_t>(Timer::indirect_probe));
  timers_.schedule(interval_ * 9 / 10, *this,
                   probe_nonce_ << 2 | static_cast<std::uint64_t>(Timer::probe_timeout));
}

void BaselineMembership::set_state(Member& m, MemberState state) {
  m.state = state;
  m.state_since = timers_.now();
  m.remaining_sends = 3 * static_cast<int>(std::ceil(std::log2(static_cast<double>(members_.size()) + 1)));
}

void BaselineMembership::on_update(const Sender& from, const MemberUpdate& update) {
  if (update.name == name_) {
    Member& me = members_.find(name_)->second;
    if (update.state == MemberState::alive || update.generation < me.generation) return;
    if (update.state == MemberState::failed) me.generation = Generation{update.generation.value + 1};
    me.incarnation = update.incarnation + 1;
    return set_state(me, MemberState::alive);
  }
  const bool from_itself = update.name == from.name;
  const auto [it, is_new] = members_.try_emplace(std::string(update.name));
  Member& m = it->second;
  if (protocol_ == BaselineProtocol::heartbeats) {
    // A heartbeat counts for its sender only. A known member that another node tells of sends its own
    // heartbeats, or has failed.
    if (!is_new && !from_itself) return;
    if (!is_new && update.generation < m.generation) return;
    m.last_heard = timers_.now();
    const bool revived = is_new || !is_live(m.state);
    m.generation = update.generation, m.address = update.address;
    if (revived) set_state(m, MemberState::alive);
    return;
  }
  const auto severity = [](MemberState s) {
    return s == MemberState::failed ? 2 : s == MemberState::suspected ? 1 : 0;
  };
  const bool is_newer =
      is_new || update.generation > m.generation ||
      (update.generation == m.generation && m.state != MemberState::failed &&
       (update.state == MemberState::failed || update.incarnation > m.incarnation ||
        (update.incarnation == m.incarnation && severity(update.state) > severity(m.state))));
  if (!is_newer) return;
  m.generation = update.generation, m.incarnation = update.incarnation, m.address = update.address;
  set_state(m, update.state == MemberState::joining ? MemberState::alive : update.state);
}

void BaselineMembership::on_ping(const Sender& from, Nonce nonce) {
  const auto it = members_.find(from.name);
  const bool is_new = it == members_.end() || timers_.now() - it->second.state_since < interval_ * 2;
  if (protocol_ == BaselineProtocol::swim || is_new) send(MessageKind::ack, from.address, nonce, is_new);
}

void BaselineMembership::on_ack(const Sender&, Nonce nonce) {
  if (nonce.value == probe_nonce_) probe_acked_ = true;
  const auto it = relayed_probes_.find(nonce.value);
  if (it == relayed_probes_.end()) return;
  send(MessageKind::ack, it->second.second, it->second.first);
  relayed_probes_.erase(it);
}

void BaselineMembership::on_ping_request(const Sender& from, Nonce nonce, std::string_view,
                                         const Address& at) {
  while (relayed_probes_.size() > 64) relayed_probes_.erase(relayed_probes_.begin());
  relayed_probes_[++last_nonce_] = {nonce, from.address};
  send(MessageKind::ping, at, Nonce{last_nonce_});
}

MemberUpdate BaselineMembership::update_of(const std::string& name, const Member& m) const {
  return {name, m.generation, m.incarnation, m.state, m.address, "", "plain", "", name};
}

Sender BaselineMembership::self() const {
  const Member& me = members_.find(name_)->second;
  Sender out{name_, me.generation, address_};
  for (const auto& [name, m] : members_)
    if (is_live(m.state)) out.digest ^= mix(m.generation.value ^ std::hash<std::string>()(name));
  return out;
}

void BaselineMembership::send(MessageKind kind, const Address& to, Nonce nonce, bool send_all) {
  DatagramWriter writer(kind, "lab", self(), nonce);
  writer.add(update_of(name_, members_.find(name_)->second));
  if (send_all) {
    for (auto it = members_.begin(); it != members_.end();) {
      DatagramWriter part(MessageKind::gossip, "lab", self(), nonce);
      while (it != members_.end() &&
             (!is_live(it->second.state) || part.add(update_of(it->first, it->second))))
        ++it;
      network_.send_datagram(to, part.finish());
    }
  } else if (protocol_ == BaselineProtocol::swim) {
    std::vector<Members::value_type*> gossip;
    for (auto& m : members_)
      if (m.second.remaining_sends > 0 && m.first != name_) gossip.push_back(&m);
    std::sort(gossip.begin(), gossip.end(), [](const auto* a, const auto* b) {
      return a->second.remaining_sends > b->second.remaining_sends;
    });
    for (auto* entry : gossip) {
      if (!writer.add(update_of(entry->first, entry->second))) break;
      --entry->second.remaining_sends;
    }
  }
  network_.send_datagram(to, writer.finish());
}

void BaselineMembership::on_view_query(Nonce nonce, std::string_view after) {
  const auto begin = after.empty() ? members_.begin() : members_.upper_bound(after);
  for (const bool last : {true, false}) {
    DatagramWriter writer(MessageKind::view_page, "lab", self(), nonce);
    writer.view_page(last);
    auto it = begin;
    while (it != members_.end() &&
           writer.add(update_of(it->first, it->second), timers_.now() - it->second.state_since))
      ++it;
    if (it == members_.end() || !last) return network_.send_datagram(last_sender_, writer.finish());
  }
}

}  // namespace flintweir::lab
