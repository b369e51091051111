#include "lab/fleet/baseline_membership.h"

#include <algorithm>
#include <cmath>

#include "numbers.h"

namespace flintweir::lab {

using namespace members;

namespace {

constexpr int kSilence = 6;  // intervals from the last heartbeat, or from a suspicion, to the verdict
constexpr std::size_t kHelpers = 3;

bool there(MemberState s) { return s == MemberState::alive || s == MemberState::suspected; }

}  // namespace

BaselineMembership::BaselineMembership(net::Network& network, net::TimerQueue& timers, BaselineProtocol way,
                                       const Address& at, std::string name, std::vector<Address> seeds,
                                       Micros interval, std::uint64_t seed)
    : network_(network),
      timers_(timers),
      way_(way),
      at_(at),
      name_(std::move(name)),
      seeds_(std::move(seeds)),
      interval_(interval),
      chance_(static_cast<std::knuth_b::result_type>(seed | 1)) {}

void BaselineMembership::begin() {
  network_.open_datagrams(at_);
  network_.wait_datagram(*this);
  const Micros now = timers_.now();
  members_[name_] = {
      Generation{static_cast<std::uint64_t>(now.count())}, 0, MemberState::alive, at_, now, now, 0};
  timers_.schedule(Micros{static_cast<std::int64_t>(below(static_cast<std::size_t>(interval_.count())))},
                   *this, static_cast<std::uint64_t>(Due::beat));
}

void BaselineMembership::datagram_pending() {
  char bytes[kMaxDatagramBytes + 1];
  for (;;) {
    const net::ReceiveResult got = network_.receive(bytes, sizeof bytes);
    if (got.status == net::IoStatus::would_block) break;
    came_from_ = got.from;
    if (got.status == net::IoStatus::done) decode({bytes, got.bytes}, "lab", *this);
  }
  network_.wait_datagram(*this);
}

void BaselineMembership::timer_expired(std::uint64_t token) {
  const auto due = static_cast<Due>(token & 3);
  if (due == Due::beat) {
    for (const Address& seed : seeds_) {
      const bool known = std::any_of(members_.begin(), members_.end(), [&](const auto& m) {
        return m.second.address == seed && there(m.second.standing);
      });
      if (!known) send(MessageKind::ping, seed, Nonce{++nonces_});
    }
    way_ == BaselineProtocol::heartbeats ? beat_to_all() : probe();
    return timers_.schedule(interval_, *this, static_cast<std::uint64_t>(Due::beat));
  }
  const auto it = members_.find(probed_);
  if (answered_ || it == members_.end() || token >> 2 != probe_nonce_) return;
  if (due == Due::over) {
    if (it->second.standing == MemberState::alive) set(it->second, MemberState::suspected);
    return;
  }
  for (std::size_t i = 0; i < kHelpers && !order_.empty(); ++i) {
    const auto helper = members_.find(order_[below(order_.size())]);
    if (helper == members_.end() || helper->first == probed_ || !there(helper->second.standing)) continue;
    DatagramWriter writer(MessageKind::ping_request, "lab", from(), Nonce{probe_nonce_});
    writer.ping_request(probed_, it->second.address);
    network_.send_datagram(helper->second.address, writer.finish());
  }
}

void BaselineMembership::beat_to_all() {
  for (auto& [name, m] : members_) {
    if (name == name_) continue;
    send(MessageKind::ping, m.address, Nonce{++nonces_});
    if (there(m.standing) && timers_.now() - m.heard > interval_ * kSilence) set(m, MemberState::failed);
  }
}

void BaselineMembership::probe() {
  for (auto& [name, m] : members_)
    if (m.standing == MemberState::suspected && timers_.now() - m.since > interval_ * kSilence)
      set(m, MemberState::failed);
  if (order_.empty()) {
    for (const auto& [name, m] : members_)
      if (name != name_ && there(m.standing)) order_.push_back(name);
    for (std::size_t i = order_.size(); i > 1; --i) std::swap(order_[i - 1], order_[below(i)]);
  }
  if (order_.empty()) return;
  probed_ = order_.back();
  order_.pop_back();
  const auto it = members_.find(probed_);
  if (it == members_.end() || !there(it->second.standing)) return;
  answered_ = false;
  probe_nonce_ = ++nonces_;
  send(MessageKind::ping, it->second.address, Nonce{probe_nonce_});
  timers_.schedule(interval_ / 3, *this, probe_nonce_ << 2 | static_cast<std::uint64_t>(Due::direct));
  timers_.schedule(interval_ * 9 / 10, *this, probe_nonce_ << 2 | static_cast<std::uint64_t>(Due::over));
}

void BaselineMembership::set(Member& m, MemberState standing) {
  m.standing = standing;
  m.since = timers_.now();
  m.sends = 3 * static_cast<int>(std::ceil(std::log2(static_cast<double>(members_.size()) + 1)));
}

void BaselineMembership::on_update(const Sender& from, const MemberUpdate& w) {
  if (w.name == name_) {
    Member& me = members_.find(name_)->second;
    if (w.state == MemberState::alive || w.generation < me.start) return;
    if (w.state == MemberState::failed) me.start = Generation{w.generation.value + 1};
    me.word = w.incarnation + 1;
    return set(me, MemberState::alive);
  }
  const bool own = w.name == from.name;
  const auto [it, fresh] = members_.try_emplace(std::string(w.name));
  Member& m = it->second;
  if (way_ == BaselineProtocol::heartbeats) {
    // Who is told of by another is heard from itself soon, or not at all.
    if (!fresh && !own) return;
    if (!fresh && w.generation < m.start) return;
    m.heard = timers_.now();
    const bool back = fresh || !there(m.standing);
    m.start = w.generation, m.address = w.address;
    if (back) set(m, MemberState::alive);
    return;
  }
  const auto rank = [](MemberState s) {
    return s == MemberState::failed ? 2 : s == MemberState::suspected ? 1 : 0;
  };
  const bool later = fresh || w.generation > m.start ||
                     (w.generation == m.start && m.standing != MemberState::failed &&
                      (w.state == MemberState::failed || w.incarnation > m.word ||
                       (w.incarnation == m.word && rank(w.state) > rank(m.standing))));
  if (!later) return;
  m.start = w.generation, m.word = w.incarnation, m.address = w.address;
  set(m, w.state == MemberState::joining ? MemberState::alive : w.state);
}

void BaselineMembership::on_ping(const Sender& from, Nonce nonce) {
  const auto it = members_.find(from.name);
  const bool fresh = it == members_.end() || timers_.now() - it->second.since < interval_ * 2;
  if (way_ == BaselineProtocol::swim || fresh) send(MessageKind::ack, from.address, nonce, fresh);
}

void BaselineMembership::on_ack(const Sender&, Nonce nonce) {
  if (nonce.value == probe_nonce_) answered_ = true;
  const auto it = helped_.find(nonce.value);
  if (it == helped_.end()) return;
  send(MessageKind::ack, it->second.second, it->second.first);
  helped_.erase(it);
}

void BaselineMembership::on_ping_request(const Sender& from, Nonce nonce, std::string_view,
                                         const Address& at) {
  while (helped_.size() > 64) helped_.erase(helped_.begin());
  helped_[++nonces_] = {nonce, from.address};
  send(MessageKind::ping, at, Nonce{nonces_});
}

MemberUpdate BaselineMembership::update_of(const std::string& name, const Member& m) const {
  return {name, m.start, m.word, m.standing, m.address, "", "plain", "", name};
}

Sender BaselineMembership::from() const {
  const Member& me = members_.find(name_)->second;
  Sender out{name_, me.start, at_};
  for (const auto& [name, m] : members_)
    if (there(m.standing)) out.digest ^= mix(m.start.value ^ std::hash<std::string>()(name));
  return out;
}

// With its own word and, by SWIM, those least spread so far; `all`: with all there are, in as many datagrams.
void BaselineMembership::send(MessageKind kind, const Address& to, Nonce nonce, bool all) {
  DatagramWriter writer(kind, "lab", from(), nonce);
  writer.add(update_of(name_, members_.find(name_)->second));
  if (all) {
    for (auto it = members_.begin(); it != members_.end();) {
      DatagramWriter part(MessageKind::gossip, "lab", from(), nonce);
      while (it != members_.end() &&
             (!there(it->second.standing) || part.add(update_of(it->first, it->second))))
        ++it;
      network_.send_datagram(to, part.finish());
    }
  } else if (way_ == BaselineProtocol::swim) {
    std::vector<Members::value_type*> gossip;
    for (auto& m : members_)
      if (m.second.sends > 0 && m.first != name_) gossip.push_back(&m);
    std::sort(gossip.begin(), gossip.end(),
              [](const auto* a, const auto* b) { return a->second.sends > b->second.sends; });
    for (auto* n : gossip) {
      if (!writer.add(update_of(n->first, n->second))) break;
      --n->second.sends;
    }
  }
  network_.send_datagram(to, writer.finish());
}

void BaselineMembership::on_view_query(Nonce nonce, std::string_view after) {
  const auto begin = after.empty() ? members_.begin() : members_.upper_bound(after);
  for (const bool last : {true, false}) {
    DatagramWriter writer(MessageKind::view_page, "lab", from(), nonce);
    writer.view_page(last);
    auto it = begin;
    while (it != members_.end() &&
           writer.add(update_of(it->first, it->second), timers_.now() - it->second.since))
      ++it;
    if (it == members_.end() || !last) return network_.send_datagram(came_from_, writer.finish());
  }
}

}  // namespace flintweir::lab
