// Clients up to their answer: first lines, idle connections, floods, descriptors.
#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

TEST_F(Node, TakesFirstLinesHoweverTheyCome) {
  start_node(4);
  Peer front = Peer::connect(port);
  front.send("PING\r\nPING\r\n");
  EXPECT_EQ(front.read_line(), "PONG");
  EXPECT_EQ(front.read_line(), "PONG");
  Peer slow = Peer::connect(port);
  for (const char c : std::string("OPEN 1 2 c=chat,d=2000\r\n")) slow.send(std::string(1, c));
  Peer host = next_dial().second;
  EXPECT_EQ(host.read_line().substr(0, 19), "OPEN 1 2 c=chat,d=4");  // half of the handshake target
  host.send("U");
  host.send("P r1\r");
  host.send("\n");
  EXPECT_EQ(slow.read_line(), "UP r1");
  // Words said before the acceptance go on after the first line, however many; a dial still sends that line.
  Peer hasty = Peer::connect(port);
  std::string words(1022, 'w');
  hasty.send("PING\r\nOPEN 2 2 c=chat,d=2000\r\n");
  EXPECT_EQ(hasty.read_line(), "PONG");
  for (int i = 0; i < 20; ++i) hasty.send(words + "\r\n");
  Peer declined = next_dial().second;
  EXPECT_EQ(declined.read_line().substr(0, 19), "OPEN 2 2 c=chat,d=4");
  declined.send("BUSY\r\n");
  Peer host2 = next_dial().second;
  EXPECT_EQ(host2.read_line().substr(0, 17), "OPEN 2 2 c=chat,d");
  host2.send("UP r2\r\n");
  EXPECT_EQ(hasty.read_line(), "UP r2");
  for (int i = 0; i < 20; ++i) ASSERT_EQ(host2.read_line(), words) << i;
  // What is malformed is answered and costs only its own connection.
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

// Hosts answer a second use of an id with an error, which would set a sound host aside.
TEST_F(Node, TurnsAwayTheIdOfAnotherConnection) {
  start_node(1);
  auto [client, host] = accepted_session();
  const std::string used = std::to_string(ids--);
  EXPECT_EQ(open_session().read_line(), "ERR");
  EXPECT_FALSE(program->wait_for_log("end id-in-use").empty());
  EXPECT_FALSE(hosts[0].connection_pending(0ms));
  client.close();
  EXPECT_FALSE(program->wait_for_log("end client-ended").empty());
  ids = std::stoi(used) - 1;
  EXPECT_EQ(open_session().read_line(), "ERR");  // ids are new with every connection
  accepted_session();
}

// They hold descriptors and say nothing, or stay when they are answered: usual clients are served all the
// same.
TEST_F(Node, ServesWhileHundredsOfConnectionsAskForNothing) {
  start_node(1, false, 128);
  std::vector<Peer> silent, rude;
  std::vector<std::pair<Peer, Peer>> usual;
  const auto began = Steady::now();
  for (int i = 0; i < 100; ++i) {
    for (int n = 0; n < 3; ++n) silent.push_back(Peer::connect(port));
    rude.push_back(Peer::connect(port));
    rude.back().send("what?\r\n");
    if (i % 10 == 9) usual.push_back(accepted_session());
  }
  for (Peer& r : rude) EXPECT_EQ(r.read_line(), "ERR");
  for (Peer& s : silent) {  // a word or an end, each within 3 s
    const std::string word = s.read_line(began + 3s - Steady::now());
    EXPECT_TRUE(word == "BUSY" || word == "ERR") << word;
  }
  EXPECT_FALSE(program->wait_for_log("end crowded-out").empty());
}

// The answer must not be lost to a reset while the client still sends, nor may it send for ever.
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

TEST_F(Node, AnswersAllWhereDescriptorsRunOut) {
  start_node(1, false, 64);
  std::vector<Peer> clients, taken;
  for (int i = 0; i < 100; ++i) clients.push_back(open_session("chat", 1500));
  // What the client hears, while its host accepts whatever is dialled: a client waited for alone would not be
  // dialled yet.
  const auto answer_to = [&](Peer& client) {
    const auto until = Steady::now() + 3s;
    std::string answer = "(nothing)";
    while (answer == "(nothing)" && Steady::now() < until) {
      while (hosts[0].connection_pending(0ms)) {
        taken.push_back(hosts[0].accept());
        taken.back().send("UP r\r\n");
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
  taken.clear();
  // And it serves again. A host that closed before the node did seems to have broken off, for a while.
  std::string answer;
  for (const auto until = Steady::now() + 10s; answer != "UP r" && Steady::now() < until;) {
    Peer client = open_session();
    answer = answer_to(client);
    if (answer != "UP r") wait_readable(-1, 100ms);  // thousands of tries a second would fill the unread log
  }
  EXPECT_EQ(answer, "UP r");
}

}  // namespace
}  // namespace flintweir::node_tests
