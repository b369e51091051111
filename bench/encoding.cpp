// What a thousand members cost on the wire and in time: MessagePack as the datagrams have it, beside the same
// fields as CBOR by nlohmann-json. Ratios within one run; docs/results.md keeps them.
#include <benchmark/benchmark.h>

#include <nlohmann/json.hpp>

#include "members/datagram.h"

namespace {

using namespace flintweir;

constexpr int kMembers = 1000;
const Address kAt = *parse_address("127.0.0.1:7946");
const members::Sender kFrom{"node-0001", members::Generation{1'700'000'000'000'000}, kAt, 0x1234567890abcdef,
                            1000};

std::string name_of(int i) { return "node-" + std::to_string(1000 + i); }

struct Hearing final : members::DatagramHandler {
  std::size_t words = 0;
  void on_update(const members::Sender&, const members::MemberUpdate&) override { ++words; }
};

std::vector<std::string> packed() {
  std::vector<std::string> out;
  for (int i = 0; i < kMembers;) {
    members::DatagramWriter w(members::MessageKind::sync_updates, "fleet", kFrom, members::Nonce{1});
    for (; i < kMembers; ++i) {
      const std::string name = name_of(i);
      if (!w.add({name, members::Generation{1'700'000'000'000'000ull + static_cast<std::uint64_t>(i)}, 3,
                  members::MemberState::alive, kAt, "east", "0.14.0", "", name}))
        break;
    }
    out.emplace_back(w.finish());
  }
  return out;
}

std::vector<std::vector<std::uint8_t>> cbor() {
  std::vector<std::vector<std::uint8_t>> out;
  const auto place = nlohmann::json::binary({127, 0, 0, 1, 0x1f, 0x0a});
  for (int i = 0; i < kMembers;) {
    nlohmann::json all = nlohmann::json::array({nlohmann::json::array(
        {"fleet", "node-0001", 1'700'000'000'000'000, place, 0x1234567890abcdef, 1000, 1})});
    std::size_t bytes = 64;  // head and what stands before the words
    for (; i < kMembers; ++i) {
      const std::string name = name_of(i);
      nlohmann::json word = nlohmann::json::array(
          {name, 1'700'000'000'000'000 + i, 3, 1, place, "east", "0.14.0", nlohmann::json::binary({}), name});
      bytes += nlohmann::json::to_cbor(word).size();
      if (bytes > members::kMaxDatagramBytes) break;
      all.push_back(std::move(word));
    }
    out.push_back(nlohmann::json::to_cbor(all));
  }
  return out;
}

template <class All>
double bytes_each(const All& all) {
  std::size_t sum = 0;
  for (const auto& d : all) sum += d.size();
  return static_cast<double>(sum) / kMembers;
}

void MessagePackWrites(benchmark::State& state) {
  for (auto _ : state) benchmark::DoNotOptimize(packed());
  state.counters["bytes_a_member"] = bytes_each(packed());
}
void CborWrites(benchmark::State& state) {
  for (auto _ : state) benchmark::DoNotOptimize(cbor());
  state.counters["bytes_a_member"] = bytes_each(cbor());
}
void MessagePackReads(benchmark::State& state) {
  const auto all = packed();
  Hearing hearing;
  for (auto _ : state)
    for (const std::string& d : all)
      if (decode(d, "fleet", hearing) != members::DecodeError::none) state.SkipWithError("not read");
  if (std::int64_t(hearing.words) != state.iterations() * kMembers) state.SkipWithError("words are missing");
}
void CborReads(benchmark::State& state) {
  const auto all = cbor();
  std::size_t words = 0;
  for (auto _ : state)
    for (const auto& d : all) words += nlohmann::json::from_cbor(d).size() - 1;
  if (std::int64_t(words) != state.iterations() * kMembers) state.SkipWithError("words are missing");
}
BENCHMARK(MessagePackWrites);
BENCHMARK(CborWrites);
BENCHMARK(MessagePackReads);
BENCHMARK(CborReads);

}  // namespace

BENCHMARK_MAIN();
