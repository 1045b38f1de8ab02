#pragma once

#include <cstdint>
#include <string_view>

// Slots of the cluster dialect, after the public cluster specification
// (redis.io/docs/latest/operate/oss_and_stack/reference/cluster-spec).
namespace balancer::cluster {

using Slot = std::uint16_t;
inline constexpr std::uint32_t kSlots = 16384;

// CRC16 of the XMODEM kind: polynomial 0x1021, from 0, nothing reflected.
std::uint16_t crc16(std::string_view text);
// Of the key's hash tag: what stands between its first '{' and the next '}', if that is not empty;
// else of the whole key.
Slot slot_of(std::string_view key);

}  // namespace balancer::cluster
