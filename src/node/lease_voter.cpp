#include "node/lease_voter.h"

#include "net/log.h"
#include "numbers.h"

namespace flintweir::node {

using namespace leases;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMostPlaces = 4096;

}  // namespace

LeaseVoter::LeaseVoter(net::Network& network, const setup::LeasesSection& leases, std::string name,
                       const Address& told, std::uint64_t start)
    : network_(network),
      name_(std::move(name)),
      told_(told),
      set_(voter_set_id(leases.voters, leases.length)),
      disk_(leases.folder),
      folder_(leases.folder.empty() ? std::optional<PromiseStore>()
                                    : std::optional<PromiseStore>(std::in_place, disk_, name_)),
      voter_(leases.length, Token{start}, network.now_including_suspend(), folder_ ? &*folder_ : nullptr,
             folder_ ? folder_->loaded() : std::nullopt),
      complained_at_(kNever) {
  net::log_line("leases: voter name=%s set=%016llx silent_ms=%lld", name_.c_str(),
                static_cast<unsigned long long>(set_),
                static_cast<long long>(
                    voter_.silent(network.now_including_suspend()) ? leases.length.count() / 1000 : 0));
}

void LeaseVoter::received(std::string_view bytes) { decode(bytes, *this); }

void LeaseVoter::on_request(const Sender& from, const Request& r) {
  if (r.kind == RequestKind::query) return show(from, r.lease);
  const Micros now = network_.now_including_suspend();
  if (from.voter_set != set_) {
    // Voters of one set must not be counted for another: a majority of each may share nobody.
    if (complained_at_ == kNever || now - complained_at_ >= 10s) {
      complained_at_ = now;
      net::log_line("leases: other-set from=%.*s theirs=%016llx ours=%016llx",
                    static_cast<int>(from.name.size()), from.name.data(),
                    static_cast<unsigned long long>(from.voter_set), static_cast<unsigned long long>(set_));
    }
    return;
  }
  const auto reply = voter_.handle(now, r, from.name);
  if (!reply) return;
  answer(from.reply_to, *reply);
  if (reply->kind == ReplyKind::queued && (places_.size() < kMostPlaces || places_.contains(from.name)))
    places_.insert_or_assign(std::string(from.name), from.reply_to);
  if (reply->kind != ReplyKind::released) return;
  for (const std::string& next : voter_.take_waiters(r.lease)) {
    if (const auto it = places_.find(next); it != places_.end())
      answer(it->second, {ReplyKind::released, r.lease, r.token, Round{}, r.token, {}, 0us});
  }
}

void LeaseVoter::answer(const Address& to, const Reply& reply) {
  DatagramWriter writer(DatagramWriter::Kind::replies, {set_, name_, told_});
  writer.add(reply);
  network_.send_datagram(to, writer.finish());
}

// A page of what stands behind that name.
void LeaseVoter::show(const Sender& to, std::string_view after) {
  const auto all = voter_.list(network_.now_including_suspend());
  for (const bool last : {true, false}) {
    DatagramWriter writer(DatagramWriter::Kind::status_page, {set_, name_, told_});
    writer.set_last(last);
    bool whole = true;
    for (const Voter::LeaseState& s : all)
      if (whole && s.lease > after)
        whole = writer.add(LeaseStatus{s.lease, s.holder, s.token, s.remaining,
                                       static_cast<std::uint32_t>(s.waiters.size())});
    if (whole || !last) return network_.send_datagram(to.reply_to, writer.finish());
  }
}

}  // namespace flintweir::node
