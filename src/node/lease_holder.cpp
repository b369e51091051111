#include "node/lease_holder.h"

#include <algorithm>

namespace flintweir::node {

using namespace leases;
using namespace std::chrono_literals;

namespace {

// How often a node is queried while voters are not known yet, and later, as voters may get other addresses.
constexpr Micros kSearchInterval = 300ms, kRefreshInterval = 2s;

}  // namespace

VoterAddresses::VoterAddresses(net::Network& network, const setup::FleetSection& fleet,
                               std::vector<std::string> voters, std::uint64_t seed)
    : network_(network), nodes_{fleet.address}, voters_(std::move(voters)), query_seed_(seed << 20) {
  for (const Address& seed_node : fleet.seeds)
    if (seed_node != fleet.address) nodes_.push_back(seed_node);
}

void VoterAddresses::query_next_node() {
  queried_ = nodes_[next_node_++ % nodes_.size()];
  query_ = members::ViewQuery(query_seed_ += 1 << 10);
  network_.send_datagram(queried_, query_.next_request());
}

bool VoterAddresses::on_datagram(const Address& from, std::string_view bytes) {
  if (from != queried_) return false;
  if (!query_.received(bytes)) {
    network_.send_datagram(queried_, query_.next_request());
    return true;
  }
  for (const members::ViewQuery::Row& row : query_.rows())
    if (const auto voter = index_of(row.name)) known_[*voter] = row.address;
  return true;
}

const Address* VoterAddresses::find(std::size_t voter) const {
  const auto it = known_.find(voter);
  return it == known_.end() ? nullptr : &it->second;
}

std::optional<std::size_t> VoterAddresses::index_of(std::string_view voter_name) const {
  const auto it = std::find(voters_.begin(), voters_.end(), voter_name);
  return it == voters_.end() ? std::nullopt : std::optional(static_cast<std::size_t>(it - voters_.begin()));
}

LeaseHolder::LeaseHolder(net::Network& network, net::TimerQueue& timers,
                         const setup::OperatorFile& operator_file, std::string lease, std::string participant,
                         const Address& local, std::optional<Address> advertised, std::uint64_t seed,
                         Events& events)
    : network_(network),
      timers_(timers),
      participant_(std::move(participant)),
      local_(local),
      advertised_(advertised),
      voter_set_(voter_set_id(operator_file.leases->voters, operator_file.leases->length)),
      events_(events),
      voters_(network, *operator_file.fleet, operator_file.leases->voters, seed),
      candidate_(*this, std::move(lease), operator_file.leases->voters.size(), operator_file.leases->length,
                 Token{static_cast<std::uint64_t>(timers.now().count())}, seed) {}

void LeaseHolder::start() {
  local_ = network_.open_datagrams(local_);
  network_.wait_datagram(*this);
  timer_expired(find_voters);
  candidate().acquire();
}

Candidate& LeaseHolder::candidate() {
  candidate_.set_time(network_.now_including_suspend());
  return candidate_;
}

void LeaseHolder::release() { candidate().release(); }
Micros LeaseHolder::time_left() { return candidate().remaining(); }

void receive_datagrams(net::Network& network, net::DatagramEvents& events, DatagramHandler& handler,
                       VoterAddresses& voters) {
  char bytes[members::kMaxDatagramBytes + 1];
  for (;;) {
    const net::ReceiveResult received = network.receive(bytes, sizeof bytes);
    if (received.status == net::IoStatus::would_block) break;
    if (received.status != net::IoStatus::done) continue;
    const std::string_view datagram(bytes, received.bytes);
    is_lease_datagram(datagram) ? void(decode(datagram, handler))
                                : void(voters.on_datagram(received.from, datagram));
  }
  network.wait_datagram(events);
}

void LeaseHolder::datagram_pending() { receive_datagrams(network_, *this, *this, voters_); }

void LeaseHolder::timer_expired(std::uint64_t token) {
  if (token != find_voters) return candidate().timer_expired(TimerId{token});
  voters_.query_next_node();
  timers_.schedule(voters_.all_known() ? kRefreshInterval : kSearchInterval, *this, find_voters);
}

void LeaseHolder::send_request(VoterIndex voter, const Request& request) {
  const Address* const address = voters_.find(voter.value);
  if (!address) return;
  DatagramWriter writer(DatagramWriter::Kind::requests,
                        {voter_set_, participant_, advertised_.value_or(local_)});
  writer.add(request);
  network_.send_datagram(*address, writer.finish());
}

void LeaseHolder::on_reply(const Sender& from, const Reply& reply) {
  const auto voter = voters_.index_of(from.name);
  if (voter && from.voter_set == voter_set_ && reply.lease == candidate_.lease())
    candidate().on_reply(VoterIndex{static_cast<std::uint32_t>(*voter)}, reply);
}

}  // namespace flintweir::node
