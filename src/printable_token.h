// Texts that stand in log lines, tables and JSON as they are.
#pragma once

#include <algorithm>
#include <string_view>

namespace flintweir {

// Printable ASCII without blanks, quotes and backslashes.
inline bool is_printable_token(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < 127 && c != '"' && c != '\\'; });
}

}  // namespace flintweir
