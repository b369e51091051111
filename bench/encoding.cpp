// Size and time of encoding and decoding a thousand members: MessagePack as used in the datagrams, against
// the same fields as CBOR by nlohmann-json. Only ratios within one run are
// comparable; docs/results.md records them.
#include <benchmark/benchmark.h>

#include <nlohmann/json.hpp>

#include "members/datagram.h"

namespace {

using namespace flintweir;

constexpr int kMembers = 1000;
const Address kAddress = *parse_address("127.0.0.1:7946");
const members::Sender kSender{"node-0001", members::Generation{1'700'000'000'000'000}, kAddress,
                              0x1234567890abcdef, 1000};

std::string member_name(int i) { return "node-" + std::to_string(1000 + i); }

struct UpdateCounter final : members::DatagramHandler {
  std::size_t updates = 0;
  void on_update(const members::Sender&, const members::MemberUpdate&) override { ++updates; }
};

std::vector<std::string> message_pack_datagrams() {
  std::vector<std::string> out;
  for (int i = 0; i < kMembers;) {
    members::DatagramWriter writer(members::MessageKind::sync_updates, "fleet", kSender, members::Nonce{1});
    for (; i < kMembers; ++i) {
      const std::string name = member_name(i);
      if (!writer.add({name, members::Generation{1'700'000'000'000'000ull + static_cast<std::uint64_t>(i)}, 3,
                       members::MemberState::alive, kAddress, "east", "0.14.0", "", name}))
        break;
    }
    out.emplace_back(writer.finish());
  }
  return out;
}

std::vector<std::vector<std::uint8_t>> cbor_datagrams() {
  std::vector<std::vector<std::uint8_t>> out;
  const auto address = nlohmann::json::binary({127, 0, 0, 1, 0x1f, 0x0a});
  for (int i = 0; i < kMembers;) {
    nlohmann::json datagram = nlohmann::json::array({nlohmann::json::array(
        {"fleet", "node-0001", 1'700'000'000'000'000, address, 0x1234567890abcdef, 1000, 1})});
    std::size_t bytes = 64;  // header and the fields before the updates
    for (; i < kMembers; ++i) {
      const std::string name = member_name(i);
      nlohmann::json update = nlohmann::json::array({name, 1'700'000'000'000'000 + i, 3, 1, address, "east",
                                                     "0.14.0", nlohmann::json::binary({}), name});
      bytes += nlohmann::json::to_cbor(update).size();
      if (bytes > members::kMaxDatagramBytes) break;
      datagram.push_back(std::move(update));
    }
    out.push_back(nlohmann::json::to_cbor(datagram));
  }
  return out;
}

template <class Datagrams>
double bytes_per_member(const Datagrams& datagrams) {
  std::size_t total = 0;
  for (const auto& datagram : datagrams) total += datagram.size();
  return static_cast<double>(total) / kMembers;
}

void MessagePackWrites(benchmark::State& state) {
  for (auto _ : state) benchmark::DoNotOptimize(message_pack_datagrams());
  state.counters["bytes_a_member"] = bytes_per_member(message_pack_datagrams());
}
void CborWrites(benchmark::State& state) {
  for (auto _ : state) benchmark::DoNotOptimize(cbor_datagrams());
  state.counters["bytes_a_member"] = bytes_per_member(cbor_datagrams());
}
void MessagePackReads(benchmark::State& state) {
  const auto datagrams = message_pack_datagrams();
  UpdateCounter counter;
  for (auto _ : state)
    for (const std::string& datagram : datagrams)
      if (decode(datagram, "fleet", counter) != members::DecodeError::none)
        state.SkipWithError("datagram was not decoded");
  if (std::int64_t(counter.updates) != state.iterations() * kMembers)
    state.SkipWithError("updates are missing");
}
void CborReads(benchmark::State& state) {
  const auto datagrams = cbor_datagrams();
  std::size_t updates = 0;
  for (auto _ : state)
    for (const auto& datagram : datagrams) updates += nlohmann::json::from_cbor(datagram).size() - 1;
  if (std::int64_t(updates) != state.iterations() * kMembers) state.SkipWithError("updates are missing");
}
BENCHMARK(MessagePackWrites);
BENCHMARK(CborWrites);
BENCHMARK(MessagePackReads);
BENCHMARK(CborReads);

}  // namespace

BENCHMARK_MAIN();
