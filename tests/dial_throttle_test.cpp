// Throttling of dials under a fault that all hosts share, such as an overloaded session store: each further
// dial adds to its backlog, so that most dials should not be made.
#include <gtest/gtest.h>

#include "balancer_harness.h"

namespace flintweir::test {
namespace {

constexpr unsigned kHosts = 20, kArrivals = 200;
constexpr Micros kArrivalInterval = 50ms;

struct TwentyHosts : BalancerHarness {
  TwentyHosts() : BalancerHarness(3) {
    for (unsigned i = 1; i <= kHosts; ++i) hosts[HostId{i}] = {ZoneId{0}, CellId{0}};
    restart();
    advance(2s);
    report_all();
  }
  void report_all() {
    for (unsigned i = 1; i <= kHosts; ++i) report(HostId{i}, 0.3);
  }
  // Starts sessions one after the other. Dials to the first `failing_hosts` hosts fail, all others are
  // accepted. Returns the number of dials made.
  unsigned count_dials(unsigned arrivals, unsigned failing_hosts) {
    unsigned dials = 0;
    for (unsigned i = 0; i < arrivals; ++i) {
      const SessId id = start_session(0);
      std::size_t ended = 0;
      while (!clients.at(id).answered && clients.at(id).dials.size() > ended) {
        ++dials;
        ++ended;
        if (clients.at(id).dials.back().host.value <= failing_hosts)
          end_dial(id, DialOutcome::error_reply);
        else
          accept_dial(id);
      }
      advance(kArrivalInterval);
      if (i % 20 == 0) report_all();
    }
    return dials;
  }
};

// Without throttling each session is dialled up to four times, and its client tries again: the store never
// catches up.
TEST(DialThrottle, RejectsMostDialsWhenAllFail) {
  EXPECT_LT(TwentyHosts().count_dials(kArrivals, kHosts), kArrivals / 2);
}

TEST(DialThrottle, AllowsAllDialsSoonAfterTheFaultIsOver) {
  TwentyHosts node;
  node.count_dials(kArrivals, kHosts);
  node.count_dials(kArrivals, 0);
  EXPECT_EQ(node.count_dials(kArrivals, 0), kArrivals);
}

TEST(DialThrottle, RejectsNothingWhenOneHostInFiveFails) {
  TwentyHosts node;
  EXPECT_GE(node.count_dials(kArrivals, kHosts / 5), kArrivals);
}

}  // namespace
}  // namespace flintweir::test
