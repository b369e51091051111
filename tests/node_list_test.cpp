// The list of hosts: watches, pushed lists, discovery that fails.
#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

TEST_F(Node, FollowsTheListWithoutAPause) {
  start(2);
  Peer watch = discovery.take();
  expect_watch(asked(watch), 1);
  // A host at a new address, and one that drains.
  Acceptor moved;
  tell(watch, list(2, false, target("s-0", moved.port()) + "," + target("s-1", hosts[1].port(), "DRAINING")));
  const auto told = Steady::now();
  expect_watch(asked(watch), 2);
  EXPECT_LT(Steady::now() - told, 200ms);
  std::vector<Peer> kept;
  for (int i = 0; i < 4; ++i) {
    Peer client = open();
    kept.push_back(moved.take());
    kept.back().line();
    kept.back().say("UP r\r\n");
    EXPECT_EQ(client.line(), "UP r");
    kept.push_back(std::move(client));
  }
  for (const Acceptor& h : hosts) EXPECT_FALSE(h.connection_waits(0ms));
  // What is malformed changes nothing, and the list is asked for again.
  tell(watch, R"({"rev":3,"all":true,"targets":[{"uid":"s-9"}]})");
  EXPECT_FALSE(program->logged("malformed").empty());
  asked(watch);
  tell(watch, "{", "503 Service Unavailable");
  EXPECT_FALSE(program->logged("status 503").empty());
  asked(watch);
  tell(watch, list(1, false, target("s-0", moved.port(), "DELETED")));  // older than what is known
  EXPECT_FALSE(program->logged("malformed").empty());
  Peer client = open();
  Peer host = moved.take();
  EXPECT_EQ(host.line().substr(0, 4), "OPEN");
}

TEST_F(Node, AsksTheListAgainWhenDiscoveryBreaksOff) {
  start(1);
  Peer watch = discovery.take();
  asked(watch);
  watch.reset();
  Peer next = discovery.take();
  EXPECT_EQ(asked(next).substr(0, 27), "GET /api/targets?since=1&ti");
  tell(next, list(5, true, target("s-1", hosts[0].port())));
  EXPECT_EQ(asked(next).substr(0, 27), "GET /api/targets?since=5&ti");
  next.close();  // a kept connection that ends is no failure until a call fails
  EXPECT_TRUE(discovery.connection_waits());
  accepted();
}

// Where lists are pushed, what the agent has counts as told from the first moment on, watch or no watch.
// Guards against a node that follows no such list, or takes clients before it knows it.
TEST_F(Node, FollowsAPushedListFromTheFirstMomentOn) {
  pushed = true;
  start(2);
  Peer front = Peer::to(port);
  front.say("PING\r\n");
  Peer call = discovery.take();
  EXPECT_EQ(asked(call), "GET /api/targets HTTP/1.1");
  EXPECT_EQ(front.line(200ms), "(nothing)");
  tell(call,
       list(9, true, target("s-0", hosts[0].port(), "DRAINING") + "," + target("s-1", hosts[1].port())));
  EXPECT_EQ(front.line(), "PONG");
  expect_watch(asked(call), 9);
  for (int i = 0; i < 2; ++i) {
    Peer client = open();
    EXPECT_EQ(dialled().first, 1u);
  }
  // Without the pause that a service for all nodes needs.
  const auto broken = Steady::now();
  call.reset();
  call = discovery.take();
  expect_watch(asked(call), 9);
  EXPECT_LT(Steady::now() - broken, 300ms);
}

TEST_F(Node, TakesClientsThoughThePushedListDoesNotCome) {
  pushed = true;
  start(1);
  Peer call = discovery.take();
  asked(call);
  EXPECT_EQ(Peer::to(port).line(0ms), "(nothing)");
  accepted();
}

// Guards against a service that gives an older list on a watch: a host that drains would be dialled again.
TEST_F(Node, AsksForTheWholeListWhereAWatchGivesAnOlderOne) {
  start(2);
  Peer watch = discovery.take();
  asked(watch);
  tell(watch, list(5, false, target("s-0", hosts[0].port(), "DRAINING")));
  expect_watch(asked(watch), 5);
  tell(watch, list(4, true, target("s-0", hosts[0].port()) + "," + target("s-1", hosts[1].port())));
  EXPECT_FALSE(program->logged("malformed or stale").empty());
  EXPECT_EQ(asked(watch), "GET /api/targets HTTP/1.1");
  for (int i = 0; i < 2; ++i) {
    Peer client = open();
    EXPECT_EQ(dialled().first, 1u);
  }
}

// Guards against a node that starts from nothing while discovery fails, as after a crash of most nodes at
// once: it answers its clients in time, asks no faster than its pauses allow, and serves from the first list
// on.
TEST_F(Node, ServesFromTheFirstListOnHoweverDiscoveryFailedBefore) {
  start(0);
  hosts.emplace_back();
  Peer call = discovery.take();
  for (const char* how : {"503 Service Unavailable", "reset", "200 OK"}) {
    asked(call);
    Peer client = open();
    EXPECT_EQ(client.line(1500ms), "BUSY") << how;
    const auto failed = Steady::now();
    if (std::string_view(how) == "reset") {
      call.reset();
      call = discovery.take();
    } else {
      tell(call, "{}", how);
      EXPECT_TRUE(readable(call.fd(), kPatience));
    }
    EXPECT_GE(Steady::now() - failed, 400ms) << how;
  }
  asked(call);
  tell(call, list(7, true, target("s-0", hosts[0].port())));
  asked(call);  // its next call says that it has taken the list
  accepted();
}

// Guards against a node that starts from an old list, all of whose hosts are gone, while discovery takes
// seconds to answer: it answers each client in time all the while, and serves by the new list.
TEST_F(Node, AnswersInTimeWhereAllHostsOfItsOldListAreGone) {
  start(2);
  for (Acceptor& gone : hosts) gone.shut();
  Peer call = discovery.take();
  asked(call);
  for (const auto until = Steady::now() + 2500ms; Steady::now() < until; readable(-1, 50ms)) {
    Peer client = open();
    EXPECT_EQ(client.line(2050ms), "BUSY");
  }
  EXPECT_FALSE(readable(call.fd(), 0ms)) << "the call that is out is the only one";
  EXPECT_FALSE(discovery.connection_waits(0ms));
  hosts.emplace_back();
  tell(call, list(9, true, target("s-2", hosts[2].port())));
  asked(call);
  accepted();
}

}  // namespace
}  // namespace flintweir::node_tests
