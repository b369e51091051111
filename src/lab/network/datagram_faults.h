// Faults of datagrams on one direction between two machines: loss, delay, duplication, corruption and replay.
// The virtual network and the relays between real processes draw them with the same function.
#pragma once

#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

// `loss`, `duplication`, `corruption` and `replay` are probabilities for each datagram.
struct DatagramFaults {
  double loss = 0, duplication = 0;
  double corruption = 0;  // one byte is changed, or the datagram is truncated
  double replay = 0;      // a second copy arrives after `replay_delay`
  Micros extra_delay{0};
  Micros jitter{0};  // largest random addition to `extra_delay`
  Micros replay_delay{10'000'000};
  bool blocked = false;  // no datagram arrives
};

// Returns the copies of a datagram that arrive, each with its delay. Random numbers are drawn only for
// faults with a nonzero value, so that a fault that is off does not change the sequence of the others.
inline std::vector<std::pair<Micros, std::string>> delivered_copies(const DatagramFaults& faults,
                                                                    std::knuth_b& rng,
                                                                    std::string_view bytes) {
  std::vector<std::pair<Micros, std::string>> out;
  const auto occurs = [&](double probability) {
    return probability > 0 && std::generate_canonical<double, 32>(rng) < probability;
  };
  if (faults.blocked || occurs(faults.loss)) return out;
  const auto draw_delay = [&] {
    const double fraction = faults.jitter > Micros{0} ? std::generate_canonical<double, 32>(rng) : 0;
    return faults.extra_delay +
           Micros{static_cast<std::int64_t>(static_cast<double>(faults.jitter.count()) * fraction)};
  };
  std::string text(bytes);
  if (!text.empty() && occurs(faults.corruption)) {
    const std::size_t at = rng() % text.size();
    if (rng() % 2)
      text.resize(at);
    else
      text[at] = static_cast<char>(text[at] ^ static_cast<char>(1 + rng() % 255));
  }
  out.emplace_back(draw_delay(), text);
  if (occurs(faults.duplication)) out.emplace_back(draw_delay(), text);
  if (occurs(faults.replay)) out.emplace_back(faults.replay_delay, text);
  return out;
}

}  // namespace flintweir::lab
