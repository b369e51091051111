#include "node/voting.h"

#include "net/log.h"
#include "numbers.h"

namespace flintweir::node {

using namespace leases;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMostPlaces = 4096;

}  // namespace

Voting::Voting(net::Network& network, const setup::LeasesSection& leases, std::string name,
               const Address& told, std::uint64_t start)
    : network_(network),
      name_(std::move(name)),
      told_(told),
      set_(set_of(leases.voters, leases.length)),
      disk_(leases.folder),
      folder_(leases.folder.empty() ? std::optional<PromiseFolder>()
                                    : std::optional<PromiseFolder>(std::in_place, disk_, name_)),
      voter_(leases.length, Token{start}, network.ticking(), folder_ ? &*folder_ : nullptr,
             folder_ ? folder_->kept() : std::nullopt),
      complained_at_(kNever) {
  net::log_line("leases: voter name=%s set=%016llx silent_ms=%lld", name_.c_str(),
                static_cast<unsigned long long>(set_),
                static_cast<long long>(voter_.silent(network.ticking()) ? leases.length.count() / 1000 : 0));
}

void Voting::received(std::string_view bytes) { decode(bytes, *this); }

void Voting::request_came(const Sender& from, const Request& r) {
  if (r.ask == Ask::look) return show(from, r.lease);
  const Micros now = network_.ticking();
  if (from.set != set_) {
    // Voters of one set must not be counted for another: a majority of each may share nobody.
    if (complained_at_ == kNever || now - complained_at_ >= 10s) {
      complained_at_ = now;
      net::log_line("leases: other-set from=%.*s theirs=%016llx ours=%016llx",
                    static_cast<int>(from.name.size()), from.name.data(),
                    static_cast<unsigned long long>(from.set), static_cast<unsigned long long>(set_));
    }
    return;
  }
  const auto reply = voter_.asked(now, r, from.name);
  if (!reply) return;
  answer(from.told, *reply);
  if (reply->say == Say::in_line && (places_.size() < kMostPlaces || places_.contains(from.name)))
    places_.insert_or_assign(std::string(from.name), from.told);
  if (reply->say != Say::freed) return;
  for (const std::string& next : voter_.freed(r.lease)) {
    if (const auto it = places_.find(next); it != places_.end())
      answer(it->second, {Say::freed, r.lease, r.token, Round{}, r.token, {}, 0us});
  }
}

void Voting::answer(const Address& to, const Reply& reply) {
  Writer writer(Writer::Kind::replies, {set_, name_, told_});
  writer.add(reply);
  network_.send_datagram(to, writer.done());
}

// A page of what stands behind that name.
void Voting::show(const Sender& to, std::string_view after) {
  const auto all = voter_.all(network_.ticking());
  for (const bool last : {true, false}) {
    Writer writer(Writer::Kind::page, {set_, name_, told_});
    writer.last(last);
    bool whole = true;
    for (const Voter::Standing& s : all)
      if (whole && s.lease > after)
        whole =
            writer.add(Shown{s.lease, s.holder, s.token, s.left, static_cast<std::uint32_t>(s.line.size())});
    if (whole || !last) return network_.send_datagram(to.told, writer.done());
  }
}

}  // namespace flintweir::node
