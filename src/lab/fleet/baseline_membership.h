// Two plain ways for nodes to know each other, to hold the fleet's own view against on the same seeds: a
// heartbeat from each to all, and SWIM as first published (2002) without its later mends. Only in the lab.
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
  BaselineMembership(net::Network& network, net::TimerQueue& timers, BaselineProtocol way, const Address& at,
                     std::string name, std::vector<Address> seeds, Micros interval, std::uint64_t seed);
  void begin();

 private:
  struct Member {
    members::Generation start;
    std::uint32_t word = 0;
    members::MemberState standing = members::MemberState::alive;
    Address address;
    Micros heard{0}, since{0};
    int sends = 0;
  };
  enum class Due : std::uint64_t { beat, direct, over };
  using Members = std::map<std::string, Member, std::less<>>;

  void datagram_pending() override;
  void timer_expired(std::uint64_t token) override;
  void on_update(const members::Sender& from, const members::MemberUpdate& w) override;
  void on_ping(const members::Sender& from, members::Nonce nonce) override;
  void on_ack(const members::Sender& from, members::Nonce nonce) override;
  void on_ping_request(const members::Sender& from, members::Nonce nonce, std::string_view whom,
                       const Address& at) override;
  void on_view_query(members::Nonce nonce, std::string_view after) override;

  void beat_to_all();
  void probe();
  void set(Member& m, members::MemberState standing);
  members::MemberUpdate update_of(const std::string& name, const Member& m) const;
  members::Sender from() const;
  void send(members::MessageKind kind, const Address& to, members::Nonce nonce, bool all = false);
  std::size_t below(std::size_t n) { return chance_() % n; }

  net::Network& network_;
  net::TimerQueue& timers_;
  BaselineProtocol way_;
  Address at_, came_from_;
  std::string name_;
  std::vector<Address> seeds_;
  Micros interval_;
  std::knuth_b chance_;
  Members members_;
  std::vector<std::string> order_;
  std::string probed_;
  bool answered_ = true;
  std::uint64_t nonces_ = 0, probe_nonce_ = 0;
  std::map<std::uint64_t, std::pair<members::Nonce, Address>> helped_;
};

}  // namespace flintweir::lab
