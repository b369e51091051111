// What becomes of a datagram on one way from one machine to another: loss, late, duplication, corruption. One
// way of drawing it for the virtual network and for the relays between real processes.
#pragma once

#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

struct DatagramFaults {
  double loss = 0, duplication = 0;
  double corruption = 0;  // a byte changed, or blocked short
  double replay = 0;      // comes once more, `replay_delay` later
  Micros extra_delay{0}, jitter{0}, replay_delay{10'000'000};
  bool blocked = false;
};

// The copies that arrive, each after so long. Chance is drawn only for what the way does.
inline std::vector<std::pair<Micros, std::string>> delivered_copies(const DatagramFaults& way,
                                                                    std::knuth_b& chance,
                                                                    std::string_view bytes) {
  std::vector<std::pair<Micros, std::string>> out;
  const auto drawn = [&](double share) {
    return share > 0 && std::generate_canonical<double, 32>(chance) < share;
  };
  if (way.blocked || drawn(way.loss)) return out;
  const auto late = [&] {
    const double part = way.jitter > Micros{0} ? std::generate_canonical<double, 32>(chance) : 0;
    return way.extra_delay +
           Micros{static_cast<std::int64_t>(static_cast<double>(way.jitter.count()) * part)};
  };
  std::string text(bytes);
  if (!text.empty() && drawn(way.corruption)) {
    const std::size_t at = chance() % text.size();
    if (chance() % 2)
      text.resize(at);
    else
      text[at] = static_cast<char>(text[at] ^ static_cast<char>(1 + chance() % 255));
  }
  out.emplace_back(late(), text);
  if (drawn(way.duplication)) out.emplace_back(late(), text);
  if (drawn(way.replay)) out.emplace_back(way.replay_delay, text);
  return out;
}

}  // namespace flintweir::lab
