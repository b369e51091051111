// Datagrams between voters and would-be holders: many requests or answers in each. The head is that of
// src/packing.h, with a mark of its own, so that they share a node's address with the fleet's view.
#pragma once

#include <string>
#include <vector>

#include "address.h"
#include "leases/words.h"

namespace flintweir::leases {

inline constexpr std::size_t kLongestDatagram = 1200;

// The number of a set of voters and of the longest lease: whoever holds another set is not heard.
std::uint64_t set_of(const std::vector<std::string>& voters, Micros length);

struct Sender {
  std::uint64_t set = 0;
  std::string_view name;  // of a voter, or who asks: name and start
  Address told;           // where answers go
};

// What is shown of a lease to those who look on.
struct Shown {
  std::string_view lease, holder;
  Token token;
  Micros left{0};
  std::uint32_t waiting = 0;
};

class Hearer {
 public:
  virtual void request_came(const Sender&, const Request&) {}
  virtual void reply_came(const Sender&, const Reply&) {}
  virtual void shown_came(const Sender&, const Shown&) {}
  virtual void page_came(const Sender&, bool /*last*/) {}  // after what is shown

 protected:
  ~Hearer() = default;
};

bool is_lease(std::string_view bytes);  // by its mark
// All of it is looked through before the first call; false: nothing of it was heard.
bool decode(std::string_view bytes, Hearer& hearer);

class Writer {
 public:
  enum class Kind : std::uint8_t { requests = 1, replies, page };
  Writer(Kind kind, const Sender& sender);
  bool add(const Request& r);  // false: it does not fit
  bool add(const Reply& r);
  bool add(const Shown& s);
  Writer& last(bool last);  // of a page, before anything is added
  std::string_view done();

 private:
  bool append(std::string_view packed);
  std::string bytes_;
};

}  // namespace flintweir::leases
