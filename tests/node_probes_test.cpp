// Probes: kept connections, left-overs, late answers.
#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

TEST_F(Node, KeepsOneConnectionForProbes) {
  start(1, true);
  Peer probe = dialled().second;
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(probe.line(), "STATS");
    probe.say("PONG util=0.2,x0=0.1\r\n");
  }
  probe.close();
  Peer next = dialled().second;
  EXPECT_EQ(next.line(), "STATS");
  next.say("ERR\r\n");
  EXPECT_EQ(next.line(), "(end)");
  Peer kept = dialled().second;
  EXPECT_EQ(kept.line(), "STATS");
  kept.say("PONG x0=0.1\r\n");
  // It ends with the host's place on a whole list.
  Peer watch = discovery.take();
  asked(watch);
  tell(watch, list(2, true, ""));
  std::string last = kept.line();
  while (last == "STATS") last = kept.line();
  EXPECT_EQ(last, "(end)");
}

// Guards against an answer to nothing that lies on a kept connection and is taken for the next question's.
TEST_F(Node, TakesNoLeftOverForTheAnswerOfAProbe) {
  start(1, true);
  Peer probe = dialled().second;
  EXPECT_EQ(probe.line(), "STATS");
  probe.say("PONG x0=0.1\r\nPONG x0=0.9\r\n");
  Peer next = dialled().second;  // asked anew on a connection of its own
  EXPECT_EQ(next.line(), "STATS");
  EXPECT_EQ(probe.line(), "(end)");
}

// Guards against hosts whose tables are full of connections kept for probes while sessions are turned away.
TEST_F(Node, GivesUpTheConnectionKeptForProbesWhereAHostIsFull) {
  start(1, true);
  Peer probe = dialled().second;
  EXPECT_EQ(probe.line(), "STATS");
  probe.say("PONG util=0.2,x0=0.1\r\n");
  Peer client = open();
  Peer host = dialled().second;
  EXPECT_EQ(host.line().substr(0, 5), "OPEN ");
  host.say("BUSY\r\n");
  EXPECT_EQ(probe.line(), "(end)");
  for (int i = 0; i < 2; ++i) {  // it asks on, by a connection for each question
    Peer next = dialled().second;
    EXPECT_EQ(next.line(), "STATS");
    next.say("PONG x0=0.1\r\n");
    EXPECT_EQ(next.line(), "(end)");
  }
}

// Late answers mean work piled up at a host, whatever load it reports: it gets nothing new for a while.
TEST_F(Node, TellsTheModuleOfLateAnswers) {
  start(2, true);
  std::vector<Peer> probes;
  // Answers probes for so long, or until a host is dialled.
  const auto next = [&](Steady::duration within) -> std::pair<std::size_t, Peer> {
    for (const auto until = Steady::now() + within; Steady::now() < until; readable(-1, 1ms)) {
      for (Peer& p : probes) {
        if (readable(p.fd(), 0ms) && p.line() == "STATS") p.say("PONG util=0.3,x0=0.3\r\n");
      }
      for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (!hosts[i].connection_waits(0ms)) continue;
        Peer peer = hosts[i].take();
        const std::string line = peer.line();
        if (line != "STATS") return {i, std::move(peer)};
        peer.say("PONG util=0.3,x0=0.3\r\n");
        probes.push_back(std::move(peer));
      }
    }
    return {hosts.size(), Peer()};
  };
  while (probes.size() < 2) next(10ms);
  Peer client = open();
  auto [late, host] = next(kPatience);
  ASSERT_LT(late, hosts.size());
  host.say("UP r1\r\n");
  EXPECT_EQ(client.line(), "UP r1");
  client.say("quick?\r\n");
  EXPECT_EQ(next(1300ms).first, hosts.size());
  host.say("no\r\n");
  EXPECT_EQ(client.line(), "no");
  std::vector<Peer> kept;
  for (int i = 0; i < 4; ++i) {
    kept.push_back(open());
    auto [at, peer] = next(kPatience);
    EXPECT_EQ(at, 1 - late);
    peer.say("UP r\r\n");
    kept.push_back(std::move(peer));
  }
}

}  // namespace
}  // namespace flintweir::node_tests
