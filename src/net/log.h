// Log output. All log lines of a node are written here.
#pragma once

namespace flintweir::net {

class LogSink {
 public:
  virtual void write_line(const char* text) = 0;

 protected:
  ~LogSink() = default;
};
// Sends the log lines of this thread to `sink` instead of standard error, without a rate limit; null restores
// standard error. The sink has to outlive its use.
void set_log_sink(LogSink* sink);

// Writes one line to standard error, printf style. Never blocks: lines above the limit for one second, and
// lines that could only be written by waiting for the reader of a pipe, are dropped and counted.
[[gnu::format(printf, 1, 2)]] void log_line(const char* format, ...);

}  // namespace flintweir::net
