#include "net/log.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <string_view>

namespace flintweir::net {

namespace {

thread_local LogSink* thread_sink = nullptr;

constexpr std::size_t kMaxLogLineBytes = 1023;  // without the newline

// Whether a write would not block. Standard error may be a pipe that is full because nobody reads it: waiting
// for its reader would block all clients.
bool can_write() {
  pollfd log{STDERR_FILENO, POLLOUT, 0};
  return poll(&log, 1, 0) > 0 && (log.revents & POLLOUT) != 0;
}

// Writes the line with one system call: a pipe accepts a write of this size as a whole or not at all.
void write_line(std::string_view text) {
  char line[kMaxLogLineBytes + 1];
  const std::size_t size = text.copy(line, kMaxLogLineBytes);
  line[size] = '\n';
  // A line that can't be written is lost: there is no other place to report it.
  [[maybe_unused]] const ssize_t written = write(STDERR_FILENO, line, size + 1);
}

// Applies the limit on lines in one second, and reports dropped lines at the start of the next one.
bool admit_line() {
  using Clock = std::chrono::steady_clock;
  constexpr unsigned kLinesPerSecond = 500;
  static Clock::time_point second_start = Clock::now();
  static unsigned lines_written = 0, dropped = 0;
  if (const auto now = Clock::now(); now - second_start >= std::chrono::seconds(1)) {
    second_start = now;
    lines_written = 0;
    if (dropped > 0 && can_write()) {
      char line[40];
      std::snprintf(line, sizeof line, "log: %u lines dropped", dropped);
      write_line(line);
      dropped = 0;
    }
  }
  if (lines_written >= kLinesPerSecond || !can_write()) return ++dropped, false;
  ++lines_written;
  return true;
}

}  // namespace

void set_log_sink(LogSink* sink) { thread_sink = sink; }

void log_line(const char* format, ...) {
  if (!thread_sink && !admit_line()) return;
  char line[kMaxLogLineBytes + 1];
  std::va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof line, format, args);
  va_end(args);
  if (thread_sink) return thread_sink->write_line(line);
  write_line(line);
}

}  // namespace flintweir::net
