// The host list: long polls, pushed lists, and failures of discovery.
#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

TEST_F(Node, PollsTheListWithoutPauses) {
  start_node(2);
  Peer poll = discovery.accept();
  expect_watch_request(read_request(poll), 1);
  // One host has a new address, and one is draining.
  Acceptor moved;
  respond(poll, list_json(2, false,
                          target_json("s-0", moved.port()) + "," +
                              target_json("s-1", hosts[1].port(), "DRAINING")));
  const auto sent_at = Steady::now();
  expect_watch_request(read_request(poll), 2);
  EXPECT_LT(Steady::now() - sent_at, 200ms);
  std::vector<Peer> connections;
  for (int i = 0; i < 4; ++i) {
    Peer client = open_session();
    connections.push_back(moved.accept());
    connections.back().read_line();
    connections.back().send("UP r\r\n");
    EXPECT_EQ(client.read_line(), "UP r");
    connections.push_back(std::move(client));
  }
  for (const Acceptor& h : hosts) EXPECT_FALSE(h.connection_pending(0ms));
  // A malformed response changes nothing, and the list is requested again.
  respond(poll, R"({"rev":3,"all":true,"targets":[{"uid":"s-9"}]})");
  EXPECT_FALSE(program->wait_for_log("malformed").empty());
  read_request(poll);
  respond(poll, "{", "503 Service Unavailable");
  EXPECT_FALSE(program->wait_for_log("status 503").empty());
  read_request(poll);
  respond(poll,
          list_json(1, false, target_json("s-0", moved.port(), "DELETED")));  // older than the known list
  EXPECT_FALSE(program->wait_for_log("malformed").empty());
  Peer client = open_session();
  Peer host = moved.accept();
  EXPECT_EQ(host.read_line().substr(0, 4), "OPEN");
}

TEST_F(Node, RequestsTheListAgainAfterAConnectionReset) {
  start_node(1);
  Peer poll = discovery.accept();
  read_request(poll);
  poll.reset();
  Peer next = discovery.accept();
  EXPECT_EQ(read_request(next).substr(0, 27), "GET /api/targets?since=1&ti");
  respond(next, list_json(5, true, target_json("s-1", hosts[0].port())));
  EXPECT_EQ(read_request(next).substr(0, 27), "GET /api/targets?since=5&ti");
  next.close();  // a closed keep-alive connection is no failure until a request fails
  EXPECT_TRUE(discovery.connection_pending());
  accepted_session();
}

// If lists are pushed, a node is bound from its start on by the list that the agent beside it holds, whether
// it has requested that list or not. Guards against a node that does not request a pushed list, or is ready
// before it has received it.
TEST_F(Node, UsesAPushedListFromTheStart) {
  pushed = true;
  start_node(2);
  Peer front = Peer::connect(port);
  front.send("PING\r\n");
  Peer request = discovery.accept();
  EXPECT_EQ(read_request(request), "GET /api/targets HTTP/1.1");
  EXPECT_EQ(front.read_line(200ms), "(nothing)");
  respond(request, list_json(9, true,
                             target_json("s-0", hosts[0].port(), "DRAINING") + "," +
                                 target_json("s-1", hosts[1].port())));
  EXPECT_EQ(front.read_line(), "PONG");
  expect_watch_request(read_request(request), 9);
  for (int i = 0; i < 2; ++i) {
    Peer client = open_session();
    EXPECT_EQ(next_dial().first, 1u);
  }
  // The agent serves this node alone, so that a retry needs no pause to spread the load of all nodes.
  const auto reset_at = Steady::now();
  request.reset();
  request = discovery.accept();
  expect_watch_request(read_request(request), 9);
  EXPECT_LT(Steady::now() - reset_at, 300ms);
}

// Guards against a node that leaves its clients without an answer because its agent does not respond.
TEST_F(Node, AnswersClientsIfThePushedListDoesNotArrive) {
  pushed = true;
  start_node(1);
  Peer request = discovery.accept();
  read_request(request);
  EXPECT_EQ(Peer::connect(port).read_line(0ms), "(nothing)");
  Peer client = open_session();
  EXPECT_EQ(client.read_line(1500ms), "BUSY");
  EXPECT_FALSE(hosts[0].connection_pending(0ms));
  respond(request, list_json(1, true, target_json("s-0", hosts[0].port())));
  read_request(request);  // the next request shows that the node has accepted the list
  accepted_session();
}

// Guards against a service that answers a long poll with an older list: a draining host would be dialled
// again.
TEST_F(Node, RequestsTheWholeListAfterALongPollReturnedAnOlderOne) {
  start_node(2);
  Peer poll = discovery.accept();
  read_request(poll);
  respond(poll, list_json(5, false, target_json("s-0", hosts[0].port(), "DRAINING")));
  expect_watch_request(read_request(poll), 5);
  respond(poll, list_json(4, true,
                          target_json("s-0", hosts[0].port()) + "," + target_json("s-1", hosts[1].port())));
  EXPECT_FALSE(program->wait_for_log("malformed or stale").empty());
  EXPECT_EQ(read_request(poll), "GET /api/targets HTTP/1.1");
  for (int i = 0; i < 2; ++i) {
    Peer client = open_session();
    EXPECT_EQ(next_dial().first, 1u);
  }
}

// Covers a node that starts without a list while discovery fails, as after a crash of most nodes at once. The
// node has to answer its clients in time, keep to its retry pauses, and serve as soon as it receives the
// first list.
TEST_F(Node, ServesFromTheFirstListAfterAnyFailureOfDiscovery) {
  start_node(0);
  hosts.emplace_back();
  Peer request = discovery.accept();
  for (const char* how : {"503 Service Unavailable", "reset", "200 OK"}) {
    read_request(request);
    Peer client = open_session();
    EXPECT_EQ(client.read_line(1500ms), "BUSY") << how;
    const auto failed_at = Steady::now();
    if (std::string_view(how) == "reset") {
      request.reset();
      request = discovery.accept();
    } else {
      respond(request, "{}", how);
      EXPECT_TRUE(wait_readable(request.fd(), kMaxWait));
    }
    EXPECT_GE(Steady::now() - failed_at, 400ms) << how;
  }
  read_request(request);
  respond(request, list_json(7, true, target_json("s-0", hosts[0].port())));
  read_request(request);  // the next request shows that the node has accepted the list
  accepted_session();
}

// Covers a node that starts with an old list none of whose hosts is reachable, while discovery takes seconds
// to respond. The node has to answer each client in time meanwhile, and then serve by the new list.
TEST_F(Node, AnswersInTimeWhileAllHostsOfItsOldListAreUnreachable) {
  start_node(2);
  for (Acceptor& host : hosts) host.close();
  Peer request = discovery.accept();
  read_request(request);
  for (const auto until = Steady::now() + 2500ms; Steady::now() < until; wait_readable(-1, 50ms)) {
    Peer client = open_session();
    EXPECT_EQ(client.read_line(2050ms), "BUSY");
  }
  EXPECT_FALSE(wait_readable(request.fd(), 0ms)) << "a second request was sent while one was pending";
  EXPECT_FALSE(discovery.connection_pending(0ms));
  hosts.emplace_back();
  respond(request, list_json(9, true, target_json("s-2", hosts[2].port())));
  read_request(request);
  accepted_session();
}

}  // namespace
}  // namespace flintweir::node_tests
