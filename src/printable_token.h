// The character set of names that appear unescaped in log lines, tables and JSON.
#pragma once

#include <algorithm>
#include <string_view>

namespace flintweir {

// Whether `text` has only printable ASCII characters and no spaces, double quotes or backslashes.
inline bool is_printable_token(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < 127 && c != '"' && c != '\\'; });
}

}  // namespace flintweir
