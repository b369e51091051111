// Asks one node for its view, as somebody who is no member: a question for each part of the answer. No I/O.
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
    Micros state_age{0};  // since its standing is what it is
  };
  explicit ViewQuery(std::uint64_t seed) : nonce_(seed) {}

  // The bytes to send now; asked again where no answer has come.
  std::string next_request();
  // True: the view is whole. False: more is to be asked, or it was no answer to this question.
  bool received(std::string_view bytes);

  const std::string& responder() const { return at_; }  // who answered
  Generation responder_generation() const { return start_; }
  std::uint64_t digest() const { return digest_; }
  const std::vector<Row>& rows() const { return rows_; }

 private:
  void on_update(const Sender& from, const MemberUpdate& update) override;
  void on_update_age(Micros state_age) override;
  void on_view_page(const Sender& from, Nonce nonce, bool last) override;

  static constexpr int kRestarts = 8;  // a view that changes all the time is taken as it comes after so many
  std::uint64_t nonce_;
  std::string at_;
  Generation start_;
  std::uint64_t digest_ = 0;
  std::vector<Row> rows_, page_;
  int restarts_ = 0;
  bool whole_ = false;
};

// One JSON object, and a table for a terminal.
std::string to_json(const ViewQuery& view);
std::string to_table(const ViewQuery& view);

}  // namespace flintweir::members
