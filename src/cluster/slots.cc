#include "cluster/slots.h"

#include <array>

namespace balancer::cluster {
namespace {

constexpr std::array<std::uint16_t, 256> make_table() {
  std::array<std::uint16_t, 256> table{};
  for (unsigned byte = 0; byte < 256; ++byte) {
    unsigned crc = byte << 8;
    for (int bit = 0; bit < 8; ++bit) crc = crc & 0x8000 ? (crc << 1) ^ 0x1021 : crc << 1;
    table[byte] = static_cast<std::uint16_t>(crc);
  }
  return table;
}

constexpr auto kTable = make_table();

}  // namespace

std::uint16_t crc16(std::string_view text) {
  unsigned crc = 0;
  for (const char c : text)
    crc = ((crc << 8) & 0xffff) ^ kTable[(crc >> 8) ^ static_cast<unsigned char>(c)];
  return static_cast<std::uint16_t>(crc);
}

Slot slot_of(std::string_view key) {
  const auto open = key.find('{');
  if (open != std::string_view::npos) {
    const auto close = key.find('}', open + 1);
    if (close != std::string_view::npos && close > open + 1)
      key = key.substr(open + 1, close - open - 1);
  }
  return crc16(key) % kSlots;
}

}  // namespace balancer::cluster
