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

const char* code_of(Reason reason) {
  switch (reason) {
    case Reason::checked:
      return "checked";
    case Reason::bad_line:
      return "bad-line";
    case Reason::id_in_use:
      return "id-in-use";
    case Reason::crowded_out:
      return "crowded-out";
    case Reason::refused:
      return "refused";
    case Reason::torn_down:
      return "torn-down";
    case Reason::no_descriptors:
      return "no-descriptors";
    case Reason::left:
      return "left";
    case Reason::client_ended:
      return "client-ended";
    case Reason::host_ended:
      return "host-ended";
    case Reason::host_moved:
      return "host-moved";
    case Reason::host_broke:
      return "host-broke";
    case Reason::host_silent:
      return "host-silent";
    case Reason::host_garbled:
      return "host-garbled";
    case Reason::moved:
      return "moved";
    case Reason::restarting:
      return "restarting";
  }
  return "unknown";
}

const char* code_of(Ending how) {
  switch (how) {
    case Ending::finished:
      return "dial-finished";
    case Ending::erred:
      return "dial-erred";
    case Ending::turned_away:
      return "dial-turned-away";
    case Ending::timed_out:
      return "dial-timed-out";
    case Ending::unconnected:
      return "dial-unconnected";
    case Ending::broken:
      return "dial-broken";
    case Ending::cancelled:
      return "dial-cancelled";
    case Ending::unsent:
      return "dial-unsent";
  }
  return "dial-unknown";
}

}  // namespace flintweir::net
