// What becomes of a datagram on one way from one machine to another: lost, late, doubled, spoilt. One way of
// drawing it for the virtual network and for the relays between real processes.
#pragma once

#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

struct Post {
  double lost = 0, doubled = 0;
  double spoilt = 0;  // a byte changed, or cut short
  double old = 0;     // comes once more, `old_by` later
  Micros longer{0}, spread{0}, old_by{10'000'000};
  bool cut = false;
};

// The copies that arrive, each after so long. Chance is drawn only for what the way does.
inline std::vector<std::pair<Micros, std::string>> carried(const Post& way, std::knuth_b& chance,
                                                           std::string_view bytes) {
  std::vector<std::pair<Micros, std::string>> out;
  const auto drawn = [&](double share) {
    return share > 0 && std::generate_canonical<double, 32>(chance) < share;
  };
  if (way.cut || drawn(way.lost)) return out;
  const auto late = [&] {
    const double part = way.spread > Micros{0} ? std::generate_canonical<double, 32>(chance) : 0;
    return way.longer + Micros{static_cast<std::int64_t>(static_cast<double>(way.spread.count()) * part)};
  };
  std::string text(bytes);
  if (!text.empty() && drawn(way.spoilt)) {
    const std::size_t at = chance() % text.size();
    if (chance() % 2)
      text.resize(at);
    else
      text[at] = static_cast<char>(text[at] ^ static_cast<char>(1 + chance() % 255));
  }
  out.emplace_back(late(), text);
  if (drawn(way.doubled)) out.emplace_back(late(), text);
  if (drawn(way.old)) out.emplace_back(way.old_by, text);
  return out;
}

}  // namespace flintweir::lab
