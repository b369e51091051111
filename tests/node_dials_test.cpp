// Dials: their outcomes, and the rules for further dials under random behaviour of the hosts.
#include <map>
#include <random>
#include <set>

#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

TEST_F(Node, KnowsWhetherADialMayHaveRun) {
  start_node(16);  // enough, as hosts that fail are avoided for a while
  // After a BUSY answer the session has not run, so even a once-only session is dialled again, at another
  // host.
  Peer client = open_session("pay");
  auto [first, host] = next_dial();
  host.read_line();
  host.send("BUSY\r\n");
  EXPECT_EQ(host.read_line(), "(end)");
  auto [second, host2] = next_dial();
  EXPECT_NE(first, second);
  host2.read_line();
  host2.send("UP r1\r\n");
  EXPECT_EQ(client.read_line(), "UP r1");
  // It may have run if the host closes, resets, answers with an error or is silent after the last byte. Then
  // there is no second dial, and the answer is not BUSY.
  for (const std::string how : {"close", "reset", "ERR\r\n", "what\r\n", "MOVE\r\n", "silence"}) {
    Peer once = open_session("pay", how == "silence" ? 300 : 2000);
    Peer at = next_dial().second;
    at.read_line();
    if (how == "close")
      at.close();
    else if (how == "reset")
      at.reset();
    else if (how != "silence")
      at.send(how);
    EXPECT_EQ(once.read_line(), "ERR") << how;
    EXPECT_EQ(once.read_line(), "(end)") << how;
    for (const Acceptor& h : hosts) EXPECT_FALSE(h.connection_pending(0ms)) << "dialled again after " << how;
  }
  // A repeatable session may be dialled again.
  Peer again = open_session("chat");
  Peer broke = next_dial().second;
  broke.read_line();
  broke.reset();
  Peer other = next_dial().second;
  other.read_line();
  other.send("UP r2\r\n");
  EXPECT_EQ(again.read_line(), "UP r2");
  // Hosts that are down refuse connections, so the session has not run and even a once-only one is answered
  // BUSY.
  for (Acceptor& h : hosts) h.close();
  EXPECT_EQ(open_session("pay").read_line(), "BUSY");
}

TEST_F(Node, CancelsTheDialOfAClientThatLeaves) {
  start_node(1);
  Peer client = open_session();
  Peer host = next_dial().second;
  host.read_line();
  client.close();
  EXPECT_TRUE(host.wait_closed());
  EXPECT_FALSE(program->wait_for_log("end left").empty());
  host.send("UP late\r\n");
  auto [next, next_host] = accepted_session();  // the late answer reached no client
  next_host.send("hello\r\n");
  EXPECT_EQ(next.read_line(), "hello");
}

// Many concurrent sessions on hosts that behave at random: every client gets one answer in time, no session
// has two dials in progress, and a once-only session is never dialled again after it may have run.
TEST_F(Node, KeepsTheDialRulesInRandomRuns) {
  std::mt19937_64 random(11);
  start_node(40);  // enough, as hosts that fail are avoided for a while
  struct Client {
    Peer peer;
    Steady::time_point until;
    bool once, answered = false, sent_hello = false;
  };
  struct Dial {
    Peer peer;
    std::string id;
    bool up = false;
  };
  std::map<std::string, Client> clients;
  std::vector<Dial> dials;
  std::set<std::string> in_progress, may_have_run;
  unsigned accepted_count = 0, answers = 0;
  const int count = 300;
  for (int begun = 0; begun < count || !clients.empty();) {
    if (begun < count && clients.size() < 40) {
      const bool once = random() % 2;
      const std::string id = std::to_string(ids + 1);
      clients[id] = {open_session(once ? "pay" : "chat", 400), Steady::now() + 400ms, once};
      ++begun;
    }
    for (Acceptor& acceptor : hosts) {
      while (acceptor.connection_pending(0ms)) dials.push_back({acceptor.accept(), ""});
    }
    for (std::size_t i = 0; i < dials.size();) {
      Dial& d = dials[i];
      const std::string line = d.peer.read_line(0ms);
      bool gone = line[0] == '(' && line != "(nothing)";
      if (d.id.empty() && line.rfind("OPEN ", 0) == 0) {
        d.id = line.substr(5, line.find(' ', 5) - 5);
        EXPECT_TRUE(in_progress.insert(d.id).second) << "two dials of one session are in progress";
        const auto c = clients.find(d.id);
        EXPECT_FALSE(c != clients.end() && c->second.once && may_have_run.contains(d.id)) << "dialled again";
        const unsigned behaviour = static_cast<unsigned>(random() % 16);
        in_progress.erase(d.id);  // before closing, as the node may react at once
        if (behaviour != 1) may_have_run.insert(d.id);
        if (behaviour == 0) d.peer.reset();
        if (behaviour == 1) d.peer.send("BUSY\r\n");
        if (behaviour == 2) d.peer.send("ERR\r\n");
        if (behaviour == 3) d.peer.close();
        if (behaviour >= 4) in_progress.insert(d.id);  // 4: silent
        if (behaviour > 4) d.peer.send("UP r" + d.id + "\r\n");
        d.up = behaviour > 4;
        gone = behaviour == 0 || behaviour == 3;
      } else if (d.up && line.rfind("hello", 0) == 0) {
        EXPECT_EQ(line, "hello " + d.id);
        if (random() % 20 == 0)
          d.peer.reset();
        else
          d.peer.send("BYE\r\n");
        gone = true;
      }
      if (gone) {
        in_progress.erase(d.id);
        std::swap(d, dials.back());
        dials.pop_back();
      } else {
        ++i;
      }
    }
    for (auto it = clients.begin(); it != clients.end();) {
      Client& c = it->second;
      const std::string line = c.peer.read_line(0ms);
      bool done = false;
      if (!c.answered) {
        EXPECT_LT(Steady::now(), c.until + 1s) << "no answer in time";  // the machine may be slow
        if (line != "(nothing)") {
          ++answers;
          c.answered = true;
          const bool up = line == "UP r" + it->first;
          EXPECT_TRUE(up || line == "BUSY" || line == "ERR") << line;
          EXPECT_FALSE(line == "BUSY" && c.once && may_have_run.contains(it->first))
              << "refused, may have run";
          if (up) c.peer.send("hello " + it->first + "\r\n"), ++accepted_count;
          c.sent_hello = up;
          done = !up;
        } else if (Steady::now() > c.until + 1s) {
          done = true;
        }
      } else if (line != "(nothing)") {
        EXPECT_TRUE(line == "BYE" || line == "(end)" || line == "(reset)") << line;
        done = line != "BYE";
      }
      it = done ? clients.erase(it) : std::next(it);
    }
    wait_readable(discovery.fd(), 1ms);
  }
  EXPECT_EQ(answers, static_cast<unsigned>(count));
  EXPECT_GT(accepted_count, 20u);
}

}  // namespace
}  // namespace flintweir::node_tests
