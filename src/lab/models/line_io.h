// What clients and hosts of the lab say on an open session: lines that show by their text whose they are and
// which one, so that none can be lost, altered or doubled unseen.
#pragma once

#include <cstdio>
#include <string>
#include <string_view>

#include "lab/checks/checker.h"
#include "net/stream.h"

namespace flintweir::lab {

std::uint64_t hash_line(std::string_view line);  // without its end
// A line with its end, `size` bytes long (24 at least).
std::string make_line(const char* who, SessionNo session, unsigned number, unsigned size);

// A stream with a queue of what it has not taken yet.
class BufferedWriter {
 public:
  explicit BufferedWriter(net::Stream& stream) : stream_(stream) {}
  // False: the connection is broken.
  bool say(std::string_view text) {
    left_ += text;
    return flush();
  }
  bool flush() {
    if (left_.empty()) return true;
    const auto n = stream_.write(left_);
    if (!n) return false;
    left_.erase(0, *n);
    if (!left_.empty()) stream_.want_write();
    return true;
  }
  bool all_out() const { return left_.empty(); }
  void clear() { left_.clear(); }

 private:
  net::Stream& stream_;
  std::string left_;
};

}  // namespace flintweir::lab
