// At the limits of descriptors and memory, exactly.
#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

// The other limit: sessions share half of the memory. At the limit all are served, one over it hears BUSY at
// once and costs no dial, and each that ends makes room for exactly one.
TEST_F(Node, TakesExactlyAsManySessionsAsItsMemoryHolds) {
  memory_mb = 1;
  start_node(1);
  std::vector<std::pair<Peer, Peer>> open_ones;
  std::string word;
  for (int i = 0; i < 100; ++i) {
    Peer client = open_session();
    if (wait_readable(client.fd(), 200ms)) {
      word = client.read_line();
      break;
    }
    Peer host = next_dial().second;
    host.read_line();
    host.send("UP r\r\n");
    EXPECT_EQ(client.read_line(), "UP r");
    open_ones.emplace_back(std::move(client), std::move(host));
  }
  EXPECT_EQ(word, "BUSY");
  ASSERT_GT(open_ones.size(), 2u);
  EXPECT_FALSE(hosts[0].connection_pending(100ms));
  for (int again = 0; again < 3; ++again) {
    open_ones.back().second.send("BYE\r\n");
    open_ones.back().second.close();
    EXPECT_EQ(open_ones.back().first.read_line(), "BYE");
    EXPECT_EQ(open_ones.back().first.read_line(), "(end)");
    open_ones.pop_back();
    open_ones.push_back(accepted_session());
    Peer over = open_session();
    EXPECT_EQ(over.read_line(), "BUSY");
  }
  for (auto& [client, host] : open_ones) {
    client.send("still there\r\n");
    EXPECT_EQ(host.read_line(), "still there");
  }
}

// Hosts that accept, answer probes and say each line back, and a list that fails until it is told not to.
class Neighbours {
 public:
  Neighbours(const std::vector<Acceptor>& hosts, const Acceptor& discovery)
      : hosts_(hosts), discovery_(discovery) {}
  void pump(Steady::duration lasts = 5ms) {
    for (const auto until = Steady::now() + lasts; Steady::now() < until; wait_readable(-1, 1ms)) {
      for (const Acceptor& h : hosts_)
        while (h.connection_pending(0ms)) peers_.push_back(h.accept());
      for (Peer& p : peers_) {
        while (p.fd() >= 0 && wait_readable(p.fd(), 0ms)) {
          const std::string line = p.read_line();
          if (line[0] == '(') {
            p.close();
          } else if (line == "STATS") {
            ++probes;
            p.send("PONG util=0.1,x0=0.1\r\n");
          } else {
            p.send(line.starts_with("OPEN ") ? "UP r\r\n" : line + "\r\n");
          }
        }
      }
      while (discovery_.connection_pending(0ms)) calls_.push_back(discovery_.accept());
      for (Peer& c : calls_) {
        if (c.fd() < 0 || !wait_readable(c.fd(), 0ms)) continue;
        const std::string first = c.read_line();
        if (first[0] == '(') {
          c.close();
          continue;
        }
        for (std::string l = first; !l.empty() && l[0] != '(';) l = c.read_line();
        ++calls;
        if (answer.empty()) {
          c.reset();
        } else if (first.find("since=") == first.npos || first.find("since=1&") != first.npos) {
          c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n" + answer);
          ++answered;
        }
      }
    }
  }
  std::string heard(Peer& client, Steady::duration within = 3s) {
    std::string out = "(nothing)";
    for (const auto until = Steady::now() + within; out == "(nothing)" && Steady::now() < until;) {
      pump();
      out = client.read_line(1ms);
    }
    return out;
  }
  int probes = 0, calls = 0, answered = 0;
  std::string answer;  // none: each call is reset

 private:
  const std::vector<Acceptor>& hosts_;
  const Acceptor& discovery_;
  std::vector<Peer> peers_, calls_;
};

// Open sessions take all the descriptors that sessions may, and silent clients what the rest leaves, at the
// limit, one under and one over it, while the list fails: sessions go on, probes go out, the list is asked
// for in time and read whole when it is back, the node leaves in good order.
class Crowded : public Node, public testing::WithParamInterface<int> {};
TEST_P(Crowded, ServesOnWhileTheListFails) {
  constexpr int kSockets = 64, kOwn = 16, kSpare = 16;  // as the node keeps back
  start_node(2, true, kSockets);
  Neighbours around(hosts, discovery);
  around.pump(300ms);  // probes are on their way
  std::vector<Peer> open_ones, silent;
  // Each takes two, beside one connection for probes at each host and one for the list.
  const int room = (kSockets - kOwn - kSpare - 3) / 2 + GetParam();
  for (int i = 0; i < room; ++i) {
    Peer client = open_session();
    if (const std::string word = around.heard(client); word == "UP r")
      open_ones.push_back(std::move(client));
    else
      EXPECT_EQ(word, "BUSY") << i;
  }
  EXPECT_GE(static_cast<int>(open_ones.size()), room - 2);
  for (int i = 0; i < kSockets; ++i) {  // many times what may be idle
    silent.push_back(Peer::connect(port));
    around.pump(2ms);
  }
  const int probes = around.probes, calls = around.calls;
  for (int i = 0; i < 4; ++i) {
    around.pump(700ms);
    for (std::size_t c = 0; c < open_ones.size(); ++c) {
      const std::string line = "line " + std::to_string(c) + ' ' + std::to_string(i);
      open_ones[c].send(line + "\r\n");
      EXPECT_EQ(around.heard(open_ones[c]), line);
    }
    silent.push_back(Peer::connect(port));
  }
  EXPECT_GT(around.probes, probes) << "no probe found a descriptor";
  EXPECT_GT(around.calls, calls) << "the list was not asked for again";
  around.answer = list_json(
      7, true, target_json("s-0", hosts[0].port(), "DRAINING") + ',' + target_json("s-1", hosts[1].port()));
  around.pump(5s);
  EXPECT_GT(around.answered, 0) << "the list was not asked for in time";
  EXPECT_FALSE(program->wait_for_log("end moved").empty()) << "sessions do not leave the host that drains";
  program->send_signal(SIGTERM);
  EXPECT_FALSE(program->wait_for_log("leaving").empty());
  for (Peer& c : open_ones) {
    const std::string last = around.heard(c, 4s);
    EXPECT_EQ(last, "MOVE");
  }
  EXPECT_EQ(program->wait_for_exit(), 0);
  program.reset();
}
INSTANTIATE_TEST_SUITE_P(UnderAtAndOverTheLimit, Crowded, testing::Values(-1, 0, 1));

}  // namespace
}  // namespace flintweir::node_tests
