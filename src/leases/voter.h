// One voter: to whom it has promised and granted what. No I/O and no clock: the caller says the time, of a
// clock that goes on while the machine sleeps. docs/design-leases.md has the argument why two never hold at
// once.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "leases/messages.h"

namespace flintweir::leases {

// Where promises outlast the process. What keep() has taken is there at the next start, whole, whatever
// happens after it has returned true; what it has not taken must not be answered for.
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
  // `longest`: a lease that may be asked for. `floor`: promises only larger tokens; the wall clock at the
  // start, so that tokens grow where all was forgotten. Without `folder` it answers nobody until the longest
  // lease that it can have granted before is over; so does one whose folder is new. With `kept` it goes on.
  Voter(Micros longest, Token floor, Micros now, VoterStorage* storage = nullptr,
        const std::optional<std::vector<VoterStorage::Record>>& kept = std::nullopt);

  void set_storage(VoterStorage* storage) { storage_ = storage; }  // which holds the same as the one before

  // Nothing: it says nothing. The reply's texts are good until the next call.
  std::optional<Reply> handle(Micros now, const Request& request, std::string_view who);
  // Who stands in line for it, and hears that it is free: at most three. They are taken out of the line.
  std::vector<std::string> take_waiters(std::string_view lease);

  struct LeaseState {
    std::string lease, holder;
    Token token;
    Micros remaining;
    std::vector<std::string> waiters;
  };
  std::vector<LeaseState> list(Micros now) const;
  // All that its next answers hang on, but for the line; times from now on.
  void append_state(Micros now, std::string& out) const;
  bool silent(Micros now) const { return now < silent_until_; }

 private:
  struct Entry {
    Token promised, granted;
    std::string promised_to, holder;
    Micros until{0};
    std::vector<std::pair<std::string, Micros>> line;  // who, and when it last asked
  };
  bool keep(std::string_view lease, const Entry& e);

  static bool in_line(Entry& e, std::string_view who, Micros now, Micros longest);

  static constexpr std::size_t kMostLeases = 4096, kLine = 3;
  Micros longest_, silent_until_;
  Token floor_;
  VoterStorage* storage_;
  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace flintweir::leases
