// The fleet's own view: its datagrams and the operator's file by themselves, the view by seed in virtual
// time, and several processes of the program with faults between them.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>
#include <thread>

#include "lab/fleet/rig.h"
#include "members/datagram.h"
#include "setup/operator.h"

namespace flintweir {
namespace {

using namespace std::chrono_literals;

// Counts what it hears, and takes in all of it.
struct Counting final : members::DatagramHandler {
  std::size_t words = 0, calls = 0, bytes = 0;
  void on_update(const members::Sender&, const members::MemberUpdate& w) override {
    ++words;
    for (const std::string_view t : {w.name, w.zone, w.version, w.metadata, w.reported_by}) bytes += t.size();
  }
  void on_ping(const members::Sender&, members::Nonce) override { ++calls; }
  void on_ack(const members::Sender&, members::Nonce) override { ++calls; }
  void on_nack(const members::Sender&, members::Nonce) override { ++calls; }
  void on_ping_request(const members::Sender&, members::Nonce, std::string_view, const Address&) override {
    ++calls;
  }
  void on_sync_digest(const members::Sender&, bool,
                      std::span<const std::uint64_t, members::kDigestBuckets>) override {
    ++calls;
  }
  void on_name_claim(const members::Sender&, Micros) override { ++calls; }
  void on_view_query(members::Nonce, std::string_view) override { ++calls; }
  void on_view_page(const members::Sender&, members::Nonce, bool) override { ++calls; }
};

std::string datagram(members::MessageKind kind, std::knuth_b& chance) {
  const Address at = *parse_address("127.0.0.1:7946");
  const members::Sender from{kind == members::MessageKind::view_query ? "" : "n1",
                             members::Generation{chance()}, at, chance(), 3};
  members::DatagramWriter w(kind, "lab", from, members::Nonce{chance()});
  const std::array<std::uint64_t, members::kDigestBuckets> digests{};
  if (kind == members::MessageKind::ping_request) w.ping_request("n2", at);
  if (kind == members::MessageKind::sync_digest) w.sync_digest(false, digests);
  if (kind == members::MessageKind::name_claim) w.name_claim(5s);
  if (kind == members::MessageKind::view_query) w.view_query("n2");
  if (kind == members::MessageKind::view_page) w.view_page(true);
  for (std::size_t i = chance() % 12; i > 0; --i)
    w.add({"n3", members::Generation{chance()}, 1, members::MemberState::suspected, at, "east", "1.0", "note",
           "n4"});
  return std::string(w.finish());
}

// Each kind comes back as it was said; one byte changed anywhere, or a byte less, and nothing of it is heard.
TEST(Datagrams, AreHeardWholeOrNotAtAll) {
  std::knuth_b chance(7);
  for (int round = 0; round < 2000; ++round) {
    const auto kind = static_cast<members::MessageKind>(1 + chance() % 9);
    const std::string good = datagram(kind, chance);
    ASSERT_LE(good.size(), members::kMaxDatagramBytes);
    Counting heard;
    ASSERT_EQ(decode(good, "lab", heard), members::DecodeError::none);
    EXPECT_EQ(heard.calls, kind == members::MessageKind::gossip ? 0u : 1u);
    if (kind != members::MessageKind::view_query) {
      EXPECT_EQ(decode(good, "other", heard), members::DecodeError::fleet);
    }
    std::string bad = good;
    if (chance() % 2)
      bad.resize(chance() % bad.size());
    else
      bad[chance() % bad.size()] ^= static_cast<char>(1 + chance() % 255);
    Counting silent;
    EXPECT_NE(decode(bad, "lab", silent), members::DecodeError::none);
    EXPECT_EQ(silent.calls + silent.words, 0u);
  }
}

// Rubbish behind a right checksum, as a careless peer would send: malformed ones are turned away, no field of
// what is heard is over its length. The sanitizers watch.
TEST(Datagrams, BearRubbishWithARightChecksum) {
  std::knuth_b chance(11);
  std::size_t heard_some = 0;
  for (int round = 0; round < 40000; ++round) {
    std::string bytes = datagram(static_cast<members::MessageKind>(1 + chance() % 9), chance);
    for (std::size_t n = chance() % 4; n > 0; --n)
      bytes[12 + chance() % (bytes.size() - 12)] = static_cast<char>(chance());
    if (chance() % 4 == 0) bytes.resize(12 + chance() % (bytes.size() - 12));
    members::write_checksum(bytes);
    Counting heard;
    heard_some += decode(bytes, "lab", heard) == members::DecodeError::none;
    EXPECT_LE(heard.words, 64u);
    EXPECT_LE(heard.bytes, heard.words * 400);
  }
  EXPECT_GT(heard_some, 100u);  // else nothing but the checksum was looked at
}

TEST(OperatorFile, IsTakenAsWritten) {
  std::vector<std::string> wrong;
  const auto file = setup::OperatorFile::parse(
      "[fleet]\nname = \"classroom\"\naddress = \"127.0.0.1:7946\"\nzone = \"east\"\ninterval = \"200ms\"\n"
      "seeds = [\"127.0.0.2:7946\", \"127.0.0.3:7946\"]\n",
      "f", wrong);
  ASSERT_TRUE(wrong.empty()) << wrong.front();
  ASSERT_TRUE(file.fleet);
  EXPECT_EQ(file.fleet->advertised, file.fleet->address);
  EXPECT_EQ(file.fleet->seeds.size(), 2u);
  EXPECT_EQ(file.fleet->probe_interval, 200ms);
  EXPECT_FALSE(setup::OperatorFile::parse("", "f", wrong).fleet);
}

// All faults at once, each with its place and what is allowed.
TEST(OperatorFile, SaysAllThatIsWrong) {
  std::vector<std::string> wrong;
  setup::OperatorFile::parse(
      "[fleet]\nname = \"a b\"\naddress = \"here\"\nseedz = []\ninterval = \"300\"\nmost = 0\n[other]\n", "f",
      wrong);
  std::sort(wrong.begin(), wrong.end());
  ASSERT_EQ(wrong.size(), 6u);
  const char* const begin[] = {"f:2:8: fleet.name: ",
                               "f:3:11: fleet.address: ",
                               "f:4:1: fleet.seedz: unknown; did you mean 'seeds'?",
                               "f:5:12: fleet.interval: has to be a time with its unit",
                               "f:6:8: fleet.most: ",
                               "f:7:2: other: unknown"};
  for (std::size_t i = 0; i < wrong.size(); ++i) EXPECT_TRUE(wrong[i].starts_with(begin[i])) << wrong[i];
  wrong.clear();
  setup::OperatorFile::parse("[fleet]\nname = \"a\"\nname = \"b\"\n", "f", wrong);
  ASSERT_EQ(wrong.size(), 1u);
  EXPECT_TRUE(wrong[0].starts_with("f:3:")) << wrong[0];
}

int status_of(const std::string& words) {
  return WEXITSTATUS(
      std::system((std::string(FLINTWEIR_PROGRAM) + ' ' + words + " >/dev/null 2>&1").c_str()));
}

TEST(Tool, TellsByItsStatus) {
  EXPECT_EQ(status_of("members --at 127.0.0.1:9"), 3);  // nobody answers there
  EXPECT_EQ(status_of("members"), 2);
  EXPECT_EQ(status_of("members --at here"), 2);
  const auto file =
      std::filesystem::temp_directory_path() / ("flintweir-operator-" + std::to_string(getpid()));
  for (const auto& [text, wanted] :
       {std::pair("", 0), {"[fleet]\nname = \"a\"\naddress = \"127.0.0.1:7946\"\n", 0}, {"[flet]\n", 1}}) {
    std::ofstream(file, std::ios::trunc) << text;
    EXPECT_EQ(status_of("check --operator " + file.string()), wanted) << text;
  }
  std::filesystem::remove(file);
  EXPECT_EQ(status_of("check --operator " + file.string()), 1);  // it is not there
}

std::string experiment() { return std::string(FLINTWEIR_EXPERIMENTS) + "/members.toml"; }

std::string text(const lab::RigOutcome& out) {
  std::string text;
  for (const std::string& t : out.troubles) text += t + ' ';
  for (const lab::RigBroken& b : out.broken)
    text +=
        std::string("\n") + name_of(b.rule) + " at " + std::to_string(b.at.count() / 1000) + " ms: " + b.what;
  return text;
}

// Every trouble of the mix by itself and by twos, in virtual time.
TEST(View, KeepsItsRulesBySeed) {
  const lab::RigPlan nine = lab::RigPlan::of_file(experiment()),
                     thirty = lab::RigPlan::of_file(experiment(), "thirty");
  for (std::uint64_t seed = 1; seed <= FLINTWEIR_LAB_SEEDS; ++seed) {
    const lab::RigOutcome out = lab::run_rig_virtual(seed % 10 ? nine : thirty, seed);
    EXPECT_TRUE(out.broken.empty()) << "seed " << seed << ": " << text(out);
    EXPECT_TRUE(out.joined);
    EXPECT_TRUE(out.settled);
  }
}

TEST(View, IsTheSameToTheByteForTheSameSeed) {
  const lab::RigPlan plan = lab::RigPlan::of_file(experiment());
  std::string logs[2];
  for (std::string& log : logs) lab::run_rig_virtual(plan, 5, "", &log);
  EXPECT_FALSE(logs[0].empty());
  EXPECT_EQ(logs[0], logs[1]);
}

// Nine processes of the program, one kind of trouble each, eight fleets at a time.
TEST(Processes, HoldOneViewOfWhoeverRuns) {
  const lab::RigPlan plan = lab::RigPlan::of_file(experiment(), "processes");
  const std::vector<std::string> kinds = {
      "crash-half", "crash-back", "moved",         "leave", "pause",   "halves",  "cut-flaps", "cut-moved",
      "deaf",       "loss-20",    "fails-returns", "slow",  "mangled", "rubbish", "reload",    "same-name"};
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  const auto folder =
      std::filesystem::temp_directory_path() / ("flintweir-members-" + std::to_string(getpid()));
  const auto work = [&] {
    for (std::size_t i; (i = next++) < kinds.size();) {
      const auto own = folder / kinds[i];
      std::filesystem::create_directories(own);
      const lab::RigOutcome out = lab::run_rig_real(plan, 3 + i, kinds[i], {FLINTWEIR_PROGRAM}, own.string());
      const std::lock_guard lock(mutex);
      EXPECT_TRUE(out.broken.empty()) << kinds[i] << ": " << text(out);
      EXPECT_TRUE(out.joined) << kinds[i];
      EXPECT_GT(out.looks, 100u) << kinds[i];
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < 8; ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace flintweir
