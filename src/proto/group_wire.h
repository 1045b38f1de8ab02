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

// Codec of the datagrams between the balancers of a group, and of the record that a voter keeps on
// disk. The encoding is protocol buffers (group.proto). Decoding validates lengths, names and enum
// values.
namespace balancer::group {

inline constexpr std::size_t kMaxDatagram = 1400;  // bytes when sealed; fits into an Ethernet frame
inline constexpr std::size_t kMaxName = 64;  // bytes of the name of a member or a service address

struct Datagram {
  std::string sender;             // a member's name
  std::uint64_t incarnation = 0;  // of the sender's process
  std::uint64_t sequence = 0;     // within the incarnation, from 1
  std::string to;                 // a member's name; empty if the sender does not know it
  std::variant<membership::GossipMessage, lease::VoteRequest, lease::VoteReply,
               lease::TransferMessage, lease::ReconfigurationRequest, lease::ReconfigurationReply>
      body;
};

std::string encode(const Datagram& datagram);
// Returns nullopt if any part is malformed or out of bounds. Only the remaining time of a VoteReply
// and the reason for a rejection are cut to their maximum instead.
std::optional<Datagram> decode(std::string_view bytes);

// What a member publishes about itself by gossip, as MemberUpdate::meta.
struct MemberMeta {
  bool eligible = false;                          // it can serve a service address
  bool is_voter = false;                          // it is a voter of the set that it uses
  std::uint32_t voter_set_version = 0;            // newest version that it knows of
  std::map<std::string, lease::Term> held_terms;  // keyed by the addresses that it announces
};
std::string encode(const MemberMeta& meta);
// Returns nullopt if any part is malformed or out of bounds.
std::optional<MemberMeta> decode_meta(std::string_view bytes);

std::string encode(const lease::VoterRecord& record);
// Returns nullopt if the record is corrupt.
std::optional<lease::VoterRecord> decode_record(std::string_view bytes);

}  // namespace balancer::group
