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

struct Interleaving {
  enum class Text { client, host, list };  // whose text is cut
  enum class Event {
    client_ends,
    client_resets,
    host_ends,
    host_resets,
    stop,
    reload,
    drain,
    late,
    silence,
    // Of the list alone; a host drains as each begins, which counts as told 6 s after it could be heard of.
    turned_away,  // each call is answered 503 or reset, by turns, for a while
    queued,       // each call waits longer than it may
    away,         // calls are refused; a host drains as the service comes back after 8 s
    silent_turn   // the service that a new configuration names says nothing for a while
  };
  static constexpr std::size_t kEvents = 13;

  Text text = Text::client;
  std::size_t byte = 0;  // of the text that come before the event
  Event event = Event::silence;
  bool busy = false;   // event and rest come while the node has no processor time
  bool eager = false;  // the client says its next line with its first
  bool once = false;   // the session may have its effect once only
  std::uint64_t seed = 1;
};

std::string to_text(const Interleaving& interleaving);
// What was broken, each as its rule's name and what was seen; empty where every rule held.
std::vector<std::string> run_interleaving(const Interleaving& interleaving);
// Every interleaving there is: each byte of each text with each event, in both kinds of session, in time and
// late.
std::vector<Interleaving> all_interleavings();

}  // namespace flintweir::lab
