#include "node/lease_voter.h"

#include "net/log.h"
#include "numbers.h"

namespace flintweir::node {

using namespace leases;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxWaiterAddresses = 4096;
constexpr Micros kMismatchLogInterval = 10s;

}  // namespace

LeaseVoter::LeaseVoter(net::Network& network, const setup::LeasesSection& leases, std::string name,
                       const Address& advertised, std::uint64_t start_time)
    : network_(network),
      name_(std::move(name)),
      advertised_(advertised),
      voter_set_(voter_set_id(leases.voters, leases.length)),
      directory_(leases.folder),
      store_(leases.folder.empty() ? std::optional<PromiseStore>()
                                   : std::optional<PromiseStore>(std::in_place, directory_, name_)),
      voter_(leases.length, Token{start_time}, network.now_including_suspend(), store_ ? &*store_ : nullptr,
             store_ ? store_->loaded() : std::nullopt),
      mismatch_logged_at_(kNever) {
  net::log_line("leases: voter name=%s set=%016llx silent_ms=%lld", name_.c_str(),
                static_cast<unsigned long long>(voter_set_),
                static_cast<long long>(
                    voter_.silent(network.now_including_suspend()) ? leases.length.count() / 1000 : 0));
}

void LeaseVoter::on_datagram(std::string_view bytes) { decode(bytes, *this); }

void LeaseVoter::on_request(const Sender& from, const Request& request) {
  if (request.kind == RequestKind::query) return send_status_page(from, request.lease);
  const Micros now = network_.now_including_suspend();
  if (from.voter_set != voter_set_) {
    // A vote must not count for another set of voters, because majorities of two different sets may have no
    // voter in common.
    if (mismatch_logged_at_ == kNever || now - mismatch_logged_at_ >= kMismatchLogInterval) {
      mismatch_logged_at_ = now;
      net::log_line("leases: other-set from=%.*s theirs=%016llx ours=%016llx",
                    static_cast<int>(from.name.size()), from.name.data(),
                    static_cast<unsigned long long>(from.voter_set),
                    static_cast<unsigned long long>(voter_set_));
    }
    return;
  }
  const auto reply = voter_.handle(now, request, from.name);
  if (!reply) return;
  send_reply(from.reply_to, *reply);
  if (reply->kind == ReplyKind::queued &&
      (waiter_addresses_.size() < kMaxWaiterAddresses || waiter_addresses_.contains(from.name)))
    waiter_addresses_.insert_or_assign(std::string(from.name), from.reply_to);
  if (reply->kind != ReplyKind::released) return;
  for (const std::string& waiter : voter_.take_waiters(request.lease)) {
    if (const auto it = waiter_addresses_.find(waiter); it != waiter_addresses_.end())
      send_reply(it->second,
                 {ReplyKind::released, request.lease, request.token, Round{}, request.token, {}, 0us});
  }
}

void LeaseVoter::send_reply(const Address& to, const Reply& reply) {
  DatagramWriter writer(DatagramWriter::Kind::replies, {voter_set_, name_, advertised_});
  writer.add(reply);
  network_.send_datagram(to, writer.finish());
}

// Sends the state of as many leases as fit into a datagram, beginning after the name `after`.
void LeaseVoter::send_status_page(const Sender& to, std::string_view after) {
  const auto states = voter_.list(network_.now_including_suspend());
  for (const bool last : {true, false}) {
    DatagramWriter writer(DatagramWriter::Kind::status_page, {voter_set_, name_, advertised_});
    writer.set_last(last);
    bool all_fit = true;
    for (const Voter::LeaseState& state : states)
      if (all_fit && state.lease > after)
        all_fit = writer.add(LeaseStatus{state.lease, state.holder, state.token, state.remaining,
                                         static_cast<std::uint32_t>(state.waiters.size())});
    if (all_fit || !last) return network_.send_datagram(to.reply_to, writer.finish());
  }
}

}  // namespace flintweir::node
