// Membership of the fleet as seen by one node: who is alive, suspected, failed or has left. SWIM-style probes
// and gossip, with anti-entropy sync. No I/O and no clock: datagrams come in with received(), time with
// set_time(), and any call may act on the delegate before it returns.
//
// Views are eventually consistent, and a live member may be reported as failed. Nothing that must happen only
// once may rely on them. docs/design-members.md describes the protocol.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "members/datagram.h"
#include "numbers.h"

namespace flintweir::members {

struct Member {
  Generation generation;
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::alive;
  Address address;
  std::string zone, version, metadata;
  std::string reported_by;  // the member whose report led to `state`
  Micros since{0};          // of `state`
};

// Totals since the view was created.
struct ViewCounters {
  std::uint64_t sent = 0, sent_bytes = 0, received = 0;  // datagrams, and the bytes of those sent
  std::uint64_t throttled = 0;                           // datagrams not sent for lack of send budget
  std::array<std::uint64_t, 7> decode_errors{};          // by DecodeError
  std::uint64_t rejected_members = 0;                    // not added because the view was full
};

class ViewDelegate {
 public:
  virtual ~ViewDelegate() = default;
  virtual void send(const Address& to, std::string_view bytes) = 0;  // may be lost
  // Calls timer_expired(timer) after the delay.
  virtual void set_timer(Micros delay, TimerId timer) = 0;
  // The member's state or generation has changed, or the member was added (`added`).
  virtual void on_member_changed(std::string_view name, const Member& member, bool added) = 0;
  virtual void log(std::string_view line) = 0;
};

class View {
 public:
  // Idle until start(). `generation`: from the wall clock; raised if the fleet remembers a later one for this
  // name. `advertised`: the address that other members send to. `forget_after`: how long a failed member is
  // remembered. `max_members`: that are known at a time. `seed`: of the random numbers.
  View(ViewDelegate& delegate, std::string fleet, std::string name, Generation generation,
       const Address& advertised, std::string zone, std::string version, std::vector<Address> seeds,
       Micros probe_interval, Micros forget_after, std::size_t max_members, std::uint64_t seed);
  ~View();

  // Sets the current time, which must not go back; call it before any other call.
  void set_time(Micros now);
  void start();
  void received(const Address& from, std::string_view bytes);
  void timer_expired(TimerId timer);
  void set_seeds(std::vector<Address> seeds);
  // Announces to the other members that this node is leaving.
  void leave();
  // Application data spread with this node's updates; truncated to kMaxMetadataBytes.
  void set_metadata(std::string_view metadata);

  // Appends to `to` the addresses of up to `same_zone` random members of this node's zone and up to
  // `other_zones` of other zones. If one of the two kinds has no members, the other kind fills its share.
  void pick_members(std::size_t same_zone, std::size_t other_zones, std::vector<Address>& to);

  std::uint64_t digest() const;  // equal for equal views
  // Members that may still be running, this node included: all but those known to have left. Zero until this
  // node has joined.
  unsigned active_count() const;
  bool joined() const;
  const ViewCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace flintweir::members
