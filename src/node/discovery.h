// Follows the list of hosts: a watch that goes on from answer to answer, told to the module as it comes.
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
    virtual Balancer& balancer_now() = 0;   // with the time said
    virtual void first_request_done() = 0;  // the first call has been answered, or has failed

   protected:
    ~Events() = default;
  };
  Discovery(Sockets& sockets, TimerQueue& timers, const Address& at, std::vector<std::string> zones,
            HostTable& hosts, std::optional<Micros> agent_again, Micros outage, std::uint64_t seed,
            Events& told)
      : get_(sockets, timers, at, *this),
        zones_(std::move(zones)),
        hosts_(hosts),
        agent_again_(agent_again),
        chance_(static_cast<std::knuth_b::result_type>(seed ^ (seed >> 32))),
        timers_(timers),
        told_(told),
        clock_(outage) {}

  // Takes a list in discovery's form; false, with nothing changed, where it is malformed.
  bool take(const simdjson::dom::element& list);
  // From now on this node sends by the list it has.
  void begin() { clock_.started(timers_.now()); }
  // `fresh`: a whole list first, whatever is known.
  void watch(bool fresh = false);
  // Asks there from now on, at once and for a whole list: its versions have nothing to do with those so far.
  void switch_to(const Address& at);

 private:
  enum class Due : std::uint64_t { again, in_time, stale };
  std::uint64_t token(Due due) const { return turn_ << 2 | static_cast<std::uint64_t>(due); }
  void http_response(unsigned status, std::string& body) override;
  void http_failed(const char* why, RequestFailure how) override;
  void timer_expired(std::uint64_t token) override;
  void ask();
  void failed(StalenessClock::Failure how);
  void retry_later();
  // Tells the module when what this node has not heard begins to count as told, and when it no longer does.
  void update_staleness();
  // Calls entry(id, name, endpoint, zone, cell, standing, share, started) for each target; false: malformed.
  template <class Entry>
  bool each_target(const simdjson::dom::array& targets, Entry entry) const;

  HttpGet get_;
  std::vector<std::string> zones_;
  HostTable& hosts_;
  // Where lists are pushed, an agent at this node has them: it is asked again after so long, not the module's
  // pause, as whatever it has counts as told.
  std::optional<Micros> agent_again_;
  std::knuth_b chance_;
  TimerQueue& timers_;
  Events& told_;
  StalenessClock clock_;
  simdjson::dom::parser parser_;
  std::optional<std::uint64_t> version_;  // of the list that changes are asked for; none: a whole one is
  bool watching_ = false, spoken_ = false, stale_ = false;
  std::uint64_t turn_ = 0;  // of the service asked
};

}  // namespace flintweir::node
