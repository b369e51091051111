// Keeps this node's copy of the host list up to date: long-polls the discovery service and passes each list
// to the balancer.
#pragma once

#include <simdjson.h>

#include <random>

#include "balance.h"
#include "line/host_table.h"
#include "net/http_get.h"
#include "node/staleness_clock.h"

namespace flintweir::node {

using namespace net;
using namespace line;

class Discovery final : HttpGet::Events, TimerEvents {
 public:
  class Events {
   public:
    virtual Balancer& balancer_now() = 0;  // its time has been set
    virtual void list_received() = 0;

   protected:
    ~Events() = default;
  };
  // `zones`: the names of all zones, in the order of their ids. `agent_retry_delay`: set if lists are pushed
  // to a local agent, which is then polled. `outage_threshold`: see StalenessClock.
  Discovery(Sockets& sockets, TimerQueue& timers, const Address& service, std::vector<std::string> zones,
            HostTable& hosts, std::optional<Micros> agent_retry_delay, Micros outage_threshold,
            std::uint64_t seed, Events& events)
      : http_(sockets, timers, service, *this),
        zones_(std::move(zones)),
        hosts_(hosts),
        agent_retry_delay_(agent_retry_delay),
        rng_(static_cast<std::knuth_b::result_type>(seed ^ (seed >> 32))),
        timers_(timers),
        events_(events),
        clock_(agent_retry_delay ? StalenessClock::pushed(*agent_retry_delay)
                                 : StalenessClock(outage_threshold)) {}

  // Applies a list in the service's JSON format. Returns false, without applying any of it, if the list is
  // malformed or older than the known one; in the latter case the next request is for the whole list.
  bool apply_list(const simdjson::dom::element& list);
  // From now on this node uses the list it has, unless that counts as stale until the first request succeeds.
  void start();
  // Sends a request unless one is pending or an agent's retry is scheduled. `whole_list`: requests the whole
  // list even if a version is known.
  void poll(bool whole_list = false);
  // Sends requests to another service, beginning now with one for the whole list, as the versions of the
  // services are unrelated.
  void switch_service(const Address& service);

 private:
  enum class Timer : std::uint64_t { agent_retry, early_retry, stale };
  std::uint64_t token(Timer timer) const {
    return service_generation_ << 2 | static_cast<std::uint64_t>(timer);
  }
  void http_response(unsigned status, std::string& body) override;
  void http_failed(const char* reason, RequestFailure failure) override;
  void timer_expired(std::uint64_t token) override;
  void send_request();
  void request_failed(StalenessClock::Failure failure);
  void schedule_retry(bool first);
  // Tells the balancer when the copy of the list becomes stale and when it no longer is.
  void update_staleness();
  // Calls visit(id, name, endpoint, zone, cell, status, share, started) for each target. Returns false if one
  // is malformed.
  template <class Visit>
  bool for_each_target(const simdjson::dom::array& targets, Visit visit) const;

  HttpGet http_;
  std::vector<std::string> zones_;
  HostTable& hosts_;
  // If lists are pushed to a local agent, failed requests are repeated after this delay instead of the
  // balancer's, because all changes that the agent holds bind this node.
  std::optional<Micros> agent_retry_delay_;
  std::knuth_b rng_;
  TimerQueue& timers_;
  Events& events_;
  StalenessClock clock_;
  simdjson::dom::parser parser_;
  std::optional<std::uint64_t> version_;  // changes since this one are requested; if unset, the whole list
  bool polling_ = false, stale_ = false;
  std::uint64_t service_generation_ = 0;  // increases with each switch, which invalidates earlier timers
};

}  // namespace flintweir::node
