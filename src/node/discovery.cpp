#include "node/discovery.h"

#include <algorithm>

#include "net/log.h"
#include "setup/deployment.h"

namespace flintweir::node {
namespace {

using namespace std::chrono_literals;

constexpr Micros kWait = 20s, kSlack = ListClock::kAfterWait;
// A watch that has not answered so long after its wait is taken to have fallen silent: what it misses counts
// as told after the slack, and a whole list has to be here by then.
constexpr Micros kSilent = kSlack / 4;

std::optional<Standing> standing_of(std::string_view state) {
  if (state == "SERVING") return Standing::in;
  if (state == "DRAINING") return Standing::draining;
  if (state == "DELETED") return Standing::gone;
  return std::nullopt;
}

long long in_millis(Micros time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace

void Discovery::watch(bool fresh) {
  if (std::exchange(watching_, true)) return;
  if (fresh) version_.reset();
  ask();
}

void Discovery::turn_to(const Address& at) {
  get_.turn_to(at);
  clock_.turned(wakes_.now());
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
  const std::chrono::milliseconds wait(version_ ? part(chance_) : 0);
  clock_.called(wakes_.now(), wait);
  look_when_overdue();
  log_line("list: asked %s",
           version_ ? ("for changes since " + std::to_string(*version_)).c_str() : "for all of it");
  if (!version_) return get_.get("/api/targets", 0s, kSlack);
  get_.get("/api/targets?since=" + std::to_string(*version_) + "&timeout_ms=" + std::to_string(wait.count()),
           wait, kSilent);
}

void Discovery::look_when_overdue() {
  wakes_.after(clock_.told_from() - wakes_.now(), *this, token(Due::overdue));
}

void Discovery::http_answered(unsigned status, std::string& body) {
  simdjson::dom::element list;
  if (status != 200) {
    log_line("discovery: status %u", status);
    clock_.failed(wakes_.now(), ListClock::Failure::answered);
  } else if (parser_.parse(body).get(list) || !take(list)) {
    log_line("discovery: an answer of %zu bytes is malformed or stale", body.size());
    clock_.failed(wakes_.now(), ListClock::Failure::silent);  // it may have held what is new
  } else {
    clock_.answered();
    ask();
    if (!std::exchange(spoken_, true)) told_.first_word();
    return;
  }
  failed();
}

void Discovery::http_failed(const char* why, CallFailure how) {
  log_line("discovery: %s", why);
  const bool silent = how == CallFailure::silent;
  using Failure = ListClock::Failure;
  clock_.failed(wakes_.now(), silent                            ? Failure::silent
                              : how == CallFailure::unreachable ? Failure::unreachable
                                                                : Failure::answered);
  // A watch that has fallen silent has kept something back for some time: the whole list, and at once.
  if (silent && std::exchange(version_, std::nullopt)) return ask();
  failed();
}

void Discovery::failed() {
  look_when_overdue();
  log_line("list: not heard; counts as told in %lld ms", in_millis(clock_.told_from() - wakes_.now()));
  if (agent_again_)
    wakes_.after(*agent_again_, *this, token(Due::again));
  else {
    watching_ = false;
    told_.balancer_now().list_failed();
    // The module's pauses double. Guards against one that lasts until what came meanwhile counts as told. No
    // two nodes ask in the same moment.
    std::uniform_int_distribution<std::int64_t> sooner(0, ListClock::kAfterWait / 2us);
    const Micros in = clock_.ask_by() - wakes_.now() - Micros{sooner(chance_)};
    if (in > 0us) wakes_.after(in, *this, token(Due::in_time));
  }
  if (!std::exchange(spoken_, true)) told_.first_word();
}

void Discovery::woken(std::uint64_t t) {
  if (t == token(Due::again)) ask();
  if (t == token(Due::in_time)) watch();
  if (t == token(Due::overdue) && wakes_.now() >= clock_.told_from()) {
    log_line("list: what was not heard counts as told since %lld ms",
             in_millis(wakes_.now() - clock_.told_from()));
    told_.balancer_now().list_overdue();
  }
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
  // Older than what is known, whole or not, or changes to a list that this service never gave. Only a whole
  // list that was asked for as such may be older, as after the service's own restart.
  if (version_ ? version < *version_ : !whole) return version_.reset(), false;
  Balancer& balancer = told_.balancer_now();
  balancer.list_begins(whole);
  each_target(targets, [&](HostId id, std::string_view name, const Address& at, ZoneId zone, CellId cell,
                           Standing standing, double share, Micros started) {
    balancer.listed(id, zone, cell, standing, share, started);
    if (standing != Standing::gone) hosts_.listed(id, name, at);
  });
  balancer.list_ends();
  if (version_ != version)
    log_line("list: taken version=%llu all=%d", static_cast<unsigned long long>(version), whole);
  version_ = version;
  return true;
}

}  // namespace flintweir::node
