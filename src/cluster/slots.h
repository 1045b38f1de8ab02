#pragma once

#include <cstdint>
#include <string_view>

// Hash slots of the cluster protocol, as the public cluster specification defines them
// (redis.io/docs/latest/operate/oss_and_stack/reference/cluster-spec).
namespace balancer::cluster {

using Slot = std::uint16_t;
inline constexpr std::uint32_t kSlots = 16384;

// Returns the CRC-16/XMODEM checksum: polynomial 0x1021, initial value 0, no bit reflection.
std::uint16_t crc16(std::string_view text);
// Returns the slot of a key. Hashes the key's hash tag, the text between its first '{' and the next
// '}', if that text is not empty; otherwise hashes the whole key.
Slot slot_of(std::string_view key);

}  // namespace balancer::cluster
