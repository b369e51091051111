// One voter: what it has promised and granted to whom. No I/O and no clock: the caller passes the time, of a
// clock that keeps running while the machine is suspended. docs/design-leases.md argues why no two clients
// hold a lease at once.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "leases/messages.h"

namespace flintweir::leases {

// Keeps a voter's promises across restarts. Once save() has returned true, the record is durable and read
// back whole at the next start, whatever happens. A promise that could not be saved must not be sent.
class VoterStorage {
 public:
  struct Record {
    std::string lease, promised_to, holder;
    Token promised, granted;
  };
  virtual ~VoterStorage() = default;
  virtual bool save(const Record& record) = 0;
};

class Voter {
 public:
  // `max_duration`: of a lease. `floor`: only larger tokens are promised; pass the wall clock at the start,
  // so that tokens grow even if all earlier promises are lost. `saved`: the records read from `storage`;
  // nullopt if the storage is new. Without saved records the voter does not reply until the longest lease
  // that it may have granted before has expired. `storage` must outlive the voter.
  Voter(Micros max_duration, Token floor, Micros now, VoterStorage* storage = nullptr,
        const std::optional<std::vector<VoterStorage::Record>>& saved = std::nullopt);

  // Replaces the storage by another with the same contents.
  void set_storage(VoterStorage* storage) { storage_ = storage; }

  // Returns the reply, if there is one; its texts are valid until the next call.
  std::optional<Reply> handle(Micros now, const Request& request, std::string_view client);
  // Empties the queue of the lease and returns the clients (at most three), which are to be sent `released`.
  std::vector<std::string> take_waiters(std::string_view lease);

  struct LeaseState {
    std::string lease, holder;
    Token token;
    Micros remaining;
    std::vector<std::string> waiters;
  };
  std::vector<LeaseState> list(Micros now) const;
  // Appends all state that later replies depend on, except the queues; times are relative to now.
  void append_state(Micros now, std::string& out) const;
  bool silent(Micros now) const { return now < silent_until_; }

 private:
  struct Entry {
    Token promised, granted;
    std::string promised_to, holder;
    Micros expires{0};
    std::vector<std::pair<std::string, Micros>> queue;  // clients, and the time of their last request
  };
  bool save(std::string_view lease, const Entry& entry);

  static bool enqueue(Entry& entry, std::string_view client, Micros now, Micros max_duration);

  static constexpr std::size_t kMaxLeases = 4096, kMaxQueued = 3;
  Micros max_duration_, silent_until_;
  Token floor_;
  VoterStorage* storage_;
  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace flintweir::leases
