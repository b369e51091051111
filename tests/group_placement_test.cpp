// Placement of a group's sessions while room is short. Serving a group costs each host that has any of its
// sessions, so that a node that knows little must not spread the group over many hosts.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "balancer_harness.h"

namespace flintweir::test {
namespace {

constexpr unsigned kHosts = 40;
constexpr std::size_t kMinGroupHosts = 3;  // however few sessions of the group a node has seen
constexpr double kNearlyFull = 0.65, kFull = 0.9;

// A node of a large fleet: it has almost no sessions, and every host has been reported as nearly full.
struct NodeOfLargeFleet : BalancerHarness {
  NodeOfLargeFleet() : BalancerHarness(11) {
    node_count = 300;
    for (unsigned i = 1; i <= kHosts; ++i) hosts[HostId{i}] = {ZoneId{0}, CellId{0}};
    restart();
    advance(3s);
    for (unsigned i = 1; i <= kHosts; ++i) report(HostId{i}, load[HostId{i}] = kNearlyFull);
  }
  void report_all() {
    for (const auto& [host, reported] : load) report(host, reported);
  }
  std::map<HostId, double> load;
};

// The hosts of the group fill up one after the other, and further sessions are refused until one of them has
// room again. Guards against a node without sessions of the group that takes it for one session in nine of
// all, and gives it seven hosts.
TEST(GroupPlacement, KeepsToAFewHostsWhenRoomIsShortAndTheNodeHasNoneOfTheGroup) {
  for (std::uint64_t group = 1; group <= 20; ++group) {
    NodeOfLargeFleet node;
    std::set<HostId> used;
    for (int i = 0; i < 12; ++i) {
      const SessId id = node.start_session(0, GroupId{group});
      if (node.clients.at(id).dials.empty()) continue;
      const HostId host = node.clients.at(id).dials.back().host;
      node.accept_dial(id);
      used.insert(host);
      node.load[host] = kFull;
      node.end_dial(id, DialOutcome::cancelled);
      node.advance(3s);
      node.report_all();
    }
    EXPECT_EQ(used.size(), kMinGroupHosts) << group;
  }
}

// The group's hosts stay full and the node places nothing at all: it must try further hosts before it has
// refused sessions for long.
TEST(GroupPlacement, UsesFurtherHostsWhileNothingIsPlacedAtAll) {
  NodeOfLargeFleet node;
  std::set<HostId> filled;
  for (unsigned i = 0; i < kHosts && filled.size() < kMinGroupHosts; ++i) {
    const SessId id = node.start_session(0, GroupId{5});
    if (!node.clients.at(id).dials.empty()) {
      const HostId host = node.clients.at(id).dials.back().host;
      node.load[host] = kFull;
      filled.insert(host);
      node.end_dial(id, DialOutcome::cancelled);
    }
    node.advance(3s);
    node.report_all();
  }
  ASSERT_EQ(filled.size(), kMinGroupHosts);
  const Micros began = node.now;
  for (SessId id = node.start_session(0, GroupId{5});
       node.clients.at(id).dials.empty() && node.now - began < 10s;) {
    node.advance(250ms);
    node.report_all();
    id = node.start_session(0, GroupId{5});
  }
  EXPECT_GE(node.now - began, 1s);
  EXPECT_LE(node.now - began, 4s);
}

// If hosts may not be probed, no report shows whether they have room. Each host that the group is given
// closes the connection, as an overloaded host does. Guards against a group that goes through all hosts of
// the fleet.
TEST(GroupPlacement, KeepsToAFewHostsWhenNoLoadIsKnown) {
  NodeOfLargeFleet node;
  node.probe_price.reset();
  node.restart();
  std::set<HostId> used;
  for (unsigned i = 0; i < kHosts; ++i) {
    const SessId id = node.start_session(0, GroupId{5});
    if (node.clients.at(id).dials.empty()) continue;
    used.insert(node.clients.at(id).dials.back().host);
    node.accept_dial(id);
    node.end_dial(id, DialOutcome::connection_lost);
  }
  EXPECT_EQ(used.size(), kMinGroupHosts);
}

// After a release half of the hosts are cold and empty while the others are full. Guards against a group that
// may only use the cold hosts among its few best, and is refused while the other cold hosts are empty.
TEST(GroupPlacement, UsesAnyColdHostWithinItsBudget) {
  NodeOfLargeFleet node;
  node.node_count = BalancerHarness::kNodes;
  node.restart();
  for (unsigned i = 0; i < 2 * kHosts; ++i) node.accept_dial(node.start_session(0));
  node.advance_answering_probes(5s, [&](HostId host) { node.report(host, kNearlyFull); });
  for (unsigned i = 1; i <= kHosts / 2; ++i) {
    node.change_host(HostId{i}, HostStatus::active, node.now - 2s);
    node.load.erase(HostId{i});
    node.load[HostId{kHosts / 2 + i}] = kFull;
  }
  std::set<HostId> used;
  for (Micros window{0}; window < 6s; window += BalancerHarness::kCold.window) {
    node.report_all();
    for (unsigned i = 0; i < kHosts; ++i) {
      const SessId id = node.start_session(0, GroupId{5});
      if (node.clients.at(id).dials.empty()) continue;
      used.insert(node.clients.at(id).dials.back().host);
      node.end_dial(id, DialOutcome::cancelled);
    }
    node.advance(BalancerHarness::kCold.window);
  }
  EXPECT_LE(*used.rbegin(), HostId{kHosts / 2});
  EXPECT_GE(used.size(), kHosts / 4);
}

}  // namespace
}  // namespace flintweir::test
