#include "lab/fleet/plain_peers.h"

#include <algorithm>
#include <cmath>

#include "numbers.h"

namespace flintweir::lab {

using namespace members;

namespace {

constexpr int kSilence = 6;  // intervals from the last heartbeat, or from a suspicion, to the verdict
constexpr std::size_t kHelpers = 3;

bool there(Standing s) { return s == Standing::alive || s == Standing::suspected; }

}  // namespace

PlainPeers::PlainPeers(net::Network& network, net::Wakes& wakes, PlainWay way, const Address& at,
                       std::string name, std::vector<Address> seeds, Micros interval, std::uint64_t seed)
    : network_(network),
      wakes_(wakes),
      way_(way),
      at_(at),
      name_(std::move(name)),
      seeds_(std::move(seeds)),
      interval_(interval),
      chance_(static_cast<std::knuth_b::result_type>(seed | 1)) {}

void PlainPeers::begin() {
  network_.open_datagrams(at_);
  network_.wait_datagram(*this);
  const Micros now = wakes_.now();
  members_[name_] = {Start{static_cast<std::uint64_t>(now.count())}, 0, Standing::alive, at_, now, now, 0};
  wakes_.after(Micros{static_cast<std::int64_t>(below(static_cast<std::size_t>(interval_.count())))}, *this,
               static_cast<std::uint64_t>(Due::beat));
}

void PlainPeers::datagram_waits() {
  char bytes[kLongestDatagram + 1];
  for (;;) {
    const net::Received got = network_.receive(bytes, sizeof bytes);
    if (got.how == net::Io::later) break;
    came_from_ = got.from;
    if (got.how == net::Io::done) decode({bytes, got.bytes}, "lab", *this);
  }
  network_.wait_datagram(*this);
}

void PlainPeers::woken(std::uint64_t token) {
  const auto due = static_cast<Due>(token & 3);
  if (due == Due::beat) {
    for (const Address& seed : seeds_) {
      const bool known = std::any_of(members_.begin(), members_.end(), [&](const auto& m) {
        return m.second.address == seed && there(m.second.standing);
      });
      if (!known) send(Kind::ping, seed, Nonce{++nonces_});
    }
    way_ == PlainWay::heartbeats ? beat_to_all() : probe();
    return wakes_.after(interval_, *this, static_cast<std::uint64_t>(Due::beat));
  }
  const auto it = members_.find(probed_);
  if (answered_ || it == members_.end() || token >> 2 != probe_nonce_) return;
  if (due == Due::over) {
    if (it->second.standing == Standing::alive) set(it->second, Standing::suspected);
    return;
  }
  for (std::size_t i = 0; i < kHelpers && !order_.empty(); ++i) {
    const auto helper = members_.find(order_[below(order_.size())]);
    if (helper == members_.end() || helper->first == probed_ || !there(helper->second.standing)) continue;
    Writer writer(Kind::ask, "lab", from(), Nonce{probe_nonce_});
    writer.ask(probed_, it->second.address);
    network_.send_datagram(helper->second.address, writer.done());
  }
}

void PlainPeers::beat_to_all() {
  for (auto& [name, m] : members_) {
    if (name == name_) continue;
    send(Kind::ping, m.address, Nonce{++nonces_});
    if (there(m.standing) && wakes_.now() - m.heard > interval_ * kSilence) set(m, Standing::failed);
  }
}

void PlainPeers::probe() {
  for (auto& [name, m] : members_)
    if (m.standing == Standing::suspected && wakes_.now() - m.since > interval_ * kSilence)
      set(m, Standing::failed);
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
  send(Kind::ping, it->second.address, Nonce{probe_nonce_});
  wakes_.after(interval_ / 3, *this, probe_nonce_ << 2 | static_cast<std::uint64_t>(Due::direct));
  wakes_.after(interval_ * 9 / 10, *this, probe_nonce_ << 2 | static_cast<std::uint64_t>(Due::over));
}

void PlainPeers::set(Member& m, Standing standing) {
  m.standing = standing;
  m.since = wakes_.now();
  m.sends = 3 * static_cast<int>(std::ceil(std::log2(static_cast<double>(members_.size()) + 1)));
}

void PlainPeers::word_came(const From& from, const Word& w) {
  if (w.name == name_) {
    Member& me = members_.find(name_)->second;
    if (w.standing == Standing::alive || w.start < me.start) return;
    if (w.standing == Standing::failed) me.start = Start{w.start.value + 1};
    me.word = w.word + 1;
    return set(me, Standing::alive);
  }
  const bool own = w.name == from.name;
  const auto [it, fresh] = members_.try_emplace(std::string(w.name));
  Member& m = it->second;
  if (way_ == PlainWay::heartbeats) {
    // Who is told of by another is heard from itself soon, or not at all.
    if (!fresh && !own) return;
    if (!fresh && w.start < m.start) return;
    m.heard = wakes_.now();
    const bool back = fresh || !there(m.standing);
    m.start = w.start, m.address = w.address;
    if (back) set(m, Standing::alive);
    return;
  }
  const auto rank = [](Standing s) { return s == Standing::failed ? 2 : s == Standing::suspected ? 1 : 0; };
  const bool later = fresh || w.start > m.start ||
                     (w.start == m.start && m.standing != Standing::failed &&
                      (w.standing == Standing::failed || w.word > m.word ||
                       (w.word == m.word && rank(w.standing) > rank(m.standing))));
  if (!later) return;
  m.start = w.start, m.word = w.word, m.address = w.address;
  set(m, w.standing == Standing::joining ? Standing::alive : w.standing);
}

void PlainPeers::ping_came(const From& from, Nonce nonce) {
  const auto it = members_.find(from.name);
  const bool fresh = it == members_.end() || wakes_.now() - it->second.since < interval_ * 2;
  if (way_ == PlainWay::swim || fresh) send(Kind::ack, from.address, nonce, fresh);
}

void PlainPeers::ack_came(const From&, Nonce nonce) {
  if (nonce.value == probe_nonce_) answered_ = true;
  const auto it = helped_.find(nonce.value);
  if (it == helped_.end()) return;
  send(Kind::ack, it->second.second, it->second.first);
  helped_.erase(it);
}

void PlainPeers::ask_came(const From& from, Nonce nonce, std::string_view, const Address& at) {
  while (helped_.size() > 64) helped_.erase(helped_.begin());
  helped_[++nonces_] = {nonce, from.address};
  send(Kind::ping, at, Nonce{nonces_});
}

Word PlainPeers::word_of(const std::string& name, const Member& m) const {
  return {name, m.start, m.word, m.standing, m.address, "", "plain", "", name};
}

From PlainPeers::from() const {
  const Member& me = members_.find(name_)->second;
  From out{name_, me.start, at_};
  for (const auto& [name, m] : members_)
    if (there(m.standing)) out.digest ^= mix(m.start.value ^ std::hash<std::string>()(name));
  return out;
}

// With its own word and, by SWIM, those least spread so far; `all`: with all there are, in as many datagrams.
void PlainPeers::send(Kind kind, const Address& to, Nonce nonce, bool all) {
  Writer writer(kind, "lab", from(), nonce);
  writer.add(word_of(name_, members_.find(name_)->second));
  if (all) {
    for (auto it = members_.begin(); it != members_.end();) {
      Writer part(Kind::gossip, "lab", from(), nonce);
      while (it != members_.end() &&
             (!there(it->second.standing) || part.add(word_of(it->first, it->second))))
        ++it;
      network_.send_datagram(to, part.done());
    }
  } else if (way_ == PlainWay::swim) {
    std::vector<Members::value_type*> gossip;
    for (auto& m : members_)
      if (m.second.sends > 0 && m.first != name_) gossip.push_back(&m);
    std::sort(gossip.begin(), gossip.end(),
              [](const auto* a, const auto* b) { return a->second.sends > b->second.sends; });
    for (auto* n : gossip) {
      if (!writer.add(word_of(n->first, n->second))) break;
      --n->second.sends;
    }
  }
  network_.send_datagram(to, writer.done());
}

void PlainPeers::query_came(Nonce nonce, std::string_view after) {
  const auto begin = after.empty() ? members_.begin() : members_.upper_bound(after);
  for (const bool last : {true, false}) {
    Writer writer(Kind::page, "lab", from(), nonce);
    writer.page(last);
    auto it = begin;
    while (it != members_.end() &&
           writer.add(word_of(it->first, it->second), wakes_.now() - it->second.since))
      ++it;
    if (it == members_.end() || !last) return network_.send_datagram(came_from_, writer.done());
  }
}

}  // namespace flintweir::lab
