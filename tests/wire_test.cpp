// The adapter to the simulator, by batches of events.
#include "wire.h"

#include <gtest/gtest.h>

#include "setup/json_object.h"

namespace flintweir::benchlink {
namespace {

constexpr const char* kConfigure =
    R"(["CONFIGURE",3,12,{"balancers":2,"ceilings":{"maxDials":6,"maxRetryAfter":1000000,"retryAfter":true},)"
    R"("discovery":"on_request","listeners":[{"dialTimeout":2000000,"effect":"repeatable","group":"all",)"
    R"("handshakeTarget":500000,"utility":2.0}],"myZone":0,"new":1,"prices":{},)"
    R"("reporting":{"fields":["eps","x0"],"how":"on_probe"},"rules":{"cold":7000000,"coldShare":0.3,)"
    R"("overloadFactor":3.0,"tipAfter":1500000}}])";
constexpr const char* kHosts =
    R"(["DIRECTORY",0,[["10.0.0.1:80",0,0,0,"IN",1,null]]],["UPDATE",3,1,0,"stale_copy"])";

// CONFIGURE with one more entry in its settings, inserted before a key.
std::string configure_with(const std::string& entry, const std::string& before) {
  std::string out = kConfigure;
  return out.insert(out.find('"' + before + '"'), entry + ",");
}

std::string batch(int t, const std::string& items) {
  return "{\"t\":" + std::to_string(t) + ",\"items\":[" + items + "]}";
}

TEST(WireAdapter, DialsTheOneHostAndAnswersASecondFailure) {
  WireAdapter adapter;
  adapter.process(batch(1000, std::string(kConfigure) + "," + kHosts));
  std::string reply(adapter.process(batch(2000, R"(["JOB_IN",3,9,0,0,null,2002000,null,null,0])")));
  EXPECT_NE(reply.find(R"(["ROUTE",3,9,"10.0.0.1:80",)"), std::string::npos) << reply;
  reply = adapter.process(batch(3000, R"(["SETTLED",3,9,0,false,1000,1,"10.0.0.1:80",null],["GONE",3,77])"));
  EXPECT_NE(reply.find(R"(["NOT_NOW",3,9,)"), std::string::npos) << reply;
}

TEST(WireAdapter, RejectsEventsForADestroyedInstance) {
  WireAdapter adapter;
  adapter.process(batch(1000, std::string(kConfigure) + "," + kHosts));
  EXPECT_EQ(adapter.process(batch(2000, R"(["DESTROY",3])")), R"({"output":[]})");
  EXPECT_THROW(adapter.process(batch(3000, R"(["TICK_DUE",3,"0"])")), setup::InvalidInput);
}

// Values of the wrong type or sign, and retry budgets or goals that are incomplete.
TEST(WireAdapter, RejectsInvalidSettings) {
  for (const char* wrong :
       {R"("softRemoval":"yes")", R"("softRemoval":1)", R"("extraFloor":3)",
        R"("extraFloor":3,"budgetSpan":5000000)", R"("extraPerRequest":0.1,"extraFloor":1)",
        R"("extraFloor":-1,"extraPerRequest":0.1,"budgetSpan":5000000)",
        R"("extraFloor":1,"extraPerRequest":-0.1,"budgetSpan":5000000)",
        R"("extraFloor":1,"extraPerRequest":"few","budgetSpan":5000000)",
        R"("extraFloor":1,"extraPerRequest":0.1,"budgetSpan":0)"})
    EXPECT_THROW(WireAdapter().process(batch(1000, configure_with(wrong, "cold"))), setup::InvalidInput)
        << wrong;
  for (const char* wrong : {R"({"ninesPart":0.2})", R"({"ninesPart":0.2,"ninesWanted":0})",
                            R"({"ninesPart":"much","ninesWanted":3})", R"({"ninesPart":-1,"ninesWanted":3})"})
    EXPECT_THROW(
        WireAdapter().process(batch(1000, configure_with("\"goal\":" + std::string(wrong), "listeners"))),
        setup::InvalidInput)
        << wrong;
}

// Guards against a softRemoval setting that does not reach the balancer: with it, a host that is missing from
// a whole list may still be dialled.
TEST(WireAdapter, DialsARemovedHostOnlyWithSoftRemoval) {
  for (const bool soft_removal : {false, true}) {
    WireAdapter adapter;
    const std::string entry = std::string(R"("softRemoval":)") + (soft_removal ? "true" : "false");
    adapter.process(batch(1000, configure_with(entry, "cold") + "," + kHosts));
    adapter.process(batch(1500, R"(["DIRECTORY",0,[]],["UPDATE",3,2,0,"whole"])"));
    const std::string reply(adapter.process(batch(2000, R"(["JOB_IN",3,9,0,0,null,2002000,null,null,0])")));
    EXPECT_EQ(reply.find("ROUTE") != std::string::npos, soft_removal) << reply;
  }
}

class MalformedBatch : public testing::TestWithParam<const char*> {};

TEST_P(MalformedBatch, ThrowsWithAMessage) {
  WireAdapter adapter;
  adapter.process(batch(1000, std::string(kConfigure) + "," + kHosts));
  try {
    adapter.process(GetParam());
    FAIL() << "accepted without an error";
  } catch (const setup::InvalidInput& e) {
    EXPECT_GT(std::string(e.what()).size(), 10u);
  }
}

INSTANTIATE_TEST_SUITE_P(Lines, MalformedBatch,
                         testing::Values("{", "[]", R"({"t":1})", R"({"t":"x","items":[]})",
                                         R"({"t":1,"items":[7]})", R"({"t":1,"items":[["WHAT",3]]})",
                                         R"({"t":1,"items":[["JOB_IN",3]]})",
                                         R"({"t":1,"items":[["JOB_IN",3,1,5,0,null,9,null,null,0]]})",
                                         R"({"t":1,"items":[["SETTLED",3,9,0,false,1,42,"h:1",null]]})",
                                         R"({"t":1,"items":[["UPDATE",3,1,4,"whole"]]})",
                                         R"({"t":1,"items":[["UPDATE",3,1,0,"odd"]]})",
                                         R"({"t":1,"items":[["DIRECTORY",16,[]]]})",
                                         R"({"t":1,"items":[["CONFIGURE",4,1,{}]]})"));

}  // namespace
}  // namespace flintweir::benchlink
