#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balancer::trace {

// The most frequent of a stream of texts (keys, tenants, clients) in bounded memory. A count-min
// sketch (Cormode and Muthukrishnan, 2005) with conservative update (Estan and Varghese, 2002)
// counts all of them; those with the highest counts are kept by name.
//
// A count is never below the truth. It is above it by more than e * total() / width for about one
// text in exp(depth) at most, and nobody who does not know the secret can choose which: the hash is
// SipHash-2-4. No I/O, time or threads.
class HeavyHitters {
 public:
  struct Options {
    std::size_t width = 4096;  // counters a row; rounded up to a power of two, 2^24 at most
    std::size_t depth = 4;     // rows, 16 at most
    std::size_t most = 64;     // texts that are kept by name
    std::size_t max_text =
        64;  // bytes of each; what is longer is cut, and still counted as a whole
    std::array<unsigned char, 16> secret{};
  };
  struct Entry {
    std::string text;
    std::uint64_t count = 0;
  };

  // Throws std::invalid_argument where a bound is zero or too large.
  explicit HeavyHitters(const Options& options);

  void add(std::string_view text, std::uint64_t times = 1);
  std::uint64_t count(std::string_view text) const;
  // The most frequent first; where counts are equal, in no order that means anything.
  std::vector<Entry> top() const;
  std::uint64_t total() const { return total_; }
  // As much as it ever takes, but for the allocator's own.
  std::size_t max_bytes() const;

 private:
  struct Kept {
    std::uint64_t hash = 0, count = 0;
    std::string text;
  };
  std::uint64_t hash(std::string_view text) const;
  std::size_t cell(std::size_t row, std::uint64_t hash) const;
  std::uint64_t least(std::uint64_t hash) const;
  void keep(std::size_t place, Kept kept);
  void sink(std::size_t place);
  void rise(std::size_t place);

  Options options_;
  std::size_t mask_ = 0;
  std::vector<std::uint64_t> cells_;                      // row by row
  std::vector<Kept> kept_;                                // a heap, the least frequent in front
  std::unordered_map<std::uint64_t, std::size_t> place_;  // by hash, in kept_
  std::uint64_t total_ = 0;
};

}  // namespace balancer::trace
