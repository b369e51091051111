// Where a group's sessions are placed while room is short: each host that holds any of a group pays for the
// whole of it once more, so that nodes which know little must not spread it.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "world.h"

namespace flintweir::test {
namespace {

constexpr unsigned kHosts = 40;
constexpr std::size_t kFewestHosts = 3;  // of a group, however few of its sessions a node has seen
constexpr double kNearlyFull = 0.65, kFull = 0.9;

// A node of a large fleet: it holds next to no session, and every host has been reported as nearly full.
struct ThinNode : World {
  ThinNode() : World(11) {
    nodes = 300;
    for (unsigned i = 1; i <= kHosts; ++i) hosts[HostId{i}] = {ZoneId{0}, CellId{0}};
    restart();
    pass(3s);
    for (unsigned i = 1; i <= kHosts; ++i) report(HostId{i}, load[HostId{i}] = kNearlyFull);
  }
  void report_all() {
    for (const auto& [host, reported] : load) report(host, reported);
  }
  std::map<HostId, double> load;
};

// The first host of the group fills up, then the next: further sessions are refused until one of these has
// room again. Before, a node that held nothing of a group took it for one session in nine of all, and gave it
// seven hosts.
TEST(GroupPlacement, OfAGroupThatANodeDoesNotHoldKeepsToAFewHostsWhereRoomIsShort) {
  for (std::uint64_t group = 1; group <= 20; ++group) {
    ThinNode node;
    std::set<HostId> used;
    for (int i = 0; i < 12; ++i) {
      const SessId id = node.arrive(0, GroupId{group});
      if (node.clients.at(id).dials.empty()) continue;
      const HostId host = node.clients.at(id).dials.back().host;
      node.accept(id);
      used.insert(host);
      node.load[host] = kFull;
      node.finish(id, DialOutcome::cancelled);
      node.pass(3s);
      node.report_all();
    }
    EXPECT_EQ(used.size(), kFewestHosts) << group;
  }
}

// The group's hosts stay full, and the node places nothing: it looks further before it has refused for long.
TEST(GroupPlacement, LooksFurtherWhileNothingIsPlacedAtAll) {
  ThinNode node;
  std::set<HostId> filled;
  for (unsigned i = 0; i < kHosts && filled.size() < kFewestHosts; ++i) {
    const SessId id = node.arrive(0, GroupId{5});
    if (!node.clients.at(id).dials.empty()) {
      const HostId host = node.clients.at(id).dials.back().host;
      node.load[host] = kFull;
      filled.insert(host);
      node.finish(id, DialOutcome::cancelled);
    }
    node.pass(3s);
    node.report_all();
  }
  ASSERT_EQ(filled.size(), kFewestHosts);
  const Micros began = node.now;
  for (SessId id = node.arrive(0, GroupId{5}); node.clients.at(id).dials.empty() && node.now - began < 10s;) {
    node.pass(250ms);
    node.report_all();
    id = node.arrive(0, GroupId{5});
  }
  EXPECT_GE(node.now - began, 1s);
  EXPECT_LE(node.now - began, 4s);
}

// Where hosts may not be probed no report tells of room. Each host that the group is given breaks the
// connection off, as one does that is overloaded. Before, the group went through all hosts of the fleet.
TEST(GroupPlacement, KeepsToAFewHostsWhereNoLoadIsKnown) {
  ThinNode node;
  node.probe_price.reset();
  node.restart();
  std::set<HostId> used;
  for (unsigned i = 0; i < kHosts; ++i) {
    const SessId id = node.arrive(0, GroupId{5});
    if (node.clients.at(id).dials.empty()) continue;
    used.insert(node.clients.at(id).dials.back().host);
    node.accept(id);
    node.finish(id, DialOutcome::connection_lost);
  }
  EXPECT_EQ(used.size(), kFewestHosts);
}

// After a release half of the hosts are cold and empty while the others are full. Before, a group could only
// use those cold hosts that were among its few best, and was refused while the rest stood empty.
TEST(GroupPlacement, UsesAnyColdHostWithinItsBudget) {
  ThinNode node;
  node.nodes = World::kNodes;
  node.restart();
  for (unsigned i = 0; i < 2 * kHosts; ++i) node.accept(node.arrive(0));
  node.pass_asked(5s, [&](HostId host) { node.report(host, kNearlyFull); });
  for (unsigned i = 1; i <= kHosts / 2; ++i) {
    node.change(HostId{i}, HostStatus::active, node.now - 2s);
    node.load.erase(HostId{i});
    node.load[HostId{kHosts / 2 + i}] = kFull;
  }
  std::set<HostId> used;
  for (Micros window{0}; window < 6s; window += World::kCold.window) {
    node.report_all();
    for (unsigned i = 0; i < kHosts; ++i) {
      const SessId id = node.arrive(0, GroupId{5});
      if (node.clients.at(id).dials.empty()) continue;
      used.insert(node.clients.at(id).dials.back().host);
      node.finish(id, DialOutcome::cancelled);
    }
    node.pass(World::kCold.window);
  }
  EXPECT_LE(*used.rbegin(), HostId{kHosts / 2});
  EXPECT_GE(used.size(), kHosts / 4);
}

}  // namespace
}  // namespace flintweir::test
