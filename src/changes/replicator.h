// One node's part in carrying changes: it holds the newest change it has heard of, fetches a newer one from
// whoever has it, checks it whole, and tells a few others. From datagrams to datagrams; time comes in with
// at(), and each call may act on the outlet before it returns. docs/design-changes.md tells the reasons.
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
  virtual void send(const Address& to, std::string_view bytes) = 0;  // may be lost
  virtual void set_timer(Micros in, TimerId wake) = 0;
  // Puts so many members drawn by chance behind `to`: of this node's own zone, and of others.
  virtual void sample_members(std::size_t near, std::size_t far, std::vector<Address>& to) = 0;
  // Takes it whole and at once, or changes nothing and says why.
  virtual std::string apply(const Change& change) = 0;
  // For the next start, beside or in place of what it kept; may fail.
  virtual void persist(const Change& change, bool in_force) = 0;
  virtual void on_status_change(const Status& now, std::string_view from) = 0;  // a newer one; for the log
};

class Replicator final : MessageHandler {
 public:
  Replicator(ReplicatorDelegate& delegate, std::string fleet, std::string name, const Address& reply_address,
             std::uint64_t seed);

  void set_time(Micros now);
  // Takes what was kept, the older first, and asks the seeds for what is newer.
  void start(std::vector<Change> kept, std::vector<Address> seeds);
  void on_datagram(const Address& from, std::string_view bytes);
  void timer_expired(TimerId wake);
  const Status& status() const { return status_; }

 private:
  enum class Due : std::uint64_t { rest, tell, fetch, seeds };
  struct Fetching {
    ChangeId which;
    std::vector<Address> from;  // who says that he has it; the next to be asked first
    std::string bytes;
    std::uint32_t missing = 0;
    int tries = 0;
  };
  void on_have(const Sender& from, const HeldChanges& theirs) override;
  void on_want(const Sender& from, const ChangeId& of, std::uint32_t wanted) override;
  void on_part(const Sender& from, const ChangeId& of, std::uint32_t part, std::string_view bytes) override;
  void on_query(const Sender& from, std::uint64_t nonce) override;
  void adopt(Change change, std::string_view from);
  bool wants(const ChangeId& theirs) const;
  const Change* of(const ChangeId& which) const;
  void fetch();
  void tell(std::size_t near, std::size_t far);
  bool send(const Address& to, const std::string& bytes);
  void set_timer(Micros in, Due due) {
    delegate_.set_timer(in, TimerId{turn_ << 2 | static_cast<std::uint64_t>(due)});
  }
  Micros spread(Micros around);
  Sender me() const { return {fleet_, name_, reply_address_}; }

  ReplicatorDelegate& delegate_;
  std::string fleet_, name_;
  Address reply_address_;
  std::knuth_b chance_;
  Change newest_, in_force_;
  ChangeId refused_before_;  // the newest refused of those older than the newest
  Status status_;
  std::optional<Fetching> fetching_;
  std::vector<Address> seeds_, drawn_;
  Address came_from_;
  Micros now_{0}, refilled_at_{0};
  double bytes_left_;
  std::uint64_t turn_ = 0, rests_ = 0;
  int rounds_ = 0, seed_tries_ = 0;
};

}  // namespace flintweir::changes
