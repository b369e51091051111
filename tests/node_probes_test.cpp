// Probes: kept connections, left-overs, late answers.
#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

TEST_F(Node, KeepsOneConnectionForProbes) {
  start_node(1, true);
  Peer probe = next_dial().second;
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(probe.read_line(), "STATS");
    probe.send("PONG util=0.2,x0=0.1\r\n");
  }
  probe.close();
  Peer next = next_dial().second;
  EXPECT_EQ(next.read_line(), "STATS");
  next.send("ERR\r\n");
  EXPECT_EQ(next.read_line(), "(end)");
  Peer kept = next_dial().second;
  EXPECT_EQ(kept.read_line(), "STATS");
  kept.send("PONG x0=0.1\r\n");
  // It ends with the host's place on a whole list.
  Peer watch = discovery.accept();
  read_request(watch);
  respond(watch, list_json(2, true, ""));
  std::string last = kept.read_line();
  while (last == "STATS") last = kept.read_line();
  EXPECT_EQ(last, "(end)");
}

// Guards against an answer to nothing that lies on a kept connection and is taken for the next question's.
TEST_F(Node, TakesNoLeftOverForTheAnswerOfAProbe) {
  start_node(1, true);
  Peer probe = next_dial().second;
  EXPECT_EQ(probe.read_line(), "STATS");
  probe.send("PONG x0=0.1\r\nPONG x0=0.9\r\n");
  Peer next = next_dial().second;  // asked anew on a connection of its own
  EXPECT_EQ(next.read_line(), "STATS");
  EXPECT_EQ(probe.read_line(), "(end)");
}

// Guards against hosts whose tables are full of connections kept for probes while sessions are turned away.
TEST_F(Node, GivesUpTheConnectionKeptForProbesWhereAHostIsFull) {
  start_node(1, true);
  Peer probe = next_dial().second;
  EXPECT_EQ(probe.read_line(), "STATS");
  probe.send("PONG util=0.2,x0=0.1\r\n");
  Peer client = open_session();
  Peer host = next_dial().second;
  EXPECT_EQ(host.read_line().substr(0, 5), "OPEN ");
  host.send("BUSY\r\n");
  EXPECT_EQ(probe.read_line(), "(end)");
  for (int i = 0; i < 2; ++i) {  // it asks on, by a connection for each question
    Peer next = next_dial().second;
    EXPECT_EQ(next.read_line(), "STATS");
    next.send("PONG x0=0.1\r\n");
    EXPECT_EQ(next.read_line(), "(end)");
  }
}

// Late answers mean work piled up at a host, whatever load it reports: it gets nothing new for a while.
TEST_F(Node, TellsTheModuleOfLateAnswers) {
  start_node(2, true);
  std::vector<Peer> probes;
  // Answers probes for so long, or until a host is dialled.
  const auto next = [&](Steady::duration within) -> std::pair<std::size_t, Peer> {
    for (const auto until = Steady::now() + within; Steady::now() < until; wait_readable(-1, 1ms)) {
      for (Peer& p : probes) {
        if (wait_readable(p.fd(), 0ms) && p.read_line() == "STATS") p.send("PONG util=0.3,x0=0.3\r\n");
      }
      for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (!hosts[i].connection_pending(0ms)) continue;
        Peer peer = hosts[i].accept();
        const std::string line = peer.read_line();
        if (line != "STATS") return {i, std::move(peer)};
        peer.send("PONG util=0.3,x0=0.3\r\n");
        probes.push_back(std::move(peer));
      }
    }
    return {hosts.size(), Peer()};
  };
  while (probes.size() < 2) next(10ms);
  Peer client = open_session();
  auto [late, host] = next(kMaxWait);
  ASSERT_LT(late, hosts.size());
  host.send("UP r1\r\n");
  EXPECT_EQ(client.read_line(), "UP r1");
  client.send("quick?\r\n");
  EXPECT_EQ(next(1300ms).first, hosts.size());
  host.send("no\r\n");
  EXPECT_EQ(client.read_line(), "no");
  std::vector<Peer> kept;
  for (int i = 0; i < 4; ++i) {
    kept.push_back(open_session());
    auto [at, peer] = next(kMaxWait);
    EXPECT_EQ(at, 1 - late);
    peer.send("UP r\r\n");
    kept.push_back(std::move(peer));
  }
}

}  // namespace
}  // namespace flintweir::node_tests
