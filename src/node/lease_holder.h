// A would-be holder of one lease, beside the nodes: finds the voters by the view of a node that it knows,
// asks them, and tells whether it holds.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "leases/candidate.h"
#include "leases/datagram.h"
#include "members/view_query.h"
#include "net/network.h"
#include "net/timer_queue.h"
#include "setup/operator.h"

namespace flintweir::node {

// Where the voters are, as a node's view has it. Views are asked for until all are known, and now and then.
class VoterAddresses {
 public:
  VoterAddresses(net::Network& network, const setup::FleetSection& fleet, std::vector<std::string> voters,
                 std::uint64_t seed);
  void ask();                                                  // the next node that may answer
  bool received(const Address& from, std::string_view bytes);  // whether it was a part of a view
  const Address* of(std::size_t voter) const;
  std::optional<std::size_t> named(std::string_view name) const;
  bool all() const { return known_.size() == voters_.size(); }
  const std::vector<std::string>& voters() const { return voters_; }

 private:
  net::Network& network_;
  std::vector<Address> nodes_;
  std::vector<std::string> voters_;
  std::map<std::size_t, Address> known_;
  std::size_t next_ = 0;
  std::uint64_t nonces_;
  Address asked_;
  members::ViewQuery asker_{0};
};

// All that waits: what is said of leases to the one, views to the other; then waits for more.
void receive_datagrams(net::Network& network, net::DatagramEvents& whom, leases::DatagramHandler& hearer,
                       VoterAddresses& places);

class LeaseHolder final : net::DatagramEvents,
                          net::TimerEvents,
                          leases::DatagramHandler,
                          leases::Candidate::Delegate {
 public:
  class Events {
   public:
    virtual void lease_acquired(leases::Token token) = 0;
    virtual void lease_lost(leases::Token token, std::string_view why) = 0;
    virtual void lease_awaited(std::string_view why) = 0;

   protected:
    ~Events() = default;
  };
  // `who`: its name and start. `here`: where it hears; `told`: what voters answer to, the same if left out.
  LeaseHolder(net::Network& network, net::TimerQueue& timers, const setup::OperatorFile& own,
              std::string lease, std::string who, const Address& here, std::optional<Address> told,
              std::uint64_t seed, Events& whom);
  void start();  // throws std::system_error where it can't have its address
  void release();
  // Of a lease that is held, by the clock now; looks whether it is.
  Micros time_left();

 private:
  enum Due : std::uint64_t { look_for_voters = ~0ull };
  void datagram_pending() override;
  void timer_expired(std::uint64_t token) override;
  void send_request(leases::VoterIndex voter, const leases::Request& request) override;
  void set_timer(Micros delay, TimerId timer) override { timers_.schedule(delay, *this, timer.value); }
  void on_acquired(leases::Token token) override { whom_.lease_acquired(token); }
  void on_lost(leases::Token token, std::string_view why) override { whom_.lease_lost(token, why); }
  void on_waiting(std::string_view why) override { whom_.lease_awaited(why); }
  void on_reply(const leases::Sender& from, const leases::Reply& reply) override;
  leases::Candidate& seeker();  // at the present time

  net::Network& network_;
  net::TimerQueue& timers_;
  std::string who_;
  Address here_;
  std::optional<Address> told_;
  std::uint64_t set_;
  Events& whom_;
  VoterAddresses places_;
  leases::Candidate seeker_;
};

}  // namespace flintweir::node
