#include "net/log.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <string_view>

namespace flintweir::net {

namespace {

thread_local LogSink* elsewhere = nullptr;

constexpr std::size_t kLongestLogLine = 1023;

// Whether a line is taken at once. Guards against a pipe that is full as nobody reads it: waiting for its
// reader would hold up all clients.
bool can_write() {
  pollfd log{STDERR_FILENO, POLLOUT, 0};
  return poll(&log, 1, 0) > 0 && (log.revents & POLLOUT) != 0;
}

// In one piece: a pipe takes as much as a line at once, or nothing.
void write_line(std::string_view text) {
  char line[kLongestLogLine + 1];
  const std::size_t size = text.copy(line, kLongestLogLine);
  line[size] = '\n';
  // A line that can't be written is lost: there is nowhere to say so.
  [[maybe_unused]] const ssize_t taken = write(STDERR_FILENO, line, size + 1);
}

// Whether a line more may be written in this second.
bool may_write() {
  using Clock = std::chrono::steady_clock;
  constexpr unsigned kLinesPerSecond = 500;
  static Clock::time_point second = Clock::now();
  static unsigned written = 0, dropped = 0;
  if (const auto now = Clock::now(); now - second >= std::chrono::seconds(1)) {
    second = now;
    written = 0;
    if (dropped > 0 && can_write()) {
      char line[40];
      std::snprintf(line, sizeof line, "log: %u lines dropped", dropped);
      write_line(line);
      dropped = 0;
    }
  }
  if (written >= kLinesPerSecond || !can_write()) return ++dropped, false;
  ++written;
  return true;
}

}  // namespace

void set_log_sink(LogSink* sink) { elsewhere = sink; }

void log_line(const char* format, ...) {
  if (!elsewhere && !may_write()) return;
  char line[kLongestLogLine + 1];
  std::va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof line, format, args);
  va_end(args);
  if (elsewhere) return elsewhere->write_line(line);
  write_line(line);
}

}  // namespace flintweir::net
