// A node process whose host list is pushed to an agent on its machine. What the agent holds binds the node at
// once, so that the node may not dial by a copy that it cannot confirm, whatever keeps it from confirming.
#include "list_service.h"
#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

using Mode = ListService::Mode;

class PushedList : public DiallingNode {
 protected:
  // From the protocol: the agent's list binds a node so long after SIGHUP has named the agent.
  static constexpr auto kStaleAfterSwitch = 4s;
  // The tolerance of sockets, and as much for a busy machine.
  static constexpr auto kTolerance = 100ms;

  PushedList() { pushed = true; }

  // Starts a node whose `known` list has two serving hosts, and gives the agent a newer one in which the
  // first of them drains.
  void start_with_outdated_list(ListService& agent) {
    list_service_port = agent.port();
    start_node(2);
    agent.publish(2, targets("DRAINING"));
  }
  // Starts a node that has confirmed the list of its agent.
  void start_with_confirmed_list(ListService& agent) {
    list_service_port = agent.port();
    start_node(2);
    agent.publish(2, targets("SERVING"));
    agent.set_mode(Mode::normal);
    ASSERT_FALSE(program->wait_for_log("list: taken version=2").empty());
    ASSERT_TRUE(dials_for_a_session(kMaxWait));
  }
  std::string targets(const char* state_of_first) const {
    return target_json(host_name(0), hosts[0].port(), state_of_first) + "," +
           target_json(host_name(1), hosts[1].port());
  }
  // Expects that sessions are served by the agent's list, in which the first host drains.
  void expect_dials_to_the_second_host_only() {
    ASSERT_FALSE(program->wait_for_log("list: taken version=").empty());
    for (int i = 0; i < 4; ++i) {
      while (dialled_host(0ms)) continue;
      const Peer client = open_session();
      EXPECT_EQ(dialled_host(kMaxWait), 1u);
    }
  }
};

class PushedListAtStart : public PushedList, public testing::WithParamInterface<Mode> {};

// Guards against a new process that dials by the list in its file while its agent, which may hold a later
// one, does not answer.
TEST_P(PushedListAtStart, DialsNoHostBeforeTheAgentAnswers) {
  ListService agent("", GetParam());
  start_with_outdated_list(agent);
  Peer front = Peer::connect(port);
  front.send("PING\r\n");
  EXPECT_EQ(front.read_line(3s), "PONG");  // it refuses, but answers
  Peer client = open_session();
  EXPECT_EQ(client.read_line(1500ms), "BUSY");
  expect_no_dials(Steady::now(), "the agent has not answered yet");
  agent.set_mode(Mode::normal);
  expect_dials_to_the_second_host_only();
}
INSTANTIATE_TEST_SUITE_P(Agent, PushedListAtStart,
                         testing::Values(Mode::unresponsive, Mode::error, Mode::closing, Mode::truncating));

// Guards against clients that wait in the backlog until the node is ready, for longer than they have. Load
// balancers in front send clients to a node that was killed until they notice that.
TEST_F(PushedList, AnswersSessionsInTimeBeforeItIsReady) {
  ListService agent("", Mode::unresponsive);
  start_with_outdated_list(agent);
  Peer front = Peer::connect(port);
  front.send("PING\r\n");
  constexpr auto kDeadline = 300ms, kLostAfterDeadline = 500ms;
  Peer client = open_session("chat", kDeadline.count());
  EXPECT_EQ(client.read_line(kDeadline + kLostAfterDeadline), "BUSY");
  EXPECT_EQ(front.read_line(0ms), "(nothing)");
  EXPECT_EQ(front.read_line(3s), "PONG");
}

// Guards against a health check that gets no answer because the node leaves before it is ready.
TEST_F(PushedList, RejectsAHealthCheckIfItLeavesBeforeItIsReady) {
  ListService agent("", Mode::unresponsive);
  start_with_outdated_list(agent);
  Peer front = Peer::connect(port);
  front.send("PING\r\n");
  EXPECT_EQ(front.read_line(100ms), "(nothing)");
  program->send_signal(SIGTERM);
  EXPECT_EQ(front.read_line(500ms), "ERR");
  EXPECT_EQ(program->wait_for_exit(), 0);
  program.reset();
}

// Guards against a new process that takes an agent that is not running for one that holds no later list.
TEST_F(PushedList, DialsNoHostBeforeAnAgentThatIsNotRunningAnswers) {
  ListService agent("");
  agent.stop();
  start_with_outdated_list(agent);
  expect_no_dials(Steady::now(), "the agent has not answered yet");
  agent.restart(Mode::normal);
  expect_dials_to_the_second_host_only();
}

// Guards against a SIGHUP that makes a new process dial by the list in its file: the deadline of the other
// agent is later than that of the first one, which has passed.
TEST_F(PushedList, DialsNoHostIfSighupNamesAnotherSilentAgentAfterTheStart) {
  ListService first("", Mode::unresponsive), second("", Mode::unresponsive);
  start_with_outdated_list(first);
  reload_with(second.port());
  expect_no_dials(Steady::now(), "the agent has not answered yet");
  second.publish(3, targets("DRAINING"));
  second.set_mode(Mode::normal);
  expect_dials_to_the_second_host_only();
}

class LostAgent : public PushedList, public testing::WithParamInterface<Mode> {};

// Guards against a running node that goes on by its copy although the watch has broken and the agent, which
// may hold a later list by now, does not answer.
TEST_P(LostAgent, DialsNoHostAfterTheWatchHasBroken) {
  ListService agent("", Mode::unresponsive);
  start_with_confirmed_list(agent);
  agent.reset_connections(GetParam(), 3, targets("DRAINING"));
  expect_no_dials(Steady::now() + kTolerance, "the agent may hold a later list");
  agent.set_mode(Mode::normal);
  expect_dials_to_the_second_host_only();
}
INSTANTIATE_TEST_SUITE_P(Agent, LostAgent,
                         testing::Values(Mode::unresponsive, Mode::error, Mode::closing, Mode::truncating));

// Guards against a running node that goes on by its copy although a spoilt answer has shown that the list
// has changed.
TEST_F(PushedList, DialsNoHostAfterHalfAList) {
  ListService agent("", Mode::unresponsive);
  start_with_confirmed_list(agent);
  agent.set_mode(Mode::truncating);
  agent.publish(3, targets("DRAINING"));
  ASSERT_FALSE(program->wait_for_log("malformed or stale").empty());
  expect_no_dials(Steady::now() + kTolerance, "the agent may hold a later list");
  agent.set_mode(Mode::normal);
  expect_dials_to_the_second_host_only();
}

// Guards against a node that stops serving because its agent is not running, and against one that goes on by
// its copy when the agent is back and does not answer.
TEST_F(PushedList, ServesWhileTheAgentIsNotRunningAndNotAfterItsReturn) {
  ListService agent("", Mode::unresponsive);
  start_with_confirmed_list(agent);
  agent.stop();
  for (const auto until = Steady::now() + kObservation; Steady::now() < until;) {
    ASSERT_TRUE(dials_for_a_session(kMaxWait));
  }
  agent.publish(3, targets("DRAINING"));
  agent.restart(Mode::unresponsive);
  expect_no_dials(Steady::now() + kTolerance, "the agent may hold a later list");
  agent.set_mode(Mode::normal);
  expect_dials_to_the_second_host_only();
}

// Guards against a node that stops serving because its agent falls silent, as it does while discovery is
// down: it learns nothing then. Nor may a new configuration let it use its copy beyond the deadline of a
// switch.
TEST_F(PushedList, ServesWhileTheAgentIsSilentUntilTheDeadlineOfASighup) {
  ListService agent("", Mode::unresponsive), other("", Mode::unresponsive);
  start_with_confirmed_list(agent);
  agent.set_mode(Mode::unresponsive);
  for (const auto until = Steady::now() + kObservation; Steady::now() < until;) {
    ASSERT_TRUE(dials_for_a_session(kMaxWait));
  }
  const auto switched_at = Steady::now();
  reload_with(other.port());
  other.publish(3, targets("DRAINING"));
  EXPECT_TRUE(dials_for_a_session(kMaxWait));
  expect_no_dials(switched_at + kStaleAfterSwitch + kTolerance, "the new agent has not answered");
  other.set_mode(Mode::normal);
  expect_dials_to_the_second_host_only();
}

}  // namespace
}  // namespace flintweir::node_tests
