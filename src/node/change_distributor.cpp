#include "node/change_distributor.h"

#include <cstdio>
#include <stdexcept>

#include "net/log.h"

namespace flintweir::node {
namespace {

// The files of the change in force and of a newer one that this node has refused.
constexpr const char* kInForceFile = "change-in-force";
constexpr const char* kRefusedFile = "change-refused";

}  // namespace

std::string encode_change_file(const changes::Change& change) {
  char header[80];
  std::snprintf(header, sizeof header, "flintweir-change 1 %llu %016llx\n",
                static_cast<unsigned long long>(change.number.value),
                static_cast<unsigned long long>(changes::change_id(change).checksum));
  return header + change.text;
}

std::optional<changes::Change> decode_change_file(std::string_view text) {
  const std::size_t header_end = text.find('\n');
  unsigned long long number = 0, checksum = 0;
  if (header_end == text.npos || std::sscanf(std::string(text.substr(0, header_end)).c_str(),
                                             "flintweir-change 1 %llu %llx", &number, &checksum) != 2)
    return std::nullopt;
  changes::Change change{changes::ChangeNumber{number}, std::string(text.substr(header_end + 1))};
  if (change.text.size() > changes::kMaxTextBytes || changes::change_id(change).checksum != checksum)
    return std::nullopt;
  return change;
}

ChangeDistributor::ChangeDistributor(net::Network& network, net::TimerQueue& timers, members::View& view,
                                     const setup::FleetSection& fleet, const setup::ChangesSection& changes,
                                     std::string name, std::uint64_t seed,
                                     std::function<std::string(const changes::Change&)> apply)
    : network_(network),
      timers_(timers),
      view_(view),
      seeds_(fleet.seeds),
      apply_(std::move(apply)),
      path_(changes.folder),
      directory_(changes.folder),
      replicator_(*this, fleet.name, std::move(name), fleet.advertised, seed) {
  if (path_.empty()) return;
  // A corrupted file is ignored, because other members have the newest change.
  for (const char* name : {kInForceFile, kRefusedFile}) {
    const auto text = directory_.read(name);
    if (!text) continue;
    auto change = decode_change_file(*text);
    if (!change)
      net::log_line("change: the file %s in %s is corrupted and ignored", name, path_.c_str());
    else if (stored_.empty() || change_id(*change) > change_id(stored_.back()))
      stored_.push_back(std::move(*change));
  }
}

void ChangeDistributor::start() {
  replicator_.set_time(timers_.now());
  replicator_.start(std::exchange(stored_, {}), seeds_);
}

void ChangeDistributor::on_datagram(const Address& from, std::string_view bytes) {
  replicator_.set_time(timers_.now());
  replicator_.on_datagram(from, bytes);
}

void ChangeDistributor::timer_expired(std::uint64_t token) {
  replicator_.set_time(timers_.now());
  replicator_.timer_expired(TimerId{token});
}

void ChangeDistributor::persist(const changes::Change& change, bool in_force) {
  if (path_.empty()) return;
  const std::string name = in_force ? kInForceFile : kRefusedFile, temporary = name + ".new";
  if (!directory_.write(temporary, encode_change_file(change)) || !directory_.rename(temporary, name) ||
      !directory_.sync())
    net::log_line("change: number=%llu cannot be stored in %s and is lost when this process ends",
                  static_cast<unsigned long long>(change.number.value), path_.c_str());
}

void ChangeDistributor::on_status_change(const changes::Status& status, std::string_view from) {
  const auto number = static_cast<unsigned long long>(status.held.newest.number.value);
  const int from_size = static_cast<int>(from.size());
  if (status.reason.empty())
    net::log_line("change number=%llu in force from=%.*s", number, from_size, from.data());
  else
    net::log_line("change number=%llu refused, in_force=%llu from=%.*s why=\"%s\"", number,
                  static_cast<unsigned long long>(status.held.in_force.number.value), from_size, from.data(),
                  status.reason.c_str());
}

}  // namespace flintweir::node
