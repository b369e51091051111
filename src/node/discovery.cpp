#include "node/discovery.h"

#include <algorithm>

#include "net/log.h"
#include "setup/deployment.h"

namespace flintweir::node {
namespace {

using namespace std::chrono_literals;

constexpr Micros kMaxLongPollWait = 20s;
// A long poll without a response this long after its wait is given up. Changes that it did not report bind
// this node kLongPollDeadline after that wait, and the whole list has to arrive before then.
constexpr Micros kLongPollSlack = StalenessClock::kLongPollDeadline / 4;
// The shortest delay of a retry that is sent earlier than the balancer's own retry would be.
constexpr Micros kMinRetryDelay = 500ms;
// Timeout of a request for an immediate response; leaves time for one more request before the deadline. A
// shorter timeout would give up requests just before an overloaded service gets to them, and the new requests
// would queue behind all others.
constexpr Micros kResponseTimeout = StalenessClock::kChangeDeadline - StalenessClock::kLongPollDeadline;

std::optional<HostStatus> parse_host_status(std::string_view state) {
  if (state == "SERVING") return HostStatus::active;
  if (state == "DRAINING") return HostStatus::draining;
  if (state == "DELETED") return HostStatus::removed;
  return std::nullopt;
}

}  // namespace

void Discovery::start() {
  clock_.started(timers_.now());
  update_staleness();
}

void Discovery::poll(bool whole_list) {
  if (std::exchange(polling_, true)) return;
  if (whole_list) version_.reset();
  send_request();
}

void Discovery::switch_service(const Address& service) {
  if (service == http_.server()) {
    clock_.configuration_reread(timers_.now());
  } else {
    clock_.service_switched(timers_.now());
  }
  http_.set_server(service);
  version_.reset();
  polling_ = true;
  ++service_generation_;
  send_request();
}

// Called without a pause after each response, so that long polls follow each other without a gap.
void Discovery::send_request() {
  // Every node draws its own wait. Otherwise long polls that were all answered or timed out at the same time
  // would also be renewed at the same time, and a service that needs some seconds to accept a request from
  // each node would respond late.
  std::uniform_int_distribution<std::int64_t> random_wait(kMaxLongPollWait / 2ms, kMaxLongPollWait / 1ms);
  // While catching up, the node needs an immediate response even if nothing has changed. With a long poll it
  // would dial no host until the next change.
  const bool immediate = !version_ || clock_.is_catching_up();
  const std::chrono::milliseconds wait(immediate ? 0 : random_wait(rng_));
  clock_.request_sent(timers_.now(), wait);
  update_staleness();
  log_line("list: requested %s",
           version_ ? ("changes since " + std::to_string(*version_)).c_str() : "the whole list");
  const Micros slack = immediate ? kResponseTimeout : kLongPollSlack;
  if (!version_) return http_.get("/api/targets", 0s, slack);
  http_.get("/api/targets?since=" + std::to_string(*version_) + "&timeout_ms=" + std::to_string(wait.count()),
            wait, slack);
}

void Discovery::update_staleness() {
  const Micros now = timers_.now();
  const Micros stale_from = clock_.stale_from();
  if (stale_from > now && stale_from != StalenessClock::kNever)
    timers_.schedule(stale_from - now, *this, token(Timer::stale));
  const bool stale = stale_from <= now;
  if (stale == std::exchange(stale_, stale)) return;
  if (stale) {
    log_line("list: stale; a change that was not received may bind this node");
    events_.balancer_now().list_stale();
  } else {
    log_line("list: no longer stale");
    events_.balancer_now().list_usable();
  }
}

void Discovery::http_response(unsigned status, std::string& body) {
  using Failure = StalenessClock::Failure;
  simdjson::dom::element list;
  if (status != 200) {
    log_line("discovery: status %u", status);
    return request_failed(Failure::error_response);
  }
  const auto previous_version = version_;
  if (parser_.parse(body).get(list) || !apply_list(list)) {
    log_line("discovery: a response of %zu bytes is malformed or stale", body.size());
    return request_failed(Failure::truncated);
  }
  if (previous_version != version_)
    log_line("list: taken version=%llu", static_cast<unsigned long long>(*version_));
  clock_.list_received();
  send_request();
  events_.list_received();
}

void Discovery::http_failed(const char* reason, RequestFailure failure) {
  log_line("discovery: %s", reason);
  using Failure = StalenessClock::Failure;
  switch (failure) {
    case RequestFailure::timeout:
      return request_failed(Failure::timeout);
    case RequestFailure::truncated:
      return request_failed(Failure::truncated);
    case RequestFailure::connection_closed:
      return request_failed(Failure::connection_closed);
    case RequestFailure::connection_refused:
      return request_failed(Failure::connection_refused);
  }
}

void Discovery::request_failed(StalenessClock::Failure failure) {
  using Failure = StalenessClock::Failure;
  const bool first = !clock_.is_catching_up();
  clock_.request_failed(timers_.now(), failure);
  update_staleness();
  const Micros stale_in = clock_.stale_from() - timers_.now();
  log_line("list: request failed; the list is stale in %lld ms",
           static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(stale_in).count()));
  // A request that timed out or whose response was truncated may have withheld a change: requests the whole
  // list, the first time without a pause.
  const bool change_withheld = failure == Failure::timeout || failure == Failure::truncated;
  if (change_withheld && std::exchange(version_, std::nullopt) && first) return send_request();
  schedule_retry(first);
}

void Discovery::schedule_retry(bool first) {
  if (agent_retry_delay_) {
    // A watch that has broken is renewed without a gap. An agent that breaks each one at once gets no more
    // requests than one that fails them.
    const bool immediate = first && timers_.now() - clock_.requested_at() >= *agent_retry_delay_;
    if (immediate) return send_request();
    return timers_.schedule(*agent_retry_delay_, *this, token(Timer::agent_retry));
  }
  polling_ = false;
  events_.balancer_now().list_failed();
  // The balancer's retry delays double and may end after the list has become stale. This timer sends the
  // request before that, at a random time so that nodes do not all send theirs at once.
  const Micros latest = clock_.request_by() - timers_.now();
  if (latest <= 0us) return;
  std::uniform_int_distribution<std::int64_t> random_lead(0, StalenessClock::kLongPollDeadline / 2us);
  timers_.schedule(std::max(latest - Micros{random_lead(rng_)}, kMinRetryDelay), *this,
                   token(Timer::early_retry));
}

void Discovery::timer_expired(std::uint64_t expired) {
  if (expired == token(Timer::agent_retry)) send_request();
  if (expired == token(Timer::early_retry)) poll();
  if (expired == token(Timer::stale)) update_staleness();
}

template <class Visit>
bool Discovery::for_each_target(const simdjson::dom::array& targets, Visit visit) const {
  for (const simdjson::dom::element element : targets) {
    simdjson::dom::object target;
    std::string_view uid, address, zone, state;
    if (element.get(target) || target["uid"].get(uid) || uid.empty() || target["state"].get(state))
      return false;
    const auto status = parse_host_status(state);
    if (!status) return false;
    std::optional<Address> endpoint;
    if (!target["endpoint"].get(address)) endpoint = parse_address(address);
    if (!endpoint && status != HostStatus::removed) return false;
    std::size_t zone_index = zones_.size();
    if (!target["az"].get(zone)) {
      zone_index = static_cast<std::size_t>(std::find(zones_.begin(), zones_.end(), zone) - zones_.begin());
    }
    std::uint64_t cell;
    if (target["pod_group"].get(cell)) cell = 0;
    double share, boot_ms;
    if (target["capacity_hint"].get(share)) share = 1;
    if (target["boot_ms"].get(boot_ms)) boot_ms = 0;
    if (!(boot_ms >= 0 && boot_ms < 1e15)) return false;
    visit(HostId{setup::hash_name(uid)}, uid, endpoint.value_or(Address()),
          ZoneId{static_cast<std::uint32_t>(zone_index)}, CellId{static_cast<std::uint32_t>(cell)}, *status,
          share, Micros{static_cast<std::int64_t>(boot_ms * 1000)});
  }
  return true;
}

bool Discovery::apply_list(const simdjson::dom::element& list) {
  simdjson::dom::object object;
  simdjson::dom::array targets;
  std::uint64_t version;
  bool whole;
  if (list.get(object) || object["rev"].get(version) || object["all"].get(whole) ||
      object["targets"].get(targets))
    return false;
  // Validates all targets before the balancer is told of any: with part of a list it would take hosts for
  // removed that are not.
  if (!for_each_target(targets, [](auto&&...) {})) return false;
  // Rejects a list that is older than the known one, whether whole or not, and changes to a list that this
  // service never sent. Only a whole list that was requested as such may be older, as after a restart of the
  // service.
  if (version_ ? version < *version_ : !whole) return version_.reset(), false;
  Balancer& balancer = events_.balancer_now();
  balancer.begin_list(whole);
  for_each_target(targets, [&](HostId id, std::string_view name, const Address& endpoint, ZoneId zone,
                               CellId cell, HostStatus status, double share, Micros started) {
    balancer.list_host(id, zone, cell, status, share, started);
    if (status != HostStatus::removed) hosts_.update(id, name, endpoint);
  });
  balancer.end_list();
  version_ = version;
  return true;
}

}  // namespace flintweir::node
