#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balancer::trace {

// Finds the most frequent texts (keys, tenants, clients) of a stream in bounded memory. A count-min
// sketch (Cormode and Muthukrishnan, 2005) with conservative update (Estan and Varghese, 2002)
// counts all texts; the texts with the highest counts are stored.
//
// An estimated count is never below the true count. It exceeds the true count by more than
// e * total() / width for at most about one text in exp(depth). The hash is SipHash-2-4, so that
// only those who know the secret can choose which texts are overestimated. No I/O, time or threads.
class HeavyHitters {
 public:
  struct Options {
    std::size_t width = 4096;  // counters per row; rounded up to a power of two, 2^24 at most
    std::size_t depth = 4;     // rows, 16 at most
    std::size_t most = 64;     // number of texts that are stored
    std::size_t max_text =
        64;  // bytes of a stored text; a longer text is truncated, but counted as a whole
    std::array<unsigned char, 16> secret{};
  };
  struct Entry {
    std::string text;
    std::uint64_t count = 0;
  };

  // Throws std::invalid_argument if a bound is zero or too large.
  explicit HeavyHitters(const Options& options);

  void add(std::string_view text, std::uint64_t times = 1);
  std::uint64_t count(std::string_view text) const;
  // Returns the stored texts by decreasing count; the order of equal counts is unspecified.
  std::vector<Entry> top() const;
  std::uint64_t total() const { return total_; }
  // Returns an upper bound on the memory used, without the allocator's overhead.
  std::size_t max_bytes() const;

 private:
  struct StoredText {
    std::uint64_t hash = 0, count = 0;
    std::string text;
  };
  std::uint64_t hash(std::string_view text) const;
  std::size_t cell(std::size_t row, std::uint64_t hash) const;
  std::uint64_t min_count(std::uint64_t hash) const;
  void store(std::size_t position, StoredText stored);
  void sift_down(std::size_t position);
  void sift_up(std::size_t position);

  Options options_;
  std::size_t mask_ = 0;
  std::vector<std::uint64_t> cells_;  // in row-major order
  std::vector<StoredText> stored_;    // a heap with the least frequent text in front
  std::unordered_map<std::uint64_t, std::size_t> position_;  // position in stored_ by hash
  std::uint64_t total_ = 0;
};

}  // namespace balancer::trace
