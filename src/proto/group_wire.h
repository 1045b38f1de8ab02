#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lease/lease_manager.h"
#include "lease/messages.h"
#include "lease/voter.h"
#include "membership/membership_protocol.h"

// The datagrams of a group of balancers, and the record that a voter keeps: plain data to bytes and
// back, on protocol buffers (group.proto). What is read has been checked: bounds, names, kinds.
namespace balancer::group {

inline constexpr std::size_t kMaxDatagram = 1400;  // sealed; fits a frame
inline constexpr std::size_t kMaxName = 64;

struct Datagram {
  std::string sender;
  std::uint64_t life = 0;      // of the sender's process
  std::uint64_t sequence = 0;  // within its life, from 1
  std::string to;              // whom it is for; empty: whoever gets it
  std::variant<membership::Message, lease::VoteRequest, lease::VoteReply, lease::TransferMessage,
               lease::Change, lease::Changed>
      body;
};

std::string encode(const Datagram& datagram);
// Nothing if it makes no sense as a whole.
std::optional<Datagram> decode(std::string_view bytes);

struct Meta {
  bool eligible = false, voter = false;
  std::uint32_t voters = 0;  // the number of the newest set that it has heard of
  std::map<std::string, lease::Term> holds;
};
std::string encode(const Meta& meta);
std::optional<Meta> decode_meta(std::string_view bytes);

std::string encode(const lease::VoterRecord& record);
std::optional<lease::VoterRecord> decode_record(std::string_view bytes);

}  // namespace balancer::group
