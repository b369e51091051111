// The program beside a list of hosts that it does not hear of, over longer than one trouble: from when what
// it has not heard counts as told it sends nothing new, whatever else befalls the list after that.
#include <atomic>
#include <thread>

#include "node_fixture.h"

namespace flintweir::node_tests {
namespace {

// Discovery, played by a thread of its own.
class ListService {
 public:
  enum class Mode {
    answers,     // watches wait, other calls get the whole list
    turns_away,  // each call is answered 503 at once
    half_lists,  // the calls that are out get half a list, the next one where none is; silent from then on
    silent       // calls are taken and get no answer
  };
  explicit ListService(const std::string& targets)
      : whole_(list_json(1, true, targets)), thread_([this] { serve(); }) {}
  ~ListService() { stop(); }
  ListService(const ListService&) = delete;
  int port() const { return acceptor_.port(); }
  void turn(Mode mode) { mode_ = mode; }
  // From now on nobody listens here, and what is out is reset.
  void stop() {
    over_ = true;
    if (thread_.joinable()) thread_.join();
    for (Call& call : calls_) call.peer.reset();
    calls_.clear();
    acceptor_.close();
  }

 private:
  struct Call {
    Peer peer;
    bool watch = false, out = false;
  };
  void serve() {
    while (!over_) {
      if (acceptor_.connection_pending(2ms)) calls_.push_back({acceptor_.accept()});
      for (Call& call : calls_) {
        hear(call);
        if (call.out) answer(call);
      }
      if (std::exchange(gave_half_, false)) mode_ = Mode::silent;
    }
  }
  static void hear(Call& call) {
    for (std::string line = call.peer.read_line(0ms); !line.starts_with('(');
         line = call.peer.read_line(0ms)) {
      if (line.starts_with("GET ")) call.watch = line.find("since=") != line.npos;
      call.out = line.empty();
    }
  }
  void answer(Call& call) {
    const Mode mode = mode_;
    if (mode == Mode::silent || (mode == Mode::answers && call.watch)) return;
    call.out = false;
    gave_half_ = mode == Mode::half_lists;
    const std::string body = mode == Mode::turns_away   ? ""
                             : mode == Mode::half_lists ? whole_.substr(0, whole_.size() / 2)
                                                        : whole_;
    const char* status = mode == Mode::turns_away ? "503 Service Unavailable" : "200 OK";
    call.peer.send("HTTP/1.1 " + std::string(status) + "\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
  }

  Acceptor acceptor_;
  std::string whole_;
  std::atomic<Mode> mode_ = Mode::answers;
  std::atomic<bool> over_ = false;
  bool gave_half_ = false;
  std::vector<Call> calls_;
  std::thread thread_;  // the last: it uses all the others
};

class StaleList : public Node {
 protected:
  using Mode = ListService::Mode;
  // The protocol's figures, and what the rule allows beyond them.
  static constexpr auto kStaleAfterSwitch = 4s, kStaleAfterChange = 6s;
  static constexpr auto kGrace = 350ms;
  static constexpr auto kStops = 3s;  // for so long nothing may be sent

  std::string targets() const {
    return target_json(host_name(0), hosts[0].port()) + "," + target_json(host_name(1), hosts[1].port());
  }
  Steady::time_point turn_to(int service) {
    const auto now = Steady::now();
    program->write_config(config(service));
    program->send_signal(SIGHUP);
    EXPECT_FALSE(program->wait_for_log("reload: discovery at ").empty());
    return now;
  }
  // Whether a session that comes now is sent to a host. Its connection there is kept, as an end would have
  // the node dial another.
  bool sends() {
    program->wait_for_log("(no such line)", 100ms);  // a log that nobody reads holds the program up
    while (dialled_within(0ms)) continue;
    Peer client = open_session();
    return dialled_within(300ms);
  }
  void expect_stopped(Steady::time_point from, const char* why) {
    while (Steady::now() < from) wait_readable(-1, 5ms);
    while (Steady::now() < from + kStops) ASSERT_FALSE(sends()) << why;
  }

 private:
  bool dialled_within(Steady::duration within) {
    std::vector<pollfd> doors;
    for (const Acceptor& host : hosts) doors.push_back({host.fd(), POLLIN, 0});
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(within).count();
    if (poll(doors.data(), doors.size(), static_cast<int>(ms)) <= 0) return false;
    for (std::size_t i = 0; i < hosts.size(); ++i)
      if (doors[i].revents & POLLIN) kept_.push_back(hosts[i].accept());
    return true;
  }
  std::vector<Peer> kept_;
};

// Guards against a refused connection that puts off what counts as told since a new configuration.
TEST_F(StaleList, NothingIsSentWhereANewConfigurationNamesAServiceThatRefuses) {
  start_node(2);
  Acceptor nobody;
  nobody.close();
  const auto turned = turn_to(nobody.port());
  EXPECT_TRUE(sends());
  expect_stopped(turned + kStaleAfterSwitch + kGrace, "told of another service, which is not there");
}

// Guards against a node that stops for a while only, or only once, as long as it hears nothing. Here
// discovery was down for longer than it takes to be believed, so that the node sends again before the new
// configuration.
TEST_F(StaleList, NothingIsSentAfterANewConfigurationThatFollowsALongOutage) {
  ask_every = 2'500'000;  // four times that, and six seconds, until an outage is believed
  start_node(2);
  ListService first(targets()), second(targets());
  turn_to(first.port());
  ASSERT_FALSE(program->wait_for_log("list: taken version=1").empty());
  first.turn(Mode::turns_away);
  bool sent = false;
  for (const auto until = Steady::now() + 17s; Steady::now() < until;) sent = sends();
  EXPECT_TRUE(sent) << "a list that nobody can give ends all service";
  second.turn(Mode::silent);
  const auto turned = turn_to(second.port());
  expect_stopped(turned + kStaleAfterSwitch + kGrace, "told of another service, which is silent");
}

// Guards against half a list that counts by the wait its call was allowed, up to 22 s, not by when it came.
TEST_F(StaleList, NothingIsSentSixSecondsAfterHalfAListCame) {
  start_node(2);
  ListService service(targets());
  turn_to(service.port());
  ASSERT_FALSE(program->wait_for_log("list: taken version=1").empty());
  const auto spoilt = Steady::now();
  service.turn(Mode::half_lists);
  ASSERT_FALSE(program->wait_for_log("malformed or stale").empty());
  EXPECT_TRUE(sends());
  expect_stopped(spoilt + kStaleAfterChange + kGrace, "half a list had come");
}

}  // namespace
}  // namespace flintweir::node_tests
