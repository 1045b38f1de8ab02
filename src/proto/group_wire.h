#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "lease/messages.h"
#include "lease/voter_record.h"
#include "membership/messages.h"

// Codec of the datagrams of a group of balancers, and of the record that a voter keeps: plain data
// to bytes and back, by protocol buffers (group.proto). What is decoded has been checked: lengths,
// names, kinds.
namespace balancer::group {

inline constexpr std::size_t kMaxDatagram = 1400;  // bytes, sealed: fits an Ethernet frame
inline constexpr std::size_t kMaxName = 64;        // bytes of a member's or an address's name

struct Datagram {
  std::string sender;             // a member's name
  std::uint64_t incarnation = 0;  // of the sender's process
  std::uint64_t sequence = 0;     // within the incarnation, from 1
  std::string to;                 // a member's name; empty where the sender does not know it
  std::variant<membership::GossipMessage, lease::VoteRequest, lease::VoteReply,
               lease::TransferMessage, lease::ReconfigurationRequest, lease::ReconfigurationReply>
      body;
};

std::string encode(const Datagram& datagram);
// Nothing if any part is malformed or out of bounds.
std::optional<Datagram> decode(std::string_view bytes);

// What a member says of itself: MemberUpdate::meta.
struct MemberMeta {
  bool eligible = false;                          // it can serve an address
  bool is_voter = false;                          // it votes under the set that it uses
  std::uint32_t voter_set_version = 0;            // the newest that it has heard of
  std::map<std::string, lease::Term> held_terms;  // by address that it announces
};
std::string encode(const MemberMeta& meta);
// Nothing if any part is malformed or out of bounds.
std::optional<MemberMeta> decode_meta(std::string_view bytes);

std::string encode(const lease::VoterRecord& record);
// Nothing if the record is corrupt.
std::optional<lease::VoterRecord> decode_record(std::string_view bytes);

}  // namespace balancer::group
