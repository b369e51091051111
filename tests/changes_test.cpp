// Changes of configuration: datagrams, the text, the stored file, replication in fleets with faults
// (simulated by seed and with real processes), and the command.
#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>
#include <thread>

#include "changes/replicator.h"
#include "lab/fleet/change_experiment.h"
#include "node/change_distributor.h"
#include "setup/config_change.h"

namespace flintweir::test {
namespace {

using namespace std::chrono_literals;
using namespace changes;

const Address kAddress = *parse_address("127.0.0.1:7946");
const Sender kSelf{"fleet", "n1", kAddress};

struct MessageRecorder final : MessageHandler {
  void on_have(const Sender& from, const HeldChanges& changes) override {
    name = from.name, held = changes, ++calls;
  }
  void on_want(const Sender&, const ChangeId& change, std::uint32_t wanted) override {
    id = change, parts = wanted, ++calls;
  }
  void on_part(const Sender&, const ChangeId& change, std::uint32_t part, std::string_view data) override {
    id = change, parts = part, bytes = data, ++calls;
  }
  void on_query(const Sender&, std::uint64_t n) override { nonce = n, ++calls; }
  void on_status(const Sender&, std::uint64_t n, const Status& s) override { nonce = n, status = s, ++calls; }
  std::string name, bytes;
  HeldChanges held;
  ChangeId id;
  std::uint32_t parts = 0;
  std::uint64_t nonce = 0;
  Status status;
  int calls = 0;
};

// Guards against truncated or corrupted datagrams that are decoded in part.
TEST(ChangeDatagrams, AreDecodedCompletelyOrNotAtAll) {
  const ChangeId a{ChangeNumber{7}, 99, 4096}, b{ChangeNumber{5}, 98, 0};
  const std::string full_part(kPartBytes, 'x'), name(64, 'n');
  const Sender long_name{name, name, kAddress};
  const std::vector<std::string> all = {
      encode_have(kSelf, {a, b}), encode_want(kSelf, a, 31), encode_part(long_name, a, 4, full_part),
      encode_query(kSelf, 1ull << 60), encode_status(kSelf, 3, {{a, b}, std::string(200, 'w')})};
  for (const std::string& datagram : all) {
    ASSERT_LE(datagram.size(), kMaxDatagramBytes);
    MessageRecorder whole;
    EXPECT_TRUE(decode(datagram, "", whole));
    EXPECT_EQ(whole.calls, 1);
    for (std::size_t cut = 0; cut < datagram.size(); ++cut) {
      MessageRecorder part;
      EXPECT_FALSE(decode(std::string_view(datagram).substr(0, cut), "", part));
      EXPECT_EQ(part.calls, 0);
    }
    for (std::size_t at = 0; at < datagram.size(); ++at) {  // with a bit of any byte flipped
      std::string corrupted = datagram;
      corrupted[at] = static_cast<char>(corrupted[at] ^ 0x20);
      MessageRecorder none;
      EXPECT_FALSE(decode(corrupted, "", none)) << at;
      EXPECT_EQ(none.calls, 0);
    }
  }
  MessageRecorder recorder;
  EXPECT_TRUE(decode(all[0], "fleet", recorder));
  EXPECT_EQ(recorder.held, (HeldChanges{a, b}));
  EXPECT_FALSE(decode(all[0], "another", recorder));
  EXPECT_TRUE(decode(all[4], "fleet", recorder));
  EXPECT_EQ(recorder.status.reason.size(), 200u);
  // An impossible state: a change in force that is newer than the newest one.
  EXPECT_FALSE(decode(encode_have(kSelf, {b, a}), "fleet", recorder));
}

// The keys that may change while nodes run, and one error line for each invalid key or value.
TEST(ConfigChange, ReportsEachError) {
  std::vector<std::string> errors;
  const auto valid = setup::ConfigChange::parse(
      "discovery = \"127.0.0.1:1\"\n[listener.chat]\nhandshake_target = \"300ms\"\nutility = 2\n[ceilings]\n"
      "most_dials = 3\n[prices]\nprobe = 0.1\ncrossing = 0\n",
      "f", errors);
  EXPECT_TRUE(errors.empty()) << errors.front();
  EXPECT_EQ(valid.listeners.at("chat").handshake_target, 300ms);
  EXPECT_EQ(valid.max_dials, 3u);
  EXPECT_EQ(valid.crossing, 0.0);
  for (const auto& [text, expected] : std::vector<std::pair<const char*, const char*>>{
           {"discovery = 5\n", "f:1:13: change.discovery"},
           {"discovery = \"host:1\"\n", "numeric address"},
           {"listen = \"127.0.0.1:1\"\n", "can't change while nodes run"},
           {"[listener.chat]\neffect = \"once\"\n", "f:2:10: listener.chat.effect: can't change"},
           {"[listener.chat]\nutilty = 1\n", "did you mean 'utility'"},
           {"[listener.chat]\nutility = \"much\"\n", "has to be a number"},
           {"[listener.chat]\nutility = nan\n", "has to be a number"},
           {"[listener.chat]\nhandshake_target = \"0ms\"\n", "has to be a time"},
           {"[listener]\nchat = 1\n", "listener.chat: has to be a section"},
           {"[ceilings]\nmost_dials = 0\n", "from 1 to 64"},
           {"[ceilings]\nprobes = false\n", "can't change while nodes run"},
           {"ceilings = 1\n", "has to be a section"},
           {"[prize]\nprobe = 1\n", "did you mean 'prices'"},
           {"[prices]\nprobe = -1\n", "has to be a number"},
           {"a = \n", "f:1:"},
       }) {
    errors.clear();
    setup::ConfigChange::parse(text, "f", errors);
    ASSERT_EQ(errors.size(), 1u) << text;
    EXPECT_NE(errors[0].find(expected), std::string::npos) << errors[0];
  }
  // Changes that are valid, but not for this node.
  setup::RuntimeSettings own;
  own.listeners = {Listener{500ms, 1s, Effect::repeatable, DedupScope::all, 1s, 1}};
  own.dials.max_dials = 2;
  for (const auto& [text, expected] : std::vector<std::pair<const char*, const char*>>{
           {"[listener.video]\nutility = 1\n", "no such listener"},
           {"[listener.chat]\nhandshake_target = \"1001ms\"\n", "over its dial timeout"},
           {"[prices]\nprobe = 1\n", "may not be probed"}}) {
    errors.clear();
    const auto change = setup::ConfigChange::parse(text, "f", errors);
    setup::apply_change(own, {"chat"}, change, errors);
    ASSERT_EQ(errors.size(), 1u) << text;
    EXPECT_NE(errors[0].find(expected), std::string::npos) << errors[0];
  }
  // An empty text restores the settings of the node's file.
  errors.clear();
  const auto restored =
      setup::apply_change(own, {"chat"}, setup::ConfigChange::parse("", "f", errors), errors);
  EXPECT_TRUE(errors.empty());
  EXPECT_EQ(restored.dials.max_dials, 2u);
}

// Guards against a truncated or corrupted file that is loaded at the next start.
TEST(StoredChange, IsLoadedOnlyIfIntact) {
  const Change change{ChangeNumber{12}, "[prices]\ncrossing = 1\n"};
  const std::string text = node::encode_change_file(change);
  const auto loaded = node::decode_change_file(text);
  ASSERT_TRUE(loaded);
  EXPECT_EQ(change_id(*loaded), change_id(change));
  for (std::size_t cut = 0; cut < text.size(); ++cut)
    EXPECT_FALSE(node::decode_change_file(text.substr(0, cut))) << cut;
  std::string corrupted = text;
  corrupted.back() = ' ';
  EXPECT_FALSE(node::decode_change_file(corrupted));
  EXPECT_FALSE(node::decode_change_file("flintweir-change 2 1 1\n"));
}

// One replicator, whose peers are played by the test.
struct ReplicatorFixture final : changes::ReplicatorDelegate {
  explicit ReplicatorFixture() : replicator(*this, "fleet", "n1", kAddress, 7) { replicator.set_time(1s); }
  void send(const Address&, std::string_view bytes) override { sent.emplace_back(bytes); }
  void set_timer(Micros, TimerId) override {}
  void sample_members(std::size_t, std::size_t, std::vector<Address>& to) override { to.push_back(kAddress); }
  std::string apply(const Change& change) override {
    if (change.text.starts_with("bad")) return "does not fit";
    applied.push_back(change.number.value);
    return {};
  }
  void persist(const Change& change, bool in_force) override {
    (in_force ? stored : stored_refused) = change.number.value;
  }
  void on_status_change(const Status&, std::string_view) override {}
  // Another member announces a change, and sends all parts of it.
  void receive(std::uint64_t number, const std::string& text) {
    const Change change{ChangeNumber{number}, text};
    replicator.on_datagram(kAddress, encode_have(kPeer, {change_id(change), change_id(change)}));
    for (std::uint32_t i = 0; i < 5; ++i)
      if (i * kPartBytes < std::max<std::size_t>(text.size(), 1))
        replicator.on_datagram(kAddress,
                               encode_part(kPeer, change_id(change), i,
                                           std::string_view(text).substr(i * kPartBytes, kPartBytes)));
  }
  const Sender kPeer{"fleet", "n2", kAddress};
  std::vector<std::string> sent;
  std::vector<std::uint64_t> applied;
  std::uint64_t stored = 0, stored_refused = 0;
  Replicator replicator;
};

TEST(Replicator, AppliesOnlyNewerCompleteAndValidChanges) {
  ReplicatorFixture fixture;
  fixture.replicator.start({}, {kAddress});
  fixture.receive(5, std::string(3000, '#'));
  fixture.receive(4, "older");
  fixture.receive(5, std::string(3000, '#'));
  EXPECT_EQ(fixture.applied, (std::vector<std::uint64_t>{5}));
  // A refused change is held and announced, but not in force; a later valid one is.
  fixture.receive(6, "bad");
  EXPECT_EQ(fixture.replicator.status().held.newest.number.value, 6u);
  EXPECT_EQ(fixture.replicator.status().held.in_force.number.value, 5u);
  EXPECT_EQ(fixture.replicator.status().reason, "does not fit");
  EXPECT_EQ(fixture.stored_refused, 6u);
  fixture.receive(7, "");
  EXPECT_EQ(fixture.applied, (std::vector<std::uint64_t>{5, 7}));
  EXPECT_EQ(fixture.replicator.status().reason, "");
  // Parts of different texts with the same number are not put together.
  const Change change{ChangeNumber{8}, std::string(1000, 'a')};
  fixture.replicator.on_datagram(kAddress,
                                 encode_have(fixture.kPeer, {change_id(change), change_id(change)}));
  fixture.replicator.on_datagram(
      kAddress, encode_part(fixture.kPeer, change_id(change), 0, std::string(kPartBytes, 'b')));
  fixture.replicator.on_datagram(kAddress,
                                 encode_part(fixture.kPeer, change_id(change), 1, std::string(100, 'a')));
  EXPECT_EQ(fixture.replicator.status().held.newest.number.value, 7u);
}

// Guards against a node that starts after a change which it and its peers refuse: it ran on its own file
// alone, while its peers ran on the previous change.
TEST(Replicator, FetchesTheChangeInForceWhenItRefusesTheNewest) {
  ReplicatorFixture fixture;
  fixture.replicator.start({}, {kAddress});
  fixture.receive(9, "bad");
  const Change previous{ChangeNumber{8}, "good"}, newest{ChangeNumber{9}, "bad"};
  fixture.replicator.on_datagram(kAddress,
                                 encode_have(fixture.kPeer, {change_id(newest), change_id(previous)}));
  fixture.replicator.on_datagram(kAddress, encode_part(fixture.kPeer, change_id(previous), 0, "good"));
  EXPECT_EQ(fixture.applied, (std::vector<std::uint64_t>{8}));
  EXPECT_EQ(fixture.replicator.status().held.newest.number.value, 9u);
  EXPECT_EQ(fixture.replicator.status().held.in_force.number.value, 8u);
  // The same from the stored changes at the next start.
  ReplicatorFixture restarted;
  restarted.replicator.start({previous, newest}, {kAddress});
  EXPECT_EQ(restarted.replicator.status().held, fixture.replicator.status().held);
}

TEST(SimulatedChanges, KeepEveryRule) {
  const lab::ChangeExperimentPlan plan;
  std::mutex mutex;
  std::atomic<std::uint64_t> next{1};
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t)
    threads.emplace_back([&] {
      for (std::uint64_t seed; (seed = next++) <= FLINTWEIR_LAB_SEEDS * 10;) {
        const auto out = run_changes_virtual(plan, seed);
        const std::lock_guard lock(mutex);
        for (const auto& b : out.violations)
          ADD_FAILURE() << seed << ' ' << out.fault << ' ' << b.rule << ": " << b.description;
        EXPECT_GT(out.observations, 100u);
        EXPECT_GE(out.propagation_ms.size(), 2u) << seed << ' ' << out.fault;
      }
    });
  for (std::thread& t : threads) t.join();
}

// Twelve fixed seeds, each with nine processes of the real program and one kind of fault between them.
TEST(ChangeProcesses, KeepEveryRule) {
  lab::ChangeExperimentPlan plan;
  plan.join_time = 3s;
  plan.fault_duration = 3s;
  constexpr const char* troubles[] = {"calm",  "crash",       "restart",     "restart-all",
                                      "cut",   "cut-one-way", "loss",        "mangled",
                                      "pause", "refused",     "two-at-once", "older-again"};
  std::mutex mutex;
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t)
    threads.emplace_back([&] {
      for (std::size_t n; (n = next++) < std::size(troubles);) {
        const auto folder = std::filesystem::temp_directory_path() /
                            ("flintweir-changes-" + std::to_string(getpid()) + "-" + std::to_string(n));
        std::filesystem::create_directories(folder);
        const auto out =
            run_changes_loopback(plan, 100 + n, troubles[n], {FLINTWEIR_PROGRAM}, folder.string());
        std::filesystem::remove_all(folder);
        const std::lock_guard lock(mutex);
        for (const auto& b : out.violations)
          ADD_FAILURE() << troubles[n] << ' ' << b.rule << ": " << b.description;
        EXPECT_GT(out.observations, 100u);
      }
    });
  for (std::thread& t : threads) t.join();
}

int exit_status(const std::string& arguments) {
  return WEXITSTATUS(
      std::system((std::string(FLINTWEIR_PROGRAM) + ' ' + arguments + " >/dev/null 2>&1").c_str()));
}

TEST(ChangeCommand, ReportsByItsExitStatus) {
  const std::string folder =
      (std::filesystem::temp_directory_path() / ("flintweir-change-tool-" + std::to_string(getpid())))
          .string();
  std::filesystem::create_directories(folder);
  const std::string at = "127." + std::to_string(100 + getpid() % 100) + ".77.1:7946";
  std::ofstream(folder + "/own.toml") << "[fleet]\nname = \"f\"\naddress = \"" << at << "\"\n[changes]\n";
  std::ofstream(folder + "/none.toml") << "[fleet]\nname = \"f\"\naddress = \"" << at << "\"\n";
  std::ofstream(folder + "/good.toml") << "[prices]\ncrossing = 1\n";
  std::ofstream(folder + "/wrong.toml") << "[prices]\ncrossing = \"x\"\n";
  unsetenv("FLINTWEIR_TOKEN");
  EXPECT_EQ(exit_status("change"), 2);
  EXPECT_EQ(exit_status("change show"), 2);
  EXPECT_EQ(exit_status("change show --at nowhere"), 2);
  EXPECT_EQ(exit_status("change show --at " + at), 3);
  EXPECT_EQ(exit_status("change put " + folder + "/good.toml --operator " + folder + "/own.toml"), 2);
  setenv("FLINTWEIR_TOKEN", "7", 1);
  EXPECT_EQ(exit_status("change put " + folder + "/good.toml --operator " + folder + "/none.toml"), 2);
  EXPECT_EQ(exit_status("change put " + folder + "/wrong.toml --operator " + folder + "/own.toml"), 1);
  EXPECT_EQ(exit_status("change put " + folder + "/absent.toml --operator " + folder + "/own.toml"), 1);
  unsetenv("FLINTWEIR_TOKEN");
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace flintweir::test
