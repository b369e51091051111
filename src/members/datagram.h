// Datagrams between members: encoded, and decoded into calls. Twelve bytes of head (mark, version, kind,
// checksum, size of a seal that is not used yet), then MessagePack. No I/O. Nothing in them is authenticated.
#pragma once

#include <array>
#include <optional>
#include <span>
#include <string>

#include "members/member_update.h"

namespace flintweir::members {

inline constexpr std::size_t kMaxDatagramBytes = 1200, kDigestBuckets = 32;
inline constexpr std::uint8_t kProtocolVersion = 1;

enum class MessageKind : std::uint8_t {
  ping = 1,
  ack,
  nack,
  ping_request,
  gossip,
  sync_digest,
  name_claim,
  view_query,
  view_page,
  sync_updates
};

// Who sends. The address is that told to others, which answers go to.
struct Sender {
  std::string_view name;
  Generation generation;
  Address address;
  std::uint64_t digest = 0;  // of its view
  std::uint32_t weight =
      0;  // of its verdicts: grows with those it holds to be well, and as its probes are answered
  bool from_sync = false;  // its words are of a view exchanged, which others get by exchange as well
};

// What a datagram says, in these calls: the words first, then what it is for. Nothing comes of what is not
// heard.
class DatagramHandler {
 public:
  virtual void on_update(const Sender& /*from*/, const MemberUpdate& /*update*/) {}
  virtual void on_update_age(Micros /*age*/) {}  // of the word that came just before
  virtual void on_ping(const Sender& /*from*/, Nonce /*nonce*/) {}
  virtual void on_ack(const Sender& /*from*/, Nonce /*nonce*/) {}
  virtual void on_nack(const Sender& /*from*/, Nonce /*nonce*/) {}
  virtual void on_ping_request(const Sender& /*from*/, Nonce /*nonce*/, std::string_view /*whom*/,
                               const Address& /*at*/) {}
  virtual void on_sync_digest(const Sender& /*from*/, bool /*answered*/,
                              std::span<const std::uint64_t, kDigestBuckets> /*digests*/) {}
  virtual void on_name_claim(const Sender& /*from*/, Micros /*running*/) {}
  virtual void on_view_query(Nonce /*nonce*/, std::string_view /*after*/) {}
  // One part of an answer to a query; `last`: nothing follows. Words come before it, each with its age.
  virtual void on_view_page(const Sender& /*from*/, Nonce /*nonce*/, bool /*last*/) {}

 protected:
  ~DatagramHandler() = default;
};

// What is wrong with a datagram that is dropped.
enum class DecodeError { none, size, mark, version, checksum, fleet, malformed };
const char* name_of(DecodeError wrong);

// All of it is looked through before the first call. An empty fleet: any.
DecodeError decode(std::string_view bytes, std::string_view fleet, DatagramHandler& handler);

// Writes the checksum of the rest into a datagram's head.
void write_checksum(std::string& bytes);

// Puts one datagram together.
class DatagramWriter {
 public:
  DatagramWriter(MessageKind kind, std::string_view fleet, const Sender& from, Nonce nonce);
  DatagramWriter& ping_request(std::string_view whom, const Address& at);
  DatagramWriter& sync_digest(bool answered, std::span<const std::uint64_t, kDigestBuckets> digests);
  DatagramWriter& name_claim(Micros running);
  DatagramWriter& view_query(std::string_view after);
  DatagramWriter& view_page(bool last);
  bool add(const MemberUpdate& update);  // false: it does not fit
  bool add(const MemberUpdate& update, Micros age);
  std::string_view finish();

 private:
  bool append(std::string_view packed);
  std::string bytes_;
};

}  // namespace flintweir::members
