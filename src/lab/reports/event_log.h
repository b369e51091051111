// What happened in a run, a line each in the order of time, as text that is the same to the byte for the same
// seed; and its hash.
#pragma once

#include <cstdarg>
#include <cstdio>
#include <string>

#include "ids.h"

namespace flintweir::lab {

class EventLog {
 public:
  EventLog(bool kept, Micros start) : kept_(kept), start_(start) {}
  [[gnu::format(printf, 3, 4)]] void line(Micros now, const char* format, ...) {
    char text[512];
    int n = std::snprintf(text, sizeof text, "%lld ", static_cast<long long>((now - start_).count()));
    std::va_list args;
    va_start(args, format);
    n += std::vsnprintf(text + n, sizeof text - static_cast<std::size_t>(n) - 1, format, args);
    va_end(args);
    n = std::min<int>(n, sizeof text - 2);
    text[n++] = '\n';
    add({text, static_cast<std::size_t>(n)});
  }
  std::uint64_t hash() const { return hash_; }
  std::uint64_t lines() const { return lines_; }
  const std::string& text() const { return text_; }

 private:
  void add(std::string_view line);

  bool kept_;
  Micros start_;
  std::uint64_t hash_ = 0, lines_ = 0;  // each line's hash is seeded with that of all before it
  std::string text_;
};

}  // namespace flintweir::lab
