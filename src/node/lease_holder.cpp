#include "node/lease_holder.h"

#include <algorithm>

namespace flintweir::node {

using namespace leases;
using namespace std::chrono_literals;

namespace {

constexpr Micros kLooks = 300ms,
                 kLooksAgain = 2s;  // for voters that are not known yet, and that may have moved

}  // namespace

VoterAddresses::VoterAddresses(net::Network& network, const setup::FleetSection& fleet,
                               std::vector<std::string> voters, std::uint64_t seed)
    : network_(network), nodes_{fleet.address}, voters_(std::move(voters)), nonces_(seed << 20) {
  for (const Address& s : fleet.seeds)
    if (s != fleet.address) nodes_.push_back(s);
}

void VoterAddresses::ask() {
  asked_ = nodes_[next_++ % nodes_.size()];
  asker_ = members::ViewQuery(nonces_ += 1 << 10);
  network_.send_datagram(asked_, asker_.next_request());
}

bool VoterAddresses::received(const Address& from, std::string_view bytes) {
  if (from != asked_) return false;
  if (!asker_.received(bytes)) {
    network_.send_datagram(asked_, asker_.next_request());
    return true;
  }
  for (const members::ViewQuery::Row& row : asker_.rows())
    if (const auto voter = named(row.name)) known_[*voter] = row.address;
  return true;
}

const Address* VoterAddresses::of(std::size_t voter) const {
  const auto it = known_.find(voter);
  return it == known_.end() ? nullptr : &it->second;
}

std::optional<std::size_t> VoterAddresses::named(std::string_view name) const {
  const auto it = std::find(voters_.begin(), voters_.end(), name);
  return it == voters_.end() ? std::nullopt : std::optional(static_cast<std::size_t>(it - voters_.begin()));
}

LeaseHolder::LeaseHolder(net::Network& network, net::TimerQueue& timers, const setup::OperatorFile& own,
                         std::string lease, std::string who, const Address& here, std::optional<Address> told,
                         std::uint64_t seed, Events& whom)
    : network_(network),
      timers_(timers),
      who_(std::move(who)),
      here_(here),
      told_(told),
      set_(voter_set_id(own.leases->voters, own.leases->length)),
      whom_(whom),
      places_(network, *own.fleet, own.leases->voters, seed),
      seeker_(*this, std::move(lease), own.leases->voters.size(), own.leases->length,
              Token{static_cast<std::uint64_t>(timers.now().count())}, seed) {}

void LeaseHolder::start() {
  here_ = network_.open_datagrams(here_);
  network_.wait_datagram(*this);
  timer_expired(look_for_voters);
  seeker().acquire();
}

Candidate& LeaseHolder::seeker() {
  seeker_.set_time(network_.now_including_suspend());
  return seeker_;
}

void LeaseHolder::release() { seeker().release(); }
Micros LeaseHolder::time_left() { return seeker().remaining(); }

void receive_datagrams(net::Network& network, net::DatagramEvents& whom, DatagramHandler& hearer,
                       VoterAddresses& places) {
  char bytes[members::kMaxDatagramBytes + 1];
  for (;;) {
    const net::ReceiveResult got = network.receive(bytes, sizeof bytes);
    if (got.status == net::IoStatus::would_block) break;
    if (got.status != net::IoStatus::done) continue;
    const std::string_view text(bytes, got.bytes);
    is_lease_datagram(text) ? void(decode(text, hearer)) : void(places.received(got.from, text));
  }
  network.wait_datagram(whom);
}

void LeaseHolder::datagram_pending() { receive_datagrams(network_, *this, *this, places_); }

void LeaseHolder::timer_expired(std::uint64_t token) {
  if (token != look_for_voters) return seeker().timer_expired(TimerId{token});
  places_.ask();
  timers_.schedule(places_.all() ? kLooksAgain : kLooks, *this, look_for_voters);
}

void LeaseHolder::send_request(VoterIndex voter, const Request& request) {
  const Address* const at = places_.of(voter.value);
  if (!at) return;
  DatagramWriter writer(DatagramWriter::Kind::requests, {set_, who_, told_.value_or(here_)});
  writer.add(request);
  network_.send_datagram(*at, writer.finish());
}

void LeaseHolder::on_reply(const Sender& from, const Reply& reply) {
  const auto voter = places_.named(from.name);
  if (voter && from.voter_set == set_ && reply.lease == seeker_.lease())
    seeker().on_reply(VoterIndex{static_cast<std::uint32_t>(*voter)}, reply);
}

}  // namespace flintweir::node
