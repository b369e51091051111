// The one place that writes log lines.
#pragma once

namespace flintweir::net {

// Where this thread's lines go instead of standard error, all of them; null: back there.
class LogSink {
 public:
  virtual void write_line(const char* text) = 0;

 protected:
  ~LogSink() = default;
};
void set_log_sink(LogSink* sink);

// One line to standard error, printf style. Past a burst, lines of a second too
// many are dropped and counted, and so are those that would have to wait for whoever reads them.
[[gnu::format(printf, 1, 2)]] void log_line(const char* format, ...);

}  // namespace flintweir::net
