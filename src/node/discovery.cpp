#include "node/discovery.h"

#include <algorithm>

#include "net/log.h"
#include "setup/deployment.h"

namespace flintweir::node {
namespace {

using namespace std::chrono_literals;

constexpr Micros kWait = 20s;  // of a watch, at most
// A watch that has not answered so long after its wait is taken to have fallen silent: what it misses counts
// as told kAfterWait after that wait, and a whole list has to be here by then.
constexpr Micros kWatchSlack = StalenessClock::kAfterWait / 4;
// Between a call that failed and the next, where the module's pause is longer.
constexpr Micros kShortestPause = 500ms;
// A call that is to be answered at once is left so long after it went out, in time for one more. Guards
// against calls that are given up, and made anew behind all others, just before a crowded service comes to
// them.
constexpr Micros kAnswerWithin = StalenessClock::kAfterChange - StalenessClock::kAfterWait;

std::optional<HostStatus> standing_of(std::string_view state) {
  if (state == "SERVING") return HostStatus::active;
  if (state == "DRAINING") return HostStatus::draining;
  if (state == "DELETED") return HostStatus::removed;
  return std::nullopt;
}

}  // namespace

void Discovery::watch(bool fresh) {
  if (std::exchange(watching_, true)) return;
  if (fresh) version_.reset();
  ask();
}

void Discovery::switch_to(const Address& at) {
  if (at == get_.server()) {
    clock_.configuration_reread(timers_.now());
  } else {
    clock_.service_switched(timers_.now());
  }
  get_.set_server(at);
  version_.reset();
  watching_ = true;
  ++turn_;
  ask();
}

// Without a pause after the last answer, so that it stays one watch.
void Discovery::ask() {
  // No two nodes wait equally long. Guards against watches that all fell silent, or were answered, in one
  // moment and would all be renewed in one: a service that takes a call from each in some seconds answers
  // late then.
  std::uniform_int_distribution<std::int64_t> part(kWait / 2ms, kWait / 1ms);
  // While a list is owed even one that holds nothing new has to come at once. Guards against a node that
  // sends nothing for as long as nothing changes.
  const bool at_once = !version_ || clock_.is_catching_up();
  const std::chrono::milliseconds wait(at_once ? 0 : part(chance_));
  clock_.request_sent(timers_.now(), wait);
  update_staleness();
  log_line("list: asked for %s", version_ ? ("changes since " + std::to_string(*version_)).c_str() : "all");
  const Micros slack = at_once ? kAnswerWithin : kWatchSlack;
  if (!version_) return get_.get("/api/targets", 0s, slack);
  get_.get("/api/targets?since=" + std::to_string(*version_) + "&timeout_ms=" + std::to_string(wait.count()),
           wait, slack);
}

void Discovery::update_staleness() {
  const Micros now = timers_.now();
  const Micros stale_from = clock_.stale_from();
  if (stale_from > now) timers_.schedule(stale_from - now, *this, token(Due::stale));
  const bool stale = stale_from <= now;
  if (stale == std::exchange(stale_, stale)) return;
  if (stale) {
    log_line("list: stale, a change that was not heard may count as told");
    told_.balancer_now().list_stale();
  } else {
    log_line("list: fresh");
    told_.balancer_now().list_usable();
  }
}

void Discovery::http_response(unsigned status, std::string& body) {
  using Failure = StalenessClock::Failure;
  simdjson::dom::element list;
  if (status != 200) {
    log_line("discovery: status %u", status);
    return failed(Failure::error_response);
  }
  const auto known = version_;
  if (parser_.parse(body).get(list) || !take(list)) {
    log_line("discovery: an answer of %zu bytes is malformed or stale", body.size());
    return failed(Failure::truncated);
  }
  if (known != version_) log_line("list: taken version=%llu", static_cast<unsigned long long>(*version_));
  clock_.list_received();
  ask();
  if (!std::exchange(spoken_, true)) told_.first_request_done();
}

void Discovery::http_failed(const char* why, RequestFailure how) {
  log_line("discovery: %s", why);
  using Failure = StalenessClock::Failure;
  switch (how) {
    case RequestFailure::timeout:
      return failed(Failure::timeout);
    case RequestFailure::truncated:
      return failed(Failure::truncated);
    case RequestFailure::connection_closed:
      return failed(Failure::connection_closed);
    case RequestFailure::connection_refused:
      return failed(Failure::connection_refused);
  }
}

void Discovery::failed(StalenessClock::Failure how) {
  using Failure = StalenessClock::Failure;
  const bool first = !clock_.is_catching_up();
  clock_.request_failed(timers_.now(), how);
  update_staleness();
  const Micros told_in = clock_.stale_from() - timers_.now();
  log_line("list: not heard; may count as told in %lld ms",
           static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(told_in).count()));
  // A watch that has fallen silent, or whose answer broke off, has kept something back: the whole list, and
  // at once.
  const bool kept_back = how == Failure::timeout || how == Failure::truncated;
  if (kept_back && std::exchange(version_, std::nullopt) && first) return ask();
  retry_later();
}

void Discovery::retry_later() {
  if (agent_again_)
    timers_.schedule(*agent_again_, *this, token(Due::again));
  else {
    watching_ = false;
    told_.balancer_now().list_failed();
    // The module's pauses double. Guards against one that lasts until what came meanwhile counts as told. No
    // two nodes ask in the same moment.
    std::uniform_int_distribution<std::int64_t> sooner(0, StalenessClock::kAfterWait / 2us);
    const Micros in = clock_.request_by() - timers_.now() - Micros{sooner(chance_)};
    if (in > 0us) timers_.schedule(std::max(in, kShortestPause), *this, token(Due::in_time));
  }
  if (!std::exchange(spoken_, true)) told_.first_request_done();
}

void Discovery::timer_expired(std::uint64_t t) {
  if (t == token(Due::again)) ask();
  if (t == token(Due::in_time)) watch();
  if (t == token(Due::stale)) update_staleness();
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
    if (!o["endpoint"].get(address)) at = parse_address(address);
    if (!at && standing != HostStatus::removed) return false;
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
    entry(HostId{setup::hash_name(uid)}, uid, at.value_or(Address()),
          ZoneId{static_cast<std::uint32_t>(zone_no)}, CellId{static_cast<std::uint32_t>(cell)}, *standing,
          share, Micros{static_cast<std::int64_t>(boot_ms * 1000)});
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
  // Older than what is known, whole or not, or changes to a list that this service never gave. Only a whole
  // list that was asked for as such may be older, as after the service's own restart.
  if (version_ ? version < *version_ : !whole) return version_.reset(), false;
  Balancer& balancer = told_.balancer_now();
  balancer.begin_list(whole);
  each_target(targets, [&](HostId id, std::string_view name, const Address& at, ZoneId zone, CellId cell,
                           HostStatus standing, double share, Micros started) {
    balancer.list_host(id, zone, cell, standing, share, started);
    if (standing != HostStatus::removed) hosts_.update(id, name, at);
  });
  balancer.end_list();
  version_ = version;
  return true;
}

}  // namespace flintweir::node
