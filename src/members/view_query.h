// Client side of a view query: fetches the whole view of one node, page by page, without being a member. No
// I/O.
#pragma once

#include <string>
#include <vector>

#include "members/datagram.h"

namespace flintweir::members {

class ViewQuery final : DatagramHandler {
 public:
  struct Row {
    std::string name;
    Generation generation;
    std::uint32_t incarnation;
    MemberState state;
    Address address;
    std::string zone, version, reported_by;
    Micros state_age{0};  // how long the member has been in `state`
  };
  explicit ViewQuery(std::uint64_t seed) : nonce_(seed) {}

  // The datagram to send next; also for a retry when no reply has come.
  std::string next_request();
  // Returns true once the view is complete. False: send the next request; the datagram may not have been a
  // reply to the last one.
  bool received(std::string_view bytes);

  const std::string& responder() const { return responder_; }
  Generation responder_generation() const { return responder_generation_; }
  std::uint64_t digest() const { return digest_; }
  const std::vector<Row>& rows() const { return rows_; }

 private:
  void on_update(const Sender& from, const MemberUpdate& update) override;
  void on_update_age(Micros age) override;
  void on_view_page(const Sender& from, Nonce nonce, bool last) override;

  // The query starts over when the view changes between two pages; after this many times the pages are taken
  // as they come.
  static constexpr int kMaxRestarts = 8;
  std::uint64_t nonce_;
  std::string responder_;
  Generation responder_generation_;
  std::uint64_t digest_ = 0;
  std::vector<Row> rows_, page_;
  int restarts_ = 0;
  bool complete_ = false;
};

std::string to_json(const ViewQuery& view);   // one object on one line
std::string to_table(const ViewQuery& view);  // for a terminal

}  // namespace flintweir::members
