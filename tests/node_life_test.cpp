// From start to end: wrong starts, reload, graceful shutdown.
#include <set>
#include <tuple>

#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

TEST_F(Node, FollowsDiscoveryToItsNewAddressOnReload) {
  start_node(2);
  auto [client, host] = accepted_session();
  Peer old = discovery.accept();
  read_request(old);
  // A file that could not be started with changes nothing.
  for (const std::string& wrong : {std::string("{"), std::string("[]"), config(70000)}) {
    program->write_config(wrong);
    program->send_signal(SIGHUP);
    EXPECT_NE(program->wait_for_log("reload: ").find("nothing is changed"), std::string::npos) << wrong;
  }
  respond(old, list_json(40, true, target_json("s-0", hosts[0].port())));
  expect_watch_request(read_request(old), 40);
  // The file goes before the variable of the start; repeats are harmless.
  Acceptor next;
  program->write_config(config(next.port()));
  for (int i = 0; i < 3; ++i) {
    program->send_signal(SIGHUP);
    EXPECT_FALSE(
        program->wait_for_log("reload: discovery at 127.0.0.1:" + std::to_string(next.port())).empty());
  }
  EXPECT_EQ(old.read_line(), "(end)");
  Peer watch;
  while (next.connection_pending(watch.fd() < 0 ? kMaxWait : 200ms)) watch = next.accept();
  EXPECT_EQ(read_request(watch), "GET /api/targets HTTP/1.1");
  // The old service's list is no ground for changes that the new one tells.
  respond(watch, list_json(41, false, target_json("s-0", hosts[0].port(), "DELETED")));
  EXPECT_FALSE(program->wait_for_log("malformed or stale").empty());
  EXPECT_EQ(read_request(watch), "GET /api/targets HTTP/1.1");
  respond(watch, list_json(3, true, target_json("s-1", hosts[1].port())));  // its versions may be lower
  expect_watch_request(read_request(watch), 3);
  for (int i = 0; i < 3; ++i) {
    Peer another = open_session();
    EXPECT_EQ(next_dial().first, 1u);
  }
  EXPECT_FALSE(discovery.connection_pending(0ms));
  client.send("still there?\r\n");
  EXPECT_EQ(host.read_line(), "still there?");
}

// Guards against the end that SIGHUP brings to a program that does not expect it yet.
TEST_F(Node, HearsOfAReloadAskedForBeforeItIsReady) {
  start_node(1, false, 1000, false, true);
  EXPECT_FALSE(program->wait_for_log("reload: discovery at 127.0.0.1:1").empty());
  accepted_session();
}

TEST_F(Node, MovesAllAndAnswersThoseStillComingBeforeItLeaves) {
  start_node(1, false, 1000, true);
  std::vector<std::pair<Peer, Peer>> open_ones;
  for (int i = 0; i < 5; ++i) open_ones.push_back(accepted_session());
  Peer waiting = open_session();
  Peer waited = next_dial().second;
  waited.read_line();
  Peer half = Peer::connect(port);
  half.send("OPEN 99 1 c=chat");
  program->send_signal(SIGTERM);
  EXPECT_FALSE(program->wait_for_log("leaving").empty());
  Peer front = Peer::connect(port);
  front.send("PING\r\n");
  EXPECT_EQ(front.read_line(), "ERR");  // no PONG: fronts are to send nobody here
  EXPECT_FALSE(program->wait_for_log("end checked").empty());
  EXPECT_EQ(open_session().read_line(), "BUSY 500");
  // Nobody is moved while fronts may still send it back here.
  EXPECT_EQ(open_ones[0].first.read_line(300ms), "(nothing)");
  half.send(",d=2000\r\n");
  EXPECT_EQ(half.read_line(), "BUSY 500");
  waited.send("UP late\r\n");
  EXPECT_EQ(waiting.read_line(), "UP late");
  EXPECT_EQ(waiting.read_line(), "MOVE");
  for (auto& [client, host] : open_ones) {
    EXPECT_EQ(client.read_line(), "MOVE");
    EXPECT_EQ(client.read_line(), "(end)");
    EXPECT_TRUE(host.wait_closed());
  }
  EXPECT_EQ(program->wait_for_exit(), 0);
  program.reset();
}

// Guards against a node that ends before its last move: where dials time out early that came first.
TEST_F(Node, MovesAllInTimeWhereDialsTimeOutEarly) {
  dial_timeout = 300'000;
  start_node(1);
  std::vector<std::pair<Peer, Peer>> open_ones;
  for (int i = 0; i < 6; ++i) open_ones.push_back(accepted_session());
  const auto told = Steady::now();
  for (int i = 0; i < 3; ++i) program->send_signal(SIGTERM);  // told again it goes on as it was
  EXPECT_FALSE(program->wait_for_log("leaving").empty());
  for (auto& [client, host] : open_ones) {
    EXPECT_EQ(client.read_line(), "MOVE");
    EXPECT_EQ(client.read_line(), "(end)");
  }
  EXPECT_EQ(program->wait_for_exit(), 0);
  EXPECT_LT(Steady::now() - told, 1s);  // the longest dial timeout and 0.7 s
  program.reset();
}

class WrongStart : public testing::TestWithParam<std::pair<const char*, const char*>> {};
TEST_P(WrongStart, EndsWithOnePlainLine) {
  std::istringstream words(GetParam().first);
  std::vector<std::string> args;
  for (std::string w; words >> w;) args.push_back(w);
  Program program(GetParam().second, args);
  EXPECT_GT(program.wait_for_exit(), 0);
  EXPECT_GT(program.wait_for_log("flintweir: ").size(), 25u);
  EXPECT_EQ(program.wait_for_log(""), "");
}
INSTANTIATE_TEST_SUITE_P(
    All, WrongStart,
    testing::Values(
        std::pair("serve", "{"), std::pair("serve", "[]"), std::pair("serve", "{}"),
        std::pair("serve", R"({"listen":"127.0.0.1:0","discovery":"x","limits":{},"settings":{}})"),
        std::pair("check", R"({"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{},"settings":{}})"),
        std::pair("serve --config /none", "{}"), std::pair("", "{}"), std::pair("frob", "{}"),
        std::pair("serve twice", "{}"), std::pair("serve --frob", "{}"), std::pair("serve -c", "{}")));

// How soon processes that start alone, a few or many at once take clients, whatever discovery does and
// whatever list they start from: within 3 s each, where nine in ten may take 10 s.
enum class Service { down, silent, failing };
enum class Known { none, old, gone };
class Ready : public testing::TestWithParam<std::tuple<Service, Known, bool>> {};
TEST_P(Ready, WithinSeconds) {
  const auto [service, known, pushed] = GetParam();
  Acceptor discovery, host;
  const int at = discovery.port();
  if (service == Service::down) discovery.close();
  const std::string targets =
      known == Known::none ? "" : target_json("s-0", known == Known::gone ? 1 : host.port());
  for (const std::size_t count : {1u, 3u, 20u}) {
    std::vector<std::unique_ptr<Program>> programs;
    std::vector<Peer> fronts, calls;
    const auto began = Steady::now();
    for (std::size_t i = 0; i < count; ++i)
      programs.push_back(
          std::make_unique<Program>(R"({"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" +
                                        std::to_string(at) + R"(","seed":")" + std::to_string(i) +
                                        R"(","limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":)" +
                                        list_json(1, true, targets) + R"(,"settings":)" +
                                        settings_json(true, false, pushed, 2'000'000) + '}',
                                    std::vector<std::string>{"serve"}));
    for (const auto& p : programs) {
      const std::string line = p->wait_for_log("serving at ");
      ASSERT_FALSE(line.empty());
      fronts.push_back(Peer::connect(std::stoi(line.substr(line.rfind(':') + 1))));
      fronts.back().send("PING\r\n");
    }
    std::set<std::size_t> ready;
    while (ready.size() < count && Steady::now() - began < 3s) {
      while (service != Service::down && discovery.connection_pending(0ms)) {
        calls.push_back(discovery.accept());
        if (service == Service::failing)
          calls.back().send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      }
      for (std::size_t i = 0; i < count; ++i)
        if (!ready.contains(i) && wait_readable(fronts[i].fd(), 1ms)) {
          EXPECT_EQ(fronts[i].read_line(), "PONG");
          ready.insert(i);
        }
    }
    EXPECT_EQ(ready.size(), count) << "of " << count;
    const auto slowest = std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - began).count();
    RecordProperty("slowest_of_" + std::to_string(count), static_cast<int>(slowest));
    for (const auto& p : programs) EXPECT_TRUE(p->is_running());
  }
}
INSTANTIATE_TEST_SUITE_P(Of, Ready,
                         testing::Combine(testing::Values(Service::down, Service::silent, Service::failing),
                                          testing::Values(Known::none, Known::old, Known::gone),
                                          testing::Bool()));

// Guards against whoever reads the log and stops: the pipe fills up, and a node that waits for it answers
// nobody.
TEST_F(Node, AnswersThoughNobodyReadsItsLog) {
  start_node(1);
  for (const auto until = Steady::now() + 4s; Steady::now() < until;) {
    Peer front = Peer::connect(port);
    front.send("PING\r\n");
    ASSERT_EQ(front.read_line(1s), "PONG");  // its end leaves a line
  }
  EXPECT_FALSE(program->wait_for_log("end checked").empty());
  accepted_session();
}

}  // namespace
}  // namespace flintweir::node_tests
