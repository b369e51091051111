// Datagrams between voters and would-be holders: many requests or answers in each. The head is that of
// src/packing.h, with a mark of its own, so that they share a node's address with the fleet's view.
#pragma once

#include <string>
#include <vector>

#include "address.h"
#include "leases/messages.h"

namespace flintweir::leases {

inline constexpr std::size_t kMaxDatagramBytes = 1200;

// The number of a set of voters and of the longest lease: whoever holds another set is not heard.
std::uint64_t voter_set_id(const std::vector<std::string>& voters, Micros duration);

struct Sender {
  std::uint64_t voter_set = 0;
  std::string_view name;  // of a voter, or who asks: name and start
  Address reply_to;       // where answers go
};

// What is shown of a lease to those who look on.
struct LeaseStatus {
  std::string_view lease, holder;
  Token token;
  Micros remaining{0};
  std::uint32_t waiting = 0;
};

class DatagramHandler {
 public:
  virtual void on_request(const Sender&, const Request&) {}
  virtual void on_reply(const Sender&, const Reply&) {}
  virtual void on_lease_status(const Sender&, const LeaseStatus&) {}
  virtual void on_status_page(const Sender&, bool /*last*/) {}  // after what is shown

 protected:
  ~DatagramHandler() = default;
};

bool is_lease_datagram(std::string_view bytes);  // by its mark
// All of it is looked through before the first call; false: nothing of it was heard.
bool decode(std::string_view bytes, DatagramHandler& handler);

class DatagramWriter {
 public:
  enum class Kind : std::uint8_t { requests = 1, replies, status_page };
  DatagramWriter(Kind kind, const Sender& sender);
  bool add(const Request& r);  // false: it does not fit
  bool add(const Reply& r);
  bool add(const LeaseStatus& s);
  DatagramWriter& set_last(bool last);  // of a page, before anything is added
  std::string_view finish();

 private:
  bool append(std::string_view packed);
  std::string bytes_;
};

}  // namespace flintweir::leases
