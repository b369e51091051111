// Client connections before their sessions are accepted: first lines, idle connections, floods, lack of
// descriptors.
#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

TEST_F(Node, ReadsFirstLinesInAnyPieces) {
  start_node(4);
  Peer health_check = Peer::connect(port);
  health_check.send("PING\r\nPING\r\n");
  EXPECT_EQ(health_check.read_line(), "PONG");
  EXPECT_EQ(health_check.read_line(), "PONG");
  Peer slow = Peer::connect(port);
  for (const char c : std::string("OPEN 1 2 c=chat,d=2000\r\n")) slow.send(std::string(1, c));
  Peer host = next_dial().second;
  EXPECT_EQ(host.read_line().substr(0, 19), "OPEN 1 2 c=chat,d=4");  // half of the handshake target
  host.send("U");
  host.send("P r1\r");
  host.send("\n");
  EXPECT_EQ(slow.read_line(), "UP r1");
  // Lines sent before the acceptance are forwarded after the first line, even if they fill the buffer; each
  // dial still sends the first line.
  Peer hasty = Peer::connect(port);
  std::string text(1022, 'w');
  hasty.send("PING\r\nOPEN 2 2 c=chat,d=2000\r\n");
  EXPECT_EQ(hasty.read_line(), "PONG");
  for (int i = 0; i < 20; ++i) hasty.send(text + "\r\n");
  Peer declined = next_dial().second;
  EXPECT_EQ(declined.read_line().substr(0, 19), "OPEN 2 2 c=chat,d=4");
  declined.send("BUSY\r\n");
  Peer host2 = next_dial().second;
  EXPECT_EQ(host2.read_line().substr(0, 17), "OPEN 2 2 c=chat,d");
  host2.send("UP r2\r\n");
  EXPECT_EQ(hasty.read_line(), "UP r2");
  for (int i = 0; i < 20; ++i) ASSERT_EQ(host2.read_line(), text) << i;
  // Malformed input is answered and ends only its own connection.
  for (const std::string& bad :
       {std::string("GET / HTTP/1.1\r\n"), std::string("OPEN 3 2 c=none,d=5\r\n"), std::string(5000, 'x'),
        "OPEN 4 2 c=chat," + std::string(4200, 'y') + "\r\n", std::string("\0\xff\n", 3),
        std::string("OPEN 5 2 c=chat,d=50\n"), std::string("OPEN 6 2 c=chat,d=50\r\r\n"),
        std::string("OPEN 7 2 c=chat,d=50\r\nOPEN 8 2 c=chat,d=50\r\n"), std::string("\r\n")}) {
    Peer client = Peer::connect(port);
    client.send(bad);
    EXPECT_EQ(client.read_line(), "ERR") << bad;
    EXPECT_FALSE(program->wait_for_log("end bad-line").empty());
  }
  host.send("still here\r\n");
  EXPECT_EQ(slow.read_line(), "still here");
}

// Hosts answer a duplicate id with an error, after which the balancer would avoid a healthy host.
TEST_F(Node, RejectsTheIdOfAnotherConnection) {
  start_node(1);
  auto [client, host] = accepted_session();
  const std::string used = std::to_string(ids--);
  EXPECT_EQ(open_session().read_line(), "ERR");
  EXPECT_FALSE(program->wait_for_log("end id-in-use").empty());
  EXPECT_FALSE(hosts[0].connection_pending(0ms));
  client.close();
  EXPECT_FALSE(program->wait_for_log("end client-ended").empty());
  ids = std::stoi(used) - 1;
  EXPECT_EQ(open_session().read_line(), "ERR");  // an id must not be reused right after its connection
  accepted_session();
}

// Connections that hold descriptors and send nothing, or stay open after their answer, must not keep other
// clients from being served.
TEST_F(Node, ServesWhileHundredsOfConnectionsAreIdle) {
  start_node(1, false, 128);
  std::vector<Peer> silent, lingering;
  std::vector<std::pair<Peer, Peer>> served;
  const auto began = Steady::now();
  for (int i = 0; i < 100; ++i) {
    for (int n = 0; n < 3; ++n) silent.push_back(Peer::connect(port));
    lingering.push_back(Peer::connect(port));
    lingering.back().send("what?\r\n");
    if (i % 10 == 9) served.push_back(accepted_session());
  }
  for (Peer& r : lingering) EXPECT_EQ(r.read_line(), "ERR");
  for (Peer& s : silent) {  // each is answered within 3 s
    const std::string answer = s.read_line(began + 3s - Steady::now());
    EXPECT_TRUE(answer == "BUSY" || answer == "ERR") << answer;
  }
  EXPECT_FALSE(program->wait_for_log("end crowded-out").empty());
}

// A client that is still sending must get its answer, which closing the connection too early would destroy by
// a reset. It must not be able to send for ever, either.
TEST_F(Node, AnswersAClientThatSendsFarTooMuch) {
  start_node(1);
  Peer client = Peer::connect(port);
  const std::string much(1u << 20, 'k');
  for (int i = 0; i < 30; ++i) client.send(much);
  client.shutdown_send();
  EXPECT_EQ(client.read_line(), "ERR");
  EXPECT_EQ(client.read_line(), "(end)");
  accepted_session();
}

TEST_F(Node, AnswersAllWhenDescriptorsRunOut) {
  start_node(1, false, 64);
  std::vector<Peer> clients, host_peers;
  for (int i = 0; i < 100; ++i) clients.push_back(open_session("chat", 1500));
  // Waits for the client's answer and meanwhile accepts every dial, since other clients' sessions may be
  // dialled first.
  const auto answer_to = [&](Peer& client) {
    const auto until = Steady::now() + 3s;
    std::string answer = "(nothing)";
    while (answer == "(nothing)" && Steady::now() < until) {
      while (hosts[0].connection_pending(0ms)) {
        host_peers.push_back(hosts[0].accept());
        host_peers.back().send("UP r\r\n");
      }
      answer = client.read_line(20ms);
    }
    return answer;
  };
  std::size_t busy = 0, up = 0;
  for (std::size_t i = 0; i < clients.size(); ++i) {
    const std::string answer = answer_to(clients[i]);
    busy += answer == "BUSY";
    up += answer == "UP r";
    EXPECT_TRUE(answer == "BUSY" || answer == "UP r") << i << ' ' << answer;
  }
  EXPECT_GT(busy, 0u);
  EXPECT_GT(up, 0u);
  clients.clear();
  host_peers.clear();
  // Afterwards the node serves again. For a while it avoids the host, whose connections were closed without
  // notice.
  std::string answer;
  for (const auto until = Steady::now() + 10s; answer != "UP r" && Steady::now() < until;) {
    Peer client = open_session();
    answer = answer_to(client);
    // Without a pause, thousands of attempts a second would fill the unread log.
    if (answer != "UP r") wait_readable(-1, 100ms);
  }
  EXPECT_EQ(answer, "UP r");
}

}  // namespace
}  // namespace flintweir::node_tests
