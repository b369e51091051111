// Datagrams between members: encoded, and decoded into calls. Twelve bytes of head (mark, version, kind,
// checksum, size of a seal that is not used yet), then MessagePack. No I/O. Nothing in them is authenticated.
#pragma once

#include <array>
#include <optional>
#include <span>
#include <string>

#include "members/word.h"

namespace flintweir::members {

inline constexpr std::size_t kLongestDatagram = 1200, kBuckets = 32;
inline constexpr std::uint8_t kVersion = 1;

enum class Kind : std::uint8_t { ping = 1, ack, nack, ask, gossip, sync, claim, query, page, views };

// Who sends. The address is that told to others, which answers go to.
struct From {
  std::string_view name;
  Start start;
  Address address;
  std::uint64_t digest = 0;  // of its view
  std::uint32_t weight =
      0;  // of its verdicts: grows with those it holds to be well, and as its probes are answered
  bool exchanges = false;  // its words are of a view exchanged, which others get by exchange as well
};

// What a datagram says, in these calls: the words first, then what it is for. Nothing comes of what is not
// heard.
class Hearer {
 public:
  virtual void word_came(const From& /*from*/, const Word& /*word*/) {}
  virtual void age_came(Micros /*age*/) {}  // of the word that came just before
  virtual void ping_came(const From& /*from*/, Nonce /*nonce*/) {}
  virtual void ack_came(const From& /*from*/, Nonce /*nonce*/) {}
  virtual void nack_came(const From& /*from*/, Nonce /*nonce*/) {}
  virtual void ask_came(const From& /*from*/, Nonce /*nonce*/, std::string_view /*whom*/,
                        const Address& /*at*/) {}
  virtual void sync_came(const From& /*from*/, bool /*answered*/,
                         std::span<const std::uint64_t, kBuckets> /*digests*/) {}
  virtual void claim_came(const From& /*from*/, Micros /*running*/) {}
  virtual void query_came(Nonce /*nonce*/, std::string_view /*after*/) {}
  // One part of an answer to a query; `last`: nothing follows. Words come before it, each with its age.
  virtual void page_came(const From& /*from*/, Nonce /*nonce*/, bool /*last*/) {}

 protected:
  ~Hearer() = default;
};

// What is wrong with a datagram that is dropped.
enum class Wrong { none, size, mark, version, checksum, fleet, malformed };
const char* name_of(Wrong wrong);

// All of it is looked through before the first call. An empty fleet: any.
Wrong decode(std::string_view bytes, std::string_view fleet, Hearer& hearer);

// Writes the checksum of the rest into a datagram's head.
void seal(std::string& bytes);

// Puts one datagram together.
class Writer {
 public:
  Writer(Kind kind, std::string_view fleet, const From& from, Nonce nonce);
  Writer& ask(std::string_view whom, const Address& at);
  Writer& sync(bool answered, std::span<const std::uint64_t, kBuckets> digests);
  Writer& claim(Micros running);
  Writer& query(std::string_view after);
  Writer& page(bool last);
  bool add(const Word& word);  // false: it does not fit
  bool add(const Word& word, Micros age);
  std::string_view done();

 private:
  bool append(std::string_view packed);
  std::string bytes_;
};

}  // namespace flintweir::members
