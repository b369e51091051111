// Acquires and holds one lease from a process that is not a node: finds the voters through the membership
// view of a node, sends them the requests of a leases::Candidate, and reports whether the lease is held.
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

// The addresses of the voters of a set, as found in the membership view of a node.
class VoterAddresses {
 public:
  VoterAddresses(net::Network& network, const setup::FleetSection& fleet, std::vector<std::string> voters,
                 std::uint64_t seed);
  // Queries the next of the nodes at fleet.address and at the seeds, in turn.
  void query_next_node();
  // Handles a datagram. Returns false if it is not from the queried node.
  bool on_datagram(const Address& from, std::string_view bytes);
  const Address* find(std::size_t voter) const;  // null if not known yet
  std::optional<std::size_t> index_of(std::string_view voter_name) const;
  bool all_known() const { return known_.size() == voters_.size(); }
  const std::vector<std::string>& voters() const { return voters_; }

 private:
  net::Network& network_;
  std::vector<Address> nodes_;
  std::vector<std::string> voters_;
  std::map<std::size_t, Address> known_;
  std::size_t next_node_ = 0;
  std::uint64_t query_seed_;
  Address queried_;
  members::ViewQuery query_{0};
};

// Receives all pending datagrams and passes those about leases to `handler`, all others to `voters`. Then
// waits for more, which are reported to `events`.
void receive_datagrams(net::Network& network, net::DatagramEvents& events, leases::DatagramHandler& handler,
                       VoterAddresses& voters);

class LeaseHolder final : net::DatagramEvents,
                          net::TimerEvents,
                          leases::DatagramHandler,
                          leases::Candidate::Delegate {
 public:
  class Events {
   public:
    virtual void lease_acquired(leases::Token token) = 0;
    virtual void lease_lost(leases::Token token, std::string_view why) = 0;
    virtual void lease_awaited(std::string_view why) = 0;  // why it is not held; for each new reason

   protected:
    ~Events() = default;
  };
  // `participant` identifies this process to the voters: a name and the start time. Datagrams are received at
  // `local`; voters reply to `advertised`, or to `local` if that is unset.
  LeaseHolder(net::Network& network, net::TimerQueue& timers, const setup::OperatorFile& operator_file,
              std::string lease, std::string participant, const Address& local,
              std::optional<Address> advertised, std::uint64_t seed, Events& events);
  // Throws std::system_error if the local address cannot be opened.
  void start();
  // Gives the lease back, or stops trying to acquire it.
  void release();
  // How long the lease is still held by the present time; zero if it is not.
  Micros time_left();

 private:
  enum Timer : std::uint64_t { find_voters = ~0ull };  // all other timers belong to the candidate
  void datagram_pending() override;
  void timer_expired(std::uint64_t token) override;
  void send_request(leases::VoterIndex voter, const leases::Request& request) override;
  void set_timer(Micros delay, TimerId timer) override { timers_.schedule(delay, *this, timer.value); }
  void on_acquired(leases::Token token) override { events_.lease_acquired(token); }
  void on_lost(leases::Token token, std::string_view why) override { events_.lease_lost(token, why); }
  void on_waiting(std::string_view why) override { events_.lease_awaited(why); }
  void on_reply(const leases::Sender& from, const leases::Reply& reply) override;
  leases::Candidate& candidate();  // with its time set

  net::Network& network_;
  net::TimerQueue& timers_;
  std::string participant_;
  Address local_;
  std::optional<Address> advertised_;
  std::uint64_t voter_set_;
  Events& events_;
  VoterAddresses voters_;
  leases::Candidate candidate_;
};

}  // namespace flintweir::node
