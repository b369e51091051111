// Dials: how they end, and the rules in random runs.
#include <map>
#include <random>
#include <set>

#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

TEST_F(Node, KnowsWhetherADialMayHaveRun) {
  start(16);  // those that fail are passed over for a while
  // Never ran: a turned-away and an unconnected dial of a once-only session go on to another host.
  Peer client = open("pay");
  auto [first, host] = dialled();
  host.line();
  host.say("BUSY\r\n");
  EXPECT_EQ(host.line(), "(end)");
  auto [second, host2] = dialled();
  EXPECT_NE(first, second);
  host2.line();
  host2.say("UP r1\r\n");
  EXPECT_EQ(client.line(), "UP r1");
  // It may have run where the host breaks off, errs or is silent after the last byte: no second dial, no
  // BUSY.
  for (const std::string how : {"close", "reset", "ERR\r\n", "what\r\n", "MOVE\r\n", "silence"}) {
    Peer once = open("pay", how == "silence" ? 300 : 2000);
    Peer at = dialled().second;
    at.line();
    if (how == "close")
      at.close();
    else if (how == "reset")
      at.reset();
    else if (how != "silence")
      at.say(how);
    EXPECT_EQ(once.line(), "ERR") << how;
    EXPECT_EQ(once.line(), "(end)") << how;
    for (const Acceptor& h : hosts) EXPECT_FALSE(h.connection_waits(0ms)) << "dialled again after " << how;
  }
  // A repeatable one may go on.
  Peer again = open("chat");
  Peer broke = dialled().second;
  broke.line();
  broke.reset();
  Peer other = dialled().second;
  other.line();
  other.say("UP r2\r\n");
  EXPECT_EQ(again.line(), "UP r2");
  // Hosts that are down refuse connections: never ran, so BUSY even where it may run only once.
  for (Acceptor& h : hosts) h.shut();
  EXPECT_EQ(open("pay").line(), "BUSY");
}

TEST_F(Node, GivesUpTheDialOfAClientThatLeaves) {
  start(1);
  Peer client = open();
  Peer host = dialled().second;
  host.line();
  client.close();
  EXPECT_TRUE(host.over());
  EXPECT_FALSE(program->logged("end left").empty());
  host.say("UP late\r\n");
  auto [next, next_host] = accepted();  // a late answer reaches nobody
  next_host.say("hello\r\n");
  EXPECT_EQ(next.line(), "hello");
}

// Many sessions at once among hosts that do anything: every client gets one answer in time, no session has
// two dials out, and what may run once is never sent again after it may have run.
TEST_F(Node, KeepsTheRulesInRandomRuns) {
  std::mt19937_64 chance(11);
  start(40);  // those that fail are passed over for a while
  struct Client {
    Peer peer;
    Steady::time_point until;
    bool once, answered = false, said = false;
  };
  struct Dial {
    Peer peer;
    std::string id;
    bool up = false;
  };
  std::map<std::string, Client> clients;
  std::vector<Dial> dials;
  std::set<std::string> out, may_have_run;
  unsigned ups = 0, answers = 0;
  const int count = 300;
  for (int begun = 0; begun < count || !clients.empty();) {
    if (begun < count && clients.size() < 40) {
      const bool once = chance() % 2;
      const std::string id = std::to_string(ids + 1);
      clients[id] = {open(once ? "pay" : "chat", 400), Steady::now() + 400ms, once};
      ++begun;
    }
    for (Acceptor& acceptor : hosts) {
      while (acceptor.connection_waits(0ms)) dials.push_back({acceptor.take(), ""});
    }
    for (std::size_t i = 0; i < dials.size();) {
      Dial& d = dials[i];
      const std::string line = d.peer.line(0ms);
      bool gone = line[0] == '(' && line != "(nothing)";
      if (d.id.empty() && line.rfind("OPEN ", 0) == 0) {
        d.id = line.substr(5, line.find(' ', 5) - 5);
        EXPECT_TRUE(out.insert(d.id).second) << "two dials of one session are out";
        const auto c = clients.find(d.id);
        EXPECT_FALSE(c != clients.end() && c->second.once && may_have_run.contains(d.id)) << "sent again";
        const unsigned what = static_cast<unsigned>(chance() % 16);
        out.erase(d.id);  // before the end that the node may see at once
        if (what != 1) may_have_run.insert(d.id);
        if (what == 0) d.peer.reset();
        if (what == 1) d.peer.say("BUSY\r\n");
        if (what == 2) d.peer.say("ERR\r\n");
        if (what == 3) d.peer.close();
        if (what >= 4) out.insert(d.id);  // 4: silent
        if (what > 4) d.peer.say("UP r" + d.id + "\r\n");
        d.up = what > 4;
        gone = what == 0 || what == 3;
      } else if (d.up && line.rfind("hello", 0) == 0) {
        EXPECT_EQ(line, "hello " + d.id);
        if (chance() % 20 == 0)
          d.peer.reset();
        else
          d.peer.say("BYE\r\n");
        gone = true;
      }
      if (gone) {
        out.erase(d.id);
        std::swap(d, dials.back());
        dials.pop_back();
      } else {
        ++i;
      }
    }
    for (auto it = clients.begin(); it != clients.end();) {
      Client& c = it->second;
      const std::string line = c.peer.line(0ms);
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
          if (up) c.peer.say("hello " + it->first + "\r\n"), ++ups;
          c.said = up;
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
    readable(discovery.fd(), 1ms);
  }
  EXPECT_EQ(answers, static_cast<unsigned>(count));
  EXPECT_GT(ups, 20u);
}

}  // namespace
}  // namespace flintweir::node_tests
