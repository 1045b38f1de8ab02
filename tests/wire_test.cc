#include "simulator_adapter/wire.h"

#include <gtest/gtest.h>

namespace balancer::simulator_adapter {
namespace {

const std::string kStart =
    R"({"moment":1000,"balancers":[{"who":4,"events":[{"t":"provision","entropy":5,"options":{"classes":[{"aim":300000000,"giveUp":750000000,"semantics":"read_like"}],"specifics":{"mode":"aside","originKind":1},"policyLimits":{"maxAttempts":3},"unknown":{"a":1}}},{"t":"fleet","gen":1,"kind":"remembered","rowsIn":[{"host":"a:1","startedAt":null,"hw":0,"availability":"in_service","scale":0},{"host":"o:1","hw":1,"availability":"in_service"}]}]}]})";

std::string event(const std::string& e) {
  return R"({"moment":2000,"balancers":[{"who":4,"events":[)" + e + "]}]}";
}

TEST(WireTest, SendsARequestToACacheAndAMissToTheOrigin) {
  Wire wire;
  EXPECT_EQ(wire.handle(kStart), R"({"balancers":[]})");
  const std::string sent = wire.handle(event(
      R"({"t":"submit","handle":"00ff00000000000a","priority":0,"item":"k","stateBits":0,"budget":400000000})"));
  EXPECT_NE(sent.find(R"({"t":"submitTo","handle":"00ff00000000000a","host":"a:1")"),
            std::string::npos)
      << sent;
  const std::string fetched = wire.handle(event(
      R"({"t":"completed","handle":"00ff00000000000a","sendNo":0,"host":"a:1","status":204,"latency":1,"complete":false,"load":null})"));
  EXPECT_NE(fetched.find(R"("host":"o:1")"), std::string::npos) << fetched;
}

TEST(WireTest, ReportsTheErrorInMalformedInput) {
  const auto message = [](const std::string& line) -> std::string {
    Wire wire;
    wire.handle(kStart);
    try {
      return "accepted: " + wire.handle(line);
    } catch (const WireError& e) {
      return e.what();
    }
  };
  EXPECT_NE(message("{").find("not JSON"), std::string::npos);
  EXPECT_EQ(message(R"({"balancers":[]})"), "field 'moment' is missing");
  EXPECT_EQ(message(event(R"({"t":"nap"})")), "instance 4: event 'nap': unknown event");
  EXPECT_EQ(message(event(R"({"t":"submit","handle":"12","priority":0,"budget":1})")),
            "instance 4: event 'submit': field 'handle' is not 16 hex digits");
  EXPECT_EQ(message(event(R"({"t":"submit","handle":"00ff00000000000a","priority":1,"budget":1})")),
            "instance 4: event 'submit': field 'priority' is out of range");
  EXPECT_EQ(
      message(event(R"({"t":"submit","handle":"00ff00000000000a","priority":0,"budget":"x"})")),
      "instance 4: event 'submit': field 'budget' is not a whole number");
  EXPECT_EQ(message(R"({"moment":2,"balancers":[{"who":5,"events":[{"t":"wakeup","tag":1}]}]})"),
            "instance 5: event 'wakeup': the instance was never provisioned");
}

TEST(WireTest, IgnoresUnknownRequestsAndRemovesThePolicyAtExit) {
  Wire wire;
  wire.handle(kStart);
  const std::string late =
      R"({"t":"completed","handle":"00ff00000000000b","sendNo":0,"host":"a:1","status":200,"latency":1,"complete":true,"load":null})";
  EXPECT_EQ(wire.handle(event(late)), R"({"balancers":[]})");
  EXPECT_EQ(
      wire.handle(event(R"({"t":"withdrawn","handle":"00ff00000000000b"},{"t":"wakeup","tag":3})")),
      R"({"balancers":[]})");
  EXPECT_EQ(wire.handle(event(R"({"t":"exit"})")), R"({"balancers":[]})");
  EXPECT_THROW(wire.handle(event(R"({"t":"wakeup","tag":1})")), WireError);
  EXPECT_EQ(wire.handle(kStart), R"({"balancers":[]})");
}

}  // namespace
}  // namespace balancer::simulator_adapter
