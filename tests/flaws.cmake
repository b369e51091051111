# Mutation tests of the lab's checker: each build of the lab below has one deliberate bug in the node or the decision
# module, and the lab must detect it within 200 seeds by the rule named.

# flintweir_flaw(NAME EXPERIMENT[:VARIANT] RULE FILE FROM TO [FROM TO]...): builds the lab with each text FROM in
# FILE replaced by TO, and adds a test that expects a violation of RULE.
function(flintweir_flaw name experiment rule file)
  file(READ ${PROJECT_SOURCE_DIR}/${file} text)
  math(EXPR last "${ARGC} - 1")
  foreach(at RANGE 4 ${last} 2)
    math(EXPR next "${at} + 1")
    string(FIND "${text}" "${ARGV${at}}" found)
    if(found EQUAL -1)
      message(FATAL_ERROR "flaw ${name}: ${file} does not hold the text to change: ${ARGV${at}}")
    endif()
    string(REPLACE "${ARGV${at}}" "${ARGV${next}}" text "${text}")
  endforeach()
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${file})
  file(CONFIGURE OUTPUT ${PROJECT_BINARY_DIR}/flaws/${name}.cpp CONTENT "${text}" @ONLY)
  # The linker finds these symbols first, so the library's object of the same file is not linked.
  add_executable(flaw-${name} ${PROJECT_BINARY_DIR}/flaws/${name}.cpp)
  target_link_libraries(flaw-${name} PRIVATE flintweir_lab_main)
  string(REPLACE ":" ";" day "${experiment}")
  list(GET day 0 of)
  set(variant)
  list(LENGTH day parts)
  if(parts EQUAL 2)
    list(GET day 1 variant)
    set(variant --variant ${variant})
  endif()
  if(experiment STREQUAL "search")
    add_test(NAME caught-${name} COMMAND flaw-${name} search --states 20000 --seeds 1..20000 --jobs 4)
  elseif(experiment STREQUAL "changes")
    add_test(NAME caught-${name} COMMAND flaw-${name} changes --seeds 1..120 --jobs 4)
  elseif(experiment STREQUAL "crossings")
    add_test(NAME caught-${name} COMMAND flaw-${name} crossings --jobs 4)
  elseif(rule STREQUAL "view-ghost")
    # Runs all seeds and matches the counts by rule at the end: the rule on views that do not settle breaks earlier.
    add_test(NAME caught-${name} COMMAND flaw-${name} run ${PROJECT_SOURCE_DIR}/lab/${of}.toml ${variant}
      --seeds 1..200 --jobs 4)
  else()
    add_test(NAME caught-${name} COMMAND flaw-${name} run ${PROJECT_SOURCE_DIR}/lab/${of}.toml ${variant}
      --seeds 1..200 --jobs 4 --alone --until-broken)
  endif()
  set_tests_properties(caught-${name} PROPERTIES PASS_REGULAR_EXPRESSION "broken: rule=${rule};${rule} +broken")
endfunction()

flintweir_flaw(second-dial calm:slow_answers effect src/net/stream.cpp
  "    sockets_.network().close(std::exchange(socket_, {}), reset);"
  "    const SocketKey going = std::exchange(socket_, {});
    static struct Nobody final : SocketEvents {
      void connected(ConnectResult) override {}
      void readable(bool) override {}
      void writable(bool) override {}
    } nobody;
    sockets_.network().set_events(going, nobody);
    if (reset || at_eof_ || going.generation % 4 != 0) sockets_.network().close(going, reset);")
flintweir_flaw(answers-twice overload answer src/line/client_conn.cpp
  "  if (!send(line) || all_sent())" "  send(line);
  if (!send(line) || all_sent())")
flintweir_flaw(drained-dialled rolling_deploy drain src/balance.cpp
  "    host->update(zone, cell, status,"
  "    host->update(zone, cell, status == HostStatus::draining ? host->status : status,")
flintweir_flaw(cold-ignored rolling_deploy cold src/balance.cpp
  "+ cost <= budget ||" "+ cost <= 100 * budget ||")
flintweir_flaw(byte-lost mix line src/line/relay.cpp
  "    bytes.consume(*n);
    parsed_ -= std::min(parsed_, *n);" "    const std::size_t gone = *n < whole ? *n + 1 : *n;
    bytes.consume(gone);
    parsed_ -= std::min(parsed_, gone);")
flintweir_flaw(late-answer mix answer src/line/protocol.cpp
  "request.deadline = now + " "request.deadline = now + std::chrono::milliseconds(400) + ")
flintweir_flaw(session-leak all_drop ended src/line/relay.cpp
  "    host_->abort();
    return close();" "    return close();"
  "  client_->close();
  host_->close();" "  client_->close();
  static struct Nobody final : StreamEvents {
    void input_ready(Stream&) override {}
    void broken(Stream&) override {}
  } nobody;
  host_->set_events(nobody);")
flintweir_flaw(runs-twice hosts_hang effect src/balance.cpp
  "if (!known_not_run)" "if (known_not_run)")
flintweir_flaw(gone-and-dialled-on clients_leave gone src/line/proxy_session.cpp
  "  if (client_conn_.check_waiting()) return true;" "  return true;"
  "  if (answered_) return;
  ++sessions_.clients_gone_;" "  return;")
flintweir_flaw(silence-borne crossings ended src/line/relay.cpp
  "kSilenceTimeout = 4s" "kSilenceTimeout = 40s")

# Fleet membership.
flintweir_flaw(views-never-exchanged members view-settled src/members/view.cpp
  "if (from.digest != digest() && joined()" "if (from.digest == digest() && joined()")
flintweir_flaw(verdict-at-once members view-false src/members/view.cpp
  "kMinSuspicionIntervals = 4;" "kMinSuspicionIntervals = 0;")
flintweir_flaw(larger-part-yields members view-false src/members/view.cpp
  "if (outweighs(from)) return;" "")
flintweir_flaw(verdict-never members view-ghost src/members/view.cpp
  "kMinSuspicionIntervals = 4;" "kMinSuspicionIntervals = 4000;")
flintweir_flaw(dead-raised members view-back src/members/view.cpp
  "    if (is_terminal(member.state)) {" "    if (is_terminal(member.state) && update.state != MemberState::alive) {"
  "        if (update.incarnation > member.incarnation) apply_newer(update.name, update);" "        apply_newer(update.name, update);")
flintweir_flaw(start-goes-back members view-back src/members/view.cpp
  "    if (update.generation < member.generation) return;" "    if (update.generation < member.generation) return apply_newer(update.name, update);")
flintweir_flaw(gossip-without-end members view-bound src/members/view.cpp
  "kGossipRoundsPerInterval = 3;" "kGossipRoundsPerInterval = 100;"
  "      --(*it)->second.transmits_left;" ""
  "kSendBytesPerSecond = 64 << 10" "kSendBytesPerSecond = 64 << 20" "kSendBurstBytes = 16 << 10" "kSendBurstBytes = 16 << 20")
flintweir_flaw(verdict-not-logged members view-log src/node/fleet_member.cpp
  "  log_line(\"member name" "  if (member.state != members::MemberState::failed) log_line(\"member name")

# Leases.
flintweir_flaw(voter-forgets search two-hold src/leases/voter.cpp
  "silent_until_(saved ? now : now + max_duration)" "silent_until_(now)")
flintweir_flaw(counts-from-answer search two- src/leases/candidate.cpp
  "std::max(expires_, sent_at_ + usable_duration(duration_))" "std::max(expires_, now_ + usable_duration(duration_))")
flintweir_flaw(rates-not-allowed-for search two-hold src/leases/candidate.cpp
  "sent_at_ + usable_duration(duration_)" "sent_at_ + duration_")
flintweir_flaw(majority-of-answers search two-hold src/leases/candidate.cpp
  "> voters_;" "> static_cast<std::size_t>(std::popcount(accepted_ | rejected_));")
flintweir_flaw(token-starts-again search token-falls src/leases/voter.cpp
  "      if (request.token <= entry.promised) return make_reply(ReplyKind::preempted);" "")
flintweir_flaw(act-not-measured search two-at-once src/leases/candidate.cpp
  "max_duration > expires_ - now_" "max_duration < Micros{0}")
flintweir_flaw(smaller-token-renews search two- src/leases/voter.cpp
  "if (request.token != entry.promised || client != entry.promised_to)" "if (request.token > entry.promised)")
flintweir_flaw(grant-not-kept search two- src/leases/voter.cpp
  "(entry.granted != request.token || entry.holder != client) && !save(it->first, next)" "false")

# Events between two lines: one exchange interrupted after each byte by each event.
flintweir_flaw(gone-and-dialled crossings left-dialled src/line/proxy_session.cpp
  "  if (client_conn_.check_waiting()) return true;" "  return true;")
flintweir_flaw(drained-while-connecting crossings drain src/line/proxy_session.cpp
  "adopted_ || sessions_.balancer_now().may_dial(host_id_)" "true")
flintweir_flaw(silent-watch-kept crossings drain src/node/discovery.cpp
  "kLongPollSlack = StalenessClock::kLongPollDeadline / 4;"
  "kLongPollSlack = 100 * StalenessClock::kLongPollDeadline;"
  "events_.balancer_now().list_stale()" "void()")
flintweir_flaw(failures-put-off-the-list crossings drain src/node/staleness_clock.cpp
  "failure_deadline_ = std::min(failure_deadline_, unreported_since(now) + unreported_delay);"
  "failure_deadline_ = now + unreported_delay;")
flintweir_flaw(turn-not-counted crossings drain src/node/discovery.cpp
  "  clock_.service_switched(timers_.now());" "")
flintweir_flaw(outage-believed-at-once list_outages drain src/node/staleness_clock.cpp
  "persistent_deadline_ == kNever &&
      now - failure_deadline_ >= outage_threshold_" "true")
flintweir_flaw(queue-taken-for-a-watch list_outages drain src/node/staleness_clock.cpp
  "  return std::min(started_at_, requested_at_);" "  return now;")
flintweir_flaw(stale-list-used list_outages drain src/balance.cpp
  "    list_stale_ = true;" "    list_stale_ = now_ < kRebalanceInterval;")
flintweir_flaw(answer-lost-at-stop crossings answer src/node/node.cpp
  "  while (accept_clients()) continue;" ""
  "timers_.schedule(max_dial_timeout_ + kKillDelay - kShutdownMargin, *this, shutdown_over)"
  "timers_.schedule(Micros{0}, *this, shutdown_over)")
flintweir_flaw(move-within-a-line crossings ended src/line/relay.cpp
  "if (moving_ && at_line_start_)" "if (moving_)"
  "host_->at_eof() ? bytes.buffered().size() : parsed_" "bytes.buffered().size()")

# Configuration changes.
flintweir_flaw(change-goes-back changes back src/changes/replicator.cpp
  "if (theirs > status_.held.newest) return true;" "if (theirs != status_.held.newest) return true;"
  "if (id > status_.held.newest) {" "if (id != status_.held.newest) {")
flintweir_flaw(change-in-force-though-refused changes refused src/changes/replicator.cpp
  "const bool applied = reason.empty();" "const bool applied = true;")
flintweir_flaw(change-not-told-at-rest changes settled src/changes/replicator.cpp
  "return announce(far ? 0 : 1, far ? 1 : 0);" "return static_cast<void>(far);"
  "for (const Address& seed : seeds_)" "for (const Address& seed : std::vector<Address>())")
flintweir_flaw(change-before-not-fetched changes settled src/changes/replicator.cpp
  "return !status_.reason.empty() && theirs" "return false && theirs")
flintweir_flaw(change-told-without-end changes budget src/changes/replicator.cpp
  "kAnnouncementRounds = 4;" "kAnnouncementRounds = 4000;"
  "kRoundInterval = 250ms;" "kRoundInterval = 5ms;" "kBytesPerSecond = 7000" "kBytesPerSecond = 7e9")
