// Two simple membership protocols, as baselines for the node's own protocol on the same seeds: heartbeats
// from each node to all others, and SWIM as first published in 2002, without its later improvements. Used in
// the lab only.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "members/datagram.h"
#include "net/timer_queue.h"

namespace flintweir::lab {

enum class BaselineProtocol { heartbeats, swim };

class BaselineMembership final : members::DatagramHandler, net::DatagramEvents, net::TimerEvents {
 public:
  BaselineMembership(net::Network& network, net::TimerQueue& timers, BaselineProtocol protocol,
                     const Address& address, std::string name, std::vector<Address> seeds, Micros interval,
                     std::uint64_t seed);
  void start();

 private:
  struct Member {
    members::Generation generation;
    std::uint32_t incarnation = 0;
    members::MemberState state = members::MemberState::alive;
    Address address;
    Micros last_heard{0}, state_since{0};
    int remaining_sends = 0;  // of gossip about its latest state
  };
  // In the low two bits of a timer's token; the others hold the nonce of the probe.
  enum class Timer : std::uint64_t { period, indirect_probe, probe_timeout };
  using Members = std::map<std::string, Member, std::less<>>;

  void datagram_pending() override;
  void timer_expired(std::uint64_t token) override;
  void on_update(const members::Sender& from, const members::MemberUpdate& update) override;
  void on_ping(const members::Sender& from, members::Nonce nonce) override;
  void on_ack(const members::Sender& from, members::Nonce nonce) override;
  void on_ping_request(const members::Sender& from, members::Nonce nonce, std::string_view target,
                       const Address& at) override;
  void on_view_query(members::Nonce nonce, std::string_view after) override;

  void send_heartbeats();
  void probe();
  void set_state(Member& m, members::MemberState state);
  members::MemberUpdate update_of(const std::string& name, const Member& m) const;
  members::Sender self() const;
  // Sends a message with the node's own state and, in SWIM, the updates that were sent least often so far.
  // `send_all`: sends all live members as well, in as many datagrams as they need.
  void send(members::MessageKind kind, const Address& to, members::Nonce nonce, bool send_all = false);
  std::size_t random_below(std::size_t n) { return random_() % n; }

  net::Network& network_;
  net::TimerQueue& timers_;
  BaselineProtocol protocol_;
  Address address_, last_sender_;
  std::string name_;
  std::vector<Address> seeds_;
  Micros interval_;
  std::knuth_b random_;
  Members members_;
  std::vector<std::string> probe_order_;  // the members left to probe in this round
  std::string probe_target_;
  bool probe_acked_ = true;
  std::uint64_t last_nonce_ = 0, probe_nonce_ = 0;
  // Probes sent on behalf of others, by their nonce: the nonce and the address of the requester.
  std::map<std::uint64_t, std::pair<members::Nonce, Address>> relayed_probes_;
};

}  // namespace flintweir::lab
