// The lines that clients and hosts of the lab send on an open session, and a buffered writer for them. The
// text of a line identifies its sender, session and number, so that a lost, altered or duplicated line is
// detected.
#pragma once

#include <cstdio>
#include <string>
#include <string_view>

#include "lab/checks/checker.h"
#include "net/stream.h"

namespace flintweir::lab {

std::uint64_t hash_line(std::string_view line);  // of a line without its line end
// A line of `size` bytes (at least 24), including its line end. The text after the head is derived from
// session and number.
std::string make_line(const char* sender, SessionNo session, unsigned number, unsigned size);

// Queues what a stream does not accept at once; flush() is to be called when the stream is writable.
class BufferedWriter {
 public:
  explicit BufferedWriter(net::Stream& stream) : stream_(stream) {}
  // Returns false if the connection is broken.
  bool write(std::string_view text) {
    pending_ += text;
    return flush();
  }
  bool flush() {
    if (pending_.empty()) return true;
    const auto written = stream_.write(pending_);
    if (!written) return false;
    pending_.erase(0, *written);
    if (!pending_.empty()) stream_.want_write();
    return true;
  }
  bool is_empty() const { return pending_.empty(); }
  void clear() { pending_.clear(); }

 private:
  net::Stream& stream_;
  std::string pending_;
};

}  // namespace flintweir::lab
