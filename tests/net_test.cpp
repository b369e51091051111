// The network layer and the parsers of the client and host protocol, without other processes.
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
  const OpenLineParser parser({"chat", "pay"}, {2s, 3s}, true);
  const std::string line = "OPEN 9b 7f c=pay,d=1500,g=5c,again=1,h=2.5,new=x";
  SessionRequest request{};
  ConnectionId id;
  std::string_view host, time_left;
  ASSERT_TRUE(parser.parse(line, 10s, request, id, host, time_left));
  EXPECT_EQ(request.listener, ListenerId{1});
  EXPECT_EQ(request.client, ClientKey{0x7f});
  EXPECT_EQ(request.group, GroupId{0x5c});
  EXPECT_EQ(request.deadline, 11500ms);
  EXPECT_EQ(request.expected_load, 2.5);
  EXPECT_TRUE(request.is_reconnect);
  EXPECT_FALSE(request.is_retry);
  EXPECT_EQ(time_left.data(), line.data() + line.find("1500"));
  EXPECT_TRUE(host.empty());
  // The deadline is at most the listener's dial timeout from now, except for a session that is already open.
  ASSERT_TRUE(parser.parse("OPEN 9b 7f c=pay,d=4294967", 10s, request, id, host, time_left));
  EXPECT_EQ(request.deadline, 13s);
  ASSERT_TRUE(parser.parse("OPEN 9b 7f c=pay,d=4294967,at=s-1", 10s, request, id, host, time_left));
  EXPECT_EQ(request.deadline, 10s + 4294967ms);
}

class MalformedOpenLine : public testing::TestWithParam<const char*> {};
TEST_P(MalformedOpenLine, IsRejected) {
  const OpenLineParser parser({"chat"}, {2s}, false);
  SessionRequest request{};
  ConnectionId id;
  std::string_view host, time_left;
  EXPECT_FALSE(parser.parse(GetParam(), 0s, request, id, host, time_left));
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

// Guards against input that makes the parsers read beyond the line or return positions outside of it.
TEST(LineProtocol, RandomInputIsParsedSafely) {
  std::mt19937_64 random(7);
  const OpenLineParser parser({"chat"}, {2s}, true);
  const std::string parts[] = {"OPEN ", "c=chat", ",",  "=",   "d=",    "9", " ",
                               "g=",    "at=",    "h=", "\0x", "1e999", "-"};
  for (int i = 0; i < 20000; ++i) {
    std::string line = i % 2 ? "OPEN 1 2 c=chat," : "";
    for (int n = static_cast<int>(random() % 9); n > 0; --n) line += parts[random() % std::size(parts)];
    SessionRequest request{};
    ConnectionId id;
    std::string_view host, time_left, rest;
    if (parser.parse(line, 1s, request, id, host, time_left)) {
      EXPECT_GE(request.deadline, 1s) << line;
      EXPECT_TRUE(time_left.empty() || time_left.data() >= line.data());
    }
    parse_host_message(line, rest);
    EXPECT_LE(rest.size(), line.size());
    parse_load_report(line);
  }
}

TEST(LineProtocol, ReadsLoadReports) {
  const LoadReport report = parse_load_report("eps=0.1,util=0.61,x0=0.4,queue=2,what=,x1=nan");
  EXPECT_EQ(report.cpu_usage, 0.61);
  EXPECT_EQ(report.load, 0.4);
  EXPECT_EQ(report.queued_sessions, 2);
  EXPECT_FALSE(report.backlog);
}

// A network whose connections end with the result that the test chooses.
class FakeConnections : public net::NullNetwork {
 public:
  net::SocketKey connect(const Address&, net::SocketEvents& events) override {
    connecting_ = &events;
    return {0, 1};
  }
  void finish(net::ConnectResult result) { std::exchange(connecting_, nullptr)->connected(result); }

 private:
  net::SocketEvents* connecting_ = nullptr;
};

// Guards against a local failure to connect, as on a machine without free ports or routes, being taken as
// proof that the service is down.
TEST(HttpGet, DistinguishesARefusedConnectionFromAFailedOne) {
  struct Recorder : net::HttpGet::Events {
    void http_response(unsigned, std::string&) override {}
    void http_failed(const char*, net::RequestFailure failure) override { failures.push_back(failure); }
    std::vector<net::RequestFailure> failures;
  } recorder;
  FakeConnections network;
  net::Sockets sockets(network, 10);
  net::TimerQueue timers(network);
  net::HttpGet get(sockets, timers, *parse_address("127.0.0.1:81"), recorder);
  for (const net::ConnectResult result : {net::ConnectResult::failed, net::ConnectResult::refused}) {
    get.get("/", 0s, 1s);
    network.finish(result);
  }
  using Failure = net::RequestFailure;
  EXPECT_EQ(recorder.failures,
            (std::vector<Failure>{Failure::connection_closed, Failure::connection_refused}));
}

TEST(Address, IsNumeric) {
  EXPECT_EQ(parse_address("127.0.0.1:81")->port, 81);
  EXPECT_TRUE(parse_address("[::1]:81"));
  for (const char* bad : {"", "127.0.0.1", "localhost:81", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:8x"})
    EXPECT_FALSE(parse_address(bad)) << bad;
}

// Random reads and writes: bytes come out in order, and the buffer never holds more than its capacity.
TEST(LineBuffer, KeepsBytesInOrder) {
  std::mt19937_64 random(3);
  LineBuffer buffer;
  std::uint8_t next_in = 0, next_out = 0;
  for (int i = 0; i < 5000; ++i) {
    const auto [to, room] = buffer.free_space();
    const std::size_t n = room > 0 ? random() % (room + 1) : 0;
    for (std::size_t j = 0; j < n; ++j) to[j] = static_cast<char>(next_in++);
    buffer.commit(n);
    ASSERT_EQ(buffer.full(), buffer.buffered().size() == 2 * kMaxLineBytes);
    const std::size_t consumed = random() % (buffer.buffered().size() + 1);
    for (std::size_t j = 0; j < consumed; ++j)
      ASSERT_EQ(static_cast<std::uint8_t>(buffer.buffered()[j]), next_out++);
    buffer.consume(consumed);
  }
}

// There are never more blocks than the largest number in use at one time.
TEST(HandlerMemory, ReusesBlocks) {
  std::mt19937_64 random(5);
  HandlerMemory memory;
  std::vector<std::pair<void*, std::size_t>> in_use;
  std::size_t most = 0;
  for (int i = 0; i < 5000; ++i) {
    const std::size_t size = 1 + random() % 400;
    if (in_use.size() < 40 && (in_use.empty() || random() % 2)) {
      in_use.emplace_back(memory.allocate(size), size);
      std::memset(in_use.back().first, i, size);
    } else {
      std::swap(in_use[random() % in_use.size()], in_use.back());
      memory.deallocate(in_use.back().first, in_use.back().second);
      in_use.pop_back();
    }
    most = std::max(most, in_use.size());
    EXPECT_LE(memory.block_count(), most);
  }
  for (const auto& [block, size] : in_use) memory.deallocate(block, size);
}

// Guards against a first line that moves while it is sent from the buffer and more bytes are read behind it.
TEST(LineBuffer, KeepsAddressesStableAfterCompact) {
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

struct TimerRecorder final : TimerEvents {
  std::vector<std::uint64_t> tokens;
  void timer_expired(std::uint64_t token) override { tokens.push_back(token); }
};

TEST(TimerQueue, CallsTimersInOrderAndNewOnesInALaterTurn) {
  KernelNetwork network;
  TimerQueue timers(network);
  TimerRecorder recorder;
  struct Rescheduling final : TimerEvents {
    TimerQueue& timers;
    TimerRecorder& recorder;
    int left = 3;
    Rescheduling(TimerQueue& t, TimerRecorder& r) : timers(t), recorder(r) {}
    void timer_expired(std::uint64_t) override {
      if (left-- > 0) timers.schedule(0us, *this, 0);  // must not starve the other timers
      recorder.timer_expired(100);
    }
  } rescheduling(timers, recorder);
  timers.schedule(20ms, recorder, 3);
  timers.schedule(0us, rescheduling, 0);
  timers.schedule(0us, recorder, 1);
  timers.schedule(10ms, recorder, 2);
  network.run();
  EXPECT_EQ(recorder.tokens, (std::vector<std::uint64_t>{100, 1, 100, 100, 100, 2, 3}));
}

// An id is refused while its connection is open, and after that until a fixed number of further connections
// have ended, in any order.
TEST(ConnectionIds, RefuseAnIdInUseOrRecentlyUsed) {
  std::mt19937_64 random(3);
  constexpr std::size_t kRemembered = 16;
  ConnectionIds ids(kRemembered);
  std::vector<std::uint64_t> open, closed;  // closed: the latest last
  for (int i = 0; i < 5000; ++i) {
    const std::uint64_t id = random() % 60;
    const bool in_use = std::find(open.begin(), open.end(), id) != open.end();
    const auto recent = closed.end() - static_cast<std::ptrdiff_t>(std::min(closed.size(), kRemembered));
    ASSERT_EQ(ids.claim(ConnectionId{id}), !in_use && std::find(recent, closed.end(), id) == closed.end())
        << i;
    if (!in_use && std::find(recent, closed.end(), id) == closed.end()) open.push_back(id);
    if (open.size() < 8) continue;
    std::swap(open[random() % open.size()], open.back());
    closed.push_back(open.back());
    ids.retire(ConnectionId{open.back()});
    open.pop_back();
  }
}

}  // namespace
}  // namespace flintweir::net
