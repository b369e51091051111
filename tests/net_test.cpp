// The parts of the node that need no other process.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <random>
#include <string>
#include <vector>

#include "address.h"
#include "line/connection_ids.h"
#include "line/protocol.h"
#include "net/http_get.h"
#include "net/kernel_network.h"
#include "net/line_buffer.h"
#include "net/null_network.h"
#include "net/timer_queue.h"

namespace flintweir::net {

using namespace line;

namespace {

using namespace std::chrono_literals;

TEST(LineProtocol, DecodesTheFirstLineInPlace) {
  const OpenLineParser reader({"chat", "pay"}, {2s, 3s}, true);
  const std::string line = "OPEN 9b 7f c=pay,d=1500,g=5c,again=1,h=2.5,new=x";
  SessionRequest taken{};
  ConnectionId id;
  std::string_view at, time_left;
  ASSERT_TRUE(reader.parse(line, 10s, taken, id, at, time_left));
  EXPECT_EQ(taken.listener, ListenerId{1});
  EXPECT_EQ(taken.client, ClientKey{0x7f});
  EXPECT_EQ(taken.group, GroupId{0x5c});
  EXPECT_EQ(taken.deadline, 11500ms);
  EXPECT_EQ(taken.expected_load, 2.5);
  EXPECT_TRUE(taken.is_reconnect);
  EXPECT_FALSE(taken.is_retry);
  EXPECT_EQ(time_left.data(), line.data() + line.find("1500"));
  EXPECT_TRUE(at.empty());
  // Who waits longer than dials may take is answered in their time, but for a connection that is open
  // already.
  ASSERT_TRUE(reader.parse("OPEN 9b 7f c=pay,d=4294967", 10s, taken, id, at, time_left));
  EXPECT_EQ(taken.deadline, 13s);
  ASSERT_TRUE(reader.parse("OPEN 9b 7f c=pay,d=4294967,at=s-1", 10s, taken, id, at, time_left));
  EXPECT_EQ(taken.deadline, 10s + 4294967ms);
}

class MalformedOpenLine : public testing::TestWithParam<const char*> {};
TEST_P(MalformedOpenLine, IsRejected) {
  const OpenLineParser reader({"chat"}, {2s}, false);
  SessionRequest taken{};
  ConnectionId id;
  std::string_view at, time_left;
  EXPECT_FALSE(reader.parse(GetParam(), 0s, taken, id, at, time_left));
}
INSTANTIATE_TEST_SUITE_P(
    Lines, MalformedOpenLine,
    testing::Values("", "OPEN", "OPEN 1", "OPEN 1 2", "OPEN 1 2 c=other,d=5", "GET / HTTP/1.1",
                    "open 1 2 c=chat", "OPEN 1 2 c=chat,d=-5", "OPEN 1 2 c=chat,d=5x", "OPEN 1 2 d=5",
                    "OPEN  2 c=chat", "OPEN 1 2 c=chat,d=99999999999999999999", "OPEN 1 2 c=chat,d=",
                    "OPEN 1 2 c=chat,d=1e3", "OPEN 1 2 c=chat,d=+5", "OPEN 1 2 c=chat,d=5,d=6",
                    "OPEN 1 2 c=chat,c=chat", "OPEN 1 2 c=chat,", "OPEN 1 2 c=chat,,d=5", "OPEN 1 2 c=chat,d",
                    "OPEN 1 2 c=chat,=5", "OPEN 1 2 c=chat,g=", "OPEN 1 2 c=chat,h=-1",
                    "OPEN 1 2 c=chat,h=nan", "OPEN 1 2 c=chat,h=inf", "OPEN 1 2 c=chat,h=1e99",
                    "OPEN 1 2 c=chat,r=2", "OPEN 1 2 c=chat,at=", "OPEN 1 c=chat,d=5", "OPEN 1 2 c=chat d=5",
                    "OPEN 1 2 c=chat,d=5\r", "OPEN 1 2 c=chat,x=\x7f", "OPEN 1 2 c=chat,x=\xff",
                    "OPEN 1 2  c=chat"));

// Whatever comes, decoding stays within the line and a decoded time lies where it says.
TEST(LineProtocol, AnyBytesAreSafe) {
  std::mt19937_64 chance(7);
  const OpenLineParser reader({"chat"}, {2s}, true);
  const std::string parts[] = {"OPEN ", "c=chat", ",",  "=",   "d=",    "9", " ",
                               "g=",    "at=",    "h=", "\0x", "1e999", "-"};
  for (int i = 0; i < 20000; ++i) {
    std::string line = i % 2 ? "OPEN 1 2 c=chat," : "";
    for (int n = static_cast<int>(chance() % 9); n > 0; --n) line += parts[chance() % std::size(parts)];
    SessionRequest taken{};
    ConnectionId id;
    std::string_view at, time_left, rest;
    if (reader.parse(line, 1s, taken, id, at, time_left)) {
      EXPECT_GE(taken.deadline, 1s) << line;
      EXPECT_TRUE(time_left.empty() || time_left.data() >= line.data());
    }
    parse_host_message(line, rest);
    EXPECT_LE(rest.size(), line.size());
    parse_load_report(line);
  }
}

TEST(LineProtocol, ReadsLoadReports) {
  const LoadReport r = parse_load_report("eps=0.1,util=0.61,x0=0.4,queue=2,what=,x1=nan");
  EXPECT_EQ(r.cpu_usage, 0.61);
  EXPECT_EQ(r.load, 0.4);
  EXPECT_EQ(r.queued_sessions, 2);
  EXPECT_FALSE(r.backlog);
}

// A network on which no connection comes up.
class NoConnections : public net::NullNetwork {
 public:
  net::SocketKey connect(const Address&, net::SocketEvents& whom) override {
    asked_ = &whom;
    return {0, 1};
  }
  void end(net::ConnectResult result) { std::exchange(asked_, nullptr)->connected(result); }

 private:
  net::SocketEvents* asked_ = nullptr;
};

// Guards against any failure to connect, such as a machine without free ports or routes, that is taken for
// proof that the service is down.
TEST(HttpGet, TellsARefusedConnectionFromOneThatFails) {
  struct Heard : net::HttpGet::Events {
    void http_response(unsigned, std::string&) override {}
    void http_failed(const char*, net::RequestFailure how) override { failures.push_back(how); }
    std::vector<net::RequestFailure> failures;
  } heard;
  NoConnections network;
  net::Sockets sockets(network, 10);
  net::TimerQueue timers(network);
  net::HttpGet get(sockets, timers, *parse_address("127.0.0.1:81"), heard);
  for (const net::ConnectResult result : {net::ConnectResult::failed, net::ConnectResult::refused}) {
    get.get("/", 0s, 1s);
    network.end(result);
  }
  using How = net::RequestFailure;
  EXPECT_EQ(heard.failures, (std::vector<How>{How::connection_closed, How::connection_refused}));
}

TEST(Hosts, AddressesAreNumbers) {
  EXPECT_EQ(parse_address("127.0.0.1:81")->port, 81);
  EXPECT_TRUE(parse_address("[::1]:81"));
  for (const char* bad : {"", "127.0.0.1", "localhost:81", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:8x"})
    EXPECT_FALSE(parse_address(bad)) << bad;
}

// What goes in comes out in the same order, whatever the sizes, and no more is held than there is room for.
TEST(LineBuffer, KeepsBytesInOrder) {
  std::mt19937_64 chance(3);
  LineBuffer buffer;
  std::uint8_t in = 0, out = 0;
  for (int i = 0; i < 5000; ++i) {
    const auto [to, room] = buffer.free_space();
    const std::size_t n = room > 0 ? chance() % (room + 1) : 0;
    for (std::size_t j = 0; j < n; ++j) to[j] = static_cast<char>(in++);
    buffer.commit(n);
    ASSERT_EQ(buffer.full(), buffer.buffered().size() == 2 * kMaxLineBytes);
    const std::size_t taken = chance() % (buffer.buffered().size() + 1);
    for (std::size_t j = 0; j < taken; ++j) ASSERT_EQ(static_cast<std::uint8_t>(buffer.buffered()[j]), out++);
    buffer.consume(taken);
  }
}

// As many blocks as were out at a time, however often they come and go.
TEST(HandlerMemory, IsUsedAgain) {
  std::mt19937_64 chance(5);
  HandlerMemory memory;
  std::vector<std::pair<void*, std::size_t>> out;
  std::size_t most = 0;
  for (int i = 0; i < 5000; ++i) {
    const std::size_t size = 1 + chance() % 400;
    if (out.size() < 40 && (out.empty() || chance() % 2)) {
      out.emplace_back(memory.allocate(size), size);
      std::memset(out.back().first, i, size);
    } else {
      std::swap(out[chance() % out.size()], out.back());
      memory.deallocate(out.back().first, out.back().second);
      out.pop_back();
    }
    most = std::max(most, out.size());
    EXPECT_LE(memory.block_count(), most);
  }
  for (const auto& [block, size] : out) memory.deallocate(block, size);
}

// A first line is sent from where it lies while more comes in behind it.
TEST(LineBuffer, KeepsItsPlaceFromTheFront) {
  LineBuffer buffer;
  std::memcpy(buffer.free_space().first, "PING\r\nOPEN\r\n", 12);
  buffer.commit(12);
  buffer.consume(6);
  buffer.compact();
  const std::string_view line = *buffer.line();
  while (!buffer.full()) {
    const auto [to, room] = buffer.free_space();
    const std::size_t n = std::min<std::size_t>(room, 1000);
    std::memset(to, 'x', n);
    buffer.commit(n);
    ASSERT_EQ(line, "OPEN\r\n");
    ASSERT_EQ(buffer.buffered().data(), line.data());
  }
}

struct Recorder final : TimerEvents {
  std::vector<std::uint64_t> seen;
  void timer_expired(std::uint64_t token) override { seen.push_back(token); }
};

TEST(TimerQueue, ComeInTheirOrderAndNeverFromWithin) {
  KernelNetwork network;
  TimerQueue timers(network);
  Recorder seen;
  struct Again final : TimerEvents {
    TimerQueue& timers;
    Recorder& seen;
    int left = 3;
    Again(TimerQueue& w, Recorder& s) : timers(w), seen(s) {}
    void timer_expired(std::uint64_t) override {
      if (left-- > 0) timers.schedule(0us, *this, 0);  // must not starve what else is due
      seen.timer_expired(100);
    }
  } again(timers, seen);
  timers.schedule(20ms, seen, 3);
  timers.schedule(0us, again, 0);
  timers.schedule(0us, seen, 1);
  timers.schedule(10ms, seen, 2);
  network.run();
  EXPECT_EQ(seen.seen, (std::vector<std::uint64_t>{100, 1, 100, 100, 100, 2, 3}));
}

// An id is refused while its connection lasts and for so many that end after it, whatever order they end in.
TEST(ConnectionIds, RefuseAnIdInUseOrLatelySo) {
  std::mt19937_64 chance(3);
  constexpr std::size_t kKept = 16;
  ConnectionIds ids(kKept);
  std::vector<std::uint64_t> open, over;  // over: the latest last
  for (int i = 0; i < 5000; ++i) {
    const std::uint64_t id = chance() % 60;
    const bool in_use = std::find(open.begin(), open.end(), id) != open.end();
    const auto recent = over.end() - static_cast<std::ptrdiff_t>(std::min(over.size(), kKept));
    ASSERT_EQ(ids.claim(ConnectionId{id}), !in_use && std::find(recent, over.end(), id) == over.end()) << i;
    if (!in_use && std::find(recent, over.end(), id) == over.end()) open.push_back(id);
    if (open.size() < 8) continue;
    std::swap(open[chance() % open.size()], open.back());
    over.push_back(open.back());
    ids.retire(ConnectionId{open.back()});
    open.pop_back();
  }
}

}  // namespace
}  // namespace flintweir::net
