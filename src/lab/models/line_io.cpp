#include "lab/models/line_io.h"

#include <xxhash.h>

#include "numbers.h"

namespace flintweir::lab {

std::uint64_t hash_line(std::string_view line) { return XXH3_64bits(line.data(), line.size()); }

std::string make_line(const char* sender, SessionNo session, unsigned number, unsigned size) {
  char head[64];
  std::snprintf(head, sizeof head, "%s %llx %u ", sender, static_cast<unsigned long long>(session.value),
                number);
  std::string line = head;
  std::uint64_t random = session.value * 0x9e3779b97f4a7c15ull + number;
  while (line.size() + 2 < size) {
    random = mix(random + 0x9e3779b97f4a7c15ull);
    for (std::uint64_t rest = random; rest > 0 && line.size() + 2 < size; rest /= 26)
      line += static_cast<char>('a' + rest % 26);
  }
  return line + "\r\n";
}

}  // namespace flintweir::lab
