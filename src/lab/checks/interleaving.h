// Interleavings of one exchange with one event: a text to the node is cut after a byte, and there a client
// closes, a connection is reset, the node gets SIGTERM or the host list changes. Runs the node's own code on
// the lab's virtual network; the checks use only what its clients, hosts and list services observed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "ids.h"

namespace flintweir::lab {

struct Interleaving {
  enum class Stream { client, host, list };  // the sender of the text that is cut
  enum class Event {
    client_ends,  // the client closes its sending side
    client_resets,
    host_ends,    // the host closes its sending side
    host_resets,  // if the list's text is cut, the list service resets
    stop,         // SIGTERM
    reload,       // SIGHUP, with a configuration that names another list service
    drain,        // the list reports a host as draining
    late,         // nothing happens, but the rest of the text comes later than a dial may take
    silence,      // the rest of the text never comes
    // Faults of the list service. A host starts to drain when the fault begins, unless stated otherwise; the
    // node has to know 6 s after it could have learnt of it, 4 s after a new configuration.
    turned_away,  // for a while, calls are alternately answered 503 and reset
    queued,       // each call waits for its answer longer than its timeout
    away,         // connections are refused for 8 s; a host starts to drain when the service is back
    silent_turn   // the service that a new configuration names does not answer for a while
  };
  static constexpr std::size_t kEvents = 13;

  Stream stream = Stream::client;
  std::size_t byte = 0;  // how many bytes of the text are sent before the event
  Event event = Event::silence;
  bool busy = false;   // the event and the rest arrive while the node gets no processor time
  bool eager = false;  // the client sends its next line together with its request
  bool once = false;   // the session is once-only instead of repeatable
  std::uint64_t seed = 1;
};

std::string to_text(const Interleaving& interleaving);
// Plays an interleaving. Returns the violations, each as the name of its rule and what was observed; empty if
// every rule held.
std::vector<std::string> run_interleaving(const Interleaving& interleaving);
// Every combination that is checked: each byte of each text (every 7th of the list's, every 28th for faults
// of the list service) with each event that applies to it, with a free and with a busy node, and for clients
// and hosts also eager clients and once-only sessions.
std::vector<Interleaving> all_interleavings();

}  // namespace flintweir::lab
