#include "lab/checks/checker.h"

#include <algorithm>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

constexpr Micros kOnSockets = 50ms;  // each limit is so much longer there
constexpr Micros kHeld = 1s, kEnds = 1s, kSilent = 7s, kGone = 100ms;
constexpr Micros kForget = 12s;  // after all is over, what could still be wrong has shown

std::string ms(Micros t) { return std::to_string(t.count() / 1000) + " ms"; }

}  // namespace

const char* name_of(Rule rule) {
  constexpr const char* names[] = {"answer", "effect", "drain", "cold", "line",
                                   "held",   "cut",    "ended", "rude", "gone"};
  return names[static_cast<int>(rule)];
}

void Checker::breaks(Rule rule, SessionNo id, Session& s, Micros now, const std::string& what) {
  if (s.reported.insert(rule).second) broken_({rule, now, id, what});
}

Checker::Dial* Checker::find(HostDialNo call, Session*& session) {
  const auto it = calls_.find(call.value);
  session = it == calls_.end() ? nullptr : find(it->second);
  if (!session) return nullptr;
  for (Dial& d : session->dials) {
    if (d.call == call) return &d;
  }
  return nullptr;
}

Checker::Dial* Checker::open_dial(Session& s) {
  for (Dial& d : s.dials) {
    if (s.open.value && d.call == s.open) return &d;
  }
  return nullptr;
}

// What the network takes of a limit, there and back.
Micros Checker::slack(const Session& s, const Dial* d) const {
  const MachineNo node = nodes_.at(s.node.value).machine;
  Micros out = kOnSockets + 2 * paths_.max_delay(s.client, node);
  if (d) out += 2 * paths_.max_delay(node, hosts_.at(d->host.value).machine);
  return out;
}

bool Checker::healthy_since(const Session& s, const Dial* d, Micros since) const {
  const MachineNo node = nodes_.at(s.node.value).machine;
  return paths_.healthy_since(s.client, node, since) &&
         (!d || paths_.healthy_since(node, hosts_.at(d->host.value).machine, since));
}

bool Checker::spoke_since(HostNo host, Micros since) const {
  const Host& h = hosts_.at(host.value);
  return h.up && !h.silent && h.silent_until <= since;
}

void Checker::node_down(NodeNo node) {
  nodes_[node.value].up = false;
  nodes_[node.value].told_away.clear();
  nodes_[node.value].told_start.clear();
  for (auto& [id, s] : sessions_) {
    if (s.node == node) s.excused = true;
  }
}

void Checker::host_up(HostNo host, MachineNo machine, const std::string& name, ZoneNo zone, CellId cell,
                      Micros started) {
  Host& h = hosts_[host.value];
  const Micros silent_until = h.silent_until;
  h = {machine, name, zone, cell, true, false, silent_until, started};
}

void Checker::host_down(HostNo host, Micros now) {
  Host& h = hosts_[host.value];
  if (h.silent) h.silent_until = now;
  h.up = h.silent = false;
  for (auto& [id, s] : sessions_) {
    for (Dial& d : s.dials) {
      if (d.host != host || d.over) continue;
      d.over = d.host_ended = true;
      d.host_ended_at = now;
    }
  }
}

void Checker::host_silent(HostNo host, bool silent, Micros now) {
  Host& h = hosts_[host.value];
  if (h.silent && !silent) h.silent_until = now;
  h.silent = silent;
}

// A node that could not know of a host's start sends to it as to a warm one: the rule is broken where two
// thirds of what tipped it over came from nodes that had been told.
void Checker::host_overloaded(HostNo host, Micros now) {
  const Host& h = hosts_[host.value];
  double all = 0, told = 0;
  for (const Host::Sent& s : h.cold_sent) {
    all += s.load;
    told += s.told ? s.load : 0;
  }
  if (told * 3 < all * 2) return;
  broken_({Rule::cold, now, {}, "host " + h.name + " was cold and got more than it can bear"});
}

void Checker::record_cold_load(HostNo host, SessionNo id, double load, Micros window, Micros now) {
  Host& h = hosts_[host.value];
  const Session* const s = find(id);
  bool knows = false;
  if (s) {
    const auto& starts = nodes_[s->node.value].told_start;
    const auto told = starts.find(host.value);
    knows = told != starts.end() && told->second.started == h.started;
  }
  while (!h.cold_sent.empty() && now - h.cold_sent.front().at > window) h.cold_sent.pop_front();
  h.cold_sent.push_back({now, load, knows});
}

void Checker::host_listed(NodeNo node, MachineNo teller, HostNo host, HostStatus standing, Micros started,
                          Micros now) {
  Node& n = nodes_[node.value];
  Node::Start& last = n.told_start[host.value];
  if (now < last.told_at) return;  // something newer has been told since
  last = {now, started};
  if (standing == HostStatus::active)
    n.told_away.erase(host.value);
  else if (standing == HostStatus::draining || !only_draining_binds_)
    n.told_away.emplace(host.value, Node::Away{now, teller, now});
}

void Checker::host_listing_due(NodeNo node, MachineNo teller, HostNo host, HostStatus standing, Micros had,
                               Micros at) {
  Node& n = nodes_[node.value];
  Node::Start& last = n.told_start[host.value];
  if (!n.up || last.told_at >= had) return;  // it was told of that, or of something newer
  last.told_at = had;
  if (standing == HostStatus::active)
    n.told_away.erase(host.value);
  else if (standing == HostStatus::draining || !only_draining_binds_)
    n.told_away.emplace(host.value, Node::Away{at, teller, had});
}

void Checker::session_requested(SessionNo id, NodeNo node, MachineNo client, const Listener& listener,
                                Micros patience, Micros now) {
  Session& s = sessions_[id.value];
  s.node = node;
  s.client = client;
  s.listener = listener;
  s.asked_at = now;
  s.patience = patience;
  s.excused = !nodes_[node.value].up;
}

void Checker::session_answered(SessionNo id, Answer answer, std::string_view receipt, Micros now) {
  Session* const s = find(id);
  if (!s) return;
  if (s->answer != Answer::none) {
    return breaks(Rule::answer, id, *s, now,
                  "a second answer came " + ms(now - s->answered_at) + " after the first");
  }
  s->answer = answer;
  s->answered_at = now;
  const Micros late = now - s->asked_at - s->patience;
  if (late > slack(*s, nullptr) && !s->excused && healthy_since(*s, nullptr, s->asked_at))
    breaks(Rule::answer, id, *s, now, "its answer came " + ms(late) + " too late");
  if (answer == Answer::up) {
    for (const Dial& d : s->dials)
      if (d.answer == Answer::up && d.receipt == receipt) s->open = d.call;
    if (!s->open.value) breaks(Rule::answer, id, *s, now, "it was accepted with a receipt that no host gave");
  }
  if (answer != Answer::busy) return;
  const bool harmless =
      s->listener.effect == Effect::repeatable ||
      (s->listener.effect == Effect::referenced && s->listener.dedup_scope == DedupScope::all);
  for (const Dial& d : s->dials) {
    if (!harmless && may_have_run(d))
      breaks(Rule::effect, id, *s, now,
             "it was refused though it may have run at " + hosts_[d.host.value].name);
  }
}

void Checker::client_sent_line(SessionNo id, std::uint64_t line, Micros now) {
  Session* const s = find(id);
  if (!s) return;
  s->up.push_back({line, now});
  if (s->waiting_since == Micros{0}) s->waiting_since = now;
}

void Checker::client_received_line(SessionNo id, std::uint64_t line, bool is_move, Micros now) {
  Session* const s = find(id);
  if (!s) return;
  s->waiting_since = Micros{0};
  if (s->answer != Answer::up) {
    return breaks(Rule::answer, id, *s, now, "more came after its final answer");
  }
  if (s->moved) return breaks(Rule::line, id, *s, now, "a line came after MOVE");
  Dial* const d = open_dial(*s);
  if (!d || d->down.empty() || d->down.front().hash != line) {
    if (!is_move) return breaks(Rule::line, id, *s, now, "a line came that its host did not send next");
    s->moved = true;
    s->moved_at = now;
    return;
  }
  const Micros took = now - d->down.front().at;
  if (took > kHeld + slack(*s, d) && healthy_since(*s, d, d->down.front().at))
    breaks(Rule::held, id, *s, now, "a line to the client took " + ms(took));
  d->down.pop_front();
}

void Checker::client_closed(SessionNo id, bool cleanly, Micros now) {
  Session* const s = find(id);
  if (!s || s->client_over) return;
  s->client_over = true;
  s->clean_end = cleanly;
  s->client_over_at = now;
  s->waiting_since = Micros{0};
  if (s->answer == Answer::none && !s->excused && now - s->asked_at - s->patience > slack(*s, nullptr) &&
      healthy_since(*s, nullptr, s->asked_at)) {
    breaks(Rule::answer, id, *s, now, "no answer came in time");
  }
}

void Checker::client_saw_close(SessionNo id, Micros now) {
  Session* const s = find(id);
  if (!s || s->client_over) return;
  s->client_over = true;
  s->client_over_at = now;
  s->waiting_since = Micros{0};
  if (s->excused || !nodes_[s->node.value].up || !healthy_since(*s, nullptr, s->asked_at)) return;
  if (s->answer == Answer::none)
    return breaks(Rule::answer, id, *s, now, "its connection ended with no answer");
  if (s->answer != Answer::up || s->moved) return;
  const Dial* const d = open_dial(*s);
  if (!d || !healthy_since(*s, d, s->answered_at)) return;
  if (!d->host_ended) {
    if (spoke_since(d->host, now - kSilent))
      breaks(Rule::cut, id, *s, now,
             "it was cut without MOVE while its host " + hosts_[d->host.value].name + " answered");
  } else if (d->ends != CloseKind::aborted && !d->down.empty()) {
    breaks(Rule::line, id, *s, now, std::to_string(d->down.size()) + " lines that its host sent never came");
  }
}

void Checker::check_bad_client_wait(Micros waited, Micros allowance, const char* kind, Micros now) {
  ++checks_;
  if (waited > 3s + kOnSockets + allowance)
    broken_({Rule::rude, now, {}, std::string(kind) + " got neither an error nor a close for " + ms(waited)});
}

HostDialNo Checker::begin_dial(HostNo host, SessionNo id, Micros now) {
  const HostDialNo call{++next_call_};
  Session* const s = find(id);
  if (!s) {
    broken_({Rule::effect, now, id, "a host got a session that no client asked for"});
    return call;
  }
  calls_[call.value] = id;
  const Host& h = hosts_[host.value];
  Node& node = nodes_[s->node.value];
  if (const auto away = node.told_away.find(host.value); away != node.told_away.end() && !s->excused) {
    const Micros late = now - away->second.at - grace_;
    const Micros travels =
        paths_.max_delay(away->second.teller, node.machine) + 3 * paths_.max_delay(node.machine, h.machine);
    if (late > kOnSockets + travels &&
        paths_.healthy_since(away->second.teller, node.machine, away->second.since) &&
        paths_.healthy_since(node.machine, h.machine, s->asked_at))
      breaks(Rule::drain, id, *s, now,
             "it was sent to " + h.name + ' ' + ms(late) + " after the grace of its drain");
  }
  if (s->client_over && s->answer == Answer::none && !s->excused) {
    // Its end reaches the node, and a dial connects, then sends.
    const Micros late = now - s->client_over_at - kGone;
    const Micros travels =
        paths_.max_delay(s->client, node.machine) + 3 * paths_.max_delay(node.machine, h.machine);
    if (late > travels && paths_.healthy_since(s->client, node.machine, s->asked_at) &&
        paths_.healthy_since(node.machine, h.machine, s->asked_at))
      breaks(Rule::gone, id, *s, now,
             "it was sent to " + h.name + ' ' + ms(late + kGone) + " after its client had gone");
  }
  const Dial* first = nullptr;
  for (Dial& d : s->dials) {
    if (!d.over && d.answer == Answer::none && d.overtaken_at == Micros{0}) d.overtaken_at = now;
    if (!first && may_have_run(d)) first = &d;
  }
  if (s->dials.size() >= most_dials_)
    breaks(Rule::effect, id, *s, now, "it was dialled more than " + std::to_string(most_dials_) + " times");
  if (s->answer == Answer::busy || s->answer == Answer::err) {
    // What was sent before it, and got lost, comes once the way is mended.
    if (now - s->answered_at > kOnSockets + slack(*s, nullptr) &&
        paths_.healthy_since(node.machine, h.machine, s->asked_at))
      breaks(Rule::answer, id, *s, now, "it was dialled after its final answer");
  }
  if (first && s->listener.effect == Effect::once_only)
    breaks(Rule::effect, id, *s, now,
           "once-only, it was dialled again though it may have run at " + hosts_[first->host.value].name);
  if (first && s->listener.effect == Effect::referenced) {
    const Host& ran = hosts_[first->host.value];
    if (now - first->came >
            s->listener.dedup_window + slack(*s, nullptr) + 2 * paths_.max_delay(node.machine, h.machine) &&
        paths_.healthy_since(node.machine, h.machine, first->came))
      breaks(Rule::effect, id, *s, now, "it was dialled again when hosts no longer remembered it");
    if ((s->listener.dedup_scope == DedupScope::zone && ran.zone != h.zone) ||
        (s->listener.dedup_scope == DedupScope::cell && ran.cell != h.cell))
      breaks(Rule::effect, id, *s, now, "it was dialled again outside the hosts that remember it");
  }
  Dial d;
  d.host = host;
  d.call = call;
  d.came = now;
  s->dials.push_back(d);
  return call;
}

void Checker::host_answered(HostDialNo call, Answer answer, std::string_view receipt, Micros) {
  Session* s;
  if (Dial* d = find(call, s)) {
    d->answer = answer;
    d->receipt = receipt;
  }
}

void Checker::host_sent_line(HostDialNo call, std::uint64_t line, Micros now) {
  Session* s;
  if (Dial* d = find(call, s); d && d->answer == Answer::up) d->down.push_back({line, now});
}

void Checker::host_received_line(HostDialNo call, std::uint64_t line, Micros now) {
  Session* s;
  Dial* const d = find(call, s);
  if (!d) return;
  const SessionNo id = calls_[call.value];
  if (s->up.empty() || s->up.front().hash != line)
    return breaks(Rule::line, id, *s, now, "its host got a line that the client did not send next");
  const Micros took = now - s->up.front().at;
  if (took > kHeld + slack(*s, d) && healthy_since(*s, d, s->up.front().at) &&
      spoke_since(d->host, s->up.front().at))
    breaks(Rule::held, id, *s, now, "a line to the host took " + ms(took));
  s->up.pop_front();
}

void Checker::host_closed(HostDialNo call, CloseKind how, Micros now) {
  Session* s;
  Dial* const d = find(call, s);
  if (!d || d->over) return;
  d->over = d->host_ended = true;
  d->host_ended_at = now;
  d->ends = how;
}

void Checker::host_saw_close(HostDialNo call, bool cleanly, Micros now) {
  Session* s;
  Dial* const d = find(call, s);
  if (!d || d->over) return;
  d->over = true;
  if (d->overtaken_at != Micros{0}) {
    const MachineNo node = nodes_[s->node.value].machine, host = hosts_[d->host.value].machine;
    if (now - d->overtaken_at > kOnSockets + 2 * paths_.max_delay(node, host) && !s->excused &&
        paths_.healthy_since(node, host, d->overtaken_at) && spoke_since(d->host, d->overtaken_at))
      breaks(Rule::effect, calls_[call.value], *s, now,
             "a second dial was out for " + ms(now - d->overtaken_at));
  }
  if (d != open_dial(*s) || s->excused) return;
  // The client has said its last, all of which its host must have got; unless a MOVE to it was on its way.
  if (cleanly && s->client_over && s->clean_end && !s->up.empty() && healthy_since(*s, d, s->answered_at) &&
      spoke_since(d->host, s->up.front().at)) {
    s->missing = s->up.size();
    s->missing_at = now;
  }
}

void Checker::check_overdue(Micros now) {
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    if (!check_overdue(SessionNo{it->first}, it->second, now)) {
      ++it;
      continue;
    }
    for (const Dial& d : it->second.dials) calls_.erase(d.call.value);
    it = sessions_.erase(it);
  }
}

bool Checker::check_overdue(SessionNo id, Session& s, Micros now) {
  ++checks_;
  if (s.missing > 0 && !s.moved && now - s.missing_at > kEnds)
    breaks(Rule::line, id, s, now, std::to_string(s.missing) + " lines that the client sent never came");
  if (s.excused || !nodes_[s.node.value].up) return s.client_over && now - s.client_over_at > kForget;
  bool all_over = s.client_over;
  const Dial* const open = open_dial(s);
  for (Dial& d : s.dials) {
    all_over = all_over && d.over;
    if (d.over) continue;
    const Micros slack_d = slack(s, &d);
    const auto overdue = [&](Micros since, Micros limit) {
      return since != Micros{0} && now - since > limit + slack_d && healthy_since(s, &d, since) &&
             spoke_since(d.host, since);
    };
    if (d.answer == Answer::none && overdue(d.overtaken_at, Micros{0}))
      breaks(Rule::effect, id, s, now, "a second dial is out");
    // Whatever ended at the client's side must end at the host's.
    const Micros away = s.client_over                                         ? s.client_over_at
                        : s.moved                                             ? s.moved_at
                        : s.answer == Answer::busy || s.answer == Answer::err ? s.answered_at
                                                                              : Micros{0};
    if (overdue(away, kEnds))
      breaks(Rule::ended, id, s, now, "its connection to " + hosts_[d.host.value].name + " is left open");
  }
  if (!s.client_over) {
    if (s.answer == Answer::none && now - s.asked_at - s.patience > slack(s, nullptr) &&
        healthy_since(s, nullptr, s.asked_at))
      breaks(Rule::answer, id, s, now, "no answer has come in time");
    if (open && !s.moved) {
      if (open->host_ended && now - open->host_ended_at > kEnds + slack(s, open) &&
          healthy_since(s, open, open->host_ended_at))
        breaks(Rule::ended, id, s, now,
               "its host " + hosts_[open->host.value].name + " has ended it, and nobody told the client");
      const Micros quiet = s.waiting_since == Micros{0} ? Micros{0} : now - s.waiting_since;
      if (quiet > kSilent + slack(s, open) && healthy_since(s, nullptr, s.waiting_since))
        breaks(Rule::ended, id, s, now, "nothing came back for " + ms(quiet) + ", and it was not moved");
      if (!open->down.empty() && !open->over && now - open->down.front().at > kHeld + slack(s, open) &&
          healthy_since(s, open, open->down.front().at))
        breaks(Rule::held, id, s, now, "a line to the client is held");
      if (!s.up.empty() && !open->over && now - s.up.front().at > kHeld + slack(s, open) &&
          healthy_since(s, open, s.up.front().at) && spoke_since(open->host, s.up.front().at))
        breaks(Rule::held, id, s, now, "a line to the host is held");
    }
  }
  return all_over && now - s.client_over_at > kForget;
}

}  // namespace flintweir::lab
