// Dials under a fault that all hosts share, such as a session store that is swamped: each further dial adds
// to what it has to catch up with, so that most are better not made.
#include <gtest/gtest.h>

#include "world.h"

namespace flintweir::test {
namespace {

constexpr unsigned kHosts = 20, kArrivals = 200;
constexpr Micros kBetween = 50ms;

struct Busy : World {
  Busy() : World(3) {
    for (unsigned i = 1; i <= kHosts; ++i) hosts[HostId{i}] = {ZoneId{0}, CellId{0}};
    restart();
    pass(2s);
    report_all();
  }
  void report_all() {
    for (unsigned i = 1; i <= kHosts; ++i) report(HostId{i}, 0.3);
  }
  // Sessions come one after the other; a dial to one of the first hosts fails, any other is accepted. How
  // many dials are made.
  unsigned dials_of(unsigned arrivals, unsigned failing_hosts) {
    unsigned dials = 0;
    for (unsigned i = 0; i < arrivals; ++i) {
      const SessId id = arrive(0);
      std::size_t ended = 0;
      while (!clients.at(id).answered && clients.at(id).dials.size() > ended) {
        ++dials;
        ++ended;
        if (clients.at(id).dials.back().host.value <= failing_hosts)
          finish(id, DialOutcome::error_reply);
        else
          accept(id);
      }
      pass(kBetween);
      if (i % 20 == 0) report_all();
    }
    return dials;
  }
};

// Before, each session dialled up to four times, and its client came again: the store never caught up.
TEST(DialThrottle, HoldsMostDialsBackWhereAllFail) {
  EXPECT_LT(Busy().dials_of(kArrivals, kHosts), kArrivals / 2);
}

TEST(DialThrottle, LetsAllThroughSoonAfterTheFaultIsOver) {
  Busy node;
  node.dials_of(kArrivals, kHosts);
  node.dials_of(kArrivals, 0);
  EXPECT_EQ(node.dials_of(kArrivals, 0), kArrivals);
}

TEST(DialThrottle, HoldsNothingBackWhereOneHostInFiveFails) {
  Busy node;
  EXPECT_GE(node.dials_of(kArrivals, kHosts / 5), kArrivals);
}

}  // namespace
}  // namespace flintweir::test
