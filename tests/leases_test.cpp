// Leases: their datagrams, promises on disk with each single write and sync failing in turn, the decisions in
// every order, and several processes of the program with faults between them, judged by a ledger.
#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "lab/leases/lease_rig.h"
#include "lab/leases/lease_search.h"
#include "leases/candidate.h"
#include "leases/datagram.h"
#include "leases/voter.h"
#include "node/promise_store.h"
#include "setup/operator.h"

namespace flintweir {
namespace {

using namespace std::chrono_literals;
using namespace leases;

struct Counting final : DatagramHandler {
  std::size_t items = 0;
  void on_request(const Sender&, const Request&) override { ++items; }
  void on_reply(const Sender&, const Reply&) override { ++items; }
  void on_lease_status(const Sender&, const LeaseStatus&) override { ++items; }
};

// Each kind comes back as it was said; one byte changed, or a byte less, and nothing of it is heard.
TEST(LeaseDatagrams, AreHeardWholeOrNotAtAll) {
  std::knuth_b chance(7);
  const Sender from{chance(), "n1/17", *parse_address("127.0.0.1:7946")};
  for (int round = 0; round < 3000; ++round) {
    const auto kind = static_cast<DatagramWriter::Kind>(1 + chance() % 3);
    DatagramWriter w(kind, from);
    if (kind == DatagramWriter::Kind::status_page) w.set_last(chance() % 2);
    std::size_t items = chance() % 9, said = 0;
    for (; said < items; ++said) {
      const bool fits =
          kind == DatagramWriter::Kind::requests
              ? w.add(Request{RequestKind::grant, "job", {chance()}, {chance()}, 2s})
          : kind == DatagramWriter::Kind::replies
              ? w.add(Reply{ReplyKind::held, "job", {chance()}, {chance()}, {chance()}, "n2/9", 1s})
              : w.add(LeaseStatus{"job", "n2/9", {chance()}, 1s, 3});
      ASSERT_TRUE(fits);
    }
    const std::string good(w.finish());
    Counting heard, silent;
    ASSERT_TRUE(decode(good, heard));
    EXPECT_EQ(heard.items, said);
    std::string bad = good;
    if (chance() % 2)
      bad.resize(chance() % bad.size());
    else
      bad[chance() % bad.size()] ^= static_cast<char>(1 + chance() % 255);
    EXPECT_FALSE(decode(bad, silent));
    EXPECT_EQ(silent.items, 0u);
  }
}

// A disk of which the call of that number fails, or is the last one before a crash.
struct BadDisk final : node::Directory {
  std::map<std::string, std::string> files;
  int calls = 0, fails_at = -1;
  bool dies = false, dead = false;
  bool fails() {
    if (dead) return true;
    const bool now = calls++ == fails_at;
    dead = now && dies;
    return now;
  }
  bool write(const std::string& name, std::string_view bytes) override {
    if (fails()) {
      files[name] = bytes.substr(0, bytes.size() / 2);  // as far as it came
      return false;
    }
    files[name] = bytes;
    return true;
  }
  bool rename(const std::string& from, const std::string& to) override {
    if (fails()) return false;
    files[to] = files[from];
    files.erase(from);
    return true;
  }
  bool sync() override { return !fails(); }
  std::optional<std::string> read(const std::string& name) override { return files.at(name); }
  std::vector<std::string> file_names() override {
    std::vector<std::string> out;
    for (const auto& [name, text] : files) out.push_back(name);
    return out;
  }
};

// Guards against a vote that is answered and then forgotten, and against a promise found in part: each call
// of the disk fails in turn, with the process going on or ended there.
TEST(Promises, OutlastEachFailureOfTheDisk) {
  for (const bool dies : {false, true}) {
    for (int fails_at = 3; fails_at < 21; ++fails_at) {
      BadDisk disk;
      std::uint64_t answered = 0;
      {
        node::PromiseStore folder(disk, "n1");
        EXPECT_FALSE(folder.loaded());
        disk.fails_at = fails_at, disk.dies = dies;
        Voter voter(2s, Token{10}, 0s, &folder);
        for (std::uint64_t t = 11; t < 14; ++t) {
          if (voter.handle(3s, {RequestKind::prepare, "job", Token{t}, Round{1}, 2s}, "a") &&
              voter.handle(3s, {RequestKind::grant, "job", Token{t}, Round{1}, 2s}, "a"))
            answered = t;
        }
      }
      disk.dead = false, disk.fails_at = -1;
      node::PromiseStore again(disk, "n1");
      ASSERT_TRUE(again.loaded());
      Voter voter(2s, Token{0}, 0s, &again, again.loaded());
      // Whatever was granted still stands in the way of another, and tokens go on from there.
      const auto reply = voter.handle(1ms, {RequestKind::prepare, "job", Token{1000}, Round{1}, 2s}, "b");
      if (answered > 0) {
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->kind, ReplyKind::queued) << fails_at << ' ' << dies;
        EXPECT_GE(reply->highest_promised.value, answered);
      }
      EXPECT_THROW(node::PromiseStore(disk, "n2"), std::runtime_error);
    }
  }
}

struct Asked final : Candidate::Delegate {
  std::vector<Round> rounds;
  Token token;
  bool holds = false;
  void send_request(VoterIndex, const Request& r) override { rounds.push_back(r.round), token = r.token; }
  void set_timer(Micros, TimerId id) override { last = id; }
  void on_acquired(Token) override { holds = true; }
  void on_lost(Token, std::string_view) override { holds = false; }
  void on_waiting(std::string_view) override {}
  TimerId last;
};

// Guards against an answer to an earlier renewal that is counted from the later one's time: the voter's time
// runs from the earlier. Guards as well against an act that does not fit into what is left.
TEST(Holder, CountsOnlyAnswersToItsLastQuestion) {
  Asked asked;
  Candidate seeker(asked, "job", 3, 10s, Token{1}, 3);
  seeker.set_time(0s);
  seeker.acquire();
  const auto answer = [&](std::uint32_t voter, ReplyKind say, Round round) {
    seeker.on_reply(VoterIndex{voter}, {say, "job", asked.token, round, asked.token, {}, 0s});
  };
  for (const std::uint32_t v : {0u, 1u}) answer(v, ReplyKind::promised, asked.rounds.back());
  answer(0, ReplyKind::granted, asked.rounds.back());
  answer(0, ReplyKind::granted, asked.rounds.back());  // doubled: still one voter
  EXPECT_FALSE(asked.holds);
  answer(1, ReplyKind::granted, asked.rounds.back());
  ASSERT_TRUE(asked.holds);
  EXPECT_EQ(seeker.remaining(), usable_duration(10s));
  EXPECT_TRUE(seeker.begin_operation(9s));
  EXPECT_FALSE(seeker.begin_operation(usable_duration(10s) + 1us));
  seeker.set_time(4s);
  seeker.timer_expired(asked.last);
  const Round first = asked.rounds.back();
  seeker.set_time(8s);
  seeker.timer_expired(asked.last);
  ASSERT_NE(asked.rounds.back(), first);
  for (const std::uint32_t v : {0u, 1u}) answer(v, ReplyKind::granted, first);
  EXPECT_EQ(seeker.remaining(), usable_duration(10s) - 8s);
  seeker.set_time(10s);
  EXPECT_FALSE(asked.holds);
  EXPECT_FALSE(seeker.begin_operation(1us));
}

TEST(Search, FindsNoOrderInWhichTwoHold) {
  for (const bool folders : {false, true}) {
    lab::LeaseSearch of;
    of.folders = folders, of.held = true, of.restarts = 1, of.most_states = FLINTWEIR_LEASE_STATES;
    const lab::LeaseFound searched = search_leases(of),
                          walked = walk_leases(of, 1, FLINTWEIR_LEASE_STATES / 15, 400);
    EXPECT_FALSE(searched.broken) << *searched.broken;
    EXPECT_FALSE(walked.broken) << *walked.broken;
    EXPECT_GT(walked.grants, 200u);  // else nothing was at stake
  }
}

// The nodes' own code in virtual time, clocks at both ends of the bound.
TEST(LeasesBySeed, NeverActTwoAtOnce) {
  std::uint64_t acts = 0;
  for (std::uint64_t seed = 1; seed <= FLINTWEIR_LEASE_STATES / 100; ++seed) {
    const lab::LeaseRun out = lab::run_leases_virtual(seed, "");
    acts += out.acts;
    for (const std::string& b : out.broken)
      ADD_FAILURE() << "seed " << seed << ", " << out.trouble << ": " << b;
  }
  EXPECT_GT(acts, FLINTWEIR_LEASE_STATES / 100 * 50);
}

int status_of(const std::string& words) {
  return WEXITSTATUS(
      std::system((std::string(FLINTWEIR_PROGRAM) + ' ' + words + " >/dev/null 2>&1").c_str()));
}

TEST(LeaseTool, TellsByItsStatus) {
  const auto file = std::filesystem::temp_directory_path() / ("flintweir-leases-" + std::to_string(getpid()));
  const auto with = [&](const std::string& voters) {
    std::ofstream(file, std::ios::trunc)
        << "[fleet]\nname = \"a\"\naddress = \"127.0.0.1:9\"\n[leases]\nvoters = " << voters << '\n';
    return " --operator " + file.string();
  };
  EXPECT_EQ(status_of("check" + with("[\"n1\", \"n2\", \"n3\"]")), 0);
  EXPECT_EQ(status_of("check" + with("[\"n1\", \"n2\"]")), 1);          // an even number
  EXPECT_EQ(status_of("check" + with("[\"n1\", \"n1\", \"n2\"]")), 1);  // one twice
  EXPECT_EQ(status_of("lease list" + with("[\"n1\"]")), 3);             // nobody answers
  EXPECT_EQ(status_of("lease hold job" + with("[\"n1\"]")), 2);
  EXPECT_EQ(status_of("lease list"), 2);
  std::filesystem::remove(file);
}

// Five voters and four would-be holders each, one kind of trouble, eight rigs at a time.
TEST(LeaseProcesses, NeverActTwoAtOnce) {
  const auto& kinds = lab::lease_troubles();
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  const auto folder =
      std::filesystem::temp_directory_path() / ("flintweir-leases-rig-" + std::to_string(getpid()));
  const auto work = [&] {
    for (std::size_t i; (i = next++) < kinds.size();) {
      const auto own = folder / kinds[i];
      std::filesystem::create_directories(own);
      const lab::LeaseRun out =
          lab::run_leases(5 + i, kinds[i], {FLINTWEIR_PROGRAM}, FLINTWEIR_LAB_TOOL, own.string());
      const std::lock_guard lock(mutex);
      for (const std::string& b : out.broken) ADD_FAILURE() << kinds[i] << ": " << b;
      EXPECT_GT(out.acts, 20u) << kinds[i];
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < 8; ++i) threads.emplace_back(work);
  for (std::thread& t : threads) t.join();
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace flintweir
