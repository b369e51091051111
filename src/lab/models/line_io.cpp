#include "lab/models/line_io.h"

#include <xxhash.h>

#include "numbers.h"

namespace flintweir::lab {

std::uint64_t hash_line(std::string_view line) { return XXH3_64bits(line.data(), line.size()); }

std::string make_line(const char* who, SessionNo session, unsigned number, unsigned size) {
  char head[64];
  std::snprintf(head, sizeof head, "%s %llx %u ", who, static_cast<unsigned long long>(session.value),
                number);
  std::string out = head;
  std::uint64_t x = session.value * 0x9e3779b97f4a7c15ull + number;
  while (out.size() + 2 < size) {
    x = mix(x + 0x9e3779b97f4a7c15ull);
    for (std::uint64_t left = x; left > 0 && out.size() + 2 < size; left /= 26)
      out += static_cast<char>('a' + left % 26);
  }
  return out + "\r\n";
}

}  // namespace flintweir::lab
