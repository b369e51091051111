#include "net/log.h"

#include <chrono>
#include <cstdarg>
#include <cstdio>

namespace flintweir::net {

namespace {

thread_local LogSink* elsewhere = nullptr;

// Whether a line more may be written in this second.
bool may_write() {
  using Clock = std::chrono::steady_clock;
  constexpr unsigned kLinesPerSecond = 500;
  static Clock::time_point second = Clock::now();
  static unsigned written = 0, dropped = 0;
  if (const auto now = Clock::now(); now - second >= std::chrono::seconds(1)) {
    if (dropped > 0) std::fprintf(stderr, "log: %u lines dropped\n", dropped);
    second = now;
    written = dropped = 0;
  }
  if (written >= kLinesPerSecond) return ++dropped, false;
  ++written;
  return true;
}

}  // namespace

void log_to(LogSink* sink) { elsewhere = sink; }

void log_line(const char* format, ...) {
  if (!elsewhere && !may_write()) return;
  char line[1024];
  std::va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof line, format, args);
  va_end(args);
  if (elsewhere) return elsewhere->line(line);
  std::fprintf(stderr, "%s\n", line);
}

}  // namespace flintweir::net
