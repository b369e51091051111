// Tests of the lab over fixed seeds: its network, models and checker, together with the node's own code.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "lab/checks/interleaving.h"
#include "lab/faults/builtin_experiment.h"
#include "lab/faults/input_error.h"
#include "lab/network/virtual_network.h"
#include "lab/reports/capacity.h"
#include "lab/reports/results.h"
#include "lab/runner.h"
#include "net/stream.h"
#include "net/timer_queue.h"

namespace flintweir::lab {
namespace {

using namespace std::chrono_literals;

Experiment experiment(const std::string& name) {
  return Experiment::from_file(std::string(FLINTWEIR_EXPERIMENTS) + "/" + name + ".toml");
}

std::string broken(const RunResult& ran) {
  std::ostringstream out;
  for (const Violation& v : ran.outcome.violations)
    out << "seed " << ran.seed << " at " << v.at.count() << " us, rule " << name_of(v.rule) << ", session "
        << std::hex << v.session.value << std::dec << ": " << v.what << '\n';
  return out.str() + ran.failed;
}

// Both ends of one connection, which send each other random bytes and close in one of several ways.
class Talker final : net::StreamEvents, net::AcceptEvents {
 public:
  Talker(Process& process, std::uint64_t seed) : sockets_(process, 1000), stream_(sockets_), chance_(seed) {}
  void listen(const Address& at) {
    sockets_.network().listen(at);
    sockets_.network().wait_accept(*this);
  }
  void dial(const Address& to) { ASSERT_TRUE(stream_.connect(to, *this)); }
  void send(std::size_t bytes) {
    while (to_send.size() < sent_ + bytes) to_send += static_cast<char>('a' + chance_() % 26);
    if (up_) push();
  }
  void finish() {
    finishing_ = true;
    if (up_) push();
  }
  void break_off() { stream_.abort(); }
  bool up() const { return up_; }

  std::string to_send, got;
  bool failed = false, ended = false, reset = false;

 private:
  void connection_pending() override {
    const net::AcceptResult a = sockets_.network().accept();
    if (a.status != net::IoStatus::done) return;
    stream_.adopt(a.socket, *this);
    up_ = true;
    stream_.want_read();
    push();
  }
  void connected(net::Stream&, net::ConnectResult result) override {
    failed = result != net::ConnectResult::established;
    if (failed) return;
    up_ = true;
    stream_.want_read();
    push();
  }
  void input_ready(net::Stream& s) override {
    got += s.input().buffered();
    s.input().clear();
    if (s.at_eof()) ended = true;
    s.want_read();
  }
  void writable(net::Stream&) override { push(); }
  void broken(net::Stream&) override { reset = true; }
  void push() {
    while (sent_ < to_send.size()) {
      const auto n = stream_.write(std::string_view(to_send).substr(sent_));
      if (!n) return;
      sent_ += *n;
      if (*n == 0 || chance_() % 2) return stream_.want_write();
    }
    if (finishing_) stream_.shutdown_send();
  }

  net::Sockets sockets_;
  net::Stream stream_;
  std::mt19937_64 chance_;
  std::size_t sent_ = 0;
  bool up_ = false, finishing_ = false;
};

// Through temporary faults, bytes must arrive in order in both directions, none lost and none invented; the
// end of the stream arrives after the last byte or never.
TEST(VirtualNetwork, CarriesBytesInOrderThroughTroubles) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 chance(seed);
    EventQueue event_queue(1s);
    VirtualNetwork network(event_queue, {300us, 5ms, {}, 0.5, 256u << chance() % 6, 0.5}, seed);
    const MachineId a = network.add_machine({0}), b = network.add_machine({1});
    Process left(network, a, 100), right(network, b, 100);
    Talker dialler(left, seed), door(right, seed + 1);
    const Address at = VirtualNetwork::address(b, 80);
    door.listen(at);
    dialler.dial(at);
    for (int i = 0; i < 20; ++i) {
      event_queue.schedule_at(1s + Micros{chance() % 9000000}, [&, n = chance() % 5000] { dialler.send(n); });
      event_queue.schedule_at(1s + Micros{chance() % 9000000}, [&, n = chance() % 5000] { door.send(n); });
    }
    for (int i = 0; i < 4; ++i) {
      const Micros from = 1s + Micros{chance() % 8000000};
      const std::uint32_t way = chance() % 2;
      event_queue.schedule_at(from, [&, way] { network.block({way}, {1 - way}); });
      event_queue.schedule_at(from + Micros{chance() % 2000000},
                              [&, way] { network.unblock({way}, {1 - way}); });
    }
    event_queue.run_until(15s);
    for (const std::uint32_t way : {0u, 1u}) network.unblock({way}, {1 - way});
    event_queue.run_until(30s);
    ASSERT_TRUE(dialler.up() && door.up()) << seed;
    dialler.finish();
    door.finish();
    event_queue.run_until(60s);
    ASSERT_EQ(door.got, dialler.to_send) << seed;
    ASSERT_EQ(dialler.got, door.to_send) << seed;
    EXPECT_TRUE(door.ended && dialler.ended && !door.reset && !dialler.reset) << seed;
  }
}

TEST(VirtualNetwork, RefusesResetsAndFallsSilentAsMachinesDo) {
  EventQueue event_queue(1s);
  VirtualNetwork network(event_queue, {}, 1);
  const MachineId a = network.add_machine({0}), b = network.add_machine({1});
  Process left(network, a, 3);
  {
    Talker refused(left, 1);
    refused.dial(VirtualNetwork::address(b, 80));
    event_queue.run_until(2s);
    EXPECT_TRUE(refused.failed);
  }
  auto right = std::make_unique<Process>(network, b, 100);
  auto door = std::make_unique<Talker>(*right, 2);
  door->listen(VirtualNetwork::address(b, 80));
  Talker killed(left, 3), lost(left, 4);
  killed.dial(VirtualNetwork::address(b, 80));
  event_queue.run_until(3s);
  ASSERT_TRUE(killed.up());
  right->kill();
  event_queue.run_until(4s);
  EXPECT_TRUE(killed.reset);
  // A lost machine sends nothing, and its open connections are reset when it returns.
  door.reset();
  right = std::make_unique<Process>(network, b, 100);
  door = std::make_unique<Talker>(*right, 5);
  door->listen(VirtualNetwork::address(b, 80));
  lost.dial(VirtualNetwork::address(b, 80));
  event_queue.run_until(5s);
  ASSERT_TRUE(lost.up());
  network.disconnect(b);
  lost.send(100);
  event_queue.run_until(60s);
  EXPECT_FALSE(lost.reset || lost.ended);
  right->kill();
  network.reconnect(b);
  event_queue.run_until(70s);
  EXPECT_TRUE(lost.reset);
  // With descriptors for two sockets only, opening a third one must fail.
  net::Sockets sockets(left, 1000);
  struct Nobody final : net::SocketEvents {
    void connected(net::ConnectResult) override {}
    void readable(bool) override {}
    void writable(bool) override {}
  } nobody;
  EXPECT_NE(left.connect(VirtualNetwork::address(b, 80), nobody).generation, 0u);
  EXPECT_EQ(left.connect(VirtualNetwork::address(b, 80), nobody).generation, 0u);
}

TEST(Histogram, IsOffByFivePerCentAtTheMost) {
  std::mt19937_64 chance(5);
  Histogram h;
  std::vector<std::int64_t> all;
  for (int i = 0; i < 20000; ++i) {
    all.push_back(static_cast<std::int64_t>(std::exp(static_cast<double>(chance() % 1600) / 100)));
    h.add(Micros{all.back()});
  }
  std::sort(all.begin(), all.end());
  for (const double share : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    const auto exact = static_cast<double>(all[static_cast<std::size_t>(share * 20000) - 1]);
    EXPECT_NEAR(static_cast<double>(h.quantile(share).count()), exact, exact * 0.07 + 1) << share;
  }
}

// Each error message must say where the file is wrong, and no invalid file may be accepted in part.
TEST(Experiment, TellsWhereAFileIsWrong) {
  const std::pair<const char*, const char*> bad[] = {
      {"name = \"x\"\nlasts = 5", "x:2: lasts:"},
      {"name = \"x\"\nlasts = \"5 parsecs\"", "x:2: lasts:"},
      {"name = \"x\"\n[fleet]\nnodes = 0", "x:3: fleet.nodes:"},
      {"name = \"x\"\n[fleet]\nnodes = 2.5", "x:3: fleet.nodes:"},
      {"name = \"x\"\n\n[feet]\nnodes = 2", "x:3: feet:"},
      {"name = \"x\"\n[[fault]]\nkind = \"meteor\"\nat = \"5s\"", "x:3: fault[0].kind:"},
      {"name = \"x\"\n[[fault]]\nkind = \"host-dies\"", "x:2: fault[0].at:"},
      {"name = \"x\"\n[[fault]]\nkind = \"host-dies\"\nat = \"1s\"\nwhere = \"s-99\"",
       "x:5: fault[0].where:"},
      {"name = \"x\"\n[[listener]]\nname = \"a\"\ndial_timeout = \"1ms\"", "x:4: listener[0].dial_timeout:"},
      {"name = \"x\"\nname = \"y\"", "x:2: file:"},
      {"[fleet]\nnodes = 1", "x:1: name:"},
      {"name = \"x\"\n[[link.pair]]\nbetween = [\"east\", \"moon\"]", "x:3: link.pair[0].between:"},
  };
  for (const auto& [text, where] : bad) {
    try {
      Experiment::from_text(text, "x");
      ADD_FAILURE() << "was read: " << text;
    } catch (const InputError& e) {
      EXPECT_EQ(std::string(e.what()).substr(0, std::string(where).size()), where) << e.what();
      EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos) << e.what();
    }
  }
  EXPECT_THROW(Experiment::from_text(kBuiltinExperiment, "x", "no-such-variant"), InputError);
  EXPECT_EQ(experiment("calm").variants.size(), 3u);
}

TEST(Lab, TheSameSeedIsTheSameRunToTheByte) {
  const Experiment e = experiment("mix");
  const RecordOptions keep{true, true};
  const RunResult one = run_virtual(e, 7, keep), two = run_virtual(e, 7, keep);
  ASSERT_FALSE(one.outcome.log.empty());
  EXPECT_EQ(one.outcome.log, two.outcome.log);
  EXPECT_EQ(one.node_log, two.node_log);
  EXPECT_NE(one.outcome.hash, run_virtual(e, 8).outcome.hash);
  // The same for any number of parallel runs.
  const auto hashes = [&](unsigned jobs) {
    std::vector<std::uint64_t> out;
    run_seeds(
        1, 6, jobs, [&](std::uint64_t seed) { return run_virtual(e, seed); },
        [&](RunResult&& ran) { return out.push_back(ran.outcome.hash), true; });
    return out;
  };
  EXPECT_EQ(hashes(1), hashes(4));
}

// Output and exit status of the tool.
std::pair<std::string, int> tool(const std::string& words) {
  FILE* const pipe = popen((std::string(FLINTWEIR_LAB_TOOL) + ' ' + words + " 2>&1").c_str(), "r");
  std::string out;
  char bytes[4096];
  for (std::size_t n; (n = std::fread(bytes, 1, sizeof bytes, pipe)) > 0;) out.append(bytes, n);
  const int status = pclose(pipe);
  return {out, WIFEXITED(status) ? WEXITSTATUS(status) : -1};
}

TEST(Tool, TellsTheSameOfASeedInEveryProcessAndOneLineOfAWrongFile) {
  const std::string mix = std::string(FLINTWEIR_EXPERIMENTS) + "/mix.toml";
  const auto hash = [&](const std::string& jobs) {
    const auto [text, status] = tool("run " + mix + " --alone --json --seeds 3..6 --jobs " + jobs);
    EXPECT_EQ(status, 0);
    return nlohmann::json::parse(text).at(0).at("hash").get<std::string>();
  };
  EXPECT_EQ(hash("1"), hash("8"));
  for (const char* words :
       {"run no/such/file.toml", "run --seeds 9..1",
        "compare " FLINTWEIR_EXPERIMENTS "/calm.toml --base no-such-variant", "report /no/such/folder"}) {
    const auto [text, status] = tool(words);
    EXPECT_EQ(status, 2) << words;
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text;
  }
}

// Each kind of fault over its first seeds, then the seeds that once broke a rule.
class Days : public testing::TestWithParam<const char*> {};
TEST_P(Days, KeepEveryRule) {
  const Experiment e = experiment(GetParam());
  run_seeds(
      1, FLINTWEIR_LAB_SEEDS, 4, [&](std::uint64_t seed) { return run_virtual(e, seed); },
      [&](RunResult&& ran) {
        EXPECT_EQ(broken(ran), "");
        EXPECT_GT(ran.outcome.tally.accepted, 0u);
        return true;
      });
}
INSTANTIATE_TEST_SUITE_P(Of, Days,
                         testing::Values("all_drop", "burst", "by_turns", "calm", "clients_leave", "groups",
                                         "hosts_die", "hosts_hang", "list_lies", "list_outages",
                                         "list_troubles", "lost_machines", "mix", "node_killed",
                                         "nodes_restart", "one_sided", "overload", "rolling_deploy",
                                         "rude_clients", "slow_way", "zone_cut"),
                         [](const auto& info) { return std::string(info.param); });

// A hundred nodes against the same load per host on a few nodes: guards against effects that arise only with
// many nodes.
class Crowds : public testing::TestWithParam<const char*> {};
TEST_P(Crowds, KeepEveryRule) {
  const std::string file = std::string(FLINTWEIR_EXPERIMENTS) + "/" + GetParam() + ".toml";
  const Experiment twin = Experiment::from_file(file, "twin");
  for (std::uint64_t seed = 1; seed <= FLINTWEIR_LAB_SEEDS; ++seed)
    EXPECT_EQ(broken(run_virtual(twin, seed)), "") << seed;
  if (FLINTWEIR_LAB_SEEDS < 2) return;  // too slow with sanitizers
  const RunResult large = run_virtual(Experiment::from_file(file), 1);
  EXPECT_EQ(broken(large), "");
  EXPECT_GT(large.outcome.tally.accepted, 1000u);
}
INSTANTIATE_TEST_SUITE_P(Of, Crowds, testing::Values("herd", "zone_back_cold", "join"),
                         [](const auto& info) { return std::string(info.param); });

struct Once {
  const char* day;
  std::uint64_t seed;
  const char* guards;
};
class OnceBroken : public testing::TestWithParam<Once> {};
TEST_P(OnceBroken, KeepsEveryRule) {
  EXPECT_EQ(broken(run_virtual(experiment(GetParam().day), GetParam().seed)), "") << GetParam().guards;
}
INSTANTIATE_TEST_SUITE_P(
    Seeds, OnceBroken,
    testing::Values(Once{"mix", 1, "an answer of which only a part was taken was never said in full"},
                    Once{"rolling_deploy", 5, "cold hosts' own load was left out of what the fleet takes"},
                    Once{"hosts_die", 5, "arrivals over loads that still grow made cold budgets too large"}));

TEST(Lab, BaselinesPlayTheSameDay) {
  Experiment e = Experiment::from_text(kBuiltinExperiment, "day");
  const std::uint64_t module = run_virtual(e, 1).outcome.hash;
  for (const char* name : {"random", "round-robin", "least-connections"}) {
    e.node.balancer = name;
    const RunResult ran = run_virtual(e, 1);
    EXPECT_EQ(ran.failed, "");
    EXPECT_NE(ran.outcome.hash, module);
    EXPECT_GT(ran.outcome.tally.accepted, 100u) << name;
  }
}

TEST(Lab, ResultsSurviveTheirFile) {
  const Experiment e = Experiment::from_text(kBuiltinExperiment, "day");
  RunSet set(e, "module", 1, 2);
  set.add(run_virtual(e, 1));
  set.add(run_virtual(e, 2));
  EXPECT_EQ(RunSet::from_json(set.to_json()).to_json(), set.to_json());
}

// Capacity tables: a one-line error for each mistake in the files, a fit that reports its deviation, and no
// extrapolation of a nonlinear slope.
TEST(CapacityPage, TellsWhereAFileIsWrongAndWhatBends) {
  const std::string folder =
      (std::filesystem::temp_directory_path() / ("flintweir-capacity-" + std::to_string(getpid()))).string();
  std::filesystem::create_directories(folder);
  const std::string slopes = folder + "/slopes.toml", size = folder + "/size.toml";
  const auto made = [&](const std::string& s, const std::string& z) {
    std::ofstream(slopes, std::ios::trunc) << s;
    std::ofstream(size, std::ios::trunc) << z;
    return Capacity(slopes, size).tables();
  };
  const std::string sizes = "nodes = 500\nbound = 50\nhosts = [10, 20]\n";
  const auto slope = [](const std::string& y) {
    return "[[slope]]\nname = \"a\"\nunit = \"us\"\nper = \"node\"\ngave = \"g\"\ncommand = \"c\"\n"
           "x = [10, 20, 30, 40]\ny = [" +
           y + "]\n";
  };
  const std::string row =
      "[[row]]\nstate = \"s\"\nrole = \"r\"\nwhat = \"w\"\nslope = \"a\"\ncount = \"nodes/10\"\n"
      "bound = \"bound\"\nmechanism = \"m\"\n";
  const std::string line = made(slope("1, 2, 3, 4") + row, sizes);
  EXPECT_NE(line.find("| r | w | 5 (1.25 times beyond the points) (a) | 50 | fits, 10% of it | m |"),
            line.npos)
      << line;
  EXPECT_NE(made(slope("1, 2, 4, 16") + row, sizes).find("bends: not worked out"), line.npos);
  for (const auto& [s, z, says] : std::vector<std::tuple<std::string, std::string, std::string>>{
           {slope("1, 2, 3, 4") + row, "nodes = 500\n", "hosts: is missing"},
           {slope("1, 2, 3, 4") + row, "nodes = \"many\"\nhosts = [1]\n", "nodes: is not a number"},
           {slope("1, 2, 3, 4") + row, "nodes = 0\nhosts = [1]\n", "nodes: is not above zero"},
           {slope("1, 2, 3, 4") + row, "nodes = 500\nhosts = [1]\n", "'bound' is neither a count"},
           {slope("1, 2, 3") + row, sizes, "has a different number of points than x"},
           {slope("1, 2, 3, -4") + row, sizes, "not a number of zero or more"},
           {row, sizes, "is not among the slopes"},
           {"[[slope]]\nname = \"a\"\n", sizes, "unit: is missing"},
           {"[[row]]\nstate = \"s\"\nrole = \"r\"\nwhat = \"w\"\n", sizes,
            "exactly one of slope, figure and value"},
           {"[slop]\n", sizes, "slop: is unknown"},
           {"", sizes, "row: at least one is required"},
           {"x = \n", sizes, "slopes.toml:1"}}) {
    try {
      made(s, z);
      ADD_FAILURE() << "taken: " << says;
    } catch (const InputError& e) {
      EXPECT_NE(std::string(e.what()).find(says), std::string::npos) << e.what();
      EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
    }
  }
  std::filesystem::remove_all(folder);
}

// Interrupts every exchange after each byte in turn with each event. Guards against failures that occur only
// between two lines: a dial for a client that has left, a reply lost at SIGTERM, a silent watch that is kept.
TEST(Crossings, KeepEveryRule) {
  const std::vector<Interleaving> all = all_interleavings();
  std::size_t played = 0;
  for (std::size_t i = 0; i<all.size(); i += FLINTWEIR_LAB_SEEDS> 1 ? 1 : 9, ++played)
    for (const std::string& what : run_interleaving(all[i])) ADD_FAILURE() << to_text(all[i]) << ": " << what;
  EXPECT_GT(played, 400u);
}

// The same models and rules against the real program, in real time.
TEST(Lab, TheRealProgramKeepsTheRulesOnLoopback) {
  Experiment e = Experiment::from_text(kBuiltinExperiment, "day");
  e.duration = 12s;
  e.fleet.hosts = 4;
  e.traffic.clients = 40;
  e.traffic.mean_load *= 0.8;
  e.traffic.mean_pause = 1s;
  e.faults.clear();
  e.faults.push_back({"host-hangs", 3s, {}, 2s, 0, 0, "", 0});
  e.faults.push_back({"node-killed", 5s, {}, 1s, 0, 0, "", 1});
  e.faults.push_back({"clients-drop", 8s, {}, 1s, 0.5, 0, "", 2});
  const auto folder =
      std::filesystem::temp_directory_path() / ("flintweir-lab-test-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  const RunResult ran = run_real(e, 1, {}, {FLINTWEIR_PROGRAM}, folder.string());
  std::filesystem::remove_all(folder);
  EXPECT_EQ(broken(ran), "");
  EXPECT_GT(ran.outcome.tally.accepted, 20u);
  e.faults[0].kind = "zone-cut";
  EXPECT_THROW(run_real(e, 1, {}, {FLINTWEIR_PROGRAM}, "/tmp"), InputError);
}

}  // namespace
}  // namespace flintweir::lab
