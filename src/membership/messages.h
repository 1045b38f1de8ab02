#pragma once

#include <cstdint>
#include <string>
#include <vector>

// Messages of the membership protocol. Plain data; the rules are in membership_protocol.h. The
// numeric values of the enums are on the wire.
namespace balancer::membership {

enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// The state of a member at one moment. The newer of two updates applies: they are ordered by
// incarnation, then by sequence, then by state, where the worse state is the newer.
struct MemberUpdate {
  std::string name;
  std::string endpoint;           // "127.0.0.1:7946"
  std::uint64_t incarnation = 0;  // of its process; larger with each start
  std::uint32_t sequence = 0;     // within the incarnation; only the member itself raises it
  MemberState state = MemberState::kAlive;
  std::string meta;  // data that the member publishes about itself; opaque here
};

struct GossipMessage {
  enum class Kind : std::uint8_t {
    kPing,         // answered with kAck
    kAck,          // to a ping, direct or on behalf of another member
    kPingRequest,  // ping `target` on behalf of the sender
    kJoin,         // answered with the updates of all members that the receiver knows
    kGossip,       // carries updates only
  };
  Kind kind = Kind::kGossip;
  std::uint64_t number = 0;  // of the probe: the ack has the number of its ping
  std::string target;        // of kPingRequest: a member's name
  std::vector<MemberUpdate> updates;
};

}  // namespace balancer::membership
