// Log of the events of one run: one text line per event in time order, and a hash over all lines. The same
// seed gives the same bytes.
#pragma once

#include <cstdarg>
#include <cstdio>
#include <string>

#include "ids.h"

namespace flintweir::lab {

// The text is kept only on request; the hash and the number of lines always are. Longer lines are cut at 512
// bytes.
class EventLog {
 public:
  EventLog(bool kept, Micros start) : kept_(kept), start_(start) {}
  [[gnu::format(printf, 3, 4)]] void line(Micros now, const char* format, ...) {
    char text[512];
    int length = std::snprintf(text, sizeof text, "%lld ", static_cast<long long>((now - start_).count()));
    std::va_list args;
    va_start(args, format);
    length += std::vsnprintf(text + length, sizeof text - static_cast<std::size_t>(length) - 1, format, args);
    va_end(args);
    length = std::min<int>(length, sizeof text - 2);
    text[length++] = '\n';
    append({text, static_cast<std::size_t>(length)});
  }
  std::uint64_t hash() const { return hash_; }
  std::uint64_t lines() const { return lines_; }
  const std::string& text() const { return text_; }

 private:
  void append(std::string_view line);

  bool kept_;
  Micros start_;
  std::uint64_t hash_ = 0, lines_ = 0;  // chained: the hash of the lines so far seeds that of the next line
  std::string text_;
};

}  // namespace flintweir::lab
