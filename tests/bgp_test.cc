// Tests BGP-4: encoding of the messages of RFC 4271, sessions with each other and with a peer that
// violates the protocol, and announcements to several routers.
#include <gtest/gtest.h>

#include <random>

#include "route_announcement/speaker.h"

namespace balancer::bgp {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Direction = Session::Direction;
using Kind = Session::Action::Kind;

std::string bytes(std::initializer_list<int> all) {
  std::string out;
  for (const int b : all) out += static_cast<char>(b);
  return out;
}

std::string framed(int type, const std::string& body) {
  const auto length = static_cast<int>(kHeaderSize + body.size());
  return std::string(16, '\xff') + bytes({length >> 8, length & 255, type}) + body;
}

// Returns the first message or fault that the bytes decode to.
std::variant<Message, ProtocolError> read(const std::string& all, bool four_octets = true) {
  MessageReader reader;
  reader.set_four_octet_as(four_octets);
  reader.feed(all);
  auto item = reader.next();
  EXPECT_TRUE(item.has_value());
  return item ? *item : std::variant<Message, ProtocolError>(ProtocolError{});
}

ProtocolError fault_of(const std::string& all, bool four_octets = true) {
  const auto item = read(all, four_octets);
  const auto* fault = std::get_if<ProtocolError>(&item);
  EXPECT_NE(fault, nullptr) << "the message was accepted";
  return fault ? *fault : ProtocolError{};
}

// ---- messages

// The bytes were encoded by hand after section 4.2 of RFC 4271 and section 3 of RFC 6793.
TEST(BgpCodec, EncodesAndDecodesOpen) {
  Open open;
  open.as = 4200000001;
  open.hold_time = 9;
  open.id = 0x7f00000b;
  const std::string body =
      bytes({4, 0x5b, 0xa0, 0, 9, 127, 0, 0, 11, 8, 2, 6, 65, 4, 0xfa, 0x56, 0xea, 0x01});
  EXPECT_EQ(encode(open), framed(1, body));
  const auto item = read(framed(1, body));
  const auto& back = std::get<Open>(std::get<Message>(item));
  EXPECT_EQ(back.as, open.as);
  EXPECT_EQ(back.hold_time, 9);
  EXPECT_EQ(back.id, open.id);
  EXPECT_TRUE(back.four_octet_as);
}

// The bytes were encoded by hand after sections 4.3 and 5 of RFC 4271 and RFC 1997.
TEST(BgpCodec, EncodesAndDecodesUpdate) {
  Update update;
  update.withdrawn = {{0x0a000000, 8}};
  update.announced = {{0x0a090001, 32}, {0x0a080000, 15}};
  Attributes a;
  a.as_path = {64512};
  a.next_hop = 0x7f00000b;
  a.med = 5;
  a.local_pref = 258;
  a.communities = {0xffff0000};
  update.attributes = a;
  const std::string attributes =
      bytes({0x40, 1, 1, 0}) + bytes({0x40, 2, 6, 2, 1, 0, 0, 0xfc, 0x00}) +
      bytes({0x40, 3, 4, 127, 0, 0, 11}) + bytes({0x80, 4, 4, 0, 0, 0, 5}) +
      bytes({0x40, 5, 4, 0, 0, 1, 2}) + bytes({0xc0, 8, 4, 255, 255, 0, 0});
  const std::string wire =
      framed(2, bytes({0, 2, 8, 10}) + bytes({0, static_cast<int>(attributes.size())}) +
                    attributes + bytes({32, 10, 9, 0, 1, 15, 10, 8}));
  EXPECT_EQ(encode(update, true), wire);
  const auto item = read(wire);
  const auto& back = std::get<Update>(std::get<Message>(item));
  EXPECT_EQ(back.withdrawn, update.withdrawn);
  EXPECT_EQ(back.announced, update.announced);
  EXPECT_EQ(back.attributes, update.attributes);
}

TEST(BgpCodec, SendsAsTransToAPeerWithoutFourOctetAsNumbers) {
  Update update;
  update.announced = {{0x0a090001, 32}};
  Attributes a;
  a.as_path = {4200000001};
  a.next_hop = 1;
  update.attributes = a;
  const auto item = read(encode(update, false), false);
  EXPECT_EQ(std::get<Update>(std::get<Message>(item)).attributes->as_path,
            std::vector<std::uint32_t>{kAsTrans});
}

TEST(BgpCodec, DecodesMessagesSplitAtAnyByte) {
  Update update;
  update.announced = {{0x0a090001, 32}};
  update.attributes = Attributes{0, {64512}, 7, 1, 2, {3, 4}};
  const std::string all = encode(Open{64512, 9, 5, true}) + encode(Keepalive{}) +
                          encode(update, true) +
                          encode(Notification{ErrorCode::kCease, 2, "\x03why"});
  for (std::size_t cut = 0; cut <= all.size(); ++cut) {
    MessageReader reader;
    reader.set_four_octet_as(true);
    std::size_t messages = 0;
    for (const auto& part : {all.substr(0, cut), all.substr(cut)}) {
      reader.feed(part);
      for (auto item = reader.next(); item; item = reader.next()) {
        ASSERT_TRUE(std::holds_alternative<Message>(*item)) << "cut at " << cut;
        ++messages;
      }
    }
    EXPECT_EQ(messages, 4u) << "cut at " << cut;
    EXPECT_EQ(reader.buffered(), 0u);
  }
}

struct MalformedMessage {
  const char* what;
  std::string wire;
  ErrorCode code;
  int subcode;
};

TEST(BgpCodec, ReportsMalformedMessagesWithTheCodesOfTheRfc) {
  const std::string origin = bytes({0x40, 1, 1, 0}), path = bytes({0x40, 2, 0}),
                    hop = bytes({0x40, 3, 4, 10, 0, 0, 1});
  const auto update = [](const std::string& attributes) {
    return framed(2, bytes({0, 0, 0, static_cast<int>(attributes.size())}) + attributes +
                         bytes({32, 10, 0, 0, 9}));
  };
  const auto open = [](std::initializer_list<int> body) { return framed(1, bytes(body)); };
  std::string unmarked = encode(Keepalive{});
  unmarked[3] = 0;
  const std::vector<MalformedMessage> all = {
      {"marker", unmarked, ErrorCode::kHeader, 1},
      {"too long", std::string(16, '\xff') + bytes({0x10, 1, 2}), ErrorCode::kHeader, 2},
      {"too short", std::string(16, '\xff') + bytes({0, 18, 4}), ErrorCode::kHeader, 2},
      {"keepalive with a body", framed(4, "x"), ErrorCode::kHeader, 2},
      {"type", framed(9, ""), ErrorCode::kHeader, 3},
      {"version", open({3, 0, 1, 0, 9, 1, 1, 1, 1, 0}), ErrorCode::kOpen, 1},
      {"hold time", open({4, 0, 1, 0, 2, 1, 1, 1, 1, 0}), ErrorCode::kOpen, 6},
      {"identifier", open({4, 0, 1, 0, 9, 0, 0, 0, 0, 0}), ErrorCode::kOpen, 3},
      {"parameter", open({4, 0, 1, 0, 9, 1, 1, 1, 1, 2, 1, 0}), ErrorCode::kOpen, 4},
      {"parameters' length", open({4, 0, 1, 0, 9, 1, 1, 1, 1, 7}), ErrorCode::kOpen, 0},
      {"no origin", update(path + hop), ErrorCode::kUpdate, 3},
      {"no path", update(origin + hop), ErrorCode::kUpdate, 3},
      {"no next hop", update(origin + path), ErrorCode::kUpdate, 3},
      {"origin 7", update(bytes({0x40, 1, 1, 7}) + path + hop), ErrorCode::kUpdate, 6},
      {"flags", update(bytes({0xc0, 1, 1, 0}) + path + hop), ErrorCode::kUpdate, 4},
      {"length", update(origin + path + bytes({0x40, 3, 3, 10, 0, 0})), ErrorCode::kUpdate, 5},
      {"next hop 0", update(origin + path + bytes({0x40, 3, 4, 0, 0, 0, 0})), ErrorCode::kUpdate,
       8},
      {"next hop of a group", update(origin + path + bytes({0x40, 3, 4, 224, 0, 0, 1})),
       ErrorCode::kUpdate, 8},
      {"twice", update(origin + origin + path + hop), ErrorCode::kUpdate, 1},
      {"path", update(origin + bytes({0x40, 2, 2, 9, 1}) + hop), ErrorCode::kUpdate, 11},
      {"communities", update(origin + path + hop + bytes({0xc0, 8, 3, 1, 2, 3})),
       ErrorCode::kUpdate, 5},
      {"well-known and unknown", update(origin + path + hop + bytes({0x40, 99, 0})),
       ErrorCode::kUpdate, 2},
      {"network", framed(2, bytes({0, 0, 0, 14}) + origin + path + hop + bytes({33, 1, 1, 1, 1})),
       ErrorCode::kUpdate, 10},
      {"withdrawn beyond its end", framed(2, bytes({0, 9, 0, 0})), ErrorCode::kUpdate, 1},
  };
  for (const MalformedMessage& w : all) {
    const ProtocolError f = fault_of(w.wire);
    EXPECT_EQ(static_cast<int>(f.notification.code), static_cast<int>(w.code)) << w.what;
    EXPECT_EQ(f.notification.subcode, w.subcode) << w.what;
    EXPECT_FALSE(f.reason.empty()) << w.what;
  }
}

// Unknown optional attributes must not end the session.
TEST(BgpCodec, IgnoresUnknownOptionalAttributes) {
  const std::string attributes =
      bytes({0x40, 1, 1, 0, 0x40, 2, 0, 0x40, 3, 4, 10, 0, 0, 1}) + bytes({0xd0, 99, 0, 2, 1, 2});
  const auto item = read(framed(2, bytes({0, 0, 0, static_cast<int>(attributes.size())}) +
                                       attributes + bytes({32, 10, 0, 0, 9})));
  EXPECT_EQ(std::get<Update>(std::get<Message>(item)).attributes->next_hop, 0x0a000001u);
}

// ---- sessions

SessionSettings settings(std::uint32_t id, std::uint32_t as = 64512, std::uint32_t remote = 64512) {
  SessionSettings s;
  s.local_as = as;
  s.remote_as = remote;
  s.id = id;
  return s;
}

// Two sessions with up to two connections between them and a simulated clock.
class Pair {
 public:
  Pair(const SessionSettings& a, const SessionSettings& b)
      : sides{Session(a, 1, now), Session(b, 2, now)} {}

  // Executes the actions of both sides until there are none left; connections succeed at once.
  void run_actions() {
    for (bool any = true; any;) {
      any = false;
      for (int i : {0, 1})
        for (auto& action : sides[i].take_actions()) {
          any = true;
          execute(i, action);
        }
    }
  }
  void execute(int i, const Session::Action& action) {
    const Direction theirs =
        action.way == Direction::kOutbound ? Direction::kInbound : Direction::kOutbound;
    Session& other = sides[1 - i];
    bool& open = link[i][action.way == Direction::kInbound];
    bool& open_there = link[1 - i][theirs == Direction::kInbound];
    switch (action.kind) {
      case Kind::kDial:
        ++dials[i];
        if (!reachable) return sides[i].on_closed(now, Direction::kOutbound, "refused");
        if (dial_pending[i]) return;
        open = open_there = true;
        other.on_connected(now, Direction::kInbound);
        sides[i].on_connected(now, Direction::kOutbound);
        return;
      case Kind::kSend:
        sent[i] += action.bytes;
        if (open && open_there && delivers) other.on_bytes(now, theirs, action.bytes);
        sides[i].on_unacknowledged(now, action.way, unacknowledged ? action.bytes.size() : 0);
        return;
      case Kind::kClose:
        if (std::exchange(open, false) && std::exchange(open_there, false))
          other.on_closed(now, theirs, "closed");
        return;
      case Kind::kUp:
        ++ups[i];
        return;
      case Kind::kDown:
        ++downs[i];
        return;
    }
  }
  void run(Duration length) {
    const Time end = now + length;
    run_actions();
    while (now < end) {
      now = std::min(end, std::max(now + milliseconds(1),
                                   std::min(sides[0].next_timer_at(), sides[1].next_timer_at())));
      for (Session& s : sides)
        if (s.next_timer_at() <= now) s.on_timer(now);
      run_actions();
    }
  }

  Time now{seconds(100)};
  Session sides[2];
  bool link[2][2] = {};
  bool reachable = true, delivers = true, unacknowledged = false;
  bool dial_pending[2] = {};
  int ups[2] = {}, downs[2] = {}, dials[2] = {};
  std::string sent[2];
};

TEST(BgpSession, EstablishesOnceAndStaysEstablished) {
  Pair p(settings(1), settings(2));
  p.run(seconds(60));
  EXPECT_TRUE(p.sides[0].established());
  EXPECT_TRUE(p.sides[1].established());
  EXPECT_EQ(p.ups[0] + p.ups[1], 2) << "once on each side";
  EXPECT_EQ(p.downs[0] + p.downs[1], 0);
}

// Section 6.8: if both sides dial at once, the connection dialled by the side with the higher
// identifier is kept.
TEST(BgpSession, KeepsOneConnectionAfterACollision) {
  for (const std::uint32_t low : {1u, 9u}) {
    Pair p(settings(low), settings(5));
    p.dial_pending[0] = p.dial_pending[1] = true;
    for (Session& s : p.sides) s.on_timer(p.now);
    p.run_actions();
    p.dial_pending[0] = p.dial_pending[1] = false;
    p.link[0][0] = p.link[1][1] = p.link[1][0] = p.link[0][1] = true;
    // Both TCP connections come up before either side has received a message.
    for (const Direction way : {Direction::kOutbound, Direction::kInbound}) {
      p.sides[0].on_connected(p.now, way);
      p.sides[1].on_connected(p.now, way);
    }
    p.run_actions();
    p.run(seconds(20));
    ASSERT_TRUE(p.sides[0].established() && p.sides[1].established());
    const bool first_dialled = p.sides[0].has(Direction::kOutbound);
    EXPECT_EQ(first_dialled, low > 5);
    EXPECT_EQ(p.sides[0].has(Direction::kInbound), !first_dialled) << "only one connection is left";
    EXPECT_EQ(p.ups[0], 1);
  }
}

TEST(BgpSession, EndsAfterTheHoldTimeWhenThePeerIsSilent) {
  Pair p(settings(1), settings(2));
  p.run(seconds(5));
  ASSERT_TRUE(p.sides[0].established());
  p.delivers = false;
  p.run(seconds(5));
  EXPECT_EQ(p.downs[0], 0)
      << "the hold time is 9 s, and the peer had sent a message in each third of it";
  p.run(seconds(5));
  EXPECT_EQ(p.downs[0], 1);
  EXPECT_NE(p.sides[0].last_end_reason().find("hold time"), std::string::npos);
  p.delivers = true;
  p.run(seconds(40));
  EXPECT_TRUE(p.sides[0].established()) << "the session is established again";
}

// RFC 9687: the peer sends keepalives and reads nothing, so that it never receives a withdrawal.
TEST(BgpSession, EndsAfterTheHoldTimeWhenThePeerReadsNothing) {
  Pair p(settings(1), settings(2));
  p.run(seconds(5));
  p.unacknowledged = true;
  p.sides[0].announce({0x0a090001, 32}, Attributes{0, {}, 1, {}, {}, {}});
  p.run_actions();
  EXPECT_FALSE(p.sides[0].all_acknowledged());
  p.run(seconds(10));
  EXPECT_EQ(p.downs[0], 1);
}

TEST(BgpSession, RetryDelayGrowsToItsBound) {
  Pair p(settings(1), settings(2));
  p.reachable = false;
  p.run(seconds(1));
  const int first = p.dials[0];
  EXPECT_GE(first, 2);
  p.run(seconds(300));
  const int after = p.dials[0] - first;
  EXPECT_GE(after, 9) << "at least every 30 s";
  EXPECT_LE(after, 22) << "and no faster than the back-off allows";
  p.reachable = true;
  p.run(seconds(31));
  EXPECT_TRUE(p.sides[0].established());
}

TEST(BgpSession, RejectsAPeerOfAnotherAs) {
  Pair p(settings(1), settings(2, 65000));
  p.run(seconds(3));
  EXPECT_EQ(p.ups[0], 0);
  EXPECT_NE(p.sent[0].find(framed(3, bytes({2, 2}))), std::string::npos)
      << "OPEN error, bad peer AS";
}

TEST(BgpSession, EndsWithANotificationAfterAMalformedUpdate) {
  Pair p(settings(1), settings(2));
  p.run(seconds(5));
  ASSERT_TRUE(p.sides[0].established());
  const Direction way =
      p.sides[0].has(Direction::kOutbound) ? Direction::kOutbound : Direction::kInbound;
  p.sent[0].clear();
  p.sides[0].on_bytes(p.now, way, framed(2, bytes({0, 9, 0, 0})));
  p.run_actions();
  EXPECT_EQ(p.downs[0], 1);
  EXPECT_NE(p.sent[0].find(framed(3, bytes({3, 1}))), std::string::npos);
  p.run(seconds(5));
  EXPECT_TRUE(p.sides[0].established());
}

TEST(BgpSession, StopSendsTheReasonToThePeer) {
  Pair p(settings(1), settings(2));
  p.run(seconds(5));
  p.sides[0].stop(p.now, "maintenance");
  p.run_actions();
  EXPECT_NE(p.sent[0].find("maintenance"), std::string::npos);
  EXPECT_EQ(p.downs[1], 1);
  EXPECT_EQ(p.sides[0].next_timer_at(), Time::max()) << "it never dials again";
}

// Random bytes and messages at random moments must not crash the session, which recovers
// afterwards.
TEST(BgpSession, RecoversFromRandomInput) {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(seed);
    Pair p(settings(1), settings(2));
    for (int i = 0; i < 6; ++i) {
      p.run(milliseconds(random() % 4000));
      std::string input;
      switch (random() % 4) {
        case 0:
          for (std::size_t n = random() % 60; n > 0; --n) input += static_cast<char>(random());
          break;
        case 1:
          input = encode(Keepalive{});
          break;
        case 2:
          input = encode(Open{64512, static_cast<std::uint16_t>(random() % 20), 2, true});
          break;
        default:
          input = framed(static_cast<int>(random() % 6), std::string(random() % 30, 'x'));
      }
      p.sides[0].on_bytes(p.now, random() % 2 ? Direction::kOutbound : Direction::kInbound, input);
      p.run_actions();
    }
    p.run(seconds(120));
    EXPECT_TRUE(p.sides[0].established() && p.sides[1].established());
  }
}

// ---- several routers

// A speaker whose routers' sessions the test establishes and ends.
class SpeakerTest : public ::testing::Test {
 protected:
  explicit SpeakerTest(std::size_t routers = 2, std::size_t needed = 1) {
    SpeakerSettings s;
    s.local_as = 64512;
    s.next_hop = 0x7f00000b;
    s.communities = {0xfc000064};
    s.min_routers = needed;
    std::vector<SessionSettings> all(routers, settings(11));
    if (routers > 1) all[1].remote_as = 65000;
    speaker.emplace(s, all, 1, now);
    speaker->on_timer(now);
    execute();
  }
  void bring_up(std::size_t r) {
    ASSERT_TRUE(std::exchange(dialled[r], false));
    speaker->on_connected(now, r, Direction::kOutbound);
    speaker->on_bytes(now, r, Direction::kOutbound,
                      encode(Open{r == 1 ? 65000u : 64512u, 180, 1, true}) + encode(Keepalive{}));
    execute();
    ASSERT_TRUE(speaker->session(r).established());
  }
  void take_down(std::size_t r) {
    speaker->on_closed(now, r, Direction::kOutbound, "closed");
    execute();
  }
  // Executes the actions and collects events. A router acknowledges at once unless it is stuck.
  void execute() {
    for (auto& [r, action] : speaker->take_actions()) {
      if (action.kind == Kind::kDial) dialled[r] = true;
      if (action.kind != Kind::kSend) continue;
      sent[r] += action.bytes;
      speaker->on_unacknowledged(now, r, action.way, stuck[r] ? 100 : 0);
    }
    for (const auto& e : speaker->take_events())
      events.push_back(std::string(e.kind == Speaker::Event::Kind::kAnnounced   ? "announced "
                                   : e.kind == Speaker::Event::Kind::kWithdrawn ? "withdrawn "
                                                                                : "failed ") +
                       e.address);
  }
  std::vector<std::string> take_events() { return std::exchange(events, {}); }
  // Returns the last UPDATE that was sent to the router.
  Update last_update(std::size_t r) {
    MessageReader reader;
    reader.set_four_octet_as(true);
    reader.feed(sent[r]);
    Update out;
    for (auto item = reader.next(); item; item = reader.next())
      if (const auto* u = std::get_if<Update>(&std::get<Message>(*item))) out = *u;
    return out;
  }

  using Events = std::vector<std::string>;
  const Prefix prefix{0x0a090001, 32};
  Time now{seconds(100)};
  std::optional<Speaker> speaker;
  std::map<std::size_t, bool> dialled, stuck;
  std::map<std::size_t, std::string> sent;
  Events events;
};

TEST_F(SpeakerTest, AnnouncesToEstablishedSessionsAndToLaterOnes) {
  bring_up(0);
  speaker->announce(now, "svc", prefix, 7);
  execute();
  EXPECT_EQ(take_events(), Events{"announced svc"});
  EXPECT_EQ(last_update(0).announced, std::vector<Prefix>{prefix});
  EXPECT_EQ(last_update(0).attributes->local_pref, 7u);
  EXPECT_TRUE(last_update(0).attributes->as_path.empty()) << "within an AS";
  bring_up(1);
  EXPECT_EQ(last_update(1).announced, std::vector<Prefix>{prefix});
  EXPECT_EQ(last_update(1).attributes->local_pref, std::nullopt) << "not sent to another AS";
  EXPECT_EQ(last_update(1).attributes->as_path, std::vector<std::uint32_t>{64512});
  EXPECT_EQ(last_update(1).attributes->communities, std::vector<std::uint32_t>{0xfc000064});
}

// A router that receives two announcements must follow the one of the newer term.
TEST_F(SpeakerTest, PreferenceGrowsWithTheTerm) {
  bring_up(0);
  bring_up(1);
  speaker->announce(now, "svc", prefix, 7);
  execute();
  const auto before = last_update(1).attributes->med;
  const auto preferred = last_update(0).attributes->local_pref;
  speaker->announce(now, "svc", prefix, 8);
  execute();
  EXPECT_LT(last_update(1).attributes->med, before);
  EXPECT_GT(last_update(0).attributes->local_pref, preferred);
  speaker->deprefer(now, "svc");
  execute();
  EXPECT_EQ(last_update(0).attributes->local_pref, 0u);
  EXPECT_EQ(last_update(0).attributes->communities.back(), kGracefulShutdown);
  EXPECT_GT(last_update(1).attributes->med, before);
}

TEST_F(SpeakerTest, ClaimFailsWithinItsTimeLimitWithoutARouter) {
  speaker->announce(now, "svc", prefix, 1);
  execute();
  EXPECT_TRUE(take_events().empty());
  EXPECT_LE(speaker->next_timer_at(), now + milliseconds(500));
  now += milliseconds(500);
  speaker->on_timer(now);
  execute();
  EXPECT_EQ(take_events(), Events{"failed svc"});
  speaker->withdraw(now, "svc");
  execute();
  EXPECT_EQ(take_events(), Events{"withdrawn svc"});
  bring_up(0);
  EXPECT_TRUE(last_update(0).announced.empty()) << "a withdrawn route is not announced later";
}

// The session is established, but the router acknowledges no updates.
TEST_F(SpeakerTest, ClaimFailsWhenTheRouterAcknowledgesNothing) {
  bring_up(0);
  stuck[0] = true;
  speaker->announce(now, "svc", prefix, 1);
  execute();
  now += milliseconds(500);
  speaker->on_timer(now);
  execute();
  EXPECT_EQ(take_events(), Events{"failed svc"});
  speaker->withdraw(now, "svc");
  execute();
  EXPECT_TRUE(take_events().empty()) << "the withdrawal is not acknowledged yet";
  stuck[0] = false;
  speaker->on_unacknowledged(now, 0, Direction::kOutbound, 0);
  execute();
  EXPECT_EQ(take_events(), Events{"withdrawn svc"});
}

// One of two routers is enough for a claim, but both must acknowledge the withdrawal.
TEST_F(SpeakerTest, WithdrawalWaitsForBothRouters) {
  bring_up(0);
  bring_up(1);
  stuck[1] = true;
  speaker->announce(now, "svc", prefix, 1);
  execute();
  EXPECT_EQ(take_events(), Events{"announced svc"});
  speaker->withdraw(now, "svc");
  execute();
  EXPECT_TRUE(take_events().empty());
  take_down(1);
  EXPECT_EQ(take_events(), Events{"withdrawn svc"})
      << "the router drops the routes of a closed session";
}

class TwoRoutersNeededTest : public SpeakerTest {
 protected:
  TwoRoutersNeededTest() : SpeakerTest(3, 2) {}
};

TEST_F(TwoRoutersNeededTest, NeedsTwoRoutersAndCountsOnlyThoseNotOverdue) {
  bring_up(0);
  speaker->announce(now, "svc", prefix, 1);
  execute();
  EXPECT_TRUE(take_events().empty());
  EXPECT_EQ(speaker->routers_up(now), 1u);
  // The hold time is 9 s, and a router must send three messages in it: one is overdue after 4 s.
  EXPECT_EQ(speaker->routers_up(now + milliseconds(3999)), 1u);
  EXPECT_EQ(speaker->routers_up(now + milliseconds(4000)), 0u);
}

}  // namespace
}  // namespace balancer::bgp
