// Probes: persistent connections, unsolicited answers, late answers.
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
  // The connection is closed when a whole list lacks the host.
  Peer watch = discovery.accept();
  read_request(watch);
  respond(watch, list_json(2, true, ""));
  std::string last = kept.read_line();
  while (last == "STATS") last = kept.read_line();
  EXPECT_EQ(last, "(end)");
}

// An unsolicited answer on a persistent connection must not be taken for the answer to the next probe.
TEST_F(Node, IgnoresAnUnsolicitedAnswerToAProbe) {
  start_node(1, true);
  Peer probe = next_dial().second;
  EXPECT_EQ(probe.read_line(), "STATS");
  probe.send("PONG x0=0.1\r\nPONG x0=0.9\r\n");
  Peer next = next_dial().second;  // on a new connection
  EXPECT_EQ(next.read_line(), "STATS");
  EXPECT_EQ(probe.read_line(), "(end)");
}

// Persistent probe connections must not fill a host's connection table while it turns sessions away.
TEST_F(Node, ClosesTheProbeConnectionWhenAHostIsFull) {
  start_node(1, true);
  Peer probe = next_dial().second;
  EXPECT_EQ(probe.read_line(), "STATS");
  probe.send("PONG util=0.2,x0=0.1\r\n");
  Peer client = open_session();
  Peer host = next_dial().second;
  EXPECT_EQ(host.read_line().substr(0, 5), "OPEN ");
  host.send("BUSY\r\n");
  EXPECT_EQ(probe.read_line(), "(end)");
  for (int i = 0; i < 2; ++i) {  // probes go on, each on a connection of its own
    Peer next = next_dial().second;
    EXPECT_EQ(next.read_line(), "STATS");
    next.send("PONG x0=0.1\r\n");
    EXPECT_EQ(next.read_line(), "(end)");
  }
}

// Late replies to messages show a backlog at a host, whatever load it reports, so it gets no new sessions for
// a while.
TEST_F(Node, ReportsLateRepliesToTheBalancer) {
  start_node(2, true);
  std::vector<Peer> probes;
  // Answers probes until a host is dialled, and returns its index and the connection, or until the time is
  // over.
  const auto next = [&](Steady::duration timeout) -> std::pair<std::size_t, Peer> {
    for (const auto until = Steady::now() + timeout; Steady::now() < until; wait_readable(-1, 1ms)) {
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
