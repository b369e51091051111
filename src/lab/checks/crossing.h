// One exchange of one node, cut after a byte, with one event there: the client's end, a reset, SIGTERM, a
// list. The node's own code on the lab's network; what happened is judged from outside by what its neighbours
// saw.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

struct Crossing {
  enum class Text { client, host, list };  // whose text is cut
  enum class Event { client_ends, client_resets, host_ends, host_resets, stop, reload, drain, late, silence };
  static constexpr std::size_t kEvents = 9;

  Text text = Text::client;
  std::size_t byte = 0;  // of the text that come before the event
  Event event = Event::silence;
  bool busy = false;   // event and rest come while the node has no processor time
  bool eager = false;  // the client says its next line with its first
  bool once = false;   // the session may have its effect once only
  std::uint64_t seed = 1;
};

std::string to_text(const Crossing& crossing);
// What was broken, each as its rule's name and what was seen; empty where every rule held.
std::vector<std::string> play(const Crossing& crossing);
// Every crossing there is: each byte of each text with each event, in both kinds of session, in time and
// late.
std::vector<Crossing> all_crossings();

}  // namespace flintweir::lab
