// Accepted sessions: forwarding in both directions, silent hosts, the end of either side.
#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

TEST_F(Node, ForwardsLinesUnchangedAndRewritesTheTimeLeft) {
  start_node(1);
  Peer client = open_session("chat", 1900, ",g=5c,x=y");
  Peer host = next_dial().second;
  const std::string head = host.read_line();
  EXPECT_EQ(head.substr(0, 19), "OPEN 1 7f c=chat,d=") << head;
  EXPECT_EQ(head.substr(head.find(",g=")), ",g=5c,x=y") << head;
  const int left = std::stoi(head.substr(19));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 1900);
  host.send("UP r77\r\nLOAD 0.5\r\nfirst\r\n");
  for (const char* line : {"UP r77", "LOAD 0.5", "first"}) EXPECT_EQ(client.read_line(), line);
  client.send("one\r\ntwo\r\nthr");
  client.send("ee\r\n");
  for (const char* line : {"one", "two", "three"}) EXPECT_EQ(host.read_line(), line);
  host.send("BYE\r\n");
  host.close();
  EXPECT_EQ(client.read_line(), "BYE");
  EXPECT_EQ(client.read_line(), "(end)");
  EXPECT_FALSE(program->wait_for_log("end host-ended").empty());
}

TEST_F(Node, EndsOneSideWhenTheOtherEnds) {
  start_node(4);
  auto [client, host] = accepted_session();
  client.send("last words\r\n");
  client.shutdown_send();  // it still reads
  EXPECT_EQ(host.read_line(), "last words");
  EXPECT_EQ(host.read_line(), "(end)");
  host.send("understood\r\nBYE\r\n");
  host.close();
  EXPECT_EQ(client.read_line(), "understood");
  EXPECT_EQ(client.read_line(), "BYE");
  EXPECT_EQ(client.read_line(), "(end)");
  auto [client2, host2] = accepted_session();
  host2.reset();
  EXPECT_TRUE(client2.wait_closed());
  EXPECT_FALSE(program->wait_for_log("end host-broke").empty());
  auto [client3, host3] = accepted_session();
  client3.reset();
  EXPECT_TRUE(host3.wait_closed());
  auto [client4, host4] = accepted_session();
  host4.send("MOVE\r\n");
  host4.close();
  EXPECT_EQ(client4.read_line(), "MOVE");
  EXPECT_EQ(client4.read_line(), "(end)");
  EXPECT_FALSE(program->wait_for_log("end host-moved").empty());
}

// A partial line in the host's input was mistaken for unsent output to a slow client, which suspended the
// silence timeout, so that the client was never moved.
TEST_F(Node, MovesAClientWhoseHostFallsSilentWithinALine) {
  start_node(1);
  auto [client, host] = accepted_session();
  host.send("LOAD 1");
  client.send("are you there\r\n");
  EXPECT_EQ(client.read_line(), "MOVE");
  EXPECT_FALSE(program->wait_for_log("end host-silent").empty());
}

// A silent host sends no reset, so the node has to detect it by a timeout and move the client.
TEST_F(Node, MovesTheClientOfASilentHost) {
  start_node(1);
  auto [client, host] = accepted_session();
  auto [client2, host2] = accepted_session();
  client.send("are you there?\r\n");
  client2.send("and you?\r\n");
  host2.send("yes\r\n");
  EXPECT_EQ(client2.read_line(), "yes");
  const auto asked = Steady::now();
  EXPECT_EQ(client.read_line(), "MOVE");
  EXPECT_LT(Steady::now() - asked, 5s);
  EXPECT_EQ(client.read_line(), "(end)");
  EXPECT_TRUE(host.read_line() == "are you there?" && host.wait_closed());
  EXPECT_FALSE(program->wait_for_log("end host-silent").empty());
  client2.send("still?\r\n");
  EXPECT_EQ(host2.read_line(), "and you?");
}

TEST_F(Node, ReadsNoFasterThanTheOtherSideDoes) {
  start_node(1);
  auto [client, host] = accepted_session();
  std::string line(1022, 'z');
  line += "\r\n";
  std::size_t sent = 0, got = 0;
  // The node must not read more than its own and the kernel's buffers hold.
  for (auto quiet = Steady::now() + 500ms; Steady::now() < quiet;) {
    const std::size_t n = host.try_send(std::string_view(line).substr(sent % line.size()));
    if (n > 0) quiet = Steady::now() + 500ms;
    sent += n;
    ASSERT_LT(sent, 64u << 20) << "the node buffers without bound";
  }
  // The host has replied, but the client does not read that yet: the client is slow, and the host must not
  // count as silent.
  client.send("a question\r\n");
  EXPECT_EQ(host.read_line(), "a question");
  EXPECT_EQ(program->wait_for_log("end ", 5s), "");
  for (; got + line.size() <= sent; got += line.size())
    ASSERT_EQ(client.read_line(), line.substr(0, 1022)) << got;
  host.send(std::string_view(line).substr(sent % line.size()));
  host.send("BYE\r\n");
  host.close();
  EXPECT_EQ(client.read_line(), line.substr(0, 1022));
  EXPECT_EQ(client.read_line(), "BYE");
}

TEST_F(Node, DialsTheHostThatHoldsAnOpenSession) {
  start_node(2);
  Peer client = open_session("chat", 5000, ",at=s-1");
  Peer host = hosts[1].accept();
  host.read_line();
  host.send("BUSY\r\n");  // it is dialled again, as only the host that holds the session can continue it
  Peer host2 = hosts[1].accept();
  EXPECT_EQ(host2.read_line().substr(0, 19), "OPEN 1 7f c=chat,d=");
  host2.send("UP r1\r\n");
  EXPECT_EQ(client.read_line(), "UP r1");
  client.send("hello\r\n");
  EXPECT_EQ(host2.read_line(), "hello");
  EXPECT_FALSE(hosts[0].connection_pending(0ms));
}

}  // namespace
}  // namespace flintweir::node_tests
