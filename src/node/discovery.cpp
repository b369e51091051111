#include "node/discovery.h"

#include <algorithm>

#include "net/log.h"
#include "setup/deployment.h"

namespace flintweir::node {
namespace {

using namespace std::chrono_literals;

constexpr Micros kWait = 20s,
                 kSlack = 2s;  // of a watch; what it has not told by then counts as told all the same

std::optional<Standing> standing_of(std::string_view state) {
  if (state == "SERVING") return Standing::in;
  if (state == "DRAINING") return Standing::draining;
  if (state == "DELETED") return Standing::gone;
  return std::nullopt;
}

}  // namespace

void Discovery::watch() {
  if (!std::exchange(watching_, true)) ask();
}

void Discovery::turn_to(const Address& at) {
  get_.turn_to(at);
  version_.reset();
  watching_ = true;
  ask();
}

// Without a pause after the last answer, so that it stays one watch.
void Discovery::ask() {
  if (!version_) return get_.get("/api/targets", kSlack);
  get_.get("/api/targets?since=" + std::to_string(*version_) +
               "&timeout_ms=" + std::to_string(std::chrono::milliseconds(kWait / 1ms).count()),
           kWait + kSlack);
}

void Discovery::http_answered(unsigned status, std::string& body) {
  simdjson::dom::element list;
  if (status != 200) {
    log_line("discovery: status %u", status);
  } else if (parser_.parse(body).get(list) || !take(list)) {
    log_line("discovery: an answer of %zu bytes is malformed or stale", body.size());
  } else {
    return ask();
  }
  failed();
}

void Discovery::http_failed(const char* why) {
  log_line("discovery: %s", why);
  failed();
}

void Discovery::failed() {
  watching_ = false;
  told_.balancer_now().list_failed();
}

template <class Entry>
bool Discovery::each_target(const simdjson::dom::array& targets, Entry entry) const {
  for (const simdjson::dom::element e : targets) {
    simdjson::dom::object o;
    std::string_view uid, address, zone, state;
    if (e.get(o) || o["uid"].get(uid) || uid.empty() || o["state"].get(state)) return false;
    const auto standing = standing_of(state);
    if (!standing) return false;
    std::optional<Address> at;
    if (!o["endpoint"].get(address)) at = address_of(address);
    if (!at && standing != Standing::gone) return false;
    std::size_t zone_no = zones_.size();
    if (!o["az"].get(zone)) {
      zone_no = static_cast<std::size_t>(std::find(zones_.begin(), zones_.end(), zone) - zones_.begin());
    }
    std::uint64_t cell;
    if (o["pod_group"].get(cell)) cell = 0;
    double share, boot_ms;
    if (o["capacity_hint"].get(share)) share = 1;
    if (o["boot_ms"].get(boot_ms)) boot_ms = 0;
    if (!(boot_ms >= 0 && boot_ms < 1e15)) return false;
    entry(HostId{setup::id_of(uid)}, uid, at.value_or(Address()), ZoneId{static_cast<std::uint32_t>(zone_no)},
          CellId{static_cast<std::uint32_t>(cell)}, *standing, share,
          Micros{static_cast<std::int64_t>(boot_ms * 1000)});
  }
  return true;
}

bool Discovery::take(const simdjson::dom::element& list) {
  simdjson::dom::object o;
  simdjson::dom::array targets;
  std::uint64_t version;
  bool whole;
  if (list.get(o) || o["rev"].get(version) || o["all"].get(whole) || o["targets"].get(targets)) return false;
  // Read through once before anything is told: half a list would take hosts for gone that are not.
  if (!each_target(targets, [](auto&&...) {})) return false;
  // Older than what is known, or changes to a list that this service never gave.
  if (!whole && (!version_ || version < *version_)) return version_.reset(), false;
  Balancer& balancer = told_.balancer_now();
  balancer.list_begins(whole);
  each_target(targets, [&](HostId id, std::string_view name, const Address& at, ZoneId zone, CellId cell,
                           Standing standing, double share, Micros started) {
    balancer.listed(id, zone, cell, standing, share, started);
    if (standing != Standing::gone) hosts_.listed(id, name, at);
  });
  balancer.list_ends();
  version_ = version;
  return true;
}

}  // namespace flintweir::node
