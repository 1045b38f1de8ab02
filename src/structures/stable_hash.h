#pragma once

#include <cstdint>
#include <string_view>

namespace balancer {

// Hashes two words with the finalizer of splitmix64.
inline std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a + 0x9e3779b97f4a7c15u * (b + 1);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

// FNV-1a followed by mix(), which improves the distribution for short texts. The result is the same
// on every machine and in every run, so that all balancers compute the same ring positions.
inline std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325u;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
  return mix(hash, text.size());
}

}  // namespace balancer
