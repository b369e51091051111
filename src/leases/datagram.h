// Encoding and decoding of the datagrams between voters and clients of leases, each with several requests or
// replies. The header is that of src/packing.h with a magic number of its own, so that they share a node's
// address with the membership protocol. No I/O.
#pragma once

#include <string>
#include <vector>

#include "address.h"
#include "leases/messages.h"

namespace flintweir::leases {

inline constexpr std::size_t kMaxDatagramBytes = 1200;

// Hash of the list of voters and the maximum lease duration. Requests and replies of another set are ignored.
std::uint64_t voter_set_id(const std::vector<std::string>& voters, Micros duration);

struct Sender {
  std::uint64_t voter_set = 0;
  std::string_view name;  // of a voter, or a client's name and start time
  Address reply_to;
};

// As shown to observers.
struct LeaseStatus {
  std::string_view lease, holder;
  Token token;
  Micros remaining{0};
  std::uint32_t waiting = 0;  // clients
};

// Receives the contents of a decoded datagram.
class DatagramHandler {
 public:
  virtual void on_request(const Sender&, const Request&) {}
  virtual void on_reply(const Sender&, const Reply&) {}
  virtual void on_lease_status(const Sender&, const LeaseStatus&) {}
  virtual void on_status_page(const Sender&, bool /*last*/) {}  // after the statuses of the page

 protected:
  ~DatagramHandler() = default;
};

bool is_lease_datagram(std::string_view bytes);  // checks only the magic number
// Validates the whole datagram before the first call to the handler; false: invalid, and no call is made.
bool decode(std::string_view bytes, DatagramHandler& handler);

// Builds one datagram.
class DatagramWriter {
 public:
  enum class Kind : std::uint8_t { requests = 1, replies, status_page };
  DatagramWriter(Kind kind, const Sender& sender);
  // Returns false and adds nothing if the item does not fit.
  bool add(const Request& request);
  bool add(const Reply& reply);
  bool add(const LeaseStatus& status);
  DatagramWriter& set_last(bool last);  // only of a status page, and before add()
  // Valid as long as the writer.
  std::string_view finish();

 private:
  bool append(std::string_view packed);
  std::string bytes_;
};

}  // namespace flintweir::leases
