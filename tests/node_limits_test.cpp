// A node at the exact limits of its descriptors and its memory.
#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

// Sessions share half of the memory limit. At the limit all sessions are served, one more gets BUSY
// immediately without a dial, and each session that ends makes room for exactly one.
TEST_F(Node, AcceptsExactlyAsManySessionsAsFitIntoItsMemory) {
  memory_mb = 1;
  start_node(1);
  std::vector<std::pair<Peer, Peer>> sessions;
  std::string reply;
  for (int i = 0; i < 100; ++i) {
    Peer client = open_session();
    if (wait_readable(client.fd(), 200ms)) {
      reply = client.read_line();
      break;
    }
    Peer host = next_dial().second;
    host.read_line();
    host.send("UP r\r\n");
    EXPECT_EQ(client.read_line(), "UP r");
    sessions.emplace_back(std::move(client), std::move(host));
  }
  EXPECT_EQ(reply, "BUSY");
  ASSERT_GT(sessions.size(), 2u);
  EXPECT_FALSE(hosts[0].connection_pending(100ms));
  for (int again = 0; again < 3; ++again) {
    sessions.back().second.send("BYE\r\n");
    sessions.back().second.close();
    EXPECT_EQ(sessions.back().first.read_line(), "BYE");
    EXPECT_EQ(sessions.back().first.read_line(), "(end)");
    sessions.pop_back();
    sessions.push_back(accepted_session());
    Peer rejected = open_session();
    EXPECT_EQ(rejected.read_line(), "BUSY");
  }
  for (auto& [client, host] : sessions) {
    client.send("still there\r\n");
    EXPECT_EQ(host.read_line(), "still there");
  }
}

// Simulates the hosts, which accept sessions, answer probes and echo each line, and discovery, which resets
// each connection until `list_response` is set.
class Backends {
 public:
  Backends(const std::vector<Acceptor>& hosts, const Acceptor& discovery)
      : hosts_(hosts), discovery_(discovery) {}
  void run(Steady::duration duration = 5ms) {
    for (const auto until = Steady::now() + duration; Steady::now() < until; wait_readable(-1, 1ms)) {
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
      while (discovery_.connection_pending(0ms)) requests_.push_back(discovery_.accept());
      for (Peer& request : requests_) {
        if (request.fd() < 0 || !wait_readable(request.fd(), 0ms)) continue;
        const std::string first = request.read_line();
        if (first[0] == '(') {
          request.close();
          continue;
        }
        for (std::string l = first; !l.empty() && l[0] != '(';) l = request.read_line();
        ++requests;
        if (list_response.empty()) {
          request.reset();
        } else if (first.find("since=") == first.npos || first.find("since=1&") != first.npos) {
          request.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list_response.size()) +
                       "\r\n\r\n" + list_response);
          ++lists_sent;
        }
      }
    }
  }
  std::string reply(Peer& client, Steady::duration within = 3s) {
    std::string out = "(nothing)";
    for (const auto until = Steady::now() + within; out == "(nothing)" && Steady::now() < until;) {
      run();
      out = client.read_line(1ms);
    }
    return out;
  }
  int probes = 0, requests = 0, lists_sent = 0;
  std::string list_response;  // if empty, each request is reset

 private:
  const std::vector<Acceptor>& hosts_;
  const Acceptor& discovery_;
  std::vector<Peer> peers_, requests_;
};

// Open sessions use all descriptors that sessions may use, one fewer or one more, and idle clients use those
// that remain, while discovery fails. Sessions have to continue, probes have to be sent, the list has to be
// requested in time and processed when discovery is back, and the node has to shut down gracefully.
class DescriptorLimit : public Node, public testing::WithParamInterface<int> {};
TEST_P(DescriptorLimit, KeepsServingWhileDiscoveryFails) {
  constexpr int kSockets = 64, kOwn = 16, kSpare = 16;  // kOwn and kSpare: what the node reserves
  start_node(2, true, kSockets);
  Backends backends(hosts, discovery);
  backends.run(300ms);  // until probes are sent
  std::vector<Peer> sessions, idle;
  // Each session uses two descriptors; two probe connections and one discovery connection use three more.
  const int room = (kSockets - kOwn - kSpare - 3) / 2 + GetParam();
  for (int i = 0; i < room; ++i) {
    Peer client = open_session();
    if (const std::string reply = backends.reply(client); reply == "UP r")
      sessions.push_back(std::move(client));
    else
      EXPECT_EQ(reply, "BUSY") << i;
  }
  EXPECT_GE(static_cast<int>(sessions.size()), room - 2);
  for (int i = 0; i < kSockets; ++i) {  // many more than may be idle
    idle.push_back(Peer::connect(port));
    backends.run(2ms);
  }
  const int probes = backends.probes, requests = backends.requests;
  for (int i = 0; i < 4; ++i) {
    backends.run(700ms);
    for (std::size_t c = 0; c < sessions.size(); ++c) {
      const std::string line = "line " + std::to_string(c) + ' ' + std::to_string(i);
      sessions[c].send(line + "\r\n");
      EXPECT_EQ(backends.reply(sessions[c]), line);
    }
    idle.push_back(Peer::connect(port));
  }
  EXPECT_GT(backends.probes, probes) << "no probe was sent";
  EXPECT_GT(backends.requests, requests) << "the list was not requested again";
  backends.list_response = list_json(
      7, true, target_json("s-0", hosts[0].port(), "DRAINING") + ',' + target_json("s-1", hosts[1].port()));
  backends.run(5s);
  EXPECT_GT(backends.lists_sent, 0) << "the list was not requested in time";
  EXPECT_FALSE(program->wait_for_log("end moved").empty()) << "no session was moved from the draining host";
  program->send_signal(SIGTERM);
  EXPECT_FALSE(program->wait_for_log("leaving").empty());
  for (Peer& c : sessions) {
    const std::string last = backends.reply(c, 4s);
    EXPECT_EQ(last, "MOVE");
  }
  EXPECT_EQ(program->wait_for_exit(), 0);
  program.reset();
}
INSTANTIATE_TEST_SUITE_P(UnderAtAndOverTheLimit, DescriptorLimit, testing::Values(-1, 0, 1));

}  // namespace
}  // namespace flintweir::node_tests
