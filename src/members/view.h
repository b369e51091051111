// The fleet as one node sees it: who runs, who is suspected, who is gone. From datagrams to datagrams; time
// comes in with at(), as in the decision module, and each call may act on the outlet before it returns. A
// view is an opinion: nothing that must happen once may hang on it. docs/design-members.md tells the ways.
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
  std::string reported_by;  // whose word its standing is
  Micros since{0};          // its standing
};

// Work done and things dropped, since the start.
struct ViewCounters {
  std::uint64_t sent = 0, sent_bytes = 0, received = 0, throttled = 0;
  std::array<std::uint64_t, 7> decode_errors{};  // by Wrong
  std::uint64_t rejected_members = 0;            // names past the most
};

class ViewDelegate {
 public:
  virtual ~ViewDelegate() = default;
  virtual void send(const Address& to, std::string_view bytes) = 0;  // may be lost
  virtual void set_timer(Micros delay, TimerId timer) = 0;
  // A member's standing is another than before, or it was not known before.
  virtual void on_member_changed(std::string_view name, const Member& now, bool fresh) = 0;
  virtual void log(std::string_view line) = 0;  // for the log
};

class View {
 public:
  // Nothing happens before begin(). `start`: as the wall clock gives it; what the fleet remembers of this
  // name may ask for a later one. `interval`: between two probes. `forget`: a failed
  // member counts so long. `most`: members known at a time.
  View(ViewDelegate& delegate, std::string fleet, std::string name, Generation generation,
       const Address& told, std::string zone, std::string version, std::vector<Address> seeds,
       Micros interval, Micros forget, std::size_t most, std::uint64_t seed);
  ~View();

  void set_time(Micros now);
  void start();
  void received(const Address& from, std::string_view bytes);
  void timer_expired(TimerId timer);
  void set_seeds(std::vector<Address> seeds);
  // From now on others are told that this node leaves.
  void leave();
  // What the node wants passed on, at most kLongestNote bytes.
  void set_metadata(std::string_view metadata);

  // Puts the addresses of so many members drawn by chance behind `to`: of this node's zone, and of others.
  // Fewer where there are not so many; all from the other side where one has none.
  void pick_members(std::size_t near, std::size_t far, std::vector<Address>& to);

  std::uint64_t digest() const;  // the same where two views are
  // Whoever may still be acting: all that are not known to have left. Zero while this node has not joined.
  unsigned active_count() const;
  bool joined() const;
  const ViewCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace flintweir::members
