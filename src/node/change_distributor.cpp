#include "node/change_distributor.h"

#include <cstdio>
#include <stdexcept>

#include "net/log.h"

namespace flintweir::node {
namespace {

// The one it runs by, and a newer one that it has refused.
constexpr const char* kInForce = "change-in-force";
constexpr const char* kRefused = "change-refused";

}  // namespace

std::string encode_change_file(const changes::Change& change) {
  char head[80];
  std::snprintf(head, sizeof head, "flintweir-change 1 %llu %016llx\n",
                static_cast<unsigned long long>(change.number.value),
                static_cast<unsigned long long>(changes::change_id(change).checksum));
  return head + change.text;
}

std::optional<changes::Change> decode_change_file(std::string_view text) {
  const std::size_t end = text.find('\n');
  unsigned long long number = 0, sum = 0;
  if (end == text.npos || std::sscanf(std::string(text.substr(0, end)).c_str(),
                                      "flintweir-change 1 %llu %llx", &number, &sum) != 2)
    return std::nullopt;
  changes::Change out{changes::ChangeNumber{number}, std::string(text.substr(end + 1))};
  if (out.text.size() > changes::kMaxTextBytes || changes::change_id(out).checksum != sum)
    return std::nullopt;
  return out;
}

ChangeDistributor::ChangeDistributor(net::Network& network, net::TimerQueue& timers, members::View& view,
                                     const setup::FleetSection& fleet, const setup::ChangesSection& changes,
                                     std::string name, std::uint64_t seed,
                                     std::function<std::string(const changes::Change&)> take)
    : network_(network),
      timers_(timers),
      view_(view),
      seeds_(fleet.seeds),
      take_(std::move(take)),
      folder_(changes.folder),
      disk_(changes.folder),
      replicator_(*this, fleet.name, std::move(name), fleet.advertised, seed) {
  if (folder_.empty()) return;
  // A file that is spoilt is as good as none: members have the newest.
  for (const char* name : {kInForce, kRefused}) {
    const auto text = disk_.read(name);
    if (!text) continue;
    auto kept = decode_change_file(*text);
    if (!kept)
      net::log_line("change: the file %s in %s is not whole, left alone", name, folder_.c_str());
    else if (kept_.empty() || change_id(*kept) > change_id(kept_.back()))
      kept_.push_back(std::move(*kept));
  }
}

void ChangeDistributor::start() {
  replicator_.set_time(timers_.now());
  replicator_.start(std::exchange(kept_, {}), seeds_);
}

void ChangeDistributor::received(const Address& from, std::string_view bytes) {
  replicator_.set_time(timers_.now());
  replicator_.on_datagram(from, bytes);
}

void ChangeDistributor::timer_expired(std::uint64_t token) {
  replicator_.set_time(timers_.now());
  replicator_.timer_expired(TimerId{token});
}

void ChangeDistributor::persist(const changes::Change& change, bool in_force) {
  if (folder_.empty()) return;
  const std::string name = in_force ? kInForce : kRefused, beside = name + ".new";
  if (!disk_.write(beside, encode_change_file(change)) || !disk_.rename(beside, name) || !disk_.sync())
    net::log_line("change: number=%llu can't be kept in %s, held until the end of this process",
                  static_cast<unsigned long long>(change.number.value), folder_.c_str());
}

void ChangeDistributor::on_status_change(const changes::Status& now, std::string_view from) {
  const auto number = static_cast<unsigned long long>(now.held.newest.number.value);
  const int size = static_cast<int>(from.size());
  if (now.reason.empty())
    net::log_line("change number=%llu in force from=%.*s", number, size, from.data());
  else
    net::log_line("change number=%llu refused, in_force=%llu from=%.*s why=\"%s\"", number,
                  static_cast<unsigned long long>(now.held.in_force.number.value), size, from.data(),
                  now.reason.c_str());
}

}  // namespace flintweir::node
