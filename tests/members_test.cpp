// Membership: the datagrams, the operator's file, the view in virtual time with random faults by seed, and
// several processes of the program with network faults between them.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>
#include <thread>

#include "lab/fleet/membership_experiment.h"
#include "members/datagram.h"
#include "setup/operator.h"

namespace flintweir {
namespace {

using namespace std::chrono_literals;

// Counts calls, updates and the bytes of their texts.
struct CountingHandler final : members::DatagramHandler {
  std::size_t updates = 0, calls = 0, bytes = 0;
  void on_update(const members::Sender&, const members::MemberUpdate& update) override {
    ++updates;
    for (const std::string_view field :
         {update.name, update.zone, update.version, update.metadata, update.reported_by})
      bytes += field.size();
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

std::string random_datagram(members::MessageKind kind, std::knuth_b& rng) {
  const Address address = *parse_address("127.0.0.1:7946");
  const members::Sender from{kind == members::MessageKind::view_query ? "" : "n1", members::Generation{rng()},
                             address, rng(), 3};
  members::DatagramWriter writer(kind, "lab", from, members::Nonce{rng()});
  const std::array<std::uint64_t, members::kDigestBuckets> digests{};
  if (kind == members::MessageKind::ping_request) writer.ping_request("n2", address);
  if (kind == members::MessageKind::sync_digest) writer.sync_digest(false, digests);
  if (kind == members::MessageKind::name_claim) writer.name_claim(5s);
  if (kind == members::MessageKind::view_query) writer.view_query("n2");
  if (kind == members::MessageKind::view_page) writer.view_page(true);
  for (std::size_t i = rng() % 12; i > 0; --i)
    writer.add({"n3", members::Generation{rng()}, 1, members::MemberState::suspected, address, "east", "1.0",
                "note", "n4"});
  return std::string(writer.finish());
}

// Guards against decoding part of a damaged datagram: each kind decodes, but once a byte is changed or the
// end is cut off, the handler must not be called at all.
TEST(Datagrams, AreDecodedCompletelyOrNotAtAll) {
  std::knuth_b rng(7);
  for (int round = 0; round < 2000; ++round) {
    const auto kind = static_cast<members::MessageKind>(1 + rng() % 9);
    const std::string good = random_datagram(kind, rng);
    ASSERT_LE(good.size(), members::kMaxDatagramBytes);
    CountingHandler accepted;
    ASSERT_EQ(decode(good, "lab", accepted), members::DecodeError::none);
    EXPECT_EQ(accepted.calls, kind == members::MessageKind::gossip ? 0u : 1u);
    if (kind != members::MessageKind::view_query) {
      EXPECT_EQ(decode(good, "other", accepted), members::DecodeError::fleet);
    }
    std::string bad = good;
    if (rng() % 2)
      bad.resize(rng() % bad.size());
    else
      bad[rng() % bad.size()] ^= static_cast<char>(1 + rng() % 255);
    CountingHandler rejected;
    EXPECT_NE(decode(bad, "lab", rejected), members::DecodeError::none);
    EXPECT_EQ(rejected.calls + rejected.updates, 0u);
  }
}

// Random bytes with a valid checksum, as a faulty peer may send them: they must be rejected or decoded within
// the limits of each field. Memory errors are left to the sanitizers.
TEST(Datagrams, SurviveRandomBytesWithAValidChecksum) {
  std::knuth_b rng(11);
  std::size_t accepted_count = 0;
  for (int round = 0; round < 40000; ++round) {
    std::string bytes = random_datagram(static_cast<members::MessageKind>(1 + rng() % 9), rng);
    for (std::size_t n = rng() % 4; n > 0; --n)
      bytes[12 + rng() % (bytes.size() - 12)] = static_cast<char>(rng());
    if (rng() % 4 == 0) bytes.resize(12 + rng() % (bytes.size() - 12));
    members::write_checksum(bytes);
    CountingHandler accepted;
    accepted_count += decode(bytes, "lab", accepted) == members::DecodeError::none;
    EXPECT_LE(accepted.updates, 64u);
    EXPECT_LE(accepted.bytes, accepted.updates * 400);
  }
  EXPECT_GT(accepted_count, 100u);  // otherwise only the checksum has been tested
}

TEST(OperatorFile, IsParsed) {
  std::vector<std::string> errors;
  const auto file = setup::OperatorFile::parse(
      "[fleet]\nname = \"classroom\"\naddress = \"127.0.0.1:7946\"\nzone = \"east\"\ninterval = \"200ms\"\n"
      "seeds = [\"127.0.0.2:7946\", \"127.0.0.3:7946\"]\n",
      "f", errors);
  ASSERT_TRUE(errors.empty()) << errors.front();
  ASSERT_TRUE(file.fleet);
  EXPECT_EQ(file.fleet->advertised, file.fleet->address);
  EXPECT_EQ(file.fleet->seeds.size(), 2u);
  EXPECT_EQ(file.fleet->probe_interval, 200ms);
  EXPECT_FALSE(setup::OperatorFile::parse("", "f", errors).fleet);
}

// All errors are reported at once, each with its position and what is allowed.
TEST(OperatorFile, ReportsAllErrors) {
  std::vector<std::string> errors;
  setup::OperatorFile::parse(
      "[fleet]\nname = \"a b\"\naddress = \"here\"\nseedz = []\ninterval = \"300\"\nmost = 0\n[other]\n", "f",
      errors);
  std::sort(errors.begin(), errors.end());
  ASSERT_EQ(errors.size(), 6u);
  const char* const expected[] = {"f:2:8: fleet.name: ",
                                  "f:3:11: fleet.address: ",
                                  "f:4:1: fleet.seedz: unknown; did you mean 'seeds'?",
                                  "f:5:12: fleet.interval: has to be a time with its unit",
                                  "f:6:8: fleet.most: ",
                                  "f:7:2: other: unknown"};
  for (std::size_t i = 0; i < errors.size(); ++i)
    EXPECT_TRUE(errors[i].starts_with(expected[i])) << errors[i];
  errors.clear();
  setup::OperatorFile::parse("[fleet]\nname = \"a\"\nname = \"b\"\n", "f", errors);
  ASSERT_EQ(errors.size(), 1u);
  EXPECT_TRUE(errors[0].starts_with("f:3:")) << errors[0];
}

int exit_status(const std::string& arguments) {
  return WEXITSTATUS(
      std::system((std::string(FLINTWEIR_PROGRAM) + ' ' + arguments + " >/dev/null 2>&1").c_str()));
}

TEST(Tool, ReportsByExitStatus) {
  EXPECT_EQ(exit_status("members --at 127.0.0.1:9"), 3);  // no reply
  EXPECT_EQ(exit_status("members"), 2);
  EXPECT_EQ(exit_status("members --at here"), 2);
  const auto file =
      std::filesystem::temp_directory_path() / ("flintweir-operator-" + std::to_string(getpid()));
  for (const auto& [text, expected] :
       {std::pair("", 0), {"[fleet]\nname = \"a\"\naddress = \"127.0.0.1:7946\"\n", 0}, {"[flet]\n", 1}}) {
    std::ofstream(file, std::ios::trunc) << text;
    EXPECT_EQ(exit_status("check --operator " + file.string()), expected) << text;
  }
  std::filesystem::remove(file);
  EXPECT_EQ(exit_status("check --operator " + file.string()), 1);  // missing file
}

std::string experiment() { return std::string(FLINTWEIR_EXPERIMENTS) + "/members.toml"; }

std::string describe(const lab::MembershipResult& outcome) {
  std::string text;
  for (const std::string& t : outcome.faults) text += t + ' ';
  for (const lab::MembershipViolation& b : outcome.violations)
    text += std::string("\n") + name_of(b.rule) + " at " + std::to_string(b.at.count() / 1000) +
            " ms: " + b.description;
  return text;
}

// Every fault of the experiment, alone and in pairs, in virtual time.
TEST(View, ObeysItsRulesForEverySeed) {
  const lab::MembershipPlan nine_nodes = lab::MembershipPlan::from_file(experiment()),
                            thirty_nodes = lab::MembershipPlan::from_file(experiment(), "thirty");
  for (std::uint64_t seed = 1; seed <= FLINTWEIR_LAB_SEEDS; ++seed) {
    const lab::MembershipResult outcome =
        lab::run_membership_virtual(seed % 10 ? nine_nodes : thirty_nodes, seed);
    EXPECT_TRUE(outcome.violations.empty()) << "seed " << seed << ": " << describe(outcome);
    EXPECT_TRUE(outcome.converged_ms);
    EXPECT_TRUE(outcome.reconverged_ms);
  }
}

TEST(View, IsDeterministicForASeed) {
  const lab::MembershipPlan plan = lab::MembershipPlan::from_file(experiment());
  std::string logs[2];
  for (std::string& log : logs) lab::run_membership_virtual(plan, 5, "", &log);
  EXPECT_FALSE(logs[0].empty());
  EXPECT_EQ(logs[0], logs[1]);
}

// Nine processes of the program with one kind of fault at a time; eight fleets run in parallel.
TEST(Processes, AgreeOnTheRunningMembers) {
  const lab::MembershipPlan plan = lab::MembershipPlan::from_file(experiment(), "processes");
  const std::vector<std::string> kinds = {
      "crash-half", "crash-back", "moved",         "leave", "pause",   "halves",  "cut-flaps", "cut-moved",
      "deaf",       "loss-20",    "fails-returns", "slow",  "mangled", "rubbish", "reload",    "same-name"};
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  const auto folder =
      std::filesystem::temp_directory_path() / ("flintweir-members-" + std::to_string(getpid()));
  const auto worker = [&] {
    for (std::size_t i; (i = next++) < kinds.size();) {
      const auto case_folder = folder / kinds[i];
      std::filesystem::create_directories(case_folder);
      const lab::MembershipResult outcome =
          lab::run_membership_loopback(plan, 3 + i, kinds[i], {FLINTWEIR_PROGRAM}, case_folder.string());
      const std::lock_guard lock(mutex);
      EXPECT_TRUE(outcome.violations.empty()) << kinds[i] << ": " << describe(outcome);
      EXPECT_TRUE(outcome.converged_ms) << kinds[i];
      EXPECT_GT(outcome.observations, 100u) << kinds[i];
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < 8; ++i) threads.emplace_back(worker);
  for (std::thread& t : threads) t.join();
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace flintweir
