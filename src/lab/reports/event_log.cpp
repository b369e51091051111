#include "lab/reports/event_log.h"

#include <xxhash.h>

namespace flintweir::lab {

void EventLog::append(std::string_view line) {
  hash_ = XXH3_64bits_withSeed(line.data(), line.size(), hash_);
  ++lines_;
  if (kept_) text_ += line;
}

}  // namespace flintweir::lab
