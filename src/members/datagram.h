// Encoding and decoding of the datagrams between members: a header of twelve bytes (magic, version, kind,
// checksum, and the size of an authentication tag, which this version does not use), then MessagePack. No
// I/O. Nothing in them is authenticated.
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

struct Sender {
  std::string_view name;
  Generation generation;
  Address address;           // advertised; replies go there
  std::uint64_t digest = 0;  // of its view
  // How far its failure reports can be trusted; grows with the members it considers healthy and with the
  // share of its probes that were answered.
  std::uint32_t weight = 0;
  bool from_sync = false;  // the updates come from a sync, so others learn them by sync as well
};

// Receives the contents of a decoded datagram: first the updates, then the message itself.
class DatagramHandler {
 public:
  virtual void on_update(const Sender& /*from*/, const MemberUpdate& /*update*/) {}
  virtual void on_update_age(Micros /*age*/) {}  // time in the present state, of the update just before
  virtual void on_ping(const Sender& /*from*/, Nonce /*nonce*/) {}
  virtual void on_ack(const Sender& /*from*/, Nonce /*nonce*/) {}
  virtual void on_nack(const Sender& /*from*/, Nonce /*nonce*/) {}
  virtual void on_ping_request(const Sender& /*from*/, Nonce /*nonce*/, std::string_view /*target*/,
                               const Address& /*address*/) {}
  // `answered`: this digest is itself a reply to a digest.
  virtual void on_sync_digest(const Sender& /*from*/, bool /*answered*/,
                              std::span<const std::uint64_t, kDigestBuckets> /*digests*/) {}
  virtual void on_name_claim(const Sender& /*from*/, Micros /*uptime*/) {}
  // Asks for the members whose names sort after `after`.
  virtual void on_view_query(Nonce /*nonce*/, std::string_view /*after*/) {}
  // One page of the reply to a view query, after its updates and their ages.
  virtual void on_view_page(const Sender& /*from*/, Nonce /*nonce*/, bool /*last*/) {}

 protected:
  ~DatagramHandler() = default;
};

// Why a datagram is dropped; `mark` stands for a wrong magic number.
enum class DecodeError { none, size, mark, version, checksum, fleet, malformed };
const char* name_of(DecodeError error);

// Validates the whole datagram before the first call to the handler. An empty `fleet` accepts any fleet.
DecodeError decode(std::string_view bytes, std::string_view fleet, DatagramHandler& handler);

// Computes the checksum and writes it into the header.
void write_checksum(std::string& bytes);

// Builds one datagram. The method named after the kind, if there is one, has to be called before add().
class DatagramWriter {
 public:
  DatagramWriter(MessageKind kind, std::string_view fleet, const Sender& from, Nonce nonce);
  DatagramWriter& ping_request(std::string_view target, const Address& address);
  DatagramWriter& sync_digest(bool answered, std::span<const std::uint64_t, kDigestBuckets> digests);
  DatagramWriter& name_claim(Micros uptime);
  DatagramWriter& view_query(std::string_view after);
  DatagramWriter& view_page(bool last);
  // Returns false and adds nothing if the update does not fit.
  bool add(const MemberUpdate& update);
  bool add(const MemberUpdate& update, Micros age);
  // Valid as long as the writer.
  std::string_view finish();

 private:
  bool append(std::string_view packed);
  std::string bytes_;
};

}  // namespace flintweir::members
