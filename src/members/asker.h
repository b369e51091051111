// Asks one node for its view, as somebody who is no member: a question for each part of the answer. No I/O.
#pragma once

#include <string>
#include <vector>

#include "members/datagram.h"

namespace flintweir::members {

class Asker final : Hearer {
 public:
  struct Row {
    std::string name;
    Start start;
    std::uint32_t word;
    Standing standing;
    Address address;
    std::string zone, version, by;
    Micros age{0};  // since its standing is what it is
  };
  explicit Asker(std::uint64_t seed) : nonce_(seed) {}

  // The bytes to send now; asked again where no answer has come.
  std::string question();
  // True: the view is whole. False: more is to be asked, or it was no answer to this question.
  bool received(std::string_view bytes);

  const std::string& at() const { return at_; }  // who answered
  Start start() const { return start_; }
  std::uint64_t digest() const { return digest_; }
  const std::vector<Row>& rows() const { return rows_; }

 private:
  void word_came(const From& from, const Word& word) override;
  void age_came(Micros age) override;
  void page_came(const From& from, Nonce nonce, bool last) override;

  static constexpr int kRestarts = 8;  // a view that changes all the time is taken as it comes after so many
  std::uint64_t nonce_;
  std::string at_;
  Start start_;
  std::uint64_t digest_ = 0;
  std::vector<Row> rows_, page_;
  int restarts_ = 0;
  bool whole_ = false;
};

// One JSON object, and a table for a terminal.
std::string to_json(const Asker& view);
std::string to_table(const Asker& view);

}  // namespace flintweir::members
