// Accepted sessions: lines both ways, silence, the end of either side.
#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

TEST_F(Node, PassesLinesOnUnchangedAndRewritesTheTimeLeft) {
  start(1);
  Peer client = open("chat", 1900, ",g=5c,x=y");
  Peer host = dialled().second;
  const std::string head = host.line();
  EXPECT_EQ(head.substr(0, 19), "OPEN 1 7f c=chat,d=") << head;
  EXPECT_EQ(head.substr(head.find(",g=")), ",g=5c,x=y") << head;
  const int left = std::stoi(head.substr(19));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 1900);
  host.say("UP r77\r\nLOAD 0.5\r\nfirst\r\n");
  for (const char* line : {"UP r77", "LOAD 0.5", "first"}) EXPECT_EQ(client.line(), line);
  client.say("one\r\ntwo\r\nthr");
  client.say("ee\r\n");
  for (const char* line : {"one", "two", "three"}) EXPECT_EQ(host.line(), line);
  host.say("BYE\r\n");
  host.close();
  EXPECT_EQ(client.line(), "BYE");
  EXPECT_EQ(client.line(), "(end)");
  EXPECT_FALSE(program->logged("end host-ended").empty());
}

TEST_F(Node, EndsOneSideAsTheOtherEnds) {
  start(4);
  auto [client, host] = accepted();
  client.say("last words\r\n");
  client.end_sending();  // it still listens
  EXPECT_EQ(host.line(), "last words");
  EXPECT_EQ(host.line(), "(end)");
  host.say("understood\r\nBYE\r\n");
  host.close();
  EXPECT_EQ(client.line(), "understood");
  EXPECT_EQ(client.line(), "BYE");
  EXPECT_EQ(client.line(), "(end)");
  auto [client2, host2] = accepted();
  host2.reset();
  EXPECT_TRUE(client2.over());
  EXPECT_FALSE(program->logged("end host-broke").empty());
  auto [client3, host3] = accepted();
  client3.reset();
  EXPECT_TRUE(host3.over());
  auto [client4, host4] = accepted();
  host4.say("MOVE\r\n");
  host4.close();
  EXPECT_EQ(client4.line(), "MOVE");
  EXPECT_EQ(client4.line(), "(end)");
  EXPECT_FALSE(program->logged("end host-moved").empty());
}

// Half a line from a host was taken for a client that lags, and its client never moved.
TEST_F(Node, MovesAClientWhoseHostFallsSilentWithinALine) {
  start(1);
  auto [client, host] = accepted();
  host.say("LOAD 1");
  client.say("are you there\r\n");
  EXPECT_EQ(client.line(), "MOVE");
  EXPECT_FALSE(program->logged("end host-silent").empty());
}

// A host that is silent sends no reset: its client is moved, in time.
TEST_F(Node, MovesTheClientOfASilentHost) {
  start(1);
  auto [client, host] = accepted();
  auto [client2, host2] = accepted();
  client.say("are you there?\r\n");
  client2.say("and you?\r\n");
  host2.say("yes\r\n");
  EXPECT_EQ(client2.line(), "yes");
  const auto asked = Steady::now();
  EXPECT_EQ(client.line(), "MOVE");
  EXPECT_LT(Steady::now() - asked, 5s);
  EXPECT_EQ(client.line(), "(end)");
  EXPECT_TRUE(host.line() == "are you there?" && host.over());
  EXPECT_FALSE(program->logged("end host-silent").empty());
  client2.say("still?\r\n");
  EXPECT_EQ(host2.line(), "and you?");
}

TEST_F(Node, ReadsNoFasterThanTheOtherSideDoes) {
  start(1);
  auto [client, host] = accepted();
  std::string line(1022, 'z');
  line += "\r\n";
  std::size_t sent = 0, got = 0;
  // Neither side of the node may take more than the kernel's buffers and its own hold.
  for (auto quiet = Steady::now() + 500ms; Steady::now() < quiet;) {
    const std::size_t n = host.offer(std::string_view(line).substr(sent % line.size()));
    if (n > 0) quiet = Steady::now() + 500ms;
    sent += n;
    ASSERT_LT(sent, 64u << 20) << "the node takes without bound";
  }
  // A question that is answered, though the client does not read that yet: it is slow, its host is not
  // silent.
  client.say("a question\r\n");
  EXPECT_EQ(host.line(), "a question");
  EXPECT_EQ(program->logged("end ", 5s), "");
  for (; got + line.size() <= sent; got += line.size()) ASSERT_EQ(client.line(), line.substr(0, 1022)) << got;
  host.say(std::string_view(line).substr(sent % line.size()));
  host.say("BYE\r\n");
  host.close();
  EXPECT_EQ(client.line(), line.substr(0, 1022));
  EXPECT_EQ(client.line(), "BYE");
}

TEST_F(Node, HandsOnAConnectionThatWasOpenBefore) {
  start(2);
  Peer client = open("chat", 5000, ",at=s-1");
  Peer host = hosts[1].take();
  host.line();
  host.say("BUSY\r\n");  // not yet: only its holder can go on with it
  Peer host2 = hosts[1].take();
  EXPECT_EQ(host2.line().substr(0, 19), "OPEN 1 7f c=chat,d=");
  host2.say("UP r1\r\n");
  EXPECT_EQ(client.line(), "UP r1");
  client.say("hello\r\n");
  EXPECT_EQ(host2.line(), "hello");
  EXPECT_FALSE(hosts[0].connection_waits(0ms));
}

}  // namespace
}  // namespace flintweir::node_tests
