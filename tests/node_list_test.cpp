// The list of hosts: watches, pushed lists, discovery that fails.
#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

TEST_F(Node, FollowsTheListWithoutAPause) {
  start_node(2);
  Peer watch = discovery.accept();
  expect_watch_request(read_request(watch), 1);
  // A host at a new address, and one that drains.
  Acceptor moved;
  respond(watch, list_json(2, false,
                           target_json("s-0", moved.port()) + "," +
                               target_json("s-1", hosts[1].port(), "DRAINING")));
  const auto told = Steady::now();
  expect_watch_request(read_request(watch), 2);
  EXPECT_LT(Steady::now() - told, 200ms);
  std::vector<Peer> kept;
  for (int i = 0; i < 4; ++i) {
    Peer client = open_session();
    kept.push_back(moved.accept());
    kept.back().read_line();
    kept.back().send("UP r\r\n");
    EXPECT_EQ(client.read_line(), "UP r");
    kept.push_back(std::move(client));
  }
  for (const Acceptor& h : hosts) EXPECT_FALSE(h.connection_pending(0ms));
  // What is malformed changes nothing, and the list is asked for again.
  respond(watch, R"({"rev":3,"all":true,"targets":[{"uid":"s-9"}]})");
  EXPECT_FALSE(program->wait_for_log("malformed").empty());
  read_request(watch);
  respond(watch, "{", "503 Service Unavailable");
  EXPECT_FALSE(program->wait_for_log("status 503").empty());
  read_request(watch);
  respond(watch,
          list_json(1, false, target_json("s-0", moved.port(), "DELETED")));  // older than what is known
  EXPECT_FALSE(program->wait_for_log("malformed").empty());
  Peer client = open_session();
  Peer host = moved.accept();
  EXPECT_EQ(host.read_line().substr(0, 4), "OPEN");
}

TEST_F(Node, AsksTheListAgainWhenDiscoveryBreaksOff) {
  start_node(1);
  Peer watch = discovery.accept();
  read_request(watch);
  watch.reset();
  Peer next = discovery.accept();
  EXPECT_EQ(read_request(next).substr(0, 27), "GET /api/targets?since=1&ti");
  respond(next, list_json(5, true, target_json("s-1", hosts[0].port())));
  EXPECT_EQ(read_request(next).substr(0, 27), "GET /api/targets?since=5&ti");
  next.close();  // a kept connection that ends is no failure until a call fails
  EXPECT_TRUE(discovery.connection_pending());
  accepted_session();
}

// Where lists are pushed, what the agent has counts as told from the first moment on, watch or no watch.
// Guards against a node that follows no such list, or takes clients before it knows it.
TEST_F(Node, FollowsAPushedListFromTheFirstMomentOn) {
  pushed = true;
  start_node(2);
  Peer front = Peer::connect(port);
  front.send("PING\r\n");
  Peer call = discovery.accept();
  EXPECT_EQ(read_request(call), "GET /api/targets HTTP/1.1");
  EXPECT_EQ(front.read_line(200ms), "(nothing)");
  respond(call, list_json(9, true,
                          target_json("s-0", hosts[0].port(), "DRAINING") + "," +
                              target_json("s-1", hosts[1].port())));
  EXPECT_EQ(front.read_line(), "PONG");
  expect_watch_request(read_request(call), 9);
  for (int i = 0; i < 2; ++i) {
    Peer client = open_session();
    EXPECT_EQ(next_dial().first, 1u);
  }
  // Without the pause that a service for all nodes needs.
  const auto broken = Steady::now();
  call.reset();
  call = discovery.accept();
  expect_watch_request(read_request(call), 9);
  EXPECT_LT(Steady::now() - broken, 300ms);
}

TEST_F(Node, TakesClientsThoughThePushedListDoesNotCome) {
  pushed = true;
  start_node(1);
  Peer call = discovery.accept();
  read_request(call);
  EXPECT_EQ(Peer::connect(port).read_line(0ms), "(nothing)");
  accepted_session();
}

// Guards against a service that gives an older list on a watch: a host that drains would be dialled again.
TEST_F(Node, AsksForTheWholeListWhereAWatchGivesAnOlderOne) {
  start_node(2);
  Peer watch = discovery.accept();
  read_request(watch);
  respond(watch, list_json(5, false, target_json("s-0", hosts[0].port(), "DRAINING")));
  expect_watch_request(read_request(watch), 5);
  respond(watch, list_json(4, true,
                           target_json("s-0", hosts[0].port()) + "," + target_json("s-1", hosts[1].port())));
  EXPECT_FALSE(program->wait_for_log("malformed or stale").empty());
  EXPECT_EQ(read_request(watch), "GET /api/targets HTTP/1.1");
  for (int i = 0; i < 2; ++i) {
    Peer client = open_session();
    EXPECT_EQ(next_dial().first, 1u);
  }
}

// Guards against a node that starts from nothing while discovery fails, as after a crash of most nodes at
// once: it answers its clients in time, asks no faster than its pauses allow, and serves from the first list
// on.
TEST_F(Node, ServesFromTheFirstListOnHoweverDiscoveryFailedBefore) {
  start_node(0);
  hosts.emplace_back();
  Peer call = discovery.accept();
  for (const char* how : {"503 Service Unavailable", "reset", "200 OK"}) {
    read_request(call);
    Peer client = open_session();
    EXPECT_EQ(client.read_line(1500ms), "BUSY") << how;
    const auto failed = Steady::now();
    if (std::string_view(how) == "reset") {
      call.reset();
      call = discovery.accept();
    } else {
      respond(call, "{}", how);
      EXPECT_TRUE(wait_readable(call.fd(), kMaxWait));
    }
    EXPECT_GE(Steady::now() - failed, 400ms) << how;
  }
  read_request(call);
  respond(call, list_json(7, true, target_json("s-0", hosts[0].port())));
  read_request(call);  // its next call says that it has taken the list
  accepted_session();
}

// Guards against a node that starts from an old list, all of whose hosts are gone, while discovery takes
// seconds to answer: it answers each client in time all the while, and serves by the new list.
TEST_F(Node, AnswersInTimeWhereAllHostsOfItsOldListAreGone) {
  start_node(2);
  for (Acceptor& gone : hosts) gone.close();
  Peer call = discovery.accept();
  read_request(call);
  for (const auto until = Steady::now() + 2500ms; Steady::now() < until; wait_readable(-1, 50ms)) {
    Peer client = open_session();
    EXPECT_EQ(client.read_line(2050ms), "BUSY");
  }
  EXPECT_FALSE(wait_readable(call.fd(), 0ms)) << "the call that is out is the only one";
  EXPECT_FALSE(discovery.connection_pending(0ms));
  hosts.emplace_back();
  respond(call, list_json(9, true, target_json("s-2", hosts[2].port())));
  read_request(call);
  accepted_session();
}

}  // namespace
}  // namespace flintweir::node_tests
