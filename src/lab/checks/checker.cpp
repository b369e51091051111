#include "lab/checks/checker.h"

#include <algorithm>

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

// Added to time limits for the delays of real sockets.
constexpr Micros kSocketAllowance = 50ms;
constexpr Micros kMaxLineDelay = 1s, kMaxCloseDelay = 1s, kMaxHostSilence = 7s,
                 kMaxDialDelayAfterClientGone = 100ms;
// How long a session is kept after all its connections have closed; any violation has been detected by then.
constexpr Micros kSessionRetention = 12s;

std::string ms(Micros time) { return std::to_string(time.count() / 1000) + " ms"; }

}  // namespace

const char* name_of(Rule rule) {
  constexpr const char* names[] = {"answer", "effect", "drain", "cold", "line",
                                   "held",   "cut",    "ended", "rude", "gone"};
  return names[static_cast<int>(rule)];
}

void Checker::report(Rule rule, SessionNo id, Session& session, Micros now, const std::string& what) {
  if (session.reported.insert(rule).second) on_violation_({rule, now, id, what});
}

Checker::Dial* Checker::find(HostDialNo dial_id, Session*& session) {
  const auto it = dial_sessions_.find(dial_id.value);
  session = it == dial_sessions_.end() ? nullptr : find(it->second);
  if (!session) return nullptr;
  for (Dial& dial : session->dials) {
    if (dial.id == dial_id) return &dial;
  }
  return nullptr;
}

Checker::Dial* Checker::accepted_dial(Session& session) {
  for (Dial& dial : session.dials) {
    if (session.accepted.value && dial.id == session.accepted) return &dial;
  }
  return nullptr;
}

// The round-trip time of the network that is allowed on top of a limit.
Micros Checker::network_allowance(const Session& session, const Dial* dial) const {
  const MachineId node = nodes_.at(session.node.value).machine;
  Micros out = kSocketAllowance + 2 * paths_.max_delay(session.client, node);
  if (dial) out += 2 * paths_.max_delay(node, hosts_.at(dial->host.value).machine);
  return out;
}

bool Checker::healthy_since(const Session& session, const Dial* dial, Micros since) const {
  const MachineId node = nodes_.at(session.node.value).machine;
  return paths_.healthy_since(session.client, node, since) &&
         (!dial || paths_.healthy_since(node, hosts_.at(dial->host.value).machine, since));
}

bool Checker::responsive_since(HostNo host, Micros since) const {
  const Host& host_state = hosts_.at(host.value);
  return host_state.up && !host_state.silent && host_state.silent_until <= since;
}

void Checker::node_down(NodeNo node) {
  nodes_[node.value].up = false;
  nodes_[node.value].unavailable_hosts.clear();
  nodes_[node.value].boot_reports.clear();
  for (auto& [id, session] : sessions_) {
    if (session.node == node) session.exempt = true;
  }
}

void Checker::host_up(HostNo host, MachineId machine, const std::string& name, ZoneId zone, CellId cell,
                      Micros boot_time) {
  Host& host_state = hosts_[host.value];
  const Micros silent_until = host_state.silent_until;
  host_state = {machine, name, zone, cell, true, false, silent_until, boot_time};
}

void Checker::host_down(HostNo host, Micros now) {
  Host& host_state = hosts_[host.value];
  if (host_state.silent) host_state.silent_until = now;
  host_state.up = host_state.silent = false;
  for (auto& [id, session] : sessions_) {
    for (Dial& dial : session.dials) {
      if (dial.host != host || dial.closed) continue;
      dial.closed = dial.host_closed = true;
      dial.host_closed_at = now;
    }
  }
}

void Checker::host_silent(HostNo host, bool silent, Micros now) {
  Host& host_state = hosts_[host.value];
  if (host_state.silent && !silent) host_state.silent_until = now;
  host_state.silent = silent;
}

// A node that cannot know of a host's restart treats the host as warm. The rule is therefore broken only if
// at least two thirds of the load that overloaded the host came from nodes that had been sent its boot time.
void Checker::host_overloaded(HostNo host, Micros now) {
  const Host& host_state = hosts_[host.value];
  double total = 0, informed = 0;
  for (const Host::ColdDial& sent : host_state.cold_dials) {
    total += sent.load;
    informed += sent.informed ? sent.load : 0;
  }
  if (informed * 3 < total * 2) return;
  on_violation_({Rule::cold, now, {}, "host " + host_state.name + " was cold and got more than it can bear"});
}

void Checker::record_cold_load(HostNo host, SessionNo id, double load, Micros window, Micros now) {
  Host& host_state = hosts_[host.value];
  const Session* const session = find(id);
  bool informed = false;
  if (session) {
    const auto& reports = nodes_[session->node.value].boot_reports;
    const auto known = reports.find(host.value);
    informed = known != reports.end() && known->second.boot_time == host_state.boot_time;
  }
  while (!host_state.cold_dials.empty() && now - host_state.cold_dials.front().sent_at > window)
    host_state.cold_dials.pop_front();
  host_state.cold_dials.push_back({now, load, informed});
}

void Checker::host_listed(NodeNo node, MachineId list_machine, HostNo host, HostStatus status,
                          Micros boot_time, Micros now) {
  Node& node_state = nodes_[node.value];
  Node::BootReport& last = node_state.boot_reports[host.value];
  if (now < last.reported_at) return;  // a newer list has been sent since
  last = {now, boot_time};
  if (status == HostStatus::active)
    node_state.unavailable_hosts.erase(host.value);
  else if (status == HostStatus::draining || !only_draining_binds_)
    node_state.unavailable_hosts.emplace(host.value, Node::UnavailableHost{now, list_machine, now});
}

void Checker::host_listing_due(NodeNo node, MachineId list_machine, HostNo host, HostStatus status,
                               Micros published_at, Micros deadline) {
  Node& node_state = nodes_[node.value];
  Node::BootReport& last = node_state.boot_reports[host.value];
  if (!node_state.up || last.reported_at >= published_at)
    return;  // the node was sent this change or a newer one
  last.reported_at = published_at;
  if (status == HostStatus::active)
    node_state.unavailable_hosts.erase(host.value);
  else if (status == HostStatus::draining || !only_draining_binds_)
    node_state.unavailable_hosts.emplace(host.value,
                                         Node::UnavailableHost{deadline, list_machine, published_at});
}

void Checker::session_requested(SessionNo id, NodeNo node, MachineId client, const Listener& listener,
                                Micros answer_timeout, Micros now) {
  Session& session = sessions_[id.value];
  session.node = node;
  session.client = client;
  session.listener = listener;
  session.requested_at = now;
  session.answer_timeout = answer_timeout;
  session.exempt = !nodes_[node.value].up;
}

void Checker::session_answered(SessionNo id, Answer answer, std::string_view receipt, Micros now) {
  Session* const session = find(id);
  if (!session) return;
  if (session->answer != Answer::none) {
    return report(Rule::answer, id, *session, now,
                  "a second answer came " + ms(now - session->answered_at) + " after the first");
  }
  session->answer = answer;
  session->answered_at = now;
  const Micros late = now - session->requested_at - session->answer_timeout;
  if (late > network_allowance(*session, nullptr) && !session->exempt &&
      healthy_since(*session, nullptr, session->requested_at))
    report(Rule::answer, id, *session, now, "its answer came " + ms(late) + " too late");
  if (answer == Answer::up) {
    for (const Dial& dial : session->dials)
      if (dial.answer == Answer::up && dial.receipt == receipt) session->accepted = dial.id;
    if (!session->accepted.value)
      report(Rule::answer, id, *session, now, "it was accepted with a receipt that no host gave");
  }
  if (answer != Answer::busy) return;
  const bool harmless =
      session->listener.effect == Effect::repeatable ||
      (session->listener.effect == Effect::referenced && session->listener.dedup_scope == DedupScope::all);
  for (const Dial& dial : session->dials) {
    if (!harmless && may_have_run(dial))
      report(Rule::effect, id, *session, now,
             "it was refused though it may have run at " + hosts_[dial.host.value].name);
  }
}

void Checker::client_sent_line(SessionNo id, std::uint64_t line, Micros now) {
  Session* const session = find(id);
  if (!session) return;
  session->to_host.push_back({line, now});
  if (session->awaiting_reply_since == Micros{0}) session->awaiting_reply_since = now;
}

void Checker::client_received_line(SessionNo id, std::uint64_t line, bool is_move, Micros now) {
  Session* const session = find(id);
  if (!session) return;
  session->awaiting_reply_since = Micros{0};
  if (session->answer != Answer::up) {
    return report(Rule::answer, id, *session, now, "more came after its final answer");
  }
  if (session->moved) return report(Rule::line, id, *session, now, "a line came after MOVE");
  Dial* const dial = accepted_dial(*session);
  if (!dial || dial->to_client.empty() || dial->to_client.front().hash != line) {
    if (!is_move) return report(Rule::line, id, *session, now, "a line came that its host did not send next");
    session->moved = true;
    session->moved_at = now;
    return;
  }
  const Micros took = now - dial->to_client.front().sent_at;
  if (took > kMaxLineDelay + network_allowance(*session, dial) &&
      healthy_since(*session, dial, dial->to_client.front().sent_at))
    report(Rule::held, id, *session, now, "a line to the client took " + ms(took));
  dial->to_client.pop_front();
}

void Checker::client_closed(SessionNo id, bool cleanly, Micros now) {
  Session* const session = find(id);
  if (!session || session->client_done) return;
  session->client_done = true;
  session->clean_close = cleanly;
  session->client_done_at = now;
  session->awaiting_reply_since = Micros{0};
  if (session->answer == Answer::none && !session->exempt &&
      now - session->requested_at - session->answer_timeout > network_allowance(*session, nullptr) &&
      healthy_since(*session, nullptr, session->requested_at)) {
    report(Rule::answer, id, *session, now, "no answer came in time");
  }
}

void Checker::client_saw_close(SessionNo id, Micros now) {
  Session* const session = find(id);
  if (!session || session->client_done) return;
  session->client_done = true;
  session->client_done_at = now;
  session->awaiting_reply_since = Micros{0};
  if (session->exempt || !nodes_[session->node.value].up ||
      !healthy_since(*session, nullptr, session->requested_at))
    return;
  if (session->answer == Answer::none)
    return report(Rule::answer, id, *session, now, "its connection ended with no answer");
  if (session->answer != Answer::up || session->moved) return;
  const Dial* const dial = accepted_dial(*session);
  if (!dial || !healthy_since(*session, dial, session->answered_at)) return;
  if (!dial->host_closed) {
    if (responsive_since(dial->host, now - kMaxHostSilence))
      report(Rule::cut, id, *session, now,
             "it was cut without MOVE while its host " + hosts_[dial->host.value].name + " answered");
  } else if (dial->close_kind != CloseKind::aborted && !dial->to_client.empty()) {
    report(Rule::line, id, *session, now,
           std::to_string(dial->to_client.size()) + " lines that its host sent never came");
  }
}

void Checker::check_bad_client_wait(Micros waited, Micros allowance, const char* kind, Micros now) {
  ++checks_;
  if (waited > 3s + kSocketAllowance + allowance)
    on_violation_(
        {Rule::rude, now, {}, std::string(kind) + " got neither an error nor a close for " + ms(waited)});
}

HostDialNo Checker::begin_dial(HostNo host, SessionNo id, Micros now) {
  const HostDialNo dial_id{++next_dial_};
  Session* const session = find(id);
  if (!session) {
    on_violation_({Rule::effect, now, id, "a host got a session that no client asked for"});
    return dial_id;
  }
  dial_sessions_[dial_id.value] = id;
  const Host& host_state = hosts_[host.value];
  Node& node = nodes_[session->node.value];
  if (const auto unavailable = node.unavailable_hosts.find(host.value);
      unavailable != node.unavailable_hosts.end() && !session->exempt) {
    const Micros late = now - unavailable->second.informed_at - drain_grace_;
    const Micros network_time = paths_.max_delay(unavailable->second.list_machine, node.machine) +
                                3 * paths_.max_delay(node.machine, host_state.machine);
    if (late > kSocketAllowance + network_time &&
        paths_.healthy_since(unavailable->second.list_machine, node.machine,
                             unavailable->second.path_since) &&
        paths_.healthy_since(node.machine, host_state.machine, session->requested_at))
      report(Rule::drain, id, *session, now,
             "it was sent to " + host_state.name + ' ' + ms(late) + " after the grace of its drain");
  }
  if (session->client_done && session->answer == Answer::none && !session->exempt) {
    // One trip for the client's close to reach the node, three for the dial: connect, its answer, the
    // request.
    const Micros late = now - session->client_done_at - kMaxDialDelayAfterClientGone;
    const Micros network_time = paths_.max_delay(session->client, node.machine) +
                                3 * paths_.max_delay(node.machine, host_state.machine);
    if (late > network_time && paths_.healthy_since(session->client, node.machine, session->requested_at) &&
        paths_.healthy_since(node.machine, host_state.machine, session->requested_at))
      report(Rule::gone, id, *session, now,
             "it was sent to " + host_state.name + ' ' + ms(late + kMaxDialDelayAfterClientGone) +
                 " after its client had gone");
  }
  const Dial* first = nullptr;
  for (Dial& dial : session->dials) {
    if (!dial.closed && dial.answer == Answer::none && dial.superseded_at == Micros{0})
      dial.superseded_at = now;
    if (!first && may_have_run(dial)) first = &dial;
  }
  if (session->dials.size() >= max_dials_)
    report(Rule::effect, id, *session, now,
           "it was dialled more than " + std::to_string(max_dials_) + " times");
  if (session->answer == Answer::busy || session->answer == Answer::err) {
    // A request sent before the answer and lost by the network may arrive once the path has recovered.
    if (now - session->answered_at > kSocketAllowance + network_allowance(*session, nullptr) &&
        paths_.healthy_since(node.machine, host_state.machine, session->requested_at))
      report(Rule::answer, id, *session, now, "it was dialled after its final answer");
  }
  if (first && session->listener.effect == Effect::once_only)
    report(Rule::effect, id, *session, now,
           "once-only, it was dialled again though it may have run at " + hosts_[first->host.value].name);
  if (first && session->listener.effect == Effect::referenced) {
    const Host& ran = hosts_[first->host.value];
    if (now - first->received_at > session->listener.dedup_window + network_allowance(*session, nullptr) +
                                       2 * paths_.max_delay(node.machine, host_state.machine) &&
        paths_.healthy_since(node.machine, host_state.machine, first->received_at))
      report(Rule::effect, id, *session, now, "it was dialled again when hosts no longer remembered it");
    if ((session->listener.dedup_scope == DedupScope::zone && ran.zone != host_state.zone) ||
        (session->listener.dedup_scope == DedupScope::cell && ran.cell != host_state.cell))
      report(Rule::effect, id, *session, now, "it was dialled again outside the hosts that remember it");
  }
  Dial dial;
  dial.host = host;
  dial.id = dial_id;
  dial.received_at = now;
  session->dials.push_back(dial);
  return dial_id;
}

void Checker::host_answered(HostDialNo dial_id, Answer answer, std::string_view receipt, Micros) {
  Session* session;
  if (Dial* dial = find(dial_id, session)) {
    dial->answer = answer;
    dial->receipt = receipt;
  }
}

void Checker::host_sent_line(HostDialNo dial_id, std::uint64_t line, Micros now) {
  Session* session;
  if (Dial* dial = find(dial_id, session); dial && dial->answer == Answer::up)
    dial->to_client.push_back({line, now});
}

void Checker::host_received_line(HostDialNo dial_id, std::uint64_t line, Micros now) {
  Session* session;
  Dial* const dial = find(dial_id, session);
  if (!dial) return;
  const SessionNo id = dial_sessions_[dial_id.value];
  if (session->to_host.empty() || session->to_host.front().hash != line)
    return report(Rule::line, id, *session, now, "its host got a line that the client did not send next");
  const Micros took = now - session->to_host.front().sent_at;
  if (took > kMaxLineDelay + network_allowance(*session, dial) &&
      healthy_since(*session, dial, session->to_host.front().sent_at) &&
      responsive_since(dial->host, session->to_host.front().sent_at))
    report(Rule::held, id, *session, now, "a line to the host took " + ms(took));
  session->to_host.pop_front();
}

void Checker::host_closed(HostDialNo dial_id, CloseKind kind, Micros now) {
  Session* session;
  Dial* const dial = find(dial_id, session);
  if (!dial || dial->closed) return;
  dial->closed = dial->host_closed = true;
  dial->host_closed_at = now;
  dial->close_kind = kind;
}

void Checker::host_saw_close(HostDialNo dial_id, bool cleanly, Micros now) {
  Session* session;
  Dial* const dial = find(dial_id, session);
  if (!dial || dial->closed) return;
  dial->closed = true;
  if (dial->superseded_at != Micros{0}) {
    const MachineId node = nodes_[session->node.value].machine, host = hosts_[dial->host.value].machine;
    if (now - dial->superseded_at > kSocketAllowance + 2 * paths_.max_delay(node, host) && !session->exempt &&
        paths_.healthy_since(node, host, dial->superseded_at) &&
        responsive_since(dial->host, dial->superseded_at))
      report(Rule::effect, dial_sessions_[dial_id.value], *session, now,
             "a second dial was out for " + ms(now - dial->superseded_at));
  }
  if (dial != accepted_dial(*session) || session->exempt) return;
  // After the client's clean close, its host must have received every line, unless a MOVE to the client was
  // in transit; check_overdue() reports the missing lines if no MOVE arrives.
  if (cleanly && session->client_done && session->clean_close && !session->to_host.empty() &&
      healthy_since(*session, dial, session->answered_at) &&
      responsive_since(dial->host, session->to_host.front().sent_at)) {
    session->missing_lines = session->to_host.size();
    session->lines_missing_at = now;
  }
}

void Checker::check_overdue(Micros now) {
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    if (!check_overdue(SessionNo{it->first}, it->second, now)) {
      ++it;
      continue;
    }
    for (const Dial& dial : it->second.dials) dial_sessions_.erase(dial.id.value);
    it = sessions_.erase(it);
  }
}

bool Checker::check_overdue(SessionNo id, Session& session, Micros now) {
  ++checks_;
  if (session.missing_lines > 0 && !session.moved && now - session.lines_missing_at > kMaxCloseDelay)
    report(Rule::line, id, session, now,
           std::to_string(session.missing_lines) + " lines that the client sent never came");
  if (session.exempt || !nodes_[session.node.value].up)
    return session.client_done && now - session.client_done_at > kSessionRetention;
  bool all_closed = session.client_done;
  const Dial* const accepted = accepted_dial(session);
  for (Dial& dial : session.dials) {
    all_closed = all_closed && dial.closed;
    if (dial.closed) continue;
    const Micros allowance = network_allowance(session, &dial);
    const auto overdue = [&](Micros since, Micros limit) {
      return since != Micros{0} && now - since > limit + allowance && healthy_since(session, &dial, since) &&
             responsive_since(dial.host, since);
    };
    if (dial.answer == Answer::none && overdue(dial.superseded_at, Micros{0}))
      report(Rule::effect, id, session, now, "a second dial is out");
    // A session that has ended for the client must end at the host as well.
    const Micros ended_at = session.client_done ? session.client_done_at
                            : session.moved     ? session.moved_at
                            : session.answer == Answer::busy || session.answer == Answer::err
                                ? session.answered_at
                                : Micros{0};
    if (overdue(ended_at, kMaxCloseDelay))
      report(Rule::ended, id, session, now,
             "its connection to " + hosts_[dial.host.value].name + " is left open");
  }
  if (!session.client_done) {
    if (session.answer == Answer::none &&
        now - session.requested_at - session.answer_timeout > network_allowance(session, nullptr) &&
        healthy_since(session, nullptr, session.requested_at))
      report(Rule::answer, id, session, now, "no answer has come in time");
    if (accepted && !session.moved) {
      if (accepted->host_closed &&
          now - accepted->host_closed_at > kMaxCloseDelay + network_allowance(session, accepted) &&
          healthy_since(session, accepted, accepted->host_closed_at))
        report(Rule::ended, id, session, now,
               "its host " + hosts_[accepted->host.value].name + " has ended it, and nobody told the client");
      const Micros quiet =
          session.awaiting_reply_since == Micros{0} ? Micros{0} : now - session.awaiting_reply_since;
      if (quiet > kMaxHostSilence + network_allowance(session, accepted) &&
          healthy_since(session, nullptr, session.awaiting_reply_since))
        report(Rule::ended, id, session, now,
               "nothing came back for " + ms(quiet) + ", and it was not moved");
      if (!accepted->to_client.empty() && !accepted->closed &&
          now - accepted->to_client.front().sent_at > kMaxLineDelay + network_allowance(session, accepted) &&
          healthy_since(session, accepted, accepted->to_client.front().sent_at))
        report(Rule::held, id, session, now, "a line to the client is held");
      if (!session.to_host.empty() && !accepted->closed &&
          now - session.to_host.front().sent_at > kMaxLineDelay + network_allowance(session, accepted) &&
          healthy_since(session, accepted, session.to_host.front().sent_at) &&
          responsive_since(accepted->host, session.to_host.front().sent_at))
        report(Rule::held, id, session, now, "a line to the host is held");
    }
  }
  return all_closed && now - session.client_done_at > kSessionRetention;
}

}  // namespace flintweir::lab
