// Replicates changes of configuration among the nodes of a fleet by gossip. A node holds the newest change it
// knows, fetches a newer one in parts from a node that announces it, validates it, and announces it to some
// other members. Works on datagrams only: the time is passed in, and all effects go through the delegate,
// which each call may use before it returns. docs/design-changes.md explains the design.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "address.h"
#include "changes/datagram.h"
#include "numbers.h"

namespace flintweir::changes {

class ReplicatorDelegate {
 public:
  virtual ~ReplicatorDelegate() = default;
  virtual void send(const Address& to, std::string_view bytes) = 0;  // the datagram may be lost
  // Calls timer_expired(timer) after `delay`. Timers can't be cancelled.
  virtual void set_timer(Micros delay, TimerId timer) = 0;
  // Appends randomly chosen members to `to`: `near` ones of this node's zone, `far` ones of other zones.
  virtual void sample_members(std::size_t near, std::size_t far, std::vector<Address>& to) = 0;
  // Applies the change as a whole and returns an empty text, or changes nothing and returns the reason.
  virtual std::string apply(const Change& change) = 0;
  // Stores a change for the next start: the one in force, or a newer one that was refused. May fail.
  virtual void persist(const Change& change, bool in_force) = 0;
  // There is a newer change, known or in force; `from` names its sender. For the log.
  virtual void on_status_change(const Status& status, std::string_view from) = 0;
};

class Replicator final : MessageHandler {
 public:
  // The delegate has to outlive this object. `reply_address` is where other members reach this node.
  Replicator(ReplicatorDelegate& delegate, std::string fleet, std::string name, const Address& reply_address,
             std::uint64_t seed);

  // Sets the time for the calls that follow; a time before the last one is ignored.
  void set_time(Micros now);
  // Adopts the stored changes, older ones first, and asks the seeds for newer ones.
  void start(std::vector<Change> stored, std::vector<Address> seeds);
  void on_datagram(const Address& from, std::string_view bytes);
  void timer_expired(TimerId timer);
  const Status& status() const { return status_; }

 private:
  enum class TimerKind : std::uint64_t { idle, announce, fetch, seeds };
  struct Download {
    ChangeId id;
    std::vector<Address> sources;  // members that announced the change; the first one is asked next
    std::string text;
    std::uint32_t missing_parts = 0;  // a bit for each part
    int attempts = 0;
  };
  void on_have(const Sender& from, const HeldChanges& theirs) override;
  void on_want(const Sender& from, const ChangeId& id, std::uint32_t wanted) override;
  void on_part(const Sender& from, const ChangeId& id, std::uint32_t part, std::string_view bytes) override;
  void on_query(const Sender& from, std::uint64_t nonce) override;
  void adopt(Change change, std::string_view from);
  bool wants(const ChangeId& theirs) const;
  const Change* find(const ChangeId& id) const;
  void request_missing_parts();
  void announce(std::size_t near, std::size_t far);
  // False, without sending, if the send limit is exhausted.
  bool send(const Address& to, const std::string& bytes);
  // The low two bits hold the kind. Timers of the kinds announce and fetch are ignored in a later generation.
  TimerId timer_id(TimerKind kind) const {
    return TimerId{timer_generation_ << 2 | static_cast<std::uint64_t>(kind)};
  }
  void set_timer(Micros delay, TimerKind kind) { delegate_.set_timer(delay, timer_id(kind)); }
  Micros add_jitter(Micros interval);
  Sender self() const { return {fleet_, name_, reply_address_}; }

  ReplicatorDelegate& delegate_;
  std::string fleet_, name_;
  Address reply_address_;
  std::knuth_b random_;
  Change newest_, in_force_;
  ChangeId newest_older_refused_;  // among the refused changes that are older than the newest one
  Status status_;
  std::optional<Download> download_;
  std::vector<Address> seeds_, sample_;
  Address datagram_source_;  // of the datagram that is handled
  Micros now_{0}, refilled_at_{0};
  double send_budget_;  // bytes
  std::uint64_t timer_generation_ = 0, idle_announcements_ = 0;
  int rounds_left_ = 0, seed_attempts_ = 0;
};

}  // namespace flintweir::changes
